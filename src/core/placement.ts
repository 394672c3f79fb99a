import { Level, type Placement } from './document'
import { memoryNeeded } from './draft'
import type { Fleet, Row } from './fleet'
import { add, amountsOfJob, isFirm, noAmounts, within, type Amounts, type JobPart } from './holdings'
import type { Job, Member } from './job'
import type { State, WorkerUsage } from './state'
import { adjacentMasks, bestMask, groupOf, worth } from './topology'
import type { Worker } from './worker'

/**
 * Tells whether a job's part fits on a worker beside what is held there.
 * @param job - the job
 * @param worker - the worker
 * @param usage - what is held there
 * @param mask - the accelerators it would get: adjacent, and as many as the shape says
 * @returns true when it fits
 */
export function memberFits (job: Job, worker: Worker, usage: WorkerUsage, mask: number): boolean {
  const { shape } = job.specification
  if ((usage.mask & mask) !== 0 || mask >= 2 ** worker.accelerators) return false
  if (!adjacentMasks(shape.accelerators).includes(mask)) return false
  return usage.slots + shape.slots <= worker.slots &&
    usage.processors + shape.processors <= worker.processors &&
    usage.memoryMegabytes + memoryNeeded(job) <= worker.memoryMegabytes
}

/** What a search may use. */
export interface Search {
  readonly job: Job
  readonly weights: Placement
  /** Homes of other accounts may be borrowed. */
  readonly borrow: boolean
  /** Homes that nobody of their account holds may be moved out of the way. */
  readonly overHomes?: (home: string) => boolean
  /** The place awaited by the oldest gang may be used. */
  readonly intoAwaited: boolean
  /** Workers that are left out. */
  readonly avoid: (worker: string) => boolean
}

/** A place for a job. */
export interface Place {
  readonly members: readonly Member[]
  /** Some accelerators or other amounts are kept for a home. */
  readonly borrowing: boolean
  /** Jobs that must leave first, sorted. */
  readonly stopped: readonly string[]
  /** Accelerator seconds of work that are lost with them. */
  readonly lost: number
}

interface Candidate {
  readonly row: Row
  readonly mask: number
  /** Lower is better. */
  readonly score: number
  readonly stopped: readonly string[]
  readonly lost: number
}

/** Worth of a whole free row; scales the damage done to it to at most 1. */
const WHOLE_ROW_WORTH = 64
/** How much a use of processors or memory alone counts against taking an unbroken row. */
const ROW_WITHOUT_ACCELERATORS = 0.05
/** What breaking into a further rack costs a gang, against the damage of a whole row. */
const FURTHER_RACK = 0.02

/**
 * Finds a place among what is free now.
 * @param fleet - the workers
 * @param search - the job and what it may use
 * @returns the place that does least damage, or nothing
 */
export function placeFree (fleet: Fleet, search: Search): Place | undefined {
  const needed = amountsOfJob(search.job, 0)
  return choose(fleet, search, (row) => freeCandidate(row, search, needed))
}

function freeCandidate (row: Row, search: Search, needed: Amounts): Candidate | undefined {
  const count = search.job.specification.shape.accelerators
  // In a busy fleet most rows have no run that is long enough, and a look at a table tells.
  if (bestMask(count, row.free) === undefined) return undefined
  const held = add(row.standing, row.taken)
  if (!within(row.worker, add(held, needed))) return undefined
  const firm = isFirm(search.job)
  const kept = search.overHomes === undefined ? row.kept : keptBeside(row, search.overHomes)
  if (firm && !within(row.worker, add(add(row.firm, kept), needed))) return undefined
  if (!search.intoAwaited && row.awaited.slots + row.awaited.mask > 0 && !within(row.worker, add(add(held, row.awaited), needed))) return undefined
  const free = row.free & ~(search.intoAwaited ? 0 : row.awaited.mask)
  const beside = bestMask(count, free & ~kept.mask)
  const mask = beside ?? (search.borrow && !firm ? bestMask(count, free) : undefined)
  if (mask === undefined) return undefined
  return { row, mask, score: damage(row, mask, search.weights) + (beside === undefined ? search.weights.completionTimeWeight : 0), stopped: none, lost: 0 }
}

