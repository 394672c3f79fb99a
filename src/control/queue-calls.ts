/** The leader's handlers of requests to queues and of the numbered queue document. */
import { err, ok, type Result } from 'neverthrow'
import {
  checkQueueDocument, checkStepJob, countPendingJobs, earlyCancellationRefusal, isCancelledEarly, jobOfPath, LEADER_RETRY_MILLISECONDS, mayAccess, notRunRefusal, objectiveMilliseconds, queueCaller, queueOfJob, RefusalCode, resolveQueue, resolveRoute, StepTransactionKind, Verdict,
  type AdmissionControl, type Refusal, type Route, type State, type StepJob, type StepSpecification, type Submission, type SubmissionRefusal, type SubmitSteps, type Transaction
} from '../core/index'
import * as wire from '../wire/index'
import { toWireRefusal } from './convert'
import type { Precondition } from './machine'

/** What the handlers need of their control host. */
export interface QueueContext {
  readonly now: () => number
  readonly leads: () => boolean
  readonly leader: () => string
  readonly committed: () => State
  /** The state with all proposed entries applied. */
  readonly head: () => State
  readonly admission: AdmissionControl
  /** Counts a job that was not accepted, by reason. */
  readonly countSubmissionRefusal: (reason: string) => void
  readonly submit: (transaction: Transaction, precondition?: Precondition) => Promise<Result<void, Refusal>>
  /** Confirms leadership with a quorum; false where no quorum confirms it. */
  readonly confirm: () => Promise<boolean>
  readonly log: (event: string, fields: object) => void
}

type QueueResult = Result<Partial<wire.QueueReply>, Refusal>
type Handler = (context: QueueContext, route: Route, request: wire.QueueRequest) => Promise<QueueResult>

/** Limit of the steps of an accepted job that its log line describes. */
const MAX_LOGGED_STEPS = 4

/** Valid job identifiers: path segments that need no escaping. */
const JOB_IDENTIFIER = /^[0-9A-Za-z_-]{1,64}$/

const handlers: { readonly [operation in wire.QueueOperation]?: Handler } = {
  [wire.QueueOperation.SUBMIT]: submit,
  [wire.QueueOperation.SHOW]: show,
  [wire.QueueOperation.CANCEL]: cancel
}

/**
 * Handles one request to a queue.
 * @param context - the control host
 * @param request - the request
 * @returns the reply, which may hold a refusal
 */
export async function handleQueueRequest (context: QueueContext, request: wire.QueueRequest): Promise<wire.QueueReply> {
  const answer = await routeRequest(context, request)
  const fields = { job: jobOfPath(request.path), operation: wire.operationNames[request.operation] ?? String(request.operation), document: context.committed().steps.document?.number ?? 0 }
  if (answer.isOk()) {
    if (request.operation !== wire.QueueOperation.SHOW) context.log('queue-answered', { ...fields, ...answer.value })
    return wire.QueueReply.fromPartial(answer.value)
  }
  context.log('queue-refused', { ...fields, code: answer.error.code, verdict: answer.error.verdict })
  return wire.QueueReply.fromPartial({ refusal: toWireRefusal(answer.error, context.leader()) })
}

async function routeRequest (context: QueueContext, request: wire.QueueRequest): Promise<QueueResult> {
  const handler = handlers[request.operation]
  if (handler === undefined) return err(notRunRefusal(RefusalCode.BadRequest, `unknown queue operation ${request.operation}`))
  if (!context.leads()) return err(notLeaderRefusal)
  const route = resolveRequestRoute(context.committed(), request)
  if (route.isOk()) return await handler(context, route.value, request)
  return await confirmed(context, route.error)
}

function resolveRequestRoute ({ steps }: State, { host, path, keyDigest, queue, account }: wire.QueueRequest): Result<Route, Refusal> {
  return queue === '' ? resolveRoute(steps, { host, path, keyDigest }) : resolveQueue(steps, { queue, account, job: path })
}

/** Needs no confirmation of leadership: the commit proves that the route was resolved with the document in force. */
async function submit (context: QueueContext, { queue, account, jobIdentifier }: Route, { jobJson }: wire.QueueRequest): Promise<QueueResult> {
  if (!JOB_IDENTIFIER.test(jobIdentifier)) return err(notRunRefusal(RefusalCode.BadRequest, 'the job identifier in the path is not valid'))
  const checked = checkStepJob(JSON.parse(jobJson))
  if (checked.isErr()) return err(notRunRefusal(RefusalCode.BadRequest, 'the job is not valid', 0, checked.error))
  const submission = { identifier: jobIdentifier, account, queue, specification: checked.value }
  const refused = await confirmedRefusal(context, submission)
  if (refused !== undefined) return err(refused)
  const isNew = !context.head().steps.jobs.has(jobIdentifier)
  const outcome = await propose(context, submission)
  if (outcome.isErr()) return err(outcome.error)
  if (isNew) context.admission.recordAcceptance(submission)
  logAcceptance(context, jobIdentifier)
  return ok({ state: stateOf(context, jobIdentifier) })
}

