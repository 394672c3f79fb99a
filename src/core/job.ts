import type { JobSpecification } from './document'
import type { Verdict } from './verdict'

/** Where a job is in its life. Each move is an entry of the log. */
export enum JobState {
  Queued = 'queued',
  Reserved = 'reserved',
  Running = 'running',
  Stopping = 'stopping',
  Finished = 'finished',
  Failed = 'failed',
  Cancelled = 'cancelled'
}

/** Why something was decided on a job. */
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

/** A body with its digest. */
export interface Content {
  readonly contentType: string
  readonly base64: string
  /** SHA-256 of the body, in hexadecimal. */
  readonly digest: string
}

/** One worker's part of an attempt. */
export interface Member {
  readonly worker: string
  /** The incarnation of the worker's agent that granted, or is asked to grant, the reservation. */
  readonly incarnation: string
  /** Bit i set: accelerator i of the row. Set bits are adjacent. */
  readonly mask: number
}

/** One try at running a job. */
export interface Attempt {
  readonly number: number
  readonly members: readonly Member[]
  readonly reason: Reason
  /** Milliseconds since the epoch. */
  readonly reservedAt: number
  /** 0 until the start is in the log. From then on the job may have run. */
  readonly startedAt: number
  /** Accelerators lie on another account's home. */
  readonly borrowing: boolean
  /** The home of the job's own account that the attempt holds. */
  readonly home?: string
  /** 0 until the stop is in the log. */
  readonly stoppingAt: number
  readonly stopReason?: Reason
  /** Milliseconds that the members may take to checkpoint and stop; 0 for the agent's own limit. */
  readonly stopGrace?: number
  /** Members whose agent has said that nothing of the attempt runs there any more. */
  readonly ended: readonly string[]
  /** Set once a member ended that may have run its part. */
  readonly mayHaveRun?: boolean
  /** Set once a member failed. */
  readonly failed?: boolean
}

/** How a job ended. */
export interface JobEnd {
  readonly verdict: Verdict
  readonly reason: Reason
  readonly message: string
  readonly at: number
  readonly answer?: Content
}

/** A caller's request or a declared job. */
export interface Job {
  readonly identifier: string
  readonly specification: JobSpecification
  /** SHA-256 of the specification: the same identifier with another digest is an error. */
  readonly digest: string
  readonly declared: boolean
  readonly state: JobState
  readonly acceptedAt: number
  /** When it last joined the queue, in milliseconds since the epoch. */
  readonly queuedAt: number
  /** Number of the last attempt, 0 before the first. */
  readonly attempts: number
  /** Present in the states reserved, running and stopping. */
  readonly attempt?: Attempt
  /** Not before this time, in milliseconds since the epoch (retry backoff). */
  readonly notBefore: number
  /** Distinct workers on which an attempt failed. */
  readonly failedOn: readonly string[]
  /** How often it was stopped, or lost its reservation, to make room for others. */
  readonly stops: number
  /** Failed attempts, whatever the cause. */
  readonly failures: number
  /** Memory that a run was seen to need, in megabytes; 0 where nothing is known. */
  readonly learnedMemory: number
  /** Memory that the next attempt gets, while one that needed more is on its way out. */
  readonly pendingMemory?: number
  readonly cancelRequested: boolean
  /** Set once an attempt is over that may have run. */
  readonly mayHaveRun?: boolean
  readonly end?: JobEnd
}

/**
 * Tells whether a job has ended.
 * @param job - the job
 * @returns true in an end state
 */
export function hasEnded (job: Job): boolean {
  return job.end !== undefined
}
