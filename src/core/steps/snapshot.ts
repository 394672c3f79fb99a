/** The part of a snapshot that belongs to jobs of steps. */
import { Map as ImmutableMap, Set as ImmutableSet } from 'immutable'
import type { NumberedDocument } from './document'
import { initialStepState, type Life, type StepJob, type StepState } from './model'
import { runName, type RunKey } from './run'

interface StoredLife extends Omit<Life, 'runs'> {
  readonly runs: readonly RunKey[]
}

/** What is written of it, every list in the order of its keys. */
export interface StoredStepState {
  readonly document?: NumberedDocument
  readonly jobs: readonly StepJob[]
  readonly open: readonly string[]
  readonly lives: readonly StoredLife[]
}

/**
 * Prepares the state for writing.
 * @param state - the jobs of steps
 * @returns plain lists
 */
export function storedSteps (state: StepState): StoredStepState {
  const { document, jobs, open, lives } = state
  return {
    document,
    jobs: sortedValues(jobs),
    open: open.toArray().sort(),
    lives: sortedValues(lives).map((life) => ({ ...life, runs: sortedValues(life.runs) }))
  }
}

/**
 * Reads the state.
 * @param stored - what storedSteps made; nothing in a snapshot from before there were jobs of steps
 * @returns the state
 */
export function restoredSteps (stored: StoredStepState | undefined): StepState {
  if (stored === undefined) return initialStepState
  return {
    document: stored.document,
    jobs: ImmutableMap(stored.jobs.map((job) => [job.identifier, job])),
    open: ImmutableSet(stored.open),
    lives: ImmutableMap(stored.lives.map((life) => [life.incarnation, { ...life, runs: ImmutableMap(life.runs.map((key) => [runName(key), key])) }]))
  }
}

function sortedValues<Value> (map: ImmutableMap<string, Value>): Value[] {
  return [...map.entries()].sort(([one], [other]) => one < other ? -1 : 1).map(([, value]) => value)
}
