/** Runs that workers run although the log does not assign them: the log then counts less capacity as used than is used. */

/** Limit of run names in a log line. */
export const MAX_LOGGED_RUNS = 10

/** The unassigned runs of the last report of each incarnation. Soft state of the leader. */
export class UnassignedRuns {
  private readonly byIncarnation = new Map<string, readonly string[]>()

  private constructor (private readonly log: (event: string, fields: object) => void) {}

  /**
   * Creates an empty record.
   * @param log - writes a line when an incarnation has a run that it did not have before
   * @returns the record
   */
  static create (log: (event: string, fields: object) => void): UnassignedRuns {
    return new UnassignedRuns(log)
  }

  /** Number of such runs. */
  get count (): number {
    return [...this.byIncarnation.values()].reduce((sum, names) => sum + names.length, 0)
  }

  /**
   * Replaces the runs of an incarnation.
   * @param incarnation - the incarnation
   * @param names - names of the runs
   * @param fields - further fields of the log line
   */
  update (incarnation: string, names: readonly string[], fields: object): void {
    const before = this.byIncarnation.get(incarnation) ?? []
    if (names.length === 0) this.byIncarnation.delete(incarnation)
    else this.byIncarnation.set(incarnation, names)
    if (names.every((name) => before.includes(name))) return
    this.log('runs-unassigned', { incarnation, ...fields, runs: names.slice(0, MAX_LOGGED_RUNS), count: names.length })
  }

  /** Forgets a lost incarnation. */
  forget (incarnation: string): void {
    this.byIncarnation.delete(incarnation)
  }

  /** Forgets everything, as after a change of leader. */
  clear (): void {
    this.byIncarnation.clear()
  }
}
