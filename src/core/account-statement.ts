import { JobState, Reason } from './job'
import type { AccountPromise, RecordEvent } from './record'
import { StepJobState } from './steps/model'
import { stepHandlers, type StatementPage } from './step-statement'
import { verifyRecord, type RecordVerification, type VerifyOptions } from './record-verify'
import { TransactionKind } from './transaction'
import { Verdict } from './verdict'

/** What a line of a statement is about. */
export enum StatementKind {
  Promised = 'promised',
  Home = 'home',
  Accepted = 'accepted',
  Placed = 'placed',
  Started = 'started',
  GivenBack = 'given-back',
  Reclaimed = 'reclaimed',
  Waiting = 'waiting',
  TaskEnded = 'task-ended',
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

/** A guaranteed place that was given back by whoever had borrowed it. */
export interface Reclaim {
  readonly home: string
  readonly borrower: string
  readonly job: string
  readonly orderedAt: number
  /** 0 while it is not given back. */
  readonly givenBackAt: number
  readonly promisedMilliseconds: number
}

/** What became of one job. */
export interface JobAccount {
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
  /** How often an answer was recorded: never more than once. */
  finishes: number
}

/** What an account was promised and what it got. */
export interface AccountStatement {
  readonly account: string
  readonly verification: RecordVerification
  /** The promise at the end of the record, nothing where the record does not say. */
  readonly promise?: AccountPromise
  readonly lines: readonly StatementLine[]
  readonly jobs: readonly JobAccount[]
  readonly reclaims: readonly Reclaim[]
  readonly totals: StatementTotals
  /** Promises that were not kept, one sentence each. */
  readonly broken: readonly string[]
}

/** Counts of a statement. */
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

interface Place {
  readonly account: string
  readonly parts: ReadonlyMap<string, number>
  readonly graceMilliseconds: number
}

/** A line of the record, parsed. */
export type StatementEvent = RecordEvent & { readonly sequence: number }
type Event = StatementEvent
type Handler = (event: Event) => void

/**
 * Computes from the record alone what an account was promised and what it got.
 * @param lines - the lines of an export
 * @param account - name of the account
 * @param options - what is known of the record beside its lines
 * @returns the statement
 */
export function accountStatement (lines: Iterable<string>, account: string, options: VerifyOptions = {}): AccountStatement {
  const texts = [...lines]
  const reader = StatementReader.create(account)
  for (const text of texts) {
    const event = parseEvent(text)
    if (event !== undefined) reader.read(event)
  }
  return reader.finish(verifyRecord(texts, options))
}

function parseEvent (text: string): Event | undefined {
  try {
    const event = JSON.parse(text) as Partial<Event>
    return event.kind === undefined || event.sequence === undefined ? undefined : event as Event
  } catch {
    return undefined
  }
}

class StatementReader implements StatementPage {
  private readonly lines: StatementLine[] = []
  readonly jobs = new Map<string, JobAccount>()
  private readonly waitingSince = new Map<string, number>()
  private readonly homes = new Map<string, Place>()
  private readonly missing = new Map<string, number>()
  /** What the present attempt of any account's job holds. */
  private readonly placed = new Map<string, Place>()
  private readonly reclaims: Reclaim[] = []
  private readonly broken: string[] = []
  private promise?: AccountPromise
  private refused = 0
  private onGuarantee = 0
  private borrowed = 0

  private readonly handlers: { readonly [kind in RecordEvent['kind']]?: Handler } = {
    [TransactionKind.PutConfiguration]: (event) => { this.readPromise(event) },
    [TransactionKind.SetHomes]: (event) => { this.readHome(event) },
    [TransactionKind.AcceptJob]: (event) => { this.readAccepted(event) },
    [TransactionKind.ReserveJob]: (event) => { this.readPlaced(event) },
    [TransactionKind.StartJob]: (event) => { this.readStarted(event) },
    [TransactionKind.StopJob]: (event) => { this.readStop(event) },
    [TransactionKind.ReleaseJob]: (event) => { this.readBack(event) },
    [TransactionKind.EndAttempt]: (event) => { this.readBack(event) },
    [TransactionKind.FinishJob]: (event) => { this.readEnd(event) },
    [TransactionKind.EndJobs]: (event) => { this.readEnd(event) },
    [TransactionKind.Refuse]: (event) => { this.readRefused(event) }
  }

