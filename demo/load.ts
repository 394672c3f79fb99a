// The document, the load and the waiting that the demos share.
import { randomUUID } from 'node:crypto'
import { operate, type DemoJob } from './callers'
import { Cluster, demoDocument, WORKERS, type DemoDocument } from './cluster'
import { report, stopAll } from './judge'

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

/** What a run of the demo works on. */
export interface RunningSystem {
  readonly cluster: Cluster
  readonly accounts: readonly string[]
  readonly document: DemoDocument
}

/**
 * Starts a system with the example document, runs something on it, stops it, and reports on the promises.
 * @param endedOnPurpose - processes that are not there any more when the system is stopped
 * @param run - what to do with the system
 * @param binaryOf - see {@link Cluster.create}
 */
export async function onSystem (endedOnPurpose: number, run: (system: RunningSystem) => Promise<void>, binaryOf?: (name: string) => string): Promise<void> {
  const began = Date.now()
  const document = demoDocument()
  const accounts = document.clientAccounts.map((account) => account.name)
  const cluster = await Cluster.create(binaryOf)
  try {
    await putDocument(cluster, document)
    await until('all workers announced', async () => (await operate(cluster, 'GET', '/workers')).body.workers.length === WORKERS, 15_000)
    console.log(`ready after ${Date.now() - began} ms: 3 control processes, 2 entries, ${WORKERS} agents`)
    await run({ cluster, accounts, document })
  } catch (error) {
    console.error((error as Error).message)
    process.exitCode = 1
  } finally {
    await stopAll(cluster, endedOnPurpose)
  }
  report(began)
}
