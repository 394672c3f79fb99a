/**
 * A cluster of control hosts in one process for property tests: the real core, the real log writer and the real
 * storage over disks that lose what was not synced and over a network that does what the schedule says.
 */
import type { Disk, DiskFile } from '../src/control/disk'
import { LogWriter } from '../src/control/log-writer'
import { Storage } from '../src/control/storage'
import {
  EntryKind, InputKind, MemberChangeKind, MessageKind, Role, currentMembers, defaultTiming, foundingEntry, isReadyLeader, membersAt,
  nextRepair, startAgreement, stepAgreement, termAt,
  type AgreementState, type Entry, type Input, type Message, type Output
} from '../src/core/agreement'
import { passesFence } from '../src/core/agreement-fence'

interface FileContent { synced: Buffer, unsynced: Buffer }

/** Each operation waits at a gate, so that a host can be stopped before any of them. */
export class MemoryDisk implements Disk {
  private waiting: Array<() => void> = []
  open_ = false
  constructor (private readonly files = new Map<string, FileContent>()) {}

  /** Lets some waiting operations happen. */
  release (count: number): boolean {
    const released = this.waiting.splice(0, count)
    for (const resolve of released) resolve()
    return released.length > 0
  }

  /** What is left after a stop: what was synced, and a part of what was not, perhaps with a sector that was never written. */
  afterStop (kept: number, torn: boolean): MemoryDisk {
    const files = new Map<string, FileContent>()
    for (const [name, { synced, unsynced }] of this.files) {
      const rest = Buffer.from(unsynced.subarray(0, Math.floor(unsynced.length * kept)))
      if (torn && rest.length > 0) rest.fill(0, Math.max(0, rest.length - 512 - ((synced.length + rest.length) % 512)))
      files.set(name, { synced: Buffer.concat([synced, rest]), unsynced: Buffer.alloc(0) })
    }
    return new MemoryDisk(files)
  }

  private async gate (): Promise<void> {
    if (!this.open_) await new Promise<void>((resolve) => { this.waiting.push(resolve) })
  }

  private file (name: string): FileContent {
    const file = this.files.get(name) ?? { synced: Buffer.alloc(0), unsynced: Buffer.alloc(0) }
    this.files.set(name, file)
    return file
  }

  async list (): Promise<string[]> { return [...this.files.keys()] }
  async read (name: string): Promise<Uint8Array> { return Buffer.concat([this.file(name).synced, this.file(name).unsynced]) }

  async replace (name: string, data: readonly Uint8Array[]): Promise<void> {
    await this.gate()
    this.files.set(`${name}.new`, { synced: Buffer.alloc(0), unsynced: Buffer.concat(data) })
    await this.gate()
    this.files.delete(`${name}.new`)
    this.files.set(name, { synced: Buffer.concat(data), unsynced: Buffer.alloc(0) })
  }

  async open (name: string): Promise<DiskFile> {
    await this.gate()
    const file = this.file(name)
    return {
      append: async (data) => { await this.gate(); file.unsynced = Buffer.concat([file.unsynced, data]) },
      sync: async () => { await this.gate(); Object.assign(file, { synced: Buffer.concat([file.synced, file.unsynced]), unsynced: Buffer.alloc(0) }) },
      close: async () => {}
    }
  }

  async truncate (name: string, length: number): Promise<void> {
    await this.gate()
    this.files.set(name, { synced: Buffer.from(await this.read(name)).subarray(0, length), unsynced: Buffer.alloc(0) })
  }

  async remove (name: string): Promise<void> { await this.gate(); this.files.delete(name) }
}

/** One run of a host's process. */
interface Process { readonly host: Host, readonly storage: Storage, readonly writer: LogWriter, state: AgreementState, applied: string[], appliedIndex: number }
interface Host { readonly slot: number, address: string, disk: MemoryDisk, identity: string, process?: Process, starting: boolean, stalled: boolean, paused: boolean }
interface Flight { readonly to: number, readonly from: number, readonly message: Message }
interface Write { readonly value: string, readonly index: number, readonly term: number, readonly process: Process }
interface Read { readonly process: Process, readonly mustSee: number }

