import { Verdict } from '../src/core/verdict'
import {
  attemptName, EffectKind, EventKind, Phase, StopMode, type AgentEvent, type AgentState, type Effect, type Resources
} from '../src/agent/attempt'
import { initialAgentState, reduce } from '../src/agent/attempt-reducer'
import { Outcome, ReportReason, type Report } from '../src/agent/report'
import type { AttemptKey } from '../src/wire'

/** The stage of an attempt, as control knows it. */
enum Stage { New, Reserving, Granted, Started, Stopping, Ended }

export interface AttemptPlan extends Resources { readonly lead: boolean, readonly idempotent: boolean, readonly checkpointable: boolean }
interface ControlAttempt extends AttemptPlan { readonly key: AttemptKey, stage: Stage, incarnation: string, toldVerdict?: Verdict, outcome?: Outcome }
type ToControl = { readonly kind: 'reply', readonly key: AttemptKey, readonly granted: boolean } | { readonly kind: 'report', readonly key: AttemptKey, readonly report: Report }
interface Action { readonly name: string, readonly act: () => void }

const capacity = { accelerators: 2, slots: 2, connections: 3 }
const answerOf = (key: AttemptKey) => ({ contentType: '', body: Buffer.from(attemptName(key)), digest: Buffer.alloc(0) })

/**
 * Simulates control, one agent, its platform and its target in memory. Every message may be delayed, lost, or arrive late.
 */
export class AttemptSimulation {
  state: AgentState = initialAgentState('i1', capacity)
  readonly history: string[] = []
  readonly ran = new Map<string, number>()
  readonly platform = new Map<string, Resources>()
  private readonly ended = new Set<string>()
  private incarnations = 1
  private connected = true
  /** Effects that are being executed. */
  private pending: Effect[] = []
  private readonly atTarget = new Set<string>()
  /** Requests and starts of dead processes or closed sockets that may still arrive. */
  private lateEffects: Effect[] = []
  /** Answers that were read when their request was aborted. */
  private lateAnswers: AgentEvent[] = []
  private toAgent: AgentEvent[] = []
  private toControl: ToControl[] = []
  private readonly reported = new Map<string, Report>()
  readonly tracked: ControlAttempt[]

  constructor (plans: readonly AttemptPlan[]) {
    this.tracked = plans.map((plan, position) => ({ ...plan, key: { job: `j${position}`, attempt: 1 }, stage: Stage.New, incarnation: '' }))
    this.dispatch({ kind: EventKind.LeaseGained })
  }

  /** Returns the possible next actions: the faults, or those of the normal course. */
  actions (fault: boolean): readonly Action[] {
    if (fault) return [...this.faults(), ...this.laterMoves(), ...this.pending.flatMap((effect) => this.outcomes(effect).slice(1))]
    const back = { name: 'stream and lease are back', act: () => { this.dispatch({ kind: EventKind.LeaseGained }); this.reconnect() } }
    const usual = [...this.controlActions(), ...this.deliveries(), ...this.pending.flatMap((effect) => this.outcomes(effect).slice(0, 1))]
    if (this.state.leaving && usual.length === 0) return [{ name: 'agent returns', act: () => { this.restart() } }]
    return this.connected && this.state.leased ? usual : [...usual, back]
  }

  perform ({ name, act }: Action): void {
    this.history.push(name)
    act()
    this.check()
  }

  /** Executes everything pending without further faults, until no action is left. */
  drain (): void {
    this.perform({ name: 'drain', act: () => { this.lateEffects = []; this.dispatch({ kind: EventKind.LeaseGained }); this.reconnect() } })
    for (let round = 0; round < 1_000; round++) {
      const [action] = [...this.deliveries(), ...this.pending.flatMap((effect) => this.outcomes(effect).slice(0, 1)), ...this.closingAtEnd()]
      if (action === undefined) { this.checkDrained(); return }
      this.perform(action)
    }
    throw new Error('the simulation did not drain in 1000 rounds')
  }

  private controlActions (): readonly Action[] {
    return this.tracked.flatMap((attempt) => this.controlMoves(attempt).slice(0, attempt.stage < Stage.Started ? 1 : 0))
  }

