/**
 * Starts a small deployment of the project's own programs as separate processes on loopback addresses, with the commands of
 * the deploy file, and has stand-ins for workers, clients and the operator that follow the platform's pages.
 */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, createServer, request } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const repository = join(dirname(fileURLToPath(import.meta.url)), '..', '..')

const port = { inner: 7000, clients: 8521, readiness: 8523, control: 8526, metrics: 9464, worker: 8600 }
const bounds = { grace_s: 6, hold_max_ms: 6000, stop_ms: 200, heartbeat_ms: 1500 }

const RESTART_DELAY_MILLISECONDS = 1_000

export const sleep = (milliseconds) => new Promise((resolve) => { setTimeout(resolve, milliseconds) })

/** The record of one run of a case. */
export class Record {
  constructor (folder) {
    this.path = join(folder, 'record.txt')
    this.startedAt = performance.now()
    writeFileSync(this.path, '')
  }

  write (who, what, fields = {}) {
    const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8)
    appendFileSync(this.path, `${seconds} ${who} ${what}${Object.keys(fields).length > 0 ? ` ${JSON.stringify(fields)}` : ''}\n`)
  }
}

/** Sends one HTTP request on a channel of its own; resolves to status and text, or to status 0 without an answer. */
export function send (address, method, path, { body, headers = {}, timeout = 3000 } = {}) {
  const [host, number] = address.split(':')
  const bytes = body === undefined ? undefined : Buffer.isBuffer(body) ? body : Buffer.from(typeof body === 'string' ? body : JSON.stringify(body))
  return new Promise((resolve) => {
    const outgoing = request({ host, port: Number(number), method, path, agent: new Agent({ keepAlive: false }), headers: { ...bytes === undefined ? {} : { 'content-type': 'application/json', 'content-length': bytes.length }, ...headers } }, (incoming) => {
      const parts = []
      incoming.on('data', (part) => parts.push(part))
      incoming.on('end', () => { clearTimeout(timer); resolve({ status: incoming.statusCode, text: Buffer.concat(parts).toString(), headers: incoming.headers }) })
      incoming.on('error', () => { clearTimeout(timer); resolve({ status: 0, text: '' }) })
    })
    const timer = setTimeout(() => { outgoing.destroy(); resolve({ status: 0, text: '' }) }, timeout)
    outgoing.on('error', () => { clearTimeout(timer); resolve({ status: 0, text: '' }) })
    outgoing.end(bytes)
  })
}

function canListen (ip, number) {
  return new Promise((resolve) => {
    const server = createTcpServer()
    server.once('error', () => { resolve(false) })
    server.listen(number, ip, () => { server.close(() => { resolve(true) }) })
  })
}

/** Finds a range of loopback addresses of which the ports are free. */
async function freeAddresses (count) {
  for (let tries = 0; tries < 50; tries++) {
    const base = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
    const all = Array.from({ length: count }, (_, index) => `${base}.${index + 1}`)
    const free = await Promise.all(all.flatMap((ip) => [port.inner, port.inner + 1, port.inner + 2, port.clients, port.readiness, port.control, port.metrics, port.worker].map((number) => canListen(ip, number))))
    if (free.every(Boolean)) return all
  }
  throw new Error('no free loopback addresses')
}

function runCommands () {
  const text = readFileSync(join(repository, 'deploy', 'system.toml'), 'utf8')
  const commands = {}
  for (const [, role, run] of text.matchAll(/\[roles\.([a-z]+)\]\s*\nrun = "([^"]+)"/g)) commands[role] = run.split(' ')
  return commands
}

/** One process of the system. */
class Process {
  constructor (deployment, role, name, ip, zone) {
    Object.assign(this, { deployment, role, name, ip, zone, starts: 0, ends: [] })
    this.settingsPath = join(deployment.folder, `${name}.json`)
  }

