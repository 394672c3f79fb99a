/** Lists, starts and finishes evacuations of data centres at the control leader. */
import { err, ok, type Result } from 'neverthrow'
import { notRunRefusal, RefusalCode, Verdict, type Refusal } from '../core/verdict'
import { ControlService, type Evacuation } from '../wire/index'
import { ConfirmedCalls, type CallTimeouts } from './confirmed-calls'
import { CallKind, type LeaderClient } from './leader-client'
import { RefusalLog } from './refusal-log'
import { readRefusal } from './refusals'

/** An order to start or finish the evacuation of a data centre. */
export interface EvacuationOrder {
  readonly dataCentre: string
  /** False to finish the evacuation. */
  readonly evacuate: boolean
  /** The team that gives the order; not given where it is not known. */
  readonly team?: string
}

/** Limit of the time for an order, in milliseconds: operators try another host after a second without a response. */
const MAX_ORDER_MILLISECONDS = 900
/** Timeout of one try, in milliseconds: a commit takes a few disk syncs. */
const TRY_TIMEOUT_MILLISECONDS = 600
/** Time after which an order that lost against others may be sent again, in milliseconds. */
const RETRY_AFTER_MILLISECONDS = 100

/** Client of the leader for evacuations. */
export class EvacuationClient {
  private readonly calls: ConfirmedCalls
  private readonly refusals: RefusalLog

  private constructor (private readonly leader: LeaderClient) {
    this.calls = ConfirmedCalls.create(leader)
    this.refusals = RefusalLog.create(leader.logger)
  }

  /**
   * Creates the client.
   * @param leader - finds the leader
   * @returns the client
   */
  static create (leader: LeaderClient): EvacuationClient {
    return new EvacuationClient(leader)
  }

  /**
   * Lists the evacuated data centres.
   * @returns the data centres by name, from a leader that a quorum confirmed; or a refusal
   */
  async list (): Promise<Result<readonly Evacuation[], Refusal>> {
    const reply = await this.calls.call(ControlService.listEvacuations, { dataCentre: '' }, CallKind.Read, timeoutsWithin(MAX_ORDER_MILLISECONDS))
    if (reply.isErr()) this.logRefusal('list-evacuations', reply.error)
    return reply.andThen(({ refusal, evacuations }) => refusal === undefined ? ok(evacuations) : err(readRefusal(refusal)))
  }

  /**
   * Carries out an order. The change count is read after the order was received, so that an order that is held up afterwards
   * cannot undo an opposite one; where it has changed in between, it is read again.
   * @param order - the order
   * @param isAbandoned - whether the caller no longer waits for the answer; the order is then not sent any more
   * @returns nothing once the order, or an equal one, is committed; or a refusal with its verdict
   */
  async change (order: EvacuationOrder, isAbandoned: () => boolean = () => false): Promise<Result<void, Refusal>> {
    const startedAt = performance.now()
    const remaining = (): number => MAX_ORDER_MILLISECONDS - (performance.now() - startedAt)
    let last = tooLateRefusal
    while (remaining() > 0 && !isAbandoned()) {
      const outcome = await this.tryChange(order, remaining, isAbandoned)
      if (outcome.isOk()) return outcome
      last = outcome.error
      // An order that may have run is not sent with a newer count: an opposite order may have followed it.
      if (last.code !== RefusalCode.Conflict || last.verdict !== Verdict.NotRun) return err(last)
    }
    return err(last.code === RefusalCode.Conflict ? notRunRefusal(RefusalCode.Unavailable, last.message, RETRY_AFTER_MILLISECONDS) : last)
  }

  /** Reads the change count and sends the order with it, once. */
  private async tryChange (order: EvacuationOrder, remaining: () => number, isAbandoned: () => boolean): Promise<Result<void, Refusal>> {
    const { dataCentre, evacuate, team = '' } = order
    const read = await this.calls.call(ControlService.listEvacuations, { dataCentre }, CallKind.Read, timeoutsWithin(remaining()))
    if (read.isErr()) return this.refused(order, read.error)
    const { refusal, changeCount } = read.value
    if (refusal !== undefined) return err(readRefusal(refusal))
    if (isAbandoned() || remaining() <= 0) return this.refused(order, tooLateRefusal)
    const reply = await this.calls.call(ControlService.changeEvacuation, { dataCentre, evacuate, changeCount, team }, CallKind.Repeatable, timeoutsWithin(remaining()))
    if (reply.isErr()) return this.refused(order, reply.error)
    return reply.value.refusal === undefined ? ok(undefined) : err(readRefusal(reply.value.refusal))
  }

  private refused ({ dataCentre, evacuate }: EvacuationOrder, refusal: Refusal): Result<void, Refusal> {
    this.logRefusal(evacuate ? 'start-evacuation' : 'finish-evacuation', refusal, dataCentre)
    return err(refusal)
  }

  /** Logs a request that reached no leader, or whose reply was lost; what a leader refuses is in the leader's log. */
  private logRefusal (operation: string, { code, verdict, retryAfter }: Refusal, dataCentre?: string): void {
    this.refusals.log({ ...dataCentre !== undefined && { dataCentre }, operation, code, verdict, retryAfterMilliseconds: retryAfter, ...this.leader.lastKnown })
  }
}

const tooLateRefusal = notRunRefusal(RefusalCode.Unavailable, 'the time for the order is over, or its caller no longer waits', RETRY_AFTER_MILLISECONDS)

function timeoutsWithin (milliseconds: number): CallTimeouts {
  return { findMilliseconds: Math.min(TRY_TIMEOUT_MILLISECONDS, milliseconds), tryMilliseconds: Math.min(TRY_TIMEOUT_MILLISECONDS, Math.max(1, milliseconds)), settleMilliseconds: milliseconds }
}
