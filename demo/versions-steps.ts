// Runs step jobs on the platform's roles with two builds side by side. Exits 1 if a check failed.
//   node scripts/tool.mjs demo/versions-steps.ts OLD_BINARY NEW_BINARY
// One control host, one entry and one agent run the old build; two control hosts, one entry and one agent the new one.
// Each job is a gang with a task on each worker. The control hosts are killed one after the other, so that each
// build leads at some time.
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import { WorkerStandIn } from '../stand-ins/index'
import { recordCheck, reportChecks } from './checks'
import { sleep, waitUntil } from './load'

const [OLD = '', NEW = ''] = process.argv.slice(2)
if (NEW === '') throw new Error('usage: node scripts/tool.mjs demo/versions-steps.ts OLD_BINARY NEW_BINARY')

const PORTS = { internal: [21_000, 21_001], clients: 21_002, readiness: 21_003, operators: 21_004, workers: 21_005 }
const WAIT_LIMIT_MILLISECONDS = 20_000
const JOBS = 60
const BETWEEN_JOBS_MILLISECONDS = 200
const KILL_EVERY_MILLISECONDS = 3_500
const RESTART_AFTER_MILLISECONDS = 500
const HEARTBEAT_MILLISECONDS = 200
const folder = mkdtempSync(join(tmpdir(), 'bramleyflow-versions-'))

interface SystemProcess { readonly name: string, readonly ip: string, readonly binary: string, child: ChildProcess }

function launch ({ name, binary }: Omit<SystemProcess, 'child'>): ChildProcess {
  const log = openSync(join(folder, `${name}.log`), 'a')
  return spawn(binary, ['serve', '--settings', join(folder, `${name}.json`)], { stdio: ['ignore', log, log] })
}

function startProcess (role: 'control' | 'entry' | 'agent', name: string, position: number, binary: string, addresses: (ip: string) => object): SystemProcess {
  const ip = `127.0.9.${position}`
  const seeds = [1, 2, 3].map((seed) => `127.0.9.${seed}:${PORTS.internal[0]}`)
  const deployment = { ip, innerPorts: PORTS.internal, seeds, founding: true, hostsLostAtOnce: 1, workerLeaseMilliseconds: 3_000, stopDeadlineSeconds: 4, ...addresses(ip) }
  writeFileSync(join(folder, `${name}.json`), JSON.stringify({ host: name, roles: [role], region: 'hue', dataCentre: 'd', deployment }))
  return { name, ip, binary, child: launch({ name, ip, binary }) }
}

async function send (url: string, method: 'GET' | 'POST', body?: object, headers: Record<string, string> = {}): Promise<{ status: number, body: any }> {
  const reply = await request(url, { method, headers: { 'content-type': 'application/json', ...headers }, body: body && JSON.stringify(body) })
  const text = await reply.body.text()
  return { status: reply.statusCode, body: text === '' ? undefined : JSON.parse(text) }
}