/** A check that did not hold. */
export class Violation extends Error {}

const CLUSTER = 'cluster'
const IN_FLIGHT_MOST = 400

export class SimulatedCluster {
  now = 1000
  readonly hosts: Host[] = []
  flights: Flight[] = []
  readonly blocked = new Set<string>()
  /** Terms of the commands on their way to an agent. */
  private readonly commands: number[] = []
  private readonly leaders = new Map<number, string>()
  /** What is committed at each index, as first seen anywhere. */
  private readonly log: Array<{ readonly term: number, readonly kind: EntryKind, readonly value: string }> = []
  private readonly waiting: Write[] = []
  private readonly reads = new Map<number, Read>()
  /** Indexes of acknowledged writes. */
  readonly acknowledged = new Map<number, string>()
  private highestAcknowledged = 0
  private readonly lost = new Set<string>()
  private fence = { term: 0, configuration: 0 }
  private obeyed = 0
  private made = 0
  confirmedReads = 0
  losses = 0

  private constructor (private readonly seed: number, private readonly wantedVoters?: number) {}

  /** With a number of wanted voters lost hosts are replaced by others at new addresses. */
  static async create (size: number, seed: number, wantedVoters?: number): Promise<SimulatedCluster> {
    const cluster = new SimulatedCluster(seed, wantedVoters)
    for (let slot = 0; slot < size; slot++) cluster.hosts.push({ slot, address: `a${slot}`, disk: new MemoryDisk(), identity: `m${slot}`, starting: false, stalled: false, paused: false })
    const members = cluster.hosts.map((host) => ({ identity: host.identity, address: host.address, voter: true }))
    for (const host of cluster.hosts) {
      host.disk.open_ = true
      const { storage } = (await Storage.open(host.disk, () => host.identity))._unsafeUnwrap()
      await storage.write({ entries: [foundingEntry(members)], hardState: { cluster: CLUSTER, term: 1, vote: '' } })
      host.disk.open_ = false
      cluster.start(host)
    }
    await cluster.settle(200)
    return cluster
  }

  start (host: Host): void {
    if (host.process !== undefined || host.starting) return
    host.starting = true
    this.open(host, host.disk).catch((error: Error) => { this.failure ??= error })
  }

  failure?: Error

  private async open (host: Host, disk: MemoryDisk): Promise<void> {
    const opened = await Storage.open(disk, () => host.identity)
    if (host.disk !== disk) return
    if (opened.isErr()) throw new Violation(`recovery failed: ${opened.error.file} ${opened.error.message}`)
    const { storage, recovered } = opened.value
    const state = startAgreement(recovered, defaultTiming, this.seed + host.slot * 7919 + this.made++, this.now)
    const writer = LogWriter.create(storage, {
      send: (message) => { if (host.process === process) this.post(host, message) },
      synced: (entry) => { this.handle(process, { kind: InputKind.Synced, index: entry.index, term: entry.term }) },
      failed: (error) => { throw new Violation(`write failed: ${error.message}`) }
    })
    const process: Process = { host, storage, writer, state, applied: [], appliedIndex: 0 }
    const snapshot = (await storage.readSnapshot())._unsafeUnwrap()
    if (host.disk !== disk) return
    if (snapshot !== undefined) this.applySnapshot(process, snapshot.data, snapshot.head.index)
    host.starting = false
    host.process = process
  }

  /** Ends a host's process at once; what was not synced is lost but for a part. */
  stop (slot: number, kept: number, torn: boolean): void {
    const host = this.host(slot)
    host.disk = host.disk.afterStop(kept, torn)
    host.process = undefined
    host.starting = false
    host.paused = false
  }

