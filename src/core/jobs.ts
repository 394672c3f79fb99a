import { createHash } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { blameFailure, clearBlame, isJobToBlame } from './blame'
import { Urgency, type JobSpecification } from './document'
import { heldMembers, memoryNeeded, type Draft } from './draft'
import { EffectKind } from './effect'
import { estimateKey, learnedMemoryOf } from './estimates'
import { keepsHomes, type HomeView } from './guarantees'
import { hasEnded, JobState, Reason, type Attempt, type Content, type Job } from './job'
import { holdable, memberFits } from './placement'
import { retryAt } from './retries'
import type { RecordEvent } from './record'
import {
  AttemptOutcome, TransactionKind, type AcceptJob, type AttemptKey, type CancelJobs, type EndAttempt, type EndJobs, type Expire,
  type FinishJob, type Refuse, type ReleaseJob, type ReserveJob, type StartJob, type StopJob
} from './transaction'
import { notRun, RefusalCode, Verdict, type Refusal } from './verdict'

/** Milliseconds before a job whose reservation was given back is placed again. */
const RELEASE_MILLISECONDS = 100
/** Milliseconds without a new worker after which a shape that no known worker holds is refused at once. */
const FLEET_SETTLED_MILLISECONDS = 5_000
/** How much more memory a job gets that needed more than it had. */
const MEMORY_GROWTH = 1.5
/** Milliseconds after which a refused caller may try again while a queue is full. */
const QUEUE_RETRY_MILLISECONDS = 1_000

type Outcome = Result<void, Refusal>

/**
 * Digest by which a resend of the same request is told from another one under the same identifier.
 * @param specification - what the caller asked for
 * @returns SHA-256 in hexadecimal
 */
export function specificationDigest (specification: JobSpecification): string {
  return createHash('sha256').update(JSON.stringify(specification)).digest('hex')
}

/**
 * Accepts a job, or finds that it is a resend of one already accepted.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function acceptJob (draft: Draft, transaction: AcceptJob): Outcome {
  const refusal = admit(draft, transaction.identifier, transaction.specification)
  if (refusal !== undefined) return refusal === 'known' ? ok(undefined) : err(refusal)
  queueJob(draft, transaction.identifier, transaction.specification, false)
  return ok(undefined)
}

/**
 * Adds a job to the queue without asking for limits, which the caller has checked.
 * @param draft - the change being made
 * @param identifier - names the job
 * @param specification - what is asked for
 * @param declared - written in the document rather than submitted
 */
export function queueJob (draft: Draft, identifier: string, specification: JobSpecification, declared: boolean): void {
  draft.setJob(newJob(draft, identifier, specification, declared))
  const { account, shape } = specification
  const { workers, accelerators, within } = shape
  draft.note({ kind: TransactionKind.AcceptJob, account, job: identifier, state: JobState.Queued, reason: declared ? Reason.Declared : Reason.Submitted, shape: { workers, accelerators, within } })
}

function newJob (draft: Draft, identifier: string, specification: JobSpecification, declared: boolean): Job {
  return {
    identifier,
    specification,
    digest: specificationDigest(specification),
    declared,
    state: JobState.Queued,
    acceptedAt: draft.at,
    queuedAt: draft.at,
    attempts: 0,
    notBefore: 0,
    failedOn: [],
    stops: 0,
    failures: 0,
    learnedMemory: learnedMemoryOf(draft.estimate(estimateKey(specification.account, specification.kind))),
    cancelRequested: false
  }
}

function admit (draft: Draft, identifier: string, specification: JobSpecification): Refusal | 'known' | undefined {
  const known = draft.job(identifier)
  if (known !== undefined) {
    return known.digest === specificationDigest(specification) && known.specification.account === specification.account
      ? 'known'
      : notRun(RefusalCode.IdentifierReused, `identifier ${identifier} already names another request`)
  }
  const { document } = draft.configuration
  const account = document.clientAccounts.find((candidate) => candidate.name === specification.account)
  if (account === undefined) return notRun(RefusalCode.UnknownAccount, `no client account ${specification.account}`)
  if (specification.deadline !== 0 && specification.deadline <= draft.at) return notRun(RefusalCode.DeadlinePassed, 'the deadline has passed')
  const accelerators = specification.shape.workers * specification.shape.accelerators
  if (accelerators > account.runningAccelerators) {
    return notRun(RefusalCode.OverLimit, `${accelerators} accelerators at once, ${account.name} may use ${account.runningAccelerators}`)
  }
  if (draft.at - draft.fleetGrewAt >= FLEET_SETTLED_MILLISECONDS && !holdable(draft.allWorkers(), newJob(draft, identifier, specification, false))) {
    return notRun(RefusalCode.ImpossibleShape, 'no known part of the fleet could hold this shape, even when empty')
  }
  if (draft.queuedOf(account.name) >= account.queuedJobs || draft.queuedCount() >= document.limits.queuedJobs) {
    return notRun(RefusalCode.QueueFull, `the queue of ${account.name} is full`, QUEUE_RETRY_MILLISECONDS)
  }
  return undefined
}

