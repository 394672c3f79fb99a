import {
  apply, AttemptOutcome, EffectKind, heldMembers, initialState, JobState, memoryNeeded, Reason, TransactionKind, Verdict,
  type AgentEffect, type AttemptKey, type Effect, type Job, type JobSpecification, type SoftState, type State, type Transaction, type WorkerDescription
} from '../src/core/index'
import { Heap, type Timed } from './heap'

/** Actual run time and memory of a job, which may differ from what it declares. */
export interface ActualDemand {
  readonly seconds: number
  readonly memoryMegabytes: number
  /** The job fails on every worker. */
  readonly failsAlways: boolean
}

/** A scheduling policy: the project's `decide` or a baseline. */
export type Policy = (state: State, soft: SoftState) => Transaction[]

/** Simulated durations, in milliseconds. */
export interface SimulatedTimes {
  readonly latencyMilliseconds: number
  readonly heartbeatMilliseconds: number
  readonly leaseMilliseconds: number
  readonly checkpointMilliseconds: number
  readonly stopMilliseconds: number
  readonly failureMilliseconds: number
  /** Interval between decisions while jobs are queued or reserved. */
  readonly tickMilliseconds: number
}

/** Close to the default settings. */
export const DEFAULT_TIMES: SimulatedTimes = { latencyMilliseconds: 3, heartbeatMilliseconds: 500, leaseMilliseconds: 6_000, checkpointMilliseconds: 1_000, stopMilliseconds: 300, failureMilliseconds: 1_000, tickMilliseconds: 250 }

interface ScheduledEvent extends Timed {
  readonly run: () => void
}

interface Task extends AttemptKey {
  readonly mask: number
  readonly startedAt: number
  stopping: boolean
}

/** Workers differ in message delay by 0 to DELAY_STEPS - 1 milliseconds, so that their messages do not arrive at once. */
const DELAY_STEPS = 4

/** A worker with its agent. */
class SimulatedAgent {
  up = true
  connected = true
  silentSince = Infinity
  failing = false
  incarnation = 1
  readonly granted = new Map<string, number>()
  readonly tasks = new Map<string, Task>()
  /** Reports not yet acknowledged by the leader. */
  readonly reports = new Map<string, Transaction>()
  /** All attempts that this worker has ever granted. */
  readonly grantedAttempts = new Set<string>()
  /** Released or stopped attempts, which must not start here any more. */
  readonly closedAttempts = new Set<string>()

  /** @param delay - milliseconds added to the latency of messages to this worker */
  constructor (readonly description: WorkerDescription, readonly delay: number) {}

  get name (): string { return this.description.name }
}

/** Called after each transaction that is applied or refused. */
export type Observer = (transaction: Transaction, state: State, before: State, accepted: boolean) => void

/** Replays scheduled events through the core with a simulated clock, and simulates agents and their platforms. */
export class Replay {
  state: State = initialState
  now = 1_000_000
  readonly violations: string[] = []
  /** Number of decisions that `apply` refused. */
  rejectedDecisions = 0
  decisions = 0
  private readonly events = new Heap<ScheduledEvent>()
  private readonly agents = new Map<string, SimulatedAgent>()
  private readonly actualDemands = new Map<string, ActualDemand>()
  private readonly savedSeconds = new Map<string, number>()
  private readonly lastStartedAttempts = new Map<string, number>()
  private readonly grantsByAttempt = new Map<string, Set<string>>()
  private sequence = 0
  private nextTick = 0
  private identifiers = 0

  private constructor (private readonly policy: Policy, readonly times: SimulatedTimes, private readonly observe: Observer) {}

  /**
   * Creates a replay with an empty state.
   * @param policy - the scheduling policy
   * @param times - simulated durations
   * @param observe - called after each transaction
   * @returns the replay
   */
  static create (policy: Policy, times: SimulatedTimes = DEFAULT_TIMES, observe: Observer = () => {}): Replay {
    return new Replay(policy, times, observe)
  }