  start () {
    const { deployment: { folder, seeds, record }, role, name, ip, zone } = this
    const founding = this.starts === 0
    writeFileSync(this.settingsPath, JSON.stringify({
      host: name,
      roles: [role],
      region: 'here',
      dataCentre: zone,
      deployment: {
        ip,
        innerPorts: [port.inner, port.inner + 15],
        seeds,
        founding,
        ...role === 'control' && { folder: join(folder, `${name}-data`), folderMegabytes: 128, operators: `${ip}:${port.control}` },
        ...role === 'entry' && { clients: `${ip}:${port.clients}`, readiness: `${ip}:${port.readiness}` },
        ...role === 'agent' && { workers: `${ip}:${port.control}` },
        memoryMegabytes: role === 'agent' ? 218 : 350,
        descriptors: 4100,
        hostsLostAtOnce: 1,
        workerLeaseMilliseconds: bounds.hold_max_ms,
        workerStopMilliseconds: bounds.stop_ms,
        stopDeadlineSeconds: bounds.grace_s
      }
    }))
    const [program, ...args] = this.deployment.commands[role]
    this.starts += 1
    const child = spawn(program, args, { cwd: repository, env: { PATH: process.env.PATH, HOME: process.env.HOME, BRAMLEYFLOW_CONFIG: this.settingsPath }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.child = child
    this.running = true
    this.killed = false
    const log = join(folder, `${name}.log`)
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (bytes) => { appendFileSync(log, bytes) })
    child.on('exit', (code, signal) => {
      this.running = false
      this.ends.push({ code, signal, wanted: this.killed })
      record.write(name, 'process ended', { code, signal, wanted: this.killed })
      if (!this.killed && this.deployment.restarts) setTimeout(() => { if (this.deployment.restarts) this.start() }, RESTART_DELAY_MILLISECONDS)
    })
    record.write(name, 'process started', { founding })
  }

  signal (name) {
    this.killed ||= name === 'SIGKILL' || name === 'SIGTERM'
    this.deployment.record.write(this.name, 'signal', { name })
    this.child.kill(name)
  }

  get log () {
    try { return readFileSync(join(this.deployment.folder, `${this.name}.log`), 'utf8') } catch { return '' }
  }
}

/** Three control hosts, entries, and workers with their agents. */
export class Deployment {
  static async create (record, { workers = 2, entries = 1, worker: options = {} } = {}) {
    const deployment = new Deployment()
    deployment.record = record
    deployment.folder = mkdtempSync(join(tmpdir(), 'review-3-'))
    deployment.commands = runCommands()
    const addresses = await freeAddresses(3 + entries + workers)
    const zones = ['zone-a', 'zone-b', 'zone-c']
    deployment.controls = addresses.slice(0, 3).map((ip, index) => new Process(deployment, 'control', `control-${index + 1}`, ip, zones[index]))
    deployment.entries = addresses.slice(3, 3 + entries).map((ip, index) => new Process(deployment, 'entry', `entry-${index + 1}`, ip, zones[index % 3]))
    deployment.agents = addresses.slice(3 + entries).map((ip, index) => new Process(deployment, 'agent', `side-${index + 1}`, ip, zones[index % 3]))
    deployment.seeds = deployment.controls.map(({ ip }) => `${ip}:${port.control}`)
    deployment.workers = deployment.agents.map((agent, index) => new Worker(record, { name: `i-${index + 1}`, ip: agent.ip, zone: agent.zone, control: `${agent.ip}:${port.control}`, ...options, ...options.each?.(index) }))
    return deployment
  }

  get processes () { return [...this.controls, ...this.entries, ...this.agents] }

  async start (config) {
    for (const process of this.processes) process.start()
    for (const worker of this.workers) await worker.start()
    await this.until(async () => (await this.replace(config)).status === 200, 20_000, 'the first config was not accepted')
    await this.until(async () => (await Promise.all(this.entries.map(({ ip }) => send(`${ip}:${port.readiness}`, 'GET', '/readyz', { timeout: 500 })))).every(({ status }) => status === 200), 20_000, 'no entry is ready')
  }

  async until (condition, milliseconds, message) {
    const deadline = performance.now() + milliseconds
    while (performance.now() < deadline) {
      if (await condition()) return
      await sleep(100)
    }
    throw new Error(message)
  }

  async replace (config, index = 0) {
    const answer = await send(this.seeds[index % 3], 'POST', '/config/replace', { body: config, timeout: 5000 })
    this.record.write('operator', 'config', { version: config.version, status: answer.status })
    return answer
  }

  async call (method, path, { body, host = 'cluster.example', key, entry = 0, headers = {}, timeout = 3000 } = {}) {
    const answer = await send(`${this.entries[entry].ip}:${port.clients}`, method, path, { body, timeout, headers: { host, ...key === undefined ? {} : { authorization: `Token ${key}` }, 'x-bramleyflow-deadline-ms': String(timeout), ...headers } })
    return answer
  }

