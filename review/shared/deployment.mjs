/**
 * Starts a small deployment for a case: the project's own roles as separate processes, with the commands of the deploy
 * file and the template of the settings, and stand-in workers, one process for each. All addresses are loopback addresses.
 */
import { spawn } from 'node:child_process'
import { randomInt } from 'node:crypto'
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { send } from './http.mjs'

const repository = resolve(import.meta.dirname, '../..')
const FRONT_PORT = 8521
const READINESS_PORT = 8523
const CONTROL_PORT = 8526
const WORKER_PORT = 8080
/** Accelerators of each worker. */
export const ACCELERATORS = 8
/** The platform starts a process that ended by itself again after a short delay. */
const RESTART_MILLISECONDS = 500
/** A case takes 120 s at most. */
const LIMIT_MILLISECONDS = 115_000

/** The bounds of the sheet of Näckrosgården that the processes are told. */
export const bounds = { hold_max_ms: 6_000, stop_ms: 200, grace_s: 6, finish_s: 14, contact_ms: 3_000, heartbeat_ms: 1_500 }

/** Reads the command of each role from the deploy file. */
function commands () {
  const text = readFileSync(join(repository, 'deploy/system.toml'), 'utf8')
  return Object.fromEntries([...text.matchAll(/^\[roles\.(\w+)\]\nrun = "([^"]+)"/gm)].map(([, role, run]) => [role, run.split(' ')]))
}

/** A deployment of control hosts, entry hosts, and worker hosts with an agent and a worker each. */
export class Deployment {
  constructor (folder) {
    this.record = join(folder, 'record.txt')
    writeFileSync(this.record, '')
    this.data = mkdtempSync(join(tmpdir(), 'bramleyflow-review-'))
    this.network = `127.${randomInt(64, 250)}.${randomInt(1, 250)}`
    this.commands = commands()
    this.processes = new Map()
    this.startedAt = performance.now()
    this.version = 0
    /** Workers that the case killed, as events. */
    this.crashes = []
    /** Names of the processes that ended by themselves. */
    this.ends = []
  }

  /** Writes a line to the record. */
  note (...words) {
    const line = `${((performance.now() - this.startedAt) / 1_000).toFixed(3)} ${words.join(' ')}`
    appendFileSync(this.record, `${line}\n`)
  }

  ip (number) { return `${this.network}.${number}` }

  /** Starts a process and notes how it ends. */
  start (name, [program, ...rest], environment) {
    const log = join(this.data, `${name}.log`)
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program === 'node' ? process.execPath : program, rest, { cwd: repository, env: { PATH, HOME, LANG, ...environment }, stdio: ['ignore', 'pipe', 'pipe'] })
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (bytes) => { appendFileSync(log, bytes) })
    this.processes.set(name, child)
    this.note('process', name, 'started')
    child.on('exit', (code, signal) => {
      if (this.processes.get(name) === child) this.processes.delete(name)
      if (this.closing) return
      this.note('process', name, 'ended', `code=${code}`, `signal=${signal}`)
      if (signal !== null) return
      this.ends.push(name)
      setTimeout(() => { if (!this.closing) this.start(name, [program, ...rest], environment) }, RESTART_MILLISECONDS)
    })
    return child
  }

  /** Sends a signal to a process that this deployment started. */
  async signal (name, signal) {
    const child = this.processes.get(name)
    if (child === undefined) throw new Error(`${name} does not run`)
    this.note('signal', signal, 'to', name)
    if (signal === 'SIGKILL' && name.startsWith('worker-')) this.crashes.push({ event: 'crashed', at: Date.now(), worker: Number(name.slice('worker-'.length)) })
    const ended = ['SIGKILL', 'SIGTERM'].includes(signal) ? new Promise((resolve) => { child.once('exit', resolve) }) : undefined
    child.kill(signal)
    await ended
  }

  /** How often a process ended by itself. */
  ownEnds (name) { return this.ends.filter((ended) => ended === name).length }

  /** Starts a role of the project with rendered settings. */
  startRole (role, name, number, fields) {
    const ip = this.ip(number)
    const deployment = {
      ip,
      innerPorts: [7000, 7015],
      seeds: this.seeds,
      founding: this.founding,
      hostsLostAtOnce: 1,
      workerLeaseMilliseconds: bounds.hold_max_ms,
      workerStopMilliseconds: bounds.stop_ms,
      stopDeadlineSeconds: bounds.grace_s,
      ...fields
    }
    const settings = { host: name, roles: [role], region: 'r', dataCentre: 'a', deployment }
    const path = join(this.data, `${name}.json`)
    writeFileSync(path, JSON.stringify(settings))
    return this.start(name, this.commands[role], { BRAMLEYFLOW_CONFIG: path })
  }

  startControl (number) {
    const folder = join(this.data, `control-${number}`)
    mkdirSync(folder, { recursive: true })
    this.startRole('control', `control-${number}`, number, { folder, folderMegabytes: 128, operators: `${this.ip(number)}:${CONTROL_PORT}` })
  }

  startEntry (number) {
    this.startRole('entry', `entry-${number}`, number, { clients: `${this.ip(number)}:${FRONT_PORT}`, readiness: `${this.ip(number)}:${READINESS_PORT}` })
  }

  startAgent (number) {
    this.startRole('agent', `agent-${number}`, number, { workers: `${this.ip(number)}:${CONTROL_PORT}` })
  }

  /** Starts the stand-in worker of a worker host; fields override its options. */
  startWorker (number, fields = {}) {
    const options = {
      name: `i-${number}`,
      address: `${this.ip(number)}:${WORKER_PORT}`,
      agent: `${this.ip(number)}:${CONTROL_PORT}`,
      events: join(this.data, `worker-${number}.events`),
      service: 'katalog',
      rack: `r1-${number}`,
      accelerators: ACCELERATORS,
      heartbeatMilliseconds: bounds.heartbeat_ms,
      holdMaxMilliseconds: bounds.hold_max_ms,
      stopMilliseconds: bounds.stop_ms,
      clockOffset: 0,
      ...fields
    }
    const child = this.start(`worker-${number}`, ['node', join(repository, 'review/shared/worker.mjs'), JSON.stringify(options)], {})
    return child
  }

  /** Starts a front before the worker of a worker host, which carries the first start out late. */
  startFront (number, lateMilliseconds) {
    const options = { address: `${this.ip(number)}:${WORKER_PORT}`, worker: `${this.ip(number)}:${WORKER_PORT + 1}`, lateMilliseconds }
    this.start(`front-${number}`, ['node', join(repository, 'review/shared/front.mjs'), JSON.stringify(options)], {})
  }

  /** Founds the system and waits until it serves: control hosts 1 to 3, entry hosts 4 and 5, worker hosts from 11 on. */
  async found ({ workers, startWorkerHost = (number) => { this.startAgent(number); this.startWorker(number) }, ...config }) {
    this.workers = Array.from({ length: workers }, (_, position) => 11 + position)
    this.seeds = [1, 2, 3].map((number) => `${this.ip(number)}:${CONTROL_PORT}`)
    this.founding = true
    for (const number of [1, 2, 3]) this.startControl(number)
    for (const number of [4, 5]) this.startEntry(number)
    for (const number of this.workers) startWorkerHost(number)
    this.founding = false
    await this.configure(config)
  }

  /** Sends a config until it is acknowledged, to any control host, as the operator does. */
  async configure (config = {}) {
    this.version += 3
    const body = { ...defaultConfig, ...config, version: this.version }
    const until = performance.now() + 30_000
    for (let attempt = 0; performance.now() < until; attempt++) {
      const answer = await send(`${this.ip(1 + attempt % 3)}:${CONTROL_PORT}`, 'POST', '/config/replace', { body, timeout: 1_000 })
      if (answer.status === 200) { this.note('config', this.version, 'acknowledged'); return }
      await sleep(200)
    }
    throw new Error('no config was acknowledged')
  }

  /** Sends a client's request to an entry host. */
  async client (entry, method, path, { body, key = 'key-of-one', timeout = 3_000 } = {}) {
    const answer = await send(`${this.ip(entry)}:${FRONT_PORT}`, method, path, {
      body, timeout, headers: { host: 'nony24.example', authorization: `Token ${key}`, 'x-bramleyflow-deadline-ms': String(timeout) }
    })
    this.note('client', method, path, 'at entry', entry, '->', answer.status, answer.text)
    return answer
  }

  /** Submits a job as a client does: again, with the same identifier, until there is a clear answer. */
  async submit (path, job) {
    for (let attempt = 0; attempt < 8; attempt++) {
      const answer = await this.client(4 + attempt % 2, 'POST', path, { body: job })
      if (answer.status === 200) return
      await sleep(500)
    }
    throw new Error(`${path} was not accepted`)
  }

  /** The state of a job: asked at both entry hosts, undefined where neither answers. */
  async state (path) {
    for (const entry of [4, 5]) {
      const answer = await this.client(entry, 'GET', path)
      if (answer.status === 200) return answer.body.state
      if (answer.status === 410) return 'unknown'
    }
    return undefined
  }

  /** What the workers observed, in order of time: one object an event. */
  events () {
    const found = [...this.crashes]
    for (const number of this.workers) {
      try {
        const text = readFileSync(join(this.data, `worker-${number}.events`), 'utf8')
        for (const line of text.split('\n').slice(0, -1)) found.push({ ...JSON.parse(line), worker: number })
      } catch (error) {
        if (error.code !== 'ENOENT') throw error
      }
    }
    return found.sort((one, other) => one.at - other.at)
  }

  /** Waits until a condition holds; returns undefined after the timeout, otherwise what the condition returned. */
  async until (milliseconds, condition) {
    const end = performance.now() + milliseconds
    while (performance.now() < end) {
      const value = await condition()
      if (value !== undefined && value !== false) return value
      await sleep(100)
    }
    return undefined
  }

  /** Adds a worker host to the running system. */
  addWorkerHost (number, fields) {
    this.workers.push(number)
    this.startAgent(number)
    this.startWorker(number, fields)
  }

  /** Copies what the workers observed into the record, and ends all processes that this deployment started. */
  async close () {
    this.closing = true
    const start = Date.now() - (performance.now() - this.startedAt)
    for (const { at, worker, ...event } of this.events()) appendFileSync(this.record, `${((at - start) / 1_000).toFixed(3)} worker-${worker} ${JSON.stringify(event)}\n`)
    for (const child of this.processes.values()) { child.kill('SIGCONT'); child.kill('SIGKILL') }
    await Promise.all([...this.processes.values()].map((child) => child.exitCode !== null || child.signalCode !== null ? undefined : new Promise((resolve) => { child.once('exit', resolve) })))
    if (process.env.KEEP_LOGS === undefined) rmSync(this.data, { recursive: true, force: true })
    else console.error(this.data)
  }
}

