/**
 * A client leaves and cancels its job; the cancelling is acknowledged. The entry that had its submission was frozen. When
 * it wakes, it hands the job in although its client is gone, and the job runs.
 */
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { bounds, sleep } from '../shared-2/deployment.mjs'
import { Client, jobOf, newIdentifier, runCase, trouble } from '../shared-2/platform.mjs'

const ROUNDS = 4
const FREEZE_MILLISECONDS = 4000
/** Half of the objective of 250 ms: within this time clients leave that give up. */
const PATIENCE_MILLISECONDS = 125
/** Clients that do not leave, for each one that does. */
const CLIENTS_THAT_STAY = 3
const TASK_MILLISECONDS = 500
const PAUSE_MILLISECONDS = 6000
const KEY = 'key-of-tenant'
const file = join(dirname(fileURLToPath(import.meta.url)), 'record.txt')

await runCase({ controls: 3, entries: 2, sides: 5 }, file, [KEY], async (system) => {
  const cancelled = new Map()
  for (let round = 0; round < ROUNDS; round++) await playRound(system, cancelled, round)
  return lateStarts(system, cancelled)
})

/** Four clients submit a job each; one of them leaves, and cancels its job by another entry. */
async function playRound ({ deployment, record }, cancelled, round) {
  const entries = deployment.machinesOf('entry')
  const [first, second] = [entries[round % 2], entries[(round + 1) % 2]]
  const client = new Client(record)
  const identifier = newIdentifier()
  record('round', { round: round + 1, identifier })
  for (let stays = 0; stays < CLIENTS_THAT_STAY; stays++) await submit(record, second)
  if (trouble) deployment.signalMachine(first, 'SIGSTOP')
  const thaw = sleep(FREEZE_MILLISECONDS).then(() => { if (trouble) deployment.signalMachine(first, 'SIGCONT') })
  await client.send(first, 'POST', identifier, { key: KEY, body: jobOf(TASK_MILLISECONDS), milliseconds: PATIENCE_MILLISECONDS })
  client.close()
  const other = new Client(record)
  const status = await other.send(second, 'DELETE', identifier, { key: KEY })
  other.close()
  if (status === 200 || status === 410) cancelled.set(identifier, record('cancelling-acknowledged', { identifier, status }))
  await thaw
  await sleep(PAUSE_MILLISECONDS)
}

async function submit (record, entry) {
  const client = new Client(record)
  await client.send(entry, 'POST', newIdentifier(), { key: KEY, body: jobOf(TASK_MILLISECONDS) })
  client.close()
}

/** Starts of cancelled jobs later than the time allowed after the cancelling was acknowledged. */
function lateStarts ({ workers }, cancelled) {
  return workers.flatMap(({ name, starts }) => starts.flatMap(({ task, at }) => {
    const identifier = task.split('.')[0]
    const after = at - (cancelled.get(identifier) ?? Infinity)
    return after > bounds.cancel_ms ? [`UNASKED: ${task} starts on ${name} ${after} ms after the cancelling was acknowledged`] : []
  }))
}
