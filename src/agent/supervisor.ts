/**
 * Supervises the tasks of one worker: forwards the leader's orders to it, extends its lease as the leader grants it, and
 * reports running and ended runs. It keeps no state that the worker could not list again.
 */
import type { ChannelCredentials } from '@grpc/grpc-js'
import type { KnownHosts } from '../client/known-hosts'
import type { Resources } from '../core/steps/model'
import { fitsInto, resourcesOf, sameResources } from '../core/steps/resources'
import { runName, type RunKey } from '../core/steps/run'
import { WorkerReport, type PredecessorRuns, type StartOrder, type WorkerOrders } from '../wire'
import { acknowledge, addRun, applyRunLists, emptyRunTable, endsToReport, removeRun, RunPhase, updateRun, type RunTable, type TrackedRun } from './run-table'
import { ControlStream, type StreamProtocol } from './control-stream'
import { recordClock, type FollowedClock } from './worker-clock'
import { OrderOutcome, OrderRefusal, type OrderAnswer, type OrderContext, type PollRequest, type RunLists, type WorkerApi, type WorkerHeartbeat } from './worker-api'

/** Interval of reports while nothing changes, in milliseconds. */
const REPORT_MILLISECONDS = 500
/** Time without orders after which the stream to the leader is closed, in milliseconds: two answers are missing by then. */
const SILENCE_TIMEOUT_MILLISECONDS = 1_200
/** Upper limit of the time that a poll waits for an end, in milliseconds; reported progress is at most as old. */
const MAX_POLL_WAIT_MILLISECONDS = 700
/** Delay before an order or a poll is sent again, in milliseconds. */
const RETRY_MILLISECONDS = 60
/** Delay before a stop with an outdated fencing token is sent again, in milliseconds: a new token comes with the next leader's orders. */
const FENCED_RETRY_MILLISECONDS = 300
/** Time after which an unanswered start is no longer expected to arrive at the worker, in milliseconds. */
const UNANSWERED_START_RETENTION_MILLISECONDS = 60_000
/**
 * Age of the last answered report beyond which no start is sent, in milliseconds. A start that waited for longer, because this
 * process was paused or cut off from the leader, may have been withdrawn: evacuations are in force 5 s after they are acknowledged.
 */
const MAX_ANSWER_AGE_MILLISECONDS = 2_500
/** Number of reports whose sending times are kept. */
const MAX_TRACKED_REPORTS = 64
/** Interval of polls while control has not recorded a listed end, or a start or stop is pending, in milliseconds. */
const UNRECORDED_POLL_MILLISECONDS = 60

/** The options of a supervisor. */
export interface SupervisorOptions {
  /** Name of this host. */
  readonly host: string
  readonly hosts: KnownHosts
  readonly worker: WorkerApi
  readonly credentials?: ChannelCredentials
  /** How the stream to the leader is opened; over gRPC if not given. */
  readonly protocol?: StreamProtocol<WorkerReport, WorkerOrders>
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void
}

const superviseProtocol: StreamProtocol<WorkerReport, WorkerOrders> = {
  open: (client) => client.supervise(),
  refusalOf: ({ refusal }) => refusal
}

