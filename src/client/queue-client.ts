/** Sends requests to queues, and the numbered queue document, to the control leader. */
import { createHash } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { jobOfPath } from '../core/steps/routing'
import type { QueueDocument, StepJobSpecification, StepJobState } from '../core/steps/index'
import { RefusalCode, type Refusal } from '../core/verdict'
import type { LogFields } from '../logging'
import { ControlService, operationNames, QueueOperation, type QueueReply, type QueueRequest } from '../wire/index'
import { ConfirmedCalls, type CallTimeouts } from './confirmed-calls'
import { CallKind, type LeaderClient } from './leader-client'
import { RefusalLog } from './refusal-log'
import { readRefusal } from './refusals'

export { QueueOperation }

interface CallBase {
  readonly operation: QueueOperation
  /** The job to submit. */
  readonly job?: StepJobSpecification
  /** How long the caller waits for the answer, in milliseconds. */
  readonly timeoutMilliseconds: number
}

/** A request to a queue that is identified by its address. */
export interface QueueCall extends CallBase {
  readonly host: string
  readonly path: string
  /** The caller's key, empty without one. */
  readonly key: string
}

/** A request to a queue that is identified by its name, of a caller whose account is known. */
export interface NamedQueueCall extends CallBase {
  readonly queue: string
  /** Empty for an operator. */
  readonly account: string
  /** The job, empty for the queue itself. */
  readonly identifier: string
}

/** The answer to a request to a queue. */
export interface JobAnswer {
  /** Empty where the path names a queue. */
  readonly state: StepJobState | ''
  /** Number of accepted jobs of the queue of which no task has started. */
  readonly pending: number
}

/** The queue document in force. */
export interface DocumentAnswer {
  readonly number: number
  readonly source: string
}

/** Timeout of one try, in milliseconds: a commit takes a few disk syncs. */
const TRY_TIMEOUT_MILLISECONDS = 700
/** Limit of the search for a leader, in milliseconds: an election ends within it, or the caller is told when to try again. */
const MAX_FIND_MILLISECONDS = 900
/** Limit of the time to obtain the reply to a request that may have arrived, in milliseconds. */
const MAX_SETTLE_MILLISECONDS = 2_400
/** Share of the caller's timeout that is reserved for the answer to reach it. */
const RESPONSE_SHARE = 0.1

const callKinds: { readonly [operation in QueueOperation]: CallKind } = {
  [QueueOperation.QUEUE_OPERATION_UNSPECIFIED]: CallKind.Once,
  [QueueOperation.SUBMIT]: CallKind.Repeatable,
  [QueueOperation.SHOW]: CallKind.Read,
  [QueueOperation.CANCEL]: CallKind.Repeatable
}

/** Client of the leader for queues and the queue document. */
export class QueueClient {
  private readonly calls: ConfirmedCalls
  private readonly refusals: RefusalLog

  private constructor (private readonly leader: LeaderClient) {
    this.calls = ConfirmedCalls.create(leader)
    this.refusals = RefusalLog.create(leader.logger)
  }

  /**
   * Creates the client.
   * @param leader - finds the leader
   * @returns the client
   */
  static create (leader: LeaderClient): QueueClient {
    return new QueueClient(leader)
  }

  /**
   * Sends a request to a queue by the queue's address.
   * @param call - the request
   * @returns the answer, or a refusal with its verdict
   */
  async callByAddress (call: QueueCall): Promise<Result<JobAnswer, Refusal>> {
    const { host, path, key } = call
    return await this.send(call, { host, path, keyDigest: digestOf(key), queue: '', account: '' })
  }

  /**
   * Asks the leader whether a request may be made at its address, before the job is received: whether there is such a
   * queue, and whether the key belongs to an account.
   * @param address - host, path and key of the request, and how long the caller waits
   * @returns the refusal; undefined where the job may be submitted
   */
  async checkAddress (address: Omit<QueueCall, 'operation' | 'job'>): Promise<Refusal | undefined> {
    // The leader resolves the address of any operation in the same way, and hosts of an earlier version know this one.
    const answer = await this.callByAddress({ ...address, operation: QueueOperation.SHOW })
    return answer.isErr() && answer.error.code !== RefusalCode.NotFound ? answer.error : undefined
  }

