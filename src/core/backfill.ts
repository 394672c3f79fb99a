import { Level } from './document'
import { expectedSeconds, HIGH_QUANTILE } from './estimates'
import type { Fleet, WorkerCapacity } from './fleet'
import { addResources, jobResources, isNonPreemptible, fitsWorker, type WorkerResources } from './allocations'
import type { State } from './state'
import type { Job } from './job'
import { adjacentMasks } from './topology'

/** Expected start time and place of the oldest waiting gang. */
export interface PlannedStart {
  /** Milliseconds since the epoch; it is put off when running work exceeds its expected run time. */
  readonly startAt: number
  readonly members: ReadonlyArray<{ readonly worker: string, readonly mask: number }>
}

/** A job that exceeded its expected run time is expected to run for this fraction of its elapsed time longer. */
const OVERRUN_FACTOR = 0.25

/**
 * Estimates where a gang can start earliest as running work ends.
 * @param state - the state
 * @param fleet - the workers
 * @param job - the waiting gang
 * @param now - milliseconds since the epoch
 * @returns the place, or undefined if the usable fleet could not hold the gang
 */
export function findEarliestStart (state: State, fleet: Fleet, job: Job, now: number): PlannedStart | undefined {
  const { shape } = job.specification
  const needed = jobResources(job, 0)
  const ends = new Map<string, number>()
  const endOf = (name: string): number => {
    const known = ends.get(name)
    if (known !== undefined) return known
    const end = expectedEnd(state, name, now)
    ends.set(name, end)
    return end
  }
  const groups = new Map<string, AvailableMask[]>()
  for (const capacity of fleet.capacities) {
    if (!capacity.usable) continue
    const available = earliestMaskOnWorker(capacity, job, needed, endOf, now)
    if (available === undefined) continue
    const group = shape.workers === 1 ? capacity.worker.name : shape.within === Level.Rack ? capacity.rack : capacity.dataCentre
    const members = groups.get(group)
    if (members === undefined) groups.set(group, [available])
    else members.push(available)
  }
  return earliestGroup([...groups.values()], shape.workers)
}

/** Adjacent accelerators of one worker, and when they are expected to be free. */
interface AvailableMask {
  readonly capacity: WorkerCapacity
  readonly mask: number
  readonly at: number
}

function earliestGroup (groups: AvailableMask[][], workers: number): PlannedStart | undefined {
  let best: PlannedStart | undefined
  for (const available of groups) {
    if (available.length < workers) continue
    const chosen = available.sort((one, other) => one.at - other.at).slice(0, workers)
    const startAt = chosen[workers - 1]?.at ?? Infinity
    if (best !== undefined && startAt >= best.startAt) continue
    best = { startAt, members: chosen.map(({ capacity, mask }) => ({ worker: capacity.worker.name, mask })) }
  }
  return best
}

function earliestMaskOnWorker (capacity: WorkerCapacity, job: Job, needed: WorkerResources, endOf: (job: string) => number, now: number): AvailableMask | undefined {
  if (isNonPreemptible(job) && !fitsWorker(capacity.worker, addResources(capacity.reservedForHomes, needed))) return undefined
  if (!fitsWorker(capacity.worker, needed)) return undefined
  let best: AvailableMask | undefined
  for (const mask of adjacentMasks(job.specification.shape.accelerators)) {
    if (mask > capacity.allAccelerators || (capacity.planned.mask & mask) !== 0 || (isNonPreemptible(job) && (capacity.reservedForHomes.mask & mask) !== 0)) continue
    let at = now
    for (const allocation of capacity.allocations) if ((allocation.mask & mask) !== 0) at = Math.max(at, endOf(allocation.job))
    at = Math.max(at, resourcesFreeAt(capacity, needed, endOf, now))
    if (best === undefined || at < best.at) best = { capacity, mask, at }
  }
  return best
}

/** When enough slots, processors and memory are free, as jobs end in the order of their expected ends. */
function resourcesFreeAt (capacity: WorkerCapacity, needed: WorkerResources, endOf: (job: string) => number, now: number): number {
  let used = addResources(capacity.used, capacity.planned)
  if (fitsWorker(capacity.worker, addResources(used, needed))) return now
  for (const allocation of [...capacity.allocations].sort((one, other) => endOf(one.job) - endOf(other.job))) {
    used = { ...used, slots: used.slots - allocation.slots, processors: used.processors - allocation.processors, memoryMegabytes: used.memoryMegabytes - allocation.memoryMegabytes }
    if (fitsWorker(capacity.worker, addResources(used, needed))) return endOf(allocation.job)
  }
  return Infinity
}

/**
 * When a reserved or running job is expected to end.
 * @param state - the state
 * @param name - identifier of the job
 * @param now - milliseconds since the epoch
 * @returns milliseconds since the epoch, not before now
 */
export function expectedEnd (state: State, name: string, now: number): number {
  const job = state.jobs.get(name)
  if (job?.attempt === undefined || job.attempt.stoppingAt > 0) return now
  const startedAt = job.attempt.startedAt === 0 ? now : job.attempt.startedAt
  const end = startedAt + expectedSeconds(state, job, HIGH_QUANTILE) * 1_000
  return end > now ? end : now + (now - startedAt) * OVERRUN_FACTOR
}
