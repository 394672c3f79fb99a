/** All processes of the core are killed and come back after a while, while more than 500 subtasks end on one worker. */
import { setTimeout as sleep } from 'node:timers/promises'
import { runCase } from '../shared/deployment.mjs'
import { startedTwice } from '../shared/rules.mjs'

const JOBS = 12
/** Subtasks of each job; all of them fit one worker of 32 cores at the same time. */
const SUBTASKS = 55
const PROCESSORS_THOUSANDTHS = 45
const MEMORY_MEGABYTES = 64
const SUBMIT_GAP_MILLISECONDS = 400
/** From the first submission until the subtasks of the first job end. */
const FIRST_END_MILLISECONDS = 10_000
/** Time between the ends of two jobs: the ends are spread over two seconds. */
const END_GAP_MILLISECONDS = 180
const DOWN_MILLISECONDS = 2_500
/** Ends that a worker lists at a time. */
const LISTED_ENDS = 500

await runCase(import.meta.dirname, async (deployment, trouble) => {
  await deployment.found({ workers: 2 })
  const first = Date.now()
  const paths = Array.from({ length: JOBS }, (_, number) => `/pack/00000000000000${(0xa0 + number).toString(16)}`)
  for (const [number, path] of paths.entries()) {
    await sleep(Math.max(0, first + number * SUBMIT_GAP_MILLISECONDS - Date.now()))
    const ms = first + FIRST_END_MILLISECONDS + number * END_GAP_MILLISECONDS - Date.now()
    await deployment.submit(path, { spec: JSON.stringify({ ms }), phases: [{ count: SUBTASKS, cpu: PROCESSORS_THOUSANDTHS, mem_mb: MEMORY_MEGABYTES, estimate_ms: ms }] })
  }
  await sleep(Math.max(0, first + FIRST_END_MILLISECONDS - 300 - Date.now()))
  const runs = deployment.events().filter(({ event }) => event === 'started' || event === 'ended')
  const byWorker = deployment.workers.map((number) => runs.reduce((sum, { event, worker }) => worker === number ? sum + (event === 'started' ? 1 : -1) : sum, 0))
  deployment.note('subtasks that run on each worker:', ...byWorker)
  if (Math.max(...byWorker) <= LISTED_ENDS) throw new Error(`no worker runs more than ${LISTED_ENDS} subtasks: ${byWorker}`)
  if (trouble) {
    for (const number of [1, 2, 3]) await deployment.signal(`control-${number}`, 'SIGKILL')
    await sleep(DOWN_MILLISECONDS)
    for (const number of [1, 2, 3]) deployment.startControl(number)
  }
  for (const path of paths) await deployment.until(30_000, async () => await deployment.state(path) === 'completed')
  return startedTwice(deployment)
})
