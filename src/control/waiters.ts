import { hasEnded, type Job } from '../core/index'

/** Somebody who wants to hear of a job until it ends. */
export interface Waiter {
  readonly report: (job: Job) => void
  /** Nothing more comes from here: this host does not lead any more. */
  readonly abandon: () => void
}

/** Those who wait for jobs at this host. */
export class Waiters {
  private readonly byJob = new Map<string, Set<Waiter>>()

  /**
   * Makes an empty set.
   * @returns the object
   */
  static create (): Waiters {
    return new Waiters()
  }

  /** Number of jobs that somebody waits for. */
  get size (): number { return this.byJob.size }

  /**
   * Adds a waiter.
   * @param job - identifier of the job
   * @param waiter - who wants to hear
   * @returns takes the waiter out again
   */
  add (job: string, waiter: Waiter): () => void {
    const set = this.byJob.get(job) ?? new Set()
    this.byJob.set(job, set.add(waiter))
    return () => {
      set.delete(waiter)
      if (set.size === 0 && this.byJob.get(job) === set) this.byJob.delete(job)
    }
  }

  /** Reports a job that moved; at its end the waiters are done. */
  moved (job: Job): void {
    const set = this.byJob.get(job.identifier)
    if (set === undefined) return
    if (hasEnded(job)) this.byJob.delete(job.identifier)
    for (const waiter of set) waiter.report(job)
  }

  /** Sends everybody away. */
  abandon (): void {
    const sets = [...this.byJob.values()]
    this.byJob.clear()
    for (const set of sets) for (const waiter of set) waiter.abandon()
  }
}
