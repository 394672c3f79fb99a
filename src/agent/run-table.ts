/** What an agent knows of the runs on one incarnation of its worker. Pure bookkeeping; the supervisor acts on it. */
import { runName, RunOutcome, type RunKey } from '../core/steps/run'
import type { ListedEnd, RunLists } from './task-host'

/** Where a run is. */
export enum RunPhase {
  /** The order to start it is under way. */
  Starting = 'starting',
  /** The worker took the order, or lists the run. */
  Running = 'running',
  /** It must end, or must be known never to begin. */
  Stopping = 'stopping',
  /** The worker never began it and never will. */
  NotStarted = 'not-started'
}

/** One run. */
export interface TrackedRun {
  readonly key: RunKey
  readonly phase: RunPhase
  /** An order to start it went out without an answer. */
  readonly startUnconfirmed: boolean
  readonly listed: boolean
  readonly percent: number
  readonly checkpoint: string
}

/** All runs and ends that control has not let go yet. */
export interface RunTable {
  readonly runs: ReadonlyMap<string, TrackedRun>
  readonly ends: ReadonlyMap<number, ListedEnd>
  /** Ends up to this number are recorded by control. */
  readonly acknowledged: number
}

/** The table of a new incarnation. */
export const emptyRunTable: RunTable = { runs: new Map(), ends: new Map(), acknowledged: 0 }

/**
 * Takes up a run, unless it is known already.
 * @param table - the table before
 * @param key - the run
 * @param phase - where it is
 * @returns the table after
 */
export function addRun (table: RunTable, key: RunKey, phase: RunPhase): RunTable {
  if (table.runs.has(runName(key)) || hasEnd(table, key)) return table
  return withRun(table, { key, phase, startUnconfirmed: false, listed: false, percent: 0, checkpoint: '' })
}

/**
 * Changes what is known of a run; one that is not known stays so.
 * @param table - the table before
 * @param key - the run
 * @param changes - what is known now
 * @returns the table after
 */
export function updateRun (table: RunTable, key: RunKey, changes: Partial<TrackedRun>): RunTable {
  const run = table.runs.get(runName(key))
  return run === undefined ? table : withRun(table, { ...run, ...changes })
}

/**
 * Forgets a run.
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
 * Takes the worker's lists.
 * @param table - the table before
 * @param lists - what the worker said
 * @param confirmedStops - names of runs whose stop was answered before the lists were asked for: absent ones never begin
 * @returns the table after
 */
export function applyRunLists (table: RunTable, lists: RunLists, confirmedStops: ReadonlySet<string>): RunTable {
  const ends = new Map(table.ends)
  for (const end of lists.ends) if (end.number > table.acknowledged) ends.set(end.number, end)
  const ended = new Set(lists.ends.map(({ key }) => runName(key)))
  const listed = new Map(lists.running.map((run) => [runName(run.key), run]))
  const runs = new Map<string, TrackedRun>()
  for (const [name, run] of table.runs) {
    const seen = listed.get(name)
    if (ended.has(name)) continue
    if (seen !== undefined) runs.set(name, { ...run, ...seen, listed: true, phase: run.phase === RunPhase.Starting ? RunPhase.Running : run.phase })
    else runs.set(name, updateUnlistedRun(run, confirmedStops.has(name)))
  }
  for (const [name, seen] of listed) {
    if (!runs.has(name)) runs.set(name, { ...seen, phase: RunPhase.Running, startUnconfirmed: false, listed: true })
  }
  return { ...table, runs, ends }
}

/** A run that was listed and is neither running nor among the ends must be stopConfirmed by a stop. */
function updateUnlistedRun (run: TrackedRun, stopConfirmed: boolean): TrackedRun {
  if (stopConfirmed && run.phase === RunPhase.Stopping) return { ...run, listed: false, phase: RunPhase.NotStarted }
  if (run.listed && run.phase === RunPhase.Running) return { ...run, listed: false, phase: RunPhase.Stopping }
  return { ...run, listed: false }
}

/**
 * Lets go of ends that control has recorded.
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
 * The ends to report: those that the worker listed, and runs that never began.
 * @param table - the table
 * @returns the ends in the order of their numbers
 */
export function endsToReport (table: RunTable): ListedEnd[] {
  const never = [...table.runs.values()].filter(({ phase }) => phase === RunPhase.NotStarted)
  return [
    ...never.map(({ key }) => ({ number: 0, key, outcome: RunOutcome.NotStarted, checkpoint: '' })),
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
