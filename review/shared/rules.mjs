/** Checks of rules against what clients and workers observed. */
import { ACCELERATORS, bounds } from './deployment.mjs'

/** The rule LOST speaks of a job of which nothing runs for this long. */
const NOTHING_RUNS_MILLISECONDS = 3_000

/** What runs on the workers that are up, and when something of each job ran last. */
function observe (deployment) {
  const running = new Map()
  const ranAt = new Map()
  for (const { event, at, worker, task, attempt } of deployment.events()) {
    const jobs = new Set([...running.values()].map((run) => run.job))
    for (const job of jobs) ranAt.set(job, at)
    if (event === 'started') running.set(`${worker} ${task} ${attempt}`, { worker, job: task.split('.')[0] })
    if (event === 'ended') running.delete(`${worker} ${task} ${attempt}`)
    if (event === 'crashed') for (const [key, run] of running) if (run.worker === worker) running.delete(key)
  }
  for (const { job } of running.values()) ranAt.set(job, Date.now())
  return { running: [...running.values()], ranAt }
}

/**
 * LOST, as it is asked `finish_s` after the end of the traffic: for 3 s, a job has nothing running while a subtask's turn
 * has come, there is capacity for it twice over, and under half of the service's capacity is in use. Each job must consist
 * of one subtask.
 * @param {import('./deployment.mjs').Deployment} deployment the deployment
 * @param {{ path: string, accelerators: number, acceptedAt: number }[]} jobs the accepted jobs, none of them cancelled
 * @param {number} workersUp number of workers that are up
 * @returns {Promise<string | undefined>} how the rule was broken
 */
export async function lostAfterTraffic (deployment, jobs, workersUp) {
  await new Promise((resolve) => { setTimeout(resolve, bounds.finish_s * 1_000 + NOTHING_RUNS_MILLISECONDS) })
  const lost = []
  for (const { path, accelerators, acceptedAt } of jobs) {
    const state = await deployment.state(path)
    if (state === 'completed') continue
    const { running, ranAt } = observe(deployment)
    const idle = Date.now() - (ranAt.get(path.split('/').at(-1)) ?? acceptedAt)
    const inUse = running.length * Math.max(...jobs.map((job) => job.accelerators))
    const total = workersUp * ACCELERATORS
    deployment.note(path, 'is', state, `and nothing of it ran for ${idle} ms; ${inUse} of ${total} accelerators are in use`)
    if (state === undefined || state === 'unknown' || (idle >= NOTHING_RUNS_MILLISECONDS && inUse * 2 < total && total - inUse >= 2 * accelerators)) lost.push(`${path} is ${state} and nothing of it ran for ${idle} ms`)
  }
  return lost.length === 0 ? undefined : `LOST: ${lost.join('; ')}`
}

/**
 * TWICE: a start after a run of the subtask has ended `done`, if that end is taken note of then or later, unless the lease
 * of the worker lapsed between the two.
 * @param {import('./deployment.mjs').Deployment} deployment the deployment
 * @returns {string | undefined} how the rule was broken
 */
export function startedTwice (deployment) {
  const done = new Map()
  const noted = new Set()
  const starts = new Map()
  for (const { event, task, attempt, how, worker } of deployment.events()) {
    if (event === 'lease-lapsed') for (const end of done.values()) if (end.worker === worker && !noted.has(end.task)) end.lapsed = true
    if (event === 'ended' && how === 'done' && !done.has(task)) done.set(task, { task, attempt, worker, lapsed: false })
    if (event === 'noted' && how === 'done' && done.get(task)?.attempt === attempt) noted.add(task)
    if (event === 'started' && done.has(task)) starts.set(task, attempt)
  }
  const broken = [...starts.keys()].filter((task) => noted.has(task) && !done.get(task).lapsed)
  return broken.length === 0 ? undefined : `TWICE: ${broken.length} subtasks were started again after a run of them had ended done and its end was taken note of, the first is ${broken[0]}`
}

/**
 * Counts the crashes of workers while a run of a job was on them.
 * @param {import('./deployment.mjs').Deployment} deployment the deployment
 * @param {string} identifier the job
 * @returns {number} their number
 */
export function crashesUnder (deployment, identifier) {
  const running = new Map()
  let crashes = 0
  for (const { event, worker, task, attempt } of deployment.events()) {
    if (event === 'started' && task.startsWith(`${identifier}.`)) running.set(`${task} ${attempt}`, worker)
    if (event === 'ended') running.delete(`${task} ${attempt}`)
    if (event !== 'crashed') continue
    const under = [...running].filter(([, host]) => host === worker)
    if (under.length > 0) crashes += 1
    for (const [run] of under) running.delete(run)
  }
  return crashes
}
