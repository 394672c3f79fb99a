/**
 * One control host's replica of the log. It drives the pure agreement core with a clock, a data folder and connections to
 * the other hosts. The output of several inputs is written with one sync; messages that depend on it are sent afterwards.
 */
import { randomBytes } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import type { ChannelCredentials, Server } from '@grpc/grpc-js'
import {
  AgreementRefusal, EntryKind, InputKind, MemberChangeKind, AgreementRole, currentMembers, defaultAgreementTiming, foundingEntry, isReadyLeader, lastIndex,
  membersAt, nextRepair, startAgreement, stepAgreement, termAt,
  type AgreementState, type LogEntry, type Input, type MemberChange, type Output, type ProposedEntry, type RecoveredState,
  type SnapshotMessage, type Timing
} from '../core/agreement'
import type { IdentifyReply, JoinReply, JoinRequest } from '../wire/index'
import { FolderDisk, type Disk } from './disk'
import { LogWriter } from './log-writer'
import { Peers } from './peers'
import { PendingCalls, type MemberChangeError, type ReplicaRefusal } from './pending-calls'
import { Storage, StorageErrorKind, type Snapshot, type StorageError } from './storage'

export { AgreementRefusal, MemberChangeKind, AgreementRole }
export type { MemberChange, MemberChangeError, ReplicaRefusal, ProposedEntry }

const TICK_INTERVAL_MILLISECONDS = 50
/** Time between two attempts to found or join a cluster. */
const JOIN_INTERVAL_MILLISECONDS = 300
const REPAIR_INTERVAL_MILLISECONDS = 200
/** Time without a leader after which a member asks to join again, because it may have been removed. */
const LEADERLESS_TIMEOUT_MILLISECONDS = 1_500
/** Size of the entries committed since the last snapshot at which a new one is taken. */
const SNAPSHOT_INTERVAL_BYTES = 4 * 1024 * 1024
/** Size of the entries before a snapshot that stay in memory for followers that are slightly behind. */
const RETAINED_ENTRIES_BYTES = 1024 * 1024
const ENTRY_OVERHEAD_BYTES = 32
const IDENTITY_BYTES = 6

/** One committed entry. */
export interface CommittedEntry {
  readonly index: number
  readonly term: number
  /** Empty for the first entry of a leader and for membership changes. */
  readonly data: Uint8Array
}

/** A member as seen by a replica. */
export interface MemberStatus {
  readonly identity: string
  readonly address: string
  readonly voter: boolean
  /** Last index known to be synced on that member; only the leader knows it for other members. */
  readonly match: number
}

/** The state of a replica and its view of the other members. */
export interface ReplicaStatus {
  readonly identity: string
  readonly cluster: string
  readonly role: AgreementRole
  readonly term: number
  /** Identity of the leader, empty for none. */
  readonly leader: string
  readonly commit: number
  readonly lastIndex: number
  readonly snapshotIndex: number
  readonly members: readonly MemberStatus[]
}

/** Settings and callbacks of a replica. */
export interface ReplicaOptions {
  /** Path of the data folder. */
  readonly folder: string
  /** This host's own peer address, IP address and port. */
  readonly address: string
  /** Addresses of the initial voters; used while the data folder belongs to no cluster, and as addresses to ask when there is no leader. */
  readonly bootstrap: readonly string[]
  /** Whether this host may found a cluster, or only join one. True by default. */
  readonly founding?: boolean
  /** Target number of voters; lost voters are replaced by learners. If absent, operators change the members. */
  readonly wantedVoters?: number
  /** Name of this host in the settings. */
  readonly host: string
  /** The server to which the Peer service is added; the caller binds it. */
  readonly server: Server
  readonly credentials?: ChannelCredentials
  /** Called in log order, once for each index after a start or a restore. */
  onCommit (entries: readonly CommittedEntry[]): void
  onRestore (snapshot: Uint8Array, index: number): void
  /** Returns the state at the time of the call, which may be serialized in steps afterwards; undefined if the log is still needed. */
  takeSnapshot (): Uint8Array | undefined | Promise<Uint8Array | undefined>
  /** Called when the role or term changes. The leader role is reported only after all entries before the leader's first one were passed to onCommit. */
  onRole (role: AgreementRole, term: number): void
  /** Called when the data folder failed; the replica no longer participates. */
  onFailure?(error: StorageError): void
  log (event: string, fields: object): void
  readonly timing?: Timing
  /** Size of the committed entries after which a snapshot is taken. */
  readonly snapshotBytes?: number
  /** Replaces the folder in tests and measurements. */
  readonly disk?: Disk
}