  /** The control host that logged last that it leads. */
  get leader () {
    let found
    for (const control of this.controls) {
      for (const line of control.log.split('\n')) {
        if (!line.includes('"event":"leading"')) continue
        const { time } = JSON.parse(line)
        if (found === undefined || time > found.time) found = { time, control }
      }
    }
    return found?.control
  }

  /** From now on, as the platform does, a process that ends by itself is started again after a short delay. */
  restartEnded () { this.restarts = true }

  async stop () {
    this.restarts = false
    for (const worker of this.workers) worker.close()
    for (const { running, child } of this.processes) if (running) { child.kill('SIGCONT'); child.kill('SIGKILL') }
    const deadline = performance.now() + 5000
    while (this.processes.some(({ running }) => running) && performance.now() < deadline) await sleep(50)
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true })
    else console.log(this.folder)
  }
}

export { port, bounds }

/** Makes a config of the platform. */
export function configOf (version, fields = {}) {
  return {
    version,
    routes: [{ name: 'r-main', host: 'cluster.example', path_prefix: '/main/', kind: 'non_idempotent', timeout_ms: 3000, target_latency_ms: 1000, priority: 1, service: 'service', max_attempts: 3, slack_factor: 3, public: false }],
    services: [{ name: 'service', health_path: '/healthz', max_conns: 64, protocol: 'h1', tls: false, enforces_capacity: false, standby: false }],
    limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
    tenants: [
      { name: 'tenant-one', api_keys: ['key-of-tenant-one'], priority: 1, guaranteed_gpus: { gpu: 0 } },
      { name: 'tenant-two', api_keys: ['key-of-tenant-two'], priority: 1, guaranteed_gpus: { gpu: 0 } }
    ],
    ...fields
  }
}

/** A worker as the platform's pages describe it. A spec that is JSON with `ms` lasts that long; with `fail` it then fails. */
export class Worker {
  constructor (record, options) {
    Object.assign(this, { record, capacity: { cpu: 32000, mem_mb: 65536, gpu: 8 }, rack: 'r1', onStart: () => {} }, options)
    this.starts = []
    this.lives = 0
    this.up = false
  }

  async start () {
    this.lives += 1
    this.born = Date.now()
    this.clockStart = performance.now()
    this.runs = new Map()
    this.highest = new Map()
    this.ends = []
    this.lastEnd = 0
    this.fence = 0
    this.leaseUntil = 0
    this.sequence = 0
    this.waiters = []
    const server = createServer((incoming, outgoing) => { this.respond(incoming, outgoing) })
    this.server = server
    await new Promise((resolve, reject) => { server.once('error', reject); server.listen(port.worker, this.ip, resolve) })
    this.up = true
    this.record.write(this.name, 'worker up', { born: this.born })
    this.beat()
    this.beats = setInterval(() => { this.beat() }, bounds.heartbeat_ms)
    this.leases = setInterval(() => { if (this.clock > this.leaseUntil) for (const name of [...this.runs.keys()]) this.end(name, 'lapsed') }, 20)
  }

  /** Ends this life without a word: everything that runs is gone. */
  crash () {
    if (!this.up) return
    this.up = false
    this.record.write(this.name, 'worker crashed', { running: [...this.runs.keys()] })
    this.close()
  }

  close () {
    this.up = false
    clearInterval(this.beats)
    clearInterval(this.leases)
    for (const { timer } of this.runs?.values() ?? []) clearTimeout(timer)
    this.runs?.clear()
    this.server?.close()
    this.server?.closeAllConnections()
  }

  get clock () { return Math.floor(performance.now() - this.clockStart) + 1000 }

  async beat () {
    this.sequence += 1
    const { born } = this
    await send(this.control, 'POST', `/instances/${this.name}/heartbeat`, {
      timeout: 1000,
      body: { service: 'service', addr: `${this.ip}:${port.worker}`, zone: this.zone, version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, capacity: this.capacity, labels: ['a', this.rack], clock_ms: this.clock, seq: this.sequence, born }
    })
  }

