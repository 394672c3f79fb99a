import { err, ok, type Result } from 'neverthrow'
import { Level, type Guarantee, type Shape } from './document'
import { adjacentMasks, bestMask, groupOf } from './topology'
import type { Worker } from './worker'

/** One worker's part of a home. */
export interface HomeMember {
  readonly worker: string
  /** Bit i set: accelerator i of the row. Set bits are adjacent. */
  readonly mask: number
}

/** The concrete accelerators kept for one guaranteed shape. Only work that can be reclaimed may borrow them. */
export interface Home {
  readonly identifier: string
  readonly account: string
  readonly shape: Shape
  readonly graceSeconds: number
  readonly members: readonly HomeMember[]
}

/** A home that is wanted, before it has a place. */
export type WantedHome = Omit<Home, 'members'>

/** A guarantee that cannot be kept beside the others. */
export interface HomeProblem {
  /** Position of the guarantee in the document. */
  readonly position: number
  readonly account: string
  readonly shape: Shape
  readonly wanted: number
  /** How many of them a packing was found for. */
  readonly fits: number
}

/** What is still to be had on one worker while homes are packed. */
export interface Bin {
  readonly worker: Worker
  free: number
  slots: number
  processors: number
  memoryMegabytes: number
}

/** How often the packing starts again with what did not fit put first. */
const PACKING_ROUNDS = 24

/**
 * Finds a home for every guaranteed shape at once.
 * @param guarantees - the guarantees of a document
 * @param workers - the workers that may hold homes
 * @returns all homes, or what cannot be kept and how many would fit
 */
export function homeAll (guarantees: readonly Guarantee[], workers: Iterable<Worker>): Result<Home[], HomeProblem[]> {
  const wanted = wantedHomes(guarantees)
  const packed = packHomes(wanted, () => binsOf(workers))
  if (packed.missing.length === 0) return ok(packed.homes)
  const missing = new Set(packed.missing.map((home) => shapeOwner(home.account, home.shape)))
  const problems = guarantees.flatMap((guarantee, position): HomeProblem[] => {
    const owner = shapeOwner(guarantee.account, guarantee.shape)
    if (!missing.has(owner)) return []
    const fits = packed.homes.filter((home) => shapeOwner(home.account, home.shape) === owner).length
    return [{ position, account: guarantee.account, shape: guarantee.shape, wanted: guarantee.count, fits: Math.min(fits, guarantee.count) }]
  })
  return err(problems)
}

/**
 * Lists the homes that a document asks for. Names stay the same while other guarantees come and go.
 * @param guarantees - the guarantees of a document
 * @returns the homes without places
 */
export function wantedHomes (guarantees: readonly Guarantee[]): WantedHome[] {
  const counts = new Map<string, number>()
  return guarantees.flatMap(({ account, shape, count, graceSeconds }) => {
    const owner = shapeOwner(account, shape)
    const before = counts.get(owner) ?? 0
    counts.set(owner, before + count)
    return Array.from({ length: count }, (_, position) => ({ identifier: `${owner}/${before + position}`, account, shape, graceSeconds }))
  })
}

function shapeOwner (account: string, shape: Shape): string {
  const { workers, accelerators, slots, processors, memoryMegabytes, within } = shape
  return `${account}/${workers}x${accelerators},${slots},${processors},${memoryMegabytes},${within}`
}

/**
 * Makes empty bins.
 * @param workers - the workers that may hold homes
 * @returns one bin each, in the order of names
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

/** What a packing came to. */
export interface Packing {
  readonly homes: readonly Home[] & Home[]
  readonly missing: readonly WantedHome[]
}

/**
 * Packs homes, largest first; what did not fit is put first and the packing starts again.
 * @param wanted - the homes without places
 * @param makeBins - makes the bins anew for each round
 * @returns the packing that left the fewest homes without a place
 */
