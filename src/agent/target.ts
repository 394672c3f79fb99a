import { createHash } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { Client, Pool, type Dispatcher } from 'undici'
import { Verdict } from '../core/verdict'
import type { AttemptKey, Content } from '../wire'
import { attemptName } from './attempt'
import { verdictOfError } from './platform'
import { ReportReason } from './report'

/** Time-out of a connection attempt, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 3_000
/** Connections reserved for health checks. */
export const HEALTH_CHECK_CONNECTIONS = 1
/** Time-out of a health check, in milliseconds. */
const HEALTH_CHECK_TIMEOUT_MILLISECONDS = 1_000
/** Longest delay of a Node.js timer, in milliseconds. */
const MAX_TIMER_MILLISECONDS = 2 ** 31 - 1

/** Why a request got no complete answer. */
export interface TargetFailure {
  readonly verdict: Verdict
  readonly reason: ReportReason
}

/** One request to the target. */
export interface TargetRequest {
  readonly key: AttemptKey
  readonly payload: Content
  /** Milliseconds from now until the request is aborted, 0 for no time-out. */
  readonly timeoutMilliseconds: number
  readonly answerBytesLimit: number
}

/** Sends each request to the target once, on a limited number of connections with one request at a time on each. */
export class TargetClient {
  private readonly openRequests = new Map<string, AbortController>()
  /** Sending time of each open request, by a monotonic clock. */
  private readonly sentAt = new Map<string, number>()

  private constructor (private readonly pool: Pool, private readonly healthCheckClient: Client) {}

  /**
   * Creates a client. Connections are opened on demand.
   * @param baseUrl - base URL of the target
   * @param connections - upper limit of connections for requests
   * @returns the client
   */
  static create (baseUrl: string, connections: number): TargetClient {
    const timeout = HEALTH_CHECK_TIMEOUT_MILLISECONDS
    const questions = new Client(baseUrl, { pipelining: 1, headersTimeout: timeout, bodyTimeout: timeout, connectTimeout: timeout })
    const pool = new Pool(baseUrl, {
      connections, pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connectTimeout: CONNECT_TIMEOUT_MILLISECONDS
    })
    return new TargetClient(pool, questions)
  }

  /**
   * Sends a request and reads its complete answer.
   * @param request - the request
   * @returns the answer with checked length and digest, or the failure
   */
  async send (request: TargetRequest): Promise<Result<Content, TargetFailure>> {
    const controller = new AbortController()
    const name = attemptName(request.key)
    this.openRequests.set(name, controller)
    this.sentAt.set(name, performance.now())
    let timedOut = false
    const timer = request.timeoutMilliseconds > 0
      ? setTimeout(() => { timedOut = true; controller.abort() }, Math.min(request.timeoutMilliseconds, MAX_TIMER_MILLISECONDS))
      : undefined
    const result = await this.exchange(request, controller.signal)
    clearTimeout(timer)
    if (this.openRequests.get(name) === controller) { this.openRequests.delete(name); this.sentAt.delete(name) }
    return timedOut ? result.mapErr((failure) => ({ ...failure, reason: ReportReason.DeadlinePassed })) : result
  }

  /**
   * Aborts a request and closes its connection at once.
   * @param key - the attempt
   */
  abort (key: AttemptKey): void {
    this.openRequests.get(attemptName(key))?.abort()
  }

  /**
   * Returns the age of the oldest open request.
   * @returns milliseconds, 0 if no request is open
   */
  oldestRequestAge (): number {
    const oldest = Math.min(...this.sentAt.values())
    return Number.isFinite(oldest) ? performance.now() - oldest : 0
  }

  /**
   * Sends a health check. Any response passes, whatever its status.
   * @returns whether the target responded
   */
  async checkHealth (): Promise<boolean> {
    try {
      const signal = AbortSignal.timeout(HEALTH_CHECK_TIMEOUT_MILLISECONDS)
      const { body } = await this.healthCheckClient.request({ method: 'GET', path: '/', signal })
      body.on('error', () => {}).destroy()
      return true
    } catch {
      return false
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await Promise.all([this.pool.destroy(), this.healthCheckClient.destroy()])
  }

  private async exchange (request: TargetRequest, signal: AbortSignal): Promise<Result<Content, TargetFailure>> {
    try {
      const response = await this.pool.request({
        method: 'POST', path: '/requests', headers: headersOf(request), body: request.payload.body, signal
      })
      const failure = failureOf(response, request)
      if (failure !== undefined) {
        response.body.on('error', () => {}).destroy()
        return err(failure)
      }
      return await readAnswer(response, request.answerBytesLimit)
    } catch (error) {
      const verdict = verdictOfError(error)
      return err({ verdict, reason: verdict === Verdict.NotRun ? ReportReason.ConnectionRefused : ReportReason.ConnectionBroken })
    }
  }
}

function headersOf ({ key, payload }: TargetRequest): Record<string, string> {
  return {
    'content-type': payload.contentType || 'application/octet-stream',
    'content-digest': digestField(payload.body),
    job: encodeURIComponent(key.job),
    attempt: String(key.attempt)
  }
}

/** An answer must name its request: a target that answers twice on a persistent connection would shift all later answers. */
function failureOf ({ statusCode, headers }: Dispatcher.ResponseData, request: TargetRequest): TargetFailure | undefined {
  const { job, attempt } = request.key
  if (headers.job !== encodeURIComponent(job) || headers.attempt !== String(attempt)) {
    const reason = statusCode === 200 ? ReportReason.AnswerMismatch : ReportReason.TargetFailed
    return { verdict: Verdict.MayHaveRun, reason }
  }
  if (statusCode !== 200) return { verdict: Verdict.MayHaveRun, reason: ReportReason.TargetFailed }
  const length = Number(headers['content-length'] ?? 0)
  return exceeds(length, request.answerBytesLimit) ? tooLarge : undefined
}

async function readAnswer ({ body, headers }: Dispatcher.ResponseData, limit: number): Promise<Result<Content, TargetFailure>> {
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of body as AsyncIterable<Buffer>) {
    length += chunk.length
    if (exceeds(length, limit)) return err(tooLarge)
    chunks.push(chunk)
  }
  const answer = Buffer.concat(chunks, length)
  const statedLength = headers['content-length']
  const complete = (statedLength === undefined || Number(statedLength) === length) && headers['content-digest'] === digestField(answer)
  if (!complete) return err({ verdict: Verdict.MayHaveRun, reason: ReportReason.AnswerDamaged })
  return ok({ contentType: String(headers['content-type'] ?? ''), body: answer, digest: sha256(answer) })
}

const tooLarge: TargetFailure = { verdict: Verdict.Ran, reason: ReportReason.AnswerTooLarge }

function exceeds (length: number, limit: number): boolean {
  return limit > 0 && length > limit
}

function sha256 (body: Uint8Array): Buffer {
  return createHash('sha256').update(body).digest()
}

function digestField (body: Uint8Array): string {
  return `sha-256=:${sha256(body).toString('base64')}:`
}
