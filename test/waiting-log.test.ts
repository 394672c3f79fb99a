/** Log lines on waiting gangs and on requests refused for lack of a leader: they must give the right reason without flooding the log. */
import { expect, test, vi } from 'vitest'
import { RefusalLog } from '../src/client/refusal-log'
import { DecisionLog, type DecisionLogContext } from '../src/control/decision-log'
import { CrashEvidence, EffectKind, explainWaiting, RunOutcome, StepTransactionKind, WaitingReason, type FleetView } from '../src/core/index'
import { step, StepWorld, worker } from './steps-fixture'

function view (world: StepWorld, fields: Partial<FleetView> = {}): FleetView {
  return { now: world.now, silent: new Set(), suspects: new Set(), progress: new Map(), complete: false, ...fields }
}

function reasons (world: StepWorld, fields: Partial<FleetView> = {}): string[] {
  return explainWaiting(world.state.steps, view(world, fields)).map(({ key, reason }) => `${key.job} ${reason}`)
}

const whole = step({ accelerators: 8 })

test('a waiting gang is logged with the reason for which it waits', () => {
  const world = StepWorld.create([worker('a'), worker('b', { rack: 'r2' })])
  world.submit('1-label', [step({ label: 'none' })])
  world.submit('2-rack', [{ ...whole, tasks: 2, gang: true, sameRack: true }])
  expect(reasons(world)).toEqual([`1-label ${WaitingReason.NoLabel}`, `2-rack ${WaitingReason.NoRack}`])
  expect(reasons(world, { silent: new Set(['a@1', 'b@1']) })[1]).toBe(`2-rack ${WaitingReason.WorkersSilent}`)
  expect(reasons(world, { suspects: new Set(['a@1', 'b@1']) })[1]).toBe(`2-rack ${WaitingReason.WorkersSuspected}`)
  const full = StepWorld.create([worker('a')])
  full.submit('running', [whole])
  full.start('running', 0, 0, ['a@1'])
  full.submit('urgent', [whole], 'urgent', 'two')
  full.submit('normal', [step({ tasks: 3 })])
  expect(reasons(full)).toEqual([`urgent ${WaitingReason.GuaranteeUsedUp}`, `normal ${WaitingReason.NoFreeCapacity}`])
  full.apply({ kind: StepTransactionKind.LeaveIncarnation, at: full.now, incarnation: 'a@1' })
  expect(reasons(full)[1]).toBe(`normal ${WaitingReason.NoWorker}`)
})

test('an urgent job that waits is logged with what the guarantee of its account has for it', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('running', [whole])
  world.start('running', 0, 0, ['a@1'])
  world.submit('covered', [whole], 'urgent', 'one')
  world.submit('wider than the rest', [{ ...whole, tasks: 2 }], 'urgent', 'one')
  const explained = explainWaiting(world.state.steps, view(world)).map(({ key, reason, guarantee }) => ({ job: key.job, reason, guarantee }))
  expect(explained).toEqual([
    { job: 'covered', reason: WaitingReason.NoFreeCapacity, guarantee: { guaranteed: 16, remaining: 8, needed: 8 } },
    { job: 'wider than the rest', reason: WaitingReason.GuaranteeUsedUp, guarantee: { guaranteed: 16, remaining: 8, needed: 16 } }
  ])
})

test('a gang under which a worker crashed waits for a quiet worker, not for capacity', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('suspect', [step()])
  world.start('suspect', 0, 0, ['b@1'])
  world.crash('b@1', new Map([['a@1', world.now + 3_000], ['b@1', world.now]]))
  expect(reasons(world)).toEqual([`suspect ${WaitingReason.CrashSuspect}`])
})

