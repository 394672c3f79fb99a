import { createHash } from 'node:crypto'
import type { ClientAccount, Guarantee, Section, Shape } from './document'
import type { JobState, Reason } from './job'
import type { RecordHead } from './state'
import type { Resources, StepJobState } from './steps/model'
import type { StepTransactionKind } from './steps/transactions'
import type { TransactionKind } from './transaction'
import type { Verdict } from './verdict'

/** Limits and guarantees that the document grants to one account. */
export interface AccountEntitlement {
  readonly account: string
  /** False where the account is closed. */
  readonly open: boolean
  readonly limits?: Pick<ClientAccount, 'share' | 'queuedJobs' | 'runningAccelerators'>
  readonly guarantees: ReadonlyArray<Pick<Guarantee, 'shape' | 'count' | 'graceSeconds'>>
}

/** Accelerators that a numbered document guarantees to one account. */
export interface AcceleratorGuarantee {
  readonly account: string
  /** Accelerators available at all times to its jobs of priority 0; 0 where the guarantee has ended. */
  readonly accelerators: number
}

/** An event of the audit record. */
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
  /** Bit masks of the accelerators on each of the workers, in the order of `workers`: bit i is accelerator i. */
  readonly masks?: readonly number[]
  /** Identifier of the home that is occupied, assigned, moved or lost. */
  readonly home?: string
  /** Maximum time until the home is returned after a reclaim, in seconds. */
  readonly graceSeconds?: number
  /** The attempt uses accelerators that are reserved for a guarantee and can be reclaimed. */
  readonly borrowing?: boolean
  /** Shape of an accepted job. */
  readonly shape?: Pick<Shape, 'workers' | 'accelerators' | 'within'>
  /** Name of the queue of a step job. */
  readonly queue?: string
  /** Guarantees of a numbered document; only those that changed. */
  readonly acceleratorGuarantees?: readonly AcceleratorGuarantee[]
  readonly step?: number
  readonly task?: number
  /** Total accelerators of a run of a step; for a submitted step job, those needed to begin. */
  readonly accelerators?: number
  /** Capacity of the worker before and after a change of it. */
  readonly capacityBefore?: Resources
  readonly capacityAfter?: Resources
  /** The evacuated or returned data centre. */
  readonly dataCentre?: string
  readonly team?: string
  /** Identifier of the writer's request. */
  readonly request?: string
  /** Number of the document after a change of configuration, or of a change of evacuations. */
  readonly number?: number
  /** The changed sections with their numbers before. */
  readonly sections?: ReadonlyArray<{ readonly section: Section, readonly before: number }>
  readonly digestBefore?: string
  readonly digestAfter?: string
  /** Effects of a change of configuration, one line each. */
  readonly consequences?: readonly string[]
  /** Limits and guarantees after a change of configuration; only those of accounts for which they changed. */
  readonly promises?: readonly AccountEntitlement[]
  /** Number of refused requests that the event stands for. */
  readonly count?: number
  readonly message?: string
}

/** A line of the audit record. It contains the digest of the line before it. */
export interface RecordLine {
  readonly sequence: number
  readonly text: string
  readonly digest: string
}

/**
 * Appends an event to the hash chain of the record.
 * @param head - the head of the record
 * @param event - the event
 * @returns the line; its sequence number and digest are the new head
 */
export function chainedRecordLine (head: RecordHead, event: RecordEvent): RecordLine {
  const sequence = head.sequence + 1
  const text = JSON.stringify({ sequence, ...event, previous: head.digest })
  return { sequence, text, digest: createHash('sha256').update(text).digest('hex') }
}
