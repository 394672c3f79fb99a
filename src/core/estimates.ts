import type { Map as ImmutableMap } from 'immutable'
import type { Job } from './job'
import type { State } from './state'

/** Measured run times and memory needs of one account's jobs of one kind. */
export interface Estimate {
  /** Run times of the last finished runs, in seconds, newest last. */
  readonly runs: readonly number[]
  /** Memory to allocate after recent runs that exceeded their memory, in megabytes, newest last. */
  readonly memory: readonly number[]
}

/** Maximum number of measurements stored for one kind. */
const MAX_REMEMBERED_RUNS = 16
/** Number of measured runs from which on they replace the declared run time. */
const MIN_LEARNED_RUNS = 3
/** Number of runs that must have exceeded their memory before other jobs of their kind get more. */
const MIN_MEMORY_READINGS = 2
/** Maximum number of kinds stored over all accounts. */
const MAX_REMEMBERED_KINDS = 2_000
const emptyEstimate: Estimate = { runs: [], memory: [] }

type Estimates = ImmutableMap<string, Estimate>

/**
 * The key of the estimate that jobs of one account and kind share.
 * @param account - the account
 * @param kind - the kind of the jobs
 * @returns the key
 */
export function estimateKey (account: string, kind: string): string {
  return `${account}/${kind}`
}

/**
 * Adds the run time of a finished run.
 * @param estimates - the estimates so far
 * @param key - see {@link estimateKey}
 * @param seconds - the run time
 * @returns the new estimates
 */
export function learnRun (estimates: Estimates, key: string, seconds: number): Estimates {
  const before = estimates.get(key) ?? emptyEstimate
  return storeBounded(estimates, key, { ...before, runs: [...before.runs, seconds].slice(-MAX_REMEMBERED_RUNS) })
}

/**
 * Adds a run that exceeded its memory.
 * @param estimates - the estimates so far
 * @param key - see {@link estimateKey}
 * @param megabytes - the memory that its next run gets
 * @returns the new estimates
 */
export function learnMemory (estimates: Estimates, key: string, megabytes: number): Estimates {
  const before = estimates.get(key) ?? emptyEstimate
  return storeBounded(estimates, key, { ...before, memory: [...before.memory, megabytes].slice(-MAX_REMEMBERED_RUNS) })
}

/** Stores an estimate; once the limit is reached, new kinds are dropped. */
function storeBounded (estimates: Estimates, key: string, estimate: Estimate): Estimates {
  return estimates.size >= MAX_REMEMBERED_KINDS && !estimates.has(key) ? estimates : estimates.set(key, estimate)
}

/**
 * The memory that jobs of a kind need according to past runs.
 * @param estimate - the estimate
 * @returns megabytes that suffice for all but one of the stored runs, 0 if there are too few
 */
export function learnedMemoryOf (estimate: Estimate | undefined): number {
  if (estimate === undefined || estimate.memory.length < MIN_MEMORY_READINGS) return 0
  return [...estimate.memory].sort((one, other) => other - one)[1] ?? 0
}

/** Quantile used to order the queue. */
export const MEDIAN = 0.5
/** Quantile used to estimate when a worker becomes free: nine of ten runs are shorter. */
export const HIGH_QUANTILE = 0.9

/**
 * Expected run time of a job: measured, or as declared while there are too few measurements.
 * @param state - the state
 * @param job - the job
 * @param quantile - between 0 and 1
 * @returns seconds
 */
export function expectedSeconds (state: Pick<State, 'estimates'>, job: Job, quantile: number): number {
  const { account, kind, declaredSeconds } = job.specification
  const runs = state.estimates.get(estimateKey(account, kind))?.runs
  if (runs === undefined || runs.length < MIN_LEARNED_RUNS) return declaredSeconds
  const sorted = [...runs].sort((one, other) => one - other)
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? declaredSeconds
}
