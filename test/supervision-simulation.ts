/**
 * Simulates the supervision of step jobs: the supervisors of the agents and of the leader, the replicated state machine and
 * the stream between them are the product's; the network, the log and the workers are in memory. Runs under fake timers.
 */
import { EventEmitter } from 'node:events'
import type { ClientDuplexStream } from '@grpc/grpc-js'
import { err, ok, type Result } from 'neverthrow'
import { vi } from 'vitest'
import { OrderOutcome, OrderRefusal, Supervisor, type OrderAnswer, type OrderContext, type PollRequest, type RunLists, type TaskStart, type WorkerApi } from '../src/agent'
import { KnownHosts } from '../src/client'
import { LeaderClock } from '../src/control/leader-clock'
import { Machine, type EntryPosition } from '../src/control/machine'
import { refuseNotLeader } from '../src/control/refuse-supervisor'
import { Supervisors, type SupervisorCall } from '../src/control/supervisors'
import { EffectKind, runName, scheduleSteps, StepTransactionKind, type Applied, type RunKey, type Transaction } from '../src/core/index'
import type { WorkerOrders, WorkerReport } from '../src/wire'
import { queueDocument, step } from './steps-fixture'
import { Dice, SimulatedPlatform, statedTimes, WorkerMachine, type Answer, type JobPlan, type Lists, type PlatformTimes } from './supervision-worker'

/** Time after which the adapter's client stops waiting for an answer. */
const RESPONSE_TIMEOUT_MILLISECONDS = 400
const TICK_MILLISECONDS = 50
const LEASE_MILLISECONDS = 6_000

/** What becomes of a call to a worker. */
export interface Fate {
  /** Time until the worker executes it, in milliseconds; never if not given. */
  readonly after?: number
  /** The answer is lost. */
  readonly unanswered?: boolean
}

/** The call is executed and answered at once. */
export const normalFate: Fate = { after: 1 }

/** A call to a worker. */
export interface WorkerCall { readonly kind: 'start' | 'stop' | 'poll', readonly key?: RunKey, readonly process: number }

const after = (milliseconds: number, run: () => void): void => { setTimeout(run, milliseconds) }
const wait = async (milliseconds: number): Promise<void> => { await new Promise<void>((resolve) => { setTimeout(resolve, milliseconds) }) }

/** One direction of a connection: messages arrive in order, and are held up while it is cut. */
class Pipe {
  private readonly messages: Array<() => void> = []
  held = false
  constructor (private readonly dice: Dice) {}

  send (deliver: () => void): void {
    this.messages.push(deliver)
    after(this.dice.number(1, 4), () => { if (!this.held) this.messages.shift()?.() })
  }

  release (): void {
    this.held = false
    for (const deliver of this.messages.splice(0)) deliver()
  }

  discard (): void { this.messages.length = 0 }
}

/** The stream of one agent to one control host. */
class Connection {
  readonly toControl: Pipe
  readonly toAgent: Pipe
  readonly agentEnd: EventEmitter & { write?: (report: WorkerReport) => boolean, cancel?: () => void, end?: () => void } = new EventEmitter()
  readonly controlEnd: EventEmitter & { write?: (orders: WorkerOrders) => boolean, end?: () => void } = new EventEmitter()
  private closed = false
  private established = false

  constructor (private readonly link: Link, process: AgentProcess, accept: (call: SupervisorCall) => void) {
    const { dice } = link
    this.toControl = new Pipe(dice)
    this.toAgent = new Pipe(dice)
    this.toControl.held = this.toAgent.held = link.cut
    link.connections.add(this)
    this.toControl.send(() => { this.established = true; accept(this.controlEnd as unknown as SupervisorCall) })
    const close = (): void => {
      if (this.closed) return
      this.closed = true
      if (!this.established && this.toControl.held) this.toControl.discard()
      this.toControl.send(() => { link.connections.delete(this); this.controlEnd.emit('cancelled') })
    }
    this.agentEnd.write = (report) => { if (!this.closed) this.toControl.send(() => this.controlEnd.emit('data', report)); return true }
    this.agentEnd.cancel = close
    this.agentEnd.end = close
    this.controlEnd.write = (orders) => { this.toAgent.send(() => { process.whenAwake(() => { if (!this.closed) this.agentEnd.emit('data', orders) }) }); return true }
    this.controlEnd.end = () => { this.toAgent.send(() => { process.whenAwake(() => { this.agentEnd.emit('end') }) }) }
  }
}

