/** A supervisor with an in-memory fake of its worker and a fake leader on a real gRPC stream. */
import { Server, ServerCredentials, type ServerDuplexStream } from '@grpc/grpc-js'
import { OrderOutcome, Supervisor, type ListedEnd, type ListedRun, type OrderAnswer, type OrderContext, type PollRequest, type RunLists, type TaskStart, type WorkerApi, type WorkerHeartbeat } from '../src/agent'
import { KnownHosts } from '../src/client'
import { runName, RunOutcome, type RunKey } from '../src/core/index'
import { ControlService, WorkerOrders, type WorkerReport } from '../src/wire'
import { until } from './until'

export const done: OrderAnswer = { outcome: OrderOutcome.Done, clock: 2_000 }
export const noAnswer: OrderAnswer = { outcome: OrderOutcome.Unknown, clock: 0 }
export const key: RunKey = { job: 'j', step: 0, task: 0, attempt: 1 }
export const heartbeat: WorkerHeartbeat = {
  incarnation: 'w@5', worker: 'w', startedAt: 5, address: '127.0.0.1:1', service: 'proofs', dataCentre: 'd', rack: 'r', labels: ['a', 'r'], processors: 1, memoryMegabytes: 1, accelerators: 1, leaving: false, clock: 1_000, sequence: 1
}

/**
 * Records the calls to it. Stops end running runs at once. As with the platform's workers, orders reach whatever incarnation
 * runs under the worker's name; only lists tell incarnations apart.
 */
export class FakeWorker implements WorkerApi {
  readonly calls: string[] = []
  /** Answers to the next starts; further ones succeed. */
  answers: OrderAnswer[] = []
  /** Answers to the next stops; further ones succeed. */
  stopAnswers: OrderAnswer[] = []
  running: ListedRun[] = []
  ends: ListedEnd[] = []
  polls: PollRequest[] = []
  answersPolls = true
  private startedAt = heartbeat.startedAt

  /** Restarts under the same name, with nothing running. */
  restart (startedAt: number): void {
    this.startedAt = startedAt
    this.running = []
    this.ends = []
  }

  async start ({ worker }: OrderContext, { key, leaseUntil }: TaskStart): Promise<OrderAnswer> {
    this.calls.push(`start ${key.job} ${key.attempt} at ${worker} until ${leaseUntil}`)
    const answer = this.answers.shift() ?? done
    if (answer.outcome === OrderOutcome.Done && !this.isRunning(key)) this.running.push({ key, checkpoint: '', percent: 0 })
    return await Promise.resolve(answer)
  }

  async stop ({ worker }: OrderContext, key: RunKey): Promise<OrderAnswer> {
    this.calls.push(`stop ${key.job} ${key.attempt} at ${worker}`)
    const answer = this.stopAnswers.shift() ?? done
    if (answer.outcome === OrderOutcome.Done && this.isRunning(key)) this.end(key, RunOutcome.Stopped)
    return await Promise.resolve(answer)
  }

  async poll ({ startedAt }: OrderContext, request: PollRequest): Promise<RunLists | OrderOutcome> {
    this.polls.push(request)
    await new Promise((resolve) => { setTimeout(resolve, 5) })
    if (!this.answersPolls) return OrderOutcome.Unknown
    if (startedAt !== this.startedAt) return OrderOutcome.OtherIncarnation
    return { clock: 2_000, running: [...this.running], ends: this.ends.filter(({ number }) => number > request.acknowledged), endsComplete: true }
  }

  async close (): Promise<void> { await Promise.resolve() }

  private isRunning (key: RunKey): boolean {
    return this.running.some((run) => runName(run.key) === runName(key))
  }

  private end (key: RunKey, outcome: RunOutcome): void {
    this.running = this.running.filter((run) => runName(run.key) !== runName(key))
    this.ends.push({ number: (this.ends.at(-1)?.number ?? 0) + 1, key, outcome, checkpoint: '' })
  }
}

/** See the module's description. The leader repeats its standing orders with each report, because orders on a stream that closes are lost. */
export class SupervisorFixture {
  readonly reports: WorkerReport[] = []
  standingOrders: Partial<WorkerOrders> = {}
  private stream?: ServerDuplexStream<WorkerReport, WorkerOrders>

  private constructor (readonly worker: FakeWorker, private readonly server: Server, readonly supervisor: Supervisor) {}

  /** Starts a supervisor without a worker's heartbeat. */
  static async create (worker = new FakeWorker()): Promise<SupervisorFixture> {
    const server = new Server()
    const port = await new Promise<number>((resolve) => { server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (_error, bound) => { resolve(bound) }) })
    const supervisor = Supervisor.create({ host: 'side', hosts: KnownHosts.create([`127.0.0.1:${port}`]), worker, log: () => {} })
    const fixture = new SupervisorFixture(worker, server, supervisor)
    server.addService({ supervise: ControlService.supervise } as never, { supervise: (call: ServerDuplexStream<WorkerReport, WorkerOrders>) => { fixture.accept(call) } })
    supervisor.start()
    return fixture
  }

  /** Starts a supervisor and waits until it has reported the worker of {@link heartbeat}. */
  static async createWithWorker (): Promise<SupervisorFixture> {
    const fixture = await SupervisorFixture.create()
    fixture.supervisor.handleHeartbeat(heartbeat)
    await until(() => fixture.reports.some(({ life }) => life?.incarnation === 'w@5'))
    return fixture
  }

  get lastReport (): WorkerReport | undefined { return this.reports.at(-1) }

  sendOrders (fields: Parameters<typeof WorkerOrders.fromPartial>[0]): void {
    this.stream?.write(WorkerOrders.fromPartial({ term: 2, incarnation: 'w@5', ...fields }))
  }

  async close (): Promise<void> {
    await this.supervisor.stop()
    this.server.forceShutdown()
  }

  private accept (call: ServerDuplexStream<WorkerReport, WorkerOrders>): void {
    this.stream = call
    call.on('data', (report: WorkerReport) => {
      this.reports.push(report)
      if (report.life !== undefined) this.sendOrders({ sequence: report.sequence, incarnation: report.life.incarnation, leaseUntil: 9_000, ...this.standingOrders })
    })
    call.on('error', () => {})
  }
}
