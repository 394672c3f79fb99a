import { Map as ImmutableMap, Set as ImmutableSet } from 'immutable'
import { emptyDocument, type Document, type Section } from './document'
import type { Estimate } from './estimates'
import type { Home } from './homes'
import type { Job } from './job'
import { initialStepState, type StepState } from './steps/model'
import type { Worker } from './worker'

/** The reply to a configuration request, kept so that a retried request gets the same reply. */
export interface StoredPut {
  readonly team: string
  readonly requestIdentifier: string
  /** SHA-256 of the team and the sections as they were sent. */
  readonly digest: string
  /** The number of the whole document after the put. */
  readonly number: number
  readonly sections: readonly Section[]
  /** SHA-256 of the whole document after the put. */
  readonly documentDigest: string
  /** Effects of the change, one line each. */
  readonly consequences: readonly string[]
  readonly at: number
}

/** The document in force, with its version numbers. */
export interface ConfigurationState {
  /** Version number of the whole document, incremented by each accepted put. */
  readonly number: number
  /** The document number at which each section last changed. */
  readonly sectionNumbers: ImmutableMap<Section, number>
  readonly document: Document
  /** Replies to recent requests, by team and request identifier. */
  readonly puts: ImmutableMap<string, StoredPut>
}

/** Head of the hash chain of the audit record. */
export interface RecordHead {
  readonly sequence: number
  /** SHA-256 of the last line, which contains the digest of the line before it, in hexadecimal. */
  readonly digest: string
}

/** Resources of one worker held by attempts. Derived from the jobs. */
export interface WorkerUsage {
  /** Bit i set: accelerator i is held. */
  readonly mask: number
  readonly slots: number
  readonly processors: number
  readonly memoryMegabytes: number
  /** Identifiers of the jobs that hold resources of this worker. */
  readonly attempts: ImmutableMap<string, true>
}

/** Queued jobs and held resources of one account. Derived from the jobs. */
export interface AccountUsage {
  readonly queued: number
  readonly accelerators: number
  readonly slots: number
}

/** Number of retries in one minute. */
export interface RetryWindow {
  /** Minutes since the epoch. */
  readonly minute: number
  readonly count: number
}

/** The replicated state. Immutable; `apply` returns the next one. */
export interface State {
  /** Time of the newest transaction, in milliseconds since the epoch. */
  readonly time: number
  readonly configuration: ConfigurationState
  readonly workers: ImmutableMap<string, Worker>
  /** All jobs. Ended ones are kept until their retention is over. */
  readonly jobs: ImmutableMap<string, Job>
  /** Identifiers of jobs that have not ended or still have an attempt. */
  readonly open: ImmutableSet<string>
  /** Identifiers of jobs in the state queued. */
  readonly queued: ImmutableSet<string>
  /** Identifiers of declared jobs that have ended and must not run again. */
  readonly spent: ImmutableSet<string>
  readonly usage: ImmutableMap<string, WorkerUsage>
  readonly accounts: ImmutableMap<string, AccountUsage>
  /** The accelerators reserved for each guaranteed shape, by the identifier of the home. */
  readonly homes: ImmutableMap<string, Home>
  /** When capacity was last added to the fleet, in milliseconds since the epoch. */
  readonly fleetGrewAt: number
  /** Identifiers of homes that do not fit in the present fleet. */
  readonly missingHomes: ImmutableSet<string>
  /** The job that occupies a home of its own account, by the identifier of the home. Derived from the jobs. */
  readonly homeHolders: ImmutableMap<string, string>
  /** Identifiers of jobs in the state reserved. Derived from the jobs. */
  readonly reserved: ImmutableSet<string>
  /** Estimated run time and memory, by account and kind of job. */
  readonly estimates: ImmutableMap<string, Estimate>
  /** Retries by account. The empty name counts those of all accounts. */
  readonly retries: ImmutableMap<string, RetryWindow>
  /** Step jobs, their queues and the workers that run them. */
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
