import { getHeapStatistics } from 'node:v8'
import * as grpc from '@grpc/grpc-js'
import { err, ok, type Result } from 'neverthrow'
import {
  AccountStarts, AdmissionControl, decide, decodeState, EffectKind, encodeStateInChunks, evacuatedDataCentres, evacuatedRuns, guaranteeStatus, StepTransactionKind, TransactionKind, waitingLimitsFor,
  type AgentEffect, type Applied, type Effect, type Refusal, type Section, type State, type StepRunEnded, type Transaction, type WaitingLimits
} from '../core/index'
import * as wire from '../wire/index'
import { Agents, notLeaderMessage, type AgentCall } from './agents'
import { createControlService, type CallContext } from './calls'
import { notLeaderRefusal } from './convert'
import { DecisionLog } from './decision-log'
import { CONFIRM_INTERVAL_MILLISECONDS, ConfigurationFollowers, type ConfigurationCall } from './configuration-followers'
import { LeaderClock } from './leader-clock'
import { Machine, recordLines } from './machine'
import { memberChanges, memberRefusal } from './member-requests'
import { HttpLimits } from '../http/index'
import { ControlMetrics } from './metrics'
import { claimDataFolder } from './owner'
import { PaceMonitor } from './pace-monitor'
import { RecordStore } from './record-store'
import { Replica, AgreementRole } from './replica'
import { InterferenceTracker } from './interference-tracker'
import { refuseNotLeader } from './refuse-supervisor'
import { Supervisors, type SupervisorCall } from './supervisors'
import { clusterView } from './view'
import { JobWaiters } from './job-waiters'

/** Options of a control host. */
export interface ControlOptions {
  /** Name of this host in its settings. */
  readonly host: string
  /** Address to listen on and to be reached at: IP address and port. */
  readonly address: string
  readonly folder: string
  /** Addresses of the initial voters; used only while the data folder is new. */
  readonly voters: readonly string[]
  readonly serverCredentials?: grpc.ServerCredentials
  readonly channelCredentials?: grpc.ChannelCredentials
  /** IP address and port at which /metrics is served; not served by default. */
  readonly metricsAddress?: string
  /** The limits of the process; its own by default. */
  readonly limits?: HttpLimits
  /** See {@link ReplicaOptions.founding}. */
  readonly founding?: boolean
  /** Number of voters to maintain, derived from how many hosts may be lost at once; without it, operators add and remove voters. */
  readonly wantedVoters?: number
  /** Length of a supervised worker's lease, in milliseconds. */
  readonly workerLeaseMilliseconds?: number
  /** Longest time that a supervised worker takes to end a run, in milliseconds. */
  readonly workerStopMilliseconds?: number
  /** Maximum size of the audit record; the oldest segments beyond it are removed. */
  readonly maxRecordBytes?: number
  /** Limits of waiting step jobs; derived from the limit of the heap by default. */
  readonly waitingLimits?: WaitingLimits
  /** Called when the data folder fails: the host can no longer guarantee durability, and the process should exit. */
  readonly onFailure?: (message: string) => void
  readonly log: (event: string, fields: object) => void
}

const DEFAULT_WORKER_LEASE_MILLISECONDS = 6_000
const DEFAULT_WORKER_STOP_MILLISECONDS = 1_000
const BYTES_PER_MEGABYTE = 1_048_576
/** Interval of checks for expired leases and overdue reservations, in milliseconds. */
const TICK_INTERVAL_MILLISECONDS = 50
/** Interval of log entries that remove ended jobs past their retention, in milliseconds. */
const EXPIRE_INTERVAL_MILLISECONDS = 10_000
/** Time for which encoding a snapshot may block the event loop without a break, in milliseconds. */
const MAX_SNAPSHOT_SLICE_MILLISECONDS = 5
/** Interval of log entries that save checkpoints, in milliseconds: the work lost when all workers and the leader are lost at once. */
const CHECKPOINT_INTERVAL_MILLISECONDS = 1_000
/** Interval at which reasons for waiting are logged and the rate of waiting work is measured, in milliseconds. */
const WAITING_LOG_INTERVAL_MILLISECONDS = 1_000
/** Interval at which the pace of workers is learned, in milliseconds. */
const PACE_INTERVAL_MILLISECONDS = 1_000
/** Interval of log entries that count refusals, in milliseconds. */
const REFUSALS_INTERVAL_MILLISECONDS = 1_000

