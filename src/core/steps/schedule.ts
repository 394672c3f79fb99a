/** One scheduling round for step jobs: runs to stop, or else gangs to start and to preempt, in scheduling order. */
import { AccountShares } from './account-shares'
import type { StartTimes } from './account-starts'
import { isCrashSuspect } from './crash-evidence'
import { CrashIsolation } from './crash-isolation'
import { isEvacuated } from './evacuations'
import { eligibleWorkers, prefersOneRack, rackGroups, type PlacementConstraints } from './eligible-workers'
import { addResources, StopReason, type StepJob, type StepSpecification, type WorkerIncarnation, type StepState } from './model'
import { CompletionForecast, forecastAtPace, guaranteeCoverage, taskPositions, waitingGangs, type WaitingGang } from './waiting-gangs'
import { UrgentReserve, type FleetAccelerators } from './urgent-reserve'
import { FreeCapacity, placeTasks, type WorkerCapacity } from './free-capacity'
import type { InterferenceFindings } from './learning/interference-learner'
import { Neighbours } from './neighbours'
import type { RunKey } from './run'
import { StepTransactionKind, type StartGang, type StepTransaction, type StopGang, type TaskPlacement } from './transactions'
import { planPreemption, releaseStopping, victimsFor, type PreemptionPlan } from './preemption'
import { Reservations } from './reservations'
import { PacePreference } from './pace-preference'
import { findRunsToStop } from './runs-to-stop'
import type { LearnedRunTimes, RunProgress } from './stall'
import { stepPolicy, type StepPolicy } from './policy'

export type { RunProgress }

/** What the leader knows about workers and runs that is not in the replicated state. */
export interface FleetView extends PlacementConstraints {
  /** Last reported progress of each run, by name. */
  readonly progress: ReadonlyMap<string, RunProgress>
  /** False until agents have had time to report to a new leader: before that, a run without a report must not be stopped as missing. */
  readonly complete: boolean
  /** When this leader last saw each incarnation alive, in milliseconds since the epoch; absent where all count as alive. */
  readonly aliveAt?: ReadonlyMap<string, number>
  /** Learned pace by incarnation, 1 for a typical worker; absent where it is not known. */
  readonly paces?: ReadonlyMap<string, number>
  /** Until when leaving workers stay at least, in milliseconds since the epoch, by incarnation; without those that do not state it. */
  readonly leavesAt?: ReadonlyMap<string, number>
  /** What the leader has learned of run times; absent where it has learned nothing. */
  readonly runTimes?: LearnedRunTimes
  /** When this leader last started work of each account; absent where no starts are known. */
  readonly accountStarts?: StartTimes
  /** Kinds of task that slow each other down; absent where none are known. */
  readonly interference?: InterferenceFindings
}

/** Time after which a guaranteed gang is spread over several racks; leaves half of the time allowed for a reclaim. */
const MAX_GUARANTEED_RACK_WAIT_MILLISECONDS = 1_300
/** How long a gang waits for a single rack, as a multiple of its estimate: spread over several racks it takes three times as long. */
const MAX_RACK_WAIT_ESTIMATES = 2

/** Longest wait before an urgent gang preempts work that loses its progress: a third of the tightest time allowed for a reclaim. */
const MAX_RECLAIM_WAIT_MILLISECONDS = 800
/** The same limit as a share of the urgent gang's estimate: half of the slack that urgent queues leave. */
const MAX_RECLAIM_WAIT_SHARE = 0.25

/**
 * Decides which gangs of step jobs to start and to stop.
 * @param state - state of the step jobs, with all proposed entries applied
 * @param view - what the leader knows beyond the replicated state
 * @param policy - the parts of the policy that experiments replace
 * @returns the transactions to propose, in order
 */
export function scheduleSteps (state: StepState, view: FleetView, policy = stepPolicy): StepTransaction[] {
  if (state.open.size === 0) return []
  const stops = view.complete ? findRunsToStop(state, view) : []
  if (stops.length > 0) return stops
  return SchedulingRound.create(state, view, policy).run()
}

/** A scheduling round. Capacity that a gang takes is not available to the gangs after it. */
class SchedulingRound {
  private readonly freeCapacity: FreeCapacity
  /** Free capacity once all stopping runs have ended, less what is allocated to waiting gangs. */
  private readonly expectedCapacity: FreeCapacity
  private readonly decisions: StepTransaction[] = []
  private readonly stopped = new Set<string>()
  /** Eligible workers by service, label and priority. */
  private readonly workers = new Map<string, WorkerIncarnation[]>()
  private readonly guaranteed: ReadonlySet<string>
  private readonly reserve: UrgentReserve
  private readonly isolation: CrashIsolation
  private readonly pace: PacePreference
  /** Absent while no gang has reserved. */
  private reservations?: Reservations
  /** The last placement class, as the gangs of a step follow one another. */
  private lastClass?: { readonly job: StepJob, readonly step: StepSpecification, readonly name: string, readonly placementClass: string }
  private readonly neighbours: Neighbours

