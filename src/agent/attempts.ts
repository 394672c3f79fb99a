import { Verdict } from '../core/verdict'
import {
  EffectKind, EventKind, keyName, Phase, StopMode,
  type AgentEvent, type AgentState, type Attempt, type Capacity, type Effect, type Leftover, type Order, type Resources, type Step
} from './attempt'
import { lacking, occupies } from './limits'
import { notStarted, Outcome, report, ReportReason, type Report } from './report'
import type { AttemptKey } from '../wire'

/**
 * Ended attempts that are remembered after control has their report. Control resends commands only for
 * attempts whose end is not in its log, so this memory is a second guard and may be short.
 */
const REMEMBERED_ATTEMPTS = 1024

const nothingTaken: Resources = { mask: 0, slots: 0, processors: 0, memoryMegabytes: 0 }

type Of<Kind extends EventKind> = Extract<AgentEvent, { kind: Kind }>
type Handlers = { readonly [Kind in EventKind]: (state: AgentState, event: Of<Kind>) => Step }

/**
 * Makes the state of an agent that has just started.
 * @param incarnation - made anew at each start
 * @param capacity - what the worker can hold
 * @returns the state without lease and attempts
 */
export function initialAgentState (incarnation: string, capacity: Capacity): AgentState {
  return {
    incarnation,
    capacity,
    leased: false,
    leaving: false,
    targetSilent: false,
    attempts: new Map(),
    leftovers: new Map(),
    inherited: [],
    refused: [],
    settled: []
  }
}

/**
 * Takes one event in. Pure: the same state and event give the same step.
 * @param state - what the agent knows
 * @param event - what happened
 * @returns the new state and what is to be done, in order
 */
export function reduce (state: AgentState, event: AgentEvent): Step {
  const handle = handlers[event.kind] as (state: AgentState, event: AgentEvent) => Step
  return handle(state, event)
}

