import { expect, test } from 'vitest'
import { runHistory, type Outcome } from './history-runner'

/** Tests the histories of some seeds; a file for each part lets them run side by side. */
export function keepsPromises (from: number, to: number): void {
  test(`every promise is kept in the histories of seeds ${from} to ${to}`, () => {
    const outcomes = Array.from({ length: to - from + 1 }, (_, position) => runHistory(from + position))
    const sum = (count: (outcome: Outcome) => number): number => outcomes.reduce((total, outcome) => total + count(outcome), 0)
    expect(outcomes.flatMap(({ broken }) => broken)).toEqual([])
    expect(sum(({ ended }) => ended)).toBeGreaterThan(sum(({ submitted }) => submitted) / 2)
  })
}