/** Refusals that depend on the other entries of the head. */
const refusalsByHead: ReadonlySet<RefusalCode> = new Set([RefusalCode.QueueFull, RefusalCode.Cancelled])

/** Proposes a job; once more where other submissions took the room first, but there is room again or the job was accepted meanwhile. */
async function propose (context: QueueContext, submission: Submission): Promise<Result<void, Refusal>> {
  const { identifier, account, queue, specification } = submission
  const transaction = (): SubmitSteps => ({
    kind: StepTransactionKind.SubmitSteps, at: context.now(), identifier, account, queue: queue.name, specification, limits: context.admission.limits
  })
  const submit = async (): Promise<Result<void, Refusal>> => await context.submit(transaction(), (head) => earlyCancellation(context, head, submission))
  const outcome = await submit()
  if (outcome.isOk() || !refusalsByHead.has(outcome.error.code)) return outcome
  const refused = await confirmedRefusal(context, submission)
  if (refused !== undefined) return err(refused)
  const second = await submit()
  if (second.isOk() || !refusalsByHead.has(second.error.code)) return second
  return await context.confirm() ? second : err(notLeaderRefusal)
}

/**
 * Returns why a job is not accepted. A quorum confirms leadership first: only then does the head have every entry that can be
 * in the log, so that "not run" is true.
 */
async function confirmedRefusal (context: QueueContext, submission: Submission): Promise<Refusal | undefined> {
  if (submissionRefusal(context, submission) === undefined) return undefined
  if (!await context.confirm()) return notLeaderRefusal
  const refused = submissionRefusal(context, submission)
  if (refused !== undefined) recordRefusal(context, submission, refused)
  return refused?.refusal
}

function submissionRefusal (context: QueueContext, submission: Submission): SubmissionRefusal | undefined {
  const { admission, head, now } = context
  const refusal = earlyCancellation(context, head(), submission)
  if (refusal === undefined) return admission.refusalOf(head().steps, submission, now())
  return { refusal, reason: 'cancelled-before', inputs: { retryAfterMilliseconds: refusal.retryAfter } }
}

/** Returns the refusal of a job that was cancelled before; undefined for one that was not, or that was accepted all the same. */
function earlyCancellation ({ now }: QueueContext, { steps }: State, { identifier, account, queue }: Submission): Refusal | undefined {
  return steps.jobs.has(identifier) ? undefined : earlyCancellationRefusal(steps, { identifier, account, queue: queue.name }, now())
}

function recordRefusal (context: QueueContext, { identifier, account, queue }: Submission, { reason, inputs }: SubmissionRefusal): void {
  context.countSubmissionRefusal(reason)
  context.log('submission-refused', { job: identifier, account, queue: queue.name, reason, ...inputs, document: context.head().steps.document?.number })
}

function logAcceptance (context: QueueContext, identifier: string): void {
  const { steps: state } = context.committed()
  const job = state.jobs.get(identifier)
  if (job === undefined) return
  const { account, specification: { steps } } = job
  const queue = queueOfJob(state, job)
  context.log('job-accepted', {
    job: identifier,
    account,
    queue: queue.name,
    priority: queue.priority,
    objectiveMilliseconds: Math.round(objectiveMilliseconds(job, queue)),
    slackFactor: queue.slackFactor,
    targetLatencyMilliseconds: queue.targetLatencyMilliseconds,
    steps: steps.slice(0, MAX_LOGGED_STEPS).map(placementFieldsOf)
  })
}

/** The fields that decide where a step can run, short enough for a log line. */
function placementFieldsOf ({ tasks, accelerators, processors, gang, sameRack, checkpoints, mostPerWorker, label, dataRack, after }: StepSpecification): object {
  return {
    tasks, accelerators, processors, ...gang && { gang }, ...sameRack && { sameRack }, ...checkpoints && { checkpoints }, ...mostPerWorker > 0 && { mostPerWorker }, ...label !== '' && { label }, ...dataRack !== '' && { dataRack }, ...after.length > 0 && { after }
  }
}

async function show (context: QueueContext, route: Route): Promise<QueueResult> {
  if (!await context.confirm()) return err(notLeaderRefusal)
  if (route.jobIdentifier === '') return ok({ pending: countPendingJobs(context.committed().steps, route.queue.name) })
  const job = jobOf(context, route)
  return job === undefined ? err(unknownJobRefusal(route.jobIdentifier)) : ok({ state: job.state })
}

