import { afterEach, beforeEach, expect, test } from 'vitest'
import { Agent, type AgentOptions } from '../src/agent'
import { expectedAnswer, Fault, PlatformStandIn, TargetStandIn } from '../stand-ins'
import { FakeControl } from './fake-control'

let control: FakeControl
let platform: PlatformStandIn
let target: TargetStandIn
let agents: Agent[]

beforeEach(async () => {
  control = await FakeControl.create()
  platform = await PlatformStandIn.create()
  target = await TargetStandIn.create()
  agents = []
})

afterEach(async () => {
  for (const agent of agents) { await agent.stop(0) }
  control.close()
  await platform.close()
  await target.close()
})

function startAgent (options: Partial<AgentOptions> = {}): Agent {
  const worker = { name: 'w', region: 'r', dataCentre: 'd', rack: 'k', accelerators: 8, slots: 8, processors: 32, memoryMegabytes: 128_000 }
  const agent = Agent.create({ worker, controlHosts: [control.address], platformUrl: platform.url, targetUrl: target.url, ...options })
  agents.push(agent)
  agent.start()
  return agent
}

const key = { job: 'job.1', attempt: 1 }
const payload = { milliseconds: 1, text: 'notice ' }

function summary ({ outcome, verdict, reason }: { outcome: string, verdict: number, reason: string }): string {
  return `${outcome} ${['', 'not run', 'may have run', 'ran'][verdict]} ${reason}`.trim()
}

test('an attempt runs at the platform and the target, and its whole answer is reported', async () => {
  startAgent()
  await control.attached()
  const report = await control.run(key, payload, {}, 0b1100)
  expect(summary(report)).toBe('finished ran')
  expect(report.answer?.body.toString()).toBe(expectedAnswer(Buffer.from(JSON.stringify(payload))))
  expect(target.runs).toEqual([key])
  expect(platform.records).toMatchObject([{ key: 'job.1.1', mask: 0b1100, slots: 1 }])
})

test('an agent follows the refusal of another host to the leader', async () => {
  const follower = await FakeControl.create()
  follower.leader = control.address
  startAgent({ controlHosts: [follower.address] })
  await control.attached()
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
  startAgent()
  await control.attached()
  target.fail({ fault, milliseconds: 20 })
  expect(summary(await control.run(key, payload))).toBe(expected)
  expect(target.runs).toHaveLength(runs)
})

test('a target that hangs is given up at the deadline', async () => {
  startAgent()
  await control.attached()
  target.fail({ fault: Fault.Hang })
  const report = await control.run(key, payload, { deadline: Date.now() + 300 })
  expect(summary(report)).toBe('failed may have run deadline-passed')
})

test('a target that does not listen did not run the request', async () => {
  startAgent()
  await control.attached()
  await target.close()
  expect(summary(await control.run(key, payload))).toBe('failed not run connection-refused')
  target = await TargetStandIn.create()
})

test('an answer over the limit has run and is not delivered', async () => {
  startAgent()
  await control.attached()
  const report = await control.run(key, { text: 'x', repeat: 10_000 }, { answerBytesLimit: 1_000 })
  expect(summary(report)).toBe('failed ran answer-too-large')
})
