import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { StopMode } from '../src/wire'
import { Fault, TaskEnd } from '../stand-ins'
import { AgentFixture, summary } from './agent-fixture'
import { FakeControl } from './fake-control'
import { until } from './until'

// `until` has no time-out of its own: a condition that never holds fails the test by its time-out.
vi.setConfig({ testTimeout: 20_000 })

let fixture: AgentFixture
beforeEach(async () => { fixture = await AgentFixture.create() })
afterEach(async () => { await fixture.close() })

const key = { job: 'job', attempt: 1 }
const other = { job: 'other', attempt: 1 }
const long = { milliseconds: 60_000 }
const short = { milliseconds: 1 }

async function startAttempt (started = key, fields = {}, mask = 0b11): Promise<void> {
  fixture.control.reserve(started, { acceleratorMask: mask })
  expect(await fixture.control.reply(started)).toMatchObject({ granted: true })
  fixture.control.start(started, long, fields)
  if (mask !== 0) await until(() => fixture.platform.taskRuns.some((record) => record.key === `${started.job}.1`))
}

test('a duplicate answer is not accepted as the answer to the next request on the same connection', async () => {
  await fixture.attach({ connections: 2 })
  fixture.target.setFault({ fault: Fault.Twice, count: 1 })
  expect(summary(await fixture.control.run(key, short))).toBe('finished ran')
  expect(summary(await fixture.control.run(other, short))).toBe('failed may have run answer-of-another')
})

test.each([
  { fields: { lead: false }, expected: 'stopped may have run stopped-by-control', runs: 0 },
  { fields: { lead: true }, expected: 'failed may have run agent-restarted', runs: 1 },
  { fields: { lead: true, idempotent: true }, expected: 'stopped may have run stopped-by-control', runs: 2 }
])('a restarted agent reports or repeats attempts whose tasks the platform still runs: $fields', async ({ fields, expected, runs }) => {
  const agent = await fixture.attach()
  await startAttempt(key, fields)
  if (fields.lead) await until(() => fixture.target.runs.length === 1)
  await fixture.restart(agent)
  expect(fixture.control.announcements.at(-1)?.running).toEqual([key])
  fixture.control.reserve(other, { acceleratorMask: 0b10 })
  expect(await fixture.control.reply(other)).toMatchObject({ granted: false, reason: 'accelerator-taken' })
  fixture.control.start(key, long, fields)
  if (runs === 2) await until(() => fixture.target.runs.length === 2)
  if (expected.startsWith('stopped')) fixture.control.send({ $case: 'stop', value: { key, mode: StopMode.STOP, graceMilliseconds: 0 } })
  expect(summary(await fixture.control.report(key))).toBe(expected)
  expect(fixture.target.runs).toHaveLength(runs)
  expect(fixture.platform.taskRuns).toMatchObject([{ key: 'job.1', end: TaskEnd.Stopped }])
})

test('a start without a reservation is reported as not run; a start for an earlier incarnation may have run', async () => {
  await fixture.attach()
  fixture.control.start(key, short)
  expect(summary(await fixture.control.report(key))).toBe('not-started not run no-reservation')
  fixture.control.start(other, short, { incarnation: 'earlier' })
  expect(summary(await fixture.control.report(other))).toBe('failed may have run agent-restarted')
  expect(fixture.target.runs).toEqual([])
})

test.each([
  { order: { fault: Fault.Late, count: 1, milliseconds: 20 }, expected: 'finished ran' },
  { order: { fault: Fault.HalfBody, count: 1 }, expected: 'finished ran' },
  { order: { fault: Fault.Refuse, count: 1 }, expected: 'finished ran' },
  { order: { fault: Fault.Twice, count: 1 }, expected: 'finished ran' },
  { order: { fault: Fault.FailEverything, count: 3 }, expected: 'failed may have run platform-failed' }
])('a platform with the fault $order.fault starts at most one task', async ({ order, expected }) => {
  await fixture.attach()
  fixture.platform.setFault({ ...order, method: 'PUT' })
  expect(summary(await fixture.control.run(key, short, {}, 0b1))).toBe(expected)
  const finished = expected.startsWith('finished') ? 1 : 0
  expect(fixture.target.runs).toHaveLength(finished)
  await until(() => fixture.platform.taskRuns.every(({ endedAt }) => endedAt > 0))
  expect(fixture.platform.taskRuns).toHaveLength(finished)
})

test('an agent does not attach to a leader with an older term or configuration', async () => {
  const old = await FakeControl.create()
  old.leader = fixture.control.address
  fixture.control.term = 2
  fixture.control.configuration = 7
  await fixture.attach({ controlHosts: [old.address, fixture.control.address] })
  const claims = [{ term: 1, configuration: 9 }, { term: 3, configuration: 6 }]
  for (const claim of claims) {
    Object.assign(old, claim, { leader: '' })
    const before = old.announcements.length
    fixture.control.destroyStreams()
    fixture.control.leader = old.address
    await until(() => old.announcements.length > before)
    fixture.control.leader = ''
    const attached = fixture.control.announcements.length
    await until(() => fixture.control.announcements.length > attached)
  }
  expect(old.received.filter(({ message }) => message?.$case === 'heartbeat')).toEqual([])
  old.close()
})