test('a crash just after the start of a gang is logged with its evidence and counted', () => {
  const lines: object[] = []
  const counted: string[] = []
  const context = { term: () => 4, log: (event: string, fields: object) => { lines.push({ event, ...fields }) }, metrics: { countCrashSuspect: (evidence: string) => { counted.push(evidence) } } }
  const suspected = { job: 'j', step: 0, gang: 0, attempt: 2, incarnation: 'a@1', evidence: CrashEvidence.BesideOthers, crashes: 1 }
  DecisionLog.create(context as unknown as DecisionLogContext).logCrashSuspect({ kind: EffectKind.StepGangSuspected, ...suspected })
  expect(lines).toEqual([{ event: 'crash-suspected', ...suspected, term: 4 }])
  expect(counted).toEqual([CrashEvidence.BesideOthers])
})

test('a reason is logged once, again when it changes, and again when the step waits another time', () => {
  const world = StepWorld.create([worker('a')])
  const lines: string[] = []
  const log = DecisionLog.create({ term: () => 1, now: () => world.now, log: (event: string, fields: object) => { lines.push(`${event} ${(fields as { reason: string }).reason}`) } } as unknown as DecisionLogContext)
  const logRound = (fields: Partial<FleetView> = {}): string[] => {
    log.logWaiting(world.state, view(world, fields))
    return lines.splice(0)
  }
  world.submit('running', [whole])
  world.start('running', 0, 0, ['a@1'])
  world.submit('waiting', [whole])
  expect(logRound()).toEqual(['gang-waits no-room'])
  expect(logRound()).toEqual([])
  expect(logRound({ silent: new Set(['a@1']) })).toEqual(['gang-waits workers-silent'])
  world.end('a@1', { job: 'running', step: 0, task: 0, attempt: 1 }, RunOutcome.Done)
  world.start('waiting', 0, 0, ['a@1'])
  expect(logRound()).toEqual([])
  world.end('a@1', { job: 'waiting', step: 0, task: 0, attempt: 1 }, RunOutcome.Lost)
  expect(logRound()).toEqual(['gang-waits no-room'])
})

test('with a thousand waiting steps, the lines per round are limited and every step is logged eventually', () => {
  const world = StepWorld.create()
  for (let job = 0; job < 1_000; job++) world.submit(`job${job}`, [whole])
  let lines = 0
  const log = DecisionLog.create({ term: () => 1, now: () => world.now, log: () => { lines += 1 } } as unknown as DecisionLogContext)
  log.logWaiting(world.state, view(world))
  expect(lines).toBe(20)
  for (let round = 1; round < 50; round++) log.logWaiting(world.state, view(world))
  expect(lines).toBe(1_000)
})

test('refusals without a leader are logged at most ten times per second, and the rest is counted', () => {
  vi.useFakeTimers({ toFake: ['performance'] })
  const lines: object[] = []
  const log = RefusalLog.create({ debug: () => {}, info: () => {}, error: () => {}, warn: (event, fields) => { lines.push({ event, ...fields }) } })
  for (let request = 0; request < 25; request++) log.log({ job: `${request}` })
  expect(lines).toHaveLength(10)
  vi.advanceTimersByTime(1_000)
  log.log({ job: 'next' })
  expect(lines.at(-1)).toEqual({ event: 'request-refused', job: 'next', leftOut: 15 })
  vi.useRealTimers()
})

test('the ends of a run are one line for each way in which its tasks ended', () => {
  const lines: object[] = []
  const log = DecisionLog.create({ log: (event: string, fields: object) => { lines.push({ event, ...fields }) } } as unknown as DecisionLogContext)
  const end = { kind: EffectKind.StepRunEnded as const, job: 'j', step: 0, gang: 1, attempt: 2, ranMilliseconds: 900 }
  log.logRunEnds([
    { ...end, incarnation: 'a@1', outcome: RunOutcome.Failed },
    { ...end, incarnation: 'b@1', outcome: RunOutcome.MemberEnded },
    { ...end, incarnation: 'c@1', outcome: RunOutcome.MemberEnded }
  ])
  const run = { event: 'runs-ended', job: 'j', step: 0, gang: 1, attempt: 2, ranMilliseconds: 900 }
  expect(lines).toEqual([{ ...run, outcome: 'failed', workers: ['a@1'] }, { ...run, outcome: 'broken', workers: ['b@1', 'c@1'] }])
})
