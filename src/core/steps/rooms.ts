/** The free room of each worker while placements are tried. */
import { addResources, type Life, type Resources, type StepSpecification } from './model'
import type { RunKey } from './run'
import type { TaskPlacement } from './transactions'

/** What one task needs of a worker. */
export interface TaskNeed extends Resources {
  /** Names the step, unique in the deployment. */
  readonly step: string
  /** Most tasks of the step on one worker; 0 for no limit. */
  readonly mostPerWorker: number
  /** A stop loses the work done so far. */
  readonly losesWork: boolean
}

/**
 * What a task of a step needs.
 * @param job - identifier of the job
 * @param number - number of the step
 * @param step - the step
 * @returns the need
 */
export function needOf (job: string, number: number, step: StepSpecification): TaskNeed {
  const { processors, memoryMegabytes, accelerators, mostPerWorker, checkpoints } = step
  return { step: `${job}.${number}`, processors, memoryMegabytes, accelerators, mostPerWorker, losesWork: !checkpoints }
}

/** Free room by incarnation. What is taken in a trial is undone, or the trial is made on a copy. */
export class Rooms {
  private constructor (
    private readonly free: Map<string, Resources>, private readonly tasks: Map<string, number>, private readonly losing: Map<string, number>
  ) {}

  /**
   * Measures the free room.
   * @param lives - the workers
   * @param losesWork - the accelerators of a run whose work a stop would lose, 0 for others
   * @returns the room of each
   */
  static of (lives: Iterable<Life>, losesWork: (key: RunKey) => number = () => 0): Rooms {
    const rooms = new Rooms(new Map(), new Map(), new Map())
    for (const life of lives) {
      rooms.free.set(life.incarnation, addResources(life, life.used, -1))
      for (const key of life.runs.values()) {
        rooms.count(life.incarnation, `${key.job}.${key.step}`)
        rooms.losing.set(life.incarnation, rooms.lost(life.incarnation) + losesWork(key))
      }
    }
    return rooms
  }

  /** A copy to try something on. */
  copy (): Rooms {
    return new Rooms(new Map(this.free), new Map(this.tasks), new Map(this.losing))
  }

  /** The free room of a worker. */
  of (incarnation: string): Resources {
    return this.free.get(incarnation) ?? none
  }

  /** Accelerators there that are held by work which a stop would lose. */
  lost (incarnation: string): number {
    return this.losing.get(incarnation) ?? 0
  }

  /** Whether one more task may run there. */
  holds (incarnation: string, need: TaskNeed): boolean {
    return this.allows(incarnation, need) && fitsInto(this.of(incarnation), need)
  }

  /** Whether the limit of tasks on one worker leaves room for one more. */
  allows (incarnation: string, { step, mostPerWorker }: TaskNeed): boolean {
    return mostPerWorker === 0 || (this.tasks.get(`${incarnation} ${step}`) ?? 0) < mostPerWorker
  }

  /** Takes room for one task; negative room means that it is not free yet. */
  take (incarnation: string, need: TaskNeed): void {
    this.free.set(incarnation, addResources(this.of(incarnation), need, -1))
    this.count(incarnation, need.step)
    if (need.losesWork) this.losing.set(incarnation, this.lost(incarnation) + need.accelerators)
  }

  /** Takes one task back that was taken in a trial. */
  undo (incarnation: string, need: TaskNeed): void {
    this.give(incarnation, need)
    this.count(incarnation, need.step, -1)
    if (need.losesWork) this.losing.set(incarnation, this.lost(incarnation) - need.accelerators)
  }

  /** Gives room back. */
  give (incarnation: string, released: Resources): void {
    this.free.set(incarnation, addResources(this.of(incarnation), released))
  }

  private count (incarnation: string, step: string, by = 1): void {
    const name = `${incarnation} ${step}`
    this.tasks.set(name, (this.tasks.get(name) ?? 0) + by)
  }
}

/**
 * Tells whether a task fits.
 * @param free - free room
 * @param needed - what the task holds
 * @returns true where nothing is exceeded
 */
export function fitsInto (free: Resources, needed: Resources): boolean {
  return needed.processors <= free.processors && needed.memoryMegabytes <= free.memoryMegabytes && needed.accelerators <= free.accelerators
}

const none: Resources = { processors: -1, memoryMegabytes: -1, accelerators: -1 }

/**
 * Places tasks where the least is left over, so that whole workers stay free for wide tasks.
 * @param need - what each task needs
 * @param tasks - positions of the tasks
 * @param workers - the workers that may be used
 * @param rooms - free room; the placements are taken from it where all tasks found one
 * @returns a worker for each task, or nothing where they do not all fit
 */
export function placeTasks (need: TaskNeed, tasks: readonly number[], workers: readonly Life[], rooms: Rooms): TaskPlacement[] | undefined {
  const placements: TaskPlacement[] = []
  for (const task of tasks) {
    const chosen = tightest(need, workers, rooms)
    if (chosen === undefined) {
      for (const { incarnation } of placements) rooms.undo(incarnation, need)
      return undefined
    }
    rooms.take(chosen.incarnation, need)
    placements.push({ task, incarnation: chosen.incarnation })
  }
  return placements
}

function tightest (need: TaskNeed, workers: readonly Life[], rooms: Rooms): Life | undefined {
  let best: Life | undefined
  let least = Infinity
  for (const life of workers) {
    if (!rooms.holds(life.incarnation, need)) continue
    const left = leftover(rooms.of(life.incarnation), life) + MIXING_WEIGHT * (need.losesWork ? -1 : 1) * rooms.lost(life.incarnation)
    if (left < least) { best = life; least = left }
  }
  return best
}

/**
 * Weight of the accelerators held by work that a stop would lose, against free ones: such work is put together, and work
 * with checkpoints apart from it, so that stopping the latter frees whole workers.
 */
const MIXING_WEIGHT = 1.5

/** Accelerators count first, then the scarcer of processors and memory. */
function leftover (free: Resources, life: Life): number {
  const share = Math.min(free.processors / Math.max(1, life.processors), free.memoryMegabytes / Math.max(1, life.memoryMegabytes))
  return free.accelerators + share
}
