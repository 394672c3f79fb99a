/** Chooses the gangs to stop so that a gang of a higher priority can start, with as little lost work as possible. */
import { gangIndex } from './gang-index'
import { queueOfJob } from './jobs'
import { addResources, gangOf, noResources, type GangRun, type WorkerIncarnation, type Resources, type StepJob, type StepSpecification, type StepState } from './model'
import type { WaitingGang } from './waiting-gangs'
import type { FreeCapacity, TaskRequirements } from './free-capacity'
import { fitsInto } from './resources'
import type { GangKey, TaskPlacement } from './transactions'
import type { RunKey } from './run'

/** Weight of one accelerator in the cost of lost work, in thousandths of a processor. */
const PROCESSORS_PER_ACCELERATOR = 8_000
/** Share by which each earlier attempt raises a gang's cost, so that the same gang is not preempted again and again. */
const REPEATED_STOP_WEIGHT = 0.5
/** Time that a task takes to resume from its checkpoint. */
const RESTORE_MILLISECONDS = 600

/** A gang that may be stopped. */
export interface Victim extends GangKey {
  readonly attempt: number
  readonly members: ReadonlyArray<{ readonly incarnation: string }>
  /** Resources that each member holds. */
  readonly taskResources: StepSpecification
  /** Work that a stop would lose, in processor-seconds, with the whole work of a gang of the same priority; raised for each earlier attempt. */
  readonly cost: number
  readonly losesWork: boolean
}

/** The gangs to stop for a waiting gang, and where that gang is then placed. */
export interface PreemptionPlan {
  readonly placements: readonly TaskPlacement[]
  readonly victims: readonly Victim[]
  readonly cost: number
}

/**
 * Lists the gangs that may be preempted for a waiting gang.
 * @param state - state of the step jobs
 * @param waiting - the gang that needs capacity
 * @param guaranteed - identifiers of the jobs that are covered by their account's guarantee
 * @param now - milliseconds since the epoch
 * @returns the possible victims by incarnation
 */
export function victimsFor (state: StepState, waiting: WaitingGang, guaranteed: ReadonlySet<string>, now: number): Map<string, Victim[]> {
  const byWorker = new Map<string, Victim[]>()
  for (const identifier of state.open) {
    const job = state.jobs.get(identifier)
    if (job === undefined || !mayPreempt(state, job, waiting, guaranteed)) continue
    for (const victim of victimsOf(state, job, waiting, now)) {
      for (const incarnation of new Set(victim.members.map((member) => member.incarnation))) {
        byWorker.set(incarnation, [...byWorker.get(incarnation) ?? [], victim])
      }
    }
  }
  return byWorker
}

function mayPreempt (state: StepState, job: StepJob, waiting: WaitingGang, guaranteed: ReadonlySet<string>): boolean {
  const { priority } = queueOfJob(state, job)
  if (priority > waiting.queue.priority) return true
  return waiting.guaranteed && priority === waiting.queue.priority && !guaranteed.has(job.identifier)
}

/** Without a guarantee, only gangs with checkpoints may be preempted. */
function victimsOf (state: StepState, job: StepJob, { guaranteed, queue }: WaitingGang, now: number): Victim[] {
  const samePriority = queueOfJob(state, job).priority === queue.priority
  return gangIndex(job).running.flatMap((positions, number) => positions.flatMap((position): Victim[] => {
    const gang = job.gangs[number]![position]!
    const { run } = gang
    const step = job.specification.steps[number]
    if (run === undefined || step === undefined || run.stopping !== undefined || gang.done) return []
    if (!guaranteed && !step.checkpoints) return []
    const members = run.members.filter(({ ended }) => !ended)
    // Work of the same priority has as little slack as the gang it yields to, so that a stop makes it late.
    const lateWork = samePriority ? processorSeconds(step, members.length, step.estimateMilliseconds) : 0
    const cost = (lostWork(step, run, now) + lateWork) * (1 + REPEATED_STOP_WEIGHT * (run.attempt - 1))
    return [{ job: job.identifier, step: number, gang: position, attempt: run.attempt, members, taskResources: step, cost, losesWork: !step.checkpoints }]
  }))
}

function lostWork (step: StepSpecification, { startedAt, members }: GangRun, now: number): number {
  return processorSeconds(step, members.length, step.checkpoints ? RESTORE_MILLISECONDS : now - startedAt)
}

