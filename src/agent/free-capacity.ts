import { Phase, type AgentState, type Attempt, type Resources } from './attempt'
import { ReportReason } from './report'

/**
 * Tells whether an attempt still holds resources of the worker.
 * @param attempt - the attempt
 * @returns true until the attempt has ended and the platform runs no task of it
 */
export function holdsResources (attempt: Attempt): boolean {
  return attempt.phase !== Phase.Ended || attempt.onPlatform
}

/**
 * Sums the resources held by attempts of this incarnation and by orphaned tasks. Slots and connections belong to the
 * target and become free with the complete answer; accelerators become free only once the platform has ended the task.
 * @param state - the agent's state
 * @returns the allocated accelerators as a mask, the slots and the connections
 */
export function allocated (state: AgentState): { mask: number, slots: number, connections: number } {
  const attempts = [...state.attempts.values()]
  const atPlatform = [...attempts.filter(holdsResources), ...state.orphans.values()]
  const atTarget = [...attempts.filter(({ phase }) => phase !== Phase.Ended), ...state.orphans.values()]
  return {
    mask: atPlatform.reduce((mask, holder) => mask | holder.resources.mask, 0),
    slots: atTarget.reduce((slots, holder) => slots + holder.resources.slots, 0),
    connections: atTarget.length
  }
}

/**
 * Checks whether resources are free.
 * @param state - the agent's state
 * @param requested - the requested resources
 * @returns the resource that is not free, or undefined if all of them are
 */
export function unavailableReason (state: AgentState, requested: Resources): ReportReason | undefined {
  const { mask, slots, connections } = allocated(state)
  const allAccelerators = 2 ** state.capacity.accelerators - 1
  if ((requested.mask & mask) !== 0 || (requested.mask & ~allAccelerators) !== 0) return ReportReason.AcceleratorTaken
  if (slots + requested.slots > state.capacity.slots) return ReportReason.NoSlot
  if (connections + 1 > state.capacity.connections) return ReportReason.NoConnection
  return undefined
}
