/** Carries requests to queues, and the numbered document, to the control leader. */
import { createHash } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import type { QueueDocument, StepJobSpecification, StepJobState } from '../core/steps/index'
import type { Refusal } from '../core/verdict'
import { ControlService, QueueOperation, type QueueReply, type QueueRequest } from '../wire/index'
import { CallKind, type CallLimits, type Leader } from './leader'
import { readRefusal } from './refusals'

export { QueueOperation }

/** One request of a caller. */
export interface QueueCall {
  readonly operation: QueueOperation
  readonly host: string
  readonly path: string
  /** The caller's key, empty without one. */
  readonly key: string
  /** The job that is handed in. */
  readonly job?: StepJobSpecification
  /** How long the caller waits, in milliseconds. */
  readonly patienceMilliseconds: number
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

/** Longest time of one try, in milliseconds: a commit takes a few disk syncs; an election ends within it. */
const TRY_MILLISECONDS = 700
/** Longest time of all tries, in milliseconds: a leader is found again within it, or the caller is told when to come back. */
const CALL_MILLISECONDS = 2_000
/** Part of the caller's patience that is spent on looking for a leader. */
const PATIENCE_SHARE = 0.6

const kindOf: { readonly [operation in QueueOperation]: CallKind } = {
  [QueueOperation.QUEUE_OPERATION_UNSPECIFIED]: CallKind.Once,
  [QueueOperation.SUBMIT]: CallKind.Repeatable,
  [QueueOperation.SHOW]: CallKind.Read,
  [QueueOperation.CANCEL]: CallKind.Repeatable
}

/** Asks the leader, wherever it is. */
export class QueueClient {
  private constructor (private readonly leader: Leader) {}

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
    const { operation, host, path, key, job } = call
    const request: QueueRequest = { operation, host, path, keyDigest: digestOf(key), jobJson: job === undefined ? '' : JSON.stringify(job) }
    const reply = await this.leader.call(ControlService.queue, request, kindOf[operation], limitsFor(call.patienceMilliseconds))
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
    const reply = await this.leader.call(ControlService.replaceDocument, request, CallKind.Repeatable, operatorLimits)
    return reply.andThen(({ refusal }) => refusal === undefined ? ok(undefined) : err(readRefusal(refusal)))
  }

  /**
   * Reads the document in force, confirmed by a quorum.
   * @returns number and text, or a refusal
   */
  async readDocument (): Promise<Result<DocumentAnswer, Refusal>> {
    const reply = await this.leader.call(ControlService.readDocument, {}, CallKind.Read, operatorLimits)
    return reply.andThen(({ refusal, number, source }) => refusal === undefined ? ok({ number, source }) : err(readRefusal(refusal)))
  }
}

/** The operator moves on to another host after a second without a response. */
const operatorLimits: CallLimits = { tryMilliseconds: 500, callMilliseconds: 900 }

/**
 * The digest by which control knows a key.
 * @param key - the key, empty without one
 * @returns SHA-256 in hexadecimal; empty without a key
 */
export function digestOf (key: string): string {
  return key === '' ? '' : createHash('sha256').update(key).digest('hex')
}

function limitsFor (patienceMilliseconds: number): CallLimits {
  return { tryMilliseconds: TRY_MILLISECONDS, callMilliseconds: Math.min(CALL_MILLISECONDS, patienceMilliseconds * PATIENCE_SHARE) }
}

function answerOf ({ refusal, state, pending }: QueueReply): Result<JobAnswer, Refusal> {
  return refusal === undefined ? ok({ state: state as StepJobState | '', pending }) : err(readRefusal(refusal))
}
