import type { JobSpecification } from './document'
import type { Verdict } from './verdict'

/** State of a job. Each transition is an entry of the log. */
export enum JobState {
  Queued = 'queued',
  Reserved = 'reserved',
  Running = 'running',
  Stopping = 'stopping',
  Finished = 'finished',
  Failed = 'failed',
  Cancelled = 'cancelled'
}

/** Reason of a decision about a job, a home or a worker. */
export enum Reason {
  Submitted = 'submitted',
  Declared = 'declared',
  OwnGuarantee = 'own-guarantee',
  FairShare = 'fair-share',
  Borrowed = 'borrowed',
  Backfill = 'backfill',
  AllMembersGranted = 'all-members-granted',
  MemberRefused = 'member-refused',
  ReservationTimedOut = 'reservation-timed-out',
  Reclaimed = 'reclaimed',
  MadeRoomForUrgent = 'made-room-for-urgent',
  MemberLost = 'member-lost',
  WorkerLeaving = 'worker-leaving',
  /** The data centre of one of its workers is evacuated. */
  Evacuated = 'evacuated',
  CancelledByCaller = 'cancelled-by-caller',
  RemovedFromDocument = 'removed-from-document',
  AccountRemoved = 'account-removed',
  DeadlinePassed = 'deadline-passed',
  TargetFailed = 'target-failed',
  PlatformFailed = 'platform-failed',
  AgentRestarted = 'agent-restarted',
  AnswerDamaged = 'answer-damaged',
  AnswerOfAnother = 'answer-of-another',
  AnswerTooLarge = 'answer-too-large',
  ConnectionBroken = 'connection-broken',
  ConnectionRefused = 'connection-refused',
  LeaseLost = 'lease-lost',
  Leaving = 'leaving',
  NoReservation = 'no-reservation',
  OtherIncarnation = 'other-incarnation',
  StoppedByControl = 'stopped-by-control',
  WasRefusedBefore = 'was-refused-before',
  OverMemory = 'over-memory',
  FailedOnDistinctWorkers = 'failed-on-distinct-workers',
  AttemptsUsedUp = 'attempts-used-up',
  MayHaveRun = 'may-have-run',
  AnswerStored = 'answer-stored',
  Checkpointed = 'checkpointed',
  Stopped = 'stopped',
  NotStarted = 'not-started',
  ImpossibleShape = 'impossible-shape',
  MadeRoomForGang = 'made-room-for-gang',
  Probe = 'probe',
  Urgent = 'urgent',
  HomeFound = 'home-found',
  HomeMoved = 'home-moved',
  HomeBlocked = 'home-blocked',
  HomeImpossible = 'home-impossible',
  HomeRemoved = 'home-removed',
  Quarantined = 'quarantined',
  ReturnedToService = 'returned-to-service'
}

/** A payload or answer with its digest. */
export interface Content {
  readonly contentType: string
  readonly base64: string
  /** SHA-256 of the body, in hexadecimal. */
  readonly digest: string
}

/** One worker of an attempt, with the accelerators it provides. */
export interface Member {
  readonly worker: string
  /** The incarnation of the worker's agent that has granted, or is asked to grant, the reservation. */
  readonly incarnation: string
  /** Bit i stands for accelerator i of the worker. The set bits are adjacent. */
  readonly mask: number
}

/** One attempt to run a job. */
export interface Attempt {
  readonly number: number
  readonly members: readonly Member[]
  readonly reason: Reason
  /** Milliseconds since the epoch. */
  readonly reservedAt: number
  /** Milliseconds since the epoch, 0 until the start is in the log. From then on the job may have run. */
  readonly startedAt: number
  /** Some of the accelerators belong to a home that the attempt does not hold. */
  readonly borrowing: boolean
  /** The home of its own account that the attempt uses. */
  readonly home?: string
  /** Milliseconds since the epoch, 0 until the stop is in the log. */
  readonly stoppingAt: number
  readonly stopReason?: Reason
  /** Time allowed to checkpoint and stop, in milliseconds; 0 for the agent's default. */
  readonly stopGrace?: number
  /** Workers on which the attempt no longer runs: the agent reported the end, or the member was lost. */
  readonly ended: readonly string[]
  /** Set once a member has ended that may have run. */
  readonly mayHaveRun?: boolean
  /** Set once a member has failed. */
  readonly failed?: boolean
}

/** The end of a job. */
export interface JobEnd {
  readonly verdict: Verdict
  readonly reason: Reason
  readonly message: string
  readonly at: number
  readonly answer?: Content
}

/** A job submitted by a caller or declared in the document. */
export interface Job {
  readonly identifier: string
  readonly specification: JobSpecification
  /** SHA-256 of the specification. A request with the same identifier and a different digest is refused. */
  readonly digest: string
  readonly declared: boolean
  readonly state: JobState
  readonly acceptedAt: number
  /** Time at which the job was last queued, in milliseconds since the epoch. */
  readonly queuedAt: number
  /** Number of the latest attempt, 0 before the first. */
  readonly attempts: number
  /** Present while reserved, running or stopping, and after the end until every member has stopped. */
  readonly attempt?: Attempt
  /** Earliest time of the next attempt, in milliseconds since the epoch (backoff). */
  readonly notBefore: number
  /** Workers on which attempts failed, each listed once. */
  readonly failedOn: readonly string[]
  /** How often the job was stopped, or its reservation released, in favour of other jobs. */
  readonly stops: number
  /** Number of failed attempts, whatever the cause. */
  readonly failures: number
  /** Memory needed according to past runs, in megabytes; 0 if unknown. */
  readonly learnedMemory: number
  /** Memory for the next attempt, in megabytes, while an attempt that exceeded its memory is ending. */
  readonly pendingMemory?: number
  readonly cancelRequested: boolean
  /** Set once an attempt has ended that may have run. */
  readonly mayHaveRun?: boolean
  readonly end?: JobEnd
}

/**
 * Tells whether a job has ended.
 * @param job - the job
 * @returns true if it finished, failed or was cancelled
 */
export function hasEnded (job: Job): boolean {
  return job.end !== undefined
}
