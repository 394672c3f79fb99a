/**
 * Evacuated data centres: their workers get no new work. The rule and its log entries; every place that starts a run asks
 * {@link isEvacuated}, and the log refuses what slips through.
 */
import { Map as ImmutableMap } from 'immutable'
import { err, ok, type Result } from 'neverthrow'
import type { Draft } from '../draft'
import { notRunRefusal, RefusalCode, type Refusal } from '../verdict'
import type { Queue } from './document'
import { type DataCentreEvacuation, type EvacuationState, type Gang, type StepJob, type StepState, type WorkerIncarnation } from './model'
import { runName, type RunKey } from './run'
import type { FinishEvacuation, StartEvacuation } from './transactions'

type Outcome = Result<void, Refusal>

/** Maximum number of data centres that are evacuated at the same time. */
export const MAX_EVACUATED_DATA_CENTRES = 64
/** Maximum length of the name of a data centre, in characters. */
export const MAX_DATA_CENTRE_NAME_LENGTH = 128
/** Maximum number of returned data centres whose last change is kept. */
const MAX_RETURNED_DATA_CENTRES = 64
/**
 * Time over which the workers of a returned data centre are opened one by one to work that is not urgent. Cold workers are
 * slow at first; the longest declared tasks of priority 1 take 16 s, so that half of that spreads one generation of starts.
 */
export const RETURN_RAMP_MILLISECONDS = 8_000
/** Work of this priority is urgent or guaranteed, and is not held back. */
const URGENT_PRIORITY = 0

const noEvacuations: EvacuationState = { changes: 0, forgotten: 0, dataCentres: ImmutableMap() }

/**
 * Requests that no more work is sent to a data centre.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function startEvacuation (draft: Draft, transaction: StartEvacuation): Outcome {
  const { dataCentre } = transaction
  if (isEvacuated(draft.steps, dataCentre)) return ok(undefined)
  if (evacuatedDataCentres(draft.steps).length >= MAX_EVACUATED_DATA_CENTRES) {
    return err(notRunRefusal(RefusalCode.OverLimit, `${MAX_EVACUATED_DATA_CENTRES} data centres are evacuated already`))
  }
  return change(draft, transaction, true)
}

/**
 * Withdraws the request for a data centre. Without a request it has no effect.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function finishEvacuation (draft: Draft, transaction: FinishEvacuation): Outcome {
  return isEvacuated(draft.steps, transaction.dataCentre) ? change(draft, transaction, false) : ok(undefined)
}

/** An order that was sent before the last change of the data centre must not undo that change. */
function change (draft: Draft, { kind, dataCentre, changeCount, team }: StartEvacuation | FinishEvacuation, evacuated: boolean): Outcome {
  if (!isDataCentreName(dataCentre)) return err(notRunRefusal(RefusalCode.BadRequest, `the name of a data centre has 1 to ${MAX_DATA_CENTRE_NAME_LENGTH} characters`))
  const current = evacuationCount(draft.steps, dataCentre)
  if (changeCount !== current) return err(notRunRefusal(RefusalCode.Conflict, `the change count of data centre ${dataCentre} is ${current}, not ${changeCount}`))
  const { changes, forgotten, dataCentres } = draft.steps.evacuations ?? noEvacuations
  const count = changes + 1
  const changed = dataCentres.set(dataCentre, { dataCentre, count, evacuated, changedAt: draft.at })
  draft.steps = { ...draft.steps, evacuations: withoutOldest({ changes: count, forgotten, dataCentres: changed }) }
  draft.recordEvent({ kind, dataCentre, number: count, ...team !== undefined && { team } })
  return ok(undefined)
}

/** Drops the returned data centres that changed first. An order that counts from before the drop no longer matches. */
function withoutOldest (evacuations: EvacuationState): EvacuationState {
  const returned = [...evacuations.dataCentres.values()].filter(({ evacuated }) => !evacuated).sort((one, other) => one.count - other.count)
  return returned.slice(0, Math.max(0, returned.length - MAX_RETURNED_DATA_CENTRES)).reduce<EvacuationState>(
    ({ changes, forgotten, dataCentres }, { dataCentre, count }) => ({ changes, forgotten: Math.max(forgotten, count), dataCentres: dataCentres.delete(dataCentre) }),
    evacuations
  )
}

/**
 * Tells whether a text can name a data centre.
 * @param name - the text
 * @returns true for 1 to {@link MAX_DATA_CENTRE_NAME_LENGTH} characters
 */
export function isDataCentreName (name: string): boolean {
  return name.length >= 1 && name.length <= MAX_DATA_CENTRE_NAME_LENGTH
}

/**
 * Tells whether the workers of a data centre get no new work.
 * @param state - state of the step jobs
 * @param dataCentre - name of the data centre
 * @returns true from the log entry that starts the evacuation until the one that finishes it
 */
export function isEvacuated (state: StepState, dataCentre: string): boolean {
  return state.evacuations?.dataCentres.get(dataCentre)?.evacuated === true
}

