/** Tests the supervisor with an in-memory fake of the worker and a fake leader on a real gRPC stream. */
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { OrderOutcome, OrderRefusal } from '../src/agent'
import { RunOutcome } from '../src/core/index'
import { heartbeat, key, noAnswer, SupervisorFixture } from './supervisor-fixture'
import { until } from './until'

let fixture: SupervisorFixture

beforeEach(async () => { fixture = await SupervisorFixture.createWithWorker() })

afterEach(async () => { await fixture.close() })

test('a run is started once under the granted lease, and reported as running', async () => {
  fixture.sendOrders({ starts: [{ key, payload: 'text' }] })
  await until(() => fixture.lastReport?.runs[0]?.running)
  expect(fixture.worker.calls).toEqual(['start j 1 at w until 9000'])
  fixture.sendOrders({ starts: [{ key, payload: 'text' }] })
  await until(() => fixture.worker.polls.some(({ leaseUntil }) => leaseUntil === 9_000))
  expect(fixture.worker.calls).toHaveLength(1)
})

test('an unanswered start is sent again; after a refusal the run counts as not started only once it was stopped and is not listed', async () => {
  fixture.worker.answers = [noAnswer, noAnswer, { outcome: OrderOutcome.Refused, clock: 2_000, refusal: OrderRefusal.NoCapacity }]
  fixture.sendOrders({ starts: [{ key, payload: 'text' }] })
  await until(() => fixture.lastReport?.ends[0]?.outcome === RunOutcome.NotStarted)
  expect(fixture.worker.calls.map((call) => call.split(' ')[0])).toEqual(['start', 'start', 'start', 'stop'])
  fixture.sendOrders({ stops: [key] })
  await until(() => fixture.lastReport?.ends.length === 0)
})

test('a run whose first start is refused is reported as not started once the worker was told never to start it', async () => {
  fixture.worker.answers = [{ outcome: OrderOutcome.Refused, clock: 2_000, refusal: OrderRefusal.Unhealthy }]
  fixture.sendOrders({ starts: [{ key, payload: 'text' }] })
  await until(() => fixture.lastReport?.ends[0]?.outcome === RunOutcome.NotStarted)
  expect(fixture.worker.calls).toEqual(['start j 1 at w until 9000', 'stop j 1 at w'])
})

test.each([OrderRefusal.Unhealthy, OrderRefusal.TooLate, OrderRefusal.Fenced, OrderRefusal.Other])('a refusal to a restarted agent (%s) does not end a run that the process before started', async (refusal) => {
  const restarted = await SupervisorFixture.create()
  const { worker, reports } = restarted
  worker.running = [{ key, checkpoint: '', percent: 50 }]
  worker.answersPolls = false
  worker.answers = [{ outcome: OrderOutcome.Refused, clock: 2_000, refusal }]
  restarted.standingOrders = { starts: [{ key, payload: 'text', checkpoint: '' }] }
  restarted.supervisor.handleHeartbeat(heartbeat)
  await new Promise((resolve) => { setTimeout(resolve, 700) })
  worker.answersPolls = true
  await until(() => reports.at(-1)?.runs.some(({ running }) => running) === true || reports.at(-1)?.ends.length === 1)
  restarted.sendOrders({ stops: [key] })
  await until(() => reports.at(-1)?.ends.length === 1)
  expect(reports.flatMap(({ ends }) => ends).filter(({ outcome }) => outcome !== RunOutcome.Stopped)).toEqual([])
  await restarted.close()
})

test('an unanswered start is revoked at the next incarnation of the worker before that is announced', async () => {
  fixture.worker.answers = Array.from({ length: 1_000 }, () => noAnswer)
  fixture.sendOrders({ starts: [{ key, payload: 'text' }] })
  await until(() => fixture.worker.calls.length > 0)
  fixture.worker.restart(9)
  fixture.supervisor.handleHeartbeat({ ...heartbeat, incarnation: 'w2@9', worker: 'w2', startedAt: 9 })
  await until(() => fixture.lastReport?.life?.incarnation === 'w2@9')
  expect(fixture.worker.calls.filter((call) => call.startsWith('stop'))).toEqual(['stop j 1 at w2'])
  expect(fixture.lastReport?.gone).toEqual(['w@5'])
  fixture.supervisor.handleHeartbeat(heartbeat)
  expect(fixture.lastReport?.life?.incarnation).toBe('w2@9')
})

