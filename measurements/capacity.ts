// Prints the slopes from which docs/CAPACITY.md is calculated. `npm run capacity` runs all parts;
// `npm run capacity -- state agent leader push` runs only the parts named.
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import * as grpc from '@grpc/grpc-js'
import { PlatformStandIn, TargetStandIn } from '../stand-ins/index'
import { ControlClient, type ConfigurationReply, type PutConfigurationRequest } from '../src/wire/index'
import { CountingProxy, JsonLinesChild, processorMilliseconds, readMemory, runControl, runSimulatedStreams } from './capacity-processes'
import { measureFullSize, measureStateSlopes } from './capacity-state'

const OWN_BUNDLE = 'dist/tools/capacity.mjs'
const PROGRAM_BUNDLE = 'dist/bramleyflow.cjs'
const IDLE_SECONDS = 20
const BUSY_SECONDS = 20
const LEADER_SECONDS = 10
const STREAMS_PER_PROCESS = 325
const FULL_STREAMS = 1_300
const ENTRIES = 6
const CONFIGURATION_CHANGES = 40

function sleep (seconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, seconds * 1_000))
}

function freeAddress (): Promise<string> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as { port: number }
      server.close(() => { resolve(`127.0.0.1:${port}`) })
    })
  })
}

function printTable (title: string, rows: object): void {
  console.log(`\n${title}`)
  for (const [name, value] of Object.entries(rows)) console.log(`  ${name.padEnd(34)} ${typeof value === 'number' ? Number(value.toPrecision(4)) : JSON.stringify(value)}`)
}

/** A control host in a child process, with a client. */
class ControlProcess {
  private constructor (readonly address: string, readonly child: JsonLinesChild, readonly client: ControlClient, private readonly folder: string) {}

  static async start (): Promise<ControlProcess> {
    const address = await freeAddress()
    const folder = mkdtempSync(join(tmpdir(), 'bramleyflow-capacity-'))
    const child = JsonLinesChild.start(process.execPath, [OWN_BUNDLE, 'control', address, folder])
    await child.next()
    return new ControlProcess(address, child, new ControlClient(address, grpc.credentials.createInsecure()), folder)
  }

  put (identifier: string, section: string, number: number, content: object): Promise<ConfigurationReply> {
    const request: PutConfigurationRequest = { team: 'capacity', requestIdentifier: identifier, read: [{ section, number }], sectionsJson: JSON.stringify({ [section]: content }) }
    return new Promise((resolve, reject) => {
      this.client.putConfiguration(request, (error, reply) => { if (error === null) resolve(reply); else reject(error) })
    })
  }

  async stop (): Promise<void> {
    this.client.close()
    await this.child.stop()
    rmSync(this.folder, { recursive: true, force: true })
  }
}

const account = { name: 'capacity', share: 1 }

async function measureAgent (): Promise<void> {
  const control = await ControlProcess.start()
  const proxy = await CountingProxy.create(control.address)
  const platform = await PlatformStandIn.create()
  const target = await TargetStandIn.create()
  const folder = mkdtempSync(join(tmpdir(), 'bramleyflow-capacity-'))
  const settings = join(folder, 'agent.json')
  writeFileSync(settings, JSON.stringify({
    host: 'worker-1',
    region: 'one',
    dataCentre: 'one',
    roles: ['agent'],
    controlHosts: [proxy.address],
    logLevel: 'error',
    agent: { worker: 'worker-1', rack: 'rack-1', accelerators: 8, processors: 64, memoryMegabytes: 131_072, platform: platform.url, target: target.url }
  }))
  const agent = JsonLinesChild.start(process.execPath, [PROGRAM_BUNDLE, 'serve', '--settings', settings])
  await control.put('first', 'clientAccounts', 0, [account])
  await sleep(5)
  printTable('One agent, idle', await measureProcess(agent.pid, proxy, IDLE_SECONDS))
  const before = processorMilliseconds(agent.pid)
  for (let position = 0; position < 8; position++) submit(control, `job-${position}`)
  await sleep(5)
  console.log(`  tasks running at the platform      ${platform.taskRuns.filter((record) => record.endedAt === 0).length}`)
  console.log(`  processor time to start 8 tasks    ${processorMilliseconds(agent.pid) - before} ms in 5 s`)
  printTable('One agent with 8 tasks', await measureProcess(agent.pid, proxy, BUSY_SECONDS))
  await agent.stop()
  await control.stop()
  await platform.close()
  await target.close()
  proxy.close()
  rmSync(folder, { recursive: true })
}

function submit (control: ControlProcess, identifier: string): void {
  const shape = { workers: 1, accelerators: 1, slots: 1, processors: 1, memoryMegabytes: 256, within: 'worker' }
  const body = Buffer.from(JSON.stringify({ milliseconds: 120_000, text: 'x' }))
  const job = { identifier, account: 'capacity', kind: 'job', shape, idempotent: false, checkpointable: false, urgency: 'normal', deadline: 0, declaredSeconds: 120, payload: { contentType: 'application/json', body, digest: Buffer.alloc(0) } }
  control.client.submit({ job, wait: false }).on('error', () => {}).on('data', ({ refusal }) => { if (refusal !== undefined) console.log(`  refused: ${JSON.stringify(refusal)}`) })
}

async function measureProcess (pid: number, proxy: CountingProxy, seconds: number): Promise<object> {
  const processor = processorMilliseconds(pid)
  const { up, down } = proxy
  await sleep(seconds)
  const memory = readMemory(pid)
  return {
    'core percent': (processorMilliseconds(pid) - processor) / seconds / 10,
    'bytes a second to control': (proxy.up - up) / seconds,
    'bytes a second from control': (proxy.down - down) / seconds,
    'resident kB': memory.resident,
    'proportional kB': memory.proportional,
    'anonymous kB': memory.anonymous
  }
}

