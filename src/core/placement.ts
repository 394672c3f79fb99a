import { Level, type Placement } from './document'
import { memoryNeeded } from './draft'
import type { Fleet, WorkerCapacity } from './fleet'
import { addResources, jobResources, isNonPreemptible, noResources, fitsWorker, type WorkerResources, type JobAllocation } from './allocations'
import type { Job, Member } from './job'
import type { State, WorkerUsage } from './state'
import { adjacentMasks, bestMask, groupOf, contiguityScore } from './topology'
import type { Worker } from './worker'

/**
 * Tells whether a member of a job fits on a worker in addition to its current usage.
 * @param job - the job
 * @param worker - the worker
 * @param usage - the current usage of the worker
 * @param mask - the accelerators for the member; they must be adjacent and match the shape
 * @returns true if it fits
 */
export function memberFits (job: Job, worker: Worker, usage: WorkerUsage, mask: number): boolean {
  const { shape } = job.specification
  if ((usage.mask & mask) !== 0 || mask >= 2 ** worker.accelerators) return false
  if (!adjacentMasks(shape.accelerators).includes(mask)) return false
  return usage.slots + shape.slots <= worker.slots &&
    usage.processors + shape.processors <= worker.processors &&
    usage.memoryMegabytes + memoryNeeded(job) <= worker.memoryMegabytes
}

/** A search for a place, with the resources that it may use. */
export interface PlacementSearch {
  readonly job: Job
  readonly weights: Placement
  /** Resources reserved for homes may be borrowed. */
  readonly borrow: boolean
  /** Tells whether a home may be moved, so that its accelerators count as free. */
  readonly movableHome?: (home: string) => boolean
  /** Resources used for the oldest waiting gang may be used. */
  readonly useHeldForGang: boolean
  /** Tells whether a worker is excluded. */
  readonly avoid: (worker: string) => boolean
}

/** A place for a job. */
export interface Place {
  readonly members: readonly Member[]
  /** Some of the accelerators are reserved for a home. */
  readonly borrowing: boolean
  /** Identifiers of the jobs that must be stopped first, sorted. */
  readonly stopped: readonly string[]
  /** Work lost by stopping them, in accelerator seconds. */
  readonly lostSeconds: number
}

interface Candidate {
  readonly capacity: WorkerCapacity
  readonly mask: number
  /** Lower is better. */
  readonly score: number
  readonly stopped: readonly string[]
  readonly lostSeconds: number
}

/** Contiguity score of a worker whose accelerators are all free; scales the fragmentation cost to at most 1. */
const MAX_CONTIGUITY_SCORE = 64
/** Fragmentation cost of a job without accelerators, relative to taking all accelerators of the worker. */
const NO_ACCELERATOR_COST = 0.05
/** Cost for a gang of using one more rack, relative to taking all accelerators of a worker. */
const ADDITIONAL_RACK_COST = 0.02

/**
 * Finds a place in the free capacity.
 * @param fleet - the workers
 * @param search - the job and what it may use
 * @returns the place with the lowest cost, mainly fragmentation, or undefined if there is none
 */
export function placeFree (fleet: Fleet, search: PlacementSearch): Place | undefined {
  const needed = jobResources(search.job, 0)
  return choosePlace(fleet, search, (capacity) => freeCandidate(capacity, search, needed))
}

function freeCandidate (capacity: WorkerCapacity, search: PlacementSearch, needed: WorkerResources): Candidate | undefined {
  const count = search.job.specification.shape.accelerators
  // In a busy fleet most workers have no run that is long enough, and this table lookup rejects them cheaply.
  if (bestMask(count, capacity.freeAccelerators) === undefined) return undefined
  const used = addResources(capacity.used, capacity.planned)
  if (!fitsWorker(capacity.worker, addResources(used, needed))) return undefined
  const nonPreemptible = isNonPreemptible(search.job)
  const reserved = search.movableHome === undefined ? capacity.reservedForHomes : unmovableHomeResources(capacity, search.movableHome)
  if (nonPreemptible && !fitsWorker(capacity.worker, addResources(addResources(capacity.nonPreemptible, reserved), needed))) return undefined
  if (!search.useHeldForGang && capacity.heldForGang.slots + capacity.heldForGang.mask > 0 && !fitsWorker(capacity.worker, addResources(addResources(used, capacity.heldForGang), needed))) return undefined
  const free = capacity.freeAccelerators & ~(search.useHeldForGang ? 0 : capacity.heldForGang.mask)
  const outsideHomes = bestMask(count, free & ~reserved.mask)
  const mask = outsideHomes ?? (search.borrow && !nonPreemptible ? bestMask(count, free) : undefined)
  if (mask === undefined) return undefined
  return { capacity, mask, score: fragmentationCost(capacity, mask, search.weights) + (outsideHomes === undefined ? search.weights.completionTimeWeight : 0), stopped: noJobs, lostSeconds: 0 }
}

