/** One round of decisions on jobs of steps: what to stop, then what to start, in the order of the queue. */
import { eligibleWorkers, needsOneRack, rackGroups, type Choice } from './candidates'
import { addResources, StopReason, type Life, type StepState } from './model'
import { guaranteedJobs, tasksOf, waitingGangs, type WaitingGang } from './order'
import { Reserve, type FleetAccelerators } from './reserve'
import { placeTasks, Rooms, type WorkerRoom } from './rooms'
import type { RunKey } from './run'
import { StepTransactionKind, type StartGang, type StepTransaction, type StopGang, type TaskPlacement } from './transactions'
import { giveStopping, planRoom, victimsFor, type RoomPlan } from './victims'
import { watchRuns, type RunProgress } from './watch'

export type { RunProgress }

/** What the leader knows of the workers beside the log. */
export interface FleetView extends Choice {
  /** Milliseconds since the epoch. */
  readonly now: number
  /** How far runs are, by name. */
  readonly progress: ReadonlyMap<string, RunProgress>
  /** False until agents had the time to report to this leader: nothing is judged by its absence. */
  readonly complete: boolean
}

/** Waiting time after which a guaranteed gang takes workers of several racks, in milliseconds; leaves half of the time to reclaim. */
const GUARANTEED_RACK_MILLISECONDS = 1_300
/** Times its estimate that a gang waits for one rack: spread over several it takes three times as long. */
const RACK_PATIENCE = 2

/** Longest wait before work is lost for an urgent gang, in milliseconds: a third of the tightest bound to reclaim. */
const RECLAIM_PATIENCE_MILLISECONDS = 800
/** Share of its estimate that an urgent gang may wait: half of the slack that urgent queues leave. */
const PATIENCE_SHARE = 0.25

/**
 * Decides on jobs of steps.
 * @param state - the jobs of steps, with all proposed entries applied
 * @param view - what is known beside the log
 * @returns the transactions to propose, in order
 */
export function scheduleSteps (state: StepState, view: FleetView): StepTransaction[] {
  if (state.open.size === 0) return []
  const stops = view.complete ? watchRuns(state, view) : []
  if (stops.length > 0) return stops
  return Round.create(state, view).run()
}

/** A round under way: room that earlier gangs took is gone for later ones. */
class Round {
  private readonly rooms: Rooms
  /** Free room with everything that is being stopped, less what is claimed. */
  private readonly coming: Rooms
  private readonly decisions: StepTransaction[] = []
  private readonly stopped = new Set<string>()
  /** Eligible workers by service and label. */
  private readonly workers = new Map<string, Life[]>()
  private readonly guaranteed: ReadonlySet<string>
  private readonly reserve: Reserve

  private constructor (private readonly state: StepState, private readonly view: FleetView) {
    this.rooms = Rooms.of(state.lives.values(), (life) => measuredRoom(state, life))
    this.coming = this.rooms.copy()
    giveStopping(state, this.coming)
    this.guaranteed = guaranteedJobs(state)
    this.reserve = Reserve.of(state, this.accelerators(), view.now)
  }

  static create (state: StepState, view: FleetView): Round {
    return new Round(state, view)
  }

  run (): StepTransaction[] {
    const refused = new Set<string>()
    /** Gangs of one priority that let others pass for the sake of urgent work. */
    let held: WaitingGang[] = []
    const startHeld = (): void => {
      for (const gang of held) this.startOrMakeRoom(gang, refused)
      held = []
    }
    for (const gang of waitingGangs(this.state, this.guaranteed, this.view.now)) {
      if (held[0] !== undefined && held[0].queue.priority !== gang.queue.priority) startHeld()
      if (this.reserve.admits(gang)) this.startOrMakeRoom(gang, refused)
      else held.push(gang)
    }
    startHeld()
    return this.decisions
  }

  private startOrMakeRoom (gang: WaitingGang, refused: Set<string>): void {
    const sort = this.sortOf(gang)
    if (refused.has(sort)) return
    if (!this.start(gang) && !this.makeRoom(gang)) refused.add(sort)
  }

  private accelerators (): FleetAccelerators {
    let [all, losing] = [0, 0]
    for (const life of this.state.lives.values()) {
      if (this.view.silent.has(life.incarnation)) continue
      all += life.accelerators
      losing += measuredRoom(this.state, life).losing
    }
    return { all, losing }
  }

  private start (waiting: WaitingGang): boolean {
    const workers = this.eligible(waiting)
    const placements = this.place(waiting, workers)
    if (placements === undefined) return false
    const { key, gang, need } = waiting
    const decision: StartGang = { kind: StepTransactionKind.StartGang, at: this.view.now, ...key, attempt: gang.attempts + 1, placements }
    this.decisions.push(decision)
    this.reserve.take(waiting)
    for (const { incarnation } of placements) this.coming.take(incarnation, need)
    return true
  }

