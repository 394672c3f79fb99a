import { expect, test } from 'vitest'
import { RunOutcome, scheduleSteps, StepTransactionKind, StopReason, type FleetView, type StepTransaction } from '../src/core/index'
import { step, StepWorld, worker } from './steps-fixture'

function view (world: StepWorld, fields: Partial<FleetView> = {}): FleetView {
  return { now: world.now, silent: new Set(), suspects: new Set(), progress: new Map(), complete: false, ...fields }
}

/** What one round decides, shortened. */
function decide (world: StepWorld, fields: Partial<FleetView> = {}): string[] {
  const decisions = scheduleSteps(world.state.steps, view(world, fields))
  expect(world.takeAll(decisions).filter((refusal) => refusal !== '')).toEqual([])
  return decisions.map(shown)
}

function shown (decision: StepTransaction): string {
  if (decision.kind === StepTransactionKind.StartGang) return `start ${decision.job} on ${decision.placements.map(({ incarnation }) => incarnation[0]).join('')}`
  if (decision.kind === StepTransactionKind.StopGang) return `stop ${decision.job} ${decision.reason}`
  return decision.kind
}

test('small tasks are put together, so that a whole worker stays free', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('small', [step({ tasks: 3 })])
  expect(decide(world)).toEqual(['start small on a', 'start small on a', 'start small on a'])
  world.submit('whole', [step({ accelerators: 8 })])
  expect(decide(world)).toEqual(['start whole on b'])
})

test('a gang starts whole or not at all, and in one rack where it asks for it', () => {
  const world = StepWorld.create([worker('a'), worker('b', { rack: 'r2' }), worker('c', { rack: 'r2' })])
  world.submit('gang', [step({ tasks: 2, gang: true, sameRack: true, accelerators: 8 })])
  expect(decide(world)).toEqual(['start gang on bc'])
  world.submit('late', [step({ tasks: 2, gang: true, accelerators: 8 })])
  expect(decide(world)).toEqual([])
})

test('a gang that no rack can hold takes workers of several', () => {
  const world = StepWorld.create([worker('a'), worker('b', { rack: 'r2' })])
  world.submit('gang', [step({ tasks: 2, gang: true, sameRack: true, accelerators: 8 })])
  expect(decide(world)).toEqual(['start gang on ab'])
})

test('workers that are silent, leave, serve others or lack the label get nothing', () => {
  const world = StepWorld.create([worker('a'), worker('b', { service: 'others' }), worker('c'), worker('d', { labels: ['x', 'r1'] })])
  world.take({ kind: StepTransactionKind.LeaveLife, at: world.now, incarnation: 'c@1' })
  world.submit('j', [step({ label: 'x' }), step({ label: 'none' }), step()])
  expect(decide(world, { silent: new Set(['a@1']) })).toEqual(['start j on d', 'start j on d'])
})

test('a suspected worker is used only where there is no other', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('j', [step()])
  expect(decide(world, { suspects: new Set(['a@1']) })).toEqual(['start j on b'])
  world.submit('k', [step()])
  expect(decide(world, { suspects: new Set(['a@1', 'b@1']) })).toEqual(['start k on b'])
})

test('tasks of a step that must keep apart count those that run already', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('j', [step({ tasks: 3, mostPerWorker: 1 })])
  expect(decide(world)).toEqual(['start j on a', 'start j on b'])
  expect(decide(world)).toEqual([])
})

test('urgent work within its guarantee reclaims the cheapest room, and keeps it until it is free', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('old', [step({ accelerators: 8 })], 'later')
  decide(world)
  world.now += 5_000
  world.submit('young', [step({ accelerators: 8 })], 'later')
  decide(world)
  world.now += 1_000
  world.submit('urgent', [step({ accelerators: 8 })], 'urgent', 'one')
  expect(decide(world)).toEqual([])
  world.now += 260
  expect(decide(world)).toEqual([`stop young ${StopReason.Reclaimed}`])
  world.submit('other', [step()], 'later')
  expect(decide(world)).toEqual([])
  world.end('b@1', { job: 'young', step: 0, task: 0, attempt: 1 }, RunOutcome.Stopped)
  expect(decide(world)).toEqual(['start urgent on b'])
})

test('urgent work beyond its guarantee stops only what loses nothing', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('plain', [step({ accelerators: 8 })], 'later')
  decide(world)
  world.submit('urgent', [step({ accelerators: 8 })], 'urgent', 'two')
  expect(decide(world)).toEqual([])
  const other = StepWorld.create([worker('a')])
  other.submit('saving', [step({ accelerators: 8, checkpoints: true })], 'later')
  decide(other)
  other.submit('urgent', [step({ accelerators: 8 })], 'urgent', 'two')
  expect(decide(other)).toEqual([`stop saving ${StopReason.Preempted}`])
})

test('guaranteed work of one account is not stopped for another account', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('first', [step({ accelerators: 8 })], 'urgent', 'one')
  decide(world)
  world.now += 1_000
  world.submit('second', [step({ accelerators: 8 })], 'urgent', 'one')
  expect(decide(world)).toEqual([])
})

