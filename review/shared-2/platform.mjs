/** The operator, the clients and the record of a case. */
import { appendFileSync, writeFileSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { APP_PORT, bounds, CONTROL_PORT, Deployment, FRONT_PORT, sleep } from './deployment.mjs'
import { Worker } from './worker.mjs'

const OPERATOR_TIMEOUT_MILLISECONDS = 1000
const MAX_CASE_MILLISECONDS = 112_000
export const HOST = 'queue.example'
export const PREFIX = '/queue/'

/** Whether the disturbance of the case happens. */
export const trouble = process.env.TROUBLE !== '0'

/** Writes lines to a file: milliseconds since the start, what happened, and its fields. */
export function createRecord (file) {
  const startedAt = performance.now()
  writeFileSync(file, '')
  return (what, fields = {}) => {
    const at = Math.round(performance.now() - startedAt)
    appendFileSync(file, `${JSON.stringify({ at, what, ...fields })}\n`)
    return at
  }
}

/** A document with one queue, one service and one tenant. */
export function documentOf (version, keys) {
  return {
    version,
    routes: [{ name: 'queue', host: HOST, path_prefix: PREFIX, kind: 'non_idempotent', timeout_ms: 3000, target_latency_ms: 250, priority: 0, service: 'service', max_attempts: 2, slack_factor: 1.5, public: false }],
    services: [{ name: 'service', health_path: '/healthz', max_conns: 64, protocol: 'h1', tls: false, enforces_capacity: false, standby: false }],
    limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
    tenants: [{ name: 'tenant', api_keys: keys, priority: 1, guaranteed_gpus: { gpu: 8 } }]
  }
}

/** One HTTP call; the status is 0 where no complete answer came in time. */
export async function call (address, method, path, { body, headers = {}, milliseconds, agent }) {
  return await new Promise((resolve) => {
    const text = body === undefined ? '' : JSON.stringify(body)
    const sent = request(`http://${address}${path}`, { method, agent, headers: { ...headers, ...body !== undefined && { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) } } }, (answer) => {
      const parts = []
      answer.on('data', (part) => { parts.push(part) })
      answer.on('end', () => { clearTimeout(timer); resolve({ status: answer.statusCode, text: Buffer.concat(parts).toString() }) })
      answer.on('error', () => { resolve({ status: 0, text: '' }) })
    })
    const timer = setTimeout(() => { sent.destroy() }, milliseconds)
    sent.on('error', () => { clearTimeout(timer); resolve({ status: 0, text: '' }) })
    sent.on('close', () => { clearTimeout(timer); resolve({ status: 0, text: '' }) })
    sent.end(text)
  })
}

/** The operator: sends a document to one control host after the other until it is acknowledged or refused. */
export class Operator {
  constructor (deployment, record) {
    this.machines = deployment.machinesOf('control')
    this.record = record
  }

  /** Asks the hosts in turn, `last` only after the others have been asked a few times. */
  async replace (document, last = this.machines[0], milliseconds = 30_000) {
    const until = performance.now() + milliseconds
    const others = this.machines.filter((machine) => machine !== last)
    const order = [...others, ...others, ...others, last]
    for (let tries = 0, pause = 20; performance.now() < until; tries++, pause = Math.min(800, pause * 1.5)) {
      const address = `${order[tries % order.length].ip}:${CONTROL_PORT}`
      const { status } = await call(address, 'POST', '/config/replace', { body: document, milliseconds: OPERATOR_TIMEOUT_MILLISECONDS })
      this.record('config-answered', { version: document.version, address, status })
      if (status === 200) return
      await sleep(pause)
    }
    throw new Error(`version ${document.version} was not acknowledged`)
  }
}

/** A client of the platform. Its calls are written to the record. */
export class Client {
  constructor (record) {
    this.record = record
    this.agent = new Agent({ keepAlive: true })
  }

  async send (machine, method, identifier, { key, body, milliseconds = 3000 }) {
    const startedAt = performance.now()
    const { status, text } = await call(`${machine.ip}:${FRONT_PORT}`, method, `${PREFIX}${identifier}`, {
      body, milliseconds, agent: this.agent, headers: { host: HOST, authorization: `Token ${key}`, 'x-bramleyflow-deadline-ms': String(milliseconds) }
    })
    this.record('call-answered', { method, identifier, entry: machine.name, status, text: text.slice(0, 200), tookMilliseconds: Math.round(performance.now() - startedAt) })
    return status
  }

  close () { this.agent.destroy() }
}

export function newIdentifier () {
  return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('')
}

/** A job of one task that runs for some milliseconds. */
export function jobOf (milliseconds, fields = {}) {
  return { spec: String(milliseconds), phases: [{ count: 1, cpu: 500, mem_mb: 256, estimate_ms: milliseconds, ...fields }] }
}

/** Starts the system with its workers, and waits until jobs run. */
export async function startSystem (options, file, keys) {
  const record = createRecord(file)
  const deployment = await Deployment.create(options, record)
  const workers = deployment.machinesOf('side').map((machine, index) => new Worker({
    name: `i-${index + 1}`, ip: machine.ip, port: APP_PORT, control: `${machine.ip}:${CONTROL_PORT}`, zone: machine.zone, holdMilliseconds: bounds.hold_max_ms, record
  }))
  const system = { record, deployment, workers, operator: new Operator(deployment, record) }
  try {
    deployment.start()
    await Promise.all(workers.map((worker) => worker.start()))
    await system.operator.replace(documentOf(1, keys))
    await waitForJobs(system, keys[0])
  } catch (error) {
    await stopSystem(system)
    throw error
  }
  return system
}

async function waitForJobs ({ deployment, record }, key) {
  const client = new Client(record)
  const machine = deployment.machinesOf('entry')[0]
  const until = performance.now() + 20_000
  while (performance.now() < until) {
    const identifier = newIdentifier()
    if (await client.send(machine, 'POST', identifier, { key, body: jobOf(50) }) === 200) {
      for (let tries = 0; tries < 30; tries++) {
        await sleep(100)
        const { text } = await call(`${machine.ip}:${FRONT_PORT}`, 'GET', `${PREFIX}${identifier}`, { milliseconds: 1000, headers: { host: HOST, authorization: `Token ${key}` } })
        if (text.includes('completed')) { client.close(); await sleep(2000); return }
      }
    }
    await sleep(200)
  }
  throw new Error('no job runs')
}

export async function stopSystem ({ deployment, workers }) {
  await deployment.stop()
  await Promise.all(workers.map((worker) => worker.stop()))
}

/** Runs a case and exits: 1 for a broken rule, 0 where it held, 2 where it could not run. */
export async function runCase (options, file, keys, body) {
  let system
  let code = 2
  const limit = setTimeout(() => {
    console.error('the case took too long')
    const stopped = system === undefined ? Promise.resolve() : stopSystem(system)
    stopped.finally(() => { process.exit(2) })
  }, MAX_CASE_MILLISECONDS)
  try {
    system = await startSystem(options, file, keys)
    const broken = await body(system)
    for (const line of broken) { system.record('rule-broken', { line }); console.log(line) }
    console.log(broken.length === 0 ? 'the rule held' : `the rule was broken: ${broken.length} times`)
    code = broken.length === 0 ? 0 : 1
  } catch (error) {
    console.error(`could not run: ${error.stack}`)
  }
  if (system !== undefined) await stopSystem(system)
  clearTimeout(limit)
  process.exit(code)
}
