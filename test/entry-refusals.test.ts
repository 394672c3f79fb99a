import { expect, test } from 'vitest'
import type { EntryHost } from '../src/entry/index'
import { FakeLog, type FakeControl } from './fake-entry-control'
import { emptyDocument } from '../src/core/document'
import { job, send, startControls, startEntry, until, type Answer } from './entry-fixture'

const hue = { token: 'hue-token' }
const platform = { token: 'platform-token' }

interface Fixture {
  readonly entry: EntryHost
  readonly control: FakeControl
}

async function start (options: { openRequestsPerAccount?: number } = {}, log?: FakeLog): Promise<Fixture> {
  const [control] = await startControls(1, log)
  return { entry: await startEntry([control!.address], options), control: control! }
}

/** Status, code, verdict and whether a retry helps on the first line; then one line for each problem. */
function summary ({ status, json }: Answer): string {
  const problems = json.problems.map(({ path, value, expected }: any) => `${path || '/'}: found ${value}, expected ${expected}`)
  return [`${status} ${json.code} ${json.verdict} ${json.retryCanHelp}`, ...problems].join('\n  ').replaceAll(/\d{13}/g, 'NOW')
}

const badSubmissions: ReadonlyArray<[name: string, body: unknown, headers?: Record<string, string>]> = [
  ['invalid JSON', '{"shape":'],
  ['not an object', '[1]'],
  ['a JSON string', '"job"'],
  ['empty body', ''],
  ['another content type', 'shape=1', { 'content-type': 'application/x-www-form-urlencoded' }],
  ['wrong types, an unknown field and a missing one', { shape: { accelerators: 'two', workers: 0 }, colour: 'green' }],
  ['an account field', job({ account: 'chain' })],
  ['a __proto__ field', '{"__proto__":{"x":1},"shape":{"accelerators":1},"payload":{"base64":""}}'],
  ['nine accelerators', job({ shape: { accelerators: 9 } })],
  ['bad base64', job({ payload: { base64: 'a*b' } })],
  ['an expired deadline', job({ deadline: 1 })],
  ['a bad identifier', job({ identifier: 'a/b' })],
  ['two identifiers', job({ identifier: 'a' }), { 'idempotency-key': 'b' }],
  ['a bad key', job(), { 'idempotency-key': 'a b' }],
  ['a payload over the limit', job({ payload: { base64: Buffer.alloc(262_145).toString('base64') } })],
  ['a body over the limit', job({ payload: { base64: 'A'.repeat(1_000_000) } })]
]

test('invalid submissions are refused with code, path, value and verdict, and change nothing', async () => {
  const { entry, control } = await start()
  const lines: string[] = []
  for (const [name, body, headers] of badSubmissions) {
    lines.push(`${name}: ${summary(await send(entry, 'POST', '/jobs', { ...hue, body, headers }))}`)
  }
  expect(lines.join('\n')).toMatchSnapshot()
  expect([control.behaviour.submits, control.log.jobs.size]).toEqual([0, 0])
})

test('invalid operator requests are refused and change nothing', async () => {
  const { entry, control } = await start()
  const put = (body: unknown) => send(entry, 'PUT', '/configuration', { ...platform, body })
  const lines = [
    await put('{'),
    await put({}),
    await put({ requestIdentifier: '', read: { jobs: -1 }, sections: { colours: [] } }),
    await put({ requestIdentifier: 'r', read: [], sections: {} }),
    await send(entry, 'POST', '/control/members', { ...platform, body: { operation: 'explode' } }),
    await send(entry, 'POST', '/jobs/cancel', { ...platform, body: { identifiers: [] } }),
    await send(entry, 'PATCH', '/configuration', platform),
    await send(entry, 'GET', '/nowhere', platform),
    await send(entry, 'GET', '/jobs/none', platform),
    await send(entry, 'GET', '/jobs/none/answer?wait=true', platform)
  ].map(summary)
  expect(lines.join('\n')).toMatchSnapshot()
  expect(control.log.puts).toEqual([])
})

