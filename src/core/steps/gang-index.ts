/** Positions of the gangs of a job that a scheduling round looks at, so that a round does not visit all gangs of a large job. */
import { isCrashSuspect } from './crash-evidence'
import { stepJobEnded, type Gang, type StepJob } from './model'
import { stepsDone } from './runs'

/**
 * Limit of the waiting gangs of a step that one round considers. They all have the same requirements, so further ones cannot
 * start if these cannot; if these can, another round follows.
 */
const MAX_WAITING_PER_STEP = 1_000

/** Gangs of a job by step, as positions within the step. */
export interface GangIndex {
  /** Gangs that may start, in order: the first ones of each step, and all that are suspected of crashes. */
  readonly waiting: ReadonlyArray<readonly number[]>
  /** Gangs that have a run. */
  readonly running: ReadonlyArray<readonly number[]>
}

/** Jobs are immutable, so the index of one never becomes outdated. */
const indexes = new WeakMap<StepJob, GangIndex>()

/**
 * Lists the gangs of a job that wait or run.
 * @param job - the job
 * @returns their positions
 */
export function gangIndex (job: StepJob): GangIndex {
  const known = indexes.get(job)
  if (known !== undefined) return known
  const index = { waiting: job.gangs.map((gangs, step) => waitingOf(job, gangs, step)), running: job.gangs.map(runningOf) }
  indexes.set(job, index)
  return index
}

function waitingOf (job: StepJob, gangs: readonly Gang[], step: number): number[] {
  const positions: number[] = []
  if (stepJobEnded(job) || !stepsDone(job, job.specification.steps[step]?.after ?? [])) return positions
  for (const [position, gang] of gangs.entries()) {
    if (gang.done || gang.run !== undefined) continue
    if (positions.length < MAX_WAITING_PER_STEP || isCrashSuspect(gang)) positions.push(position)
  }
  return positions
}

function runningOf (gangs: readonly Gang[]): number[] {
  const positions: number[] = []
  for (const [position, gang] of gangs.entries()) if (gang.run !== undefined) positions.push(position)
  return positions
}