  async respond (incoming, outgoing) {
    const parts = []
    for await (const part of incoming) parts.push(part)
    if (!this.up) return
    const answer = (status, body) => { outgoing.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify({ ...body, clock_ms: this.clock, born: this.born })) }
    const expected = incoming.headers['x-bramleyflow-expected-instance']
    if (expected !== undefined && expected !== this.name) { answer(421, {}); return }
    let order
    try { order = JSON.parse(Buffer.concat(parts).toString()) } catch { answer(400, {}); return }
    if ((order.fencing_token ?? 0) < this.fence) { answer(409, { reason: 'fence' }); return }
    this.fence = order.fencing_token ?? 0
    if (incoming.url === '/run-start') this.startRun(order, answer)
    else if (incoming.url === '/run-stop') this.stopRun(order, answer)
    else if (incoming.url === '/hold') await this.hold(order, answer)
    else answer(404, {})
  }

  extend (until = 0) { this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, this.clock + bounds.hold_max_ms)) }

  startRun ({ task, attempt, spec, deadline_ms: until, checkpoint = '' }, answer) {
    this.extend(until)
    const name = `${task}/${attempt}`
    if (this.runs.has(name)) { answer(200, {}); return }
    if ((until ?? 0) <= this.clock) { answer(409, { reason: 'late' }); return }
    if (attempt <= (this.highest.get(task) ?? 0)) { answer(409, { reason: 'old' }); return }
    this.highest.set(task, attempt)
    let options = {}
    try { options = JSON.parse(spec) } catch { /* any text is a spec */ }
    const run = { task, attempt, spec, checkpoint, startedAt: this.clock, ms: options.ms ?? 500 }
    run.timer = setTimeout(() => { this.end(name, options.fail === true ? 'failed' : 'done') }, run.ms)
    this.runs.set(name, run)
    this.starts.push({ task, attempt, spec, at: performance.now() })
    this.record.write(this.name, 'start', { task, attempt, spec })
    answer(200, {})
    this.onStart(this, run)
  }

  stopRun ({ task, attempt }, answer) {
    const name = `${task}/${attempt}`
    this.highest.set(task, Math.max(attempt, this.highest.get(task) ?? 0))
    this.record.write(this.name, 'stop', { task, attempt })
    if (this.runs.has(name)) setTimeout(() => { this.end(name, 'stopped') }, 50)
    answer(200, {})
  }

  async hold ({ ack_cursor: cursor = 0, deadline_ms: until, wait_ms: wait = 0 }, answer) {
    this.extend(until)
    const { born } = this
    for (const [number, task, attempt, how] of this.ends) if (number <= cursor) this.record.write(this.name, 'end taken note of', { task, attempt, how })
    this.ends = this.ends.filter(([number]) => number > cursor)
    if (wait > 0 && this.ends.length === 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.min(wait, 2000))
        this.waiters.push(() => { clearTimeout(timer); resolve() })
      })
    }
    if (!this.up || born !== this.born) return
    const running = [...this.runs.values()].map(({ task, attempt, startedAt, ms }) => [task, attempt, '', Math.min(99, Math.floor(100 * (this.clock - startedAt) / ms))])
    answer(200, { running, finished: this.ends.slice(0, 500) })
  }

  end (name, how) {
    const run = this.runs.get(name)
    if (run === undefined) return
    clearTimeout(run.timer)
    this.runs.delete(name)
    this.lastEnd += 1
    this.ends.push([this.lastEnd, run.task, run.attempt, how, ''])
    this.record.write(this.name, 'end', { task: run.task, attempt: run.attempt, how })
    for (const wake of this.waiters.splice(0)) wake()
  }
}

/** Runs a case: exits with 1 where the rule was broken, with 0 where it held, with 2 where the case could not run. */
export async function runCase (folder, options, play) {
  mkdirSync(folder, { recursive: true })
  const record = new Record(folder)
  const trouble = process.env.TROUBLE !== '0'
  record.write('case', trouble ? 'with the disruption' : 'without the disruption')
  let code = 2
  let deployment
  const limit = setTimeout(() => { record.write('case', 'took too long'); finish(2) }, 110_000)
  const finish = async (result) => {
    clearTimeout(limit)
    await deployment?.stop()
    process.exit(result)
  }
  try {
    deployment = await Deployment.create(record, options)
    const broken = await play({ deployment, record, trouble })
    for (const { name, ends } of deployment.processes) {
      const own = ends.filter(({ wanted }) => !wanted)
      if (own.length > 0) record.write('case', 'a process ended by itself', { name, own })
    }
    record.write('case', broken === undefined ? 'the rule held' : 'the rule was broken', broken === undefined ? {} : { broken })
    console.log(broken === undefined ? 'held' : `broken: ${JSON.stringify(broken)}`)
    code = broken === undefined ? 0 : 1
  } catch (error) {
    record.write('case', 'could not run', { message: error.message, stack: error.stack })
    console.log(`could not run: ${error.message}`)
  }
  await finish(code)
}
