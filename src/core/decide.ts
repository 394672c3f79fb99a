import { Urgency } from './document'
import { Reason, type Job } from './job'
import { place } from './placement'
import type { State } from './state'
import { TransactionKind, type Transaction } from './transaction'

/** What the leader knows beside the log; rebuilt from agents after a leader change. */
export interface SoftState {
  /** Milliseconds since the epoch. */
  readonly now: number
}

/** Reservations that are decided in one call at most; the next call goes on. */
const MOST_RESERVATIONS = 64

const urgencyRank: { readonly [urgency in Urgency]: number } = {
  [Urgency.Urgent]: 0,
  [Urgency.Normal]: 1,
  [Urgency.Background]: 2
}

/**
 * Decides what to do next. The leader proposes the first of them, applies it, and asks again.
 * @param state - the state with all proposed entries applied
 * @param soft - what is known beside the log
 * @returns transactions to propose, in order; none when there is nothing to do now
 */
export function decide (state: State, soft: SoftState): Transaction[] {
  const queued = state.queued.toArray().map((identifier) => state.jobs.get(identifier)).filter((job): job is Job => job !== undefined)
  const late = queued.filter((job) => job.specification.deadline !== 0 && job.specification.deadline <= soft.now)
  if (late.length > 0) {
    const jobs = late.map((job) => job.identifier)
    return [{ kind: TransactionKind.EndJobs, at: soft.now, jobs, reason: Reason.DeadlinePassed, message: 'the deadline passed while the job waited' }]
  }
  queued.sort((one, other) => urgencyRank[one.specification.urgency] - urgencyRank[other.specification.urgency] || one.acceptedAt - other.acceptedAt)
  for (const job of queued.slice(0, MOST_RESERVATIONS)) {
    if (job.notBefore > soft.now) continue
    const members = place(state, job)
    if (members === undefined) continue
    return [{ kind: TransactionKind.ReserveJob, at: soft.now, job: job.identifier, attempt: job.attempts + 1, members, reason: Reason.FairShare, borrowing: false }]
  }
  return []
}
