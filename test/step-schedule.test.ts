/** Scheduling rounds of step jobs: placement, order of starts, preemption, and which runs are stopped. */
import { expect, test } from 'vitest'
import { Mechanism, policyWithout, RunOutcome, scheduleSteps, StepTransactionKind, stopInputs, StopReason, type FleetView, type RunProgress, type StepTransaction } from '../src/core/index'
import { step, StepWorld, worker } from './steps-fixture'

function view (world: StepWorld, fields: Partial<FleetView> = {}): FleetView {
  return { now: world.now, silent: new Set(), suspects: new Set(), progress: new Map(), complete: false, ...fields }
}

/** Runs one round, applies its decisions and returns them in short form. */
function decide (world: StepWorld, fields: Partial<FleetView> = {}): string[] {
  const decisions = scheduleSteps(world.state.steps, view(world, fields))
  expect(world.applyAll(decisions).filter((refusal) => refusal !== '')).toEqual([])
  return decisions.map(shown)
}

function shown (decision: StepTransaction): string {
  if (decision.kind === StepTransactionKind.StartGang) return `start ${decision.job} on ${decision.placements.map(({ incarnation }) => incarnation[0]).join('')}`
  if (decision.kind === StepTransactionKind.StopGang) return `stop ${decision.job} ${decision.reason}`
  return decision.kind
}

test('small tasks are packed together, so that a whole worker stays free', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('small', [step({ tasks: 3 })])
  expect(decide(world)).toEqual(['start small on a', 'start small on a', 'start small on a'])
  world.submit('whole', [step({ accelerators: 8 })])
  expect(decide(world)).toEqual(['start whole on b'])
})

test('a gang starts all its tasks or none, and in one rack where sameRack is set', () => {
  const world = StepWorld.create([worker('a'), worker('b', { rack: 'r2' }), worker('c', { rack: 'r2' })])
  world.submit('gang', [step({ tasks: 2, gang: true, sameRack: true, accelerators: 8 })])
  expect(decide(world)).toEqual(['start gang on bc'])
  world.submit('late', [step({ tasks: 2, gang: true, accelerators: 8 })])
  expect(decide(world)).toEqual([])
})

test('a gang that fits into no single rack is spread over several', () => {
  const world = StepWorld.create([worker('a'), worker('b', { rack: 'r2' })])
  world.submit('gang', [step({ tasks: 2, gang: true, sameRack: true, accelerators: 8 })])
  expect(decide(world)).toEqual(['start gang on ab'])
})

test('workers that are silent or leaving, belong to another service or lack the label get no work', () => {
  const world = StepWorld.create([worker('a'), worker('b', { service: 'others' }), worker('c'), worker('d', { labels: ['x', 'r1'] })])
  world.apply({ kind: StepTransactionKind.LeaveIncarnation, at: world.now, incarnation: 'c@1' })
  world.submit('j', [step({ label: 'x' }), step({ label: 'none' }), step()])
  expect(decide(world, { silent: new Set(['a@1']) })).toEqual(['start j on d', 'start j on d'])
})

test('a suspected worker is used only where no other worker is eligible', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('j', [step()])
  expect(decide(world, { suspects: new Set(['a@1']) })).toEqual(['start j on b'])
  world.submit('k', [step()])
  expect(decide(world, { suspects: new Set(['a@1', 'b@1']) })).toEqual(['start k on b'])
})

test('the limit of tasks per worker counts the tasks that are already running', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('j', [step({ tasks: 3, mostPerWorker: 1 })])
  expect(decide(world)).toEqual(['start j on a', 'start j on b'])
  expect(decide(world)).toEqual([])
})

