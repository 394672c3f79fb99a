// The document, the load and the waiting that the demos share.
import { randomUUID } from 'node:crypto'
import { operate, type DemoJob } from './callers'
import type { Cluster } from './cluster'

/** Waits until something is so; throws after the limit. */
export async function until (what: string, test: () => Promise<boolean> | boolean, limit: number): Promise<number> {
  const began = Date.now()
  while (Date.now() - began < limit) {
    try { if (await test()) return Date.now() - began } catch { /* not yet */ }
    await sleep(20)
  }
  throw new Error(`${what} did not happen within ${limit} ms`)
}

/** Waits. */
export function sleep (milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** Small proofs, single portraits and gangs over several workers, half of them not idempotent. */
export function mixedJob (position: number, accounts: readonly string[]): DemoJob {
  const account = accounts[position % accounts.length] ?? ''
  const gang = position % 10 === 0
  const portrait = position % 3 === 0
  return {
    identifier: `job-${position}`,
    account,
    workers: gang ? 2 + (position / 10) % 2 : 1,
    accelerators: gang ? 4 : portrait ? 1 + position % 4 : 0,
    idempotent: position % 2 === 0,
    milliseconds: gang ? 600 : 50 + (position * 37) % 300,
    urgency: position % 7 === 0 ? 'urgent' : 'normal'
  }
}

/** Puts the first document. */
export async function putDocument (cluster: Cluster, document: object): Promise<void> {
  const read = Object.fromEntries(Object.keys(document).map((section) => [section, 0]))
  const body = { requestIdentifier: randomUUID(), read, sections: document }
  await until('the first document', async () => (await operate(cluster, 'PUT', '/configuration', body)).status === 200, 10_000)
}

/** Position of the leader among the control processes. */
export async function leaderOf (cluster: Cluster): Promise<number> {
  const { body } = await operate(cluster, 'GET', '/control/members')
  return cluster.controls.findIndex((control) => control.address === body.leader)
}
