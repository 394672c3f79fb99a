/**
 * A simulated cluster of control hosts in one process, for property tests. It runs the real core, log writer and storage on
 * disks that lose unsynced data and on a network that follows the schedule.
 */
import type { Disk, DiskFile } from '../src/control/disk'
import { LogWriter } from '../src/control/log-writer'
import { Storage } from '../src/control/storage'
import {
  EntryKind, InputKind, MemberChangeKind, AgreementMessageKind, AgreementRole, currentMembers, defaultAgreementTiming, foundingEntry, isReadyLeader, membersAt,
  nextRepair, startAgreement, stepAgreement, termAt,
  type AgreementState, type LogEntry, type Input, type AgreementMessage, type Output
} from '../src/core/agreement'
import { passesFence } from '../src/core/fencing'

interface FileContent { synced: Buffer, unsynced: Buffer }

/** A disk in memory. Each operation waits at a gate, so that a host can be stopped before any of them. */
export class MemoryDisk implements Disk {
  private waiting: Array<() => void> = []
  gateOpen = false
  constructor (private readonly files = new Map<string, FileContent>()) {}

  /** Lets the oldest waiting operations proceed. */
  release (count: number): boolean {
    const released = this.waiting.splice(0, count)
    for (const resolve of released) resolve()
    return released.length > 0
  }

  /** The disk after a stop: all synced data and a part of the unsynced data. If torn, the end of that part was never written and reads as zeros. */
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
    if (!this.gateOpen) await new Promise<void>((resolve) => { this.waiting.push(resolve) })
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

/** A running process of a host. */
interface Process { readonly host: Host, readonly storage: Storage, readonly writer: LogWriter, state: AgreementState, applied: string[], appliedIndex: number }
interface Host { readonly slot: number, address: string, disk: MemoryDisk, identity: string, process?: Process, starting: boolean, diskStalled: boolean, paused: boolean }
interface InFlightMessage { readonly to: number, readonly from: number, readonly message: AgreementMessage }
interface PendingWrite { readonly value: string, readonly index: number, readonly term: number, readonly process: Process }
interface PendingRead { readonly process: Process, readonly minimumIndex: number }

/** A violated invariant. */
export class Violation extends Error {}

const CLUSTER = 'cluster'
const MAX_IN_FLIGHT_MESSAGES = 400

export class SimulatedCluster {
  now = 1000
  readonly hosts: Host[] = []
  inFlight: InFlightMessage[] = []
  readonly blockedLinks = new Set<string>()
  /** Terms of the commands in flight to an agent. */
  private readonly commandTerms: number[] = []
  private readonly leaderByTerm = new Map<number, string>()
  /** The entry committed at each index, as first observed on any host. */
  private readonly committedLog: Array<{ readonly term: number, readonly kind: EntryKind, readonly value: string }> = []
  private readonly pendingWrites: PendingWrite[] = []
  private readonly reads = new Map<number, PendingRead>()
  /** Values of acknowledged writes, by index. */
  readonly acknowledged = new Map<number, string>()
  private highestAcknowledged = 0
  private readonly lostIdentities = new Set<string>()
  private fence = { term: 0, configuration: 0 }
  private lastExecutedTerm = 0
  private createdCount = 0
  confirmedReadCount = 0
  lostDiskCount = 0

  private constructor (private readonly seed: number, private readonly wantedVoters?: number) {}

