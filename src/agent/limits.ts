import { Phase, type AgentState, type Attempt, type Resources } from './attempt'
import { ReportReason } from './report'

/**
 * Tells whether an attempt still takes anything of the worker.
 * @param attempt - the attempt
 * @returns true until nothing of it runs at the platform or the target any more
 */
export function holdsResources (attempt: Attempt): boolean {
  return attempt.phase !== Phase.Ended || attempt.onPlatform
}

/**
 * Adds up what is taken, by attempts of this incarnation and by tasks that only the platform knows. Slots and connections
 * are the target's and free with the whole answer; accelerators only once the platform has ended the task.
 * @param state - what the agent knows
 * @returns the taken accelerators as a mask, the slots and the connections
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
 * Tells why resources can not be given now.
 * @param state - what the agent knows
 * @param wanted - the resources asked for
 * @returns the reason, or undefined where they are free
 */
export function unavailableReason (state: AgentState, wanted: Resources): ReportReason | undefined {
  const { mask, slots, connections } = allocated(state)
  const allAccelerators = 2 ** state.capacity.accelerators - 1
  if ((wanted.mask & mask) !== 0 || (wanted.mask & ~allAccelerators) !== 0) return ReportReason.AcceleratorTaken
  if (slots + wanted.slots > state.capacity.slots) return ReportReason.NoSlot
  if (connections + 1 > state.capacity.connections) return ReportReason.NoConnection
  return undefined
}
