import { Verdict } from '../src/core/verdict'
import {
  EffectKind, EventKind, keyName, Phase, StopMode, type AgentEvent, type AgentState, type Effect, type Resources
} from '../src/agent/attempt'
import { initialAgentState, reduce } from '../src/agent/attempts'
import { Outcome, ReportReason, type Report } from '../src/agent/report'
import type { AttemptKey } from '../src/wire'

/** What control thinks of an attempt. */
enum Stage { New, Reserving, Granted, Started, Stopping, Ended }

export interface Plan extends Resources { readonly lead: boolean, readonly idempotent: boolean, readonly checkpointable: boolean }
interface Tracked extends Plan { readonly key: AttemptKey, stage: Stage, incarnation: string, told?: Verdict, outcome?: Outcome }
type ToControl = { readonly kind: 'reply', readonly key: AttemptKey, readonly granted: boolean } | { readonly kind: 'report', readonly key: AttemptKey, readonly report: Report }
interface Action { readonly name: string, readonly act: () => void }

const capacity = { accelerators: 2, slots: 2, connections: 3 }
const answerOf = (key: AttemptKey) => ({ contentType: '', body: Buffer.from(keyName(key)), digest: Buffer.alloc(0) })

/** Control, one agent, its platform and its target, all in memory; every message may wait, be lost, or come late. */
export class World {
  state: AgentState = initialAgentState('i1', capacity)
  readonly history: string[] = []
  readonly ran = new Map<string, number>()
  readonly platform = new Map<string, Resources>()
  private readonly ended = new Set<string>()
  private incarnations = 1
  private connected = true
  /** Effects that the driver is carrying out. */
  private pending: Effect[] = []
  private readonly atTarget = new Set<string>()
  /** Requests and starts of dead processes or closed sockets that may still arrive. */
  private ghosts: Effect[] = []
  /** Answers that were read when their request was given up. */
  private stragglers: AgentEvent[] = []
  private toAgent: AgentEvent[] = []
  private toControl: ToControl[] = []
  private readonly reported = new Map<string, Report>()
  readonly tracked: Tracked[]

  constructor (plans: readonly Plan[]) {
    this.tracked = plans.map((plan, position) => ({ ...plan, key: { job: `j${position}`, attempt: 1 }, stage: Stage.New, incarnation: '' }))
    this.dispatch({ kind: EventKind.LeaseGained })
  }

  /** Everything that could happen next: a fault, or the ordinary course of things. */
  actions (fault: boolean): readonly Action[] {
    if (fault) return [...this.faults(), ...this.closing(), ...this.pending.flatMap((effect) => this.outcomes(effect).slice(1))]
    const back = { name: 'stream and lease are back', act: () => { this.dispatch({ kind: EventKind.LeaseGained }); this.reconnect() } }
    const usual = [...this.controlActions(), ...this.deliveries(), ...this.pending.flatMap((effect) => this.outcomes(effect).slice(0, 1))]
    if (this.state.leaving && usual.length === 0) return [{ name: 'agent comes back', act: () => { this.restart() } }]
    return this.connected && this.state.leased ? usual : [...usual, back]
  }

  perform ({ name, act }: Action): void {
    this.history.push(name)
    act()
    this.check()
  }

  /** No more faults: everything that waits is carried out, until nothing is left to do. */
  drain (): void {
    this.perform({ name: 'drain', act: () => { this.ghosts = []; this.dispatch({ kind: EventKind.LeaseGained }); this.reconnect() } })
    for (let round = 0; round < 1_000; round++) {
      const [action] = [...this.deliveries(), ...this.pending.flatMap((effect) => this.outcomes(effect).slice(0, 1)), ...this.ending()]
      if (action === undefined) { this.checkQuiet(); return }
      this.perform(action)
    }
    throw new Error('never quiet')
  }

  private controlActions (): readonly Action[] {
    return this.tracked.flatMap((attempt) => this.moves(attempt).slice(0, attempt.stage < Stage.Started ? 1 : 0))
  }

  private moves (attempt: Tracked): readonly Action[] {
    const { key, stage } = attempt
    const move = (verb: string, act: () => void): Action => ({ name: `control ${verb} ${key.job}`, act })
    const stop = (mode: StopMode) => () => { attempt.stage = Stage.Stopping; this.command({ kind: EventKind.Stop, key, mode, graceMilliseconds: 1 }) }
    if (stage === Stage.New) return [move('reserves', () => { attempt.stage = Stage.Reserving; attempt.incarnation = this.state.incarnation; this.repeat(attempt) })]
    if (stage === Stage.Granted) {
      return [move('starts', () => { attempt.stage = Stage.Started; this.repeat(attempt) }),
        move('releases', () => { this.command({ kind: EventKind.Release, key }); this.settle(attempt, Verdict.NotRun) })]
    }
    if (stage === Stage.Started) return [move('stops', stop(StopMode.Stop)), move('checkpoints', stop(StopMode.Checkpoint)), move('repeats', () => { this.repeat(attempt) })]
    return []
  }

