import { err, ok, type Result } from 'neverthrow'
import { Level, type Guarantee, type Shape } from './document'
import { adjacentMasks, bestMask, groupOf } from './topology'
import type { Worker } from './worker'

/** The accelerators of a home on one worker. */
export interface HomeMember {
  readonly worker: string
  /** Bit i stands for accelerator i of the worker. The set bits are adjacent. */
  readonly mask: number
}

/** The accelerators reserved for one guaranteed shape. Only work from which they can be reclaimed may borrow them. */
export interface Home {
  readonly identifier: string
  readonly account: string
  readonly shape: Shape
  readonly graceSeconds: number
  readonly members: readonly HomeMember[]
}

/** A home that has not been placed. */
export type WantedHome = Omit<Home, 'members'>

/** A guarantee that does not fit the fleet together with the others. */
export interface HomeProblem {
  /** Position of the guarantee in the document. */
  readonly position: number
  readonly account: string
  readonly shape: Shape
  readonly wanted: number
  /** How many of its shapes could be packed. */
  readonly fits: number
}

/** Remaining capacity of one worker while homes are packed. */
export interface Bin {
  readonly worker: Worker
  free: number
  slots: number
  processors: number
  memoryMegabytes: number
}

/** Maximum number of packing rounds; each starts with the homes that did not fit in the previous one. */
const MAX_PACKING_ROUNDS = 24

/**
 * Finds a home for every guaranteed shape at once.
 * @param guarantees - the guarantees of a document
 * @param workers - the workers that may hold homes
 * @returns all homes, or the guarantees that do not fit and how many of each would
 */
export function packAllHomes (guarantees: readonly Guarantee[], workers: Iterable<Worker>): Result<Home[], HomeProblem[]> {
  const wanted = wantedHomes(guarantees)
  const packed = packHomes(wanted, () => binsOf(workers))
  if (packed.missing.length === 0) return ok(packed.homes)
  const missing = new Set(packed.missing.map((home) => guaranteeKey(home.account, home.shape)))
  const problems = guarantees.flatMap((guarantee, position): HomeProblem[] => {
    const owner = guaranteeKey(guarantee.account, guarantee.shape)
    if (!missing.has(owner)) return []
    const fits = packed.homes.filter((home) => guaranteeKey(home.account, home.shape) === owner).length
    return [{ position, account: guarantee.account, shape: guarantee.shape, wanted: guarantee.count, fits: Math.min(fits, guarantee.count) }]
  })
  return err(problems)
}

/**
 * Lists the homes that the guarantees require. Their identifiers do not change when other guarantees are added or removed.
 * @param guarantees - the guarantees of a document
 * @returns the homes, not placed
 */
export function wantedHomes (guarantees: readonly Guarantee[]): WantedHome[] {
  const counts = new Map<string, number>()
  return guarantees.flatMap(({ account, shape, count, graceSeconds }) => {
    const owner = guaranteeKey(account, shape)
    const before = counts.get(owner) ?? 0
    counts.set(owner, before + count)
    return Array.from({ length: count }, (_, position) => ({ identifier: `${owner}/${before + position}`, account, shape, graceSeconds }))
  })
}

function guaranteeKey (account: string, shape: Shape): string {
  const { workers, accelerators, slots, processors, memoryMegabytes, within } = shape
  return `${account}/${workers}x${accelerators},${slots},${processors},${memoryMegabytes},${within}`
}

/**
 * Creates one bin for each worker, with its full capacity.
 * @param workers - the workers that may hold homes
 * @returns the bins, ordered by worker name
 */
export function binsOf (workers: Iterable<Worker>): Bin[] {
  const sorted = [...workers].sort((one, other) => one.name < other.name ? -1 : 1)
  return sorted.map((worker) => ({
    worker,
    free: 2 ** worker.accelerators - 1,
    slots: worker.slots,
    processors: worker.processors,
    memoryMegabytes: worker.memoryMegabytes
  }))
}

/** Result of packing homes. */
export interface Packing {
  readonly homes: readonly Home[] & Home[]
  readonly missing: readonly WantedHome[]
}

/**
 * Packs homes, the most difficult first. If some do not fit, packing restarts with those homes first.
 * @param wanted - the homes to place
 * @param makeBins - creates new bins for each attempt
 * @returns the packing with the fewest missing homes
 */
export function packHomes (wanted: readonly WantedHome[], makeBins: () => Bin[]): Packing {
  let order = [...wanted].sort(compareDifficulty)
  let best: Packing | undefined
  for (let round = 0; round < MAX_PACKING_ROUNDS; round++) {
    const packing = packTightOrSpread(order, makeBins)
    if (best === undefined || packing.missing.length < best.missing.length) best = packing
    if (packing.missing.length === 0) break
    const missing = new Set(packing.missing)
    const next = [...packing.missing, ...order.filter((home) => !missing.has(home))]
    if (next.every((home, position) => home === order[position])) break
    order = next
  }
  return best ?? { homes: [], missing: [] }
}

