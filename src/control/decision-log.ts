/** Logs and counts each decision on a gang, with those of its inputs that are not available later. */
import { explainWaiting, stopInputs, StepTransactionKind, StopReason, type FleetView, type StartGang, type State, type StepGangSuspected, type StepRunEnded, type StopGang, type Transaction, type WaitingReason } from '../core/index'
import type { ControlMetrics } from './metrics'
import type { Supervisors } from './supervisors'

/** Limit of lines on waiting gangs in one pass; the others are logged in the following passes. */
const MAX_WAITING_LINES = 20

/** What the decision log needs of the control host. */
export interface DecisionLogContext {
  readonly supervisors: Supervisors
  readonly metrics: ControlMetrics
  readonly now: () => number
  readonly term: () => number
  readonly log: (event: string, fields: object) => void
}

/** The inputs of a decision on a gang. */
interface GangInputs {
  readonly job: string
  readonly step: number
  readonly gang: number
  readonly attempt: number
  readonly queue: string
  readonly priority: number
  readonly waitedMilliseconds: number
  readonly estimateMilliseconds: number
  /** Number of the queue document in force. */
  readonly document: number
  readonly term: number
}

/** Logs decisions as they are made, and ends of jobs as they are committed. */
export class DecisionLog {
  /** The reason last logged for why the first gang of a step waits, by job and step. */
  private readonly loggedReasons = new Map<string, WaitingReason>()

  private constructor (private readonly context: DecisionLogContext) {}

  /**
   * Creates the log.
   * @param context - see {@link DecisionLogContext}
   * @returns the log
   */
  static create (context: DecisionLogContext): DecisionLog {
    return new DecisionLog(context)
  }

  /** Logs a decision; `head` is the state on which it was made. */
  logDecision (head: State, decision: Transaction): void {
    if (decision.kind === StepTransactionKind.StartGang) this.logStart(head, decision)
    if (decision.kind === StepTransactionKind.StopGang) this.logStop(head, decision)
  }

  /** Logs why gangs wait: one line for a step when it begins to wait, and one each time the reason changes. */
  logWaiting (head: State, view: FleetView): void {
    const explained = explainWaiting(head.steps, view)
    const names = new Set<string>()
    let lines = 0
    for (const { key: { job, step, gang }, account, priority, acceptedAt, reason, share, guarantee } of explained) {
      const name = `${job}.${step}`
      names.add(name)
      if (this.loggedReasons.get(name) === reason || lines === MAX_WAITING_LINES) continue
      lines += 1
      this.loggedReasons.set(name, reason)
      this.context.log('gang-waits', {
        job, step, gang, account, share: Number(share.toFixed(3)), priority, reason, guarantee, waitedMilliseconds: view.now - acceptedAt, document: head.steps.document?.number, term: this.context.term()
      })
    }
    for (const name of this.loggedReasons.keys()) if (!names.has(name)) this.loggedReasons.delete(name)
  }

  /** Logs ends of tasks: one line for the tasks of a gang's run that ended in the same way at the same time. */
  logRunEnds (ends: readonly StepRunEnded[]): void {
    const lines = new Map<string, { readonly fields: object, readonly workers: string[] }>()
    for (const { job, step, gang, attempt, incarnation, outcome, ranMilliseconds } of ends) {
      const name = [job, step, gang, attempt, outcome].join(' ')
      const line = lines.get(name) ?? { fields: { job, step, gang, attempt, outcome, ranMilliseconds }, workers: [] }
      line.workers.push(incarnation)
      lines.set(name, line)
    }
    for (const { fields, workers } of lines.values()) this.context.log('runs-ended', { ...fields, workers })
  }

  /** Logs that a worker crashed just after the start of a gang. */
  logCrashSuspect ({ job, step, gang, attempt, incarnation, evidence, crashes }: StepGangSuspected): void {
    this.context.metrics.countCrashSuspect(evidence)
    this.context.log('crash-suspected', { job, step, gang, attempt, incarnation, evidence, crashes, term: this.context.term() })
  }

  /** Logs the end of a step job. */
  logJobEnd (committed: State, identifier: string): void {
    const { jobs, document } = committed.steps
    const job = jobs.get(identifier)
    if (job === undefined) return
    const runs = job.gangs.flat().reduce((sum, gang) => sum + gang.attempts, 0)
    this.context.log('job-ended', {
      job: identifier, state: job.state, reason: job.endReason, queue: job.queue.name, tookMilliseconds: job.endedAt - job.acceptedAt, runs, document: document?.number
    })
  }

  private logStart (head: State, decision: StartGang): void {
    const inputs = this.inputsOf(head, decision)
    this.context.metrics.countGangStart(inputs.priority, decision.attempt, inputs.waitedMilliseconds)
    this.context.log('gang-started', { ...inputs, workers: decision.placements.map(({ incarnation }) => incarnation) })
  }

  private logStop (head: State, decision: StopGang): void {
    const { supervisors, metrics, log, now } = this.context
    const { job, step, gang, attempt, reason } = decision
    const run = head.steps.jobs.get(job)?.gangs[step]?.[gang]?.run
    const workers = run?.members.map(({ incarnation }) => incarnation) ?? []
    metrics.countGangStop(reason)
    if (reason === StopReason.Stalled) supervisors.suspectStalled(workers)
    const percents = supervisors.progressPercents({ job, step, attempt }, run?.members.map(({ task }) => task) ?? [])
    const inputs = stopInputs(head.steps, supervisors.fleetView(), decision)
    log('gang-stopped', { ...this.inputsOf(head, decision), reason, workers, percents, runMilliseconds: now() - (run?.startedAt ?? 0), ...inputs })
  }

  private inputsOf (head: State, { job, step, gang, attempt }: StartGang | StopGang): GangInputs {
    const found = head.steps.jobs.get(job)
    return {
      job,
      step,
      gang,
      attempt,
      queue: found?.queue.name ?? '',
      priority: found?.queue.priority ?? 0,
      waitedMilliseconds: this.context.now() - (found?.acceptedAt ?? 0),
      estimateMilliseconds: found?.specification.steps[step]?.estimateMilliseconds ?? 0,
      document: head.steps.document?.number ?? 0,
      term: this.context.term()
    }
  }
}
