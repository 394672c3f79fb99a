// Runs two builds on each other's data and side by side. Exits 1 if a check failed.
//   node scripts/tool.mjs demo/versions.ts OLD_BINARY NEW_BINARY
// 1. All processes run the old build, until each control host has written a snapshot and a second log segment.
// 2. All control hosts are killed and started with the new build, then with the old one again: the stored state must not
//    change.
// 3. One control host, one entry and half of the agents run the old build, all others the new one, under load, while
//    first an old and then a new control host leads.
import { execFileSync } from 'node:child_process'
import { readdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { request } from 'undici'
import { accountToken, OPERATOR_TOKEN, type Cluster } from './cluster'
import { submitWithRetries, requestAsOperator, type JobOutcome } from './callers'
import { recordCheck, checkAnswers, checkGangs, countTargetRuns } from './checks'
import { leaderOf, mixedJob, runOnCluster, sleep, waitUntil } from './load'

const [OLD = '', NEW = ''] = process.argv.slice(2)
if (NEW === '') throw new Error('usage: node scripts/tool.mjs demo/versions.ts OLD_BINARY NEW_BINARY')
/** Enough for two log segments and a snapshot of 4 MiB each, with a margin. */
const LOG_FILL_BYTES = 10 * 1024 * 1024
const PAYLOAD_BYTES = 60_000
const JOBS_AT_ONCE = 20
const LOAD_MILLISECONDS = 6_000
const BETWEEN_JOBS_MILLISECONDS = 40
const WAIT_LIMIT_MILLISECONDS = 15_000

/** A client account of the example document. */
const QUEUE_ACCOUNT = 'temples'
const queueDocument = {
  queues: [{ name: 'proofs', host: 'proofs.example', prefix: '/proofs/', service: 'proofs', priority: 0, mostAttempts: 2, slackFactor: 1.5, targetLatencyMilliseconds: 250, timeoutMilliseconds: 3_000, public: false }],
  services: [{ name: 'proofs', guardsCapacity: false, standby: false }],
  accounts: [{ name: QUEUE_ACCOUNT, keys: [], guaranteedAccelerators: 8 }]
}
const stepJob = { payload: '30', steps: [{ tasks: 2, processors: 1_000, accelerators: 1, estimateMilliseconds: 50, gang: true }, { tasks: 1, after: [0] }] }
const STEP_JOBS = ['00000000000000a1', '00000000000000a2', '00000000000000a3']

/** Path of the binary by process name. */
const binaryByProcess = new Map<string, string>()

/** The stored state as operators and callers can read it. */
interface StoredState {
  readonly audit: string
  /** Configuration, queue document, jobs and step jobs, as text. */
  readonly views: string
}

async function readText (cluster: Cluster, path: string, token: string): Promise<string> {
  const { statusCode, body } = await request(`http://${cluster.entries[0]?.address ?? ''}${path}`, { headers: { authorization: `Bearer ${token}` } })
  const text = await body.text()
  if (statusCode !== 200) throw new Error(`${path}: status ${statusCode}, ${text}`)
  return text
}

async function readStoredState (cluster: Cluster, accounts: readonly string[]): Promise<StoredState> {
  const operatorPaths = ['/configuration', '/queue-document', ...STEP_JOBS.map((identifier) => `/queues/proofs/jobs/${identifier}`)]
  const operatorViews = await Promise.all(operatorPaths.map((path) => readText(cluster, path, OPERATOR_TOKEN)))
  const jobViews = await Promise.all(accounts.map((account) => readText(cluster, '/jobs?limit=5000', accountToken(account))))
  return { audit: await readText(cluster, '/audit', OPERATOR_TOKEN), views: [...operatorViews, ...jobViews].join('\n') }
}

/** Verifies an exported audit record with both builds. */
function verifyAuditRecord (cluster: Cluster, name: string, audit: string): boolean {
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

/** Fills the log with large payloads until each control host has a snapshot and has removed its first segment. */
async function fillLog (cluster: Cluster, accounts: readonly string[]): Promise<void> {
  await send(cluster, 'PUT', '/queue-document', OPERATOR_TOKEN, { number: 7, document: queueDocument })
  for (const identifier of STEP_JOBS) await send(cluster, 'POST', `/queues/proofs/jobs/${identifier}`, accountToken(QUEUE_ACCOUNT), stepJob)
  const text = 'x'.repeat(PAYLOAD_BYTES)
  const submit = async (position: number): Promise<void> => {
    const payload = { base64: Buffer.from(JSON.stringify({ milliseconds: 5, text })).toString('base64') }
    const body = { identifier: `large-${position}`, kind: 'proof', shape: { workers: 1, accelerators: 0 }, idempotent: true, payload }
    await send(cluster, 'POST', '/jobs?wait=true', accountToken(accounts[position % accounts.length] ?? ''), body)
  }
  const jobs = Math.ceil(LOG_FILL_BYTES / PAYLOAD_BYTES)
  for (let first = 0; first < jobs; first += JOBS_AT_ONCE) {
    await Promise.all(Array.from({ length: JOBS_AT_ONCE }, (_, offset) => submit(first + offset)))
  }
  await waitUntil('a snapshot and a later log segment on each control host', () => [0, 1, 2].every((position) => {
    const names = readdirSync(join(cluster.folder, `data-${position}`))
    return names.some((name) => name.startsWith('snapshot-')) && !names.some((name) => /^log-0*1$/.test(name))
  }), WAIT_LIMIT_MILLISECONDS)
}

/** Kills all control hosts and restarts them with another build. */
async function switchControlHosts (cluster: Cluster, binary: string): Promise<void> {
  for (const { name } of cluster.controls) binaryByProcess.set(name, binary)
  await Promise.all(cluster.controls.map((control) => cluster.killAndRestart(control, 200)))
  await waitUntil('a leader of the other build', async () => (await requestAsOperator(cluster, 'GET', '/control/members')).status === 200, WAIT_LIMIT_MILLISECONDS)
}

async function compareStoredState (cluster: Cluster, accounts: readonly string[], name: string, before: StoredState): Promise<void> {
  let after = await readStoredState(cluster, accounts)
  await waitUntil('the stored views to match', async () => { after = await readStoredState(cluster, accounts); return after.views === before.views }, WAIT_LIMIT_MILLISECONDS).catch(() => {})
  recordCheck(`${name}: documents, jobs and step jobs are unchanged`, `${after.views.length} characters`, after.views === before.views)
  recordCheck(`${name}: the audit record continues the stored one`, `${before.audit.split('\n').length - 1} lines before, ${after.audit.split('\n').length - 1} after`, after.audit.startsWith(before.audit))
  recordCheck(`${name}: both builds verify the record`, 'audit verify', verifyAuditRecord(cluster, 'audit', after.audit))
}

async function runLoadWithLeader (cluster: Cluster, accounts: readonly string[], leader: number, first: number): Promise<JobOutcome[]> {
  const identity = (await requestAsOperator(cluster, 'GET', '/control/members')).body.members.find((member: { address: string }) => member.address === cluster.controls[leader]?.address)?.identity
  await waitUntil(`control-${leader} to lead`, async () => {
    if (await leaderOf(cluster) === leader) return true
    await requestAsOperator(cluster, 'POST', '/control/transfer', { identity })
    return false
  }, WAIT_LIMIT_MILLISECONDS)
  const callers: Array<Promise<JobOutcome>> = []
  for (let position = first; position < first + LOAD_MILLISECONDS / BETWEEN_JOBS_MILLISECONDS; position++) {
    callers.push(submitWithRetries(cluster, mixedJob(position, accounts), position))
    await sleep(BETWEEN_JOBS_MILLISECONDS)
  }
  const outcomes = await Promise.all(callers)
  const finished = outcomes.filter(({ status }) => status === 200).length
  recordCheck(`side by side, control-${leader} leads (${binaryByProcess.get(`control-${leader}`) === OLD ? 'old' : 'new'})`, `${finished} of ${outcomes.length} jobs finished`, finished === outcomes.length && await leaderOf(cluster) === leader)
  return outcomes
}

/** Restarts one control host, one entry and half of the agents with the old build, all others with the new one. */
async function mixBuilds (cluster: Cluster): Promise<void> {
  const all = [...cluster.controls, ...cluster.entries, ...cluster.workers]
  for (const process of all) {
    const old = ['control-0', 'entry-0'].includes(process.name) || (process.name.startsWith('worker-') && Number(process.name.slice(7)) % 2 === 0)
    binaryByProcess.set(process.name, old ? OLD : NEW)
    await cluster.restart(process)
    if (process.name.startsWith('control-')) await sleep(2_000)
  }
  await waitUntil('all workers to be announced', async () => (await requestAsOperator(cluster, 'GET', '/workers')).body.workers.filter((worker: { present: boolean }) => worker.present).length === cluster.workers.length, WAIT_LIMIT_MILLISECONDS)
}

await runOnCluster(0, async ({ cluster, accounts }) => {
  await fillLog(cluster, accounts)
  const before = await readStoredState(cluster, accounts)
  await switchControlHosts(cluster, NEW)
  await compareStoredState(cluster, accounts, 'new build on old data', before)
  const beforeRollback = await readStoredState(cluster, accounts)
  await switchControlHosts(cluster, OLD)
  await compareStoredState(cluster, accounts, 'old build on new data', beforeRollback)
  await mixBuilds(cluster)
  const outcomes = [...await runLoadWithLeader(cluster, accounts, 0, 0), ...await runLoadWithLeader(cluster, accounts, 1, 1_000)]
  checkAnswers(outcomes, countTargetRuns(cluster.workers))
  checkGangs(cluster.workers, new Map(outcomes.map(({ job }) => [job.identifier, job.workers])))
  const after = await readStoredState(cluster, accounts)
  recordCheck('side by side: both builds verify the record', 'audit verify', verifyAuditRecord(cluster, 'mixed', after.audit))
}, (name) => binaryByProcess.get(name) ?? OLD)
