// Restarts every process of a running system, one after the other, under load, and counts that nothing was lost,
// doubled or wrongly refused. Exits 1 if a promise was broken.
import { call, type Told } from './callers'
import { Cluster, demoDocument, WORKERS } from './cluster'
import { count, judgeAnswers, judgeGangs, report, stopAll, targetRuns } from './judge'
import { mixedJob, putDocument, sleep, until } from './load'
import { operate } from './callers'

const BETWEEN_JOBS_MILLISECONDS = 40

/** Submits jobs until the restarts are over. */
async function load (cluster: Cluster, accounts: readonly string[], over: () => boolean): Promise<Told[]> {
  const callers: Array<Promise<Told>> = []
  for (let position = 0; !over(); position++) {
    callers.push(call(cluster, mixedJob(position, accounts), position))
    await sleep(BETWEEN_JOBS_MILLISECONDS)
  }
  return await Promise.all(callers)
}

async function restartAll (cluster: Cluster): Promise<void> {
  for (const control of cluster.controls) {
    await cluster.restart(control)
    await sleep(2_000)
  }
  for (const entry of cluster.entries) {
    await cluster.restart(entry)
    await sleep(2_000)
  }
  for (const worker of cluster.workers) {
    await cluster.restart(worker)
    await sleep(500)
  }
}

async function main (): Promise<void> {
  const began = Date.now()
  const document = demoDocument()
  const accounts = document.clientAccounts.map((account) => account.name)
  const cluster = await Cluster.create()
  try {
    await putDocument(cluster, document)
    await until('all workers announced', async () => (await operate(cluster, 'GET', '/workers')).body.workers.length === WORKERS, 15_000)
    let over = false
    const loading = load(cluster, accounts, () => over)
    await restartAll(cluster)
    over = true
    const told = await loading
    judgeAnswers(told, targetRuns(cluster.workers))
    judgeGangs(cluster.workers, new Map(told.map(({ job }) => [job.identifier, job.workers])))
    const unfinished = told.filter((one) => one.status !== 200)
    count('a planned restart costs no job', `${unfinished.length} of ${told.length} not finished`, unfinished.length === 0)
    const graceful = cluster.stops.filter((code) => code === 0).length
    count('every planned restart is graceful', `${graceful} of ${cluster.stops.length} ended with 0`, graceful === cluster.stops.length)
  } finally {
    await stopAll(cluster, 0)
  }
  report(began)
}

await main().catch((error: Error) => {
  console.error(error.message)
  process.exitCode = 1
})
