import { JobState, Reason } from './job'
import type { AccountEntitlement, RecordEvent } from './record'
import { StepJobState } from './steps/model'
import { stepHandlers, type StatementWriter } from './step-statement'
import { verifyRecord, type RecordVerification, type VerifyOptions } from './record-verify'
import { TransactionKind } from './transaction'
import { Verdict } from './verdict'

/** Kinds of statement lines. */
export enum StatementKind {
  Promised = 'promised',
  Home = 'home',
  Accepted = 'accepted',
  Placed = 'placed',
  Started = 'started',
  Stopped = 'given-back',
  Reclaimed = 'reclaimed',
  Waiting = 'waiting',
  TaskEnded = 'task-ended',
  WorkerCrashed = 'worker-crashed',
  Ended = 'ended',
  Refused = 'refused'
}

/** One line of a statement. */
export interface StatementLine {
  /** Sequence number in the record. */
  readonly sequence: number
  /** Milliseconds since the epoch. */
  readonly at: number
  readonly kind: StatementKind
  readonly job?: string
  readonly text: string
}

/** A home that its owner reclaimed from a borrowing job. */
export interface Reclaim {
  readonly home: string
  readonly borrower: string
  readonly job: string
  /** When the borrower was ordered to stop, in milliseconds since the epoch. */
  readonly orderedAt: number
  /** When the borrower returned the home; 0 while it still holds it. */
  readonly givenBackAt: number
  /** Grace period within which the home must be returned. */
  readonly promisedMilliseconds: number
}

/** Summary of one job. */
export interface JobSummary {
  readonly job: string
  readonly acceptedAt: number
  attempts: number
  /** 0 before the first start. */
  startedAt: number
  /** 0 while it is open. */
  endedAt: number
  state: NonNullable<RecordEvent['state']>
  verdict?: Verdict
  reason?: string
  /** Number of recorded answers, which must never be more than one. */
  finishes: number
}

/** The limits and guarantees of an account and what it received. */
export interface AccountStatement {
  readonly account: string
  readonly verification: RecordVerification
  /** Limits and guarantees at the end of the record; absent where the record does not contain them. */
  readonly promise?: AccountEntitlement
  readonly lines: readonly StatementLine[]
  readonly jobs: readonly JobSummary[]
  readonly reclaims: readonly Reclaim[]
  readonly totals: StatementTotals
  /** Violated guarantees, one sentence each. */
  readonly broken: readonly string[]
}

/** Totals of a statement. */
export interface StatementTotals {
  readonly accepted: number
  readonly finishedOnce: number
  readonly finishedMoreThanOnce: number
  readonly failedNotRun: number
  readonly failedMayHaveRun: number
  readonly cancelled: number
  readonly open: number
  readonly refused: number
  readonly placedOnGuarantee: number
  readonly borrowed: number
}

/** Accelerators of a home, or held by the attempt of a job. */
interface HeldAccelerators {
  readonly account: string
  /** Bit masks of the accelerators, by worker. */
  readonly masks: ReadonlyMap<string, number>
  /** Grace period of the guarantee; 0 for an attempt. */
  readonly graceMilliseconds: number
}

/** A parsed line of the record. */
export type StatementEvent = RecordEvent & { readonly sequence: number }
type Event = StatementEvent
type Handler = (event: Event) => void

/**
 * Computes the statement of an account from an exported record alone.
 * @param lines - the lines of an export
 * @param account - name of the account
 * @param options - trusted heads for the verification of the record
 * @returns the statement
 */
export function accountStatement (lines: Iterable<string>, account: string, options: VerifyOptions = {}): AccountStatement {
  const texts = [...lines]
  const builder = StatementBuilder.create(account)
  for (const text of texts) {
    const event = parseEvent(text)
    if (event !== undefined) builder.addEvent(event)
  }
  return builder.finish(verifyRecord(texts, options))
}

