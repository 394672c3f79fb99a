/**
 * The parts of the scheduling policy for step jobs that an experiment can replace by name, to measure what each is worth.
 * Deployments always run {@link stepPolicy}; there is no setting for it.
 */
import { workOf } from './free-capacity'
import { costOfStop, lostWork, type StoppableRun } from './stop-cost'
import { CompletionForecast, expectedMilliseconds, objectiveMilliseconds, type WaitingGang } from './waiting-gangs'

/** Handlers of the decisions that vary. */
export interface StepPolicy {
  /** Most work that may be lost by stops for an urgent gang beyond its account's guarantee, in processor-seconds. */
  readonly affordableLoss: (waiting: WaitingGang) => number
  /** Whether a gang that would use up the reserve for urgent work is left waiting, although it would fit. */
  readonly isHeldBack: (waiting: WaitingGang, now: number) => boolean
  /** Whether work may start on a worker on which a single job has failed. */
  readonly usesDoubtfulWorkers: boolean
  /** What it costs to stop a run, in processor-seconds. */
  readonly costOfStop: (stoppable: StoppableRun, now: number) => number
}

/** The policy in force. */
export const stepPolicy: StepPolicy = { affordableLoss: lossUpToOwnWork, isHeldBack: hasSlackLeft, usesDoubtfulWorkers: true, costOfStop }

/** A mechanism of the policy that can be switched off. */
export enum Mechanism {
  /** Urgent work beyond its guarantee stops work that has just begun, even if that loses its progress. */
  StopYoungWork = 'stop-young-work',
  /** Work without checkpoints waits while it would use up the reserve for urgent work and has slack left. */
  HoldBack = 'hold-back',
  /** A worker on which a single job has failed is used where no other has room. */
  DoubtfulWorkers = 'doubtful-workers',
  /** Work that a stop would make late is stopped last. */
  SpareTightWork = 'spare-tight-work'
}

/** What takes the place of each mechanism where it is off. */
const replacements: Readonly<Record<Mechanism, Partial<StepPolicy>>> = {
  [Mechanism.StopYoungWork]: { affordableLoss: () => 0 },
  [Mechanism.HoldBack]: { isHeldBack: () => false },
  [Mechanism.DoubtfulWorkers]: { usesDoubtfulWorkers: false },
  [Mechanism.SpareTightWork]: { costOfStop: lostWork }
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
const MAX_LOSS_SHARE = 0

/**
 * Load: urgent jobs beyond their accounts' guarantees on a fleet that is full of work without checkpoints. A stop is worth
 * its loss only where the urgent job can still meet its objective, and where less is lost than it achieves.
 */
function lossUpToOwnWork ({ forecast, gang, step, requirements }: WaitingGang): number {
  return forecast === CompletionForecast.OnTime ? MAX_LOSS_SHARE * gang.size * workOf(requirements, step.estimateMilliseconds) : 0
}

/** Share of a job's slack that it may spend waiting for urgent work that has not come yet. */
const MAX_HELD_BACK_SHARE = 0.4

/**
 * Load: urgent jobs that arrive on a fleet full of work without checkpoints, whose slack is much longer than theirs. A job
 * that waits for a part of its slack loses nothing, while a stop loses work and a late urgent job most of its value.
 */
function hasSlackLeft ({ job, queue }: WaitingGang, now: number): boolean {
  const slack = objectiveMilliseconds(job, queue) - expectedMilliseconds(job)
  return now - job.acceptedAt < MAX_HELD_BACK_SHARE * slack
}
