/**
 * Stand-in for a worker of the users' platform: starts, lists and stops tasks, and ends them by its own clock when the lease
 * expires.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Duration of a stop, in milliseconds. */
const STOP_DELAY_MILLISECONDS = 20
/** Upper limit of a lease, in milliseconds. */
const MAX_LEASE_MILLISECONDS = 10_000
/** Limit of ends in one list. */
const LISTED_ENDS = 500

/** Faults that can be applied to the next orders. */
export enum OrderFault {
  /** The order is executed, but not answered. */
  ResponseLost = 'answer-lost',
  /** The order is executed after a delay, and not answered. */
  Late = 'late',
  /** The order is refused with status 503, as by an unhealthy worker. */
  Unhealthy = 'unhealthy'
}

interface Run { readonly task: string, readonly attempt: number, readonly startedAt: number, readonly spec: string, readonly timer: NodeJS.Timeout }
type End = readonly [number, string, number, string, string]
interface Order { readonly task?: string, readonly attempt?: number, readonly spec?: string, readonly deadline_ms?: number, readonly fencing_token?: number, readonly ack_cursor?: number, readonly wait_ms?: number }
interface OddAnswer { readonly path: string, readonly status: number, readonly text: string }
interface Answer { readonly status: number, readonly body: object }

/** Observations at the worker, for tests. */
export interface WorkerObservations {
  /** Names of the started runs. */
  readonly starts: string[]
  readonly specs: string[]
  /** Names of runs that started while another run of the task was running. */
  readonly overlappingRuns: string[]
  /** For each started run, the number of other runs that were running. */
  readonly beside: number[]
}

/** A worker. A task whose specification is a number runs for that many milliseconds; the specification "fail" fails. */
export class WorkerStandIn {
  readonly observations: WorkerObservations = { starts: [], specs: [], overlappingRuns: [], beside: [] }
  /** Faults of the next orders, in order. */
  readonly faults: OrderFault[] = []
  /** JSON texts that both lists have beside the rows of the runs. */
  oddRows: string[] = []
  /** The next answers on a path, in place of its own; the orders are executed. */
  readonly oddAnswers: OddAnswer[] = []
  readonly startedAt = Date.now()
  /** Delay of a late order, in milliseconds. */
  delayMilliseconds = 300
  private readonly clockStart = performance.now()
  private readonly runs = new Map<string, Run>()
  private readonly highestAttempts = new Map<string, number>()
  private ends: End[] = []
  private lastEnd = 0
  private highestFencingToken = 0
  private leaseUntil = 0
  private pollWaiters: Array<() => void> = []
  private leaseTimer?: NodeJS.Timeout

  private constructor (private readonly server: Server, readonly name: string) {}

