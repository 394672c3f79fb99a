/** Replays the loads of both deployments against the policy; decisions that the log would refuse throw. */
import { expect, test } from 'vitest'
import { loads, StepLoad } from '../measurements/step-replay'

const SEEDS = [1, 2, 3]
/** The floor that the users set for their own standard days of high load. */
const EARNED_FLOOR = 0.486

test.each(Object.entries(loads))('no decision of the load %s is refused, and callers get more than the floor', (_name, load) => {
  const results = SEEDS.map((seed) => StepLoad.create(load, seed).run())
  const earned = results.reduce((sum, result) => sum + result.earned, 0) / SEEDS.length
  expect(earned).toBeGreaterThan(EARNED_FLOOR)
})

test('the same seed gives the same day', () => {
  const load = loads['nackros, bursts']!
  expect(StepLoad.create(load, 7).run()).toEqual(StepLoad.create(load, 7).run())
})
