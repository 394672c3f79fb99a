import { spawn, type ChildProcess } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { createConnection, createServer, type Server, type Socket } from 'node:net'
import { createInterface } from 'node:readline'
import * as grpc from '@grpc/grpc-js'
import { ControlHost } from '../src/control/index'
import { AgentMessage, ControlClient, ControlMessage, type ConfigurationUpdate, type EntryMessage } from '../src/wire/index'

/** Clock ticks per second in /proc. */
const TICKS_PER_SECOND = 100

/** Memory of a process, in kilobytes. */
export interface Memory {
  readonly resident: number
  readonly proportional: number
  readonly anonymous: number
}

/**
 * Reads the processor time of a process.
 * @param pid - the process id
 * @returns milliseconds of processor time
 */
export function processorMilliseconds (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
  return (Number(fields[11]) + Number(fields[12])) * 1_000 / TICKS_PER_SECOND
}

/**
 * Reads the memory of a process.
 * @param pid - the process id
 * @returns kilobytes
 */
export function readMemory (pid: number): Memory {
  const rollup = readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8')
  const field = (name: string): number => Number(new RegExp(`^${name}:\\s+(\\d+) kB`, 'm').exec(rollup)?.[1] ?? 0)
  return { resident: field('Rss'), proportional: field('Pss'), anonymous: field('Anonymous') }
}

/** A child process that prints JSON lines. */
export class JsonLinesChild {
  private readonly lines: unknown[] = []
  private onLine: () => void = () => {}

  private constructor (private readonly child: ChildProcess) {
    createInterface({ input: child.stdout! }).on('line', (line) => {
      if (line.startsWith('{')) this.lines.push(JSON.parse(line))
      this.onLine()
    })
  }

  static start (command: string, parameters: readonly string[]): JsonLinesChild {
    return new JsonLinesChild(spawn(command, parameters, { stdio: ['pipe', 'pipe', 'inherit'] }))
  }

  get pid (): number { return this.child.pid! }

  send (message: object): void { this.child.stdin!.write(`${JSON.stringify(message)}\n`) }

  async next<Line> (): Promise<Line> {
    while (this.lines.length === 0) await new Promise<void>((resolve) => { this.onLine = resolve })
    return this.lines.shift() as Line
  }

  async stop (): Promise<void> {
    if (this.child.exitCode !== null) return
    await new Promise((resolve) => { this.child.once('exit', resolve); this.child.kill('SIGKILL') })
  }
}

/** A TCP proxy that counts bytes to (`up`) and from (`down`) the target. */
export class CountingProxy {
  up = 0
  down = 0
  private server!: Server

  static async create (target: string): Promise<CountingProxy> {
    const proxy = new CountingProxy()
    const [host, port] = target.split(':')
    proxy.server = createServer((client: Socket) => {
      const upstream = createConnection(Number(port), host)
      client.on('data', (data) => { proxy.up += data.length; upstream.write(data) })
      upstream.on('data', (data) => { proxy.down += data.length; client.write(data) })
      for (const [one, other] of [[client, upstream], [upstream, client]] as const) one.on('close', () => other.destroy()).on('error', () => other.destroy())
    })
    await new Promise<void>((resolve) => { proxy.server.listen(0, '127.0.0.1', resolve) })
    return proxy
  }

  get address (): string { return `127.0.0.1:${(this.server.address() as { port: number }).port}` }
  close (): void { this.server.close() }
}

/** Child process: a control host that founds a cluster of one. */
export async function runControl (address: string, folder: string): Promise<void> {
  const created = await ControlHost.create({ host: 'one', address, folder, voters: [address], log: (event) => { if (event === 'leading') process.stdout.write('{"leading":true}\n') } })
  if (created.isErr()) throw created.error
  created.value.start()
}

interface SimulatedAgent {
  readonly write: (message: AgentMessage) => void
  configurationNumber: number
}

const separateConnections = { 'grpc.use_local_subchannel_pool': 1 }

/** Child process: simulated agents and entries, each with its own connection, that report when each update arrives. */
export async function runSimulatedStreams (address: string, from: number, count: number, entries: number): Promise<void> {
  const agents = Array.from({ length: count }, (_, position) => startSimulatedAgent(address, from + position))
  for (let position = 0; position < entries; position++) startSimulatedEntry(address, position)
  setInterval(() => {
    for (const agent of agents) agent.write(AgentMessage.fromPartial({ message: { $case: 'heartbeat', value: { inForce: agent.configurationNumber } } }))
  }, 1_000)
  await new Promise(() => {})
}

function reportUpdate (number: number, bytes: number): void {
  process.stdout.write(`${JSON.stringify({ number, at: performance.timeOrigin + performance.now(), bytes })}\n`)
}

function startSimulatedAgent (address: string, position: number): SimulatedAgent {
  const client = new ControlClient(address, grpc.credentials.createInsecure(), separateConnections)
  const call = client.attach()
  const agent: SimulatedAgent = { configurationNumber: 0, write: (message) => { call.write(message) } }
  call.on('error', () => {})
  call.on('data', (message: ControlMessage) => {
    if (message.message?.$case !== 'update') return
    agent.configurationNumber = message.message.value.number
    reportUpdate(agent.configurationNumber, ControlMessage.encode(message).finish().length)
  })
  const worker = `worker-${position}`
  agent.write(AgentMessage.fromPartial({ message: { $case: 'announce', value: { worker, incarnation: `${worker}-a`, region: 'one', dataCentre: 'one', rack: `rack-${Math.floor(position / 8)}`, accelerators: 8, slots: 8, processors: 64, memoryMegabytes: 131_072 } } }))
  return agent
}

function startSimulatedEntry (address: string, position: number): void {
  const client = new ControlClient(address, grpc.credentials.createInsecure(), separateConnections)
  const call = client.follow()
  let number = 0
  call.on('error', () => {})
  call.on('data', (update: ConfigurationUpdate) => {
    if (update.number === number) return
    number = update.number
    reportUpdate(number, update.sectionsJson.length)
    call.write({ entry: `entry-${position}`, inForce: number, relay: '' } satisfies EntryMessage)
  })
}