/** A replica of the log. */
export class Replica {
  private readonly peers: Peers
  private readonly writer: LogWriter
  private readonly outputs: Output[] = []
  private processingOutputs = false
  /** There is output to write, or a read to confirm. */
  private flushDue = false
  private flushScheduled = false
  private stopped = false
  private foundingInProgress = false
  /** Messages are ignored before the start, because the start resets the state. */
  private started = false
  private timer?: NodeJS.Timeout
  private nextJoinAt = 0
  private nextRepairAt = 0
  private reportedRole = { role: AgreementRole.Learner, term: 0 }
  /** Last index passed to onCommit or onRestore; the core may be ahead of it while a callback proposes. */
  private deliveredIndex = 0
  private bytesSinceSnapshot = 0
  private savingSnapshot = false
  private readonly pending = PendingCalls.create()

  private constructor (
    private readonly options: ReplicaOptions,
    private readonly storage: Storage,
    private recovered: RecoveredState,
    private state: AgreementState
  ) {
    this.writer = LogWriter.create(storage, {
      send: (message) => { this.peers.send(message) },
      synced: (entry) => { this.handle({ kind: InputKind.Synced, index: entry.index, term: entry.term }) },
      failed: (error) => { this.fail(error) }
    })
    this.peers = Peers.create(options.server, options.address, {
      identity: () => this.state.identity,
      cluster: () => this.state.cluster,
      members: () => currentMembers(this.state),
      receive: (message) => { if (this.started && !this.foundingInProgress) this.handle({ kind: InputKind.Receive, message }) },
      identify: () => this.identify(),
      join: (request) => this.onJoin(request),
      snapshot: async () => await this.storedSnapshot(),
      log: options.log
    }, options.credentials)
  }

  /**
   * Opens or recovers the data folder and adds the Peer service to the server.
   * @param options - settings and callbacks
   * @returns the replica, not started, or why the data folder cannot be used
   */
  static async create (options: ReplicaOptions): Promise<Result<Replica, StorageError>> {
    const disk = await openDisk(options)
    if (disk.isErr()) return err(disk.error)
    const opened = await Storage.open(disk.value, () => randomBytes(IDENTITY_BYTES).toString('hex'))
    if (opened.isErr()) return err(opened.error)
    const { storage, recovered } = opened.value
    const snapshot = await storage.readSnapshot()
    if (snapshot.isErr()) return err(snapshot.error)
    const replica = new Replica(options, storage, recovered, startState(recovered, options))
    if (snapshot.value !== undefined) options.onRestore(snapshot.value.data, snapshot.value.head.index)
    return ok(replica)
  }

  /** Starts to participate in the cluster. The server must be bound already. */
  start (): void {
    this.state = startState(this.recovered, this.options)
    this.recovered = { ...this.recovered, entries: [] }
    this.started = true
    this.timer = setInterval(() => { this.tick() }, TICK_INTERVAL_MILLISECONDS)
    this.tick()
  }

  /**
   * Appends data to the log. The commit is reported by onCommit with the same index and term. If leadership is lost first,
   * this is reported by onRole, and the entry may or may not be committed later.
   * @param data - content of the entry
   * @returns the position in the log, or why this host cannot append
   */
  propose (data: Uint8Array): Result<ProposedEntry, ReplicaRefusal> {
    const output = this.handle({ kind: InputKind.Propose, data })
    return output.proposed === undefined ? err(this.refusalWithLeader(output.refusal)) : ok(output.proposed)
  }

  /**
   * Confirms with a quorum that this host is still the leader. All entries committed before the call have then been passed to
   * onCommit.
   * @returns nothing once a quorum has confirmed it, or why this host is not the leader
   */
  async confirmLeadership (): Promise<Result<void, ReplicaRefusal>> {
    return await new Promise((resolve) => {
      const identifier = this.pending.addRead(resolve)
      const output = this.handle({ kind: InputKind.Read, identifier })
      if (output.refusal !== undefined) this.pending.settleRead(identifier, err(this.refusalWithLeader(output.refusal)))
    })
  }

  /**
   * @returns the address of the leader, or undefined if it is unknown or if this host leads but is not ready yet
   */
  leaderAddress (): string | undefined {
    const { leader, identity } = this.state
    if (leader === identity) return isReadyLeader(this.state) ? this.options.address : undefined
    return leader === '' ? undefined : this.peers.addressOf(leader)
  }

