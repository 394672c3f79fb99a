/** Requests of callers to queues, and the numbered document, at the leader. */
import { err, ok, type Result } from 'neverthrow'
import {
  checkQueueDocument, checkStepJob, jobOfPath, notRun, pendingJobs, RefusalCode, resolveQueue, resolveRoute, StepTransactionKind,
  type Refusal, type Route, type State, type StepJob, type StepSpecification, type Transaction
} from '../core/index'
import * as wire from '../wire/index'
import { toWireRefusal } from './convert'

/** What the calls need of their control host. */
export interface QueuePorts {
  readonly now: () => number
  readonly leads: () => boolean
  readonly leader: () => string
  readonly committed: () => State
  readonly submit: (transaction: Transaction) => Promise<Result<void, Refusal>>
  /** Confirms leadership with a quorum; false where that cannot be had. */
  readonly confirm: () => Promise<boolean>
  readonly log: (event: string, fields: object) => void
}

type Answer = Result<Partial<wire.QueueReply>, Refusal>
type Handler = (ports: QueuePorts, route: Route, request: wire.QueueRequest) => Promise<Answer>

/** Milliseconds after which a caller may ask again while leadership moves. */
const LEADER_RETRY_MILLISECONDS = 200

/** Steps of an accepted job that its log line tells of. */
const LOGGED_STEPS = 4

/** What a job may be called: a part of a path that needs no escapes. */
const JOB_IDENTIFIER = /^[0-9A-Za-z_-]{1,64}$/

const handlers: { readonly [operation in wire.QueueOperation]?: Handler } = {
  [wire.QueueOperation.SUBMIT]: submit,
  [wire.QueueOperation.SHOW]: show,
  [wire.QueueOperation.CANCEL]: cancel
}

/**
 * Answers one request to a queue.
 * @param ports - the control host
 * @param request - the request
 * @returns the reply, or the refusal in it
 */
export async function answerQueue (ports: QueuePorts, request: wire.QueueRequest): Promise<wire.QueueReply> {
  const answer = await answerRequest(ports, request)
  const fields = { job: jobOfPath(request.path), operation: wire.operationWords[request.operation] ?? String(request.operation), document: ports.committed().steps.document?.number ?? 0 }
  if (answer.isOk()) {
    if (request.operation !== wire.QueueOperation.SHOW) ports.log('queue-answered', { ...fields, ...answer.value })
    return wire.QueueReply.fromPartial(answer.value)
  }
  ports.log('queue-refused', { ...fields, code: answer.error.code, verdict: answer.error.verdict })
  return wire.QueueReply.fromPartial({ refusal: toWireRefusal(answer.error, ports.leader()) })
}

async function answerRequest (ports: QueuePorts, request: wire.QueueRequest): Promise<Answer> {
  const handler = handlers[request.operation]
  if (handler === undefined) return err(notRun(RefusalCode.BadRequest, 'the operation is not known'))
  if (!ports.leads()) return err(notLeading)
  const route = routeOf(ports.committed(), request)
  if (route.isOk()) return await handler(ports, route.value, request)
  return await ports.confirm() ? err(route.error) : err(notLeading)
}

function routeOf ({ steps }: State, { host, path, keyDigest, queue, account }: wire.QueueRequest): Result<Route, Refusal> {
  return queue === '' ? resolveRoute(steps, { host, path, keyDigest }) : resolveQueue(steps, { queue, account, job: path })
}

/** The commit proves that the route was resolved by the document in force. */
async function submit (ports: QueuePorts, { queue, account, rest }: Route, { jobJson }: wire.QueueRequest): Promise<Answer> {
  if (!JOB_IDENTIFIER.test(rest)) return err(notRun(RefusalCode.BadRequest, 'the path names no job'))
  const checked = checkStepJob(JSON.parse(jobJson))
  if (checked.isErr()) return err(notRun(RefusalCode.BadRequest, 'the job is not valid', 0, checked.error))
  const outcome = await ports.submit({
    kind: StepTransactionKind.SubmitSteps, at: ports.now(), identifier: rest, account, queue: queue.name, specification: checked.value
  })
  if (outcome.isOk()) ports.log('job-accepted', { job: rest, account, queue: queue.name, steps: checked.value.steps.slice(0, LOGGED_STEPS).map(shapeOf) })
  return outcome.map(() => ({ state: stateOf(ports, rest) }))
}

