import type { Content, Member, Reason } from './job'
import type { JobSpecification } from './document'
import type { Home } from './homes'
import type { Verdict } from './verdict'
import type { StepTransaction } from './steps/transactions'
import type { WorkerDescription } from './worker'

/** Kinds of transactions. */
export enum TransactionKind {
  PutConfiguration = 'put-configuration',
  AnnounceWorker = 'announce-worker',
  LoseWorker = 'lose-worker',
  LeaveWorker = 'leave-worker',
  AcceptJob = 'accept-job',
  ReserveJob = 'reserve-job',
  ReleaseJob = 'release-job',
  StartJob = 'start-job',
  StopJob = 'stop-job',
  EndAttempt = 'end-attempt',
  FinishJob = 'finish-job',
  CancelJobs = 'cancel-jobs',
  EndJobs = 'end-jobs',
  Refuse = 'refuse',
  Expire = 'expire',
  SetHomes = 'set-homes',
  ReturnWorker = 'return-worker'
}

/** How an attempt ended on one member without an answer. */
export enum AttemptOutcome {
  /** The agent guarantees that the attempt did not start on this worker and never will. */
  NotStarted = 'not-started',
  Failed = 'failed',
  Stopped = 'stopped',
  Checkpointed = 'checkpointed',
  /** The worker's lease expired, or its agent restarted and the platform does not know the attempt. */
  Lost = 'lost'
}

/** The number of one section, as a writer of the document read it. */
export interface SectionNumber {
  readonly section: string
  readonly number: number
}

/** Fields of every transaction. */
export interface TransactionBase {
  /** Time of the proposing leader, in milliseconds since the epoch. */
  readonly at: number
}

/** Replaces sections of the document. */
export interface PutConfiguration extends TransactionBase {
  readonly kind: TransactionKind.PutConfiguration
  readonly team: string
  readonly requestIdentifier: string
  readonly read: readonly SectionNumber[]
  /** The sections to replace, as one JSON text. Checked before it is proposed and again when it is applied. */
  readonly sectionsJson: string
  /** Digest of the request as sent, before defaults were filled in. If absent, it is computed from this transaction. */
  readonly requestDigest?: string
}

/** Registers a worker as reported by its agent. */
export interface AnnounceWorker extends TransactionBase {
  readonly kind: TransactionKind.AnnounceWorker
  readonly worker: WorkerDescription
  readonly incarnation: string
  readonly leaving: boolean
  /** Attempts that the platform reports as running on the worker. */
  readonly running: readonly AttemptKey[]
}

/** Marks a worker as lost because its lease expired. */
export interface LoseWorker extends TransactionBase {
  readonly kind: TransactionKind.LoseWorker
  readonly worker: string
  readonly incarnation: string
}

/** Records that a target announced that it will leave. */
export interface LeaveWorker extends TransactionBase {
  readonly kind: TransactionKind.LeaveWorker
  readonly worker: string
}

/** Accepts a job into the queue. */
export interface AcceptJob extends TransactionBase {
  readonly kind: TransactionKind.AcceptJob
  readonly identifier: string
  readonly specification: JobSpecification
}

/** Identifies an attempt of a job. */
export interface AttemptKey {
  readonly job: string
  readonly attempt: number
}

/** Reserves members for a new attempt. */
export interface ReserveJob extends TransactionBase, AttemptKey {
  readonly kind: TransactionKind.ReserveJob
  readonly members: readonly Member[]
  readonly reason: Reason
  readonly borrowing: boolean
  /** The home of the job's own account that the attempt occupies. */
  readonly home?: string
}

/** Releases a reservation before the attempt started. */
export interface ReleaseJob extends TransactionBase, AttemptKey {
  readonly kind: TransactionKind.ReleaseJob
  readonly reason: Reason
}

/** Starts an attempt after all members have granted the reservation. From this entry on it may be running. */
export interface StartJob extends TransactionBase, AttemptKey {
  readonly kind: TransactionKind.StartJob
}

/** Orders every member to checkpoint or stop the attempt. */
export interface StopJob extends TransactionBase, AttemptKey {
  readonly kind: TransactionKind.StopJob
  readonly reason: Reason
  /** Milliseconds the members have to checkpoint and stop. If 0 or absent, the agent's own limit applies. */
  readonly grace?: number
  /** The job for which capacity is freed. */
  readonly beneficiary?: string
}

/** Ends an attempt on one member, without an answer. */
export interface EndAttempt extends TransactionBase, AttemptKey {
  readonly kind: TransactionKind.EndAttempt
  readonly worker: string
  readonly outcome: AttemptOutcome
  readonly verdict: Verdict
  readonly reason: Reason
  /** Measured memory use in megabytes, 0 where unknown. */
  readonly usedMemory: number
}

/** Finishes a job with the complete answer of the lead member. */
export interface FinishJob extends TransactionBase, AttemptKey {
  readonly kind: TransactionKind.FinishJob
  readonly worker: string
  readonly answer: Content
}

/** Cancels jobs. */
export interface CancelJobs extends TransactionBase {
  readonly kind: TransactionKind.CancelJobs
  readonly jobs: readonly string[]
  /** If not empty, only jobs of this account are cancelled. Empty for operators. */
  readonly account: string
  readonly reason: Reason
}

/** Ends jobs that were never started or whose attempts have all ended. */
export interface EndJobs extends TransactionBase {
  readonly kind: TransactionKind.EndJobs
  readonly jobs: readonly string[]
  readonly reason: Reason
  readonly message: string
}

/** Adds refusals to the audit record: the number since the last such transaction, by account and code. */
export interface Refuse extends TransactionBase {
  readonly kind: TransactionKind.Refuse
  readonly account: string
  readonly code: string
  readonly count: number
  readonly message: string
}

/** Deletes ended jobs whose retention is over. */
export interface Expire extends TransactionBase {
  readonly kind: TransactionKind.Expire
}

/** Assigns, moves or removes homes. */
export interface SetHomes extends TransactionBase {
  readonly kind: TransactionKind.SetHomes
  readonly homes: readonly Home[]
  readonly removed: readonly string[]
  /** Identifiers of homes that do not fit in the present fleet. */
  readonly missing: readonly string[]
}

/** Returns a quarantined worker to service without a probe, because no waiting job could serve as one. */
export interface ReturnWorker extends TransactionBase {
  readonly kind: TransactionKind.ReturnWorker
  readonly worker: string
}

/** A deterministic change of the state. Carries its time and identifiers, so that every host applies it alike. */
export type Transaction =
  | PutConfiguration | AnnounceWorker | LoseWorker | LeaveWorker
  | AcceptJob | ReserveJob | ReleaseJob | StartJob | StopJob | EndAttempt | FinishJob
  | CancelJobs | EndJobs | Refuse | Expire | SetHomes | ReturnWorker
  | StepTransaction