/** The config of the cases: three queues of one service. */
export const defaultConfig = {
  routes: [
    { name: 'r-photo', host: 'nony24.example', path_prefix: '/photo/', kind: 'non_idempotent', timeout_ms: 3_000, target_latency_ms: 1_000, priority: 1, service: 'katalog', max_attempts: 3, slack_factor: 3, public: false },
    { name: 'r-stock', host: 'nony24.example', path_prefix: '/stock/', kind: 'non_idempotent', timeout_ms: 3_000, target_latency_ms: 250, priority: 0, service: 'katalog', max_attempts: 3, slack_factor: 1.5, public: false },
    { name: 'r-pack', host: 'nony24.example', path_prefix: '/pack/', kind: 'non_idempotent', timeout_ms: 3_000, target_latency_ms: 3_000, priority: 2, service: 'katalog', max_attempts: 3, slack_factor: 3, public: false }
  ],
  services: [{ name: 'katalog', health_path: '/healthz', max_conns: 64, protocol: 'h1', tls: false, enforces_capacity: false, standby: false }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
  tenants: [{ name: 'one', api_keys: ['key-of-one'], priority: 1, guaranteed_gpus: { gpu: 8 } }]
}

/**
 * Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 * @param {string} folder the folder of the case
 * @param {(deployment: Deployment, trouble: boolean) => Promise<string | undefined>} play returns how the rule was broken
 */
export async function runCase (folder, play) {
  const trouble = process.env.TROUBLE !== '0'
  const deployment = new Deployment(folder)
  const abandon = async (reason) => {
    deployment.note('could not run', reason)
    await deployment.close()
    process.exit(2)
  }
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => abandon(signal))
  setTimeout(() => abandon('the time limit was reached'), LIMIT_MILLISECONDS).unref()
  let code = 2
  try {
    deployment.note(trouble ? 'with the disruption' : 'without the disruption')
    const broken = await play(deployment, trouble)
    code = broken === undefined ? 0 : 1
    deployment.note('verdict', broken ?? 'the rule held')
    console.log(broken ?? 'the rule held')
  } catch (error) {
    deployment.note('could not run', error.stack)
    console.error(error)
  }
  await deployment.close()
  process.exit(code)
}
