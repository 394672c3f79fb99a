/** One connection of a guarded server. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { BodyCollector } from './body-collector'
import type { ConnectionView } from './connection-rules'
import type { Holder } from './held-bytes'
import { BODY_MILLISECONDS, LimitKind, MAX_REMAINDER_BYTES, RATE_WINDOW_MILLISECONDS, REMAINDER_MILLISECONDS, REQUEST_BYTES } from './limits'

/** A request and its response. */
export interface Exchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly headerBytes: number
  /** Undefined for a request without a body. */
  readonly collector: BodyCollector | undefined
}

/** What a connection needs of its process. */
export interface ConnectionContext {
  /** Accounts for bytes that are held, or no longer held. */
  readonly charge: (bytes: number) => void
  /** Reserves the discarding of the rest of a body; false where too many connections do. */
  readonly beginRemainder: () => boolean
  readonly endRemainder: () => void
}

interface Waiting { readonly exchange: Exchange, readonly handle: () => void, readonly at: number }

const statusOfLimit: { readonly [limit in LimitKind]?: 408 | 503 } = { [LimitKind.SlowSender]: 408, [LimitKind.Memory]: 503 }

/** What a connection holds, and how it moves. Its requests are handled in their order, one at a time. */
export class GuardedConnection implements Holder, ConnectionView {
  heldBytes = 0
  idleSince: number | undefined
  headersSince: number | undefined
  body: { since: number, bytes: number } | undefined
  unsent: { bytes: number, since: number } | undefined
  remainderUntil: number | undefined
  movedAt: number
  private readonly waiting: Waiting[] = []
  private remainder: Exchange | undefined
  private observedAt = 0
  private bytesRead = 0
  /** Bytes that had been read when the last request was finished. */
  private bytesReadWhenIdle = 0
  private unsentBytes = 0

  constructor (readonly socket: Socket, now: number, private readonly context: ConnectionContext) {
    this.movedAt = now
    this.idleSince = now
  }

  /** Requests that were received and are not answered yet. */
  get waitingRequests (): number { return this.waiting.length }

  /** Whether closing the connection leaves no outcome unknown, or the client does not read its response. */
  get closable (): boolean {
    const current = this.waiting[0]
    return current === undefined || this.unsent !== undefined || current.exchange.collector?.isComplete === false
  }

  /** Adds to what the connection holds; may close connections, this one included. */
  charge (bytes: number): void {
    this.heldBytes += bytes
    this.context.charge(bytes)
  }

  /**
   * Adds a request.
   * @param exchange - the request
   * @param handle - called when all earlier requests of the connection are answered
   */
  add (exchange: Exchange, handle: () => void): void {
    this.idleSince = undefined
    this.headersSince = undefined
    this.movedAt = performance.now()
    this.waiting.push({ exchange, handle, at: this.movedAt })
    this.charge(REQUEST_BYTES + exchange.headerBytes)
    if (this.socket.destroyed) return
    if (this.waiting.length === 1) handle()
    else this.socket.pause()
  }

  collectorOf (request: IncomingMessage): BodyCollector | undefined {
    return this.waiting.find(({ exchange }) => exchange.request === request)?.exchange.collector
  }

  /** Ends a request, and begins the next one. What is left of an unread body is discarded for a short time. */
  finish (exchange: Exchange, now: number): void {
    const position = this.waiting.findIndex((waiting) => waiting.exchange === exchange)
    if (position < 0) return
    this.waiting.splice(position, 1)
    this.charge(-REQUEST_BYTES - exchange.headerBytes)
    exchange.collector?.discard()
    this.body = undefined
    if (this.socket.destroyed) return
    if (!exchange.request.complete) {
      const declaredBytes = Number(exchange.request.headers['content-length'] ?? 0)
      if (declaredBytes > MAX_REMAINDER_BYTES || !this.context.beginRemainder()) { this.socket.destroySoon(); return }
      this.remainder = exchange
      this.remainderUntil = now + REMAINDER_MILLISECONDS
    }
    if (this.waiting.length <= 1) this.socket.resume()
    const next = this.waiting[0]
    if (next !== undefined) { next.handle(); return }
    this.idleSince = now
    this.bytesReadWhenIdle = this.socket.bytesRead
  }

  /** Gives back what the connection held. */
  close (): void {
    for (const { exchange } of this.waiting.splice(0)) exchange.collector?.discard()
    this.context.charge(-this.heldBytes)
    if (this.remainder !== undefined) this.endRemainder(performance.now())
    this.heldBytes = 0
  }

  /**
   * Refuses the body that is being received, so that the handler can answer.
   * @param limit - the reason
   * @returns false where the connection can only be closed
   */
  refuse (limit: LimitKind): boolean {
    const status = statusOfLimit[limit]
    const collector = this.waiting[0]?.exchange.collector
    if (status === undefined || collector === undefined || this.waiting.length > 1 || this.unsent !== undefined || this.remainderUntil !== undefined) return false
    if (!collector.isRefusable) return false
    collector.fail({ status, limit, message: status === 408 ? 'the body came too slowly' : 'this process has too many requests at the moment' })
    this.body = undefined
    return true
  }

  /** Reads from the socket what has moved. */
  observe (now: number): void {
    const { bytesRead, writableLength } = this.socket
    const received = bytesRead - this.bytesRead
    this.bytesRead = bytesRead
    if (received > 0) this.movedAt = now
    if (this.remainder?.request.complete === true) this.endRemainder(now)
    if (this.remainderUntil === undefined && this.idleSince !== undefined && bytesRead > this.bytesReadWhenIdle) this.headersSince ??= now
    const current = this.waiting[0]
    if (current !== undefined && now - Math.max(current.at, this.movedAt) > BODY_MILLISECONDS) current.exchange.collector?.settle()
    this.observeBody(received, now)
    this.observeResponse(writableLength, now)
  }

  private endRemainder (now: number): void {
    this.remainder = undefined
    this.remainderUntil = undefined
    this.context.endRemainder()
    if (this.waiting.length > 0) return
    this.idleSince = now
    this.bytesReadWhenIdle = this.bytesRead
  }

  private observeBody (received: number, now: number): void {
    const previousAt = this.observedAt
    this.observedAt = now
    if (this.waiting[0]?.exchange.collector?.isReceiving !== true) { this.body = undefined; return }
    if (this.body === undefined) this.body = { since: now, bytes: 0 }
    // The window that ended at the previous look was judged then.
    else if (previousAt - this.body.since >= RATE_WINDOW_MILLISECONDS) this.body = { since: previousAt, bytes: received }
    else this.body.bytes += received
  }

  private observeResponse (writableLength: number, now: number): void {
    if (writableLength !== this.unsentBytes) {
      this.charge(writableLength - this.unsentBytes)
      this.unsentBytes = writableLength
      this.unsent = undefined
      this.movedAt = now
    }
    if (writableLength > 0) this.unsent ??= { bytes: writableLength, since: now }
  }
}
