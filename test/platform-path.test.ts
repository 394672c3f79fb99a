import { execFileSync } from 'node:child_process'
import { once } from 'node:events'
import { connect } from 'node:net'
import { request } from 'undici'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { OrderFault } from '../stand-ins'
import { operatorDocument, PlatformFixture } from './platform-fixture'
import { until } from './until'

let fixture: PlatformFixture

beforeEach(async () => {
  fixture = await PlatformFixture.create()
  await until(async () => (await fixture.callOperatorApi('POST', '/config/replace', operatorDocument(1))).status === 200)
  await fixture.sendHeartbeat()
})

afterEach(async () => { await fixture.close() })

const job = (spec: string, fields: object = {}): object => ({ spec, phases: [{ count: 1, cpu: 1_000, mem_mb: 100, gpu: 1, estimate_ms: 50, ...fields }] })
const state = async (identifier: string): Promise<string> => (await fixture.call('GET', identifier)).body?.state

test('a submitted job completes, its end is acknowledged at the worker, and the same submission does not run again', async () => {
  expect(await fixture.call('POST', '00000000000000a1', job('30'))).toMatchObject({ status: 200 })
  await until(async () => await state('00000000000000a1') === 'completed')
  expect(fixture.worker.observations.starts).toEqual(['00000000000000a1.0.0.0/1'])
  expect(fixture.worker.observations.specs).toEqual(['30'])
  await until(() => fixture.worker.unacknowledgedEnds === 0)
  expect(await fixture.call('POST', '00000000000000a1', job('30'))).toMatchObject({ status: 200, body: { state: 'completed' } })
  expect(fixture.worker.observations.starts).toHaveLength(1)
})

test('requests with an unknown job, key or queue, or with an invalid job, get their own status and start nothing', async () => {
  const unknown = { authorization: 'Token other' }
  expect((await fixture.call('GET', '00000000000000b1')).status).toBe(410)
  expect((await fixture.call('DELETE', '00000000000000b1')).status).toBe(410)
  expect((await fixture.call('POST', '00000000000000b1', job('1'), unknown)).status).toBe(401)
  expect((await fixture.call('POST', '00000000000000b1', job('1'), undefined, 'other.example')).status).toBe(404)
  expect((await fixture.call('POST', '00000000000000b1', '{"spec":')).status).toBe(400)
  expect((await fixture.call('POST', '00000000000000b1', job('1', { count: 'x' }))).status).toBe(400)
  expect((await fixture.call('POST', '00000000000000b1', job('1', { long_running: true }))).status).toBe(400)
  expect((await fixture.call('POST', '00000000000000b1', { ...job('1'), repeats: 3 })).status).toBe(400)
  expect(await fixture.call('GET', '')).toEqual({ status: 200, body: { pending: 0 } })
  expect(fixture.worker.observations.starts).toEqual([])
})

test('over the limit of waiting work a job gets 429 with a time to return, and an accepted job is acknowledged again', async () => {
  const large = job('1', { count: 10_000, cpu: 100_000_000 })
  expect((await fixture.call('POST', '00000000000000b2', large)).status).toBe(200)
  const refused = await request(`http://${fixture.clientAddress}/proofs/00000000000000b3`, {
    method: 'POST', body: JSON.stringify(job('1')), headers: { authorization: 'Token key-of-one', host: 'proofs.example', 'content-type': 'application/json' }
  })
  expect(refused.statusCode).toBe(429)
  expect(Number(refused.headers['retry-after'])).toBeGreaterThanOrEqual(1)
  expect(await refused.body.json()).toEqual({ error: 'the limit of 10000 waiting tasks of an account in a queue is reached' })
  expect((await fixture.call('POST', '00000000000000b2', large)).status).toBe(200)
  expect((await fixture.call('GET', '00000000000000b3')).status).toBe(410)
})

