/** Time as the leader puts it into the log: it starts from the time of day and goes on steadily, whatever that does afterwards. */
export class LeaderClock {
  private base = Date.now()
  private since = performance.now()

  private constructor () {}

  /**
   * Makes a clock that shows the time of day.
   * @returns the clock
   */
  static create (): LeaderClock {
    return new LeaderClock()
  }

  /**
   * Sets the clock as this host begins to lead.
   * @param least - time of the newest entry of the log; the clock starts no earlier
   */
  begin (least: number): void {
    this.base = Math.max(least, Date.now())
    this.since = performance.now()
  }

  /** Milliseconds since the epoch. */
  now (): number {
    return Math.round(this.base + performance.now() - this.since)
  }
}