  /** With a target number of voters, lost hosts are replaced by hosts at new addresses. */
  static async create (size: number, seed: number, wantedVoters?: number): Promise<SimulatedCluster> {
    const cluster = new SimulatedCluster(seed, wantedVoters)
    for (let slot = 0; slot < size; slot++) cluster.hosts.push({ slot, address: `a${slot}`, disk: new MemoryDisk(), identity: `m${slot}`, starting: false, diskStalled: false, paused: false })
    const members = cluster.hosts.map((host) => ({ identity: host.identity, address: host.address, voter: true }))
    for (const host of cluster.hosts) {
      host.disk.gateOpen = true
      const { storage } = (await Storage.open(host.disk, () => host.identity))._unsafeUnwrap()
      await storage.write({ entries: [foundingEntry(members)], hardState: { cluster: CLUSTER, term: 1, vote: '' } })
      host.disk.gateOpen = false
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
    const state = startAgreement(recovered, defaultAgreementTiming, this.seed + host.slot * 7919 + this.createdCount++, this.now)
    const writer = LogWriter.create(storage, {
      send: (message) => { if (host.process === process) this.sendMessage(host, message) },
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

  /** Kills the process of a host. Unsynced data is lost except for a part. */
  stop (slot: number, kept: number, torn: boolean): void {
    const host = this.host(slot)
    host.disk = host.disk.afterStop(kept, torn)
    host.process = undefined
    host.starting = false
    host.paused = false
  }

  /** Empties a data folder, provided that the remaining voters still form a quorum of every membership in use. */
  loseDisk (slot: number, moved = false): void {
    const host = this.host(slot)
    const memberships = this.running.map((process) => currentMembers(process.state))
    memberships.push(...this.running.map((process) => membersAt(process.state, process.state.commit)))
    const lost = new Set([...this.lostIdentities, host.identity])
    const losesQuorum = memberships.some((members) => {
      const voters = members.filter((member) => member.voter)
      return voters.filter((voter) => lost.has(voter.identity)).length > Math.ceil(voters.length / 2) - 1
    })
    if (losesQuorum || this.running.length < this.hosts.length) return
    this.lostDiskCount += 1
    this.lostIdentities.add(host.identity)
    this.stop(slot, 0, false)
    host.disk = new MemoryDisk()
    host.identity = `m${slot}-${++this.createdCount}`
    if (moved) host.address = `a${slot}-${this.createdCount}`
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

  /** Resumes paused processes. A paused leader then acts before it can notice that it was deposed. */
  resume (): void {
    for (const host of this.hosts) host.paused = false
    this.read()
    this.issueCommand()
    this.propose()
  }

  /** Blocks the links between some hosts and the others: what they receive, what they send, or both. */
  isolate (slots: readonly number[], inward: boolean, outward: boolean): void {
    const others = this.hosts.map((host) => host.slot).filter((slot) => !slots.includes(slot))
    for (const slot of slots) {
      for (const other of others) {
        if (inward) this.blockedLinks.add(`${other}>${slot}`)
        if (outward) this.blockedLinks.add(`${slot}>${other}`)
      }
    }
  }

  tick (milliseconds: number): void {
    this.now += milliseconds
    for (const process of this.running) if (!process.host.paused) this.handle(process, { kind: InputKind.Tick })
  }

  propose (): void {
    for (const process of this.readyLeaders) {
      const value = `v${++this.createdCount}`
      const proposed = this.handle(process, { kind: InputKind.Propose, data: Buffer.from(value) }).proposed
      if (proposed !== undefined) this.pendingWrites.push({ ...proposed, value, process })
    }
  }

  read (): void {
    for (const process of this.readyLeaders) {
      const identifier = ++this.createdCount
      this.reads.set(identifier, { process, minimumIndex: this.highestAcknowledged })
      this.handle(process, { kind: InputKind.Read, identifier })
    }
  }

  issueCommand (): void {
    for (const process of this.readyLeaders) this.commandTerms.push(process.state.term)
  }

  /** Delivers one command to the agent, in any order. The agent must not execute a command of an older term after a newer one. */
  deliverCommand (choice: number): void {
    const [term] = this.commandTerms.splice(choice % Math.max(1, this.commandTerms.length), 1)
    if (term === undefined || !passesFence(this.fence, { term, configuration: 0 })) return
    if (term < this.lastExecutedTerm) throw new Violation(`a command of term ${term} was executed after one of term ${this.lastExecutedTerm}`)
    this.lastExecutedTerm = term
    this.fence = { term, configuration: 0 }
  }

  transfer (): void { for (const process of this.readyLeaders) this.handle(process, { kind: InputKind.Transfer }) }

  /** What the replica does to replace lost members and to admit hosts outside the cluster. */
  repair (): void {
    for (const process of this.readyLeaders) {
      const change = nextRepair(process.state, this.wantedVoters)
      if (change !== undefined) this.handle(process, { kind: InputKind.ChangeMembers, change })
      const outside = this.running.find((other) => this.isOutside(process, other))
      const join = outside === undefined ? undefined : { identity: outside.host.identity, address: outside.host.address }
      if (join !== undefined) this.handle(process, { kind: InputKind.ChangeMembers, change: { kind: MemberChangeKind.AddLearner, ...join } })
    }
  }

  /** Whether a host must join: one with an empty data folder, or one that was replaced while it was partitioned away. */
  private isOutside (leader: Process, other: Process): boolean {
    if (other.state.cluster === '') return true
    return this.wantedVoters !== undefined && !currentMembers(leader.state).some((member) => member.identity === other.host.identity)
  }

  /**
   * A membership change by an operator, possible at any time. While a voter is lost no other is removed: of three voters
   * two would remain, one of them lost, so that no quorum could be formed again.
   */
  changeMember (kind: MemberChangeKind, choice: number): void {
    for (const process of this.readyLeaders) {
      const members = currentMembers(process.state)
      if (kind === MemberChangeKind.Remove && members.some((member) => this.lostIdentities.has(member.identity))) continue
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

  /** Takes a message from the network and delivers it once, twice or never. */
  deliver (choice: number, fate: 'once' | 'twice' | 'never'): void {
    const [flight] = this.inFlight.splice(choice % Math.max(1, this.inFlight.length), 1)
    if (flight === undefined || fate === 'never' || this.blockedLinks.has(`${flight.from}>${flight.to}`)) return
    if (fate === 'twice') this.inFlight.push(flight)
    this.receive(flight)
  }

  private receive (flight: InFlightMessage): void {
    const process = this.hosts[flight.to]?.process
    if (process !== undefined && !process.host.paused) this.handle(process, { kind: InputKind.Receive, message: flight.message })
  }

  /** Runs the network and the disks in order for some rounds. */
  async settle (rounds: number): Promise<void> {
    for (let round = 0; round < rounds; round++) {
      for (const host of this.hosts) if (!host.diskStalled) host.disk.release(8)
      const flights = this.inFlight.splice(0)
      for (const flight of flights) if (!this.blockedLinks.has(`${flight.from}>${flight.to}`)) this.receive(flight)
      if (round % 4 === 3) this.tick(20)
      await this.yieldToEventLoop()
    }
  }

  /** Lets settled promises continue, and throws the first failure in them. */
  async yieldToEventLoop (): Promise<void> {
    await new Promise<void>((resolve) => { setImmediate(resolve) })
    if (this.failure !== undefined) throw this.failure
  }

  private handle (process: Process, input: Input): Output {
    if (process.host.process !== process) return emptyOutput
    const outputs = [stepAgreement(process.state, this.now, input), undefined]
    const { state, output } = outputs[0] as { state: AgreementState, output: Output }
    process.state = state
    this.applyOutput(process, output)
    const flushed = stepAgreement(process.state, this.now, { kind: InputKind.Flush })
    process.state = flushed.state
    this.applyOutput(process, flushed.output)
    process.writer.write().catch((error: Error) => { this.failure ??= error })
    return output
  }

  private applyOutput (process: Process, output: Output): void {
    this.checkLeader(process)
    if (output.restore !== undefined) this.applySnapshot(process, output.restore.data, output.restore.head.index)
    process.writer.add(output)
    for (const message of output.messages) this.sendMessage(process.host, message)
    for (const entry of output.committed) this.apply(process, entry)
    for (const identifier of output.confirmed) this.checkRead(identifier)
    for (const identifier of output.failed) this.reads.delete(identifier)
  }

  private sendMessage (from: Host, message: AgreementMessage): void {
    const to = this.hosts.findIndex((host) => host.identity === message.to)
    if (to < 0) return
    if (message.kind === AgreementMessageKind.Snapshot) { this.sendSnapshot(from, to, message).catch((error: Error) => { this.failure ??= error }); return }
    this.inFlight.push({ from: from.slot, to, message })
    if (this.inFlight.length > MAX_IN_FLIGHT_MESSAGES) this.inFlight.shift()
  }

  private async sendSnapshot (from: Host, to: number, message: AgreementMessage): Promise<void> {
    const stored = (await from.process?.storage.readSnapshot())?.unwrapOr(undefined)
    if (stored !== undefined) this.inFlight.push({ from: from.slot, to, message: { ...message, ...stored } as AgreementMessage })
  }

  private checkLeader (process: Process): void {
    const { role, term, identity } = process.state
    if (role !== AgreementRole.Leader) return
    const known = this.leaderByTerm.get(term) ?? identity
    if (known !== identity) throw new Violation(`${known} and ${identity} both lead term ${term}`)
    this.leaderByTerm.set(term, identity)
  }

  private apply (process: Process, entry: LogEntry): void {
    if (entry.index !== process.appliedIndex + 1) throw new Violation(`entry ${entry.index} was committed directly after ${process.appliedIndex}`)
    const value = entry.kind === EntryKind.Data ? Buffer.from(entry.data).toString() : ''
    const known = this.committedLog[entry.index - 1] ?? { term: entry.term, kind: entry.kind, value }
    if (known.term !== entry.term || known.value !== value) throw new Violation(`two entries are committed at ${entry.index}`)
    this.committedLog[entry.index - 1] = known
    process.appliedIndex = entry.index
    process.applied.push(value)
    const ownWrite = this.pendingWrites.find((write) => write.process === process && write.index === entry.index && write.term === entry.term)
    if (ownWrite === undefined) return
    this.acknowledged.set(ownWrite.index, ownWrite.value)
    this.highestAcknowledged = Math.max(this.highestAcknowledged, ownWrite.index)
  }

  private applySnapshot (process: Process, data: Uint8Array, index: number): void {
    process.applied = JSON.parse(Buffer.from(data).toString()) as string[]
    process.appliedIndex = index
    const same = process.applied.every((value, position) => this.committedLog[position]?.value === value)
    if (!same || process.applied.length !== index) throw new Violation(`the snapshot at ${index} is not the committed state`)
  }

  private checkRead (identifier: number): void {
    const read = this.reads.get(identifier)
    this.reads.delete(identifier)
    if (read === undefined) return
    this.confirmedReadCount += 1
    if (read.process.appliedIndex < read.minimumIndex) throw new Violation(`a read at ${read.process.appliedIndex} missed the acknowledged write at ${read.minimumIndex}`)
  }

  private describe (): string {
    return this.hosts.map((host) => {
      if (host.process === undefined) return `${host.identity} is not running`
      const { role, term, commit, leader, membershipHistory } = host.process.state
      const members = membershipHistory.map((at) => `${at.index}:${at.members.map((member) => `${member.identity}${member.voter ? '' : '?'}`).join(',')}`)
      return `${host.identity} ${role} term ${term} commit ${commit} leader ${leader} members ${members.join(' ')}`
    }).join('\n')
  }

  /** Ends all faults. A leader must then be elected, a new write must succeed, and every voter must have every acknowledged write. */
  async finish (): Promise<void> {
    this.blockedLinks.clear()
    for (const host of this.hosts) {
      host.diskStalled = false
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
    for (let round = 0; round < 200 && this.caughtUpVoters.length === 0; round++) await this.settle(5)
    const voters = this.caughtUpVoters
    if (voters.length === 0) throw new Violation(`the voters do not catch up\n${this.describe()}`)
    for (const [index, value] of this.acknowledged) {
      const without = voters.find((process) => process.applied[index - 1] !== value)
      if (without !== undefined) throw new Violation(`the acknowledged write at ${index} is lost at ${without.state.identity}\n${this.describe()}`)
    }
  }

  /** The running voters, once there is a leader and each of them has applied everything that it committed; else none. */
  private get caughtUpVoters (): Process[] {
    const leader = this.leader?.state
    if (leader === undefined || leader.commit < this.highestAcknowledged) return []
    const voters = this.running.filter((process) => currentMembers(leader).some((member) => member.voter && member.identity === process.state.identity))
    return voters.every((process) => process.appliedIndex >= leader.commit) ? voters : []
  }
}

const emptyOutput: Output = { append: [], messages: [], afterSync: [], committed: [], confirmed: [], failed: [] }