test('a large body without a queue or a known key gets the status of its refusal unread, and one over the limit gets 413', async () => {
  const large = { ...job('20'), note: 'x'.repeat(200_000) }
  expect((await fixture.call('POST', '00000000000000b2', large, { authorization: 'Token other' })).status).toBe(401)
  expect((await fixture.call('POST', '00000000000000b2', large, undefined, 'other.example')).status).toBe(404)
  expect((await fixture.call('POST', '00000000000000b2', { ...job('20'), note: 'x'.repeat(300_000) })).status).toBe(413)
  expect((await fixture.call('POST', '00000000000000b2', { ...job('20'), phases: Array.from({ length: 257 }, () => ({ count: 1 })) })).status).toBe(400)
  expect((await fixture.call('POST', '00000000000000b2', large)).status).toBe(200)
  expect(fixture.worker.observations.starts.length).toBeLessThanOrEqual(1)
})

test('a job that fails is tried no more often than its queue allows', async () => {
  await fixture.call('POST', '00000000000000c1', job('fail'))
  await until(async () => await state('00000000000000c1') === 'failed')
  expect(fixture.worker.observations.starts).toHaveLength(2)
})

test('a cancelled job is stopped at the worker', async () => {
  await fixture.call('POST', '00000000000000d1', job('60000'))
  await until(() => fixture.worker.running.length === 1)
  expect((await fixture.call('DELETE', '00000000000000d1')).status).toBe(200)
  await until(() => fixture.worker.running.length === 0)
  expect(await state('00000000000000d1')).toBe('cancelled')
})

// Guards against a job that starts seconds after its DELETE was answered with 410, because its submission was held up.
test('a job whose DELETE was acknowledged before its submission arrived is refused as not accepted, and never starts', async () => {
  expect((await fixture.call('DELETE', '00000000000000d2')).status).toBe(410)
  const refused = await request(`http://${fixture.clientAddress}/proofs/00000000000000d2`, {
    method: 'POST', body: JSON.stringify(job('1')), headers: { authorization: 'Token key-of-one', host: 'proofs.example', 'content-type': 'application/json' }
  })
  expect(refused.statusCode).toBe(503)
  expect(Number(refused.headers['retry-after'])).toBeGreaterThan(200)
  expect(await refused.body.json()).toEqual({ error: 'job 00000000000000d2 was cancelled before it was submitted' })
  expect((await fixture.call('GET', '00000000000000d2')).status).toBe(410)
  expect((await fixture.call('POST', '00000000000000d3', job('1'))).status).toBe(200)
  await until(async () => await state('00000000000000d3') === 'completed')
  expect(fixture.worker.observations.starts).toEqual(['00000000000000d3.0.0.0/1'])
})

// Guards against a submission that an entry hands in after it stood still, although its client left meanwhile.
test('a submission whose client left while the entry stood still is not handed in, and one whose client waits is', async () => {
  const [ip, port] = fixture.clientAddress.split(':')
  const [leaving, waiting] = ['00000000000000d4', '00000000000000d5'].map((identifier) => {
    const body = JSON.stringify(job('1'))
    return `POST /proofs/${identifier} HTTP/1.1\r\nhost: proofs.example\r\nauthorization: Token key-of-one\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`
  })
  const connection = connect(Number(port), ip)
  await once(connection, 'connect')
  connection.write(waiting!)
  // The event loop of this process, and with it the entry, stands still while the other client comes and leaves.
  const script = `const socket = require('net').connect(${port}, '${ip}', () => socket.end(${JSON.stringify(leaving)}, () => socket.destroy()))`
  execFileSync(process.execPath, ['-e', script])
  await until(async () => await state('00000000000000d5') === 'completed')
  expect((await fixture.call('GET', '00000000000000d4')).status).toBe(410)
  expect(fixture.worker.observations.starts).toEqual(['00000000000000d5.0.0.0/1'])
  connection.destroy()
})

