/** Finds jobs that can never run here, whatever ends. */
import type { Resources, StepJobSpecification, StepSpecification, StepState, WorkerIncarnation } from '../model'

/** Why a job can never run. */
export enum Impossibility {
  /** No worker of the service has the label that a step requires. */
  NoLabel = 'no-label',
  /** A task needs more of a resource than any worker with the label has. */
  TaskTooLarge = 'task-too-large',
  /** The tasks of a gang do not fit the empty fleet together. */
  GangTooLarge = 'gang-too-large'
}

/** A step that can never run. */
export interface ImpossibleStep {
  readonly step: number
  readonly reason: Impossibility
}

/** Time without a loss of a worker and without a new leader after which the fleet is known, in milliseconds: restarted workers are back by then. */
const STABLE_MILLISECONDS = 60_000
/** Time after the first worker of the service by which the others have come as well, in milliseconds. */
const FIRST_WORKER_MILLISECONDS = 10_000

/** Workers of one service with the same labels and capacity. */
interface WorkerShape extends Resources {
  readonly labels: readonly string[]
  count: number
}

/** The workers of one service. */
interface KnownService {
  readonly shapes: readonly WorkerShape[]
  readonly firstRegisteredAt: number
}

/** The fleet as one leader has seen it. Workers that leave, are silent or evacuated count; a shrunk worker counts as large as it was. */
export class KnownFleet {
  /** The largest capacity of each incarnation. */
  private largest = new Map<string, Resources>()
  private services = new Map<string, KnownService>()
  private unstableSince = 0

  private constructor () {}

  /**
   * Creates the fleet that a new leader knows.
   * @returns a fleet that is not stable yet
   */
  static create (): KnownFleet {
    return new KnownFleet()
  }

  /** Starts a term as leader. */
  beginLeading (now: number): void {
    this.unstableSince = now
    this.largest.clear()
    this.services.clear()
  }

  /** Updates the fleet; called about once a second, and before a job is refused. */
  observe (state: StepState, now: number): void {
    const largest = new Map<string, Resources>()
    const shapes = new Map<string, Map<string, WorkerShape>>()
    const firsts = new Map<string, number>()
    for (const worker of state.incarnations.values()) {
      const capacity = maximum(worker, this.largest.get(worker.incarnation) ?? worker)
      largest.set(worker.incarnation, capacity)
      const ofService = shapes.get(worker.service) ?? new Map<string, WorkerShape>()
      shapes.set(worker.service, ofService)
      countShape(ofService, worker, capacity)
      firsts.set(worker.service, Math.min(firsts.get(worker.service) ?? Infinity, worker.registeredAt ?? 0))
    }
    for (const incarnation of this.largest.keys()) if (!largest.has(incarnation)) this.unstableSince = now
    for (const { at } of state.losses) this.unstableSince = Math.max(this.unstableSince, at)
    this.largest = largest
    this.services = new Map([...shapes].map(([service, byShape]) => [service, { shapes: [...byShape.values()], firstRegisteredAt: firsts.get(service) ?? 0 }]))
  }

  /**
   * Finds a step of a job that can never run.
   * @param service - the service that runs the queue's jobs
   * @param job - the job
   * @param now - milliseconds since the epoch
   * @returns the first such step; undefined also while the fleet is not known
   */
  findImpossibleStep (service: string, job: StepJobSpecification, now: number): ImpossibleStep | undefined {
    const known = this.services.get(service)
    if (known === undefined || now - this.unstableSince < STABLE_MILLISECONDS || now - known.firstRegisteredAt < FIRST_WORKER_MILLISECONDS) return undefined
    for (const [step, specification] of job.steps.entries()) {
      const reason = impossibilityOf(specification, known.shapes)
      if (reason !== undefined) return { step, reason }
    }
    return undefined
  }
}

function maximum (one: Resources, other: Resources): Resources {
  return { processors: Math.max(one.processors, other.processors), memoryMegabytes: Math.max(one.memoryMegabytes, other.memoryMegabytes), accelerators: Math.max(one.accelerators, other.accelerators) }
}

function countShape (shapes: Map<string, WorkerShape>, { labels }: WorkerIncarnation, capacity: Resources): void {
  const key = JSON.stringify([capacity.processors, capacity.memoryMegabytes, capacity.accelerators, labels])
  const known = shapes.get(key)
  if (known === undefined) shapes.set(key, { ...capacity, labels, count: 1 })
  else known.count += 1
}

function impossibilityOf (step: StepSpecification, shapes: readonly WorkerShape[]): Impossibility | undefined {
  const labelled = shapes.filter(({ labels }) => step.label === '' || labels.includes(step.label))
  if (labelled.length === 0) return Impossibility.NoLabel
  const places = labelled.reduce((sum, shape) => sum + shape.count * tasksOn(shape, step), 0)
  if (places === 0) return Impossibility.TaskTooLarge
  return step.gang && places < step.tasks ? Impossibility.GangTooLarge : undefined
}

/** Number of tasks of a step that fit an empty worker. */
function tasksOn (worker: Resources, { processors, memoryMegabytes, accelerators, mostPerWorker, tasks }: StepSpecification): number {
  const fits = (available: number, required: number): number => required === 0 ? tasks : Math.floor(available / required)
  const most = mostPerWorker === 0 ? tasks : mostPerWorker
  return Math.min(most, fits(worker.processors, processors), fits(worker.memoryMegabytes, memoryMegabytes), fits(worker.accelerators, accelerators))
}
