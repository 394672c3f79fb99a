/**
 * A stand-in worker of the platform, a process of its own: it reports itself to the agent on its host, starts, lists and
 * stops subtasks, guards its lease by its own steady clock, and writes each start and end to a file of events.
 *
 * The spec of a job is JSON text: `ms` is how long a subtask takes, `fail` lets it end `failed`.
 */
import { appendFileSync } from 'node:fs'
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { send } from './http.mjs'

const options = JSON.parse(process.argv[2])
const { name, address, agent, events, holdMaxMilliseconds, stopMilliseconds, heartbeatMilliseconds } = options
const born = Date.now() + options.clockOffset
const clockStart = performance.now()
const runs = new Map()
const highest = new Map()
let ends = []
let lastEnd = 0
let fence = 0
let leaseUntil = 0
let leaseTimer
const waiters = []
let sequence = 0
let held = false

const clock = () => Math.floor(performance.now() - clockStart) + 1_000
const note = (event) => { appendFileSync(events, `${JSON.stringify({ at: Date.now(), born, ...event })}\n`) }

function finish (key, how) {
  const run = runs.get(key)
  if (run === undefined) return
  clearTimeout(run.timer)
  runs.delete(key)
  lastEnd += 1
  ends.push([lastEnd, run.task, run.attempt, how, ''])
  note({ event: 'ended', task: run.task, attempt: run.attempt, how })
  for (const wake of waiters.splice(0)) wake()
}

function extend (until) {
  leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + holdMaxMilliseconds))
  clearTimeout(leaseTimer)
  leaseTimer = setTimeout(() => {
    note({ event: 'lease-lapsed' })
    for (const key of [...runs.keys()]) finish(key, 'lapsed')
  }, Math.max(0, leaseUntil - clock()))
}

function start ({ task, attempt, spec, deadline_ms: deadline = 0 }) {
  const key = `${task}/${attempt}`
  if (runs.has(key)) return [200, {}]
  if (attempt <= (highest.get(task) ?? 0)) return [409, { reason: 'old' }]
  if (deadline <= clock()) return [409, { reason: 'late' }]
  const { ms = 0, fail = false } = JSON.parse(spec)
  const timer = setTimeout(() => { finish(key, fail ? 'failed' : 'done') }, ms)
  runs.set(key, { task, attempt, startedAt: clock(), ms, timer })
  highest.set(task, attempt)
  note({ event: 'started', task, attempt, spec })
  return [200, {}]
}

function stop ({ task, attempt }) {
  const key = `${task}/${attempt}`
  highest.set(task, Math.max(attempt, highest.get(task) ?? 0))
  if (runs.has(key)) setTimeout(() => { finish(key, 'stopped') }, stopMilliseconds / 2)
  return [200, {}]
}

async function hold ({ ack_cursor: acknowledged = 0, wait_ms: wait = 0 }) {
  if (!held) note({ event: 'held' })
  held = true
  for (const [number, task, attempt, how] of ends) if (number <= acknowledged) note({ event: 'noted', task, attempt, how })
  ends = ends.filter(([number]) => number > acknowledged)
  if (wait > 0 && ends.length === 0) {
    await new Promise((resolve) => {
      waiters.push(resolve)
      setTimeout(resolve, wait)
    })
  }
  const running = [...runs.values()].map(({ task, attempt, startedAt, ms }) => [task, attempt, '', Math.min(99, Math.floor(100 * (clock() - startedAt) / Math.max(1, ms))), 0])
  return [200, { running, finished: ends.slice(0, 500) }]
}

const handlers = { '/run-start': start, '/run-stop': stop, '/hold': hold }

async function respond (incoming, outgoing) {
  const parts = []
  for await (const part of incoming) parts.push(part)
  const answer = (status, body) => { outgoing.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify({ ...body, clock_ms: clock(), born })) }
  const expected = incoming.headers['x-bramleyflow-expected-instance']
  if (expected !== undefined && expected !== name) { answer(421, {}); return }
  const order = JSON.parse(Buffer.concat(parts).toString())
  if ((order.fencing_token ?? 0) < fence) { answer(409, { reason: 'fence' }); return }
  fence = order.fencing_token ?? 0
  if (order.deadline_ms !== undefined) extend(order.deadline_ms)
  const handler = handlers[incoming.url]
  if (handler === undefined) { answer(404, {}); return }
  const [status, body] = await handler(order)
  answer(status, body)
}

const listen = options.listen ?? address
const separator = listen.lastIndexOf(':')
createServer((incoming, outgoing) => { respond(incoming, outgoing).catch(() => { outgoing.destroy() }) }).listen(Number(listen.slice(separator + 1)), listen.slice(0, separator))
note({ event: 'born', name })
await sleep(options.firstHeartbeatMilliseconds ?? 0)

for (;;) {
  sequence += 1
  const answer = await send(agent, 'POST', `/instances/${name}/heartbeat`, {
    body: {
      service: options.service, addr: address, zone: 'a', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, capacity: { cpu: 32_000, mem_mb: 131_072, gpu: options.accelerators }, labels: ['a', options.rack], clock_ms: clock(), seq: sequence, born
    }
  })
  await sleep(answer.status === 200 ? heartbeatMilliseconds : 200)
}
