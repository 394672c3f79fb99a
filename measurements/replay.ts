import {
  apply, AttemptOutcome, EffectKind, heldMembers, initialState, JobState, memoryNeeded, Reason, TransactionKind, Verdict,
  type AgentEffect, type AttemptKey, type Effect, type Job, type JobSpecification, type SoftState, type State, type Transaction, type WorkerDescription
} from '../src/core/index'
import { Heap, type Timed } from './heap'

/** What a job really needs, against what it declares. */
export interface Truth {
  readonly seconds: number
  readonly memoryMegabytes: number
  /** Fails wherever it runs. */
  readonly failsAlways: boolean
}

/** A policy: the project's decide, or a baseline. */
export type Policy = (state: State, soft: SoftState) => Transaction[]

/** How long things take in the fake platform, in milliseconds. */
export interface Times {
  readonly latency: number
  readonly heartbeat: number
  readonly lease: number
  readonly checkpoint: number
  readonly stop: number
  readonly failure: number
  /** Between two decisions while something waits. */
  readonly tick: number
}

/** Times close to those of the settings of today. */
export const usualTimes: Times = { latency: 3, heartbeat: 500, lease: 6_000, checkpoint: 1_000, stop: 300, failure: 1_000, tick: 250 }

interface Happening extends Timed {
  readonly run: () => void
}

interface Task extends AttemptKey {
  readonly mask: number
  readonly startedAt: number
  stopping: boolean
}

/** Messages of different workers take different times, in so many steps of a millisecond. */
const DELAYS = 4

/** One worker with its agent. */
class Agent {
  up = true
  connected = true
  silentSince = Infinity
  broken = false
  incarnation = 1
  readonly granted = new Map<string, number>()
  readonly tasks = new Map<string, Task>()
  /** Reports that the leader has not acknowledged. */
  readonly reports = new Map<string, Transaction>()
  /** Attempts that were ever granted here, whatever became of them. */
  readonly everGranted = new Set<string>()
  /** Attempts that will never start here. */
  readonly closed = new Set<string>()

  /** Milliseconds that its messages take more than others'. */
  constructor (readonly description: WorkerDescription, readonly delay: number) {}

  get name (): string { return this.description.name }
}

/** Called after each transaction. */
export type Observer = (transaction: Transaction, state: State, before: State, accepted: boolean) => void

/** Replays a list of events through the core: a leader's loop with a test clock, and a fake platform at the interface. */
export class Replay {
  state: State = initialState
  now = 1_000_000
  readonly violations: string[] = []
  /** Decisions that apply refused. */
  rejected = 0
  decisions = 0
  private readonly events = new Heap<Happening>()
  private readonly agents = new Map<string, Agent>()
  private readonly truths = new Map<string, Truth>()
  private readonly progress = new Map<string, number>()
  private readonly executed = new Map<string, number>()
  private readonly grants = new Map<string, Set<string>>()
  private sequence = 0
  private nextTick = 0
  private identifiers = 0

  private constructor (private readonly policy: Policy, readonly times: Times, private readonly observe: Observer) {}

  /**
   * Begins a replay with an empty state.
   * @param policy - what decides
   * @param times - how long things take
   * @param observe - called after each transaction
   * @returns the replay
   */
  static create (policy: Policy, times: Times = usualTimes, observe: Observer = () => {}): Replay {
    return new Replay(policy, times, observe)
  }

  /** Puts something on the list, so many milliseconds from now. */
  after (milliseconds: number, run: () => void): void {
    this.events.add({ at: this.now + Math.max(0, Math.round(milliseconds)), sequence: this.sequence++, run })
  }

  /** Runs until a time, in milliseconds since the epoch, or until nothing is left to happen. */
  runUntil (end: number): void {
    for (;;) {
      const first = this.events.first
      if (first === undefined || first.at > end) break
      this.now = first.at
      while (this.events.first?.at === this.now) this.events.take()?.run()
      this.settle()
    }
    this.now = Math.max(this.now, end)
  }

  /** The document's sections are replaced. */
  configure (sections: Record<string, unknown>): void {
    const read = Object.keys(sections).map((section) => ({ section, number: this.state.configuration.sectionNumbers.get(section as never) ?? 0 }))
    this.propose({ kind: TransactionKind.PutConfiguration, at: this.now, team: 'operators', requestIdentifier: `put-${this.identifiers++}`, read, sectionsJson: JSON.stringify(sections) })
    this.decideSoon()
  }

