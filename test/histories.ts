import { expect, test } from 'vitest'
import { runHistory, type Outcome } from './history-runner'

/** Tests the histories of a range of seeds. Each range has its own file, so that the ranges run in parallel. */
export function testHistories (from: number, to: number): void {
  test(`no invariant is violated in the histories of seeds ${from} to ${to}`, () => {
    const outcomes = Array.from({ length: to - from + 1 }, (_, position) => runHistory(from + position))
    const sum = (count: (outcome: Outcome) => number): number => outcomes.reduce((total, outcome) => total + count(outcome), 0)
    expect(outcomes.flatMap(({ violations }) => violations)).toEqual([])
    expect(sum(({ ended }) => ended)).toBeGreaterThan(sum(({ submitted }) => submitted) / 2)
  })
}