/** The current incarnation of the worker. */
interface TrackedIncarnation extends FollowedClock {
  /** The first heartbeat of the incarnation. */
  readonly heartbeat: WorkerHeartbeat
  /** Capacity in the newest heartbeat. */
  capacity: Resources
  /** Sequence number of the newest heartbeat. */
  heartbeatSequence: number
  /** What all runs that control has assigned to the worker occupy; absent before the first orders. */
  used?: Resources
  leaving: boolean
  /** Until when a leaving worker stays at least, in monotonic milliseconds; absent where it does not state it. */
  leavesAt?: number
  /** End of the lease on that clock, 0 before the first grant. */
  leaseUntil: number
  table: RunTable
  readonly startOrders: Map<string, StartOrder>
  /** Names of runs whose stop was answered. */
  readonly confirmedStops: Set<string>
  /** Names of runs for which a stop is being sent. */
  readonly openStops: Set<string>
  /** Number of the last recorded end that the worker was told of, -1 before the first poll. */
  polledAcknowledged: number
  /** Names of starts for earlier incarnations that must be revoked at this one before it is reported. */
  readonly toRevoke: ReadonlySet<string>
  /** Earlier incarnations, which are reported as gone together with the first report of this one. */
  readonly predecessors: readonly string[]
  /** What had begun in those whose runs this agent has listed, until control has recorded their loss. */
  predecessorRuns: readonly PredecessorRuns[]
  /** The worker has listed its runs, and the starts for earlier incarnations are revoked. */
  reportable: boolean
  /**
   * The last call was answered by this incarnation. After a call without an answer the worker may have restarted under the
   * same name; then neither starts nor the lease and the end numbers of this incarnation may reach it.
   */
  verified: boolean
}

/** A start that got no answer, and may still be executed. */
interface UnansweredStart {
  readonly key: RunKey
  /** Monotonic milliseconds. */
  readonly sentAt: number
}

/** The agent beside a worker that runs the tasks of step jobs. */
export class Supervisor {
  private current?: TrackedIncarnation
  /** Starts that got no answer, of all incarnations, by name. */
  private readonly unansweredStarts = new Map<string, UnansweredStart>()
  private readonly endedIncarnations = new Set<string>()
  /** The newest heartbeat of each incarnation that is being checked, by incarnation. */
  private readonly checkedHeartbeats = new Map<string, WorkerHeartbeat>()
  private readonly stream: ControlStream<WorkerReport, WorkerOrders>
  private term = 0
  /** Orders have come over the open stream. */
  private connected = false
  /** When the last orders came, in monotonic milliseconds; absent before the first. */
  private ordersAt?: number
  private sequence = 0
  /** Sending times of the last reports by sequence number, in monotonic milliseconds. */
  private readonly reportSentAt = new Map<number, number>()
  /** Sending time of the newest report that a leader has answered, in monotonic milliseconds. */
  private answeredReportAt = -Infinity
  private reportTimer?: NodeJS.Timeout
  private reportDue = false
  private wakePoll?: () => void
  private ended = false

  private constructor (private readonly options: SupervisorOptions) {
    this.stream = ControlStream.create(options.hosts, options.protocol ?? superviseProtocol, {
      opened: () => { this.report() },
      received: (orders) => { this.handleOrders(orders) },
      closed: () => {
        this.connected = false
        options.log('control-lost', { term: this.term })
      }
    }, options.credentials)
  }

  /**
   * Creates a supervisor without starting it.
   * @param options - see {@link SupervisorOptions}
   * @returns the supervisor
   */
  static create (options: SupervisorOptions): Supervisor {
    return new Supervisor(options)
  }

  /** Connects to the leader and starts the reports and polls. */
  start (): void {
    this.reportTimer = setInterval(() => { this.report() }, REPORT_MILLISECONDS)
    this.stream.start()
    void this.pollUntilEnded()
  }

  /**
   * Stops the reports. Running tasks continue under their lease until a supervisor on this host, or control, acts on them.
   */
  async stop (): Promise<void> {
    this.ended = true
    clearInterval(this.reportTimer)
    this.wakePoll?.()
    await this.stream.stop()
    await this.options.worker.close()
  }

  /**
   * Handles a heartbeat of the worker. A late heartbeat of an earlier incarnation is ignored.
   * @param heartbeat - the heartbeat
   */
  handleHeartbeat (heartbeat: WorkerHeartbeat): void {
    const { current } = this
    if (current === undefined) { this.beginIncarnation(heartbeat); return }
    if (current.heartbeat.incarnation !== heartbeat.incarnation) { void this.checkSuccessor(current, heartbeat); return }
    recordClock(current, heartbeat.clock, performance.now())
    this.updateFromHeartbeat(current, heartbeat)
    if (!heartbeat.leaving || current.leaving) return
    current.leaving = true
    this.options.log('worker-leaving', { incarnation: heartbeat.incarnation, remainingMilliseconds: heartbeat.remainingMilliseconds })
    this.report()
  }

