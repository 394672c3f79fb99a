import { createHash } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { attributeFailure, clearFailures, isJobAtFault } from './failure-attribution'
import { Urgency, type JobSpecification } from './document'
import { heldMembers, memoryNeeded, type Draft } from './draft'
import { EffectKind } from './effect'
import { estimateKey, learnedMemoryOf } from './estimates'
import { preservesHomes, type HomeView } from './guarantees'
import { hasEnded, JobState, Reason, type Attempt, type Content, type Job } from './job'
import { fitsKnownFleet, memberFits } from './placement'
import { retryAt } from './retries'
import type { RecordEvent } from './record'
import { isEvacuated } from './steps/evacuations'
import {
  AttemptOutcome, TransactionKind, type AcceptJob, type AttemptKey, type CancelJobs, type EndAttempt, type EndJobs, type Expire,
  type FinishJob, type Refuse, type ReleaseJob, type ReserveJob, type StartJob, type StopJob
} from './transaction'
import { notRunRefusal, RefusalCode, Verdict, type Refusal } from './verdict'

/** Minimum time between the release of a reservation and the next placement of the job. */
const RELEASE_BACKOFF_MILLISECONDS = 100
/** Time without a new worker after which jobs that the known fleet cannot hold are refused. */
const FLEET_SETTLED_MILLISECONDS = 5_000
/** Factor by which the memory of a job grows after it exceeded its memory. */
const MEMORY_GROWTH_FACTOR = 1.5
/** Retry hint for callers that are refused because a queue is full. */
const QUEUE_RETRY_MILLISECONDS = 1_000

type ApplyResult = Result<void, Refusal>

/**
 * Digest that distinguishes a resend from a different request with the same identifier.
 * @param specification - the requested job
 * @returns SHA-256 in hexadecimal
 */
export function specificationDigest (specification: JobSpecification): string {
  return createHash('sha256').update(JSON.stringify(specification)).digest('hex')
}

/**
 * Accepts a job. A resend of an accepted job changes nothing.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function acceptJob (draft: Draft, transaction: AcceptJob): ApplyResult {
  const refusal = checkAdmission(draft, transaction.identifier, transaction.specification)
  if (refusal !== undefined) return refusal === 'known' ? ok(undefined) : err(refusal)
  queueJob(draft, transaction.identifier, transaction.specification, false)
  return ok(undefined)
}

/**
 * Adds a job to the queue. The caller has checked the limits.
 * @param draft - the change being made
 * @param identifier - identifier of the job
 * @param specification - the job
 * @param declared - declared in the document rather than submitted
 */
