/** What the log does with jobs of steps as a whole: accept, cancel, end, forget. */
import { err, ok, type Result } from 'neverthrow'
import type { Draft } from '../draft'
import { EffectKind } from '../effect'
import type { AcceleratorGuarantee } from '../record'
import { notRun, RefusalCode, type Refusal } from '../verdict'
import { checkQueueDocument, type Queue, type QueueAccount, type QueueDocument } from './document'
import { StepJobState, stepJobEnded, StopReason, type Gang, type StepJob, type StepState } from './model'
import { firstStepAccelerators, gangsOf } from './specification'
import { StepTransactionKind, type CancelSteps, type ReplaceDocument, type SubmitSteps } from './transactions'

type Outcome = Result<void, Refusal>

/** Time for which the state of an ended job can be read, in milliseconds: longer than any deployment asks for. */
const RETENTION_MILLISECONDS = 300_000

/**
 * Takes a whole document; one whose number is not the highest changes nothing.
 * @param draft - the change under way
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function replaceDocument (draft: Draft, transaction: ReplaceDocument): Outcome {
  const { number, documentJson, source } = transaction
  if (number <= (draft.steps.document?.number ?? 0)) return ok(undefined)
  const checked = checkQueueDocument(JSON.parse(documentJson))
  if (checked.isErr()) return err(notRun(RefusalCode.InvalidDocument, 'the document is not valid', 0, checked.error))
  const before = draft.steps.document?.document.accounts ?? []
  draft.steps = { ...draft.steps, document: { number, document: checked.value, source } }
  const acceleratorGuarantees = changedGuarantees(before, checked.value.accounts)
  draft.note({ kind: StepTransactionKind.ReplaceDocument, number, ...acceleratorGuarantees.length > 0 ? { acceleratorGuarantees } : {} })
  draft.effect({ kind: EffectKind.DocumentReplaced, number })
  return ok(undefined)
}

function changedGuarantees (before: readonly QueueAccount[], after: readonly QueueAccount[]): AcceleratorGuarantee[] {
  const promised = new Map(before.map(({ name, guaranteedAccelerators }) => [name, guaranteedAccelerators]))
  const changed = after.filter(({ name, guaranteedAccelerators }) => (promised.get(name) ?? 0) !== guaranteedAccelerators)
  const kept = new Set(after.map(({ name }) => name))
  const removed = before.filter(({ name, guaranteedAccelerators }) => !kept.has(name) && guaranteedAccelerators > 0)
  return [
    ...changed.map(({ name, guaranteedAccelerators }) => ({ account: name, accelerators: guaranteedAccelerators })),
    ...removed.map(({ name }) => ({ account: name, accelerators: 0 }))
  ]
}

/**
 * Accepts a job once; the same identifier again is the same job.
 * @param draft - the change under way
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function submitSteps (draft: Draft, transaction: SubmitSteps): Outcome {
  const { identifier, account, queue, specification } = transaction
  if (draft.steps.jobs.has(identifier)) return ok(undefined)
  const found = draft.steps.document?.document.queues.find((candidate) => candidate.name === queue)
  if (found === undefined) return err(notRun(RefusalCode.UnknownQueue, `there is no queue ${queue}`))
  setStepJob(draft, {
    identifier,
    account,
    queue: found,
    specification,
    state: StepJobState.Queued,
    acceptedAt: draft.at,
    endedAt: 0,
    started: false,
    gangs: specification.steps.map(gangsOf)
  })
  draft.note({ kind: StepTransactionKind.SubmitSteps, account, job: identifier, state: StepJobState.Queued, queue, accelerators: firstStepAccelerators(specification) })
  return ok(undefined)
}

/**
 * Cancels a job; one that has ended stays as it is.
 * @param draft - the change under way
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function cancelSteps (draft: Draft, transaction: CancelSteps): Outcome {
  const { identifier } = transaction
  const job = draft.steps.jobs.get(identifier)
  if (job === undefined) return err(notRun(RefusalCode.NotFound, `no job ${identifier}`))
  if (!stepJobEnded(job)) endStepJob(draft, job, StepJobState.Cancelled)
  return ok(undefined)
}

/**
 * Ends a job and stops what still runs of it.
 * @param draft - the change under way
 * @param job - the job as it stands
 * @param state - its end state
 */
export function endStepJob (draft: Draft, job: StepJob, state: StepJobState): void {
  const reason = state === StepJobState.Cancelled ? StopReason.Cancelled : StopReason.JobFailed
  const gangs = job.gangs.map((step) => step.map((gang) => stoppedGang(draft, gang, reason)))
  setStepJob(draft, { ...job, state, endedAt: draft.at, gangs })
  draft.note({ kind: StepTransactionKind.EndRuns, account: job.account, job: job.identifier, state })
  draft.effect({ kind: EffectKind.StepJobEnded, job: job.identifier })
}

/**
 * Marks a gang's run as being stopped and tells the agents of its members.
 * @param draft - the change under way
 * @param gang - the gang
 * @param reason - why it is stopped; an earlier reason stays
 * @returns the gang after
 */
export function stoppedGang (draft: Draft, gang: Gang, reason: StopReason): Gang {
  const { run } = gang
  if (run === undefined || run.stopping !== undefined) return gang
  for (const member of run.members) {
    if (!member.ended) draft.effect({ kind: EffectKind.LifeChanged, incarnation: member.incarnation })
  }
  return { ...gang, run: { ...run, stopping: reason } }
}

/**
 * Puts a job in place of its former self.
 * @param draft - the change under way
 * @param job - the job after
 */
export function setStepJob (draft: Draft, job: StepJob): void {
  const { jobs, open } = draft.steps
  const isOpen = !stepJobEnded(job) || job.gangs.some((step) => step.some((gang) => gang.run !== undefined))
  draft.steps = {
    ...draft.steps,
    jobs: jobs.set(job.identifier, job),
    open: isOpen ? open.add(job.identifier) : open.delete(job.identifier)
  }
}

/**
 * Forgets jobs whose retention is over.
 * @param draft - the change under way
 */
export function expireStepJobs (draft: Draft): void {
  const { jobs, open } = draft.steps
  const kept = jobs.filter((job) => open.has(job.identifier) || job.endedAt + RETENTION_MILLISECONDS > draft.at)
  if (kept.size < jobs.size) draft.steps = { ...draft.steps, jobs: kept }
}

/**
 * The queue of a job under the document in force; as it was at acceptance where the document names it no more.
 * @param state - the jobs of steps
 * @param job - the job
 * @returns the queue
 */
export function queueOfJob (state: StepState, job: StepJob): Queue {
  const document = state.document?.document
  return document === undefined ? job.queue : queuesByName(document).get(job.queue.name) ?? job.queue
}

/** A document never changes, and a round of decisions asks for the queue of each job. */
const indexes = new WeakMap<QueueDocument, ReadonlyMap<string, Queue>>()

function queuesByName (document: QueueDocument): ReadonlyMap<string, Queue> {
  const known = indexes.get(document)
  if (known !== undefined) return known
  const index = new Map(document.queues.map((queue) => [queue.name, queue]))
  indexes.set(document, index)
  return index
}
