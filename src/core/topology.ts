import { ACCELERATORS_PER_ROW, Level } from './document'
import type { WorkerDescription } from './worker'

const masksByCount: readonly (readonly number[])[] = Array.from({ length: ACCELERATORS_PER_ROW + 1 }, (_, count) =>
  count === 0 ? [0] : Array.from({ length: ACCELERATORS_PER_ROW - count + 1 }, (_, start) => ((1 << count) - 1) << start))

/**
 * All ways to take adjacent accelerators of a row.
 * @param count - how many
 * @returns the masks, lowest first
 */
export function adjacentMasks (count: number): readonly number[] {
  return masksByCount[count] ?? []
}

const longestRunByMask: readonly number[] = Array.from({ length: 2 ** ACCELERATORS_PER_ROW }, (_, mask) => {
  let length = 0
  for (let rest = mask; rest !== 0; rest &= rest << 1) length++
  return length
})

/**
 * Length of the longest run of adjacent accelerators.
 * @param mask - the accelerators
 * @returns how many of them are adjacent at most
 */
export function longestRun (mask: number): number {
  return longestRunByMask[mask] ?? 0
}

/** What the free accelerators of a row are worth: a long run is worth more than the same number in pieces. */
const worthByMask: readonly number[] = longestRunByMask.map((_, mask) => runs(mask).reduce((sum, length) => sum + length * length, 0))

function runs (mask: number): number[] {
  return mask.toString(2).split('0').map((run) => run.length).filter((length) => length > 0 && mask !== 0)
}

/**
 * What free accelerators are worth to shapes that need adjacency.
 * @param mask - the free accelerators of a row
 * @returns the sum of the squared lengths of the runs, 0 to 64
 */
export function worth (mask: number): number {
  return worthByMask[mask] ?? 0
}

const bestMasks: readonly (readonly number[])[] = masksByCount.map((masks) => worthByMask.map((_, free) => {
  let best = -1
  for (const mask of masks) {
    if ((free & mask) !== mask) continue
    if (best < 0 || worth(free & ~mask) > worth(free & ~best)) best = mask
  }
  return best
}))

/**
 * The adjacent accelerators whose taking leaves the most worth.
 * @param count - how many
 * @param free - the free accelerators of the row
 * @returns the mask, or nothing where no run is long enough
 */
export function bestMask (count: number, free: number): number | undefined {
  const mask = bestMasks[count]?.[free]
  return mask === undefined || mask < 0 ? undefined : mask
}

/** How a worker's group is named at each level. */
export const groupOf: { readonly [level in Level]: (worker: WorkerDescription) => string } = {
  [Level.Worker]: (worker) => worker.name,
  [Level.Rack]: (worker) => `${worker.dataCentre}/${worker.rack}`,
  [Level.DataCentre]: (worker) => worker.dataCentre
}