  /** Schedules an event a number of milliseconds from now. */
  schedule (milliseconds: number, run: () => void): void {
    this.events.push({ at: this.now + Math.max(0, Math.round(milliseconds)), sequence: this.sequence++, run })
  }

  /** Runs all events up to a simulated time, in milliseconds since the epoch, and sets the clock to it. */
  runUntil (end: number): void {
    for (;;) {
      const first = this.events.first
      if (first === undefined || first.at > end) break
      this.now = first.at
      while (this.events.first?.at === this.now) this.events.pop()?.run()
      this.decideUntilIdle()
    }
    this.now = Math.max(this.now, end)
  }

  /** Replaces sections of the document. */
  configure (sections: Record<string, unknown>): void {
    const read = Object.keys(sections).map((section) => ({ section, number: this.state.configuration.sectionNumbers.get(section as never) ?? 0 }))
    this.propose({ kind: TransactionKind.PutConfiguration, at: this.now, team: 'operators', requestIdentifier: `put-${this.identifiers++}`, read, sectionsJson: JSON.stringify(sections) })
    this.scheduleDecision()
  }

  addWorker (description: WorkerDescription): void {
    this.agents.set(description.name, new SimulatedAgent(description, this.agents.size % DELAY_STEPS))
    this.announce(this.agent(description.name))
  }

  submit (identifier: string, specification: JobSpecification, actual: ActualDemand): void {
    this.actualDemands.set(identifier, actual)
    this.propose({ kind: TransactionKind.AcceptJob, at: this.now, identifier, specification })
    this.scheduleDecision()
  }

  cancel (jobs: readonly string[]): void {
    this.propose({ kind: TransactionKind.CancelJobs, at: this.now, jobs, account: '', reason: Reason.CancelledByCaller })
    this.scheduleDecision()
  }

  /** Sets whether tasks that start on this worker from now on fail. */
  setFailing (worker: string, broken: boolean): void {
    this.agent(worker).failing = broken
  }

  /** Fails the host of a worker; it comes back without tasks after a number of milliseconds. */
  failHost (worker: string, milliseconds: number): void {
    const agent = this.agent(worker)
    if (!agent.up) return
    agent.up = false
    agent.silentSince = this.now
    const incarnation = agent.incarnation
    this.discardAgentState(agent)
    this.schedule(this.times.leaseMilliseconds, () => this.expireLease(agent, incarnation, () => !agent.up))
    this.schedule(milliseconds, () => {
      agent.up = true
      agent.incarnation++
      this.announce(agent)
    })
  }

  /** Restarts the agent's process; its tasks keep running. */
  restartAgent (worker: string): void {
    const agent = this.agent(worker)
    if (!agent.up || !agent.connected) return
    agent.incarnation++
    agent.granted.clear()
    this.announce(agent)
  }

  /** Partitions the agent from the leader. It stops its tasks 2 s before its lease ends. */
  partitionAgent (worker: string, milliseconds: number): void {
    const agent = this.agent(worker)
    if (!agent.up || !agent.connected) return
    const { incarnation } = agent
    agent.connected = false
    agent.silentSince = this.now
    const since = this.now
    const stillPartitioned = (): boolean => !agent.connected && agent.silentSince === since && agent.up
    this.schedule(this.times.leaseMilliseconds - 2_000, () => { if (stillPartitioned()) this.stopAll(agent) })
    this.schedule(this.times.leaseMilliseconds, () => this.expireLease(agent, incarnation, stillPartitioned))
    this.schedule(milliseconds, () => {
      agent.connected = true
      if (agent.up) this.announce(agent)
    })
  }

  /** The target announces that it is leaving; its host fails after a number of milliseconds and stays away for `away`. */
  announceLeaving (worker: string, milliseconds: number, away: number): void {
    if (!this.agent(worker).up) return
    this.propose({ kind: TransactionKind.LeaveWorker, at: this.now, worker })
    this.scheduleDecision()
    this.schedule(milliseconds, () => this.failHost(worker, away))
  }