  private constructor (private readonly state: StepState, private readonly view: FleetView, private readonly policy: StepPolicy) {
    this.freeCapacity = FreeCapacity.measure(state.incarnations.values(), (worker) => measureWorker(state, worker))
    this.expectedCapacity = this.freeCapacity.copy()
    releaseStopping(state, this.expectedCapacity)
    this.guaranteed = guaranteeCoverage(state).jobs
    this.reserve = UrgentReserve.of(state, this.accelerators(), view.now)
    this.isolation = CrashIsolation.of(state, view)
    this.pace = PacePreference.of(policy.slowWorkers(view.paces ?? new Map()))
    this.neighbours = Neighbours.of(state, policy.interference(view.interference))
  }

  static create (state: StepState, view: FleetView, policy: StepPolicy): SchedulingRound {
    return new SchedulingRound(state, view, policy)
  }

  run (): StepTransaction[] {
    const unplaceable = new Set<string>()
    /** Gangs of one priority that yield to others of it, because starting them would use up the reserve for urgent work. */
    let deferred: WaitingGang[] = []
    const shares = AccountShares.of(this.state)
    const startDeferred = (): void => {
      const order = this.policy.orderOf(deferred, shares, this.view)
      for (const gang of order.gangs()) if (this.startOrPreempt(gang, unplaceable)) order.recordStart(gang)
      deferred = []
    }
    const order = this.policy.orderOf(waitingGangs(this.state, this.guaranteed, this.view.now), shares, this.view)
    for (const gang of order.gangs()) {
      if (deferred[0] !== undefined && deferred[0].queue.priority !== gang.queue.priority) startDeferred()
      if (!order.isDueNow(gang) && !this.policy.startsInTurn(gang, this.reserve)) deferred.push(gang)
      else if (this.startOrPreempt(gang, unplaceable)) order.recordStart(gang)
    }
    startDeferred()
    return this.decisions
  }

  /** Returns whether the gang has started, or capacity is reserved for it. */
  private startOrPreempt (gang: WaitingGang, unplaceable: Set<string>): boolean {
    const placementClass = this.placementClass(gang)
    if (unplaceable.has(placementClass)) return false
    if (this.startOrPreemptAtUsualPace(gang) || this.start(gang) || this.preempt(gang)) return true
    unplaceable.add(placementClass)
    this.reserveWorkers(gang)
    return false
  }

  /** Reserves workers for a gang of several tasks that has waited for too long. Urgent work stops other work instead. */
  private reserveWorkers (waiting: WaitingGang): void {
    const { queue, gang, job, step } = waiting
    const waited = this.view.now - job.acceptedAt
    if (queue.priority === 0 || gang.size === 1 || waited <= step.estimateMilliseconds * this.policy.reserveAfterEstimates) return
    this.reservations ??= Reservations.create(this.state, this.view, this.freeCapacity)
    if (!this.reservations.mayReserve) return
    const workers = this.isolation.open(this.eligible(waiting))
    this.reservations.reserve(waiting, this.pace.order(waiting, this.levels(waiting, workers), this.view.now), this.expectedCapacity)
  }

  /** For urgent work that would be late on a slow worker, stopping work that loses nothing on another worker is better than a start there. */
  private startOrPreemptAtUsualPace (gang: WaitingGang): boolean {
    if (gang.queue.priority !== 0 || !this.pace.needsUsualPace(gang, this.view.now) || this.maySpanRacks(gang)) return false
    const workers = this.pace.withoutSlow([this.eligible(gang)]).flat()
    return this.start(gang, workers) || this.preempt(gang, workers, (plan) => plan.victims.every(({ losesWork }) => !losesWork))
  }

  /**
   * Gangs of several tasks would otherwise wait for as long as single tasks of lower priority take each place that becomes
   * free. Stops begin only when such a gang is about to miss its objective. A gang without checkpoints does not replace work that urgent work can stop without a loss, unless enough of it is left.
   */
  private mayStopLowerWork (waiting: WaitingGang): boolean {
    const { queue, gang, step, forecast } = waiting
    if (queue.priority === 0) return true
    if (gang.size === 1 || forecast === CompletionForecast.Worthless) return false
    const latestStart = this.view.now + step.estimateMilliseconds * this.policy.minSlackEstimates
    return forecastAtPace(waiting, latestStart, 1) !== CompletionForecast.OnTime && this.reserve.admits(waiting)
  }

