import { Metadata, status, type Client, type ClientReadableStream, type MethodDefinition, type ServiceError } from '@grpc/grpc-js'
import { err, ok, type Result } from 'neverthrow'
import { notRunRefusal, RefusalCode, type Refusal } from '../core/verdict'
import type { Logger } from '../logging'
import { Verdict, type Refusal as WireRefusal } from '../wire/index'
import type { Channels } from './channels'
import type { KnownHosts } from './known-hosts'
import { mayHaveRun, refusalOfRepeated } from './refusals'

/** Timeout of one try of a unary call. */
const TRY_TIMEOUT_MILLISECONDS = 3_000
/** Timeout of a unary call with all its tries. */
const CALL_TIMEOUT_MILLISECONDS = 10_000
/** Deadline of a stream, after which it is opened again: no call is without a deadline. */
const MAX_STREAM_MILLISECONDS = 600_000
/** Timeout for the first message of a stream. */
const FIRST_MESSAGE_TIMEOUT_MILLISECONDS = 4_000
const MIN_BACKOFF_MILLISECONDS = 20
/** Time for which a host that replied as leader is assumed to be still the leader: less than a leader needs to detect that it is cut off. */
const RECENT_REPLY_MILLISECONDS = 250
const MAX_BACKOFF_MILLISECONDS = 500
/** Time after which a caller may try again when no leader was found. */
const RETRY_AFTER_MILLISECONDS = 1_000

/** The effect of a call at the leader, which decides whether it may be sent again after a failure. */
export enum CallKind {
  /** Changes nothing. */
  Read = 'read',
  /** Has an identifier by which the log recognises a resend. */
  Repeatable = 'repeatable',
  /** Must not be sent again once it may have arrived. */
  Once = 'once'
}

/** A reply of a control host, each of which may be a refusal. */
export interface Refusable {
  readonly refusal?: WireRefusal | undefined
}

/** A call or stream that failed without a reply, so that its effect may be unknown. */
export class BrokenCall extends Error {
  /**
   * Describes the failure.
   * @param detail - the error details of the gRPC library
   * @param mayHaveArrived - whether the request may have arrived
   */
  constructor (readonly detail: string, readonly mayHaveArrived: boolean) {
    super(detail)
  }
}

/** Finds the leader by asking control hosts, keeps track of it when leadership moves, and calls it. */
export class LeaderClient {
  /** The host that is assumed to be the leader, undefined where none is known. */
  private assumedLeader: string | undefined
  /** The host that last confirmed its leadership. */
  private confirmedLeader: string | undefined
  /** When a leader last confirmed its leadership or replied, in monotonic milliseconds. */
  lastContactAt = -Infinity
  private lastReplyFrom: string | undefined
  /** Monotonic milliseconds. */
  private lastReplyAt = -Infinity
  private readonly streams = new Map<ClientReadableStream<unknown>, string>()

  private constructor (
    private readonly hosts: KnownHosts,
    private readonly channels: Channels,
    readonly logger: Logger
  ) {}

  /**
   * Creates the client; connections are opened on first use.
   * @param hosts - the known control hosts
   * @param channels - connections to them
   * @param logger - for changes of the leader
   * @returns the client
   */
  static create (hosts: KnownHosts, channels: Channels, logger: Logger): LeaderClient {
    return new LeaderClient(hosts, channels, logger)
  }

  /** The control host to call next: the leader where it is known. */
  get address (): string {
    return this.assumedLeader ?? this.hosts.current
  }

  /**
   * Records which host is the leader, as another host or the leader itself reported it.
   * @param leader - the leader's address, empty where not known
   * @param from - the host that reported it
   */
  noteLeader (leader: string, from: string): void {
    if (leader === '' || (leader === from && this.assumedLeader !== from)) this.noteNotLeader(from)
    else this.assumedLeader = leader
  }

  /**
   * Records that a host confirmed its leadership, and cancels the streams that are open at other hosts.
   * @param address - the leader
   */
  noteConfirmation (address: string): void {
    if (this.confirmedLeader !== address) this.logger.info('leader-found', { leader: address })
    this.confirmedLeader = address
    this.assumedLeader = address
    this.lastContactAt = performance.now()
    for (const [stream, asked] of this.streams) {
      if (asked !== address) stream.cancel()
    }
  }

