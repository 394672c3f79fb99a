import { MAX_ACCELERATORS_PER_WORKER, Level } from './document'
import type { WorkerDescription } from './worker'

const masksByCount: readonly (readonly number[])[] = Array.from({ length: MAX_ACCELERATORS_PER_WORKER + 1 }, (_, count) =>
  count === 0 ? [0] : Array.from({ length: MAX_ACCELERATORS_PER_WORKER - count + 1 }, (_, start) => ((1 << count) - 1) << start))

/**
 * All masks of adjacent accelerators on a worker.
 * @param count - number of accelerators
 * @returns the masks, lowest first
 */
export function adjacentMasks (count: number): readonly number[] {
  return masksByCount[count] ?? []
}

const longestRunByMask: readonly number[] = Array.from({ length: 2 ** MAX_ACCELERATORS_PER_WORKER }, (_, mask) => {
  let length = 0
  for (let rest = mask; rest !== 0; rest &= rest << 1) length++
  return length
})

/**
 * Length of the longest run of adjacent accelerators.
 * @param mask - the accelerators
 * @returns the number of accelerators in it
 */
export function longestRun (mask: number): number {
  return longestRunByMask[mask] ?? 0
}

/** Sum of squared run lengths, so that one long run scores higher than the same number of accelerators in pieces. */
const contiguityScoreByMask: readonly number[] = longestRunByMask.map((_, mask) => runLengths(mask).reduce((sum, length) => sum + length * length, 0))

function runLengths (mask: number): number[] {
  return mask.toString(2).split('0').map((run) => run.length).filter((length) => length > 0 && mask !== 0)
}

/**
 * Measures how contiguous the free accelerators of a worker are.
 * @param mask - the free accelerators
 * @returns the sum of the squared lengths of the runs, 0 to 64
 */
export function contiguityScore (mask: number): number {
  return contiguityScoreByMask[mask] ?? 0
}

const bestMasks: readonly (readonly number[])[] = masksByCount.map((masks) => contiguityScoreByMask.map((_, free) => {
  let best = -1
  for (const mask of masks) {
    if ((free & mask) !== mask) continue
    if (best < 0 || contiguityScore(free & ~mask) > contiguityScore(free & ~best)) best = mask
  }
  return best
}))

/**
 * The adjacent accelerators whose allocation leaves the highest contiguity score.
 * @param count - number of accelerators
 * @param free - the free accelerators of the worker
 * @returns the mask, or undefined if no run is long enough
 */
export function bestMask (count: number, free: number): number | undefined {
  const mask = bestMasks[count]?.[free]
  return mask === undefined || mask < 0 ? undefined : mask
}

/** The name of a worker's group at each level. */
export const groupOf: { readonly [level in Level]: (worker: WorkerDescription) => string } = {
  [Level.Worker]: (worker) => worker.name,
  [Level.Rack]: (worker) => `${worker.dataCentre}/${worker.rack}`,
  [Level.DataCentre]: (worker) => worker.dataCentre
}
