/** An idle worker restarts under the id that it had; a short subtask reaches it before its first ping is sent. */
import { setTimeout as sleep } from 'node:timers/promises'
import { ACCELERATORS, bounds, runCase } from '../shared/deployment.mjs'
import { startedTwice } from '../shared/rules.mjs'

/** A worker pings about every `heartbeat_ms`; the first ping after the restart comes a little earlier than that. */
const FIRST_HEARTBEAT_MILLISECONDS = bounds.heartbeat_ms - 100
const SUBMITTED_AFTER_MILLISECONDS = 200
const RUN_MILLISECONDS = 700
/** One restarted worker of eight is a share of 0.125. */
const WORKERS = 8

const job = (gpu, ms) => ({ spec: JSON.stringify({ ms }), phases: [{ count: 1, cpu: 3_700, mem_mb: 1_024, gpu, estimate_ms: ms }] })

await runCase(import.meta.dirname, async (deployment, trouble) => {
  await deployment.found({ workers: WORKERS })
  for (let number = 1; number < WORKERS; number++) await deployment.submit(`/photo/00000000000000b${number}`, job(ACCELERATORS, 60_000))
  const busy = await deployment.until(15_000, () => {
    const workers = new Set(deployment.events().filter(({ event }) => event === 'started').map(({ worker }) => worker))
    return workers.size === WORKERS - 1 ? workers : undefined
  })
  if (busy === undefined) throw new Error('the other workers did not become busy')
  const idle = deployment.workers.find((number) => !busy.has(number))
  await sleep(3_000)
  if (trouble) {
    await deployment.signal(`worker-${idle}`, 'SIGKILL')
    deployment.startWorker(idle, { firstHeartbeatMilliseconds: FIRST_HEARTBEAT_MILLISECONDS })
    await sleep(SUBMITTED_AFTER_MILLISECONDS)
  }
  const path = '/stock/00000000000000a1'
  await deployment.submit(path, job(1, RUN_MILLISECONDS))
  if (await deployment.until(20_000, async () => await deployment.state(path) === 'completed') === undefined) throw new Error('the job was not completed')
  await sleep(3_000)
  return startedTwice(deployment)
})