  /** Empties a folder, where the voters that are left still hold a quorum of every configuration in use. */
  loseDisk (slot: number, moved = false): void {
    const host = this.host(slot)
    const inUse = this.running.map((process) => currentMembers(process.state))
    inUse.push(...this.running.map((process) => membersAt(process.state, process.state.commit)))
    const lost = new Set([...this.lost, host.identity])
    const tooMany = inUse.some((members) => {
      const voters = members.filter((member) => member.voter)
      return voters.filter((voter) => lost.has(voter.identity)).length > Math.ceil(voters.length / 2) - 1
    })
    if (tooMany || this.running.length < this.hosts.length) return
    this.losses += 1
    this.lost.add(host.identity)
    this.stop(slot, 0, false)
    host.disk = new MemoryDisk()
    host.identity = `m${slot}-${++this.made}`
    if (moved) host.address = `a${slot}-${this.made}`
  }

  get running (): Process[] {
    return this.hosts.flatMap((host) => host.process === undefined ? [] : [host.process])
  }

  get readyLeaders (): Process[] {
    return this.running.filter((process) => !process.host.paused && isReadyLeader(process.state))
  }

  host (slot: number): Host {
    return this.hosts[slot % this.hosts.length] as Host
  }

  /** The leader of the highest term. */
  get leader (): Process | undefined {
    return this.readyLeaders.sort((left, right) => right.state.term - left.state.term)[0]
  }

  /** A process that stood still goes on: a leader then acts before it can see that it was replaced. */
  resume (): void {
    for (const host of this.hosts) host.paused = false
    this.read()
    this.command()
    this.propose()
  }

  /** Cuts hosts off from the others: what they send, what they get, or both. */
  isolate (slots: readonly number[], inward: boolean, outward: boolean): void {
    const others = this.hosts.map((host) => host.slot).filter((slot) => !slots.includes(slot))
    for (const slot of slots) {
      for (const other of others) {
        if (inward) this.blocked.add(`${other}>${slot}`)
        if (outward) this.blocked.add(`${slot}>${other}`)
      }
    }
  }

  tick (milliseconds: number): void {
    this.now += milliseconds
    for (const process of this.running) if (!process.host.paused) this.handle(process, { kind: InputKind.Tick })
  }

  propose (): void {
    for (const process of this.readyLeaders) {
      const value = `v${++this.made}`
      const place = this.handle(process, { kind: InputKind.Propose, data: Buffer.from(value) }).proposed
      if (place !== undefined) this.waiting.push({ ...place, value, process })
    }
  }

  read (): void {
    for (const process of this.readyLeaders) {
      const identifier = ++this.made
      this.reads.set(identifier, { process, mustSee: this.highestAcknowledged })
      this.handle(process, { kind: InputKind.Read, identifier })
    }
  }

  command (): void {
    for (const process of this.readyLeaders) this.commands.push(process.state.term)
  }

  /** One command reaches the far end of an agent's stream, early or late. */
  obey (choice: number): void {
    const [term] = this.commands.splice(choice % Math.max(1, this.commands.length), 1)
    if (term === undefined || !passesFence(this.fence, { term, configuration: 0 })) return
    if (term < this.obeyed) throw new Violation(`a command of term ${term} was obeyed after one of term ${this.obeyed}`)
    this.obeyed = term
    this.fence = { term, configuration: 0 }
  }

  transfer (): void { for (const process of this.readyLeaders) this.handle(process, { kind: InputKind.Transfer }) }

  /** What the replica does for hosts with an emptied folder. */
  repair (): void {
    for (const process of this.readyLeaders) {
      const change = nextRepair(process.state, this.wantedVoters)
      if (change !== undefined) this.handle(process, { kind: InputKind.ChangeMembers, change })
      const outside = this.running.find((other) => this.isOutside(process, other))
      const join = outside === undefined ? undefined : { identity: outside.host.identity, address: outside.host.address }
      if (join !== undefined) this.handle(process, { kind: InputKind.ChangeMembers, change: { kind: MemberChangeKind.AddLearner, ...join } })
    }
  }

  /** A host that was replaced while it was cut off comes back as a learner. */
  private isOutside (leader: Process, other: Process): boolean {
    if (other.state.cluster === '') return true
    return this.wantedVoters !== undefined && !currentMembers(leader.state).some((member) => member.identity === other.host.identity)
  }

