// Restarts every process of a running system, one after the other, under load, and checks that no job was lost, run
// twice or wrongly refused. Exits 1 if a check failed.
import { submitWithRetries, type JobOutcome } from './callers'
import type { Cluster } from './cluster'
import { recordCheck, checkAnswers, checkGangs, countTargetRuns } from './checks'
import { mixedJob, runOnCluster, sleep } from './load'

const BETWEEN_JOBS_MILLISECONDS = 40

/** Submits jobs until the restarts have finished. */
async function submitJobs (cluster: Cluster, accounts: readonly string[], finished: () => boolean): Promise<JobOutcome[]> {
  const callers: Array<Promise<JobOutcome>> = []
  for (let position = 0; !finished(); position++) {
    callers.push(submitWithRetries(cluster, mixedJob(position, accounts), position))
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

await runOnCluster(0, async ({ cluster, accounts }) => {
  let restarted = false
  const submitting = submitJobs(cluster, accounts, () => restarted)
  await restartAll(cluster)
  restarted = true
  const outcomes = await submitting
  checkAnswers(outcomes, countTargetRuns(cluster.workers))
  checkGangs(cluster.workers, new Map(outcomes.map(({ job }) => [job.identifier, job.workers])))
  const unfinished = outcomes.filter((one) => one.status !== 200)
  recordCheck('a planned restart costs no job', `${unfinished.length} of ${outcomes.length} not finished`, unfinished.length === 0)
  const graceful = cluster.restartExitCodes.filter((code) => code === 0).length
  recordCheck('every planned restart is graceful', `${graceful} of ${cluster.restartExitCodes.length} exited with code 0`, graceful === cluster.restartExitCodes.length)
})
