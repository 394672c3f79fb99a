/** What it costs to stop a run: the work that is lost, and more where its job then misses its objective. */
import { workOf } from './free-capacity'
import type { Queue } from './document'
import type { GangRun, StepJob, StepSpecification } from './model'
import { objectiveMilliseconds } from './waiting-gangs'

/** Time that a task takes to resume from its checkpoint. */
const RESTORE_MILLISECONDS = 600
/** Time that a stopped gang usually waits before it starts again: a stop elsewhere, or the end of a short task. */
const RESTART_WAIT_MILLISECONDS = 1_000

/** A run that may be stopped. */
export interface StoppableRun {
  readonly job: StepJob
  readonly queue: Queue
  readonly step: StepSpecification
  readonly run: GangRun
}

/**
 * The work that a stop loses.
 * @param stoppable - the run
 * @param now - milliseconds since the epoch
 * @returns processor-seconds; for work with checkpoints, the time to resume
 */
export function lostWork (stoppable: StoppableRun, now: number): number {
  const { step, run: { startedAt, members } } = stoppable
  return members.length * workOf(step, step.checkpoints ? RESTORE_MILLISECONDS : now - startedAt)
}

/**
 * Load: urgent work within a guarantee reclaims capacity from urgent work beyond another, which has just begun and loses
 * little work, but has too little slack to begin again, while older work of a lower priority could still be in time.
 * @param stoppable - the run
 * @param now - milliseconds since the epoch
 * @returns the lost work; and the gang's whole work where a stop makes its job late, in processor-seconds
 */
export function costOfStop (stoppable: StoppableRun, now: number): number {
  const { step, run } = stoppable
  const lost = lostWork(stoppable, now)
  return becomesLate(stoppable, now) ? lost + run.members.length * workOf(step, step.estimateMilliseconds) : lost
}

function becomesLate ({ job, queue, step, run }: StoppableRun, now: number): boolean {
  const due = job.acceptedAt + objectiveMilliseconds(job, queue)
  const undisturbedEnd = run.startedAt + step.estimateMilliseconds
  const remaining = step.checkpoints ? Math.max(0, undisturbedEnd - now) + RESTORE_MILLISECONDS : step.estimateMilliseconds
  return undisturbedEnd <= due && now + RESTART_WAIT_MILLISECONDS + remaining > due
}
