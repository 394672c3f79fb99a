/** Tracks the workers on which runs have recently failed or stalled. Soft state of the leader: it is not replicated. */

/** Time for which a worker is suspected after a failure or a stall; a successful run ends the suspicion of failing earlier. */
const SUSPECT_MILLISECONDS = 6_000

/** Suspected workers by incarnation. */
export class SuspectTracker {
  private readonly failedUntil = new Map<string, number>()
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

  /** Records that a run failed on a worker. */
  recordFailure (incarnation: string, now: number): void {
    this.failedUntil.set(incarnation, now + SUSPECT_MILLISECONDS)
  }

  /** Records that a run succeeded on a worker. */
  recordSuccess (incarnation: string): void {
    this.failedUntil.delete(incarnation)
  }

  /** The incarnations that are suspected now. */
  suspects (now: number): ReadonlySet<string> {
    for (const suspicions of [this.failedUntil, this.stalledUntil]) {
      for (const [incarnation, until] of suspicions) if (until <= now) suspicions.delete(incarnation)
    }
    return new Set([...this.failedUntil.keys(), ...this.stalledUntil.keys()])
  }

  /** Removes all suspects, as after a change of leader. */
  clear (): void {
    this.failedUntil.clear()
    this.stalledUntil.clear()
  }
}
