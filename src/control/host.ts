import * as grpc from '@grpc/grpc-js'
import { err, ok, type Result } from 'neverthrow'
import {
  decide, decodeState, EffectKind, encodeStateInPieces, guaranteeStatus, notRun, RefusalCode, TransactionKind, Verdict, type AgentEffect, type Applied, type Effect, type Refusal, type Section, type State, type Transaction
} from '../core/index'
import * as wire from '../wire/index'
import { Agents, refusalMessage, type AgentCall } from './agents'
import { controlCalls, type CallPorts } from './calls'
import { notLeaderRefusal, toWireRefusal } from './convert'
import { DecisionLog } from './decision-log'
import { CONFIRM_MILLISECONDS, Followers, type FollowerCall } from './followers'
import { LeaderClock } from './leader-clock'
import { Machine, recordLines } from './machine'
import { ControlMetrics } from './metrics'
import { claimFolder } from './owner'
import { RecordStore } from './recordstore'
import {
  AgreementRefusal, MemberChangeKind, Replica, Role, type MemberChange, type MemberChangeError, type NotLeader
} from './replica'
import { refuse, Supervisors, type SupervisorCall } from './supervisors'
import { clusterView } from './view'
import { Waiters } from './waiters'

/** What a control host is started with. */
export interface ControlOptions {
  /** Name of this host from its settings. */
  readonly host: string
  /** Own address, an IP number and a port. */
  readonly address: string
  readonly folder: string
  /** Addresses of the first voters; counts only while the data folder is new. */
  readonly voters: readonly string[]
  readonly serverCredentials?: grpc.ServerCredentials
  readonly channelCredentials?: grpc.ChannelCredentials
  /** Where /metrics is served, an IP number and a port; nowhere by default. */
  readonly metricsAddress?: string
  /** See {@link ReplicaOptions.founding}. */
  readonly founding?: boolean
  /** How many voters there should be, by what may be lost at once; operators decide where it is absent. */
  readonly wantedVoters?: number
  /** Longest time for which a supervised worker may run without hearing from a leader, in milliseconds. */
  readonly workerLeaseMilliseconds?: number
  /** Most bytes of the audit record that are kept. */
  readonly recordBytes?: number
  /** The data folder failed: nothing is promised any more, and the process should end. */
  readonly onFailure?: (message: string) => void
  readonly log: (event: string, fields: object) => void
}

/** Lease of a supervised worker where the settings give none, in milliseconds. */
const WORKER_LEASE_MILLISECONDS = 6_000
/** Time between two looks at leases and overdue reservations, in milliseconds. */
const TICK_MILLISECONDS = 50
/** Time between two entries that forget ended jobs, in milliseconds. */
const EXPIRE_MILLISECONDS = 10_000
/** Time after which a change of members may be tried again, in milliseconds. */
const MEMBERS_RETRY_MILLISECONDS = 500
/** Time for which the writing of a snapshot may hold the loop at once, in milliseconds. */
const SNAPSHOT_SLICE_MILLISECONDS = 5
/** Time between two entries that save checkpoints, in milliseconds: the work that a loss of everything costs. */
const CHECKPOINT_MILLISECONDS = 1_000
/** Time between two looks at what waits, for the log, in milliseconds. */
const WAITING_MILLISECONDS = 1_000
/** Time between two entries that count refusals, in milliseconds. */
const REFUSALS_MILLISECONDS = 1_000

const agentKinds: ReadonlySet<EffectKind> = new Set([
  EffectKind.Reserve, EffectKind.Release, EffectKind.Start, EffectKind.Stop, EffectKind.Acknowledge
])

const serverOptions = {
  'grpc.max_receive_message_length': 8 * 1_048_576,
  'grpc.max_send_message_length': 8 * 1_048_576,
  'grpc.keepalive_time_ms': 5_000,
  'grpc.keepalive_timeout_ms': 3_000
}

/** What an operator calls a change of members. Any other word moves the leadership. */
const memberChanges: { readonly [operation: string]: (request: wire.ChangeMembersRequest) => MemberChange } = {
  add: ({ identity, address }) => ({ kind: MemberChangeKind.AddLearner, identity, address }),
  promote: ({ identity }) => ({ kind: MemberChangeKind.Promote, identity }),
  remove: ({ identity }) => ({ kind: MemberChangeKind.Remove, identity })
}

function memberRefusal (error: NotLeader & Partial<MemberChangeError>): wire.Refusal {
  const code = error.refusal === AgreementRefusal.NotLeader ? RefusalCode.NotLeader : RefusalCode.Conflict
  const verdict = error.mayHaveRun === true ? Verdict.MayHaveRun : Verdict.NotRun
  return toWireRefusal({ ...notRun(code, `members were not changed: ${error.refusal}`, MEMBERS_RETRY_MILLISECONDS), verdict }, error.leader)
}

interface CountedRefusal {
  readonly account: string
  readonly code: string
  readonly message: string
  count: number
}

