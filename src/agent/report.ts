import type { Content } from '../wire'
import { Verdict } from '../core/verdict'

/** How an attempt ended on this worker. The values are sent to control. */
export enum Outcome {
  /** The lead worker has the complete answer. */
  Finished = 'finished',
  Failed = 'failed',
  Stopped = 'stopped',
  Checkpointed = 'checkpointed',
  /** The attempt did not start on this worker and never will. */
  NotStarted = 'not-started'
}

/** Why an attempt ended on this worker, or why a reservation was refused. The values are sent to control. */
export enum ReportReason {
  None = '',
  AgentRestarted = 'agent-restarted',
  AnswerDamaged = 'answer-damaged',
  AnswerMismatch = 'answer-of-another',
  AnswerTooLarge = 'answer-too-large',
  ConnectionBroken = 'connection-broken',
  ConnectionRefused = 'connection-refused',
  DeadlinePassed = 'deadline-passed',
  LeaseLost = 'lease-lost',
  Leaving = 'leaving',
  NoConnection = 'no-connection-free',
  NoReservation = 'no-reservation',
  NoSlot = 'no-slot-free',
  AcceleratorTaken = 'accelerator-taken',
  OtherIncarnation = 'other-incarnation',
  OverMemory = 'over-memory',
  PlatformFailed = 'platform-failed',
  StoppedByControl = 'stopped-by-control',
  TargetFailed = 'target-failed',
  TargetSilent = 'target-silent',
  WasRefusedBefore = 'was-refused-before'
}

/** The end of an attempt on this worker. Sent to control until it is in the log there. */
export interface Report {
  readonly outcome: Outcome
  readonly verdict: Verdict
  readonly reason: ReportReason
  /** Set only with {@link Outcome.Finished}. */
  readonly answer?: Content
}

/**
 * Creates a report without an answer.
 * @param outcome - how the attempt ended
 * @param verdict - whether the request may have run
 * @param reason - why
 * @returns the report
 */
export function createReport (outcome: Outcome, verdict: Verdict, reason: ReportReason): Report {
  return { outcome, verdict, reason }
}

/**
 * Creates the report of an attempt that did not start on this worker and never will.
 * @param reason - why
 * @returns the report
 */
export function notStartedReport (reason: ReportReason): Report {
  return createReport(Outcome.NotStarted, Verdict.NotRun, reason)
}
