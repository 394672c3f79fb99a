import fc from 'fast-check'
import { test } from 'vitest'
import { AttemptSimulation, type AttemptPlan } from './attempt-simulation'

const plan: fc.Arbitrary<AttemptPlan> = fc.record({
  lead: fc.boolean(),
  idempotent: fc.boolean(),
  checkpointable: fc.boolean(),
  mask: fc.constantFrom(0, 0, 1, 2, 3),
  slots: fc.constantFrom(0, 1, 1, 2),
  processors: fc.constant(1),
  memoryMegabytes: fc.constant(1)
})

/** A random choice of the next action; one in six is a fault. */
const choice = fc.record({ fault: fc.nat(5).map((drawn) => drawn === 0), pick: fc.nat(1_000) })
type Choice = { readonly fault: boolean, readonly pick: number }

function runSimulation (plans: readonly AttemptPlan[], choices: readonly Choice[]): void {
  const simulation = new AttemptSimulation(plans)
  try {
    for (const { fault, pick } of choices) {
      const actions = simulation.actions(fault)
      if (actions.length > 0) simulation.perform(actions[pick % actions.length]!)
    }
    simulation.drain()
  } catch (error) {
    throw new Error(`${(error as Error).message}\n${simulation.history.join('\n')}`)
  }
}

test('reports to control agree with what the target executed, whatever is lost, late, duplicated or restarted', () => {
  fc.assert(fc.property(fc.array(plan, { minLength: 1, maxLength: 4 }), fc.array(choice, { minLength: 20, maxLength: 120, size: 'max' }), (plans, choices) => {
    runSimulation(plans, choices)
  }), { seed: 6, numRuns: 4_000 })
})
