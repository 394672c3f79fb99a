/**
 * Measures the replicated log: `node scripts/tool.mjs measurements/benchmark-agreement.ts [changes|failover|restart|disk|idle]`.
 * Without a name all parts run. All traffic stays on the loopback address; data is written to the temporary folder.
 */
import { Server, ServerCredentials, credentials } from '@grpc/grpc-js'
import { createHistogram, performance, type RecordableHistogram } from 'node:perf_hooks'
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, readFile, readdir, rm, stat } from 'node:fs/promises'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { FolderDisk, type Disk, type DiskFile } from '../src/control/disk'
import { FRAME_HEADER_BYTES, LOG_RECORD_HEADER_BYTES, LogRecordKind } from '../src/control/log-format'
import { Replica, AgreementRole, type CommittedEntry, type ReplicaOptions } from '../src/control/replica'
import { PeerClient } from '../src/wire/index'

const ENTRY_BYTES = 200
const WRITE_PHASE_MILLISECONDS = 3000
const SLOW_SYNC_MILLISECONDS = 2
const CONCURRENT_WRITERS = 64
const FAILOVERS = 50
const RESTART_ENTRIES = 100_000
const DISK_USAGE_ENTRIES = 1_000_000
const SNAPSHOT_BYTES = 1024 * 1024
const BATCH_ENTRIES = 256
const IDLE_MILLISECONDS = 8000
const NANOSECONDS_PER_MILLISECOND = 1e6

const bundlePath = process.argv[1] === undefined ? '' : 'dist/tools/benchmark-agreement.mjs'

/** Sync behaviour of a measured disk. */
interface DiskKind {
  readonly name: string
  readonly syncMilliseconds: number
  readonly oneSyncPerEntry: boolean
}

interface Host {
  readonly replica: Replica
  readonly server: Server
  readonly address: string
  onCommit (entries: readonly CommittedEntry[]): void
  role: AgreementRole
}

function printResult (name: string, fields: object): void {
  console.log(JSON.stringify({ measure: name, ...fields }))
}

function round (value: number): number {
  return Math.round(value * 1000) / 1000
}

function percentileMilliseconds (histogram: RecordableHistogram, percentile: number): number {
  return round(histogram.percentile(percentile) / NANOSECONDS_PER_MILLISECOND)
}

async function sleep (duration: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, duration))
}

async function temporaryFolder<T> (use: (folder: string) => Promise<T>): Promise<T> {
  const folder = await mkdtemp(join(tmpdir(), 'bramleyflow-benchmark-'))
  try { return await use(folder) } finally { await rm(folder, { recursive: true }) }
}

async function freeAddress (): Promise<string> {
  return await new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as { port: number }
      server.close(() => { resolve(`127.0.0.1:${port}`) })
    })
  })
}

/** A disk with a delay per sync or, as the baseline without group commit, one sync per entry of a batch. */
class MeasuredDisk {
  static async create (folder: string, kind: DiskKind): Promise<Disk> {
    const disk = await FolderDisk.create(folder)
    const open = disk.open.bind(disk)
    disk.open = async (name) => measuredFile(await open(name), kind)
    return disk
  }
}

function measuredFile (file: DiskFile, kind: DiskKind): DiskFile {
  const sync = async (): Promise<void> => {
    await file.sync()
    if (kind.syncMilliseconds > 0) await sleep(kind.syncMilliseconds)
  }
  const append = async (data: Uint8Array): Promise<void> => {
    if (!kind.oneSyncPerEntry) { await file.append(data); return }
    const pieces = Math.max(1, countEntries(Buffer.from(data.buffer, data.byteOffset, data.byteLength)))
    const size = Math.ceil(data.length / pieces)
    for (let piece = 0; piece < pieces; piece++) {
      await file.append(data.subarray(piece * size, (piece + 1) * size))
      if (piece < pieces - 1) await sync()
    }
  }
  return { append, sync, close: async () => { await file.close() } }
}

function countEntries (frame: Buffer): number {
  let entries = 0
  for (let offset = FRAME_HEADER_BYTES; offset < frame.length; offset += LOG_RECORD_HEADER_BYTES + frame.readUInt32LE(offset + 1)) {
    if (frame.readUInt8(offset) === LogRecordKind.Entry) entries += 1
  }
  return entries
}

