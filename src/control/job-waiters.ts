import { hasEnded, type Job } from '../core/index'

/** A caller that is notified of changes of a job until the job ends. */
export interface JobWaiter {
  readonly report: (job: Job) => void
  /** Called when this host is no longer the leader; no further reports follow. */
  readonly abandon: () => void
}

/** The callers that wait for jobs on this host. */
export class JobWaiters {
  private readonly byJob = new Map<string, Set<JobWaiter>>()

  /**
   * Creates an empty set.
   * @returns the set
   */
  static create (): JobWaiters {
    return new JobWaiters()
  }

  /** Number of jobs with at least one waiter. */
  get size (): number { return this.byJob.size }

  /**
   * Adds a waiter.
   * @param job - identifier of the job
   * @param waiter - callbacks of the caller
   * @returns a function that removes the waiter
   */
  add (job: string, waiter: JobWaiter): () => void {
    const set = this.byJob.get(job) ?? new Set()
    this.byJob.set(job, set.add(waiter))
    return () => {
      set.delete(waiter)
      if (set.size === 0 && this.byJob.get(job) === set) this.byJob.delete(job)
    }
  }

  /** Reports a changed job to its waiters, and removes them if the job has ended. */
  notify (job: Job): void {
    const set = this.byJob.get(job.identifier)
    if (set === undefined) return
    if (hasEnded(job)) this.byJob.delete(job.identifier)
    for (const waiter of set) waiter.report(job)
  }

  /** Abandons all waiters. */
  abandon (): void {
    const sets = [...this.byJob.values()]
    this.byJob.clear()
    for (const set of sets) for (const waiter of set) waiter.abandon()
  }
}