  /**
   * What an operator may do at any time. While a voter is lost no other is removed: of three voters two would be left,
   * one of them lost, and no rule could then find a quorum.
   */
  changeMember (kind: MemberChangeKind, choice: number): void {
    for (const process of this.readyLeaders) {
      const members = currentMembers(process.state)
      if (kind === MemberChangeKind.Remove && members.some((member) => this.lost.has(member.identity))) continue
      const member = members[choice % members.length]
      if (member !== undefined) this.handle(process, { kind: InputKind.ChangeMembers, change: { kind, identity: member.identity, address: member.address } })
    }
  }

  compact (slot: number): void {
    const process = this.host(slot).process
    if (process === undefined || process.state.commit <= process.state.snapshot.index) return
    const { state, storage, host } = process
    const head = { index: state.commit, term: termAt(state, state.commit) ?? 0, members: membersAt(state, state.commit) }
    const data = Buffer.from(JSON.stringify(process.applied))
    storage.saveSnapshot({ head, data }).then((saved) => {
      if (saved.isOk() && host.process === process) this.handle(process, { kind: InputKind.Compact, head, keepFrom: head.index - 2 })
    }).catch((error: Error) => { this.failure ??= error })
  }

  /** Takes one message off the network and hands it over, or not. */
  deliver (choice: number, fate: 'once' | 'twice' | 'never'): void {
    const [flight] = this.flights.splice(choice % Math.max(1, this.flights.length), 1)
    if (flight === undefined || fate === 'never' || this.blocked.has(`${flight.from}>${flight.to}`)) return
    if (fate === 'twice') this.flights.push(flight)
    this.arrive(flight)
  }

  private arrive (flight: Flight): void {
    const process = this.hosts[flight.to]?.process
    if (process !== undefined && !process.host.paused) this.handle(process, { kind: InputKind.Receive, message: flight.message })
  }

  /** Lets the network and the disks do their work in order for some rounds. */
  async settle (rounds: number): Promise<void> {
    for (let round = 0; round < rounds; round++) {
      for (const host of this.hosts) if (!host.stalled) host.disk.release(8)
      const flights = this.flights.splice(0)
      for (const flight of flights) if (!this.blocked.has(`${flight.from}>${flight.to}`)) this.arrive(flight)
      if (round % 4 === 3) this.tick(20)
      await this.pause()
    }
  }

  /** Lets promises that are due go on, and tells of what failed in them. */
  async pause (): Promise<void> {
    await new Promise<void>((resolve) => { setImmediate(resolve) })
    if (this.failure !== undefined) throw this.failure
  }

  private handle (process: Process, input: Input): Output {
    if (process.host.process !== process) return nothing
    const outputs = [stepAgreement(process.state, this.now, input), undefined]
    const { state, output } = outputs[0] as { state: AgreementState, output: Output }
    process.state = state
    this.take(process, output)
    const flushed = stepAgreement(process.state, this.now, { kind: InputKind.Flush })
    process.state = flushed.state
    this.take(process, flushed.output)
    process.writer.write().catch((error: Error) => { this.failure ??= error })
    return output
  }

  private take (process: Process, output: Output): void {
    this.checkLeader(process)
    if (output.restore !== undefined) this.applySnapshot(process, output.restore.data, output.restore.head.index)
    process.writer.add(output)
    for (const message of output.messages) this.post(process.host, message)
    for (const entry of output.committed) this.apply(process, entry)
    for (const identifier of output.confirmed) this.checkRead(identifier)
    for (const identifier of output.failed) this.reads.delete(identifier)
  }

  private post (from: Host, message: Message): void {
    const to = this.hosts.findIndex((host) => host.identity === message.to)
    if (to < 0) return
    if (message.kind === MessageKind.Snapshot) { this.postSnapshot(from, to, message).catch((error: Error) => { this.failure ??= error }); return }
    this.flights.push({ from: from.slot, to, message })
    if (this.flights.length > IN_FLIGHT_MOST) this.flights.shift()
  }

  private async postSnapshot (from: Host, to: number, message: Message): Promise<void> {
    const stored = (await from.process?.storage.readSnapshot())?.unwrapOr(undefined)
    if (stored !== undefined) this.flights.push({ from: from.slot, to, message: { ...message, ...stored } as Message })
  }