const agentEffectKinds: ReadonlySet<EffectKind> = new Set([
  EffectKind.Reserve, EffectKind.Release, EffectKind.Start, EffectKind.Stop, EffectKind.Acknowledge
])

const serverOptions = {
  'grpc.max_receive_message_length': 8 * 1_048_576,
  'grpc.max_send_message_length': 8 * 1_048_576,
  'grpc.keepalive_time_ms': 5_000,
  'grpc.keepalive_timeout_ms': 3_000
}

/** Refusals of one account with one code that are not in the log yet. */
interface CountedRefusal {
  readonly account: string
  readonly code: string
  readonly message: string
  count: number
}

/** A control host: replicates the log and the state and, while it leads, makes all decisions. */
export class ControlHost {
  private readonly server = new grpc.Server(serverOptions)
  private readonly machine: Machine
  private readonly agents: Agents
  private readonly supervisors: Supervisors
  private readonly interference: InterferenceTracker
  private readonly followers: ConfigurationFollowers
  private readonly decisionLog: DecisionLog
  private readonly pace: PaceMonitor
  private readonly clock = LeaderClock.create()
  private readonly waiters = JobWaiters.create()
  private readonly accountStarts = AccountStarts.create()
  private readonly admission: AdmissionControl
  private readonly metrics = ControlMetrics.create({
    leads: () => Number(this.machine.leads),
    term: () => this.term,
    committedEntries: () => this.replica.status().commit,
    configurationNumber: () => this.machine.committed.configuration.number,
    openJobs: () => this.machine.committed.open.size,
    queuedJobs: () => this.machine.committed.queued.size,
    presentWorkers: () => this.machine.committed.workers.count((worker) => worker.present),
    brokenGuarantees: () => guaranteeStatus(this.machine.committed).reduce((sum, { missing }) => sum + missing, 0),
    openStepJobs: () => this.machine.committed.steps.open.size,
    waitingStepTasks: () => this.machine.committed.steps.waitingWork.reduce((sum, { tasks }) => sum + tasks, 0),
    supervisedWorkers: () => this.machine.committed.steps.incarnations.size,
    silentWorkers: () => this.machine.leads ? this.supervisors.fleetView().silent.size : 0,
    slowWorkers: () => this.pace.slowCount,
    evacuatedDataCentres: () => evacuatedDataCentres(this.machine.committed.steps).length,
    evacuatedRuns: () => [...evacuatedRuns(this.machine.committed.steps).values()].reduce((sum, runs) => sum + runs, 0),
    stoppedClocks: () => this.machine.leads ? this.supervisors.stoppedClockCount : 0,
    unassignedRuns: () => this.machine.leads ? this.supervisors.unassignedRunCount : 0,
    revocableStarts: () => this.machine.committed.steps.revocableStarts?.reduce((sum, starts) => sum + starts.length, 0) ?? 0,
    earlyCancellations: () => this.machine.committed.steps.earlyCancellations?.reduce((sum, { size }) => sum + size, 0) ?? 0,
    documentNumber: () => this.machine.committed.steps.document?.number ?? 0
  })

  private readonly refusals = new Map<string, CountedRefusal>()
  private replica!: Replica
  private timers: NodeJS.Timeout[] = []
  private term = 0
  private stopping = false

  private constructor (private readonly options: ControlOptions, private readonly record: RecordStore) {
    this.admission = AdmissionControl.create(options.waitingLimits ?? waitingLimitsFor(getHeapStatistics().heap_size_limit / BYTES_PER_MEGABYTE))
    this.machine = Machine.create({
      propose: (data) => this.replica.propose(data),
      onProposed: (effects) => { this.sendReservations(effects) },
      onCommitted: (applied, leading) => { this.onCommitted(applied, leading) },
      decide: (head) => this.decide(head),
      onCommitTime: (milliseconds) => { this.metrics.observeCommit(milliseconds) },
      schedule: (run) => { setImmediate(run) },
      onRefusedDecision: (transaction, refusal) => { this.options.log('decision-refused', { transaction, refusal }) }
    })
    const shared = {
      head: () => this.machine.head,
      committed: () => this.machine.committed,
      term: () => this.term,
      submit: (transaction: Transaction) => this.machine.submit(transaction),
      now: () => this.clock.now(),
      log: options.log
    }
    this.agents = Agents.create(shared)
    this.interference = InterferenceTracker.create({ ...shared, steps: () => this.machine.head.steps })
    this.supervisors = Supervisors.create({
      ...shared,
      interference: this.interference,
      confirm: () => this.confirm(),
      controlHosts: () => this.controlHosts(),
      relays: () => this.followers.relays(),
      leaseMilliseconds: options.workerLeaseMilliseconds ?? DEFAULT_WORKER_LEASE_MILLISECONDS,
      stopMilliseconds: options.workerStopMilliseconds ?? DEFAULT_WORKER_STOP_MILLISECONDS
    })
    this.pace = PaceMonitor.create(options.log)
    this.metrics.addInterference(() => this.machine.leads ? this.interference.slowDowns : [])
    this.decisionLog = DecisionLog.create({ supervisors: this.supervisors, metrics: this.metrics, ...shared })
    this.followers = ConfigurationFollowers.create(shared.committed, shared.term, () => this.controlHosts())
  }