test('no incarnation is reported as gone while a start that may still arrive at its successor is not revoked', async () => {
  fixture.worker.answers = Array.from({ length: 1_000 }, () => noAnswer)
  fixture.sendOrders({ starts: [{ key, payload: 'text' }] })
  await until(() => fixture.worker.calls.length > 0)
  fixture.worker.restart(9)
  fixture.worker.stopAnswers = Array.from({ length: 8 }, () => noAnswer)
  fixture.supervisor.handleHeartbeat({ ...heartbeat, incarnation: 'w@9', startedAt: 9 })
  fixture.sendOrders({ starts: [{ key: { ...key, job: 'next' }, payload: 'text' }] })
  await new Promise((resolve) => { setTimeout(resolve, 250) })
  fixture.supervisor.handleHeartbeat({ ...heartbeat, incarnation: 'w@9', startedAt: 9, sequence: 2 })
  await until(() => fixture.lastReport?.life?.incarnation === 'w@9')
  const revokedAt = fixture.reports.findIndex(({ life }) => life?.incarnation === 'w@9')
  expect(fixture.reports.slice(0, revokedAt).flatMap(({ gone }) => gone)).toEqual([])
  expect(fixture.lastReport?.gone).toEqual(['w@5'])
  expect(fixture.worker.calls.filter((call) => call.startsWith('stop'))).toHaveLength(9)
  expect(fixture.worker.calls.filter((call) => call.startsWith('start next'))).toEqual([])
})

test('an unanswered start is revoked at the next incarnation even if a later order for the run was answered and the run has ended', async () => {
  fixture.worker.answers = [noAnswer]
  fixture.sendOrders({ starts: [{ key, payload: 'text' }] })
  await until(() => fixture.worker.running.length === 1)
  fixture.worker.running = []
  fixture.worker.ends = [{ number: 1, key, outcome: RunOutcome.Done, checkpoint: '' }]
  await until(() => fixture.lastReport?.ends.length === 1)
  fixture.sendOrders({ acknowledged: 1 })
  await until(() => fixture.worker.polls.at(-1)?.acknowledged === 1)
  fixture.worker.restart(9)
  fixture.supervisor.handleHeartbeat({ ...heartbeat, incarnation: 'w@9', startedAt: 9 })
  await until(() => fixture.lastReport?.life?.incarnation === 'w@9')
  expect(fixture.worker.calls.at(-1)).toBe('stop j 1 at w')
  expect(fixture.lastReport).toMatchObject({ runs: [], ends: [], gone: ['w@5'] })
})

test('a new incarnation is reported only with the list of what it runs', async () => {
  fixture.worker.restart(9)
  fixture.worker.running = [{ key, checkpoint: '', percent: 0 }]
  fixture.worker.answersPolls = false
  fixture.supervisor.handleHeartbeat({ ...heartbeat, incarnation: 'w@9', startedAt: 9 })
  await new Promise((resolve) => { setTimeout(resolve, 100) })
  fixture.worker.answersPolls = true
  await until(() => fixture.lastReport?.life?.incarnation === 'w@9')
  const first = fixture.reports.find(({ life }) => life?.incarnation === 'w@9')
  expect(first?.runs).toMatchObject([{ key, running: true }])
})

test('after a call without an answer, neither starts nor lease nor end numbers reach a worker that may have restarted', async () => {
  fixture.worker.ends = [{ number: 7, key: { ...key, job: 'other' }, outcome: RunOutcome.Done, checkpoint: '' }]
  fixture.sendOrders({ acknowledged: 7, starts: [{ key: { ...key, job: 'first' }, payload: 'text' }] })
  await until(() => fixture.worker.polls.at(-1)?.acknowledged === 7)
  fixture.worker.answersPolls = false
  await new Promise((resolve) => { setTimeout(resolve, 100) })
  fixture.worker.restart(9)
  const pollsBefore = fixture.worker.polls.length
  fixture.worker.answersPolls = true
  fixture.sendOrders({ starts: [{ key, payload: 'text' }] })
  await new Promise((resolve) => { setTimeout(resolve, 300) })
  expect(fixture.worker.polls.slice(pollsBefore).filter(({ acknowledged, leaseUntil }) => acknowledged > 0 || leaseUntil > 0)).toEqual([])
  expect(fixture.worker.calls.filter((call) => call.startsWith('start j'))).toEqual([])
})

