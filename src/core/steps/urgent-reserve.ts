/**
 * Capacity that work without checkpoints should leave free, derived from the recent demand of urgent work. On a full fleet,
 * more accelerators are then held by work that can be stopped without losing progress. The reserve only affects the order of
 * starts: capacity that no other work of the same priority can use is not left idle.
 */
import { queueOfJob } from './jobs'
import type { StepState } from './model'
import type { WaitingGang } from './waiting-gangs'
import { initialAccelerators } from './specification'

/** Urgent work accepted within this time counts as demand; about twice as long as an urgent task runs. */
const DEMAND_WINDOW_MILLISECONDS = 6_000
/** Accelerators reserved for each one demanded: a burst about doubles the usual demand. */
const RESERVED_PER_DEMANDED = 1.5
/** Upper limit of the reserve, as a share of all accelerators. */
const MAX_RESERVED_SHARE = 0.6
const URGENT_PRIORITY = 0

/** Accelerators of the workers that may be used. */
export interface FleetAccelerators {
  readonly total: number
  /** Held by work without checkpoints, which loses its progress when it is stopped. */
  readonly uncheckpointed: number
}

/** Accelerators that work without checkpoints may still take in a scheduling round. */
export class UrgentReserve {
  private constructor (private remaining: number) {}

  /**
   * Computes the reserve at the start of a round.
   * @param state - state of the step jobs
   * @param fleet - accelerators of the fleet
   * @param now - milliseconds since the epoch
   * @returns the reserve
   */
  static of (state: StepState, fleet: FleetAccelerators, now: number): UrgentReserve {
    const { total, uncheckpointed } = fleet
    const reserved = Math.min(total * MAX_RESERVED_SHARE, urgentDemand(state, now) * RESERVED_PER_DEMANDED)
    return new UrgentReserve(reserved === 0 ? Infinity : total - reserved - uncheckpointed)
  }

  /** Whether a gang may start in its turn: it is urgent, loses no progress when stopped, or leaves the reserve free. */
  admits (waiting: WaitingGang): boolean {
    return waiting.queue.priority === URGENT_PRIORITY || !waiting.requirements.losesWork || acceleratorsOf(waiting) <= this.remaining
  }

  /** Accounts for a gang that starts. */
  recordStart (waiting: WaitingGang): void {
    if (waiting.requirements.losesWork) this.remaining -= acceleratorsOf(waiting)
  }
}

function acceleratorsOf ({ gang, requirements }: WaitingGang): number {
  return gang.size * requirements.accelerators
}

function urgentDemand (state: StepState, now: number): number {
  let demand = 0
  for (const job of state.jobs.values()) {
    if (now - job.acceptedAt > DEMAND_WINDOW_MILLISECONDS || queueOfJob(state, job).priority !== URGENT_PRIORITY) continue
    demand += initialAccelerators(job.specification)
  }
  return demand
}