/**
 * Reads the count of a data centre, which differs after each change of its evacuation.
 * @param state - state of the step jobs
 * @param dataCentre - name of the data centre, known or not
 * @returns number of its last change, counted over all data centres; for a data centre that is not kept, a number that no change of it exceeds
 */
export function evacuationCount (state: StepState, dataCentre: string): number {
  return state.evacuations?.dataCentres.get(dataCentre)?.count ?? state.evacuations?.forgotten ?? 0
}

/**
 * Lists the evacuated data centres.
 * @param state - state of the step jobs
 * @returns their last changes, by name
 */
export function evacuatedDataCentres (state: StepState): DataCentreEvacuation[] {
  const all = [...state.evacuations?.dataCentres.values() ?? []]
  return all.filter(({ evacuated }) => evacuated).sort((one, other) => one.dataCentre < other.dataCentre ? -1 : 1)
}

/** Whether any data centre is evacuated, by state of evacuations: asked for each run in each round. */
const hasEvacuatedCache = new WeakMap<EvacuationState, boolean>()

function hasEvacuated ({ evacuations }: StepState): boolean {
  if (evacuations === undefined) return false
  const known = hasEvacuatedCache.get(evacuations) ?? evacuations.dataCentres.some(({ evacuated }) => evacuated)
  hasEvacuatedCache.set(evacuations, known)
  return known
}

/**
 * Counts the runs that are still on the workers of evacuated data centres.
 * @param state - state of the step jobs
 * @returns number of tasks by data centre; data centres without any are left out
 */
export function evacuatedRuns (state: StepState): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  if (!hasEvacuated(state)) return counts
  for (const { dataCentre, runs } of state.incarnations.values()) {
    if (runs.size > 0 && isEvacuated(state, dataCentre)) counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + runs.size)
  }
  return counts
}

/**
 * Finds the workers that are not yet open to work of some priority, because their data centre has just returned. Its workers
 * open one after another, rack by rack, so that gangs that need a single rack can use the first rack early.
 * @param state - state of the step jobs
 * @param queue - service and priority of the work
 * @param now - milliseconds since the epoch
 * @returns their incarnations
 */
export function heldBackWorkers (state: StepState, queue: Pick<Queue, 'service' | 'priority'>, now: number): ReadonlySet<string> {
  const held = new Set<string>()
  if (queue.priority === URGENT_PRIORITY) return held
  for (const { dataCentre, evacuated, changedAt } of state.evacuations?.dataCentres.values() ?? []) {
    const share = (now - changedAt) / RETURN_RAMP_MILLISECONDS
    if (evacuated || share >= 1) continue
    const workers = [...state.incarnations.values()].filter((worker) => worker.dataCentre === dataCentre && worker.service === queue.service).sort(byRack)
    for (const { incarnation } of workers.slice(Math.floor(workers.length * Math.max(0, share)))) held.add(incarnation)
  }
  return held
}

function byRack (one: WorkerIncarnation, other: WorkerIncarnation): number {
  if (one.rack !== other.rack) return one.rack < other.rack ? -1 : 1
  return one.incarnation < other.incarnation ? -1 : 1
}

/**
 * Tells whether a run waits to begin on a worker of an evacuated data centre. Such a run is abandoned, because its start may
 * still be delivered long after the evacuation began.
 * @param state - state of the step jobs
 * @param job - its job
 * @param step - number of its step
 * @param gang - its gang
 * @param isListed - whether the worker of a task lists its run as running
 * @returns false where every member in an evacuated data centre has begun or ended
 */
export function beginsInEvacuated (state: StepState, job: StepJob, step: number, gang: Gang, isListed: (key: RunKey) => boolean): boolean {
  const { run } = gang
  if (run === undefined || !hasEvacuated(state)) return false
  return run.members.some(({ task, incarnation, ended }) => {
    const worker = state.incarnations.get(incarnation)
    return !ended && worker !== undefined && isEvacuated(state, worker.dataCentre) && !isListed({ job: job.identifier, step, task, attempt: run.attempt })
  })
}

/** The runs that the agent of a worker has listed. */
export interface ReportedRuns {
  readonly runs: ReadonlyArray<{ readonly key?: RunKey | undefined, readonly running: boolean }>
  readonly ends: ReadonlyArray<{ readonly key?: RunKey | undefined }>
}

/**
 * Finds the runs that must not begin on a worker because its data centre is evacuated.
 * @param state - state of the step jobs
 * @param worker - the worker; undefined where the log does not know it
 * @param report - the last report of its agent; without one, nothing is known of what has begun there
 * @returns the runs that the log assigns to the worker and that it lists neither as running nor as ended
 */
export function runsToAbandon (state: StepState, worker: WorkerIncarnation | undefined, report: ReportedRuns | undefined): RunKey[] {
  if (worker === undefined || report === undefined || !isEvacuated(state, worker.dataCentre)) return []
  const begun = [...report.runs.filter(({ running }) => running), ...report.ends].flatMap(({ key }) => key === undefined ? [] : [runName(key)])
  const names = new Set(begun)
  return [...worker.runs.values()].filter((key) => !names.has(runName(key)))
}
