/**
 * Runs seeded schedules of faults. SUPERVISION_SEEDS and SUPERVISION_FIRST_SEED choose other seeds than the fixed ones, and
 * SUPERVISION_IN_ORDER=yes lets older connections resume before newer ones.
 */
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { runSchedule } from './supervision-schedule'

const firstSeed = Number(process.env.SUPERVISION_FIRST_SEED ?? 1)
const seeds = Array.from({ length: Number(process.env.SUPERVISION_SEEDS ?? 50) }, (_, position) => firstSeed + position)
const reorders = process.env.SUPERVISION_IN_ORDER !== 'yes'

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance', 'Date', 'setTimeout', 'setInterval', 'setImmediate', 'clearTimeout', 'clearInterval', 'clearImmediate'] })
  vi.setSystemTime(1_000_000)
})

afterEach(() => { vi.useRealTimers(); vi.restoreAllMocks() })

// With odd seeds, runs take the time of a stop to end when their lease expires.
test.each(seeds)('no worker is overloaded and no task runs twice, seed %d', async (seed) => {
  const simulation = await runSchedule(seed, { reorders, slowLapse: seed % 2 === 1 })
  expect(simulation.platform.starts).toBeGreaterThan(0)
  expect(simulation.report).toBe('')
})
