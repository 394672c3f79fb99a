/** The free room of each worker while placements are tried. */
import { addResources, type Life, type Resources, type StepSpecification } from './model'
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

/** What one worker has left. */
export interface WorkerRoom {
  readonly free: Resources
  /** Accelerators held by work which a stop would lose. */
  readonly losing: number
}

/** Free room by incarnation. What is taken in a trial is undone, or the trial is made on a copy. */
export class Rooms {
  private constructor (
    private readonly byWorker: Map<string, WorkerRoom>, private readonly lives: ReadonlyMap<string, Life>,
    /** Tasks placed in a trial, by worker and step, of steps that limit them. */
    private readonly placed: Map<string, number>
  ) {}

  /**
   * Measures the free room.
   * @param lives - the workers
   * @param measure - the room of one worker; without it nothing there counts as lost by a stop
   * @returns the room of each
   */
  static of (lives: Iterable<Life>, measure: (life: Life) => WorkerRoom = freeRoom): Rooms {
    const rooms = new Map<string, WorkerRoom>()
    const known = new Map<string, Life>()
    for (const life of lives) {
      rooms.set(life.incarnation, measure(life))
      known.set(life.incarnation, life)
    }
    return new Rooms(rooms, known, new Map())
  }

  /**
   * The room of workers on which nothing ran.
   * @param lives - the workers
   * @returns the room of each
   */
  static empty (lives: readonly Life[]): Rooms {
    return new Rooms(new Map(lives.map((life) => [life.incarnation, { free: life, losing: 0 }])), new Map(), new Map())
  }

  /**
   * A copy to try something on.
   * @param lives - the only workers that the trial looks at; all by default
   * @returns the copy
   */
  copy (lives?: readonly Life[]): Rooms {
    const rooms = lives === undefined ? this.byWorker : lives.map(({ incarnation }): [string, WorkerRoom] => [incarnation, this.room(incarnation)])
    return new Rooms(new Map(rooms), this.lives, new Map(this.placed))
  }

  /** The free room of a worker. */
  of (incarnation: string): Resources {
    return this.room(incarnation).free
  }

  /** Accelerators there that are held by work which a stop would lose. */
  lost (incarnation: string): number {
    return this.room(incarnation).losing
  }

  /** Whether one more task may run there. */
  holds (incarnation: string, need: TaskNeed): boolean {
    return fitsInto(this.of(incarnation), need) && this.allows(incarnation, need)
  }

  /** Whether the limit of tasks on one worker leaves room for one more. */
  allows (incarnation: string, { step, mostPerWorker }: TaskNeed): boolean {
    if (mostPerWorker === 0) return true
    const running = this.lives.get(incarnation)?.runs.count((key) => `${key.job}.${key.step}` === step) ?? 0
    return running + (this.placed.get(`${incarnation} ${step}`) ?? 0) < mostPerWorker
  }

  /** Takes room for one task; negative room means that it is not free yet. */
  take (incarnation: string, need: TaskNeed): void {
    this.change(incarnation, need, -1)
  }

  /** Takes one task back that was taken in a trial. */
  undo (incarnation: string, need: TaskNeed): void {
    this.change(incarnation, need, 1)
  }

  /** Gives room back. */
  give (incarnation: string, released: Resources): void {
    const { free, losing } = this.room(incarnation)
    this.byWorker.set(incarnation, { free: addResources(free, released), losing })
  }

  private change (incarnation: string, need: TaskNeed, sign: 1 | -1): void {
    const { free, losing } = this.room(incarnation)
    this.byWorker.set(incarnation, { free: addResources(free, need, sign), losing: losing - (need.losesWork ? sign * need.accelerators : 0) })
    if (need.mostPerWorker === 0) return
    const name = `${incarnation} ${need.step}`
    this.placed.set(name, (this.placed.get(name) ?? 0) - sign)
  }

  private room (incarnation: string): WorkerRoom {
    return this.byWorker.get(incarnation) ?? nowhere
  }
}

/**
 * The room of a worker.
 * @param life - the worker
 * @returns what its runs leave
 */
function freeRoom (life: Life): WorkerRoom {
  return { free: addResources(life, life.used, -1), losing: 0 }
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

const nowhere: WorkerRoom = { free: { processors: -1, memoryMegabytes: -1, accelerators: -1 }, losing: 0 }

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
    const free = rooms.of(life.incarnation)
    if (!fitsInto(free, need) || !rooms.allows(life.incarnation, need)) continue
    const left = leftover(free, life) + MIXING_WEIGHT * (need.losesWork ? -1 : 1) * rooms.lost(life.incarnation)
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