async function startHost (folder: string, address: string, bootstrap: readonly string[], extra: Partial<ReplicaOptions> = {}): Promise<Host> {
  const server = new Server()
  const created = await Replica.create({
    folder,
    address,
    bootstrap,
    host: address,
    server,
    onCommit: (entries) => { host.onCommit(entries) },
    onRestore: () => {},
    takeSnapshot: () => new Uint8Array(SNAPSHOT_BYTES),
    onRole: (role) => { host.role = role },
    log: () => {},
    ...extra
  })
  const host: Host = { replica: created._unsafeUnwrap(), server, address, role: AgreementRole.Learner, onCommit: () => {} }
  await new Promise<void>((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), (error) => { if (error === null) resolve(); else reject(error) })
  })
  host.replica.start()
  return host
}

async function withCluster<T> (count: number, kind: DiskKind, use: (leader: Host) => Promise<T>): Promise<T> {
  return await temporaryFolder(async (folder) => {
    const addresses = await Promise.all(Array.from({ length: count }, freeAddress))
    const hosts = await Promise.all(addresses.map(async (address, slot) => {
      const disk = await MeasuredDisk.create(join(folder, String(slot)), kind)
      return await startHost(join(folder, String(slot)), address, addresses, { disk })
    }))
    while (!hosts.some((host) => host.role === AgreementRole.Leader)) await sleep(5)
    const result = await use(hosts.find((host) => host.role === AgreementRole.Leader) as Host)
    await Promise.all(hosts.map(async (host) => { await host.replica.stop(); host.server.forceShutdown() }))
    return result
  })
}

/** Runs concurrent writers that each propose an entry as soon as their previous one is committed. */
async function runWriters (leader: Host, count: number, duration: number): Promise<{ readonly perSecond: number, readonly p50: number, readonly p99: number }> {
  const histogram = createHistogram()
  const started = new Map<number, number>()
  const begin = performance.now()
  let committed = 0
  await new Promise<void>((resolve) => {
    const propose = (): void => {
      const place = leader.replica.propose(Buffer.alloc(ENTRY_BYTES, 1))
      if (place.isOk()) started.set(place.value.index, performance.now())
    }
    leader.onCommit = (entries) => {
      const now = performance.now()
      for (const { index } of entries) {
        const at = started.get(index)
        if (at === undefined) continue
        started.delete(index)
        histogram.record(Math.max(1, Math.round((now - at) * NANOSECONDS_PER_MILLISECOND)))
        committed += 1
        if (now - begin < duration) propose()
        else if (started.size === 0) resolve()
      }
    }
    for (let writer = 0; writer < count; writer++) propose()
  })
  leader.onCommit = () => {}
  return { perSecond: Math.round(committed / (performance.now() - begin) * 1000), p50: percentileMilliseconds(histogram, 50), p99: percentileMilliseconds(histogram, 99) }
}

async function measureBareSync (kind: DiskKind): Promise<number> {
  return await temporaryFolder(async (folder) => {
    const disk = await MeasuredDisk.create(folder, kind)
    const file = await disk.open('bare')
    const histogram = createHistogram()
    const end = performance.now() + 1000
    while (performance.now() < end) {
      const at = performance.now()
      await file.append(Buffer.alloc(ENTRY_BYTES, 1))
      await file.sync()
      histogram.record(Math.max(1, Math.round((performance.now() - at) * NANOSECONDS_PER_MILLISECOND)))
    }
    await file.close()
    return percentileMilliseconds(histogram, 50)
  })
}

async function measureEmptyCall (address: string): Promise<number> {
  const client = new PeerClient(address, credentials.createInsecure())
  const histogram = createHistogram()
  for (let call = 0; call < 500; call++) {
    const at = performance.now()
    await new Promise<void>((resolve) => { client.identify({}, () => { resolve() }) })
    histogram.record(Math.round((performance.now() - at) * NANOSECONDS_PER_MILLISECOND))
  }
  client.close()
  return percentileMilliseconds(histogram, 50)
}

