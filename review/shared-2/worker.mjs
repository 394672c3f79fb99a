/**
 * Stand-in for a worker of the platform, as PROTOCOL.md describes it: single tasks under a lease on its own clock. A task
 * runs for as many milliseconds as its specification says.
 */
import { createServer, request } from 'node:http'
import { sleep } from './deployment.mjs'

const HEARTBEAT_MILLISECONDS = 1500
const HEARTBEAT_TIMEOUT_MILLISECONDS = 1000
const STOP_MILLISECONDS = 50
const MAX_WAIT_MILLISECONDS = 2000
const LISTED_ENDS = 500

/** One worker; a crash and a new start keep its identifier and forget everything else. */
export class Worker {
  constructor ({ name, ip, port, control, zone, holdMilliseconds, record }) {
    Object.assign(this, { name, ip, port, control, zone, holdMilliseconds, record })
    /** Decides on the fate of a call: undefined, or `{ late: milliseconds }` for a call that gets no answer and is executed later. */
    this.fateOf = () => undefined
    this.state = 'ready'
    /** Identifiers of the jobs of which a task was started here, in any life. */
    this.startedJobs = new Set()
    /** Starts and the times of runs, in any life; times are those of the record. */
    this.starts = []
    this.lapses = []
    this.intervals = []
  }

  async start () {
    this.born = Date.now()
    this.clockStart = performance.now()
    this.up = true
    Object.assign(this, { runs: new Map(), highest: new Map(), ends: [], lastEnd: 0, fence: 0, leaseUntil: 0, sequence: 0, waiters: [] })
    this.record('worker-up', { worker: this.name, born: this.born })
    await this.listen()
    clearInterval(this.leaseTimer)
    this.leaseTimer = setInterval(() => { this.checkLease() }, 10)
    this.sendHeartbeats(this.born)
  }

  async listen () {
    const life = this.born
    this.server = createServer((incoming, outgoing) => { this.respond(life, incoming, outgoing).catch(() => { outgoing.destroy() }) })
    await new Promise((resolve, reject) => { this.server.once('error', reject).listen(this.port, this.ip, resolve) })
  }

  /** Crashes: everything that runs is gone, and calls get no answer. */
  crash () {
    this.up = false
    const at = this.record('worker-crashed', { worker: this.name, born: this.born, running: [...this.runs.keys()] })
    for (const run of this.runs.values()) {
      clearTimeout(run.timer)
      run.interval.to = at
      run.interval.how = 'crashed'
    }
    this.runs.clear()
    clearInterval(this.leaseTimer)
    this.server.close()
    this.server.closeAllConnections()
  }

  async stop () {
    if (this.up) this.crash()
  }

  get clock () { return Math.floor(performance.now() - this.clockStart) + 1000 }

  /** Names of the runs. */
  get running () { return [...this.runs.keys()] }

  get address () { return `${this.ip}:${this.port}` }

  async sendHeartbeats (life) {
    while (this.up && this.born === life) {
      await this.sendHeartbeat()
      await sleep(HEARTBEAT_MILLISECONDS)
    }
  }

  async sendHeartbeat () {
    this.sequence += 1
    const body = JSON.stringify({
      service: 'service', addr: this.address, zone: this.zone, version: 'v1', slots: 8, state: this.state, cold_left_ms: 0, capacity: { cpu: 32000, mem_mb: 131072, gpu: 8 }, labels: ['a', 'r1'], clock_ms: this.clock, seq: this.sequence, born: this.born
    })
    await new Promise((resolve) => {
      const call = request(`http://${this.control}/instances/${this.name}/heartbeat`, { method: 'POST', headers: { 'content-type': 'application/json', 'content-length': body.length }, timeout: HEARTBEAT_TIMEOUT_MILLISECONDS }, (answer) => { answer.resume().on('end', resolve).on('error', resolve) })
      call.on('timeout', () => { call.destroy() }).on('error', resolve).on('close', resolve)
      call.end(body)
    })
  }

