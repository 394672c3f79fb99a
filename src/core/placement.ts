import { ACCELERATORS_PER_ROW, Level } from './document'
import { memoryNeeded } from './draft'
import type { Job, Member } from './job'
import type { State, WorkerUsage } from './state'
import { WorkerHealth, type Worker } from './worker'

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
  if (mask !== 0 && !adjacentMasks(shape.accelerators).includes(mask)) return false
  if (mask === 0 && shape.accelerators > 0) return false
  return usage.slots + shape.slots <= worker.slots &&
    usage.processors + shape.processors <= worker.processors &&
    usage.memoryMegabytes + memoryNeeded(job) <= worker.memoryMegabytes
}

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

/** How a worker's group is named at each level. */
const groupOf: { readonly [level in Level]: (worker: Worker) => string } = {
  [Level.Worker]: (worker) => worker.name,
  [Level.Rack]: (worker) => `${worker.dataCentre}/${worker.rack}`,
  [Level.DataCentre]: (worker) => worker.dataCentre
}

/**
 * Finds members for a job.
 * @param state - the state to decide in
 * @param job - the queued job
 * @returns one member for each worker of its shape, or nothing where it does not fit now
 */
export function place (state: State, job: Job): Member[] | undefined {
  const { shape } = job.specification
  const groups = new Map<string, Member[]>()
  for (const worker of state.workers.valueSeq().toArray().sort((one, other) => one.name < other.name ? -1 : 1)) {
    if (!worker.present || worker.leaving || worker.health !== WorkerHealth.Healthy || job.failedOn.includes(worker.name)) continue
    const mask = adjacentMasks(shape.accelerators).find((candidate) => memberFits(job, worker, usageOf(state, worker.name), candidate))
    if (mask === undefined) continue
    const group = groupOf[shape.workers === 1 ? Level.DataCentre : shape.within](worker)
    const members = groups.get(group) ?? []
    members.push({ worker: worker.name, incarnation: worker.incarnation, mask })
    groups.set(group, members)
    if (members.length === shape.workers) return members
  }
  return undefined
}

function usageOf (state: State, worker: string): WorkerUsage {
  return state.usage.get(worker) ?? { mask: 0, slots: 0, processors: 0, memoryMegabytes: 0, attempts: state.usage.clear() as never }
}
