/**
 * The leader's side of the streams of agents that supervise tasks: grants leases, turns reports into entries of the log,
 * and tells each agent what its worker should run. Orders are made from the committed state each time, so one that is
 * lost is made good by the answer to the next report.
 */
import type { ServerDuplexStream } from '@grpc/grpc-js'
import {
  gangOf, RunOutcome, runName, StepTransactionKind, Trust,
  type FleetView, type Life, type LifeDescription, type RunEnd, type RunKey, type SaveCheckpoints, type State, type StepTransaction
} from '../core/index'
import * as wire from '../wire/index'
import { CheckpointRound } from './checkpoint-round'
import { notLeaderRefusal } from './convert'
import { RunProgressBook } from './run-progress'

/** A stream to a supervising agent, from this side. */
export type SupervisorCall = ServerDuplexStream<wire.WorkerReport, wire.WorkerOrders>

/** A worker that was not heard of for so long gets no new work, in milliseconds: more than two reports are missing. */
const SILENT_MILLISECONDS = 1_100
/** Rate by which a worker's clock may be slow against this host's, as the platform states it, with a margin for this host's own. */
const CLOCK_DRIFT = 1.025
/** Time that a lease is over before its worker counts as gone, in milliseconds: the worker needs it to end its tasks. */
const LEASE_MARGIN_MILLISECONDS = 300
/** Time after which a new leader has heard from every agent that can reach it, in milliseconds: three reports. */
const COMPLETE_MILLISECONDS = 1_600

/** Ends after which a worker is suspected: it failed a run, or would not take one. */
const speakAgainst: ReadonlySet<RunOutcome> = new Set([RunOutcome.Failed, RunOutcome.NotStarted])

/** How the streams reach the leader. */
export interface SupervisorPorts {
  readonly head: () => State
  readonly committed: () => State
  readonly term: () => number
  readonly now: () => number
  readonly submit: (transaction: StepTransaction) => Promise<unknown>
  /** Confirms leadership with a quorum; false where that cannot be had. */
  readonly confirm: () => Promise<boolean>
  /** Addresses of the present control hosts. */
  readonly controlHosts: () => readonly string[]
  /** Longest time for which a worker may run without hearing from a leader, in milliseconds. */
  readonly leaseMilliseconds: number
  readonly log: (event: string, fields: object) => void
}

interface Supervisor {
  readonly call: SupervisorCall
  readonly host: string
  incarnation: string
}

interface Waiting {
  readonly supervisor: Supervisor
  readonly sequence: number
  readonly incarnation: string
  readonly clock: number
  /** Steady milliseconds. */
  readonly receivedAt: number
}

/** All streams of supervising agents. */
export class Supervisors {
  private readonly byCall = new Map<SupervisorCall, Supervisor>()
  private readonly byHost = new Map<string, Supervisor>()
  private readonly byIncarnation = new Map<string, Supervisor>()
  /** Steady milliseconds, by incarnation. */
  private readonly heardAt = new Map<string, number>()
  /** Steady milliseconds after which nothing runs in an incarnation unless it was granted more, by incarnation. */
  private readonly goneAt = new Map<string, number>()
  private readonly progress = RunProgressBook.create()
  /** The last report of each agent. */
  private readonly reports = new Map<Supervisor, wire.WorkerReport>()
  private readonly trust = Trust.create()
  private readonly checkpoints = CheckpointRound.create()
  private waiting: Waiting[] = []
  private confirming = false
  private leadingSince = performance.now()

  private constructor (private readonly ports: SupervisorPorts) {}

  /**
   * Makes the leader's side with no streams.
   * @param ports - ways to the leader
   * @returns the object
   */
  static create (ports: SupervisorPorts): Supervisors {
    return new Supervisors(ports)
  }

  /** Leases of earlier leaders may run on for their full length from here. */
  begin (): void {
    this.leadingSince = performance.now()
    this.goneAt.clear()
    this.progress.clear()
    this.heardAt.clear()
    this.trust.clear()
  }