  private controlMoves (attempt: ControlAttempt): readonly Action[] {
    const { key, stage } = attempt
    const move = (verb: string, act: () => void): Action => ({ name: `control ${verb} ${key.job}`, act })
    const stop = (mode: StopMode) => () => { attempt.stage = Stage.Stopping; this.command({ kind: EventKind.Stop, key, mode, graceMilliseconds: 1 }) }
    if (stage === Stage.New) return [move('reserves', () => { attempt.stage = Stage.Reserving; attempt.incarnation = this.state.incarnation; this.resend(attempt) })]
    if (stage === Stage.Granted) {
      return [move('starts', () => { attempt.stage = Stage.Started; this.resend(attempt) }),
        move('releases', () => { this.command({ kind: EventKind.Release, key }); this.endAttempt(attempt, Verdict.NotRun) })]
    }
    if (stage === Stage.Started) return [move('stops', stop(StopMode.Stop)), move('checkpoints', stop(StopMode.Checkpoint)), move('repeats', () => { this.resend(attempt) })]
    return []
  }

  /** Returns the releases and stops by which control ends all open attempts. */
  private closingAtEnd (): readonly Action[] {
    return this.laterMoves().filter(({ name }) => name.includes(' releases ') || name.includes(' stops '))
  }

  private laterMoves (): readonly Action[] {
    return this.tracked.flatMap((attempt) => this.controlMoves(attempt).slice(attempt.stage === Stage.Granted ? 1 : 0))
  }

  /** Sends the command again that control's log requires. */
  private resend (attempt: ControlAttempt): void {
    const { key, incarnation, lead, idempotent, checkpointable } = attempt
    const order = { lead, idempotent, checkpointable, deadline: 0, answerBytesLimit: 0, payload: answerOf(key) }
    if (attempt.stage === Stage.Reserving || attempt.stage === Stage.Granted) this.command({ kind: EventKind.Reserve, key, incarnation, resources: attempt, now: 1 })
    if (attempt.stage === Stage.Started) this.command({ kind: EventKind.Start, key, incarnation, order, now: 1 })
    if (attempt.stage === Stage.Stopping) this.command({ kind: EventKind.Stop, key, mode: StopMode.Stop, graceMilliseconds: 1 })
  }

  private command (event: AgentEvent): void {
    if (this.connected) this.toAgent.push(event)
  }

  private endAttempt (attempt: ControlAttempt, told: Verdict, outcome?: Outcome): void {
    Object.assign(attempt, { stage: Stage.Ended, told, outcome })
  }

  private deliveries (): readonly Action[] {
    const down = this.toAgent.slice(0, 1).map((event) => ({ name: `agent gets ${event.kind}`, act: () => { this.toAgent.shift(); this.dispatch(event) } }))
    const up = this.toControl.slice(0, 1).map((message) => ({ name: `control gets ${message.kind}`, act: () => { this.toControl.shift(); this.controlReceives(message) } }))
    return [...down, ...up]
  }

  private controlReceives (message: ToControl): void {
    const attempt = this.tracked.find(({ key }) => attemptName(key) === attemptName(message.key))
    if (attempt === undefined) throw new Error('message for an unknown attempt')
    if (message.kind === 'reply') {
      if (attempt.stage === Stage.Reserving && message.granted) attempt.stage = Stage.Granted
      else if ([Stage.Reserving, Stage.Granted].includes(attempt.stage) && !message.granted) this.endAttempt(attempt, Verdict.NotRun)
      return
    }
    this.command({ kind: EventKind.Acknowledge, key: message.key })
    if (attempt.stage !== Stage.Ended) this.endAttempt(attempt, message.report.verdict, message.report.outcome)
  }

  /** Returns the possible outcomes of an effect, the normal one first. */
  private outcomes (effect: Effect): readonly Action[] {
    const name = attemptName(effect.key)
    const { key } = effect
    const done = (verb: string, act: () => void): Action => ({ name: `${verb} ${name}`, act: () => { this.pending = this.pending.filter((other) => other !== effect); act() } })
    const open = {
      [EffectKind.StartOnPlatform]: [
        done('platform starts', () => { const started = this.start(effect); this.dispatch(started ? { kind: EventKind.PlatformStarted, key, now: 1 } : { kind: EventKind.PlatformRefused, key, verdict: Verdict.NotRun }) }),
        done('platform refuses', () => { this.dispatch({ kind: EventKind.PlatformRefused, key, verdict: Verdict.NotRun }) }),
        done('platform start is lost', () => { this.lateEffects.push(effect); this.dispatch({ kind: EventKind.PlatformRefused, key, verdict: Verdict.MayHaveRun }) })
      ],
      [EffectKind.StopOnPlatform]: [done('platform stops', () => { this.endTask(name); this.dispatch({ kind: EventKind.PlatformEnded, key, mode: StopMode.Stop }) })],
      [EffectKind.CheckpointOnPlatform]: [
        done('platform checkpoints', () => { this.endTask(name); this.dispatch({ kind: EventKind.PlatformEnded, key, mode: StopMode.Checkpoint }) }),
        done('grace expires', () => { this.dispatch({ kind: EventKind.GraceExpired, key }) })
      ],
      [EffectKind.SendToTarget]: this.atTarget.has(name)
        ? [done('target answers', () => { this.atTarget.delete(name); this.dispatch({ kind: EventKind.RequestAnswered, key, answer: answerOf(key) }) }),
            done('target breaks', () => { this.atTarget.delete(name); this.dispatch({ kind: EventKind.RequestFailed, key, verdict: Verdict.MayHaveRun, reason: ReportReason.ConnectionBroken }) })]
        : [{ name: `target runs ${name}`, act: () => { this.atTarget.add(name); this.countRun(name) } },
            done('target refuses', () => { this.dispatch({ kind: EventKind.RequestFailed, key, verdict: Verdict.NotRun, reason: ReportReason.ConnectionRefused }) })]
    }
    return open[effect.kind as keyof typeof open]
  }

