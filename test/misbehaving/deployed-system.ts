import { spawn, type ChildProcess } from 'node:child_process'
import { randomInt } from 'node:crypto'
import { mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { WorkerStandIn } from '../../stand-ins'
import { operatorDocument } from '../platform-fixture'
import { until } from '../until'

export type Role = 'control' | 'entry' | 'agent'
export interface Endpoint { readonly role: Role, readonly port: number }

/** Every HTTP server that others can reach. */
export const endpoints = {
  clients: { role: 'entry', port: 8521 },
  readiness: { role: 'entry', port: 8523 },
  api: { role: 'entry', port: 7001 },
  operators: { role: 'control', port: 8526 },
  metrics: { role: 'control', port: 9464 },
  workers: { role: 'agent', port: 8527 }
} as const satisfies Readonly<Record<string, Endpoint>>

/** The heap of the smallest host's processes is larger; a smaller one shows the same failures with smaller crowds. */
const HEAP_FLAGS = ['--max-old-space-size=64', '--max-semi-space-size=2']
/** Memory of the host in the settings, which lowers the limits as the heap is lower. */
const MEMORY_MEGABYTES = 96
/** Open files allowed to each process. */
const MAX_DESCRIPTORS = 512
/** Another build than the current one shows which tests fail on it. */
const PROGRAM = process.env.PROGRAM ?? 'dist/bramleyflow.cjs'
const SAMPLE_MILLISECONDS = 20

const job = { spec: '30', phases: [{ count: 1, cpu: 1_000, mem_mb: 100, gpu: 1, estimate_ms: 50 }] }

/** Highest values of a process that were seen. */
export interface Usage { anonymousMegabytes: number, descriptors: number }

/** One process of each role of the built program, with a stand-in worker in this process. */
export class DeployedSystem {
  readonly ip = `127.${randomInt(64, 250)}.${randomInt(1, 250)}.${randomInt(1, 250)}`
  private readonly folder = mkdtempSync(join(tmpdir(), 'bramleyflow-'))
  private readonly processes = new Map<Role, ChildProcess>()
  private readonly heartbeat: NodeJS.Timeout

  private constructor (private readonly worker: WorkerStandIn) {
    this.heartbeat = setInterval(() => { void this.send('workers', 'POST', `/instances/${worker.name}/heartbeat`, worker.heartbeat({})) }, 500)
  }

  static async create (): Promise<DeployedSystem> {
    const system = new DeployedSystem(await WorkerStandIn.create('i-1'))
    for (const role of ['control', 'entry', 'agent'] as const) system.start(role)
    await until(async () => (await system.send('operators', 'POST', '/config/replace', operatorDocument(1))).status === 200)
    await until(async () => (await system.send('clients', 'POST', '/proofs/0000000000000001', job)).status === 200)
    return system
  }

  async close (): Promise<void> {
    clearInterval(this.heartbeat)
    for (const [role, child] of this.processes) if (this.isAlive(role)) await this.kill(child)
    await this.worker.close()
    rmSync(this.folder, { recursive: true })
  }

  /** Starts the process of a role again where it has ended, or if it is to be replaced. */
  async revive (role: Role, replace: boolean): Promise<void> {
    if (replace && this.isAlive(role)) await this.kill(this.processes.get(role)!)
    if (!this.isAlive(role)) this.start(role)
    await until(async () => (await this.send('readiness', 'GET', '/readyz')).status === 200)
    await until(async () => (await this.send('operators', 'GET', '/config/read')).status === 200)
  }

  isAlive (role: Role): boolean {
    const child = this.processes.get(role)
    return child !== undefined && child.exitCode === null && child.signalCode === null
  }

  /** Samples the usage of a process until the returned function is called. */
  watch (role: Role): () => Usage {
    const highest: Usage = { anonymousMegabytes: 0, descriptors: 0 }
    const sample = (): void => {
      if (!this.isAlive(role)) return
      const process = `/proc/${this.processes.get(role)!.pid!}`
      const [, kilobytes] = /^RssAnon:\s+(\d+)/m.exec(readFileSync(`${process}/status`, 'utf8')) ?? []
      highest.anonymousMegabytes = Math.max(highest.anonymousMegabytes, Number(kilobytes ?? 0) / 1_024)
      highest.descriptors = Math.max(highest.descriptors, readdirSync(`${process}/fd`).length)
    }
    const timer = setInterval(sample, SAMPLE_MILLISECONDS)
    return () => { clearInterval(timer); sample(); return highest }
  }

  async submit (identifier: string): Promise<number> {
    return (await this.send('clients', 'POST', `/proofs/${identifier}`, job)).status
  }

  async stateOf (identifier: string): Promise<string | undefined> {
    return (await this.send('clients', 'GET', `/proofs/${identifier}`)).body?.state
  }

  /** Sends one request on a connection of its own; status 0 where there is no answer within two seconds. */
  async send (endpoint: keyof typeof endpoints, method: string, path: string, body?: object): Promise<{ status: number, body: any }> {
    const text = body === undefined ? '' : JSON.stringify(body)
    return await new Promise((resolve) => {
      const fail = (): void => { resolve({ status: 0, body: undefined }) }
      const outgoing = request({
        host: this.ip, port: endpoints[endpoint].port, method, path, agent: false, timeout: 2_000, headers: { host: 'proofs.example', authorization: 'Token key-of-one', 'content-type': 'application/json', 'content-length': text.length }
      }, (incoming) => {
        let received = ''
        incoming.on('data', (part) => { received += String(part) }).on('error', fail)
        incoming.on('end', () => { resolve({ status: incoming.statusCode ?? 0, body: received.startsWith('{') ? JSON.parse(received) : undefined }) })
      })
      outgoing.on('error', fail).on('timeout', () => { fail(); outgoing.destroy() }).end(text)
    })
  }

  private async kill (child: ChildProcess): Promise<void> {
    const ended = new Promise((resolve) => { child.once('exit', resolve) })
    child.kill('SIGKILL')
    await ended
  }

  private start (role: Role): void {
    const { ip, folder } = this
    const address = (endpoint: keyof typeof endpoints): string => `${ip}:${endpoints[endpoint].port}`
    const data = join(folder, 'data')
    mkdirSync(data, { recursive: true })
    const fields: Readonly<Record<Role, object>> = {
      control: { operators: address('operators'), folder: data, folderMegabytes: 128 },
      entry: { clients: address('clients'), readiness: address('readiness') },
      agent: { workers: address('workers') }
    }
    const deployment = { ip, innerPorts: [7_000, 7_015], seeds: [address('operators')], founding: true, hostsLostAtOnce: 0, memoryMegabytes: MEMORY_MEGABYTES, descriptors: MAX_DESCRIPTORS, ...fields[role] }
    const settings = join(folder, `${role}.json`)
    writeFileSync(settings, JSON.stringify({ host: role, roles: [role], region: 'r', dataCentre: 'a', logLevel: 'warn', deployment }))
    const command = [process.execPath, ...HEAP_FLAGS, PROGRAM, 'serve', '--settings', settings]
    const output = process.env.SHOW_OUTPUT === undefined ? 'ignore' : 'inherit'
    this.processes.set(role, spawn('sh', ['-c', `ulimit -n ${MAX_DESCRIPTORS}; exec "$0" "$@"`, ...command], { stdio: ['ignore', output, output] }))
  }
}