function parseEvent (text: string): Event | undefined {
  try {
    const event = JSON.parse(text) as Partial<Event>
    return event.kind === undefined || event.sequence === undefined ? undefined : event as Event
  } catch {
    return undefined
  }
}

class StatementBuilder implements StatementWriter {
  private readonly lines: StatementLine[] = []
  readonly jobs = new Map<string, JobSummary>()
  private readonly waitingSince = new Map<string, number>()
  private readonly homes = new Map<string, HeldAccelerators>()
  private readonly missingHomesSince = new Map<string, number>()
  /** Accelerators held by the current attempt of each job, of any account. */
  private readonly heldByJob = new Map<string, HeldAccelerators>()
  private readonly reclaims: Reclaim[] = []
  private readonly violations: string[] = []
  private latestEntitlement?: AccountEntitlement
  private refusedCount = 0
  private guaranteedCount = 0
  private borrowedCount = 0

  private readonly handlers: { readonly [kind in RecordEvent['kind']]?: Handler } = {
    [TransactionKind.PutConfiguration]: (event) => { this.onConfigurationPut(event) },
    [TransactionKind.SetHomes]: (event) => { this.onHomeChanged(event) },
    [TransactionKind.AcceptJob]: (event) => { this.onAccepted(event) },
    [TransactionKind.ReserveJob]: (event) => { this.onReserved(event) },
    [TransactionKind.StartJob]: (event) => { this.onStarted(event) },
    [TransactionKind.StopJob]: (event) => { this.onStopped(event) },
    [TransactionKind.ReleaseJob]: (event) => { this.onAttemptEnded(event) },
    [TransactionKind.EndAttempt]: (event) => { this.onAttemptEnded(event) },
    [TransactionKind.FinishJob]: (event) => { this.onJobEnded(event) },
    [TransactionKind.EndJobs]: (event) => { this.onJobEnded(event) },
    [TransactionKind.Refuse]: (event) => { this.onRefused(event) }
  }

  private constructor (readonly account: string) {}

  static create (account: string): StatementBuilder {
    return new StatementBuilder(account)
  }

  addEvent (event: Event): void {
    this.handlers[event.kind]?.(event)
    stepHandlers[event.kind]?.(this, event)
  }

  finish (verification: RecordVerification): AccountStatement {
    const jobs = [...this.jobs.values()]
    for (const job of jobs) if (job.finishes > 1) this.violations.push(`job ${job.job} finished ${job.finishes} times`)
    for (const [home, since] of this.missingHomesSince) this.violations.push(`${home} has not been placed since ${isoTime(since)}`)
    const { account, latestEntitlement, lines, reclaims, violations } = this
    return { account, verification, promise: latestEntitlement, lines, jobs, reclaims, totals: this.totals(jobs), broken: violations }
  }

  private totals (jobs: readonly JobSummary[]): StatementTotals {
    const count = (test: (job: JobSummary) => boolean): number => jobs.filter(test).length
    return {
      accepted: jobs.length,
      finishedOnce: count((job) => job.finishes === 1),
      finishedMoreThanOnce: count((job) => job.finishes > 1),
      failedNotRun: count((job) => job.state === JobState.Failed && job.verdict === Verdict.NotRun),
      failedMayHaveRun: count((job) => job.state === JobState.Failed && job.verdict !== Verdict.NotRun),
      cancelled: count((job) => job.state === JobState.Cancelled || job.state === StepJobState.Cancelled),
      open: count((job) => job.endedAt === 0),
      refused: this.refusedCount,
      placedOnGuarantee: this.guaranteedCount,
      borrowed: this.borrowedCount
    }
  }

  addLine (event: Event, kind: StatementKind, text: string): void {
    this.lines.push({ sequence: event.sequence, at: event.at, kind, job: event.job, text })
  }