  /**
   * Starts a worker on a free port of the loopback address.
   * @param name - its name
   * @returns the worker
   */
  static async create (name: string): Promise<WorkerStandIn> {
    const server = createServer()
    const worker = new WorkerStandIn(server, name)
    server.on('request', (incoming: IncomingMessage, outgoing: ServerResponse) => { void worker.respond(incoming, outgoing) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return worker
  }

  /** IP address and port. */
  get address (): string { return `127.0.0.1:${(this.server.address() as AddressInfo).port}` }
  /** Its own clock, in milliseconds. */
  get clock (): number { return Math.floor(performance.now() - this.clockStart) + 1_000 }
  /** Names of the running runs, sorted. */
  get running (): string[] { return [...this.runs.keys()].sort() }
  /** Number of ends that the agent has not acknowledged. */
  get unacknowledgedEnds (): number { return this.ends.length }

  /** Returns the body of a heartbeat. */
  heartbeat (fields: object = {}): object {
    return {
      service: 'proofs', addr: this.address, zone: 'd', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, capacity: { cpu: 64_000, mem_mb: 131_072, gpu: 8 }, labels: ['a', 'r1'], clock_ms: this.clock, seq: this.clock, born: this.startedAt, ...fields
    }
  }

  /** Ends all runs and closes the server. */
  async close (): Promise<void> {
    for (const run of this.runs.values()) clearTimeout(run.timer)
    clearTimeout(this.leaseTimer)
    await new Promise<void>((resolve) => {
      this.server.close(() => { resolve() })
      this.server.closeAllConnections()
    })
  }

  private async respond (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const parts: Buffer[] = []
    for await (const part of incoming as AsyncIterable<Buffer>) parts.push(part)
    const order = JSON.parse(Buffer.concat(parts).toString()) as Order
    const fault = incoming.url === '/hold' ? undefined : this.faults.shift()
    if (fault === OrderFault.Unhealthy) { outgoing.writeHead(503).end(); return }
    if (fault === OrderFault.Late) { setTimeout(() => { void this.execute(incoming.url ?? '', order) }, this.delayMilliseconds); return }
    const { status, body } = await this.execute(incoming.url ?? '', order)
    if (fault === OrderFault.ResponseLost) return
    const odd = this.oddAnswers.findIndex(({ path }) => path === incoming.url)
    const answer = odd >= 0 ? this.oddAnswers.splice(odd, 1)[0]! : { status, text: this.textOf(body) }
    outgoing.writeHead(answer.status, { 'content-type': 'application/json' }).end(answer.text)
  }

  private textOf (body: object): string {
    const text = JSON.stringify({ ...body, clock_ms: this.clock, born: this.startedAt })
    return this.oddRows.length === 0 ? text : text.replace(/"(running|finished)":\[/g, (start) => `${start}${this.oddRows.join()},`).replaceAll(',]', ']')
  }

  private async execute (path: string, order: Order): Promise<Answer> {
    if ((order.fencing_token ?? 0) < this.highestFencingToken) return { status: 409, body: { reason: 'fence' } }
    this.highestFencingToken = order.fencing_token ?? 0
    this.extend(order.deadline_ms ?? 0)
    const handlers: { readonly [path: string]: () => Promise<Answer> | Answer } = {
      '/run-start': () => this.start(order), '/run-stop': () => this.stop(order), '/hold': () => this.hold(order)
    }
    return await handlers[path]?.() ?? { status: 404, body: {} }
  }

  private extend (until: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, this.clock + MAX_LEASE_MILLISECONDS))
    clearTimeout(this.leaseTimer)
    this.leaseTimer = setTimeout(() => {
      for (const name of this.runs.keys()) this.finish(name, 'lapsed')
    }, Math.max(0, this.leaseUntil - this.clock))
  }

  private start ({ task = '', attempt = 0, spec = '', deadline_ms: deadline = 0 }: Order): Answer {
    const name = `${task}/${attempt}`
    if (this.runs.has(name)) return { status: 200, body: {} }
    if (deadline <= this.clock) return { status: 409, body: { reason: 'late' } }
    if (attempt <= (this.highestAttempts.get(task) ?? 0)) return { status: 409, body: { reason: 'old' } }
    if ([...this.runs.values()].some((run) => run.task === task)) this.observations.overlappingRuns.push(name)
    this.observations.beside.push(this.runs.size)
    const timer = setTimeout(() => { this.finish(name, spec === 'fail' ? 'failed' : 'done') }, Number(spec) || 0)
    this.runs.set(name, { task, attempt, startedAt: this.clock, spec, timer })
    this.highestAttempts.set(task, attempt)
    this.observations.starts.push(name)
    this.observations.specs.push(spec)
    return { status: 200, body: {} }
  }

  private stop ({ task = '', attempt = 0 }: Order): Answer {
    const name = `${task}/${attempt}`
    this.highestAttempts.set(task, Math.max(attempt, this.highestAttempts.get(task) ?? 0))
    if (this.runs.has(name)) setTimeout(() => { this.finish(name, 'stopped') }, STOP_DELAY_MILLISECONDS)
    return { status: 200, body: {} }
  }

  private async hold ({ ack_cursor: acknowledged = 0, wait_ms: wait = 0 }: Order): Promise<Answer> {
    this.ends = this.ends.filter(([number]) => number > acknowledged)
    if (wait > 0 && this.ends.length === 0) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, wait)
        this.pollWaiters.push(() => { clearTimeout(timer); resolve() })
      })
    }
    const running = [...this.runs.values()].map(({ task, attempt, startedAt, spec }) => (
      [task, attempt, '', Math.min(99, Math.floor(100 * (this.clock - startedAt) / Math.max(1, Number(spec))))]))
    return { status: 200, body: { running, finished: this.ends.slice(0, LISTED_ENDS) } }
  }

  private finish (name: string, outcome: string): void {
    const run = this.runs.get(name)
    if (run === undefined) return
    clearTimeout(run.timer)
    this.runs.delete(name)
    this.lastEnd += 1
    this.ends.push([this.lastEnd, run.task, run.attempt, outcome, outcome === 'stopped' ? `saved-${run.attempt}` : ''])
    for (const wake of this.pollWaiters.splice(0)) wake()
  }
}
