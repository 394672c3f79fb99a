/** Which workers are suspected of failing or holding up whatever they start. Soft state of the leader. */

/** Time for which a worker is suspected after a failure, in milliseconds; a run that gets done there ends it sooner. */
const SUSPECT_MILLISECONDS = 6_000

/** What is remembered of workers, by incarnation. */
export class Trust {
  private readonly suspectUntil = new Map<string, number>()
  private readonly slowUntil = new Map<string, number>()

  private constructor () {}

  /**
   * Makes a memory without suspects.
   * @returns the memory
   */
  static create (): Trust {
    return new Trust()
  }

  /** A run stood still, or nearly so, on a worker; others that get done there prove nothing. */
  heldUp (incarnation: string, now: number): void {
    this.slowUntil.set(incarnation, now + SUSPECT_MILLISECONDS)
  }

  /** A run failed on a worker. */
  failed (incarnation: string, now: number): void {
    this.suspectUntil.set(incarnation, now + SUSPECT_MILLISECONDS)
  }

  /** A run got done on a worker. */
  succeeded (incarnation: string): void {
    this.suspectUntil.delete(incarnation)
  }

  /** The workers that are suspected now. */
  suspects (now: number): ReadonlySet<string> {
    for (const memory of [this.suspectUntil, this.slowUntil]) {
      for (const [incarnation, until] of memory) if (until <= now) memory.delete(incarnation)
    }
    return new Set([...this.suspectUntil.keys(), ...this.slowUntil.keys()])
  }

  /** Forgets everything, as a new leader does. */
  clear (): void {
    this.suspectUntil.clear()
    this.slowUntil.clear()
  }
}
