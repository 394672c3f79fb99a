/**
 * Room for wide work. Answers a steady stream of narrow tasks that take each place as soon as it becomes free, so that a gang
 * of several tasks never finds enough room at once: after a while such a gang reserves the workers on which it can start
 * first, and narrow work may use them only if it will have ended by then, or loses nothing when it is stopped.
 */
import { expectedEnds, type EndsView, type ExpectedEnd } from './expected-ends'
import { placeTasks, type FreeCapacity } from './free-capacity'
import type { StepState, WorkerIncarnation } from './model'
import type { WorkerPenalty } from './neighbours'
import type { TaskPlacement } from './transactions'
import { taskPositions, type WaitingGang } from './waiting-gangs'

/** Largest number of gangs that hold a reservation at the same time: each may leave capacity idle. */
const MAX_RESERVATIONS = 2
/** How far ahead capacity is reserved, as a multiple of the gang's own estimate: estimates that reach further are too uncertain. */
const MAX_AHEAD_ESTIMATES = 4

/** Workers that are kept for a gang. */
export interface Reservation {
  readonly priority: number
  readonly placements: readonly TaskPlacement[]
  /** When the gang is expected to start, in milliseconds since the epoch. */
  readonly at: number
}

/** The reservations of one round. */
export class Reservations {
  private readonly reserved: Reservation[] = []

  private constructor (private readonly state: StepState, private readonly view: EndsView, private readonly unreserved: FreeCapacity) {}

  /**
   * Creates the reservations of a round.
   * @param state - state of the step jobs
   * @param view - the time and the progress of runs
   * @param capacity - free capacity at the start of the round, of which a copy is kept
   * @returns no reservations yet
   */
  static create (state: StepState, view: EndsView, capacity: FreeCapacity): Reservations {
    return new Reservations(state, view, capacity.copy())
  }

  /** Whether a further gang may reserve. */
  get mayReserve (): boolean { return this.reserved.length < MAX_RESERVATIONS }

  /** Whether any capacity is reserved. */
  get any (): boolean { return this.reserved.length > 0 }

  /**
   * Reserves the workers on which a gang can start first.
   * @param waiting - the gang
   * @param groups - groups of eligible workers, one of which must hold the whole gang
   * @param expected - capacity once all stopping runs have ended
   * @returns the reservation, or undefined where no group is expected to have enough capacity soon
   */
  reserve (waiting: WaitingGang, groups: readonly WorkerIncarnation[][], expected: FreeCapacity): Reservation | undefined {
    const latest = this.view.now + MAX_AHEAD_ESTIMATES * waiting.step.estimateMilliseconds
    let best: Reservation | undefined
    for (const group of groups) {
      const found = this.firstPlacement(waiting, group, expected, Math.min(latest, best?.at ?? Infinity))
      if (found !== undefined && found.at < (best?.at ?? Infinity)) best = found
    }
    if (best === undefined) return undefined
    this.reserved.push(best)
    for (const { incarnation } of best.placements) this.unreserved.allocate(incarnation, waiting.requirements)
    return best
  }

  /** Accounts for a gang that starts, or for which capacity is allocated in another way. */
  recordAllocation (waiting: WaitingGang, placements: readonly TaskPlacement[]): void {
    for (const { incarnation } of placements) this.unreserved.allocate(incarnation, waiting.requirements)
  }

  /**
   * Whether a gang may use reserved capacity: it will have ended before the first reservation is due, or each gang that
   * reserved may stop it without a loss.
   */
  mayBackfill ({ step, queue, gang }: WaitingGang): boolean {
    const losesNothing = step.checkpoints && gang.size === 1 && this.reserved.every(({ priority }) => queue.priority > priority)
    return losesNothing || this.reserved.every(({ at }) => this.view.now + step.estimateMilliseconds <= at)
  }

  /**
   * Places a gang and leaves all reserved capacity free.
   * @param waiting - the gang
   * @param group - the eligible workers
   * @param penalty - see placeTasks
   * @returns a worker for each task, or undefined where they do not all fit
   */
  placeBeside (waiting: WaitingGang, group: readonly WorkerIncarnation[], penalty?: WorkerPenalty): TaskPlacement[] | undefined {
    return placeTasks(waiting.requirements, taskPositions(waiting), group, this.unreserved, penalty)
  }

  /** Finds by bisection after how many of the expected ends the gang fits. */
  private firstPlacement (waiting: WaitingGang, group: readonly WorkerIncarnation[], expected: FreeCapacity, before: number): Reservation | undefined {
    const ends = expectedEnds(this.state, group.map(({ incarnation }) => incarnation), this.view).filter(({ at }) => at < before)
    let [low, high] = [0, ends.length]
    let found = this.placeAfter(waiting, group, expected, ends)
    if (found === undefined) return undefined
    while (low < high) {
      const middle = Math.floor((low + high) / 2)
      const placements = this.placeAfter(waiting, group, expected, ends.slice(0, middle))
      if (placements === undefined) low = middle + 1
      else { high = middle; found = placements }
    }
    return { priority: waiting.queue.priority, placements: found, at: ends[low - 1]?.at ?? this.view.now }
  }

  private placeAfter (waiting: WaitingGang, group: readonly WorkerIncarnation[], expected: FreeCapacity, ends: readonly ExpectedEnd[]): TaskPlacement[] | undefined {
    const trial = expected.copy(group)
    for (const { incarnation, resources } of ends) trial.release(incarnation, resources)
    return placeTasks(waiting.requirements, taskPositions(waiting), group, trial)
  }
}