/**
 * Cancels a job. A submission of it may still be on its way, so the cancelling of an unknown job is recorded before it is
 * acknowledged; one that is recorded already needs no further entry.
 */
async function cancel (context: QueueContext, route: Route): Promise<QueueResult> {
  const { jobIdentifier: identifier } = route
  const caller = queueCaller(route)
  if (!JOB_IDENTIFIER.test(identifier)) return await confirmed(context, unknownJobRefusal(identifier))
  if (jobOf(context, route) === undefined && isCancelledEarly(context.committed().steps, identifier, caller, context.now())) {
    return await confirmed(context, unknownJobRefusal(identifier))
  }
  const outcome = await context.submit({ kind: StepTransactionKind.CancelSteps, at: context.now(), identifier, caller })
  if (outcome.isErr()) return await cancellingRefused(context, identifier, outcome.error)
  const job = jobOf(context, route)
  if (job !== undefined) return ok({ state: job.state })
  context.log('early-cancellation', { job: identifier, account: caller.account, access: caller.access, queue: caller.queue })
  return err(unknownJobRefusal(identifier))
}

/** A job that the caller may not cancel is reported like one that does not exist. */
async function cancellingRefused (context: QueueContext, identifier: string, refusal: Refusal): Promise<QueueResult> {
  if (refusal.verdict !== Verdict.NotRun) return err(refusal)
  return await confirmed(context, refusal.code === RefusalCode.NotFound ? unknownJobRefusal(identifier) : refusal)
}

/** Returns a refusal that is based on the log, once a quorum has confirmed that no other leader can have added to it. */
async function confirmed (context: QueueContext, refusal: Refusal): Promise<QueueResult> {
  return err(await context.confirm() ? refusal : notLeaderRefusal)
}

/** A job that the caller may not see is treated like one that does not exist. */
function jobOf (context: QueueContext, route: Route): StepJob | undefined {
  const job = context.committed().steps.jobs.get(route.jobIdentifier)
  return job !== undefined && mayAccess(queueCaller(route), job) ? job : undefined
}

function stateOf (context: QueueContext, identifier: string): string {
  return context.committed().steps.jobs.get(identifier)?.state ?? ''
}

function unknownJobRefusal (identifier: string): Refusal {
  return notRunRefusal(RefusalCode.NotFound, `no job ${identifier}: it was never accepted, or its retention is over`)
}

const notLeaderRefusal = notRunRefusal(RefusalCode.NotLeader, 'this control host does not lead', LEADER_RETRY_MILLISECONDS)

/**
 * Submits a numbered queue document; of all that were accepted, the one with the highest number is in force.
 * @param context - the control host
 * @param request - the document
 * @returns the number that is in force afterwards, or the refusal
 */
export async function replaceDocument (context: QueueContext, request: wire.DocumentRequest): Promise<wire.DocumentReply> {
  const { number, documentJson, source } = request
  if (!context.leads()) return documentRefusal(context, notLeaderRefusal)
  const checked = checkQueueDocument(JSON.parse(documentJson))
  if (checked.isErr()) {
    return documentRefusal(context, notRunRefusal(RefusalCode.InvalidDocument, 'the document is not valid', 0, checked.error))
  }
  const outcome = await context.submit({
    kind: StepTransactionKind.ReplaceDocument, at: context.now(), number, documentJson: JSON.stringify(checked.value), source
  })
  if (outcome.isErr()) return documentRefusal(context, outcome.error)
  const inForce = context.committed().steps.document?.number ?? 0
  context.log('document-accepted', { number, inForce })
  return wire.DocumentReply.fromPartial({ number: inForce })
}

/**
 * Reads the queue document in force.
 * @param context - the control host
 * @returns its number and source text, or the refusal
 */
export async function readDocument (context: QueueContext): Promise<wire.DocumentReply> {
  if (!context.leads() || !await context.confirm()) return documentRefusal(context, notLeaderRefusal)
  const { document } = context.committed().steps
  if (document === undefined) return documentRefusal(context, notRunRefusal(RefusalCode.Unavailable, 'no document is in force yet', LEADER_RETRY_MILLISECONDS))
  return wire.DocumentReply.fromPartial({ number: document.number, source: document.source })
}

function documentRefusal (context: QueueContext, refusal: Refusal): wire.DocumentReply {
  context.log('document-refused', { code: refusal.code, problems: refusal.problems?.slice(0, 3) })
  return wire.DocumentReply.fromPartial({ refusal: toWireRefusal(refusal, context.leader()) })
}
