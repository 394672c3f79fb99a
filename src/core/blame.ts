import { ok, type Result } from 'neverthrow'
import type { Draft } from './draft'
import { Reason, type Job } from './job'
import { TransactionKind, type ReturnWorker } from './transaction'
import type { Refusal } from './verdict'
import { WorkerHealth, type Worker, type WorkerFailure } from './worker'

/** Failures of distinct jobs without a success between them, of at least two accounts, that quarantine a worker. */
const JOBS_TO_BLAME_WORKER = 2
const ACCOUNTS_TO_BLAME_WORKER = 2
/** Failures of distinct jobs of one account that quarantine a worker. */
const JOBS_OF_ONE_ACCOUNT_TO_BLAME_WORKER = 4
/** Failures that are remembered of one worker. */
const FAILURES_KEPT = 8
/** Milliseconds until the first probe of a quarantined worker; doubled with each probe that fails. */
const PROBE_BASE_MILLISECONDS = 30_000
const PROBE_MOST_MILLISECONDS = 900_000
/** A job that failed on so many distinct healthy workers is at fault itself. */
const FAILED_WORKERS_TO_BLAME_JOB = 3

/**
 * Splits the blame for a failure. A job that fails on a second worker takes its first failure off the first worker;
 * a worker on which distinct jobs of distinct accounts fail is quarantined.
 * @param draft - the change being made
 * @param job - the job, with the worker already among those it failed on
 * @param workerName - where it failed
 */
export function blameFailure (draft: Draft, job: Job, workerName: string): void {
  for (const earlier of job.failedOn) if (earlier !== workerName) exonerate(draft, job, earlier)
  const worker = draft.worker(workerName)
  if (worker === undefined) return
  const failure = { job: job.identifier, account: job.specification.account, at: draft.at }
  const others = worker.recentFailures.filter((entry) => entry.job !== job.identifier)
  const recentFailures = [...others, failure].slice(-FAILURES_KEPT)
  if (worker.health === WorkerHealth.Quarantined) {
    draft.setWorker({ ...worker, recentFailures, probeAt: draft.at + probeDelay(worker, draft.at) })
    return
  }
  if (!isToBlame(recentFailures)) { draft.setWorker({ ...worker, recentFailures }); return }
  draft.setWorker({ ...worker, recentFailures, health: WorkerHealth.Quarantined, probeAt: draft.at + probeDelay(worker, draft.at), quarantinedAt: worker.quarantinedAt ?? draft.at })
  const message = `${recentFailures.length} distinct jobs failed here: ${recentFailures.map((entry) => entry.job).join(', ')}`
  draft.note({ kind: TransactionKind.EndAttempt, workers: [workerName], reason: Reason.Quarantined, message })
}

function isToBlame (failures: readonly WorkerFailure[]): boolean {
  const accounts = new Set(failures.map((failure) => failure.account)).size
  return (failures.length >= JOBS_TO_BLAME_WORKER && accounts >= ACCOUNTS_TO_BLAME_WORKER) || failures.length >= JOBS_OF_ONE_ACCOUNT_TO_BLAME_WORKER
}

/** The job failed elsewhere too: its failure here says little about the worker. */
function exonerate (draft: Draft, job: Job, workerName: string): void {
  const worker = draft.worker(workerName)
  if (worker === undefined || worker.health === WorkerHealth.Quarantined) return
  draft.setWorker({ ...worker, recentFailures: worker.recentFailures.filter((entry) => entry.job !== job.identifier) })
}

/** The wait doubles with the time already spent in quarantine. */
function probeDelay (worker: Worker, at: number): number {
  return Math.min(Math.max(PROBE_BASE_MILLISECONDS, at - (worker.quarantinedAt ?? at)), PROBE_MOST_MILLISECONDS)
}

/**
 * Takes a success as proof that a worker works.
 * @param draft - the change being made
 * @param workerName - where a job finished
 */
export function clearBlame (draft: Draft, workerName: string): void {
  const worker = draft.worker(workerName)
  if (worker === undefined || (worker.recentFailures.length === 0 && worker.health === WorkerHealth.Healthy)) return
  draft.setWorker({ ...worker, recentFailures: [], health: WorkerHealth.Healthy, probeAt: 0, quarantinedAt: undefined })
  if (worker.health === WorkerHealth.Quarantined) {
    draft.note({ kind: TransactionKind.FinishJob, workers: [workerName], reason: Reason.ReturnedToService, message: 'a probe finished' })
  }
}

/**
 * Returns a quarantined worker on trust. What failed there is still held against it: the next failure sends it back.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function returnWorker (draft: Draft, transaction: ReturnWorker): Result<void, Refusal> {
  const worker = draft.worker(transaction.worker)
  if (worker === undefined || worker.health === WorkerHealth.Healthy) return ok(undefined)
  draft.setWorker({ ...worker, health: WorkerHealth.Healthy })
  draft.note({ kind: transaction.kind, workers: [worker.name], reason: Reason.ReturnedToService, message: 'on trust: no waiting job could probe it' })
  return ok(undefined)
}

/**
 * Tells whether a job itself is to blame: it failed on enough workers that are not suspects themselves.
 * @param draft - the change being made
 * @param job - the job
 * @returns true when it is not to be tried again
 */
export function isJobToBlame (draft: Draft, job: Job): boolean {
  const healthy = job.failedOn.filter((name) => draft.worker(name)?.health !== WorkerHealth.Quarantined)
  return healthy.length >= FAILED_WORKERS_TO_BLAME_JOB
}
