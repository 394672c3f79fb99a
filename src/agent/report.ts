import type { Content } from '../wire'
import { Verdict } from '../core/verdict'

/** How an attempt's part on this worker ended, in the words of the wire. */
export enum Outcome {
  /** The lead has the whole answer. */
  Finished = 'finished',
  Failed = 'failed',
  Stopped = 'stopped',
  Checkpointed = 'checkpointed',
  /** It did not start here and never will. */
  NotStarted = 'not-started'
}

/** Why an attempt's part ended as it did, or why a reservation was refused, in the words of the wire. */
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

/** What the agent says of an attempt, until control has it in the log. */
export interface Report {
  readonly outcome: Outcome
  readonly verdict: Verdict
  readonly reason: ReportReason
  /** Only with {@link Outcome.Finished}. */
  readonly answer?: Content
}

/**
 * Makes a report without an answer.
 * @param outcome - how the part ended
 * @param verdict - whether the request may have run
 * @param reason - why
 * @returns the report
 */
export function createReport (outcome: Outcome, verdict: Verdict, reason: ReportReason): Report {
  return { outcome, verdict, reason }
}

/**
 * Says that an attempt did not start on this worker and never will.
 * @param reason - why
 * @returns the report
 */
export function notStartedReport (reason: ReportReason): Report {
  return createReport(Outcome.NotStarted, Verdict.NotRun, reason)
}