  /**
   * Begins another incarnation unless the tracked one still answers: an agent has one worker, so the heartbeat is then late
   * or of another sender. The times of start alone do not show which is later, as the time of day can be set back.
   */
  private async checkSuccessor (tracked: TrackedIncarnation, heartbeat: WorkerHeartbeat): Promise<void> {
    const { incarnation } = heartbeat
    if (this.endedIncarnations.has(incarnation)) return
    const checked = this.checkedHeartbeats.get(incarnation)
    if (checked === undefined || heartbeat.sequence > checked.sequence) this.checkedHeartbeats.set(incarnation, heartbeat)
    if (checked !== undefined) return
    // Starts must not be sent to the new incarnation in the meantime.
    tracked.verified = false
    const answer = await this.options.worker.poll(this.context(tracked), identityPoll)
    const newest = this.checkedHeartbeats.get(incarnation) ?? heartbeat
    this.checkedHeartbeats.delete(incarnation)
    if (this.ended || this.current !== tracked) return
    if (isDisplaced(tracked, heartbeat, answer)) { this.beginIncarnation(newest); return }
    this.options.log('heartbeat-ignored', { incarnation, current: tracked.heartbeat.incarnation, answer: typeof answer === 'string' ? answer : 'answers' })
  }

  /** A late heartbeat must not bring an older capacity or time of leaving back. */
  private updateFromHeartbeat (tracked: TrackedIncarnation, heartbeat: WorkerHeartbeat): void {
    if (heartbeat.sequence <= tracked.heartbeatSequence) return
    tracked.heartbeatSequence = heartbeat.sequence
    tracked.leavesAt = leavesAtOf(heartbeat)
    if (sameResources(tracked.capacity, heartbeat)) return
    tracked.capacity = resourcesOf(heartbeat)
    this.report()
  }

  /**
   * Handles the deregistration of the worker, which ends its incarnation. A late one of an earlier incarnation of the same
   * name is ignored.
   * @param worker - the name of the worker
   * @param startedAt - start of the incarnation, in milliseconds since the epoch; undefined where it is not stated
   */
  handleDeregistration (worker: string, startedAt?: number): void {
    const { current } = this
    if (current?.heartbeat.worker !== worker || (startedAt ?? current.heartbeat.startedAt) !== current.heartbeat.startedAt) return
    this.options.log('worker-left', { incarnation: current.heartbeat.incarnation })
    this.current = undefined
    this.endIncarnations([...current.predecessors, current.heartbeat.incarnation])
    this.report()
  }

  private endIncarnations (incarnations: readonly string[]): void {
    for (const incarnation of incarnations) this.endedIncarnations.add(incarnation)
  }

