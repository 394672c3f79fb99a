import type { Map as ImmutableMap } from 'immutable'
import type { Job } from './job'
import type { State } from './state'

/** What was learned of one account's jobs of one kind. */
export interface Estimate {
  /** Run times of the last finished runs, in seconds, newest last. */
  readonly runs: readonly number[]
  /** Memory of the last runs that needed more than they were given, in megabytes, newest last. */
  readonly memory: readonly number[]
}

/** Runs that are remembered of one kind. */
const RUNS_KEPT = 16
/** Runs from which on what was learned replaces what was declared. */
const RUNS_TO_TRUST = 3
/** Jobs that must have needed more memory before others of their kind get more. */
const MEMORY_READINGS_TO_TRUST = 2
/** Kinds that are remembered over all accounts. */
const KINDS_KEPT = 2_000
const nothingLearned: Estimate = { runs: [], memory: [] }

type Estimates = ImmutableMap<string, Estimate>

/**
 * Names what jobs share that are expected to run alike.
 * @param account - the account
 * @param kind - the kind that the jobs state
 * @returns the key
 */
export function estimateKey (account: string, kind: string): string {
  return `${account}/${kind}`
}

/**
 * Adds a finished run.
 * @param estimates - what was known
 * @param key - see {@link estimateKey}
 * @param seconds - how long it ran
 * @returns what is known
 */
export function learnRun (estimates: Estimates, key: string, seconds: number): Estimates {
  const before = estimates.get(key) ?? nothingLearned
  return store(estimates, key, { ...before, runs: [...before.runs, seconds].slice(-RUNS_KEPT) })
}

/**
 * Adds a run that needed more memory than it was given.
 * @param estimates - what was known
 * @param key - see {@link estimateKey}
 * @param megabytes - what it is to get next time
 * @returns what is known
 */
export function learnMemory (estimates: Estimates, key: string, megabytes: number): Estimates {
  const before = estimates.get(key) ?? nothingLearned
  return store(estimates, key, { ...before, memory: [...before.memory, megabytes].slice(-RUNS_KEPT) })
}

/** Keeps what is known within bounds: past them, new kinds are not remembered. */
function store (estimates: Estimates, key: string, estimate: Estimate): Estimates {
  return estimates.size >= KINDS_KEPT && !estimates.has(key) ? estimates : estimates.set(key, estimate)
}

/**
 * Memory that jobs of a kind were seen to need.
 * @param estimate - what was learned
 * @returns megabytes that all but one of the remembered runs could do with, 0 where too little is known
 */
export function learnedMemoryOf (estimate: Estimate | undefined): number {
  if (estimate === undefined || estimate.memory.length < MEMORY_READINGS_TO_TRUST) return 0
  return [...estimate.memory].sort((one, other) => other - one)[1] ?? 0
}

/** Half of the runs are shorter. Used to order the queue. */
export const MEDIAN = 0.5
/** Nine of ten runs are shorter. Used to foresee when a worker is free. */
export const HIGH_QUANTILE = 0.9

/**
 * How long a job is expected to run: learned, or declared as long as too little was learned.
 * @param state - the state
 * @param job - the job
 * @param quantile - between 0 and 1
 * @returns seconds
 */
export function expectedSeconds (state: Pick<State, 'estimates'>, job: Job, quantile: number): number {
  const { account, kind, declaredSeconds } = job.specification
  const runs = state.estimates.get(estimateKey(account, kind))?.runs
  if (runs === undefined || runs.length < RUNS_TO_TRUST) return declaredSeconds
  const sorted = [...runs].sort((one, other) => one - other)
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? declaredSeconds
}
