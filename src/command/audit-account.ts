import type { AccountPromise, RecordEvent } from '../core/record'
import { TransactionKind } from '../core/transaction'

/** A line of an export, parsed. */
export interface ExportedLine extends RecordEvent {
  readonly sequence: number
}

/**
 * Parses the lines of an export that was verified.
 * @param lines - the lines without line ends
 * @returns what each says
 */
export function parseExport (lines: readonly string[]): ExportedLine[] {
  return lines.map((line) => JSON.parse(line) as ExportedLine)
}

/** How one job of an account went, from the record alone. */
export interface JobHistory {
  readonly job: string
  readonly acceptedAt: number
  readonly endedAt: number
  readonly attempts: number
  readonly state: string
  readonly reason: string
  readonly verdict: string
  /** Ends recorded; more than one is a broken promise. */
  readonly ends: number
}

/** What an account was promised and what it got. */
export interface AccountReport {
  readonly account: string
  /** One line for each entry of the record that concerns the account. */
  readonly lines: readonly string[]
  readonly jobs: readonly JobHistory[]
  readonly accepted: number
  readonly finished: number
  readonly refused: number
  /** Jobs accepted and not ended at the end of the export. */
  readonly open: number
  /** Jobs with more than one end. */
  readonly endedTwice: readonly string[]
}

const endStates = new Set(['finished', 'failed', 'cancelled'])

function promiseOf (line: ExportedLine, account: string): AccountPromise | undefined {
  return line.promises?.find((promise) => promise.account === account)
}

function promiseText ({ open, guarantees }: AccountPromise): string {
  if (!open) return 'closed'
  const shapes = guarantees.map(({ count, shape, graceSeconds }) => `${count} x ${shape.workers} workers x ${shape.accelerators} accelerators within ${graceSeconds} s`)
  return shapes.length === 0 ? 'promised no shape' : `promised ${shapes.join(', ')}`
}

function detailText (line: ExportedLine): string {
  const { job, attempt, state, reason, verdict, workers, message } = line
  return [
    job,
    attempt === undefined ? undefined : `attempt ${attempt}`,
    state,
    reason,
    verdict,
    workers === undefined || workers.length === 0 ? undefined : `on ${workers.join(',')}`,
    message
  ].filter((part) => part !== undefined && part !== '').join('  ')
}

function lineText (line: ExportedLine, account: string): string {
  const promise = promiseOf(line, account)
  const detail = promise === undefined ? detailText(line) : promiseText(promise)
  return `${line.sequence}  ${new Date(line.at).toISOString()}  ${line.kind}  ${detail}`
}

function startHistory (line: ExportedLine, job: string): JobHistory {
  return { job, acceptedAt: line.at, endedAt: 0, attempts: 0, state: '', reason: '', verdict: '', ends: 0 }
}

function addToHistory (history: JobHistory, line: ExportedLine): JobHistory {
  const ended = line.state !== undefined && endStates.has(line.state)
  return {
    ...history,
    attempts: Math.max(history.attempts, line.attempt ?? 0),
    state: line.state ?? history.state,
    reason: line.reason ?? history.reason,
    verdict: line.verdict ?? history.verdict,
    endedAt: ended ? line.at : history.endedAt,
    ends: history.ends + Number(ended)
  }
}

function jobsOf (lines: readonly ExportedLine[], account: string): Map<string, JobHistory> {
  const jobs = new Map<string, JobHistory>()
  for (const line of lines) {
    const { job } = line
    if (job === undefined || (line.account !== account && !jobs.has(job))) continue
    jobs.set(job, addToHistory(jobs.get(job) ?? startHistory(line, job), line))
  }
  return jobs
}

/**
 * Tells, line by line, what an account was promised and what it got.
 * @param lines - the parsed export
 * @param account - the client account
 * @returns the report
 */
export function reportOnAccount (lines: readonly ExportedLine[], account: string): AccountReport {
  const jobs = jobsOf(lines, account)
  const concerns = (line: ExportedLine): boolean =>
    line.account === account || promiseOf(line, account) !== undefined || (line.job !== undefined && jobs.has(line.job))
  const histories = [...jobs.values()]
  return {
    account,
    lines: lines.filter(concerns).map((line) => lineText(line, account)),
    jobs: histories,
    accepted: histories.length,
    finished: histories.filter(({ state }) => state === 'finished').length,
    refused: lines.filter((line) => line.kind === TransactionKind.Refuse && line.account === account).length,
    open: histories.filter(({ ends }) => ends === 0).length,
    endedTwice: histories.filter(({ ends }) => ends > 1).map(({ job }) => job)
  }
}