function startStreams (address: string, count: number, entries: number): JsonLinesChild[] {
  const children: JsonLinesChild[] = []
  for (let from = 0; from < count; from += STREAMS_PER_PROCESS) {
    const part = Math.min(STREAMS_PER_PROCESS, count - from)
    children.push(JsonLinesChild.start(process.execPath, [OWN_BUNDLE, 'streams', address, String(from), String(part), from === 0 ? String(entries) : '0']))
  }
  return children
}

async function measureLeader (): Promise<void> {
  const rows: Array<{ streams: number, corePercent: number }> = []
  for (const streams of [0, 100, 300, 1_000]) {
    const control = await ControlProcess.start()
    await control.put('first', 'clientAccounts', 0, [account])
    const children = startStreams(control.address, streams, 0)
    await sleep(streams === 0 ? 2 : 6)
    const processor = processorMilliseconds(control.child.pid)
    await sleep(LEADER_SECONDS)
    const corePercent = (processorMilliseconds(control.child.pid) - processor) / LEADER_SECONDS / 10
    printTable(`Leader with ${streams} agent streams, a heartbeat a second each`, { 'core percent': corePercent, ...readMemory(control.child.pid) })
    rows.push({ streams, corePercent })
    for (const child of children) await child.stop()
    await control.stop()
  }
  const [baseline, , , largest] = rows
  printTable('Leader, slope', { 'microseconds per heartbeat': (largest!.corePercent - baseline!.corePercent) * 10_000 / largest!.streams })
}

interface Arrival { readonly number: number, readonly at: number, readonly bytes: number }

async function measurePush (): Promise<void> {
  const control = await ControlProcess.start()
  const children = startStreams(control.address, FULL_STREAMS, ENTRIES)
  const arrivals: Arrival[] = []
  for (const child of children) void (async () => { for (;;) arrivals.push(await child.next<Arrival>()) })()
  await control.put('first', 'clientAccounts', 0, [account])
  await sleep(10)
  for (const section of ['placement', 'limits']) await measureSection(control, section, arrivals)
  for (const child of children) await child.stop()
  await control.stop()
}

async function measureSection (control: ControlProcess, section: string, arrivals: Arrival[]): Promise<void> {
  const delays: number[] = []
  const bytes: number[] = []
  let missing = 0
  let number = 0
  const idleShare = await measureIdleShare(control)
  const before = processorMilliseconds(control.child.pid)
  const startedAt = performance.now()
  for (let change = 0; change < CONFIGURATION_CHANGES; change++) {
    arrivals.length = 0
    const at = performance.timeOrigin + performance.now()
    const content = section === 'limits' ? { attemptsPerJob: 1 + change } : { fragmentationWeight: (1 + change) / 100 }
    number = (await control.put(`${section}-${change}`, section, number, content)).number
    const received = await waitForArrivals(arrivals, number, at)
    missing += FULL_STREAMS + ENTRIES - received.length
    delays.push(...received.map((arrival) => arrival.at - at))
    bytes.push(...received.map((arrival) => arrival.bytes))
  }
  delays.sort((one, other) => one - other)
  const quantile = (share: number): number => delays[Math.min(delays.length - 1, Math.floor(delays.length * share))] ?? NaN
  printTable(`A change of ${section} to ${FULL_STREAMS} agent streams and ${ENTRIES} entries, ${CONFIGURATION_CHANGES} changes, from the writer's call`, {
    'p50 ms': quantile(0.5),
    'p99 ms': quantile(0.99),
    'worst ms': delays.at(-1),
    'not arrived within 5 s': missing,
    'bytes per agent and change, median': bytes.sort((one, other) => one - other)[Math.floor(bytes.length / 2)],
    'leader ms of processor per change': (processorMilliseconds(control.child.pid) - before - idleShare * (performance.now() - startedAt)) / CONFIGURATION_CHANGES
  })
}

/** Measures the share of a core that the leader uses for heartbeats alone. */
async function measureIdleShare (control: ControlProcess): Promise<number> {
  const before = processorMilliseconds(control.child.pid)
  await sleep(LEADER_SECONDS)
  return (processorMilliseconds(control.child.pid) - before) / LEADER_SECONDS / 1_000
}

async function waitForArrivals (arrivals: readonly Arrival[], number: number, since: number): Promise<Arrival[]> {
  for (;;) {
    const came = arrivals.filter((arrival) => arrival.number === number)
    if (came.length >= FULL_STREAMS + ENTRIES || performance.timeOrigin + performance.now() - since > 5_000) return came
    await sleep(0.1)
  }
}

const parts: { readonly [part: string]: () => Promise<void> } = {
  state: async () => {
    printTable('State, log and record, bytes', measureStateSlopes())
    for (const ended of [63, 20_000]) printTable(`State of 1,300 workers, 5,700 running and ${ended} ended jobs, 1,401 stored changes`, measureFullSize(ended))
  },
  agent: measureAgent,
  leader: measureLeader,
  push: measurePush
}

async function main (): Promise<void> {
  const [mode = '', ...rest] = process.argv.slice(2)
  if (mode === 'control') { await runControl(rest[0]!, rest[1]!); return }
  if (mode === 'streams') { await runSimulatedStreams(rest[0]!, Number(rest[1]), Number(rest[2]), Number(rest[3])); return }
  const wanted = process.argv.slice(2)
  for (const [name, run] of Object.entries(parts)) if (wanted.length === 0 || wanted.includes(name)) await run()
  process.exit(0)
}

await main()