  /**
   * Starts to track a new incarnation. Unanswered starts for earlier ones may still be executed by it, as orders name the
   * worker and not its incarnation, so they are revoked before the new one is reported and the earlier ones as gone.
   */
  private beginIncarnation (heartbeat: WorkerHeartbeat): void {
    const { current } = this
    const { incarnation } = heartbeat
    if (this.endedIncarnations.has(incarnation)) return
    const unanswered = this.recentUnansweredStarts()
    const next: TrackedIncarnation = {
      heartbeat,
      capacity: resourcesOf(heartbeat),
      heartbeatSequence: heartbeat.sequence,
      leaving: heartbeat.leaving,
      leavesAt: leavesAtOf(heartbeat),
      clock: heartbeat.clock,
      clockReadAt: performance.now(),
      leaseUntil: 0,
      table: unanswered.reduce((table, key) => addRun(table, key, RunPhase.Stopping), emptyRunTable),
      startOrders: new Map(),
      confirmedStops: new Set(),
      openStops: new Set(),
      polledAcknowledged: -1,
      toRevoke: new Set(unanswered.map(runName)),
      predecessors: current === undefined ? [] : [...current.predecessors, current.heartbeat.incarnation].filter((other) => other !== incarnation),
      predecessorRuns: current === undefined ? [] : [...current.predecessorRuns, ...begunRunsOf(current)].filter((other) => other.incarnation !== incarnation),
      reportable: false,
      verified: false
    }
    this.current = next
    const { service, rack, address, clock } = heartbeat
    this.options.log('worker-seen', { incarnation, previous: current?.heartbeat.incarnation, service, rack, address, clock, toRevoke: unanswered.length })
    this.resumeStops(next)
    this.wakePoll?.()
  }

  /** Returns the unanswered starts that may still be executed, and forgets the others. */
  private recentUnansweredStarts (): RunKey[] {
    const now = performance.now()
    for (const [name, { sentAt }] of this.unansweredStarts) if (now - sentAt > UNANSWERED_START_RETENTION_MILLISECONDS) this.unansweredStarts.delete(name)
    return [...this.unansweredStarts.values()].map(({ key }) => key)
  }

  /** Makes an incarnation reportable once the worker's lists show that no start for an earlier incarnation runs or can still run. */
  private updateReportable (tracked: TrackedIncarnation): void {
    if (tracked.reportable) return
    const unsettled = [...tracked.table.runs].filter(([name, { phase }]) => tracked.toRevoke.has(name) && phase !== RunPhase.NotStarted)
    if (unsettled.length > 0) return
    for (const [name, { key }] of tracked.table.runs) if (tracked.toRevoke.has(name)) this.removeRun(tracked, key)
    tracked.reportable = true
    this.endIncarnations(tracked.predecessors)
    this.report()
  }

  private report (): void {
    if (this.ended || this.reportDue) return
    this.reportDue = true
    setImmediate(() => {
      this.reportDue = false
      if (!this.ended) this.stream.send(this.createReport())
    })
  }

  private createReport (): WorkerReport {
    const { current } = this
    this.sequence += 1
    this.reportSentAt.set(this.sequence, performance.now())
    this.reportSentAt.delete(this.sequence - MAX_TRACKED_REPORTS)
    const { host } = this.options
    const gone = [...this.endedIncarnations].slice(-8)
    if (current?.reportable !== true) return WorkerReport.fromPartial({ host, sequence: this.sequence, gone })
    const { worker, incarnation, startedAt, service, dataCentre, rack, labels } = current.heartbeat
    const { leaving, leavesAt } = current
    const remaining = leaving && leavesAt !== undefined && { remainingMilliseconds: Math.max(0, Math.round(leavesAt - performance.now())) }
    const runs = [...current.table.runs.values()].filter(({ phase }) => phase !== RunPhase.NotStarted)
    return WorkerReport.fromPartial({
      host,
      sequence: this.sequence,
      life: { worker, incarnation, startedAt, service, dataCentre, rack, labels: [...labels], ...current.capacity, leaving, ...remaining },
      clock: current.clock,
      clockAge: performance.now() - current.clockReadAt,
      runs: runs.map(({ key, listed, percent, checkpoint }) => ({ key, running: listed, percent, checkpoint })),
      ends: endsToReport(current.table),
      gone,
      predecessors: [...current.predecessorRuns]
    })
  }

