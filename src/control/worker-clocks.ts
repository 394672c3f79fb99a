/** Readings of the workers' own clocks in reports: soft state of the leader, which is not in the log. */

interface ClockReading {
  readonly clock: number
  /** When this reading was first reported, in monotonic milliseconds. */
  readonly reportedAt: number
  /** When the agent read it, in monotonic milliseconds. */
  readonly readAt: number
}

/**
 * Tracks the newest clock reading of each worker. An agent reports the last reading again while its worker is down, so a
 * report alone shows neither that the worker is alive nor that it can extend its lease.
 */
export class WorkerClocks {
  private readonly readings = new Map<string, ClockReading>()
  /** The newest reading at the time at which the lease of an incarnation was found to have expired. */
  private readonly lostAt = new Map<string, number>()
  /** Incarnations that were last found to have a clock that stands still. */
  private stopped: ReadonlySet<string> = new Set()

  private constructor (private readonly stoppedAfterMilliseconds: number) {}

  /**
   * Creates a tracker without readings.
   * @param stoppedAfterMilliseconds - age of a reading after which its clock counts as stopped
   * @returns the tracker
   */
  static create (stoppedAfterMilliseconds: number): WorkerClocks {
    return new WorkerClocks(stoppedAfterMilliseconds)
  }

  /** Number of workers whose clock stood still at the last check. */
  get stoppedCount (): number { return this.stopped.size }

  /**
   * Records the reading in a report.
   * @param incarnation - the worker's incarnation
   * @param clock - its own clock, in milliseconds
   * @param ageMilliseconds - age of the reading, as the agent states it
   * @param now - monotonic milliseconds
   * @returns when the newest reading was first reported, in monotonic milliseconds
   */
  record (incarnation: string, clock: number, ageMilliseconds: number, now: number): number {
    const known = this.readings.get(incarnation)
    if (known !== undefined && clock <= known.clock) return known.reportedAt
    this.readings.set(incarnation, { clock, reportedAt: now, readAt: now - ageMilliseconds })
    return now
  }

  /**
   * Returns the age of the newest reading.
   * @param incarnation - the worker's incarnation
   * @param now - monotonic milliseconds
   * @returns milliseconds; 0 where there is no reading
   */
  ageOf (incarnation: string, now: number): number {
    return now - (this.readings.get(incarnation)?.readAt ?? now)
  }

  /** Tells whether the clock of an incarnation stands still; `now` is in monotonic milliseconds. */
  isStopped (incarnation: string, now: number): boolean {
    return this.ageOf(incarnation, now) > this.stoppedAfterMilliseconds
  }

  /** Records that the lease of an incarnation has expired. */
  recordLoss (incarnation: string): void {
    const known = this.readings.get(incarnation)
    if (known !== undefined) this.lostAt.set(incarnation, known.clock)
  }

  /** Tells whether an incarnation may be registered: its clock moves, and has moved since its lease expired. */
  mayRegister (incarnation: string, now: number): boolean {
    const clock = this.readings.get(incarnation)?.clock ?? 0
    return !this.isStopped(incarnation, now) && clock > (this.lostAt.get(incarnation) ?? -1)
  }

  /**
   * Checks all incarnations.
   * @param incarnations - the registered ones
   * @param now - monotonic milliseconds
   * @returns those whose clock has stopped since the last check
   */
  newlyStopped (incarnations: Iterable<string>, now: number): string[] {
    const before = this.stopped
    const stopped = [...incarnations].filter((incarnation) => this.isStopped(incarnation, now))
    this.stopped = new Set(stopped)
    return stopped.filter((incarnation) => !before.has(incarnation))
  }

  /** Forgets an incarnation that is neither registered nor reported. */
  forget (incarnation: string): void {
    this.readings.delete(incarnation)
    this.lostAt.delete(incarnation)
  }

  /** Forgets everything, as after a change of leader. */
  clear (): void {
    this.readings.clear()
    this.lostAt.clear()
    this.stopped = new Set()
  }
}
