/** Enforces the limits of one HTTP server on its connections. */
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerOptions, type ServerResponse } from 'node:http'
import { createServer as createTlsServer, type ServerOptions as TlsServerOptions } from 'node:https'
import type { Socket } from 'node:net'
import { setImmediate } from 'node:timers/promises'
import { err, ok, type Result } from 'neverthrow'
import { BodyCollector, type BodyFailure } from './body-collector'
import { limitReachedBy } from './connection-rules'
import { GuardedConnection, type Exchange } from './guarded-connection'
import { connectionsToClose } from './held-bytes'
import { LimitKind, MAX_PIPELINED_REQUESTS, UNCHECKED_BODY_BYTES, UNCHECKED_BODY_BYTES_UNDER_PRESSURE, type RequestLimits } from './limits'
import type { HttpLimits } from './http-limits'

/** The options of a guarded server. */
export interface GuardOptions {
  /** Name in metrics and log lines. */
  readonly endpoint: string
  /** Share of the connections of the process. */
  readonly connectionShare: number
  /** Limits in force; read for each request. */
  readonly limits: () => RequestLimits
}

/** Connections beyond the limit that are accepted in order to choose which of all are closed. */
const SPARE_CONNECTIONS_SHARE = 1 / 8
const MIN_CONNECTIONS = 16
const NO_BODY = new Uint8Array(0)
const HEADER_OVERFLOW = 'HPE_HEADER_OVERFLOW'

/** The limits of one server. Requests of one connection are handled one after the other. */
export class ServerGuard {
  private readonly connections = new Map<Socket, GuardedConnection>()
  private readonly maxConnections: number
  private server: Server | undefined

  /**
   * Creates the guard; {@link HttpLimits.guard} does.
   * @param process - the limits of the process
   * @param options - see {@link GuardOptions}
   */
  constructor (private readonly process: HttpLimits, private readonly options: GuardOptions) {
    this.maxConnections = Math.max(MIN_CONNECTIONS, Math.floor(process.limits.connections * options.connectionShare))
  }

  /**
   * Creates a server with these limits.
   * @param handler - handles requests
   * @param tls - options of a TLS server; undefined for plain HTTP
   * @returns the server, not yet listening
   */
  createServer (handler: RequestListener, tls?: TlsServerOptions): Server {
    const listener: RequestListener = (request, response) => { this.accept(request, response, handler) }
    // Times are checked by the guard, because the limits may change while the server runs.
    const options: ServerOptions = { maxHeaderSize: this.options.limits().maxHeaderBytes, headersTimeout: 0, requestTimeout: 0 }
    const server = tls === undefined ? createServer(options, listener) : createTlsServer({ ...options, ...tls }, listener)
    server.maxConnections = Math.ceil(this.maxConnections * (1 + SPARE_CONNECTIONS_SHARE))
    server.on(tls === undefined ? 'connection' : 'secureConnection', (socket: Socket) => { this.open(socket) })
    server.on('drop', () => { this.count(LimitKind.Connections) })
    server.prependListener('clientError', (error: NodeJS.ErrnoException, socket) => {
      if (error.code === HEADER_OVERFLOW) this.count(LimitKind.HeaderSize)
      if (server.listenerCount('clientError') === 1) socket.end(`HTTP/1.1 ${error.code === HEADER_OVERFLOW ? '431 Request Header Fields Too Large' : '400 Bad Request'}\r\nconnection: close\r\n\r\n`)
    })
    server.on('listening', () => { this.process.add(this) })
    server.on('close', () => { this.process.remove(this) })
    this.server = server as Server
    this.adoptLimits()
    return this.server
  }

  /**
   * Waits until it is known whether a body is large. The caller then checks whether the request may be made at all before
   * the rest is read.
   * @param request - a request of this server
   * @returns true if there is more than is received unchecked
   */
  async hasLargeBody (request: IncomingMessage): Promise<boolean> {
    return await this.collectorOf(request)?.isLarge() ?? false
  }

  /**
   * Receives the complete body of a request. A client that has left by then gets no answer, and may have sent its request
   * again or cancelled it through another host, so its request is not handled.
   * @param request - a request of this server
   * @returns the bytes, empty where there is no body; or why it was not received
   */
  async readBody (request: IncomingMessage): Promise<Result<Uint8Array, BodyFailure>> {
    const received = await this.collectorOf(request)?.read() ?? ok(NO_BODY)
    if (received.isErr() || !await isClosed(request.socket)) return received
    const { readableEnded, errored } = request.socket
    // Otherwise a limit closed the connection, and was counted.
    if (readableEnded || errored !== null) this.count(LimitKind.Abandoned)
    return err(abandoned)
  }

  /**
   * Counts a refusal that the caller decided on.
   * @param limit - the limit
   */
  count (limit: LimitKind): void {
    this.process.log.count(this.options.endpoint, limit)
  }