async function changes (): Promise<void> {
  for (const syncMilliseconds of [0, SLOW_SYNC_MILLISECONDS]) {
    const group: DiskKind = { name: 'group commit', syncMilliseconds, oneSyncPerEntry: false }
    const baseline: DiskKind = { ...group, name: 'one sync per entry', oneSyncPerEntry: true }
    const syncP50 = await measureBareSync(group)
    const results = new Map<string, number>()
    for (const kind of [baseline, group]) {
      for (const count of [1, CONCURRENT_WRITERS]) {
        await withCluster(3, kind, async (leader) => {
          const callP50 = await measureEmptyCall(leader.address)
          await runWriters(leader, count, WRITE_PHASE_MILLISECONDS / 6)
          const figures = await runWriters(leader, count, WRITE_PHASE_MILLISECONDS)
          results.set(`${kind.name} ${count}`, figures.perSecond)
          const parts = round(syncP50 + 2 * callP50)
          printResult('changes', { kind: kind.name, syncMilliseconds, writers: count, ...figures, bareSyncP50: syncP50, emptyCallP50: callP50, p50ToBareParts: round(figures.p50 / parts) })
        })
      }
    }
    for (const count of [1, CONCURRENT_WRITERS]) {
      const ratio = (results.get(`${group.name} ${count}`) ?? 0) / (results.get(`${baseline.name} ${count}`) ?? 1)
      printResult('group commit to one sync per entry', { syncMilliseconds, writers: count, ratio: round(ratio), bareLoopPerSecond: Math.round(1000 / syncP50) })
    }
  }
}

interface MemberProcess {
  readonly process: ChildProcess
  readonly lines: string[]
  onLine?: (line: string) => void
}

function startMember (mode: string, ...parameters: readonly string[]): MemberProcess {
  const child = spawn(process.execPath, ['--expose-gc', bundlePath, mode, ...parameters], { stdio: ['ignore', 'pipe', 'inherit'] })
  const member: MemberProcess = { process: child, lines: [] }
  createInterface({ input: child.stdout }).on('line', (line) => {
    member.lines.push(line)
    member.onLine?.(line)
  })
  return member
}

async function killMember (member: MemberProcess): Promise<void> {
  const closed = new Promise((resolve) => { member.process.once('close', resolve) })
  member.process.kill('SIGKILL')
  await closed
}

/** Child process: a member that prints its role changes, and proposes entries while it is the leader. */
async function member (folder: string, address: string, bootstrap: string): Promise<void> {
  let role = AgreementRole.Learner
  const onRole = (next: AgreementRole, term: number): void => {
    role = next
    console.log(`${next} ${term}`)
  }
  const host = await startHost(folder, address, bootstrap.split(','), { onRole })
  setInterval(() => { if (role === AgreementRole.Leader) host.replica.propose(Buffer.alloc(ENTRY_BYTES, 1)) }, 5)
}

async function failover (): Promise<void> {
  await temporaryFolder(async (folder) => {
    const addresses = await Promise.all([0, 1, 2].map(freeAddress))
    const launch = (slot: number): MemberProcess => startMember('member', join(folder, String(slot)), addresses[slot] ?? '', addresses.join(','))
    const members = addresses.map((_, slot) => launch(slot))
    const leaderSlot = (): number => members.findIndex((one) => one.lines.at(-1)?.startsWith(AgreementRole.Leader))
    while (leaderSlot() < 0) await sleep(5)
    const times: number[] = []
    for (let count = 0; count < FAILOVERS; count++) {
      await sleep(200 + count * 7)
      const slot = leaderSlot()
      const leader = members[slot] as MemberProcess
      const at = performance.now()
      const next = new Promise<void>((resolve) => {
        for (const one of members) if (one !== leader) one.onLine = (line) => { if (line.startsWith(AgreementRole.Leader)) resolve() }
      })
      leader.process.kill('SIGKILL')
      leader.lines.length = 0
      await next
      times.push(performance.now() - at)
      members[slot] = launch(slot)
      while ((members[slot] as MemberProcess).lines.length === 0) await sleep(10)
    }
    await Promise.all(members.map(killMember))
    times.sort((left, right) => left - right)
    printResult('time without a leader after its process ends, milliseconds', {
      rounds: times.length, p50: Math.round(times[Math.floor(times.length / 2)] ?? 0), worst: Math.round(times.at(-1) ?? 0)
    })
  })
}

/** Child process: a member of an idle cluster that prints its processor time. */
async function idleMember (folder: string, address: string, bootstrap: string): Promise<void> {
  let role = AgreementRole.Learner
  await startHost(folder, address, bootstrap.split(','), { onRole: (next) => { role = next } })
  await sleep(IDLE_MILLISECONDS / 2)
  const before = process.cpuUsage()
  const at = performance.now()
  await sleep(IDLE_MILLISECONDS)
  const { user, system } = process.cpuUsage(before)
  const percentOfCore = round((user + system) / 10 / (performance.now() - at))
  console.log(JSON.stringify({ role, percentOfCore, anonymousMegabytes: await anonymousMegabytes() }))
}