  /**
   * @returns the state of this replica and its view of the other members
   */
  status (): ReplicaStatus {
    const { identity, cluster, term, leader, commit, snapshot, peers } = this.state
    const members = currentMembers(this.state).map((member) => ({
      ...member, match: member.identity === identity ? lastIndex(this.state) : peers.get(member.identity)?.match ?? 0
    }))
    return { identity, cluster, role: this.role, term, leader, commit, lastIndex: lastIndex(this.state), snapshotIndex: snapshot.index, members }
  }

  /**
   * Adds, promotes or removes one member.
   * @param change - the change
   * @returns nothing once the change is committed, or why it was not made
   */
  async changeMembers (change: MemberChange): Promise<Result<void, MemberChangeError>> {
    return await new Promise((resolve) => {
      const output = this.handle({ kind: InputKind.ChangeMembers, change })
      if (output.proposed === undefined) resolve(err({ ...this.refusalWithLeader(output.refusal), mayHaveRun: false }))
      else if (output.proposed.index <= this.state.commit) resolve(ok(undefined))
      else this.pending.addChange(output.proposed, resolve)
    })
  }

  /**
   * Transfers leadership to the most up-to-date voter.
   * @returns nothing once this host no longer leads, or why the transfer failed
   */
  async transferLeadership (): Promise<Result<void, ReplicaRefusal>> {
    return await new Promise((resolve) => {
      const output = this.handle({ kind: InputKind.Transfer })
      if (output.refusal !== undefined) resolve(err(this.refusalWithLeader(output.refusal)))
      else this.pending.addTransfer(resolve)
      this.settleTransfers()
    })
  }

  /** Transfers leadership, waits for the write in progress and closes all resources. */
  async stop (): Promise<void> {
    if (this.state.role === AgreementRole.Leader) await this.transferLeadership()
    this.stopped = true
    clearInterval(this.timer)
    await this.writer.whenIdle()
    this.pending.abandonAll(this.refusalWithLeader())
    this.peers.close()
    await this.storage.close()
  }

  /** The role as reported to onRole: a leader that is not ready counts as a candidate. */
  private get role (): AgreementRole {
    return this.state.role === AgreementRole.Leader && !isReadyLeader(this.state) ? AgreementRole.Candidate : this.state.role
  }

  private refusalWithLeader (refusal = AgreementRefusal.ReplicaRefusal): ReplicaRefusal {
    return { refusal, leader: this.leaderAddress() }
  }

  private handle (input: Input): Output {
    if (this.stopped) return { ...emptyOutput, refusal: AgreementRefusal.ReplicaRefusal }
    const { state, output } = stepAgreement(this.state, performance.now(), input)
    this.state = state
    this.outputs.push(output)
    this.processOutputs()
    return output
  }

  /** Processes outputs in order, including those that callbacks produce meanwhile. */
  private processOutputs (): void {
    if (this.processingOutputs) return
    this.processingOutputs = true
    for (let output = this.outputs.shift(); output !== undefined; output = this.outputs.shift()) this.processOutput(output)
    this.processingOutputs = false
    if (this.flushDue) this.scheduleFlush()
  }

  private processOutput (output: Output): void {
    if (output.restore !== undefined) this.deliverSnapshot(output.restore)
    this.writer.add(output)
    this.flushDue ||= this.writer.hasPendingOutput || this.state.reads.length > 0
    for (const message of output.messages) this.peers.send(message)
    if (output.committed.length > 0) this.deliverCommitted(output.committed)
    for (const identifier of output.confirmed) this.pending.settleRead(identifier, ok(undefined))
    for (const identifier of output.failed) this.pending.settleRead(identifier, err(this.refusalWithLeader()))
    this.reportRole()
  }

  private deliverSnapshot (message: SnapshotMessage): void {
    const { head, data } = message
    this.bytesSinceSnapshot = 0
    this.options.log('restored', { index: head.index, bytes: data.length })
    this.deliveredIndex = head.index
    this.options.onRestore(data, head.index)
  }

  private deliverCommitted (entries: readonly LogEntry[]): void {
    for (const entry of entries) this.bytesSinceSnapshot += entry.data.length + ENTRY_OVERHEAD_BYTES
    this.deliveredIndex = entries.at(-1)?.index ?? this.deliveredIndex
    this.options.onCommit(entries.map((entry) => ({
      index: entry.index, term: entry.term, data: entry.kind === EntryKind.Data ? entry.data : emptyData
    })))
    this.pending.settleChanges(this.state.commit, (index) => termAt(this.state, index), this.refusalWithLeader())
    if (entries.some((entry) => entry.kind === EntryKind.Members)) this.peers.closeFormerMembers()
    if (this.bytesSinceSnapshot >= (this.options.snapshotBytes ?? SNAPSHOT_INTERVAL_BYTES) && !this.savingSnapshot) this.saveSnapshot()
  }

