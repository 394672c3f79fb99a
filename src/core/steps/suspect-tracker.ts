/** Tracks the workers on which runs have recently failed or stalled. Soft state of the leader: it is not replicated. */

/** Time for which a worker is suspected after a failure or a stall; a successful run ends the suspicion of failing earlier. */
const SUSPECT_MILLISECONDS = 6_000
/** Jobs that have to fail on a worker before the worker is blamed: a single job may fail by its own fault. */
const MIN_FAILED_JOBS = 2

/** What failed on a worker. */
interface Failures {
  /** The jobs of which runs failed. */
  readonly jobs: ReadonlySet<string>
  /** The worker did not accept a run. */
  readonly refused: boolean
  readonly until: number
}

/** Suspected workers by incarnation. */
export class SuspectTracker {
  private readonly failures = new Map<string, Failures>()
  private readonly stalledUntil = new Map<string, number>()

  private constructor () {}

  /**
   * Creates a tracker without suspects.
   * @returns the tracker
   */
  static create (): SuspectTracker {
    return new SuspectTracker()
  }

  /** Records that a run stalled, or nearly so. Runs that succeed there do not end this suspicion, as they do not show that the worker has recovered. */
  recordStall (incarnation: string, now: number): void {
    this.stalledUntil.set(incarnation, now + SUSPECT_MILLISECONDS)
  }

  /** Records that a worker did not accept a run, which is its own fault. */
  recordRefusal (incarnation: string, now: number): void {
    this.failures.set(incarnation, { jobs: new Set(), refused: true, until: now + SUSPECT_MILLISECONDS })
  }

  /** Records that a run of a job failed on a worker. */
  recordFailure (incarnation: string, job: string, now: number): void {
    const known = this.failures.get(incarnation)
    this.failures.set(incarnation, { jobs: new Set(known?.jobs).add(job), refused: known?.refused === true, until: now + SUSPECT_MILLISECONDS })
  }

  /** Records that a run succeeded on a worker. */
  recordSuccess (incarnation: string): void {
    this.failures.delete(incarnation)
  }

  /** The incarnations that are suspected now: runs of several jobs failed there, or a run stalled. */
  suspects (now: number): ReadonlySet<string> {
    this.expire(now)
    return new Set([...this.failing(true), ...this.stalledUntil.keys()])
  }

  /** The incarnations on which runs of one job failed, so that either the worker or the job may be at fault. */
  doubtful (now: number): ReadonlySet<string> {
    this.expire(now)
    return new Set(this.failing(false))
  }

  /** Removes all suspects, as after a change of leader. */
  clear (): void {
    this.failures.clear()
    this.stalledUntil.clear()
  }

  private failing (blamed: boolean): string[] {
    return [...this.failures].filter(([, { jobs, refused }]) => (refused || jobs.size >= MIN_FAILED_JOBS) === blamed).map(([incarnation]) => incarnation)
  }

  private expire (now: number): void {
    for (const [incarnation, { until }] of this.failures) if (until <= now) this.failures.delete(incarnation)
    for (const [incarnation, until] of this.stalledUntil) if (until <= now) this.stalledUntil.delete(incarnation)
  }
}
