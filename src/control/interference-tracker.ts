/** Which kinds of task slow each other down, learned from the progress that workers list: soft state of the leader. */
import { InterferenceLearner, runName, taskKind, type InterferenceFinding, type InterferenceFindings, type RunKey, type StepState, type TaskKind } from '../core/index'
import type { RunStatus } from '../wire/index'

/** Time after which findings are derived again, in milliseconds. */
const REFRESH_MILLISECONDS = 1_000
/** Change of a slow-down, as a factor, from which on it is logged again. */
const LOGGED_CHANGE = 1.25
/** Limit of log lines at one refresh; the others follow at the next ones. */
const MAX_LOG_LINES = 10
/** Limit of findings in the metrics. */
const MAX_METRIC_FINDINGS = 50

/** What the tracker needs of the control host. */
export interface InterferenceTrackerContext {
  /** State of the step jobs with all proposed entries applied. */
  readonly steps: () => StepState
  readonly term: () => number
  readonly log: (event: string, fields: object) => void
}

/** Learns from each report, and logs each pair of kinds when it is found, changes or is found no longer. */
export class InterferenceTracker {
  private readonly learner = InterferenceLearner.create()
  /** Slow-downs last logged, by pair. */
  private readonly logged = new Map<string, InterferenceFinding>()
  /** Incarnations that have listed runs. */
  private readonly listing = new Set<string>()
  private findings?: InterferenceFindings
  /** Milliseconds since the epoch. */
  private refreshedAt = 0

  private constructor (private readonly context: InterferenceTrackerContext) {}

  /**
   * Creates a tracker that knows nothing.
   * @param context - access to the control host
   * @returns the tracker
   */
  static create (context: InterferenceTrackerContext): InterferenceTracker {
    return new InterferenceTracker(context)
  }

  /** The slow-downs last derived, the greatest first, up to a limit. */
  get slowDowns (): readonly InterferenceFinding[] {
    return (this.findings?.all ?? []).slice(0, MAX_METRIC_FINDINGS)
  }

  /** Number of incarnations whose runs are tracked. */
  get listedIncarnations (): number {
    return this.listing.size
  }

  /**
   * Takes over a report, which lists every run of its worker.
   * @param incarnation - the worker's incarnation
   * @param host - its host
   * @param statuses - the status of each run
   * @param now - milliseconds since the epoch
   */
  update (incarnation: string, host: string, statuses: readonly RunStatus[], now: number): void {
    this.listing.add(incarnation)
    const keys = new Map<string, RunKey>()
    const runs = statuses.flatMap(({ key, running, percent }) => {
      if (key === undefined || !running) return []
      const name = runName(key)
      keys.set(name, key)
      return [{ name, percent }]
    })
    this.learner.update({ incarnation, host, runs, at: now }, (name) => this.kindOf(keys.get(name)))
  }

  /** Forgets everything, for the start of a term as leader. */
  clear (): void {
    this.learner.clear()
    this.listing.clear()
    this.logged.clear()
    this.findings = undefined
    this.refreshedAt = 0
  }

  /**
   * What is known at a time.
   * @param now - milliseconds since the epoch
   * @returns the findings, at most a second old; undefined where no kind is known to slow down another one
   */
  findingsAt (now: number): InterferenceFindings | undefined {
    if (now - this.refreshedAt < REFRESH_MILLISECONDS) return this.findings
    this.refreshedAt = now
    this.forgetLost()
    this.findings = this.learner.findings(now)
    this.logChanges()
    return this.findings
  }

  /** What was learned from the runs of lost incarnations stays. */
  private forgetLost (): void {
    const { incarnations } = this.context.steps()
    for (const incarnation of this.listing) {
      if (incarnations.has(incarnation)) continue
      this.listing.delete(incarnation)
      this.learner.forget(incarnation)
    }
  }

  /** Runs that the log does not know are a kind of their own; they are stopped. */
  private kindOf (key: RunKey | undefined): TaskKind {
    const job = key === undefined ? undefined : this.context.steps().jobs.get(key.job)
    return taskKind(job?.queue.name ?? '', job?.account ?? '', key?.step ?? 0)
  }

  private logChanges (): void {
    const present = new Map(this.findings?.all.map((finding) => [`${finding.kind} ${finding.beside}`, finding]))
    const changed = [...present].filter(([name, { slowDown }]) => {
      const before = this.logged.get(name)?.slowDown ?? 0
      return slowDown > before * LOGGED_CHANGE || slowDown * LOGGED_CHANGE < before
    })
    const gone = [...this.logged].filter(([name]) => !present.has(name))
    for (const [name, finding] of changed.slice(0, MAX_LOG_LINES)) {
      this.logged.set(name, finding)
      this.context.log('interference-found', { ...finding, slowDown: Number(finding.slowDown.toFixed(2)), term: this.context.term() })
    }
    for (const [name, { kind, beside }] of gone.slice(0, MAX_LOG_LINES)) {
      this.logged.delete(name)
      this.context.log('interference-gone', { kind, beside, term: this.context.term() })
    }
  }
}
