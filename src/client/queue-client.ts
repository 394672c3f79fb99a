/** Carries requests to queues, and the numbered document, to the control leader. */
import { createHash } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { jobOfPath } from '../core/steps/routing'
import type { QueueDocument, StepJobSpecification, StepJobState } from '../core/steps/index'
import type { Refusal } from '../core/verdict'
import type { LogFields } from '../logging'
import { ControlService, operationWords, QueueOperation, type QueueReply, type QueueRequest } from '../wire/index'
import { ConfirmedCalls, type ConfirmedLimits } from './confirmed-calls'
import { CallKind, type Leader } from './leader'
import { RefusalLog } from './refusal-log'
import { readRefusal } from './refusals'

export { QueueOperation }

interface CallBase {
  readonly operation: QueueOperation
  /** The job that is handed in. */
  readonly job?: StepJobSpecification
  /** How long the caller waits, in milliseconds. */
  readonly patienceMilliseconds: number
}

/** One request of a caller, by the address of the queue. */
export interface QueueCall extends CallBase {
  readonly host: string
  readonly path: string
  /** The caller's key, empty without one. */
  readonly key: string
}

/** One request of a caller whose account is known, by the name of the queue. */
export interface NamedQueueCall extends CallBase {
  readonly queue: string
  /** Empty for an operator. */
  readonly account: string
  /** Empty for the queue itself. */
  readonly identifier: string
}

/** What a queue answers. */
export interface JobAnswer {
  /** Empty where the path names a queue. */
  readonly state: StepJobState | ''
  /** Accepted jobs of the queue of which nothing has started. */
  readonly pending: number
}

/** The document in force. */
export interface DocumentAnswer {
  readonly number: number
  readonly source: string
}

/** Longest time of one try, in milliseconds: a commit takes a few disk syncs. */
const TRY_MILLISECONDS = 700
/** Longest search for a leader, in milliseconds: an election ends within it, or the caller is told when to come back. */
const FIND_MILLISECONDS = 900
/** Longest time to learn what became of a request, in milliseconds. */
const SETTLE_MILLISECONDS = 2_400
/** Part of the caller's patience that is left for the answer to reach it. */
const ANSWER_SHARE = 0.1

const kindOf: { readonly [operation in QueueOperation]: CallKind } = {
  [QueueOperation.QUEUE_OPERATION_UNSPECIFIED]: CallKind.Once,
  [QueueOperation.SUBMIT]: CallKind.Repeatable,
  [QueueOperation.SHOW]: CallKind.Read,
  [QueueOperation.CANCEL]: CallKind.Repeatable
}

/** Asks the leader, wherever it is. */
export class QueueClient {
  private readonly calls: ConfirmedCalls
  private readonly refusals: RefusalLog

  private constructor (private readonly leader: Leader) {
    this.calls = ConfirmedCalls.create(leader)
    this.refusals = RefusalLog.create(leader.logger)
  }

  /**
   * Makes the client.
   * @param leader - the search for the leader
   * @returns the client
   */
  static create (leader: Leader): QueueClient {
    return new QueueClient(leader)
  }

  /**
   * Carries one request.
   * @param call - the request
   * @returns the answer, or a refusal with its verdict
   */
  async ask (call: QueueCall): Promise<Result<JobAnswer, Refusal>> {
    const { host, path, key } = call
    return await this.send(call, { host, path, keyDigest: digestOf(key), queue: '', account: '' })
  }

  /**
   * Carries one request to a queue that is named.
   * @param call - the request
   * @returns the answer, or a refusal with its verdict
   */
  async askNamed (call: NamedQueueCall): Promise<Result<JobAnswer, Refusal>> {
    const { queue, account, identifier } = call
    return await this.send(call, { host: '', path: identifier, keyDigest: '', queue, account })
  }

  private async send ({ operation, job, patienceMilliseconds }: CallBase, place: Omit<QueueRequest, 'operation' | 'jobJson'>): Promise<Result<JobAnswer, Refusal>> {
    const request: QueueRequest = { operation, jobJson: job === undefined ? '' : JSON.stringify(job), ...place }
    const reply = await this.calls.call(ControlService.queue, request, kindOf[operation], limitsFor(patienceMilliseconds))
    if (reply.isErr()) this.refused({ job: jobOfPath(place.path), operation: operationWords[operation] }, reply.error)
    return reply.andThen(answerOf)
  }

  /**
   * Puts a document in force; the highest number stays.
   * @param number - its number
   * @param document - what it says
   * @param source - the text in which it was sent
   * @returns nothing once it, or a higher number, is in force; or a refusal with its verdict
   */
  async replaceDocument (number: number, document: QueueDocument, source: string): Promise<Result<void, Refusal>> {
    const request = { number, documentJson: JSON.stringify(document), source }
    const reply = await this.calls.call(ControlService.replaceDocument, request, CallKind.Repeatable, operatorLimits)
    if (reply.isErr()) this.refused({ document: number, operation: 'replace-document' }, reply.error)
    return reply.andThen(({ refusal }) => refusal === undefined ? ok(undefined) : err(readRefusal(refusal)))
  }

  /**
   * Reads the document in force, confirmed by a quorum.
   * @returns number and text, or a refusal
   */
  async readDocument (): Promise<Result<DocumentAnswer, Refusal>> {
    const reply = await this.calls.call(ControlService.readDocument, {}, CallKind.Read, operatorLimits)
    if (reply.isErr()) this.refused({ operation: 'read-document' }, reply.error)
    return reply.andThen(({ refusal, number, source }) => refusal === undefined ? ok({ number, source }) : err(readRefusal(refusal)))
  }

  /** The leader writes of what it refuses; this is what never reached one, or whose answer was lost. */
  private refused (request: LogFields, { code, verdict }: Refusal): void {
    this.refusals.note({ ...request, code, verdict, ...this.leader.lastKnown })
  }
}

/** The operator moves on to another host after a second without a response. */
const operatorLimits: ConfirmedLimits = { find: 600, tried: 600, settle: 900 }

/**
 * The digest by which control knows a key.
 * @param key - the key, empty without one
 * @returns SHA-256 in hexadecimal; empty without a key
 */
export function digestOf (key: string): string {
  return key === '' ? '' : createHash('sha256').update(key).digest('hex')
}

function limitsFor (patienceMilliseconds: number): ConfirmedLimits {
  const patience = patienceMilliseconds * (1 - ANSWER_SHARE)
  return { find: Math.min(FIND_MILLISECONDS, patience / 2), tried: TRY_MILLISECONDS, settle: Math.min(SETTLE_MILLISECONDS, patience) }
}

function answerOf ({ refusal, state, pending }: QueueReply): Result<JobAnswer, Refusal> {
  return refusal === undefined ? ok({ state: state as StepJobState | '', pending }) : err(readRefusal(refusal))
}
