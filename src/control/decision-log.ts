/** One line and one count for each decision on a gang, with the inputs that a later reader lacks. */
import { explainWaiting, StepTransactionKind, StopReason, type FleetView, type StartGang, type State, type StopGang, type Transaction, type WaitingReason } from '../core/index'
import type { ControlMetrics } from './metrics'
import type { Supervisors } from './supervisors'

/** Most lines on waiting gangs in one look; the others are told in the next ones. */
const WAITING_LINES_MOST = 20

/** What the log is made from. */
export interface DecisionLogParts {
  readonly supervisors: Supervisors
  readonly metrics: ControlMetrics
  readonly now: () => number
  readonly term: () => number
  readonly log: (event: string, fields: object) => void
}

/** What a decision on a gang was made from. */
interface GangInputs {
  readonly job: string
  readonly step: number
  readonly attempt: number
  readonly queue: string
  readonly priority: number
  readonly waitedMilliseconds: number
  readonly estimateMilliseconds: number
  /** Number of the document in force. */
  readonly document: number
  readonly term: number
}

/** Tells of decisions as they are made, and of ends as they are committed. */
export class DecisionLog {
  /** Why the first gang of a step waits, by job and step. */
  private readonly reasons = new Map<string, WaitingReason>()

  private constructor (private readonly parts: DecisionLogParts) {}

  /**
   * Makes the log.
   * @param parts - see {@link DecisionLogParts}
   * @returns the log
   */
  static create (parts: DecisionLogParts): DecisionLog {
    return new DecisionLog(parts)
  }

  /** Tells of one decision on the state before it. */
  decided (head: State, decision: Transaction): void {
    if (decision.kind === StepTransactionKind.StartGang) this.started(head, decision)
    if (decision.kind === StepTransactionKind.StopGang) this.stopped(head, decision)
  }

  /** Tells why gangs wait: one line for a step when the reason is new, and one when it changes. */
  waiting (head: State, view: FleetView): void {
    const explained = explainWaiting(head.steps, view)
    const names = new Set<string>()
    let lines = 0
    for (const { key: { job, step, gang }, account, priority, acceptedAt, reason } of explained) {
      const name = `${job}.${step}`
      names.add(name)
      if (this.reasons.get(name) === reason || lines === WAITING_LINES_MOST) continue
      lines += 1
      this.reasons.set(name, reason)
      this.parts.log('gang-waits', {
        job, step, gang, account, priority, reason, waitedMilliseconds: view.now - acceptedAt, document: head.steps.document?.number, term: this.parts.term()
      })
    }
    for (const name of this.reasons.keys()) if (!names.has(name)) this.reasons.delete(name)
  }

  /** Tells of the end of a job of steps. */
  ended (committed: State, identifier: string): void {
    const { jobs, document } = committed.steps
    const job = jobs.get(identifier)
    if (job === undefined) return
    const runs = job.gangs.flat().reduce((sum, gang) => sum + gang.attempts, 0)
    this.parts.log('job-ended', {
      job: identifier, state: job.state, queue: job.queue.name, tookMilliseconds: job.endedAt - job.acceptedAt, runs, document: document?.number
    })
  }

  private started (head: State, decision: StartGang): void {
    const inputs = this.inputsOf(head, decision)
    this.parts.metrics.gangStarted(inputs.priority, decision.attempt, inputs.waitedMilliseconds)
    this.parts.log('gang-started', { ...inputs, workers: decision.placements.map(({ incarnation }) => incarnation) })
  }

  private stopped (head: State, decision: StopGang): void {
    const { supervisors, metrics, log, now } = this.parts
    const { job, step, gang, attempt, reason } = decision
    const run = head.steps.jobs.get(job)?.gangs[step]?.[gang]?.run
    const workers = run?.members.map(({ incarnation }) => incarnation) ?? []
    metrics.gangStopped(reason)
    if (reason === StopReason.Stalled) supervisors.gaveUp(workers)
    const percents = supervisors.percentsOf({ job, step, attempt }, run?.members.map(({ task }) => task) ?? [])
    log('gang-stopped', { ...this.inputsOf(head, decision), reason, workers, percents, runMilliseconds: now() - (run?.startedAt ?? 0) })
  }

  private inputsOf (head: State, { job, step, attempt }: StartGang | StopGang): GangInputs {
    const found = head.steps.jobs.get(job)
    return {
      job,
      step,
      attempt,
      queue: found?.queue.name ?? '',
      priority: found?.queue.priority ?? 0,
      waitedMilliseconds: this.parts.now() - (found?.acceptedAt ?? 0),
      estimateMilliseconds: found?.specification.steps[step]?.estimateMilliseconds ?? 0,
      document: head.steps.document?.number ?? 0,
      term: this.parts.term()
    }
  }
}