const operatorDocument = {
  version: 1,
  routes: [{ name: 'proofs', host: 'proofs.example', path_prefix: '/proofs/', kind: 'non_idempotent', timeout_ms: 3_000, target_latency_ms: 250, priority: 0, service: 'proofs', max_attempts: 5, slack_factor: 1.5, public: false }],
  services: [{ name: 'proofs', health_path: '/healthz', max_conns: 64, protocol: 'h1', tls: false, enforces_capacity: false, standby: false }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
  tenants: [{ name: 'one', api_keys: ['key-of-one'], priority: 1, guaranteed_gpus: { gpu: 16 } }]
}
/** Longer than a leader change: the worker stand-in doesn't make a member wait for its gang, so a shorter gang could end before each member has got its start. */
const TASK_MILLISECONDS = 2_000
const gangJob = { spec: String(TASK_MILLISECONDS), phases: [{ count: 2, cpu: 1_000, mem_mb: 100, gpu: 1, estimate_ms: TASK_MILLISECONDS, gang: true, anti_affinity: 1 }] }

async function callEntry (entry: SystemProcess, method: 'GET' | 'POST', identifier: string, body?: object): Promise<{ status: number, body: any }> {
  return await send(`http://${entry.ip}:${PORTS.clients}/proofs/${identifier}`, method, body, { host: 'proofs.example', authorization: 'Token key-of-one' })
}

async function submitAll (entries: readonly SystemProcess[]): Promise<string[]> {
  const identifiers = Array.from({ length: JOBS }, (_, position) => `000000000000${String(1_000 + position)}`)
  const accepted = identifiers.map(async (identifier, position) => {
    await sleep(position * BETWEEN_JOBS_MILLISECONDS)
    const entry = entries[position % entries.length]
    if (entry !== undefined) await waitUntil(`${identifier} to be accepted`, async () => (await callEntry(entry, 'POST', identifier, gangJob)).status === 200, WAIT_LIMIT_MILLISECONDS)
  })
  await Promise.all(accepted)
  return identifiers
}

async function killControlHosts (controls: readonly SystemProcess[]): Promise<void> {
  for (const control of [...controls, ...controls]) {
    await sleep(KILL_EVERY_MILLISECONDS - RESTART_AFTER_MILLISECONDS)
    control.child.kill('SIGKILL')
    await sleep(RESTART_AFTER_MILLISECONDS)
    control.child = launch(control)
  }
}

function countTermsLed ({ name }: SystemProcess): number {
  return readFileSync(join(folder, `${name}.log`), 'utf8').split('\n').filter((line) => line.includes('"event":"leading"')).length
}

const startedAt = Date.now()
const controls = [1, 2, 3].map((position) => startProcess('control', `control-${position}`, position, position === 1 ? OLD : NEW, (ip) => ({ folder: join(folder, `data-${position}`), operators: `${ip}:${PORTS.operators}` })))
const entries = [4, 5].map((position) => startProcess('entry', `entry-${position}`, position, position === 4 ? OLD : NEW, (ip) => ({ clients: `${ip}:${PORTS.clients}`, readiness: `${ip}:${PORTS.readiness}` })))
const agents = [6, 7].map((position) => startProcess('agent', `agent-${position}`, position, position === 6 ? OLD : NEW, (ip) => ({ workers: `${ip}:${PORTS.workers}` })))
const workers = await Promise.all(agents.map(({ name }) => WorkerStandIn.create(`worker-of-${name}`)))
const heartbeatTimer = setInterval(() => {
  for (const [position, worker] of workers.entries()) {
    void send(`http://${agents[position]?.ip ?? ''}:${PORTS.workers}/instances/${worker.name}/heartbeat`, 'POST', worker.heartbeat()).catch(() => { /* the agent may not listen yet */ })
  }
}, HEARTBEAT_MILLISECONDS)
try {
  const operators = `http://${controls[0]?.ip ?? ''}:${PORTS.operators}/config/replace`
  await waitUntil('the document to be accepted', async () => (await send(operators, 'POST', operatorDocument)).status === 200, WAIT_LIMIT_MILLISECONDS)
  const [identifiers] = await Promise.all([submitAll(entries), killControlHosts(controls)])
  const states: string[] = []
  await waitUntil('all jobs to end', async () => {
    const answers = await Promise.all(identifiers.map((identifier, position) => callEntry(entries[position % 2] ?? entries[0] as SystemProcess, 'GET', identifier)))
    states.splice(0, states.length, ...answers.map(({ body }) => String(body?.state)))
    return states.every((state) => state === 'completed' || state === 'failed')
  }, WAIT_LIMIT_MILLISECONDS * 2).catch((error: Error) => { console.error(error.message) })
  const completed = states.filter((state) => state === 'completed').length
  recordCheck('every accepted step job is completed', `${completed} of ${identifiers.length}`, completed === identifiers.length)
  recordCheck('no task runs twice at once', `${workers.flatMap(({ observations }) => observations.overlappingRuns).length} ran twice at once`, workers.every(({ observations }) => observations.overlappingRuns.length === 0))
  recordCheck('workers of both agents run every gang', workers.map(({ observations }) => `${observations.starts.length} starts`).join(', '), workers.every(({ observations }) => observations.starts.length >= JOBS))
  recordCheck('each build leads', controls.map((control) => `${control.binary === OLD ? 'old' : 'new'} ${countTermsLed(control)} times`).join(', '), controls.some((control) => control.binary === OLD && countTermsLed(control) > 0) && controls.some((control) => control.binary === NEW && countTermsLed(control) > 0))
} catch (error) {
  console.error((error as Error).message)
  process.exitCode = 1
} finally {
  clearInterval(heartbeatTimer)
  for (const { child } of [...entries, ...agents, ...controls]) child.kill('SIGKILL')
  await Promise.all(workers.map((worker) => worker.close()))
  if (process.exitCode !== 1) rmSync(folder, { recursive: true, force: true })
}
reportChecks(startedAt)
