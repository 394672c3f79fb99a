import { stepJobEnded, type StepState } from './model'

/**
 * Counts the jobs of a queue that have been accepted but of which no task has started.
 * @param state - state of the step jobs
 * @param queue - name of the queue
 * @returns the number of jobs
 */
export function countPendingJobs (state: StepState, queue: string): number {
  let pending = 0
  for (const identifier of state.open) {
    const job = state.jobs.get(identifier)
    if (job !== undefined && !job.started && !stepJobEnded(job) && job.queue.name === queue) pending += 1
  }
  return pending
}
