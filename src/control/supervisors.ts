/**
 * The leader's end of the streams of agents that supervise tasks: grants leases, turns reports into log entries, and
 * tells each agent what its worker should run. Orders are derived from the committed state each time, so those that are
 * lost are sent again in the reply to the next report.
 */
import type { ServerDuplexStream } from '@grpc/grpc-js'
import {
  assessCrash, fitsInto, gangOf, isEvacuated, IncarnationLossCause, noSuspects, resourcesOf, RunOutcome, runName, runsToAbandon, sameResources, StepTransactionKind, SuspectTracker,
  type FleetView, type WorkerIncarnation, type IncarnationDescription, type Resources, type RunEnd, type RunKey, type SaveCheckpoints, type State, type StepTransaction
} from '../core/index'
import * as wire from '../wire/index'
import { CheckpointSelector } from './checkpoint-selector'
import { HostIncarnations } from './host-incarnations'
import type { InterferenceTracker } from './interference-tracker'
import { refuseNotLeader } from './refuse-supervisor'
import { RunProgressTracker } from './run-progress'
import { SignsOfLifeTracker } from './signs-of-life'
import { MAX_LOGGED_RUNS, UnassignedRuns } from './unassigned-runs'
import { WorkerClocks } from './worker-clocks'

/** The server side of a supervising agent's stream. */
export type SupervisorCall = ServerDuplexStream<wire.WorkerReport, wire.WorkerOrders>

/** Time since a worker's last report after which it gets no new work, in milliseconds: more than two reports are missing. */
const SILENT_AFTER_MILLISECONDS = 1_100
/**
 * Share of the lease for which a worker's clock may stand still before the worker counts as silent: two heartbeats are missing
 * by then, as workers send four in a lease.
 */
const STOPPED_CLOCK_SHARE = 0.6
/** Factor by which a worker's clock may run slower than this host's: the platform's stated bound, with a margin for this host's own clock. */
const CLOCK_DRIFT_FACTOR = 1.025
/** Time after the end of a lease and of the runs under it at which the worker counts as lost, in milliseconds. */
const LEASE_MARGIN_MILLISECONDS = 300
/** Time after which a new leader has a report of every agent that can reach it, in milliseconds: three report intervals. */
const REPORTS_COMPLETE_AFTER_MILLISECONDS = 1_600

/** Outcomes that make a worker suspect: it failed a run, or did not accept one. */
const suspectingOutcomes: ReadonlySet<RunOutcome> = new Set([RunOutcome.Failed, RunOutcome.NotStarted])

/** What the streams need of the control host. */
export interface SupervisorsContext {
  /** The state with all proposed entries applied. */
  readonly head: () => State
  readonly committed: () => State
  readonly term: () => number
  /** Milliseconds since the epoch, monotonic while this host leads. */
  readonly now: () => number
  readonly submit: (transaction: StepTransaction) => Promise<unknown>
  /** Confirms leadership with a quorum; false where no quorum confirms it. */
  readonly confirm: () => Promise<boolean>
  /** Addresses of the current control hosts. */
  readonly controlHosts: () => readonly string[]
  /** Addresses of entries that forward connections of agents to this host. */
  readonly relays: () => readonly string[]
  /** Length of a lease, in milliseconds of the worker's clock, from the reading in the report for which it is granted. */
  readonly leaseMilliseconds: number
  /** Longest time that a worker takes to end its runs once their lease has expired, in milliseconds. */
  readonly stopMilliseconds: number
  /** Learns from the reports which kinds of task interfere. */
  readonly interference?: InterferenceTracker
  readonly log: (event: string, fields: object) => void
}

/** A supervising agent's stream, with the host it runs on. */
interface Supervisor {
  readonly call: SupervisorCall
  readonly host: string
  /** The incarnation of its worker, empty without a worker. */
  incarnation: string
}

/** A report that is answered once a quorum has confirmed leadership. */
interface PendingReport {
  readonly supervisor: Supervisor
  readonly sequence: number
  readonly incarnation: string
  /** The worker's clock as the agent last read it before the report, in milliseconds; 0 where it has not read it. */
  readonly clock: number
  /** When this reading was first reported, in monotonic milliseconds. */
  readonly clockReportedAt: number
}

