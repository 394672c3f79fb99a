import { Verdict } from '../core/verdict'
import {
  attemptName, EffectKind, EventKind, Phase, StopMode,
  type AgentEvent, type AgentState, type Attempt, type Capacity, type Effect, type Order, type OrphanTask, type Resources, type Transition
} from './attempt'
import { holdsResources, unavailableReason } from './free-capacity'
import { createReport, notStartedReport, Outcome, ReportReason, type Report } from './report'
import type { AttemptKey } from '../wire'

/**
 * Upper limit of ended attempts that are remembered after control has acknowledged their reports. Control resends commands
 * only for attempts whose end is not in its log, so this is a second safeguard and may be small.
 */
const MAX_REMEMBERED_ATTEMPTS = 1024

const noResources: Resources = { mask: 0, slots: 0, processors: 0, memoryMegabytes: 0 }

type EventOfKind<Kind extends EventKind> = Extract<AgentEvent, { kind: Kind }>
type Handlers = { readonly [Kind in EventKind]: (state: AgentState, event: EventOfKind<Kind>) => Transition }

/**
 * Creates the state of an agent that has just started.
 * @param incarnation - unique for each start
 * @param capacity - the resources of the worker
 * @returns the state, without a lease or attempts
 */
export function initialAgentState (incarnation: string, capacity: Capacity): AgentState {
  return {
    incarnation,
    capacity,
    leased: false,
    leaving: false,
    targetSilent: false,
    attempts: new Map(),
    orphans: new Map(),
    seenOrphans: [],
    notStartedAttempts: [],
    reportedAttempts: []
  }
}

/**
 * Applies one event. Pure: the same state and event give the same transition.
 * @param state - the state before
 * @param event - the event
 * @returns the new state and the effects, in order
 */
export function reduce (state: AgentState, event: AgentEvent): Transition {
  const handle = handlers[event.kind] as (state: AgentState, event: AgentEvent) => Transition
  return handle(state, event)
}