  async respond (life, incoming, outgoing) {
    const parts = []
    for await (const part of incoming) parts.push(part)
    const order = JSON.parse(Buffer.concat(parts).toString())
    if (incoming.headers['x-bramleyflow-expected-instance'] !== this.name) { answer(outgoing, 421, {}); return }
    const fate = this.fateOf(incoming.url, order)
    if (fate !== undefined) {
      this.record('call-held-up', { worker: this.name, path: incoming.url, order, milliseconds: fate.late })
      setTimeout(() => {
        if (!this.up) return
        this.record('call-executed-late', { worker: this.name, path: incoming.url, order, clock: this.clock })
        this.execute(incoming.url, { ...order, wait_ms: 0 })
      }, fate.late)
      return
    }
    const { status, body } = await this.execute(incoming.url, order)
    if (this.up && this.born === life) answer(outgoing, status, { clock_ms: this.clock, born: this.born, ...body })
  }

  async execute (path, order) {
    const token = order.fencing_token ?? 0
    if (token < this.fence) return { status: 409, body: { reason: 'fence' } }
    this.fence = token
    this.extend(order.deadline_ms ?? 0)
    const handlers = { '/run-start': () => this.startRun(order), '/run-stop': () => this.stopRun(order), '/hold': () => this.hold(order) }
    return await handlers[path]?.() ?? { status: 404, body: {} }
  }

  /** The deadline never shortens, and is at most the longest hold away. */
  extend (deadline) {
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, this.clock + this.holdMilliseconds))
  }

  checkLease () {
    if (this.clock < this.leaseUntil) { this.held = true; return }
    if (this.held) this.lapses.push(this.record('lease-lapsed', { worker: this.name }))
    this.held = false
    for (const name of [...this.runs.keys()]) this.finish(name, 'lapsed')
  }

  startRun ({ task, attempt, spec, deadline_ms: deadline }) {
    const name = `${task}/${attempt}`
    if (this.runs.has(name)) return { status: 200, body: {} }
    if (attempt <= (this.highest.get(task) ?? 0)) return { status: 409, body: { reason: 'old' } }
    if (deadline <= this.clock) return { status: 409, body: { reason: 'late' } }
    const run = { task, attempt, startedAt: this.clock, milliseconds: Number(spec) }
    run.timer = setTimeout(() => { this.finish(name, 'done') }, run.milliseconds)
    this.runs.set(name, run)
    this.startedJobs.add(task.split('.')[0])
    const at = this.record('run-started', { worker: this.name, task, attempt })
    this.starts.push({ task, at })
    run.interval = { task, attempt, from: at }
    this.intervals.push(run.interval)
    return { status: 200, body: {} }
  }

  stopRun ({ task, attempt }) {
    this.highest.set(task, Math.max(attempt, this.highest.get(task) ?? 0))
    const name = `${task}/${attempt}`
    if (this.runs.has(name)) setTimeout(() => { this.finish(name, 'stopped') }, STOP_MILLISECONDS)
    return { status: 200, body: {} }
  }

  async hold ({ ack_cursor: acknowledged = 0, wait_ms: wait = 0 }) {
    const forgotten = this.ends.filter(([number]) => number <= acknowledged)
    this.ends = this.ends.filter(([number]) => number > acknowledged)
    for (const [, task, attempt] of forgotten) for (const interval of this.intervals) if (interval.task === task && interval.attempt === attempt) interval.noted ??= this.record('end-noted', { worker: this.name, task, attempt })
    if (forgotten.length > 0) this.record('ends-taken-note-of', { worker: this.name, ends: forgotten.map(([, task, attempt, how]) => `${task}/${attempt} ${how}`) })
    if (wait > 0 && this.ends.length === 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.min(wait, MAX_WAIT_MILLISECONDS))
        this.waiters.push(() => { clearTimeout(timer); resolve() })
      })
    }
    const running = [...this.runs.values()].map(({ task, attempt, startedAt, milliseconds }) => [task, attempt, '', Math.min(99, Math.floor(100 * (this.clock - startedAt) / milliseconds)), 0])
    return { status: 200, body: { running, finished: this.ends.slice(0, LISTED_ENDS) } }
  }

  finish (name, how) {
    const run = this.runs.get(name)
    if (run === undefined) return
    clearTimeout(run.timer)
    this.runs.delete(name)
    this.lastEnd += 1
    this.ends.push([this.lastEnd, run.task, run.attempt, how, ''])
    this.highest.set(run.task, Math.max(run.attempt, this.highest.get(run.task) ?? 0))
    run.interval.how = how
    run.interval.to = this.record('run-ended', { worker: this.name, task: run.task, attempt: run.attempt, how, number: this.lastEnd })
    for (const wake of this.waiters.splice(0)) wake()
  }
}

function answer (outgoing, status, body) {
  if (outgoing.destroyed) return
  outgoing.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}