test('when the lease is not renewed, all attempts are stopped and reservations are dropped', async () => {
  fixture.control.leaseMilliseconds = 1_500
  await fixture.attach()
  await startAttempt(key, { checkpointable: true, lead: false })
  await startAttempt(other, { idempotent: true }, 0)
  const reserved = { job: 'reserved', attempt: 1 }
  fixture.control.reserve(reserved)
  await fixture.control.reply(reserved)
  fixture.control.renewsLeases = false
  expect(summary(await fixture.control.report(key))).toBe('checkpointed may have run lease-lost')
  expect(summary(await fixture.control.report(other))).toBe('stopped may have run lease-lost')
  fixture.control.start(reserved, short)
  expect(summary(await fixture.control.report(reserved))).toBe('not-started not run no-reservation')
  expect(fixture.platform.taskRuns).toMatchObject([{ end: TaskEnd.Checkpointed }])
})

test('the platform ends the task of an agent that does not return, when its lease expires', async () => {
  fixture.control.leaseMilliseconds = 1_500
  const agent = await fixture.attach()
  await startAttempt()
  await agent.stop(0)
  await until(() => fixture.platform.taskRuns.some(({ end }) => end === TaskEnd.LeaseExpired))
})

test('a task that dies at the platform ends its attempt, and the report has the reason', async () => {
  await fixture.attach()
  await startAttempt()
  fixture.platform.kill('job.1', TaskEnd.OverMemory)
  expect(summary(await fixture.control.report(key))).toBe('failed may have run over-memory')
})

test('a report is sent to the next leader again until it is acknowledged', async () => {
  fixture.control.acknowledgesReports = false
  await fixture.attach()
  const report = await fixture.control.run(key, short)
  fixture.control.received.length = 0
  fixture.control.destroyStreams()
  expect(await fixture.control.report(key)).toEqual(report)
  expect(fixture.control.announcements.at(-1)?.running).toEqual([key])
})

test('after the leader and a second host fall silent, the agent finds the next leader before its tasks must be stopped', async () => {
  const [silent, next] = [await FakeControl.create(), await FakeControl.create()]
  for (const control of [fixture.control, next]) Object.assign(control, { leaseMilliseconds: 4_000, heartbeatMilliseconds: 1_000 })
  silent.silent = true
  next.leader = fixture.control.address
  await fixture.attach({ controlHosts: [fixture.control.address, silent.address, next.address] })
  await startAttempt(key, { lead: false })
  Object.assign(next, { leader: '', received: [] })
  fixture.control.silent = true
  await until(() => next.announcements.length > 0 || fixture.control.reports.length > 0)
  expect(next.announcements[0]?.running).toEqual([key])
  expect(fixture.platform.taskRuns).toMatchObject([{ endedAt: 0 }])
  silent.close()
  next.close()
})

test('reservations never exceed the slots and connections of the worker', async () => {
  await fixture.attach({ connections: 11 })
  const keys = Array.from({ length: 14 }, (_, number) => ({ job: `job${number}`, attempt: 1 }))
  for (const [position, each] of keys.entries()) fixture.control.reserve(each, { slots: position < 10 ? 1 : 0 })
  const replies = await Promise.all(keys.map((each) => fixture.control.reply(each)))
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
  for (const { key: each } of granted) fixture.control.start(each!, { milliseconds: 50 })
  await Promise.all(granted.map(({ key: each }) => fixture.control.report(each!)))
  expect(fixture.target.maxConcurrentRequests).toBeLessThanOrEqual(10)
})

test('a leaving agent refuses reservations, lets a short task finish and delivers its answer', async () => {
  const agent = await fixture.attach()
  fixture.control.reserve(key)
  await fixture.control.reply(key)
  fixture.control.start(key, { milliseconds: 300 })
  await until(() => fixture.target.runs.length === 1)
  const stopped = agent.stop(5_000)
  fixture.control.reserve(other)
  expect(await fixture.control.reply(other)).toMatchObject({ granted: false, reason: 'leaving' })
  expect(await stopped).toEqual({ left: [] })
  expect(summary(await fixture.control.report(key))).toBe('finished ran')
})

test('a leaving agent checkpoints or stops unfinished tasks, and returns the attempts whose reports are not acknowledged', async () => {
  const agent = await fixture.attach()
  await startAttempt(key, { checkpointable: true })
  await startAttempt(other, {}, 0b1100)
  fixture.control.acknowledgesReports = false
  const { left } = await agent.stop(3_000)
  expect(left).toEqual([key, other].map((each) => ({ ...each, phase: 'ended', unreported: true })))
  expect(summary(await fixture.control.report(key))).toBe('checkpointed may have run leaving')
  expect(summary(await fixture.control.report(other))).toBe('stopped may have run leaving')
})