/** The leader's end of all streams of supervising agents. */
export class Supervisors {
  private readonly byCall = new Map<SupervisorCall, Supervisor>()
  /** Streams that another one of the same agent has replaced, or that ended with an earlier leadership. */
  private readonly endedCalls = new WeakSet<SupervisorCall>()
  private readonly byHost = new Map<string, Supervisor>()
  private readonly byIncarnation = new Map<string, Supervisor>()
  /** Monotonic milliseconds, by incarnation. */
  private readonly lastReportAt = new Map<string, number>()
  /** Monotonic milliseconds after which nothing runs in an incarnation unless its lease is extended, by incarnation. */
  private readonly leaseExpiresAt = new Map<string, number>()
  private readonly progress = RunProgressTracker.create()
  /** The last report of each agent. */
  private readonly lastReports = new Map<Supervisor, wire.WorkerReport>()
  private readonly signsOfLife = SignsOfLifeTracker.create()
  private readonly clocks: WorkerClocks
  /** Until when leaving workers stay at least, in milliseconds since the epoch, by incarnation; without those that do not state it. */
  private readonly leavesAt = new Map<string, number>()
  private readonly trust = SuspectTracker.create()
  private readonly checkpointSelector = CheckpointSelector.create()
  /** When the registration was made whose loss was submitted last, by incarnation. */
  private readonly submittedLosses = new Map<string, number | undefined>()
  private readonly unassignedRuns: UnassignedRuns
  private readonly hostIncarnations: HostIncarnations
  private pendingReports: PendingReport[] = []
  private confirming = false
  private leadingSince = performance.now()

  private constructor (private readonly context: SupervisorsContext) {
    this.unassignedRuns = UnassignedRuns.create(context.log)
    this.hostIncarnations = HostIncarnations.create(() => context.head().steps, context.now)
    this.clocks = WorkerClocks.create(context.leaseMilliseconds * STOPPED_CLOCK_SHARE)
  }

  /**
   * Creates the leader's end, without streams.
   * @param context - access to the control host
   * @returns the new object
   */
  static create (context: SupervisorsContext): Supervisors {
    return new Supervisors(context)
  }

  /** Starts a term as leader: leases that earlier leaders granted may last their full length from now on. */
  beginLeading (): void {
    this.leadingSince = performance.now()
    this.leaseExpiresAt.clear()
    this.progress.clear()
    this.lastReportAt.clear()
    this.trust.clear()
    this.unassignedRuns.clear()
    this.signsOfLife.clear()
    this.clocks.clear()
    this.leavesAt.clear()
    this.submittedLosses.clear()
  }

  /** Ends all streams and refers the agents to the next leader. */
  endLeading (leader: string | undefined): void {
    for (const call of this.byCall.keys()) {
      refuseNotLeader(call, leader)
      this.endedCalls.add(call)
    }
    this.lastReports.clear()
    this.byCall.clear()
    this.byHost.clear()
    this.byIncarnation.clear()
    this.pendingReports = []
  }

  /** Handles a new stream. */
  attach (call: SupervisorCall): void {
    call.on('data', (report: wire.WorkerReport) => { this.handleReport(call, report) })
    const remove = (): void => { this.removeStream(call) }
    call.on('end', () => { remove(); call.end() })
    call.on('error', remove)
    call.on('cancelled', remove)
  }

  /** Sends new orders to agents at once, for incarnations of which the committed state changed. */
  sendOrdersTo (incarnations: ReadonlySet<string>): void {
    for (const incarnation of incarnations) {
      const supervisor = this.byIncarnation.get(incarnation)
      if (supervisor !== undefined) this.sendOrders(supervisor, { sequence: 0, leaseUntil: 0 }, this.listedRuns(incarnation))
    }
  }

  /** The last reported progress of each of a run's tasks, in percent. */
  progressPercents (run: Omit<RunKey, 'task'>, tasks: readonly number[]): number[] {
    return tasks.map((task) => this.progress.all.get(runName({ ...run, task }))?.percent ?? 0)
  }

