import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { expectedAnswer, Fault, TargetStandIn } from '../stand-ins'
import { AgentBench, summary } from './agent-bench'
import { FakeControl } from './fake-control'

// A wait for what never comes ends with the test.
vi.setConfig({ testTimeout: 20_000 })

let bench: AgentBench
beforeEach(async () => { bench = await AgentBench.create() })
afterEach(async () => { await bench.close() })

const key = { job: 'job.1', attempt: 1 }
const payload = { milliseconds: 1, text: 'notice ' }

test('an attempt runs at the platform and the target, and its whole answer is reported', async () => {
  bench.startAgent()
  await bench.control.attached()
  const report = await bench.control.run(key, payload, {}, 0b1100)
  expect(summary(report)).toBe('finished ran')
  expect(report.answer?.body.toString()).toBe(expectedAnswer(Buffer.from(JSON.stringify(payload))))
  expect(bench.target.runs).toEqual([key])
  expect(bench.platform.records).toMatchObject([{ key: 'job.1.1', mask: 0b1100, slots: 1 }])
})

test('an agent follows the refusal of another host to the leader', async () => {
  const follower = await FakeControl.create()
  follower.leader = bench.control.address
  bench.startAgent({ controlHosts: [follower.address] })
  await bench.control.attached()
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
])('a target with the fault $fault', async ({ fault, expected, runs }) => {
  bench.startAgent()
  await bench.control.attached()
  bench.target.fail({ fault, milliseconds: 20 })
  expect(summary(await bench.control.run(key, payload))).toBe(expected)
  expect(bench.target.runs).toHaveLength(runs)
})

test('a target that hangs is given up at the deadline', async () => {
  bench.startAgent()
  await bench.control.attached()
  bench.target.fail({ fault: Fault.Hang })
  const report = await bench.control.run(key, payload, { deadline: Date.now() + 300 })
  expect(summary(report)).toBe('failed may have run deadline-passed')
})

test('a target that does not listen did not run the request', async () => {
  bench.startAgent()
  await bench.control.attached()
  await bench.target.close()
  expect(summary(await bench.control.run(key, payload))).toBe('failed not run connection-refused')
  bench.target = await TargetStandIn.create()
})

test('an answer over the limit has run and is not delivered', async () => {
  bench.startAgent()
  await bench.control.attached()
  const report = await bench.control.run(key, { text: 'x', repeat: 10_000 }, { answerBytesLimit: 1_000 })
  expect(summary(report)).toBe('failed ran answer-too-large')
})
