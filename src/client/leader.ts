import { Metadata, status, type Client, type ClientReadableStream, type MethodDefinition, type ServiceError } from '@grpc/grpc-js'
import { err, ok, type Result } from 'neverthrow'
import { notRun, RefusalCode, type Refusal } from '../core/verdict'
import type { Logger } from '../logging'
import { Verdict, type Refusal as WireRefusal } from '../wire/index'
import type { Channels } from './channels'
import type { KnownHosts } from './known-hosts'
import { mayHaveRun } from './refusals'

/** Longest time of one try of a unary call. */
const TRY_MILLISECONDS = 3_000
/** Longest time of a unary call with all its tries. */
const CALL_MILLISECONDS = 10_000
/** A stream is opened anew after this time, so that no call is without a deadline. */
const STREAM_MILLISECONDS = 600_000
/** Longest wait for the first message of a stream. */
const FIRST_MESSAGE_MILLISECONDS = 4_000
const FIRST_PAUSE_MILLISECONDS = 20
/** Time for which a leader that answered counts as there, in milliseconds: less than a leader takes to notice that it was cut off. */
const FRESH_MILLISECONDS = 250
const LONGEST_PAUSE_MILLISECONDS = 500
/** Milliseconds after which a caller may try again while no leader is found. */
const RETRY_AFTER_MILLISECONDS = 1_000

/** What a call does at the leader, and so whether it may be sent again after a break. */
export enum CallKind {
  /** Changes nothing. */
  Read = 'read',
  /** Carries an identifier by which the log recognises a resend. */
  Repeatable = 'repeatable',
  /** Must not be sent again once it may have arrived. */
  Once = 'once'
}

/** Every reply of control may be a refusal. */
export interface Refusable {
  readonly refusal?: WireRefusal | undefined
}

/** A call or stream that ended without saying what became of it. */
export class BrokenCall extends Error {
  /**
   * Describes the break.
   * @param detail - what the library said
   * @param sent - whether the request may have arrived
   */
  constructor (readonly detail: string, readonly sent: boolean) {
    super(detail)
  }
}

/** Finds the control leader by asking any control host, and follows it when it moves. */
export class Leader {
  private current: string | undefined
  private confirmed: string | undefined
  /** When a leader last gave any sign, in steady milliseconds. */
  seenAt = -Infinity
  private heardFrom: string | undefined
  /** Steady milliseconds. */
  private heardAt = -Infinity
  private readonly streams = new Map<ClientReadableStream<unknown>, string>()

  private constructor (
    private readonly hosts: KnownHosts,
    private readonly channels: Channels,
    readonly logger: Logger
  ) {}

  /**
   * Makes the search.
   * @param hosts - where control hosts are
   * @param channels - connections to them
   * @param logger - for leader changes
   * @returns the search, which opens no connection yet
   */
  static create (hosts: KnownHosts, channels: Channels, logger: Logger): Leader {
    return new Leader(hosts, channels, logger)
  }

  /** The control host to ask next: the leader where it is known. */
  get address (): string {
    return this.current ?? this.hosts.present
  }

  /**
   * Notes who leads, on a follower's word or the leader's own.
   * @param leader - its address, empty where not known
   * @param from - who said so
   */
  learn (leader: string, from: string): void {
    if (leader === '' || (leader === from && this.current !== from)) this.suspect(from)
    else this.current = leader
  }

  /**
   * Notes that a host confirmed itself as leader, and ends what still waits at another one.
   * @param address - the leader
   */
  confirm (address: string): void {
    if (this.confirmed !== address) this.logger.info('leader-found', { leader: address })
    this.confirmed = address
    this.current = address
    this.seenAt = performance.now()
    for (const [stream, asked] of this.streams) {
      if (asked !== address) stream.cancel()
    }
  }

  /**
   * Notes that a host answered as leader, so that requests may be sent to it for a moment without asking first.
   * @param address - the leader
   */
  heard (address: string): void {
    this.current = address
    this.heardFrom = address
    this.heardAt = performance.now()
    this.seenAt = this.heardAt
  }

  /** The leader, where it was heard a moment ago. */
  get fresh (): string | undefined {
    return this.heardFrom === this.current && performance.now() - this.heardAt < FRESH_MILLISECONDS ? this.current : undefined
  }

  /** The leader as last heard of, and how long ago that was, in milliseconds; neither where none was ever found. */
  get lastKnown (): { readonly leader?: string, readonly leaderSilentMilliseconds?: number } {
    return this.confirmed === undefined ? {} : { leader: this.confirmed, leaderSilentMilliseconds: Math.round(performance.now() - this.seenAt) }
  }

  /** All addresses at which control hosts may be. */
  get addresses (): readonly string[] { return this.hosts.all }

  /**
   * Takes the present control hosts from a leader that confirmed itself: those of the settings may all be gone.
   * @param addresses - IP numbers and ports
   */
  learnHosts (addresses: readonly string[]): void {
    this.hosts.learn(addresses)
  }

  /**
   * Notes that a host did not answer as leader; the next one is asked.
   * @param address - the host
   */
  suspect (address: string): void {
    if (this.address !== address) return
    if (this.current === undefined || this.hosts.present === address) this.hosts.advance()
    this.current = undefined
  }

