/** Keeps the learned pace of the workers for the leader, and logs when a worker becomes slow or usual again. */
import { comparableTasks, slowWorkers, WorkerPaceTracker, type FleetView, type State } from '../core/index'

/** Decimals of a pace in a log line. */
const LOGGED_DECIMALS = 2

/** Soft state of the leader: a new leader learns anew. */
export class PaceMonitor {
  private readonly tracker = WorkerPaceTracker.create()
  private slow: ReadonlyMap<string, number> = new Map()

  private constructor (private readonly log: (event: string, fields: object) => void) {}

  /**
   * Creates a monitor that knows no pace.
   * @param log - writes a line for each worker that becomes slow, or is no longer
   * @returns the monitor
   */
  static create (log: (event: string, fields: object) => void): PaceMonitor {
    return new PaceMonitor(log)
  }

  /** Pace by incarnation, 1 for a typical worker; absent where it is not known. */
  get paces (): ReadonlyMap<string, number> { return this.tracker.paces }

  /** Number of workers that are known to be slow. */
  get slowCount (): number { return this.slow.size }

  /** Takes over the last reported progress of all runs. */
  update (state: State, { progress, now }: Pick<FleetView, 'progress' | 'now'>): void {
    this.tracker.update(comparableTasks(state.steps, progress), now)
    const slow = slowWorkers(this.tracker.paces)
    for (const [incarnation, pace] of slow) if (!this.slow.has(incarnation)) this.log('worker-slow', { incarnation, pace: Number(pace.toFixed(LOGGED_DECIMALS)), known: this.tracker.paces.size })
    for (const incarnation of this.slow.keys()) if (!slow.has(incarnation)) this.log('worker-slow-ended', { incarnation })
    this.slow = slow
  }

  /** Removes everything, for the start of a term as leader. */
  clear (): void {
    this.tracker.clear()
    this.slow = new Map()
  }
}
