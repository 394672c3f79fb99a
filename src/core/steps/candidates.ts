/** The workers that a step may run on, in groups from the best to the worst. */
import type { Queue } from './document'
import type { Life, StepSpecification, StepState } from './model'
import type { WaitingGang } from './order'

/** What limits the choice beside the room. */
export interface Choice {
  /** Workers that are not heard of in time. */
  readonly silent: ReadonlySet<string>
  /** Workers on which runs fail or stand still. */
  readonly suspects: ReadonlySet<string>
}

/**
 * The workers on which a gang may run at all.
 * @param state - the jobs of steps
 * @param waiting - the gang
 * @param choice - what limits the choice
 * @returns the workers, in the order of their names
 */
export function eligibleWorkers (state: StepState, waiting: WaitingGang, choice: Choice): Life[] {
  const { queue, step } = waiting
  const lives = [...state.lives.values()].filter((life) => mayUse(life, queue, step, choice))
  const trusted = lives.filter(({ incarnation }) => !choice.suspects.has(incarnation))
  return (trusted.length > 0 ? trusted : lives).sort((one, other) => one.incarnation < other.incarnation ? -1 : 1)
}

function mayUse (life: Life, queue: Queue, step: StepSpecification, choice: Choice): boolean {
  return life.service === queue.service && !life.leaving && !choice.silent.has(life.incarnation) && carriesLabel(life, step)
}

/**
 * Tells whether a worker carries the label that a step asks for.
 * @param life - the worker
 * @param step - the step
 * @returns true also for a step that asks for none
 */
export function carriesLabel (life: Life, step: StepSpecification): boolean {
  const { label } = step
  return label === '' || life.labels.includes(label)
}

/**
 * Groups of workers that would hold a gang best: its data rack, then one rack, then any.
 * @param step - the step
 * @param workers - the workers that may be used
 * @returns the racks, the data rack first; a single group of all where racks do not matter
 */
export function rackGroups (step: StepSpecification, workers: readonly Life[]): Life[][] {
  if (!needsOneRack(step) && step.dataRack === '') return [[...workers]]
  const racks = new Map<string, Life[]>()
  for (const life of workers) racks.set(life.rack, [...racks.get(life.rack) ?? [], life])
  const names = [...racks.keys()].sort()
  const first = names.filter((name) => name === step.dataRack)
  const others = step.dataRack !== '' && first.length > 0 ? [] : names
  return [...first, ...others].map((name) => racks.get(name) ?? [])
}

/**
 * Tells whether the tasks of a step are better off in one rack.
 * @param step - the step
 * @returns true for a gang of several tasks that asks for it
 */
export function needsOneRack (step: StepSpecification): boolean {
  const { gang, sameRack, tasks } = step
  return gang && sameRack && tasks > 1
}
