/** Receives the body of one request as it comes in, however small its pieces are, within what it may take. */
import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { LimitKind, MAX_PIECES } from './limits'

/** Why a body was not received. */
export interface BodyFailure {
  /** HTTP status; 0 where the connection broke, so that no response arrives. */
  readonly status: 0 | 408 | 413 | 503
  readonly limit?: LimitKind
  readonly message: string
}

/** What a collector needs of its server. */
export interface CollectorContext {
  readonly maxBodyBytes: number
  /** Bytes to receive before the body is asked for. */
  readonly uncheckedBytes: () => number
  /** Accounts for memory; may refuse bodies, this one included. */
  readonly charge: (bytes: number) => void
  readonly count: (limit: LimitKind) => void
  /** Closes the connection at once. */
  readonly close: (limit: LimitKind) => void
}

/** The first buffer; a body with a declared size gets the second one of that size, so that little is copied. */
const FIRST_BUFFER_BYTES = 16_384
const EMPTY = Buffer.alloc(0)

const tooLarge = (maxBytes: number): BodyFailure => ({ status: 413, limit: LimitKind.BodySize, message: `the body is over ${maxBytes} bytes` })
const broken: BodyFailure = { status: 0, message: 'the connection ended within the body' }

/**
 * Copies each piece into one buffer: a body in pieces of one byte would otherwise take a hundred times its size. Reading
 * stops after a small part of the body until {@link BodyCollector.read} is called.
 */
export class BodyCollector {
  private buffer = EMPTY
  private bytes = 0
  private pieces = 0
  private checked = false
  private held = false
  private ended = false
  private failure: BodyFailure | undefined
  private readonly waiting: Array<() => void> = []
  private readonly declaredBytes: number

  private constructor (private readonly request: IncomingMessage, private readonly context: CollectorContext) {
    this.declaredBytes = Number(request.headers['content-length'] ?? 0)
    if (this.declaredBytes > context.maxBodyBytes) this.fail(tooLarge(context.maxBodyBytes))
    request.on('data', (piece: Buffer) => { this.add(piece) })
    request.once('end', () => { this.ended = true; this.wake() })
    request.once('close', () => { if (!this.ended) this.fail(broken) })
  }

  /**
   * Begins to receive a body.
   * @param request - a request whose body nobody else reads
   * @param context - see {@link CollectorContext}
   * @returns the collector
   */
  static create (request: IncomingMessage, context: CollectorContext): BodyCollector {
    return new BodyCollector(request, context)
  }

  /** Whether the client is expected to send more that would be read now. */
  get isReceiving (): boolean { return !this.ended && !this.held && this.failure === undefined }

  /** Whether the body can still be refused with a response. */
  get isRefusable (): boolean { return !this.ended && this.failure === undefined }

  /** Whether everything was received, so that the request may be in progress. */
  get isComplete (): boolean { return this.ended && this.failure === undefined }

  /**
   * Waits until the size of the body is known to be small or not.
   * @returns true if there is more than is received unchecked
   */
  async isLarge (): Promise<boolean> {
    if (this.declaredBytes > this.context.uncheckedBytes()) return true
    await this.until(() => this.ended || this.held || this.failure !== undefined)
    return this.held
  }

  /**
   * Receives the complete body.
   * @returns the bytes, or why they were not received
   */
  async read (): Promise<Result<Uint8Array, BodyFailure>> {
    this.checked = true
    this.release()
    await this.until(() => this.ended || this.failure !== undefined)
    return this.failure === undefined ? ok(this.buffer.subarray(0, this.bytes)) : err(this.failure)
  }

  /** Gives up the body: what comes is discarded. */
  fail (failure: BodyFailure): void {
    if (this.failure !== undefined || this.ended) return
    this.failure = failure
    if (failure.limit !== undefined) this.context.count(failure.limit)
    this.discard()
    this.wake()
  }

  /** Forgets what was received, and discards what still comes. */
  discard (): void {
    this.failure ??= broken
    this.context.charge(-this.buffer.length)
    this.buffer = EMPTY
    this.bytes = 0
    this.release()
  }

  /** Forgets a complete body, which its reader has. */
  settle (): void {
    if (!this.isComplete) return
    this.context.charge(-this.buffer.length)
    this.buffer = EMPTY
  }

  private add (piece: Buffer): void {
    this.pieces += 1
    if (this.pieces === MAX_PIECES + 1) this.context.close(LimitKind.Pieces)
    if (this.failure !== undefined) return
    const { maxBodyBytes, uncheckedBytes } = this.context
    const bytes = this.bytes + piece.length
    if (bytes > maxBodyBytes) { this.fail(tooLarge(maxBodyBytes)); return }
    if (bytes > this.buffer.length) this.grow(bytes)
    if (this.failure !== undefined) return
    piece.copy(this.buffer, this.bytes)
    this.bytes = bytes
    if (!this.checked && !this.held && bytes >= uncheckedBytes()) this.hold()
  }

  private grow (bytes: number): void {
    const size = this.declaredBytes < bytes
      ? Math.max(bytes, FIRST_BUFFER_BYTES, this.buffer.length * 2)
      : bytes <= FIRST_BUFFER_BYTES ? Math.min(FIRST_BUFFER_BYTES, this.declaredBytes) : this.declaredBytes
    const grown = Buffer.allocUnsafeSlow(size)
    this.buffer.copy(grown, 0, 0, this.bytes)
    const added = size - this.buffer.length
    this.buffer = grown
    this.context.charge(added)
  }

  /** Stops reading from the connection. Pieces that were read already still come, and are copied. */
  private hold (): void {
    this.held = true
    // The stream would otherwise start the connection again for each piece.
    this.request._read = () => {}
    this.request.socket.pause()
    this.wake()
  }

  private release (): void {
    if (!this.held) return
    this.held = false
    Reflect.deleteProperty(this.request, '_read')
    this.request.socket.resume()
  }

  private async until (condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise<void>((resolve) => { this.waiting.push(resolve) })
  }

  private wake (): void {
    for (const resolve of this.waiting.splice(0)) resolve()
  }
}