  /** Sends all agents to the next leader. */
  end (leader: string | undefined): void {
    for (const call of this.byCall.keys()) refuse(call, leader)
    this.byCall.clear()
    this.byHost.clear()
    this.byIncarnation.clear()
    this.waiting = []
  }

  /** Takes a new stream. */
  attach (call: SupervisorCall): void {
    call.on('data', (report: wire.WorkerReport) => { this.receive(call, report) })
    const drop = (): void => { this.drop(call) }
    call.on('end', () => { drop(); call.end() })
    call.on('error', drop)
    call.on('cancelled', drop)
  }

  /** Tells agents at once what changed for their workers. */
  changed (incarnations: ReadonlySet<string>): void {
    for (const incarnation of incarnations) {
      const supervisor = this.byIncarnation.get(incarnation)
      if (supervisor !== undefined) this.send(supervisor, { sequence: 0, leaseUntil: 0 }, this.known(incarnation))
    }
  }

  /** How far the members of a run are, as last reported. */
  percentsOf (run: Omit<RunKey, 'task'>, tasks: readonly number[]): number[] {
    return tasks.map((task) => this.progress.view.get(runName({ ...run, task }))?.percent ?? 0)
  }

  /** Remembers the workers on which a run was given up. */
  gaveUp (incarnations: readonly string[]): void {
    for (const incarnation of incarnations) this.trust.heldUp(incarnation, this.ports.now())
  }

  /** Entries for incarnations whose last lease is over. */
  overdue (): StepTransaction[] {
    this.forgetGone()
    const now = performance.now()
    const first = this.leadingSince + this.longestLease
    return this.ports.head().steps.lives.valueSeq().toArray()
      .filter(({ incarnation }) => now > (this.goneAt.get(incarnation) ?? first))
      .map(({ incarnation }) => this.loss(incarnation))
  }

  /** An entry with checkpoints that the log does not have yet; nothing where there are none. */
  unsavedCheckpoints (): SaveCheckpoints | undefined {
    const checkpoints = this.checkpoints.due(this.ports.head().steps, this.progress)
    return checkpoints.length === 0 ? undefined : { kind: StepTransactionKind.SaveCheckpoints, at: this.ports.now(), checkpoints }
  }

  private forgetGone (): void {
    const { lives } = this.ports.head().steps
    for (const incarnation of [...this.goneAt.keys(), ...this.heardAt.keys()]) {
      if (lives.has(incarnation) || this.byIncarnation.has(incarnation)) continue
      this.goneAt.delete(incarnation)
      this.heardAt.delete(incarnation)
      this.progress.forget(incarnation)
    }
  }

  /** What decisions need beside the log. */
  view (): FleetView {
    const now = this.ports.now()
    return {
      now,
      silent: this.silent(),
      suspects: this.trust.suspects(now),
      progress: this.progress.view,
      complete: performance.now() - this.leadingSince > COMPLETE_MILLISECONDS
    }
  }

  private get longestLease (): number {
    return this.ports.leaseMilliseconds * CLOCK_DRIFT + LEASE_MARGIN_MILLISECONDS
  }

  private silent (): ReadonlySet<string> {
    const now = performance.now()
    const silent = new Set<string>()
    for (const incarnation of this.ports.head().steps.lives.keys()) {
      const heardAt = this.heardAt.get(incarnation)
      if (heardAt === undefined || now - heardAt > SILENT_MILLISECONDS || !this.byIncarnation.has(incarnation)) silent.add(incarnation)
    }
    return silent
  }

  private receive (call: SupervisorCall, report: wire.WorkerReport): void {
    const supervisor = this.register(call, report)
    for (const incarnation of report.gone) this.lose(incarnation)
    if (report.life !== undefined) this.takeLife(report.host, report.life)
    this.progress.take(supervisor.incarnation, report.runs, this.ports.now())
    this.takeEnds(supervisor.incarnation, report)
    this.waiting.push({ supervisor, sequence: report.sequence, incarnation: supervisor.incarnation, clock: report.clock, receivedAt: performance.now() })
    this.reports.set(supervisor, report)
    void this.answerAll()
  }

