/** Log entries that concern one incarnation of a worker: announced, resized, leaving, lost. */
import { Map as ImmutableMap } from 'immutable'
import { ok, type Result } from 'neverthrow'
import type { Draft } from '../draft'
import type { Refusal } from '../verdict'
import { noResources, type WorkerIncarnation } from './model'
import { resourcesOf, sameResources } from './resources'
import { endMember, setIncarnation } from './runs'
import { StepTransactionKind, type AnnounceIncarnation, type LeaveIncarnation, type LoseIncarnation, type ResizeIncarnation } from './transactions'
import { runName, type RunKey, RunOutcome } from './run'

type Outcome = Result<void, Refusal>

/**
 * Registers an incarnation. An incarnation that is already registered stays unchanged.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing; this entry is never refused
 */
export function announceIncarnation (draft: Draft, transaction: AnnounceIncarnation): Outcome {
  const { life } = transaction
  if (draft.steps.incarnations.has(life.incarnation)) return ok(undefined)
  setIncarnation(draft, { ...life, registeredAt: draft.at, leaving: false, acknowledged: 0, runs: ImmutableMap(), used: noResources })
  draft.recordEvent({ kind: StepTransactionKind.AnnounceIncarnation, workers: [life.worker] })
  return ok(undefined)
}

/**
 * Changes the capacity of an incarnation. Its runs and the resources that they occupy stay as they are.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing; this entry is never refused
 */
export function resizeIncarnation (draft: Draft, transaction: ResizeIncarnation): Outcome {
  const { incarnation } = transaction
  const worker = draft.steps.incarnations.get(incarnation)
  const capacity = resourcesOf(transaction.capacity)
  if (worker === undefined || sameResources(worker, capacity)) return ok(undefined)
  setIncarnation(draft, { ...worker, ...capacity })
  draft.recordEvent({ kind: StepTransactionKind.ResizeIncarnation, workers: [worker.worker], capacityBefore: resourcesOf(worker), capacityAfter: capacity })
  return ok(undefined)
}

/**
 * Marks an incarnation as leaving, so that it gets no new work.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing; this entry is never refused
 */
export function leaveIncarnation (draft: Draft, transaction: LeaveIncarnation): Outcome {
  const { incarnation } = transaction
  const worker = draft.steps.incarnations.get(incarnation)
  if (worker === undefined || worker.leaving) return ok(undefined)
  setIncarnation(draft, { ...worker, leaving: true })
  draft.recordEvent({ kind: StepTransactionKind.LeaveIncarnation, workers: [worker.worker] })
  return ok(undefined)
}

/**
 * Ends all runs of an incarnation as lost and removes it.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing; this entry is never refused
 */
export function loseIncarnation (draft: Draft, transaction: LoseIncarnation): Outcome {
  const { incarnation, checkpoints } = transaction
  const worker = draft.steps.incarnations.get(incarnation)
  if (worker === undefined) return ok(undefined)
  const newest = new Map(checkpoints.map(({ key, checkpoint }) => [runName(key), checkpoint]))
  for (const [name, key] of sortedByName(worker.runs)) endMember(draft, key, incarnation, RunOutcome.Lost, newest.get(name) ?? '')
  draft.steps = { ...draft.steps, incarnations: draft.steps.incarnations.delete(incarnation) }
  draft.recordEvent({ kind: StepTransactionKind.LoseIncarnation, workers: [worker.worker] })
  return ok(undefined)
}

/** Sorted by name, so that every control host ends the runs in the same order, in whatever order they were added. */
function sortedByName (runs: WorkerIncarnation['runs']): Array<[string, RunKey]> {
  return [...runs.entries()].sort(([one], [other]) => one < other ? -1 : 1)
}