const handlers: Handlers = {
  [EventKind.Reserve]: (state, event) => {
    const reason = reservationRefusal(state, event)
    const reply: Effect = { kind: EffectKind.Reply, key: event.key, granted: reason === undefined, reason: reason ?? ReportReason.None }
    if (reason !== undefined || state.attempts.has(attemptName(event.key))) return { state, effects: [reply] }
    return { state: withAttempt(state, { ...newAttempt(event.key, Phase.Reserved, event.resources), reservedAt: event.now }), effects: [reply] }
  },

  [EventKind.Release]: (state, { key }) => {
    const attempt = findAttempt(state, key)
    return attempt?.phase === Phase.Reserved ? withoutEffects(removeReservation(state, attempt)) : withoutEffects(state)
  },

  [EventKind.Start]: (state, event) => {
    const attempt = findAttempt(state, event.key)
    if (attempt === undefined) return startUnknownAttempt(state, event)
    if (attempt.phase === Phase.Ended) return resendReport(state, attempt)
    if (attempt.phase !== Phase.Reserved) return withoutEffects(state)
    if (event.incarnation !== state.incarnation) return endAttempt(state, attempt, notStartedReport(ReportReason.OtherIncarnation))
    if (isPast(event.order.deadline, event.now)) return endAttempt(state, attempt, notStartedReport(ReportReason.DeadlinePassed))
    return startAttempt(state, { ...attempt, order: event.order })
  },

  [EventKind.Stop]: (state, event) => {
    const attempt = findAttempt(state, event.key)
    if (attempt === undefined) return stopUnknownAttempt(state, event.key)
    if (attempt.phase === Phase.Ended) return resendReport(state, attempt)
    return beginStop(state, attempt, event.mode, event.graceMilliseconds, ReportReason.StoppedByControl)
  },

  [EventKind.Acknowledge]: (state, { key }) => {
    const attempt = findAttempt(state, key)
    if (attempt?.phase !== Phase.Ended) return withoutEffects(state)
    return withoutEffects(storeOrRemove(state, { ...attempt, acknowledged: true }))
  },

  [EventKind.PlatformStarted]: (state, event) => {
    const attempt = findAttempt(state, event.key)
    if (attempt?.phase !== Phase.Starting || attempt.order === undefined) return withoutEffects(state)
    return runAttempt(state, attempt, attempt.order, event.now)
  },

  [EventKind.PlatformRefused]: (state, event) => {
    const attempt = findAttempt(state, event.key)
    if (attempt?.phase !== Phase.Starting) return withoutEffects(state)
    const failed = createReport(Outcome.Failed, event.verdict, ReportReason.PlatformFailed)
    return endAttempt(state, { ...attempt, onPlatform: event.verdict !== Verdict.NotRun }, failed)
  },

  [EventKind.PlatformEnded]: (state, event) => {
    const attempt = findAttempt(state, event.key)
    if (attempt === undefined) return withoutEffects(state)
    const stopped = { ...attempt, onPlatform: false }
    if (attempt.phase === Phase.Ended) return withoutEffects(storeOrRemove(state, stopped))
    return endAttempt(state, stopped, attempt.report ?? createStopReport(attempt, event.mode))
  },

  [EventKind.PlatformTasksListed]: (state, event) => {
    const listed = new Map(event.tasks.map((task) => [attemptName(task.key), task]))
    const known = withOrphans(state, findOrphans(state, event.tasks))
    const died = event.expectedAttempts.filter((name) => !listed.has(name)).map((name) => state.attempts.get(name))
      .filter((attempt): attempt is Attempt => attempt?.phase === Phase.Running && attempt.onPlatform)
    return applyToEach(known, died, (next, attempt) => {
      const reason = event.overMemory.includes(attemptName(attempt.key)) ? ReportReason.OverMemory : ReportReason.PlatformFailed
      return endAttempt(next, { ...attempt, onPlatform: false }, createReport(Outcome.Failed, Verdict.MayHaveRun, reason))
    })
  },

  [EventKind.RequestAnswered]: (state, event) => {
    const attempt = findAttempt(state, event.key)
    if (attempt === undefined || !attempt.atTarget) return withoutEffects(state)
    const { answer } = event
    const finished: Report = { outcome: Outcome.Finished, verdict: Verdict.Ran, reason: ReportReason.None, answer }
    const transition = endWithReport(state, { ...attempt, atTarget: false }, finished)
    return attempt.onPlatform ? { ...transition, effects: [...transition.effects, { kind: EffectKind.StopOnPlatform, key: event.key }] } : transition
  },

  [EventKind.RequestFailed]: (state, event) => {
    const attempt = findAttempt(state, event.key)
    if (attempt === undefined || !attempt.atTarget) return withoutEffects(state)
    const closed = { ...attempt, atTarget: false }
    if (attempt.phase !== Phase.Running) return withoutEffects(storeOrRemove(state, closed))
    return endAttempt(state, closed, createReport(Outcome.Failed, event.verdict, event.reason))
  },

  [EventKind.GraceExpired]: (state, { key }) => {
    const attempt = findAttempt(state, key)
    if (attempt?.phase !== Phase.Stopping || attempt.report !== undefined) return withoutEffects(state)
    return stopWithoutCheckpoint(state, attempt, attempt.stopReason ?? ReportReason.StoppedByControl)
  },

  [EventKind.LeaseGained]: (state) => withoutEffects({ ...state, leased: true }),

  [EventKind.LeaseEnded]: (state, event) =>
    stopAll({ ...state, leased: false }, ReportReason.LeaseLost, event.graceMilliseconds),

  [EventKind.TargetHealthChanged]: (state, { silent }) => {
    const open = silent ? [...state.attempts.values()].filter(({ atTarget }) => atTarget) : []
    return { state: { ...state, targetSilent: silent }, effects: open.map(({ key }) => ({ kind: EffectKind.AbortTarget, key })) }
  },

  [EventKind.ReservationsExpire]: (state, { reservedBefore }) =>
    dropReservations(state, attemptsInPhase(state, Phase.Reserved).filter(({ reservedAt }) => reservedAt < reservedBefore)),

  [EventKind.Leave]: (state) => dropReservations({ ...state, leaving: true }, attemptsInPhase(state, Phase.Reserved)),

  [EventKind.StopAll]: (state, event) => stopAll(state, event.reason, event.graceMilliseconds)
}

