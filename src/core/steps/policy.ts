/**
 * The parts of the scheduling policy for step jobs that an experiment can switch off by name, to measure what each is worth.
 * Deployments always run {@link stepPolicy}; there is no setting for it.
 */
import { expectedMilliseconds, objectiveMilliseconds, type WaitingGang } from './waiting-gangs'

/** Handlers of the decisions that vary. */
export interface StepPolicy {
  /** Whether a gang that would use up the reserve for urgent work is left waiting, although it would fit. */
  readonly isHeldBack: (waiting: WaitingGang, now: number) => boolean
}

/** The policy in force. */
export const stepPolicy: StepPolicy = { isHeldBack: hasSlackLeft }

/** A mechanism of the policy that can be switched off. */
export enum Mechanism {
  /** Work without checkpoints waits while it would use up the reserve for urgent work and has slack left. */
  HoldBack = 'hold-back'
}

/** What takes the place of each mechanism where it is off. */
const replacements: Readonly<Record<Mechanism, Partial<StepPolicy>>> = {
  [Mechanism.HoldBack]: { isHeldBack: () => false }
}

/**
 * The policy without some of its mechanisms.
 * @param mechanisms - the mechanisms to switch off
 * @returns the policy in force, with the replacements of these mechanisms
 */
export function policyWithout (mechanisms: readonly Mechanism[]): StepPolicy {
  return mechanisms.reduce<StepPolicy>((policy, mechanism) => ({ ...policy, ...replacements[mechanism] }), stepPolicy)
}

/** Share of a job's slack that it may spend waiting for urgent work that has not come yet. */
const MAX_HELD_BACK_SHARE = 0.4

/**
 * Load: urgent jobs that arrive on a fleet full of work without checkpoints, whose slack is much longer than theirs. A job
 * that waits for a part of its slack loses nothing, while a stop loses work, and a late urgent job most of its value.
 */
function hasSlackLeft ({ job, queue }: WaitingGang, now: number): boolean {
  const slack = objectiveMilliseconds(job, queue) - expectedMilliseconds(job)
  return now - job.acceptedAt < MAX_HELD_BACK_SHARE * slack
}
