/** Waits that grow twofold, each a random part of the growing bound, so that many agents do not come at once. */
export class Backoff {
  private limitMilliseconds: number

  private constructor (private readonly initialMilliseconds: number, private readonly maxMilliseconds: number) {
    this.limitMilliseconds = initialMilliseconds
  }

  /**
   * Makes a backoff.
   * @param initialMilliseconds - bound of the first wait, in milliseconds
   * @param maxMilliseconds - bound of all later waits, in milliseconds
   * @returns the backoff
   */
  static create (initialMilliseconds: number, maxMilliseconds: number): Backoff {
    return new Backoff(initialMilliseconds, maxMilliseconds)
  }

  /**
   * Draws the next wait.
   * @returns milliseconds, between half the bound and the bound
   */
  nextDelay (): number {
    const wait = this.limitMilliseconds * (0.5 + Math.random() / 2)
    this.limitMilliseconds = Math.min(this.maxMilliseconds, this.limitMilliseconds * 2)
    return wait
  }

  /** Waits for the next wait. */
  async wait (): Promise<void> {
    const wait = this.nextDelay()
    await new Promise((resolve) => { setTimeout(resolve, wait) })
  }

  /** Begins again with the first wait. */
  reset (): void {
    this.limitMilliseconds = this.initialMilliseconds
  }
}
