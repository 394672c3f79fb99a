import { err, ok, type Result } from 'neverthrow'
import { RefusalCode, Verdict, type Refusal } from '../core/verdict'

const ANSWER_TIMEOUT_MILLISECONDS = 30_000
const RETRY_AFTER_MILLISECONDS = 1_000

/** Errors that occur before a connection is established, so that nothing was sent. */
const notSentErrors = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT', 'ENOTFOUND', 'EINVAL'])

/** One request to an entry. */
export interface EntryRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  readonly body?: unknown
  readonly headers?: Readonly<Record<string, string>>
  /** Waits for the answer without a time limit. */
  readonly noTimeout?: boolean
}

/** An answer with a status below 400. */
export interface EntryAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Buffer
}

/** The refusal in an error response, with fields that are not always present. */
export interface EntryRefusal extends Omit<Refusal, 'code'> {
  readonly code: string
  readonly identifier?: string
  readonly numbers?: Readonly<Record<string, number>>
}

/** The address of an entry, and the token to authenticate with. */
export interface EntryAccess {
  readonly entry: string
  readonly token: string | undefined
}

function connectionRefusal (error: Error & { code?: string }, request: EntryRequest): EntryRefusal {
  const notRun = request.method === 'GET' || notSentErrors.has(error.code ?? '')
  return {
    code: RefusalCode.Unavailable,
    message: `no answer from the entry: ${error.message || error.code || error.name}`,
    verdict: notRun ? Verdict.NotRun : Verdict.MayHaveRun,
    retryCanHelp: true,
    retryAfter: RETRY_AFTER_MILLISECONDS
  }
}

function isRefusal (value: unknown): value is EntryRefusal {
  return typeof value === 'object' && value !== null && 'code' in value && 'verdict' in value
}

/** A response without a refusal, such as one from a proxy, says nothing about whether a request that changes state has run. */
function readRefusal (status: number, body: Buffer, request: EntryRequest): EntryRefusal {
  try {
    const parsed: unknown = JSON.parse(body.toString())
    if (isRefusal(parsed)) return parsed
  } catch {}
  return connectionRefusal(new Error(`HTTP status ${status} without a refusal in the body`), request)
}

function headersOf (access: EntryAccess, request: EntryRequest): Record<string, string> {
  return {
    ...(access.token === undefined ? {} : { authorization: `Bearer ${access.token}` }),
    ...(request.body === undefined ? {} : { 'content-type': 'application/json' }),
    ...request.headers
  }
}

/**
 * Sends one request to an entry, without retries.
 * @param access - the entry's address and the token
 * @param request - the request
 * @returns the answer, or the refusal with its verdict
 */
export async function requestEntry (access: EntryAccess, request: EntryRequest): Promise<Result<EntryAnswer, EntryRefusal>> {
  const { request: send } = await import('undici')
  const base = /^https?:\/\//.test(access.entry) ? access.entry : `http://${access.entry}`
  const limit = request.noTimeout ? 0 : ANSWER_TIMEOUT_MILLISECONDS
  try {
    const answer = await send(`${base}${request.path}`, {
      method: request.method,
      headers: headersOf(access, request),
      body: request.body === undefined ? undefined : JSON.stringify(request.body),
      headersTimeout: limit,
      bodyTimeout: limit
    })
    const body = Buffer.from(await answer.body.arrayBuffer())
    if (answer.statusCode >= 400) return err(readRefusal(answer.statusCode, body, request))
    return ok({ status: answer.statusCode, headers: answer.headers, body })
  } catch (error) {
    return err(connectionRefusal(error as Error, request))
  }
}

/**
 * Parses the body of an answer as JSON.
 * @param answer - the answer
 * @returns the parsed body
 */
export function parseJsonBody<Value> (answer: EntryAnswer): Value {
  return JSON.parse(answer.body.toString()) as Value
}
