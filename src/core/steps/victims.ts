/** What is stopped so that a gang of a higher priority can start: as little lost work as possible. */
import { queueOfJob } from './jobs'
import { addResources, gangOf, noResources, type GangRun, type Life, type Resources, type StepJob, type StepSpecification, type StepState } from './model'
import type { WaitingGang } from './order'
import { fitsInto, type Rooms, type TaskNeed } from './rooms'
import type { GangKey, TaskPlacement } from './transactions'
import type { RunKey } from './run'

/** Work that one accelerator stands for, in thousandths of a processor. */
const PROCESSORS_PER_ACCELERATOR = 8_000
/** Share by which each earlier attempt raises a gang's cost, so that the same one is not stopped in turns. */
const REPEATED_WEIGHT = 0.5
/** Time that a task takes to go on from its checkpoint, in milliseconds. */
const RESTORE_MILLISECONDS = 600

/** A gang that may be stopped. */
export interface Victim extends GangKey {
  readonly attempt: number
  readonly members: ReadonlyArray<{ readonly incarnation: string }>
  /** What each member holds. */
  readonly needs: StepSpecification
  /** Work that would be lost, in processor-seconds; more for a gang that was stopped before. */
  readonly cost: number
  readonly losesWork: boolean
}

/** Room made by stopping gangs. */
export interface RoomPlan {
  readonly placements: readonly TaskPlacement[]
  readonly victims: readonly Victim[]
  readonly cost: number
}

/**
 * The gangs that may be stopped for a waiting one.
 * @param state - the jobs of steps
 * @param waiting - the gang that needs the room
 * @param guaranteed - identifiers of the jobs that run on accelerators of their own account
 * @param now - milliseconds since the epoch
 * @returns the victims by worker
 */
export function victimsFor (state: StepState, waiting: WaitingGang, guaranteed: ReadonlySet<string>, now: number): Map<string, Victim[]> {
  const byWorker = new Map<string, Victim[]>()
  for (const identifier of state.open) {
    const job = state.jobs.get(identifier)
    if (job === undefined || !mayStop(state, job, waiting, guaranteed)) continue
    for (const victim of victimsOf(job, waiting.guaranteed, now)) {
      for (const incarnation of new Set(victim.members.map((member) => member.incarnation))) {
        byWorker.set(incarnation, [...byWorker.get(incarnation) ?? [], victim])
      }
    }
  }
  return byWorker
}

function mayStop (state: StepState, job: StepJob, waiting: WaitingGang, guaranteed: ReadonlySet<string>): boolean {
  const { priority } = queueOfJob(state, job)
  if (priority > waiting.queue.priority) return true
  return waiting.guaranteed && priority === waiting.queue.priority && !guaranteed.has(job.identifier)
}

/** Without a guarantee only work that loses nothing is stopped. */
function victimsOf (job: StepJob, guaranteed: boolean, now: number): Victim[] {
  return job.gangs.flatMap((gangs, number) => gangs.flatMap((gang, position): Victim[] => {
    const { run } = gang
    const step = job.specification.steps[number]
    if (run === undefined || step === undefined || run.stopping !== undefined || gang.done) return []
    if (!guaranteed && !step.checkpoints) return []
    const members = run.members.filter(({ ended }) => !ended)
    const cost = lostWork(step, run, now) * (1 + REPEATED_WEIGHT * (run.attempt - 1))
    return [{ job: job.identifier, step: number, gang: position, attempt: run.attempt, members, needs: step, cost, losesWork: !step.checkpoints }]
  }))
}

function lostWork (step: StepSpecification, { startedAt, members }: GangRun, now: number): number {
  const lost = step.checkpoints ? RESTORE_MILLISECONDS : now - startedAt
  return members.length * lost * (step.processors + PROCESSORS_PER_ACCELERATOR * step.accelerators) / 1e6
}

/**
 * Gives the room of all runs that are being stopped to a trial: it becomes free by itself.
 * @param state - the jobs of steps
 * @param rooms - the trial
 */
export function giveStopping (state: StepState, rooms: Rooms): void {
  for (const life of state.lives.values()) {
    for (const key of life.runs.values()) {
      const held = stoppingResources(state, key)
      if (held !== undefined) rooms.give(life.incarnation, held)
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
 * Plans the cheapest way to make room for a gang on some workers, one task after another.
 * @param waiting - the gang
 * @param workers - the workers that may be used
 * @param victims - what may be stopped, by worker
 * @param rooms - free room, with what is being stopped counted as free
 * @returns the plan, or nothing where even stopping everything would not do
 */
export function planRoom (waiting: WaitingGang, workers: readonly Life[], victims: ReadonlyMap<string, readonly Victim[]>, rooms: Rooms): RoomPlan | undefined {
  const trial = rooms.copy(workers)
  const stopped = new Set<Victim>()
  const placements: TaskPlacement[] = []
  const { need, gang } = waiting
  for (let task = gang.first; task < gang.first + gang.size; task++) {
    let best: WorkerOption | undefined
    for (const { incarnation } of workers) {
      const option = cheapestOn(incarnation, need, victims.get(incarnation) ?? [], stopped, trial)
      if (option !== undefined && (best === undefined || option.cost < best.cost || (option.cost === best.cost && option.left < best.left))) best = option
    }
    if (best === undefined) return undefined
    for (const victim of best.victims) {
      stopped.add(victim)
      for (const { incarnation } of victim.members) trial.give(incarnation, victim.needs)
    }
    trial.take(best.incarnation, need)
    placements.push({ task, incarnation: best.incarnation })
  }
  return { placements, victims: [...stopped], cost: [...stopped].reduce((sum, { cost }) => sum + cost, 0) }
}

interface WorkerOption {
  readonly incarnation: string
  readonly victims: readonly Victim[]
  readonly cost: number
  readonly left: number
}

/** The cheapest victims first, until one task fits; then those that turn out not to be needed are let off. */
function cheapestOn (incarnation: string, need: TaskNeed, candidates: readonly Victim[], stopped: ReadonlySet<Victim>, rooms: Rooms): WorkerOption | undefined {
  if (!rooms.allows(incarnation, need)) return undefined
  let free = rooms.of(incarnation)
  const left = free.accelerators
  const chosen: Victim[] = []
  if (!fitsInto(free, need)) {
    for (const victim of candidates.filter((candidate) => !stopped.has(candidate)).sort((one, other) => one.cost - other.cost)) {
      if (fitsInto(free, need)) break
      free = addResources(free, heldOn(incarnation, victim))
      chosen.push(victim)
    }
  }
  if (!fitsInto(free, need)) return undefined
  const victims = chosen.filter((victim) => {
    const without = addResources(free, heldOn(incarnation, victim), -1)
    if (!fitsInto(without, need)) return true
    free = without
    return false
  })
  return { incarnation, victims, cost: victims.reduce((sum, { cost }) => sum + cost, 0), left }
}

/** What a gang holds on one worker. */
function heldOn (incarnation: string, { members, needs }: Victim): Resources {
  return members.reduce((sum, member) => member.incarnation === incarnation ? addResources(sum, needs) : sum, noResources)
}