  /** What control does with all that is open, at the end. */
  private ending (): readonly Action[] {
    return this.closing().filter(({ name }) => name.includes(' releases ') || name.includes(' stops '))
  }

  private closing (): readonly Action[] {
    return this.tracked.flatMap((attempt) => this.moves(attempt).slice(attempt.stage === Stage.Granted ? 1 : 0))
  }

  /** Sends again what stands in control's log. */
  private repeat (attempt: Tracked): void {
    const { key, incarnation, lead, idempotent, checkpointable } = attempt
    const order = { lead, idempotent, checkpointable, deadline: 0, answerBytesLimit: 0, payload: answerOf(key) }
    if (attempt.stage === Stage.Reserving || attempt.stage === Stage.Granted) this.command({ kind: EventKind.Reserve, key, incarnation, resources: attempt, now: 1 })
    if (attempt.stage === Stage.Started) this.command({ kind: EventKind.Start, key, incarnation, order, now: 1 })
    if (attempt.stage === Stage.Stopping) this.command({ kind: EventKind.Stop, key, mode: StopMode.Stop, graceMilliseconds: 1 })
  }

  private command (event: AgentEvent): void {
    if (this.connected) this.toAgent.push(event)
  }

  private settle (attempt: Tracked, told: Verdict, outcome?: Outcome): void {
    Object.assign(attempt, { stage: Stage.Ended, told, outcome })
  }

  private deliveries (): readonly Action[] {
    const down = this.toAgent.slice(0, 1).map((event) => ({ name: `agent gets ${event.kind}`, act: () => { this.toAgent.shift(); this.dispatch(event) } }))
    const up = this.toControl.slice(0, 1).map((message) => ({ name: `control gets ${message.kind}`, act: () => { this.toControl.shift(); this.controlTakes(message) } }))
    return [...down, ...up]
  }

  private controlTakes (message: ToControl): void {
    const attempt = this.tracked.find(({ key }) => keyName(key) === keyName(message.key))
    if (attempt === undefined) throw new Error('a message on an attempt that nobody made')
    if (message.kind === 'reply') {
      if (attempt.stage === Stage.Reserving && message.granted) attempt.stage = Stage.Granted
      else if ([Stage.Reserving, Stage.Granted].includes(attempt.stage) && !message.granted) this.settle(attempt, Verdict.NotRun)
      return
    }
    this.command({ kind: EventKind.Acknowledge, key: message.key })
    if (attempt.stage !== Stage.Ended) this.settle(attempt, message.report.verdict, message.report.outcome)
  }

  /** What may come of an effect; the first one is the ordinary course. */
  private outcomes (effect: Effect): readonly Action[] {
    const name = keyName(effect.key)
    const { key } = effect
    const done = (verb: string, act: () => void): Action => ({ name: `${verb} ${name}`, act: () => { this.pending = this.pending.filter((other) => other !== effect); act() } })
    const open = {
      [EffectKind.StartOnPlatform]: [
        done('platform starts', () => { const started = this.start(effect); this.dispatch(started ? { kind: EventKind.PlatformStarted, key, now: 1 } : { kind: EventKind.PlatformRefused, key, verdict: Verdict.NotRun }) }),
        done('platform refuses', () => { this.dispatch({ kind: EventKind.PlatformRefused, key, verdict: Verdict.NotRun }) }),
        done('platform start is lost', () => { this.ghosts.push(effect); this.dispatch({ kind: EventKind.PlatformRefused, key, verdict: Verdict.MayHaveRun }) })
      ],
      [EffectKind.StopOnPlatform]: [done('platform stops', () => { this.endTask(name); this.dispatch({ kind: EventKind.PlatformEnded, key, mode: StopMode.Stop }) })],
      [EffectKind.CheckpointOnPlatform]: [
        done('platform checkpoints', () => { this.endTask(name); this.dispatch({ kind: EventKind.PlatformEnded, key, mode: StopMode.Checkpoint }) }),
        done('grace is over', () => { this.dispatch({ kind: EventKind.GraceOver, key }) })
      ],
      [EffectKind.SendToTarget]: this.atTarget.has(name)
        ? [done('target answers', () => { this.atTarget.delete(name); this.dispatch({ kind: EventKind.Answered, key, answer: answerOf(key) }) }),
            done('target breaks', () => { this.atTarget.delete(name); this.dispatch({ kind: EventKind.Broken, key, verdict: Verdict.MayHaveRun, reason: ReportReason.ConnectionBroken }) })]
        : [{ name: `target runs ${name}`, act: () => { this.atTarget.add(name); this.count(name) } },
            done('target refuses', () => { this.dispatch({ kind: EventKind.Broken, key, verdict: Verdict.NotRun, reason: ReportReason.ConnectionRefused }) })]
    }
    return open[effect.kind as keyof typeof open]
  }

