/** Log entries that concern a whole step job (accept, cancel, end, expire), and replacement of the queue document. */
import { err, ok, type Result } from 'neverthrow'
import type { Draft } from '../draft'
import { EffectKind } from '../effect'
import type { AcceleratorGuarantee } from '../record'
import { notRunRefusal, RefusalCode, Verdict, type Refusal } from '../verdict'
import { limitRefusal, sharingAccounts } from './admission/admission'
import { MIN_TURN_AWAY_MILLISECONDS } from './admission/retry-times'
import { findExceededLimit } from './admission/waiting-limits'
import { submittedSize, updateWaitingWork } from './admission/waiting-work'
import { recordEarlyCancellation } from './early-cancellations'
import { checkQueueDocument, type Queue, type QueueAccount, type QueueDocument } from './document'
import { RETENTION_MILLISECONDS, StepJobState, stepJobEnded, type JobEndReason, StopReason, type Gang, type StepJob, type StepState } from './model'
import { mayAccess } from './routing'
import { initialAccelerators, initialGangs } from './specification'
import { StepTransactionKind, type CancelSteps, type ReplaceDocument, type SubmitSteps } from './transactions'

type Outcome = Result<void, Refusal>

/**
 * Replaces the queue document. A document whose number is not higher than the current one has no effect.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function replaceDocument (draft: Draft, transaction: ReplaceDocument): Outcome {
  const { number, documentJson, source } = transaction
  if (number <= (draft.steps.document?.number ?? 0)) return ok(undefined)
  const checked = checkQueueDocument(JSON.parse(documentJson))
  if (checked.isErr()) return err(notRunRefusal(RefusalCode.InvalidDocument, 'the document is not valid', 0, checked.error))
  const before = draft.steps.document?.document.accounts ?? []
  draft.steps = { ...draft.steps, document: { number, document: checked.value, source } }
  const acceleratorGuarantees = changedGuarantees(before, checked.value.accounts)
  draft.recordEvent({ kind: StepTransactionKind.ReplaceDocument, number, ...acceleratorGuarantees.length > 0 ? { acceleratorGuarantees } : {} })
  draft.addEffect({ kind: EffectKind.DocumentReplaced, number })
  return ok(undefined)
}

function changedGuarantees (before: readonly QueueAccount[], after: readonly QueueAccount[]): AcceleratorGuarantee[] {
  const previous = new Map(before.map(({ name, guaranteedAccelerators }) => [name, guaranteedAccelerators]))
  const changed = after.filter(({ name, guaranteedAccelerators }) => (previous.get(name) ?? 0) !== guaranteedAccelerators)
  const kept = new Set(after.map(({ name }) => name))
  const removed = before.filter(({ name, guaranteedAccelerators }) => !kept.has(name) && guaranteedAccelerators > 0)
  return [
    ...changed.map(({ name, guaranteedAccelerators }) => ({ account: name, accelerators: guaranteedAccelerators })),
    ...removed.map(({ name }) => ({ account: name, accelerators: 0 }))
  ]
}

/**
 * Accepts a job. Submitting the same identifier again has no effect, whatever waits meanwhile. The limits of waiting work are
 * those of the entry, so that every control host comes to the same result; a leader of an earlier version gives none.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function submitSteps (draft: Draft, transaction: SubmitSteps): Outcome {
  const { identifier, account, queue, specification, limits } = transaction
  if (draft.steps.jobs.has(identifier)) return ok(undefined)
  const found = draft.steps.document?.document.queues.find((candidate) => candidate.name === queue)
  if (found === undefined) return err(notRunRefusal(RefusalCode.UnknownQueue, `there is no queue ${queue}`))
  const submitted = { account, queue, size: submittedSize(specification) }
  const exceeded = limits === undefined ? undefined : findExceededLimit(draft.steps.waitingWork, submitted, limits, sharingAccounts(draft.steps))
  if (exceeded !== undefined) return err(limitRefusal(exceeded, MIN_TURN_AWAY_MILLISECONDS))
  setStepJob(draft, {
    identifier,
    account,
    queue: found,
    specification,
    state: StepJobState.Queued,
    acceptedAt: draft.at,
    endedAt: 0,
    started: false,
    gangs: specification.steps.map(initialGangs)
  })
  draft.recordEvent({ kind: StepTransactionKind.SubmitSteps, account, job: identifier, state: StepJobState.Queued, queue, accelerators: initialAccelerators(specification) })
  return ok(undefined)
}

/**
 * Cancels a job. Cancelling a job that has ended has no effect. One that is not known is noted, and the leader refuses it if
 * it is submitted later.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function cancelSteps (draft: Draft, transaction: CancelSteps): Outcome {
  const { identifier, caller } = transaction
  const job = draft.steps.jobs.get(identifier)
  if (job === undefined && caller !== undefined) return recordEarlyCancellation(draft, identifier, caller)
  if (job === undefined || (caller !== undefined && !mayAccess(caller, job))) return err(notRunRefusal(RefusalCode.NotFound, `no job ${identifier}`))
  if (!stepJobEnded(job)) endStepJob(draft, job, StepJobState.Cancelled)
  return ok(undefined)
}

/**
 * Ends a job and stops the runs it still has.
 * @param draft - the draft being modified
 * @param job - the current job
 * @param state - its final state
 * @param endReason - why it failed, where its attempts are not the reason
 */