/**
 * Records the members chosen for a new attempt, after checking that each still fits.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function reserveJob (draft: Draft, transaction: ReserveJob): Outcome {
  const job = draft.job(transaction.job)
  if (job === undefined || job.state !== JobState.Queued || transaction.attempt !== job.attempts + 1) return stale(transaction)
  const { shape } = job.specification
  const distinct = new Set(transaction.members.map((member) => member.worker)).size
  if (transaction.members.length !== shape.workers || distinct !== shape.workers) return stale(transaction)
  for (const member of transaction.members) {
    const worker = draft.worker(member.worker)
    if (worker === undefined || !worker.present || worker.incarnation !== member.incarnation) return stale(transaction)
    if (!memberFits(job, worker, draft.workerUsage(member.worker), member.mask)) return stale(transaction)
  }
  if (!keepsHomes(viewOf(draft), job, transaction.members, transaction.home)) return stale(transaction)
  const attempt: Attempt = {
    number: transaction.attempt,
    members: transaction.members,
    reason: transaction.reason,
    reservedAt: draft.at,
    startedAt: 0,
    borrowing: transaction.borrowing,
    home: transaction.home,
    stoppingAt: 0,
    ended: []
  }
  draft.setJob({ ...job, state: JobState.Reserved, attempts: attempt.number, attempt })
  tellMembers(draft, job.identifier, attempt, EffectKind.Reserve)
  noteMove(draft, transaction.kind, job, JobState.Reserved, transaction.reason, attempt, {
    home: attempt.home,
    borrowing: attempt.borrowing || undefined,
    masks: attempt.members.map((member) => member.mask)
  })
  return ok(undefined)
}

function viewOf (draft: Draft): HomeView {
  return {
    homes: draft.homes,
    worker: (name) => draft.worker(name),
    job: (identifier) => draft.job(identifier),
    attempts: (worker) => draft.workerUsage(worker).attempts.keys(),
    holder: (home) => draft.holderOf(home)
  }
}

/**
 * Gives a reservation back before anything was started.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function releaseJob (draft: Draft, transaction: ReleaseJob): Outcome {
  const job = currentJob(draft, transaction, JobState.Reserved)
  if (job === undefined) return stale(transaction)
  release(draft, job, transaction.reason)
  return ok(undefined)
}

const madeRoomReasons: ReadonlySet<Reason> = new Set([Reason.Reclaimed, Reason.MadeRoomForUrgent, Reason.MadeRoomForGang])
/** Milliseconds that a job waits at least after it made room the second time; doubled with each further time. */
const PAUSE_BASE_MILLISECONDS = 1_000
const PAUSE_MOST_MILLISECONDS: { readonly [urgency in Urgency]: number } = {
  [Urgency.Urgent]: 2_000, [Urgency.Normal]: 300_000, [Urgency.Background]: 300_000
}

/** Work that makes room again and again waits longer each time, so that no two jobs take turns without either ending. */
function pauseAfter (job: Job, stops: number): number {
  if (stops < 2) return 0
  return Math.min(PAUSE_BASE_MILLISECONDS * 2 ** (stops - 2), PAUSE_MOST_MILLISECONDS[job.specification.urgency])
}

function release (draft: Draft, job: RunningJob, reason: Reason): void {
  tellMembers(draft, job.identifier, job.attempt, EffectKind.Release)
  const stops = job.stops + (madeRoomReasons.has(reason) ? 1 : 0)
  const notBefore = draft.at + Math.max(RELEASE_MILLISECONDS, pauseAfter(job, stops))
  draft.setJob({ ...job, state: JobState.Queued, attempt: undefined, stops, notBefore })
  noteMove(draft, TransactionKind.ReleaseJob, job, JobState.Queued, reason, job.attempt)
}

