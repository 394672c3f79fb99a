/** Exponential backoff with jitter, so that many agents do not reconnect at the same time. */
export class Backoff {
  private limitMilliseconds: number

  private constructor (private readonly initialMilliseconds: number, private readonly maxMilliseconds: number) {
    this.limitMilliseconds = initialMilliseconds
  }

  /**
   * Creates a backoff.
   * @param initialMilliseconds - upper limit of the first delay
   * @param maxMilliseconds - upper limit of all delays
   * @returns the backoff
   */
  static create (initialMilliseconds: number, maxMilliseconds: number): Backoff {
    return new Backoff(initialMilliseconds, maxMilliseconds)
  }

  /**
   * Returns a random delay and doubles the limit of the next one.
   * @returns milliseconds, between half the present limit and the limit
   */
  nextDelay (): number {
    const delay = this.limitMilliseconds * (0.5 + Math.random() / 2)
    this.limitMilliseconds = Math.min(this.maxMilliseconds, this.limitMilliseconds * 2)
    return delay
  }

  /** Waits for the next delay. */
  async wait (): Promise<void> {
    const delay = this.nextDelay()
    await new Promise((resolve) => { setTimeout(resolve, delay) })
  }

  /** Sets the limit back to its initial value. */
  reset (): void {
    this.limitMilliseconds = this.initialMilliseconds
  }
}
