/** Comparisons of resources. A separate module, so that agents need not load the rest of the step scheduler. */
import type { Resources } from './model'

/**
 * Picks the resources out of a larger description.
 * @param described - anything that has resources
 * @returns the resources alone
 */
export function resourcesOf (described: Resources): Resources {
  const { processors, memoryMegabytes, accelerators } = described
  return { processors, memoryMegabytes, accelerators }
}

/**
 * Compares resources.
 * @param one - the first operand
 * @param other - the second operand
 * @returns true where they are the same
 */
export function sameResources (one: Resources, other: Resources): boolean {
  return fitsInto(one, other) && fitsInto(other, one)
}

/**
 * Tells whether a task fits into free resources.
 * @param free - the free resources
 * @param required - the resources of the task
 * @returns true where no resource is exceeded
 */
export function fitsInto (free: Resources, required: Resources): boolean {
  return required.processors <= free.processors && required.memoryMegabytes <= free.memoryMegabytes && required.accelerators <= free.accelerators
}