test('what does not start whole, stands still, or runs on a worker that leaves is stopped', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('j', [step({ estimateMilliseconds: 20_000 })])
  decide(world)
  const name = 'j.0.0.1'
  expect(decide(world, { complete: true })).toEqual([])
  world.now += 1_600
  const running = { running: true, percent: 10, changedAt: world.now - 3_600 }
  expect(scheduleSteps(world.state.steps, view(world, { complete: true })).map(shown)).toEqual([`stop j ${StopReason.Incomplete}`])
  expect(scheduleSteps(world.state.steps, view(world, { complete: true, progress: new Map([[name, running]]) })).map(shown)).toEqual([`stop j ${StopReason.Stalled}`])
  world.take({ kind: StepTransactionKind.LeaveLife, at: world.now, incarnation: 'a@1' })
  const moving = new Map([[name, { ...running, changedAt: world.now }]])
  expect(scheduleSteps(world.state.steps, view(world, { complete: true, progress: moving })).map(shown)).toEqual([`stop j ${StopReason.WorkerLeaving}`])
})

test('a run on a worker that is not heard of is left alone, whatever was last heard of it', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('j', [step()])
  decide(world)
  world.now += 9_000
  const stale = new Map([['j.0.0.1', { running: true, percent: 10, changedAt: world.now - 8_000 }]])
  expect(decide(world, { complete: true, silent: new Set(['a@1']), progress: stale })).toEqual([])
  expect(decide(world, { complete: true, silent: new Set(['a@1']) })).toEqual([])
})

test('urgent work waits a moment for room that becomes free by itself, and keeps it from all others', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('running', [step({ accelerators: 8 })], 'later')
  decide(world)
  world.submit('urgent', [step({ accelerators: 8 })], 'urgent', 'one')
  world.submit('small', [step()], 'normal')
  expect(decide(world)).toEqual([])
  world.now += 100
  world.end('a@1', { job: 'running', step: 0, task: 0, attempt: 1 }, RunOutcome.Done)
  expect(decide(world)).toEqual(['start urgent on a'])
})

test('work with checkpoints is kept apart from work that a stop would lose', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('plain', [step({ accelerators: 2 })])
  decide(world)
  world.submit('saving', [step({ accelerators: 2, checkpoints: true })])
  world.submit('plain2', [step({ accelerators: 2 })])
  expect(decide(world)).toEqual(['start plain2 on a', 'start saving on b'])
})

test('the same gang is not stopped in turns where another costs a little more', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('often', [step({ accelerators: 8, checkpoints: true })], 'later')
  decide(world)
  world.take({ kind: StepTransactionKind.StopGang, at: world.now, job: 'often', step: 0, gang: 0, attempt: 1, reason: StopReason.Preempted })
  world.end('a@1', { job: 'often', step: 0, task: 0, attempt: 1 }, RunOutcome.Stopped)
  decide(world)
  world.submit('never', [step({ accelerators: 8, checkpoints: true })], 'later')
  decide(world)
  world.submit('urgent', [step({ accelerators: 8 })], 'urgent', 'one')
  expect(decide(world)).toEqual([`stop never ${StopReason.Reclaimed}`])
})

test('work that is too late to be worth anything gives way to all but its like', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('late', [step({ accelerators: 8 })], 'normal')
  world.now += 60_000
  world.submit('fresh', [step({ accelerators: 8 })], 'later')
  expect(decide(world)).toEqual(['start fresh on a'])
})

test('in a burst, work that is late lets pass what can still be in time', () => {
  const world = StepWorld.create([worker('a')])
  const whole = step({ accelerators: 8, estimateMilliseconds: 2_000 })
  world.submit('running', [whole])
  decide(world)
  world.submit('late', [whole])
  world.now += 3_000
  world.submit('fresh', [whole])
  world.end('a@1', { job: 'running', step: 0, task: 0, attempt: 1 }, RunOutcome.Done)
  expect(decide(world)).toEqual(['start fresh on a'])
  world.end('a@1', { job: 'fresh', step: 0, task: 0, attempt: 1 }, RunOutcome.Done)
  expect(decide(world)).toEqual(['start late on a'])
})

test('an account\'s guarantee comes first however late its work is', () => {
  const world = StepWorld.create([worker('a')])
  const whole = step({ accelerators: 8, estimateMilliseconds: 2_000 })
  world.submit('running', [whole], 'urgent', 'one')
  decide(world)
  world.submit('owner', [whole], 'urgent', 'one')
  world.now += 4_000
  world.submit('fresh', [whole], 'urgent', 'two')
  world.end('a@1', { job: 'running', step: 0, task: 0, attempt: 1 }, RunOutcome.Done)
  expect(decide(world)).toEqual(['start owner on a'])
})

test('while urgent work keeps coming, work that a stop would lose lets pass what loses nothing, but no room stands empty', () => {
  const whole = step({ accelerators: 8 })
  const saving = { ...whole, checkpoints: true }
  const started = (urgent: boolean): string[] => {
    const world = StepWorld.create(['a', 'b', 'c', 'd'].map((name) => worker(name)))
    if (urgent) world.submit('urgent', [whole], 'urgent', 'one')
    decide(world)
    if (urgent) world.end('a@1', { job: 'urgent', step: 0, task: 0, attempt: 1 }, RunOutcome.Done)
    for (const name of ['plain1', 'plain2', 'plain3', 'plain4']) world.submit(name, [whole])
    world.submit('saving', [saving])
    world.submit('other', [saving], 'later')
    return decide(world).map((line) => line.split(' ')[1] ?? '')
  }
  expect(started(false)).toEqual(['plain1', 'plain2', 'plain3', 'plain4'])
  expect(started(true)).toEqual(['plain1', 'plain2', 'saving', 'plain3'])
})
