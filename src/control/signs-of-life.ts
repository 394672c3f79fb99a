/** When the leader last saw each worker alive: soft state, which is not in the log. */

interface SeenClock {
  readonly clock: number
  readonly aliveAt?: number
}

/** Tracks the clocks in reports: a worker is alive when its own clock advances, not merely when its agent reports. */
export class SignsOfLifeTracker {
  private readonly seen = new Map<string, SeenClock>()

  private constructor () {}

  /**
   * Creates a tracker that has seen no worker.
   * @returns the tracker
   */
  static create (): SignsOfLifeTracker {
    return new SignsOfLifeTracker()
  }

  /** When each incarnation was last seen alive, in milliseconds since the epoch; without those that were never seen alive. */
  get aliveAt (): ReadonlyMap<string, number> {
    return new Map([...this.seen].flatMap(([incarnation, { aliveAt }]): Array<[string, number]> => aliveAt === undefined ? [] : [[incarnation, aliveAt]]))
  }

  /**
   * Records the clock in a report. The first reading of a worker that has not just started shows nothing: it may have
   * crashed since.
   * @param incarnation - the worker's incarnation
   * @param clock - its own clock, in milliseconds
   * @param now - milliseconds since the epoch
   * @param justStarted - true in the first report of a new incarnation
   */
  record (incarnation: string, clock: number, now: number, justStarted: boolean): void {
    const known = this.seen.get(incarnation)
    const alive = known === undefined ? justStarted : clock > known.clock
    if (known === undefined || alive) this.seen.set(incarnation, { clock, ...alive && { aliveAt: now } })
  }

  /** Forgets a lost incarnation. */
  forget (incarnation: string): void {
    this.seen.delete(incarnation)
  }

  /** Forgets everything, as after a change of leader. */
  clear (): void {
    this.seen.clear()
  }
}
