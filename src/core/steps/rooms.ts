/** The free room of each worker while placements are tried. */
import { addResources, type Life, type Resources, type StepSpecification } from './model'
import type { TaskPlacement } from './transactions'

/** Free room by incarnation; changed only through a copy that is kept or thrown away. */
export class Rooms {
  private constructor (private readonly free: Map<string, Resources>) {}

  /**
   * Measures the free room.
   * @param lives - the workers
   * @returns the room of each
   */
  static of (lives: Iterable<Life>): Rooms {
    const free = new Map<string, Resources>()
    for (const life of lives) free.set(life.incarnation, addResources(life, life.used, -1))
    return new Rooms(free)
  }

  /** A copy to try something on. */
  copy (): Rooms {
    return new Rooms(new Map(this.free))
  }

  /** The free room of a worker. */
  of (incarnation: string): Resources {
    return this.free.get(incarnation) ?? none
  }

  /** Whether one more task fits. */
  holds (incarnation: string, needed: Resources): boolean {
    const free = this.of(incarnation)
    return needed.processors <= free.processors && needed.memoryMegabytes <= free.memoryMegabytes && needed.accelerators <= free.accelerators
  }

  /** Takes room for one task; negative room means that it is not free yet. */
  take (incarnation: string, needed: Resources): void {
    this.free.set(incarnation, addResources(this.of(incarnation), needed, -1))
  }

  /** Gives room back. */
  give (incarnation: string, released: Resources): void {
    this.free.set(incarnation, addResources(this.of(incarnation), released))
  }
}

const none: Resources = { processors: -1, memoryMegabytes: -1, accelerators: -1 }

/**
 * Places tasks where the least is left over, so that whole workers stay free for wide tasks.
 * @param step - what each task needs
 * @param tasks - positions of the tasks
 * @param workers - the workers that may be used
 * @param rooms - free room; the placements are taken from it where all tasks found one
 * @returns a worker for each task, or nothing where they do not all fit
 */
export function placeTasks (step: StepSpecification, tasks: readonly number[], workers: readonly Life[], rooms: Rooms): TaskPlacement[] | undefined {
  const trial = rooms.copy()
  const placements: TaskPlacement[] = []
  const counts = new Map<string, number>()
  for (const task of tasks) {
    const chosen = tightest(step, workers, trial, counts)
    if (chosen === undefined) return undefined
    trial.take(chosen.incarnation, step)
    counts.set(chosen.incarnation, (counts.get(chosen.incarnation) ?? 0) + 1)
    placements.push({ task, incarnation: chosen.incarnation })
  }
  for (const { incarnation } of placements) rooms.take(incarnation, step)
  return placements
}

function tightest (step: StepSpecification, workers: readonly Life[], rooms: Rooms, counts: ReadonlyMap<string, number>): Life | undefined {
  let best: Life | undefined
  let least = Infinity
  for (const life of workers) {
    if (step.mostPerWorker > 0 && (counts.get(life.incarnation) ?? 0) >= step.mostPerWorker) continue
    if (!rooms.holds(life.incarnation, step)) continue
    const left = leftover(rooms.of(life.incarnation), life)
    if (left < least) { best = life; least = left }
  }
  return best
}

/** Accelerators count first, then the scarcer of processors and memory. */
function leftover (free: Resources, life: Life): number {
  const share = Math.min(free.processors / Math.max(1, life.processors), free.memoryMegabytes / Math.max(1, life.memoryMegabytes))
  return free.accelerators + share
}