  private handleOrders (orders: WorkerOrders): void {
    if (orders.term < this.term) { this.stream.reconnect(); return }
    if (!this.connected || orders.term > this.term) this.logControlFound(orders)
    this.connected = true
    this.ordersAt = performance.now()
    this.term = orders.term
    this.stream.confirmLeader()
    this.stream.setSilenceTimeout(SILENCE_TIMEOUT_MILLISECONDS)
    this.options.hosts.updateFromLeader(orders.controlHosts)
    this.options.hosts.updateRelays(orders.relays)
    this.answeredReportAt = Math.max(this.answeredReportAt, this.reportSentAt.get(orders.sequence) ?? -Infinity)
    const { current } = this
    if (current?.reportable !== true || orders.incarnation !== current.heartbeat.incarnation) return
    current.leaseUntil = Math.max(current.leaseUntil, orders.leaseUntil)
    if (orders.leaseUntil > 0) current.predecessorRuns = []
    current.used = orders.used
    current.table = acknowledge(current.table, orders.acknowledged)
    for (const order of orders.starts) this.acceptStart(current, order)
    for (const key of orders.stops) this.acceptStop(current, key)
    this.wakePoll?.()
  }

  private logControlFound ({ term }: WorkerOrders): void {
    const silent = this.ordersAt === undefined ? {} : { silentMilliseconds: Math.round(performance.now() - this.ordersAt) }
    this.options.log('control-found', { term, host: this.stream.host, ...silent })
  }

  private acceptStart (tracked: TrackedIncarnation, order: StartOrder): void {
    const { key } = order
    if (key === undefined || tracked.table.runs.has(runName(key))) return
    tracked.table = addRun(tracked.table, key, RunPhase.Starting)
    tracked.startOrders.set(runName(key), order)
    void this.startRun(tracked, key)
  }

  private acceptStop (tracked: TrackedIncarnation, key: RunKey): void {
    const run = tracked.table.runs.get(runName(key))
    if (run?.phase === RunPhase.NotStarted) { this.removeRun(tracked, key); return }
    tracked.table = updateRun(addRun(tracked.table, key, RunPhase.Stopping), key, { phase: RunPhase.Stopping })
    void this.stopRun(tracked, key)
  }

  private removeRun (tracked: TrackedIncarnation, key: RunKey): void {
    tracked.table = removeRun(tracked.table, key)
    tracked.startOrders.delete(runName(key))
    tracked.confirmedStops.delete(runName(key))
  }

  /** Sends a start until it is answered; the worker starts the same run only once. */
  private async startRun (tracked: TrackedIncarnation, key: RunKey): Promise<void> {
    const name = runName(key)
    while (this.current === tracked && tracked.table.runs.get(name)?.phase === RunPhase.Starting) {
      const order = tracked.startOrders.get(name)
      if (order === undefined) return
      if (tracked.leaving) { this.handleRefusedStart(tracked, key); return }
      if (isOverfull(tracked)) { this.handleRefusedStart(tracked, key, OrderRefusal.NoCapacity); return }
      if (tracked.leaseUntil === 0 || performance.now() - this.answeredReportAt > MAX_ANSWER_AGE_MILLISECONDS) { await pause(RETRY_MILLISECONDS); continue }
      if (!tracked.verified) {
        if (!await this.verify(tracked)) await pause(RETRY_MILLISECONDS)
        continue
      }
      const { payload, checkpoint } = order
      const begun = tracked.table.runs.get(name)?.begun === true
      tracked.table = updateRun(tracked.table, key, { begun: true })
      const answer = await this.options.worker.start(this.context(tracked), { key, payload, checkpoint, leaseUntil: tracked.leaseUntil })
      if (answer.outcome === OrderOutcome.Unknown) this.recordUnansweredStart(tracked, key)
      if (this.current !== tracked) return
      if (undeliveredOutcomes.has(answer.outcome)) tracked.table = updateRun(tracked.table, key, { begun })
      this.handleAnswer(tracked, answer)
      if (this.isStartSettled(tracked, key, answer)) return
      await pause(RETRY_MILLISECONDS)
    }
  }

