/** Free capacity of each worker, and best-fit placement of tasks on it. */
import { addResources, type WorkerIncarnation, type Resources, type StepSpecification } from './model'
import type { WorkerPenalty } from './neighbours'
import { fitsInto } from './resources'
import type { TaskPlacement } from './transactions'

/** What one task requires of its worker. */
export interface TaskRequirements extends Resources {
  /** Identifies the step, unique within the deployment. */
  readonly step: string
  /** Maximum number of tasks of the step on one worker; 0 for no limit. */
  readonly mostPerWorker: number
  /** The task writes no checkpoints, so that a stop loses its progress. */
  readonly losesWork: boolean
}

/**
 * Derives what each task of a step requires.
 * @param job - identifier of the job
 * @param number - number of the step
 * @param step - the step
 * @returns the requirements of one task
 */
export function requirementsOf (job: string, number: number, step: StepSpecification): TaskRequirements {
  const { processors, memoryMegabytes, accelerators, mostPerWorker, checkpoints } = step
  return { step: `${job}.${number}`, processors, memoryMegabytes, accelerators, mostPerWorker, losesWork: !checkpoints }
}

/** Capacity of one worker. */
export interface WorkerCapacity {
  /** Negative where the runs there occupy more than the capacity, which has shrunk since they started. */
  readonly free: Resources
  /** Accelerators held by tasks without checkpoints. */
  readonly uncheckpointed: number
}

/** Free capacity by incarnation. Callers that try a placement deallocate it afterwards or work on a copy. */
export class FreeCapacity {
  private constructor (
    private readonly byWorker: Map<string, WorkerCapacity>, private readonly workers: ReadonlyMap<string, WorkerIncarnation>,
    /** Number of tasks allocated here, by incarnation and step; counted only for steps that limit their tasks per worker. */
    private readonly placed: Map<string, number>
  ) {}

  /**
   * Measures the capacity of some workers.
   * @param workers - the workers
   * @param measure - measures one worker; by default, all its tasks count as having checkpoints
   * @returns their capacity
   */
  static measure (workers: Iterable<WorkerIncarnation>, measure: (worker: WorkerIncarnation) => WorkerCapacity = measureFree): FreeCapacity {
    const capacities = new Map<string, WorkerCapacity>()
    const byIncarnation = new Map<string, WorkerIncarnation>()
    for (const worker of workers) {
      capacities.set(worker.incarnation, measure(worker))
      byIncarnation.set(worker.incarnation, worker)
    }
    return new FreeCapacity(capacities, byIncarnation, new Map())
  }

  /**
   * The capacity that workers would have if nothing ran on them.
   * @param workers - the workers
   * @returns their total capacity
   */
  static empty (workers: readonly WorkerIncarnation[]): FreeCapacity {
    return new FreeCapacity(new Map(workers.map((worker) => [worker.incarnation, { free: worker, uncheckpointed: 0 }])), new Map(), new Map())
  }

  /**
   * Copies the capacity, to try placements on the copy.
   * @param workers - the workers to include; all by default
   * @returns the copy
   */
  copy (workers?: readonly WorkerIncarnation[]): FreeCapacity {
    const capacities = workers === undefined ? this.byWorker : workers.map(({ incarnation }): [string, WorkerCapacity] => [incarnation, this.capacityOf(incarnation)])
    return new FreeCapacity(new Map(capacities), this.workers, new Map(this.placed))
  }

  /**
   * Adds workers as if nothing ran on them.
   * @param workers - the workers
   * @returns the capacity of the workers that it had and of these
   */
  withIdle (workers: readonly WorkerIncarnation[]): FreeCapacity {
    const idle = workers.map((worker): [string, WorkerCapacity] => [worker.incarnation, { free: worker, uncheckpointed: 0 }])
    return new FreeCapacity(new Map([...this.byWorker, ...idle]), this.workers, new Map(this.placed))
  }

  /** Free resources of a worker. */
  freeOn (incarnation: string): Resources {
    return this.capacityOf(incarnation).free
  }

  /** Accelerators of a worker that are held by tasks without checkpoints. */
  uncheckpointedOn (incarnation: string): number {
    return this.capacityOf(incarnation).uncheckpointed
  }

  /** Whether a worker can take one more task. */
  canHost (incarnation: string, requirements: TaskRequirements): boolean {
    return fitsInto(this.freeOn(incarnation), requirements) && this.isWithinTaskLimit(incarnation, requirements)
  }

  /** Whether the step's limit of tasks per worker permits one more. */
  isWithinTaskLimit (incarnation: string, { step, mostPerWorker }: TaskRequirements): boolean {
    if (mostPerWorker === 0) return true
    const running = this.workers.get(incarnation)?.runs.count((key) => `${key.job}.${key.step}` === step) ?? 0
    return running + (this.placed.get(`${incarnation} ${step}`) ?? 0) < mostPerWorker
  }