  private constructor (readonly account: string) {}

  static create (account: string): StatementReader {
    return new StatementReader(account)
  }

  read (event: Event): void {
    this.handlers[event.kind]?.(event)
    stepHandlers[event.kind]?.(this, event)
  }

  finish (verification: RecordVerification): AccountStatement {
    const jobs = [...this.jobs.values()]
    for (const job of jobs) if (job.finishes > 1) this.broken.push(`job ${job.job} finished ${job.finishes} times`)
    for (const [home, since] of this.missing) this.broken.push(`${home} has had no place since ${moment(since)}`)
    const { account, promise, lines, reclaims, broken } = this
    return { account, verification, promise, lines, jobs, reclaims, totals: this.totals(jobs), broken }
  }

  private totals (jobs: readonly JobAccount[]): StatementTotals {
    const count = (test: (job: JobAccount) => boolean): number => jobs.filter(test).length
    return {
      accepted: jobs.length,
      finishedOnce: count((job) => job.finishes === 1),
      finishedMoreThanOnce: count((job) => job.finishes > 1),
      failedNotRun: count((job) => job.state === JobState.Failed && job.verdict === Verdict.NotRun),
      failedMayHaveRun: count((job) => job.state === JobState.Failed && job.verdict !== Verdict.NotRun),
      cancelled: count((job) => job.state === JobState.Cancelled || job.state === StepJobState.Cancelled),
      open: count((job) => job.endedAt === 0),
      refused: this.refused,
      placedOnGuarantee: this.onGuarantee,
      borrowed: this.borrowed
    }
  }

  say (event: Event, kind: StatementKind, text: string): void {
    this.lines.push({ sequence: event.sequence, at: event.at, kind, job: event.job, text })
  }

  private readPromise (event: Event): void {
    const promise = event.promises?.find((candidate) => candidate.account === this.account)
    if (promise === undefined) return
    this.promise = promise
    this.say(event, StatementKind.Promised, `document ${event.number ?? 0}, by team ${event.team ?? ''}: ${promiseText(promise)}`)
  }

  private readHome (event: Event): void {
    const { home, reason, workers = [], masks = [], graceSeconds = 0 } = event
    if (home === undefined || event.account === undefined) return
    if (reason === Reason.HomeFound || reason === Reason.HomeMoved) {
      this.homes.set(home, { account: event.account, parts: partsOf(workers, masks), graceMilliseconds: graceSeconds * 1_000 })
    } else this.homes.delete(home)
    if (event.account !== this.account) return
    const since = this.missing.get(home)
    if (reason === Reason.HomeImpossible) this.missing.set(home, event.at)
    else this.missing.delete(home)
    if (since !== undefined && reason !== Reason.HomeImpossible) this.broken.push(`${home} had no place for ${seconds(event.at - since)}, from ${moment(since)}`)
    this.say(event, StatementKind.Home, homeText(home, reason, workers))
  }

  private readAccepted (event: Event): void {
    if (event.account !== this.account || event.job === undefined) return
    this.jobs.set(event.job, { job: event.job, acceptedAt: event.at, attempts: 0, startedAt: 0, endedAt: 0, state: JobState.Queued, finishes: 0 })
    this.waitingSince.set(event.job, event.at)
    const shape = event.shape === undefined ? '' : `, asks for ${event.shape.workers} x ${event.shape.accelerators} accelerators within one ${event.shape.within}`
    this.say(event, StatementKind.Accepted, `job ${event.job} accepted${shape}`)
  }

  private readPlaced (event: Event): void {
    const { job, workers = [], masks = [], home, borrowing } = event
    if (job === undefined) return
    this.placed.set(job, { account: event.account ?? '', parts: partsOf(workers, masks), graceMilliseconds: 0 })
    if (event.account !== this.account) return
    if (home !== undefined) this.onGuarantee++
    else if (borrowing === true) this.borrowed++
    const known = this.jobs.get(job)
    if (known !== undefined) known.attempts = event.attempt ?? known.attempts
    const waited = event.at - (this.waitingSince.get(job) ?? event.at)
    this.say(event, StatementKind.Placed, `job ${job} gets ${workers.join(', ')} after waiting ${seconds(waited)}: ${placeText(home, borrowing, event.reason)}`)
  }

