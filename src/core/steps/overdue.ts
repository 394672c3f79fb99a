/** When waiting work is overdue, so that it takes precedence over the other work of its priority. */
import type { StepJob } from './model'
import { objectiveMilliseconds } from './waiting-gangs'

/** Multiple of its objective after which a job is overdue: twice the time after which completing it has no value. */
const OVERDUE_OBJECTIVES = 6
/** Shortest time after which a job is overdue: bursts of this length are left to the usual order, which earns more. */
const MIN_OVERDUE_MILLISECONDS = 30_000
/** Longest such time, so that the bound for jobs of hours is not days. */
const MAX_OVERDUE_MILLISECONDS = 600_000

/**
 * Computes when a job becomes overdue, by its queue as it was when the job was accepted.
 * @param job - the job
 * @returns milliseconds since the epoch
 */
export function overdueAt (job: StepJob): number {
  const wait = OVERDUE_OBJECTIVES * objectiveMilliseconds(job, job.queue)
  return job.acceptedAt + Math.min(MAX_OVERDUE_MILLISECONDS, Math.max(MIN_OVERDUE_MILLISECONDS, wait))
}
