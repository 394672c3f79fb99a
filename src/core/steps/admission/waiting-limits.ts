/** Limits of waiting work by account and queue, and over all accounts. */
import { addWork, noWork, waitingKey, type WaitingWorkIndex, type WorkSize } from './waiting-work'

/** The limits. Each submission carries those of its leader into the log, so that every control host applies the same ones. */
export interface WaitingLimits {
  /** Of one account in one queue. */
  readonly account: WorkSize
  /** Of all accounts together, beyond which each account keeps an equal part of it. */
  readonly total: WorkSize
}

/**
 * Limits for control hosts with enough memory: a burst of a few thousand jobs of each account. A decision round takes about
 * 10 ms for each thousand waiting tasks on a loaded machine, and waiting tasks take about 1 MB for each thousand.
 */
export const defaultWaitingLimits: WaitingLimits = {
  account: { jobs: 5_000, tasks: 10_000, bytes: 16 * 1_048_576 },
  total: { jobs: 10_000, tasks: 30_000, bytes: 32 * 1_048_576 }
}

/** Heap of a control host from which on the default limits apply, in megabytes: the full limits fill about a third of it. */
const FULL_LIMITS_MEGABYTES = 200

/**
 * Derives the limits from the memory of a control host. The time of a decision round bounds them where memory does not.
 * @param heapMegabytes - limit of the heap of the process
 * @returns the default limits, in proportion to the heap where it is smaller
 */
export function waitingLimitsFor (heapMegabytes: number): WaitingLimits {
  const share = Math.min(1, heapMegabytes / FULL_LIMITS_MEGABYTES)
  const scaled = ({ jobs, tasks, bytes }: WorkSize): WorkSize => ({ jobs: Math.ceil(jobs * share), tasks: Math.ceil(tasks * share), bytes: Math.ceil(bytes * share) })
  return { account: scaled(defaultWaitingLimits.account), total: scaled(defaultWaitingLimits.total) }
}

/** A submission as the limits see it. */
export interface SubmittedWork {
  readonly account: string
  readonly queue: string
  readonly size: WorkSize
}

/** Which limit a submission exceeds. */
export enum LimitScope {
  Account = 'account',
  Total = 'total'
}

/** A limit that a submission exceeds. */
export interface ExceededLimit {
  readonly scope: LimitScope
  readonly dimension: keyof WorkSize
  readonly waiting: WorkSize
  readonly limit: WorkSize
}

const dimensions: ReadonlyArray<keyof WorkSize> = ['jobs', 'tasks', 'bytes']

/**
 * Checks a submission against the limits. An account without waiting work may always submit one job, however large.
 * @param index - the waiting work
 * @param submitted - the submission
 * @param limits - the limits
 * @param accounts - number of the accounts that share the total
 * @param reserved - room in the same queue that is kept for other callers of the account; none by default
 * @returns the first limit that it exceeds, or undefined
 */
export function findExceededLimit (index: WaitingWorkIndex, submitted: SubmittedWork, limits: WaitingLimits, accounts: number, reserved = noWork): ExceededLimit | undefined {
  const { account, queue, size } = submitted
  let [ofAccount, total] = [reserved, reserved]
  for (const waiting of index.values()) {
    total = addWork(total, waiting)
    if (waiting.account === account) ofAccount = addWork(ofAccount, waiting)
  }
  if (ofAccount.jobs === 0) return undefined
  const waiting = addWork(index.get(waitingKey(account, queue)) ?? noWork, reserved)
  const exceeded = exceededDimension(addWork(waiting, size), limits.account)
  if (exceeded !== undefined && waiting.jobs > 0) return { scope: LimitScope.Account, dimension: exceeded, waiting, limit: limits.account }
  const share = partOf(limits.total, accounts)
  const overTotal = exceededDimension(addWork(total, size), limits.total)
  if (overTotal === undefined || addWork(ofAccount, size)[overTotal] <= share[overTotal]) return undefined
  return { scope: LimitScope.Total, dimension: overTotal, waiting: ofAccount, limit: share }
}

function partOf ({ jobs, tasks, bytes }: WorkSize, parts: number): WorkSize {
  const divisor = Math.max(1, parts)
  return { jobs: jobs / divisor, tasks: tasks / divisor, bytes: bytes / divisor }
}

function exceededDimension (amount: WorkSize, limit: WorkSize): keyof WorkSize | undefined {
  return dimensions.find((dimension) => amount[dimension] > limit[dimension])
}