test('urgent work within its guarantee preempts the work that costs least, and its capacity stays reserved until it is free', () => {
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

test('urgent work beyond its guarantee preempts only work with checkpoints', () => {
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

test('a guarantee takes capacity from lower work before it makes urgent work of another account late', () => {
  const urgent = step({ accelerators: 8, estimateMilliseconds: 3_000 })
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('lower', [step({ accelerators: 8 })], 'later')
  decide(world)
  world.now += 2_000
  world.submit('borrower', [urgent], 'urgent', 'two')
  decide(world)
  world.submit('guaranteed', [urgent], 'urgent', 'one')
  world.now += 800
  expect(decide(world)).toEqual([`stop lower ${StopReason.Reclaimed}`])
})

test('a guarantee takes capacity from urgent work of another account where there is no lower work', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('borrower', [step({ accelerators: 8 })], 'urgent', 'two')
  decide(world)
  world.submit('guaranteed', [step({ accelerators: 8 })], 'urgent', 'one')
  world.now += 800
  expect(decide(world)).toEqual([`stop borrower ${StopReason.Reclaimed}`])
})

test('guaranteed work is not preempted for other guaranteed work', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('first', [step({ accelerators: 8 })], 'urgent', 'one')
  decide(world)
  world.now += 1_000
  world.submit('second', [step({ accelerators: 8 })], 'urgent', 'one')
  expect(decide(world)).toEqual([])
})

test('a run that does not start on time, stalls or is on a leaving worker is stopped', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('j', [step({ estimateMilliseconds: 20_000 })])
  decide(world)
  const name = 'j.0.0.1'
  expect(decide(world, { complete: true })).toEqual([])
  world.now += 1_600
  const running = { running: true, percent: 10, changedAt: world.now - 3_600 }
  expect(scheduleSteps(world.state.steps, view(world, { complete: true })).map(shown)).toEqual([`stop j ${StopReason.Incomplete}`])
  expect(scheduleSteps(world.state.steps, view(world, { complete: true, progress: new Map([[name, running]]) })).map(shown)).toEqual([`stop j ${StopReason.Stalled}`])
  world.apply({ kind: StepTransactionKind.LeaveIncarnation, at: world.now, incarnation: 'a@1' })
  const moving = new Map([[name, { ...running, changedAt: world.now }]])
  expect(scheduleSteps(world.state.steps, view(world, { complete: true, progress: moving })).map(shown)).toEqual([`stop j ${StopReason.WorkerLeaving}`])
})

test('a run on a leaving worker is stopped only if it cannot be expected to finish there in the time that the worker states', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('j', [step({ estimateMilliseconds: 20_000 })])
  world.submit('saving', [step({ estimateMilliseconds: 20_000, checkpoints: true })])
  decide(world)
  world.apply({ kind: StepTransactionKind.LeaveIncarnation, at: world.now, incarnation: 'a@1' })
  world.now += 10_000
  // Half of the work is done, at 200 ms for one percent.
  const half = { running: true, percent: 50, changedAt: world.now, percentMilliseconds: 200, longestPercentMilliseconds: 250, observedPercents: 40 }
  const progress = new Map([['j.0.0.1', half], ['saving.0.0.1', half]])
  const stops = (remaining?: number, fields: Partial<RunProgress> = {}): string[] => {
    const leavesAt = remaining === undefined ? undefined : new Map([['a@1', world.now + remaining]])
    const reported = new Map([...progress].map(([name, known]) => [name, { ...known, ...fields }]))
    return scheduleSteps(world.state.steps, view(world, { complete: true, progress: reported, leavesAt })).map(shown)
  }
  const [plain, saving] = [`stop j ${StopReason.WorkerLeaving}`, `stop saving ${StopReason.WorkerLeaving}`]
  expect(stops()).toEqual([plain, saving])
  expect(stops(12_000)).toEqual([])
  expect(stops(9_000)).toEqual([plain])
  expect(stops(3_100)).toEqual([plain])
  expect(stops(2_900)).toEqual([plain, saving])
  expect(stops(2_900, { percent: 90 })).toEqual([])
  expect(stops(12_000, { percentMilliseconds: 400 })).toEqual([plain])
  expect(stops(12_000, { percentMilliseconds: undefined, observedPercents: undefined })).toEqual([])
  expect(stops(12_000, { percent: 0, percentMilliseconds: undefined })).toEqual([plain])
  const stop = { kind: StepTransactionKind.StopGang, at: world.now, job: 'j', step: 0, gang: 0, attempt: 1 } as const
  const stated = view(world, { progress, leavesAt: new Map([['a@1', world.now + 9_000]]) })
  expect(stopInputs(world.state.steps, stated, { ...stop, reason: StopReason.WorkerLeaving })).toEqual({ expectedMilliseconds: 10_000, statedMilliseconds: 9_000 })
  expect(stopInputs(world.state.steps, { ...stated, leavesAt: undefined }, { ...stop, reason: StopReason.WorkerLeaving })).toEqual({ expectedMilliseconds: 10_000 })
  expect(stopInputs(world.state.steps, stated, { ...stop, reason: StopReason.Stalled })).toEqual({ quietMilliseconds: 0, allowedMilliseconds: 3_500 })
  expect(stopInputs(world.state.steps, stated, { ...stop, reason: StopReason.Preempted })).toEqual({})
})

