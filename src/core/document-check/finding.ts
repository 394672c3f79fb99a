/** What a check of a document reports. */
import type { Problem } from '../verdict'

/** A part of a document that is accepted and can hardly be meant. */
export enum FindingKind {
  /** No request can have the address of the queue; it can be named in the API of this project. */
  UnreachableQueue = 'unreachable-queue',
  /** The jobs below the prefix of the queue go to another one, whose prefix is the same with / at its end. */
  HiddenQueue = 'hidden-queue',
  /** Requests that begin with the prefix of the queue go to another one with a longer prefix. */
  PartlyHiddenQueue = 'partly-hidden-queue',
  ServiceWithoutQueues = 'service-without-queues',
  ServiceWithoutWorkers = 'service-without-workers',
  /** Queues belong to a service whose hosts are powered off. */
  StandbyServiceInUse = 'standby-service-in-use',
  AccountWithoutKeys = 'account-without-keys',
  /** A guarantee covers jobs of priority 0 only, and no queue has this priority. */
  GuaranteeWithoutQueue = 'guarantee-without-queue',
  GuaranteesBeyondFleet = 'guarantees-beyond-fleet',
  TimeoutBelowTarget = 'timeout-below-target',
  /** The objective of every job is 0, so that each is late at once. */
  NoTargetTime = 'no-target-time'
}

/** One finding. */
export interface Finding {
  readonly kind: FindingKind
  /** JSON pointer to the value. */
  readonly path: string
  /** Description for operators. */
  readonly text: string
}

/** The result of a check. */
export interface DocumentReport {
  /** Why the document would be refused. */
  readonly problems: readonly Problem[]
  readonly findings: readonly Finding[]
  /** What the document changes, in words; empty where it is refused or not compared. */
  readonly changes: readonly string[]
  /** What was not checked, in words. */
  readonly unchecked: readonly string[]
}

/**
 * The report on a document that would be refused.
 * @param problems - why
 * @returns a report without findings
 */
export function refusedReport (problems: readonly Problem[]): DocumentReport {
  return { problems, findings: [], changes: [], unchecked: [] }
}