/** One control host: the log, the state, and, while it leads, everything that is decided. */
export class ControlHost {
  private readonly server = new grpc.Server(serverOptions)
  private readonly machine: Machine
  private readonly agents: Agents
  private readonly supervisors: Supervisors
  private readonly followers: Followers
  private readonly decisionLog: DecisionLog
  private readonly clock = LeaderClock.create()
  private readonly waiters = Waiters.create()
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
    supervisedWorkers: () => this.machine.committed.steps.lives.size,
    silentWorkers: () => this.machine.leads ? this.supervisors.view().silent.size : 0,
    documentNumber: () => this.machine.committed.steps.document?.number ?? 0
  })

  private readonly refusals = new Map<string, CountedRefusal>()
  private replica!: Replica
  private timers: NodeJS.Timeout[] = []
  private term = 0
  private stopping = false

  private constructor (private readonly options: ControlOptions, private readonly record: RecordStore) {
    this.machine = Machine.create({
      propose: (data) => this.replica.propose(data),
      onProposed: (effects) => { this.sendReservations(effects) },
      onCommitted: (applied, leading) => { this.committed(applied, leading) },
      decide: (head) => this.decide(head),
      onCommitTime: (milliseconds) => { this.metrics.committed(milliseconds) },
      soon: (run) => { setImmediate(run) },
      onRefusedDecision: (transaction, refusal) => { this.options.log('decision-refused', { transaction, refusal }) }
    })
    const state = {
      head: () => this.machine.head,
      committed: () => this.machine.committed,
      term: () => this.term,
      submit: (transaction: Transaction) => this.machine.submit(transaction),
      now: () => this.clock.now(),
      log: options.log
    }
    this.agents = Agents.create(state)
    this.supervisors = Supervisors.create({
      ...state,
      confirm: () => this.confirm(),
      controlHosts: () => this.controlHosts(),
      leaseMilliseconds: options.workerLeaseMilliseconds ?? WORKER_LEASE_MILLISECONDS
    })
    this.decisionLog = DecisionLog.create({ supervisors: this.supervisors, metrics: this.metrics, ...state })
    this.followers = Followers.create(state.committed, state.term, () => this.controlHosts())
  }

  /**
   * Opens the data folder and binds the address.
   * @param options - see {@link ControlOptions}
   * @returns the host, or why it could not start
   */
  static async create (options: ControlOptions): Promise<Result<ControlHost, Error>> {
    const record = RecordStore.open(options.folder, { keptBytes: options.recordBytes })
    if (record.isErr()) return err(record.error)
    if (record.value.cut !== undefined) options.log('record-cut', { at: record.value.cut })
    const host = new ControlHost(options, record.value)
    host.server.addService(wire.ControlService, controlCalls(host.ports()))
    const claimed = await claimFolder(options.folder, options.host)
    if (claimed.isErr()) return err(claimed.error)
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
    const { metricsAddress } = options
    if (metricsAddress !== undefined) {
      try { await host.metrics.listen(metricsAddress) } catch (error) { return err(new Error(`metrics address ${metricsAddress} cannot be used: ${(error as Error).message}`)) }
    }
    return await host.bind()
  }

  /** Takes part in the log. */
  start (): void {
    this.replica.start()
    this.timers = [
      setInterval(() => { this.tick() }, TICK_MILLISECONDS),
      setInterval(() => { this.followers.push([]) }, CONFIRM_MILLISECONDS),
      setInterval(() => { this.flushRefusals() }, REFUSALS_MILLISECONDS),
      setInterval(() => { this.saveCheckpoints() }, CHECKPOINT_MILLISECONDS),
      setInterval(() => { if (this.machine.leads) this.decisionLog.waiting(this.machine.head, this.supervisors.view()) }, WAITING_MILLISECONDS),
      setInterval(() => { if (this.machine.leads) this.submit({ kind: TransactionKind.Expire, at: this.clock.now() }) }, EXPIRE_MILLISECONDS)
    ]
  }

  /** Hands leadership over, sends everybody to the next leader, and closes the data folder. */
  async stop (): Promise<void> {
    if (this.stopping) return
    this.stopping = true
    for (const timer of this.timers) clearInterval(timer)
    this.metrics.close()
    await this.replica.stop()
    this.record.close()
    this.giveUp()
    await new Promise<void>((resolve) => {
      const force = setTimeout(() => { this.server.forceShutdown(); resolve() }, 500)
      this.server.tryShutdown(() => { clearTimeout(force); resolve() })
    })
  }

  /**
   * Record lines that a snapshot covers are not made again from the log, so they must last before it does.
   * The loop goes on with other work between the pieces: a state is immutable, so it cannot change meanwhile.
   */
  private async takeSnapshot (): Promise<Uint8Array | undefined> {
    const state = this.machine.committed
    if (!this.record.sync()) return undefined
    const pieces: Uint8Array[] = []
    let began = performance.now()
    for (const piece of encodeStateInPieces(state)) {
      pieces.push(piece)
      if (performance.now() - began < SNAPSHOT_SLICE_MILLISECONDS) continue
      await new Promise((resolve) => { setImmediate(resolve) })
      began = performance.now()
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

  private onRole (role: Role, term: number): void {
    this.term = term
    const leads = role === Role.Leader
    if (leads === this.machine.leads) return
    this.options.log(leads ? 'leading' : 'not-leading', { term })
    if (leads) this.beginLeading()
    this.machine.lead(leads)
    if (!leads) this.giveUp()
  }

  private beginLeading (): void {
    this.metrics.began()
    this.clock.begin(this.machine.committed.time)
    this.agents.begin(this.clock.now())
    this.supervisors.begin()
  }

  private decide (head: State): readonly Transaction[] {
    const now = this.clock.now()
    const decisions = decide(head, { now, silent: this.agents.silent(now), fleet: this.supervisors.view() })
    for (const decision of decisions) this.decisionLog.decided(head, decision)
    return decisions
  }

  private async confirm (): Promise<boolean> {
    return (await this.replica.confirmLeadership()).isOk()
  }

  private controlHosts (): string[] {
    return this.replica.status().members.map(({ address }) => address)
  }

  private giveUp (): void {
    this.supervisors.end(this.replica.leaderAddress())
    this.agents.end(this.replica.leaderAddress())
    this.followers.end(this.notLeader())
    this.waiters.abandon()
  }

  private tick (): void {
    if (!this.machine.leads) return
    for (const transaction of [...this.agents.overdue(this.clock.now()), ...this.supervisors.overdue()]) this.submit(transaction)
    this.machine.wake()
  }

  private saveCheckpoints (): void {
    const unsaved = this.machine.leads ? this.supervisors.unsavedCheckpoints() : undefined
    if (unsaved !== undefined) this.submit(unsaved)
  }

  private submit (transaction: Transaction): void {
    this.machine.submit(transaction).catch((error: Error) => { this.options.log('submit-failed', { message: error.message }) })
  }

  /** A reservation may be asked for before it is durable: it changes nothing that lasts. */
  private sendReservations (effects: readonly Effect[]): void {
    for (const effect of effects) if (effect.kind === EffectKind.Reserve) this.agents.tell(effect)
  }

  private committed (applied: readonly Applied[], leading: boolean): void {
    this.record.append(recordLines(applied))
    if (!leading) return
    const changed = new Set<Section>()
    const lives = new Set<string>()
    for (const { effects } of applied) {
      for (const effect of effects) {
        this.carryOut(effect, changed)
        if (effect.kind === EffectKind.LifeChanged) lives.add(effect.incarnation)
      }
    }
    this.supervisors.changed(lives)
    if (changed.size === 0) return
    this.followers.push([...changed])
    this.agents.pushConfiguration([...changed])
  }

  private carryOut (effect: Effect, changed: Set<Section>): void {
    if (effect.kind === EffectKind.JobMoved) {
      const job = this.machine.committed.jobs.get(effect.job)
      if (job !== undefined) this.waiters.moved(job)
    } else if (effect.kind === EffectKind.ConfigurationChanged) {
      for (const section of effect.sections) changed.add(section)
    } else if (effect.kind === EffectKind.StepJobEnded) {
      this.decisionLog.ended(this.machine.committed, effect.job)
    } else if (agentKinds.has(effect.kind) && effect.kind !== EffectKind.Reserve) {
      this.agents.tell(effect as AgentEffect)
    }
  }

  private ports (): CallPorts {
    return {
      leads: () => this.machine.leads && !this.stopping,
      leader: () => this.replica.leaderAddress() ?? '',
      committed: () => this.machine.committed,
      head: () => this.machine.head,
      submit: (transaction) => this.machine.submit(transaction),
      confirm: () => this.confirm(),
      now: () => this.clock.now(),
      log: this.options.log,
      supervise: (call) => { this.supervise(call) },
      attach: (call) => { this.attach(call) },
      follow: (call) => { this.follow(call) },
      countRefusal: (account, refusal) => { this.countRefusal(account, refusal) },
      status: () => this.status(),
      controlHosts: () => this.controlHosts(),
      changeMembers: (request) => this.changeMembers(request),
      recordFrom: (sequence) => this.record.from(sequence),
      waiters: this.waiters
    }
  }

  private attach (call: AgentCall): void {
    if (this.machine.leads) { this.agents.attach(call); return }
    call.write(refusalMessage(this.replica.leaderAddress()))
    call.end()
  }

  private supervise (call: SupervisorCall): void {
    if (this.machine.leads) this.supervisors.attach(call)
    else refuse(call, this.replica.leaderAddress())
  }

  private follow (call: FollowerCall): void {
    if (this.machine.leads) { this.followers.follow(call); return }
    call.write(wire.ConfigurationUpdate.fromPartial({ refusal: this.notLeader() }))
    call.end()
  }

  private notLeader (): wire.Refusal {
    return notLeaderRefusal(this.replica.leaderAddress())
  }

  private countRefusal (account: string, refusal: Refusal): void {
    const { code, message } = refusal
    this.metrics.refusal(code)
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
    const inForce = [...this.agents.inForce(), ...this.followers.inForce()]
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
