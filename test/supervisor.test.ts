/** The agent's supervisor against a worker made of promises, and a leader on a real stream. */
import { Server, ServerCredentials, type ServerDuplexStream } from '@grpc/grpc-js'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { OrderOutcome, OrderRefusal, Supervisor, type ListedEnd, type ListedRun, type Look, type OrderAnswer, type OrderContext, type TaskHost, type TaskStart, type WorkerLists, type WorkerSighting } from '../src/agent'
import { KnownHosts } from '../src/client'
import { RunOutcome, type RunKey } from '../src/core/index'
import { ControlService, WorkerOrders, type WorkerReport } from '../src/wire'
import { until } from './until'

class FakeWorker implements TaskHost {
  readonly calls: string[] = []
  answers: OrderAnswer[] = []
  running: ListedRun[] = []
  ends: ListedEnd[] = []
  looks: Look[] = []

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

  async look (_context: OrderContext, look: Look): Promise<WorkerLists> {
    this.looks.push(look)
    await new Promise((resolve) => { setTimeout(resolve, 5) })
    return { clock: 2_000, running: this.running, ends: this.ends.filter(({ number }) => number > look.acknowledged) }
  }

  async close (): Promise<void> { await Promise.resolve() }
}

const done: OrderAnswer = { outcome: OrderOutcome.Done, clock: 2_000 }
const lost: OrderAnswer = { outcome: OrderOutcome.Unknown, clock: 0 }
const key: RunKey = { job: 'j', step: 0, task: 0, attempt: 1 }
const sighting: WorkerSighting = {
  incarnation: 'w@5', worker: 'w', bornAt: 5, address: '127.0.0.1:1', service: 'proofs', dataCentre: 'd', rack: 'r', labels: ['a', 'r'], processors: 1, memoryMegabytes: 1, accelerators: 1, leaving: false, clock: 1_000, sequence: 1
}

let server: Server
let stream: ServerDuplexStream<WorkerReport, WorkerOrders> | undefined
let reports: WorkerReport[]
/** Sent with the answer to each report, as a leader does: orders on a stream that breaks are lost. */
let standing: Partial<WorkerOrders>
let worker: FakeWorker
let supervisor: Supervisor

beforeEach(async () => {
  reports = []
  standing = {}
  server = new Server()
  const port = await new Promise<number>((resolve) => { server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (_error, bound) => { resolve(bound) }) })
  const unused = (): void => {}
  server.addService({ supervise: ControlService.supervise } as never, {
    supervise: (call: ServerDuplexStream<WorkerReport, WorkerOrders>) => {
      stream = call
      call.on('data', (report: WorkerReport) => {
        reports.push(report)
        if (report.life !== undefined) order({ sequence: report.sequence, incarnation: report.life.incarnation, leaseUntil: 9_000, ...standing })
      })
      call.on('error', unused)
    }
  })
  worker = new FakeWorker()
  supervisor = Supervisor.create({ host: 'side', hosts: KnownHosts.create([`127.0.0.1:${port}`]), worker, log: unused })
  supervisor.start()
  supervisor.seen(sighting)
  await until(() => reports.some(({ life }) => life?.incarnation === 'w@5'))
})

afterEach(async () => {
  await supervisor.stop()
  server.forceShutdown()
})

function order (fields: Parameters<typeof WorkerOrders.fromPartial>[0]): void {
  stream?.write(WorkerOrders.fromPartial({ term: 2, incarnation: 'w@5', ...fields }))
}

const last = (): WorkerReport | undefined => reports.at(-1)

test('a run starts under the lease that was granted, and is listed from then on', async () => {
  order({ starts: [{ key, payload: 'text' }] })
  await until(() => last()?.runs[0]?.running)
  expect(worker.calls).toEqual(['start j 1 at w until 9000'])
  order({ starts: [{ key, payload: 'text' }] })
  await until(() => worker.looks.some(({ leaseUntil }) => leaseUntil === 9_000))
  expect(worker.calls).toHaveLength(1)
})

test('a start without an answer is sent again; a refusal then proves nothing until the run is stopped and listed nowhere', async () => {
  worker.answers = [lost, lost, { outcome: OrderOutcome.Refused, clock: 2_000, refusal: OrderRefusal.NoRoom }]
  order({ starts: [{ key, payload: 'text' }] })
  await until(() => last()?.ends[0]?.outcome === RunOutcome.NotStarted)
  expect(worker.calls.map((call) => call.split(' ')[0])).toEqual(['start', 'start', 'start', 'stop'])
  order({ stops: [key] })
  await until(() => last()?.ends.length === 0)
})

test('a start that is refused at once is known not to run', async () => {
  worker.answers = [{ outcome: OrderOutcome.Refused, clock: 2_000, refusal: OrderRefusal.Unhealthy }]
  order({ starts: [{ key, payload: 'text' }] })
  await until(() => last()?.ends[0]?.outcome === RunOutcome.NotStarted)
  expect(worker.calls).toHaveLength(1)
})

test('an order that is still out when the worker starts anew is revoked there before the new incarnation is announced', async () => {
  worker.answers = Array.from({ length: 1_000 }, () => lost)
  order({ starts: [{ key, payload: 'text' }] })
  await until(() => worker.calls.length > 0)
  supervisor.seen({ ...sighting, incarnation: 'w2@9', worker: 'w2', bornAt: 9 })
  await until(() => last()?.life?.incarnation === 'w2@9')
  expect(worker.calls.filter((call) => call.startsWith('stop'))).toEqual(['stop j 1 at w2'])
  expect(last()?.gone).toEqual(['w@5'])
  supervisor.seen(sighting)
  expect(last()?.life?.incarnation).toBe('w2@9')
})

test('a worker that says that it leaves is sent no start, also none that is out already', async () => {
  supervisor.seen({ ...sighting, leaving: true, sequence: 2 })
  standing = { starts: [{ key, payload: 'text', checkpoint: '' }] }
  order(standing)
  await until(() => last()?.ends[0]?.outcome === RunOutcome.NotStarted)
  expect(worker.calls).toEqual([])
  expect(last()?.life?.leaving).toBe(true)
})

test('a run that the worker lists is told to control, and an end until control has recorded it', async () => {
  worker.running = [{ key, checkpoint: 'saved', percent: 40 }]
  order({ starts: [{ key: { ...key, job: 'other' }, payload: 'text' }] })
  await until(() => last()?.runs.some((run) => run.key?.job === 'j' && run.percent === 40 && run.checkpoint === 'saved'))
  worker.running = []
  worker.ends = [{ number: 4, key, outcome: RunOutcome.Done, checkpoint: '' }]
  await until(() => last()?.ends.some(({ number }) => number === 4))
  order({ acknowledged: 4 })
  await until(() => worker.looks.at(-1)?.acknowledged === 4)
  await until(() => last()?.ends.every(({ number }) => number !== 4))
})

test('orders of an older leader are not obeyed', async () => {
  order({ term: 5 })
  await until(() => reports.length > 1)
  order({ term: 1, starts: [{ key, payload: 'text' }] })
  await new Promise((resolve) => { setTimeout(resolve, 100) })
  expect(worker.calls).toEqual([])
})
