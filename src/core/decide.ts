import { SchedulingPass } from './scheduling-pass'
import { planHomes } from './guarantees'
import { JobState, Reason, type Job } from './job'
import { fitsKnownFleet } from './placement'
import { Queue, type QueueEntry } from './queue'
import type { State } from './state'
import { scheduleSteps, type FleetView } from './steps/schedule'
import { TransactionKind, type Transaction } from './transaction'

/** State that the leader keeps outside the log; rebuilt from agents after a leader change. */
export interface SoftState {
  /** Milliseconds since the epoch. */
  readonly now: number
  /** Workers that have missed heartbeats but whose lease has not expired: they get no new work. None by default. */
  readonly silent?: ReadonlySet<string>
  /** The workers that run tasks of step jobs; without it no steps are started. */
  readonly fleet?: FleetView
}

/** Time within which all members must grant a reservation; then it is released. */
const RESERVATION_TIMEOUT_MILLISECONDS = 1_200
/** Time without a new worker after which jobs that the known fleet cannot hold are failed. */
const FLEET_SETTLED_MILLISECONDS = 5_000
/** Maximum number of jobs ended by one entry. */
const MAX_ENDED_JOBS = 1_000

/**
 * Makes the next scheduling decisions. The leader proposes the transactions in order, applies them, and calls again.
 * @param state - the state with all proposed entries applied
 * @param soft - state outside the log
 * @returns transactions to propose, in order; none if there is nothing to do
 */
export function decide (state: State, soft: SoftState): Transaction[] {
  if (soft.fleet !== undefined) {
    const decisions = scheduleSteps(state.steps, soft.fleet)
    if (decisions.length > 0) return decisions
  }
  const queue = Queue.of(state)
  const due = [...releaseOverdueReservations(state, soft.now), ...endUnrunnableJobs(state, queue, soft.now)]
  if (due.length > 0) return due
  const homes = planHomes(state, soft.now)
  if (homes !== undefined) return [homes]
  return SchedulingPass.create(state, queue, soft).run()
}

function releaseOverdueReservations (state: State, now: number): Transaction[] {
  const overdue: Transaction[] = []
  for (const identifier of state.reserved.toArray().sort()) {
    const attempt = state.jobs.get(identifier)?.attempt
    if (attempt === undefined || attempt.reservedAt + RESERVATION_TIMEOUT_MILLISECONDS > now) continue
    overdue.push({ kind: TransactionKind.ReleaseJob, at: now, job: identifier, attempt: attempt.number, reason: Reason.ReservationTimedOut })
  }
  return overdue
}

/** Ends waiting jobs whose deadline has passed, or that the known fleet cannot hold. */
function endUnrunnableJobs (state: State, queue: Queue, now: number): Transaction[] {
  const expired = queue.earliestDeadline > now ? [] : identifiersOf(queue, ({ job }) => isPastDeadline(job, now))
  const settled = state.workers.size > 0 && now - state.fleetGrewAt >= FLEET_SETTLED_MILLISECONDS
  const impossibleClasses = new Set(settled ? [...queue.classes].filter(([, { job }]) => !fitsKnownFleet(state.workers, job)).map(([placementClass]) => placementClass) : [])
  const impossible = impossibleClasses.size === 0 ? [] : identifiersOf(queue, (entry) => impossibleClasses.has(entry.placementClass) && !isPastDeadline(entry.job, now))
  return [
    ...endJobs(expired, now, Reason.DeadlinePassed, 'the deadline passed while the job waited'),
    ...endJobs(impossible, now, Reason.ImpossibleShape, 'no known part of the fleet could hold this shape and memory, even when empty')
  ]
}

function identifiersOf (queue: Queue, chosen: (entry: QueueEntry) => boolean): string[] {
  return queue.accounts.flatMap(({ entries }) => entries.filter(chosen).map(({ job }) => job.identifier))
}

function isPastDeadline (job: Job, now: number): boolean {
  return job.state === JobState.Queued && job.specification.deadline !== 0 && job.specification.deadline <= now
}

function endJobs (jobs: readonly string[], now: number, reason: Reason, message: string): Transaction[] {
  return jobs.length === 0 ? [] : [{ kind: TransactionKind.EndJobs, at: now, jobs: jobs.slice(0, MAX_ENDED_JOBS), reason, message }]
}
