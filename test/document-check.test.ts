/** `configuration check` on local documents: its findings, output and exit codes, in each format. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Writable } from 'node:stream'
import { Cli } from 'clipanion'
import { afterAll, beforeAll, describe, expect, onTestFinished, test } from 'vitest'
import { createCommandLine } from '../src/command/command-line'
import { ExitCode } from '../src/command/exit-code'
import { emptyDocument } from '../src/core/document'
import { checkQueues, FindingKind } from '../src/core/document-check/index'
import { queueDocumentSchema, type QueueDocument } from '../src/core/steps/index'

/** No command of these tests may reach a system unless it is told to. */
const NOWHERE = ['--entry', '127.0.0.1:9']

let folder = ''
beforeAll(async () => { folder = await mkdtemp(join(tmpdir(), 'bramleyflow-check-')) })
afterAll(async () => { await rm(folder, { recursive: true }) })

async function file (name: string, content: unknown): Promise<string> {
  const path = join(folder, name)
  await writeFile(path, typeof content === 'string' ? content : JSON.stringify(content))
  return path
}

async function check (...words: string[]): Promise<{ code: number, output: string }> {
  const chunks: string[] = []
  const stream = new Writable({ write: (chunk, _encoding, done) => { chunks.push(String(chunk)); done() } })
  const code = await createCommandLine().run(['configuration', 'check', ...NOWHERE, ...words], { ...Cli.defaultContext, stdout: stream, stderr: stream })
  return { code, output: chunks.join('').replaceAll(folder, 'FOLDER') }
}

const queue: QueueDocument['queues'][number] = {
  name: 'proofs', host: 'flow', prefix: '/proofs/', service: 'render', priority: 0, mostAttempts: 2, slackFactor: 2, targetLatencyMilliseconds: 500, timeoutMilliseconds: 3_000, public: false
}
const current: QueueDocument = {
  queues: [queue, { ...queue, name: 'scripts', prefix: '/scripts/', priority: 2 }],
  services: [{ name: 'render', guardsCapacity: false, standby: false }],
  accounts: [{ name: 'hue', keys: ['1'.repeat(64)], guaranteedAccelerators: 16 }, { name: 'tam', keys: ['2'.repeat(64)], guaranteedAccelerators: 0 }]
}
const changed: QueueDocument = {
  queues: [
    { ...queue, priority: 1, timeoutMilliseconds: 400 },
    { ...queue, name: 'nightly', prefix: '/proofs/night/', service: 'spare', slackFactor: 0, targetLatencyMilliseconds: 0, public: true },
    { ...queue, name: 'lost', prefix: 'lost/' },
    { ...queue, name: 'hidden', prefix: '/proofs', public: true }
  ],
  services: [{ name: 'render', guardsCapacity: true, standby: false }, { name: 'spare', guardsCapacity: false, standby: true }, { name: 'idle', guardsCapacity: false, standby: false }],
  accounts: [{ name: 'hue', keys: ['3'.repeat(64), '4'.repeat(64)], guaranteedAccelerators: 24 }, { name: 'minh', keys: [], guaranteedAccelerators: 80 }]
}
const fleet = [{ service: 'render', accelerators: 8, workers: 11 }]

const platformDocument = {
  version: 4,
  routes: [{ name: 'proofs', host: 'flow', path_prefix: '/proofs/', service: 'render', timeout_ms: 200, target_latency_ms: 500 }],
  services: [{ name: 'render' }],
  tenants: [{ name: 'hue', api_keys: ['secret-key'], guaranteed_gpus: { gpu: 16 } }]
}

describe('a queue document in the format of this project', () => {
  test('is compared with another file without a system', async () => {
    const words = [await file('new.json', { number: 7, document: changed }), '--against', await file('old.json', { number: 6, document: current }), '--fleet', await file('fleet.json', fleet)]
    const result = await check(...words)
    expect(result).toMatchSnapshot()
    expect(result.code).toBe(ExitCode.Done)
    expect((await check(...words, '--strict')).code).toBe(ExitCode.CheckFailed)
    expect(JSON.parse((await check(...words, '--json')).output)).toMatchSnapshot()
  })

  test('is refused with all problems and their paths in the file', async () => {
    const wrong = { ...current, queues: [{ ...queue, service: 'none', priority: -1 }, queue] }
    const bare = await check(await file('wrong.json', wrong), '--offline')
    expect(bare).toMatchSnapshot()
    expect(bare.code).toBe(ExitCode.CheckFailed)
    const numbered = await check(await file('wrong-numbered.json', { number: 1, document: { ...current, services: [] } }), '--offline')
    expect(numbered.output).toContain('error /document/queues/0/service')
  })

  test('needs a number above the one in force, except for a resend', async () => {
    const old = await file('in-force.json', { number: 6, document: current })
    const codes = []
    for (const [number, document] of [[6, current], [6, changed], [5, changed], [7, changed]] as const) codes.push((await check(await file('numbered.json', { number, document }), '--against', old)).code)
    expect(codes).toEqual([ExitCode.Done, ExitCode.CheckFailed, ExitCode.CheckFailed, ExitCode.Done])
    expect((await check(await file('bare.json', changed), '--against', old, '--number', '6')).output).toContain('error /number: found 6, expected a number above 6')
  })

  test('without anything that can hardly be meant has no finding', () => {
    const { findings, changes } = checkQueues({ number: 7, document: current }, { inForce: { number: 6, document: current }, fleet: new Map([['render', 88]]) })
    expect([findings, changes]).toEqual([[], []])
  })

  test('the snapshots show every kind of finding', () => {
    const kinds = [changed, current].flatMap((document) => checkQueues({ document }, { fleet: new Map(document === changed ? [['render', 88]] : []) }).findings.map(({ kind }) => kind))
    const withoutUrgent = { ...current, queues: [{ ...queue, priority: 1 }] }
    kinds.push(...checkQueues({ document: withoutUrgent }, {}).findings.map(({ kind }) => kind))
    expect([...new Set(kinds)].sort()).toEqual(Object.values(FindingKind).sort())
  })

  test('every field of a queue is described when it changes', () => {
    const other: QueueDocument['queues'][number] = { name: 'proofs', host: 'other', prefix: '/other/', service: 'second', priority: 3, mostAttempts: 5, slackFactor: 4, targetLatencyMilliseconds: 1, timeoutMilliseconds: 2, public: true }
    const { changes } = checkQueues({ document: { ...current, queues: [other] } }, { inForce: { document: { ...current, queues: [queue] } } })
    expect(changes).toHaveLength(1)
    expect(changes[0]!.split('; ')).toHaveLength(Object.keys(queueDocumentSchema.properties.queues.items.properties).length - 1)
  })
})

