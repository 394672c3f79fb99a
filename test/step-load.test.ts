/**
 * Simulates the loads of the deployments against the scheduling policy. Guards against a policy that makes decisions
 * which the log refuses, as these make the simulation throw, or that earns too little.
 */
import { setImmediate } from 'node:timers/promises'
import { beforeEach, expect, test } from 'vitest'
import { loads, type LoadProfile } from '../measurements/load-profiles'
import { StepLoadSimulation } from '../measurements/step-load-simulation'

const SEEDS = [1, 2, 3]
/** Fleets of 100 workers or more are left to `measurements/step-load.ts`; a fleet of 50 or more, or a load of several minutes, runs with one seed. */
const smallLoads = Object.entries(loads).filter(([, { workers }]) => workers < 100)
const seedsFor = ({ workers, arrivalSeconds = 0 }: LoadProfile): readonly number[] => workers < 50 && arrivalSeconds === 0 ? SEEDS : SEEDS.slice(0, 1)
/** The users set this minimum for their standard days of high load. */
const MIN_EARNED_SHARE = 0.486

/** The runner gives up on a worker that answers no message for a minute, which all simulations together take on a loaded machine. */
beforeEach(async () => { await setImmediate() })
test.each(smallLoads)('no decision of the load %s is refused, and callers earn more than the minimum', (_name, load) => {
  const results = seedsFor(load).map((seed) => StepLoadSimulation.create(load, seed).run())
  const earned = results.reduce((sum, result) => sum + result.earned, 0) / results.length
  expect(earned).toBeGreaterThan(MIN_EARNED_SHARE)
})

test('the same seed gives the same results', () => {
  const load = loads['nackros, bursts']!
  expect(StepLoadSimulation.create(load, 7).run()).toEqual(StepLoadSimulation.create(load, 7).run())
})