/** The network between one agent's host and the control hosts. */
class Link {
  readonly connections = new Set<Connection>()
  cut = false
  constructor (readonly dice: Dice) {}

  hold (): void {
    this.cut = true
    for (const { toControl, toAgent } of this.connections) toControl.held = toAgent.held = true
  }

  /** Connections resume in the given order of age, oldest last where the delay grows with age. */
  resume (delay: (position: number) => number): void {
    this.cut = false
    for (const [position, { toControl, toAgent }] of [...this.connections].entries()) {
      after(delay(position), () => { if (!this.cut) { toControl.release(); toAgent.release() } })
    }
  }
}

/** One process of an agent. */
class AgentProcess implements WorkerApi {
  readonly supervisor: Supervisor
  private dead = false
  private frozen?: Array<() => void>

  constructor (private readonly simulation: Simulation, readonly site: Site, readonly number: number) {
    const { trace } = simulation.platform
    this.supervisor = Supervisor.create({
      host: `host-${site.name}`,
      hosts: KnownHosts.create(simulation.addresses),
      worker: this,
      protocol: {
        open: (client) => {
          const address = client.getChannel().getTarget().replace(/^[a-z]+:/, '')
          return new Connection(site.link, this, (call) => { simulation.accept(address, call) }).agentEnd as unknown as ClientDuplexStream<WorkerReport, WorkerOrders>
        },
        refusalOf: ({ refusal }) => refusal
      },
      log: (event, fields) => { if (!this.dead) trace.add(`agent ${site.name}.${number}: ${event} ${JSON.stringify(fields)}`, [site.name, ...jobOf(fields.run)]) }
    })
    this.supervisor.start()
  }

  whenAwake (run: () => void): void {
    if (this.dead) return
    if (this.frozen === undefined) run()
    else this.frozen.push(run)
  }

  freeze (): void { this.frozen ??= [] }

  thaw (): void {
    const waiting = this.frozen ?? []
    this.frozen = undefined
    for (const run of waiting) run()
  }

  /** Ends the process at once; its calls to the worker may still arrive. */
  kill (): void {
    void this.supervisor.stop()
    this.dead = true
  }

  async start (context: OrderContext, { key, leaseUntil }: TaskStart): Promise<OrderAnswer> {
    return await this.order({ kind: 'start', key, process: this.number }, () => this.site.machine.start(context.worker, key, leaseUntil, context.fencingToken))
  }

  async stop (context: OrderContext, key: RunKey): Promise<OrderAnswer> {
    return await this.order({ kind: 'stop', key, process: this.number }, () => this.site.machine.stop(context.worker, key, context.fencingToken))
  }

  async poll (context: OrderContext, { acknowledged, leaseUntil, waitMilliseconds }: PollRequest): Promise<RunLists | OrderOutcome> {
    const answer = await this.call({ kind: 'poll', process: this.number }, async () => await this.site.machine.poll(context.worker, acknowledged, leaseUntil, context.fencingToken, waitMilliseconds), waitMilliseconds)
    if (typeof answer === 'string') return answer
    if (answer.status === 421 || answer.born !== context.startedAt) return OrderOutcome.OtherIncarnation
    return 'running' in answer ? answer as Lists : OrderOutcome.Unknown
  }

  async close (): Promise<void> { await Promise.resolve() }

  private async order (call: WorkerCall, execute: () => Answer | undefined): Promise<OrderAnswer> {
    const answer = await this.call(call, execute, 0)
    if (typeof answer === 'string') return { outcome: answer, clock: 0 }
    return orderAnswer(answer)
  }

  /** Sends a call to the worker; a process that was killed before sends nothing, and no answer reaches it. */
  private async call (call: WorkerCall, execute: () => Answer | Lists | undefined | Promise<Answer | Lists | undefined>, waitMilliseconds: number): Promise<Answer | OrderOutcome> {
    if (this.frozen !== undefined) await new Promise<void>((resolve) => { this.frozen?.push(resolve) })
    return await new Promise((resolve) => {
      if (this.dead) return
      const fate = this.site.fate(call)
      const settle = (answer: Answer | OrderOutcome): void => { this.whenAwake(() => { resolve(answer) }) }
      after(waitMilliseconds + RESPONSE_TIMEOUT_MILLISECONDS, () => { settle(OrderOutcome.Unknown) })
      if (fate !== normalFate) this.simulation.platform.trace.add(`agent ${this.site.name}.${this.number}: ${call.kind}${call.key === undefined ? '' : ` ${runName(call.key)}`} ${fate.after === undefined ? 'is lost' : `arrives after ${fate.after} ms`}${fate.unanswered === true ? ', unanswered' : ''}`, [this.site.name, ...call.key === undefined ? [] : [call.key.job]])
      if (fate.after === undefined) return
      after(fate.after, () => {
        void Promise.resolve(execute()).then((answer) => {
          if (fate.unanswered !== true) after(1, () => { settle(answer ?? OrderOutcome.NotSent) })
        })
      })
    })
  }
}

