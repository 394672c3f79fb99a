/** The runs on one incarnation of a worker, as its agent knows them. Functions are pure; the supervisor sends the orders. */
import { runName, RunOutcome, type RunKey } from '../core/steps/run'
import type { ListedEnd, RunLists } from './worker-api'

/** The phase of a run. */
export enum RunPhase {
  /** The start order is being sent. */
  Starting = 'starting',
  /** The worker accepted the start order, or lists the run. */
  Running = 'running',
  /** The run must be stopped, or proven never to start. */
  Stopping = 'stopping',
  /** The worker did not start the run and never will. */
  NotStarted = 'not-started'
}

/** A run that control has not yet recorded as ended. */
export interface TrackedRun {
  readonly key: RunKey
  readonly phase: RunPhase
  /** The worker lists the run as running. */
  readonly listed: boolean
  /** The worker has listed the run, or a start of it may have reached the worker. */
  readonly begun: boolean
  readonly percent: number
  readonly checkpoint: string
}

/** All runs and ends that control has not acknowledged. */
export interface RunTable {
  readonly runs: ReadonlyMap<string, TrackedRun>
  readonly ends: ReadonlyMap<number, ListedEnd>
  /** Number of the last end that control has recorded. */
  readonly acknowledged: number
}

/** The run table of a new incarnation. */
export const emptyRunTable: RunTable = { runs: new Map(), ends: new Map(), acknowledged: 0 }

/**
 * Adds a run, unless the table has the run or its end.
 * @param table - the table before
 * @param key - the run
 * @param phase - its phase
 * @returns the table after
 */
export function addRun (table: RunTable, key: RunKey, phase: RunPhase): RunTable {
  if (table.runs.has(runName(key)) || hasEnd(table, key)) return table
  return withRun(table, { key, phase, listed: false, begun: false, percent: 0, checkpoint: '' })
}

/**
 * Changes the fields of a run. An unknown run is not added.
 * @param table - the table before
 * @param key - the run
 * @param changes - the changed fields
 * @returns the table after
 */
export function updateRun (table: RunTable, key: RunKey, changes: Partial<TrackedRun>): RunTable {
  const run = table.runs.get(runName(key))
  return run === undefined ? table : withRun(table, { ...run, ...changes })
}

/**
 * Removes a run.
 * @param table - the table before
 * @param key - the run
 * @returns the table after
 */
export function removeRun (table: RunTable, key: RunKey): RunTable {
  const runs = new Map(table.runs)
  runs.delete(runName(key))
  return { ...table, runs }
}

/**
 * Applies the worker's lists of runs and ends. While the list of ends is not complete, runs that are in neither list stay as
 * they are: the worker lists further ends once those listed are acknowledged.
 * @param table - the table before
 * @param lists - the lists
 * @param confirmedStops - names of runs whose stop was answered before the lists were requested; one of these that is not
 * listed never starts
 * @returns the table after
 */
export function applyRunLists (table: RunTable, lists: RunLists, confirmedStops: ReadonlySet<string>): RunTable {
  const ends = new Map(table.ends)
  for (const end of lists.ends) if (end.number > table.acknowledged) ends.set(end.number, end)
  const ended = new Set(lists.ends.map(({ key }) => runName(key)))
  const listed = new Map(lists.running.map((run) => [runName(run.key), run]))
  const runs = new Map<string, TrackedRun>()
  for (const [name, run] of table.runs) {
    const listedRun = listed.get(name)
    if (ended.has(name)) continue
    if (listedRun !== undefined) runs.set(name, { ...run, ...listedRun, listed: true, begun: true, phase: phaseOfListedRun(run) })
    else runs.set(name, lists.endsComplete ? updateUnlistedRun(run, confirmedStops.has(name)) : run)
  }
  for (const [name, listedRun] of listed) {
    if (!runs.has(name)) runs.set(name, { ...listedRun, phase: RunPhase.Running, listed: true, begun: true })
  }
  return { ...table, runs, ends }
}

/** A list outweighs any earlier conclusion that the run would not start. */
function phaseOfListedRun ({ phase }: TrackedRun): RunPhase {
  if (phase === RunPhase.Starting) return RunPhase.Running
  return phase === RunPhase.NotStarted ? RunPhase.Stopping : phase
}

/**
 * A run that was listed and is now neither running nor ended gets a stop order; only its answer settles that it does not
 * run.
 */
function updateUnlistedRun (run: TrackedRun, stopConfirmed: boolean): TrackedRun {
  if (stopConfirmed && run.phase === RunPhase.Stopping) return { ...run, listed: false, phase: RunPhase.NotStarted }
  if (run.listed && run.phase === RunPhase.Running) return { ...run, listed: false, phase: RunPhase.Stopping }
  return { ...run, listed: false }
}

/**
 * Removes ends that control has recorded.
 * @param table - the table before
 * @param acknowledged - number of the last recorded end
 * @returns the table after
 */
export function acknowledge (table: RunTable, acknowledged: number): RunTable {
  if (acknowledged <= table.acknowledged) return table
  const ends = new Map([...table.ends].filter(([number]) => number > acknowledged))
  return { ...table, ends, acknowledged }
}

/**
 * Returns the ends to report: those that the worker listed, and runs that never started.
 * @param table - the table
 * @returns the ends, ordered by number
 */
export function endsToReport (table: RunTable): ListedEnd[] {
  const notStarted = [...table.runs.values()].filter(({ phase }) => phase === RunPhase.NotStarted)
  return [
    ...notStarted.map(({ key }) => ({ number: 0, key, outcome: RunOutcome.NotStarted, checkpoint: '' })),
    ...[...table.ends.values()].sort((one, other) => one.number - other.number)
  ]
}

function hasEnd (table: RunTable, key: RunKey): boolean {
  const name = runName(key)
  return [...table.ends.values()].some((end) => runName(end.key) === name)
}

function withRun (table: RunTable, run: TrackedRun): RunTable {
  return { ...table, runs: new Map(table.runs).set(runName(run.key), run) }
}