test('a start whose answer is lost, or that is executed late, runs once', async () => {
  fixture.worker.faults.push(OrderFault.ResponseLost)
  await fixture.call('POST', '00000000000000e1', job('100'))
  await until(async () => await state('00000000000000e1') === 'completed')
  expect(fixture.worker.observations.starts).toHaveLength(1)
  fixture.worker.faults.push(OrderFault.Late)
  fixture.worker.delayMilliseconds = 700
  await fixture.call('POST', '00000000000000e2', job('900'))
  await until(async () => await state('00000000000000e2') === 'completed')
  expect(fixture.worker.observations).toMatchObject({ starts: [expect.any(String), '00000000000000e2.0.0.0/1'], overlappingRuns: [] })
})

test('a start that an unhealthy worker refuses does not count as an attempt', async () => {
  fixture.worker.faults.push(OrderFault.Unhealthy, OrderFault.Unhealthy, OrderFault.Unhealthy)
  await fixture.call('POST', '00000000000000f1', job('20'))
  await until(async () => await state('00000000000000f1') === 'completed')
  expect(fixture.worker.observations.starts).toHaveLength(1)
})

test('a worker that reports that it is draining gets no starts', async () => {
  expect(await fixture.sendHeartbeat({ state: 'draining' })).toBe(200)
  await fixture.call('POST', '00000000000000a2', job('20'))
  await new Promise((resolve) => { setTimeout(resolve, 300) })
  expect(fixture.worker.observations.starts).toEqual([])
  expect(await state('00000000000000a2')).toBe('queued')
  expect((await fixture.call('GET', '')).body).toEqual({ pending: 1 })
})

test('a run that can be done in the time that a leaving worker states stays there, and odd values are ignored', async () => {
  await fixture.call('POST', '00000000000000a3', job('3200', { estimate_ms: 3_200 }))
  await until(() => fixture.worker.observations.starts.length > 0)
  expect(await fixture.sendHeartbeat({ state: 'draining', remaining_ms: 20_000 })).toBe(200)
  await until(async () => await state('00000000000000a3') === 'completed')
  expect(fixture.worker.observations.starts).toEqual(['00000000000000a3.0.0.0/1'])
  for (const odd of ['soon', -1, null]) expect(await fixture.sendHeartbeat({ state: 'draining', remaining_ms: odd })).toBe(200)
})

test('a worker whose capacity shrinks gets only what fits, and what fits again once it has grown', async () => {
  await fixture.sendHeartbeat({ capacity: { cpu: 64_000, mem_mb: 131_072, gpu: 2 } })
  await fixture.call('POST', '00000000000000a4', job('20', { gpu: 4 }))
  await fixture.call('POST', '00000000000000a5', job('20', { gpu: 2 }))
  await until(async () => await state('00000000000000a5') === 'completed')
  expect(await state('00000000000000a4')).toBe('queued')
  await fixture.sendHeartbeat({ capacity: { cpu: 64_000, mem_mb: 131_072, gpu: 16 } })
  await fixture.call('POST', '00000000000000a6', job('20', { gpu: 16 }))
  await until(async () => await state('00000000000000a4') === 'completed' && await state('00000000000000a6') === 'completed')
  expect(fixture.worker.observations.starts).toEqual(['00000000000000a5.0.0.0/1', '00000000000000a4.0.0.0/1', '00000000000000a6.0.0.0/1'])
})

test('what runs on a worker whose capacity shrinks goes on, and nothing starts beside it until it fits', async () => {
  await fixture.call('POST', '00000000000000a7', job('900', { gpu: 4 }))
  await until(() => fixture.worker.running.length === 1)
  await fixture.sendHeartbeat({ capacity: { cpu: 64_000, mem_mb: 131_072, gpu: 3 } })
  await fixture.call('POST', '00000000000000a8', job('20', { gpu: 1 }))
  await until(async () => await state('00000000000000a7') === 'completed')
  await until(async () => await state('00000000000000a8') === 'completed')
  expect(fixture.worker.observations).toMatchObject({ starts: ['00000000000000a7.0.0.0/1', '00000000000000a8.0.0.0/1'], beside: [0, 0] })
})

