/** Progress of runs as agents report it: soft state of the leader, which is not in the log. */
import { observeProgress, runName, type RunCheckpoint, type RunKey, type RunProgress } from '../core/index'
import type { RunStatus } from '../wire/index'

/** The last reported progress of one run. */
export interface ReportedRun extends RunProgress {
  readonly key: RunKey
  readonly checkpoint: string
}

const emptyNames: ReadonlySet<string> = new Set()

/** Tracks the last reported progress of all runs, by name. */
export class RunProgressTracker {
  private readonly runs = new Map<string, ReportedRun>()
  /** Names of the runs that each incarnation listed in its last report. */
  private readonly namesByIncarnation = new Map<string, ReadonlySet<string>>()

  private constructor () {}

  /**
   * Creates a tracker without runs.
   * @returns the tracker
   */
  static create (): RunProgressTracker {
    return new RunProgressTracker()
  }

  /** All runs that the last reports listed, by name. */
  get all (): ReadonlyMap<string, ReportedRun> { return this.runs }

  /**
   * Takes over a report, which lists every run of its worker: runs that it no longer lists are removed.
   * @param incarnation - the worker's incarnation
   * @param statuses - the status of each run
   * @param now - milliseconds since the epoch
   */
  update (incarnation: string, statuses: readonly RunStatus[], now: number): void {
    const previousNames = this.namesByIncarnation.get(incarnation) ?? emptyNames
    const names = new Set<string>()
    for (const status of statuses) {
      const { key, checkpoint } = status
      if (key === undefined) continue
      const name = runName(key)
      names.add(name)
      this.runs.set(name, { ...observeProgress(this.runs.get(name), status, now), key, checkpoint })
    }
    for (const name of previousNames) if (!names.has(name)) this.runs.delete(name)
    this.namesByIncarnation.set(incarnation, names)
  }

  /**
   * Removes the runs of an incarnation.
   * @param incarnation - the worker's incarnation
   */
  forget (incarnation: string): void {
    for (const name of this.namesByIncarnation.get(incarnation) ?? emptyNames) this.runs.delete(name)
    this.namesByIncarnation.delete(incarnation)
  }

  /**
   * Returns the newest checkpoints of an incarnation's runs.
   * @param incarnation - the worker's incarnation
   * @returns the runs that have a checkpoint, with it
   */
  checkpointsOf (incarnation: string): RunCheckpoint[] {
    return [...this.namesByIncarnation.get(incarnation) ?? emptyNames]
      .flatMap((name) => this.runs.get(name) ?? [])
      .filter(({ checkpoint }) => checkpoint !== '')
      .map(({ key, checkpoint }) => ({ key, checkpoint }))
  }

  /** Removes everything, for the start of a term as leader. */
  clear (): void {
    this.runs.clear()
    this.namesByIncarnation.clear()
  }
}
