/** Tests the supervisor with an in-memory fake of the worker and a fake leader on a real gRPC stream. */
import { Server, ServerCredentials, type ServerDuplexStream } from '@grpc/grpc-js'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { OrderOutcome, OrderRefusal, Supervisor, type ListedEnd, type ListedRun, type OrderAnswer, type OrderContext, type PollRequest, type RunLists, type TaskStart, type WorkerApi, type WorkerHeartbeat } from '../src/agent'
import { KnownHosts } from '../src/client'
import { RunOutcome, type RunKey } from '../src/core/index'
import { ControlService, WorkerOrders, type WorkerReport } from '../src/wire'
import { until } from './until'

class FakeWorker implements WorkerApi {
  readonly calls: string[] = []
  answers: OrderAnswer[] = []
  running: ListedRun[] = []
  ends: ListedEnd[] = []
  polls: PollRequest[] = []

  async start ({ worker }: OrderContext, { key, leaseUntil }: TaskStart): Promise<OrderAnswer> {
    this.calls.push(`start ${key.job} ${key.attempt} at ${worker} until ${leaseUntil}`)
    const answer = this.answers.shift() ?? done
    if (answer.outcome === OrderOutcome.Done) this.running.push({ key, checkpoint: '', percent: 0 })
    return await Promise.resolve(answer)
  }

  async stop ({ worker }: OrderContext, key: RunKey): Promise<OrderAnswer> {
    this.calls.push(`stop ${key.job} ${key.attempt} at ${worker}`)
    return await Promise.resolve(done)
  }

  async poll (_context: OrderContext, request: PollRequest): Promise<RunLists> {
    this.polls.push(request)
    await new Promise((resolve) => { setTimeout(resolve, 5) })
    return { clock: 2_000, running: this.running, ends: this.ends.filter(({ number }) => number > request.acknowledged) }
  }

  async close (): Promise<void> { await Promise.resolve() }
}

const done: OrderAnswer = { outcome: OrderOutcome.Done, clock: 2_000 }
const noAnswer: OrderAnswer = { outcome: OrderOutcome.Unknown, clock: 0 }
const key: RunKey = { job: 'j', step: 0, task: 0, attempt: 1 }
const heartbeat: WorkerHeartbeat = {
  incarnation: 'w@5', worker: 'w', startedAt: 5, address: '127.0.0.1:1', service: 'proofs', dataCentre: 'd', rack: 'r', labels: ['a', 'r'], processors: 1, memoryMegabytes: 1, accelerators: 1, leaving: false, clock: 1_000, sequence: 1
}

let server: Server
let stream: ServerDuplexStream<WorkerReport, WorkerOrders> | undefined
let reports: WorkerReport[]
/** Sent with the answer to each report, as by a leader: orders on a stream that closes are lost. */
let standingOrders: Partial<WorkerOrders>
let worker: FakeWorker
let supervisor: Supervisor

beforeEach(async () => {
  reports = []
  standingOrders = {}
  server = new Server()
  const port = await new Promise<number>((resolve) => { server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (_error, bound) => { resolve(bound) }) })
  const unused = (): void => {}
  server.addService({ supervise: ControlService.supervise } as never, {
    supervise: (call: ServerDuplexStream<WorkerReport, WorkerOrders>) => {
      stream = call
      call.on('data', (report: WorkerReport) => {
        reports.push(report)
        if (report.life !== undefined) sendOrders({ sequence: report.sequence, incarnation: report.life.incarnation, leaseUntil: 9_000, ...standingOrders })
      })
      call.on('error', unused)
    }
  })
  worker = new FakeWorker()
  supervisor = Supervisor.create({ host: 'side', hosts: KnownHosts.create([`127.0.0.1:${port}`]), worker, log: unused })
  supervisor.start()
  supervisor.handleHeartbeat(heartbeat)
  await until(() => reports.some(({ life }) => life?.incarnation === 'w@5'))
})

afterEach(async () => {
  await supervisor.stop()
  server.forceShutdown()
})

function sendOrders (fields: Parameters<typeof WorkerOrders.fromPartial>[0]): void {
  stream?.write(WorkerOrders.fromPartial({ term: 2, incarnation: 'w@5', ...fields }))
}