  /** Number of runs that workers run although the log does not assign them. */
  get unassignedRunCount (): number {
    return this.unassignedRuns.count
  }

  /** Number of workers whose agents report although the worker's own clock stands still. */
  get stoppedClockCount (): number {
    return this.clocks.stoppedCount
  }

  /** Makes the workers suspect on which a run was stopped because it stalled. */
  suspectStalled (incarnations: readonly string[]): void {
    for (const incarnation of incarnations) this.trust.recordStall(incarnation, this.context.now())
  }

  /** Returns a transaction for each incarnation whose last lease has expired, which records it as lost. */
  expiredLeases (): StepTransaction[] {
    this.forgetLost()
    const now = performance.now()
    this.logStoppedClocks(now)
    const earliestExpiry = this.leadingSince + this.maxLeaseMilliseconds
    return this.context.head().steps.incarnations.valueSeq().toArray()
      .filter(({ incarnation }) => now > (this.leaseExpiresAt.get(incarnation) ?? earliestExpiry))
      .map(({ incarnation }) => this.lossTransaction(incarnation, IncarnationLossCause.LeaseExpired))
  }

  private logStoppedClocks (now: number): void {
    for (const incarnation of this.clocks.newlyStopped(this.context.head().steps.incarnations.keys(), now)) {
      this.context.log('worker-clock-stopped', { incarnation, clockAgeMilliseconds: Math.round(this.clocks.ageOf(incarnation, now)), term: this.context.term() })
    }
  }

  /** Returns a transaction with checkpoints that the log does not have yet, or undefined where there are none. */
  unsavedCheckpoints (): SaveCheckpoints | undefined {
    const checkpoints = this.checkpointSelector.selectNext(this.context.head().steps, this.progress)
    return checkpoints.length === 0 ? undefined : { kind: StepTransactionKind.SaveCheckpoints, at: this.context.now(), checkpoints }
  }

  private forgetLost (): void {
    const { incarnations } = this.context.head().steps
    for (const incarnation of this.submittedLosses.keys()) if (!this.isLossSubmitted(incarnations.get(incarnation))) this.submittedLosses.delete(incarnation)
    for (const incarnation of [...this.leaseExpiresAt.keys(), ...this.lastReportAt.keys()]) {
      if (incarnations.has(incarnation) || this.byIncarnation.has(incarnation)) continue
      this.leaseExpiresAt.delete(incarnation)
      this.lastReportAt.delete(incarnation)
      this.progress.forget(incarnation)
      this.unassignedRuns.forget(incarnation)
      this.signsOfLife.forget(incarnation)
      this.clocks.forget(incarnation)
      this.leavesAt.delete(incarnation)
    }
  }

  /** The soft state of the fleet that decisions use in addition to the log. */
  fleetView (): FleetView {
    const now = this.context.now()
    return {
      now,
      silent: this.silentIncarnations(),
      suspects: this.trust.suspects(now),
      progress: this.progress.all,
      aliveAt: this.signsOfLife.aliveAt,
      leavesAt: this.leavesAt,
      interference: this.context.interference?.findingsAt(now),
      complete: performance.now() - this.leadingSince > REPORTS_COMPLETE_AFTER_MILLISECONDS
    }
  }

  /** Longest time from the first report of a clock reading until nothing runs under the lease that was granted for it. */
  private get maxLeaseMilliseconds (): number {
    const { leaseMilliseconds, stopMilliseconds } = this.context
    return leaseMilliseconds * CLOCK_DRIFT_FACTOR + stopMilliseconds + LEASE_MARGIN_MILLISECONDS
  }

  private silentIncarnations (): ReadonlySet<string> {
    const now = performance.now()
    const silent = new Set<string>()
    for (const incarnation of this.context.head().steps.incarnations.keys()) {
      const lastReportAt = this.lastReportAt.get(incarnation)
      if (lastReportAt === undefined || now - lastReportAt > SILENT_AFTER_MILLISECONDS || !this.byIncarnation.has(incarnation) || this.clocks.isStopped(incarnation, now)) silent.add(incarnation)
    }
    return silent
  }

