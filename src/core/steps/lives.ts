/** Incarnations of workers: announced, leaving, gone. */
import { Map as ImmutableMap } from 'immutable'
import { ok, type Result } from 'neverthrow'
import type { Draft } from '../draft'
import type { Refusal } from '../verdict'
import { noResources, type Life } from './model'
import { endMember, setLife } from './runs'
import { StepTransactionKind, type AnnounceLife, type LeaveLife, type LoseLife } from './transactions'
import { runName, type RunKey, RunOutcome } from './run'

type Outcome = Result<void, Refusal>

/**
 * Takes up an incarnation that the log does not know.
 * @param draft - the change under way
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function announceLife (draft: Draft, transaction: AnnounceLife): Outcome {
  const { life } = transaction
  if (draft.steps.lives.has(life.incarnation)) return ok(undefined)
  setLife(draft, { ...life, leaving: false, acknowledged: 0, runs: ImmutableMap(), used: noResources })
  draft.note({ kind: StepTransactionKind.AnnounceLife, workers: [life.worker] })
  return ok(undefined)
}

/**
 * Gives an incarnation no new work from here on.
 * @param draft - the change under way
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function leaveLife (draft: Draft, transaction: LeaveLife): Outcome {
  const { incarnation } = transaction
  const life = draft.steps.lives.get(incarnation)
  if (life === undefined || life.leaving) return ok(undefined)
  setLife(draft, { ...life, leaving: true })
  draft.note({ kind: StepTransactionKind.LeaveLife, workers: [life.worker] })
  return ok(undefined)
}

/**
 * Ends everything that ran in an incarnation, and forgets it.
 * @param draft - the change under way
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function loseLife (draft: Draft, transaction: LoseLife): Outcome {
  const { incarnation, checkpoints } = transaction
  const life = draft.steps.lives.get(incarnation)
  if (life === undefined) return ok(undefined)
  const seen = new Map(checkpoints.map(({ key, checkpoint }) => [runName(key), checkpoint]))
  for (const [name, key] of inOrder(life.runs)) endMember(draft, key, incarnation, RunOutcome.Lost, seen.get(name) ?? '')
  draft.steps = { ...draft.steps, lives: draft.steps.lives.delete(incarnation) }
  draft.note({ kind: StepTransactionKind.LoseLife, workers: [life.worker] })
  return ok(undefined)
}

/** The same order on every host, whatever the order in which the runs came. */
function inOrder (runs: Life['runs']): Array<[string, RunKey]> {
  return [...runs.entries()].sort(([one], [other]) => one < other ? -1 : 1)
}