  addWorker (description: WorkerDescription): void {
    this.agents.set(description.name, new Agent(description, this.agents.size % DELAYS))
    this.announce(this.agent(description.name))
  }

  submit (identifier: string, specification: JobSpecification, truth: Truth): void {
    this.truths.set(identifier, truth)
    this.propose({ kind: TransactionKind.AcceptJob, at: this.now, identifier, specification })
    this.decideSoon()
  }

  cancel (jobs: readonly string[]): void {
    this.propose({ kind: TransactionKind.CancelJobs, at: this.now, jobs, account: '', reason: Reason.CancelledByCaller })
    this.decideSoon()
  }

  /** From now on everything fails that starts on this worker, or no longer. */
  setBroken (worker: string, broken: boolean): void {
    this.agent(worker).broken = broken
  }

  /** The host dies and comes back empty. */
  loseHost (worker: string, milliseconds: number): void {
    const agent = this.agent(worker)
    if (!agent.up) return
    agent.up = false
    agent.silentSince = this.now
    const incarnation = agent.incarnation
    this.clear(agent)
    this.after(this.times.lease, () => this.loseLease(agent, incarnation, () => !agent.up))
    this.after(milliseconds, () => {
      agent.up = true
      agent.incarnation++
      this.announce(agent)
    })
  }

  /** The agent's process restarts; its tasks go on. */
  restartAgent (worker: string): void {
    const agent = this.agent(worker)
    if (!agent.up || !agent.connected) return
    agent.incarnation++
    agent.granted.clear()
    this.announce(agent)
  }

  /** The agent cannot reach the leader. It stops its tasks before its lease ends. */
  cutOff (worker: string, milliseconds: number): void {
    const agent = this.agent(worker)
    if (!agent.up || !agent.connected) return
    const { incarnation } = agent
    agent.connected = false
    agent.silentSince = this.now
    const since = this.now
    const stillCut = (): boolean => !agent.connected && agent.silentSince === since && agent.up
    this.after(this.times.lease - 2_000, () => { if (stillCut()) this.stopAll(agent) })
    this.after(this.times.lease, () => this.loseLease(agent, incarnation, stillCut))
    this.after(milliseconds, () => {
      agent.connected = true
      if (agent.up) this.announce(agent)
    })
  }

  /** The target says that it leaves, and is gone after a while. */
  leave (worker: string, milliseconds: number, away: number): void {
    if (!this.agent(worker).up) return
    this.propose({ kind: TransactionKind.LeaveWorker, at: this.now, worker })
    this.decideSoon()
    this.after(milliseconds, () => this.loseHost(worker, away))
  }

