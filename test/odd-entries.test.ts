/**
 * Odd entries from other writers on each interface of the platform: deeply nested, with numbers or ports out of range, of
 * another type, or with unknown words. Each is refused or left out, no process ends, and the real worker is still followed.
 */
import { afterEach, beforeEach, expect, test } from 'vitest'
import { operatorDocument, PlatformFixture } from './platform-fixture'
import { until } from './until'

let fixture: PlatformFixture
let jobs = 0

beforeEach(async () => {
  fixture = await PlatformFixture.create()
  await until(async () => (await fixture.callOperatorApi('POST', '/config/replace', operatorDocument(1))).status === 200)
  await fixture.sendHeartbeat()
})

afterEach(async () => { await fixture.close() })

const DEPTHS = [50, 2_000, 5_000, 20_000, 500_000]
const nested = (depth: number): string => `${'['.repeat(depth)}${']'.repeat(depth)}`
const nestedObject = (depth: number): string => `${'{"a":'.repeat(depth)}1${'}'.repeat(depth)}`
/** JSON texts that stand in place of a field. */
const oddTexts = [
  ...DEPTHS.flatMap((depth) => [nested(depth), nestedObject(depth)]), '1e400', '1e300', '9007199254740991', '4294967296', '-1', '0.5', 'null', 'true', '{}', '[]', '"constructor"', '"__proto__"', '"\\ud800"', '""'
]

/** Replaces a field of a body by a JSON text. */
function withText (body: object, field: string, text: string): string {
  return JSON.stringify({ ...body, [field]: 'replaced here' }).replace('"replaced here"', () => text)
}

async function expectServed (): Promise<void> {
  const identifier = (0xa0 + jobs++).toString(16).padStart(16, '0')
  await fixture.call('POST', identifier, { spec: '10', phases: [{ count: 1, cpu: 1_000, mem_mb: 100, gpu: 1, estimate_ms: 50 }] })
  await until(async () => (await fixture.call('GET', identifier)).body?.state === 'completed')
}

async function postHeartbeat (body: string, path = `/instances/${fixture.worker.name}/heartbeat`): Promise<number> {
  return (await fetch(`http://${fixture.workerAddress}${path}`, { method: 'POST', body })).status
}

/** Texts that are valid in some field. */
const validTexts: { readonly [field: string]: RegExp } = { service: /^"./, zone: /^"./, labels: /^\[\]$/, born: /^4294967296$/, clock_ms: /^4294967296$/ }

test.each(['state', 'capacity', 'born', 'clock_ms', 'seq', 'addr', 'service', 'zone', 'labels'])('a heartbeat with an odd %s is refused and does not displace the worker', async (field) => {
  const heartbeat = (): object => fixture.worker.heartbeat({ capacity: { cpu: 64_000, mem_mb: 131_072, gpu: 0 } })
  for (const text of oddTexts.filter((odd) => odd !== '""' && validTexts[field]?.test(odd) !== true)) {
    const other = withText({ ...heartbeat(), ...field !== 'born' && { born: Date.now() + 1_000 } }, field, text)
    for (const [body, path] of [[other, '/instances/i-other/heartbeat'], [withText(heartbeat(), field, text), undefined]] as const) {
      expect([text.slice(0, 20), await postHeartbeat(body, path)]).toEqual([text.slice(0, 20), 400])
    }
  }
  await fixture.sendHeartbeat()
  await expectServed()
})

test.each(['cpu', 'mem_mb', 'gpu'])('a heartbeat with an odd capacity in %s is refused', async (field) => {
  for (const text of oddTexts) {
    const capacity = withText({ cpu: 64_000, mem_mb: 131_072, gpu: 8 }, field, text)
    expect(await postHeartbeat(withText(fixture.worker.heartbeat(), 'capacity', capacity))).toBe(400)
  }
  await expectServed()
})

test.each(['127.0.0.1:65536', '127.0.0.1:99999', '127.0.0.1:0', '127.0.0.1:-1', '127.0.0.1', '127.0.0.1:80:80', 'http://127.0.0.1:80', '256.0.0.1:80', ':80', '127.0.0.1:1e3', 'a b:80'])('a heartbeat with the address %s is refused', async (addr) => {
  const heartbeat = fixture.worker.heartbeat({ addr, born: Date.now() + 1_000 })
  expect(await postHeartbeat(JSON.stringify(heartbeat), '/instances/i-other/heartbeat')).toBe(400)
  expect(await postHeartbeat(JSON.stringify({ ...heartbeat, born: fixture.worker.startedAt }))).toBe(400)
  await expectServed()
})

test('a name in the path that cannot be decoded is refused', async () => {
  for (const call of ['heartbeat', 'deregister']) expect(await postHeartbeat(JSON.stringify(fixture.worker.heartbeat()), `/instances/%E0%A4%A/${call}`)).toBe(400)
  await expectServed()
})