export function queueJob (draft: Draft, identifier: string, specification: JobSpecification, declared: boolean): void {
  draft.setJob(newJob(draft, identifier, specification, declared))
  const { account, shape } = specification
  const { workers, accelerators, within } = shape
  draft.recordEvent({ kind: TransactionKind.AcceptJob, account, job: identifier, state: JobState.Queued, reason: declared ? Reason.Declared : Reason.Submitted, shape: { workers, accelerators, within } })
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

function checkAdmission (draft: Draft, identifier: string, specification: JobSpecification): Refusal | 'known' | undefined {
  const known = draft.job(identifier)
  if (known !== undefined) {
    return known.digest === specificationDigest(specification) && known.specification.account === specification.account
      ? 'known'
      : notRunRefusal(RefusalCode.IdentifierReused, `identifier ${identifier} already names another request`)
  }
  const { document } = draft.configuration
  const account = document.clientAccounts.find((candidate) => candidate.name === specification.account)
  if (account === undefined) return notRunRefusal(RefusalCode.UnknownAccount, `no client account ${specification.account}`)
  if (specification.deadline !== 0 && specification.deadline <= draft.at) return notRunRefusal(RefusalCode.DeadlinePassed, 'the deadline has passed')
  const accelerators = specification.shape.workers * specification.shape.accelerators
  if (accelerators > account.runningAccelerators) {
    return notRunRefusal(RefusalCode.OverLimit, `the job needs ${accelerators} accelerators at once, account ${account.name} may use at most ${account.runningAccelerators}`)
  }
  if (draft.at - draft.fleetGrewAt >= FLEET_SETTLED_MILLISECONDS && !fitsKnownFleet(draft.allWorkers(), newJob(draft, identifier, specification, false))) {
    return notRunRefusal(RefusalCode.ImpossibleShape, 'no known part of the fleet could hold this shape, even when empty')
  }
  if (draft.queuedCountOf(account.name) >= account.queuedJobs || draft.queuedCount() >= document.limits.queuedJobs) {
    return notRunRefusal(RefusalCode.QueueFull, `the queue of ${account.name} is full`, QUEUE_RETRY_MILLISECONDS)
  }
  return undefined
}

/**
 * Records the members of a new attempt, after checking that each still fits.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function reserveJob (draft: Draft, transaction: ReserveJob): ApplyResult {
  const job = draft.job(transaction.job)
  if (job === undefined || job.state !== JobState.Queued || transaction.attempt !== job.attempts + 1) return staleAttempt(transaction)
  const { shape } = job.specification
  const distinct = new Set(transaction.members.map((member) => member.worker)).size
  if (transaction.members.length !== shape.workers || distinct !== shape.workers) return staleAttempt(transaction)
  for (const member of transaction.members) {
    const worker = draft.worker(member.worker)
    if (worker === undefined || !worker.present || worker.incarnation !== member.incarnation || isEvacuated(draft.steps, worker.dataCentre)) return staleAttempt(transaction)
    if (!memberFits(job, worker, draft.workerUsage(member.worker), member.mask)) return staleAttempt(transaction)
  }
  if (!preservesHomes(homeViewOf(draft), job, transaction.members, transaction.home)) return staleAttempt(transaction)
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
  commandMembers(draft, job.identifier, attempt, EffectKind.Reserve)
  recordTransition(draft, transaction.kind, job, JobState.Reserved, transaction.reason, attempt, {
    home: attempt.home,
    borrowing: attempt.borrowing || undefined,
    masks: attempt.members.map((member) => member.mask)
  })
  return ok(undefined)
}

function homeViewOf (draft: Draft): HomeView {
  return {
    homes: draft.homes,
    worker: (name) => draft.worker(name),
    job: (identifier) => draft.job(identifier),
    attempts: (worker) => draft.workerUsage(worker).attempts.keys(),
    holder: (home) => draft.homeHolder(home)
  }
}

/**
 * Releases a reservation before the attempt was started.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function releaseJob (draft: Draft, transaction: ReleaseJob): ApplyResult {
  const job = jobInState(draft, transaction, JobState.Reserved)
  if (job === undefined) return staleAttempt(transaction)
  release(draft, job, transaction.reason)
  return ok(undefined)
}

const preemptionReasons: ReadonlySet<Reason> = new Set([Reason.Reclaimed, Reason.MadeRoomForUrgent, Reason.MadeRoomForGang])
/** Minimum wait after a job was preempted for the second time; doubled with each further preemption. */
const BASE_PREEMPTION_BACKOFF_MILLISECONDS = 1_000
const MAX_PREEMPTION_BACKOFF_MILLISECONDS: { readonly [urgency in Urgency]: number } = {
  [Urgency.Urgent]: 2_000, [Urgency.Normal]: 300_000, [Urgency.Background]: 300_000
}

/** Repeatedly preempted work waits longer each time, so that two jobs cannot preempt each other in turn without either finishing. */
function preemptionBackoff (job: Job, stops: number): number {
  if (stops < 2) return 0
  return Math.min(BASE_PREEMPTION_BACKOFF_MILLISECONDS * 2 ** (stops - 2), MAX_PREEMPTION_BACKOFF_MILLISECONDS[job.specification.urgency])
}

function release (draft: Draft, job: RunningJob, reason: Reason): void {
  commandMembers(draft, job.identifier, job.attempt, EffectKind.Release)
  const stops = job.stops + (preemptionReasons.has(reason) ? 1 : 0)
  const notBefore = draft.at + Math.max(RELEASE_BACKOFF_MILLISECONDS, preemptionBackoff(job, stops))
  draft.setJob({ ...job, state: JobState.Queued, attempt: undefined, stops, notBefore })
  recordTransition(draft, TransactionKind.ReleaseJob, job, JobState.Queued, reason, job.attempt)
}

/**
 * Records the start of an attempt. Tasks are started only after this entry.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function startJob (draft: Draft, transaction: StartJob): ApplyResult {
  const job = jobInState(draft, transaction, JobState.Reserved)
  if (job === undefined || job.attempt.members.some(({ worker }) => isEvacuated(draft.steps, draft.worker(worker)?.dataCentre ?? ''))) return staleAttempt(transaction)
  const attempt = { ...job.attempt, startedAt: draft.at }
  draft.setJob({ ...job, state: JobState.Running, attempt })
  commandMembers(draft, job.identifier, attempt, EffectKind.Start)
  recordTransition(draft, transaction.kind, job, JobState.Running, Reason.AllMembersGranted, attempt)
  return ok(undefined)
}

/**
 * Stops a running attempt on every member.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function stopJob (draft: Draft, transaction: StopJob): ApplyResult {
  const job = jobInState(draft, transaction, JobState.Running)
  if (job === undefined) return staleAttempt(transaction)
  beginStop(draft, job, transaction.reason, transaction.grace, transaction.beneficiary)
  return ok(undefined)
}

/**
 * Stops an attempt on all members that still run.
 * @param draft - the change being made
 * @param job - the job
 * @param reason - the reason
 * @param grace - time allowed to stop in milliseconds, 0 for the agent's default
 * @param beneficiary - the job in whose favour it is stopped, if any
 */
export function beginStop (draft: Draft, job: RunningJob, reason: Reason, grace = 0, beneficiary?: string): void {
  if (job.state === JobState.Stopping) return
  const attempt = { ...job.attempt, stoppingAt: draft.at, stopReason: reason, stopGrace: grace }
  draft.setJob({ ...job, state: JobState.Stopping, attempt })
  for (const member of heldMembers(attempt)) commandMember(draft, job.identifier, attempt, EffectKind.Stop, member.worker)
  recordTransition(draft, TransactionKind.StopJob, job, JobState.Stopping, reason, attempt, beneficiary === undefined ? {} : { message: `makes room for ${beneficiary}` })
}

/**
 * Records the end of one member, as reported by its agent.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function endAttempt (draft: Draft, transaction: EndAttempt): ApplyResult {
  draft.addEffect({ kind: EffectKind.Acknowledge, job: transaction.job, attempt: transaction.attempt, worker: transaction.worker })
  const job = draft.job(transaction.job)
  if (job === undefined || !isRunning(job) || job.attempt.number !== transaction.attempt) return ok(undefined)
  if (!heldMembers(job.attempt).some((member) => member.worker === transaction.worker)) return ok(undefined)
  endMember(draft, job, transaction.worker, transaction)
  return ok(undefined)
}

/** How one member of an attempt ended. */
export interface MemberEnd {
  readonly outcome: AttemptOutcome
  readonly verdict: Verdict
  readonly reason: Reason
  readonly usedMemory: number
}

/**
 * Ends one member of an attempt. The attempt is over once all members have ended.
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

/** Exceeding the memory is the job's own fault; any other failure may be the worker's. */
function countFailure (draft: Draft, job: RunningJob, worker: string, end: MemberEnd): RunningJob {
  if (end.outcome !== AttemptOutcome.Failed) return job
  const first = job.attempt.failed !== true
  const failures = job.failures + (first ? 1 : 0)
  const attempt = { ...job.attempt, failed: true }
  if (end.reason === Reason.OverMemory) {
    const learnedMemory = Math.max(job.learnedMemory, end.usedMemory, Math.ceil(memoryNeeded(job) * MEMORY_GROWTH_FACTOR))
    if (first) draft.learnMemory(estimateKey(job.specification.account, job.specification.kind), learnedMemory)
    return { ...job, attempt, failures, pendingMemory: Math.max(job.pendingMemory ?? 0, learnedMemory) }
  }
  const next = { ...job, attempt, failures, failedOn: job.failedOn.includes(worker) ? job.failedOn : [...job.failedOn, worker] }
  attributeFailure(draft, next, worker)
  return next
}

/** All members have ended: the job ends or is queued again. */
function concludeAttempt (draft: Draft, job: RunningJob, reason: Reason): void {
  const { attempt, ...before } = job
  const rest = attempt.mayHaveRun === true ? { ...before, mayHaveRun: true } : before
  if (hasEnded(job)) { draft.setJob({ ...rest }); return }
  const verdict = attempt.mayHaveRun === true ? Verdict.MayHaveRun : Verdict.NotRun
  const { attemptsPerJob } = draft.configuration.document.limits
  const cause = attempt.stopReason ?? reason
  if (job.cancelRequested) { endJob(draft, rest, JobState.Cancelled, verdict, cause, 'cancelled while running'); return }
  if (verdict !== Verdict.NotRun && !job.specification.idempotent) {
    const where = attempt.members.map((member) => member.worker).join(', ')
    endJob(draft, rest, JobState.Failed, verdict, Reason.MayHaveRun, `attempt ${attempt.number} may have run on ${where}: ${cause}`)
    return
  }
  if (isJobAtFault(draft, job)) {
    endJob(draft, rest, JobState.Failed, verdict, Reason.FailedOnDistinctWorkers, `failed on ${job.failedOn.join(', ')}`)
    return
  }
  if (job.failures >= attemptsPerJob) {
    endJob(draft, rest, JobState.Failed, verdict, Reason.AttemptsUsedUp, `${job.failures} attempts failed, the last ended with ${cause}`)
    return
  }
  const { pendingMemory, ...kept } = rest
  const stops = job.stops + (preemptionReasons.has(cause) ? 1 : 0)
  const notBefore = attempt.failed === true ? retryAt(draft, job) : draft.at + (stops > job.stops ? preemptionBackoff(job, stops) : 0)
  draft.setJob({ ...kept, state: JobState.Queued, queuedAt: draft.at, notBefore, stops, learnedMemory: pendingMemory ?? job.learnedMemory })
  recordTransition(draft, TransactionKind.EndAttempt, job, JobState.Queued, cause, attempt)
}

/**
 * Stores the answer of the lead member and stops the other members.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function finishJob (draft: Draft, transaction: FinishJob): ApplyResult {
  draft.addEffect({ kind: EffectKind.Acknowledge, job: transaction.job, attempt: transaction.attempt, worker: transaction.worker })
  const job = draft.job(transaction.job)
  if (job === undefined || !isRunning(job) || hasEnded(job) || job.state === JobState.Reserved) return ok(undefined)
  if (job.attempt.number !== transaction.attempt || job.attempt.members[0]?.worker !== transaction.worker) return ok(undefined)
  const attempt = { ...job.attempt, ended: [...job.attempt.ended, transaction.worker] }
  const remaining = heldMembers(attempt)
  const { attempt: _, ...rest } = job
  endJob(draft, remaining.length > 0 ? { ...rest, attempt } : rest, JobState.Finished, Verdict.Ran, Reason.AnswerStored, '', transaction.answer)
  for (const member of remaining) commandMember(draft, job.identifier, attempt, EffectKind.Stop, member.worker)
  const { account, kind } = job.specification
  if (attempt.startedAt > 0) draft.learnRun(estimateKey(account, kind), (draft.at - attempt.startedAt) / 1_000)
  for (const member of attempt.members) clearFailures(draft, member.worker)
  return ok(undefined)
}

/**
 * Cancels a list of jobs in one entry.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function cancelJobs (draft: Draft, transaction: CancelJobs): ApplyResult {
  for (const identifier of transaction.jobs) {
    const job = draft.job(identifier)
    if (job === undefined || hasEnded(job)) continue
    if (transaction.account !== '' && job.specification.account !== transaction.account) continue
    cancelJob(draft, job, transaction.reason)
  }
  return ok(undefined)
}

/**
 * Cancels a job in any state.
 * @param draft - the change being made
 * @param job - the job
 * @param reason - the reason
 */
export function cancelJob (draft: Draft, job: Job, reason: Reason): void {
  if (isRunning(job) && job.state !== JobState.Reserved) {
    const marked = { ...job, cancelRequested: true }
    draft.setJob(marked)
    beginStop(draft, marked, reason)
    return
  }
  if (isRunning(job)) commandMembers(draft, job.identifier, job.attempt, EffectKind.Release)
  const { attempt: _, ...rest } = job
  endJob(draft, rest, JobState.Cancelled, Verdict.NotRun, reason, job.mayHaveRun === true ? `cancelled while it waited after attempt ${job.attempts}` : 'cancelled before it ran')
}

/**
 * Fails queued jobs that cannot run.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function endJobs (draft: Draft, transaction: EndJobs): ApplyResult {
  for (const identifier of transaction.jobs) {
    const job = draft.job(identifier)
    if (job?.state === JobState.Queued) endJob(draft, job, JobState.Failed, Verdict.NotRun, transaction.reason, transaction.message)
  }
  return ok(undefined)
}

/**
 * Records a number of refusals of the same kind.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function refuse (draft: Draft, transaction: Refuse): ApplyResult {
  const { account, code, count, message } = transaction
  draft.recordEvent({ kind: transaction.kind, account, reason: code, verdict: Verdict.NotRun, count, message: `${count} refused: ${message}` })
  return ok(undefined)
}

/**
 * Removes ended jobs whose retention is over.
 * @param draft - the change being made
 * @param _transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function expire (draft: Draft, _transaction: Expire): ApplyResult {
  const { answerSeconds, endedJobsKept } = draft.configuration.document.limits
  const ended = [...draft.allJobs()].filter((job) => job.end !== undefined && job.attempt === undefined)
  ended.sort((one, other) => one.end!.at - other.end!.at || (one.identifier < other.identifier ? -1 : 1))
  const surplus = Math.max(0, ended.length - endedJobsKept)
  ended.forEach((job, position) => {
    if (position < surplus || job.end!.at + answerSeconds * 1_000 < draft.at) draft.deleteJob(job.identifier)
  })
  return ok(undefined)
}

/** A job with an attempt that still uses resources. */
export type RunningJob = Job & { readonly attempt: Attempt }

/**
 * Tells whether a job uses resources on any worker.
 * @param job - the job
 * @returns true if it has an attempt
 */
export function isRunning (job: Job): job is RunningJob {
  return job.attempt !== undefined
}

function jobInState (draft: Draft, key: AttemptKey, state: JobState): RunningJob | undefined {
  const job = draft.job(key.job)
  return job !== undefined && isRunning(job) && job.state === state && job.attempt.number === key.attempt ? job : undefined
}

/** The verdict is not-run only if no attempt of the job may have run. */
function endJob (draft: Draft, job: Job, state: JobState, lastVerdict: Verdict, reason: Reason, message: string, answer?: Content): void {
  const verdict = lastVerdict === Verdict.NotRun && job.mayHaveRun === true ? Verdict.MayHaveRun : lastVerdict
  draft.setJob({ ...job, state, end: { verdict, reason, message, at: draft.at, answer } })
  if (job.declared) draft.markSpent(job.identifier)
  draft.recordEvent({
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

type TransitionDetails = Pick<RecordEvent, 'home' | 'borrowing' | 'masks' | 'message'>

function recordTransition (draft: Draft, kind: TransactionKind, job: Job, state: JobState, reason: Reason, attempt: Attempt, details: TransitionDetails = {}): void {
  draft.recordEvent({
    ...details,
    kind,
    account: job.specification.account,
    job: job.identifier,
    attempt: attempt.number,
    state,
    reason,
    workers: attempt.members.map((member) => member.worker)
  })
}

type MemberCommand = EffectKind.Reserve | EffectKind.Release | EffectKind.Start | EffectKind.Stop

function commandMembers (draft: Draft, job: string, attempt: Attempt, kind: MemberCommand): void {
  for (const member of attempt.members) commandMember(draft, job, attempt, kind, member.worker)
}

function commandMember (draft: Draft, job: string, attempt: Attempt, kind: MemberCommand, worker: string): void {
  draft.addEffect({ kind, job, attempt: attempt.number, worker })
}

function staleAttempt (key: AttemptKey): ApplyResult {
  return err(notRunRefusal(RefusalCode.Conflict, `attempt ${key.attempt} of job ${key.job} does not match the current state`))
}
