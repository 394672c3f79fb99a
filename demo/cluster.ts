import { createHash } from 'node:crypto'
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PlatformStandIn, TargetStandIn } from '../stand-ins/index'

/** A worker of the demo: an agent process with a stand-in platform and a stand-in target. */
export interface DemoWorker {
  readonly name: string
  readonly platform: PlatformStandIn
  readonly target: TargetStandIn
  agent: ChildProcess
}

/** A control or entry process. */
export interface ClusterProcess {
  readonly name: string
  readonly address: string
  /** Metrics address of a control host. */
  readonly metrics?: string
  child: ChildProcess
}

/** A control or entry process (`child`), or a worker (`agent`). */
interface RestartableProcess {
  readonly name: string
  child?: ChildProcess
  agent?: ChildProcess
}

const BINARY = 'dist/bramleyflow'
export const WORKERS = 10
const WORKERS_PER_RACK = 3
const DATA_CENTRES = ['phu-hoi', 'vy-da', 'thuan-hoa']
export const OPERATOR_TOKEN = 'demo-operator'

/** @returns the token of a client account in the demo's document. */
export function accountToken (account: string): string {
  return `demo-${account}`
}

/** @returns the digest that the document holds in place of the token. */
export function tokenDigest (token: string): string {
  return createHash('sha256').update(token).digest('hex')
}

/** Below the ephemeral port range, so that the kernel assigns none of these ports between the check and the bind. */
const PORT_RANGE = { first: 10_000, count: 20_000 }

/** @returns distinct ports that were free when checked. */
async function findFreePorts (count: number): Promise<number[]> {
  const free = new Set<number>()
  while (free.size < count) {
    const port = PORT_RANGE.first + Math.floor(Math.random() * PORT_RANGE.count)
    if (await isPortFree(port)) free.add(port)
  }
  return [...free]
}

function isPortFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, '127.0.0.1', () => { server.close(() => { resolve(true) }) })
  })
}

/** The processes and stand-ins of the demo, all on the loopback address. */
export class Cluster {
  readonly controls: ClusterProcess[] = []
  readonly entries: ClusterProcess[] = []
  readonly workers: DemoWorker[] = []
  /** Exit codes of the processes stopped by {@link restart}. */
  readonly restartExitCodes: number[] = []
  readonly folder = mkdtempSync(join(tmpdir(), 'bramleyflow-demo-'))

  private constructor (private readonly binaryFor: (name: string) => string) {}

  /**
   * Starts 3 control processes, 2 entries and 10 agents with stand-ins.
   * @param binaryFor - returns the binary for a process name; called at each start
   * @returns the running cluster
   */
  static async create (binaryOf: (name: string) => string = () => BINARY): Promise<Cluster> {
    const cluster = new Cluster(binaryOf)
    const addresses = (await findFreePorts(8)).map((port) => `127.0.0.1:${port}`)
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

  /** Kills a process with SIGKILL, as when its host fails. */
  kill (process: { child?: ChildProcess, agent?: ChildProcess }): void {
    (process.child ?? process.agent)?.kill('SIGKILL')
  }

  /** Stops a process with SIGTERM and starts it again with the same settings. */
  async restart (process: RestartableProcess): Promise<void> {
    const child = process.child ?? process.agent
    if (child === undefined) return
    await stopChild(child)
    this.restartExitCodes.push(child.exitCode ?? -1)
    this.respawn(process)
  }

  private respawn (process: RestartableProcess): void {
    const next = this.spawnProcess(process.name)
    if (process.child === undefined) process.agent = next
    else process.child = next
  }

  /** Kills a process and starts it again after a delay; its data folder and its target are kept. */
  async killAndRestart (process: RestartableProcess, delayMilliseconds: number): Promise<void> {
    const child = process.child ?? process.agent
    child?.kill('SIGKILL')
    await new Promise((resolve) => { setTimeout(resolve, delayMilliseconds) })
    this.respawn(process)
  }

  /** Suspends a process with SIGSTOP: it sends nothing and does not notice the elapsed time. */
  async pause (process: RestartableProcess, milliseconds: number): Promise<void> {
    const child = process.child ?? process.agent
    child?.kill('SIGSTOP')
    await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
    child?.kill('SIGCONT')
  }

  /** Fails a worker host: agent, platform and target together. */
  async failWorkerHost (worker: DemoWorker): Promise<void> {
    worker.agent.kill('SIGKILL')
    await Promise.all([worker.platform.close(), worker.target.close()])
  }

  /** Stops all processes gracefully: entries, then agents, then control hosts, so that the last reports still reach a leader. Removes the data. */
  async stop (): Promise<void> {
    const children = [this.entries.map(({ child }) => child), this.workers.map(({ agent }) => agent), this.controls.map(({ child }) => child)]
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

  private launch (name: string, address: string, settings: object, position: number): ClusterProcess {
    const file = join(this.folder, `${name}.json`)
    mkdirSync(this.folder, { recursive: true })
    const dataCentre = DATA_CENTRES[position % DATA_CENTRES.length]
    writeFileSync(file, JSON.stringify({ host: name, region: 'hue', dataCentre, ...settings }, undefined, 2))
    return { name, address, child: this.spawnProcess(name) }
  }

  private spawnProcess (name: string): ChildProcess {
    const child = spawn(this.binaryFor(name), ['serve', '--settings', join(this.folder, `${name}.json`)], { stdio: ['ignore', 'pipe', 'pipe'] })
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

/** The sections of the document that the demo reads. */
export interface DemoDocument {
  readonly clientAccounts: ReadonlyArray<{ readonly name: string }>
  readonly [section: string]: unknown
}

/** Reads the example document and replaces its tokens by the demo's. */
export function demoDocument (): DemoDocument {
  const document = JSON.parse(readFileSync('examples/song-huong.json', 'utf8')) as Record<string, any>
  const clientAccounts = document.clientAccounts.map((account: { name: string }) => ({ ...account, queuedJobs: 5_000, tokens: [tokenDigest(accountToken(account.name))] }))
  const teams = [{ name: 'operators', sections: ['clientAccounts', 'guarantees', 'jobs', 'limits', 'placement', 'maintenance', 'teams'], tokens: [tokenDigest(OPERATOR_TOKEN)] }]
  return { ...document, clientAccounts, teams }
}
