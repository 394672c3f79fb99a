import { afterEach } from 'vitest'
import { request } from 'undici'
import { EntryHost } from '../src/entry/index'
import { createLogger } from '../src/logging'
import { FakeControl, FakeLog, digestOf } from './fake-entry-control'

const running: Array<() => Promise<unknown> | void> = []

afterEach(async () => {
  for (const stop of running.splice(0).reverse()) await stop()
})

/** Starts fake control hosts; the first one leads. */
export async function startControls (count: number, log = new FakeLog()): Promise<FakeControl[]> {
  const controls: FakeControl[] = []
  for (let started = 0; started < count; started += 1) controls.push(await FakeControl.create(log))
  for (const control of controls) {
    control.leader = controls[0]?.address ?? ''
    running.push(() => control.kill())
  }
  return controls
}

/** Starts an entry, and waits until it is ready unless `ready` is false. */
export async function startEntry (controlHosts: string[], options: { openRequestsPerAccount?: number, ready?: boolean } = {}): Promise<EntryHost> {
  const entry = EntryHost.create({
    host: 'entry-1',
    controlHosts,
    logger: createLogger('entry', 'silent'),
    settings: {
      address: '127.0.0.1:0',
      stopDeadlineSeconds: 1,
      openRequestsPerAccount: options.openRequestsPerAccount ?? 100,
      bootstrapTokenDigest: digestOf('first-token')
    }
  })
  await entry.start()
  running.push(() => entry.stop(0))
  if (options.ready !== false) await until(async () => (await send(entry, 'GET', '/readyz')).status === 200)
  return entry
}

/** Polls until a condition holds; the test's timeout ends the wait. */
export async function until (condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!await condition()) await new Promise((resolve) => { setTimeout(resolve, 5) })
}

export interface Answer {
  readonly status: number
  readonly headers: Record<string, string | string[] | undefined>
  readonly text: string
  readonly json: any
}

function parsed (text: string): unknown {
  try { return JSON.parse(text) } catch { return undefined }
}

/** Sends one request; a string body is sent unchanged. */
export async function send (
  entry: EntryHost, method: string, path: string, options: { token?: string, body?: unknown, headers?: Record<string, string>, signal?: AbortSignal } = {}
): Promise<Answer> {
  const { token, body, headers = {}, signal } = options
  const answer = await request(`http://${entry.address}${path}`, {
    method: method as 'GET',
    signal,
    headers: {
      ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
      ...(body === undefined ? {} : { 'content-type': 'application/json' }),
      ...headers
    },
    body: body === undefined ? undefined : typeof body === 'string' ? body : JSON.stringify(body)
  })
  const text = await answer.body.text()
  return { status: answer.statusCode, headers: answer.headers, text, json: parsed(text) }
}

export const job = (extra: object = {}): object => ({
  shape: { accelerators: 2 },
  payload: { base64: Buffer.from('hello').toString('base64') },
  ...extra
})
