/**
 * Calls that are sent only to a host that has just confirmed its leadership. Where no host does, the request is never
 * sent, so its refusal can say "not run" at once; and few requests are sent to hosts that have failed silently.
 */
import type { MethodDefinition } from '@grpc/grpc-js'
import { err, ok, type Result } from 'neverthrow'
import type { Refusal } from '../core/verdict'
import { ControlService, Verdict } from '../wire/index'
import { retryAfterOutage } from './outage-retry'
import { BrokenCall, CallKind, jittered, noLeaderRefusal, notLeaderRefusal, sleep, type LeaderClient, type Refusable } from './leader-client'
import { readRefusal, refusalOfRepeated } from './refusals'

/** Timeouts of such a call, measured from its start unless stated otherwise. */
export interface CallTimeouts {
  /** Time to find a leader, until the request has been sent. */
  readonly findMilliseconds: number
  /** Timeout of one try, measured from the start of the try. */
  readonly tryMilliseconds: number
  /** Time to obtain the reply to a request that may have arrived, by sending it again. */
  readonly settleMilliseconds: number
}

/** Timeout for a host to confirm its leadership, in milliseconds: a quorum replies within a few round trips. */
const CONFIRM_TIMEOUT_MILLISECONDS = 300
/** Time since the last contact with a leader after which callers wait for one short search only, in milliseconds: two elections. */
const LEADER_ABSENT_AFTER_MILLISECONDS = 2_000
/** Time for that search, in milliseconds: a few round trips between data centres. */
const SHORT_FIND_MILLISECONDS = 200
/** Pause between two searches, in milliseconds; jittered. */
const SEARCH_PAUSE_MILLISECONDS = 40

/** Makes calls to the leader. */
export class ConfirmedCalls {
  /** The search under way, shared by all callers. */
  private currentSearch?: Promise<string | undefined>
  /** When calls began to fail for want of a leader, in monotonic milliseconds; undefined while a leader answers. */
  private leaderMissingSince?: number
  /** Monotonic milliseconds. */
  private readonly createdAt = performance.now()

  private constructor (private readonly leader: LeaderClient) {}

  /**
   * Creates the calls.
   * @param leader - finds the leader
   * @returns the new object
   */
  static create (leader: LeaderClient): ConfirmedCalls {
    return new ConfirmedCalls(leader)
  }

  /**
   * Calls the leader.
   * @param method - a unary method of the Control service
   * @param request - its message
   * @param kind - whether it may be sent again after a failure
   * @param timeouts - how long it may take
   * @returns the leader's reply, which may hold its refusal; or the refusal of a request that got no reply at least once, whose verdict says whether any copy of it may have run
   */
  async call<Request, Reply extends Refusable> (
    method: MethodDefinition<Request, Reply>, request: Request, kind: CallKind, timeouts: CallTimeouts
  ): Promise<Result<Reply, Refusal>> {
    const startedAt = performance.now()
    let sent = false
    const findTimeout = this.leaderIsAbsent ? Math.min(timeouts.findMilliseconds, SHORT_FIND_MILLISECONDS) : timeouts.findMilliseconds
    const remaining = (): number => (sent ? timeouts.settleMilliseconds : findTimeout) - (performance.now() - startedAt)
    while (remaining() > 0) {
      const address = this.leader.recentLeader ?? await withTimeout(remaining(), this.findLeader())
      if (address === undefined) { await sleep(Math.max(0, Math.min(remaining(), jittered(SEARCH_PAUSE_MILLISECONDS)))); continue }
      const reply = await this.leader.callHost(address, method, request, timeouts.tryMilliseconds)
      if (reply instanceof BrokenCall) {
        this.leader.noteNotLeader(address)
        sent ||= reply.mayHaveArrived && kind !== CallKind.Read
      } else {
        const refusal = notLeaderRefusal(reply)
        if (refusal === undefined) {
          this.leaderMissingSince = undefined
          this.leader.noteReply(address)
          return sent && reply.refusal !== undefined ? err(readRefusal(refusalOfRepeated(reply.refusal))) : ok(reply)
        }
        sent ||= kind !== CallKind.Read && refusal.verdict !== Verdict.NOT_RUN
        this.leader.noteLeader(refusal.leader, address)
      }
      if (sent && kind === CallKind.Once) break
    }
    this.leaderMissingSince ??= startedAt
    // Reads are needed as soon as a leader answers again, so they may come back early.
    return err(noLeaderRefusal(sent, kind === CallKind.Read ? undefined : retryAfterOutage(performance.now() - this.leaderMissingSince, Math.random())))
  }

  /** Whether no leader has been in contact for longer than an election takes, so that waiting for one is of no use. */
  private get leaderIsAbsent (): boolean {
    return performance.now() - Math.max(this.createdAt, this.leader.lastContactAt) > LEADER_ABSENT_AFTER_MILLISECONDS
  }

  /** Searches all hosts at once; concurrent callers share one search. */
  private async findLeader (): Promise<string | undefined> {
    this.currentSearch ??= this.searchAllHosts().finally(() => { this.currentSearch = undefined })
    return await this.currentSearch
  }

  private async searchAllHosts (): Promise<string | undefined> {
    const asked = new Set(this.leader.addresses)
    const found = await Promise.any([...asked].map(async (address) => await this.confirmedLeader(address, asked))).catch(() => undefined)
    if (found !== undefined) this.leader.noteReply(found)
    return found
  }

  /**
   * Asks a host to confirm its leadership, or else the host that it names as leader, which may not be a known host yet.
   * Rejects where neither is the leader.
   */
  private async confirmedLeader (address: string, asked: Set<string>): Promise<string> {
    const reply = await this.leader.callHost(address, ControlService.confirm, {}, CONFIRM_TIMEOUT_MILLISECONDS)
    if (reply instanceof BrokenCall) throw reply
    if (reply.refusal === undefined) {
      this.leader.updateHosts(reply.controlHosts)
      return address
    }
    const { leader } = reply.refusal
    if (leader === '' || asked.has(leader)) throw new BrokenCall('not the leader', false)
    asked.add(leader)
    return await this.confirmedLeader(leader, asked)
  }
}

/** Resolves to the value of a promise, or to undefined after a timeout. */
async function withTimeout<Value> (milliseconds: number, outcome: Promise<Value | undefined>): Promise<Value | undefined> {
  let timer: NodeJS.Timeout | undefined
  const expired = new Promise<undefined>((resolve) => { timer = setTimeout(() => { resolve(undefined) }, milliseconds) })
  const first = await Promise.race([outcome, expired])
  clearTimeout(timer)
  return first
}