const everyRoute: ReadonlyArray<[method: string, path: string]> = [
  ['POST', '/jobs'], ['GET', '/jobs'], ['GET', '/jobs/a'], ['DELETE', '/jobs/a'], ['GET', '/jobs/a/answer'], ['GET', '/jobs/a/progress'], ['POST', '/jobs/cancel'],
  ['GET', '/configuration'], ['PUT', '/configuration'], ['POST', '/configuration/check'], ['GET', '/configuration/status'], ['GET', '/workers'], ['GET', '/view'],
  ['POST', '/workers/w/drain'], ['POST', '/workers/w/undrain'], ['GET', '/control/members'], ['POST', '/control/members'], ['POST', '/control/transfer'],
  ['GET', '/audit'], ['GET', '/metrics'], ['GET', '/'], ['GET', '/nowhere'], ['GET', '/healthz/'], ['GET', '//healthz']
]

test('without a valid token only the health endpoints answer', async () => {
  const { entry } = await start()
  for (const [method, path] of everyRoute) {
    for (const token of [undefined, 'guess', 'first-token', '']) {
      const answer = await send(entry, method, path, { token })
      expect([method, path, token, answer.status, answer.json?.code]).toEqual([method, path, token, 401, 'unauthorized'])
    }
  }
  expect([(await send(entry, 'GET', '/healthz')).status, (await send(entry, 'GET', '/readyz')).json]).toEqual([200, { ready: true, confirmed: true, stopping: false }])
})

test('callers cannot make operators\' requests, operators cannot submit jobs, and a team without the section cannot change control hosts', async () => {
  const log = new FakeLog()
  log.document = { ...log.document, teams: [...log.document.teams, { name: 'jobs', sections: ['jobs' as never], tokens: log.document.clientAccounts[1]!.tokens }], clientAccounts: log.document.clientAccounts.slice(0, 1) }
  const { entry } = await start({}, log)
  const operatorRoutes = everyRoute.filter(([, path]) => !path.startsWith('/jobs') && !path.includes('nowhere') && path !== '/' && !path.includes('healthz'))
  for (const [method, path] of operatorRoutes) {
    const answer = await send(entry, method, path, { ...hue, body: method === 'GET' ? undefined : {} })
    expect([method, path, answer.status, answer.json.code]).toEqual([method, path, 403, 'forbidden'])
  }
  expect((await send(entry, 'POST', '/jobs', { ...platform, body: job() })).json.code).toBe('forbidden')
  expect((await send(entry, 'POST', '/control/transfer', { token: 'chain-token', body: {} })).json.code).toBe('forbidden')
})

test('a caller sees and fetches only its own account\'s jobs', async () => {
  const { entry, control } = await start()
  await send(entry, 'POST', '/jobs', { ...hue, body: job({ identifier: 'mine' }) })
  control.log.finish('mine', 'secret')
  const other = { token: 'chain-token' }
  expect((await send(entry, 'GET', '/jobs/mine', other)).status).toBe(404)
  expect((await send(entry, 'GET', '/jobs/mine/answer', other)).status).toBe(404)
})

test('the bootstrap token can write the first document and is rejected once the document has teams', async () => {
  const log = new FakeLog(emptyDocument)
  log.number = 0
  const { entry, control } = await start({}, log)
  const teams = [{ name: 'platform', sections: ['teams'], tokens: [control.log.document.teams[0]?.tokens[0] ?? 'a'.repeat(64)] }]
  const body = { requestIdentifier: 'first', read: { teams: 0 }, sections: { teams } }
  const first = { token: 'first-token' }
  expect((await send(entry, 'PUT', '/configuration', { token: 'wrong', body })).status).toBe(401)
  expect((await send(entry, 'PUT', '/configuration', { ...first, body })).status).toBe(200)
  await until(() => control.inForce.includes(1))
  expect((await send(entry, 'PUT', '/configuration', { ...first, body })).status).toBe(401)
})

test('an account over its limit of open requests is refused while another account is served', async () => {
  const { entry, control } = await start({ openRequestsPerAccount: 2 })
  const held = ['a', 'b'].map((identifier) => send(entry, 'POST', '/jobs?wait=true', { ...hue, body: job({ identifier }) }))
  await until(() => control.log.jobs.size === 2)
  const refused = await send(entry, 'POST', '/jobs', { ...hue, body: job() })
  expect([summary(refused), refused.headers['retry-after']]).toEqual(['429 queue-full not-run true', '1'])
  expect((await send(entry, 'POST', '/jobs', { token: 'chain-token', body: job() })).status).toBe(202)
  for (const identifier of ['a', 'b']) control.log.finish(identifier, identifier)
  expect((await Promise.all(held)).map(({ text }) => text)).toEqual(['a', 'b'])
  expect((await send(entry, 'POST', '/jobs', { ...hue, body: job() })).status).toBe(202)
})