  /**
   * Opens the data folder and binds the address.
   * @param options - see {@link ControlOptions}
   * @returns the host, or the error that kept it from starting
   */
  static async create (options: ControlOptions): Promise<Result<ControlHost, Error>> {
    const record = RecordStore.open(options.folder, { maxRetainedBytes: options.maxRecordBytes })
    if (record.isErr()) return err(record.error)
    if (record.value.truncatedAt !== undefined) options.log('record-cut', { at: record.value.truncatedAt })
    const host = new ControlHost(options, record.value)
    host.server.addService(wire.ControlService, createControlService(host.callContext()))
    const folderClaim = await claimDataFolder(options.folder, options.host)
    if (folderClaim.isErr()) return err(folderClaim.error)
    const replica = await Replica.create({
      folder: options.folder,
      address: options.address,
      bootstrap: options.voters,
      founding: options.founding,
      wantedVoters: options.wantedVoters,
      host: options.host,
      server: host.server,
      credentials: options.channelCredentials,
      onCommit: (entries) => { for (const entry of entries) host.machine.commit(entry, entry.data) },
      onRestore: (snapshot) => { host.machine.restore(decodeState(snapshot)) },
      takeSnapshot: () => host.takeSnapshot(),
      onFailure: (error) => { options.onFailure?.(error.message) },
      onRole: (role, term) => { host.onRole(role, term) },
      log: options.log
    })
    if (replica.isErr()) return err(new Error(replica.error.message))
    host.replica = replica.value
    const { metricsAddress, limits = HttpLimits.create({}, { warn: (event, fields = {}) => { options.log(event, fields) } }) } = options
    if (metricsAddress !== undefined) {
      try { await host.metrics.listen(metricsAddress, limits) } catch (error) { return err(new Error(`metrics address ${metricsAddress} cannot be used: ${(error as Error).message}`)) }
    }
    return await host.bind()
  }

  /** Joins the replication of the log and starts the periodic tasks. */
  start (): void {
    this.replica.start()
    this.timers = [
      setInterval(() => { this.tick() }, TICK_INTERVAL_MILLISECONDS),
      setInterval(() => { this.followers.push([]) }, CONFIRM_INTERVAL_MILLISECONDS),
      setInterval(() => { this.flushRefusals() }, REFUSALS_INTERVAL_MILLISECONDS),
      setInterval(() => { this.saveCheckpoints() }, CHECKPOINT_INTERVAL_MILLISECONDS),
      setInterval(() => { if (this.machine.leads) this.pace.update(this.machine.head, this.supervisors.fleetView()) }, PACE_INTERVAL_MILLISECONDS),
      setInterval(() => { if (this.machine.leads) this.observeWaiting() }, WAITING_LOG_INTERVAL_MILLISECONDS),
      setInterval(() => { if (this.machine.leads) this.submit({ kind: TransactionKind.Expire, at: this.clock.now() }) }, EXPIRE_INTERVAL_MILLISECONDS)
    ]
  }

  /** Transfers leadership, refers all clients to the next leader, and closes the data folder. */
  async stop (): Promise<void> {
    if (this.stopping) return
    this.stopping = true
    for (const timer of this.timers) clearInterval(timer)
    this.metrics.close()
    await this.replica.stop()
    this.record.close()
    this.endLeading()
    await new Promise<void>((resolve) => {
      const force = setTimeout(() => { this.server.forceShutdown(); resolve() }, 500)
      this.server.tryShutdown(() => { clearTimeout(force); resolve() })
    })
  }