  /** Allocates one task. The free resources become negative where they are allocated before their current tasks have ended. */
  allocate (incarnation: string, requirements: TaskRequirements): void {
    this.adjust(incarnation, requirements, -1)
  }

  /** Reverts the allocation of one task. */
  deallocate (incarnation: string, requirements: TaskRequirements): void {
    this.adjust(incarnation, requirements, 1)
  }

  /** Adds resources that become free. */
  release (incarnation: string, released: Resources): void {
    const { free, uncheckpointed } = this.capacityOf(incarnation)
    this.byWorker.set(incarnation, { free: addResources(free, released), uncheckpointed })
  }

  private adjust (incarnation: string, requirements: TaskRequirements, sign: 1 | -1): void {
    const { free, uncheckpointed } = this.capacityOf(incarnation)
    this.byWorker.set(incarnation, { free: addResources(free, requirements, sign), uncheckpointed: uncheckpointed - (requirements.losesWork ? sign * requirements.accelerators : 0) })
    if (requirements.mostPerWorker === 0) return
    const name = `${incarnation} ${requirements.step}`
    this.placed.set(name, (this.placed.get(name) ?? 0) - sign)
  }

  private capacityOf (incarnation: string): WorkerCapacity {
    return this.byWorker.get(incarnation) ?? unknownWorker
  }
}

function measureFree (worker: WorkerIncarnation): WorkerCapacity {
  return { free: addResources(worker, worker.used, -1), uncheckpointed: 0 }
}

const unknownWorker: WorkerCapacity = { free: { processors: -1, memoryMegabytes: -1, accelerators: -1 }, uncheckpointed: 0 }

/**
 * Places tasks best-fit, so that whole workers stay free for tasks that need many accelerators.
 * @param requirements - what each task requires
 * @param tasks - positions of the tasks within the step
 * @param workers - the eligible workers
 * @param capacity - their free capacity, from which the placements are allocated unless one of the tasks does not fit
 * @param penalty - rates workers that fit by their neighbours; none by default. As all tasks are alike, it does not affect whether they fit
 * @returns a worker for each task, or undefined where they do not all fit
 */
export function placeTasks (requirements: TaskRequirements, tasks: readonly number[], workers: readonly WorkerIncarnation[], capacity: FreeCapacity, penalty?: WorkerPenalty): TaskPlacement[] | undefined {
  const placements: TaskPlacement[] = []
  for (const task of tasks) {
    const chosen = bestFit(requirements, workers, capacity, penalty)
    if (chosen === undefined) {
      for (const { incarnation } of placements) capacity.deallocate(incarnation, requirements)
      return undefined
    }
    capacity.allocate(chosen.incarnation, requirements)
    placements.push({ task, incarnation: chosen.incarnation })
  }
  return placements
}

function bestFit (requirements: TaskRequirements, workers: readonly WorkerIncarnation[], capacity: FreeCapacity, penalty?: WorkerPenalty): WorkerIncarnation | undefined {
  let best: WorkerIncarnation | undefined
  let bestScore = Infinity
  for (const worker of workers) {
    const free = capacity.freeOn(worker.incarnation)
    if (!fitsInto(free, requirements) || !capacity.isWithinTaskLimit(worker.incarnation, requirements)) continue
    const tieBreak = penalty === undefined ? freeShare(free, worker) : withPenalty(freeShare(free, worker), penalty(worker))
    const score = free.accelerators + tieBreak + UNCHECKPOINTED_WEIGHT * (requirements.losesWork ? -1 : 1) * capacity.uncheckpointedOn(worker.incarnation)
    if (score < bestScore) { best = worker; bestScore = score }
  }
  return best
}

/**
 * Weight of an accelerator held by a task without checkpoints, relative to a free one. Tasks without checkpoints are placed
 * together and tasks with checkpoints apart from them, so that preempting the latter frees whole workers.
 */
const UNCHECKPOINTED_WEIGHT = 1.5

/** Share of a penalty in the tie-break. */
const PENALTY_SHARE = 0.75

/** The free share of the scarcer of processors and memory, the tie-break between workers with as many free accelerators. */
function freeShare (free: Resources, worker: WorkerIncarnation): number {
  return Math.min(free.processors / Math.max(1, worker.processors), free.memoryMegabytes / Math.max(1, worker.memoryMegabytes))
}

/** Stays below 1, so that a penalty outweighs no free accelerator and whole workers stay as free as without it. */
function withPenalty (share: number, penalty: number): number {
  return (1 - PENALTY_SHARE) * share + PENALTY_SHARE * penalty / (1 + penalty)
}
