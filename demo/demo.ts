// Runs the main job of bramleyflow on real processes and counts, from what the callers and the stand-ins saw,
// whether each promise of the brief was kept. Exits 1 if one was broken.
import { randomUUID } from 'node:crypto'
import { expectedAnswer } from '../stand-ins/index'
import { call, operate, payloadOf, type DemoJob, type Told } from './callers'
import { Cluster, demoDocument, WORKERS, type DemoWorker } from './cluster'

const JOBS = 300
const LOAD_MILLISECONDS = 12_000
const LOSE_LEADER_AFTER_MILLISECONDS = 4_000
const LOSE_WORKER_AFTER_MILLISECONDS = 7_000
/** A gang whose member is lost is stopped everywhere within this time: lease, margin and the grace of a stop. */
const GANG_DETECTION_MILLISECONDS = 9_000
const URGENT_START_MILLISECONDS = 3_800
const CONFIGURATION_MILLISECONDS = 5_000
/** A target that leaves gets no new work after this time. */
const LEAVING_MILLISECONDS = 2_000

interface Promised {
  readonly promise: string
  readonly counted: string
  readonly kept: boolean
}

const promises: Promised[] = []

function count (promise: string, counted: string, kept: boolean): void {
  promises.push({ promise, counted, kept })
}

async function until (what: string, test: () => Promise<boolean> | boolean, limit: number): Promise<number> {
  const began = Date.now()
  while (Date.now() - began < limit) {
    try { if (await test()) return Date.now() - began } catch { /* not yet */ }
    await sleep(20)
  }
  throw new Error(`${what} did not happen within ${limit} ms`)
}

