/** How much accepted work waits, by account and queue. Updated with each change of a job, so that a submission needs no pass over all jobs. */
import type { Map as ImmutableMap } from 'immutable'
import { stepJobEnded, type StepJob, type StepJobSpecification } from '../model'

/** An amount of waiting work. */
export interface WorkSize {
  readonly jobs: number
  readonly tasks: number
  /** Approximate size of the specifications; tasks are bounded by their number. */
  readonly bytes: number
}

/** An account's waiting work in one queue. */
export interface WaitingWork extends WorkSize {
  readonly account: string
  readonly queue: string
}

/** Waiting work by {@link waitingKey}; accounts without any are absent. Derived from the jobs. */
export type WaitingWorkIndex = ImmutableMap<string, WaitingWork>

/** The zero of {@link addWork}. */
export const noWork: WorkSize = { jobs: 0, tasks: 0, bytes: 0 }

/** Approximate size of a step without its texts, in bytes. */
const STEP_BYTES = 200
/** Size of a reference to an earlier step, in bytes. */
const REFERENCE_BYTES = 8

/**
 * Makes the key of an account's work in a queue.
 * @param account - name of the account
 * @param queue - name of the queue
 * @returns a text that no other pair of names has
 */
export function waitingKey (account: string, queue: string): string {
  return JSON.stringify([account, queue])
}

/**
 * Adds or subtracts amounts of work.
 * @param one - the first operand
 * @param other - the second operand
 * @param sign - 1 to add the second operand, -1 to subtract it
 * @returns the sum or difference
 */
export function addWork (one: WorkSize, other: WorkSize, sign: 1 | -1 = 1): WorkSize {
  return { jobs: one.jobs + sign * other.jobs, tasks: one.tasks + sign * other.tasks, bytes: one.bytes + sign * other.bytes }
}

/**
 * Measures a job of which no task has started.
 * @param job - the job as submitted
 * @returns its size
 */
export function submittedSize (job: StepJobSpecification): WorkSize {
  return { jobs: 1, tasks: job.steps.reduce((sum, { tasks }) => sum + tasks, 0), bytes: specificationBytes(job) }
}

function specificationBytes ({ payload, steps }: StepJobSpecification): number {
  return steps.reduce((sum, { label, dataRack, after }) => sum + STEP_BYTES + label.length + dataRack.length + REFERENCE_BYTES * after.length, payload.length)
}

/** Waiting work of each version of a job, cached because each version is counted once when it comes and once when it is replaced. */
const sizes = new WeakMap<StepJob, WorkSize>()

/** The tasks that neither run nor are done. A job with such tasks counts with its whole specification. */
function waitingSize (job: StepJob): WorkSize {
  const known = sizes.get(job)
  if (known !== undefined) return known
  const tasks = stepJobEnded(job) ? 0 : job.gangs.reduce((sum, gangs) => gangs.reduce((count, { done, run, size }) => count + (done || run !== undefined ? 0 : size), sum), 0)
  const size = tasks === 0 ? noWork : { jobs: 1, tasks, bytes: specificationBytes(job.specification) }
  sizes.set(job, size)
  return size
}

/**
 * Updates the index for a change of a job.
 * @param index - the index before
 * @param before - the job before; undefined for a new one
 * @param job - the job after
 * @returns the index after
 */
export function updateWaitingWork (index: WaitingWorkIndex, before: StepJob | undefined, job: StepJob): WaitingWorkIndex {
  const change = addWork(waitingSize(job), before === undefined ? noWork : waitingSize(before), -1)
  if (change.jobs === 0 && change.tasks === 0) return index
  const { account, queue: { name: queue } } = job
  const key = waitingKey(account, queue)
  const { jobs, tasks, bytes } = addWork(index.get(key) ?? noWork, change)
  return jobs === 0 ? index.delete(key) : index.set(key, { account, queue, jobs, tasks, bytes })
}
