import * as grpc from '@grpc/grpc-js'
import { mkdtemp, rm } from 'node:fs/promises'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { Agent } from '../src/agent'
import { ControlHost } from '../src/control'
import { ControlClient, JobReport, JobRequest, PutConfigurationRequest, Verdict, type JobQuery, type SubmitRequest } from '../src/wire'
import { expectedAnswer, PlatformStandIn, TargetStandIn } from '../stand-ins'
import { until } from './until'

const clientAccounts = ['one', 'two'].map((name) => ({ name, share: 1 }))
const teams = [{ name: 'all', sections: ['clientAccounts', 'guarantees', 'jobs', 'limits', 'placement', 'maintenance', 'teams'], tokens: ['0'.repeat(64)] }]

/** A control host with a data folder on disk, an agent with a stand-in platform and target, and a client of the host. */
class Bench {
  private constructor (
    readonly folder: string, readonly address: string, readonly client: ControlClient,
    readonly platform: PlatformStandIn, readonly target: TargetStandIn, readonly agent: Agent, public host: ControlHost
  ) {}

  static async create (): Promise<Bench> {
    const folder = await mkdtemp(join(tmpdir(), 'bramleyflow-'))
    const address = `127.0.0.1:${await freePort()}`
    const [platform, target] = await Promise.all([PlatformStandIn.create(), TargetStandIn.create()])
    const worker = { name: 'w', region: 'r', dataCentre: 'd', rack: 'k', accelerators: 8, slots: 8, processors: 32, memoryMegabytes: 128_000 }
    const agent = Agent.create({ worker, controlHosts: [address], platformUrl: platform.url, targetUrl: target.url })
    agent.start()
    const client = new ControlClient(address, grpc.credentials.createInsecure(), { 'grpc.initial_reconnect_backoff_ms': 20, 'grpc.max_reconnect_backoff_ms': 50 })
    const bench = new Bench(folder, address, client, platform, target, agent, await startHost(folder, address))
    const sectionsJson = JSON.stringify({ clientAccounts, teams })
    await until(async () => await bench.put(sectionsJson, 'first', { clientAccounts: 0, teams: 0 }) === 'accepted')
    await until(async () => (await bench.view()).workers.length === 1)
    return bench
  }

  async put (sectionsJson: string, requestIdentifier: string, numbers: Readonly<Record<string, number>>): Promise<string> {
    const read = Object.entries(numbers).map(([section, number]) => ({ section, number }))
    return await new Promise((resolve) => {
      this.client.putConfiguration(PutConfigurationRequest.fromPartial({ team: 'all', requestIdentifier, read, sectionsJson }), (error, reply) => {
        resolve(error !== null ? 'broken' : reply.refusal?.code ?? 'accepted')
      })
    })
  }

  async view (): Promise<{ workers: unknown[] }> {
    return await new Promise((resolve) => {
      this.client.status({ confirm: true }, (error, reply) => { resolve(error !== null || reply.viewJson === '' ? { workers: [] } : JSON.parse(reply.viewJson)) })
    })
  }

  async submit (request: SubmitRequest): Promise<JobReport | undefined> { return await last(this.client.submit(request)) }
  async answer (query: JobQuery): Promise<JobReport | undefined> { return await last(this.client.await(query)) }

  async restart (): Promise<void> {
    await this.host.stop()
    this.host = await startHost(this.folder, this.address)
  }

  async close (): Promise<void> {
    this.client.close()
    await this.agent.stop(0)
    await this.host.stop()
    await Promise.all([this.platform.close(), this.target.close()])
    await rm(this.folder, { recursive: true })
  }
}

async function startHost (folder: string, address: string): Promise<ControlHost> {
  const host = (await ControlHost.create({ host: 'control', address, folder, voters: [address], log: () => {} }))._unsafeUnwrap()
  host.start()
  return host
}

async function freePort (): Promise<number> {
  return await new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as { port: number }
      server.close(() => { resolve(port) })
    })
  })
}

/** Returns the last report of a stream, or undefined where the stream fails. */
async function last (stream: grpc.ClientReadableStream<JobReport>): Promise<JobReport | undefined> {
  let report: JobReport | undefined
  return await new Promise((resolve) => {
    stream.on('data', (next: JobReport) => { report = next })
    stream.on('end', () => { resolve(report) })
    stream.on('error', () => { resolve(undefined) })
  })
}