test.each(['{"born":1e300}', '{"born":"1"}', '{"born":[]}', '{"born":', nested(500_000)])('a deregistration with the body %s ends no incarnation', async (body) => {
  expect(await postHeartbeat(body, `/instances/${fixture.worker.name}/deregister`)).toBe(400)
  await expectServed()
})

test('a heartbeat that no worker answers for, of a service that no document names, does not displace the worker', async () => {
  const odd = fixture.worker.heartbeat({ service: 'none', born: Date.now() + 1_000 })
  expect(await postHeartbeat(JSON.stringify(odd), '/instances/i-other/heartbeat')).toBe(200)
  await fixture.sendHeartbeat()
  await expectServed()
})

test('rows of a worker\'s lists that cannot be read are left out, and the others hold', async () => {
  // A worker's answer with all of them would take longer than its time-out.
  const texts = oddTexts.filter(({ length }) => length < 50_000)
  const rows = texts.flatMap((text) => [text, `[${text}]`, `["j.0.0.0",${text},"",0]`, `[${text},1,"",0]`])
  const ends = texts.flatMap((text) => [text, `[${text},"j.0.0.0",1,"done",""]`, `[7,${text},1,"done",""]`, `[7,"j.0.0.0",${text},"done",""]`, `[7,"j.0.0.0",1,${text},""]`])
  fixture.worker.oddRows = [...rows, ...ends, '["j.0.0.4294967296",1,"",0]', '["j.0.1e300.0",1,"",0]', '["j.-1.0.0",1,"",0]']
  for (let count = 0; count < 3; count++) await expectServed()
})

test.each(['/run-start', '/run-stop', '/hold'])('odd answers of a worker to %s do not end the agent', async (path) => {
  for (const text of oddTexts) {
    fixture.worker.oddAnswers.push({ path, status: 409, text: `{"clock_ms":1,"reason":${text}}` }, { path, status: 200, text }, { path, status: 200, text: `{"clock_ms":${text},"running":[],"finished":[]}` })
  }
  await until(async () => { await expectServed(); return path === '/run-stop' || fixture.worker.oddAnswers.length === 0 })
})

/** Limit of the document; a longer body is refused for its size. */
const MAX_BODY_BYTES = 262_144

const jobFields = ['count', 'cpu', 'mem_mb', 'gpu', 'estimate_ms', 'after', 'gang', 'required_label', 'anti_affinity', 'checkpointing']

test.each(jobFields)('a job with an odd %s is accepted or refused for good, and others are served', async (field) => {
  for (const text of oddTexts) {
    const phase = withText({ count: 1, cpu: 100, mem_mb: 1, gpu: 0, estimate_ms: 10 }, field, text)
    const body = `{"spec":"1","phases":[${phase}]}`
    const { status } = await fixture.call('POST', (0x1000 + jobs++).toString(16).padStart(16, '0'), body)
    const expected = body.length > MAX_BODY_BYTES ? [413] : [200, 400]
    expect([text.slice(0, 20), expected.includes(status)]).toEqual([text.slice(0, 20), true])
  }
  await expectServed()
})

test.each(['timeout_ms', 'target_latency_ms', 'priority', 'max_attempts', 'slack_factor', 'public', 'path_prefix', 'service', 'name', 'host'])('a document with an odd %s of a queue is accepted or refused for good, and others come into force', async (field) => {
  let version = 10
  for (const text of oddTexts) {
    version += 10
    const route = withText((operatorDocument(1) as { routes: object[] }).routes[0]!, field, text)
    const { status } = await fixture.callOperatorApi('POST', '/config/replace', withText(operatorDocument(version), 'routes', `[${route}]`))
    expect([text.slice(0, 20), [200, 400].includes(status)]).toEqual([text.slice(0, 20), true])
  }
  expect((await fixture.callOperatorApi('POST', '/config/replace', operatorDocument(version + 10))).status).toBe(200)
  await expectServed()
})

test.each(['version', 'services', 'tenants', 'limits'])('a document with an odd %s is accepted or refused for good, and others come into force', async (field) => {
  let version = 10
  for (const text of oddTexts) {
    version += 10
    const { status } = await fixture.callOperatorApi('POST', '/config/replace', withText(operatorDocument(version), field, text))
    expect([text.slice(0, 20), [200, 400].includes(status)]).toEqual([text.slice(0, 20), true])
    if (field === 'version' && status === 200) version = Math.max(version, Number(text))
  }
  if (version < Number.MAX_SAFE_INTEGER) expect((await fixture.callOperatorApi('POST', '/config/replace', operatorDocument(version + 10))).status).toBe(200)
  await expectServed()
})
