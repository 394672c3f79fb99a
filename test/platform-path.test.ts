import { afterEach, beforeEach, expect, test } from 'vitest'
import { OrderFault } from '../stand-ins'
import { operatorDocument, PlatformBench } from './platform-fixture'
import { until } from './until'

let bench: PlatformBench

beforeEach(async () => {
  bench = await PlatformBench.create()
  await until(async () => (await bench.operate('POST', '/config/replace', operatorDocument(1))).status === 200)
  await bench.beat()
})

afterEach(async () => { await bench.close() })

const job = (spec: string, fields: object = {}): object => ({ spec, phases: [{ count: 1, cpu: 1_000, mem_mb: 100, gpu: 1, estimate_ms: 50, ...fields }] })
const state = async (identifier: string): Promise<string> => (await bench.call('GET', identifier)).body?.state

test('a job goes from hand-in to completed, and its end is noted at the worker', async () => {
  expect(await bench.call('POST', '00000000000000a1', job('30'))).toMatchObject({ status: 200 })
  await until(async () => await state('00000000000000a1') === 'completed')
  expect(bench.worker.witness.starts).toEqual(['00000000000000a1.0.0.0/1'])
  expect(bench.worker.witness.specs).toEqual(['30'])
  await until(() => bench.worker.unnoted === 0)
  expect(await bench.call('POST', '00000000000000a1', job('30'))).toMatchObject({ status: 200, body: { state: 'completed' } })
  expect(bench.worker.witness.starts).toHaveLength(1)
})

test('each request gets the answer of its own kind', async () => {
  const unknown = { authorization: 'Token other' }
  expect((await bench.call('GET', '00000000000000b1')).status).toBe(410)
  expect((await bench.call('DELETE', '00000000000000b1')).status).toBe(410)
  expect((await bench.call('POST', '00000000000000b1', job('1'), unknown)).status).toBe(401)
  expect((await bench.call('POST', '00000000000000b1', job('1'), undefined, 'other.example')).status).toBe(404)
  expect((await bench.call('POST', '00000000000000b1', '{"spec":')).status).toBe(400)
  expect((await bench.call('POST', '00000000000000b1', job('1', { count: 'x' }))).status).toBe(400)
  expect((await bench.call('POST', '00000000000000b1', job('1', { long_running: true }))).status).toBe(400)
  expect((await bench.call('POST', '00000000000000b1', { ...job('1'), repeats: 3 })).status).toBe(400)
  expect(await bench.call('GET', '')).toEqual({ status: 200, body: { pending: 0 } })
  expect(bench.worker.witness.starts).toEqual([])
})

test('a job that fails uses up its attempts and no more', async () => {
  await bench.call('POST', '00000000000000c1', job('fail'))
  await until(async () => await state('00000000000000c1') === 'failed')
  expect(bench.worker.witness.starts).toHaveLength(2)
})

test('a cancelled job is stopped at the worker', async () => {
  await bench.call('POST', '00000000000000d1', job('60000'))
  await until(() => bench.worker.running.length === 1)
  expect((await bench.call('DELETE', '00000000000000d1')).status).toBe(200)
  await until(() => bench.worker.running.length === 0)
  expect(await state('00000000000000d1')).toBe('cancelled')
})

test('a start whose answer is lost, or that is carried out later, runs once', async () => {
  bench.worker.faults.push(OrderFault.AnswerLost)
  await bench.call('POST', '00000000000000e1', job('100'))
  await until(async () => await state('00000000000000e1') === 'completed')
  expect(bench.worker.witness.starts).toHaveLength(1)
  bench.worker.faults.push(OrderFault.Late)
  bench.worker.lateMilliseconds = 700
  await bench.call('POST', '00000000000000e2', job('900'))
  await until(async () => await state('00000000000000e2') === 'completed')
  expect(bench.worker.witness).toMatchObject({ starts: [expect.any(String), '00000000000000e2.0.0.0/1'], doubled: [] })
})

test('a start that an unhealthy worker refuses costs no attempt', async () => {
  bench.worker.faults.push(OrderFault.Unhealthy, OrderFault.Unhealthy, OrderFault.Unhealthy)
  await bench.call('POST', '00000000000000f1', job('20'))
  await until(async () => await state('00000000000000f1') === 'completed')
  expect(bench.worker.witness.starts).toHaveLength(1)
})

test('a worker that leaves gets nothing from its own word on', async () => {
  expect(await bench.beat({ state: 'draining' })).toBe(200)
  await bench.call('POST', '00000000000000a2', job('20'))
  await new Promise((resolve) => { setTimeout(resolve, 300) })
  expect(bench.worker.witness.starts).toEqual([])
  expect(await state('00000000000000a2')).toBe('queued')
  expect((await bench.call('GET', '')).body).toEqual({ pending: 1 })
})

test('the highest number is in force and read back as sent; what is invalid is refused', async () => {
  const third = operatorDocument(3, { extra: { kept: true } })
  expect((await bench.operate('POST', '/config/replace', third)).status).toBe(200)
  expect((await bench.operate('POST', '/config/replace', operatorDocument(2))).status).toBe(200)
  expect((await bench.operate('POST', '/config/replace', operatorDocument(3, { routes: [] }))).status).toBe(200)
  expect(await bench.operate('GET', '/config/read')).toEqual({ status: 200, body: third })
  const broken = [
    operatorDocument(9, { services: [] }),
    operatorDocument(9, { routes: [{ ...routeOf(third), timeout_ms: 0 }] }),
    operatorDocument(9, { routes: [routeOf(third), { ...routeOf(third), name: 'again' }] }),
    operatorDocument(9, { tenants: [{ name: 'one', api_keys: ['k'] }, { name: 'two', api_keys: ['k'] }] }),
    JSON.stringify(operatorDocument(9)).slice(0, -20),
    JSON.stringify(operatorDocument(9)).replace('{"version":9', '{"version":9,"version":10')
  ]
  const statuses = await Promise.all(broken.map(async (body) => (await bench.operate('POST', '/config/replace', body)).status))
  expect(statuses).toEqual([400, 400, 400, 400, 400, 400])
  expect((await bench.operate('GET', '/config/read')).body).toEqual(third)
})

test('what another writer sends names no worker, and an older incarnation takes nobody\'s place', async () => {
  for (const body of ['', 'not json', { state: 'ready' }, { ...bench.worker.heartbeat(), capacity: { cpu: 'many' } }, { ...bench.worker.heartbeat(), state: 'asleep' }]) {
    const response = await fetch(`http://${bench.workerAddress}/instances/i-9/heartbeat`, { method: 'POST', body: typeof body === 'string' ? body : JSON.stringify(body) })
    expect(response.status).toBe(400)
  }
  expect(await bench.beat({ born: bench.worker.bornAt - 1_000, addr: '127.0.0.1:1' })).toBe(200)
  await bench.call('POST', '00000000000000a3', job('20'))
  await until(async () => await state('00000000000000a3') === 'completed')
})

function routeOf (document: object): object {
  return (document as { routes: object[] }).routes[0] ?? {}
}
