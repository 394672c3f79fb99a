import type { FastifyReply } from 'fastify'
import { mayHaveRun, readVerdict } from '../client/index'
import { RefusalCode, notRunRefusal, type Problem, type Refusal, type Verdict } from '../core/verdict'
import type { JobReport } from '../wire/index'

const MILLISECONDS_PER_SECOND = 1_000

/** HTTP status of each refusal code. */
export const statusOfCode: Readonly<Record<RefusalCode, number>> = {
  [RefusalCode.BadRequest]: 400,
  [RefusalCode.Unauthorized]: 401,
  [RefusalCode.Forbidden]: 403,
  [RefusalCode.NotFound]: 404,
  [RefusalCode.UnknownQueue]: 404,
  [RefusalCode.Conflict]: 409,
  [RefusalCode.TooLarge]: 413,
  [RefusalCode.UnknownAccount]: 404,
  [RefusalCode.AccountClosed]: 403,
  [RefusalCode.ImpossibleShape]: 422,
  [RefusalCode.DeadlinePassed]: 422,
  [RefusalCode.QueueFull]: 429,
  [RefusalCode.OverLimit]: 422,
  [RefusalCode.NotLeader]: 503,
  [RefusalCode.Unavailable]: 503,
  [RefusalCode.Stopping]: 503,
  [RefusalCode.IdentifierReused]: 409,
  [RefusalCode.Cancelled]: 409,
  [RefusalCode.InvalidDocument]: 422
}

/** HTTP status for a job that ended without an answer, by the reason; for all other reasons {@link STATUS_OF_FAILED_JOB}. */
const statusOfEndReason: Readonly<Record<string, number>> = {
  'cancelled-by-caller': 410,
  'removed-from-document': 410,
  'account-removed': 410,
  'deadline-passed': 504,
  'impossible-shape': 422
}
const STATUS_OF_FAILED_JOB = 502

/** Body of every error response. */
export interface ErrorAnswer {
  /** A {@link RefusalCode}, or the reason for which a job ended. */
  readonly code: string
  readonly message: string
  readonly verdict: Verdict
  readonly retryCanHelp: boolean
  /** Milliseconds to wait before a retry; 0 when a retry cannot help. */
  readonly retryAfter: number
  readonly problems: readonly Problem[]
  /** The job's identifier, when the caller can ask for the job later. */
  readonly identifier?: string
  /** The current section numbers, when a write was refused because it was based on older ones. */
  readonly numbers?: Readonly<Record<string, number>>
}

/** Thrown to answer a request with a refusal. */
export class RefusalError extends Error {
  /**
   * Wraps a refusal.
   * @param refusal - what is refused and why
   * @param details - additional fields of the response
   */
  constructor (readonly refusal: Refusal, readonly details: Pick<ErrorAnswer, 'identifier' | 'numbers'> = {}) {
    super(refusal.message)
  }
}

function setRetryAfter (reply: FastifyReply, retryAfter: number): void {
  if (retryAfter > 0) reply.header('retry-after', Math.ceil(retryAfter / MILLISECONDS_PER_SECOND))
}

/**
 * Sends a refusal.
 * @param reply - the open reply
 * @param refusal - what is refused and why
 * @param details - additional fields of the response
 * @returns the reply
 */
export function sendRefusal (reply: FastifyReply, refusal: Refusal, details: Pick<ErrorAnswer, 'identifier' | 'numbers'> = {}): FastifyReply {
  const { code, message, verdict, retryCanHelp, retryAfter, problems = [] } = refusal
  const answer: ErrorAnswer = { code, message, verdict, retryCanHelp, retryAfter, problems, ...details }
  setRetryAfter(reply, retryAfter)
  return reply.code(statusOfCode[code]).header('content-type', 'application/json; charset=utf-8').send(JSON.stringify(answer))
}

/**
 * Sends the outcome of a job that ended without an answer.
 * @param reply - the open reply
 * @param report - the last report on the job
 * @returns the reply
 */
export function sendFailedJob (reply: FastifyReply, report: JobReport): FastifyReply {
  const { identifier, reason } = report
  const answer: ErrorAnswer = {
    code: reason,
    message: report.message || `the job ended as ${report.state}: ${reason}`,
    verdict: readVerdict(report.verdict),
    retryCanHelp: false,
    retryAfter: 0,
    problems: [],
    identifier
  }
  return reply.code(statusOfEndReason[reason] ?? STATUS_OF_FAILED_JOB).header('content-type', 'application/json; charset=utf-8').send(JSON.stringify(answer))
}

interface FastifyFailure {
  readonly code?: string
  readonly statusCode?: number
  readonly message: string
}

const codeOfStatus: Readonly<Record<number, RefusalCode>> = {
  404: RefusalCode.NotFound,
  413: RefusalCode.TooLarge
}

const expectedOfStatus: Readonly<Record<number, string>> = {
  400: 'JSON',
  413: 'a smaller body',
  415: 'content type application/json'
}

function statusOf (failure: FastifyFailure & { getStatus?: () => number }): number {
  return failure.getStatus?.() ?? failure.statusCode ?? 500
}

/**
 * Converts an error thrown by a handler or by the HTTP library to a refusal.
 * @param failure - the thrown error
 * @returns the refusal; after an unexpected error of a handler its verdict is that the request may have run
 */
export function refusalFromError (failure: Error & FastifyFailure): Refusal {
  if (failure instanceof RefusalError) return failure.refusal
  const status = statusOf(failure)
  if (status >= 500) return mayHaveRun('the entry failed while it was handling the request', MILLISECONDS_PER_SECOND)
  const expected = expectedOfStatus[status]
  const problems = expected === undefined ? [] : [{ path: '', value: 'the body', expected }]
  return notRunRefusal(codeOfStatus[status] ?? RefusalCode.BadRequest, failure.message, 0, problems)
}