  /** Running tasks by job. */
  runningTasks (): Map<string, Array<{ worker: string, attempt: number, since: number }>> {
    const jobs = new Map<string, Array<{ worker: string, attempt: number, since: number }>>()
    for (const agent of this.agents.values()) {
      for (const task of agent.tasks.values()) {
        const list = jobs.get(task.job) ?? []
        list.push({ worker: agent.name, attempt: task.attempt, since: task.startedAt })
        jobs.set(task.job, list)
      }
    }
    return jobs
  }

  /** Schedules an empty event, after which the policy decides. */
  private scheduleDecision (): void {
    this.schedule(0, () => {})
  }

  private agent (name: string): SimulatedAgent {
    return this.agents.get(name)!
  }

  private announce (agent: SimulatedAgent): void {
    agent.silentSince = Infinity
    const running = [...agent.tasks.values()].map(({ job, attempt }) => ({ job, attempt }))
    const incarnation = `${agent.name}-${agent.incarnation}`
    this.propose({ kind: TransactionKind.AnnounceWorker, at: this.now, worker: agent.description, incarnation, leaving: false, running })
    for (const report of [...agent.reports.values()]) this.propose(report)
  }

  private expireLease (agent: SimulatedAgent, incarnation: number, stillGone: () => boolean): void {
    if (!stillGone() || agent.incarnation !== incarnation) return
    this.propose({ kind: TransactionKind.LoseWorker, at: this.now, worker: agent.name, incarnation: `${agent.name}-${incarnation}` })
  }

  private discardAgentState (agent: SimulatedAgent): void {
    agent.tasks.clear()
    agent.granted.clear()
    agent.reports.clear()
  }

  private decideUntilIdle (): void {
    for (let round = 0; round < 200; round++) {
      const silent = new Set([...this.agents.values()].filter((agent) => this.now - agent.silentSince > 2 * this.times.heartbeatMilliseconds).map((agent) => agent.name))
      const decided = this.policy(this.state, { now: this.now, silent })
      this.decisions++
      if (decided.length === 0) break
      for (const transaction of decided) if (!this.propose(transaction)) this.rejectedDecisions++
    }
    if ((this.state.queued.size > 0 || this.state.reserved.size > 0) && this.nextTick <= this.now) {
      this.nextTick = this.now + this.times.tickMilliseconds
      this.schedule(this.times.tickMilliseconds, () => {})
    }
  }

  private propose (transaction: Transaction): boolean {
    if (transaction.kind === TransactionKind.StartJob) this.checkGrants(transaction)
    const before = this.state
    const applied = apply(before, transaction)
    this.state = applied.state
    for (const effect of applied.effects) this.send(effect)
    this.observe(transaction, applied.state, before, applied.outcome.isOk())
    return applied.outcome.isOk()
  }

  /** Checks that a start is recorded only after every member has granted its reservation. */
  private checkGrants ({ job, attempt }: AttemptKey): void {
    const members = this.state.jobs.get(job)?.attempt?.members ?? []
    const missing = members.filter(({ worker }) => !this.agent(worker).grantedAttempts.has(`${job}/${attempt}`))
    if (missing.length > 0) this.violations.push(`${job}/${attempt}: started without a grant of ${missing.map(({ worker }) => worker).join()}`)
  }

  private send (effect: Effect): void {
    if (!('worker' in effect)) return
    const agent = this.agents.get(effect.worker)
    if (agent === undefined) return
    this.schedule(this.times.latencyMilliseconds + agent.delay, () => { if (agent.up && agent.connected) this.receive(agent, effect) })
  }

  private receive (agent: SimulatedAgent, effect: AgentEffect): void {
    const key = `${effect.job}/${effect.attempt}`
    const handlers: { readonly [kind in AgentEffect['kind']]: () => void } = {
      [EffectKind.Reserve]: () => this.grant(agent, effect, key),
      [EffectKind.Release]: () => { agent.granted.delete(key); agent.closedAttempts.add(key) },
      [EffectKind.Start]: () => this.start(agent, effect, key),
      [EffectKind.Stop]: () => this.stop(agent, effect, key),
      [EffectKind.Acknowledge]: () => { agent.reports.delete(key) }
    }
    handlers[effect.kind]()
  }