  /**
   * Encodes the committed state. The audit record is synced first, because record lines that a snapshot covers cannot be
   * derived from the log again. The event loop runs other work between the pieces; the state is immutable, so all pieces
   * are of the same state.
   */
  private async takeSnapshot (): Promise<Uint8Array | undefined> {
    const state = this.machine.committed
    if (!this.record.sync()) return undefined
    const pieces: Uint8Array[] = []
    let sliceStartedAt = performance.now()
    for (const piece of encodeStateInChunks(state)) {
      pieces.push(piece)
      if (performance.now() - sliceStartedAt < MAX_SNAPSHOT_SLICE_MILLISECONDS) continue
      await new Promise((resolve) => { setImmediate(resolve) })
      sliceStartedAt = performance.now()
    }
    return Buffer.concat(pieces)
  }

  private bind (): Promise<Result<ControlHost, Error>> {
    return new Promise((resolve) => {
      const credentials = this.options.serverCredentials ?? grpc.ServerCredentials.createInsecure()
      this.server.bindAsync(this.options.address, credentials, (error) => {
        resolve(error === null ? ok(this) : err(new Error(`address ${this.options.address} cannot be used: ${error.message}`)))
      })
    })
  }

  private onRole (role: AgreementRole, term: number): void {
    this.term = term
    const leads = role === AgreementRole.Leader
    if (leads === this.machine.leads) return
    this.options.log(leads ? 'leading' : 'not-leading', { term })
    if (leads) this.beginLeading()
    this.machine.setLeading(leads)
    if (!leads) this.endLeading()
  }

  private beginLeading (): void {
    this.metrics.countLeadership()
    this.clock.begin(this.machine.committed.time)
    this.agents.beginLeading(this.clock.now())
    this.supervisors.beginLeading()
    this.pace.clear()
    this.accountStarts.clear()
    this.admission.beginLeading(this.clock.now())
    this.interference.clear()
  }

  private decide (head: State): readonly Transaction[] {
    const now = this.clock.now()
    const fleet = { ...this.supervisors.fleetView(), paces: this.pace.paces, accountStarts: this.accountStarts }
    const decisions = decide(head, { now, silent: this.agents.silentWorkers(now), fleet })
    for (const decision of decisions) {
      this.decisionLog.logDecision(head, decision)
      if (decision.kind === StepTransactionKind.StartGang) this.accountStarts.record(head.steps, decision)
    }
    return decisions
  }

  private async confirm (): Promise<boolean> {
    return (await this.replica.confirmLeadership()).isOk()
  }

  private controlHosts (): string[] {
    return this.replica.status().members.map(({ address }) => address)
  }

  private endLeading (): void {
    this.supervisors.endLeading(this.replica.leaderAddress())
    this.agents.endLeading(this.replica.leaderAddress())
    this.followers.endLeading(this.notLeader())
    this.waiters.abandon()
  }

  private tick (): void {
    if (!this.machine.leads) return
    for (const transaction of [...this.agents.expiredLeases(this.clock.now()), ...this.supervisors.expiredLeases()]) this.submit(transaction)
    this.machine.wake()
  }

  private observeWaiting (): void {
    const { head } = this.machine
    this.decisionLog.logWaiting(head, this.supervisors.fleetView())
    this.admission.observe(head.steps, this.clock.now())
  }

  private saveCheckpoints (): void {
    const unsaved = this.machine.leads ? this.supervisors.unsavedCheckpoints() : undefined
    if (unsaved !== undefined) this.submit(unsaved)
  }

  private submit (transaction: Transaction): void {
    this.machine.submit(transaction).catch((error: Error) => { this.options.log('submit-failed', { message: error.message }) })
  }

  /** Reservations are requested before their entries are committed, because a reservation changes nothing durable. */
  private sendReservations (effects: readonly Effect[]): void {
    for (const effect of effects) if (effect.kind === EffectKind.Reserve) this.agents.sendCommand(effect)
  }

  private onCommitted (applied: readonly Applied[], leading: boolean): void {
    this.record.append(recordLines(applied))
    if (!leading) return
    const changed = new Set<Section>()
    const changedIncarnations = new Set<string>()
    const runEnds: StepRunEnded[] = []
    for (const { effects } of applied) {
      for (const effect of effects) {
        this.handleEffect(effect, changed)
        if (effect.kind === EffectKind.IncarnationChanged) changedIncarnations.add(effect.incarnation)
        if (effect.kind === EffectKind.StepRunEnded) runEnds.push(effect)
      }
    }
    this.supervisors.sendOrdersTo(changedIncarnations)
    this.decisionLog.logRunEnds(runEnds)
    if (changed.size === 0) return
    this.followers.push([...changed])
    this.agents.pushConfiguration([...changed])
  }