  private place (waiting: WaitingGang, workers: readonly Life[]): TaskPlacement[] | undefined {
    const tasks = tasksOf(waiting)
    for (const group of this.groups(waiting, workers)) {
      const placements = placeTasks(waiting.need, tasks, group, this.rooms)
      if (placements !== undefined) return placements
    }
    return undefined
  }

  /** Racks first; all workers only where no rack could ever hold the gang, or where it has waited too long for one. */
  private groups (waiting: WaitingGang, workers: readonly Life[]): Life[][] {
    const { step } = waiting
    const groups = rackGroups(step, workers)
    if (groups.length <= 1 && step.dataRack === '') return groups
    const hopeless = needsOneRack(step) && !groups.some((group) => placeTasks(waiting.need, tasksOf(waiting), group, Rooms.empty(group)) !== undefined)
    return hopeless || this.mayBeSpread(waiting) ? [...groups, [...workers]] : groups
  }

  private mayBeSpread ({ step, job, guaranteed }: WaitingGang): boolean {
    const patience = guaranteed ? GUARANTEED_RACK_MILLISECONDS : step.estimateMilliseconds * RACK_PATIENCE
    return this.view.now - job.acceptedAt > patience
  }

  private eligible (waiting: WaitingGang): Life[] {
    const key = `${waiting.queue.service} ${waiting.step.label}`
    const known = this.workers.get(key) ?? eligibleWorkers(this.state, waiting, this.view)
    this.workers.set(key, known)
    return known
  }

  /** Gangs of one sort find room in the same places, and room only shrinks in a round: one that found none speaks for the rest. */
  private sortOf (waiting: WaitingGang): string {
    const { key, gang, queue, step, need, guaranteed } = waiting
    const place = [queue.service, queue.priority, guaranteed, step.label, step.dataRack, needsOneRack(step), this.mayBeSpread(waiting)]
    const own = step.mostPerWorker > 0 || queue.priority === 0 ? `${key.job}.${key.step}` : ''
    return [...place, gang.size, need.processors, need.memoryMegabytes, need.accelerators, need.losesWork, own].join(' ')
  }

  /** Stops what may be stopped for an urgent gang, and keeps its room from all that come later in the order. */
  private makeRoom (waiting: WaitingGang): boolean {
    if (waiting.queue.priority !== 0) return false
    const workers = this.eligible(waiting)
    const victims = victimsFor(this.state, waiting, this.guaranteed, this.view.now)
    const plans = this.groups(waiting, workers)
      .map((group) => planRoom(waiting, group, victims, this.coming))
      .filter((plan): plan is RoomPlan => plan !== undefined)
    const best = plans.sort((one, other) => one.cost - other.cost)[0]
    if (best === undefined) return false
    this.claim(waiting, best)
    return true
  }

  /** Room that becomes free by itself in a moment is worth more than work that would be lost. */
  private isPatient ({ job, step }: WaitingGang, plan: RoomPlan): boolean {
    const patience = Math.min(RECLAIM_PATIENCE_MILLISECONDS, step.estimateMilliseconds * PATIENCE_SHARE)
    return plan.victims.some(({ losesWork }) => losesWork) && this.view.now - job.acceptedAt < patience
  }

  private claim (waiting: WaitingGang, plan: RoomPlan): void {
    for (const { job, step, gang, attempt, members, needs } of this.isPatient(waiting, plan) ? [] : plan.victims) {
      const name = `${job}.${step}.${gang}`
      if (this.stopped.has(name)) continue
      this.stopped.add(name)
      const reason = waiting.guaranteed ? StopReason.Reclaimed : StopReason.Preempted
      const stop: StopGang = { kind: StepTransactionKind.StopGang, at: this.view.now, job, step, gang, attempt, reason }
      this.decisions.push(stop)
      for (const { incarnation } of members) this.coming.give(incarnation, needs)
    }
    for (const { incarnation } of plan.placements) {
      this.rooms.take(incarnation, waiting.need)
      this.coming.take(incarnation, waiting.need)
    }
  }
}

/** A worker's entry in the state is replaced whenever something on it changes, so what was measured of it stays true. */
const measured = new WeakMap<Life, WorkerRoom>()

function measuredRoom (state: StepState, life: Life): WorkerRoom {
  const known = measured.get(life)
  if (known !== undefined) return known
  const losing = life.runs.reduce((sum, key) => sum + losingAccelerators(state, key), 0)
  const room = { free: addResources(life, life.used, -1), losing }
  measured.set(life, room)
  return room
}

function losingAccelerators (state: StepState, { job, step: number }: RunKey): number {
  const step = state.jobs.get(job)?.specification.steps[number]
  return step === undefined || step.checkpoints ? 0 : step.accelerators
}