  private handleReport (call: SupervisorCall, report: wire.WorkerReport): void {
    if (this.endedCalls.has(call)) return
    if (this.hostIncarnations.isOutdated(report)) { this.context.log('report-outdated', { host: report.host, incarnation: report.life?.incarnation }); call.end(); return }
    const supervisor = this.register(call, report)
    this.recordSignOfLife(supervisor.incarnation, report.clock)
    const clockReportedAt = this.clocks.record(supervisor.incarnation, report.clock, report.clockAge, performance.now())
    const { life } = report
    this.submitEndsAtSuccessor(report)
    const cause = life === undefined ? IncarnationLossCause.Deregistered : IncarnationLossCause.Replaced
    for (const incarnation of report.gone) if (!this.hostIncarnations.isSucceededBy(incarnation, report)) this.submitLoss(incarnation, cause, report)
    if (life !== undefined && !report.gone.includes(life.incarnation)) this.handleIncarnation(report, life)
    this.progress.update(supervisor.incarnation, report.runs, this.context.now())
    if (life !== undefined) this.context.interference?.update(life.incarnation, report.host, report.runs, this.context.now())
    this.handleRunEnds(supervisor.incarnation, report)
    this.recordUnassignedRuns(supervisor.incarnation, report)
    this.pendingReports.push({ supervisor, sequence: report.sequence, incarnation: supervisor.incarnation, clock: report.clock, clockReportedAt })
    this.lastReports.set(supervisor, report)
    void this.answerPendingReports()
  }

  /** An incarnation that was lost before may report again although its worker has crashed. */
  private recordSignOfLife (incarnation: string, clock: number): void {
    const { incarnations, losses } = this.context.head().steps
    const justStarted = !incarnations.has(incarnation) && losses.every((loss) => loss.incarnation !== incarnation)
    if (incarnation !== '') this.signsOfLife.record(incarnation, clock, this.context.now(), justStarted)
  }

  private register (call: SupervisorCall, { host, life }: wire.WorkerReport): Supervisor {
    let supervisor = this.byCall.get(call)
    if (supervisor === undefined) {
      const previous = this.byHost.get(host)
      if (previous !== undefined) { this.removeStream(previous.call); this.endedCalls.add(previous.call); previous.call.end() }
      supervisor = { call, host, incarnation: '' }
      this.byCall.set(call, supervisor)
      this.byHost.set(host, supervisor)
      this.context.log('supervisor-attached', { host, incarnation: life?.incarnation })
    }
    const incarnation = life?.incarnation ?? ''
    if (supervisor.incarnation !== incarnation) {
      this.byIncarnation.delete(supervisor.incarnation)
      supervisor.incarnation = incarnation
    }
    if (incarnation !== '') {
      this.byIncarnation.set(incarnation, supervisor)
      this.lastReportAt.set(incarnation, performance.now())
    }
    return supervisor
  }

  /**
   * A host has one worker, so other incarnations on it have ended. The new one is registered only once it is known to run
   * nothing: what it runs has been stopped, and starts for its predecessors are revoked.
   */
  private handleIncarnation (report: wire.WorkerReport, life: wire.WorkerLife): void {
    const { host, runs } = report
    const recorded = this.context.head().steps.incarnations.get(life.incarnation)
    const { leaving, remainingMilliseconds, ...description } = life
    if (leaving && remainingMilliseconds !== undefined) this.leavesAt.set(life.incarnation, this.context.now() + remainingMilliseconds)
    else this.leavesAt.delete(life.incarnation)
    if (this.hostIncarnations.startsToRevoke(report).length === 0) {
      for (const other of this.hostIncarnations.others(host, life)) this.submitLoss(other.incarnation, IncarnationLossCause.Replaced, report)
      if (recorded === undefined && runs.length === 0 && this.clocks.mayRegister(life.incarnation, performance.now())) this.submitAnnouncement({ host, ...description }, this.hostIncarnations.revocableStarts(report).length)
    }
    if (recorded !== undefined) this.submitCapacity(recorded, resourcesOf(life))
    if (leaving && recorded?.leaving !== true) this.submit({ kind: StepTransactionKind.LeaveIncarnation, at: this.context.now(), incarnation: life.incarnation })
  }