const refusalOfReason: Readonly<Record<string, OrderRefusal>> = { fence: OrderRefusal.Fenced, old: OrderRefusal.EndedBefore, late: OrderRefusal.TooLate }

function orderAnswer ({ status, clock, reason }: Answer): OrderAnswer {
  if (status === 421) return { outcome: OrderOutcome.OtherIncarnation, clock: 0 }
  if (status === 200) return { outcome: OrderOutcome.Done, clock }
  return { outcome: OrderOutcome.Refused, clock, refusal: status === 503 ? OrderRefusal.Unhealthy : refusalOfReason[reason ?? ''] ?? OrderRefusal.Other }
}

const jobOf = (run: unknown): string[] => typeof run === 'string' ? [run.split('.')[0]!] : []

/** One host with an agent and a worker. */
export class Site {
  readonly link: Link
  readonly machine: WorkerMachine
  /** Chooses what becomes of each call to the worker. */
  fate: (call: WorkerCall) => Fate = () => normalFate
  /** Delay of heartbeats, in milliseconds. */
  heartbeatDelay = 1
  private processes = 0
  private process?: AgentProcess

  constructor (private readonly simulation: Simulation, readonly name: string) {
    this.link = new Link(simulation.dice)
    this.machine = new WorkerMachine(simulation.platform, name, (heartbeat) => {
      this.deliver((supervisor) => { supervisor.handleHeartbeat(heartbeat) })
    }, (worker) => {
      this.deliver((supervisor) => { supervisor.handleDeregistration(worker) })
    })
  }

  get agent (): AgentProcess | undefined { return this.process }

  private deliver (handle: (supervisor: Supervisor) => void): void {
    after(this.heartbeatDelay, () => { this.process?.whenAwake(() => { if (this.process !== undefined) handle(this.process.supervisor) }) })
  }

  startAgent (): void {
    if (this.process !== undefined) return
    this.processes += 1
    this.process = new AgentProcess(this.simulation, this, this.processes)
    this.note(`agent ${this.name}.${this.processes} starts`)
  }

  killAgent (): void {
    if (this.process === undefined) return
    this.note(`agent ${this.name}.${this.processes} is killed`)
    this.process.kill()
    this.process = undefined
  }

  freeze (): void { this.note(`agent ${this.name} is frozen`); this.process?.freeze() }
  thaw (): void { this.note(`agent ${this.name} goes on`); this.process?.thaw() }
  cut (): void { this.note(`agent ${this.name} is cut from control`); this.link.hold() }
  /** Resumes the connections, in order of their age, after the given delays. */
  heal (delay: (position: number) => number = () => 0): void { this.note(`agent ${this.name} is joined to control`); this.link.resume(delay) }

  private note (text: string): void { this.simulation.platform.trace.add(text, [this.name]) }
}

interface LogEntry extends EntryPosition { readonly data: Uint8Array }

/** A control host: the state machine and the leader's end of the streams. */
class SimulatedHost {
  readonly machine: Machine
  readonly supervisors: Supervisors
  readonly clock = LeaderClock.create()
  term = 0
  applied = 0
  /** Replaced as leader without knowing of it: none of its entries are committed. */
  superseded = false
  private forked = 0
  private waitingConfirmations: Array<() => void> = []