test('a deregistration ends the incarnation that it states, and not a later one of the same name', async () => {
  fixture.supervisor.handleDeregistration('w', heartbeat.startedAt - 1)
  fixture.supervisor.handleHeartbeat({ ...heartbeat, sequence: 2 })
  const { length } = fixture.reports
  await until(() => fixture.reports.length > length + 1)
  expect(fixture.lastReport).toMatchObject({ life: { incarnation: 'w@5' }, gone: [] })
  fixture.supervisor.handleDeregistration('w', heartbeat.startedAt)
  await until(() => fixture.lastReport?.gone.includes('w@5') === true)
  expect(fixture.lastReport?.life).toBeUndefined()
})

test('the time that a leaving worker stays is reported, counted from its newest heartbeat', async () => {
  fixture.supervisor.handleHeartbeat({ ...heartbeat, leaving: true, sequence: 3, remainingMilliseconds: 9_000 })
  fixture.supervisor.handleHeartbeat({ ...heartbeat, leaving: true, sequence: 2, remainingMilliseconds: 60_000 })
  await until(() => fixture.lastReport?.life?.leaving === true)
  const stated = fixture.lastReport?.life?.remainingMilliseconds ?? 0
  expect(stated).toBeGreaterThan(7_000)
  expect(stated).toBeLessThanOrEqual(9_000)
  await until(() => (fixture.lastReport?.life?.remainingMilliseconds ?? 0) < stated)
})

test('a leaving worker gets no start, even one that control has already ordered', async () => {
  fixture.supervisor.handleHeartbeat({ ...heartbeat, leaving: true, sequence: 2 })
  fixture.standingOrders = { starts: [{ key, payload: 'text', checkpoint: '' }] }
  fixture.sendOrders(fixture.standingOrders)
  await until(() => fixture.lastReport?.ends[0]?.outcome === RunOutcome.NotStarted)
  expect(fixture.worker.calls).toEqual(['stop j 1 at w'])
  expect(fixture.lastReport?.life?.leaving).toBe(true)
})

test('the capacity of the newest heartbeat is reported at once, and a late heartbeat does not bring an older one back', async () => {
  await until(() => fixture.reports.length > 2)
  const sent = fixture.reports.length
  const capacity = { processors: 3, memoryMegabytes: 4, accelerators: 0 }
  fixture.supervisor.handleHeartbeat({ ...heartbeat, ...capacity, sequence: 4 })
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  expect(fixture.reports.slice(sent).some(({ life }) => life?.processors === 3)).toBe(true)
  fixture.supervisor.handleHeartbeat({ ...heartbeat, sequence: 3 })
  fixture.supervisor.handleHeartbeat({ ...heartbeat, incarnation: 'w@5', processors: 9, sequence: 4 })
  const before = fixture.reports.length
  await until(() => fixture.reports.length > before)
  expect(fixture.lastReport?.life).toMatchObject(capacity)
})

test('a start that no longer fits the worker is not sent, and counts as not started', async () => {
  fixture.supervisor.handleHeartbeat({ ...heartbeat, accelerators: 0, sequence: 2 })
  fixture.standingOrders = { starts: [{ key, payload: 'text', checkpoint: '' }], used: { processors: 1, memoryMegabytes: 1, accelerators: 1 } }
  fixture.sendOrders(fixture.standingOrders)
  await until(() => fixture.lastReport?.ends[0]?.outcome === RunOutcome.NotStarted)
  expect(fixture.worker.calls).toEqual(['stop j 1 at w'])
  expect(fixture.lastReport?.life?.accelerators).toBe(0)
})

test('an unanswered start that no longer fits the worker is not sent again, but stopped', async () => {
  fixture.worker.answers = Array.from({ length: 1_000 }, () => noAnswer)
  fixture.standingOrders = { starts: [{ key, payload: 'text', checkpoint: '' }], used: { processors: 1, memoryMegabytes: 1, accelerators: 1 } }
  fixture.sendOrders(fixture.standingOrders)
  await until(() => fixture.worker.calls.length > 0)
  fixture.supervisor.handleHeartbeat({ ...heartbeat, memoryMegabytes: 0, sequence: 2 })
  await until(() => fixture.lastReport?.ends[0]?.outcome === RunOutcome.NotStarted)
  expect(fixture.worker.calls.at(-1)).toBe('stop j 1 at w')
  expect(fixture.worker.calls.filter((call) => call.startsWith('stop'))).toHaveLength(1)
})