  /**
   * Records the ends of runs that the log assigns to earlier incarnations of the reported worker, and which the present one
   * executed. Must precede the loss of the earlier ones, which ends their runs as lost.
   */
  private submitEndsAtSuccessor ({ host, life, ends }: wire.WorkerReport): void {
    if (life === undefined) return
    for (const { incarnation, worker, runs } of this.hostIncarnations.others(host, life)) {
      if (worker !== life.worker) continue
      // That a run never starts at the present one says nothing about the earlier one. Numbers are of the present one.
      const executed = ends.flatMap(({ number, key, outcome, checkpoint }): RunEnd[] => {
        return key === undefined || number === 0 || !runs.has(runName(key)) ? [] : [{ number: 0, key, outcome: outcome as RunOutcome, checkpoint }]
      })
      if (executed.length === 0) continue
      this.context.log('runs-ended-at-successor', { incarnation, successor: life.incarnation, runs: executed.slice(0, MAX_LOGGED_RUNS).map(({ key, outcome }) => `${runName(key)} ${outcome}`), count: executed.length, term: this.context.term() })
      this.submit({ kind: StepTransactionKind.EndRuns, at: this.context.now(), incarnation, ends: executed })
    }
  }

  /** A new incarnation is not lost before a full lease has passed, so that it can obtain its first lease. */
  private submitAnnouncement (life: IncarnationDescription, revoked: number): void {
    const { incarnation, host, worker } = life
    this.context.log('worker-announced', { incarnation, host, worker, revoked, term: this.context.term() })
    this.leaseExpiresAt.set(life.incarnation, performance.now() + this.maxLeaseMilliseconds)
    this.submit({ kind: StepTransactionKind.AnnounceIncarnation, at: this.context.now(), life })
  }

  private submitCapacity (recorded: WorkerIncarnation, capacity: Resources): void {
    const { incarnation } = recorded
    if (sameResources(recorded, capacity)) return
    this.context.log('worker-capacity-changed', { incarnation, before: resourcesOf(recorded), after: capacity })
    this.submit({ kind: StepTransactionKind.ResizeIncarnation, at: this.context.now(), incarnation, capacity })
  }

  private submitLoss (incarnation: string, cause: IncarnationLossCause, { predecessors }: wire.WorkerReport): void {
    if (!this.context.head().steps.incarnations.has(incarnation)) return
    const known = predecessors.find((predecessor) => predecessor.incarnation === incarnation)
    this.submit(this.lossTransaction(incarnation, cause, known === undefined ? undefined : new Set(known.begun.map(runName))))
  }

  /** `begun` are the names of the runs that may have begun there; undefined where that is not known. */
  private lossTransaction (incarnation: string, cause: IncarnationLossCause, begun?: ReadonlySet<string>): StepTransaction {
    const { aliveAt } = this.signsOfLife
    if (cause === IncarnationLossCause.LeaseExpired) this.clocks.recordLoss(incarnation)
    this.submittedLosses.set(incarnation, this.context.head().steps.incarnations.get(incarnation)?.registeredAt)
    const { suspects, crashedTasks } = cause === IncarnationLossCause.Replaced ? assessCrash(this.context.head().steps, incarnation, { aliveAt, now: this.context.now(), begun }) : noSuspects
    this.context.log('worker-lost', {
      incarnation,
      cause,
      clockAgeMilliseconds: Math.round(this.clocks.ageOf(incarnation, performance.now())),
      silentMilliseconds: Math.round(performance.now() - (this.lastReportAt.get(incarnation) ?? this.leadingSince)),
      runs: this.context.head().steps.incarnations.get(incarnation)?.runs.size ?? 0,
      begun: begun?.size,
      suspects: suspects.length,
      notCounted: crashedTasks.length - suspects.length,
      term: this.context.term()
    })
    return {
      kind: StepTransactionKind.LoseIncarnation,
      at: this.context.now(),
      incarnation,
      checkpoints: this.progress.checkpointsOf(incarnation),
      cause,
      aliveAt: aliveAt.get(incarnation),
      suspects,
      crashedTasks
    }
  }