  constructor (private readonly simulation: Simulation, readonly address: string) {
    const { platform: { trace } } = simulation
    this.machine = Machine.create({
      propose: (data) => this.propose(data),
      onProposed: () => {},
      onCommitted: (applied, leading) => { if (leading) this.onCommitted(applied) },
      decide: (head) => scheduleSteps(head.steps, this.supervisors.fleetView()),
      schedule: (run) => { setImmediate(run) },
      onRefusedDecision: (transaction, refusal) => { trace.add(`control: decision refused ${JSON.stringify(transaction)} ${refusal.message}`) }
    })
    this.supervisors = Supervisors.create({
      head: () => this.machine.head,
      committed: () => this.machine.committed,
      term: () => this.term,
      now: () => this.clock.now(),
      submit: async (transaction: Transaction) => await this.machine.submit(transaction),
      confirm: async () => await this.confirm(),
      controlHosts: () => simulation.addresses,
      relays: () => [],
      leaseMilliseconds: LEASE_MILLISECONDS,
      stopMilliseconds: simulation.platform.times.stop,
      log: (event, fields) => {
        const incarnation = (fields as { incarnation?: string }).incarnation ?? (fields as { host?: string }).host?.slice('host-'.length) ?? ''
        trace.add(`leader ${address} of term ${this.term}: ${event} ${JSON.stringify(fields)}`, [incarnation.charAt(0)])
      }
    })
  }

  lead (term: number): void {
    this.term = term
    this.clock.begin(this.machine.committed.time)
    this.supervisors.beginLeading()
    this.machine.setLeading(true)
    this.tick(term)
  }

  follow (leader: string | undefined): void {
    this.superseded = false
    this.machine.setLeading(false)
    this.supervisors.endLeading(leader)
    for (const release of this.waitingConfirmations.splice(0)) release()
    this.simulation.catchUp(this)
  }

  private tick (term: number): void {
    if (!this.machine.leads || this.term !== term) return
    for (const transaction of this.supervisors.expiredLeases()) void this.machine.submit(transaction)
    this.machine.wake()
    after(TICK_MILLISECONDS, () => { this.tick(term) })
  }

  private propose (data: Uint8Array): Result<EntryPosition, unknown> {
    if (!this.superseded) return this.simulation.append(this, data)
    this.forked += 1
    return ok({ index: 1_000_000 + this.forked, term: this.term })
  }

  /** A leader that was replaced gets no answer until it learns of that. */
  private async confirm (): Promise<boolean> {
    await wait(this.simulation.dice.number(2, 8))
    if (this.superseded) await new Promise<void>((resolve) => { this.waitingConfirmations.push(resolve) })
    return this.machine.leads && !this.superseded && this.simulation.leader === this
  }

  private onCommitted (applied: readonly Applied[]): void {
    const { trace } = this.simulation.platform
    const changed = new Set<string>()
    for (const { effects } of applied) {
      for (const effect of effects) {
        if (effect.kind === EffectKind.IncarnationChanged) changed.add(effect.incarnation)
        if (effect.kind === EffectKind.StepRunEnded) trace.add(`log: ${effect.job}.${effect.step} attempt ${effect.attempt} ended on ${effect.incarnation}: ${effect.outcome}`, [effect.job, effect.incarnation.charAt(0)])
      }
    }
    this.supervisors.sendOrdersTo(changed)
  }
}

/** Options of a simulation. */
export interface SimulationOptions {
  readonly seed?: number
  readonly sites?: readonly string[]
  readonly times?: Partial<PlatformTimes>
}

/** Waits for the real event loop, so that all promises settle before the next timer. */
const realImmediate = setImmediate

/** All hosts of a deployment. */
export class Simulation {
  readonly addresses = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1']
  readonly dice: Dice
  readonly platform: SimulatedPlatform
  readonly sites: readonly Site[]
  private readonly hosts: SimulatedHost[]
  private leading?: SimulatedHost
  private term = 0
  private readonly log: LogEntry[] = []
  private committed = 0

  private constructor ({ seed = 1, sites = ['a', 'b'], times = {} }: SimulationOptions) {
    this.dice = new Dice(seed)
    this.platform = new SimulatedPlatform(this.dice, { ...statedTimes, ...times })
    this.hosts = this.addresses.map((address) => new SimulatedHost(this, address))
    this.sites = sites.map((name) => new Site(this, name))
  }

  /** Starts a leader, and all agents with their workers. */
  static async create (options: SimulationOptions = {}): Promise<Simulation> {
    const delays = new Dice(options.seed ?? 1)
    vi.spyOn(Math, 'random').mockImplementation(() => delays.number(0, 999) / 1_000)
    const simulation = new Simulation(options)
    simulation.elect(0)
    void simulation.submit({ kind: StepTransactionKind.ReplaceDocument, at: Date.now(), number: 1, documentJson: JSON.stringify(queueDocument), source: 'source' })
    for (const site of simulation.sites) {
      site.startAgent()
      site.machine.boot()
    }
    await simulation.run(1_500)
    return simulation
  }

