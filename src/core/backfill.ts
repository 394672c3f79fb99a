import { Level } from './document'
import { expectedSeconds, HIGH_QUANTILE } from './estimates'
import type { Fleet, Row } from './fleet'
import { add, amountsOfJob, isFirm, within, type Amounts } from './holdings'
import type { State } from './state'
import type { Job } from './job'
import { adjacentMasks } from './topology'

/** Where and when the oldest waiting gang is to start. */
export interface AwaitedPlace {
  /** Milliseconds since the epoch; a work that outlives its expectation moves it. */
  readonly startAt: number
  readonly members: ReadonlyArray<{ readonly worker: string, readonly mask: number }>
}

/** Part of what a job already ran that it is expected to run on, once it has outlived its expectation. */
const OVERRUN = 0.25

/**
 * Foresees where a gang can start first as the work that runs comes to its end.
 * @param state - the state
 * @param fleet - the workers
 * @param job - the waiting gang
 * @param now - milliseconds since the epoch
 * @returns the place, or nothing where the usable fleet could not hold the gang
 */
export function foresee (state: State, fleet: Fleet, job: Job, now: number): AwaitedPlace | undefined {
  const { shape } = job.specification
  const needed = amountsOfJob(job, 0)
  const ends = new Map<string, number>()
  const endOf = (name: string): number => {
    const known = ends.get(name)
    if (known !== undefined) return known
    const end = expectedEnd(state, name, now)
    ends.set(name, end)
    return end
  }
  const groups = new Map<string, Opening[]>()
  for (const row of fleet.rows) {
    if (!row.usable) continue
    const opening = firstOpening(row, job, needed, endOf, now)
    if (opening === undefined) continue
    const group = shape.workers === 1 ? row.worker.name : shape.within === Level.Rack ? row.rack : row.dataCentre
    const openings = groups.get(group)
    if (openings === undefined) groups.set(group, [opening])
    else openings.push(opening)
  }
  return earliest([...groups.values()], shape.workers)
}

interface Opening {
  readonly row: Row
  readonly mask: number
  readonly at: number
}

function earliest (groups: Opening[][], workers: number): AwaitedPlace | undefined {
  let best: AwaitedPlace | undefined
  for (const openings of groups) {
    if (openings.length < workers) continue
    const chosen = openings.sort((one, other) => one.at - other.at).slice(0, workers)
    const startAt = chosen[workers - 1]?.at ?? Infinity
    if (best !== undefined && startAt >= best.startAt) continue
    best = { startAt, members: chosen.map(({ row, mask }) => ({ worker: row.worker.name, mask })) }
  }
  return best
}

function firstOpening (row: Row, job: Job, needed: Amounts, endOf: (job: string) => number, now: number): Opening | undefined {
  if (isFirm(job) && !within(row.worker, add(row.kept, needed))) return undefined
  if (!within(row.worker, needed)) return undefined
  let best: Opening | undefined
  for (const mask of adjacentMasks(job.specification.shape.accelerators)) {
    if (mask > row.full || (row.taken.mask & mask) !== 0 || (isFirm(job) && (row.kept.mask & mask) !== 0)) continue
    let at = now
    for (const part of row.parts) if ((part.mask & mask) !== 0) at = Math.max(at, endOf(part.job))
    at = Math.max(at, enoughAt(row, needed, endOf, now))
    if (best === undefined || at < best.at) best = { row, mask, at }
  }
  return best
}

/** When slots, processors and memory suffice, taking the ends in their order. */
function enoughAt (row: Row, needed: Amounts, endOf: (job: string) => number, now: number): number {
  let held = add(row.standing, row.taken)
  if (within(row.worker, add(held, needed))) return now
  for (const part of [...row.parts].sort((one, other) => endOf(one.job) - endOf(other.job))) {
    held = { ...held, slots: held.slots - part.slots, processors: held.processors - part.processors, memoryMegabytes: held.memoryMegabytes - part.memoryMegabytes }
    if (within(row.worker, add(held, needed))) return endOf(part.job)
  }
  return Infinity
}

/**
 * When a job that holds a place is expected to end.
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
  return end > now ? end : now + (now - startedAt) * OVERRUN
}
