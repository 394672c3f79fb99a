/** The leader's decision whether a job is accepted; what it knows beyond the log is rebuilt after a leader change. */
import { notRunRefusal, RefusalCode, type Refusal } from '../../verdict'
import type { Queue } from '../document'
import type { StepJobSpecification, StepState } from '../model'
import { DrainRates } from './drain-rate'
import { KnownFleet, type Impossibility } from './feasibility'
import { ReturnSlots } from './return-slots'
import { findExceededLimit, LimitScope, type ExceededLimit, type WaitingLimits } from './waiting-limits'
import { addWork, noWork, submittedSize, waitingKey, type WorkSize } from './waiting-work'

/** A job that a caller submits. */
export interface Submission {
  readonly identifier: string
  readonly account: string
  readonly queue: Queue
  readonly specification: StepJobSpecification
}

/** Why a job is not accepted, with the inputs of the decision. */
export interface SubmissionRefusal {
  readonly refusal: Refusal
  /** For the log and the metric, from a bounded set. */
  readonly reason: string
  readonly inputs: object
}

/**
 * Number of accounts that share the total limits: those of the document, and callers of public queues without an account.
 * @param state - state of the step jobs
 * @returns at least 1
 */
export function sharingAccounts (state: StepState): number {
  return (state.document?.document.accounts.length ?? 0) + 1
}

/**
 * Makes the refusal of a job that exceeds a limit.
 * @param exceeded - the limit
 * @param retryAfter - milliseconds after which a retry can help
 * @returns the refusal
 */
export function limitRefusal (exceeded: ExceededLimit, retryAfter: number): Refusal {
  const { scope, dimension, limit } = exceeded
  const of = scope === LimitScope.Account ? 'an account in a queue' : 'an account while all accounts together are at their limit'
  return notRunRefusal(RefusalCode.QueueFull, `the limit of ${Math.floor(limit[dimension])} waiting ${dimension} of ${of} is reached`, retryAfter)
}

/** Decides on submissions. */
export class AdmissionControl {
  private readonly rates = DrainRates.create()
  private readonly slots = ReturnSlots.create()
  private readonly fleet = KnownFleet.create()

  private constructor (readonly limits: WaitingLimits) {}

  /**
   * Creates the control of a leader.
   * @param limits - the limits of waiting work
   * @returns the control, which knows no rates and no fleet yet
   */
  static create (limits: WaitingLimits): AdmissionControl {
    return new AdmissionControl(limits)
  }

  /** Starts a term as leader. */
  beginLeading (now: number): void {
    this.rates.clear()
    this.slots.clear()
    this.fleet.beginLeading(now)
  }

  /** Updates rates, slots and the fleet; called about once a second. */
  observe (state: StepState, now: number): void {
    this.rates.observe(state.waitingWork, now)
    this.slots.expire(now)
    this.fleet.observe(state, now)
  }

  /** Returns why a job is not accepted; undefined where it may be proposed. A job that was accepted before is never refused. */
  refusalOf (state: StepState, submission: Submission, now: number): SubmissionRefusal | undefined {
    if (state.jobs.has(submission.identifier)) return undefined
    return this.impossible(state, submission, now) ?? this.overLimit(state, submission, now)
  }

  /** Records that a job was accepted. */
  recordAcceptance ({ identifier, account, queue, specification }: Submission): void {
    const key = waitingKey(account, queue.name)
    this.slots.release(key, identifier)
    this.rates.recordAdmission(key, submittedSize(specification))
  }

  private impossible (state: StepState, { queue, specification }: Submission, now: number): SubmissionRefusal | undefined {
    if (this.fleet.findImpossibleStep(queue.service, specification, now) === undefined) return undefined
    this.fleet.observe(state, now)
    const found = this.fleet.findImpossibleStep(queue.service, specification, now)
    if (found === undefined) return undefined
    const { step, reason } = found
    return { refusal: notRunRefusal(RefusalCode.ImpossibleShape, `step ${step} can never run here: ${explanations[reason]}`), reason, inputs: { step, service: queue.service } }
  }

  private overLimit (state: StepState, { identifier, account, queue: { name: queue }, specification }: Submission, now: number): SubmissionRefusal | undefined {
    const key = waitingKey(account, queue)
    const size = submittedSize(specification)
    const isDue = (this.slots.slotOf(key, identifier, now)?.dueAt ?? Infinity) <= now
    const reserved = isDue ? noWork : atMostHalf(this.slots.reservedFor(key, identifier), this.limits.account)
    const exceeded = findExceededLimit(state.waitingWork, { account, queue, size }, this.limits, sharingAccounts(state), reserved)
    if (exceeded === undefined) return undefined
    const perSecond = this.rates.perSecond(key)
    const retryAfter = this.slots.assign(key, identifier, size, addWork(addWork(exceeded.waiting, size), exceeded.limit, -1), perSecond, now)
    return {
      refusal: limitRefusal(exceeded, retryAfter),
      reason: `${exceeded.scope}-${exceeded.dimension}`,
      inputs: { waiting: exceeded.waiting, limit: exceeded.limit, reserved, drainedPerSecond: rounded(perSecond), retryAfterMilliseconds: retryAfter }
    }
  }
}

/** Room that is kept for callers with slots, at most half of the limit: they may never return. */
function atMostHalf (reserved: WorkSize, limit: WorkSize): WorkSize {
  return { jobs: Math.min(reserved.jobs, limit.jobs / 2), tasks: Math.min(reserved.tasks, limit.tasks / 2), bytes: Math.min(reserved.bytes, limit.bytes / 2) }
}

const explanations: Readonly<Record<Impossibility, string>> = {
  'no-label': 'no worker of the service has its label',
  'task-too-large': 'a task needs more than any worker of the service has',
  'gang-too-large': 'its tasks do not fit the empty fleet together'
}

function rounded ({ jobs, tasks, bytes }: WorkSize): WorkSize {
  return { jobs: Number(jobs.toFixed(2)), tasks: Number(tasks.toFixed(2)), bytes: Math.round(bytes) }
}