  get leader (): SimulatedHost | undefined { return this.leading }
  get state (): SimulatedHost['machine']['committed'] { return (this.leading ?? this.hosts[0]!).machine.committed }

  site (name: string): Site {
    const found = this.sites.find((candidate) => candidate.name === name)
    if (found === undefined) throw new Error(`no site ${name}`)
    return found
  }

  /** Runs all timers of the given time. */
  async run (milliseconds: number, isDone: () => boolean = () => false): Promise<void> {
    const endsAt = performance.now() + milliseconds
    after(milliseconds, () => {})
    while (performance.now() < endsAt && !isDone()) {
      vi.advanceTimersToNextTimer()
      await new Promise<void>((resolve) => { realImmediate(resolve) })
    }
  }

  /** Runs until a condition holds; throws if it does not in the given time. */
  async until (what: string, isDone: () => boolean, milliseconds = 20_000): Promise<void> {
    await this.run(milliseconds, isDone)
    if (!isDone()) throw new Error(`did not happen: ${what}\n${this.platform.trace.around(this.sites.map(({ name }) => name))}`)
  }

  async submit (transaction: Transaction): Promise<void> {
    await this.leading?.machine.submit(transaction)
  }

  submitJob (identifier: string, plan: JobPlan, queue = 'normal'): void {
    this.platform.jobs.set(identifier, plan)
    const { tasks, gang, accelerators, milliseconds, processors = 1_000, memoryMegabytes = 1_000 } = plan
    void this.submit({
      kind: StepTransactionKind.SubmitSteps, at: Date.now(), identifier, account: queue === 'urgent' ? 'one' : 'two', queue, specification: { payload: identifier, steps: [step({ tasks, gang, accelerators, processors, memoryMegabytes, estimateMilliseconds: milliseconds })] }
    })
  }

  cancelJob (identifier: string): void {
    this.platform.trace.add(`job ${identifier} is cancelled`, [identifier])
    void this.submit({ kind: StepTransactionKind.CancelSteps, at: Date.now(), identifier })
  }

  /**
   * Replaces the leader.
   * @param position - the next leader
   * @param supersededMilliseconds - how long the old leader goes on
   */
  changeLeader (position: number, supersededMilliseconds = 0, gapMilliseconds = 0): void {
    const old = this.leading
    if (old === undefined || old === this.hosts[position] || this.hosts[position]!.superseded) return
    this.platform.trace.add(`control: ${old.address} no longer leads${supersededMilliseconds > 0 ? `, and knows it after ${supersededMilliseconds} ms` : ''}`)
    this.leading = undefined
    old.superseded = true
    if (this.dice.chance(50)) this.commitThrough(this.log.length)
    else this.log.length = this.committed
    if (supersededMilliseconds === 0) old.follow(this.addresses[position])
    else after(supersededMilliseconds, () => { old.follow(this.leading?.address) })
    if (gapMilliseconds === 0) this.elect(position)
    else after(gapMilliseconds, () => { this.elect(position) })
  }

  accept (address: string, call: SupervisorCall): void {
    const host = this.hosts.find((candidate) => candidate.address === address)
    if (host === undefined) throw new Error(`no control host ${address}`)
    if (host.machine.leads) host.supervisors.attach(call)
    else refuseNotLeader(call, this.leading?.address)
  }

  append (host: SimulatedHost, data: Uint8Array): Result<EntryPosition, unknown> {
    if (host !== this.leading) return err('not the leader')
    const entry = { index: this.log.length + 1, term: host.term, data }
    this.log.push(entry)
    after(this.dice.number(3, 12), () => { if (this.log[entry.index - 1] === entry) this.commitThrough(entry.index) })
    return ok(entry)
  }

  catchUp (host: SimulatedHost): void {
    while (host.applied < this.committed && !host.superseded) {
      const entry = this.log[host.applied]!
      host.applied += 1
      host.machine.commit(entry, entry.data)
    }
  }

  private commitThrough (index: number): void {
    this.committed = Math.max(this.committed, index)
    for (const host of this.hosts) this.catchUp(host)
  }

  private elect (position: number): void {
    const host = this.hosts[position]!
    this.term += 1
    this.platform.trace.add(`control: ${host.address} leads in term ${this.term}`)
    this.leading = host
    host.lead(this.term)
  }

  /** The violations with their traces. */
  get report (): string {
    return this.platform.violations.slice(0, 2).map(({ rule, text, trace }) => `${rule}: ${text}\n${trace}`).join('\n\n')
  }
}