test('a run on a silent worker is not stopped, whatever its last report says', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('j', [step()])
  decide(world)
  world.now += 9_000
  const stale = new Map([['j.0.0.1', { running: true, percent: 10, changedAt: world.now - 8_000 }]])
  expect(decide(world, { complete: true, silent: new Set(['a@1']), progress: stale })).toEqual([])
  expect(decide(world, { complete: true, silent: new Set(['a@1']) })).toEqual([])
})

test('urgent work first waits for capacity to become free, which is reserved for it meanwhile', () => {
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

test('work with checkpoints is placed apart from work without, so that preempting it frees whole workers', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('plain', [step({ accelerators: 2 })])
  decide(world)
  world.submit('saving', [step({ accelerators: 2, checkpoints: true })])
  world.submit('plain2', [step({ accelerators: 2 })])
  expect(decide(world)).toEqual(['start plain2 on a', 'start saving on b'])
})

test('a gang that has been stopped before is not preempted again where another gang costs little more', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('often', [step({ accelerators: 8, checkpoints: true })], 'later')
  decide(world)
  world.apply({ kind: StepTransactionKind.StopGang, at: world.now, job: 'often', step: 0, gang: 0, attempt: 1, reason: StopReason.Preempted })
  world.end('a@1', { job: 'often', step: 0, task: 0, attempt: 1 }, RunOutcome.Stopped)
  decide(world)
  world.submit('never', [step({ accelerators: 8, checkpoints: true })], 'later')
  decide(world)
  world.submit('urgent', [step({ accelerators: 8 })], 'urgent', 'one')
  expect(decide(world)).toEqual([`stop never ${StopReason.Reclaimed}`])
})

test('work whose completion no longer has any value runs after all work that still has some', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('late', [step({ accelerators: 8 })], 'normal')
  world.now += 60_000
  world.submit('fresh', [step({ accelerators: 8 })], 'later')
  expect(decide(world)).toEqual(['start fresh on a'])
})

test('in a burst, late work starts after work that can still meet its objective', () => {
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

test('guaranteed work starts first, however late it is', () => {
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

test('after recent urgent demand, work without checkpoints yields to work with checkpoints, but no capacity stays idle', () => {
  const whole = step({ accelerators: 8 })
  const saving = { ...whole, checkpoints: true }
  const started = (urgent: boolean, mechanisms: readonly Mechanism[] = []): string[] => {
    const world = StepWorld.create(['a', 'b', 'c', 'd'].map((name) => worker(name)))
    if (urgent) world.submit('urgent', [whole], 'urgent', 'one')
    decide(world)
    if (urgent) world.end('a@1', { job: 'urgent', step: 0, task: 0, attempt: 1 }, RunOutcome.Done)
    for (const name of ['plain1', 'plain2', 'plain3', 'plain4']) world.submit(name, [whole])
    world.submit('saving', [saving])
    world.submit('other', [saving], 'later')
    return scheduleSteps(world.state.steps, view(world), policyWithout(mechanisms)).map(shown).map((line) => line.split(' ')[1] ?? '')
  }
  expect(started(false)).toEqual(['plain1', 'plain2', 'plain3', 'plain4'])
  expect(started(true)).toEqual(['plain1', 'plain2', 'saving', 'plain3'])
  expect(started(true, [Mechanism.UrgentReserve])).toEqual(['plain1', 'plain2', 'plain3', 'plain4'])
})
