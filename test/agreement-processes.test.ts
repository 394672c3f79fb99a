import { build } from 'esbuild'
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, rm } from 'node:fs/promises'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { afterEach, expect, test } from 'vitest'

/** How many values each leader acknowledges before it is ended. */
const LIFETIMES = [31, 4, 12, 26, 1, 40, 8, 19]

interface Host {
  readonly slot: number
  process?: ChildProcess
  /** Resolves when all that the process printed was taken. */
  silent?: Promise<void>
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

/** Real processes over real folders, and what they said. */
class Processes {
  readonly hosts: Host[]
  readonly acknowledged: string[] = []
  /** What the last leader had committed when it began to lead, and what had been acknowledged before. */
  last: string[] = []
  acknowledgedBefore: string[] = []

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
    cleanups.push(async () => { await Promise.all(processes.hosts.map(async (host) => { await processes.end(host) })) })
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
    const lines = createInterface({ input: child.stdout }).on('line', (line) => { this.take(host, child, line) })
    host.silent = new Promise((resolve) => { lines.once('close', resolve) })
  }

  private take (host: Host, child: ChildProcess, line: string): void {
    const [kind, ...values] = line.split(' ')
    if (kind === 'committed') this.acknowledged.push(...values)
    if (kind !== 'leader' || host.process !== child) return
    for (const other of this.hosts) other.leads = other === host
    this.last = values
    this.acknowledgedBefore = [...this.acknowledged]
  }

  async end (host: Host): Promise<void> {
    const { process: child } = host
    host.process = undefined
    host.leads = false
    child?.kill('SIGKILL')
    await host.silent
  }

  async leader (): Promise<Host> {
    for (;;) {
      const leader = this.hosts.find((host) => host.leads)
      if (leader !== undefined) return leader
      await sleep(5)
    }
  }
}

test.each([1, 3])('nothing acknowledged is missing after the leader of %i processes is ended again and again', async (count) => {
  const processes = await Processes.create(count)
  for (const lifetime of LIFETIMES) {
    processes.startAll()
    const leader = await processes.leader()
    const enough = processes.acknowledged.length + lifetime
    while (processes.acknowledged.length < enough) await sleep(1)
    await processes.end(leader)
  }
  for (const host of processes.hosts) await processes.end(host)
  processes.startAll()
  await processes.leader()
  const committed = new Set(processes.last)
  expect(processes.acknowledgedBefore.filter((value) => !committed.has(value))).toEqual([])
  expect(committed.size).toBe(processes.last.length)
  expect(processes.acknowledgedBefore.length).toBeGreaterThan(100)
})