const handlers: Handlers = {
  [EventKind.Reserve]: (state, event) => {
    const reason = refusalOf(state, event)
    const reply: Effect = { kind: EffectKind.Reply, key: event.key, granted: reason === undefined, reason: reason ?? ReportReason.None }
    if (reason !== undefined || state.attempts.has(keyName(event.key))) return { state, effects: [reply] }
    return { state: put(state, { ...newAttempt(event.key, Phase.Reserved, event.resources), reservedAt: event.now }), effects: [reply] }
  },

  [EventKind.Release]: (state, { key }) => {
    const attempt = find(state, key)
    return attempt?.phase === Phase.Reserved ? still(forget(state, attempt)) : still(state)
  },

  [EventKind.Start]: (state, event) => {
    const attempt = find(state, event.key)
    if (attempt === undefined) return startUnknown(state, event)
    if (attempt.phase === Phase.Ended) return again(state, attempt)
    if (attempt.phase !== Phase.Reserved) return still(state)
    if (event.incarnation !== state.incarnation) return end(state, attempt, notStarted(ReportReason.OtherIncarnation))
    if (isPast(event.order.deadline, event.now)) return end(state, attempt, notStarted(ReportReason.DeadlinePassed))
    return begin(state, { ...attempt, order: event.order })
  },

  [EventKind.Stop]: (state, event) => {
    const attempt = find(state, event.key)
    if (attempt === undefined) return stopUnknown(state, event.key)
    if (attempt.phase === Phase.Ended) return again(state, attempt)
    return beginStop(state, attempt, event.mode, event.graceMilliseconds, ReportReason.StoppedByControl)
  },

  [EventKind.Acknowledge]: (state, { key }) => {
    const attempt = find(state, key)
    if (attempt?.phase !== Phase.Ended) return still(state)
    return still(settle(state, { ...attempt, acknowledged: true }))
  },

  [EventKind.PlatformStarted]: (state, event) => {
    const attempt = find(state, event.key)
    if (attempt?.phase !== Phase.Starting || attempt.order === undefined) return still(state)
    return run(state, attempt, attempt.order, event.now)
  },

  [EventKind.PlatformRefused]: (state, event) => {
    const attempt = find(state, event.key)
    if (attempt?.phase !== Phase.Starting) return still(state)
    const failed = report(Outcome.Failed, event.verdict, ReportReason.PlatformFailed)
    return end(state, { ...attempt, onPlatform: event.verdict !== Verdict.NotRun }, failed)
  },

  [EventKind.PlatformEnded]: (state, event) => {
    const attempt = find(state, event.key)
    if (attempt === undefined) return still(state)
    const gone = { ...attempt, onPlatform: false }
    if (attempt.phase === Phase.Ended) return still(settle(state, gone))
    return end(state, gone, attempt.report ?? stopReport(attempt, event.mode))
  },

  [EventKind.PlatformShown]: (state, event) => {
    const shown = new Map(event.tasks.map((task) => [keyName(task.key), task]))
    const known = inherit(state, leftoversOf(state, event.tasks))
    const died = event.expected.filter((name) => !shown.has(name)).map((name) => state.attempts.get(name))
      .filter((attempt): attempt is Attempt => attempt?.phase === Phase.Running && attempt.onPlatform)
    return each(known, died, (next, attempt) => {
      const reason = event.overMemory.includes(keyName(attempt.key)) ? ReportReason.OverMemory : ReportReason.PlatformFailed
      return end(next, { ...attempt, onPlatform: false }, report(Outcome.Failed, Verdict.MayHaveRun, reason))
    })
  },

  [EventKind.Answered]: (state, event) => {
    const attempt = find(state, event.key)
    if (attempt === undefined || !attempt.atTarget) return still(state)
    const { answer } = event
    const finished: Report = { outcome: Outcome.Finished, verdict: Verdict.Ran, reason: ReportReason.None, answer }
    const step = settleAt(state, { ...attempt, atTarget: false }, finished)
    return attempt.onPlatform ? { ...step, effects: [...step.effects, { kind: EffectKind.StopOnPlatform, key: event.key }] } : step
  },

  [EventKind.Broken]: (state, event) => {
    const attempt = find(state, event.key)
    if (attempt === undefined || !attempt.atTarget) return still(state)
    const closed = { ...attempt, atTarget: false }
    if (attempt.phase !== Phase.Running) return still(settle(state, closed))
    return end(state, closed, report(Outcome.Failed, event.verdict, event.reason))
  },

  [EventKind.GraceOver]: (state, { key }) => {
    const attempt = find(state, key)
    if (attempt?.phase !== Phase.Stopping || attempt.report !== undefined) return still(state)
    return stopNow(state, attempt, attempt.stopReason ?? ReportReason.StoppedByControl)
  },

  [EventKind.LeaseGained]: (state) => still({ ...state, leased: true }),

  [EventKind.LeaseEnded]: (state, event) =>
    stopAll({ ...state, leased: false }, ReportReason.LeaseLost, event.graceMilliseconds),

  [EventKind.TargetWatched]: (state, { silent }) => {
    const open = silent ? [...state.attempts.values()].filter(({ atTarget }) => atTarget) : []
    return { state: { ...state, targetSilent: silent }, effects: open.map(({ key }) => ({ kind: EffectKind.AbortTarget, key })) }
  },

  [EventKind.ReservationsExpire]: (state, { reservedBefore }) =>
    drop(state, byPhase(state, Phase.Reserved).filter(({ reservedAt }) => reservedAt < reservedBefore)),

  [EventKind.Leave]: (state) => drop({ ...state, leaving: true }, byPhase(state, Phase.Reserved)),

  [EventKind.StopAll]: (state, event) => stopAll(state, event.reason, event.graceMilliseconds)
}

/**
 * An order for an attempt that this incarnation does not hold. That it did not start can be said only where no earlier
 * process of this agent can have started it: the order names this incarnation, and the platform never showed the task.
 */
function startUnknown (state: AgentState, event: Of<EventKind.Start>): Step {
  const name = keyName(event.key)
  if (state.settled.includes(name)) return still(state)
  const attempt = { ...newAttempt(event.key, Phase.Running, nothingTaken), order: event.order }
  const neverHere = event.incarnation === state.incarnation && !state.inherited.includes(name)
  if (neverHere || state.refused.includes(name)) {
    return end(state, attempt, notStarted(ReportReason.NoReservation))
  }
  const leftover = state.leftovers.get(name)
  const restarted = report(Outcome.Failed, Verdict.MayHaveRun, ReportReason.AgentRestarted)
  if (leftover === undefined) return end(state, attempt, restarted)
  return adopt(state, { ...attempt, resources: leftover.resources, onPlatform: true }, event, restarted)
}

/** A lead whose connection to the target went with its process can only send again what is idempotent. */
function adopt (state: AgentState, attempt: Attempt, event: Of<EventKind.Start>, restarted: Report): Step {
  const leftovers = new Map(state.leftovers)
  leftovers.delete(keyName(attempt.key))
  const adopted = { ...state, leftovers }
  if (event.order.lead && !event.order.idempotent) return end(adopted, attempt, restarted)
  return run(adopted, { ...attempt, adopted: true }, event.order, event.now)
}