  private grant (agent: SimulatedAgent, effect: AgentEffect, key: string): void {
    const job = this.state.jobs.get(effect.job)
    const member = job?.attempt?.members.find((candidate) => candidate.worker === agent.name)
    if (job?.attempt?.number !== effect.attempt || member === undefined || agent.closedAttempts.has(key)) return
    const incarnation = `${agent.name}-${agent.incarnation}`
    if (member.incarnation !== incarnation || agent.tasks.has(key)) return
    agent.granted.set(key, member.mask)
    agent.grantedAttempts.add(key)
    this.schedule(this.times.latencyMilliseconds, () => { if (agent.up && agent.connected) this.receiveGrant(effect, agent.name, key) })
  }

  private receiveGrant (effect: AgentEffect, worker: string, key: string): void {
    const granted = this.grantsByAttempt.get(key) ?? new Set()
    this.grantsByAttempt.set(key, granted.add(worker))
    const job = this.state.jobs.get(effect.job)
    if (job?.state !== JobState.Reserved || job.attempt?.number !== effect.attempt) return
    if (job.attempt.members.every((member) => granted.has(member.worker))) {
      this.propose({ kind: TransactionKind.StartJob, at: this.now, job: effect.job, attempt: effect.attempt })
      this.grantsByAttempt.delete(key)
    }
  }

  private start (agent: SimulatedAgent, effect: AgentEffect, key: string): void {
    const mask = agent.granted.get(key)
    if (agent.tasks.has(key) || agent.closedAttempts.has(key) || agent.reports.has(key)) return
    if (mask === undefined) {
      this.report(agent, effect, AttemptOutcome.NotStarted, Verdict.NotRun, Reason.NotStarted)
      return
    }
    agent.granted.delete(key)
    this.checkStart(agent, effect, mask)
    agent.tasks.set(key, { job: effect.job, attempt: effect.attempt, mask, startedAt: this.now, stopping: false })
    const job = this.state.jobs.get(effect.job)!
    const actual = this.actualDemands.get(effect.job)!
    if (agent.failing) { this.failLater(agent, effect, key, this.times.failureMilliseconds, Reason.PlatformFailed); return }
    if (job.attempt?.members[0]?.worker !== agent.name) return
    if (actual.failsAlways) { this.failLater(agent, effect, key, 2 * this.times.failureMilliseconds, Reason.TargetFailed); return }
    const remaining = Math.max(1, actual.seconds - (this.savedSeconds.get(effect.job) ?? 0)) * 1_000
    if (actual.memoryMegabytes > memoryNeeded(job)) this.failLater(agent, effect, key, remaining / 2, Reason.OverMemory, memoryNeeded(job))
    else this.schedule(remaining, () => this.finish(agent, effect, key))
  }

  /** Checks what a platform would detect: accelerators assigned twice, and jobs that run twice. */
  private checkStart (agent: SimulatedAgent, effect: AgentEffect, mask: number): void {
    for (const task of agent.tasks.values()) {
      if ((task.mask & mask) !== 0) this.violations.push(`${agent.name}: accelerators of ${task.job}/${task.attempt} also assigned to ${effect.job}/${effect.attempt}`)
    }
    const before = this.lastStartedAttempts.get(effect.job)
    if (before !== undefined && before !== effect.attempt) {
      if (this.state.jobs.get(effect.job)?.specification.idempotent !== true) this.violations.push(`${effect.job}: not idempotent, ran as attempts ${before} and ${effect.attempt}`)
      const elsewhere = this.runningTasks().get(effect.job)?.filter((task) => task.attempt !== effect.attempt) ?? []
      if (elsewhere.length > 0) this.violations.push(`${effect.job}: attempts ${before} and ${effect.attempt} run at the same time`)
    }
    this.lastStartedAttempts.set(effect.job, effect.attempt)
  }