export function endStepJob (draft: Draft, job: StepJob, state: StepJobState, endReason?: JobEndReason): void {
  const reason = state === StepJobState.Cancelled ? StopReason.Cancelled : StopReason.JobFailed
  const gangs = job.gangs.map((step) => step.map((gang) => markGangStopping(draft, gang, reason)))
  setStepJob(draft, { ...job, state, endedAt: draft.at, gangs, ...endReason !== undefined && { endReason } })
  draft.recordEvent({ kind: StepTransactionKind.EndRuns, account: job.account, job: job.identifier, state, ...endReason !== undefined && { reason: endReason, verdict: Verdict.MayHaveRun } })
  draft.addEffect({ kind: EffectKind.StepJobEnded, job: job.identifier })
}

/**
 * Marks a gang's run as stopping and notifies the agents of its members.
 * @param draft - the draft being modified
 * @param gang - the gang
 * @param reason - why it is stopped; ignored where the run is already stopping
 * @returns the updated gang
 */
export function markGangStopping (draft: Draft, gang: Gang, reason: StopReason): Gang {
  const { run } = gang
  if (run === undefined || run.stopping !== undefined) return gang
  for (const member of run.members) {
    if (!member.ended) draft.addEffect({ kind: EffectKind.IncarnationChanged, incarnation: member.incarnation })
  }
  return { ...gang, run: { ...run, stopping: reason } }
}

/**
 * Inserts or replaces a job and updates the set of open jobs and the index of waiting work.
 * @param draft - the draft being modified
 * @param job - the updated job
 */
export function setStepJob (draft: Draft, job: StepJob): void {
  const { jobs, open, waitingWork } = draft.steps
  const isOpen = !stepJobEnded(job) || job.gangs.some((step) => step.some((gang) => gang.run !== undefined))
  draft.steps = {
    ...draft.steps,
    jobs: jobs.set(job.identifier, job),
    open: isOpen ? open.add(job.identifier) : open.delete(job.identifier),
    waitingWork: updateWaitingWork(waitingWork, jobs.get(job.identifier), job)
  }
}

/**
 * Removes ended jobs whose retention time has passed.
 * @param draft - the draft being modified
 */
export function expireStepJobs (draft: Draft): void {
  const { jobs, open } = draft.steps
  const kept = jobs.filter((job) => open.has(job.identifier) || job.endedAt + RETENTION_MILLISECONDS > draft.at)
  if (kept.size < jobs.size) draft.steps = { ...draft.steps, jobs: kept }
}

/**
 * Looks up the queue of a job in the document in force.
 * @param state - state of the step jobs
 * @param job - the job
 * @returns the queue; as it was when the job was accepted, where the document no longer contains it
 */
export function queueOfJob (state: StepState, job: StepJob): Queue {
  const document = state.document?.document
  return document === undefined ? job.queue : queuesByName(document).get(job.queue.name) ?? job.queue
}

/** Queues by name for each document, cached because each scheduling round looks up the queue of every job. Documents are immutable. */
const queueIndexes = new WeakMap<QueueDocument, ReadonlyMap<string, Queue>>()

function queuesByName (document: QueueDocument): ReadonlyMap<string, Queue> {
  const known = queueIndexes.get(document)
  if (known !== undefined) return known
  const index = new Map(document.queues.map((queue) => [queue.name, queue]))
  queueIndexes.set(document, index)
  return index
}