/** This incarnation never granted the attempt; an earlier one may have. */
function stopUnknown (state: AgentState, key: AttemptKey): Step {
  const name = keyName(key)
  if (state.settled.includes(name)) return still(state)
  const leftover = state.leftovers.get(name)
  const attempt = newAttempt(key, Phase.Running, leftover?.resources ?? nothingTaken)
  if (state.refused.includes(name)) return end(state, attempt, notStarted(ReportReason.NoReservation))
  const leftovers = new Map(state.leftovers)
  leftovers.delete(name)
  const stopped = report(Outcome.Stopped, Verdict.MayHaveRun, ReportReason.AgentRestarted)
  return end({ ...state, leftovers }, { ...attempt, onPlatform: leftover !== undefined }, stopped)
}

function refusalOf (state: AgentState, event: Of<EventKind.Reserve>): ReportReason | undefined {
  const name = keyName(event.key)
  if (event.incarnation !== state.incarnation) return ReportReason.OtherIncarnation
  if (state.leaving) return ReportReason.Leaving
  if (!state.leased) return ReportReason.LeaseLost
  if (state.targetSilent) return ReportReason.TargetSilent
  if (state.refused.includes(name) || state.settled.includes(name)) return ReportReason.WasRefusedBefore
  const attempt = state.attempts.get(name)
  if (attempt !== undefined) return attempt.phase === Phase.Reserved ? undefined : ReportReason.WasRefusedBefore
  return lacking(state, event.resources)
}

/** Only work that nobody could tell of after a restart needs a task at the platform. */
function begin (state: AgentState, attempt: Attempt & { order: Order }): Step {
  if (attempt.resources.mask === 0 && attempt.order.idempotent) return run(state, attempt, attempt.order, 0)
  const starting = { ...attempt, phase: Phase.Starting, onPlatform: true }
  return {
    state: put(state, starting),
    effects: [{ kind: EffectKind.StartOnPlatform, key: attempt.key, resources: attempt.resources }]
  }
}

function run (state: AgentState, attempt: Attempt, order: Order, now: number): Step {
  const running = { ...attempt, phase: Phase.Running, order: { ...order, payload: undefined } }
  if (!order.lead) return still(put(state, running))
  if (isPast(order.deadline, now)) {
    return end(state, running, report(Outcome.Failed, Verdict.NotRun, ReportReason.DeadlinePassed))
  }
  const payload = order.payload ?? { contentType: '', body: Buffer.alloc(0), digest: Buffer.alloc(0) }
  const { deadline, answerBytesLimit } = order
  return {
    state: put(state, { ...running, atTarget: true }),
    effects: [{ kind: EffectKind.SendToTarget, key: attempt.key, payload, deadline, answerBytesLimit }]
  }
}

function stopAll (state: AgentState, reason: ReportReason, graceMilliseconds: number): Step {
  const dropped = drop(state, byPhase(state, Phase.Reserved))
  const running = [...byPhase(state, Phase.Starting), ...byPhase(state, Phase.Running)]
  return each(dropped.state, running, (next, attempt) =>
    beginStop(next, attempt, StopMode.Checkpoint, graceMilliseconds, reason))
}

/** The request stays open during a checkpoint: an answer that comes first is better than a checkpoint. */
function beginStop (state: AgentState, attempt: Attempt, mode: StopMode, graceMilliseconds: number, reason: ReportReason): Step {
  if (attempt.phase === Phase.Reserved) return end(state, attempt, notStarted(reason))
  if (attempt.phase === Phase.Stopping) {
    return mode === StopMode.Stop && attempt.report === undefined ? stopNow(state, attempt, reason) : still(state)
  }
  const canCheckpoint = attempt.onPlatform && attempt.phase === Phase.Running && attempt.order?.checkpointable === true
  if (mode === StopMode.Stop || !canCheckpoint) return stopNow(state, attempt, reason)
  return {
    state: put(state, { ...attempt, phase: Phase.Stopping, stopReason: reason }),
    effects: [
      { kind: EffectKind.SetGrace, key: attempt.key, milliseconds: graceMilliseconds },
      { kind: EffectKind.CheckpointOnPlatform, key: attempt.key }
    ]
  }
}

function stopNow (state: AgentState, attempt: Attempt, reason: ReportReason): Step {
  return end(state, attempt, stopReport({ ...attempt, stopReason: reason }, StopMode.Stop))
}