  private handleRunEnds (incarnation: string, { ends, life: reported }: wire.WorkerReport): void {
    const life = this.context.head().steps.incarnations.get(incarnation)
    const acknowledged = life?.acknowledged ?? 0
    const newEnds = ends.flatMap(({ number, key, outcome, checkpoint }): RunEnd[] => {
      if (key === undefined || (number === 0 ? life?.runs.has(runName(key)) !== true : number <= acknowledged)) return []
      return [{ number, key, outcome: outcome as RunOutcome, checkpoint }]
    })
    // A start that came too late for a capacity that has shrunk says nothing about the worker's health.
    const overfull = life !== undefined && reported !== undefined && !fitsInto(reported, life.used)
    for (const { outcome } of newEnds) if (outcome !== RunOutcome.NotStarted || !overfull) this.updateTrust(incarnation, outcome)
    if (newEnds.length > 0) this.submit({ kind: StepTransactionKind.EndRuns, at: this.context.now(), incarnation, ends: newEnds })
  }

  /** Keeps the runs that a worker runs although the log does not assign them to it. */
  private recordUnassignedRuns (incarnation: string, { runs }: wire.WorkerReport): void {
    const recorded = this.context.head().steps.incarnations.get(incarnation)
    const names = runs.flatMap(({ key, running }) => key === undefined || !running || recorded?.runs.has(runName(key)) === true ? [] : [runName(key)])
    this.unassignedRuns.update(incarnation, names, { recorded: recorded !== undefined, term: this.context.term() })
  }

  private updateTrust (incarnation: string, outcome: RunOutcome): void {
    if (suspectingOutcomes.has(outcome)) this.trust.recordFailure(incarnation, this.context.now())
    if (outcome === RunOutcome.Done) this.trust.recordSuccess(incarnation)
  }

  /**
   * Grants leases only after a confirmation of leadership by a quorum that began after the reports came: no lease is then
   * based on a clock reading that is newer than the next leader's election, even where this host was paused in between.
   */
  private async answerPendingReports (): Promise<void> {
    if (this.confirming) return
    this.confirming = true
    while (this.pendingReports.length > 0) {
      const batch = this.pendingReports.splice(0)
      if (!await this.context.confirm()) break
      for (const pending of batch) this.answer(pending)
    }
    this.confirming = false
  }

  /** A lease counts from the first report of the clock reading for which it is granted: repeating the reading extends nothing. */
  private answer ({ supervisor, sequence, incarnation, clock, clockReportedAt }: PendingReport): void {
    // The answer to the report of an earlier incarnation would grant the present one a lease on another clock.
    if (this.byCall.get(supervisor.call) !== supervisor || supervisor.incarnation !== incarnation) return
    const { leaseMilliseconds } = this.context
    const leaseUntil = this.incarnationToCommand(incarnation) !== undefined && clock > 0 ? Math.floor(clock + leaseMilliseconds) : 0
    if (leaseUntil > 0) this.leaseExpiresAt.set(incarnation, Math.max(this.leaseExpiresAt.get(incarnation) ?? 0, clockReportedAt + this.maxLeaseMilliseconds))
    this.sendOrders(supervisor, { sequence, leaseUntil }, this.listedRuns(incarnation))
  }

  /** Names of the runs that the agent listed in its last report, as running or ended. */
  private listedRuns (incarnation: string): ReadonlySet<string> {
    const supervisor = this.byIncarnation.get(incarnation)
    const report = supervisor === undefined ? undefined : this.lastReports.get(supervisor)
    const keys = [...report?.runs ?? [], ...report?.ends ?? []].map(({ key }) => key)
    return new Set(keys.flatMap((key) => key === undefined ? [] : [runName(key)]))
  }

