import { appendFileSync } from 'node:fs'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { runSchedule } from './supervision-schedule'

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance', 'Date', 'setTimeout', 'setInterval', 'setImmediate', 'clearTimeout', 'clearInterval', 'clearImmediate'] })
  vi.setSystemTime(1_000_000)
})

afterEach(() => { vi.useRealTimers(); vi.restoreAllMocks() })

const FIRST = Number(process.env.SUPERVISION_FIRST_SEED ?? 1)
const COUNT = Number(process.env.SUPERVISION_SEEDS ?? 60)

test.each(Array.from({ length: COUNT }, (_, position) => FIRST + position))('seed %d', async (seed) => {
  const simulation = await runSchedule(seed, { reorders: process.env.SUPERVISION_REORDERS !== 'no', slowLapse: process.env.SUPERVISION_LAPSE === 'slow' })
  if (process.env.SUPERVISION_OUT) appendFileSync(process.env.SUPERVISION_OUT, `seed ${seed} starts ${simulation.platform.starts} jobs ${simulation.platform.jobs.size} ${simulation.platform.violations.map(({ rule, text }) => `${rule} ${text}`).join('; ')}\n${process.env.SUPERVISION_TRACE ? simulation.report + '\n' : ''}`)
  expect(simulation.report).toBe('')
})