export function packHomes (wanted: readonly WantedHome[], makeBins: () => Bin[]): Packing {
  let order = [...wanted].sort(hardestFirst)
  let best: Packing | undefined
  for (let round = 0; round < PACKING_ROUNDS; round++) {
    const packing = packEitherWay(order, makeBins)
    if (best === undefined || packing.missing.length < best.missing.length) best = packing
    if (packing.missing.length === 0) break
    const late = new Set(packing.missing)
    const next = [...packing.missing, ...order.filter((home) => !late.has(home))]
    if (next.every((home, position) => home === order[position])) break
    order = next
  }
  return best ?? { homes: [], missing: [] }
}

const levelRank: { readonly [level in Level]: number } = { [Level.Worker]: 0, [Level.Rack]: 1, [Level.DataCentre]: 2 }

function hardestFirst (one: WantedHome, other: WantedHome): number {
  return other.shape.accelerators - one.shape.accelerators ||
    levelRank[one.shape.within] - levelRank[other.shape.within] ||
    other.shape.workers - one.shape.workers ||
    other.shape.memoryMegabytes - one.shape.memoryMegabytes ||
    (one.identifier < other.identifier ? -1 : 1)
}

/** Filling up few workers keeps the others whole; gangs of many small parts may need the parts spread. */
function packEitherWay (order: readonly WantedHome[], makeBins: () => Bin[]): Packing {
  const filled = packInOrder(order, makeBins(), 1)
  if (filled.missing.length === 0) return filled
  const spread = packInOrder(order, makeBins(), -1)
  return spread.missing.length < filled.missing.length ? spread : filled
}

function packInOrder (order: readonly WantedHome[], bins: Bin[], sign: 1 | -1): Packing {
  const homes: Home[] = []
  const missing: WantedHome[] = []
  for (const home of order) {
    const members = packOne(home.shape, bins, sign)
    if (members === undefined) missing.push(home)
    else homes.push({ ...home, members })
  }
  return { homes, missing }
}

interface Candidate {
  readonly bin: Bin
  readonly mask: number
  /** Free accelerators that the home would leave in the bin: fewer is better. */
  readonly left: number
}

/** Takes the group of workers that the home fills best. */
function packOne (shape: Shape, bins: Bin[], sign: 1 | -1): HomeMember[] | undefined {
  const groups = new Map<string, Candidate[]>()
  for (const bin of bins) {
    const mask = maskInBin(shape, bin)
    if (mask === undefined) continue
    const group = shape.workers === 1 ? '' : groupOf[shape.within](bin.worker)
    const candidates = groups.get(group)
    const candidate = { bin, mask, left: sign * bitCount(bin.free & ~mask) }
    if (candidates === undefined) groups.set(group, [candidate])
    else candidates.push(candidate)
  }
  const chosen = fullestGroup(shape.workers, [...groups.values()])
  if (chosen === undefined) return undefined
  for (const { bin, mask } of chosen) take(bin, shape, mask)
  return chosen.map(({ bin, mask }) => ({ worker: bin.worker.name, mask }))
}

function fullestGroup (workers: number, groups: Candidate[][]): Candidate[] | undefined {
  let chosen: Candidate[] | undefined
  let chosenLeft = Infinity
  for (const candidates of groups) {
    if (candidates.length < workers) continue
    candidates.sort((one, other) => one.left - other.left)
    const taken = candidates.slice(0, workers)
    const left = taken.reduce((sum, candidate) => sum + candidate.left, 0) + (candidates.length - workers) / 1_000
    if (left < chosenLeft) { chosen = taken; chosenLeft = left }
  }
  return chosen
}

function maskInBin (shape: Shape, bin: Bin): number | undefined {
  if (shape.slots > bin.slots || shape.processors > bin.processors || shape.memoryMegabytes > bin.memoryMegabytes) return undefined
  return shape.accelerators === 0 ? 0 : bestMask(shape.accelerators, bin.free)
}

/**
 * Takes a part of a bin.
 * @param bin - the bin, changed
 * @param shape - what is taken beside the accelerators
 * @param mask - the accelerators
 */
export function take (bin: Bin, shape: Shape, mask: number): void {
  bin.free &= ~mask
  bin.slots -= shape.slots
  bin.processors -= shape.processors
  bin.memoryMegabytes -= shape.memoryMegabytes
}

/**
 * Tells whether a home could stand in its bins.
 * @param home - the home
 * @param bins - bins by the name of their worker
 * @returns true when every member fits
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
