/** Waits that grow twofold, each a random part of the growing bound, so that many agents do not come at once. */
export class Backoff {
  private bound: number

  private constructor (private readonly first: number, private readonly longest: number) {
    this.bound = first
  }

  /**
   * Makes a backoff.
   * @param first - bound of the first wait, in milliseconds
   * @param longest - bound of all later waits, in milliseconds
   * @returns the backoff
   */
  static create (first: number, longest: number): Backoff {
    return new Backoff(first, longest)
  }

  /**
   * Draws the next wait.
   * @returns milliseconds, between half the bound and the bound
   */
  next (): number {
    const wait = this.bound * (0.5 + Math.random() / 2)
    this.bound = Math.min(this.longest, this.bound * 2)
    return wait
  }

  /** Waits for the next wait. */
  async pause (): Promise<void> {
    const wait = this.next()
    await new Promise((resolve) => { setTimeout(resolve, wait) })
  }

  /** Begins again with the first wait. */
  reset (): void {
    this.bound = this.first
  }
}
