/** How far runs are, as agents report it. Soft state of the leader. */
import { runName, type RunCheckpoint, type RunKey, type RunProgress } from '../core/index'
import type { RunStatus } from '../wire/index'

/** What was last heard of one run. */
export interface HeardRun extends RunProgress {
  readonly key: RunKey
  readonly checkpoint: string
}

const noNames: ReadonlySet<string> = new Set()

/** What was last heard of all runs, by name. */
export class RunProgressBook {
  private readonly runs = new Map<string, HeardRun>()
  /** Names of the runs that each incarnation listed last. */
  private readonly listed = new Map<string, ReadonlySet<string>>()

  private constructor () {}

  /**
   * Makes an empty book.
   * @returns the book
   */
  static create (): RunProgressBook {
    return new RunProgressBook()
  }

  /** All runs that the last reports listed. */
  get view (): ReadonlyMap<string, HeardRun> { return this.runs }

  /**
   * Takes a report: it lists every run of its worker.
   * @param incarnation - the worker's incarnation
   * @param listed - the runs
   * @param now - milliseconds since the epoch
   */
  take (incarnation: string, listed: readonly RunStatus[], now: number): void {
    const before = this.listed.get(incarnation) ?? noNames
    const names = new Set<string>()
    for (const { key, running, percent, checkpoint } of listed) {
      if (key === undefined) continue
      const name = runName(key)
      names.add(name)
      const known = this.runs.get(name)
      const changedAt = known?.percent === percent && known.running === running ? known.changedAt : now
      this.runs.set(name, { key, running, percent, checkpoint, changedAt })
    }
    for (const name of before) if (!names.has(name)) this.runs.delete(name)
    this.listed.set(incarnation, names)
  }

  /**
   * Forgets the runs of an incarnation.
   * @param incarnation - the worker's incarnation
   */
  forget (incarnation: string): void {
    for (const name of this.listed.get(incarnation) ?? noNames) this.runs.delete(name)
    this.listed.delete(incarnation)
  }

  /**
   * The newest checkpoints of an incarnation's runs.
   * @param incarnation - the worker's incarnation
   * @returns runs that have a checkpoint
   */
  checkpointsOf (incarnation: string): RunCheckpoint[] {
    return [...this.listed.get(incarnation) ?? noNames]
      .flatMap((name) => this.runs.get(name) ?? [])
      .filter(({ checkpoint }) => checkpoint !== '')
      .map(({ key, checkpoint }) => ({ key, checkpoint }))
  }

  /** Forgets everything, as a new leader does. */
  clear (): void {
    this.runs.clear()
    this.listed.clear()
  }
}
