import { mkdtemp, rm } from 'node:fs/promises'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Supervisor } from '../src/agent'
import { Channels, EvacuationClient, KnownHosts, LeaderClient, QueueClient } from '../src/client'
import { ControlHost } from '../src/control'
import { HttpLimits } from '../src/http'
import { ClientServer, DocumentLimits, OperatorServer, WorkerClient, HeartbeatServer } from '../platform'
import { WorkerStandIn } from '../stand-ins'

const silent = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

export async function freePort (): Promise<number> {
  return await new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as { port: number }
      server.close(() => { resolve(port) })
    })
  })
}

/** Creates an operator document with one queue, one service and one account. */
export function operatorDocument (version: number, fields: object = {}): object {
  return {
    version,
    routes: [{ name: 'proofs', host: 'proofs.example', path_prefix: '/proofs/', kind: 'non_idempotent', timeout_ms: 3_000, target_latency_ms: 250, priority: 0, service: 'proofs', max_attempts: 2, slack_factor: 1.5, public: false }],
    services: [{ name: 'proofs', health_path: '/healthz', max_conns: 64, protocol: 'h1', tls: false, enforces_capacity: false, standby: false }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: 'one', api_keys: ['key-of-one'], priority: 1, guaranteed_gpus: { gpu: 16 } }],
    ...fields
  }
}

/** One control host, one supervisor with its worker, and the three HTTP servers of the platform adapter, in this process. */
export class PlatformFixture {
  private constructor (
    readonly folder: string, readonly worker: WorkerStandIn, readonly clientAddress: string, readonly operatorAddress: string,
    readonly workerAddress: string, private readonly cleanups: ReadonlyArray<() => Promise<unknown>>
  ) {}

  static async create (lease = 3_000): Promise<PlatformFixture> {
    const folder = await mkdtemp(join(tmpdir(), 'bramleyflow-'))
    const [control, clients, readiness, operators, workers] = await Promise.all([1, 2, 3, 4, 5].map(async () => `127.0.0.1:${await freePort()}`)) as [string, string, string, string, string]
    const host = (await ControlHost.create({ host: 'control', address: control, folder, voters: [control], workerLeaseMilliseconds: lease, log: () => {} }))._unsafeUnwrap()
    host.start()
    const channels = Channels.create()
    const leader = LeaderClient.create(KnownHosts.create([control]), channels, silent)
    const queues = QueueClient.create(leader)
    const limits = HttpLimits.create({}, silent)
    const documentLimits = DocumentLimits.create(queues)
    const client = await ClientServer.open({ address: clients, readinessAddress: readiness, limits, requestLimits: () => documentLimits.inForce, queues, ready: () => true })
    const operator = await OperatorServer.open({ address: operators, limits, queues, evacuations: EvacuationClient.create(leader) })
    const supervisor = Supervisor.create({ host: 'side', hosts: KnownHosts.create([control]), worker: WorkerClient.create(), log: () => {} })
    const heartbeatServer = await HeartbeatServer.open(workers, limits, supervisor)
    supervisor.start()
    const worker = await WorkerStandIn.create('i-1')
    return new PlatformFixture(folder, worker, clients, operators, workers, [
      () => heartbeatServer.close(), () => supervisor.stop(), () => client.close(), () => operator.close(), async () => { channels.close(); return await Promise.resolve() }, () => host.stop(), () => worker.close(), () => rm(folder, { recursive: true })
    ])
  }

  private heartbeats?: NodeJS.Timeout
  private closing = false

  async close (): Promise<void> {
    this.closing = true
    clearInterval(this.heartbeats)
    for (const close of this.cleanups) await close()
  }

  /** Calls the client API; returns status and body. */
  async call (method: string, identifier: string, body?: unknown, headers: Record<string, string> = { authorization: 'Token key-of-one' }, host = 'proofs.example'): Promise<{ status: number, body: any }> {
    return await send(`http://${this.clientAddress}/proofs/${identifier}`, method, body, { ...headers, host })
  }

  async callOperatorApi (method: string, path: string, body?: unknown): Promise<{ status: number, body: any }> {
    return await send(`http://${this.operatorAddress}${path}`, method, body, {})
  }

  async sendHeartbeat (fields: object = {}, worker = this.worker): Promise<number> {
    const beat = async (): Promise<number> => (await send(`http://${this.workerAddress}/instances/${worker.name}/heartbeat`, 'POST', worker.heartbeat(fields), {})).status
    const status = await beat()
    if (status !== 200 || worker !== this.worker) return status
    // A worker repeats its heartbeat: one whose clock stands still is lost with its lease.
    clearInterval(this.heartbeats)
    this.heartbeats = setInterval(() => { void beat().catch((error: Error) => { if (!this.closing) throw error }) }, 700)
    return status
  }
}

async function send (url: string, method: string, body: unknown, headers: Record<string, string>): Promise<{ status: number, body: any }> {
  const { request } = await import('undici')
  const text = body === undefined ? undefined : typeof body === 'string' ? body : JSON.stringify(body)
  const response = await request(url, { method: method as 'GET', body: text, headers: { 'content-type': 'application/json', ...headers } })
  const answer = await response.body.text()
  return { status: response.statusCode, body: answer === '' ? undefined : JSON.parse(answer) }
}
