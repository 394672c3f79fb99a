import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { StopMode } from '../src/wire'
import { Fault, TaskEnd } from '../stand-ins'
import { AgentBench, summary } from './agent-bench'
import { FakeControl } from './fake-control'
import { until } from './until'

// A wait for what never comes ends with the test.
vi.setConfig({ testTimeout: 20_000 })

let bench: AgentBench
beforeEach(async () => { bench = await AgentBench.create() })
afterEach(async () => { await bench.close() })

const key = { job: 'job', attempt: 1 }
const other = { job: 'other', attempt: 1 }
const long = { milliseconds: 60_000 }
const short = { milliseconds: 1 }

async function begin (started = key, fields = {}, mask = 0b11): Promise<void> {
  bench.control.reserve(started, { acceleratorMask: mask })
  expect(await bench.control.reply(started)).toMatchObject({ granted: true })
  bench.control.start(started, long, fields)
  if (mask !== 0) await until(() => bench.platform.records.some((record) => record.key === `${started.job}.1`))
}

test('an answer sent two times is not taken for the answer of the next request on the connection', async () => {
  await bench.attach({ connections: 2 })
  bench.target.fail({ fault: Fault.Twice, count: 1 })
  expect(summary(await bench.control.run(key, short))).toBe('finished ran')
  expect(summary(await bench.control.run(other, short))).toBe('failed may have run answer-of-another')
})

test.each([
  { fields: { lead: false }, expected: 'stopped may have run stopped-by-control', runs: 0 },
  { fields: { lead: true }, expected: 'failed may have run agent-restarted', runs: 1 },
  { fields: { lead: true, idempotent: true }, expected: 'stopped may have run stopped-by-control', runs: 2 }
])('a restarted agent goes on by what the platform shows: $fields', async ({ fields, expected, runs }) => {
  const agent = await bench.attach()
  await begin(key, fields)
  if (fields.lead) await until(() => bench.target.runs.length === 1)
  await bench.restart(agent)
  expect(bench.control.announcements.at(-1)?.running).toEqual([key])
  bench.control.reserve(other, { acceleratorMask: 0b10 })
  expect(await bench.control.reply(other)).toMatchObject({ granted: false, reason: 'accelerator-taken' })
  bench.control.start(key, long, fields)
  if (runs === 2) await until(() => bench.target.runs.length === 2)
  if (expected.startsWith('stopped')) bench.control.send({ $case: 'stop', value: { key, mode: StopMode.STOP, graceMilliseconds: 0 } })
  expect(summary(await bench.control.report(key))).toBe(expected)
  expect(bench.target.runs).toHaveLength(runs)
  expect(bench.platform.records).toMatchObject([{ key: 'job.1', end: TaskEnd.Stopped }])
})

test('a start that no agent of this worker can have seen did not run; one of an earlier agent may have', async () => {
  await bench.attach()
  bench.control.start(key, short)
  expect(summary(await bench.control.report(key))).toBe('not-started not run no-reservation')
  bench.control.start(other, short, { incarnation: 'earlier' })
  expect(summary(await bench.control.report(other))).toBe('failed may have run agent-restarted')
  expect(bench.target.runs).toEqual([])
})

test.each([
  { order: { fault: Fault.Late, count: 1, milliseconds: 20 }, expected: 'finished ran' },
  { order: { fault: Fault.HalfBody, count: 1 }, expected: 'finished ran' },
  { order: { fault: Fault.Refuse, count: 1 }, expected: 'finished ran' },
  { order: { fault: Fault.Twice, count: 1 }, expected: 'finished ran' },
  { order: { fault: Fault.FailEverything, count: 3 }, expected: 'failed may have run platform-failed' }
])('a platform with the fault $order.fault starts at most one task', async ({ order, expected }) => {
  await bench.attach()
  bench.platform.fail({ ...order, method: 'PUT' })
  expect(summary(await bench.control.run(key, short, {}, 0b1))).toBe(expected)
  const finished = expected.startsWith('finished') ? 1 : 0
  expect(bench.target.runs).toHaveLength(finished)
  await until(() => bench.platform.records.every(({ endedAt }) => endedAt > 0))
  expect(bench.platform.records).toHaveLength(finished)
})

test('a leader of an older term or configuration is not followed', async () => {
  const old = await FakeControl.create()
  old.leader = bench.control.address
  bench.control.term = 2
  bench.control.configuration = 7
  await bench.attach({ controlHosts: [old.address, bench.control.address] })
  const claims = [{ term: 1, configuration: 9 }, { term: 3, configuration: 6 }]
  for (const claim of claims) {
    Object.assign(old, claim, { leader: '' })
    const before = old.announcements.length
    bench.control.cut()
    bench.control.leader = old.address
    await until(() => old.announcements.length > before)
    bench.control.leader = ''
    const attached = bench.control.announcements.length
    await until(() => bench.control.announcements.length > attached)
  }
  expect(old.received.filter(({ message }) => message?.$case === 'heartbeat')).toEqual([])
  old.close()
})

