import { createHash } from 'node:crypto'
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PlatformStandIn, TargetStandIn } from '../stand-ins/index'

/** One worker of the demo: its stand-ins and its agent's process. */
export interface DemoWorker {
  readonly name: string
  readonly platform: PlatformStandIn
  readonly target: TargetStandIn
  agent: ChildProcess
}

/** A process of the system with the address it serves. */
export interface DemoProcess {
  readonly name: string
  readonly address: string
  /** Where a control host serves its metrics. */
  readonly metrics?: string
  child: ChildProcess
}

/** A process or the agent of a worker. */
interface Startable {
  readonly name: string
  child?: ChildProcess
  agent?: ChildProcess
}

const BINARY = 'dist/bramleyflow'
export const WORKERS = 10
const WORKERS_PER_RACK = 3
const DATA_CENTRES = ['phu-hoi', 'vy-da', 'thuan-hoa']
export const OPERATOR_TOKEN = 'demo-operator'

/** @returns the demo's token of a client account. */
export function accountToken (account: string): string {
  return `demo-${account}`
}

/** @returns the digest of a token as the document holds it. */
export function tokenDigest (token: string): string {
  return createHash('sha256').update(token).digest('hex')
}

/** Ports below those that the system hands out by itself, so that no other program gets one between the look and the use. */
const PORTS = { first: 10_000, count: 20_000 }

/** @returns ports that were free a moment ago. */
async function freePorts (count: number): Promise<number[]> {
  const free = new Set<number>()
  while (free.size < count) {
    const port = PORTS.first + Math.floor(Math.random() * PORTS.count)
    if (await isFree(port)) free.add(port)
  }
  return [...free]
}

function isFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, '127.0.0.1', () => { server.close(() => { resolve(true) }) })
  })
}

/** The processes and stand-ins of the demo on the loopback address. */
export class Cluster {
  readonly controls: DemoProcess[] = []
  readonly entries: DemoProcess[] = []
  readonly workers: DemoWorker[] = []
  /** Exit codes of the processes that were restarted. */
  readonly stops: number[] = []
  readonly folder = mkdtempSync(join(tmpdir(), 'bramleyflow-demo-'))

  private constructor (private readonly binaryOf: (name: string) => string) {}

  /**
   * Starts 3 control processes, 2 entries and 10 agents with stand-ins.
   * @param binaryOf - the binary that a process of this name runs, asked at each start
   * @returns the running cluster
   */
  static async create (binaryOf: (name: string) => string = () => BINARY): Promise<Cluster> {
    const cluster = new Cluster(binaryOf)
    const addresses = (await freePorts(8)).map((port) => `127.0.0.1:${port}`)
    const voters = addresses.slice(0, 3)
    voters.forEach((address, position) => {
      const folder = join(cluster.folder, `data-${position}`)
      const metrics = addresses[5 + position]
      const control = { address, folder, voters, metrics }
      cluster.controls.push({ ...cluster.launch(`control-${position}`, address, { roles: ['control'], control }, position), metrics })
    })
    addresses.slice(3, 5).forEach((address, position) => {
      const entry = { address, bootstrapTokenDigest: tokenDigest(OPERATOR_TOKEN) }
      cluster.entries.push(cluster.launch(`entry-${position}`, address, { roles: ['entry'], controlHosts: voters, entry }, position))
    })
    for (let position = 0; position < WORKERS; position++) await cluster.addWorker(position, voters)
    return cluster
  }

  /** Ends a process at once, as a failing host does. */
  end (process: { child?: ChildProcess, agent?: ChildProcess }): void {
    (process.child ?? process.agent)?.kill('SIGKILL')
  }

  /** Stops a process gracefully and starts it again with the same settings. */
  async restart (process: Startable): Promise<void> {
    const child = process.child ?? process.agent
    if (child === undefined) return
    await stopChild(child)
    this.stops.push(child.exitCode ?? -1)
    this.replace(process)
  }

  private replace (process: Startable): void {
    const next = this.run(process.name)
    if (process.child === undefined) process.agent = next
    else process.child = next
  }

