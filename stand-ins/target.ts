import { createHash } from 'node:crypto'
import { FaultyServer, json, type FaultSettings, type ReceivedRequest, type Reply } from './faulty-server'

/** The work of a request: how long it takes, and the text of its answer. */
interface Work { readonly milliseconds?: number, readonly text?: string, readonly repeat?: number }

/** A request that the target executed, completely or in part. */
export interface TargetRun {
  readonly job: string
  readonly attempt: number
}

/**
 * Stand-in for a target: executes requests by sleeping, answers with a text derived from the payload, and counts requests.
 */
export class TargetStandIn {
  /** Every request whose execution started, in order. */
  readonly runs: TargetRun[] = []
  /** Highest number of requests that were executed at the same time. */
  maxConcurrentRequests = 0
  private concurrentRequests = 0
  private server!: FaultyServer

  private constructor () {}

  /**
   * Starts the stand-in.
   * @param port - the port, 0 for any
   * @returns the listening stand-in
   */
  static async create (port = 0): Promise<TargetStandIn> {
    const target = new TargetStandIn()
    target.server = await FaultyServer.create(port, (request) => target.answer(request))
    return target
  }

  /**
   * The base URL.
   * @returns the URL
   */
  get url (): string {
    return this.server.url
  }

  /**
   * Sets the active fault.
   * @param order - the fault
   */
  setFault (order: FaultSettings): void {
    this.server.setFault(order)
  }

  /** Stops listening and closes all connections. */
  async close (): Promise<void> {
    await this.server.close()
  }

  private async answer (request: ReceivedRequest): Promise<Reply> {
    if (request.path === '/ran') return json(200, this.counts())
    if (request.method !== 'POST' || request.path !== '/requests') return json(404, {})
    const job = String(request.headers.job ?? '')
    const attempt = String(request.headers.attempt ?? '')
    this.runs.push({ job: decodeURIComponent(job), attempt: Number(attempt) })
    const work = JSON.parse(request.body.toString() || '{}') as Work
    await this.work(work, request.connectionClosed)
    const body = Buffer.from(expectedAnswer(request.body))
    return {
      status: 200,
      headers: {
        'content-type': 'text/plain',
        'content-length': String(body.length),
        'content-digest': `sha-256=:${createHash('sha256').update(body).digest('base64')}:`,
        job,
        attempt
      },
      body
    }
  }

  /** Sleeps for the time of the work, or until the caller closes the connection. */
  private async work (work: Work, connectionClosed: Promise<void>): Promise<void> {
    this.maxConcurrentRequests = Math.max(this.maxConcurrentRequests, ++this.concurrentRequests)
    let timer: NodeJS.Timeout | undefined
    const slept = new Promise<void>((resolve) => { timer = setTimeout(resolve, work.milliseconds ?? 0) })
    if ((work.milliseconds ?? 0) > 0) await Promise.race([slept, connectionClosed])
    clearTimeout(timer)
    this.concurrentRequests--
  }

  private counts (): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const { job } of this.runs) counts[job] = (counts[job] ?? 0) + 1
    return counts
  }
}

/**
 * Computes the answer of the target, so that a caller can check that it got the complete answer to its own request.
 * @param payload - the JSON body of the request
 * @returns the body of the answer
 */
export function expectedAnswer (payload: Uint8Array): string {
  const digest = createHash('sha256').update(payload).digest('hex')
  const { text = '', repeat = 1 } = JSON.parse(Buffer.from(payload).toString() || '{}') as Work
  return `${digest} ${text.repeat(repeat)}`
}