  /**
   * Calls the leader, wherever it is.
   * @param method - a unary method of the Control service
   * @param request - its message
   * @param kind - whether it may be sent again
   * @returns the leader's reply, which may hold its refusal; or the refusal of this entry
   */
  async call<Request, Reply extends Refusable> (
    method: MethodDefinition<Request, Reply>, request: Request, kind: CallKind
  ): Promise<Result<Reply, Refusal>> {
    const giveUpAt = performance.now() + CALL_MILLISECONDS
    let sent = false
    for (const pause of pauses()) {
      const address = this.address
      const left = Math.max(1, giveUpAt - performance.now())
      const reply = await this.ask(address, method, request, Math.min(left, TRY_MILLISECONDS))
      if (reply instanceof BrokenCall) {
        sent ||= reply.sent && kind !== CallKind.Read
        this.suspect(address)
        if (sent && kind === CallKind.Once) break
      } else {
        const elsewhere = notLeader(reply)
        if (elsewhere === undefined) return ok(reply)
        this.learn(elsewhere.leader, address)
        sent ||= kind !== CallKind.Read && elsewhere.verdict !== Verdict.NOT_RUN
        if (sent && kind === CallKind.Once) break
        if (this.current !== undefined && pause === FIRST_PAUSE_MILLISECONDS) continue
      }
      if (performance.now() + pause >= giveUpAt) break
      await sleep(jittered(pause))
    }
    return err(noLeader(sent))
  }

  /**
   * Opens a stream at the host that is thought to lead.
   * @param method - a method of the Control service that streams its reply
   * @param request - its message
   * @param signal - ends the stream
   * @returns its messages; throws {@link BrokenCall} where the stream breaks
   */
  async * stream<Request, Reply extends Refusable> (
    method: MethodDefinition<Request, Reply>, request: Request, signal: AbortSignal
  ): AsyncGenerator<Reply, void> {
    const address = this.address
    const stream = this.channels.to(address).makeServerStreamRequest(
      method.path, method.requestSerialize, method.responseDeserialize, request, new Metadata(),
      { deadline: Date.now() + STREAM_MILLISECONDS })
    const cancel = (): void => stream.cancel()
    const first = setTimeout(cancel, FIRST_MESSAGE_MILLISECONDS)
    this.streams.set(stream, address)
    signal.addEventListener('abort', cancel)
    try {
      for await (const message of stream as AsyncIterable<Reply>) {
        clearTimeout(first)
        const elsewhere = notLeader(message)
        if (elsewhere !== undefined) {
          this.learn(elsewhere.leader, address)
          throw new BrokenCall('not the leader', elsewhere.verdict !== Verdict.NOT_RUN)
        }
        yield message
      }
    } catch (error) {
      if (error instanceof BrokenCall) throw error
      if (!signal.aborted) this.suspect(address)
      throw brokenBy(error as ServiceError)
    } finally {
      clearTimeout(first)
      signal.removeEventListener('abort', cancel)
      this.streams.delete(stream)
      stream.cancel()
    }
  }

  /**
   * Asks one host once.
   * @param address - the host
   * @param method - a unary method of the Control service
   * @param request - its message
   * @param milliseconds - longest time
   * @returns its reply, or the break
   */
  ask<Request, Reply> (
    address: string, method: MethodDefinition<Request, Reply>, request: Request, milliseconds: number
  ): Promise<Reply | BrokenCall> {
    const client: Client = this.channels.to(address)
    return new Promise((resolve) => {
      client.makeUnaryRequest(
        method.path, method.requestSerialize, method.responseDeserialize, request, new Metadata(),
        { deadline: Date.now() + milliseconds },
        (error, reply) => {
          if (error?.code === status.DEADLINE_EXCEEDED) this.channels.renew(address)
          resolve(error !== null ? brokenBy(error) : reply ?? new BrokenCall('an empty reply', true))
        })
    })
  }
}

/**
 * Tells a refusal of a host that does not lead from other replies.
 * @param reply - any reply
 * @returns the refusal, which may name the leader
 */
export function notLeader (reply: Refusable): WireRefusal | undefined {
  return reply.refusal?.code === RefusalCode.NotLeader ? reply.refusal : undefined
}

/** Only a connection that was never made proves that nothing arrived. */
function brokenBy (error: ServiceError): BrokenCall {
  const neverConnected = error.code === status.UNAVAILABLE && /^No connection established/.test(error.details ?? '')
  return new BrokenCall(error.details ?? error.message, !neverConnected)
}

/**
 * The refusal where no leader was found.
 * @param sent - the request may have arrived at one
 * @returns not run, or may have run
 */
export function noLeader (sent: boolean): Refusal {
  return sent
    ? mayHaveRun('the connection to the control leader broke before it answered', RETRY_AFTER_MILLISECONDS)
    : notRun(RefusalCode.Unavailable, 'no control leader answers', RETRY_AFTER_MILLISECONDS)
}

/** Pauses between tries, doubled each time. */
function * pauses (): Generator<number> {
  for (let pause = FIRST_PAUSE_MILLISECONDS; ; pause = Math.min(pause * 2, LONGEST_PAUSE_MILLISECONDS)) yield pause
}

/**
 * Spreads a pause, so that those who wait for a new leader do not all ask in the same moment.
 * @param pause - milliseconds
 * @returns half to one and a half of it
 */
export function jittered (pause: number): number {
  return pause * (0.5 + Math.random())
}

/**
 * Waits.
 * @param milliseconds - how long
 * @returns when the time is over
 */
export function sleep (milliseconds: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}
