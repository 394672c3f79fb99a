/** Which workers are suspected of failing or holding up whatever they start. Soft state of the leader. */

/** Time for which a worker is suspected after a failure, in milliseconds; a run that gets done there ends it sooner. */
const SUSPECT_MILLISECONDS = 6_000

/** What is remembered of workers, by incarnation. */
export class Trust {
  private readonly suspectUntil = new Map<string, number>()

  private constructor () {}

  /**
   * Makes a memory without suspects.
   * @returns the memory
   */
  static create (): Trust {
    return new Trust()
  }

  /** A run failed, or stood still, on a worker. */
  failed (incarnation: string, now: number): void {
    this.suspectUntil.set(incarnation, now + SUSPECT_MILLISECONDS)
  }

  /** A run got done on a worker. */
  succeeded (incarnation: string): void {
    this.suspectUntil.delete(incarnation)
  }

  /** The workers that are suspected now. */
  suspects (now: number): ReadonlySet<string> {
    for (const [incarnation, until] of this.suspectUntil) if (until <= now) this.suspectUntil.delete(incarnation)
    return new Set(this.suspectUntil.keys())
  }

  /** Forgets everything, as a new leader does. */
  clear (): void {
    this.suspectUntil.clear()
  }
}
