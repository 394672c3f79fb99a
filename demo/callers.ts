import { request } from 'undici'
import type { Cluster } from './cluster'
import { accountToken, OPERATOR_TOKEN } from './cluster'

/** A job that a caller of the demo submits. */
export interface DemoJob {
  readonly identifier: string
  readonly account: string
  readonly workers: number
  readonly accelerators: number
  readonly idempotent: boolean
  readonly milliseconds: number
  readonly urgency: 'urgent' | 'normal' | 'background'
}

/** The final reply that the caller of a job received. */
export interface JobOutcome {
  readonly job: DemoJob
  readonly accepted: boolean
  readonly status: number
  /** Body of the last reply. */
  readonly body: string
  readonly verdict: string
  /** Time from the first attempt to the last reply. */
  readonly durationMilliseconds: number
}

/** Deadline sent with each job, relative to its first submission. */
const DEADLINE_MILLISECONDS = 25_000
/** How long a caller retries; status 0 is recorded when it expires. */
const RETRY_TIMEOUT_MILLISECONDS = 40_000

/** @returns the payload of a job; it holds the identifier, so the answer of another job is detected. */
export function payloadFor (job: DemoJob): string {
  return JSON.stringify({ milliseconds: job.milliseconds, text: `notice of ${job.identifier}` })
}

/** Submits a job and waits for its answer, retrying at the next entry until RETRY_TIMEOUT_MILLISECONDS. */
export async function submitWithRetries (cluster: Cluster, job: DemoJob, firstEntry: number): Promise<JobOutcome> {
  const startedAt = Date.now()
  let entry = firstEntry
  while (Date.now() - startedAt < RETRY_TIMEOUT_MILLISECONDS) {
    const reply = await submit(cluster, job, startedAt + DEADLINE_MILLISECONDS, entry++ % cluster.entries.length)
    if (reply === undefined || reply.retryable) {
      await new Promise((resolve) => setTimeout(resolve, 50 + (entry % 7) * 30))
      continue
    }
    return { job, accepted: reply.status < 300 || reply.accepted, status: reply.status, body: reply.body, verdict: reply.verdict, durationMilliseconds: Date.now() - startedAt }
  }
  return { job, accepted: true, status: 0, body: '', verdict: 'none', durationMilliseconds: Date.now() - startedAt }
}

interface Reply { readonly status: number, readonly body: string, readonly verdict: string, readonly accepted: boolean, readonly retryable: boolean }

async function submit (cluster: Cluster, job: DemoJob, deadline: number, entry: number): Promise<Reply | undefined> {
  const { identifier, workers, accelerators, idempotent, urgency } = job
  const body = JSON.stringify({
    identifier,
    kind: accelerators > 0 ? 'portrait' : 'proof',
    shape: { workers, accelerators, slots: 1, processors: 1, memoryMegabytes: 256, within: 'data-centre' },
    idempotent,
    checkpointable: idempotent,
    urgency,
    deadline,
    declaredSeconds: Math.ceil(job.milliseconds / 1_000),
    payload: { contentType: 'application/json', base64: Buffer.from(payloadFor(job)).toString('base64') }
  })
  try {
    const address = cluster.entries[entry]?.address ?? ''
    const headers = { authorization: `Bearer ${accountToken(job.account)}`, 'content-type': 'application/json' }
    const reply = await request(`http://${address}/jobs?wait=true`, { method: 'POST', headers, body, headersTimeout: 60_000, bodyTimeout: 60_000 })
    const text = await reply.body.text()
    if (reply.statusCode < 300) return { status: reply.statusCode, body: text, verdict: 'ran', accepted: true, retryable: reply.statusCode === 202 }
    const refusal = JSON.parse(text) as { verdict: string, retryCanHelp: boolean, state?: string }
    return { status: reply.statusCode, body: text, verdict: refusal.verdict, accepted: refusal.state !== undefined, retryable: refusal.retryCanHelp && reply.statusCode >= 429 }
  } catch {
    return undefined
  }
}

/** Sends a request to an entry with the operator's token. */
export async function requestAsOperator (cluster: Cluster, method: 'GET' | 'PUT' | 'POST', path: string, body?: object): Promise<{ readonly status: number, readonly body: any }> {
  const headers = { authorization: `Bearer ${OPERATOR_TOKEN}`, ...body && { 'content-type': 'application/json' } }
  const reply = await request(`http://${cluster.entries[0]?.address ?? ''}${path}`, { method, headers, body: body && JSON.stringify(body) })
  const text = await reply.body.text()
  return { status: reply.statusCode, body: text === '' ? undefined : JSON.parse(text) }
}