function sleep (milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** Small proofs, single portraits and gangs over several workers, half of them not idempotent. */
function mixedJob (position: number, accounts: readonly string[]): DemoJob {
  const account = accounts[position % accounts.length] ?? ''
  const gang = position % 10 === 0
  const portrait = position % 3 === 0
  return {
    identifier: `job-${position}`,
    account,
    workers: gang ? 2 + (position / 10) % 2 : 1,
    accelerators: gang ? 4 : portrait ? 1 + position % 4 : 0,
    idempotent: position % 2 === 0,
    milliseconds: gang ? 600 : 50 + (position * 37) % 300,
    urgency: position % 7 === 0 ? 'urgent' : 'normal'
  }
}

async function putDocument (cluster: Cluster, document: object): Promise<void> {
  const read = Object.fromEntries(Object.keys(document).map((section) => [section, 0]))
  const body = { requestIdentifier: randomUUID(), read, sections: document }
  await until('the first document', async () => (await operate(cluster, 'PUT', '/configuration', body)).status === 200, 10_000)
}

async function leaderOf (cluster: Cluster): Promise<number> {
  const { body } = await operate(cluster, 'GET', '/control/members')
  return cluster.controls.findIndex((control) => control.address === body.leader)
}

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

/** Runs of each job at all targets, by identifier. */
function targetRuns (workers: readonly DemoWorker[]): Map<string, number> {
  const runs = new Map<string, number>()
  for (const { target } of workers) for (const { job } of target.runs) runs.set(job, (runs.get(job) ?? 0) + 1)
  return runs
}

function judgeAnswers (told: readonly Told[], runs: ReadonlyMap<string, number>): void {
  const finished = told.filter((one) => one.status === 200)
  const wrong = finished.filter((one) => one.body !== expectedAnswer(Buffer.from(payloadOf(one.job))).toString())
  const lost = told.filter((one) => one.status === 0)
  const untrue = told.filter((one) => one.status !== 200 && one.verdict === 'not-run' && (runs.get(one.job.identifier) ?? 0) > 0)
  const doubled = told.filter((one) => !one.job.idempotent && (runs.get(one.job.identifier) ?? 0) > 1)
  const mayHaveRun = told.filter((one) => one.verdict === 'may-have-run')
  const unanswered = told.length - finished.length - lost.length - mayHaveRun.length
  count('every caller gets the whole answer to its own request', `${finished.length} of ${told.length} answered whole, ${mayHaveRun.length} told may-have-run, ${unanswered} told not-run, ${wrong.length} wrong, ${lost.length} lost`, wrong.length === 0 && lost.length === 0 && finished.length > told.length * 0.9)
  count('a refusal that says not run is true', `${untrue.length} untrue`, untrue.length === 0)
  count('a non-idempotent request runs at most once', `${doubled.length} doubled`, doubled.length === 0)
  for (const one of told.filter((each) => each.status !== 200).slice(0, 5)) console.log(`  ${one.job.identifier}: ${one.status} ${one.body}`)
}

/** Time during which an attempt ran on some but not all of its workers, after all had started or any had ended. */
function judgeGangs (workers: readonly DemoWorker[], sizes: ReadonlyMap<string, number>): void {
  const starts = new Map<string, Array<{ startedAt: number, endedAt: number }>>()
  for (const { platform } of workers) {
    for (const record of platform.records) {
      const list = starts.get(record.key) ?? []
      list.push({ startedAt: record.startedAt, endedAt: record.endedAt === 0 ? Date.now() : record.endedAt })
      starts.set(record.key, list)
    }
  }
  let gangs = 0
  let worst = 0
  for (const [key, members] of starts) {
    const size = sizes.get(key.slice(0, key.lastIndexOf('.'))) ?? 1
    if (size === 1) continue
    gangs++
    const allStarted = members.length === size ? Math.max(...members.map((member) => member.startedAt)) : Infinity
    const firstStart = Math.min(...members.map((member) => member.startedAt))
    const firstEnd = Math.min(...members.map((member) => member.endedAt))
    const lastEnd = Math.max(...members.map((member) => member.endedAt))
    worst = Math.max(worst, Math.min(allStarted, lastEnd) - firstStart, lastEnd - firstEnd)
  }
  count('no gang runs with part of its accelerators', `${gangs} gang attempts, longest time in part ${worst} ms`, gangs > 0 && worst < GANG_DETECTION_MILLISECONDS)
  const conflicts = workers.reduce((sum, { platform }) => sum + platform.conflicts, 0)
  count('no accelerator is given twice', `${conflicts} refused by the platforms`, conflicts === 0)
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

async function main (): Promise<void> {
  const began = Date.now()
  const document = demoDocument()
  const accounts = document.clientAccounts.map((account) => account.name)
  const guarantees = document.guarantees as ExampleGuarantee[]
  const cluster = await Cluster.create()
  try {
    await putDocument(cluster, document)
    await until('all workers announced', async () => (await operate(cluster, 'GET', '/workers')).body.workers.length === WORKERS, 15_000)
    console.log(`ready after ${Date.now() - began} ms: 3 control processes, 2 entries, ${WORKERS} agents`)
    const told = await runLoad(cluster, accounts)
    judgeAnswers(told, targetRuns(cluster.workers))
    judgeGangs(cluster.workers, new Map(told.map(({ job }) => [job.identifier, job.workers])))
    const guarantee = guarantees[0]
    if (guarantee !== undefined) await judgeReclaim(cluster, accounts, guarantee)
    await judgeDrain(cluster, accounts)
  } finally {
    const stopping = Date.now()
    await cluster.stop()
    const { controls, entries, workers } = cluster
    const children = [...controls.map((one) => one.child), ...entries.map((one) => one.child), ...workers.map((one) => one.agent)]
    const graceful = children.filter((child) => child.exitCode === 0).length
    for (const child of children) if (child.exitCode !== 0) console.log(`  ${child.spawnargs.at(-1)?.split('/').at(-1)} ended with ${child.exitCode ?? child.signalCode}`)
    count('every planned stop is graceful', `${graceful} of ${children.length - 2} processes ended by themselves with 0, in ${Date.now() - stopping} ms`, graceful === children.length - 2)
  }
  for (const { promise, counted, kept } of promises) console.log(`${kept ? 'kept  ' : 'BROKEN'} ${promise}: ${counted}`)
  console.log(`took ${Math.round((Date.now() - began) / 1_000)} s`)
  if (promises.some(({ kept }) => !kept)) process.exitCode = 1
}

await main().catch((error: Error) => {
  console.error(error.message)
  process.exitCode = 1
})
