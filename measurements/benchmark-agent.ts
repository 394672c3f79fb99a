/**
 * Measures memory, processor time and control traffic of one agent process, idle and with 8 tasks, against stand-ins.
 * The agent is the built program (`npm run build` first), or the binary named by the first argument.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PlatformStandIn, TargetStandIn } from '../stand-ins/index'
import { FakeControl } from '../test/fake-control'

const SETTLE_MILLISECONDS = 4_000
const WINDOW_MILLISECONDS = 10_000
/** /proc reports processor time in ticks of 10 ms. */
const MILLISECONDS_PER_TICK = 10
const TASKS = 8
const TASK_MILLISECONDS = 600_000

interface Sample { readonly ticks: number, readonly bytes: number, readonly at: number }
interface ResourceUsage { readonly residentMegabytes: number, readonly proportionalMegabytes: number, readonly anonymousMegabytes: number, readonly processorPercent: number, readonly controlKilobytesPerSecond: number }

/** Forwards connections to a control host and counts the bytes in both directions. */
class CountingForwarder {
  bytes = 0
  private readonly sockets = new Set<Socket>()
  private constructor (private readonly server: Server) {}

  static async create (address: string): Promise<CountingForwarder> {
    const server = createServer()
    const forwarder = new CountingForwarder(server)
    server.on('connection', (socket: Socket) => { forwarder.forward(socket, address) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return forwarder
  }

  get address (): string { return `127.0.0.1:${(this.server.address() as AddressInfo).port}` }

  close (): void {
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
  }

  private forward (client: Socket, address: string): void {
    const [host, port] = address.split(':')
    const upstream = connect(Number(port), host)
    for (const [from, to] of [[client, upstream], [upstream, client]] as const) {
      this.sockets.add(from)
      from.on('data', (chunk: Buffer) => { this.bytes += chunk.length; to.write(chunk) })
      from.on('error', () => {}).on('close', () => { to.destroy() })
    }
  }
}

function startAgent (folder: string, control: string, platform: string, target: string): ChildProcess {
  const settings = {
    host: 'measured',
    roles: ['agent'],
    region: 'r',
    dataCentre: 'd',
    logLevel: 'info',
    controlHosts: [control],
    agent: { worker: 'w1', rack: 'k', accelerators: 8, slots: 8, processors: 64, memoryMegabytes: 128_000, platform, target, connections: 64, stopDeadlineSeconds: 1 }
  }
  const file = join(folder, 'agent.json')
  writeFileSync(file, JSON.stringify(settings))
  const [program, ...prefix] = process.argv[2] === undefined ? [process.execPath, 'dist/bramleyflow.cjs'] : [process.argv[2]]
  return spawn(program!, [...prefix, 'serve', '--settings', file], { stdio: ['ignore', 'ignore', 'inherit'] })
}

function readKilobytes (rollup: string, field: string): number {
  return Number(new RegExp(`^${field}:\\s+(\\d+) kB`, 'm').exec(rollup)?.[1] ?? 0)
}

function takeSample (pid: number, forwarder: CountingForwarder): Sample {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
  return { ticks: Number(fields[11]) + Number(fields[12]), bytes: forwarder.bytes, at: performance.now() }
}

async function measure (pid: number, forwarder: CountingForwarder): Promise<ResourceUsage> {
  await sleep(SETTLE_MILLISECONDS)
  const before = takeSample(pid, forwarder)
  await sleep(WINDOW_MILLISECONDS)
  const after = takeSample(pid, forwarder)
  const rollup = readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8')
  const elapsed = after.at - before.at
  const megabytes = (field: string): number => round(readKilobytes(rollup, field) / 1_024)
  return {
    residentMegabytes: megabytes('Rss'),
    proportionalMegabytes: megabytes('Pss'),
    anonymousMegabytes: megabytes('Anonymous'),
    processorPercent: round((after.ticks - before.ticks) * MILLISECONDS_PER_TICK / elapsed * 100),
    controlKilobytesPerSecond: round((after.bytes - before.bytes) / elapsed)
  }
}

async function startTasks (control: FakeControl): Promise<void> {
  for (let number = 0; number < TASKS; number++) {
    const key = { job: `long-job-${number}`, attempt: 1 }
    control.reserve(key, { acceleratorMask: 1 << number })
    const { granted, reason } = await control.reply(key)
    if (!granted) throw new Error(`refused: ${reason}`)
    control.start(key, { milliseconds: TASK_MILLISECONDS }, { checkpointable: true })
  }
}

function round (value: number): number { return Math.round(value * 100) / 100 }

async function sleep (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

const folder = mkdtempSync(join(tmpdir(), 'benchmark-agent-'))
const control = await FakeControl.create()
Object.assign(control, { leaseMilliseconds: 4_000, heartbeatMilliseconds: 1_000 })
const [platform, target] = [await PlatformStandIn.create(), await TargetStandIn.create()]
const forwarder = await CountingForwarder.create(control.address)
const agent = startAgent(folder, forwarder.address, platform.url, target.url)
try {
  await control.attached()
  console.log(JSON.stringify({ agent: 'idle', ...await measure(agent.pid!, forwarder) }))
  await startTasks(control)
  console.log(JSON.stringify({ agent: `${TASKS} tasks`, ...await measure(agent.pid!, forwarder) }))
} finally {
  agent.kill('SIGKILL')
  forwarder.close()
  control.close()
  await Promise.all([platform.close(), target.close()])
  rmSync(folder, { recursive: true })
}