  private onConfigurationPut (event: Event): void {
    const entitlement = event.promises?.find((candidate) => candidate.account === this.account)
    if (entitlement === undefined) return
    this.latestEntitlement = entitlement
    this.addLine(event, StatementKind.Promised, `document ${event.number ?? 0}, by team ${event.team ?? ''}: ${entitlementText(entitlement)}`)
  }

  private onHomeChanged (event: Event): void {
    const { home, reason, workers = [], masks = [], graceSeconds = 0 } = event
    if (home === undefined || event.account === undefined) return
    if (reason === Reason.HomeFound || reason === Reason.HomeMoved) {
      this.homes.set(home, { account: event.account, masks: masksByWorker(workers, masks), graceMilliseconds: graceSeconds * 1_000 })
    } else this.homes.delete(home)
    if (event.account !== this.account) return
    const since = this.missingHomesSince.get(home)
    if (reason === Reason.HomeImpossible) this.missingHomesSince.set(home, event.at)
    else this.missingHomesSince.delete(home)
    if (since !== undefined && reason !== Reason.HomeImpossible) this.violations.push(`${home} could not be placed for ${seconds(event.at - since)}, from ${isoTime(since)}`)
    this.addLine(event, StatementKind.Home, homeText(home, reason, workers))
  }

  private onAccepted (event: Event): void {
    if (event.account !== this.account || event.job === undefined) return
    this.jobs.set(event.job, { job: event.job, acceptedAt: event.at, attempts: 0, startedAt: 0, endedAt: 0, state: JobState.Queued, finishes: 0 })
    this.waitingSince.set(event.job, event.at)
    const shape = event.shape === undefined ? '' : `, asks for ${event.shape.workers} x ${event.shape.accelerators} accelerators within one ${event.shape.within}`
    this.addLine(event, StatementKind.Accepted, `job ${event.job} accepted${shape}`)
  }

  private onReserved (event: Event): void {
    const { job, workers = [], masks = [], home, borrowing } = event
    if (job === undefined) return
    this.heldByJob.set(job, { account: event.account ?? '', masks: masksByWorker(workers, masks), graceMilliseconds: 0 })
    if (event.account !== this.account) return
    if (home !== undefined) this.guaranteedCount++
    else if (borrowing === true) this.borrowedCount++
    const known = this.jobs.get(job)
    if (known !== undefined) known.attempts = event.attempt ?? known.attempts
    const waited = event.at - (this.waitingSince.get(job) ?? event.at)
    this.addLine(event, StatementKind.Placed, `job ${job} gets ${workers.join(', ')} after waiting ${seconds(waited)}: ${placementText(home, borrowing, event.reason)}`)
  }

  private onStarted (event: Event): void {
    const known = this.ownJob(event)
    if (known === undefined) return
    known.state = JobState.Running
    if (known.startedAt === 0) known.startedAt = event.at
    this.addLine(event, StatementKind.Started, `job ${known.job} attempt ${event.attempt ?? 0} may start on all its workers`)
  }

  private onStopped (event: Event): void {
    if (event.job === undefined) return
    if (event.reason === Reason.Reclaimed) this.startReclaims(event)
    if (this.ownJob(event) !== undefined) this.addLine(event, StatementKind.Stopped, `job ${event.job} is stopped on all its workers: ${stopReasonText(event.reason)}`)
  }

  /** Records a reclaim of each home of this account that overlaps with the accelerators of the stopped job. */
  private startReclaims (event: Event): void {
    const held = this.heldByJob.get(event.job!)
    if (held === undefined) return
    for (const [home, homeAccelerators] of this.homes) {
      if (homeAccelerators.account !== this.account || !overlaps(homeAccelerators, held)) continue
      this.reclaims.push({ home, borrower: held.account, job: event.job!, orderedAt: event.at, givenBackAt: 0, promisedMilliseconds: homeAccelerators.graceMilliseconds })
    }
  }

