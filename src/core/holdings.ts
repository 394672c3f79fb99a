import type { Map as ImmutableMap } from 'immutable'
import type { Shape } from './document'
import { heldMembers, memoryNeeded } from './draft'
import type { Home } from './homes'
import { hasEnded, JobState, type Job, type Member } from './job'
import type { Worker } from './worker'

/** Amounts on one worker. */
export interface Amounts {
  readonly mask: number
  readonly slots: number
  readonly processors: number
  readonly memoryMegabytes: number
}

/** Nothing at all. */
export const noAmounts: Amounts = { mask: 0, slots: 0, processors: 0, memoryMegabytes: 0 }

/** One home's part of a worker. */
export interface HomePart extends Amounts {
  readonly home: Home
}

/** One job's part of a worker. */
export interface JobPart extends Amounts {
  readonly job: string
  readonly account: string
  /** Cannot be stopped and run again. */
  readonly firm: boolean
  /** Lies within the home of its own account that it holds. */
  readonly atHome: boolean
}

/**
 * Adds amounts.
 * @param one - some amounts
 * @param other - more of them
 * @returns the sum; of the masks, the union
 */
export function add (one: Amounts, other: Amounts): Amounts {
  return {
    mask: one.mask | other.mask,
    slots: one.slots + other.slots,
    processors: one.processors + other.processors,
    memoryMegabytes: one.memoryMegabytes + other.memoryMegabytes
  }
}

/**
 * Tells whether a worker has as much as that, its accelerators aside.
 * @param worker - the worker
 * @param amounts - what is to be held in all
 * @returns true when it has
 */
export function within (worker: Worker, amounts: Amounts): boolean {
  return amounts.slots <= worker.slots && amounts.processors <= worker.processors && amounts.memoryMegabytes <= worker.memoryMegabytes
}

/**
 * What a shape takes on each of its workers.
 * @param shape - the shape
 * @param mask - the accelerators
 * @returns the amounts
 */
export function amountsOf (shape: Shape, mask: number): Amounts {
  return { mask, slots: shape.slots, processors: shape.processors, memoryMegabytes: shape.memoryMegabytes }
}

/**
 * What a job takes on each of its workers.
 * @param job - the job
 * @param mask - the accelerators
 * @returns the amounts, with the memory that the job was seen to need
 */
export function amountsOfJob (job: Job, mask: number): Amounts {
  return { ...amountsOf(job.specification.shape, mask), memoryMegabytes: memoryNeeded(job) }
}

/**
 * Tells whether a job cannot be stopped and run again. Only work that can may borrow a home.
 * @param job - the job
 * @returns true for work that is not idempotent
 */
export function isFirm (job: Job): boolean {
  return !job.specification.idempotent
}

/** Firm work holds its place only until its stop is in the log: from then on it is on its way out. */
function holdsFirmly (job: Job): boolean {
  return isFirm(job) && job.state !== JobState.Stopping && !hasEnded(job)
}

type Homes = ImmutableMap<string, Home>

const partsByHomes = new WeakMap<Homes, ReadonlyMap<string, readonly HomePart[]>>()

/**
 * Homes by worker.
 * @param homes - all homes
 * @returns the parts that lie on each worker; none for a worker without homes
 */
export function homeParts (homes: Homes): ReadonlyMap<string, readonly HomePart[]> {
  const known = partsByHomes.get(homes)
  if (known !== undefined) return known
  const parts = new Map<string, HomePart[]>()
  for (const home of homes.values()) {
    for (const { worker, mask } of home.members) {
      const part = { ...amountsOf(home.shape, mask), home }
      const others = parts.get(worker)
      if (others === undefined) parts.set(worker, [part])
      else others.push(part)
    }
  }
  partsByHomes.set(homes, parts)
  return parts
}

/**
 * One job's part of a worker.
 * @param job - the job
 * @param worker - name of the worker
 * @param homes - all homes
 * @returns the part, or nothing where the job holds nothing there
 */
export function jobPart (job: Job | undefined, worker: string, homes: Homes): JobPart | undefined {
  const attempt = job?.attempt
  if (job === undefined || attempt === undefined) return undefined
  const member = heldMembers(attempt).find((candidate) => candidate.worker === worker)
  if (member === undefined) return undefined
  const home = attempt.home === undefined ? undefined : homes.get(attempt.home)
  return {
    ...amountsOfJob(job, member.mask),
    job: job.identifier,
    account: job.specification.account,
    firm: holdsFirmly(job),
    atHome: home !== undefined && liesWithin(member, home)
  }
}

/**
 * Tells whether a member lies within a home.
 * @param member - the member
 * @param home - the home
 * @returns true when the home has all its accelerators, on that worker
 */
export function liesWithin (member: Pick<Member, 'worker' | 'mask'>, home: Home): boolean {
  const own = home.members.find((candidate) => candidate.worker === member.worker)
  return own !== undefined && (own.mask & member.mask) === member.mask
}
