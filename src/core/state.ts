import { Map as ImmutableMap, Set as ImmutableSet } from 'immutable'
import { emptyDocument, type Document, type Section } from './document'
import type { Estimate } from './estimates'
import type { Home } from './homes'
import type { Job } from './job'
import { initialStepState, type StepState } from './steps/model'
import type { Worker } from './worker'

/** The first answer to a configuration request, kept so that a resend gets it again. */
export interface StoredPut {
  readonly team: string
  readonly requestIdentifier: string
  /** SHA-256 of team and sections as they were sent. */
  readonly digest: string
  /** The number of the whole document after the put. */
  readonly number: number
  readonly sections: readonly Section[]
  /** SHA-256 of the whole document after the put. */
  readonly documentDigest: string
  /** What the change did, one line each. */
  readonly consequences: readonly string[]
  readonly at: number
}

/** The document in force, with its numbers. */
export interface ConfigurationState {
  /** Number of the whole document; goes up by one with each accepted put. */
  readonly number: number
  readonly sectionNumbers: ImmutableMap<Section, number>
  readonly document: Document
  /** Recent answers, by team and request identifier. */
  readonly puts: ImmutableMap<string, StoredPut>
}

/** The head of the hash-chained record. */
export interface RecordHead {
  readonly sequence: number
  /** SHA-256 of the last line chained with the one before it, in hexadecimal. */
  readonly digest: string
}

/** What the attempts on one worker hold, derived from the jobs. */
export interface WorkerUsage {
  /** Bit i set: accelerator i is held. */
  readonly mask: number
  readonly slots: number
  readonly processors: number
  readonly memoryMegabytes: number
  /** Identifiers of the jobs that hold something here. */
  readonly attempts: ImmutableMap<string, true>
}

/** What one account waits for and holds, derived from the jobs. */
export interface AccountUsage {
  readonly queued: number
  readonly accelerators: number
  readonly slots: number
}

/** How many retries were spent in a minute. */
export interface RetryWindow {
  /** Minutes since the epoch. */
  readonly minute: number
  readonly count: number
}

/** Everything the log decides. Only apply makes a new one. */
export interface State {
  /** Time of the newest transaction, in milliseconds since the epoch. */
  readonly time: number
  readonly configuration: ConfigurationState
  readonly workers: ImmutableMap<string, Worker>
  /** All jobs, the ended ones until their retention is over. */
  readonly jobs: ImmutableMap<string, Job>
  /** Identifiers of jobs that have not ended. */
  readonly open: ImmutableSet<string>
  /** Identifiers of jobs in the state queued. */
  readonly queued: ImmutableSet<string>
  /** Identifiers of declared jobs that have ended and must not run again. */
  readonly spent: ImmutableSet<string>
  readonly usage: ImmutableMap<string, WorkerUsage>
  readonly accounts: ImmutableMap<string, AccountUsage>
  /** The accelerators kept for each guaranteed shape, by the home's identifier. */
  readonly homes: ImmutableMap<string, Home>
  /** When the fleet last grew, in milliseconds since the epoch. */
  readonly fleetGrewAt: number
  /** Guaranteed shapes that have no place in the present fleet, by the identifier of the home that is wanted. */
  readonly missingHomes: ImmutableSet<string>
  /** The job that holds a home of its own account, by the home's identifier. Derived from the jobs. */
  readonly homeHolders: ImmutableMap<string, string>
  /** Identifiers of jobs in the state reserved. Derived from the jobs. */
  readonly reserved: ImmutableSet<string>
  /** What was learned of run times and memory, by account and kind. */
  readonly estimates: ImmutableMap<string, Estimate>
  /** Retries of each account, and of all under the empty name. */
  readonly retries: ImmutableMap<string, RetryWindow>
  /** Jobs of steps, their queues and the workers that run them. */
  readonly steps: StepState
  readonly record: RecordHead
}

/** The state before the first entry. */
export const initialState: State = {
  time: 0,
  configuration: { number: 0, sectionNumbers: ImmutableMap(), document: emptyDocument, puts: ImmutableMap() },
  workers: ImmutableMap(),
  jobs: ImmutableMap(),
  open: ImmutableSet(),
  queued: ImmutableSet(),
  usage: ImmutableMap(),
  accounts: ImmutableMap(),
  spent: ImmutableSet(),
  homes: ImmutableMap(),
  fleetGrewAt: 0,
  missingHomes: ImmutableSet(),
  homeHolders: ImmutableMap(),
  reserved: ImmutableSet(),
  estimates: ImmutableMap(),
  retries: ImmutableMap(),
  steps: initialStepState,
  record: { sequence: 0, digest: '0'.repeat(64) }
}
