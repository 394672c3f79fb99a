/** Learns interference between kinds of task at two levels, and offers what is known for the choice of a worker. */
import { Interference, MAX_LOG_SLOW_DOWN, type InterferenceFinding } from './interference'
import { RateIntervals, type WorkerListing } from './rate-intervals'

/**
 * The kind of a task. Few tasks of one account meet those of one other account, so pairs of exact kinds are learned slowly;
 * tasks of one step of a queue mostly do the same for all accounts.
 */
export interface TaskKind {
  /** Queue, account and step. */
  readonly exact: string
  /** Queue and step. */
  readonly pooled: string
}

/**
 * The kind of a task.
 * @param queue - name of the queue
 * @param account - the client account
 * @param step - number of the step
 * @returns the kind
 */
export function taskKind (queue: string, account: string, step: number): TaskKind {
  return { exact: `${queue}/${account}/${step}`, pooled: `${queue}/*/${step}` }
}

const levels: ReadonlyArray<keyof TaskKind> = ['exact', 'pooled']

interface LevelState {
  readonly level: keyof TaskKind
  readonly intervals: RateIntervals
  readonly model: Interference
}

/** Observations at both levels. Soft state of the leader. */
export class InterferenceLearner {
  private readonly states: readonly LevelState[] = levels.map((level) => ({ level, intervals: RateIntervals.create(), model: Interference.create() }))

  private constructor () {}

  /**
   * Creates a learner without observations.
   * @returns the learner
   */
  static create (): InterferenceLearner {
    return new InterferenceLearner()
  }

  /**
   * Takes what a worker lists.
   * @param listing - all runs that it lists as running
   * @param kindOf - finds the kind of a run by its name
   */
  update (listing: WorkerListing, kindOf: (run: string) => TaskKind): void {
    for (const { level, intervals, model } of this.states) {
      const ended = intervals.update(listing, (run) => kindOf(run)[level])
      for (const interval of ended.intervals) model.observe(interval)
      for (const run of ended.gone) model.forgetRun(run)
    }
  }

  /**
   * Forgets the runs of an incarnation. What was learned from them stays.
   * @param incarnation - the worker's incarnation
   */
  forget (incarnation: string): void {
    for (const { intervals, model } of this.states) for (const run of intervals.forget(incarnation)) model.forgetRun(run)
  }

  /** Forgets everything. */
  clear (): void {
    for (const { intervals, model } of this.states) {
      intervals.clear()
      model.clear()
    }
  }

  /**
   * What is known at a time.
   * @param now - milliseconds since the epoch
   * @returns the findings, undefined where no kind is known to slow down another one
   */
  findings (now: number): InterferenceFindings | undefined {
    return InterferenceFindings.of(this.states.flatMap(({ model }) => model.findings(now)))
  }
}

/** Findings of both levels by kind. */
export class InterferenceFindings {
  /** Logarithms of the slow-downs by kind, then by the kind beside it. */
  private readonly logarithms = new Map<string, Map<string, number>>()
  private readonly kinds: ReadonlySet<string>

  private constructor (
    /** The pairs that slow each other down, the greatest slow-down first. */
    readonly all: readonly InterferenceFinding[], known: readonly InterferenceFinding[]
  ) {
    for (const { kind, beside, slowDown } of known) {
      const byNeighbour = this.logarithms.get(kind) ?? new Map<string, number>()
      this.logarithms.set(kind, byNeighbour.set(beside, Math.log(slowDown)))
    }
    this.kinds = new Set(all.flatMap(({ kind, beside }) => [kind, beside]))
  }

  /**
   * Makes findings available by kind.
   * @param known - findings of both levels
   * @returns the findings, undefined where none is a slow-down
   */
  static of (known: readonly InterferenceFinding[]): InterferenceFindings | undefined {
    const all = known.filter(({ slowDown }) => slowDown > 1)
      .sort((one, other) => other.slowDown - one.slowDown || (`${one.kind} ${one.beside}` < `${other.kind} ${other.beside}` ? -1 : 1))
    return all.length === 0 ? undefined : new InterferenceFindings(all, known)
  }

  /** Whether a kind slows another one down, or is slowed down. */
  concerns ({ exact, pooled }: TaskKind): boolean {
    return this.kinds.has(exact) || this.kinds.has(pooled)
  }

  /** Natural logarithm of the slow-down of a kind beside another one, 0 where none is known. What is known of the exact kinds takes precedence. */
  logSlowDown (kind: TaskKind, beside: TaskKind): number {
    return this.logarithms.get(kind.exact)?.get(beside.exact) ?? this.logarithms.get(kind.pooled)?.get(beside.pooled) ?? 0
  }

  /** Expected factor on the time that a task of a kind takes beside others, at most 8. */
  slowDown (kind: TaskKind, beside: Iterable<TaskKind>): number {
    let sum = 0
    for (const neighbour of beside) sum += this.logSlowDown(kind, neighbour)
    return Math.exp(Math.min(MAX_LOG_SLOW_DOWN, sum))
  }
}