  private handleEffect (effect: Effect, changed: Set<Section>): void {
    if (effect.kind === EffectKind.JobChanged) {
      const job = this.machine.committed.jobs.get(effect.job)
      if (job !== undefined) this.waiters.notify(job)
    } else if (effect.kind === EffectKind.ConfigurationChanged) {
      for (const section of effect.sections) changed.add(section)
    } else if (effect.kind === EffectKind.StepJobEnded) {
      this.decisionLog.logJobEnd(this.machine.committed, effect.job)
    } else if (effect.kind === EffectKind.StepGangSuspected) {
      this.decisionLog.logCrashSuspect(effect)
    } else if (agentEffectKinds.has(effect.kind) && effect.kind !== EffectKind.Reserve) {
      this.agents.sendCommand(effect as AgentEffect)
    }
  }

  private callContext (): CallContext {
    return {
      leads: () => this.machine.leads && !this.stopping,
      leader: () => this.replica.leaderAddress() ?? '',
      committed: () => this.machine.committed,
      head: () => this.machine.head,
      submit: (transaction, precondition) => this.machine.submit(transaction, precondition),
      confirm: () => this.confirm(),
      admission: this.admission,
      countSubmissionRefusal: (reason) => { this.metrics.countSubmissionRefusal(reason) },
      now: () => this.clock.now(),
      log: this.options.log,
      supervise: (call) => { this.supervise(call) },
      attach: (call) => { this.attach(call) },
      follow: (call) => { this.follow(call) },
      countRefusal: (account, refusal) => { this.countRefusal(account, refusal) },
      status: () => this.status(),
      controlHosts: () => this.controlHosts(),
      changeMembers: (request) => this.changeMembers(request),
      recordFrom: (sequence) => this.record.linesFrom(sequence),
      waiters: this.waiters
    }
  }

  private attach (call: AgentCall): void {
    if (this.machine.leads) { this.agents.attach(call); return }
    call.write(notLeaderMessage(this.replica.leaderAddress()))
    call.end()
  }

  private supervise (call: SupervisorCall): void {
    if (this.machine.leads) this.supervisors.attach(call)
    else refuseNotLeader(call, this.replica.leaderAddress())
  }

  private follow (call: ConfigurationCall): void {
    if (this.machine.leads) { this.followers.attach(call); return }
    call.write(wire.ConfigurationUpdate.fromPartial({ refusal: this.notLeader() }))
    call.end()
  }

  private notLeader (): wire.Refusal {
    return notLeaderRefusal(this.replica.leaderAddress())
  }

  private countRefusal (account: string, refusal: Refusal): void {
    const { code, message } = refusal
    this.metrics.countRefusal(code)
    const known = this.refusals.get(`${account}/${code}`)
    if (known === undefined) this.refusals.set(`${account}/${code}`, { account, code, message, count: 1 })
    else known.count++
  }

  private flushRefusals (): void {
    if (!this.machine.leads) return
    for (const { account, code, count, message } of this.refusals.values()) {
      this.submit({ kind: TransactionKind.Refuse, at: this.clock.now(), account, code, count, message })
    }
    this.refusals.clear()
  }

  private async changeMembers (request: wire.ChangeMembersRequest): Promise<wire.ChangeMembersReply> {
    const change = memberChanges[request.operation]
    const outcome = change === undefined ? await this.replica.transferLeadership() : await this.replica.changeMembers(change(request))
    const { members } = this.status()
    return outcome.isOk() ? { refusal: undefined, members } : { refusal: memberRefusal(outcome.error), members }
  }

  private status (): wire.StatusReply {
    const replica = this.replica.status()
    const { configuration } = this.machine.committed
    const inForce = [...this.agents.configurationsInForce(), ...this.followers.configurationsInForce()]
    return wire.StatusReply.fromPartial({
      identity: replica.identity,
      role: replica.role,
      term: replica.term,
      leader: this.replica.leaderAddress() ?? '',
      committed: replica.commit,
      configuration: configuration.number,
      members: replica.members.map(({ identity, address, voter, match }) => ({ identity, address, role: voter ? 'voter' : 'learner', match })),
      laggards: inForce.filter((process) => process.inForce !== configuration.number),
      followers: inForce.length,
      viewJson: JSON.stringify(clusterView(this.machine.committed))
    })
  }
}
