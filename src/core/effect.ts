import type { AttemptKey } from './transaction'
import type { Section } from './document'

/** What the leader does once an entry is committed. Other control hosts drop effects. */
export enum EffectKind {
  /** Ask a worker's agent for a reservation. The only effect that may be sent before the commit. */
  Reserve = 'reserve',
  Release = 'release',
  Start = 'start',
  Stop = 'stop',
  /** The agent's report is in the log and need not be sent again. */
  Acknowledge = 'acknowledge',
  /** A job moved: tell those who wait for it. */
  JobMoved = 'job-moved',
  /** The document changed: push it. */
  ConfigurationChanged = 'configuration-changed',
  /** What a worker should run, or what is recorded of it, changed: tell its agent. */
  LifeChanged = 'life-changed',
  /** Another numbered document is in force. */
  DocumentReplaced = 'document-replaced',
  /** A job of steps has ended. */
  StepJobEnded = 'step-job-ended'
}

/** An effect meant for the agent of one worker. */
export interface AgentEffect extends AttemptKey {
  readonly kind: EffectKind.Reserve | EffectKind.Release | EffectKind.Start | EffectKind.Stop | EffectKind.Acknowledge
  readonly worker: string
}

/** A job moved to another state. */
export interface JobMoved {
  readonly kind: EffectKind.JobMoved
  readonly job: string
}

/** Sections of the document changed. */
export interface ConfigurationChanged {
  readonly kind: EffectKind.ConfigurationChanged
  readonly sections: readonly Section[]
}

/** Something changed for one incarnation of a worker. */
export interface LifeChanged {
  readonly kind: EffectKind.LifeChanged
  readonly incarnation: string
}

/** Another numbered document is in force. */
export interface DocumentReplaced {
  readonly kind: EffectKind.DocumentReplaced
  readonly number: number
}

/** A job of steps has ended. */
export interface StepJobEnded {
  readonly kind: EffectKind.StepJobEnded
  readonly job: string
}

/** See {@link EffectKind}. */
export type Effect = AgentEffect | JobMoved | ConfigurationChanged | LifeChanged | DocumentReplaced | StepJobEnded
