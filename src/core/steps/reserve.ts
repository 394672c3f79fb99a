/**
 * Room that work without checkpoints should leave, by what urgent work has lately asked for. On a full fleet urgent gangs
 * then find more accelerators held by work that loses nothing by a stop. It is an order of starts only: room that nobody
 * else of the same priority can use is given away.
 */
import { queueOfJob } from './jobs'
import type { StepState } from './model'
import type { WaitingGang } from './order'
import { firstStepAccelerators } from './specification'

/** Urgent work accepted within this time counts, in milliseconds: about twice as long as an urgent task runs. */
const DEMAND_MILLISECONDS = 6_000
/** What is kept for each accelerator that was asked for: a burst about doubles the usual demand. */
const KEPT_PER_DEMAND = 1.5
/** Largest share of the accelerators that is kept. */
const MOST_KEPT_SHARE = 0.6
const URGENT_PRIORITY = 0

/** Accelerators of the workers that may be used. */
export interface FleetAccelerators {
  readonly all: number
  /** Held by work that a stop would lose. */
  readonly losing: number
}

/** What is left in a round for work that a stop would lose. */
export class Reserve {
  private constructor (private left: number) {}

  /**
   * Measures what such work may still take.
   * @param state - the jobs of steps
   * @param fleet - the accelerators
   * @param now - milliseconds since the epoch
   * @returns the reserve at the start of a round
   */
  static of (state: StepState, fleet: FleetAccelerators, now: number): Reserve {
    const { all, losing } = fleet
    const kept = Math.min(all * MOST_KEPT_SHARE, urgentDemand(state, now) * KEPT_PER_DEMAND)
    return new Reserve(kept === 0 ? Infinity : all - kept - losing)
  }

  /** Whether a gang need not let others pass: it is urgent, loses nothing by a stop, or leaves the room that is kept. */
  admits (waiting: WaitingGang): boolean {
    return waiting.queue.priority === URGENT_PRIORITY || !waiting.need.losesWork || acceleratorsOf(waiting) <= this.left
  }

  /** Notes that a gang starts. */
  take (waiting: WaitingGang): void {
    if (waiting.need.losesWork) this.left -= acceleratorsOf(waiting)
  }
}

function acceleratorsOf ({ gang, need }: WaitingGang): number {
  return gang.size * need.accelerators
}

function urgentDemand (state: StepState, now: number): number {
  let demand = 0
  for (const job of state.jobs.values()) {
    if (now - job.acceptedAt > DEMAND_MILLISECONDS || queueOfJob(state, job).priority !== URGENT_PRIORITY) continue
    demand += firstStepAccelerators(job.specification)
  }
  return demand
}
