import { build } from 'esbuild'
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, rm } from 'node:fs/promises'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { afterEach, expect, test } from 'vitest'

/** How many values each successive leader acknowledges before it is killed. */
const VALUES_PER_LEADER = [31, 4, 12, 26, 1, 40, 8, 19]

interface Host {
  readonly slot: number
  process?: ChildProcess
  /** Resolves when all output of the process has been read. */
  outputEnded?: Promise<void>
  leads: boolean
}

const cleanups: Array<() => Promise<void>> = []
afterEach(async () => { for (const cleanup of cleanups.splice(0).reverse()) await cleanup() })

async function freePort (): Promise<number> {
  return await new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as { port: number }
      server.close(() => { resolve(port) })
    })
  })
}

async function sleep (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** Replica processes with data folders on disk, and the values they reported. */
class Processes {
  readonly hosts: Host[]
  readonly acknowledged: string[] = []
  /** Values committed at the latest leader when it was elected, and the values acknowledged before. */
  committedByLastLeader: string[] = []
  acknowledgedBeforeLastLeader: string[] = []

  private constructor (private readonly folder: string, private readonly program: string, private readonly addresses: readonly string[]) {
    this.hosts = addresses.map((_, slot) => ({ slot, leads: false }))
  }

  static async create (count: number): Promise<Processes> {
    const folder = await mkdtemp(join(tmpdir(), 'bramleyflow-'))
    cleanups.push(async () => { await rm(folder, { recursive: true }) })
    const program = `dist/tools/agreement-process-${process.pid}.mjs`
    cleanups.push(async () => { await rm(program) })
    await build({ entryPoints: ['test/agreement-process.ts'], outfile: program, bundle: true, platform: 'node', format: 'esm', packages: 'external' })
    const addresses: string[] = []
    for (let slot = 0; slot < count; slot++) addresses.push(`127.0.0.1:${await freePort()}`)
    const processes = new Processes(folder, program, addresses)
    cleanups.push(async () => { await Promise.all(processes.hosts.map(async (host) => { await processes.kill(host) })) })
    return processes
  }

  startAll (): void {
    for (const host of this.hosts) if (host.process === undefined) this.start(host)
  }

  private start (host: Host): void {
    const { slot } = host
    const child = spawn(process.execPath, [this.program, join(this.folder, String(slot)), this.addresses[slot] ?? '', this.addresses.join(',')], {
      stdio: ['ignore', 'pipe', 'inherit']
    })
    host.process = child
    const lines = createInterface({ input: child.stdout }).on('line', (line) => { this.onOutputLine(host, child, line) })
    host.outputEnded = new Promise((resolve) => { lines.once('close', resolve) })
  }

  private onOutputLine (host: Host, child: ChildProcess, line: string): void {
    const [kind, ...values] = line.split(' ')
    if (kind === 'committed') this.acknowledged.push(...values)
    if (kind !== 'leader' || host.process !== child) return
    for (const other of this.hosts) other.leads = other === host
    this.committedByLastLeader = values
    this.acknowledgedBeforeLastLeader = [...this.acknowledged]
  }

  async kill (host: Host): Promise<void> {
    const { process: child } = host
    host.process = undefined
    host.leads = false
    child?.kill('SIGKILL')
    await host.outputEnded
  }

  async leader (): Promise<Host> {
    for (;;) {
      const leader = this.hosts.find((host) => host.leads)
      if (leader !== undefined) return leader
      await sleep(5)
    }
  }
}

test.each([1, 3])('no acknowledged value is lost when the leader of %i processes is killed repeatedly', async (count) => {
  const processes = await Processes.create(count)
  for (const values of VALUES_PER_LEADER) {
    processes.startAll()
    const leader = await processes.leader()
    const target = processes.acknowledged.length + values
    while (processes.acknowledged.length < target) await sleep(1)
    await processes.kill(leader)
  }
  for (const host of processes.hosts) await processes.kill(host)
  processes.startAll()
  await processes.leader()
  const committed = new Set(processes.committedByLastLeader)
  expect(processes.acknowledgedBeforeLastLeader.filter((value) => !committed.has(value))).toEqual([])
  expect(committed.size).toBe(processes.committedByLastLeader.length)
  expect(processes.acknowledgedBeforeLastLeader.length).toBeGreaterThan(100)
})
