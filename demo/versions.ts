// Runs two builds on each other's data and side by side, and counts the promises kept. Exits 1 if one was broken.
//   node scripts/tool.mjs demo/versions.ts OLD_BINARY NEW_BINARY
// 1. All processes run the old build, until each control host has written a snapshot and a second log segment.
// 2. All control hosts are killed and started with the new build, then with the old one again: nothing that was stored changes.
// 3. One control host, one entry and half of the agents run the old build beside the new one, under load, while an old
//    and then a new control host leads.
import { execFileSync } from 'node:child_process'
import { readdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { request } from 'undici'
import { accountToken, OPERATOR_TOKEN, type Cluster } from './cluster'
import { call, operate, type Told } from './callers'
import { count, judgeAnswers, judgeGangs, targetRuns } from './judge'
import { leaderOf, mixedJob, onSystem, sleep, until } from './load'

const [OLD = '', NEW = ''] = process.argv.slice(2)
if (NEW === '') throw new Error('usage: node scripts/tool.mjs demo/versions.ts OLD_BINARY NEW_BINARY')
/** Two log segments and a snapshot, with a margin: each is 4 MiB. */
const LOGGED_BYTES = 10 * 1024 * 1024
const PAYLOAD_BYTES = 60_000
const JOBS_AT_ONCE = 20
const LOAD_MILLISECONDS = 6_000
const BETWEEN_JOBS_MILLISECONDS = 40
const START_LIMIT_MILLISECONDS = 15_000

/** An account of the example document. */
const QUEUE_ACCOUNT = 'temples'
const queueDocument = {
  queues: [{ name: 'proofs', host: 'proofs.example', prefix: '/proofs/', service: 'proofs', priority: 0, mostAttempts: 2, slackFactor: 1.5, targetLatencyMilliseconds: 250, timeoutMilliseconds: 3_000, public: false }],
  services: [{ name: 'proofs', guardsCapacity: false, standby: false }],
  accounts: [{ name: QUEUE_ACCOUNT, keys: [], guaranteedAccelerators: 8 }]
}
const stepJob = { payload: '30', steps: [{ tasks: 2, processors: 1_000, accelerators: 1, estimateMilliseconds: 50, gang: true }, { tasks: 1, after: [0] }] }
const STEP_JOBS = ['00000000000000a1', '00000000000000a2', '00000000000000a3']

/** The build of each process, by its name. */
const builds = new Map<string, string>()

/** What operators and callers can read of the stored state. */
interface Stored {
  readonly audit: string
  /** Configuration, queue document, jobs and jobs of steps, as text. */
  readonly views: string
}

async function readText (cluster: Cluster, path: string, token: string): Promise<string> {
  const { statusCode, body } = await request(`http://${cluster.entries[0]?.address ?? ''}${path}`, { headers: { authorization: `Bearer ${token}` } })
  const text = await body.text()
  if (statusCode !== 200) throw new Error(`${path}: status ${statusCode}, ${text}`)
  return text
}

async function readStored (cluster: Cluster, accounts: readonly string[]): Promise<Stored> {
  const operatorPaths = ['/configuration', '/queue-document', ...STEP_JOBS.map((identifier) => `/queues/proofs/jobs/${identifier}`)]
  const operatorViews = await Promise.all(operatorPaths.map((path) => readText(cluster, path, OPERATOR_TOKEN)))
  const jobViews = await Promise.all(accounts.map((account) => readText(cluster, '/jobs?limit=5000', accountToken(account))))
  return { audit: await readText(cluster, '/audit', OPERATOR_TOKEN), views: [...operatorViews, ...jobViews].join('\n') }
}

/** Each build checks the exported audit record. */
function verifies (cluster: Cluster, name: string, audit: string): boolean {
  const file = join(cluster.folder, `${name}.jsonl`)
  writeFileSync(file, audit)
  try {
    for (const binary of [OLD, NEW]) execFileSync(binary, ['audit', 'verify', file], { stdio: 'ignore' })
    return true
  } catch {
    return false
  }
}

async function send (cluster: Cluster, method: 'POST' | 'PUT', path: string, token: string, body: object): Promise<void> {
  const headers = { authorization: `Bearer ${token}`, 'content-type': 'application/json' }
  const reply = await request(`http://${cluster.entries[0]?.address ?? ''}${path}`, { method, headers, body: JSON.stringify(body) })
  const text = await reply.body.text()
  if (reply.statusCode >= 300) throw new Error(`${method} ${path}: status ${reply.statusCode}, ${text}`)
}

/** Fills the log with large payloads, so that segments are full and snapshots are due. */
async function fill (cluster: Cluster, accounts: readonly string[]): Promise<void> {
  await send(cluster, 'PUT', '/queue-document', OPERATOR_TOKEN, { number: 7, document: queueDocument })
  for (const identifier of STEP_JOBS) await send(cluster, 'POST', `/queues/proofs/jobs/${identifier}`, accountToken(QUEUE_ACCOUNT), stepJob)
  const text = 'x'.repeat(PAYLOAD_BYTES)
  const submit = async (position: number): Promise<void> => {
    const payload = { base64: Buffer.from(JSON.stringify({ milliseconds: 5, text })).toString('base64') }
    const body = { identifier: `large-${position}`, kind: 'proof', shape: { workers: 1, accelerators: 0 }, idempotent: true, payload }
    await send(cluster, 'POST', '/jobs?wait=true', accountToken(accounts[position % accounts.length] ?? ''), body)
  }
  const jobs = Math.ceil(LOGGED_BYTES / PAYLOAD_BYTES)
  for (let first = 0; first < jobs; first += JOBS_AT_ONCE) {
    await Promise.all(Array.from({ length: JOBS_AT_ONCE }, (_, offset) => submit(first + offset)))
  }
  await until('a snapshot and a later segment on each control host', () => [0, 1, 2].every((position) => {
    const names = readdirSync(join(cluster.folder, `data-${position}`))
    return names.some((name) => name.startsWith('snapshot-')) && !names.some((name) => /^log-0*1$/.test(name))
  }), START_LIMIT_MILLISECONDS)
}

/** Kills all control hosts and starts them with another build. */
async function takeOver (cluster: Cluster, binary: string): Promise<void> {
  for (const { name } of cluster.controls) builds.set(name, binary)
  await Promise.all(cluster.controls.map((control) => cluster.crash(control, 200)))
  await until('a leader of the other build', async () => (await operate(cluster, 'GET', '/control/members')).status === 200, START_LIMIT_MILLISECONDS)
}

async function compareStored (cluster: Cluster, accounts: readonly string[], name: string, before: Stored): Promise<void> {
  let after = await readStored(cluster, accounts)
  await until('the stored views', async () => { after = await readStored(cluster, accounts); return after.views === before.views }, START_LIMIT_MILLISECONDS).catch(() => {})
  count(`${name}: documents, jobs and jobs of steps are unchanged`, `${after.views.length} characters`, after.views === before.views)
  count(`${name}: the audit record goes on from what was stored`, `${before.audit.split('\n').length - 1} lines before, ${after.audit.split('\n').length - 1} after`, after.audit.startsWith(before.audit))
  count(`${name}: both builds verify the record`, 'audit verify', verifies(cluster, 'audit', after.audit))
}

async function loadUnder (cluster: Cluster, accounts: readonly string[], leader: number, first: number): Promise<Told[]> {
  const identity = (await operate(cluster, 'GET', '/control/members')).body.members.find((member: { address: string }) => member.address === cluster.controls[leader]?.address)?.identity
  await until(`control-${leader} leads`, async () => {
    if (await leaderOf(cluster) === leader) return true
    await operate(cluster, 'POST', '/control/transfer', { identity })
    return false
  }, START_LIMIT_MILLISECONDS)
  const callers: Array<Promise<Told>> = []
  for (let position = first; position < first + LOAD_MILLISECONDS / BETWEEN_JOBS_MILLISECONDS; position++) {
    callers.push(call(cluster, mixedJob(position, accounts), position))
    await sleep(BETWEEN_JOBS_MILLISECONDS)
  }
  const told = await Promise.all(callers)
  const finished = told.filter(({ status }) => status === 200).length
  count(`side by side, control-${leader} leads (${builds.get(`control-${leader}`) === OLD ? 'old' : 'new'})`, `${finished} of ${told.length} jobs finished`, finished === told.length && await leaderOf(cluster) === leader)
  return told
}

/** One control host, one entry and half of the agents of the old build, all others of the new one. */
async function mixBuilds (cluster: Cluster): Promise<void> {
  const all = [...cluster.controls, ...cluster.entries, ...cluster.workers]
  for (const process of all) {
    const old = ['control-0', 'entry-0'].includes(process.name) || (process.name.startsWith('worker-') && Number(process.name.slice(7)) % 2 === 0)
    builds.set(process.name, old ? OLD : NEW)
    await cluster.restart(process)
    if (process.name.startsWith('control-')) await sleep(2_000)
  }
  await until('all workers announced', async () => (await operate(cluster, 'GET', '/workers')).body.workers.filter((worker: { present: boolean }) => worker.present).length === cluster.workers.length, START_LIMIT_MILLISECONDS)
}

await onSystem(0, async ({ cluster, accounts }) => {
  await fill(cluster, accounts)
  const before = await readStored(cluster, accounts)
  await takeOver(cluster, NEW)
  await compareStored(cluster, accounts, 'new build on old data', before)
  const between = await readStored(cluster, accounts)
  await takeOver(cluster, OLD)
  await compareStored(cluster, accounts, 'old build on new data', between)
  await mixBuilds(cluster)
  const told = [...await loadUnder(cluster, accounts, 0, 0), ...await loadUnder(cluster, accounts, 1, 1_000)]
  judgeAnswers(told, targetRuns(cluster.workers))
  judgeGangs(cluster.workers, new Map(told.map(({ job }) => [job.identifier, job.workers])))
  const after = await readStored(cluster, accounts)
  count('side by side: both builds verify the record', 'audit verify', verifies(cluster, 'mixed', after.audit))
}, (name) => builds.get(name) ?? OLD)