  /** Number of open connections. */
  get connectionCount (): number { return this.connections.size }

  /** All open connections. */
  get openConnections (): Iterable<GuardedConnection> { return this.connections.values() }

  /** Closes connections that have reached a limit of time or rate. */
  sweep (now: number): void {
    const limits = this.options.limits()
    this.adoptLimits()
    for (const connection of this.connections.values()) {
      connection.observe(now)
      const limit = limitReachedBy(connection, limits, now)
      if (limit !== undefined) this.cutOff(connection, limit)
    }
  }

  /** Refuses the request that a connection is sending, or closes it. */
  cutOff (connection: GuardedConnection, limit: LimitKind): void {
    if (limit === LimitKind.Idle) { this.destroy(connection); return }
    if (connection.refuse(limit)) return
    this.count(limit)
    this.destroy(connection)
  }

  /** Gives back at once what the connection held, so that no other is closed for it. */
  private destroy (connection: GuardedConnection): void {
    connection.close()
    // What has been read already would otherwise become requests and responses that live until the event loop closes the
    // socket: 64 KB are 500 requests, and 60 connections that did so at once filled a heap of 64 MB. The field is not
    // documented; Node sets it anew for each connection, and without it only this saving is lost.
    const { parser } = connection.socket as { parser?: { onIncoming?: unknown } | null }
    if (typeof parser?.onIncoming === 'function') parser.onIncoming = () => 0
    connection.socket.destroy()
  }

  private adoptLimits (): void {
    const { maxHeaderBytes, idleTimeoutMilliseconds } = this.options.limits()
    if (this.server === undefined) return
    // Node reads this field for each new connection; it has no documented way to change the limit later.
    Object.assign(this.server, { maxHeaderSize: maxHeaderBytes })
    this.server.keepAliveTimeout = idleTimeoutMilliseconds
  }

  private open (socket: Socket): void {
    this.connections.set(socket, new GuardedConnection(socket, performance.now(), this.process))
    socket.once('close', () => {
      this.connections.get(socket)?.close()
      this.connections.delete(socket)
    })
    if (this.connections.size <= this.maxConnections) return
    for (const connection of connectionsToClose([...this.connections.values()], this.maxConnections, performance.now())) {
      this.count(LimitKind.Connections)
      this.destroy(connection)
    }
  }

  private accept (request: IncomingMessage, response: ServerResponse, handler: RequestListener): void {
    const connection = this.connections.get(request.socket)
    if (connection === undefined || request.socket.destroyed) return
    if (connection.waitingRequests > MAX_PIPELINED_REQUESTS) {
      this.count(LimitKind.Pipelining)
      this.destroy(connection)
      return
    }
    const { maxHeaderBytes, maxBodyBytes } = this.options.limits()
    const exchange: Exchange = { request, response, headerBytes: headerBytesOf(request), collector: this.collect(request, connection, maxBodyBytes) }
    response.once('close', () => { connection.finish(exchange, performance.now()) })
    connection.add(exchange, () => {
      if (exchange.headerBytes <= maxHeaderBytes) { handler(request, response); return }
      this.count(LimitKind.HeaderSize)
      response.writeHead(431).end()
    })
  }

  private collect (request: IncomingMessage, connection: GuardedConnection, maxBodyBytes: number): BodyCollector | undefined {
    const { 'content-length': length = '0', 'transfer-encoding': encoding } = request.headers
    if (length === '0' && encoding === undefined) return undefined
    return BodyCollector.create(request, {
      maxBodyBytes,
      uncheckedBytes: () => this.process.isUnderPressure ? UNCHECKED_BODY_BYTES_UNDER_PRESSURE : UNCHECKED_BODY_BYTES,
      charge: (bytes) => { connection.charge(bytes) },
      count: (limit) => { this.count(limit) },
      close: (limit) => {
        this.count(limit)
        this.destroy(connection)
      }
    })
  }

  private collectorOf (request: IncomingMessage): BodyCollector | undefined {
    return this.connections.get(request.socket)?.collectorOf(request)
  }
}

const abandoned: BodyFailure = { status: 0, message: 'the connection was closed before the request was handled' }

/** The end of a connection is read one turn of the event loop after its last data, which may have waited while the process stood still. */
async function isClosed (socket: Socket): Promise<boolean> {
  await setImmediate()
  await setImmediate()
  return socket.destroyed || socket.readableEnded
}

/** Bytes of a header as it is sent: each field has a colon, a space and a line end. */
function headerBytesOf ({ method = '', url = '', rawHeaders }: IncomingMessage): number {
  let bytes = method.length + url.length + ' HTTP/1.1\r\n\r\n'.length
  for (const text of rawHeaders) bytes += text.length + 2
  return bytes
}
