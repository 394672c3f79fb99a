/** Explains why gangs wait, for the log. Has no influence on scheduling. */
import { AccountShares } from './account-shares'
import { isCrashSuspect } from './crash-evidence'
import { hasLabel, eligibleWorkers, prefersOneRack, rackGroups, type PlacementConstraints } from './eligible-workers'
import type { WorkerIncarnation, StepState } from './model'
import { guaranteedJobs, taskPositions, waitingGangs, type WaitingGang } from './waiting-gangs'
import { FreeCapacity, placeTasks } from './free-capacity'
import type { GangKey } from './transactions'

/** Why a gang waits. */
export enum WaitingReason {
  /** Its service has no worker, or all of them are leaving. */
  NoWorker = 'no-worker',
  /** No worker of its service has the label that it requires. */
  NoLabel = 'no-label',
  /** The last heartbeats of all workers that it may use are overdue. */
  WorkersSilent = 'workers-silent',
  /** Runs fail or stall on all workers that it may use. */
  WorkersSuspected = 'workers-not-trusted',
  /** There is enough free capacity, but not within one rack. */
  NoRack = 'no-rack',
  /** Workers crashed just after its starts, so it waits for one on which nothing else has just started. */
  CrashSuspect = 'crash-suspect',
  /** There is not enough free capacity, and its account's guaranteed accelerators are in use. */
  GuaranteeUsedUp = 'guarantee-used-up',
  NoFreeCapacity = 'no-room'
}

/** A waiting gang with the reason for which it waits. */
export interface ExplainedGang {
  readonly key: GangKey
  readonly account: string
  readonly priority: number
  readonly acceptedAt: number
  readonly reason: WaitingReason
  /** Dominant share of the account, by which accounts take turns. */
  readonly share: number
}

/**
 * Explains why gangs still wait after a scheduling round. Only the first waiting gang of each step is explained.
 * @param state - state of the step jobs
 * @param view - the time, and the workers to exclude or avoid
 * @returns these gangs in scheduling order
 */
export function explainWaiting (state: StepState, view: PlacementConstraints & { readonly now: number }): ExplainedGang[] {
  const capacity = FreeCapacity.measure(state.incarnations.values())
  const shares = AccountShares.of(state)
  const explained = new Map<string, ExplainedGang>()
  for (const waiting of waitingGangs(state, guaranteedJobs(state), view.now)) {
    const { key, job: { account, acceptedAt }, queue: { priority } } = waiting
    const step = `${key.job}.${key.step}`
    if (!explained.has(step)) explained.set(step, { key, account, priority, acceptedAt, reason: reasonOf(state, waiting, view, capacity), share: shares.dominantShare(account) })
  }
  return [...explained.values()]
}

function reasonOf (state: StepState, waiting: WaitingGang, constraints: PlacementConstraints, capacity: FreeCapacity): WaitingReason {
  const { queue, step, guaranteed } = waiting
  const present = [...state.incarnations.values()].filter(({ service, leaving }) => service === queue.service && !leaving)
  if (present.length === 0) return WaitingReason.NoWorker
  if (!present.some((worker) => hasLabel(worker, step))) return WaitingReason.NoLabel
  const workers = eligibleWorkers(state, waiting, constraints)
  if (workers.length === 0) return WaitingReason.WorkersSilent
  if (workers.every(({ incarnation }) => constraints.suspects.has(incarnation))) return WaitingReason.WorkersSuspected
  if (prefersOneRack(step) && rackGroups(step, workers).length > 1 && fitsAcrossRacks(waiting, workers, capacity)) return WaitingReason.NoRack
  if (isCrashSuspect(waiting.gang) && fitsAcrossRacks(waiting, workers, capacity)) return WaitingReason.CrashSuspect
  return queue.priority === 0 && !guaranteed ? WaitingReason.GuaranteeUsedUp : WaitingReason.NoFreeCapacity
}

function fitsAcrossRacks (waiting: WaitingGang, workers: readonly WorkerIncarnation[], capacity: FreeCapacity): boolean {
  return placeTasks(waiting.requirements, taskPositions(waiting), workers, capacity.copy(workers)) !== undefined
}
