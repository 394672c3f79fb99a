import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** The only address that stand-ins listen on. */
const LOOPBACK = '127.0.0.1'

/** What a stand-in can be told to do with the requests that come. */
export enum Fault {
  None = 'none',
  /** Answers 500 without doing anything. */
  FailEverything = 'fail-everything',
  /** Does the work and never answers. */
  Hang = 'hang',
  /** Takes every request, questions too, and answers nothing. */
  Silent = 'silent',
  /** Closes the connection before reading the request. */
  Refuse = 'refuse',
  /** Does the work, then sends half of the answer and closes the connection. */
  HalfBody = 'half-body',
  /** Does the work and answers later. */
  Late = 'late',
  /** Does the work and sends the same answer two times, the second time when the next request comes on the connection. */
  Twice = 'twice',
  /** Does the work and changes one byte of the answer. */
  WrongByte = 'wrong-byte'
}

/** A fault in force. */
export interface FaultSettings {
  readonly fault: Fault
  /** Requests that it strikes; all where not given. */
  readonly count?: number
  /** Strikes only requests with this method. */
  readonly method?: string
  /** For {@link Fault.Late}. */
  readonly milliseconds?: number
}

/** An answer before any fault has struck it. */
export interface Reply {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
}

/** A request whose body was read. */
export interface ReceivedRequest {
  readonly method: string
  readonly path: string
  readonly headers: IncomingMessage['headers']
  readonly body: Buffer
  /** Resolves when the caller has closed the connection. */
  readonly connectionClosed: Promise<void>
}

/** Answers one request. */
export type RequestHandler = (request: ReceivedRequest) => Promise<Reply> | Reply

/** A small HTTP server on the loopback address that can be told to fail. */
export class FaultyServer {
  private order: FaultSettings = { fault: Fault.None }
  private affectedRequests = 0

  private constructor (private readonly server: Server) {}

  /**
   * Starts a server.
   * @param port - the port, 0 for any
   * @param handler - answers requests
   * @returns the listening server
   */
  static async create (port: number, handler: RequestHandler): Promise<FaultyServer> {
    const server = createServer()
    const faulty = new FaultyServer(server)
    server.on('request', (request: IncomingMessage, response: ServerResponse) => { faulty.handle(request, response, handler) })
    await new Promise<void>((resolve, reject) => { server.once('error', reject).listen(port, LOOPBACK, resolve) })
    return faulty
  }

  /**
   * Where it listens.
   * @returns the base URL
   */
  get url (): string {
    return `http://${LOOPBACK}:${(this.server.address() as AddressInfo).port}`
  }

  /**
   * Puts a fault in force.
   * @param order - the fault
   */
  setFault (order: FaultSettings): void {
    this.order = order
    this.affectedRequests = 0
  }

  /** Stops listening and closes all connections. */
  async close (): Promise<void> {
    const closed = new Promise<void>((resolve) => { this.server.close(() => { resolve() }) })
    this.server.closeAllConnections()
    await closed
  }

  private async handle (request: IncomingMessage, response: ServerResponse, handler: RequestHandler): Promise<void> {
    const { method = 'GET', url: path = '/', headers } = request
    const setsFault = path === '/faults'
    if (!setsFault && this.order.fault === Fault.Silent) return
    const order = setsFault || method === 'GET' ? { fault: Fault.None } : this.nextFault(method)
    if (order.fault === Fault.Refuse) { request.socket.destroy(); return }
    repeatAnswer(request.socket)
    const connectionClosed = new Promise<void>((resolve) => { response.once('close', resolve) })
    try {
      const chunks: Buffer[] = []
      for await (const chunk of request) chunks.push(chunk as Buffer)
      const body = Buffer.concat(chunks)
      if (setsFault) { this.setFault(JSON.parse(body.toString()) as FaultSettings); sendWhole(response, json(200, {})); return }
      if (order.fault === Fault.FailEverything) { sendWhole(response, json(500, { reason: order.fault })); return }
      const reply = await handler({ method, path, headers, body, connectionClosed })
      await senders[order.fault](response, reply, order)
    } catch {
      request.socket.destroy()
    }
  }

  private nextFault (method: string): FaultSettings {
    if ((this.order.method ?? method) !== method) return { fault: Fault.None }
    if (this.affectedRequests++ < (this.order.count ?? Infinity)) return this.order
    return { fault: Fault.None }
  }
}

/** Answers to be sent a second time, by connection. */
const responsesToRepeat = new WeakMap<Socket, Buffer>()

type Sender = (response: ServerResponse, reply: Reply, order: FaultSettings) => Promise<void> | void

const senders: Readonly<Record<Fault, Sender>> = {
  [Fault.None]: sendWhole,
  [Fault.FailEverything]: sendWhole,
  [Fault.Refuse]: sendWhole,
  [Fault.Hang]: () => {},
  [Fault.Silent]: () => {},
  [Fault.HalfBody]: (response, reply) => {
    response.writeHead(reply.status, reply.headers)
    response.write(reply.body.subarray(0, Math.ceil(reply.body.length / 2)), () => { response.socket?.destroy() })
  },
  [Fault.Late]: async (response, reply, order) => {
    await new Promise((resolve) => { setTimeout(resolve, order.milliseconds ?? 0) })
    sendWhole(response, reply)
  },
  [Fault.Twice]: (response, reply) => {
    const fields = Object.entries(reply.headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    const repeated = Buffer.concat([Buffer.from(`HTTP/1.1 ${reply.status} OK\r\n${fields}\r\n`), reply.body])
    if (response.socket !== null) responsesToRepeat.set(response.socket, repeated)
    sendWhole(response, reply)
  },
  [Fault.WrongByte]: (response, reply) => {
    const body = Buffer.from(reply.body)
    body[0] = (body[0] ?? 0) ^ 1
    sendWhole(response, { ...reply, body })
  }
}

function repeatAnswer (socket: Socket): void {
  const repeated = responsesToRepeat.get(socket)
  responsesToRepeat.delete(socket)
  if (repeated !== undefined) socket.write(repeated)
}

function sendWhole (response: ServerResponse, reply: Reply): void {
  response.writeHead(reply.status, reply.headers).end(reply.body)
}

/**
 * Makes an answer of a value.
 * @param status - the HTTP status
 * @param value - the value
 * @returns the answer as JSON
 */
export function json (status: number, value: unknown): Reply {
  const body = Buffer.from(JSON.stringify(value))
  return { status, headers: { 'content-type': 'application/json', 'content-length': String(body.length) }, body }
}
