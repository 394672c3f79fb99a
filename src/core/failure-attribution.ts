import { ok, type Result } from 'neverthrow'
import type { Draft } from './draft'
import { Reason, type Job } from './job'
import { TransactionKind, type ReturnWorker } from './transaction'
import type { Refusal } from './verdict'
import { WorkerHealth, type Worker, type WorkerFailure } from './worker'

/** Failures of distinct jobs, of at least two accounts and with no success in between, after which a worker is quarantined. */
const QUARANTINE_MIN_JOBS = 2
const QUARANTINE_MIN_ACCOUNTS = 2
/** Failures of distinct jobs after which a worker is quarantined even if all are of one account. */
const QUARANTINE_MIN_JOBS_OF_ONE_ACCOUNT = 4
/** Maximum number of recent failures stored for a worker. */
const MAX_RECENT_FAILURES = 8
/** Delay before the first probe of a quarantined worker; doubled with each failed probe. */
const BASE_PROBE_DELAY_MILLISECONDS = 30_000
const MAX_PROBE_DELAY_MILLISECONDS = 900_000
/** A job that failed on this many distinct healthy workers is itself at fault. */
const MIN_FAILED_WORKERS_TO_FAIL_JOB = 3

/**
 * Attributes a failure to the job or to the worker. When a job also fails on a second worker, its earlier failure no
 * longer counts against the first one; a worker on which distinct jobs of distinct accounts fail is quarantined.
 * @param draft - the change being made
 * @param job - the job, whose failedOn already includes the worker
 * @param workerName - the worker on which it failed
 */
export function attributeFailure (draft: Draft, job: Job, workerName: string): void {
  for (const earlier of job.failedOn) if (earlier !== workerName) forgetFailure(draft, job, earlier)
  const worker = draft.worker(workerName)
  if (worker === undefined) return
  const failure = { job: job.identifier, account: job.specification.account, at: draft.at }
  const others = worker.recentFailures.filter((entry) => entry.job !== job.identifier)
  const recentFailures = [...others, failure].slice(-MAX_RECENT_FAILURES)
  if (worker.health === WorkerHealth.Quarantined) {
    draft.setWorker({ ...worker, recentFailures, probeAt: draft.at + probeDelay(worker, draft.at) })
    return
  }
  if (!shouldQuarantine(recentFailures)) { draft.setWorker({ ...worker, recentFailures }); return }
  draft.setWorker({ ...worker, recentFailures, health: WorkerHealth.Quarantined, probeAt: draft.at + probeDelay(worker, draft.at), quarantinedAt: worker.quarantinedAt ?? draft.at })
  const message = `${recentFailures.length} distinct jobs failed here: ${recentFailures.map((entry) => entry.job).join(', ')}`
  draft.recordEvent({ kind: TransactionKind.EndAttempt, workers: [workerName], reason: Reason.Quarantined, message })
}

function shouldQuarantine (failures: readonly WorkerFailure[]): boolean {
  const accounts = new Set(failures.map((failure) => failure.account)).size
  return (failures.length >= QUARANTINE_MIN_JOBS && accounts >= QUARANTINE_MIN_ACCOUNTS) || failures.length >= QUARANTINE_MIN_JOBS_OF_ONE_ACCOUNT
}

/** Removes the failure of a job that failed on other workers too, as it says little about this one. */
function forgetFailure (draft: Draft, job: Job, workerName: string): void {
  const worker = draft.worker(workerName)
  if (worker === undefined || worker.health === WorkerHealth.Quarantined) return
  draft.setWorker({ ...worker, recentFailures: worker.recentFailures.filter((entry) => entry.job !== job.identifier) })
}

/** Waits as long as the worker has been quarantined, which doubles the time with each probe. */
function probeDelay (worker: Worker, at: number): number {
  return Math.min(Math.max(BASE_PROBE_DELAY_MILLISECONDS, at - (worker.quarantinedAt ?? at)), MAX_PROBE_DELAY_MILLISECONDS)
}

/**
 * Clears the failures of a worker after a success, and ends its quarantine.
 * @param draft - the change being made
 * @param workerName - the worker on which a job finished
 */
export function clearFailures (draft: Draft, workerName: string): void {
  const worker = draft.worker(workerName)
  if (worker === undefined || (worker.recentFailures.length === 0 && worker.health === WorkerHealth.Healthy)) return
  draft.setWorker({ ...worker, recentFailures: [], health: WorkerHealth.Healthy, probeAt: 0, quarantinedAt: undefined })
  if (worker.health === WorkerHealth.Quarantined) {
    draft.recordEvent({ kind: TransactionKind.FinishJob, workers: [workerName], reason: Reason.ReturnedToService, message: 'a probe finished' })
  }
}

/**
 * Returns a quarantined worker to service without a probe. Its failures are kept, so the next one quarantines it again.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function returnWorker (draft: Draft, transaction: ReturnWorker): Result<void, Refusal> {
  const worker = draft.worker(transaction.worker)
  if (worker === undefined || worker.health === WorkerHealth.Healthy) return ok(undefined)
  draft.setWorker({ ...worker, health: WorkerHealth.Healthy })
  draft.recordEvent({ kind: transaction.kind, workers: [worker.name], reason: Reason.ReturnedToService, message: 'on trust: no waiting job could probe it' })
  return ok(undefined)
}

/**
 * Tells whether a job itself is at fault: it failed on enough workers that are not quarantined.
 * @param draft - the change being made
 * @param job - the job
 * @returns true if it must not be retried
 */
export function isJobAtFault (draft: Draft, job: Job): boolean {
  const healthy = job.failedOn.filter((name) => draft.worker(name)?.health !== WorkerHealth.Quarantined)
  return healthy.length >= MIN_FAILED_WORKERS_TO_FAIL_JOB
}