  private faults (): readonly Action[] {
    const ghosts = this.ghosts.map((ghost) => ({ name: `late ${ghost.kind} ${keyName(ghost.key)}`, act: () => { this.arriveLate(ghost) } }))
    const deaths = [...this.platform.keys()].map((name) => ({ name: `task dies ${name}`, act: () => { this.endTask(name) } }))
    const stragglers = this.stragglers.map((event) => ({ name: 'straggling answer', act: () => { this.stragglers = []; this.dispatch(event) } }))
    return [...ghosts, ...deaths, ...stragglers,
      { name: 'agent restarts', act: () => { this.restart() } },
      { name: 'stream breaks', act: () => { this.toAgent = []; this.toControl = []; this.connected = false } },
      { name: 'agent looks', act: () => { this.look() } },
      { name: 'lease ends', act: () => { this.endLease() } },
      { name: 'reservations expire', act: () => { this.dispatch({ kind: EventKind.ReservationsExpire, reservedBefore: 2 }) } },
      ...(this.tracked.some(({ stage }) => stage === Stage.New) ? [] : [{ name: 'agent leaves', act: () => { this.dispatch({ kind: EventKind.Leave }) } }])]
  }

  private arriveLate (ghost: Effect): void {
    this.ghosts = this.ghosts.filter((other) => other !== ghost)
    if (ghost.kind === EffectKind.SendToTarget) this.count(keyName(ghost.key))
    else this.start(ghost)
  }

  private start (effect: Effect): boolean {
    const name = keyName(effect.key)
    if (effect.kind !== EffectKind.StartOnPlatform || this.ended.has(name)) return false
    const taken = [...this.platform].reduce((mask, [other, { mask: held }]) => other === name ? mask : mask | held, 0)
    if ((taken & effect.resources.mask) !== 0) return false
    this.platform.set(name, effect.resources)
    return true
  }

  private endTask (name: string): void {
    this.platform.delete(name)
    this.ended.add(name)
  }

  private count (name: string): void {
    this.ran.set(name, (this.ran.get(name) ?? 0) + 1)
  }

  private look (): void {
    const expected = [...this.state.attempts.values()].filter(({ onPlatform }) => onPlatform).map(({ key }) => keyName(key))
    const tasks = [...this.platform].map(([name, resources]) => ({ key: { job: name.slice(0, -2), attempt: 1 }, resources }))
    this.dispatch({ kind: EventKind.PlatformShown, tasks, expected, overMemory: [] })
  }

  private restart (): void {
    const sends = this.pending.filter(({ kind, key }) => kind === EffectKind.SendToTarget && !this.atTarget.has(keyName(key)))
    this.ghosts.push(...sends, ...this.pending.filter(({ kind }) => kind === EffectKind.StartOnPlatform))
    this.pending = []
    this.stragglers = []
    this.atTarget.clear()
    this.reported.clear()
    this.state = initialAgentState(`i${++this.incarnations}`, capacity)
    this.look()
    this.dispatch({ kind: EventKind.LeaseGained })
    this.reconnect()
  }

  /** Control's part of an announcement: as the core does it. */
  private reconnect (): void {
    this.toAgent = []
    this.toControl = []
    this.connected = true
    const running = new Set([...this.state.attempts.keys(), ...this.state.leftovers.keys()])
    for (const attempt of this.tracked) {
      const name = keyName(attempt.key)
      const restarted = attempt.incarnation !== this.state.incarnation
      if (attempt.stage === Stage.New) continue
      if (attempt.stage === Stage.Ended) {
        if (running.has(name)) this.command({ kind: EventKind.Stop, key: attempt.key, mode: StopMode.Stop, graceMilliseconds: 1 })
      } else if (restarted && !running.has(name)) this.settle(attempt, attempt.stage < Stage.Started ? Verdict.NotRun : Verdict.MayHaveRun)
      else { attempt.incarnation = this.state.incarnation; this.repeat(attempt) }
    }
    this.dispatchReports()
  }

