/** Intervals of progress: what says nothing about the neighbours of a run must not be in them. */
import { expect, test } from 'vitest'
import { RateIntervals, type RateInterval } from '../src/core/index'

const REPORT_MILLISECONDS = 500

/** Lists one run every half second, with what runs beside it, and then nothing. */
function intervals (percents: readonly number[], besideFrom = Infinity): RateInterval[] {
  const tracked = RateIntervals.create()
  const kindOf = (run: string): string => run === 'run' ? 'a' : 'b'
  const update = (report: number, runs: Array<{ name: string, percent: number }>): RateInterval[] => [...tracked.update({ incarnation: 'w@1', host: 'w', runs, at: report * REPORT_MILLISECONDS }, kindOf).intervals]
  const found = percents.flatMap((percent, report) => update(report, [{ name: 'run', percent }, ...report >= besideFrom ? [{ name: 'other', percent: 0 }] : []]))
  return [...found, ...update(percents.length, [])]
}

const shown = (found: readonly RateInterval[]): string[] => found.map(({ neighbours, percent, milliseconds }) => `${percent} % in ${milliseconds} ms beside ${neighbours.join() || 'none'}`)
const steady = (count: number, perReport: number): number[] => Array.from({ length: count }, (_, report) => report * perReport)

test('the first second of a run is left out', () => {
  expect(shown(intervals([0, 0, 0, 3, 6, 9, 12, 15]))).toEqual(['12 % in 2000 ms beside none'])
  expect(shown(intervals([0, 30, 40, 43, 46, 49, 52, 55]))).toEqual(['15 % in 2500 ms beside none'])
})

test('the jump of a run that resumes from a checkpoint is left out, however late it comes', () => {
  expect(shown(intervals([0, 0, 0, 0, 0, 40, 43, 46, 49, 52]))).toEqual(['12 % in 2000 ms beside none'])
})

test('a second after a change of neighbours is left out, and the interval before it ends at the last change', () => {
  expect(shown(intervals(steady(20, 2), 10))).toEqual(['14 % in 3500 ms beside none', '14 % in 3500 ms beside b'])
})

test('progress that falls back begins a new interval', () => {
  expect(shown(intervals([0, 2, 4, 6, 8, 10, 2, 4, 6, 8, 10, 12]))).toEqual(['10 % in 2500 ms beside none'])
})

test('short intervals and those with little progress are left out', () => {
  expect(intervals(steady(5, 10))).toEqual([])
  expect(intervals([...Array.from({ length: 12 }, () => 0), 1, 2, 3, 3, 3, 4])).toEqual([])
})

test('the interval of a run that hangs ends at its last progress', () => {
  expect(shown(intervals([...steady(10, 2), ...Array.from({ length: 20 }, () => 18)]))).toEqual(['14 % in 3500 ms beside none'])
})

test('runs of a forgotten incarnation give no interval', () => {
  const tracked = RateIntervals.create()
  for (const [report, percent] of steady(20, 2).entries()) tracked.update({ incarnation: 'w@1', host: 'w', runs: [{ name: 'run', percent }], at: report * REPORT_MILLISECONDS }, () => 'a')
  expect(tracked.forget('w@1')).toEqual(['run'])
  expect(tracked.update({ incarnation: 'w@1', host: 'w', runs: [], at: 20_000 }, () => 'a')).toEqual({ intervals: [], gone: [] })
})