/** What the homes keep of a worker that cannot be moved. */
function keptBeside (row: Row, movable: (home: string) => boolean): Amounts {
  return row.homes.filter(({ home }) => !movable(home.identifier)).reduce<Amounts>(add, noAmounts)
}

const none: readonly string[] = []

/** What taking accelerators costs those who need long runs. */
function damage (row: Row, mask: number, weights: Placement): number {
  const before = worth(row.free)
  if (mask === 0) return ROW_WITHOUT_ACCELERATORS * weights.fragmentationWeight * before / WHOLE_ROW_WORTH
  return (weights.fragmentationWeight + 0.01) * (before - worth(row.free & ~mask)) / WHOLE_ROW_WORTH
}

type Find = (row: Row) => Candidate | undefined

function choose (fleet: Fleet, search: Search, find: Find): Place | undefined {
  const { workers, within: level } = search.job.specification.shape
  if (workers === 1) return chooseOne(fleet, search, find)
  return level === Level.Worker ? undefined : chooseGang(fleet, search, find, level === Level.Rack ? (row) => row.rack : (row) => row.dataCentre)
}

function chooseOne (fleet: Fleet, search: Search, find: Find): Place | undefined {
  let best: Candidate | undefined
  for (const row of fleet.rows) {
    if (!row.usable) continue
    const candidate = find(row)
    if (candidate === undefined || (best !== undefined && candidate.score >= best.score)) continue
    if (!search.avoid(row.worker.name)) best = candidate
  }
  return best === undefined ? undefined : toPlace([best])
}

function chooseGang (fleet: Fleet, search: Search, find: Find, groupOf: (row: Row) => string): Place | undefined {
  const { workers } = search.job.specification.shape
  let best: Candidate[] | undefined
  let bestScore = Infinity
  let candidates: Candidate[] = []
  const consider = (): void => {
    if (candidates.length < workers) return
    const chosen = cheapest(candidates, workers)
    const score = chosen.reduce((sum, candidate) => sum + candidate.score, 0)
    if (score < bestScore) { best = chosen; bestScore = score }
  }
  let group: string | undefined
  for (const row of fleet.rows) {
    if (groupOf(row) !== group) { consider(); candidates = []; group = groupOf(row) }
    const candidate = row.usable ? find(row) : undefined
    if (candidate !== undefined && !search.avoid(row.worker.name)) candidates.push(candidate)
  }
  consider()
  return best === undefined ? undefined : toPlace(best)
}

/** The cheapest members; of equals, those of racks with many of them, so that few racks are broken into. */
function cheapest (candidates: readonly Candidate[], workers: number): Candidate[] {
  if (candidates.length === workers) return [...candidates]
  const perRack = new Map<string, number>()
  for (const { row } of candidates) perRack.set(row.rack, (perRack.get(row.rack) ?? 0) + 1)
  const cost = (candidate: Candidate): number => candidate.score + FURTHER_RACK / (perRack.get(candidate.row.rack) ?? 1)
  return candidates.map((candidate) => ({ candidate, cost: cost(candidate) }))
    .sort((one, other) => one.cost - other.cost).slice(0, workers).map(({ candidate }) => candidate)
}

function toPlace (candidates: readonly Candidate[]): Place {
  const members = candidates.map(({ row, mask }) => ({ worker: row.worker.name, incarnation: row.worker.incarnation, mask }))
  const borrowing = candidates.some(({ row, mask }) => (row.kept.mask & mask) !== 0)
  const lost = candidates.reduce((sum, candidate) => sum + candidate.lost, 0)
  return { members, borrowing, lost, stopped: [...new Set(candidates.flatMap(({ stopped }) => stopped))].sort() }
}

/** What stopping a job's part costs, in accelerator seconds of lost work; nothing where it must not be stopped. */
export type StopCost = (part: JobPart) => number | undefined

/** Scales lost accelerator seconds against the damage to rows. */
const LOST_SECONDS_SCALE = 1

/**
 * Finds a place where other work is stopped first.
 * @param fleet - the workers
 * @param search - the job and what it may use
 * @param cost - what each stop costs
 * @returns the place with the least lost work, or nothing
 */