  private onAttemptEnded (event: Event): void {
    if (event.job === undefined) return
    this.finishReclaims(event)
    const known = this.ownJob(event)
    if (known === undefined) return
    known.state = JobState.Queued
    this.waitingSince.set(known.job, event.at)
    this.addLine(event, StatementKind.Waiting, `job ${known.job} is queued again: ${String(event.reason)}`)
  }

  private finishReclaims (event: Event): void {
    this.heldByJob.delete(event.job!)
    for (const [position, reclaim] of this.reclaims.entries()) {
      if (reclaim.job !== event.job || reclaim.givenBackAt !== 0) continue
      const tookMilliseconds = event.at - reclaim.orderedAt
      this.reclaims[position] = { ...reclaim, givenBackAt: event.at }
      const text = `${reclaim.home} was returned by job ${reclaim.job} of ${reclaim.borrower} in ${seconds(tookMilliseconds)}, guaranteed within ${seconds(reclaim.promisedMilliseconds)}`
      this.addLine({ ...event, job: undefined }, StatementKind.Reclaimed, text)
      if (tookMilliseconds > reclaim.promisedMilliseconds) this.violations.push(text)
    }
  }

  private onJobEnded (event: Event): void {
    if (event.job === undefined) return
    this.finishReclaims(event)
    const known = this.ownJob(event)
    if (known === undefined) return
    known.endedAt = event.at
    known.state = event.state ?? known.state
    known.verdict = event.verdict
    known.reason = event.reason
    if (event.state === JobState.Finished) known.finishes++
    this.addLine(event, StatementKind.Ended, endText(event, known))
  }

  private onRefused (event: Event): void {
    if (event.account !== this.account) return
    this.refusedCount += event.count ?? 1
    this.addLine(event, StatementKind.Refused, `refused and not run: ${event.message ?? ''} (${String(event.reason)})`)
  }

  private ownJob (event: Event): JobSummary | undefined {
    return event.account === this.account && event.job !== undefined ? this.jobs.get(event.job) : undefined
  }
}

function masksByWorker (workers: readonly string[], masks: readonly number[]): Map<string, number> {
  return new Map(workers.map((worker, position) => [worker, masks[position] ?? 0]))
}

function overlaps (one: HeldAccelerators, other: HeldAccelerators): boolean {
  return [...one.masks].some(([worker, mask]) => (mask & (other.masks.get(worker) ?? 0)) !== 0)
}

function entitlementText ({ open, limits, guarantees }: AccountEntitlement): string {
  if (!open) return 'the account is closed'
  const kept = guarantees.map(({ shape, count, graceSeconds }) =>
    `${count} of ${shape.workers} x ${shape.accelerators} adjacent accelerators within one ${shape.within}, returned within ${graceSeconds} s`)
  return `share ${limits?.share ?? 0}, at most ${limits?.runningAccelerators ?? 0} accelerators and ${limits?.queuedJobs ?? 0} waiting jobs; guaranteed: ${kept.join('; ') || 'nothing'}`
}

const homeTexts: { readonly [reason: string]: string } = {
  [Reason.HomeFound]: 'is reserved on',
  [Reason.HomeMoved]: 'was moved and is reserved on',
  [Reason.HomeImpossible]: 'does not fit in the present fleet',
  [Reason.HomeRemoved]: 'is no longer guaranteed'
}

function homeText (home: string, reason: string | undefined, workers: readonly string[]): string {
  const placed = reason === Reason.HomeFound || reason === Reason.HomeMoved
  return `${home} ${homeTexts[reason ?? ''] ?? String(reason)}${placed ? ` ${workers.join(', ')}` : ''}`
}

function placementText (home: string | undefined, borrowing: boolean | undefined, reason: string | undefined): string {
  if (home !== undefined) return `its guarantee ${home}`
  return borrowing === true ? 'borrowed from a guarantee, to be returned when its owner reclaims it' : String(reason)
}

