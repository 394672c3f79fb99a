import { Urgency } from './document'
import { memoryNeeded } from './draft'
import { estimateKey, expectedSeconds, MEDIAN } from './estimates'
import { isNonPreemptible } from './allocations'
import type { Job } from './job'
import type { State } from './state'

/** A queued job with the values that determine its order. */
export interface QueueEntry {
  readonly job: Job
  /** Rank of its urgency; lower goes first. */
  readonly rank: number
  /** Order within a rank, lower goes first: the time of acceptance plus a weighted expected run time. */
  readonly orderKey: number
  /** Entries of the same class fit the same places. */
  readonly placementClass: string
  /** Total over all workers. */
  readonly accelerators: number
}

/** Lower is more urgent. */
export const urgencyRank: { readonly [urgency in Urgency]: number } = {
  [Urgency.Urgent]: 0,
  [Urgency.Normal]: 1,
  [Urgency.Background]: 2
}

/** Seconds of waiting that outweigh one second of expected run time, at a completion time weight of 1. */
const WAIT_PER_RUN_SECOND = 2
/** Change factor of a measured run time from which on the queue is reordered. */
const REORDER_FACTOR = 1.25

/** One account's waiting jobs, in order. */
export interface AccountQueue {
  readonly account: string
  readonly entries: readonly QueueEntry[]
}

/** The waiting jobs of all accounts, in order. The instance is reused from one decision to the next. */
export class Queue {
  private static latest: Queue | undefined
  private entries = new Map<string, QueueEntry>()
  private readonly usedRunTimes = new Map<string, number>()
  private byAccount: AccountQueue[] = []
  /** The earliest deadline of any waiting job, in milliseconds since the epoch. */
  earliestDeadline = Infinity
  /** One entry of each class. */
  readonly classes = new Map<string, QueueEntry>()

  private constructor (private lastState: State) {}

  /**
   * Gets the queue of a state.
   * @param state - the state
   * @returns the queue, valid until the next call
   */
  static of (state: State): Queue {
    const latest = Queue.latest
    if (latest !== undefined && latest.lastState.queued === state.queued && latest.lastState.estimates === state.estimates &&
      latest.lastState.configuration === state.configuration) return latest
    const sameWeights = latest?.lastState.configuration.document.placement === state.configuration.document.placement
    const queue = latest !== undefined && sameWeights ? latest : new Queue(state)
    queue.update(state)
    Queue.latest = queue
    return queue
  }

  get accounts (): readonly AccountQueue[] { return this.byAccount }
  get size (): number { return this.entries.size }

  private update (state: State): void {
    const stale = this.dropOutdatedEntries(state)
    if (!stale && this.lastState.queued === state.queued && this.entries.size === state.queued.size) { this.lastState = state; return }
    const before = this.entries
    const after = new Map<string, QueueEntry>()
    const lists = new Map<string, QueueEntry[]>()
    this.earliestDeadline = Infinity
    this.classes.clear()
    for (const identifier of state.queued) {
      const job = state.jobs.get(identifier)
      if (job === undefined) continue
      const known = before.get(identifier)
      const entry = known?.job === job ? known : this.makeEntry(state, job)
      after.set(identifier, entry)
      this.classes.set(entry.placementClass, entry)
      const { deadline } = job.specification
      if (deadline !== 0 && deadline < this.earliestDeadline) this.earliestDeadline = deadline
      const list = lists.get(job.specification.account)
      if (list === undefined) lists.set(job.specification.account, [entry])
      else list.push(entry)
    }
    this.entries = after
    this.lastState = state
    this.byAccount = [...lists].sort(([one], [other]) => one < other ? -1 : 1).map(([account, entries]) => ({ account, entries: entries.sort(compareEntries) }))
  }

  /** Drops entries whose expected run time has changed enough to reorder them. */
  private dropOutdatedEntries (state: State): boolean {
    if (this.lastState.estimates === state.estimates) return false
    const before = this.entries.size
    for (const entry of this.entries.values()) {
      const { account, kind } = entry.job.specification
      const key = estimateKey(account, kind)
      if (this.lastState.estimates.get(key) === state.estimates.get(key)) continue
      const used = this.usedRunTimes.get(key)
      const now = expectedSeconds(state, entry.job, MEDIAN)
      if (used !== undefined && now <= used * REORDER_FACTOR && used <= now * REORDER_FACTOR) continue
      this.entries.delete(entry.job.identifier)
    }
    return this.entries.size < before
  }

  private makeEntry (state: State, job: Job): QueueEntry {
    const { shape, urgency, account, kind } = job.specification
    const seconds = expectedSeconds(state, job, MEDIAN)
    this.usedRunTimes.set(estimateKey(account, kind), seconds)
    const weight = state.configuration.document.placement.completionTimeWeight
    const placementClass = [shape.workers, shape.accelerators, shape.slots, shape.processors, memoryNeeded(job), shape.within, isNonPreemptible(job), urgency, ...job.failedOn].join()
    return {
      job,
      rank: urgencyRank[urgency],
      orderKey: job.acceptedAt + weight * WAIT_PER_RUN_SECOND * seconds * 1_000,
      placementClass,
      accelerators: shape.workers * shape.accelerators
    }
  }
}

/**
 * Compares the order of two entries.
 * @param one - an entry
 * @param other - another entry
 * @returns a negative number if the first goes before the other
 */
export function compareEntries (one: QueueEntry, other: QueueEntry): number {
  return one.rank - other.rank || one.orderKey - other.orderKey || (one.job.identifier < other.job.identifier ? -1 : 1)
}