  /** Tasks that run, by job. */
  running (): Map<string, Array<{ worker: string, attempt: number, since: number }>> {
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

  /** What is done from outside is followed by a decision. */
  private decideSoon (): void {
    this.after(0, () => {})
  }

  private agent (name: string): Agent {
    return this.agents.get(name)!
  }

  private announce (agent: Agent): void {
    agent.silentSince = Infinity
    const running = [...agent.tasks.values()].map(({ job, attempt }) => ({ job, attempt }))
    const incarnation = `${agent.name}-${agent.incarnation}`
    this.propose({ kind: TransactionKind.AnnounceWorker, at: this.now, worker: agent.description, incarnation, leaving: false, running })
    for (const report of [...agent.reports.values()]) this.propose(report)
  }

  private loseLease (agent: Agent, incarnation: number, stillGone: () => boolean): void {
    if (!stillGone() || agent.incarnation !== incarnation) return
    this.propose({ kind: TransactionKind.LoseWorker, at: this.now, worker: agent.name, incarnation: `${agent.name}-${incarnation}` })
  }

  private clear (agent: Agent): void {
    agent.tasks.clear()
    agent.granted.clear()
    agent.reports.clear()
  }

  private settle (): void {
    for (let round = 0; round < 200; round++) {
      const silent = new Set([...this.agents.values()].filter((agent) => this.now - agent.silentSince > 2 * this.times.heartbeat).map((agent) => agent.name))
      const decided = this.policy(this.state, { now: this.now, silent })
      this.decisions++
      if (decided.length === 0) break
      for (const transaction of decided) if (!this.propose(transaction)) this.rejected++
    }
    if ((this.state.queued.size > 0 || this.state.reserved.size > 0) && this.nextTick <= this.now) {
      this.nextTick = this.now + this.times.tick
      this.after(this.times.tick, () => {})
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

  /** A start may be recorded only once every member has granted its part. */
  private checkGrants ({ job, attempt }: AttemptKey): void {
    const members = this.state.jobs.get(job)?.attempt?.members ?? []
    const without = members.filter(({ worker }) => !this.agent(worker).everGranted.has(`${job}/${attempt}`))
    if (without.length > 0) this.violations.push(`${job}/${attempt}: started without a grant of ${without.map(({ worker }) => worker).join()}`)
  }

  private send (effect: Effect): void {
    if (!('worker' in effect)) return
    const agent = this.agents.get(effect.worker)
    if (agent === undefined) return
    this.after(this.times.latency + agent.delay, () => { if (agent.up && agent.connected) this.receive(agent, effect) })
  }

  private receive (agent: Agent, effect: AgentEffect): void {
    const key = `${effect.job}/${effect.attempt}`
    const handlers: { readonly [kind in AgentEffect['kind']]: () => void } = {
      [EffectKind.Reserve]: () => this.grant(agent, effect, key),
      [EffectKind.Release]: () => { agent.granted.delete(key); agent.closed.add(key) },
      [EffectKind.Start]: () => this.start(agent, effect, key),
      [EffectKind.Stop]: () => this.stop(agent, effect, key),
      [EffectKind.Acknowledge]: () => { agent.reports.delete(key) }
    }
    handlers[effect.kind]()
  }

  private grant (agent: Agent, effect: AgentEffect, key: string): void {
    const job = this.state.jobs.get(effect.job)
    const member = job?.attempt?.members.find((candidate) => candidate.worker === agent.name)
    if (job?.attempt?.number !== effect.attempt || member === undefined || agent.closed.has(key)) return
    const incarnation = `${agent.name}-${agent.incarnation}`
    if (member.incarnation !== incarnation || agent.tasks.has(key)) return
    agent.granted.set(key, member.mask)
    agent.everGranted.add(key)
    this.after(this.times.latency, () => { if (agent.up && agent.connected) this.granted(effect, agent.name, key) })
  }

  private granted (effect: AgentEffect, worker: string, key: string): void {
    const set = this.grants.get(key) ?? new Set()
    this.grants.set(key, set.add(worker))
    const job = this.state.jobs.get(effect.job)
    if (job?.state !== JobState.Reserved || job.attempt?.number !== effect.attempt) return
    if (job.attempt.members.every((member) => set.has(member.worker))) {
      this.propose({ kind: TransactionKind.StartJob, at: this.now, job: effect.job, attempt: effect.attempt })
      this.grants.delete(key)
    }
  }

  private start (agent: Agent, effect: AgentEffect, key: string): void {
    const mask = agent.granted.get(key)
    if (agent.tasks.has(key) || agent.closed.has(key) || agent.reports.has(key)) return
    if (mask === undefined) {
      this.report(agent, effect, AttemptOutcome.NotStarted, Verdict.NotRun, Reason.NotStarted)
      return
    }
    agent.granted.delete(key)
    this.checkStart(agent, effect, mask)
    agent.tasks.set(key, { job: effect.job, attempt: effect.attempt, mask, startedAt: this.now, stopping: false })
    const job = this.state.jobs.get(effect.job)!
    const truth = this.truths.get(effect.job)!
    if (agent.broken) { this.failLater(agent, effect, key, this.times.failure, Reason.PlatformFailed); return }
    if (job.attempt?.members[0]?.worker !== agent.name) return
    if (truth.failsAlways) { this.failLater(agent, effect, key, 2 * this.times.failure, Reason.TargetFailed); return }
    const left = Math.max(1, truth.seconds - (this.progress.get(effect.job) ?? 0)) * 1_000
    if (truth.memoryMegabytes > memoryNeeded(job)) this.failLater(agent, effect, key, left / 2, Reason.OverMemory, memoryNeeded(job))
    else this.after(left, () => this.finish(agent, effect, key))
  }

  /** The platform itself would notice accelerators given twice, and work that runs twice. */
  private checkStart (agent: Agent, effect: AgentEffect, mask: number): void {
    for (const task of agent.tasks.values()) {
      if ((task.mask & mask) !== 0) this.violations.push(`${agent.name}: accelerators of ${task.job}/${task.attempt} given to ${effect.job}/${effect.attempt}`)
    }
    const before = this.executed.get(effect.job)
    if (before !== undefined && before !== effect.attempt) {
      if (this.state.jobs.get(effect.job)?.specification.idempotent !== true) this.violations.push(`${effect.job}: not idempotent, ran as attempts ${before} and ${effect.attempt}`)
      const elsewhere = this.running().get(effect.job)?.filter((task) => task.attempt !== effect.attempt) ?? []
      if (elsewhere.length > 0) this.violations.push(`${effect.job}: attempts ${before} and ${effect.attempt} run at once`)
    }
    this.executed.set(effect.job, effect.attempt)
  }

  private failLater (agent: Agent, effect: AgentEffect, key: string, milliseconds: number, reason: Reason, usedMemory = 0): void {
    const task = agent.tasks.get(key)
    this.after(milliseconds, () => {
      if (agent.tasks.get(key) !== task || task === undefined) return
      agent.tasks.delete(key)
      this.report(agent, effect, AttemptOutcome.Failed, Verdict.MayHaveRun, reason, usedMemory)
    })
  }

  private finish (agent: Agent, effect: AgentEffect, key: string): void {
    const task = agent.tasks.get(key)
    if (task === undefined || task.attempt !== effect.attempt || task.stopping) return
    agent.tasks.delete(key)
    const answer = { contentType: 'text/plain', base64: '', digest: effect.job }
    this.deliver(agent, key, { kind: TransactionKind.FinishJob, at: this.now, job: effect.job, attempt: effect.attempt, worker: agent.name, answer })
  }

  private stop (agent: Agent, effect: AgentEffect, key: string): void {
    const task = agent.tasks.get(key)
    agent.closed.add(key)
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
    const wanted = checkpoints ? this.times.checkpoint : this.times.stop
    const saved = checkpoints && (grace === 0 || wanted <= grace)
    this.after(grace === 0 ? wanted : Math.min(wanted, grace), () => { if (agent.tasks.get(key) === task) this.stopped(agent, effect, key, task, job, saved) })
  }

  private stopped (agent: Agent, effect: AgentEffect, key: string, task: Task, job: Job | undefined, saved: boolean): void {
    agent.tasks.delete(key)
    if (saved && job?.attempt?.members[0]?.worker === agent.name) {
      this.progress.set(effect.job, (this.progress.get(effect.job) ?? 0) + (this.now - task.startedAt) / 1_000)
    }
    const outcome = saved ? AttemptOutcome.Checkpointed : AttemptOutcome.Stopped
    this.report(agent, effect, outcome, Verdict.MayHaveRun, saved ? Reason.Checkpointed : Reason.Stopped)
  }

  private stopAll (agent: Agent): void {
    for (const [key, task] of [...agent.tasks]) {
      agent.closed.add(key)
      agent.tasks.delete(key)
      this.report(agent, { kind: EffectKind.Stop, job: task.job, attempt: task.attempt, worker: agent.name }, AttemptOutcome.Stopped, Verdict.MayHaveRun, Reason.Stopped)
    }
  }

  private report (agent: Agent, effect: AgentEffect, outcome: AttemptOutcome, verdict: Verdict, reason: Reason, usedMemory = 0): void {
    const { job, attempt } = effect
    this.deliver(agent, `${job}/${attempt}`, { kind: TransactionKind.EndAttempt, at: this.now, job, attempt, worker: agent.name, outcome, verdict, reason, usedMemory })
  }

  private deliver (agent: Agent, key: string, report: Transaction): void {
    agent.reports.set(key, report)
    this.after(this.times.latency, () => { if (agent.up && agent.connected && agent.reports.has(key)) this.propose({ ...report, at: this.now }) })
  }
}

/**
 * Workers that a job holds something on.
 * @param job - the job
 * @returns their names
 */
export function workersOf (job: Job): string[] {
  return job.attempt === undefined ? [] : heldMembers(job.attempt).map((member) => member.worker)
}