const stopReasonTexts: { readonly [reason: string]: string } = {
  [Reason.Reclaimed]: 'the owner of the borrowed accelerators reclaims them',
  [Reason.MadeRoomForUrgent]: 'an urgent job needs the capacity',
  [Reason.MadeRoomForGang]: 'the oldest large job needs the capacity',
  [Reason.MemberLost]: 'one of its workers was lost',
  [Reason.WorkerLeaving]: 'one of its workers leaves',
  [Reason.Evacuated]: 'a data centre was evacuated before it had begun there'
}

function stopReasonText (reason: string | undefined): string {
  return stopReasonTexts[reason ?? ''] ?? String(reason)
}

const verdictTexts: { readonly [verdict in Verdict]: string } = {
  [Verdict.NotRun]: 'it was not run',
  [Verdict.MayHaveRun]: 'it may have run',
  [Verdict.Ran]: 'it ran'
}

function endText (event: Event, job: JobSummary): string {
  if (event.state === JobState.Finished) return `job ${job.job} finished: its complete answer is stored, ${seconds(event.at - job.acceptedAt)} after it was accepted`
  const verdict = event.verdict === undefined ? '' : `, ${verdictTexts[event.verdict]}`
  return `job ${job.job} ${String(event.state)}: ${String(event.reason)}${verdict}${event.message ? ` (${event.message})` : ''}`
}

function seconds (milliseconds: number): string {
  return `${(milliseconds / 1_000).toFixed(3)} s`
}

function isoTime (at: number): string {
  return new Date(at).toISOString()
}

/**
 * Finds the account of a job.
 * @param lines - the lines of an export
 * @param job - identifier of the job
 * @returns the name of the account, undefined where the record does not contain the job
 */
export function findAccountOfJob (lines: Iterable<string>, job: string): string | undefined {
  for (const line of lines) {
    const event = parseEvent(line)
    if (event?.job === job && event.account !== undefined) return event.account
  }
  return undefined
}

/**
 * Formats a line of a statement.
 * @param line - the line
 * @returns time, sequence number and text
 */
export function formatStatementLine (line: StatementLine): string {
  const { at, sequence, text } = line
  return `${isoTime(at)}  ${String(sequence).padStart(8)}  ${text}`
}

/**
 * Formats a statement.
 * @param statement - the statement
 * @returns a heading, a line for each event, then the totals
 */
export function formatStatement (statement: AccountStatement): string[] {
  const { account, verification, promise, lines, totals, reclaims, broken } = statement
  const verificationText = verification.faults.length === 0
    ? `the record is complete and unchanged from sequence ${verification.first} to ${verification.head.sequence}`
    : `THE RECORD IS DAMAGED OR INCOMPLETE: ${verification.faults.map((fault) => fault.text).join('; ')}`
  const returned = reclaims.filter((reclaim) => reclaim.givenBackAt > 0).map((reclaim) => reclaim.givenBackAt - reclaim.orderedAt)
  return [
    `Statement of account ${account}; ${verificationText}.`,
    ...lines.map(formatStatementLine),
    `Limits and guarantees now: ${promise === undefined ? 'not contained in this record' : entitlementText(promise)}.`,
    `Jobs: ${totals.accepted} accepted, ${totals.finishedOnce} finished once, ${totals.finishedMoreThanOnce} finished more than once, ${totals.failedNotRun} failed and not run, ` +
      `${totals.failedMayHaveRun} failed and may have run, ${totals.cancelled} cancelled, ${totals.open} open. Refused and not run: ${totals.refused}.`,
    `Guarantee: used ${totals.placedOnGuarantee} times; reclaimed ${returned.length} times, longest reclaim ${seconds(Math.max(0, ...returned))}. Borrowed from others: ${totals.borrowed} times.`,
    broken.length === 0 ? 'Violations: none found in this record.' : `Violations: ${broken.join('; ')}.`
  ]
}
