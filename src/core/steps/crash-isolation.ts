/** Keeps gangs that may have crashed a worker apart from other new runs, so that the next crash shows which of them is the cause. */
import { hasSettled, isCrashSuspect, QUIET_MILLISECONDS } from './crash-evidence'
import { queueOfJob } from './jobs'
import { gangOf, type StepState, type WorkerIncarnation } from './model'
import type { TaskPlacement } from './transactions'

/** Largest share of the workers that waiting suspects may hold. */
const MAX_HELD_SHARE = 0.25
const URGENT_PRIORITY = 0

/** What the isolation needs of the leader's view. */
export interface IsolationView {
  /** Milliseconds since the epoch. */
  readonly now: number
  /** When each incarnation was last seen alive; absent where all count as alive. */
  readonly aliveAt?: ReadonlyMap<string, number>
}

/** The runs of one worker that matter here. */
interface WorkerStarts {
  /** Milliseconds since the epoch; -Infinity for none. */
  readonly newest: number
  /** The same of the suspects alone. */
  readonly newestSuspect: number
  readonly urgent: boolean
}

/** The workers on which suspects, or anything, may start in one round. */
export class CrashIsolation {
  /** Nothing may start there. */
  private readonly closed = new Set<string>()
  /** A run there has not settled or starts in this round, or the worker may be down. */
  private readonly unsettled = new Set<string>()
  private holds: number

  private constructor (private readonly state: StepState, view: IsolationView) {
    this.holds = Math.max(1, Math.floor(state.incarnations.size * MAX_HELD_SHARE))
    for (const worker of state.incarnations.values()) {
      const { newest, newestSuspect } = startsOn(state, worker)
      const aliveAt = view.aliveAt === undefined ? view.now : view.aliveAt.get(worker.incarnation)
      const down = aliveAt === undefined || view.now - aliveAt > QUIET_MILLISECONDS
      if (down || (newest > -Infinity && !hasSettled(newest, aliveAt))) this.unsettled.add(worker.incarnation)
      if (newestSuspect > -Infinity && !hasSettled(newestSuspect, aliveAt)) this.closed.add(worker.incarnation)
    }
  }

  /**
   * Examines the workers at the start of a round.
   * @param state - state of the step jobs
   * @param view - what the leader knows beyond it
   * @returns the isolation
   */
  static of (state: StepState, view: IsolationView): CrashIsolation {
    return new CrashIsolation(state, view)
  }

  /** The workers on which anything may start. */
  open (workers: readonly WorkerIncarnation[]): readonly WorkerIncarnation[] {
    return this.closed.size === 0 ? workers : workers.filter(({ incarnation }) => !this.closed.has(incarnation))
  }

  /** The workers on which a suspect may start, best first: idle ones, those without urgent work, then the rest. */
  quiet (workers: readonly WorkerIncarnation[]): WorkerIncarnation[][] {
    const quiet = workers.filter(({ incarnation }) => !this.closed.has(incarnation) && !this.unsettled.has(incarnation))
    return [quiet.filter(({ runs }) => runs.size === 0), quiet.filter((worker) => !startsOn(this.state, worker).urgent), quiet]
  }

  /** Takes account of a start in this round. */
  recordStart (placements: readonly TaskPlacement[], suspect: boolean): void {
    for (const { incarnation } of placements) {
      this.unsettled.add(incarnation)
      if (suspect) this.closed.add(incarnation)
    }
  }

  /** Whether one more suspect may hold workers. */
  get mayHold (): boolean {
    return this.holds > 0
  }

  /** Closes workers for the rest of the round, so that the runs there settle and a suspect can start in a later one. */
  hold (placements: readonly TaskPlacement[]): void {
    const incarnations = new Set(placements.map(({ incarnation }) => incarnation))
    this.holds -= incarnations.size
    for (const incarnation of incarnations) this.closed.add(incarnation)
  }
}

/** By incarnation. The object of an incarnation is replaced whenever its runs change. */
const startsCache = new WeakMap<WorkerIncarnation, WorkerStarts>()

function startsOn (state: StepState, worker: WorkerIncarnation): WorkerStarts {
  const known = startsCache.get(worker)
  if (known !== undefined) return known
  const starts = worker.runs.valueSeq().toArray().flatMap((key) => {
    const job = state.jobs.get(key.job)
    const gang = gangOf(job, key)
    if (job === undefined || gang?.run?.attempt !== key.attempt) return []
    return [{ at: gang.run.startedAt, suspect: isCrashSuspect(gang), urgent: queueOfJob(state, job).priority === URGENT_PRIORITY }]
  })
  const found = {
    newest: starts.reduce((newest, { at }) => Math.max(newest, at), -Infinity),
    newestSuspect: Math.max(-Infinity, ...starts.filter(({ suspect }) => suspect).map(({ at }) => at)),
    urgent: starts.some(({ urgent }) => urgent)
  }
  startsCache.set(worker, found)
  return found
}
