import { createHash } from 'node:crypto'
import type { ClientAccount, Guarantee, Section, Shape } from './document'
import type { JobState, Reason } from './job'
import type { RecordHead } from './state'
import type { StepJobState } from './steps/model'
import type { StepTransactionKind } from './steps/transactions'
import type { TransactionKind } from './transaction'
import type { Verdict } from './verdict'

/** What the document promises to one account. */
export interface AccountPromise {
  readonly account: string
  /** False where the account is closed. */
  readonly open: boolean
  readonly limits?: Pick<ClientAccount, 'share' | 'queuedJobs' | 'runningAccelerators'>
  readonly guarantees: ReadonlyArray<Pick<Guarantee, 'shape' | 'count' | 'graceSeconds'>>
}

/** What a numbered document promises to one account. */
export interface AcceleratorGuarantee {
  readonly account: string
  /** Accelerators that its jobs of priority 0 can always have; 0 where nothing is promised any more. */
  readonly accelerators: number
}

/** One thing that was decided, as it stands in the audit trail. */
export interface RecordEvent {
  readonly kind: TransactionKind | StepTransactionKind
  /** Milliseconds since the epoch. */
  readonly at: number
  readonly account?: string
  readonly job?: string
  readonly attempt?: number
  readonly state?: JobState | StepJobState
  readonly reason?: Reason | string
  readonly verdict?: Verdict
  readonly workers?: readonly string[]
  /** The accelerators on each of the workers: bit i set stands for accelerator i of the row. */
  readonly masks?: readonly number[]
  /** The place of a guaranteed shape that is held, found, moved or lost. */
  readonly home?: string
  /** Longest time until that place is given back, in seconds. */
  readonly graceSeconds?: number
  /** The attempt lies on accelerators that are promised to somebody. */
  readonly borrowing?: boolean
  /** What an accepted job asks for. */
  readonly shape?: Pick<Shape, 'workers' | 'accelerators' | 'within'>
  /** Name of the queue of a job of steps. */
  readonly queue?: string
  /** Accelerators guaranteed from this numbered document on; only accounts whose guarantee changed. */
  readonly acceleratorGuarantees?: readonly AcceleratorGuarantee[]
  readonly step?: number
  readonly task?: number
  /** Accelerators that a run of a step takes in all. */
  readonly accelerators?: number
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
  /** What accounts are promised from this change on; only accounts whose promise changed. */
  readonly promises?: readonly AccountPromise[]
  /** How many requests a counted refusal stands for. */
  readonly count?: number
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