  /**
   * Records that a host replied as leader, so that requests may be sent to it for a short time without confirmation.
   * @param address - the leader
   */
  noteReply (address: string): void {
    this.assumedLeader = address
    this.lastReplyFrom = address
    this.lastReplyAt = performance.now()
    this.lastContactAt = this.lastReplyAt
  }

  /** The leader, where it replied recently enough to need no confirmation. */
  get recentLeader (): string | undefined {
    return this.lastReplyFrom === this.assumedLeader && performance.now() - this.lastReplyAt < RECENT_REPLY_MILLISECONDS ? this.assumedLeader : undefined
  }

  /** The leader that was last confirmed, and the time since the last contact with a leader, in milliseconds; empty where none was ever found. */
  get lastKnown (): { readonly leader?: string, readonly leaderSilentMilliseconds?: number } {
    return this.confirmedLeader === undefined ? {} : { leader: this.confirmedLeader, leaderSilentMilliseconds: Math.round(performance.now() - this.lastContactAt) }
  }

  /** All known addresses of control hosts. */
  get addresses (): readonly string[] { return this.hosts.all }

  /**
   * Takes over the current control hosts from a leader that confirmed its leadership: none of those in the settings may be left.
   * @param addresses - IP addresses and ports
   */
  updateHosts (addresses: readonly string[]): void {
    this.hosts.updateFromLeader(addresses)
  }

  /**
   * Records that a host did not reply as leader, so that the next one is called.
   * @param address - the host
   */
  noteNotLeader (address: string): void {
    if (this.address !== address) return
    if (this.assumedLeader === undefined || this.hosts.current === address) this.hosts.advance()
    this.assumedLeader = undefined
  }

  /**
   * Calls the leader, trying further hosts until one replies as leader.
   * @param method - a unary method of the Control service
   * @param request - its message
   * @param kind - whether it may be sent again
   * @returns the leader's reply, which may hold its refusal; or this client's refusal
   */
  async call<Request, Reply extends Refusable> (
    method: MethodDefinition<Request, Reply>, request: Request, kind: CallKind
  ): Promise<Result<Reply, Refusal>> {
    const deadline = performance.now() + CALL_TIMEOUT_MILLISECONDS
    let sent = false
    for (const backoff of backoffs()) {
      const address = this.address
      const remaining = Math.max(1, deadline - performance.now())
      const reply = await this.callHost(address, method, request, Math.min(remaining, TRY_TIMEOUT_MILLISECONDS))
      if (reply instanceof BrokenCall) {
        sent ||= reply.mayHaveArrived && kind !== CallKind.Read
        this.noteNotLeader(address)
        if (sent && kind === CallKind.Once) break
      } else {
        const refusal = notLeaderRefusal(reply)
        if (refusal === undefined) return ok(sent ? withVerdictOnAllCopies(reply) : reply)
        this.noteLeader(refusal.leader, address)
        sent ||= kind !== CallKind.Read && refusal.verdict !== Verdict.NOT_RUN
        if (sent && kind === CallKind.Once) break
        if (this.assumedLeader !== undefined && backoff === MIN_BACKOFF_MILLISECONDS) continue
      }
      if (performance.now() + backoff >= deadline) break
      await sleep(jittered(backoff))
    }
    return err(noLeaderRefusal(sent))
  }