describe('a queue document in the format of the platform', () => {
  test('is recognized, and paths are those of the file', async () => {
    expect(await check(await file('platform.json', platformDocument), '--against', await file('old.json', { number: 3, document: current }))).toMatchSnapshot()
    const unknownService = { ...platformDocument, version: 2, routes: [{ ...platformDocument.routes[0], service: 'none' }] }
    expect(await check(await file('platform-wrong.json', unknownService), '--offline')).toMatchSnapshot()
  })

  test('never shows a key', async () => {
    const twice = { ...platformDocument, tenants: [...platformDocument.tenants, { ...platformDocument.tenants[0], name: 'tam' }] }
    for (const document of [platformDocument, twice]) {
      const { output } = await check(await file('keys.json', document), '--offline', '--json')
      expect(output).not.toContain('secret-key')
    }
  })
})

describe('the running system', () => {
  async function serve (status: number, body: unknown): Promise<string[]> {
    const requests: string[] = []
    const server = createServer((request, response) => { requests.push(request.url ?? ''); response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body)) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    onTestFinished(() => { server.close() })
    return ['--entry', `127.0.0.1:${(server.address() as AddressInfo).port}`, '--token', 'x']
  }

  test('gives the queue document in force where no file does, in either format', async () => {
    const path = await file('new.json', { number: 7, document: current })
    const platform = await check(path, ...await serve(200, { number: 6, source: JSON.stringify(platformDocument) }))
    const own = await check(path, ...await serve(200, { number: 6, source: JSON.stringify(current) }))
    const none = await check(path, ...await serve(200, { number: 0, source: '' }))
    expect([platform, own, none]).toMatchSnapshot()
  })

  test('that cannot be reached is told from a refused document by its exit code', async () => {
    expect((await check(await file('new.json', { number: 7, document: current }))).code).toBe(ExitCode.NotRun)
  })
})

describe('sections', () => {
  const inForce = { ...emptyDocument, clientAccounts: [{ name: 'hue', share: 1 }] }
  const guarantee = { account: 'hue', shape: { workers: 1, accelerators: 4, within: 'worker' } }

  test('are compared with a file without a system', async () => {
    const old = await file('document.json', inForce)
    const results = [
      await check(await file('sections.json', { guarantees: [guarantee], maintenance: { racks: ['r1'] } }), '--against', old),
      await check(await file('unknown.json', { guarantees: [{ ...guarantee, account: 'none' }], limits: { queuedJobs: 0 } }), '--against', old),
      await check(await file('dangling.json', { guarantees: [{ ...guarantee, account: 'none' }] }), '--against', old)
    ]
    expect(results).toMatchSnapshot()
    expect(results.map(({ code }) => code)).toEqual([ExitCode.Done, ExitCode.CheckFailed, ExitCode.CheckFailed])
  })
})

test('wrong command lines and files are reported in one line', async () => {
  const queues = await file('queues.json', current)
  const results = [
    await check(await file('no-json.json', '{')),
    await check(queues, '--format', 'xml'),
    await check(queues, '--against', await file('sections.json', { maintenance: {} })),
    await check(queues, '--against', await file('wrong-current.json', { ...current, services: [] })),
    await check(queues, '--offline', '--fleet', await file('wrong-fleet.json', [{ service: 'render' }])),
    await check(await file('sections.json', { maintenance: {} }), '--offline'),
    await check(await file('sections.json', { maintenance: {} }), '--against', await file('part.json', { clientAccounts: [] })),
    await check(join(folder, 'missing.json'))
  ]
  expect(results).toMatchSnapshot()
  expect(results.map(({ code }) => code)).toEqual(results.map(() => ExitCode.Usage))
})