test('a lease that is not renewed ends everything, and reservations are forgotten', async () => {
  bench.control.leaseMilliseconds = 1_500
  await bench.attach()
  await begin(key, { checkpointable: true, lead: false })
  await begin(other, { idempotent: true }, 0)
  const reserved = { job: 'reserved', attempt: 1 }
  bench.control.reserve(reserved)
  await bench.control.reply(reserved)
  bench.control.renews = false
  expect(summary(await bench.control.report(key))).toBe('checkpointed may have run lease-lost')
  expect(summary(await bench.control.report(other))).toBe('stopped may have run lease-lost')
  bench.control.start(reserved, short)
  expect(summary(await bench.control.report(reserved))).toBe('not-started not run no-reservation')
  expect(bench.platform.records).toMatchObject([{ end: TaskEnd.Checkpointed }])
})

test('the platform ends the task of an agent that does not come back', async () => {
  bench.control.leaseMilliseconds = 1_500
  const agent = await bench.attach()
  await begin()
  await agent.stop(0)
  await until(() => bench.platform.records.some(({ end }) => end === TaskEnd.LeaseOver))
})

test('a task that dies at the platform ends its attempt, with the reason', async () => {
  await bench.attach()
  await begin()
  bench.platform.kill('job.1', TaskEnd.OverMemory)
  expect(summary(await bench.control.report(key))).toBe('failed may have run over-memory')
})

test('reports are sent again to the next leader until one acknowledges', async () => {
  bench.control.acknowledges = false
  await bench.attach()
  const report = await bench.control.run(key, short)
  bench.control.received.length = 0
  bench.control.cut()
  expect(await bench.control.report(key)).toEqual(report)
  expect(bench.control.announcements.at(-1)?.running).toEqual([key])
})

test('a leader and another host that fall silent are left before tasks must end', async () => {
  const [silent, next] = [await FakeControl.create(), await FakeControl.create()]
  for (const control of [bench.control, next]) Object.assign(control, { leaseMilliseconds: 4_000, heartbeatMilliseconds: 1_000 })
  silent.mute = true
  next.leader = bench.control.address
  await bench.attach({ controlHosts: [bench.control.address, silent.address, next.address] })
  await begin(key, { lead: false })
  Object.assign(next, { leader: '', received: [] })
  bench.control.mute = true
  await until(() => next.announcements.length > 0 || bench.control.reports.length > 0)
  expect(next.announcements[0]?.running).toEqual([key])
  expect(bench.platform.records).toMatchObject([{ endedAt: 0 }])
  silent.close()
  next.close()
})

test('no more than the slots and connections of the worker are given', async () => {
  await bench.attach({ connections: 11 })
  const keys = Array.from({ length: 14 }, (_, number) => ({ job: `job${number}`, attempt: 1 }))
  for (const [position, each] of keys.entries()) bench.control.reserve(each, { slots: position < 10 ? 1 : 0 })
  const replies = await Promise.all(keys.map((each) => bench.control.reply(each)))
  const granted = replies.filter((reply) => reply.granted)
  expect(replies.map(({ reason }) => reason)).toMatchInlineSnapshot(`
    [
      "",
      "",
      "",
      "",
      "",
      "",
      "",
      "",
      "no-slot-free",
      "no-slot-free",
      "",
      "",
      "no-connection-free",
      "no-connection-free",
    ]
  `)
  for (const { key: each } of granted) bench.control.start(each!, { milliseconds: 50 })
  await Promise.all(granted.map(({ key: each }) => bench.control.report(each!)))
  expect(bench.target.mostAtOnce).toBeLessThanOrEqual(10)
})

test('a leaving agent takes nothing new, lets a short task finish and delivers its answer', async () => {
  const agent = await bench.attach()
  bench.control.reserve(key)
  await bench.control.reply(key)
  bench.control.start(key, { milliseconds: 300 })
  await until(() => bench.target.runs.length === 1)
  const stopped = agent.stop(5_000)
  bench.control.reserve(other)
  expect(await bench.control.reply(other)).toMatchObject({ granted: false, reason: 'leaving' })
  expect(await stopped).toEqual({ left: [] })
  expect(summary(await bench.control.report(key))).toBe('finished ran')
})

test('a leaving agent checkpoints or stops what does not finish, and says what control has not acknowledged', async () => {
  const agent = await bench.attach()
  await begin(key, { checkpointable: true })
  await begin(other, {}, 0b1100)
  bench.control.acknowledges = false
  const { left } = await agent.stop(3_000)
  expect(left).toEqual([key, other].map((each) => ({ ...each, phase: 'ended', unreported: true })))
  expect(summary(await bench.control.report(key))).toBe('checkpointed may have run leaving')
  expect(summary(await bench.control.report(other))).toBe('stopped may have run leaving')
})
