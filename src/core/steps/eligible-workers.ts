/** Selects the workers on which a gang may be placed and groups them by preference. */
import type { Queue } from './document'
import { heldBackWorkers, isEvacuated } from './evacuations'
import type { WorkerIncarnation, StepSpecification, StepState } from './model'
import type { WaitingGang } from './waiting-gangs'

/** Workers to exclude or avoid, whatever capacity they have free. */
export interface PlacementConstraints {
  /** Milliseconds since the epoch. */
  readonly now: number
  /** Incarnations whose last heartbeat is overdue; they get no new work. */
  readonly silent: ReadonlySet<string>
  /** Incarnations on which runs fail or stall; used only when no other worker is eligible. */
  readonly suspects: ReadonlySet<string>
}

/**
 * The workers on which a gang may be placed.
 * @param state - state of the step jobs
 * @param waiting - the gang
 * @param constraints - workers to exclude or avoid
 * @returns the workers, sorted by incarnation
 */
export function eligibleWorkers (state: StepState, waiting: WaitingGang, constraints: PlacementConstraints): WorkerIncarnation[] {
  const { queue, step } = waiting
  const heldBack = heldBackWorkers(state, queue, constraints.now)
  const workers = [...state.incarnations.values()].filter((worker) => {
    return isEligible(worker, queue, step, constraints) && !isEvacuated(state, worker.dataCentre) && !heldBack.has(worker.incarnation)
  })
  const trusted = workers.filter(({ incarnation }) => !constraints.suspects.has(incarnation))
  return (trusted.length > 0 ? trusted : workers).sort((one, other) => one.incarnation < other.incarnation ? -1 : 1)
}

function isEligible (worker: WorkerIncarnation, queue: Queue, step: StepSpecification, constraints: PlacementConstraints): boolean {
  return worker.service === queue.service && !worker.leaving && !constraints.silent.has(worker.incarnation) && hasLabel(worker, step)
}

/**
 * Tells whether a worker has the label that a step requires.
 * @param worker - the worker
 * @param step - the step
 * @returns true also for a step that requires no label
 */
export function hasLabel (worker: WorkerIncarnation, step: StepSpecification): boolean {
  const { label } = step
  return label === '' || worker.labels.includes(label)
}

/**
 * Groups workers by rack where a step prefers a rack: its data rack, or a single rack for the whole gang.
 * @param step - the step
 * @param workers - the eligible workers
 * @returns the data rack alone where it has workers, otherwise all racks by name; a single group of all workers where the step prefers no rack
 */
export function rackGroups (step: StepSpecification, workers: readonly WorkerIncarnation[]): WorkerIncarnation[][] {
  if (!prefersOneRack(step) && step.dataRack === '') return [[...workers]]
  const racks = new Map<string, WorkerIncarnation[]>()
  for (const worker of workers) racks.set(worker.rack, [...racks.get(worker.rack) ?? [], worker])
  const names = [...racks.keys()].sort()
  const dataRacks = names.filter((name) => name === step.dataRack)
  const others = step.dataRack !== '' && dataRacks.length > 0 ? [] : names
  return [...dataRacks, ...others].map((name) => racks.get(name) ?? [])
}

/**
 * Tells whether the tasks of a step should be placed in one rack.
 * @param step - the step
 * @returns true for a gang of several tasks with sameRack set
 */
export function prefersOneRack (step: StepSpecification): boolean {
  const { gang, sameRack, tasks } = step
  return gang && sameRack && tasks > 1
}
