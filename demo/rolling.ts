// Restarts every process of a running system, one after the other, under load, and counts that nothing was lost,
// doubled or wrongly refused. Exits 1 if a promise was broken.
import { call, type Told } from './callers'
import type { Cluster } from './cluster'
import { count, judgeAnswers, judgeGangs, targetRuns } from './judge'
import { mixedJob, onSystem, sleep } from './load'

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

await onSystem(0, async ({ cluster, accounts }) => {
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
})