  private reportRole (): void {
    this.settleTransfers()
    const { role, state: { term } } = this
    if (this.state.role === AgreementRole.Leader && role !== AgreementRole.Leader) return
    if (role === this.reportedRole.role && term === this.reportedRole.term) return
    this.reportedRole = { role, term }
    if (role !== AgreementRole.Leader) this.pending.abandonChanges(this.refusalWithLeader())
    this.options.log('role-changed', { standing: role, term, leader: this.state.leader })
    this.options.onRole(role, term)
  }

  private scheduleFlush (): void {
    if (this.flushScheduled || this.stopped) return
    this.flushScheduled = true
    setImmediate(() => {
      this.flushScheduled = false
      this.flushDue = false
      this.flush()
    })
  }

  private flush (): void {
    if (this.stopped) return
    const { state, output } = stepAgreement(this.state, performance.now(), { kind: InputKind.Flush })
    this.state = state
    for (const message of output.messages) this.peers.send(message)
    this.writer.write()
  }

  /** Stops the replica: after a failed write this host can no longer guarantee durability. */
  private fail (error: StorageError): void {
    if (this.stopped) return
    this.stopped = true
    clearInterval(this.timer)
    this.options.log('storage-failed', error)
    this.pending.abandonAll(this.refusalWithLeader())
    this.peers.close()
    if (this.reportedRole.role === AgreementRole.Leader) this.options.onRole(AgreementRole.Follower, this.state.term)
    this.options.onFailure?.(error)
  }

  private async saveSnapshot (): Promise<void> {
    this.savingSnapshot = true
    this.bytesSinceSnapshot = 0
    const index = this.deliveredIndex
    const head = { index, term: termAt(this.state, index) ?? 0, members: membersAt(this.state, index) }
    const data = await this.options.takeSnapshot()
    if (this.stopped) return
    if (data === undefined) { this.options.log('snapshot-put-off', { index }); this.savingSnapshot = false; return }
    const saved = await this.storage.saveSnapshot({ head, data })
    this.savingSnapshot = false
    if (saved.isErr()) { this.fail(saved.error); return }
    this.handle({ kind: InputKind.Compact, head, keepFrom: firstRetainedIndex(this.state, index) })
  }

  private async storedSnapshot (): Promise<Snapshot | undefined> {
    const snapshot = await this.storage.readSnapshot()
    if (snapshot.isOk()) return snapshot.value
    this.fail(snapshot.error)
    return undefined
  }

  private settleTransfers (): void {
    const { role, transfer } = this.state
    if (role === AgreementRole.Leader && transfer !== undefined) return
    this.pending.settleTransfers(role === AgreementRole.Leader ? err({ refusal: AgreementRefusal.NoSuccessor }) : ok(undefined))
  }

  private tick (): void {
    const now = performance.now()
    if (this.state.cluster === '') {
      if (now < this.nextJoinAt || this.foundingInProgress) return
      this.nextJoinAt = now + JOIN_INTERVAL_MILLISECONDS
      this.joinOrFound()
      return
    }
    this.handle({ kind: InputKind.Tick })
    this.rejoinIfLeaderless(now)
    if (now >= this.nextRepairAt) {
      this.nextRepairAt = now + REPAIR_INTERVAL_MILLISECONDS
      this.repair()
    }
  }

  /** A member without a leader may have been replaced meanwhile. It asks to join again, as a learner. */
  private rejoinIfLeaderless (now: number): void {
    const { role, lastLeaderContactAt, identity } = this.state
    if (role === AgreementRole.Leader || this.options.wantedVoters === undefined) { this.nextJoinAt = now + LEADERLESS_TIMEOUT_MILLISECONDS; return }
    if (now < this.nextJoinAt || now - lastLeaderContactAt < LEADERLESS_TIMEOUT_MILLISECONDS) return
    this.nextJoinAt = now + LEADERLESS_TIMEOUT_MILLISECONDS
    const addresses = new Set([...this.options.bootstrap, ...currentMembers(this.state).filter((member) => member.identity !== identity).map(({ address }) => address)])
    addresses.delete(this.options.address)
    void this.joinVia([...addresses])
  }

  private async joinVia (addresses: readonly string[]): Promise<void> {
    const replies = await Promise.all(addresses.map(async (address) => await this.peers.identify(address)))
    const leader = replies.flatMap((reply) => reply.isOk() && reply.value.cluster === this.state.cluster && reply.value.leader !== '' ? [reply.value.leader] : [])[0]
    if (leader !== undefined && !this.stopped) await this.requestJoin(leader)
  }