test('a start is sent while everything that control has assigned to the worker fits it', async () => {
  fixture.sendOrders({ starts: [{ key, payload: 'text' }], used: { processors: 1, memoryMegabytes: 1, accelerators: 1 } })
  await until(() => fixture.lastReport?.runs[0]?.running)
  expect(fixture.worker.calls).toHaveLength(1)
})

test('a late heartbeat that comes before an agent that restarted has reported its worker does not displace it', async () => {
  const late = await SupervisorFixture.create()
  late.worker.answersPolls = false
  late.supervisor.handleHeartbeat(heartbeat)
  late.supervisor.handleHeartbeat({ ...heartbeat, incarnation: 'w@3', startedAt: 3 })
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  late.worker.answersPolls = true
  late.supervisor.handleHeartbeat({ ...heartbeat, sequence: 2 })
  await until(() => late.lastReport?.life?.incarnation === 'w@5')
  expect(late.lastReport?.gone).not.toContain('w@5')
  await late.close()
})

test('a heartbeat that comes while the incarnation changes is not lost', async () => {
  fixture.worker.answers = Array.from({ length: 1_000 }, () => noAnswer)
  fixture.sendOrders({ starts: [{ key, payload: 'text' }] })
  await until(() => fixture.worker.calls.length > 0)
  fixture.worker.restart(9)
  const next = { ...heartbeat, incarnation: 'w2@9', worker: 'w2', startedAt: 9 }
  fixture.supervisor.handleHeartbeat(next)
  fixture.supervisor.handleHeartbeat({ ...next, accelerators: 0, sequence: 2 })
  await until(() => fixture.lastReport?.life?.incarnation === 'w2@9')
  expect(fixture.lastReport?.life?.accelerators).toBe(0)
})

test('listed runs are reported to control, and an end is reported until control has recorded it', async () => {
  fixture.worker.running = [{ key, checkpoint: 'saved', percent: 40 }]
  fixture.sendOrders({ starts: [{ key: { ...key, job: 'other' }, payload: 'text' }] })
  await until(() => fixture.lastReport?.runs.some((run) => run.key?.job === 'j' && run.percent === 40 && run.checkpoint === 'saved'))
  fixture.worker.running = []
  fixture.worker.ends = [{ number: 4, key, outcome: RunOutcome.Done, checkpoint: '' }]
  await until(() => fixture.lastReport?.ends.some(({ number }) => number === 4))
  fixture.sendOrders({ acknowledged: 4 })
  await until(() => fixture.worker.polls.at(-1)?.acknowledged === 4)
  await until(() => fixture.lastReport?.ends.every(({ number }) => number !== 4))
})

test('orders of a leader with an older term are ignored', async () => {
  fixture.sendOrders({ term: 5 })
  await until(() => fixture.reports.length > 1)
  fixture.sendOrders({ term: 1, starts: [{ key, payload: 'text' }] })
  await new Promise((resolve) => { setTimeout(resolve, 100) })
  expect(fixture.worker.calls).toEqual([])
})

test.each([{ stops: [key] }, {}])('an agent that was paused sends a start that waited only once control has answered a report made since: %j', async (answer) => {
  vi.useFakeTimers({ toFake: ['performance'] })
  const paused = await SupervisorFixture.createWithWorker()
  // Answers with the sequence number 0 answer no report, like those that were sent before the pause.
  paused.standingOrders = { sequence: 0 }
  vi.advanceTimersByTime(3_000)
  paused.sendOrders({ leaseUntil: 9_000, starts: [{ key, payload: 'text' }] })
  await new Promise((resolve) => { setTimeout(resolve, 300) })
  expect(paused.worker.calls).toEqual([])
  paused.standingOrders = answer
  await until(() => paused.worker.calls.length > 0)
  expect(paused.worker.calls).toEqual([answer.stops === undefined ? 'start j 1 at w until 9000' : 'stop j 1 at w'])
  await paused.close()
  vi.useRealTimers()
})