function job (identifier: string, milliseconds: number, fields: Partial<JobRequest> = {}): JobRequest {
  const body = Buffer.from(JSON.stringify({ milliseconds, text: identifier }))
  const shape = { workers: 1, accelerators: 2, slots: 1, processors: 1, memoryMegabytes: 64, within: 'worker' }
  const payload = { contentType: 'application/json', body, digest: Buffer.alloc(0) }
  return JobRequest.fromPartial({ identifier, account: 'one', kind: 'proof', shape, urgency: 'normal', declaredSeconds: 1, payload, ...fields })
}

let bench: Bench
beforeEach(async () => { bench = await Bench.create() })
afterEach(async () => { await bench.close() })

test('an answer is complete, survives a restart, is returned again to a resend, and is visible to its own account only', async () => {
  const request = job('a', 1)
  const first = await bench.submit({ job: request, wait: true })
  expect(first).toMatchObject({ state: 'finished', verdict: Verdict.RAN })
  expect(first?.answer?.body.toString()).toBe(expectedAnswer(request.payload?.body ?? Buffer.alloc(0)))
  expect((await bench.submit({ job: request, wait: true }))?.answer).toEqual(first?.answer)
  await bench.restart()
  await until(async () => (await bench.answer({ identifier: 'a', account: 'one' }))?.state === 'finished')
  expect((await bench.answer({ identifier: 'a', account: 'one' }))?.answer).toEqual(first?.answer)
  expect((await bench.answer({ identifier: 'a', account: 'two' }))?.refusal).toMatchObject({ code: 'not-found', verdict: Verdict.NOT_RUN })
  expect(bench.target.runs).toEqual([{ job: 'a', attempt: 1 }])
})

test('refused jobs have the verdict not-run, and the target ran none of them', async () => {
  const refused = async (request: JobRequest): Promise<string | undefined> => {
    const report = await bench.submit({ job: request, wait: true })
    expect(report?.verdict).toBe(Verdict.NOT_RUN)
    return report?.refusal?.code
  }
  await bench.submit({ job: job('taken', 60_000), wait: false })
  expect([
    await refused(job('taken', 1)),
    await refused(job('stranger', 1, { account: 'nobody' })),
    await refused(job('late', 1, { deadline: 1 })),
    await refused(job('impossible', 1, { shape: { workers: 2, accelerators: 8, slots: 1, processors: 1, memoryMegabytes: 64, within: 'worker' } }))
  ]).toMatchInlineSnapshot(`
    [
      "identifier-reused",
      "unknown-account",
      "deadline-passed",
      undefined,
    ]
  `)
  expect(bench.target.runs.filter((run) => run.job !== 'taken')).toEqual([])
})

test('a job keeps running while control restarts, runs once, and its answer is available afterwards', async () => {
  const waiting = bench.submit({ job: job('long', 1_500), wait: true })
  await until(() => bench.target.runs.length === 1)
  await bench.restart()
  await waiting
  const report = await until(async () => {
    const next = await bench.answer({ identifier: 'long', account: 'one' })
    return next?.state === 'finished' ? next : undefined
  })
  expect(report.verdict).toBe(Verdict.RAN)
  expect(bench.target.runs).toEqual([{ job: 'long', attempt: 1 }])
})

test('a host does not open the data folder of another host', async () => {
  await bench.host.stop()
  const opened = await ControlHost.create({ host: 'other', address: bench.address, folder: bench.folder, voters: [bench.address], log: () => {} })
  expect(opened._unsafeUnwrapErr().message.replace(bench.folder, 'FOLDER')).toMatchInlineSnapshot('"data folder FOLDER belongs to host control, not to other: give this host a folder of its own"')
  bench.host = await startHost(bench.folder, bench.address)
})

test('a resend of an accepted change is accepted after a restart, and a change based on an old number is a conflict', async () => {
  const sectionsJson = JSON.stringify({ placement: { completionTimeWeight: 1, fragmentationWeight: 0 } })
  expect(await bench.put(sectionsJson, 'second', { placement: 0 })).toBe('accepted')
  await bench.restart()
  await until(async () => (await bench.view()).workers.length === 1)
  expect(await bench.put(sectionsJson, 'second', { placement: 0 })).toBe('accepted')
  expect(await bench.put(sectionsJson, 'third', { placement: 0 })).toBe('conflict')
})