  private readStarted (event: Event): void {
    const known = this.mine(event)
    if (known === undefined) return
    known.state = JobState.Running
    if (known.startedAt === 0) known.startedAt = event.at
    this.say(event, StatementKind.Started, `job ${known.job} attempt ${event.attempt ?? 0} may start on all its workers`)
  }

  private readStop (event: Event): void {
    if (event.job === undefined) return
    if (event.reason === Reason.Reclaimed) this.orderBack(event)
    if (this.mine(event) !== undefined) this.say(event, StatementKind.GivenBack, `job ${event.job} is stopped as a whole: ${stopText(event.reason)}`)
  }

  /** The places of this account that the stopped job had borrowed. */
  private orderBack (event: Event): void {
    const held = this.placed.get(event.job!)
    if (held === undefined) return
    for (const [home, place] of this.homes) {
      if (place.account !== this.account || !overlaps(place, held)) continue
      this.reclaims.push({ home, borrower: held.account, job: event.job!, orderedAt: event.at, givenBackAt: 0, promisedMilliseconds: place.graceMilliseconds })
    }
  }

  private readBack (event: Event): void {
    if (event.job === undefined) return
    this.giveBack(event)
    const known = this.mine(event)
    if (known === undefined) return
    known.state = JobState.Queued
    this.waitingSince.set(known.job, event.at)
    this.say(event, StatementKind.Waiting, `job ${known.job} waits again as a whole: ${String(event.reason)}`)
  }

  private giveBack (event: Event): void {
    this.placed.delete(event.job!)
    for (const [position, reclaim] of this.reclaims.entries()) {
      if (reclaim.job !== event.job || reclaim.givenBackAt !== 0) continue
      const took = event.at - reclaim.orderedAt
      this.reclaims[position] = { ...reclaim, givenBackAt: event.at }
      const text = `${reclaim.home} was given back by job ${reclaim.job} of ${reclaim.borrower} in ${seconds(took)}, promised within ${seconds(reclaim.promisedMilliseconds)}`
      this.say({ ...event, job: undefined }, StatementKind.Reclaimed, text)
      if (took > reclaim.promisedMilliseconds) this.broken.push(text)
    }
  }

  private readEnd (event: Event): void {
    if (event.job === undefined) return
    this.giveBack(event)
    const known = this.mine(event)
    if (known === undefined) return
    known.endedAt = event.at
    known.state = event.state ?? known.state
    known.verdict = event.verdict
    known.reason = event.reason
    if (event.state === JobState.Finished) known.finishes++
    this.say(event, StatementKind.Ended, endText(event, known))
  }

  private readRefused (event: Event): void {
    if (event.account !== this.account) return
    this.refused += event.count ?? 1
    this.say(event, StatementKind.Refused, `refused and not run: ${event.message ?? ''} (${String(event.reason)})`)
  }

