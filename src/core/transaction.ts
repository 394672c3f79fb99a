import type { Content, Member, Reason } from './job'
import type { JobSpecification } from './document'
import type { Home } from './homes'
import type { Verdict } from './verdict'
import type { StepTransaction } from './steps/transactions'
import type { WorkerDescription } from './worker'

/** The kinds of entries in the log. */
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

/** How a member's part of an attempt ended without an answer. */
export enum AttemptOutcome {
  /** The agent states that the attempt did not start here and never will. */
  NotStarted = 'not-started',
  Failed = 'failed',
  Stopped = 'stopped',
  Checkpointed = 'checkpointed',
  /** The worker's lease ran out, or its agent restarted and the platform knows nothing of the attempt. */
  Lost = 'lost'
}

/** A number of the document that a writer read, for one section. */
export interface SectionNumber {
  readonly section: string
  readonly number: number
}

/** What every entry carries. */
export interface Common {
  /** Milliseconds since the epoch at the leader that proposed the entry. */
  readonly at: number
}

/** A writer replaces sections of the document. */
export interface PutConfiguration extends Common {
  readonly kind: TransactionKind.PutConfiguration
  readonly team: string
  readonly requestIdentifier: string
  readonly read: readonly SectionNumber[]
  /** The sections to replace, as one JSON text, checked before it was proposed and again when applied. */
  readonly sectionsJson: string
  /** Digest of the request as it was sent, before defaults were filled in; made from this entry where it is absent. */
  readonly requestDigest?: string
}

/** An agent told of its worker. */
export interface AnnounceWorker extends Common {
  readonly kind: TransactionKind.AnnounceWorker
  readonly worker: WorkerDescription
  readonly incarnation: string
  readonly leaving: boolean
  /** Attempts that the platform says are running there. */
  readonly running: readonly AttemptKey[]
}

/** The lease of a worker ran out. */
export interface LoseWorker extends Common {
  readonly kind: TransactionKind.LoseWorker
  readonly worker: string
  readonly incarnation: string
}

/** A target said that it leaves. */
export interface LeaveWorker extends Common {
  readonly kind: TransactionKind.LeaveWorker
  readonly worker: string
}

/** A job is accepted. */
export interface AcceptJob extends Common {
  readonly kind: TransactionKind.AcceptJob
  readonly identifier: string
  readonly specification: JobSpecification
}

/** Names one attempt of one job. */
export interface AttemptKey {
  readonly job: string
  readonly attempt: number
}

/** Members are chosen for a new attempt. */
export interface ReserveJob extends Common, AttemptKey {
  readonly kind: TransactionKind.ReserveJob
  readonly members: readonly Member[]
  readonly reason: Reason
  readonly borrowing: boolean
  /** The home of the job's own account that is taken. */
  readonly home?: string
}

/** Gives a reservation back before anything was started. */
export interface ReleaseJob extends Common, AttemptKey {
  readonly kind: TransactionKind.ReleaseJob
  readonly reason: Reason
}

/** All members granted their reservation; from here on the attempt may run. */
export interface StartJob extends Common, AttemptKey {
  readonly kind: TransactionKind.StartJob
}

/** The attempt is to be checkpointed or stopped on every member. */
export interface StopJob extends Common, AttemptKey {
  readonly kind: TransactionKind.StopJob
  readonly reason: Reason
  /** Milliseconds that the members may take to checkpoint and stop; 0 or nothing for the agent's own limit. */
  readonly grace?: number
  /** The job for which room is made. */
  readonly beneficiary?: string
}

/** One member's part of an attempt is over, without an answer. */
export interface EndAttempt extends Common, AttemptKey {
  readonly kind: TransactionKind.EndAttempt
  readonly worker: string
  readonly outcome: AttemptOutcome
  readonly verdict: Verdict
  readonly reason: Reason
  /** Memory seen in use, in megabytes, 0 where unknown. */
  readonly usedMemory: number
}

/** The whole answer of the lead member. */
export interface FinishJob extends Common, AttemptKey {
  readonly kind: TransactionKind.FinishJob
  readonly worker: string
  readonly answer: Content
}

/** Jobs are cancelled, many in one entry. */
export interface CancelJobs extends Common {
  readonly kind: TransactionKind.CancelJobs
  readonly jobs: readonly string[]
  /** Empty for operators; else only jobs of this account are cancelled. */
  readonly account: string
  readonly reason: Reason
}

/** Ends jobs that were never started, or whose attempts are all over. */
export interface EndJobs extends Common {
  readonly kind: TransactionKind.EndJobs
  readonly jobs: readonly string[]
  readonly reason: Reason
  readonly message: string
}

/** Refusals since the last such entry, counted per account and code, for the record. */
export interface Refuse extends Common {
  readonly kind: TransactionKind.Refuse
  readonly account: string
  readonly code: string
  readonly count: number
  readonly message: string
}

/** Forgets ended jobs past their retention. */
export interface Expire extends Common {
  readonly kind: TransactionKind.Expire
}

/** Guaranteed shapes get, change or lose their place. */
export interface SetHomes extends Common {
  readonly kind: TransactionKind.SetHomes
  readonly homes: readonly Home[]
  readonly removed: readonly string[]
  /** Homes for which there is no place now. */
  readonly missing: readonly string[]
}

/** A quarantined worker gets work again without a probe, as nothing that could probe it waits. */
export interface ReturnWorker extends Common {
  readonly kind: TransactionKind.ReturnWorker
  readonly worker: string
}

/** One entry of the log. Time and identifiers are inside. */
export type Transaction =
  | PutConfiguration | AnnounceWorker | LoseWorker | LeaveWorker
  | AcceptJob | ReserveJob | ReleaseJob | StartJob | StopJob | EndAttempt | FinishJob
  | CancelJobs | EndJobs | Refuse | Expire | SetHomes | ReturnWorker
  | StepTransaction
