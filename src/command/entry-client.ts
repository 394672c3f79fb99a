import { err, ok, type Result } from 'neverthrow'
import { RefusalCode, Verdict, type Refusal } from '../core/verdict'

const ANSWER_MILLISECONDS = 30_000
const RETRY_AFTER_MILLISECONDS = 1_000

/** Errors of a connection that was never made, so that nothing was sent. */
const neverSent = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT', 'ENOTFOUND', 'EINVAL'])

/** One request to an entry. */
export interface EntryRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  readonly body?: unknown
  readonly headers?: Readonly<Record<string, string>>
  /** Waits for the answer without limit. */
  readonly patient?: boolean
}

/** An answer with a status below 400. */
export interface EntryAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Buffer
}

/** The refusal in an answer, with fields that only some have. */
export interface EntryRefusal extends Omit<Refusal, 'code'> {
  readonly code: string
  readonly identifier?: string
  readonly numbers?: Readonly<Record<string, number>>
}

/** Where an entry is, and what proves who asks. */
export interface EntryAccess {
  readonly entry: string
  readonly token: string | undefined
}

function brokenRefusal (error: Error & { code?: string }, request: EntryRequest): EntryRefusal {
  const notRun = request.method === 'GET' || neverSent.has(error.code ?? '')
  return {
    code: RefusalCode.Unavailable,
    message: `the entry did not answer: ${error.message || error.code || error.name}`,
    verdict: notRun ? Verdict.NotRun : Verdict.MayHaveRun,
    retryCanHelp: true,
    retryAfter: RETRY_AFTER_MILLISECONDS
  }
}

function isRefusal (value: unknown): value is EntryRefusal {
  return typeof value === 'object' && value !== null && 'code' in value && 'verdict' in value
}

/** Without an error answer of ours nothing is known of what became of a request that changes something. */
function readRefusal (status: number, body: Buffer, request: EntryRequest): EntryRefusal {
  try {
    const parsed: unknown = JSON.parse(body.toString())
    if (isRefusal(parsed)) return parsed
  } catch {}
  return brokenRefusal(new Error(`HTTP status ${status} without an error answer`), request)
}

function headersOf (access: EntryAccess, request: EntryRequest): Record<string, string> {
  return {
    ...(access.token === undefined ? {} : { authorization: `Bearer ${access.token}` }),
    ...(request.body === undefined ? {} : { 'content-type': 'application/json' }),
    ...request.headers
  }
}

/**
 * Sends one request to an entry. Nothing is sent twice.
 * @param access - the entry's address, and the token
 * @param request - what to send
 * @returns the answer, or the refusal with its verdict
 */
export async function askEntry (access: EntryAccess, request: EntryRequest): Promise<Result<EntryAnswer, EntryRefusal>> {
  const { request: send } = await import('undici')
  const base = /^https?:\/\//.test(access.entry) ? access.entry : `http://${access.entry}`
  const limit = request.patient ? 0 : ANSWER_MILLISECONDS
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
    return err(brokenRefusal(error as Error, request))
  }
}

/**
 * Reads an answer as JSON.
 * @param answer - the answer
 * @returns the parsed body
 */
export function jsonOf<Value> (answer: EntryAnswer): Value {
  return JSON.parse(answer.body.toString()) as Value
}
