/**
 * Starts that may still be on their way to a worker although their run has ended. Orders name the worker and not its
 * incarnation, so a late one is executed by a later incarnation unless it was revoked there. The agent that sent it may have
 * lost its memory, so the log keeps the run for as long as an order can take.
 */
import { Map as ImmutableMap } from 'immutable'
import type { Draft } from '../draft'
import type { StepState } from './model'
import type { RunKey } from './run'

/** Time after the end of a run for which a start of it may still arrive, in milliseconds; orders have been seen 12 s late. */
const RETENTION_MILLISECONDS = 60_000
/** Limit of the starts kept for a worker, the newest ones: more than twice what 128 processors end in a minute with tasks of 10 s. */
const MAX_PER_WORKER = 2_000

/** A run that has ended, of which a start may still arrive. */
export interface RevocableStart {
  readonly key: RunKey
  /** When the end was recorded, in milliseconds since the epoch. */
  readonly endedAt: number
  /** Incarnation on which it ended. It does not start the run again: it has ended or stopped it, or the lease in the order has expired. */
  readonly incarnation: string
}

/** These starts by the name of their worker, oldest first. */
export type RevocableStarts = ImmutableMap<string, readonly RevocableStart[]>

/**
 * Records that a run has ended at a worker.
 * @param draft - the draft being modified
 * @param worker - name of the worker
 * @param incarnation - incarnation on which the run ended
 * @param key - the run
 */
export function recordRevocableStart (draft: Draft, worker: string, incarnation: string, key: RunKey): void {
  const all: RevocableStarts = draft.steps.revocableStarts ?? ImmutableMap()
  const known = recent(all.get(worker) ?? [], draft.at)
  const start: RevocableStart = { key, endedAt: draft.at, incarnation }
  draft.steps = { ...draft.steps, revocableStarts: all.set(worker, [...known.slice(1 - MAX_PER_WORKER), start]) }
}

/**
 * Removes the starts that can no longer arrive.
 * @param draft - the draft being modified
 */
export function expireRevocableStarts (draft: Draft): void {
  const { revocableStarts, ...others } = draft.steps
  if (revocableStarts === undefined) return
  const kept = revocableStarts.map((starts) => recent(starts, draft.at)).filter(({ length }) => length > 0)
  draft.steps = kept.size === 0 ? others : { ...others, revocableStarts: kept }
}

/**
 * Lists the runs of which a start may still arrive at an incarnation and would be executed there.
 * @param state - state of the step jobs
 * @param worker - name of the worker
 * @param incarnation - the incarnation
 * @param now - milliseconds since the epoch
 * @returns the runs, oldest end first
 */
export function revocableStartsAt (state: StepState, worker: string, incarnation: string, now: number): RunKey[] {
  return recent(state.revocableStarts?.get(worker) ?? [], now).filter((start) => start.incarnation !== incarnation).map(({ key }) => key)
}

/** Ends are recorded in order of time, so the first one that is recent enough is followed by others that are. */
function recent (starts: readonly RevocableStart[], now: number): readonly RevocableStart[] {
  const first = starts.findIndex(({ endedAt }) => now - endedAt <= RETENTION_MILLISECONDS)
  return first === 0 ? starts : first < 0 ? [] : starts.slice(first)
}