/**
 * Handles a start of an attempt that this incarnation does not hold. It is reported as not started only if no earlier
 * process of this agent can have started it: the command names this incarnation, and the platform never listed the task.
 */
function startUnknownAttempt (state: AgentState, event: EventOfKind<EventKind.Start>): Transition {
  const name = attemptName(event.key)
  if (state.reportedAttempts.includes(name)) return withoutEffects(state)
  const attempt = { ...newAttempt(event.key, Phase.Running, noResources), order: event.order }
  const neverStarted = event.incarnation === state.incarnation && !state.seenOrphans.includes(name)
  if (neverStarted || state.notStartedAttempts.includes(name)) {
    return endAttempt(state, attempt, notStartedReport(ReportReason.NoReservation))
  }
  const orphan = state.orphans.get(name)
  const restarted = createReport(Outcome.Failed, Verdict.MayHaveRun, ReportReason.AgentRestarted)
  if (orphan === undefined) return endAttempt(state, attempt, restarted)
  return adoptOrphan(state, { ...attempt, resources: orphan.resources, onPlatform: true }, event, restarted)
}

/** Takes over an orphaned task. Its request was lost with the earlier process, so only an idempotent one is sent again. */
function adoptOrphan (state: AgentState, attempt: Attempt, event: EventOfKind<EventKind.Start>, restarted: Report): Transition {
  const orphans = new Map(state.orphans)
  orphans.delete(attemptName(attempt.key))
  const adopted = { ...state, orphans }
  if (event.order.lead && !event.order.idempotent) return endAttempt(adopted, attempt, restarted)
  return runAttempt(adopted, { ...attempt, startedByEarlierProcess: true }, event.order, event.now)
}

/** Handles a stop of an attempt that this incarnation never granted; an earlier one may have. */
function stopUnknownAttempt (state: AgentState, key: AttemptKey): Transition {
  const name = attemptName(key)
  if (state.reportedAttempts.includes(name)) return withoutEffects(state)
  const orphan = state.orphans.get(name)
  const attempt = newAttempt(key, Phase.Running, orphan?.resources ?? noResources)
  if (state.notStartedAttempts.includes(name)) return endAttempt(state, attempt, notStartedReport(ReportReason.NoReservation))
  const orphans = new Map(state.orphans)
  orphans.delete(name)
  const stopped = createReport(Outcome.Stopped, Verdict.MayHaveRun, ReportReason.AgentRestarted)
  return endAttempt({ ...state, orphans }, { ...attempt, onPlatform: orphan !== undefined }, stopped)
}

function reservationRefusal (state: AgentState, event: EventOfKind<EventKind.Reserve>): ReportReason | undefined {
  const name = attemptName(event.key)
  if (event.incarnation !== state.incarnation) return ReportReason.OtherIncarnation
  if (state.leaving) return ReportReason.Leaving
  if (!state.leased) return ReportReason.LeaseLost
  if (state.targetSilent) return ReportReason.TargetSilent
  if (state.notStartedAttempts.includes(name) || state.reportedAttempts.includes(name)) return ReportReason.WasRefusedBefore
  const attempt = state.attempts.get(name)
  if (attempt !== undefined) return attempt.phase === Phase.Reserved ? undefined : ReportReason.WasRefusedBefore
  return unavailableReason(state, event.resources)
}

/**
 * Starts an attempt. The task at the platform tells a restarted agent that the attempt may have run; idempotent work without
 * accelerators needs none.
 */
function startAttempt (state: AgentState, attempt: Attempt & { order: Order }): Transition {
  if (attempt.resources.mask === 0 && attempt.order.idempotent) return runAttempt(state, attempt, attempt.order, 0)
  const starting = { ...attempt, phase: Phase.Starting, onPlatform: true }
  return {
    state: withAttempt(state, starting),
    effects: [{ kind: EffectKind.StartOnPlatform, key: attempt.key, resources: attempt.resources }]
  }
}

