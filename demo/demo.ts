// Runs the main job of bramleyflow on real processes and counts, from what the callers and the stand-ins saw,
// whether each promise of the brief was kept. Exits 1 if one was broken.
import { call, operate, type Told } from './callers'
import { WORKERS, type Cluster } from './cluster'
import { count, judgeAnswers, judgeGangs, targetRuns } from './judge'
import { leaderOf, mixedJob, onSystem, sleep, until } from './load'

const JOBS = 300
const LOAD_MILLISECONDS = 12_000
const LOSE_LEADER_AFTER_MILLISECONDS = 4_000
const LOSE_WORKER_AFTER_MILLISECONDS = 7_000
const URGENT_START_MILLISECONDS = 3_800
const CONFIGURATION_MILLISECONDS = 5_000
/** A target that leaves gets no new work after this time. */
const LEAVING_MILLISECONDS = 2_000

async function runLoad (cluster: Cluster, accounts: readonly string[]): Promise<Told[]> {
  const callers: Array<Promise<Told>> = []
  const faults = [
    sleep(LOSE_LEADER_AFTER_MILLISECONDS).then(async () => {
      const leader = cluster.controls[await leaderOf(cluster)]
      if (leader === undefined) throw new Error('no leader to end')
      cluster.end(leader)
      console.log(`ended the leader, ${leader.name}`)
    }),
    sleep(LOSE_WORKER_AFTER_MILLISECONDS).then(async () => {
      const worker = cluster.workers[0]
      if (worker === undefined) throw new Error('no worker to lose')
      await cluster.loseWorker(worker)
      console.log(`lost ${worker.name}`)
    })
  ]
  for (let position = 0; position < JOBS; position++) {
    callers.push(call(cluster, mixedJob(position, accounts), position))
    await sleep(LOAD_MILLISECONDS / JOBS)
  }
  await Promise.all(faults)
  return await Promise.all(callers)
}

interface ExampleGuarantee {
  readonly account: string
  readonly graceSeconds: number
  readonly shape: { readonly workers: number, readonly accelerators: number }
}

/** Fills the fleet with another account's work, then asks for a guaranteed shape, and for something urgent. */
async function judgeReclaim (cluster: Cluster, accounts: readonly string[], guarantee: ExampleGuarantee): Promise<void> {
  const borrower = accounts.find((account) => account !== guarantee.account) ?? ''
  const long = { account: borrower, workers: 1, accelerators: 8, idempotent: true, milliseconds: 15_000, urgency: 'background' as const }
  const borrowers = Array.from({ length: WORKERS }, (_, position) => call(cluster, { ...long, identifier: `long-${position}` }, position))
  const running = (): number => cluster.workers.filter(({ platform }) => platform.records.some((record) => record.key.startsWith('long-') && record.endedAt === 0)).length
  await until('the borrowers run', () => running() >= WORKERS - 1, 10_000)
  const began = Date.now()
  const { workers, accelerators } = guarantee.shape
  const own = call(cluster, { identifier: 'reclaim', account: guarantee.account, workers, accelerators, idempotent: false, milliseconds: 200, urgency: 'normal' }, 0)
  const urgent = call(cluster, { identifier: 'urgent', account: borrower, workers: 1, accelerators: 4, idempotent: false, milliseconds: 50, urgency: 'urgent' }, 1)
  const startOf = (job: string): number => Math.max(...cluster.workers.flatMap(({ platform }) => platform.records).filter((record) => record.key.startsWith(`${job}.`)).map((record) => record.startedAt)) - began
  const told = await Promise.all([own, urgent])
  count('a guaranteed shape can be reclaimed', `${workers} x ${accelerators} accelerators for ${guarantee.account} started after ${startOf('reclaim')} ms, grace ${guarantee.graceSeconds * 1_000} ms, answer ${told[0].status}`, told[0].status === 200 && startOf('reclaim') <= guarantee.graceSeconds * 1_000)
  count('urgent work starts within 3.8 s', `started after ${startOf('urgent')} ms, answer ${told[1].status}`, told[1].status === 200 && startOf('urgent') <= URGENT_START_MILLISECONDS)
  const identifiers = Array.from({ length: WORKERS }, (_, position) => `long-${position}`)
  await operate(cluster, 'POST', '/jobs/cancel', { identifiers })
  await Promise.all(borrowers)
}

/** A change of configuration reaches every process; a worker under maintenance gets nothing new. */
async function judgeDrain (cluster: Cluster, accounts: readonly string[]): Promise<void> {
  const before = (await operate(cluster, 'GET', '/configuration')).body
  const began = Date.now()
  const drain = await operate(cluster, 'POST', '/workers/worker-1/drain')
  if (drain.status !== 200) console.log(`drain: ${drain.status} ${JSON.stringify(drain.body)}`)
  const inForce = await until('the change in force everywhere', async () => {
    const { body } = await operate(cluster, 'GET', '/configuration/status')

    return body.number > before.number && body.laggards.length === 0
  }, CONFIGURATION_MILLISECONDS * 2)
  count('an accepted configuration is in force everywhere within seconds', `after ${inForce} ms at ${WORKERS - 1} agents and 2 entries`, inForce <= CONFIGURATION_MILLISECONDS)
  await sleep(Math.max(0, began + LEAVING_MILLISECONDS - Date.now()))
  const drained = cluster.workers[1]
  const runsBefore = drained?.target.runs.length ?? 0
  await Promise.all(Array.from({ length: 40 }, (_, position) => call(cluster, { ...mixedJob(position * 3 + 1, accounts), identifier: `after-${position}` }, position)))
  const newRuns = (drained?.target.runs.length ?? 0) - runsBefore
  count('a leaving target gets no new work after a few seconds', `${newRuns} of 40 later jobs at the drained worker`, newRuns === 0)
}

await onSystem(2, async ({ cluster, accounts, document }) => {
  const told = await runLoad(cluster, accounts)
  judgeAnswers(told, targetRuns(cluster.workers))
  judgeGangs(cluster.workers, new Map(told.map(({ job }) => [job.identifier, job.workers])))
  const [guarantee] = document.guarantees as ExampleGuarantee[]
  if (guarantee !== undefined) await judgeReclaim(cluster, accounts, guarantee)
  await judgeDrain(cluster, accounts)
})
