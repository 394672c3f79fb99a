import { createHash } from 'node:crypto'
import { FaultyServer, json, type FaultSettings, type ReceivedRequest, type Reply } from './server'

/** Work that one request asks for. */
interface Work { readonly milliseconds?: number, readonly text?: string, readonly repeat?: number }

/** One request that the target ran, whole or in part. */
export interface TargetRun {
  readonly job: string
  readonly attempt: number
}

/** Stands in for a target: runs requests by sleeping, answers with a text made of the payload, and counts what it ran. */
export class TargetStandIn {
  /** Every request that began to run, in order. */
  readonly runs: TargetRun[] = []
  /** The most requests that ran at once. */
  maxConcurrentRequests = 0
  private concurrentRequests = 0
  private server!: FaultyServer

  private constructor () {}

  /**
   * Starts a target.
   * @param port - the port, 0 for any
   * @returns the listening target
   */
  static async create (port = 0): Promise<TargetStandIn> {
    const target = new TargetStandIn()
    target.server = await FaultyServer.create(port, (request) => target.answer(request))
    return target
  }

  /**
   * Where it listens.
   * @returns the base URL
   */
  get url (): string {
    return this.server.url
  }

  /**
   * Puts a fault in force.
   * @param order - the fault
   */
  fail (order: FaultSettings): void {
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

  /** Sleeps, but not longer than the caller stays. */
  private async work (work: Work, gone: Promise<void>): Promise<void> {
    this.maxConcurrentRequests = Math.max(this.maxConcurrentRequests, ++this.concurrentRequests)
    let timer: NodeJS.Timeout | undefined
    const slept = new Promise<void>((resolve) => { timer = setTimeout(resolve, work.milliseconds ?? 0) })
    if ((work.milliseconds ?? 0) > 0) await Promise.race([slept, gone])
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
 * Tells what the target answers, so that a caller can check that it got its own whole answer.
 * @param payload - the body of the request, as JSON
 * @returns the body of the answer
 */
export function expectedAnswer (payload: Uint8Array): string {
  const digest = createHash('sha256').update(payload).digest('hex')
  const { text = '', repeat = 1 } = JSON.parse(Buffer.from(payload).toString() || '{}') as Work
  return `${digest} ${text.repeat(repeat)}`
}