  private checkLeader (process: Process): void {
    const { role, term, identity } = process.state
    if (role !== Role.Leader) return
    const known = this.leaders.get(term) ?? identity
    if (known !== identity) throw new Violation(`${known} and ${identity} both lead term ${term}`)
    this.leaders.set(term, identity)
  }

  private apply (process: Process, entry: Entry): void {
    if (entry.index !== process.appliedIndex + 1) throw new Violation(`entry ${entry.index} was handed up after ${process.appliedIndex}`)
    const value = entry.kind === EntryKind.Data ? Buffer.from(entry.data).toString() : ''
    const known = this.log[entry.index - 1] ?? { term: entry.term, kind: entry.kind, value }
    if (known.term !== entry.term || known.value !== value) throw new Violation(`two entries are committed at ${entry.index}`)
    this.log[entry.index - 1] = known
    process.appliedIndex = entry.index
    process.applied.push(value)
    const mine = this.waiting.find((write) => write.process === process && write.index === entry.index && write.term === entry.term)
    if (mine === undefined) return
    this.acknowledged.set(mine.index, mine.value)
    this.highestAcknowledged = Math.max(this.highestAcknowledged, mine.index)
  }

  private applySnapshot (process: Process, data: Uint8Array, index: number): void {
    process.applied = JSON.parse(Buffer.from(data).toString()) as string[]
    process.appliedIndex = index
    const same = process.applied.every((value, position) => this.log[position]?.value === value)
    if (!same || process.applied.length !== index) throw new Violation(`the snapshot at ${index} is not the committed state`)
  }

  private checkRead (identifier: number): void {
    const read = this.reads.get(identifier)
    this.reads.delete(identifier)
    if (read === undefined) return
    this.confirmedReads += 1
    if (read.process.appliedIndex < read.mustSee) throw new Violation(`a read at ${read.process.appliedIndex} missed the acknowledged write at ${read.mustSee}`)
  }

  private describe (): string {
    return this.hosts.map((host) => {
      if (host.process === undefined) return `${host.identity} is not running`
      const { role, term, commit, leader, history } = host.process.state
      const members = history.map((at) => `${at.index}:${at.members.map((member) => `${member.identity}${member.voter ? '' : '?'}`).join(',')}`)
      return `${host.identity} ${role} term ${term} commit ${commit} leader ${leader} members ${members.join(' ')}`
    }).join('\n')
  }

  /** Ends all faults; then there must be a leader, a new write, and every acknowledged write on every voter. */
  async finish (): Promise<void> {
    this.blocked.clear()
    for (const host of this.hosts) {
      host.stalled = false
      host.paused = false
      this.start(host)
    }
    const target = this.acknowledged.size + 1
    for (let round = 0; round < 400 && this.acknowledged.size < target; round++) {
      await this.settle(5)
      this.repair()
      this.propose()
    }
    if (this.acknowledged.size < target) throw new Violation(`no write succeeds after all faults have ended\n${this.describe()}`)
    for (let round = 0; round < 200 && this.upToDate.length === 0; round++) await this.settle(5)
    const voters = this.upToDate
    if (voters.length === 0) throw new Violation(`the voters do not catch up\n${this.describe()}`)
    for (const [index, value] of this.acknowledged) {
      const without = voters.find((process) => process.applied[index - 1] !== value)
      if (without !== undefined) throw new Violation(`the acknowledged write at ${index} is lost at ${without.state.identity}\n${this.describe()}`)
    }
  }

  /** The running voters, once there is a leader and each of them has what the leader has committed. */
  private get upToDate (): Process[] {
    const leader = this.leader?.state
    if (leader === undefined || leader.commit < this.highestAcknowledged) return []
    const voters = this.running.filter((process) => currentMembers(leader).some((member) => member.voter && member.identity === process.state.identity))
    return voters.every((process) => process.appliedIndex >= leader.commit) ? voters : []
  }
}

const nothing: Output = { append: [], messages: [], afterSync: [], committed: [], confirmed: [], failed: [] }
