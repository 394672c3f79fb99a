import { createHash } from 'node:crypto'
import type { Guarantee, Section } from './document'
import type { JobState, Reason } from './job'
import type { RecordHead } from './state'
import type { TransactionKind } from './transaction'
import type { Verdict } from './verdict'

/** One thing that was decided, as it stands in the audit trail. */
export interface RecordEvent {
  readonly kind: TransactionKind
  /** Milliseconds since the epoch. */
  readonly at: number
  readonly account?: string
  readonly job?: string
  readonly attempt?: number
  readonly state?: JobState
  readonly reason?: Reason | string
  readonly verdict?: Verdict
  readonly workers?: readonly string[]
  readonly team?: string
  /** Identifier of the writer's request. */
  readonly request?: string
  /** Number of the document after a change of configuration. */
  readonly number?: number
  /** The changed sections with their numbers before. */
  readonly sections?: ReadonlyArray<{ readonly section: Section, readonly before: number }>
  readonly digestBefore?: string
  readonly digestAfter?: string
  /** What a change of configuration did, one line each. */
  readonly consequences?: readonly string[]
  /** All guarantees in force after a change of that section. */
  readonly guarantees?: readonly Guarantee[]
  readonly message?: string
}

/** A line of the audit trail, chained to the one before it. */
export interface RecordLine {
  readonly sequence: number
  readonly text: string
  readonly digest: string
}

/**
 * Chains an event to the record.
 * @param head - the head before
 * @param event - what was decided
 * @returns the line; its sequence and digest are the new head
 */
export function chain (head: RecordHead, event: RecordEvent): RecordLine {
  const sequence = head.sequence + 1
  const text = JSON.stringify({ sequence, ...event, previous: head.digest })
  return { sequence, text, digest: createHash('sha256').update(text).digest('hex') }
}
