/** Explains why gangs wait, for the log. Has no influence on scheduling. */
import { AccountShares } from './account-shares'
import { isCrashSuspect } from './crash-evidence'
import { heldBackWorkers, isEvacuated } from './evacuations'
import { hasLabel, eligibleWorkers, prefersOneRack, rackGroups, type PlacementConstraints } from './eligible-workers'
import type { WorkerIncarnation, StepState } from './model'
import { guaranteeCoverage, taskPositions, waitingGangs, type WaitingGang } from './waiting-gangs'
import { FreeCapacity, placeTasks } from './free-capacity'
import { initialAccelerators } from './specification'
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
  NoFreeCapacity = 'no-room',
  /** The workers that may be used do not suffice; with those in evacuated data centres, if they were idle, they would. */
  Evacuated = 'data-centre-evacuated',
  /** The workers that may be used do not suffice; with those that a returned data centre has not opened yet, they would. */
  Returning = 'data-centre-returning'
}

/** What an account's guarantee has for a job, in accelerators. */
export interface GuaranteeUse {
  readonly guaranteed: number
  /** Not needed by the jobs that the guarantee covers. */
  readonly remaining: number
  /** What the job needs at its start; not covered where this is more than what remains. */
  readonly needed: number
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
  /** What the account's guarantee has for the job; absent for jobs of other priorities than 0. */
  readonly guarantee?: GuaranteeUse
}

/**
 * Explains why gangs still wait after a scheduling round. Only the first waiting gang of each step is explained.
 * @param state - state of the step jobs
 * @param view - the time, and the workers to exclude or avoid
 * @returns these gangs in scheduling order
 */
export function explainWaiting (state: StepState, view: PlacementConstraints): ExplainedGang[] {
  const capacity = FreeCapacity.measure(state.incarnations.values())
  const shares = AccountShares.of(state)
  const explained = new Map<string, ExplainedGang>()
  const coverage = guaranteeCoverage(state)
  for (const waiting of waitingGangs(state, coverage.jobs, view.now)) {
    const { key, job: { account, acceptedAt, specification }, queue: { priority } } = waiting
    const step = `${key.job}.${key.step}`
    if (explained.has(step)) continue
    const guarantee = { guaranteed: coverage.guaranteed.get(account) ?? 0, remaining: coverage.remaining.get(account) ?? 0, needed: initialAccelerators(specification) }
    explained.set(step, { key, account, priority, acceptedAt, reason: reasonOf(state, waiting, view, capacity), share: shares.dominantShare(account), ...priority === 0 && { guarantee } })
  }
  return [...explained.values()]
}

function reasonOf (state: StepState, waiting: WaitingGang, constraints: PlacementConstraints, capacity: FreeCapacity): WaitingReason {
  const { queue, step, guaranteed } = waiting
  const present = [...state.incarnations.values()].filter(({ service, leaving }) => service === queue.service && !leaving)
  if (present.length === 0) return WaitingReason.NoWorker
  if (!present.some((worker) => hasLabel(worker, step))) return WaitingReason.NoLabel
  const workers = eligibleWorkers(state, waiting, constraints)
  const closed = closedReason(state, waiting, constraints, workers, capacity)
  if (closed !== undefined) return closed
  if (workers.length === 0) return WaitingReason.WorkersSilent
  if (workers.every(({ incarnation }) => constraints.suspects.has(incarnation))) return WaitingReason.WorkersSuspected
  if (prefersOneRack(step) && rackGroups(step, workers).length > 1 && fitsAcrossRacks(waiting, workers, capacity)) return WaitingReason.NoRack
  if (isCrashSuspect(waiting.gang) && fitsAcrossRacks(waiting, workers, capacity)) return WaitingReason.CrashSuspect
  return queue.priority === 0 && !guaranteed ? WaitingReason.GuaranteeUsedUp : WaitingReason.NoFreeCapacity
}

/** Whether a gang that does not fit now would fit if evacuated or returning data centres were open. */
function closedReason (state: StepState, waiting: WaitingGang, { silent, now }: PlacementConstraints, workers: readonly WorkerIncarnation[], capacity: FreeCapacity): WaitingReason | undefined {
  if (state.evacuations === undefined) return undefined
  const { queue, step } = waiting
  const closed = [...state.incarnations.values()].filter((worker) => worker.service === queue.service && !worker.leaving && !silent.has(worker.incarnation) && hasLabel(worker, step))
  const heldBack = heldBackWorkers(state, queue, now)
  const returning = closed.filter(({ incarnation }) => heldBack.has(incarnation))
  const evacuated = closed.filter(({ dataCentre }) => isEvacuated(state, dataCentre))
  if (returning.length + evacuated.length === 0 || fitsAcrossRacks(waiting, workers, capacity)) return undefined
  const suffices = (others: readonly WorkerIncarnation[]): boolean => {
    return others.length > 0 && fitsAcrossRacks(waiting, [...workers, ...others], capacity.copy(workers).withIdle(others))
  }
  if (workers.length === 0) return returning.length > 0 ? WaitingReason.Returning : WaitingReason.Evacuated
  if (suffices(returning)) return WaitingReason.Returning
  return suffices([...returning, ...evacuated]) ? WaitingReason.Evacuated : undefined
}

function fitsAcrossRacks (waiting: WaitingGang, workers: readonly WorkerIncarnation[], capacity: FreeCapacity): boolean {
  return placeTasks(waiting.requirements, taskPositions(waiting), workers, capacity.copy(workers)) !== undefined
}