  private mine (event: Event): JobAccount | undefined {
    return event.account === this.account && event.job !== undefined ? this.jobs.get(event.job) : undefined
  }
}

function partsOf (workers: readonly string[], masks: readonly number[]): Map<string, number> {
  return new Map(workers.map((worker, position) => [worker, masks[position] ?? 0]))
}

function overlaps (one: Place, other: Place): boolean {
  return [...one.parts].some(([worker, mask]) => (mask & (other.parts.get(worker) ?? 0)) !== 0)
}

function promiseText ({ open, limits, guarantees }: AccountPromise): string {
  if (!open) return 'the account is closed'
  const kept = guarantees.map(({ shape, count, graceSeconds }) =>
    `${count} of ${shape.workers} x ${shape.accelerators} adjacent accelerators within one ${shape.within}, given back within ${graceSeconds} s`)
  return `share ${limits?.share ?? 0}, at most ${limits?.runningAccelerators ?? 0} accelerators and ${limits?.queuedJobs ?? 0} waiting jobs; guaranteed: ${kept.join('; ') || 'nothing'}`
}

const homeTexts: { readonly [reason: string]: string } = {
  [Reason.HomeFound]: 'is kept ready on',
  [Reason.HomeMoved]: 'moved and is kept ready on',
  [Reason.HomeImpossible]: 'has no place in the present fleet',
  [Reason.HomeRemoved]: 'is no longer promised'
}

function homeText (home: string, reason: string | undefined, workers: readonly string[]): string {
  const placed = reason === Reason.HomeFound || reason === Reason.HomeMoved
  return `${home} ${homeTexts[reason ?? ''] ?? String(reason)}${placed ? ` ${workers.join(', ')}` : ''}`
}

function placeText (home: string | undefined, borrowing: boolean | undefined, reason: string | undefined): string {
  if (home !== undefined) return `its guarantee ${home}`
  return borrowing === true ? 'borrowed from a guarantee, to be given back when its owner asks' : String(reason)
}

const stopTexts: { readonly [reason: string]: string } = {
  [Reason.Reclaimed]: 'the owner of the borrowed place asks for it',
  [Reason.MadeRoomForUrgent]: 'urgent work needs the place',
  [Reason.MadeRoomForGang]: 'the oldest large job needs the place',
  [Reason.MemberLost]: 'one of its workers was lost',
  [Reason.WorkerLeaving]: 'one of its workers leaves'
}

function stopText (reason: string | undefined): string {
  return stopTexts[reason ?? ''] ?? String(reason)
}

const verdictTexts: { readonly [verdict in Verdict]: string } = {
  [Verdict.NotRun]: 'it was not run',
  [Verdict.MayHaveRun]: 'it may have run',
  [Verdict.Ran]: 'it ran'
}

function endText (event: Event, job: JobAccount): string {
  if (event.state === JobState.Finished) return `job ${job.job} finished: its whole answer is stored, ${seconds(event.at - job.acceptedAt)} after it was accepted`
  const verdict = event.verdict === undefined ? '' : `, ${verdictTexts[event.verdict]}`
  return `job ${job.job} ${String(event.state)}: ${String(event.reason)}${verdict}${event.message ? ` (${event.message})` : ''}`
}

function seconds (milliseconds: number): string {
  return `${(milliseconds / 1_000).toFixed(3)} s`
}

function moment (at: number): string {
  return new Date(at).toISOString()
}

/**
 * The account to which a job belongs.
 * @param lines - the lines of an export
 * @param job - identifier of the job
 * @returns the name of the account, nothing where the record does not know the job
 */
export function accountOfJob (lines: Iterable<string>, job: string): string | undefined {
  for (const line of lines) {
    const event = parseEvent(line)
    if (event?.job === job && event.account !== undefined) return event.account
  }
  return undefined
}

/**
 * Puts one line of a statement into text for a person.
 * @param line - the line
 * @returns time, sequence number and text
 */
export function lineOfStatement (line: StatementLine): string {
  const { at, sequence, text } = line
  return `${moment(at)}  ${String(sequence).padStart(8)}  ${text}`
}

/**
 * Puts a statement into lines for a person.
 * @param statement - the statement
 * @returns the text, one line for each thing that happened, then what it comes to
 */
export function statementLines (statement: AccountStatement): string[] {
  const { account, verification, promise, lines, totals, reclaims, broken } = statement
  const chain = verification.faults.length === 0
    ? `the record is whole from sequence ${verification.first} to ${verification.head.sequence}`
    : `THE RECORD IS NOT WHOLE: ${verification.faults.map((fault) => fault.text).join('; ')}`
  const returned = reclaims.filter((reclaim) => reclaim.givenBackAt > 0).map((reclaim) => reclaim.givenBackAt - reclaim.orderedAt)
  return [
    `Statement of account ${account}; ${chain}.`,
    ...lines.map(lineOfStatement),
    `Promised now: ${promise === undefined ? 'this record does not say' : promiseText(promise)}.`,
    `Jobs: ${totals.accepted} accepted, ${totals.finishedOnce} finished once, ${totals.finishedMoreThanOnce} finished more than once, ${totals.failedNotRun} failed and not run, ` +
      `${totals.failedMayHaveRun} failed and may have run, ${totals.cancelled} cancelled, ${totals.open} open. Refused and not run: ${totals.refused}.`,
    `Guarantee: used ${totals.placedOnGuarantee} times; reclaimed ${returned.length} times, at worst in ${seconds(Math.max(0, ...returned))}. Borrowed from others: ${totals.borrowed} times.`,
    broken.length === 0 ? 'Promises not kept: none found in this record.' : `Promises not kept: ${broken.join('; ')}.`
  ]
}