  private accelerators (): FleetAccelerators {
    let [total, uncheckpointed] = [0, 0]
    for (const worker of this.state.incarnations.values()) {
      if (this.view.silent.has(worker.incarnation) || isEvacuated(this.state, worker.dataCentre)) continue
      total += worker.accelerators
      uncheckpointed += measureWorker(this.state, worker).uncheckpointed
    }
    return { total, uncheckpointed }
  }

  /** Returns false where there is not enough free capacity. */
  private start (waiting: WaitingGang, eligible = this.eligible(waiting)): boolean {
    const workers = this.isolation.open(eligible)
    const suspect = isCrashSuspect(waiting.gang)
    const placements = this.place(waiting, workers, suspect ? (group) => this.isolation.quiet(group) : undefined)
    if (placements === undefined) return suspect && this.hold(waiting, workers)
    this.isolation.recordStart(placements, suspect)
    this.neighbours.recordStart(waiting, placements)
    const { key, gang, requirements } = waiting
    const decision: StartGang = { kind: StepTransactionKind.StartGang, at: this.view.now, ...key, attempt: gang.attempts + 1, placements }
    this.decisions.push(decision)
    this.reserve.recordStart(waiting)
    for (const { incarnation } of placements) this.expectedCapacity.allocate(incarnation, requirements)
    return true
  }

  /** Lets a suspect wait for the runs on some workers to settle. Returns false where there is not enough free capacity. */
  private hold (waiting: WaitingGang, workers: readonly WorkerIncarnation[]): boolean {
    if (!this.isolation.mayHold) return true
    const placements = this.place(waiting, workers)
    if (placements === undefined) return false
    this.isolation.hold(placements)
    for (const { incarnation } of placements) this.expectedCapacity.allocate(incarnation, waiting.requirements)
    return true
  }

  /** Tries the groups in order, each split by preference. */
  private place (waiting: WaitingGang, workers: readonly WorkerIncarnation[], split = (group: WorkerIncarnation[]) => [group]): TaskPlacement[] | undefined {
    for (const group of this.pace.order(waiting, this.levels(waiting, workers), this.view.now).flatMap(split)) {
      const placements = this.placeWithin(waiting, group)
      if (placements !== undefined) return placements
    }
    return undefined
  }

  /** Urgent work, and work that may backfill, also uses reserved capacity. */
  private placeWithin (waiting: WaitingGang, group: readonly WorkerIncarnation[]): TaskPlacement[] | undefined {
    const { reservations } = this
    const penalty = this.neighbours.penaltyFor(waiting)
    if (reservations === undefined || waiting.queue.priority === 0 || reservations.mayBackfill(waiting)) {
      const placements = placeTasks(waiting.requirements, taskPositions(waiting), group, this.freeCapacity, penalty)
      if (placements !== undefined) reservations?.recordAllocation(waiting, placements)
      return placements
    }
    const placements = reservations.placeBeside(waiting, group, penalty)
    for (const { incarnation } of placements ?? []) this.freeCapacity.allocate(incarnation, waiting.requirements)
    return placements
  }

  /** The racks, then all workers together where no rack could ever hold the gang or where it has waited too long for one. */
  private levels (waiting: WaitingGang, workers: readonly WorkerIncarnation[]): WorkerIncarnation[][][] {
    const { step } = waiting
    const groups = rackGroups(step, workers)
    if (groups.length <= 1 && step.dataRack === '') return [groups]
    const neverFits = prefersOneRack(step) && !groups.some((group) => placeTasks(waiting.requirements, taskPositions(waiting), group, FreeCapacity.empty(group)) !== undefined)
    return neverFits || this.maySpanRacks(waiting) ? [groups, [[...workers]]] : [groups]
  }

  private maySpanRacks ({ step, job, guaranteed }: WaitingGang): boolean {
    const maxWait = guaranteed ? MAX_GUARANTEED_RACK_WAIT_MILLISECONDS : step.estimateMilliseconds * MAX_RACK_WAIT_ESTIMATES
    return this.view.now - job.acceptedAt > maxWait
  }

  private eligible (waiting: WaitingGang): WorkerIncarnation[] {
    const key = `${waiting.queue.service} ${waiting.step.label} ${waiting.queue.priority}`
    const known = this.workers.get(key) ?? eligibleWorkers(this.state, waiting, this.view)
    this.workers.set(key, known)
    return known
  }