export function placeByStopping (fleet: Fleet, search: Search, cost: StopCost): Place | undefined {
  const needed = amountsOfJob(search.job, 0)
  const firm = isFirm(search.job)
  const masks = adjacentMasks(search.job.specification.shape.accelerators)
  return choose(fleet, search, (row) => {
    if (firm && !within(row.worker, add(add(row.firm, row.kept), needed))) return undefined
    let best: Candidate | undefined
    for (const mask of masks) {
      if (mask > row.full || (firm && (mask & row.kept.mask) !== 0) || (!search.intoAwaited && (mask & row.awaited.mask) !== 0)) continue
      const cleared = clear(row, mask, needed, cost)
      if (cleared === undefined) continue
      const score = cleared.cost * LOST_SECONDS_SCALE + damage(row, mask, search.weights)
      if (best === undefined || score < best.score) best = { row, mask, score, stopped: cleared.stopped, lost: cleared.cost }
    }
    return best
  })
}

/** Which jobs must leave a worker so that something fits, and what is lost with them. */
export interface Cleared {
  readonly stopped: readonly string[]
  readonly cost: number
}

/**
 * Finds out who must leave a worker.
 * @param row - the worker
 * @param mask - the accelerators that must be free
 * @param needed - the other amounts that must be free
 * @param cost - what each stop costs
 * @returns the jobs and the cost, or nothing where some of it cannot be freed
 */
export function clear (row: Row, mask: number, needed: Amounts, cost: StopCost): Cleared | undefined {
  if ((row.taken.mask & mask) !== 0) return undefined
  const stopped: string[] = []
  let sum = 0
  let held = add(row.standing, row.taken)
  const others: Array<{ part: JobPart, cost: number }> = []
  for (const part of row.parts) {
    const lost = row.leaving.has(part.job) ? 0 : cost(part)
    if ((part.mask & mask) === 0) {
      if (lost !== undefined) others.push({ part, cost: lost })
      continue
    }
    if (lost === undefined) return undefined
    stopped.push(part.job)
    sum += lost
    held = subtract(held, part)
  }
  if (within(row.worker, add(held, needed))) return { stopped, cost: sum }
  for (const { part, cost: lost } of others.sort((one, other) => one.cost - other.cost)) {
    stopped.push(part.job)
    sum += lost
    held = subtract(held, part)
    if (within(row.worker, add(held, needed))) return { stopped, cost: sum }
  }
  return undefined
}

function subtract (one: Amounts, other: Amounts): Amounts {
  return {
    mask: one.mask & ~other.mask,
    slots: one.slots - other.slots,
    processors: one.processors - other.processors,
    memoryMegabytes: one.memoryMegabytes - other.memoryMegabytes
  }
}

const holdableByWorkers = new WeakMap<State['workers'], Map<string, boolean>>()

/**
 * Tells whether the known fleet, with the workers that are away now, could hold a shape if it were empty.
 * @param workers - all workers that ever announced themselves
 * @param job - the job
 * @param present - count only workers that are present now
 * @returns true when it could
 */
export function holdable (workers: State['workers'], job: Job, present = false): boolean {
  const { shape } = job.specification
  const needed = amountsOfJob(job, 0)
  const key = `${shape.workers},${shape.within},${shape.accelerators},${needed.slots},${needed.processors},${needed.memoryMegabytes},${present}`
  const known = holdableByWorkers.get(workers) ?? new Map<string, boolean>()
  holdableByWorkers.set(workers, known)
  const before = known.get(key)
  if (before !== undefined) return before
  const answer = largestGroup(workers.values(), job, present) >= shape.workers
  known.set(key, answer)
  return answer
}

/**
 * How many workers of one group could each hold a part of a job if they were empty.
 * @param workers - the workers that are asked about
 * @param job - the job
 * @param present - count only workers that are present and stay
 * @returns the size of the largest such group
 */
export function largestGroup (workers: Iterable<Worker>, job: Job, present: boolean): number {
  const { shape } = job.specification
  const needed = amountsOfJob(job, 0)
  const counts = new Map<string, number>()
  for (const worker of workers) {
    if ((present && (!worker.present || worker.leaving)) || shape.accelerators > worker.accelerators || !within(worker, needed)) continue
    const group = shape.workers === 1 ? worker.name : groupOf[shape.within](worker)
    counts.set(group, (counts.get(group) ?? 0) + 1)
  }
  return Math.max(0, ...counts.values())
}