/**
 * Records the start; only then is any task started.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function startJob (draft: Draft, transaction: StartJob): Outcome {
  const job = currentJob(draft, transaction, JobState.Reserved)
  if (job === undefined) return stale(transaction)
  const attempt = { ...job.attempt, startedAt: draft.at }
  draft.setJob({ ...job, state: JobState.Running, attempt })
  tellMembers(draft, job.identifier, attempt, EffectKind.Start)
  noteMove(draft, transaction.kind, job, JobState.Running, Reason.AllMembersGranted, attempt)
  return ok(undefined)
}

/**
 * Stops a running attempt on every member.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function stopJob (draft: Draft, transaction: StopJob): Outcome {
  const job = currentJob(draft, transaction, JobState.Running)
  if (job === undefined) return stale(transaction)
  beginStop(draft, job, transaction.reason, transaction.grace, transaction.beneficiary)
  return ok(undefined)
}

/**
 * Stops what is left of an attempt on every member, as a whole.
 * @param draft - the change being made
 * @param job - the job
 * @param reason - why
 * @param grace - milliseconds that the members may take, 0 for the agent's own limit
 * @param beneficiary - the job for which room is made, if any
 */
export function beginStop (draft: Draft, job: RunningJob, reason: Reason, grace = 0, beneficiary?: string): void {
  if (job.state === JobState.Stopping) return
  const attempt = { ...job.attempt, stoppingAt: draft.at, stopReason: reason, stopGrace: grace }
  draft.setJob({ ...job, state: JobState.Stopping, attempt })
  for (const member of heldMembers(attempt)) tellMember(draft, job.identifier, attempt, EffectKind.Stop, member.worker)
  noteMove(draft, TransactionKind.StopJob, job, JobState.Stopping, reason, attempt, beneficiary === undefined ? {} : { message: `makes room for ${beneficiary}` })
}

/**
 * Takes one member out of an attempt on its agent's word.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function endAttempt (draft: Draft, transaction: EndAttempt): Outcome {
  draft.effect({ kind: EffectKind.Acknowledge, job: transaction.job, attempt: transaction.attempt, worker: transaction.worker })
  const job = draft.job(transaction.job)
  if (job === undefined || !isRunning(job) || job.attempt.number !== transaction.attempt) return ok(undefined)
  if (!heldMembers(job.attempt).some((member) => member.worker === transaction.worker)) return ok(undefined)
  endMember(draft, job, transaction.worker, transaction)
  return ok(undefined)
}

/** What is said of one member's end. */
export interface MemberEnd {
  readonly outcome: AttemptOutcome
  readonly verdict: Verdict
  readonly reason: Reason
  readonly usedMemory: number
}

/**
 * Takes one member out of an attempt; the attempt is over when the last one is out.
 * @param draft - the change being made
 * @param job - the job
 * @param worker - the member's worker
 * @param end - how it ended
 */
export function endMember (draft: Draft, job: RunningJob, worker: string, end: MemberEnd): void {
  if (job.state === JobState.Reserved) { release(draft, job, end.reason); return }
  const attempt: Attempt = { ...job.attempt, ended: [...job.attempt.ended, worker], mayHaveRun: job.attempt.mayHaveRun || end.verdict !== Verdict.NotRun }
  const next = hasEnded(job) ? { ...job, attempt } : countFailure(draft, { ...job, attempt }, worker, end)
  draft.setJob(next)
  if (heldMembers(attempt).length === 0) { concludeAttempt(draft, next, end.reason); return }
  if (!hasEnded(job)) beginStop(draft, next, end.reason)
}

/** A run that needed more memory is the job's own doing; any other failure may be the worker's. */
function countFailure (draft: Draft, job: RunningJob, worker: string, end: MemberEnd): RunningJob {
  if (end.outcome !== AttemptOutcome.Failed) return job
  const first = job.attempt.failed !== true
  const failures = job.failures + (first ? 1 : 0)
  const attempt = { ...job.attempt, failed: true }
  if (end.reason === Reason.OverMemory) {
    const learnedMemory = Math.max(job.learnedMemory, end.usedMemory, Math.ceil(memoryNeeded(job) * MEMORY_GROWTH))
    if (first) draft.learnMemory(estimateKey(job.specification.account, job.specification.kind), learnedMemory)
    return { ...job, attempt, failures, pendingMemory: Math.max(job.pendingMemory ?? 0, learnedMemory) }
  }
  const next = { ...job, attempt, failures, failedOn: job.failedOn.includes(worker) ? job.failedOn : [...job.failedOn, worker] }
  blameFailure(draft, next, worker)
  return next
}

