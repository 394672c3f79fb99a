import { Pass } from './pass'
import { planHomes } from './guarantees'
import { JobState, Reason, type Job } from './job'
import { holdable } from './placement'
import { Queue, type Entry } from './queue'
import type { State } from './state'
import { scheduleSteps, type FleetView } from './steps/schedule'
import { TransactionKind, type Transaction } from './transaction'

/** What the leader knows beside the log; rebuilt from agents after a leader change. */
export interface SoftState {
  /** Milliseconds since the epoch. */
  readonly now: number
  /** Workers that have missed heartbeats and whose lease has not run out yet: they get no new work. None by default. */
  readonly silent?: ReadonlySet<string>
  /** What is known of workers that run tasks of jobs of steps; without it none are started. */
  readonly fleet?: FleetView
}

/** Milliseconds after which a reservation is released that not all members have granted. */
const RESERVATION_TIMEOUT_MILLISECONDS = 1_200
/** Milliseconds without a new worker after which a shape that no known worker holds is given up. */
const FLEET_SETTLED_MILLISECONDS = 5_000
/** Jobs that are ended in one entry at most. */
const MOST_ENDED = 1_000

/**
 * Decides what to do next. The leader proposes the transactions in their order, applies them, and asks again.
 * @param state - the state with all proposed entries applied
 * @param soft - what is known beside the log
 * @returns transactions to propose, in order; none when there is nothing to do now
 */
export function decide (state: State, soft: SoftState): Transaction[] {
  if (soft.fleet !== undefined) {
    const decisions = scheduleSteps(state.steps, soft.fleet)
    if (decisions.length > 0) return decisions
  }
  const queue = Queue.of(state)
  const due = [...overdueReservations(state, soft.now), ...hopelessJobs(state, queue, soft.now)]
  if (due.length > 0) return due
  const homes = planHomes(state, soft.now)
  if (homes !== undefined) return [homes]
  return Pass.create(state, queue, soft).run()
}

function overdueReservations (state: State, now: number): Transaction[] {
  const overdue: Transaction[] = []
  for (const identifier of state.reserved.toArray().sort()) {
    const attempt = state.jobs.get(identifier)?.attempt
    if (attempt === undefined || attempt.reservedAt + RESERVATION_TIMEOUT_MILLISECONDS > now) continue
    overdue.push({ kind: TransactionKind.ReleaseJob, at: now, job: identifier, attempt: attempt.number, reason: Reason.ReservationTimedOut })
  }
  return overdue
}

/** Waiting jobs whose deadline has passed, or that no known fleet can ever hold. */
function hopelessJobs (state: State, queue: Queue, now: number): Transaction[] {
  const late = queue.earliestDeadline > now ? [] : jobsOf(queue, ({ job }) => isLate(job, now))
  const settled = state.workers.size > 0 && now - state.fleetGrewAt >= FLEET_SETTLED_MILLISECONDS
  const hopeless = new Set(settled ? [...queue.classes].filter(([, { job }]) => !holdable(state.workers, job)).map(([sort]) => sort) : [])
  const impossible = hopeless.size === 0 ? [] : jobsOf(queue, (entry) => hopeless.has(entry.sort) && !isLate(entry.job, now))
  return [
    ...endJobs(late, now, Reason.DeadlinePassed, 'the deadline passed while the job waited'),
    ...endJobs(impossible, now, Reason.ImpossibleShape, 'no known part of the fleet could hold this shape and memory, even when empty')
  ]
}

function jobsOf (queue: Queue, chosen: (entry: Entry) => boolean): string[] {
  return queue.accounts.flatMap(({ entries }) => entries.filter(chosen).map(({ job }) => job.identifier))
}

function isLate (job: Job, now: number): boolean {
  return job.state === JobState.Queued && job.specification.deadline !== 0 && job.specification.deadline <= now
}

function endJobs (jobs: readonly string[], now: number, reason: Reason, message: string): Transaction[] {
  return jobs.length === 0 ? [] : [{ kind: TransactionKind.EndJobs, at: now, jobs: jobs.slice(0, MOST_ENDED), reason, message }]
}