function stopReport (attempt: Attempt, mode: StopMode): Report {
  const outcome = mode === StopMode.Checkpoint ? Outcome.Checkpointed : Outcome.Stopped
  return report(outcome, Verdict.MayHaveRun, attempt.stopReason ?? ReportReason.StoppedByControl)
}

/** Brings a part to its end. What the platform still has is ended first, and only then reported. */
function end (state: AgentState, attempt: Attempt, found: Report): Step {
  const result = attempt.adopted && found.verdict === Verdict.NotRun ? { ...found, verdict: Verdict.MayHaveRun } : found
  const abort: Effect[] = attempt.atTarget ? [{ kind: EffectKind.AbortTarget, key: attempt.key }] : []
  const closed = { ...attempt, atTarget: false }
  if (!attempt.onPlatform) {
    const step = settleAt(state, closed, result)
    return { state: step.state, effects: [...abort, ...step.effects] }
  }
  const stopping = { ...closed, phase: Phase.Stopping, report: result }
  return { state: put(state, stopping), effects: [...abort, { kind: EffectKind.StopOnPlatform, key: attempt.key }] }
}

function settleAt (state: AgentState, attempt: Attempt, result: Report): Step {
  const ended = { ...attempt, phase: Phase.Ended, report: result, acknowledged: false }
  return { state: put(state, ended), effects: [{ kind: EffectKind.Report, key: attempt.key, report: result }] }
}

/** Forgets an ended attempt once control has its report and nothing of it runs any more. */
function settle (state: AgentState, attempt: Attempt): AgentState {
  if (!attempt.acknowledged || occupies(attempt)) return put(state, attempt)
  const name = keyName(attempt.key)
  const refused = attempt.report?.outcome === Outcome.NotStarted
  return {
    ...state,
    attempts: without(state.attempts, name),
    refused: refused ? remember(state.refused, name) : state.refused,
    settled: refused ? state.settled : remember(state.settled, name)
  }
}

function forget (state: AgentState, attempt: Attempt): AgentState {
  const name = keyName(attempt.key)
  return { ...state, attempts: without(state.attempts, name), refused: remember(state.refused, name) }
}

function drop (state: AgentState, reservations: readonly Attempt[]): Step {
  return each(state, reservations, (next, attempt) => still(forget(next, attempt)))
}

function again (state: AgentState, attempt: Attempt): Step {
  return attempt.report === undefined ? still(state) : { state, effects: [{ kind: EffectKind.Report, key: attempt.key, report: attempt.report }] }
}

function inherit (state: AgentState, leftovers: AgentState['leftovers']): AgentState {
  const fresh = [...leftovers.keys()].filter((name) => !state.inherited.includes(name))
  return { ...state, leftovers, inherited: fresh.reduce(remember, state.inherited) }
}

function leftoversOf (state: AgentState, tasks: readonly Leftover[]): ReadonlyMap<string, Leftover> {
  const unknown = tasks.filter(({ key }) => {
    const name = keyName(key)
    return !state.attempts.has(name) && !state.settled.includes(name)
  })
  return new Map(unknown.map((task) => [keyName(task.key), task]))
}

function newAttempt (key: AttemptKey, phase: Phase, resources: Resources): Attempt {
  return { key, phase, resources, reservedAt: 0, onPlatform: false, atTarget: false, adopted: false, acknowledged: false }
}

function find (state: AgentState, key: AttemptKey): Attempt | undefined {
  return state.attempts.get(keyName(key))
}

function byPhase (state: AgentState, phase: Phase): readonly Attempt[] {
  return [...state.attempts.values()].filter((attempt) => attempt.phase === phase)
}

function put (state: AgentState, attempt: Attempt): AgentState {
  return { ...state, attempts: new Map(state.attempts).set(keyName(attempt.key), attempt) }
}

function without (attempts: ReadonlyMap<string, Attempt>, name: string): ReadonlyMap<string, Attempt> {
  const rest = new Map(attempts)
  rest.delete(name)
  return rest
}

function remember (names: readonly string[], name: string): readonly string[] {
  return [...names.slice(1 - REMEMBERED_ATTEMPTS), name]
}

function each (state: AgentState, attempts: readonly Attempt[], act: (state: AgentState, attempt: Attempt) => Step): Step {
  return attempts.reduce<Step>((before, attempt) => {
    const step = act(before.state, attempt)
    return { state: step.state, effects: [...before.effects, ...step.effects] }
  }, still(state))
}

function still (state: AgentState): Step {
  return { state, effects: [] }
}

function isPast (deadline: number, now: number): boolean {
  return deadline !== 0 && now >= deadline
}
