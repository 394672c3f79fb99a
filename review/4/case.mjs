/** A worker is added while the time of day of its host is ahead; the time jumps back, and the worker restarts once. */
import { setTimeout as sleep } from 'node:timers/promises'
import { ACCELERATORS, runCase } from '../shared/deployment.mjs'
import { lostAfterTraffic } from '../shared/rules.mjs'

/** How far the time of day is ahead: the largest jump in the site files. */
const AHEAD_MILLISECONDS = 2_400
const RUN_MILLISECONDS = 5_000
const ADDED = 21

await runCase(import.meta.dirname, async (deployment, trouble) => {
  await deployment.found({ workers: 2 })
  const jobs = []
  deployment.addWorkerHost(ADDED, { clockOffset: trouble ? AHEAD_MILLISECONDS : 0 })
  if (await deployment.until(15_000, () => deployment.events().find(({ event, worker }) => event === 'held' && worker === ADDED)) === undefined) throw new Error('the added worker was not registered')
  for (const identifier of ['00000000000000b1', '00000000000000b2', '00000000000000b3']) {
    const path = `/photo/${identifier}`
    await deployment.submit(path, { spec: JSON.stringify({ ms: RUN_MILLISECONDS }), phases: [{ count: 1, cpu: 13_000, mem_mb: 1_024, gpu: ACCELERATORS, estimate_ms: RUN_MILLISECONDS }] })
    jobs.push({ path, accelerators: ACCELERATORS, acceptedAt: Date.now() })
  }
  await sleep(700)
  await deployment.signal(`worker-${ADDED}`, 'SIGKILL')
  deployment.startWorker(ADDED)
  return await lostAfterTraffic(deployment, jobs, 3)
})
