import { createHash } from 'node:crypto'
import { JobState } from '../core/job'
import type { Verdict } from '../core/verdict'
import type { JobReport } from '../wire/index'
import { readVerdict } from '../client/index'

const endStates = new Set<string>([JobState.Finished, JobState.Failed, JobState.Cancelled])

/** A job as shown to callers and operators. Times are milliseconds since the epoch, or 0 before the event. */
export interface JobView {
  readonly identifier: string
  readonly account: string
  readonly state: string
  readonly attempt: number
  readonly reason: string
  /** Present once the job has ended. */
  readonly verdict?: Verdict
  readonly message: string
  readonly acceptedAt: number
  readonly endedAt: number
  readonly workers: readonly string[]
  readonly ended: boolean
}

/**
 * Whether a report is the last one on its job.
 * @param report - a report from control
 * @returns true in an end state
 */
export function isEnded (report: JobReport): boolean {
  return endStates.has(report.state)
}

/**
 * Converts a report to the form that is shown to callers and operators.
 * @param report - a report from control
 * @returns the view, without the answer's body
 */
export function viewOf (report: JobReport): JobView {
  const { identifier, account, state, attempt, reason, message, acceptedAt, endedAt, workers } = report
  const ended = isEnded(report)
  const verdict = ended ? readVerdict(report.verdict) : undefined
  return { identifier, account, state, attempt, reason, verdict, message, acceptedAt, endedAt, workers, ended }
}

/**
 * Checks a job's answer against the digest that was stored with it.
 * @param report - the last report on a finished job
 * @returns false when there is no answer or its body does not match the digest
 */
export function hasIntactAnswer (report: JobReport): boolean {
  const { answer } = report
  if (answer === undefined) return false
  return createHash('sha256').update(answer.body).digest().equals(answer.digest)
}
