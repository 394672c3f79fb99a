/** Placement by what is known of kinds that slow each other down: a preference that keeps no gang waiting. */
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { InterferenceFindings, Mechanism, policyWithout, scheduleSteps, stepPolicy, StepTransactionKind, type FleetView, type StepTransaction } from '../src/core/index'
import { step, StepWorld, worker } from './steps-fixture'

const findings = InterferenceFindings.of([{ kind: 'normal/*/0', beside: 'later/*/0', slowDown: 2, runs: 10, workers: 4 }])!

function view (world: StepWorld, interference?: InterferenceFindings): FleetView {
  return { now: world.now, silent: new Set(), suspects: new Set(), progress: new Map(), complete: false, interference }
}

function decide (world: StepWorld, interference?: InterferenceFindings, policy = stepPolicy): StepTransaction[] {
  const decisions = scheduleSteps(world.state.steps, view(world, interference), policy)
  expect(world.applyAll(decisions).filter((refusal) => refusal !== '')).toEqual([])
  return decisions
}

/** The workers of each start, by job. */
function starts (decisions: readonly StepTransaction[]): string[] {
  return decisions.flatMap((decision) => decision.kind === StepTransactionKind.StartGang
    ? [`${decision.job} on ${decision.placements.map(({ incarnation }) => incarnation[0]).join('')}`]
    : [])
}

/** Two workers with one task each: a kind that presses on a, another one on b. */
function pressedWorld (): StepWorld {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('pressing', [step()], 'later')
  world.submit('harmless', [step()], 'urgent')
  world.start('pressing', 0, 0, ['a@1'])
  world.start('harmless', 0, 0, ['b@1'])
  return world
}

test('a task goes to the worker on which its neighbours slow it down less, and a mechanism switches this off', () => {
  const choice = (interference?: InterferenceFindings, policy = stepPolicy): string[] => {
    const world = pressedWorld()
    world.submit('slowed', [step()], 'normal')
    return starts(decide(world, interference, policy))
  }
  expect(choice()).toEqual(['slowed on a'])
  expect(choice(findings)).toEqual(['slowed on b'])
  expect(choice(findings, policyWithout([Mechanism.Interference]))).toEqual(['slowed on a'])
})

test('a task goes to the worker on which it slows its neighbours down less', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('slowed', [step()], 'normal')
  world.submit('harmless', [step()], 'urgent')
  world.start('slowed', 0, 0, ['a@1'])
  world.start('harmless', 0, 0, ['b@1'])
  world.submit('pressing', [step()], 'later')
  expect(starts(decide(world, findings))).toEqual(['pressing on b'])
})

test('tasks that the same round starts are kept apart as well', () => {
  const world = StepWorld.create([worker('a', { accelerators: 2 }), worker('b', { accelerators: 2 })])
  world.submit('harmless', [step({ tasks: 2, mostPerWorker: 1 })], 'urgent')
  decide(world)
  world.submit('slowed', [step()], 'normal')
  world.submit('pressing', [step()], 'later')
  expect(starts(decide(world, findings))).toEqual(['slowed on a', 'pressing on b'])
})

test('a task starts beside a neighbour that slows it down rather than wait', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('pressing', [step()], 'later')
  decide(world)
  world.submit('slowed', [step()], 'normal')
  expect(starts(decide(world, findings))).toEqual(['slowed on a'])
})

test('a gang does not leave its rack for the sake of its neighbours', () => {
  const world = StepWorld.create([worker('a'), worker('b'), worker('c', { rack: 'r2' })])
  world.submit('pressing', [step({ tasks: 2, mostPerWorker: 1 })], 'later')
  world.start('pressing', 0, 0, ['a@1'])
  world.start('pressing', 0, 1, ['b@1'])
  world.submit('slowed', [step({ tasks: 2, gang: true, sameRack: true, accelerators: 7 })], 'normal')
  expect(starts(decide(world, findings))).toEqual(['slowed on ab'])
})

test('whole workers stay free: a slow-down does not outweigh a free accelerator', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('pressing', [step()], 'later')
  decide(world)
  world.submit('slowed', [step()], 'normal')
  world.submit('whole', [step({ accelerators: 8 })], 'normal')
  expect(starts(decide(world, findings))).toEqual(['slowed on a', 'whole on b'])
})

test('findings never change how many tasks of one shape start, nor whether a single gang does', () => {
  const queueName = fc.constantFrom('urgent', 'normal', 'later')
  const finding = fc.record({ kind: queueName, beside: queueName, slowDown: fc.double({ min: 1.1, max: 8, noNaN: true }) })
  const shape = fc.record({ accelerators: fc.integer({ min: 1, max: 4 }), gang: fc.boolean(), tasks: fc.integer({ min: 1, max: 6 }) })
  fc.assert(fc.property(fc.array(finding, { minLength: 1, maxLength: 4 }), fc.array(queueName, { maxLength: 12 }), shape, fc.integer({ min: 1, max: 4 }), (found, running, fields, workers) => {
    const interference = InterferenceFindings.of(found.map(({ kind, beside, slowDown }) => ({ kind: `${kind}/*/0`, beside: `${beside}/*/0`, slowDown, runs: 10, workers: 4 })))
    const count = (known?: InterferenceFindings): number => {
      const world = StepWorld.create(Array.from({ length: workers }, (_, number) => worker('abcd'[number]!)))
      running.forEach((name, number) => { world.submit(`running${number}`, [step()], name) })
      decide(world)
      world.submit('next', [step(fields)], 'normal')
      return starts(decide(world, known)).length
    }
    expect(count(interference)).toBe(count())
  }), { seed: 6, numRuns: 100 })
})
