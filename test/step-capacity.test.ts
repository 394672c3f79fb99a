/** Scheduling rounds after the capacity of workers has changed. */
import { expect, test } from 'vitest'
import { explainWaiting, RunOutcome, scheduleSteps, StepTransactionKind, StopReason, WaitingReason, type FleetView, type RunProgress } from '../src/core/index'
import { step, StepWorld, worker } from './steps-fixture'

const view = (world: StepWorld, progress: ReadonlyMap<string, RunProgress> = new Map()): FleetView => (
  { now: world.now, silent: new Set(), suspects: new Set(), progress, complete: progress.size > 0 })

/** Runs one round, applies its decisions and returns them in short form. */
function decide (world: StepWorld, progress?: ReadonlyMap<string, RunProgress>): string[] {
  const decisions = scheduleSteps(world.state.steps, view(world, progress))
  expect(world.applyAll(decisions).filter((refusal) => refusal !== '')).toEqual([])
  return decisions.map((decision) => {
    if (decision.kind === StepTransactionKind.StartGang) return `start ${decision.job} on ${decision.placements.map(({ incarnation }) => incarnation[0]).join('')}`
    return decision.kind === StepTransactionKind.StopGang ? `stop ${decision.job} ${decision.reason}` : decision.kind
  })
}

const reasons = (world: StepWorld): WaitingReason[] => explainWaiting(world.state.steps, view(world)).map(({ reason }) => reason)

test('runs go on where the capacity has shrunk below them, and capacity that has grown is used in the next round', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('running', [step({ accelerators: 8 })])
  world.submit('waiting', [step({ accelerators: 4 })])
  expect(decide(world)).toEqual(['start running on a'])
  world.resize('a@1', { accelerators: 4 })
  const progress = new Map([['running.0.0.1', { running: true, percent: 10, changedAt: world.now }]])
  expect(decide(world, progress)).toEqual([])
  world.resize('a@1', { accelerators: 12 })
  expect(decide(world, progress)).toEqual(['start waiting on a'])
})

test('nothing starts on a worker that holds too much of any resource, even a task that needs none of it', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('running', [step({ accelerators: 8 })])
  decide(world)
  world.resize('a@1', { accelerators: 4 })
  world.submit('other', [step({ accelerators: 0 })])
  expect(decide(world)).toEqual([])
})

test('a gang that no worker could hold after its capacity shrank waits, says why, and starts when it fits again', () => {
  const world = StepWorld.create([worker('a')])
  world.resize('a@1', { accelerators: 4 })
  expect(world.submit('wide', [step({ accelerators: 8 })])).toBe('')
  expect(decide(world)).toEqual([])
  expect(reasons(world)).toEqual([WaitingReason.NoFreeCapacity])
  world.now += 600_000
  expect(decide(world)).toEqual([])
  expect(world.job('wide').endedAt).toBe(0)
  world.resize('a@1', { accelerators: 8 })
  expect(decide(world)).toEqual(['start wide on a'])
})

test('a gang for one rack spans racks where no rack could hold it any more', () => {
  const world = StepWorld.create([worker('a'), worker('b'), worker('c', { rack: 'r2' })])
  world.resize('b@1', { accelerators: 4 })
  world.submit('gang', [step({ tasks: 2, gang: true, sameRack: true, accelerators: 8 })])
  expect(decide(world)).toEqual(['start gang on ac'])
})

/** One worker whose 8 accelerators are held by tasks of low priority. */
function filledWorker (): StepWorld {
  const world = StepWorld.create([worker('a')])
  world.submit('low', [step({ tasks: 8, checkpoints: true })], 'later')
  expect(decide(world)).toHaveLength(8)
  return world
}

test('a reclaim on a worker whose capacity has shrunk also stops what it holds too much, but no more', () => {
  const world = filledWorker()
  world.resize('a@1', { accelerators: 5 })
  world.submit('urgent', [step({ accelerators: 2 })], 'urgent', 'one')
  expect(decide(world)).toEqual(Array.from({ length: 5 }, () => `stop low ${StopReason.Reclaimed}`))
  expect(decide(world)).toEqual([])
  const stopping = world.job('low').gangs[0]?.filter(({ run }) => run?.stopping !== undefined) ?? []
  for (const { first } of stopping) {
    expect(decide(world)).toEqual([])
    world.end('a@1', { job: 'low', step: 0, task: first, attempt: 1 }, RunOutcome.Stopped)
  }
  expect(decide(world)).toEqual(['start urgent on a'])
})

test('a reclaim stops nothing on a worker that has become too small for the gang', () => {
  const world = filledWorker()
  world.resize('a@1', { accelerators: 1 })
  world.submit('urgent', [step({ accelerators: 2 })], 'urgent', 'one')
  expect(decide(world)).toEqual([])
  expect(reasons(world)[0]).toBe(WaitingReason.NoFreeCapacity)
})

test('a reclaim prefers a worker that holds no more than its capacity', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('low', [step({ tasks: 16, checkpoints: true })], 'later')
  expect(decide(world)).toHaveLength(16)
  world.resize('a@1', { accelerators: 5 })
  world.submit('urgent', [step({ accelerators: 2 })], 'urgent', 'one')
  decide(world)
  const stopped = world.job('low').gangs[0]?.flatMap(({ run }) => run?.stopping === undefined ? [] : run.members.map(({ incarnation }) => incarnation))
  expect(stopped).toEqual(['b@1', 'b@1'])
})