/** All members are out: the job ends, or goes back to its queue as a whole. */
function concludeAttempt (draft: Draft, job: RunningJob, reason: Reason): void {
  const { attempt, ...before } = job
  const rest = attempt.mayHaveRun === true ? { ...before, mayHaveRun: true } : before
  if (hasEnded(job)) { draft.setJob({ ...rest }); return }
  const verdict = attempt.mayHaveRun === true ? Verdict.MayHaveRun : Verdict.NotRun
  const { attemptsPerJob } = draft.configuration.document.limits
  const cause = attempt.stopReason ?? reason
  if (job.cancelRequested) { end(draft, rest, JobState.Cancelled, verdict, cause, 'cancelled while running'); return }
  if (verdict !== Verdict.NotRun && !job.specification.idempotent) {
    const where = attempt.members.map((member) => member.worker).join(', ')
    end(draft, rest, JobState.Failed, verdict, Reason.MayHaveRun, `attempt ${attempt.number} may have run on ${where}: ${cause}`)
    return
  }
  if (isJobToBlame(draft, job)) {
    end(draft, rest, JobState.Failed, verdict, Reason.FailedOnDistinctWorkers, `failed on ${job.failedOn.join(', ')}`)
    return
  }
  if (job.failures >= attemptsPerJob) {
    end(draft, rest, JobState.Failed, verdict, Reason.AttemptsUsedUp, `${job.failures} attempts failed, the last ended with ${cause}`)
    return
  }
  const { pendingMemory, ...kept } = rest
  const stops = job.stops + (madeRoomReasons.has(cause) ? 1 : 0)
  const notBefore = attempt.failed === true ? retryAt(draft, job) : draft.at + (stops > job.stops ? pauseAfter(job, stops) : 0)
  draft.setJob({ ...kept, state: JobState.Queued, queuedAt: draft.at, notBefore, stops, learnedMemory: pendingMemory ?? job.learnedMemory })
  noteMove(draft, TransactionKind.EndAttempt, job, JobState.Queued, cause, attempt)
}

/**
 * Stores the whole answer of the lead member and stops the others.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function finishJob (draft: Draft, transaction: FinishJob): Outcome {
  draft.effect({ kind: EffectKind.Acknowledge, job: transaction.job, attempt: transaction.attempt, worker: transaction.worker })
  const job = draft.job(transaction.job)
  if (job === undefined || !isRunning(job) || hasEnded(job) || job.state === JobState.Reserved) return ok(undefined)
  if (job.attempt.number !== transaction.attempt || job.attempt.members[0]?.worker !== transaction.worker) return ok(undefined)
  const attempt = { ...job.attempt, ended: [...job.attempt.ended, transaction.worker] }
  const left = heldMembers(attempt)
  const { attempt: _, ...rest } = job
  end(draft, left.length > 0 ? { ...rest, attempt } : rest, JobState.Finished, Verdict.Ran, Reason.AnswerStored, '', transaction.answer)
  for (const member of left) tellMember(draft, job.identifier, attempt, EffectKind.Stop, member.worker)
  const { account, kind } = job.specification
  if (attempt.startedAt > 0) draft.learnRun(estimateKey(account, kind), (draft.at - attempt.startedAt) / 1_000)
  for (const member of attempt.members) clearBlame(draft, member.worker)
  return ok(undefined)
}

/**
 * Cancels many jobs in one entry.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function cancelJobs (draft: Draft, transaction: CancelJobs): Outcome {
  for (const identifier of transaction.jobs) {
    const job = draft.job(identifier)
    if (job === undefined || hasEnded(job)) continue
    if (transaction.account !== '' && job.specification.account !== transaction.account) continue
    cancelJob(draft, job, transaction.reason)
  }
  return ok(undefined)
}

/**
 * Cancels one job wherever it is in its life.
 * @param draft - the change being made
 * @param job - the job
 * @param reason - why
 */
