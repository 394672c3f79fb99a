/** Lists the waiting gangs in scheduling order. */
import type { Queue } from './document'
import { gangIndex } from './gang-index'
import { queueOfJob } from './jobs'
import { stepJobEnded, type Gang, type StepJob, type StepSpecification, type StepState } from './model'
import { requirementsOf, type TaskRequirements } from './free-capacity'
import { stepsDone } from './runs'
import { initialAccelerators } from './specification'
import type { GangKey } from './transactions'

/** Multiple of its objective after which completing a job no longer has any value. */
const MAX_USEFUL_OBJECTIVES = 3

/** A gang that is ready to start: it is not running, and the steps before it are done. */
export interface WaitingGang {
  readonly key: GangKey
  readonly job: StepJob
  readonly queue: Queue
  readonly step: StepSpecification
  readonly requirements: TaskRequirements
  readonly gang: Gang
  /** Its job is covered by its account's guarantee. */
  readonly guaranteed: boolean
  readonly forecast: CompletionForecast
}

/**
 * Lists the tasks of a gang.
 * @param waiting - the gang
 * @returns their positions within the step
 */
export function taskPositions (waiting: WaitingGang): number[] {
  const { gang } = waiting
  return Array.from({ length: gang.size }, (_, position) => gang.first + position)
}

/** When a job would complete, relative to its objective, if its remaining work started now. Declared in scheduling order. */
export enum CompletionForecast {
  /** Within its objective. */
  OnTime,
  /** After its objective, when completion still has part of its value. */
  Late,
  /** So late that completion has no value. */
  Worthless
}

/**
 * Lists the waiting gangs in scheduling order, first come first served among equals. When a burst exceeds the capacity,
 * work that is already late yields to work that can still meet its objective; otherwise one late job would make every job
 * after it late as well. Of a step with very many waiting gangs, only the first ones are listed, see {@link gangIndex}.
 * @param state - state of the step jobs
 * @param guaranteed - see {@link guaranteeCoverage}
 * @param now - milliseconds since the epoch
 * @returns sorted by priority, where jobs without remaining value come last; then guaranteed jobs first; then by forecast, then by age
 */
export function waitingGangs (state: StepState, guaranteed: ReadonlySet<string>, now: number): WaitingGang[] {
  const waiting: WaitingGang[][] = []
  for (const identifier of state.open) {
    const job = state.jobs.get(identifier)
    if (job === undefined || stepJobEnded(job)) continue
    for (const gangs of waitingOf(state, job, guaranteed.has(identifier), now)) waiting.push(gangs)
  }
  // The gangs of a step are adjacent in the order, so only the steps are sorted.
  return waiting.sort(([one], [other]) => compare(one!, other!)).flat()
}

/** The waiting gangs of each step that has any, in order of their position. */
function waitingOf (state: StepState, job: StepJob, guaranteed: boolean, now: number): WaitingGang[][] {
  const queue = queueOfJob(state, job)
  const { waiting } = gangIndex(job)
  if (waiting.every(({ length }) => length === 0)) return []
  const forecast = forecastOf(job, queue, now)
  return job.specification.steps.flatMap((step, number) => {
    const positions = waiting[number] ?? []
    if (positions.length === 0) return []
    const requirements = requirementsOf(job.identifier, number, step)
    return [positions.map((position): WaitingGang => (
      { key: { job: job.identifier, step: number, gang: position }, job, queue, step, requirements, gang: job.gangs[number]![position]!, guaranteed, forecast }
    ))]
  })
}

/**
 * Compares two gangs in scheduling order, without regard to their accounts.
 * @param one - the first gang
 * @param other - the second gang
 * @returns negative where the first gang comes first
 */
export function compare (one: WaitingGang, other: WaitingGang): number {
  return compareRanks(rankOf(one), rankOf(other)) ||
    Number(other.guaranteed) - Number(one.guaranteed) ||
    one.forecast - other.forecast ||
    one.job.acceptedAt - other.job.acceptedAt ||
    (one.job.identifier < other.job.identifier ? -1 : Number(one.job.identifier > other.job.identifier)) ||
    one.key.step - other.key.step
}