function runAttempt (state: AgentState, attempt: Attempt, order: Order, now: number): Transition {
  const running = { ...attempt, phase: Phase.Running, order: { ...order, payload: undefined } }
  if (!order.lead) return withoutEffects(withAttempt(state, running))
  if (isPast(order.deadline, now)) {
    return endAttempt(state, running, createReport(Outcome.Failed, Verdict.NotRun, ReportReason.DeadlinePassed))
  }
  const payload = order.payload ?? { contentType: '', body: Buffer.alloc(0), digest: Buffer.alloc(0) }
  const { deadline, answerBytesLimit } = order
  return {
    state: withAttempt(state, { ...running, atTarget: true }),
    effects: [{ kind: EffectKind.SendToTarget, key: attempt.key, payload, deadline, answerBytesLimit }]
  }
}

function stopAll (state: AgentState, reason: ReportReason, graceMilliseconds: number): Transition {
  const dropped = dropReservations(state, attemptsInPhase(state, Phase.Reserved))
  const running = [...attemptsInPhase(state, Phase.Starting), ...attemptsInPhase(state, Phase.Running)]
  return applyToEach(dropped.state, running, (next, attempt) =>
    beginStop(next, attempt, StopMode.Checkpoint, graceMilliseconds, reason))
}

/** The request stays open during a checkpoint: an answer that arrives first makes the checkpoint unnecessary. */
function beginStop (state: AgentState, attempt: Attempt, mode: StopMode, graceMilliseconds: number, reason: ReportReason): Transition {
  if (attempt.phase === Phase.Reserved) return endAttempt(state, attempt, notStartedReport(reason))
  if (attempt.phase === Phase.Stopping) {
    return mode === StopMode.Stop && attempt.report === undefined ? stopWithoutCheckpoint(state, attempt, reason) : withoutEffects(state)
  }
  const canCheckpoint = attempt.onPlatform && attempt.phase === Phase.Running && attempt.order?.checkpointable === true
  if (mode === StopMode.Stop || !canCheckpoint) return stopWithoutCheckpoint(state, attempt, reason)
  return {
    state: withAttempt(state, { ...attempt, phase: Phase.Stopping, stopReason: reason }),
    effects: [
      { kind: EffectKind.SetGrace, key: attempt.key, milliseconds: graceMilliseconds },
      { kind: EffectKind.CheckpointOnPlatform, key: attempt.key }
    ]
  }
}

function stopWithoutCheckpoint (state: AgentState, attempt: Attempt, reason: ReportReason): Transition {
  return endAttempt(state, attempt, createStopReport({ ...attempt, stopReason: reason }, StopMode.Stop))
}

function createStopReport (attempt: Attempt, mode: StopMode): Report {
  const outcome = mode === StopMode.Checkpoint ? Outcome.Checkpointed : Outcome.Stopped
  return createReport(outcome, Verdict.MayHaveRun, attempt.stopReason ?? ReportReason.StoppedByControl)
}

/** Ends an attempt. A task that may run at the platform is stopped first; the report follows its end. */
function endAttempt (state: AgentState, attempt: Attempt, found: Report): Transition {
  const result = attempt.startedByEarlierProcess && found.verdict === Verdict.NotRun ? { ...found, verdict: Verdict.MayHaveRun } : found
  const abort: Effect[] = attempt.atTarget ? [{ kind: EffectKind.AbortTarget, key: attempt.key }] : []
  const closed = { ...attempt, atTarget: false }
  if (!attempt.onPlatform) {
    const transition = endWithReport(state, closed, result)
    return { state: transition.state, effects: [...abort, ...transition.effects] }
  }
  const stopping = { ...closed, phase: Phase.Stopping, report: result }
  return { state: withAttempt(state, stopping), effects: [...abort, { kind: EffectKind.StopOnPlatform, key: attempt.key }] }
}

