import type { AttemptKey } from './transaction'
import type { Section } from './document'
import type { CrashEvidence } from './steps/crash-evidence'
import type { RunOutcome } from './steps/run'
import type { GangKey } from './steps/transactions'

/** Side effects that the leader performs once an entry is committed. Other control hosts discard them. */
export enum EffectKind {
  /** Requests a reservation from a worker's agent. The only effect that may be sent before the commit. */
  Reserve = 'reserve',
  Release = 'release',
  Start = 'start',
  Stop = 'stop',
  /** Acknowledges that a report of the agent is committed, so that the agent stops resending it. */
  Acknowledge = 'acknowledge',
  /** A job changed: notifies its waiting callers. */
  JobChanged = 'job-moved',
  /** The document changed: pushes it to its followers. */
  ConfigurationChanged = 'configuration-changed',
  /** The desired or recorded state of a worker incarnation changed: notifies its agent. */
  IncarnationChanged = 'life-changed',
  /** Another version of the numbered document is in force. */
  DocumentReplaced = 'document-replaced',
  /** A step job has ended. */
  StepJobEnded = 'step-job-ended',
  /** A task of a step job's run has ended. */
  StepRunEnded = 'step-run-ended',
  /** A worker crashed, and a gang that had just started there may be the cause. */
  StepGangSuspected = 'step-gang-suspected'
}

/** An order or acknowledgement for the agent of one worker. */
export interface AgentEffect extends AttemptKey {
  readonly kind: EffectKind.Reserve | EffectKind.Release | EffectKind.Start | EffectKind.Stop | EffectKind.Acknowledge
  readonly worker: string
}

/** A job was added or changed. */
export interface JobChanged {
  readonly kind: EffectKind.JobChanged
  readonly job: string
}

/** Sections of the document changed. */
export interface ConfigurationChanged {
  readonly kind: EffectKind.ConfigurationChanged
  readonly sections: readonly Section[]
}

/** The desired or recorded state of a worker incarnation changed. */
export interface IncarnationChanged {
  readonly kind: EffectKind.IncarnationChanged
  readonly incarnation: string
}

/** Another version of the numbered document is in force. */
export interface DocumentReplaced {
  readonly kind: EffectKind.DocumentReplaced
  readonly number: number
}

/** A step job has ended. */
export interface StepJobEnded {
  readonly kind: EffectKind.StepJobEnded
  readonly job: string
}

/** A task of a step job's run has ended. */
export interface StepRunEnded extends GangKey {
  readonly kind: EffectKind.StepRunEnded
  readonly attempt: number
  readonly incarnation: string
  readonly outcome: RunOutcome
  /** Milliseconds since the run was started. */
  readonly ranMilliseconds: number
}

/** A worker crashed, and a gang that had just started there may be the cause. */
export interface StepGangSuspected extends GangKey {
  readonly kind: EffectKind.StepGangSuspected
  readonly attempt: number
  /** The incarnation that crashed. */
  readonly incarnation: string
  readonly evidence: CrashEvidence
  /** Attempts of the gang that have crashed workers so far. */
  readonly crashes: number
}

/** See {@link EffectKind}. */
export type Effect = AgentEffect | JobChanged | ConfigurationChanged | IncarnationChanged | DocumentReplaced | StepJobEnded | StepRunEnded | StepGangSuspected
