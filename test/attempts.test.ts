import fc from 'fast-check'
import { test } from 'vitest'
import { AttemptSimulation, type AttemptPlan } from './attempt-world'

const plan: fc.Arbitrary<AttemptPlan> = fc.record({
  lead: fc.boolean(),
  idempotent: fc.boolean(),
  checkpointable: fc.boolean(),
  mask: fc.constantFrom(0, 0, 1, 2, 3),
  slots: fc.constantFrom(0, 1, 1, 2),
  processors: fc.constant(1),
  memoryMegabytes: fc.constant(1)
})

/** One in six is a fault. */
const choice = fc.record({ fault: fc.nat(5).map((drawn) => drawn === 0), pick: fc.nat(1_000) })
type Choice = { readonly fault: boolean, readonly pick: number }

function runSimulation (plans: readonly AttemptPlan[], choices: readonly Choice[]): void {
  const world = new AttemptSimulation(plans)
  try {
    for (const { fault, pick } of choices) {
      const actions = world.actions(fault)
      if (actions.length > 0) world.perform(actions[pick % actions.length]!)
    }
    world.drain()
  } catch (error) {
    throw new Error(`${(error as Error).message}\n${world.history.join('\n')}`)
  }
}

test('whatever is lost, late, doubled or restarted: what control is told agrees with what the target ran', () => {
  fc.assert(fc.property(fc.array(plan, { minLength: 1, maxLength: 4 }), fc.array(choice, { minLength: 20, maxLength: 120, size: 'max' }), (plans, choices) => {
    runSimulation(plans, choices)
  }), { seed: 6, numRuns: 4_000 })
})
