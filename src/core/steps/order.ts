/** Which gangs wait, and in which order they are looked at. */
import type { Queue } from './document'
import { queueOfJob } from './jobs'
import { stepJobEnded, type Gang, type StepJob, type StepSpecification, type StepState } from './model'
import { needOf, type TaskNeed } from './rooms'
import { stepsDone } from './runs'
import { firstStepAccelerators } from './specification'
import type { GangKey } from './transactions'

/** A job is worth something until so many times its objective have passed. */
const WORTH_UNTIL_OBJECTIVES = 3

/** A gang that could start if there were room. */
export interface WaitingGang {
  readonly key: GangKey
  readonly job: StepJob
  readonly queue: Queue
  readonly step: StepSpecification
  readonly need: TaskNeed
  readonly gang: Gang
  /** The accelerators are its account's own by guarantee. */
  readonly guaranteed: boolean
  readonly prospect: Prospect
}

/**
 * The tasks of a gang.
 * @param waiting - the gang
 * @returns their positions in the step
 */
export function tasksOf (waiting: WaitingGang): number[] {
  const { gang } = waiting
  return Array.from({ length: gang.size }, (_, position) => gang.first + position)
}

/** What a job can still be worth if its work starts now, the best first. */
export enum Prospect {
  /** Completed within its objective. */
  InTime,
  /** Completed late, for a part of its worth. */
  Late,
  /** Too late to be worth anything. */
  Hopeless
}

/**
 * Lists the waiting gangs, first come first served within their class. In a burst beyond the capacity, work that is late
 * already lets pass what can still be in time: one late job then does not make all that come after it late as well.
 * @param state - the jobs of steps
 * @param guaranteed - see {@link guaranteedJobs}
 * @param now - milliseconds since the epoch
 * @returns by priority, with hopeless ones after all others; guaranteed ones first; then by prospect, then by age
 */
export function waitingGangs (state: StepState, guaranteed: ReadonlySet<string>, now: number): WaitingGang[] {
  const waiting: WaitingGang[] = []
  for (const identifier of state.open) {
    const job = state.jobs.get(identifier)
    if (job === undefined || stepJobEnded(job)) continue
    waiting.push(...waitingOf(state, job, guaranteed.has(identifier), now))
  }
  return waiting.sort(compare)
}

function waitingOf (state: StepState, job: StepJob, guaranteed: boolean, now: number): WaitingGang[] {
  const queue = queueOfJob(state, job)
  const prospect = prospectOf(job, queue, now)
  return job.specification.steps.flatMap((step, number) => {
    if (!stepsDone(job, step.after)) return []
    const gangs = job.gangs[number] ?? []
    const need = needOf(job.identifier, number, step)
    return gangs.flatMap((gang, position): WaitingGang[] => {
      if (gang.done || gang.run !== undefined) return []
      return [{ key: { job: job.identifier, step: number, gang: position }, job, queue, step, need, gang, guaranteed, prospect }]
    })
  })
}

function compare (one: WaitingGang, other: WaitingGang): number {
  return compareRanks(rankOf(one), rankOf(other)) ||
    Number(other.guaranteed) - Number(one.guaranteed) ||
    one.prospect - other.prospect ||
    one.job.acceptedAt - other.job.acceptedAt ||
    (one.job.identifier < other.job.identifier ? -1 : Number(one.job.identifier > other.job.identifier)) ||
    one.key.step - other.key.step || one.key.gang - other.key.gang
}

/** Two infinite ranks are equal. */
function compareRanks (one: number, other: number): number {
  return one === other ? 0 : one - other
}

/** Work that is worth nothing any more runs when nothing else wants the room; urgent work keeps its place. */
function rankOf ({ queue, prospect }: WaitingGang): number {
  return prospect === Prospect.Hopeless && queue.priority > 0 ? Infinity : queue.priority
}

function prospectOf (job: StepJob, queue: Queue, now: number): Prospect {
  const took = now + remainingMilliseconds(job) - job.acceptedAt
  const objective = objectiveMilliseconds(job, queue)
  if (took <= objective) return Prospect.InTime
  return took <= WORTH_UNTIL_OBJECTIVES * objective ? Prospect.Late : Prospect.Hopeless
}

/**
 * The time in which a job should be completed.
 * @param job - the job
 * @param queue - its queue
 * @returns milliseconds from acceptance: the longest chain with the queue's slack, and its target latency
 */
export function objectiveMilliseconds (job: StepJob, queue: Queue): number {
  return queue.slackFactor * longestChain(job, () => true) + queue.targetLatencyMilliseconds
}

/** The longest chain of steps that are not done yet. */
function remainingMilliseconds (job: StepJob): number {
  return longestChain(job, (step) => !stepsDone(job, [step]))
}

function longestChain (job: StepJob, counts: (step: number) => boolean): number {
  const ends: number[] = []
  for (const [number, { after, estimateMilliseconds }] of job.specification.steps.entries()) {
    const begin = Math.max(0, ...after.map((earlier) => ends[earlier] ?? 0))
    ends.push(begin + (counts(number) ? estimateMilliseconds : 0))
  }
  return Math.max(0, ...ends)
}

/**
 * The jobs of priority 0 that their account's guarantee covers, the oldest first.
 * @param state - the jobs of steps
 * @returns identifiers of waiting and running jobs
 */
export function guaranteedJobs (state: StepState): ReadonlySet<string> {
  const accounts = state.document?.document.accounts ?? []
  const left = new Map(accounts.map(({ name, guaranteedAccelerators }) => [name, guaranteedAccelerators]))
  const covered = new Set<string>()
  for (const job of urgentJobs(state)) {
    const after = (left.get(job.account) ?? 0) - firstStepAccelerators(job.specification)
    if (after < 0) continue
    left.set(job.account, after)
    covered.add(job.identifier)
  }
  return covered
}

function urgentJobs (state: StepState): StepJob[] {
  return state.open.toArray()
    .map((identifier) => state.jobs.get(identifier))
    .filter((job): job is StepJob => job !== undefined && !stepJobEnded(job) && queueOfJob(state, job).priority === 0)
    .sort((one, other) => one.acceptedAt - other.acceptedAt || (one.identifier < other.identifier ? -1 : 1))
}
