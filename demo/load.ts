// Functions shared by the demos: starting the system, generating jobs and waiting.
import { randomUUID } from 'node:crypto'
import { requestAsOperator, type DemoJob } from './callers'
import { Cluster, demoDocument, WORKERS, type DemoDocument } from './cluster'
import { reportChecks, stopAll } from './checks'

/** Waits until a condition holds and returns the elapsed milliseconds; throws after the limit. Errors of the condition are retried. */
export async function waitUntil (description: string, condition: () => Promise<boolean> | boolean, limitMilliseconds: number): Promise<number> {
  const startedAt = Date.now()
  while (Date.now() - startedAt < limitMilliseconds) {
    try { if (await condition()) return Date.now() - startedAt } catch { /* retried below */ }
    await sleep(20)
  }
  throw new Error(`timed out after ${limitMilliseconds} ms waiting for ${description}`)
}

export function sleep (milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** Generates a job of a mixed load: proofs without accelerators, portraits on one worker and gangs on several; half are not idempotent. */
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

/** Puts the first document, retrying until a leader accepts it. */
export async function putDocument (cluster: Cluster, document: object): Promise<void> {
  const read = Object.fromEntries(Object.keys(document).map((section) => [section, 0]))
  const body = { requestIdentifier: randomUUID(), read, sections: document }
  await waitUntil('the first document to be accepted', async () => (await requestAsOperator(cluster, 'PUT', '/configuration', body)).status === 200, 10_000)
}

/** Returns the index of the leader among the control processes, -1 if there is none. */
export async function leaderOf (cluster: Cluster): Promise<number> {
  const { body } = await requestAsOperator(cluster, 'GET', '/control/members')
  return cluster.controls.findIndex((control) => control.address === body.leader)
}

/** A started system, as passed to a demo. */
export interface RunningSystem {
  readonly cluster: Cluster
  readonly accounts: readonly string[]
  readonly document: DemoDocument
}

/**
 * Starts a system with the example document, runs a demo on it, stops it and reports the checks.
 * @param expectedMissing - processes that the demo kills and does not restart
 * @param run - the demo
 * @param binaryFor - see {@link Cluster.create}
 */
export async function runOnCluster (expectedMissing: number, run: (system: RunningSystem) => Promise<void>, binaryFor?: (name: string) => string): Promise<void> {
  const startedAt = Date.now()
  const document = demoDocument()
  const accounts = document.clientAccounts.map((account) => account.name)
  const cluster = await Cluster.create(binaryFor)
  try {
    await putDocument(cluster, document)
    await waitUntil('all workers to be announced', async () => (await requestAsOperator(cluster, 'GET', '/workers')).body.workers.length === WORKERS, 15_000)
    console.log(`ready after ${Date.now() - startedAt} ms: 3 control processes, 2 entries, ${WORKERS} agents`)
    await run({ cluster, accounts, document })
  } catch (error) {
    console.error((error as Error).message)
    process.exitCode = 1
  } finally {
    await stopAll(cluster, expectedMissing)
  }
  reportChecks(startedAt)
}