test('the document with the highest number is in force and is read back as sent; an invalid document is refused', async () => {
  const third = operatorDocument(3, { extra: { kept: true } })
  expect((await fixture.callOperatorApi('POST', '/config/replace', third)).status).toBe(200)
  expect((await fixture.callOperatorApi('POST', '/config/replace', operatorDocument(2))).status).toBe(200)
  expect((await fixture.callOperatorApi('POST', '/config/replace', operatorDocument(3, { routes: [] }))).status).toBe(200)
  expect(await fixture.callOperatorApi('GET', '/config/read')).toEqual({ status: 200, body: third })
  const broken = [
    operatorDocument(9, { services: [] }),
    operatorDocument(9, { routes: [{ ...routeOf(third), timeout_ms: 0 }] }),
    operatorDocument(9, { routes: [routeOf(third), { ...routeOf(third), name: 'again' }] }),
    operatorDocument(9, { tenants: [{ name: 'one', api_keys: ['k'] }, { name: 'two', api_keys: ['k'] }] }),
    JSON.stringify(operatorDocument(9)).slice(0, -20),
    JSON.stringify(operatorDocument(9)).replace('{"version":9', '{"version":9,"version":10')
  ]
  const statuses = await Promise.all(broken.map(async (body) => (await fixture.callOperatorApi('POST', '/config/replace', body)).status))
  expect(statuses).toEqual([400, 400, 400, 400, 400, 400])
  expect((await fixture.callOperatorApi('GET', '/config/read')).body).toEqual(third)
})

test('an invalid heartbeat is refused, and one of an older incarnation does not replace the current one', async () => {
  for (const body of ['', 'not json', { state: 'ready' }, { ...fixture.worker.heartbeat(), capacity: { cpu: 'many' } }, { ...fixture.worker.heartbeat(), state: 'asleep' }]) {
    const response = await fetch(`http://${fixture.workerAddress}/instances/i-9/heartbeat`, { method: 'POST', body: typeof body === 'string' ? body : JSON.stringify(body) })
    expect(response.status).toBe(400)
  }
  expect(await fixture.sendHeartbeat({ born: fixture.worker.startedAt - 1_000, addr: '127.0.0.1:1' })).toBe(200)
  await fixture.call('POST', '00000000000000a3', job('20'))
  await until(async () => await state('00000000000000a3') === 'completed')
})

test('orders to evacuate a data centre are acknowledged, repeated ones too, and stop and resume the starts there', async () => {
  const order = async (name: string, kind: string): Promise<number> => (await fixture.callOperatorApi('POST', `/evacuations/${name}/${kind}`)).status
  const { zone } = fixture.worker.heartbeat() as unknown as { zone: string }
  expect([await order(zone, 'finish'), await order(zone, 'start'), await order(zone, 'start'), await order('an%20unknown%2Fone', 'start')]).toEqual([200, 200, 200, 200])
  await fixture.call('POST', '00000000000000a9', job('20'))
  await new Promise((resolve) => { setTimeout(resolve, 500) })
  expect(fixture.worker.observations.starts).toEqual([])
  expect(await order(zone, 'finish')).toBe(200)
  await until(async () => await state('00000000000000a9') === 'completed')
  expect([await order('n'.repeat(129), 'start'), await order('', 'start'), await order('%zz', 'start'), await order(zone, 'pause')]).toEqual([400, 400, 400, 404])
  expect((await fixture.callOperatorApi('GET', `/evacuations/${zone}/start`)).status).toBe(404)
})

test('what runs in an evacuated data centre goes on', async () => {
  const { zone } = fixture.worker.heartbeat() as unknown as { zone: string }
  await fixture.call('POST', '00000000000000b9', job('900'))
  await until(() => fixture.worker.running.length === 1)
  expect((await fixture.callOperatorApi('POST', `/evacuations/${zone}/start`)).status).toBe(200)
  await until(async () => await state('00000000000000b9') === 'completed')
  expect(fixture.worker.observations.starts).toHaveLength(1)
})

function routeOf (document: object): object {
  return (document as { routes: object[] }).routes[0] ?? {}
}
