/** The part of a snapshot that concerns step jobs. */
import { Map as ImmutableMap, Set as ImmutableSet } from 'immutable'
import { updateWaitingWork, type WaitingWorkIndex } from './admission/waiting-work'
import type { NumberedDocument } from './document'
import { initialStepState, type DataCentreEvacuation, type EvacuationState, type IncarnationLoss, type WorkerIncarnation, type StepJob, type StepState } from './model'
import type { RevocableStart } from './revocable-starts'
import { runName, type RunKey } from './run'

/** An incarnation with its runs as a list. */
interface StoredIncarnation extends Omit<WorkerIncarnation, 'runs'> {
  readonly runs: readonly RunKey[]
}

/** The stored form of the state, with every list sorted by key so that equal states give equal snapshots. */
export interface StoredStepState {
  readonly document?: NumberedDocument
  readonly jobs: readonly StepJob[]
  readonly open: readonly string[]
  readonly lives: readonly StoredIncarnation[]
  /** Absent for none. */
  readonly losses?: readonly IncarnationLoss[]
  /** Absent until the first evacuation. */
  readonly evacuations?: StoredEvacuations
  /** By worker; absent for none. */
  readonly revocableStarts?: ReadonlyArray<readonly [string, readonly RevocableStart[]]>
  /** By account; absent for none. */
  readonly earlyCancellations?: ReadonlyArray<readonly [string, ReadonlyArray<readonly [string, number]>]>
}

/** The state of evacuations with the data centres as a list. */
interface StoredEvacuations extends Omit<EvacuationState, 'dataCentres'> {
  readonly dataCentres: readonly DataCentreEvacuation[]
}

/**
 * Converts the state to its stored form.
 * @param state - state of the step jobs
 * @returns the stored form
 */
export function toStoredSteps (state: StepState): StoredStepState {
  const { document, jobs, open, incarnations, losses, evacuations, revocableStarts, earlyCancellations } = state
  return {
    document,
    jobs: valuesByKey(jobs),
    open: open.toArray().sort(),
    lives: valuesByKey(incarnations).map((worker) => ({ ...worker, runs: valuesByKey(worker.runs) })),
    ...losses.length > 0 && { losses },
    ...evacuations !== undefined && { evacuations: { ...evacuations, dataCentres: valuesByKey(evacuations.dataCentres) } },
    ...revocableStarts !== undefined && { revocableStarts: entriesByKey(revocableStarts) },
    ...earlyCancellations !== undefined && { earlyCancellations: entriesByKey(earlyCancellations).map(([account, cancelled]) => [account, entriesByKey(cancelled)] as const) }
  }
}

/**
 * Restores the state from its stored form.
 * @param stored - the stored form; undefined in a snapshot from before step jobs existed
 * @returns the state
 */
export function fromStoredSteps (stored: StoredStepState | undefined): StepState {
  if (stored === undefined) return initialStepState
  return {
    document: stored.document,
    jobs: ImmutableMap(stored.jobs.map((job) => [job.identifier, job])),
    open: ImmutableSet(stored.open),
    incarnations: ImmutableMap(stored.lives.map((worker) => [worker.incarnation, { ...worker, runs: ImmutableMap(worker.runs.map((key) => [runName(key), key])) }])),
    ...stored.evacuations !== undefined && { evacuations: fromStoredEvacuations(stored.evacuations) },
    ...stored.revocableStarts !== undefined && { revocableStarts: ImmutableMap(stored.revocableStarts) },
    ...stored.earlyCancellations !== undefined && { earlyCancellations: ImmutableMap(stored.earlyCancellations.map(([account, cancelled]) => [account, ImmutableMap(cancelled)])) },
    waitingWork: stored.jobs.reduce<WaitingWorkIndex>((index, job) => updateWaitingWork(index, undefined, job), ImmutableMap()),
    losses: stored.losses ?? []
  }
}

function fromStoredEvacuations ({ changes, forgotten, dataCentres }: StoredEvacuations): EvacuationState {
  return { changes, forgotten, dataCentres: ImmutableMap(dataCentres.map((change) => [change.dataCentre, change])) }
}

function valuesByKey<Value> (map: ImmutableMap<string, Value>): Value[] {
  return entriesByKey(map).map(([, value]) => value)
}

function entriesByKey<Value> (map: ImmutableMap<string, Value>): Array<[string, Value]> {
  return [...map.entries()].sort(([one], [other]) => one < other ? -1 : 1)
}