  private register (call: SupervisorCall, { host, life }: wire.WorkerReport): Supervisor {
    let supervisor = this.byCall.get(call)
    if (supervisor === undefined) {
      const earlier = this.byHost.get(host)
      if (earlier !== undefined) { this.drop(earlier.call); earlier.call.end() }
      supervisor = { call, host, incarnation: '' }
      this.byCall.set(call, supervisor)
      this.byHost.set(host, supervisor)
      this.ports.log('supervisor-attached', { host, incarnation: life?.incarnation })
    }
    const incarnation = life?.incarnation ?? ''
    if (supervisor.incarnation !== incarnation) {
      this.byIncarnation.delete(supervisor.incarnation)
      supervisor.incarnation = incarnation
    }
    if (incarnation !== '') {
      this.byIncarnation.set(incarnation, supervisor)
      this.heardAt.set(incarnation, performance.now())
    }
    return supervisor
  }

  /** One host has one worker: another incarnation there is over. */
  private takeLife (host: string, life: wire.WorkerLife): void {
    const { lives } = this.ports.head().steps
    for (const other of lives.values()) if (other.host === host && other.incarnation !== life.incarnation) this.lose(other.incarnation)
    const { leaving, ...description } = life
    const known = lives.get(life.incarnation)
    if (known === undefined) this.announce({ host, ...description })
    if (leaving && known?.leaving !== true) this.submit({ kind: StepTransactionKind.LeaveLife, at: this.ports.now(), incarnation: life.incarnation })
  }

  /** It is given the time of a whole lease to get its first one. */
  private announce (life: LifeDescription): void {
    this.goneAt.set(life.incarnation, performance.now() + this.longestLease)
    this.submit({ kind: StepTransactionKind.AnnounceLife, at: this.ports.now(), life })
  }

  private lose (incarnation: string): void {
    if (this.ports.head().steps.lives.has(incarnation)) this.submit(this.loss(incarnation))
  }

  private loss (incarnation: string): StepTransaction {
    this.ports.log('worker-lost', { incarnation, silentMilliseconds: Math.round(performance.now() - (this.heardAt.get(incarnation) ?? this.leadingSince)) })
    return {
      kind: StepTransactionKind.LoseLife,
      at: this.ports.now(),
      incarnation,
      checkpoints: this.progress.checkpointsOf(incarnation)
    }
  }

  private takeEnds (incarnation: string, { ends }: wire.WorkerReport): void {
    const life = this.ports.head().steps.lives.get(incarnation)
    const acknowledged = life?.acknowledged ?? 0
    const fresh = ends.flatMap(({ number, key, outcome, checkpoint }): RunEnd[] => {
      if (key === undefined || (number === 0 ? life?.runs.has(runName(key)) !== true : number <= acknowledged)) return []
      return [{ number, key, outcome: outcome as RunOutcome, checkpoint }]
    })
    for (const { outcome } of fresh) this.judge(incarnation, outcome)
    if (fresh.length > 0) this.submit({ kind: StepTransactionKind.EndRuns, at: this.ports.now(), incarnation, ends: fresh })
  }

  private judge (incarnation: string, outcome: RunOutcome): void {
    if (speakAgainst.has(outcome)) this.trust.failed(incarnation, this.ports.now())
    if (outcome === RunOutcome.Done) this.trust.succeeded(incarnation)
  }

  /**
   * Grants leases only after a quorum confirmed this host as leader, later than the reports came: so no grant can be
   * based on a clock reading that is newer than the next leader's election, even where this host stood still in between.
   */
  private async answerAll (): Promise<void> {
    if (this.confirming) return
    this.confirming = true
    while (this.waiting.length > 0) {
      const batch = this.waiting.splice(0)
      if (!await this.ports.confirm()) break
      for (const waiting of batch) this.answer(waiting)
    }
    this.confirming = false
  }

