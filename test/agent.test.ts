import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { expectedAnswer, Fault, TargetStandIn } from '../stand-ins'
import { AgentFixture, summary } from './agent-fixture'
import { FakeControl } from './fake-control'

// `until` has no time-out of its own: a condition that never holds fails the test by its time-out.
vi.setConfig({ testTimeout: 20_000 })

let fixture: AgentFixture
beforeEach(async () => { fixture = await AgentFixture.create() })
afterEach(async () => { await fixture.close() })

const key = { job: 'job.1', attempt: 1 }
const payload = { milliseconds: 1, text: 'notice ' }

test('an attempt runs at the platform and the target, and its complete answer is reported', async () => {
  fixture.startAgent()
  await fixture.control.attached()
  const report = await fixture.control.run(key, payload, {}, 0b1100)
  expect(summary(report)).toBe('finished ran')
  expect(report.answer?.body.toString()).toBe(expectedAnswer(Buffer.from(JSON.stringify(payload))))
  expect(fixture.target.runs).toEqual([key])
  expect(fixture.platform.taskRuns).toMatchObject([{ key: 'job.1.1', mask: 0b1100, slots: 1 }])
})

test('an agent that dials a follower is redirected to the leader', async () => {
  const follower = await FakeControl.create()
  follower.leader = fixture.control.address
  fixture.startAgent({ controlHosts: [follower.address] })
  await fixture.control.attached()
  expect(follower.announcements).toHaveLength(1)
  follower.close()
})

test.each([
  { fault: Fault.FailEverything, expected: 'failed may have run target-failed', runs: 0 },
  { fault: Fault.Refuse, expected: 'failed may have run connection-broken', runs: 0 },
  { fault: Fault.HalfBody, expected: 'failed may have run connection-broken', runs: 1 },
  { fault: Fault.WrongByte, expected: 'failed may have run answer-damaged', runs: 1 },
  { fault: Fault.Late, expected: 'finished ran', runs: 1 },
  { fault: Fault.Twice, expected: 'finished ran', runs: 1 }
])('a target with the fault $fault executes a request at most once, and the verdict says whether it may have run', async ({ fault, expected, runs }) => {
  fixture.startAgent()
  await fixture.control.attached()
  fixture.target.setFault({ fault, milliseconds: 20 })
  expect(summary(await fixture.control.run(key, payload))).toBe(expected)
  expect(fixture.target.runs).toHaveLength(runs)
})

test('a request to a target that hangs is aborted at the deadline', async () => {
  fixture.startAgent()
  await fixture.control.attached()
  fixture.target.setFault({ fault: Fault.Hang })
  const report = await fixture.control.run(key, payload, { deadline: Date.now() + 300 })
  expect(summary(report)).toBe('failed may have run deadline-passed')
})

test('a request to a target that does not listen is reported as not run', async () => {
  fixture.startAgent()
  await fixture.control.attached()
  await fixture.target.close()
  expect(summary(await fixture.control.run(key, payload))).toBe('failed not run connection-refused')
  fixture.target = await TargetStandIn.create()
})

test('an answer over the size limit is reported as run, and is not delivered', async () => {
  fixture.startAgent()
  await fixture.control.attached()
  const report = await fixture.control.run(key, { text: 'x', repeat: 10_000 }, { answerBytesLimit: 1_000 })
  expect(summary(report)).toBe('failed ran answer-too-large')
})