/** Resources reserved on a worker for homes that must not be moved. */
function unmovableHomeResources (capacity: WorkerCapacity, movable: (home: string) => boolean): WorkerResources {
  return capacity.homeAllocations.filter(({ home }) => !movable(home.identifier)).reduce<WorkerResources>(addResources, noResources)
}

const noJobs: readonly string[] = []

/** Cost of allocating accelerators to jobs that need long runs of them. */
function fragmentationCost (capacity: WorkerCapacity, mask: number, weights: Placement): number {
  const before = contiguityScore(capacity.freeAccelerators)
  if (mask === 0) return NO_ACCELERATOR_COST * weights.fragmentationWeight * before / MAX_CONTIGUITY_SCORE
  return (weights.fragmentationWeight + 0.01) * (before - contiguityScore(capacity.freeAccelerators & ~mask)) / MAX_CONTIGUITY_SCORE
}

type FindCandidate = (capacity: WorkerCapacity) => Candidate | undefined

function choosePlace (fleet: Fleet, search: PlacementSearch, find: FindCandidate): Place | undefined {
  const { workers, within: level } = search.job.specification.shape
  if (workers === 1) return chooseWorker(fleet, search, find)
  return level === Level.Worker ? undefined : chooseGang(fleet, search, find, level === Level.Rack ? (capacity) => capacity.rack : (capacity) => capacity.dataCentre)
}

function chooseWorker (fleet: Fleet, search: PlacementSearch, find: FindCandidate): Place | undefined {
  let best: Candidate | undefined
  for (const capacity of fleet.capacities) {
    if (!capacity.usable) continue
    const candidate = find(capacity)
    if (candidate === undefined || (best !== undefined && candidate.score >= best.score)) continue
    if (!search.avoid(capacity.worker.name)) best = candidate
  }
  return best === undefined ? undefined : toPlace([best])
}

function chooseGang (fleet: Fleet, search: PlacementSearch, find: FindCandidate, groupOf: (capacity: WorkerCapacity) => string): Place | undefined {
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
  for (const capacity of fleet.capacities) {
    if (groupOf(capacity) !== group) { consider(); candidates = []; group = groupOf(capacity) }
    const candidate = capacity.usable ? find(capacity) : undefined
    if (candidate !== undefined && !search.avoid(capacity.worker.name)) candidates.push(candidate)
  }
  consider()
  return best === undefined ? undefined : toPlace(best)
}

/** Selects the members with the lowest cost, and prefers racks with many candidates, so that a gang uses few racks. */
function cheapest (candidates: readonly Candidate[], workers: number): Candidate[] {
  if (candidates.length === workers) return [...candidates]
  const perRack = new Map<string, number>()
  for (const { capacity } of candidates) perRack.set(capacity.rack, (perRack.get(capacity.rack) ?? 0) + 1)
  const cost = (candidate: Candidate): number => candidate.score + ADDITIONAL_RACK_COST / (perRack.get(candidate.capacity.rack) ?? 1)
  return candidates.map((candidate) => ({ candidate, cost: cost(candidate) }))
    .sort((one, other) => one.cost - other.cost).slice(0, workers).map(({ candidate }) => candidate)
}

function toPlace (candidates: readonly Candidate[]): Place {
  const members = candidates.map(({ capacity, mask }) => ({ worker: capacity.worker.name, incarnation: capacity.worker.incarnation, mask }))
  const borrowing = candidates.some(({ capacity, mask }) => (capacity.reservedForHomes.mask & mask) !== 0)
  const lostSeconds = candidates.reduce((sum, candidate) => sum + candidate.lostSeconds, 0)
  return { members, borrowing, lostSeconds, stopped: [...new Set(candidates.flatMap(({ stopped }) => stopped))].sort() }
}

/** Cost of preempting a job, in accelerator seconds of lost work; undefined if the job must not be preempted. */
export type PreemptionCost = (allocation: JobAllocation) => number | undefined

/** Weight of a lost accelerator second relative to the fragmentation cost. */
const LOST_SECONDS_SCALE = 1

/**
 * Finds a place by preempting other work.
 * @param fleet - the workers
 * @param search - the job and what it may use
 * @param cost - the cost of preempting each job
 * @returns the place with the lowest cost of lost work and fragmentation, or undefined if there is none
 */