async function idle (): Promise<void> {
  for (const count of [3, 5]) {
    await temporaryFolder(async (folder) => {
      const addresses = await Promise.all(Array.from({ length: count }, freeAddress))
      const members = addresses.map((address, slot) => startMember('idleMember', join(folder, String(slot)), address, addresses.join(',')))
      while (members.some((one) => one.lines.length === 0)) await sleep(50)
      for (const one of members) printResult('idle', { members: count, ...JSON.parse(one.lines[0] ?? '{}') as object })
      await Promise.all(members.map(killMember))
    })
  }
}

async function appendEntries (leader: Host, count: number, afterBatch: (done: number) => Promise<void>): Promise<void> {
  for (let done = 0; done < count; done += BATCH_ENTRIES) {
    const committed = new Promise<void>((resolve) => {
      let uncommitted = BATCH_ENTRIES
      leader.onCommit = (entries) => { uncommitted -= entries.length; if (uncommitted <= 0) resolve() }
    })
    for (let entry = 0; entry < BATCH_ENTRIES; entry++) leader.replica.propose(Buffer.alloc(ENTRY_BYTES, 1))
    await committed
    await afterBatch(done)
  }
}

async function folderBytes (folder: string): Promise<number> {
  let sum = 0
  for (const name of await readdir(folder)) sum += await stat(join(folder, name)).then((found) => found.size, () => 0)
  return sum
}

async function startSingleVoter (folder: string, address: string, extra: Partial<ReplicaOptions> = {}): Promise<Host> {
  const host = await startHost(folder, address, [address], extra)
  while (host.role !== AgreementRole.Leader) await sleep(5)
  return host
}

async function restart (): Promise<void> {
  for (const [name, snapshotBytes] of [['snapshots as usual', undefined], ['no snapshot taken', Number.MAX_SAFE_INTEGER]] as const) {
    await temporaryFolder(async (folder) => {
      const address = await freeAddress()
      const host = await startSingleVoter(folder, address, { snapshotBytes })
      await appendEntries(host, RESTART_ENTRIES, async () => {})
      await host.replica.stop()
      host.server.forceShutdown()
      const bytes = await folderBytes(folder)
      const started = startMember('restarted', folder, address)
      while (started.lines.length === 0) await sleep(20)
      await killMember(started)
      printResult('restart after 100,000 entries', { log: name, folderMegabytes: round(bytes / 1e6), ...JSON.parse(started.lines[0] ?? '{}') as object })
    })
  }
}

/** Child process: starts from a filled folder and prints the time until ready and the memory. */
async function restarted (folder: string, address: string): Promise<void> {
  const before = await anonymousMegabytes()
  const at = performance.now()
  await startSingleVoter(folder, address)
  const readyMilliseconds = Math.round(performance.now() - at)
  globalThis.gc?.()
  await sleep(200)
  const residentMegabytes = Math.round(process.memoryUsage().rss / 1e6)
  console.log(JSON.stringify({ readyMilliseconds, residentMegabytes, anonymousMegabytes: await anonymousMegabytes(), anonymousMegabytesBefore: before }))
}

async function anonymousMegabytes (): Promise<number> {
  const status = await readFile('/proc/self/status', 'utf8')
  return Math.round(Number(/RssAnon:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1000)
}

async function disk (): Promise<void> {
  await temporaryFolder(async (folder) => {
    const host = await startSingleVoter(folder, await freeAddress())
    let maxBytes = 0
    const begin = performance.now()
    await appendEntries(host, DISK_USAGE_ENTRIES, async (done) => { if (done % (BATCH_ENTRIES * 40) === 0) maxBytes = Math.max(maxBytes, await folderBytes(folder)) })
    const seconds = (performance.now() - begin) / 1000
    await host.replica.stop()
    host.server.forceShutdown()
    printResult('disk over a million entries', {
      entries: DISK_USAGE_ENTRIES, writtenMegabytes: Math.round(DISK_USAGE_ENTRIES * ENTRY_BYTES / 1e6), mostMegabytes: round(maxBytes / 1e6), seconds: Math.round(seconds)
    })
  })
}

const parts: Readonly<Record<string, (...parameters: string[]) => Promise<void>>> = { changes, failover, restart, disk, idle, member, restarted, idleMember }
const [part, ...parameters] = process.argv.slice(2)
if (part !== undefined) await parts[part]?.(...parameters)
else for (const run of [changes, failover, restart, disk, idle]) await run()
