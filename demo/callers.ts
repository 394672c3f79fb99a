import { request } from 'undici'
import type { Cluster } from './cluster'
import { accountToken, OPERATOR_TOKEN } from './cluster'

/** A job as a caller of the demo sends it. */
export interface DemoJob {
  readonly identifier: string
  readonly account: string
  readonly workers: number
  readonly accelerators: number
  readonly idempotent: boolean
  readonly milliseconds: number
  readonly urgency: 'urgent' | 'normal' | 'background'
}

/** What the caller was told in the end. */
export interface Told {
  readonly job: DemoJob
  readonly accepted: boolean
  readonly status: number
  /** The whole body of the last reply. */
  readonly body: string
  readonly verdict: string
  /** Milliseconds from the first try to the last reply. */
  readonly took: number
}

/** Time after which a caller has no use for an answer any more, in milliseconds. */
const DEADLINE_MILLISECONDS = 25_000
/** How long a caller goes on asking, in milliseconds. */
const PATIENCE_MILLISECONDS = 40_000

/** @returns the payload of a job, from which its answer can be told. */
export function payloadOf (job: DemoJob): string {
  return JSON.stringify({ milliseconds: job.milliseconds, text: `notice of ${job.identifier}` })
}

/** Sends a job and waits for its answer, through any entry, until the patience is over. */
export async function call (cluster: Cluster, job: DemoJob, first: number): Promise<Told> {
  const began = Date.now()
  let entry = first
  while (Date.now() - began < PATIENCE_MILLISECONDS) {
    const reply = await submit(cluster, job, began + DEADLINE_MILLISECONDS, entry++ % cluster.entries.length)
    if (reply === undefined || reply.again) {
      await new Promise((resolve) => setTimeout(resolve, 50 + (entry % 7) * 30))
      continue
    }
    return { job, accepted: reply.status < 300 || reply.accepted, status: reply.status, body: reply.body, verdict: reply.verdict, took: Date.now() - began }
  }
  return { job, accepted: true, status: 0, body: '', verdict: 'none', took: Date.now() - began }
}

interface Reply { readonly status: number, readonly body: string, readonly verdict: string, readonly accepted: boolean, readonly again: boolean }

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
    payload: { contentType: 'application/json', base64: Buffer.from(payloadOf(job)).toString('base64') }
  })
  try {
    const address = cluster.entries[entry]?.address ?? ''
    const headers = { authorization: `Bearer ${accountToken(job.account)}`, 'content-type': 'application/json' }
    const reply = await request(`http://${address}/jobs?wait=true`, { method: 'POST', headers, body, headersTimeout: 60_000, bodyTimeout: 60_000 })
    const text = await reply.body.text()
    if (reply.statusCode < 300) return { status: reply.statusCode, body: text, verdict: 'ran', accepted: true, again: reply.statusCode === 202 }
    const refusal = JSON.parse(text) as { verdict: string, retryCanHelp: boolean, state?: string }
    return { status: reply.statusCode, body: text, verdict: refusal.verdict, accepted: refusal.state !== undefined, again: refusal.retryCanHelp && reply.statusCode >= 429 }
  } catch {
    return undefined
  }
}

/** Asks an entry as an operator. */
export async function operate (cluster: Cluster, method: 'GET' | 'PUT' | 'POST', path: string, body?: object): Promise<{ readonly status: number, readonly body: any }> {
  const headers = { authorization: `Bearer ${OPERATOR_TOKEN}`, ...body && { 'content-type': 'application/json' } }
  const reply = await request(`http://${cluster.entries[0]?.address ?? ''}${path}`, { method, headers, body: body && JSON.stringify(body) })
  const text = await reply.body.text()
  return { status: reply.statusCode, body: text === '' ? undefined : JSON.parse(text) }
}
