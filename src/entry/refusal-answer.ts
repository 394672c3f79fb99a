import type { FastifyReply } from 'fastify'
import { mayHaveRun, readVerdict } from '../client/index'
import { RefusalCode, notRun, type Problem, type Refusal, type Verdict } from '../core/verdict'
import type { JobReport } from '../wire/index'

const MILLISECONDS_PER_SECOND = 1_000

/** The HTTP status of each refusal. */
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
  [RefusalCode.InvalidDocument]: 422
}

/** The HTTP status for a job that ended without an answer, by the reason of its end; else {@link STATUS_OF_FAILED_JOB}. */
const statusOfEnd: Readonly<Record<string, number>> = {
  'cancelled-by-caller': 410,
  'removed-from-document': 410,
  'account-removed': 410,
  'deadline-passed': 504,
  'impossible-shape': 422
}
const STATUS_OF_FAILED_JOB = 502

/** The body of every error answer. */
export interface ErrorAnswer {
  /** A {@link RefusalCode}, or the reason for which a job ended. */
  readonly code: string
  readonly message: string
  readonly verdict: Verdict
  readonly retryCanHelp: boolean
  /** Milliseconds to wait before trying again, 0 where trying again cannot help. */
  readonly retryAfter: number
  readonly problems: readonly Problem[]
  /** Names the job, where the caller can ask for it later. */
  readonly identifier?: string
  /** Numbers now in force, where a writer came with older ones. */
  readonly numbers?: Readonly<Record<string, number>>
}

/** A refusal on its way to the caller. */
export class RefusalError extends Error {
  /**
   * Wraps a refusal.
   * @param refusal - what is refused and why
   * @param details - fields added to the answer
   */
  constructor (readonly refusal: Refusal, readonly details: Pick<ErrorAnswer, 'identifier' | 'numbers'> = {}) {
    super(refusal.message)
  }
}

function setRetryAfter (reply: FastifyReply, retryAfter: number): void {
  if (retryAfter > 0) reply.header('retry-after', Math.ceil(retryAfter / MILLISECONDS_PER_SECOND))
}

/**
 * Answers with a refusal.
 * @param reply - the open reply
 * @param refusal - what is refused and why
 * @param details - fields added to the answer
 * @returns the reply
 */
export function sendRefusal (reply: FastifyReply, refusal: Refusal, details: Pick<ErrorAnswer, 'identifier' | 'numbers'> = {}): FastifyReply {
  const { code, message, verdict, retryCanHelp, retryAfter, problems = [] } = refusal
  const answer: ErrorAnswer = { code, message, verdict, retryCanHelp, retryAfter, problems, ...details }
  setRetryAfter(reply, retryAfter)
  return reply.code(statusOfCode[code]).header('content-type', 'application/json; charset=utf-8').send(JSON.stringify(answer))
}

/**
 * Answers for a job that ended without an answer.
 * @param reply - the open reply
 * @param report - the last report
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
  return reply.code(statusOfEnd[reason] ?? STATUS_OF_FAILED_JOB).header('content-type', 'application/json; charset=utf-8').send(JSON.stringify(answer))
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
 * Turns whatever a handler or the HTTP library threw into a refusal.
 * @param failure - the thrown error
 * @returns the refusal; an error of our own says that the request may have run
 */
export function refusalOf (failure: Error & FastifyFailure): Refusal {
  if (failure instanceof RefusalError) return failure.refusal
  const status = statusOf(failure)
  if (status >= 500) return mayHaveRun('the entry failed while it handled the request', MILLISECONDS_PER_SECOND)
  const expected = expectedOfStatus[status]
  const problems = expected === undefined ? [] : [{ path: '', value: 'the body', expected }]
  return notRun(codeOfStatus[status] ?? RefusalCode.BadRequest, failure.message, 0, problems)
}