  private dispatchReports (): void {
    for (const { key, report, phase } of this.state.attempts.values()) {
      if (phase === Phase.Ended && report !== undefined) this.toControl.push({ kind: 'report', key, report })
    }
  }

  private dispatch (event: AgentEvent): void {
    const { state, effects } = reduce(this.state, event)
    this.state = state
    for (const effect of effects) this.take(effect)
  }

  private take (effect: Effect): void {
    if (effect.kind === EffectKind.Reply && effect.granted) this.checkGrant(keyName(effect.key))
    if (effect.kind === EffectKind.Reply) this.say({ kind: 'reply', key: effect.key, granted: effect.granted })
    else if (effect.kind === EffectKind.Report) this.takeReport(effect.key, effect.report)
    else if (effect.kind === EffectKind.AbortTarget) this.abort(keyName(effect.key))
    else if (effect.kind !== EffectKind.SetGrace) this.pending.push(effect)
  }

  private say (message: ToControl): void {
    if (this.connected) this.toControl.push(message)
  }

  private abort (name: string): void {
    const sends = this.pending.filter(({ kind, key }) => kind === EffectKind.SendToTarget && keyName(key) === name)
    this.pending = this.pending.filter((effect) => !sends.includes(effect))
    if (!this.atTarget.delete(name)) this.ghosts.push(...sends)
    else this.stragglers.push(...sends.map(({ key }) => ({ kind: EventKind.Answered as const, key, answer: answerOf(key) })))
  }

  private takeReport (key: AttemptKey, report: Report): void {
    const name = keyName(key)
    const before = this.reported.get(name) ?? report
    if (before !== report) throw new Error(`two different reports on ${name}`)
    if (report.outcome !== Outcome.Finished && (this.platform.has(name) || this.atTarget.has(name))) throw new Error(`${name} is reported ended and runs`)
    if (report.outcome === Outcome.Finished && (report.answer?.body.toString() !== name || !this.ran.has(name))) throw new Error(`${name} finished without its answer`)
    this.reported.set(name, report)
    this.say({ kind: 'report', key, report })
  }

  /** A start that came late from a dead process is renewed by nobody: the platform's own lease ends it. */
  private checkQuiet (): void {
    for (const name of this.platform.keys()) if (!this.state.attempts.has(name)) this.endTask(name)
    if (this.tracked.some(({ stage }) => stage !== Stage.New && stage !== Stage.Ended)) throw new Error('control was never told of an end')
    if (this.state.attempts.size > 0) throw new Error(`the agent still holds ${[...this.state.attempts.keys()].join(', ')}`)
  }

  private checkGrant (name: string): void {
    const all = [...this.state.attempts.values(), ...[...this.state.leftovers.values()].map((leftover) => ({ ...leftover, phase: Phase.Running, onPlatform: true }))]
    const overlapping = all.filter(({ phase, onPlatform, resources }) => (phase !== Phase.Ended || onPlatform) && (resources.mask & (this.state.attempts.get(name)?.resources.mask ?? 0)) !== 0)
    if (overlapping.some(({ key }) => keyName(key) !== name)) throw new Error(`${name} is granted an accelerator that another holds`)
    const open = all.filter(({ phase }) => phase !== Phase.Ended)
    if (open.reduce((sum, { resources }) => sum + resources.slots, 0) > capacity.slots) throw new Error('more slots are granted than there are')
    if (open.length > capacity.connections) throw new Error('more connections are granted than there are')
  }

  private endLease (): void {
    this.dispatch({ kind: EventKind.LeaseEnded, graceMilliseconds: 1 })
    const open = [...this.state.attempts.values()].filter(({ phase }) => phase !== Phase.Ended && phase !== Phase.Stopping)
    if (open.length > 0) throw new Error('something goes on without a lease')
  }

  private check (): void {
    for (const { key, told, idempotent, outcome } of this.tracked) {
      const times = this.ran.get(keyName(key)) ?? 0
      if (told === Verdict.NotRun && times > 0) throw new Error(`control was told that ${key.job} did not run`)
      if (outcome === Outcome.NotStarted && this.platform.has(keyName(key))) throw new Error(`${key.job} runs and was reported as not started`)
      if (!idempotent && times > 1) throw new Error(`${key.job} ran ${times} times`)
    }
    const held = [...this.atTarget].map((name) => this.tracked.find(({ key }) => keyName(key) === name)?.slots ?? 0)
    if (held.reduce((sum, slots) => sum + slots, 0) > capacity.slots) throw new Error('more slots in use than there are')
    if (this.atTarget.size > capacity.connections) throw new Error('more connections in use than there are')
  }
}