  private sendOrders (supervisor: Supervisor, { sequence, leaseUntil }: Pick<wire.WorkerOrders, 'sequence' | 'leaseUntil'>, listed: ReadonlySet<string>): void {
    const { steps } = this.context.committed()
    const life = steps.incarnations.get(supervisor.incarnation)
    const commanded = this.incarnationToCommand(supervisor.incarnation)
    const report = this.lastReports.get(supervisor)
    const orders = wire.WorkerOrders.fromPartial({
      term: this.context.term(),
      sequence,
      incarnation: supervisor.incarnation,
      leaseUntil,
      acknowledged: life?.acknowledged ?? 0,
      // The head has an evacuation before its entry is committed, and the committed state until its end is committed.
      starts: commanded === undefined || [this.context.head(), this.context.committed()].some((state) => isEvacuated(state.steps, commanded.dataCentre)) ? [] : this.startOrders(commanded, listed),
      stops: this.runsToStop(life, report),
      used: life?.used,
      controlHosts: [...this.context.controlHosts()],
      relays: [...this.context.relays()]
    })
    supervisor.call.write(orders)
  }

  /**
   * The committed incarnation, unless its loss has been submitted since: its runs may then already be started elsewhere, so
   * that it gets neither a lease nor starts until it is registered again.
   */
  private incarnationToCommand (incarnation: string): WorkerIncarnation | undefined {
    const committed = this.context.committed().steps.incarnations.get(incarnation)
    const head = this.context.head().steps.incarnations.get(incarnation)
    return head !== undefined && head.registeredAt === committed?.registeredAt && !this.isLossSubmitted(head) ? committed : undefined
  }

  private isLossSubmitted (worker: WorkerIncarnation | undefined): boolean {
    return worker !== undefined && this.submittedLosses.has(worker.incarnation) && this.submittedLosses.get(worker.incarnation) === worker.registeredAt
  }

  private startOrders (life: WorkerIncarnation, listed: ReadonlySet<string>): wire.StartOrder[] {
    const { jobs } = this.context.committed().steps
    return [...life.runs].flatMap(([name, key]): wire.StartOrder[] => {
      const job = jobs.get(key.job)
      const gang = gangOf(job, key)
      if (job === undefined || gang === undefined || gang.run?.attempt !== key.attempt) return []
      if (listed.has(name) || gang.done || gang.run.stopping !== undefined) return []
      return [{ key, payload: job.specification.payload, checkpoint: gang.run.startCheckpoint }]
    })
  }

  /** Runs that are being stopped or abandoned, and runs that the worker lists but the log does not assign to it. */
  private runsToStop (life: WorkerIncarnation | undefined, report: wire.WorkerReport | undefined): RunKey[] {
    const { jobs } = this.context.committed().steps
    const stopping = [...life?.runs.values() ?? []].filter((key) => {
      return gangOf(jobs.get(key.job), key)?.run?.stopping !== undefined
    })
    // The agent forgets a settled start when it is told to stop it again, so it is not told so before all of them are settled.
    const kept = new Set(report === undefined ? [] : this.hostIncarnations.revocableStarts(report).map(runName))
    const notStarted = (report?.ends ?? []).filter(({ number, key }) => number === 0 && key !== undefined && !kept.has(runName(key)))
    const unexpected = [...report?.runs ?? [], ...notStarted].flatMap(({ key }) => key === undefined || life?.runs.has(runName(key)) === true ? [] : [key])
    return [...stopping, ...runsToAbandon(this.context.committed().steps, life, report), ...unexpected, ...report === undefined ? [] : this.hostIncarnations.startsToRevoke(report)]
  }

  private submit (transaction: StepTransaction): void {
    this.context.submit(transaction).catch((error: Error) => { this.context.log('submit-failed', { message: error.message }) })
  }

  private removeStream (call: SupervisorCall): void {
    const supervisor = this.byCall.get(call)
    this.byCall.delete(call)
    if (supervisor === undefined) return
    this.lastReports.delete(supervisor)
    if (this.byHost.get(supervisor.host) === supervisor) this.byHost.delete(supervisor.host)
    if (this.byIncarnation.get(supervisor.incarnation) === supervisor) this.byIncarnation.delete(supervisor.incarnation)
    this.context.log('supervisor-gone', { host: supervisor.host })
  }
}
