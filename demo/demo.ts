// Runs a mixed load on real processes while the leader is killed and a worker host fails, then checks reclaiming and
// draining. Checks are made from what the callers and the stand-ins observed; exits 1 if one failed.
import { submitWithRetries, requestAsOperator, type JobOutcome } from './callers'
import { WORKERS, type Cluster } from './cluster'
import { recordCheck, checkAnswers, checkGangs, countTargetRuns } from './checks'
import { leaderOf, mixedJob, runOnCluster, sleep, waitUntil } from './load'

const JOBS = 300
const LOAD_MILLISECONDS = 12_000
const KILL_LEADER_AFTER_MILLISECONDS = 4_000
const FAIL_WORKER_AFTER_MILLISECONDS = 7_000
const MAX_URGENT_START_MILLISECONDS = 3_800
const MAX_CONFIGURATION_MILLISECONDS = 5_000
/** A worker that is drained gets no new work after this time. */
const DRAIN_SETTLE_MILLISECONDS = 2_000

async function runLoad (cluster: Cluster, accounts: readonly string[]): Promise<JobOutcome[]> {
  const callers: Array<Promise<JobOutcome>> = []
  const faults = [
    sleep(KILL_LEADER_AFTER_MILLISECONDS).then(async () => {
      const leader = cluster.controls[await leaderOf(cluster)]
      if (leader === undefined) throw new Error('no leader found to kill')
      cluster.kill(leader)
      console.log(`killed the leader, ${leader.name}`)
    }),
    sleep(FAIL_WORKER_AFTER_MILLISECONDS).then(async () => {
      const worker = cluster.workers[0]
      if (worker === undefined) throw new Error('the cluster has no workers')
      await cluster.failWorkerHost(worker)
      console.log(`failed the host of ${worker.name}`)
    })
  ]
  for (let position = 0; position < JOBS; position++) {
    callers.push(submitWithRetries(cluster, mixedJob(position, accounts), position))
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

/** Fills the fleet with jobs of another account, then submits a job of a guaranteed shape and an urgent job. */
async function checkReclaim (cluster: Cluster, accounts: readonly string[], guarantee: ExampleGuarantee): Promise<void> {
  const borrower = accounts.find((account) => account !== guarantee.account) ?? ''
  const long = { account: borrower, workers: 1, accelerators: 8, idempotent: true, milliseconds: 15_000, urgency: 'background' as const }
  const borrowers = Array.from({ length: WORKERS }, (_, position) => submitWithRetries(cluster, { ...long, identifier: `long-${position}` }, position))
  const running = (): number => cluster.workers.filter(({ platform }) => platform.taskRuns.some((record) => record.key.startsWith('long-') && record.endedAt === 0)).length
  await waitUntil('the borrowing jobs to start', () => running() >= WORKERS - 1, 10_000)
  const startedAt = Date.now()
  const { workers, accelerators } = guarantee.shape
  const guaranteed = submitWithRetries(cluster, { identifier: 'reclaim', account: guarantee.account, workers, accelerators, idempotent: false, milliseconds: 200, urgency: 'normal' }, 0)
  const urgent = submitWithRetries(cluster, { identifier: 'urgent', account: borrower, workers: 1, accelerators: 4, idempotent: false, milliseconds: 50, urgency: 'urgent' }, 1)
  const startOf = (job: string): number => Math.max(...cluster.workers.flatMap(({ platform }) => platform.taskRuns).filter((record) => record.key.startsWith(`${job}.`)).map((record) => record.startedAt)) - startedAt
  const outcomes = await Promise.all([guaranteed, urgent])
  recordCheck('a guaranteed shape can be reclaimed', `${workers} x ${accelerators} accelerators for ${guarantee.account} started after ${startOf('reclaim')} ms, grace ${guarantee.graceSeconds * 1_000} ms, answer ${outcomes[0].status}`, outcomes[0].status === 200 && startOf('reclaim') <= guarantee.graceSeconds * 1_000)
  recordCheck('urgent work starts within 3.8 s', `started after ${startOf('urgent')} ms, answer ${outcomes[1].status}`, outcomes[1].status === 200 && startOf('urgent') <= MAX_URGENT_START_MILLISECONDS)
  const identifiers = Array.from({ length: WORKERS }, (_, position) => `long-${position}`)
  await requestAsOperator(cluster, 'POST', '/jobs/cancel', { identifiers })
  await Promise.all(borrowers)
}

/** Drains a worker: the change of configuration must reach every process, and the worker must get no new work. */
async function checkDrain (cluster: Cluster, accounts: readonly string[]): Promise<void> {
  const before = (await requestAsOperator(cluster, 'GET', '/configuration')).body
  const startedAt = Date.now()
  const drain = await requestAsOperator(cluster, 'POST', '/workers/worker-1/drain')
  if (drain.status !== 200) console.log(`drain: ${drain.status} ${JSON.stringify(drain.body)}`)
  const inForceAfter = await waitUntil('the change to be in force everywhere', async () => {
    const { body } = await requestAsOperator(cluster, 'GET', '/configuration/status')
    return body.number > before.number && body.laggards.length === 0
  }, MAX_CONFIGURATION_MILLISECONDS * 2)
  recordCheck('an accepted configuration is in force everywhere within seconds', `after ${inForceAfter} ms at ${WORKERS - 1} agents and 2 entries`, inForceAfter <= MAX_CONFIGURATION_MILLISECONDS)
  await sleep(Math.max(0, startedAt + DRAIN_SETTLE_MILLISECONDS - Date.now()))
  const drained = cluster.workers[1]
  const runsBefore = drained?.target.runs.length ?? 0
  await Promise.all(Array.from({ length: 40 }, (_, position) => submitWithRetries(cluster, { ...mixedJob(position * 3 + 1, accounts), identifier: `after-${position}` }, position)))
  const newRuns = (drained?.target.runs.length ?? 0) - runsBefore
  recordCheck('a leaving target gets no new work after a few seconds', `${newRuns} of 40 later jobs ran on the drained worker`, newRuns === 0)
}

await runOnCluster(2, async ({ cluster, accounts, document }) => {
  const outcomes = await runLoad(cluster, accounts)
  checkAnswers(outcomes, countTargetRuns(cluster.workers))
  checkGangs(cluster.workers, new Map(outcomes.map(({ job }) => [job.identifier, job.workers])))
  const [guarantee] = document.guarantees as ExampleGuarantee[]
  if (guarantee !== undefined) await checkReclaim(cluster, accounts, guarantee)
  await checkDrain(cluster, accounts)
})