const levelRank: { readonly [level in Level]: number } = { [Level.Worker]: 0, [Level.Rack]: 1, [Level.DataCentre]: 2 }

function compareDifficulty (one: WantedHome, other: WantedHome): number {
  return other.shape.accelerators - one.shape.accelerators ||
    levelRank[one.shape.within] - levelRank[other.shape.within] ||
    other.shape.workers - one.shape.workers ||
    other.shape.memoryMegabytes - one.shape.memoryMegabytes ||
    (one.identifier < other.identifier ? -1 : 1)
}

/** Tight packing keeps other workers whole, but homes with many small members may only fit if they are spread. */
function packTightOrSpread (order: readonly WantedHome[], makeBins: () => Bin[]): Packing {
  const filled = packInOrder(order, makeBins(), 1)
  if (filled.missing.length === 0) return filled
  const spread = packInOrder(order, makeBins(), -1)
  return spread.missing.length < filled.missing.length ? spread : filled
}

function packInOrder (order: readonly WantedHome[], bins: Bin[], sign: 1 | -1): Packing {
  const homes: Home[] = []
  const missing: WantedHome[] = []
  for (const home of order) {
    const members = packHome(home.shape, bins, sign)
    if (members === undefined) missing.push(home)
    else homes.push({ ...home, members })
  }
  return { homes, missing }
}

interface Candidate {
  readonly bin: Bin
  readonly mask: number
  /** Free accelerators left in the bin, negated for spreading; lower is better. */
  readonly leftover: number
}

/** Places a home in the group of workers with the least leftover capacity. */
function packHome (shape: Shape, bins: Bin[], sign: 1 | -1): HomeMember[] | undefined {
  const groups = new Map<string, Candidate[]>()
  for (const bin of bins) {
    const mask = maskInBin(shape, bin)
    if (mask === undefined) continue
    const group = shape.workers === 1 ? '' : groupOf[shape.within](bin.worker)
    const candidates = groups.get(group)
    const candidate = { bin, mask, leftover: sign * bitCount(bin.free & ~mask) }
    if (candidates === undefined) groups.set(group, [candidate])
    else candidates.push(candidate)
  }
  const chosen = tightestGroup(shape.workers, [...groups.values()])
  if (chosen === undefined) return undefined
  for (const { bin, mask } of chosen) takeFromBin(bin, shape, mask)
  return chosen.map(({ bin, mask }) => ({ worker: bin.worker.name, mask }))
}

function tightestGroup (workers: number, groups: Candidate[][]): Candidate[] | undefined {
  let chosen: Candidate[] | undefined
  let leastLeftover = Infinity
  for (const candidates of groups) {
    if (candidates.length < workers) continue
    candidates.sort((one, other) => one.leftover - other.leftover)
    const selected = candidates.slice(0, workers)
    const leftover = selected.reduce((sum, candidate) => sum + candidate.leftover, 0) + (candidates.length - workers) / 1_000
    if (leftover < leastLeftover) { chosen = selected; leastLeftover = leftover }
  }
  return chosen
}

function maskInBin (shape: Shape, bin: Bin): number | undefined {
  if (shape.slots > bin.slots || shape.processors > bin.processors || shape.memoryMegabytes > bin.memoryMegabytes) return undefined
  return shape.accelerators === 0 ? 0 : bestMask(shape.accelerators, bin.free)
}

/**
 * Removes capacity from a bin.
 * @param bin - the bin, modified
 * @param shape - the resources to remove, except accelerators
 * @param mask - the accelerators to remove
 */
export function takeFromBin (bin: Bin, shape: Shape, mask: number): void {
  bin.free &= ~mask
  bin.slots -= shape.slots
  bin.processors -= shape.processors
  bin.memoryMegabytes -= shape.memoryMegabytes
}

/**
 * Tells whether a placed home fits the remaining capacity of its workers.
 * @param home - the home
 * @param bins - bins by worker name
 * @returns true if every member fits
 */
export function homeFits (home: Home, bins: ReadonlyMap<string, Bin>): boolean {
  if (new Set(home.members.map((member) => member.worker)).size !== home.shape.workers) return false
  const groups = new Set<string>()
  const fits = home.members.every(({ worker, mask }) => {
    const bin = bins.get(worker)
    if (bin === undefined) return false
    groups.add(groupOf[home.shape.within](bin.worker))
    const { shape } = home
    return adjacentMasks(shape.accelerators).includes(mask) && (bin.free & mask) === mask &&
      shape.slots <= bin.slots && shape.processors <= bin.processors && shape.memoryMegabytes <= bin.memoryMegabytes
  })
  return fits && groups.size === 1
}

function bitCount (mask: number): number {
  let count = 0
  for (let rest = mask; rest !== 0; rest &= rest - 1) count++
  return count
}