  /** Ends a process at once and starts it again after a time, in milliseconds; its data and its target stay. */
  async crash (process: Startable, after: number): Promise<void> {
    const child = process.child ?? process.agent
    child?.kill('SIGKILL')
    await new Promise((resolve) => { setTimeout(resolve, after) })
    this.replace(process)
  }

  /** Holds a process up for a time, in milliseconds: to all others it is silent, and it does not know. */
  async freeze (process: Startable, milliseconds: number): Promise<void> {
    const child = process.child ?? process.agent
    child?.kill('SIGSTOP')
    await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
    child?.kill('SIGCONT')
  }

  /** A whole worker host fails: agent, platform and target. */
  async loseWorker (worker: DemoWorker): Promise<void> {
    worker.agent.kill('SIGKILL')
    await Promise.all([worker.platform.close(), worker.target.close()])
  }

  /** Stops everything gracefully, callers' side first, so that the last reports still find a leader; removes the data. */
  async stop (): Promise<void> {
    const children = [this.entries.map((one) => one.child), this.workers.map((one) => one.agent), this.controls.map((one) => one.child)]
    for (const group of children) await Promise.all(group.map((child) => stopChild(child)))
    await Promise.all(this.workers.flatMap((worker) => [worker.platform.close(), worker.target.close()]))
    if (process.env.BRAMLEYFLOW_DEMO_KEEP === undefined) rmSync(this.folder, { recursive: true, force: true })
    else console.log(`kept ${this.folder}`)
  }

  private async addWorker (position: number, controlHosts: string[]): Promise<void> {
    const [platform, target] = await Promise.all([PlatformStandIn.create(0, 8), TargetStandIn.create(0)])
    const name = `worker-${position}`
    const rackNumber = Math.floor(position / WORKERS_PER_RACK)
    const agent = {
      worker: name,
      rack: `rack-${rackNumber}`,
      accelerators: 8,
      slots: 8,
      processors: 64,
      memoryMegabytes: 131_072,
      platform: platform.url,
      target: target.url,
      connections: 64,
      stopDeadlineSeconds: 2
    }
    const { child } = this.launch(name, '', { roles: ['agent'], controlHosts, agent }, rackNumber)
    this.workers.push({ name, platform, target, agent: child })
  }

  private launch (name: string, address: string, settings: object, position: number): DemoProcess {
    const file = join(this.folder, `${name}.json`)
    mkdirSync(this.folder, { recursive: true })
    const dataCentre = DATA_CENTRES[position % DATA_CENTRES.length]
    writeFileSync(file, JSON.stringify({ host: name, region: 'hue', dataCentre, ...settings }, undefined, 2))
    return { name, address, child: this.run(name) }
  }

  private run (name: string): ChildProcess {
    const child = spawn(this.binaryOf(name), ['serve', '--settings', join(this.folder, `${name}.json`)], { stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this.folder, `${name}.log`), { flags: 'a' })
    child.stdout?.pipe(log)
    child.stderr?.pipe(log)
    return child
  }
}

async function stopChild (child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return
  await new Promise<void>((resolve) => {
    const force = setTimeout(() => child.kill('SIGKILL'), 8_000)
    child.once('exit', () => { clearTimeout(force); resolve() })
    child.kill('SIGTERM')
  })
}

/** The document of the demo, as far as it reads it. */
export interface DemoDocument {
  readonly clientAccounts: ReadonlyArray<{ readonly name: string }>
  readonly [section: string]: unknown
}

/** The example document, with the demo's tokens in place of the example's. */
export function demoDocument (): DemoDocument {
  const document = JSON.parse(readFileSync('examples/song-huong.json', 'utf8')) as Record<string, any>
  const clientAccounts = document.clientAccounts.map((account: { name: string }) => ({ ...account, queuedJobs: 5_000, tokens: [tokenDigest(accountToken(account.name))] }))
  const teams = [{ name: 'operators', sections: ['clientAccounts', 'guarantees', 'jobs', 'limits', 'placement', 'maintenance', 'teams'], tokens: [tokenDigest(OPERATOR_TOKEN)] }]
  return { ...document, clientAccounts, teams }
}