  /**
   * Key of the gangs for which the same placements are possible. Capacity only shrinks during a round, so once a gang of a
   * class cannot be placed, the rest of its class is skipped.
   */
  private placementClass (waiting: WaitingGang): string {
    const { job, step, gang } = waiting
    const name = `${isCrashSuspect(gang)} ${gang.size}`
    const { lastClass } = this
    if (lastClass?.job === job && lastClass.step === step && lastClass.name === name) return lastClass.placementClass
    const placementClass = this.newPlacementClass(waiting)
    this.lastClass = { job, step, name, placementClass }
    return placementClass
  }

  private newPlacementClass (waiting: WaitingGang): string {
    const { key, gang, queue, step, requirements, guaranteed } = waiting
    const scope = [isCrashSuspect(gang), queue.service, queue.priority, guaranteed, step.label, step.dataRack, prefersOneRack(step), this.maySpanRacks(waiting), this.mayStopLowerWork(waiting), this.pace.needsUsualPace(waiting, this.view.now), this.reservations?.mayBackfill(waiting)]
    const ownStep = step.mostPerWorker > 0 || queue.priority === 0 ? `${key.job}.${key.step}` : ''
    return [...scope, gang.size, requirements.processors, requirements.memoryMegabytes, requirements.accelerators, requirements.losesWork, ownStep].join(' ')
  }

  /** Stops gangs to free capacity for an urgent gang, and reserves that capacity against the gangs later in the order. */
  private preempt (waiting: WaitingGang, eligible = this.eligible(waiting), accepts = (_plan: PreemptionPlan): boolean => true): boolean {
    if (!this.mayStopLowerWork(waiting)) return false
    const workers = this.isolation.open(eligible)
    const victims = victimsFor(this.state, waiting, this.guaranteed, this.view.now)
    const plans = this.levels(waiting, workers).flat()
      .map((group) => planPreemption(waiting, group, victims, this.expectedCapacity))
      .filter((plan): plan is PreemptionPlan => plan !== undefined && accepts(plan))
    const best = plans.sort((one, other) => one.cost - other.cost)[0]
    if (best === undefined) return false
    this.applyPlan(waiting, best)
    return true
  }

  /** Waiting briefly for capacity to become free is better than stopping work that loses its progress. */
  private shouldWait ({ job, step }: WaitingGang, plan: PreemptionPlan): boolean {
    const maxWait = Math.min(MAX_RECLAIM_WAIT_MILLISECONDS, step.estimateMilliseconds * MAX_RECLAIM_WAIT_SHARE)
    return plan.victims.some(({ losesWork }) => losesWork) && this.view.now - job.acceptedAt < maxWait
  }

  private applyPlan (waiting: WaitingGang, plan: PreemptionPlan): void {
    for (const { job, step, gang, attempt, members, taskResources } of this.shouldWait(waiting, plan) ? [] : plan.victims) {
      const name = `${job}.${step}.${gang}`
      if (this.stopped.has(name)) continue
      this.stopped.add(name)
      const reason = waiting.guaranteed ? StopReason.Reclaimed : StopReason.Preempted
      const stop: StopGang = { kind: StepTransactionKind.StopGang, at: this.view.now, job, step, gang, attempt, reason }
      this.decisions.push(stop)
      for (const { incarnation } of members) this.expectedCapacity.release(incarnation, taskResources)
    }
    for (const { incarnation } of plan.placements) {
      this.freeCapacity.allocate(incarnation, waiting.requirements)
      this.expectedCapacity.allocate(incarnation, waiting.requirements)
    }
    this.reservations?.recordAllocation(waiting, plan.placements)
  }
}

/** Measured capacity of each incarnation. The object of an incarnation is replaced whenever its runs or its capacity change, so that entries never become outdated. */
const capacityCache = new WeakMap<WorkerIncarnation, WorkerCapacity>()

function measureWorker (state: StepState, worker: WorkerIncarnation): WorkerCapacity {
  const known = capacityCache.get(worker)
  if (known !== undefined) return known
  const uncheckpointed = worker.runs.reduce((sum, key) => sum + uncheckpointedAccelerators(state, key), 0)
  const capacity = { free: addResources(worker, worker.used, -1), uncheckpointed }
  capacityCache.set(worker, capacity)
  return capacity
}

function uncheckpointedAccelerators (state: StepState, { job, step: number }: RunKey): number {
  const step = state.jobs.get(job)?.specification.steps[number]
  return step === undefined || step.checkpoints ? 0 : step.accelerators
}