  /**
   * Lets a host without a cluster join or found one. If a host on the bootstrap list belongs to a cluster, this host asks to be
   * added as a learner. Otherwise the first host on the list that has a disk founds a cluster, but only after all other hosts
   * on the list have answered that they belong to none.
   */
  private async joinOrFound (): Promise<void> {
    const { bootstrap, address } = this.options
    const others = bootstrap.filter((other) => other !== address)
    const answers = await Promise.all(others.map(async (other) => ({ address: other, reply: await this.peers.identify(other) })))
    const replies = answers.flatMap((answer) => answer.reply.isOk() ? [{ address: answer.address, ...answer.reply.value }] : [])
    if (this.stopped || this.foundingInProgress || this.state.cluster !== '') return
    const inCluster = replies.find((answer) => answer.cluster !== '')
    if (inCluster !== undefined) { await this.requestJoin(inCluster.leader === '' ? inCluster.address : inCluster.leader); return }
    const withDisk = replies.filter(({ diskless }) => !diskless)
    const first = bootstrap.find((candidate) => candidate === address || withDisk.some((answer) => answer.address === candidate))
    if (this.options.founding !== false && first === address && replies.length === others.length) await this.foundCluster(withDisk)
  }

  private async requestJoin (address: string): Promise<void> {
    const reply = await this.peers.join(address, this.state.identity)
    this.options.log('join', { asked: address, accepted: reply.isOk() && reply.value.accepted })
  }

  private async foundCluster (others: ReadonlyArray<{ readonly identity: string, readonly address: string }>): Promise<void> {
    this.foundingInProgress = true
    const { identity } = this.state
    const voters = [{ identity, address: this.options.address }, ...others]
    const members = voters.map((voter) => ({ identity: voter.identity, address: voter.address, voter: true }))
    const entry = foundingEntry(members)
    const hardState = { cluster: randomBytes(IDENTITY_BYTES).toString('hex'), term: entry.term, vote: '' }
    const written = await this.storage.write({ entries: [entry], hardState })
    if (written.isErr()) { this.fail(written.error); return }
    this.state = startState({ ...this.recovered, identity, hardState, entries: [entry] }, this.options)
    this.options.log('founded', { cluster: hardState.cluster, members })
    this.foundingInProgress = false
  }

  /** While this host founds a cluster, it reports a non-empty cluster, so that no other host founds one. */
  private identify (): IdentifyReply {
    return { identity: this.state.identity, cluster: this.foundingInProgress ? 'founding' : this.state.cluster, leader: this.leaderAddress() ?? '', diskless: false }
  }

  private onJoin (request: JoinRequest): JoinReply {
    const output = this.handle({ kind: InputKind.ChangeMembers, change: { kind: MemberChangeKind.AddLearner, ...request } })
    const accepted = output.proposed !== undefined || output.refusal === AgreementRefusal.AlreadyMember
    return { accepted, leader: this.leaderAddress() ?? '' }
  }

  private repair (): void {
    if (!isReadyLeader(this.state)) return
    const change = nextRepair(this.state, this.options.wantedVoters)
    if (change !== undefined) this.handle({ kind: InputKind.ChangeMembers, change })
  }
}

const emptyData = new Uint8Array(0)
const emptyOutput: Output = { append: [], messages: [], afterSync: [], committed: [], confirmed: [], failed: [] }

async function openDisk (options: ReplicaOptions): Promise<Result<Disk, StorageError>> {
  if (options.disk !== undefined) return ok(options.disk)
  try {
    return ok(await FolderDisk.create(options.folder, (event) => { options.log(event, { folder: options.folder }) }))
  } catch (error) {
    return err({ kind: StorageErrorKind.Failed, file: options.folder, message: error instanceof Error ? error.message : String(error) })
  }
}

function startState (recovered: RecoveredState, options: ReplicaOptions): AgreementState {
  const seed = randomBytes(4).readInt32LE()
  return startAgreement(recovered, options.timing ?? defaultAgreementTiming, seed, performance.now())
}

/** Index of the first entry to keep in memory for followers that are slightly behind a snapshot. */
function firstRetainedIndex (state: AgreementState, index: number): number {
  let bytes = 0
  let from = index
  while (from > state.baseIndex && bytes < RETAINED_ENTRIES_BYTES) {
    bytes += (state.entries.get(from - state.baseIndex - 1)?.data.length ?? 0) + ENTRY_OVERHEAD_BYTES
    from -= 1
  }
  return from + 1
}