const lastReport = (): WorkerReport | undefined => reports.at(-1)

test('a run is started once under the granted lease, and reported as running', async () => {
  sendOrders({ starts: [{ key, payload: 'text' }] })
  await until(() => lastReport()?.runs[0]?.running)
  expect(worker.calls).toEqual(['start j 1 at w until 9000'])
  sendOrders({ starts: [{ key, payload: 'text' }] })
  await until(() => worker.polls.some(({ leaseUntil }) => leaseUntil === 9_000))
  expect(worker.calls).toHaveLength(1)
})

test('an unanswered start is sent again; after a refusal the run counts as not started only once it was stopped and is not listed', async () => {
  worker.answers = [noAnswer, noAnswer, { outcome: OrderOutcome.Refused, clock: 2_000, refusal: OrderRefusal.NoCapacity }]
  sendOrders({ starts: [{ key, payload: 'text' }] })
  await until(() => lastReport()?.ends[0]?.outcome === RunOutcome.NotStarted)
  expect(worker.calls.map((call) => call.split(' ')[0])).toEqual(['start', 'start', 'start', 'stop'])
  sendOrders({ stops: [key] })
  await until(() => lastReport()?.ends.length === 0)
})

test('a run whose first start is refused is reported as not started', async () => {
  worker.answers = [{ outcome: OrderOutcome.Refused, clock: 2_000, refusal: OrderRefusal.Unhealthy }]
  sendOrders({ starts: [{ key, payload: 'text' }] })
  await until(() => lastReport()?.ends[0]?.outcome === RunOutcome.NotStarted)
  expect(worker.calls).toHaveLength(1)
})

test('an unanswered start is revoked at the next incarnation of the worker before that is announced', async () => {
  worker.answers = Array.from({ length: 1_000 }, () => noAnswer)
  sendOrders({ starts: [{ key, payload: 'text' }] })
  await until(() => worker.calls.length > 0)
  supervisor.handleHeartbeat({ ...heartbeat, incarnation: 'w2@9', worker: 'w2', startedAt: 9 })
  await until(() => lastReport()?.life?.incarnation === 'w2@9')
  expect(worker.calls.filter((call) => call.startsWith('stop'))).toEqual(['stop j 1 at w2'])
  expect(lastReport()?.gone).toEqual(['w@5'])
  supervisor.handleHeartbeat(heartbeat)
  expect(lastReport()?.life?.incarnation).toBe('w2@9')
})

test('a leaving worker gets no start, even one that control has already ordered', async () => {
  supervisor.handleHeartbeat({ ...heartbeat, leaving: true, sequence: 2 })
  standingOrders = { starts: [{ key, payload: 'text', checkpoint: '' }] }
  sendOrders(standingOrders)
  await until(() => lastReport()?.ends[0]?.outcome === RunOutcome.NotStarted)
  expect(worker.calls).toEqual([])
  expect(lastReport()?.life?.leaving).toBe(true)
})

test('listed runs are reported to control, and an end is reported until control has recorded it', async () => {
  worker.running = [{ key, checkpoint: 'saved', percent: 40 }]
  sendOrders({ starts: [{ key: { ...key, job: 'other' }, payload: 'text' }] })
  await until(() => lastReport()?.runs.some((run) => run.key?.job === 'j' && run.percent === 40 && run.checkpoint === 'saved'))
  worker.running = []
  worker.ends = [{ number: 4, key, outcome: RunOutcome.Done, checkpoint: '' }]
  await until(() => lastReport()?.ends.some(({ number }) => number === 4))
  sendOrders({ acknowledged: 4 })
  await until(() => worker.polls.at(-1)?.acknowledged === 4)
  await until(() => lastReport()?.ends.every(({ number }) => number !== 4))
})

test('orders of a leader with an older term are ignored', async () => {
  sendOrders({ term: 5 })
  await until(() => reports.length > 1)
  sendOrders({ term: 1, starts: [{ key, payload: 'text' }] })
  await new Promise((resolve) => { setTimeout(resolve, 100) })
  expect(worker.calls).toEqual([])
})
