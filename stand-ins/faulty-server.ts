import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** Stand-ins listen on the loopback address only. */
const LOOPBACK = '127.0.0.1'

/** Faults that a stand-in can apply to requests. */
export enum Fault {
  None = 'none',
  /** Responds with status 500 without executing the request. */
  FailEverything = 'fail-everything',
  /** Executes the request and never responds. */
  Hang = 'hang',
  /** Responds to no request, including GET, and executes none. */
  Silent = 'silent',
  /** Closes the connection before it reads the request. */
  Refuse = 'refuse',
  /** Executes the request, sends half of the body and closes the connection. */
  HalfBody = 'half-body',
  /** Executes the request and responds after a delay. */
  Late = 'late',
  /** Executes the request and sends the response twice, the second time when the next request arrives on the connection. */
  Twice = 'twice',
  /** Executes the request and corrupts one byte of the body. */
  WrongByte = 'wrong-byte'
}

/** The active fault. */
export interface FaultSettings {
  readonly fault: Fault
  /** Number of requests to apply it to; all if not given. */
  readonly count?: number
  /** Applies only to requests with this method; to all but GET if not given. */
  readonly method?: string
  /** Delay of {@link Fault.Late}. */
  readonly milliseconds?: number
}

/** A response before a fault is applied. */
export interface Reply {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
}

/** A request with its complete body. */
export interface ReceivedRequest {
  readonly method: string
  readonly path: string
  readonly headers: IncomingMessage['headers']
  readonly body: Buffer
  /** Resolves when the connection is closed or the response is sent. */
  readonly connectionClosed: Promise<void>
}

/** Handles a request. */
export type RequestHandler = (request: ReceivedRequest) => Promise<Reply> | Reply

/** An HTTP server on the loopback address with fault injection. Requests to /faults set the fault. */
export class FaultyServer {
  private order: FaultSettings = { fault: Fault.None }
  private affectedRequests = 0

  private constructor (private readonly server: Server) {}

  /**
   * Starts a server.
   * @param port - the port, 0 for any
   * @param handler - handles requests
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
   * The base URL.
   * @returns the URL
   */
  get url (): string {
    return `http://${LOOPBACK}:${(this.server.address() as AddressInfo).port}`
  }

  /**
   * Sets the active fault and resets the count of affected requests.
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
    repeatResponse(request.socket)
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

/** Responses to be sent a second time, by connection. */
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

function repeatResponse (socket: Socket): void {
  const repeated = responsesToRepeat.get(socket)
  responsesToRepeat.delete(socket)
  if (repeated !== undefined) socket.write(repeated)
}

function sendWhole (response: ServerResponse, reply: Reply): void {
  response.writeHead(reply.status, reply.headers).end(reply.body)
}

/**
 * Creates a JSON response.
 * @param status - the HTTP status
 * @param value - the value of the body
 * @returns the response
 */
export function json (status: number, value: unknown): Reply {
  const body = Buffer.from(JSON.stringify(value))
  return { status, headers: { 'content-type': 'application/json', 'content-length': String(body.length) }, body }
}