/** Subtracting two infinite ranks would give NaN. */
function compareRanks (one: number, other: number): number {
  return one === other ? 0 : one - other
}

/**
 * Ranks a gang: by the priority of its queue, but work without remaining value runs only when nothing else needs the
 * capacity. Urgent work keeps its rank in any case.
 * @param waiting - the gang
 * @returns 0 for the first rank
 */
export function rankOf (waiting: WaitingGang): number {
  const { queue, forecast } = waiting
  return forecast === CompletionForecast.Worthless && queue.priority > 0 ? Infinity : queue.priority
}

/**
 * Forecasts when the job of a gang would complete if its remaining work started now on workers of a given pace.
 * @param waiting - the gang
 * @param now - milliseconds since the epoch
 * @param pace - pace of the workers, 1 for the usual one
 * @returns the forecast
 */
export function forecastAtPace (waiting: WaitingGang, now: number, pace: number): CompletionForecast {
  return forecastOf(waiting.job, waiting.queue, now, pace)
}

function forecastOf (job: StepJob, queue: Queue, now: number, pace = 1): CompletionForecast {
  const duration = now + remainingCriticalPath(job) / pace - job.acceptedAt
  const objective = objectiveMilliseconds(job, queue)
  if (duration <= objective) return CompletionForecast.OnTime
  return duration <= MAX_USEFUL_OBJECTIVES * objective ? CompletionForecast.Late : CompletionForecast.Worthless
}

/**
 * The time from acceptance in which a job should complete.
 * @param job - the job
 * @param queue - its queue
 * @returns milliseconds: the critical path times the queue's slack factor, plus the queue's target latency
 */
export function objectiveMilliseconds (job: StepJob, queue: Queue): number {
  return queue.slackFactor * criticalPath(job, () => true) + queue.targetLatencyMilliseconds
}

/** Length of the critical path through the steps that are not done, in milliseconds. */
function remainingCriticalPath (job: StepJob): number {
  return criticalPath(job, (step) => !stepsDone(job, [step]))
}

function criticalPath (job: StepJob, counts: (step: number) => boolean): number {
  const ends: number[] = []
  for (const [number, { after, estimateMilliseconds }] of job.specification.steps.entries()) {
    const begin = Math.max(0, ...after.map((earlier) => ends[earlier] ?? 0))
    ends.push(begin + (counts(number) ? estimateMilliseconds : 0))
  }
  return Math.max(0, ...ends)
}

/** The jobs of priority 0 that the guarantees of their accounts cover, both waiting and running. */
export interface GuaranteeCoverage {
  /** Identifiers of the covered jobs. */
  readonly jobs: ReadonlySet<string>
  /** Accelerators guaranteed to each account. */
  readonly guaranteed: ReadonlyMap<string, number>
  /** Accelerators of each account's guarantee that covered jobs do not need. */
  readonly remaining: ReadonlyMap<string, number>
}

/**
 * Finds the jobs of priority 0 that the guarantees of their accounts cover. Older jobs are covered first.
 * @param state - state of the step jobs
 * @returns the coverage
 */
export function guaranteeCoverage (state: StepState): GuaranteeCoverage {
  const accounts = state.document?.document.accounts ?? []
  const guaranteed = new Map(accounts.map(({ name, guaranteedAccelerators }) => [name, guaranteedAccelerators]))
  const remaining = new Map(guaranteed)
  const jobs = new Set<string>()
  for (const job of urgentJobs(state)) {
    const after = (remaining.get(job.account) ?? 0) - initialAccelerators(job.specification)
    if (after < 0) continue
    remaining.set(job.account, after)
    jobs.add(job.identifier)
  }
  return { jobs, guaranteed, remaining }
}

function urgentJobs (state: StepState): StepJob[] {
  return state.open.toArray()
    .map((identifier) => state.jobs.get(identifier))
    .filter((job): job is StepJob => job !== undefined && !stepJobEnded(job) && queueOfJob(state, job).priority === 0)
    .sort((one, other) => one.acceptedAt - other.acceptedAt || (one.identifier < other.identifier ? -1 : 1))
}