  /** Asks the worker whether it is still this incarnation. */
  private async verify (tracked: TrackedIncarnation): Promise<boolean> {
    tracked.verified = typeof await this.options.worker.poll(this.context(tracked), identityPoll) !== 'string'
    return tracked.verified
  }

  private recordUnansweredStart (tracked: TrackedIncarnation, key: RunKey): void {
    const name = runName(key)
    if (!this.unansweredStarts.has(name)) this.options.log('start-unanswered', { run: name, incarnation: tracked.heartbeat.incarnation, term: this.term })
    this.unansweredStarts.set(name, { key, sentAt: performance.now() })
    this.recentUnansweredStarts()
  }

  /** Returns whether the start need not be sent again. */
  private isStartSettled (tracked: TrackedIncarnation, key: RunKey, { outcome, refusal }: OrderAnswer): boolean {
    const run = tracked.table.runs.get(runName(key))
    if (run === undefined) return true
    if (outcome === OrderOutcome.Done) {
      if (run.phase === RunPhase.Starting) tracked.table = updateRun(tracked.table, key, { phase: RunPhase.Running, listed: true })
      this.report()
      this.wakePoll?.()
      return true
    }
    if (outcome === OrderOutcome.Refused) { this.handleRefusedStart(tracked, key, refusal); return true }
    return false
  }

  /**
   * Settles a run whose start was refused. An earlier order, of this process or of one before it, may have started the run
   * or may still arrive, so only a stop and the lists requested after it show that it never starts.
   */
  private handleRefusedStart (tracked: TrackedIncarnation, key: RunKey, refusal?: OrderRefusal): void {
    this.options.log('start-refused', { run: runName(key), incarnation: tracked.heartbeat.incarnation, refusal: refusal ?? 'leaving', term: this.term })
    tracked.table = updateRun(tracked.table, key, { phase: RunPhase.Stopping })
    void this.stopRun(tracked, key)
    this.report()
  }

  /** Sends a stop until it is answered; then the lists show whether the run ended or never started. */
  private async stopRun (tracked: TrackedIncarnation, key: RunKey): Promise<void> {
    const name = runName(key)
    if (tracked.openStops.has(name) || tracked.confirmedStops.has(name)) return
    tracked.openStops.add(name)
    while (this.current === tracked && tracked.table.runs.get(name)?.phase === RunPhase.Stopping) {
      const answer = await this.options.worker.stop(this.context(tracked), key)
      this.handleAnswer(tracked, answer)
      if (answer.outcome === OrderOutcome.Done) { tracked.confirmedStops.add(name); break }
      await pause(answer.refusal === OrderRefusal.Fenced ? FENCED_RETRY_MILLISECONDS : RETRY_MILLISECONDS)
    }
    tracked.openStops.delete(name)
    this.wakePoll?.()
  }

  private handleAnswer (tracked: TrackedIncarnation, { outcome, clock }: OrderAnswer): void {
    recordClock(tracked, clock, performance.now())
    if (unansweredOutcomes.has(outcome)) tracked.verified = false
  }

  private async pollUntilEnded (): Promise<void> {
    while (!this.ended) {
      const { current } = this
      if (current === undefined || !this.needsPoll(current)) { await this.waitForWake(REPORT_MILLISECONDS); continue }
      await this.poll(current)
    }
  }

  private needsPoll (tracked: TrackedIncarnation): boolean {
    return !tracked.reportable || !tracked.verified || tracked.polledAcknowledged < tracked.table.acknowledged || tracked.table.runs.size > 0 || tracked.table.ends.size > 0
  }

