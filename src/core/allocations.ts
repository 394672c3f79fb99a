import type { Map as ImmutableMap } from 'immutable'
import type { Shape } from './document'
import { heldMembers, memoryNeeded } from './draft'
import type { Home } from './homes'
import { hasEnded, JobState, type Job, type Member } from './job'
import type { Worker } from './worker'

/** An amount of resources on one worker. */
export interface WorkerResources {
  readonly mask: number
  readonly slots: number
  readonly processors: number
  readonly memoryMegabytes: number
}

/** The empty amount. */
export const noResources: WorkerResources = { mask: 0, slots: 0, processors: 0, memoryMegabytes: 0 }

/** The resources of one worker that a home reserves. */
export interface HomeAllocation extends WorkerResources {
  readonly home: Home
}

/** The resources of one worker that a job uses. */
export interface JobAllocation extends WorkerResources {
  readonly job: string
  readonly account: string
  /** The job cannot be stopped and run again. */
  readonly nonPreemptible: boolean
  /** The allocation lies within the home of its own account that the job holds. */
  readonly inOwnHome: boolean
}

/**
 * Adds two amounts of resources.
 * @param one - an amount
 * @param other - another amount
 * @returns the sum; the union of the masks
 */
export function addResources (one: WorkerResources, other: WorkerResources): WorkerResources {
  return {
    mask: one.mask | other.mask,
    slots: one.slots + other.slots,
    processors: one.processors + other.processors,
    memoryMegabytes: one.memoryMegabytes + other.memoryMegabytes
  }
}

/**
 * Tells whether a worker has enough slots, processors and memory. Accelerators are not checked.
 * @param worker - the worker
 * @param resources - the total amount
 * @returns true if it fits
 */
export function fitsWorker (worker: Worker, resources: WorkerResources): boolean {
  return resources.slots <= worker.slots && resources.processors <= worker.processors && resources.memoryMegabytes <= worker.memoryMegabytes
}

/**
 * The resources that a shape takes on each of its workers.
 * @param shape - the shape
 * @param mask - the accelerators
 * @returns the amount
 */
export function shapeResources (shape: Shape, mask: number): WorkerResources {
  return { mask, slots: shape.slots, processors: shape.processors, memoryMegabytes: shape.memoryMegabytes }
}

/**
 * The resources that a job takes on each of its workers.
 * @param job - the job
 * @param mask - the accelerators
 * @returns the amount, with the memory that the job needs according to past runs
 */
export function jobResources (job: Job, mask: number): WorkerResources {
  return { ...shapeResources(job.specification.shape, mask), memoryMegabytes: memoryNeeded(job) }
}

/**
 * Tells whether a job cannot be stopped and run again. Such jobs must not borrow homes.
 * @param job - the job
 * @returns true if the job is not idempotent
 */
export function isNonPreemptible (job: Job): boolean {
  return !job.specification.idempotent
}

/** A non-preemptible job counts as such only until its stop is in the log, since then it is already ending. */
function isUnstoppable (job: Job): boolean {
  return isNonPreemptible(job) && job.state !== JobState.Stopping && !hasEnded(job)
}

type Homes = ImmutableMap<string, Home>

const allocationsByHomes = new WeakMap<Homes, ReadonlyMap<string, readonly HomeAllocation[]>>()

/**
 * The resources that homes reserve, by worker.
 * @param homes - all homes
 * @returns the allocations on each worker; a worker without homes has no entry
 */
export function homeAllocations (homes: Homes): ReadonlyMap<string, readonly HomeAllocation[]> {
  const known = allocationsByHomes.get(homes)
  if (known !== undefined) return known
  const allocations = new Map<string, HomeAllocation[]>()
  for (const home of homes.values()) {
    for (const { worker, mask } of home.members) {
      const allocation = { ...shapeResources(home.shape, mask), home }
      const others = allocations.get(worker)
      if (others === undefined) allocations.set(worker, [allocation])
      else others.push(allocation)
    }
  }
  allocationsByHomes.set(homes, allocations)
  return allocations
}

/**
 * The resources of one worker that a job uses.
 * @param job - the job
 * @param worker - name of the worker
 * @param homes - all homes
 * @returns the allocation, or undefined if the job uses nothing on the worker
 */
export function jobAllocation (job: Job | undefined, worker: string, homes: Homes): JobAllocation | undefined {
  const attempt = job?.attempt
  if (job === undefined || attempt === undefined) return undefined
  const member = heldMembers(attempt).find((candidate) => candidate.worker === worker)
  if (member === undefined) return undefined
  const home = attempt.home === undefined ? undefined : homes.get(attempt.home)
  return {
    ...jobResources(job, member.mask),
    job: job.identifier,
    account: job.specification.account,
    nonPreemptible: isUnstoppable(job),
    inOwnHome: home !== undefined && isWithinHome(member, home)
  }
}

/**
 * Tells whether a member lies within a home.
 * @param member - the member
 * @param home - the home
 * @returns true if all accelerators of the member belong to the home
 */
export function isWithinHome (member: Pick<Member, 'worker' | 'mask'>, home: Home): boolean {
  const own = home.members.find((candidate) => candidate.worker === member.worker)
  return own !== undefined && (own.mask & member.mask) === member.mask
}
