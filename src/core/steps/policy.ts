/**
 * The parts of the scheduling policy for step jobs that an experiment can replace by name, to measure what each is worth.
 * Deployments always run {@link stepPolicy}; there is no setting for it.
 */
import { workOf } from './free-capacity'
import { CompletionForecast, type WaitingGang } from './waiting-gangs'

/** Handlers of the decisions that vary. */
export interface StepPolicy {
  /** Most work that may be lost by stops for an urgent gang beyond its account's guarantee, in processor-seconds. */
  readonly affordableLoss: (waiting: WaitingGang) => number
}

/** The policy in force. */
export const stepPolicy: StepPolicy = { affordableLoss: lossUpToOwnWork }

/** A mechanism of the policy that can be switched off. */
export enum Mechanism {
  /** Urgent work beyond its guarantee stops work that has just begun, even if that loses its progress. */
  StopYoungWork = 'stop-young-work'
}

/** What takes the place of each mechanism where it is off. */
const replacements: Readonly<Record<Mechanism, Partial<StepPolicy>>> = {
  [Mechanism.StopYoungWork]: { affordableLoss: () => 0 }
}

/**
 * The policy without some of its mechanisms.
 * @param mechanisms - the mechanisms to switch off
 * @returns the policy in force with the replacements of these mechanisms
 */
export function policyWithout (mechanisms: readonly Mechanism[]): StepPolicy {
  return mechanisms.reduce<StepPolicy>((policy, mechanism) => ({ ...policy, ...replacements[mechanism] }), stepPolicy)
}

/** Share of its own work that an urgent gang may cost others. */
const MAX_LOSS_SHARE = 0.5

/**
 * Load: urgent jobs beyond their accounts' guarantees on a fleet that is full of work without checkpoints. A stop is worth
 * its loss only where the urgent job can still meet its objective, and where less is lost than it achieves.
 */
function lossUpToOwnWork ({ forecast, gang, step, requirements }: WaitingGang): number {
  return forecast === CompletionForecast.OnTime ? MAX_LOSS_SHARE * gang.size * workOf(requirements, step.estimateMilliseconds) : 0
}