  /**
   * Opens a stream at the host that is assumed to be the leader.
   * @param method - a method of the Control service that streams its reply
   * @param request - its message
   * @param signal - ends the stream
   * @returns its messages; throws {@link BrokenCall} where the stream fails
   */
  async * stream<Request, Reply extends Refusable> (
    method: MethodDefinition<Request, Reply>, request: Request, signal: AbortSignal
  ): AsyncGenerator<Reply, void> {
    const address = this.address
    const stream = this.channels.clientFor(address).makeServerStreamRequest(
      method.path, method.requestSerialize, method.responseDeserialize, request, new Metadata(),
      { deadline: Date.now() + MAX_STREAM_MILLISECONDS })
    const cancel = (): void => stream.cancel()
    const firstMessageTimer = setTimeout(cancel, FIRST_MESSAGE_TIMEOUT_MILLISECONDS)
    this.streams.set(stream, address)
    signal.addEventListener('abort', cancel)
    try {
      for await (const message of stream as AsyncIterable<Reply>) {
        clearTimeout(firstMessageTimer)
        const refusal = notLeaderRefusal(message)
        if (refusal !== undefined) {
          this.noteLeader(refusal.leader, address)
          throw new BrokenCall('not the leader', refusal.verdict !== Verdict.NOT_RUN)
        }
        yield message
      }
    } catch (error) {
      if (error instanceof BrokenCall) throw error
      if (!signal.aborted) this.noteNotLeader(address)
      throw brokenCallOf(error as ServiceError)
    } finally {
      clearTimeout(firstMessageTimer)
      signal.removeEventListener('abort', cancel)
      this.streams.delete(stream)
      stream.cancel()
    }
  }

  /**
   * Calls one host once.
   * @param address - the host
   * @param method - a unary method of the Control service
   * @param request - its message
   * @param milliseconds - the timeout
   * @returns its reply, or the failure
   */
  callHost<Request, Reply> (
    address: string, method: MethodDefinition<Request, Reply>, request: Request, milliseconds: number
  ): Promise<Reply | BrokenCall> {
    const client: Client = this.channels.clientFor(address)
    return new Promise((resolve) => {
      client.makeUnaryRequest(
        method.path, method.requestSerialize, method.responseDeserialize, request, new Metadata(),
        { deadline: Date.now() + milliseconds },
        (error, reply) => {
          if (error?.code === status.DEADLINE_EXCEEDED) this.channels.reset(address)
          resolve(error !== null ? brokenCallOf(error) : reply ?? new BrokenCall('the reply is empty', true))
        })
    })
  }
}

/**
 * Returns the refusal of a host that does not lead.
 * @param reply - any reply
 * @returns the refusal, which may name the leader; undefined for any other reply
 */
export function notLeaderRefusal (reply: Refusable): WireRefusal | undefined {
  return reply.refusal?.code === RefusalCode.NotLeader ? reply.refusal : undefined
}

function withVerdictOnAllCopies<Reply extends Refusable> (reply: Reply): Reply {
  return reply.refusal === undefined ? reply : { ...reply, refusal: refusalOfRepeated(reply.refusal) }
}

/** Marks the request as possibly arrived unless no connection was established: nothing else proves that it did not arrive. */
function brokenCallOf (error: ServiceError): BrokenCall {
  const neverConnected = error.code === status.UNAVAILABLE && /^No connection established/.test(error.details ?? '')
  return new BrokenCall(error.details ?? error.message, !neverConnected)
}

/**
 * Makes the refusal for when no leader replied.
 * @param sent - whether the request may have arrived at a leader
 * @param retryAfter - milliseconds after which a retry can help
 * @returns the refusal, with the verdict not-run or may-have-run
 */
export function noLeaderRefusal (sent: boolean, retryAfter = RETRY_AFTER_MILLISECONDS): Refusal {
  return sent
    ? mayHaveRun('the connection to the control leader broke before it answered', retryAfter)
    : notRunRefusal(RefusalCode.Unavailable, 'no control leader answers', retryAfter)
}

/** Exponential backoff: the pauses between tries, in milliseconds. */
function * backoffs (): Generator<number> {
  for (let pause = MIN_BACKOFF_MILLISECONDS; ; pause = Math.min(pause * 2, MAX_BACKOFF_MILLISECONDS)) yield pause
}

/**
 * Adds jitter to a pause, so that clients that wait for a new leader do not all send their requests at once.
 * @param pause - milliseconds
 * @returns between half and one and a half times the pause
 */
export function jittered (pause: number): number {
  return pause * (0.5 + Math.random())
}

/**
 * Waits for a time.
 * @param milliseconds - how long
 * @returns a promise that resolves after it
 */
export function sleep (milliseconds: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}
