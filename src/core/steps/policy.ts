/**
 * The parts of the scheduling policy for step jobs that an experiment can switch off by name, to measure what each is worth.
 * Deployments always run {@link stepPolicy}; there is no setting for it.
 */
import { slowWorkers } from './learning/worker-pace'
import type { AccountShares } from './account-shares'
import { FairOrder, type GangOrder, type OrderView } from './fair-order'
import type { InterferenceFindings } from './learning/interference-learner'
import type { UrgentReserve } from './urgent-reserve'
import type { WaitingGang } from './waiting-gangs'

/** Handlers of the decisions that vary. */
export interface StepPolicy {
  /** Whether a gang starts in its turn; otherwise it starts after the other gangs of its priority. */
  readonly startsInTurn: (waiting: WaitingGang, reserve: UrgentReserve) => boolean
  /** The workers that are avoided or preferred for their pace, with that pace. */
  readonly slowWorkers: (paces: ReadonlyMap<string, number>) => ReadonlyMap<string, number>
  /** Slack below which a gang that is not urgent may stop lower work that loses nothing, as a multiple of its estimate. */
  readonly minSlackEstimates: number
  /** How long such a gang waits before it reserves workers, as a multiple of its estimate. */
  readonly reserveAfterEstimates: number
  /** Orders waiting gangs, which are listed without regard to their accounts. */
  readonly orderOf: (waiting: readonly WaitingGang[], shares: AccountShares, view: OrderView) => GangOrder
  /** What the choice of a worker takes into account of the kinds that interfere. */
  readonly interference: (findings: InterferenceFindings | undefined) => InterferenceFindings | undefined
}

/** The policy in force. */
export const stepPolicy: StepPolicy = {
  startsInTurn: (waiting, reserve) => reserve.admits(waiting),
  slowWorkers,
  minSlackEstimates: 0.5,
  reserveAfterEstimates: 4,
  orderOf: (waiting, shares, view) => FairOrder.of(waiting, shares, view),
  interference: (findings) => findings
}

/** A mechanism of the policy that can be switched off. */
export enum Mechanism {
  /** Work without checkpoints that would use up the reserve for urgent work yields to other work of its priority. */
  UrgentReserve = 'urgent-reserve',
  /** Work that would be late on a slow worker keeps to the others. */
  WorkerPace = 'worker-pace',
  /** Gangs below the highest priority stop lower work that loses nothing. */
  WideWork = 'wide-work',
  /** Gangs below the highest priority reserve workers. */
  Reservations = 'reservations',
  /** Among equals, the account with the smallest dominant share goes first, and no account starves. */
  FairOrder = 'fair-order',
  /** Kinds of task that slow each other down are placed apart. */
  Interference = 'interference'
}

/** What takes the place of each mechanism where it is off. */
const replacements: Readonly<Record<Mechanism, Partial<StepPolicy>>> = {
  [Mechanism.UrgentReserve]: { startsInTurn: () => true },
  [Mechanism.WorkerPace]: { slowWorkers: () => new Map() },
  [Mechanism.WideWork]: { minSlackEstimates: -Infinity },
  [Mechanism.Reservations]: { reserveAfterEstimates: Infinity },
  [Mechanism.FairOrder]: { orderOf: (waiting) => ({ gangs: () => waiting, recordStart: () => {}, isDueNow: () => false }) },
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
