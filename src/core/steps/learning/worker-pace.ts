/**
 * Learns how fast each worker is, from the progress of its tasks beside tasks of the same step on other workers. Answers
 * fleets of uneven workers, where a declared estimate says nothing about the worker that a task will run on. Soft state of
 * the leader: a new leader learns anew, and decides as if all workers were alike until then.
 */

/** Progress of one task, as its worker last listed it. */
export interface TaskProgress {
  /** Name of the run. */
  readonly run: string
  /** Identifies the step; its tasks have about the same amount of work. */
  readonly step: string
  readonly incarnation: string
  readonly percent: number
}

/** Progress over which a run is measured, in percent, so that whole percents are precise enough. */
const MEASURED_PERCENT = 10
/** Shortest time over which a run is measured, in milliseconds; reports are up to a quarter of this old. */
const MIN_MEASURED_MILLISECONDS = 3_000
/** Workers on which tasks of a step must have been measured before they are compared. */
const MIN_WORKERS_PER_STEP = 3
/** Measured runs from which the pace of a worker is known. */
const MIN_RUNS_PER_WORKER = 4
/** Measured runs that are kept for each worker, and for each step. */
const MAX_RUNS_KEPT = 32
/** Steps that are kept for comparison; the oldest are forgotten first. */
const MAX_STEPS_KEPT = 256
/** Time after which a measured run no longer counts, in milliseconds: a worker may have recovered since. */
const RETENTION_MILLISECONDS = 120_000
/** Pace below which a worker counts as slow; above it, the difference is within the spread of tasks of one step. */
const SLOW_PACE = 0.75

/** The first listed progress of a run that is being measured. */
interface FirstProgress {
  readonly percent: number
  /** Milliseconds since the epoch. */
  readonly at: number
}

/** A measured run. Rates are kept as logarithms, because workers differ by factors. */
interface MeasuredRun {
  readonly incarnation: string
  readonly logRate: number
  compared: boolean
}

/** How a run compares with the others of its step. */
interface Comparison {
  readonly logPace: number
  /** Milliseconds since the epoch. */
  readonly at: number
}

/** The learned pace of all workers. */
export class WorkerPaceTracker {
  /** By name of the run; undefined once the run is measured. */
  private readonly measuring = new Map<string, FirstProgress | undefined>()
  private readonly steps = new Map<string, MeasuredRun[]>()
  private readonly comparisons = new Map<string, readonly Comparison[]>()
  private known: ReadonlyMap<string, number> = new Map()

  private constructor () {}

  /**
   * Creates a tracker that knows no pace.
   * @returns the tracker
   */
  static create (): WorkerPaceTracker {
    return new WorkerPaceTracker()
  }

  /**
   * The pace of each worker for which enough runs were measured, by incarnation: 1 for a typical worker, 0.5 for one that
   * takes twice as long.
   */
  get paces (): ReadonlyMap<string, number> { return this.known }

  /**
   * Takes over the progress of all running tasks that are comparable with others of their step.
   * @param tasks - the tasks, without members of gangs, which all progress at the pace of the slowest
   * @param now - milliseconds since the epoch
   */
  update (tasks: readonly TaskProgress[], now: number): void {
    const present = new Set<string>()
    for (const task of tasks) {
      present.add(task.run)
      this.measure(task, now)
    }
    for (const run of this.measuring.keys()) if (!present.has(run)) this.measuring.delete(run)
    for (const runs of this.steps.values()) this.compare(runs, now)
    this.known = this.computePaces(now)
  }

  /** Removes everything, for the start of a term as leader. */
  clear (): void {
    this.measuring.clear()
    this.steps.clear()
    this.comparisons.clear()
    this.known = new Map()
  }

  /** Measures a run from its first change of progress, which leaves out its start-up and the restore of a checkpoint. */
  private measure ({ run, step, incarnation, percent }: TaskProgress, now: number): void {
    if (!this.measuring.has(run)) {
      if (percent > 0) this.measuring.set(run, { percent, at: now })
      return
    }
    const first = this.measuring.get(run)
    if (first === undefined || percent - first.percent < MEASURED_PERCENT || now - first.at < MIN_MEASURED_MILLISECONDS) return
    this.measuring.set(run, undefined)
    const runs = this.steps.get(step) ?? []
    runs.push({ incarnation, logRate: Math.log((percent - first.percent) / (now - first.at)), compared: false })
    if (runs.length > MAX_RUNS_KEPT) runs.shift()
    this.steps.delete(step)
    this.steps.set(step, runs)
    const oldest = this.steps.keys().next().value
    if (this.steps.size > MAX_STEPS_KEPT && oldest !== undefined) this.steps.delete(oldest)
  }

  /** The rate of a step is corrected by what is known of its workers, so that it does not depend on which of them it met. */
  private compare (runs: readonly MeasuredRun[], now: number): void {
    if (runs.every(({ compared }) => compared) || new Set(runs.map(({ incarnation }) => incarnation)).size < MIN_WORKERS_PER_STEP) return
    const logRateOfStep = median(runs.map(({ incarnation, logRate }) => logRate - Math.log(this.known.get(incarnation) ?? 1)))
    for (const run of runs) {
      if (run.compared) continue
      run.compared = true
      const earlier = this.comparisons.get(run.incarnation) ?? []
      this.comparisons.set(run.incarnation, [...earlier, { logPace: run.logRate - logRateOfStep, at: now }].slice(-MAX_RUNS_KEPT))
    }
  }

  private computePaces (now: number): ReadonlyMap<string, number> {
    const logPaces = new Map<string, number>()
    for (const [incarnation, comparisons] of this.comparisons) {
      const recent = comparisons.filter(({ at }) => at > now - RETENTION_MILLISECONDS)
      if (recent.length === 0) this.comparisons.delete(incarnation)
      else if (recent.length < comparisons.length) this.comparisons.set(incarnation, recent)
      if (recent.length >= MIN_RUNS_PER_WORKER) logPaces.set(incarnation, median(recent.map(({ logPace }) => logPace)))
    }
    if (logPaces.size === 0) return logPaces
    const typical = median([...logPaces.values()])
    return new Map([...logPaces].map(([incarnation, logPace]) => [incarnation, Math.exp(logPace - typical)]))
  }
}

/**
 * Selects the slow workers.
 * @param paces - pace by incarnation
 * @returns the incarnations of workers that are clearly slower than a typical one
 */
export function slowWorkers (paces: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
  return new Map([...paces].filter(([, pace]) => pace < SLOW_PACE))
}

function median (values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other)
  const middle = Math.floor(sorted.length / 2)
  return sorted.length % 2 === 1 ? sorted[middle] ?? 0 : ((sorted[middle - 1] ?? 0) + (sorted[middle] ?? 0)) / 2
}