  private async poll (tracked: TrackedIncarnation): Promise<void> {
    const confirmedStops = new Set(tracked.confirmedStops)
    const { verified } = tracked
    const acknowledged = verified ? tracked.table.acknowledged : 0
    const unrecorded = tracked.table.ends.size > 0
    const waiting = [...tracked.table.runs.values()].some(({ phase }) => phase !== RunPhase.Running)
    const waitMilliseconds = unrecorded || waiting || !verified || tracked.table.runs.size === 0 ? 0 : MAX_POLL_WAIT_MILLISECONDS
    const lists = await this.options.worker.poll(this.context(tracked), { acknowledged, leaseUntil: verified ? tracked.leaseUntil : 0, waitMilliseconds })
    if (this.current !== tracked) return
    if (typeof lists === 'string') { tracked.verified = false; await this.waitForWake(RETRY_MILLISECONDS); return }
    tracked.verified = true
    if (verified) tracked.polledAcknowledged = acknowledged
    recordClock(tracked, lists.clock, performance.now())
    const before = tracked.table
    tracked.table = applyRunLists(before, lists, confirmedStops)
    this.resumeStops(tracked)
    this.updateReportable(tracked)
    if (hasChanged(before, tracked.table)) this.report()
    if (unrecorded || waiting) await this.waitForWake(UNRECORDED_POLL_MILLISECONDS)
  }

  /** Stops the runs that need it according to the lists. */
  private resumeStops (tracked: TrackedIncarnation): void {
    for (const run of tracked.table.runs.values()) if (run.phase === RunPhase.Stopping) void this.stopRun(tracked, run.key)
  }

  private waitForWake (milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, milliseconds)
      this.wakePoll = () => { clearTimeout(timer); resolve() }
    })
  }

  private context ({ heartbeat }: TrackedIncarnation): OrderContext {
    const { worker, address, startedAt } = heartbeat
    return { worker, address, startedAt, fencingToken: this.term }
  }
}

function leavesAtOf ({ remainingMilliseconds }: WorkerHeartbeat): number | undefined {
  return remainingMilliseconds === undefined ? undefined : performance.now() + remainingMilliseconds
}

/** A poll that only shows which incarnation answers. */
const identityPoll: PollRequest = { acknowledged: 0, leaseUntil: 0, waitMilliseconds: 0 }

/** Outcomes after which the worker may have restarted. */
const unansweredOutcomes: ReadonlySet<OrderOutcome> = new Set([OrderOutcome.Unknown, OrderOutcome.NotSent, OrderOutcome.OtherIncarnation])

/**
 * Whether another incarnation takes the place of the tracked one, given how that answered a poll. One that never answered may
 * be that of another sender.
 */
function isDisplaced ({ reportable, heartbeat }: TrackedIncarnation, other: WorkerHeartbeat, answer: RunLists | OrderOutcome): boolean {
  if (typeof answer !== 'string') return false
  return answer === OrderOutcome.OtherIncarnation || !reportable || other.startedAt >= heartbeat.startedAt
}

/** Outcomes after which the order has not reached the incarnation. */
const undeliveredOutcomes: ReadonlySet<OrderOutcome> = new Set([OrderOutcome.NotSent, OrderOutcome.OtherIncarnation])

/** Nothing is stated of an incarnation whose runs this agent has not listed: an earlier process of the agent may have sent it starts. */
function begunRunsOf ({ heartbeat, reportable, table }: TrackedIncarnation): PredecessorRuns[] {
  if (!reportable) return []
  return [{ incarnation: heartbeat.incarnation, begun: [...table.runs.values()].flatMap(({ key, begun }) => begun ? [key] : []) }]
}

/** Whether the runs that control has assigned to the worker no longer fit it all together. */
function isOverfull ({ capacity, used }: TrackedIncarnation): boolean {
  return used !== undefined && !fitsInto(capacity, used)
}

function hasChanged (before: RunTable, after: RunTable): boolean {
  if (before.ends.size !== after.ends.size || before.runs.size !== after.runs.size) return true
  return [...after.runs].some(([name, run]) => phaseOf(before.runs.get(name)) !== phaseOf(run))
}

function phaseOf (run: TrackedRun | undefined): string {
  return run === undefined ? '' : `${run.phase} ${run.listed}`
}

async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}