  private faults (): readonly Action[] {
    const late = this.lateEffects.map((effect) => ({ name: `late ${effect.kind} ${attemptName(effect.key)}`, act: () => { this.applyLateEffect(effect) } }))
    const deaths = [...this.platform.keys()].map((name) => ({ name: `task dies ${name}`, act: () => { this.endTask(name) } }))
    const answers = this.lateAnswers.map((event) => ({ name: 'late answer arrives', act: () => { this.lateAnswers = []; this.dispatch(event) } }))
    return [...late, ...deaths, ...answers,
      { name: 'agent restarts', act: () => { this.restart() } },
      { name: 'stream breaks', act: () => { this.toAgent = []; this.toControl = []; this.connected = false } },
      { name: 'agent lists tasks', act: () => { this.refreshTasks() } },
      { name: 'lease ends', act: () => { this.endLease() } },
      { name: 'reservations expire', act: () => { this.dispatch({ kind: EventKind.ReservationsExpire, reservedBefore: 2 }) } },
      ...(this.tracked.some(({ stage }) => stage === Stage.New) ? [] : [{ name: 'agent leaves', act: () => { this.dispatch({ kind: EventKind.Leave }) } }])]
  }

  private applyLateEffect (effect: Effect): void {
    this.lateEffects = this.lateEffects.filter((other) => other !== effect)
    if (effect.kind === EffectKind.SendToTarget) this.countRun(attemptName(effect.key))
    else this.start(effect)
  }