export function placeByPreemption (fleet: Fleet, search: PlacementSearch, cost: PreemptionCost): Place | undefined {
  const needed = jobResources(search.job, 0)
  const nonPreemptible = isNonPreemptible(search.job)
  const masks = adjacentMasks(search.job.specification.shape.accelerators)
  return choosePlace(fleet, search, (capacity) => {
    if (nonPreemptible && !fitsWorker(capacity.worker, addResources(addResources(capacity.nonPreemptible, capacity.reservedForHomes), needed))) return undefined
    let best: Candidate | undefined
    for (const mask of masks) {
      if (mask > capacity.allAccelerators || (nonPreemptible && (mask & capacity.reservedForHomes.mask) !== 0) || (!search.useHeldForGang && (mask & capacity.heldForGang.mask) !== 0)) continue
      const eviction = planEviction(capacity, mask, needed, cost)
      if (eviction === undefined) continue
      const score = eviction.cost * LOST_SECONDS_SCALE + fragmentationCost(capacity, mask, search.weights)
      if (best === undefined || score < best.score) best = { capacity, mask, score, stopped: eviction.stopped, lostSeconds: eviction.cost }
    }
    return best
  })
}

/** The jobs to preempt on a worker, and the cost. */
export interface Eviction {
  readonly stopped: readonly string[]
  readonly cost: number
}

/**
 * Selects the jobs to preempt on a worker.
 * @param capacity - the capacity of the worker
 * @param mask - the accelerators that must become free
 * @param needed - the other resources that must become free
 * @param cost - the cost of preempting each job
 * @returns the jobs and the cost, or undefined if the resources cannot be freed
 */
export function planEviction (capacity: WorkerCapacity, mask: number, needed: WorkerResources, cost: PreemptionCost): Eviction | undefined {
  if ((capacity.planned.mask & mask) !== 0) return undefined
  const stopped: string[] = []
  let sum = 0
  let used = addResources(capacity.used, capacity.planned)
  const others: Array<{ allocation: JobAllocation, cost: number }> = []
  for (const allocation of capacity.allocations) {
    const lost = capacity.stopping.has(allocation.job) ? 0 : cost(allocation)
    if ((allocation.mask & mask) === 0) {
      if (lost !== undefined) others.push({ allocation, cost: lost })
      continue
    }
    if (lost === undefined) return undefined
    stopped.push(allocation.job)
    sum += lost
    used = subtractResources(used, allocation)
  }
  if (fitsWorker(capacity.worker, addResources(used, needed))) return { stopped, cost: sum }
  for (const { allocation, cost: lost } of others.sort((one, other) => one.cost - other.cost)) {
    stopped.push(allocation.job)
    sum += lost
    used = subtractResources(used, allocation)
    if (fitsWorker(capacity.worker, addResources(used, needed))) return { stopped, cost: sum }
  }
  return undefined
}

function subtractResources (one: WorkerResources, other: WorkerResources): WorkerResources {
  return {
    mask: one.mask & ~other.mask,
    slots: one.slots - other.slots,
    processors: one.processors - other.processors,
    memoryMegabytes: one.memoryMegabytes - other.memoryMegabytes
  }
}

const fitsByWorkers = new WeakMap<State['workers'], Map<string, boolean>>()

/**
 * Tells whether the known fleet, including absent workers, could hold a job if it had no other work.
 * @param workers - all workers that have ever announced themselves
 * @param job - the job
 * @param present - count only workers that are present and not leaving
 * @returns true if it could
 */
export function fitsKnownFleet (workers: State['workers'], job: Job, present = false): boolean {
  const { shape } = job.specification
  const needed = jobResources(job, 0)
  const key = `${shape.workers},${shape.within},${shape.accelerators},${needed.slots},${needed.processors},${needed.memoryMegabytes},${present}`
  const known = fitsByWorkers.get(workers) ?? new Map<string, boolean>()
  fitsByWorkers.set(workers, known)
  const before = known.get(key)
  if (before !== undefined) return before
  const answer = largestGroup(workers.values(), job, present) >= shape.workers
  known.set(key, answer)
  return answer
}

/**
 * Counts the workers of a group that could each hold a member of a job if they had no other work.
 * @param workers - the workers to consider
 * @param job - the job
 * @param present - count only workers that are present and not leaving
 * @returns the count for the group with the most such workers
 */
export function largestGroup (workers: Iterable<Worker>, job: Job, present: boolean): number {
  const { shape } = job.specification
  const needed = jobResources(job, 0)
  const counts = new Map<string, number>()
  for (const worker of workers) {
    if ((present && (!worker.present || worker.leaving)) || shape.accelerators > worker.accelerators || !fitsWorker(worker, needed)) continue
    const group = shape.workers === 1 ? worker.name : groupOf[shape.within](worker)
    counts.set(group, (counts.get(group) ?? 0) + 1)
  }
  return Math.max(0, ...counts.values())
}