function processorSeconds ({ processors, accelerators }: StepSpecification, members: number, milliseconds: number): number {
  return members * milliseconds * (processors + PROCESSORS_PER_ACCELERATOR * accelerators) / 1e6
}

/**
 * Counts the resources of all runs that are about to end as free: stopping runs, and remaining runs of gangs that are done.
 * @param state - state of the step jobs
 * @param capacity - the capacity to which they are added
 */
export function releaseStopping (state: StepState, capacity: FreeCapacity): void {
  for (const worker of state.incarnations.values()) {
    for (const key of worker.runs.values()) {
      const held = stoppingResources(state, key)
      if (held !== undefined) capacity.release(worker.incarnation, held)
    }
  }
}

function stoppingResources (state: StepState, key: RunKey): Resources | undefined {
  const job = state.jobs.get(key.job)
  const gang = gangOf(job, key)
  const ending = gang === undefined || gang.done || gang.run?.stopping !== undefined
  return ending ? job?.specification.steps[key.step] : undefined
}

/**
 * Plans preemptions that let a gang start on some workers. The plan is greedy: for each task in turn, it takes the worker where the cost is lowest.
 * @param waiting - the gang
 * @param workers - the eligible workers
 * @param victims - the possible victims by incarnation
 * @param capacity - free capacity, with that of stopping runs counted as free
 * @returns the plan, or undefined where stopping all victims would not free enough capacity
 */
export function planPreemption (waiting: WaitingGang, workers: readonly WorkerIncarnation[], victims: ReadonlyMap<string, readonly Victim[]>, capacity: FreeCapacity): PreemptionPlan | undefined {
  const trial = capacity.copy(workers)
  const stopped = new Set<Victim>()
  const placements: TaskPlacement[] = []
  const { requirements, gang } = waiting
  for (let task = gang.first; task < gang.first + gang.size; task++) {
    let best: PreemptionOption | undefined
    for (const { incarnation } of workers) {
      const option = cheapestOption(incarnation, requirements, victims.get(incarnation) ?? [], stopped, trial)
      if (option !== undefined && (best === undefined || option.cost < best.cost || (option.cost === best.cost && option.freeAccelerators < best.freeAccelerators))) best = option
    }
    if (best === undefined) return undefined
    for (const victim of best.victims) {
      stopped.add(victim)
      for (const { incarnation } of victim.members) trial.release(incarnation, victim.taskResources)
    }
    trial.allocate(best.incarnation, requirements)
    placements.push({ task, incarnation: best.incarnation })
  }
  return { placements, victims: [...stopped], cost: [...stopped].reduce((sum, { cost }) => sum + cost, 0) }
}

interface PreemptionOption {
  readonly incarnation: string
  readonly victims: readonly Victim[]
  readonly cost: number
  readonly freeAccelerators: number
}

/** Adds the cheapest victims until one task fits, then drops those that turn out to be unnecessary. */
function cheapestOption (incarnation: string, requirements: TaskRequirements, candidates: readonly Victim[], stopped: ReadonlySet<Victim>, capacity: FreeCapacity): PreemptionOption | undefined {
  if (!capacity.isWithinTaskLimit(incarnation, requirements)) return undefined
  let free = capacity.freeOn(incarnation)
  const freeAccelerators = free.accelerators
  const chosen: Victim[] = []
  if (!fitsInto(free, requirements)) {
    for (const victim of candidates.filter((candidate) => !stopped.has(candidate)).sort((one, other) => one.cost - other.cost)) {
      if (fitsInto(free, requirements)) break
      free = addResources(free, resourcesHeldOn(incarnation, victim))
      chosen.push(victim)
    }
  }
  if (!fitsInto(free, requirements)) return undefined
  const victims = chosen.filter((victim) => {
    const without = addResources(free, resourcesHeldOn(incarnation, victim), -1)
    if (!fitsInto(without, requirements)) return true
    free = without
    return false
  })
  return { incarnation, victims, cost: victims.reduce((sum, { cost }) => sum + cost, 0), freeAccelerators }
}

/** Resources that a gang holds on one worker. */
function resourcesHeldOn (incarnation: string, { members, taskResources }: Victim): Resources {
  return members.reduce((sum, member) => member.incarnation === incarnation ? addResources(sum, taskResources) : sum, noResources)
}