/** What decides where a step can run, short enough for a log line. */
function shapeOf ({ tasks, accelerators, processors, gang, sameRack, checkpoints, mostPerWorker, label, dataRack, after }: StepSpecification): object {
  return {
    tasks, accelerators, processors, ...gang && { gang }, ...sameRack && { sameRack }, ...checkpoints && { checkpoints }, ...mostPerWorker > 0 && { mostPerWorker }, ...label !== '' && { label }, ...dataRack !== '' && { dataRack }, ...after.length > 0 && { after }
  }
}

async function show (ports: QueuePorts, route: Route): Promise<Answer> {
  if (!await ports.confirm()) return err(notLeading)
  if (route.rest === '') return ok({ pending: pendingJobs(ports.committed().steps, route.queue.name) })
  const job = jobOf(ports, route)
  return job === undefined ? err(noJob(route.rest)) : ok({ state: job.state })
}

async function cancel (ports: QueuePorts, route: Route): Promise<Answer> {
  if (jobOf(ports, route) === undefined) return await ports.confirm() ? err(noJob(route.rest)) : err(notLeading)
  const outcome = await ports.submit({ kind: StepTransactionKind.CancelSteps, at: ports.now(), identifier: route.rest })
  return outcome.map(() => ({ state: stateOf(ports, route.rest) }))
}

/** An account sees its own jobs only; a public queue knows no accounts, and operators see all. */
function jobOf (ports: QueuePorts, { everyAccount, account, rest }: Route): StepJob | undefined {
  const job = ports.committed().steps.jobs.get(rest)
  return job !== undefined && (everyAccount || job.account === account) ? job : undefined
}

function stateOf (ports: QueuePorts, identifier: string): string {
  return ports.committed().steps.jobs.get(identifier)?.state ?? ''
}

function noJob (identifier: string): Refusal {
  return notRun(RefusalCode.NotFound, `no job ${identifier}: it was never accepted, or its retention is over`)
}

const notLeading = notRun(RefusalCode.NotLeader, 'this control host does not lead', LEADER_RETRY_MILLISECONDS)

/**
 * Puts a numbered document in force.
 * @param ports - the control host
 * @param request - the document
 * @returns the number in force afterwards, or the refusal
 */
export async function replaceDocument (ports: QueuePorts, request: wire.DocumentRequest): Promise<wire.DocumentReply> {
  const { number, documentJson, source } = request
  if (!ports.leads()) return refusedDocument(ports, notLeading)
  const checked = checkQueueDocument(JSON.parse(documentJson))
  if (checked.isErr()) {
    return refusedDocument(ports, notRun(RefusalCode.InvalidDocument, 'the document is not valid', 0, checked.error))
  }
  const outcome = await ports.submit({
    kind: StepTransactionKind.ReplaceDocument, at: ports.now(), number, documentJson: JSON.stringify(checked.value), source
  })
  if (outcome.isErr()) return refusedDocument(ports, outcome.error)
  const inForce = ports.committed().steps.document?.number ?? 0
  ports.log('document-accepted', { number, inForce })
  return wire.DocumentReply.fromPartial({ number: inForce })
}

/**
 * Reads the document in force.
 * @param ports - the control host
 * @returns number and text, or the refusal
 */
export async function readDocument (ports: QueuePorts): Promise<wire.DocumentReply> {
  if (!ports.leads() || !await ports.confirm()) return refusedDocument(ports, notLeading)
  const { document } = ports.committed().steps
  if (document === undefined) return refusedDocument(ports, notRun(RefusalCode.Unavailable, 'no document is in force yet', LEADER_RETRY_MILLISECONDS))
  return wire.DocumentReply.fromPartial({ number: document.number, source: document.source })
}

function refusedDocument (ports: QueuePorts, refusal: Refusal): wire.DocumentReply {
  ports.log('document-refused', { code: refusal.code, problems: refusal.problems?.slice(0, 3) })
  return wire.DocumentReply.fromPartial({ refusal: toWireRefusal(refusal, ports.leader()) })
}