export function cancelJob (draft: Draft, job: Job, reason: Reason): void {
  if (isRunning(job) && job.state !== JobState.Reserved) {
    const marked = { ...job, cancelRequested: true }
    draft.setJob(marked)
    beginStop(draft, marked, reason)
    return
  }
  if (isRunning(job)) tellMembers(draft, job.identifier, job.attempt, EffectKind.Release)
  const { attempt: _, ...rest } = job
  end(draft, rest, JobState.Cancelled, Verdict.NotRun, reason, job.mayHaveRun === true ? `cancelled while it waited after attempt ${job.attempts}` : 'cancelled before it ran')
}

/**
 * Ends queued jobs that will not run.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function endJobs (draft: Draft, transaction: EndJobs): Outcome {
  for (const identifier of transaction.jobs) {
    const job = draft.job(identifier)
    if (job?.state === JobState.Queued) end(draft, job, JobState.Failed, Verdict.NotRun, transaction.reason, transaction.message)
  }
  return ok(undefined)
}

/**
 * Records counted refusals.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function refuse (draft: Draft, transaction: Refuse): Outcome {
  const { account, code, count, message } = transaction
  draft.note({ kind: transaction.kind, account, reason: code, verdict: Verdict.NotRun, count, message: `${count} refused: ${message}` })
  return ok(undefined)
}

/**
 * Forgets ended jobs past their retention.
 * @param draft - the change being made
 * @param _transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function expire (draft: Draft, _transaction: Expire): Outcome {
  const { answerSeconds, endedJobsKept } = draft.configuration.document.limits
  const ended = [...draft.allJobs()].filter((job) => job.end !== undefined && job.attempt === undefined)
  ended.sort((one, other) => one.end!.at - other.end!.at || (one.identifier < other.identifier ? -1 : 1))
  const surplus = Math.max(0, ended.length - endedJobsKept)
  ended.forEach((job, position) => {
    if (position < surplus || job.end!.at + answerSeconds * 1_000 < draft.at) draft.forget(job.identifier)
  })
  return ok(undefined)
}

/** A job with an attempt that still holds something. */
export type RunningJob = Job & { readonly attempt: Attempt }

/**
 * Tells whether a job holds anything on any worker.
 * @param job - the job
 * @returns true with an attempt
 */
export function isRunning (job: Job): job is RunningJob {
  return job.attempt !== undefined
}

function currentJob (draft: Draft, key: AttemptKey, state: JobState): RunningJob | undefined {
  const job = draft.job(key.job)
  return job !== undefined && isRunning(job) && job.state === state && job.attempt.number === key.attempt ? job : undefined
}

/** Not run is said only where no attempt at all may have run. */
function end (draft: Draft, job: Job, state: JobState, lastVerdict: Verdict, reason: Reason, message: string, answer?: Content): void {
  const verdict = lastVerdict === Verdict.NotRun && job.mayHaveRun === true ? Verdict.MayHaveRun : lastVerdict
  draft.setJob({ ...job, state, end: { verdict, reason, message, at: draft.at, answer } })
  if (job.declared) draft.markSpent(job.identifier)
  draft.note({
    kind: state === JobState.Finished ? TransactionKind.FinishJob : TransactionKind.EndJobs,
    account: job.specification.account,
    job: job.identifier,
    attempt: job.attempts,
    state,
    reason,
    verdict,
    message
  })
}

type PlaceNote = Pick<RecordEvent, 'home' | 'borrowing' | 'masks' | 'message'>

function noteMove (draft: Draft, kind: TransactionKind, job: Job, state: JobState, reason: Reason, attempt: Attempt, place: PlaceNote = {}): void {
  draft.note({
    ...place,
    kind,
    account: job.specification.account,
    job: job.identifier,
    attempt: attempt.number,
    state,
    reason,
    workers: attempt.members.map((member) => member.worker)
  })
}

type Command = EffectKind.Reserve | EffectKind.Release | EffectKind.Start | EffectKind.Stop

function tellMembers (draft: Draft, job: string, attempt: Attempt, kind: Command): void {
  for (const member of attempt.members) tellMember(draft, job, attempt, kind, member.worker)
}

function tellMember (draft: Draft, job: string, attempt: Attempt, kind: Command, worker: string): void {
  draft.effect({ kind, job, attempt: attempt.number, worker })
}

function stale (key: AttemptKey): Outcome {
  return err(notRun(RefusalCode.Conflict, `attempt ${key.attempt} of ${key.job} is not in that state`))
}