  /**
   * Sends a request to a queue by the queue's name.
   * @param call - the request
   * @returns the answer, or a refusal with its verdict
   */
  async callByName (call: NamedQueueCall): Promise<Result<JobAnswer, Refusal>> {
    const { queue, account, identifier } = call
    return await this.send(call, { host: '', path: identifier, keyDigest: '', queue, account })
  }

  private async send ({ operation, job, timeoutMilliseconds }: CallBase, address: Omit<QueueRequest, 'operation' | 'jobJson'>): Promise<Result<JobAnswer, Refusal>> {
    const request: QueueRequest = { operation, jobJson: job === undefined ? '' : JSON.stringify(job), ...address }
    const reply = await this.calls.call(ControlService.queue, request, callKinds[operation], timeoutsFor(timeoutMilliseconds))
    if (reply.isErr()) this.logRefusal({ job: jobOfPath(address.path), operation: operationNames[operation] }, reply.error)
    return reply.andThen(readAnswer)
  }

  /**
   * Submits a numbered queue document; the one with the highest number is in force.
   * @param number - its number
   * @param document - its content
   * @param source - the text in which the operator sent it
   * @returns nothing once it, or one with a higher number, is in force; or a refusal with its verdict
   */
  async replaceDocument (number: number, document: QueueDocument, source: string): Promise<Result<void, Refusal>> {
    const request = { number, documentJson: JSON.stringify(document), source }
    const reply = await this.calls.call(ControlService.replaceDocument, request, CallKind.Repeatable, operatorTimeouts)
    if (reply.isErr()) this.logRefusal({ document: number, operation: 'replace-document' }, reply.error)
    return reply.andThen(({ refusal }) => refusal === undefined ? ok(undefined) : err(readRefusal(refusal)))
  }

  /**
   * Reads the queue document in force, from a leader that a quorum confirmed.
   * @returns its number and source text, or a refusal
   */
  async readDocument (): Promise<Result<DocumentAnswer, Refusal>> {
    const reply = await this.calls.call(ControlService.readDocument, {}, CallKind.Read, operatorTimeouts)
    if (reply.isErr()) this.logRefusal({ operation: 'read-document' }, reply.error)
    return reply.andThen(({ refusal, number, source }) => refusal === undefined ? ok({ number, source }) : err(readRefusal(refusal)))
  }

  /** Logs a request that reached no leader, or whose reply was lost; what a leader refuses is in the leader's log. */
  private logRefusal (request: LogFields, { code, verdict, retryAfter }: Refusal): void {
    this.refusals.log({ ...request, code, verdict, retryAfterMilliseconds: retryAfter, ...this.leader.lastKnown })
  }
}

/** Operators try another host after a second without a response, so each of these is shorter. */
const operatorTimeouts: CallTimeouts = { findMilliseconds: 600, tryMilliseconds: 600, settleMilliseconds: 900 }

/**
 * Computes the digest by which control hosts identify a caller's key.
 * @param key - the key, empty without one
 * @returns SHA-256 in hexadecimal; empty without a key
 */
export function digestOf (key: string): string {
  return key === '' ? '' : createHash('sha256').update(key).digest('hex')
}

function timeoutsFor (timeoutMilliseconds: number): CallTimeouts {
  const usable = timeoutMilliseconds * (1 - RESPONSE_SHARE)
  return { findMilliseconds: Math.min(MAX_FIND_MILLISECONDS, usable / 2), tryMilliseconds: TRY_TIMEOUT_MILLISECONDS, settleMilliseconds: Math.min(MAX_SETTLE_MILLISECONDS, usable) }
}

function readAnswer ({ refusal, state, pending }: QueueReply): Result<JobAnswer, Refusal> {
  return refusal === undefined ? ok({ state: state as StepJobState | '', pending }) : err(readRefusal(refusal))
}