function endWithReport (state: AgentState, attempt: Attempt, result: Report): Transition {
  const ended = { ...attempt, phase: Phase.Ended, report: result, acknowledged: false }
  return { state: withAttempt(state, ended), effects: [{ kind: EffectKind.Report, key: attempt.key, report: result }] }
}

/** Stores an attempt, or removes it once control has acknowledged its report and nothing of it runs any more. */
function storeOrRemove (state: AgentState, attempt: Attempt): AgentState {
  if (!attempt.acknowledged || holdsResources(attempt)) return withAttempt(state, attempt)
  const name = attemptName(attempt.key)
  const notStarted = attempt.report?.outcome === Outcome.NotStarted
  return {
    ...state,
    attempts: without(state.attempts, name),
    notStartedAttempts: notStarted ? appendRemembered(state.notStartedAttempts, name) : state.notStartedAttempts,
    reportedAttempts: notStarted ? state.reportedAttempts : appendRemembered(state.reportedAttempts, name)
  }
}

function removeReservation (state: AgentState, attempt: Attempt): AgentState {
  const name = attemptName(attempt.key)
  return { ...state, attempts: without(state.attempts, name), notStartedAttempts: appendRemembered(state.notStartedAttempts, name) }
}

function dropReservations (state: AgentState, reservations: readonly Attempt[]): Transition {
  return applyToEach(state, reservations, (next, attempt) => withoutEffects(removeReservation(next, attempt)))
}

function resendReport (state: AgentState, attempt: Attempt): Transition {
  return attempt.report === undefined ? withoutEffects(state) : { state, effects: [{ kind: EffectKind.Report, key: attempt.key, report: attempt.report }] }
}

function withOrphans (state: AgentState, orphans: AgentState['orphans']): AgentState {
  const newNames = [...orphans.keys()].filter((name) => !state.seenOrphans.includes(name))
  return { ...state, orphans, seenOrphans: newNames.reduce(appendRemembered, state.seenOrphans) }
}

function findOrphans (state: AgentState, tasks: readonly OrphanTask[]): ReadonlyMap<string, OrphanTask> {
  const unknown = tasks.filter(({ key }) => {
    const name = attemptName(key)
    return !state.attempts.has(name) && !state.reportedAttempts.includes(name)
  })
  return new Map(unknown.map((task) => [attemptName(task.key), task]))
}

function newAttempt (key: AttemptKey, phase: Phase, resources: Resources): Attempt {
  return { key, phase, resources, reservedAt: 0, onPlatform: false, atTarget: false, startedByEarlierProcess: false, acknowledged: false }
}

function findAttempt (state: AgentState, key: AttemptKey): Attempt | undefined {
  return state.attempts.get(attemptName(key))
}

function attemptsInPhase (state: AgentState, phase: Phase): readonly Attempt[] {
  return [...state.attempts.values()].filter((attempt) => attempt.phase === phase)
}

function withAttempt (state: AgentState, attempt: Attempt): AgentState {
  return { ...state, attempts: new Map(state.attempts).set(attemptName(attempt.key), attempt) }
}

function without (attempts: ReadonlyMap<string, Attempt>, name: string): ReadonlyMap<string, Attempt> {
  const rest = new Map(attempts)
  rest.delete(name)
  return rest
}

function appendRemembered (names: readonly string[], name: string): readonly string[] {
  return [...names.slice(1 - MAX_REMEMBERED_ATTEMPTS), name]
}

function applyToEach (state: AgentState, attempts: readonly Attempt[], act: (state: AgentState, attempt: Attempt) => Transition): Transition {
  return attempts.reduce<Transition>((before, attempt) => {
    const transition = act(before.state, attempt)
    return { state: transition.state, effects: [...before.effects, ...transition.effects] }
  }, withoutEffects(state))
}

function withoutEffects (state: AgentState): Transition {
  return { state, effects: [] }
}

function isPast (deadline: number, now: number): boolean {
  return deadline !== 0 && now >= deadline
}
