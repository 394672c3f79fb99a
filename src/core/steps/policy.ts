/**
 * The parts of the scheduling policy for step jobs that an experiment can switch off by name, to measure what each is worth.
 * Deployments always run {@link stepPolicy}; there is no setting for it.
 */
import type { InterferenceFindings } from './learning/interference-learner'
import type { UrgentReserve } from './urgent-reserve'
import type { WaitingGang } from './waiting-gangs'

/** Handlers of the decisions that vary. */
export interface StepPolicy {
  /** Whether a gang starts in its turn; otherwise it starts after the other gangs of its priority. */
  readonly startsInTurn: (waiting: WaitingGang, reserve: UrgentReserve) => boolean
  /** What the choice of a worker takes into account of the kinds that interfere. */
  readonly interference: (findings: InterferenceFindings | undefined) => InterferenceFindings | undefined
}

/** The policy in force. */
export const stepPolicy: StepPolicy = {
  startsInTurn: (waiting, reserve) => reserve.admits(waiting),
  interference: (findings) => findings
}

/** A mechanism of the policy that can be switched off. */
export enum Mechanism {
  /** Work without checkpoints that would use up the reserve for urgent work yields to other work of its priority. */
  UrgentReserve = 'urgent-reserve',
  /** Kinds of task that slow each other down are placed apart. */
  Interference = 'interference'
}

/** What takes the place of each mechanism where it is off. */
const replacements: Readonly<Record<Mechanism, Partial<StepPolicy>>> = {
  [Mechanism.UrgentReserve]: { startsInTurn: () => true },
  [Mechanism.Interference]: { interference: () => undefined }
}

/**
 * The policy without some of its mechanisms.
 * @param mechanisms - the mechanisms to switch off
 * @returns the policy in force, with the replacements of these mechanisms
 */
export function policyWithout (mechanisms: readonly Mechanism[]): StepPolicy {
  return mechanisms.reduce<StepPolicy>((policy, mechanism) => ({ ...policy, ...replacements[mechanism] }), stepPolicy)
}
