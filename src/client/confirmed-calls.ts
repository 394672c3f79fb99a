/**
 * Calls that are sent only to a host that has just confirmed itself as leader. A request that no such host was there for
 * was never sent, so its refusal can say "not run" at once; and little is sent to hosts that are silently gone.
 */
import type { MethodDefinition } from '@grpc/grpc-js'
import { err, ok, type Result } from 'neverthrow'
import type { Refusal } from '../core/verdict'
import { ControlService, Verdict } from '../wire/index'
import { BrokenCall, CallKind, jittered, noLeader, notLeader, sleep, type Leader, type Refusable } from './leader'

/** How long such a call may take, in milliseconds. */
export interface ConfirmedLimits {
  /** Time to find a leader, as long as nothing was sent. */
  readonly find: number
  /** Time of one try. */
  readonly tried: number
  /** Time to learn what became of a request that may have arrived. */
  readonly settle: number
}

/** Longest wait for a host to confirm itself, in milliseconds: a quorum answers within a few round trips. */
const CONFIRM_MILLISECONDS = 300
/** Time without any word of a leader after which callers are refused after one short look, in milliseconds: two elections. */
const LONG_GONE_MILLISECONDS = 2_000
/** That look, in milliseconds: a few round trips between data centres. */
const LOOK_MILLISECONDS = 200
/** Pause between two searches, in milliseconds. */
const PAUSE_MILLISECONDS = 40

/** Calls to whichever host leads. */
export class ConfirmedCalls {
  private searching?: Promise<string | undefined>
  /** Steady milliseconds. */
  private readonly made = performance.now()

  private constructor (private readonly leader: Leader) {}

  /**
   * Makes the calls.
   * @param leader - what is known of the leader
   * @returns the object
   */
  static create (leader: Leader): ConfirmedCalls {
    return new ConfirmedCalls(leader)
  }

  /**
   * Calls the leader.
   * @param method - a unary method of the Control service
   * @param request - its message
   * @param kind - whether it may be sent again after a break
   * @param limits - how long it may take
   * @returns the leader's reply, which may hold its refusal; or a refusal that says whether the request may have run
   */
  async call<Request, Reply extends Refusable> (
    method: MethodDefinition<Request, Reply>, request: Request, kind: CallKind, limits: ConfirmedLimits
  ): Promise<Result<Reply, Refusal>> {
    const began = performance.now()
    let sent = false
    const find = this.leaderIsLongGone ? Math.min(limits.find, LOOK_MILLISECONDS) : limits.find
    const left = (): number => (sent ? limits.settle : find) - (performance.now() - began)
    while (left() > 0) {
      const address = this.leader.fresh ?? await within(left(), this.find())
      if (address === undefined) { await sleep(Math.max(0, Math.min(left(), jittered(PAUSE_MILLISECONDS)))); continue }
      const reply = await this.leader.ask(address, method, request, limits.tried)
      if (reply instanceof BrokenCall) {
        this.leader.suspect(address)
        sent ||= reply.sent && kind !== CallKind.Read
      } else {
        const refusal = notLeader(reply)
        if (refusal === undefined) { this.leader.heard(address); return ok(reply) }
        sent ||= kind !== CallKind.Read && refusal.verdict !== Verdict.NOT_RUN
        this.leader.learn(refusal.leader, address)
      }
      if (sent && kind === CallKind.Once) break
    }
    return err(noLeader(sent))
  }

  /** Nobody gains by waiting for a leader that has been gone for longer than an election takes. */
  private get leaderIsLongGone (): boolean {
    return performance.now() - Math.max(this.made, this.leader.seenAt) > LONG_GONE_MILLISECONDS
  }

  /** All hosts are asked at once, and callers that wait share one search. */
  private async find (): Promise<string | undefined> {
    this.searching ??= this.search().finally(() => { this.searching = undefined })
    return await this.searching
  }

  private async search (): Promise<string | undefined> {
    const asked = new Set(this.leader.addresses)
    const found = await Promise.any([...asked].map(async (address) => await this.confirmed(address, asked))).catch(() => undefined)
    if (found !== undefined) this.leader.heard(found)
    return found
  }

  /** A host that does not lead may name one that is in no list yet. Rejects where neither leads. */
  private async confirmed (address: string, asked: Set<string>): Promise<string> {
    const reply = await this.leader.ask(address, ControlService.confirm, {}, CONFIRM_MILLISECONDS)
    if (reply instanceof BrokenCall) throw reply
    if (reply.refusal === undefined) {
      this.leader.learnHosts(reply.controlHosts)
      return address
    }
    const { leader } = reply.refusal
    if (leader === '' || asked.has(leader)) throw new BrokenCall('not the leader', false)
    asked.add(leader)
    return await this.confirmed(leader, asked)
  }
}

/** The outcome of a promise, or nothing where it takes too long. */
async function within<Value> (milliseconds: number, outcome: Promise<Value | undefined>): Promise<Value | undefined> {
  let timer: NodeJS.Timeout | undefined
  const late = new Promise<undefined>((resolve) => { timer = setTimeout(() => { resolve(undefined) }, milliseconds) })
  const first = await Promise.race([outcome, late])
  clearTimeout(timer)
  return first
}