  private start (effect: Effect): boolean {
    const name = attemptName(effect.key)
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

  private countRun (name: string): void {
    this.ran.set(name, (this.ran.get(name) ?? 0) + 1)
  }

  private refreshTasks (): void {
    const expectedAttempts = [...this.state.attempts.values()].filter(({ onPlatform }) => onPlatform).map(({ key }) => attemptName(key))
    const tasks = [...this.platform].map(([name, resources]) => ({ key: { job: name.slice(0, -2), attempt: 1 }, resources }))
    this.dispatch({ kind: EventKind.PlatformTasksListed, tasks, expectedAttempts, overMemory: [] })
  }

  private restart (): void {
    const sends = this.pending.filter(({ kind, key }) => kind === EffectKind.SendToTarget && !this.atTarget.has(attemptName(key)))
    this.lateEffects.push(...sends, ...this.pending.filter(({ kind }) => kind === EffectKind.StartOnPlatform))
    this.pending = []
    this.lateAnswers = []
    this.atTarget.clear()
    this.reported.clear()
    this.state = initialAgentState(`i${++this.incarnations}`, capacity)
    this.refreshTasks()
    this.dispatch({ kind: EventKind.LeaseGained })
    this.reconnect()
  }

  /** Handles an announcement on the side of control, as the core does. */
  private reconnect (): void {
    this.toAgent = []
    this.toControl = []
    this.connected = true
    const running = new Set([...this.state.attempts.keys(), ...this.state.orphans.keys()])
    for (const attempt of this.tracked) {
      const name = attemptName(attempt.key)
      const restarted = attempt.incarnation !== this.state.incarnation
      if (attempt.stage === Stage.New) continue
      if (attempt.stage === Stage.Ended) {
        if (running.has(name)) this.command({ kind: EventKind.Stop, key: attempt.key, mode: StopMode.Stop, graceMilliseconds: 1 })
      } else if (restarted && !running.has(name)) this.endAttempt(attempt, attempt.stage < Stage.Started ? Verdict.NotRun : Verdict.MayHaveRun)
      else { attempt.incarnation = this.state.incarnation; this.resend(attempt) }
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
    for (const effect of effects) this.handleEffect(effect)
  }

  private handleEffect (effect: Effect): void {
    if (effect.kind === EffectKind.Reply && effect.granted) this.checkGrant(attemptName(effect.key))
    if (effect.kind === EffectKind.Reply) this.sendToControl({ kind: 'reply', key: effect.key, granted: effect.granted })
    else if (effect.kind === EffectKind.Report) this.handleReport(effect.key, effect.report)
    else if (effect.kind === EffectKind.AbortTarget) this.abort(attemptName(effect.key))
    else if (effect.kind !== EffectKind.SetGrace) this.pending.push(effect)
  }

  private sendToControl (message: ToControl): void {
    if (this.connected) this.toControl.push(message)
  }

  private abort (name: string): void {
    const sends = this.pending.filter(({ kind, key }) => kind === EffectKind.SendToTarget && attemptName(key) === name)
    this.pending = this.pending.filter((effect) => !sends.includes(effect))
    if (!this.atTarget.delete(name)) this.lateEffects.push(...sends)
    else this.lateAnswers.push(...sends.map(({ key }) => ({ kind: EventKind.RequestAnswered as const, key, answer: answerOf(key) })))
  }

  private handleReport (key: AttemptKey, report: Report): void {
    const name = attemptName(key)
    const before = this.reported.get(name) ?? report
    if (before !== report) throw new Error(`two different reports on ${name}`)
    if (report.outcome !== Outcome.Finished && (this.platform.has(name) || this.atTarget.has(name))) throw new Error(`${name} was reported as ended but still runs`)
    if (report.outcome === Outcome.Finished && (report.answer?.body.toString() !== name || !this.ran.has(name))) throw new Error(`${name} was reported as finished without its own answer`)
    this.reported.set(name, report)
    this.sendToControl({ kind: 'report', key, report })
  }

  /** A task that a late start of a dead process created is never renewed, so the platform's own lease ends it. */
  private checkDrained (): void {
    for (const name of this.platform.keys()) if (!this.state.attempts.has(name)) this.endTask(name)
    if (this.tracked.some(({ stage }) => stage !== Stage.New && stage !== Stage.Ended)) throw new Error('an attempt never ended for control')
    if (this.state.attempts.size > 0) throw new Error(`the agent still holds ${[...this.state.attempts.keys()].join(', ')}`)
  }

  private checkGrant (name: string): void {
    const all = [...this.state.attempts.values(), ...[...this.state.orphans.values()].map((orphan) => ({ ...orphan, phase: Phase.Running, onPlatform: true }))]
    const overlapping = all.filter(({ phase, onPlatform, resources }) => (phase !== Phase.Ended || onPlatform) && (resources.mask & (this.state.attempts.get(name)?.resources.mask ?? 0)) !== 0)
    if (overlapping.some(({ key }) => attemptName(key) !== name)) throw new Error(`${name} was granted an accelerator that another attempt holds`)
    const open = all.filter(({ phase }) => phase !== Phase.Ended)
    if (open.reduce((sum, { resources }) => sum + resources.slots, 0) > capacity.slots) throw new Error('more slots were granted than the worker has')
    if (open.length > capacity.connections) throw new Error('more connections were granted than the worker has')
  }

  private endLease (): void {
    this.dispatch({ kind: EventKind.LeaseEnded, graceMilliseconds: 1 })
    const open = [...this.state.attempts.values()].filter(({ phase }) => phase !== Phase.Ended && phase !== Phase.Stopping)
    if (open.length > 0) throw new Error('an attempt was not stopped when the lease ended')
  }

  private check (): void {
    for (const { key, toldVerdict, idempotent, outcome } of this.tracked) {
      const times = this.ran.get(attemptName(key)) ?? 0
      if (toldVerdict === Verdict.NotRun && times > 0) throw new Error(`${key.job} ran but was reported as not run`)
      if (outcome === Outcome.NotStarted && this.platform.has(attemptName(key))) throw new Error(`${key.job} runs but was reported as not started`)
      if (!idempotent && times > 1) throw new Error(`${key.job} ran ${times} times`)
    }
    const held = [...this.atTarget].map((name) => this.tracked.find(({ key }) => attemptName(key) === name)?.slots ?? 0)
    if (held.reduce((sum, slots) => sum + slots, 0) > capacity.slots) throw new Error('more slots are in use than the worker has')
    if (this.atTarget.size > capacity.connections) throw new Error('more connections are in use than the worker has')
  }
}
