/**
 * The clock for the times that the leader writes to the log. It is set from the time of day when leadership begins and is
 * monotonic from then on, so later adjustments of the system clock do not affect it.
 */
export class LeaderClock {
  private startTime = Date.now()
  private startedAt = performance.now()

  private constructor () {}

  /**
   * Creates a clock set to the time of day.
   * @returns the clock
   */
  static create (): LeaderClock {
    return new LeaderClock()
  }

  /**
   * Resets the clock when this host becomes the leader.
   * @param earliest - time of the newest entry in the log; the clock does not start before it
   */
  begin (earliest: number): void {
    this.startTime = Math.max(earliest, Date.now())
    this.startedAt = performance.now()
  }

  /** Milliseconds since the epoch. */
  now (): number {
    return Math.round(this.startTime + performance.now() - this.startedAt)
  }
}
