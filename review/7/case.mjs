/**
 * An entry sends a submission again whose answer it did not get. If the key was taken away in between, the client is told
 * 401, although the first copy was accepted, and the job runs.
 */
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { sleep } from '../shared-2/deployment.mjs'
import { Client, documentOf, jobOf, newIdentifier, runCase, trouble } from '../shared-2/platform.mjs'

const ROUNDS = 8
/** Clients that submit one job each at the same moment. */
const CLIENTS = 16
/** Time between the submissions of two clients. */
const SPREAD_MILLISECONDS = 2
/** The machine of the leader freezes once so many clients have their answer, while the others still wait. */
const ANSWERS_BEFORE_FREEZE = 3
const MAX_WAIT_MILLISECONDS = 100
const FREEZE_MILLISECONDS = 2500
const CHANGE_AFTER_MILLISECONDS = 250
const PAUSE_MILLISECONDS = 3500
const TASK_MILLISECONDS = 500
const REJECTIONS = new Set([400, 401, 404, 429, 503])
const MAX_ATTEMPTS = 5
const RETRY_MILLISECONDS = 200
const STAYING_KEY = 'key-that-stays'
const keys = Array.from({ length: ROUNDS }, (_, index) => `key-of-round-${index + 1}`)
const file = join(dirname(fileURLToPath(import.meta.url)), 'record.txt')

await runCase({ controls: 3, entries: 2, sides: 3 }, file, [STAYING_KEY, ...keys], async (system) => {
  const attempts = new Map()
  for (const [round, key] of keys.entries()) await playRound(system, attempts, round, key)
  await sleep(3000)
  return falseRefusals(system, attempts)
})

/** Many clients come at once; the machine of the leader freezes, and the key is taken away. */
async function playRound ({ deployment, operator, record }, attempts, round, key) {
  const leader = deployment.leader()
  record('round', { round: round + 1, key, leader: leader.name })
  const progress = { answers: 0 }
  const clients = Array.from({ length: CLIENTS }, (_, index) => submitJob({ deployment, record, attempts, key, index, progress }))
  const latest = performance.now() + MAX_WAIT_MILLISECONDS
  while (progress.answers < ANSWERS_BEFORE_FREEZE && performance.now() < latest) await sleep(1)
  if (trouble) deployment.signalMachine(leader, 'SIGSTOP')
  const frozenUntil = performance.now() + FREEZE_MILLISECONDS
  await sleep(CHANGE_AFTER_MILLISECONDS)
  const changed = operator.replace(documentOf(round + 2, [STAYING_KEY, ...keys.slice(round + 1)]), leader)
  await sleep(Math.max(0, frozenUntil - performance.now()))
  if (trouble) deployment.signalMachine(leader, 'SIGCONT')
  await Promise.all([changed, ...clients])
  await sleep(PAUSE_MILLISECONDS)
}

/** Submits one job. Without a clear answer it is sent again, to another entry. */
async function submitJob ({ deployment, record, attempts, key, index, progress }) {
  await sleep(index * SPREAD_MILLISECONDS)
  const client = new Client(record)
  const entries = deployment.machinesOf('entry')
  const identifier = newIdentifier()
  const answers = []
  attempts.set(identifier, answers)
  while (answers.length < MAX_ATTEMPTS) {
    const status = await client.send(entries[(index + answers.length) % entries.length], 'POST', identifier, { key, body: jobOf(TASK_MILLISECONDS) })
    answers.push(status)
    progress.answers += 1
    if (status === 200 || status === 401 || status === 404) break
    await sleep(RETRY_MILLISECONDS)
  }
  client.close()
}

/** Jobs of which every attempt was rejected, and which a worker started. */
function falseRefusals ({ workers }, attempts) {
  const started = new Map()
  for (const worker of workers) for (const identifier of worker.startedJobs) started.set(identifier, worker.name)
  return [...attempts].flatMap(([identifier, answers]) => answers.length > 0 && answers.every((status) => REJECTIONS.has(status)) && started.has(identifier)
    ? [`REFUSED: job ${identifier} got ${answers.join(', ')}, and runs on ${started.get(identifier)}`]
    : [])
}