  private failLater (agent: SimulatedAgent, effect: AgentEffect, key: string, milliseconds: number, reason: Reason, usedMemory = 0): void {
    const task = agent.tasks.get(key)
    this.schedule(milliseconds, () => {
      if (agent.tasks.get(key) !== task || task === undefined) return
      agent.tasks.delete(key)
      this.report(agent, effect, AttemptOutcome.Failed, Verdict.MayHaveRun, reason, usedMemory)
    })
  }

  private finish (agent: SimulatedAgent, effect: AgentEffect, key: string): void {
    const task = agent.tasks.get(key)
    if (task === undefined || task.attempt !== effect.attempt || task.stopping) return
    agent.tasks.delete(key)
    const answer = { contentType: 'text/plain', base64: '', digest: effect.job }
    this.deliver(agent, key, { kind: TransactionKind.FinishJob, at: this.now, job: effect.job, attempt: effect.attempt, worker: agent.name, answer })
  }

  private stop (agent: SimulatedAgent, effect: AgentEffect, key: string): void {
    const task = agent.tasks.get(key)
    agent.closedAttempts.add(key)
    if (task === undefined) {
      agent.granted.delete(key)
      if (!agent.reports.has(key)) this.report(agent, effect, AttemptOutcome.NotStarted, Verdict.NotRun, Reason.NotStarted)
      return
    }
    if (task.stopping) return
    task.stopping = true
    const job = this.state.jobs.get(effect.job)
    const checkpoints = job?.specification.checkpointable === true
    const grace = job?.attempt?.stopGrace ?? 0
    const required = checkpoints ? this.times.checkpointMilliseconds : this.times.stopMilliseconds
    const saved = checkpoints && (grace === 0 || required <= grace)
    this.schedule(grace === 0 ? required : Math.min(required, grace), () => { if (agent.tasks.get(key) === task) this.endStop(agent, effect, key, task, job, saved) })
  }

  private endStop (agent: SimulatedAgent, effect: AgentEffect, key: string, task: Task, job: Job | undefined, saved: boolean): void {
    agent.tasks.delete(key)
    if (saved && job?.attempt?.members[0]?.worker === agent.name) {
      this.savedSeconds.set(effect.job, (this.savedSeconds.get(effect.job) ?? 0) + (this.now - task.startedAt) / 1_000)
    }
    const outcome = saved ? AttemptOutcome.Checkpointed : AttemptOutcome.Stopped
    this.report(agent, effect, outcome, Verdict.MayHaveRun, saved ? Reason.Checkpointed : Reason.Stopped)
  }

  private stopAll (agent: SimulatedAgent): void {
    for (const [key, task] of [...agent.tasks]) {
      agent.closedAttempts.add(key)
      agent.tasks.delete(key)
      this.report(agent, { kind: EffectKind.Stop, job: task.job, attempt: task.attempt, worker: agent.name }, AttemptOutcome.Stopped, Verdict.MayHaveRun, Reason.Stopped)
    }
  }

  private report (agent: SimulatedAgent, effect: AgentEffect, outcome: AttemptOutcome, verdict: Verdict, reason: Reason, usedMemory = 0): void {
    const { job, attempt } = effect
    this.deliver(agent, `${job}/${attempt}`, { kind: TransactionKind.EndAttempt, at: this.now, job, attempt, worker: agent.name, outcome, verdict, reason, usedMemory })
  }

  private deliver (agent: SimulatedAgent, key: string, report: Transaction): void {
    agent.reports.set(key, report)
    this.schedule(this.times.latencyMilliseconds, () => { if (agent.up && agent.connected && agent.reports.has(key)) this.propose({ ...report, at: this.now }) })
  }
}

/**
 * Lists the workers on which a job holds resources.
 * @param job - the job
 * @returns their names
 */
export function workersOf (job: Job): string[] {
  return job.attempt === undefined ? [] : heldMembers(job.attempt).map((member) => member.worker)
}