  private answer ({ supervisor, sequence, incarnation, clock, receivedAt }: Waiting): void {
    if (this.byCall.get(supervisor.call) !== supervisor) return
    const { leaseMilliseconds } = this.ports
    const known = this.ports.committed().steps.lives.has(incarnation)
    const leaseUntil = known && clock > 0 ? Math.floor(clock + leaseMilliseconds) : 0
    if (leaseUntil > 0) this.goneAt.set(incarnation, Math.max(this.goneAt.get(incarnation) ?? 0, receivedAt + this.longestLease))
    this.send(supervisor, { sequence, leaseUntil }, this.known(incarnation))
  }

  /** The runs that the agent listed in its last report. */
  private known (incarnation: string): ReadonlySet<string> {
    const supervisor = this.byIncarnation.get(incarnation)
    const report = supervisor === undefined ? undefined : this.reports.get(supervisor)
    const keys = [...report?.runs ?? [], ...report?.ends ?? []].map(({ key }) => key)
    return new Set(keys.flatMap((key) => key === undefined ? [] : [runName(key)]))
  }

  private send (supervisor: Supervisor, { sequence, leaseUntil }: Pick<wire.WorkerOrders, 'sequence' | 'leaseUntil'>, listed: ReadonlySet<string>): void {
    const { steps } = this.ports.committed()
    const life = steps.lives.get(supervisor.incarnation)
    const report = this.reports.get(supervisor)
    const orders = wire.WorkerOrders.fromPartial({
      term: this.ports.term(),
      sequence,
      incarnation: supervisor.incarnation,
      leaseUntil,
      acknowledged: life?.acknowledged ?? 0,
      starts: life === undefined ? [] : this.starts(life, listed),
      stops: this.stops(life, report),
      controlHosts: [...this.ports.controlHosts()]
    })
    supervisor.call.write(orders)
  }

  private starts (life: Life, listed: ReadonlySet<string>): wire.StartOrder[] {
    const { jobs } = this.ports.committed().steps
    return [...life.runs].flatMap(([name, key]): wire.StartOrder[] => {
      const job = jobs.get(key.job)
      const gang = gangOf(job, key)
      if (job === undefined || gang === undefined || gang.run?.attempt !== key.attempt) return []
      if (listed.has(name) || gang.done || gang.run.stopping !== undefined) return []
      return [{ key, payload: job.specification.payload, checkpoint: gang.run.startCheckpoint }]
    })
  }

  /** Runs that are being stopped, and whatever the worker lists that the log does not want there. */
  private stops (life: Life | undefined, report: wire.WorkerReport | undefined): RunKey[] {
    const { jobs } = this.ports.committed().steps
    const stopping = [...life?.runs.values() ?? []].filter((key) => {
      return gangOf(jobs.get(key.job), key)?.run?.stopping !== undefined
    })
    const neverBegun = (report?.ends ?? []).filter(({ number }) => number === 0)
    const strays = [...report?.runs ?? [], ...neverBegun].flatMap(({ key }) => key === undefined || life?.runs.has(runName(key)) === true ? [] : [key])
    return [...stopping, ...strays]
  }

  private submit (transaction: StepTransaction): void {
    this.ports.submit(transaction).catch((error: Error) => { this.ports.log('submit-failed', { message: error.message }) })
  }

  private drop (call: SupervisorCall): void {
    const supervisor = this.byCall.get(call)
    this.byCall.delete(call)
    if (supervisor === undefined) return
    this.reports.delete(supervisor)
    if (this.byHost.get(supervisor.host) === supervisor) this.byHost.delete(supervisor.host)
    if (this.byIncarnation.get(supervisor.incarnation) === supervisor) this.byIncarnation.delete(supervisor.incarnation)
    this.ports.log('supervisor-gone', { host: supervisor.host })
  }
}

/**
 * Tells an agent that this host does not lead.
 * @param call - its stream
 * @param leader - the leader's address, where it is known
 */
export function refuse (call: SupervisorCall, leader: string | undefined): void {
  call.write(wire.WorkerOrders.fromPartial({ refusal: notLeaderRefusal(leader) }))
  call.end()
}
