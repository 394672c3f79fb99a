/**
 * Seeded schedules of faults between callers, entries and control hosts. QUEUE_SEEDS and QUEUE_FIRST_SEED choose other seeds
 * than the fixed ones.
 */
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { QueueSimulation } from './queue-simulation'

const CALLERS = 40
const firstSeed = Number(process.env.QUEUE_FIRST_SEED ?? 1)
const seeds = Array.from({ length: Number(process.env.QUEUE_SEEDS ?? 60) }, (_, position) => firstSeed + position)

/** Counts over all schedules. */
const met = { cancelled: 0, uncertain: 0 }

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance', 'Date', 'setTimeout', 'setInterval', 'setImmediate', 'clearTimeout', 'clearInterval', 'clearImmediate'] })
  vi.setSystemTime(1_000_000)
})

afterEach(() => { vi.useRealTimers(); vi.restoreAllMocks() })

// Guards against submissions that are refused as not-run or cancelled, and run all the same.
test.each(seeds)('refusals and acknowledged cancellations are true while leaders freeze and the document changes, seed %d', async (seed) => {
  const simulation = new QueueSimulation(seed)
  await simulation.run(CALLERS)
  expect(simulation.report()).toBe('')
  met.cancelled += simulation.cancelledCount
  met.uncertain += simulation.uncertainCount
})

test('the schedules have met acknowledged cancellations and uncertain answers', () => {
  expect(met.cancelled).toBeGreaterThan(seeds.length)
  expect(met.uncertain).toBeGreaterThan(0)
})
