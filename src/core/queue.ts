import { Urgency } from './document'
import { memoryNeeded } from './draft'
import { estimateKey, expectedSeconds, MEDIAN } from './estimates'
import { isFirm } from './holdings'
import type { Job } from './job'
import type { State } from './state'

/** A queued job with what its place in the queue depends on. */
export interface Entry {
  readonly job: Job
  readonly rank: number
  /** Lower goes first within a rank: the time of acceptance, put back by the expected run time. */
  readonly key: number
  /** Entries of one class fit the same places. */
  readonly sort: string
  /** Accelerators over all workers. */
  readonly accelerators: number
}

/** Lower is more urgent. */
export const urgencyRank: { readonly [urgency in Urgency]: number } = {
  [Urgency.Urgent]: 0,
  [Urgency.Normal]: 1,
  [Urgency.Background]: 2
}

/** How many seconds of waiting make up for one second of expected run time, at full weight of completion time. */
const WAIT_FOR_RUN_TIME = 2
/** Learned run times reorder a queue once they changed by this factor. */
const REORDER_FACTOR = 1.25

/** One account's waiting jobs, in order. */
export interface AccountQueue {
  readonly account: string
  readonly entries: readonly Entry[]
}

/** The waiting jobs of all accounts, in order; kept from one decision to the next. */
export class Queue {
  private static latest: Queue | undefined
  private entries = new Map<string, Entry>()
  private readonly runs = new Map<string, number>()
  private byAccount: AccountQueue[] = []
  /** The earliest deadline of all, in milliseconds since the epoch. */
  earliestDeadline = Infinity
  /** One entry of each class. */
  readonly classes = new Map<string, Entry>()

  private constructor (private seen: State) {}

  /**
   * Sees the queue of a state.
   * @param state - the state
   * @returns the queue, valid until the next call
   */
  static of (state: State): Queue {
    const latest = Queue.latest
    if (latest !== undefined && latest.seen.queued === state.queued && latest.seen.estimates === state.estimates &&
      latest.seen.configuration === state.configuration) return latest
    const sameWeights = latest?.seen.configuration.document.placement === state.configuration.document.placement
    const queue = latest !== undefined && sameWeights ? latest : new Queue(state)
    queue.bringUpToDate(state)
    Queue.latest = queue
    return queue
  }

  get accounts (): readonly AccountQueue[] { return this.byAccount }
  get size (): number { return this.entries.size }

  private bringUpToDate (state: State): void {
    const stale = this.forgetOldRuns(state)
    if (!stale && this.seen.queued === state.queued && this.entries.size === state.queued.size) { this.seen = state; return }
    const before = this.entries
    const after = new Map<string, Entry>()
    const lists = new Map<string, Entry[]>()
    this.earliestDeadline = Infinity
    this.classes.clear()
    for (const identifier of state.queued) {
      const job = state.jobs.get(identifier)
      if (job === undefined) continue
      const known = before.get(identifier)
      const entry = known?.job === job ? known : this.entryOf(state, job)
      after.set(identifier, entry)
      this.classes.set(entry.sort, entry)
      const { deadline } = job.specification
      if (deadline !== 0 && deadline < this.earliestDeadline) this.earliestDeadline = deadline
      const list = lists.get(job.specification.account)
      if (list === undefined) lists.set(job.specification.account, [entry])
      else list.push(entry)
    }
    this.entries = after
    this.seen = state
    this.byAccount = [...lists].sort(([one], [other]) => one < other ? -1 : 1).map(([account, entries]) => ({ account, entries: entries.sort(compareEntries) }))
  }

  /** Entries whose expected run time has changed much are made anew. */
  private forgetOldRuns (state: State): boolean {
    if (this.seen.estimates === state.estimates) return false
    const before = this.entries.size
    for (const entry of this.entries.values()) {
      const { account, kind } = entry.job.specification
      const key = estimateKey(account, kind)
      if (this.seen.estimates.get(key) === state.estimates.get(key)) continue
      const used = this.runs.get(key)
      const now = expectedSeconds(state, entry.job, MEDIAN)
      if (used !== undefined && now <= used * REORDER_FACTOR && used <= now * REORDER_FACTOR) continue
      this.entries.delete(entry.job.identifier)
    }
    return this.entries.size < before
  }

  private entryOf (state: State, job: Job): Entry {
    const { shape, urgency, account, kind } = job.specification
    const seconds = expectedSeconds(state, job, MEDIAN)
    this.runs.set(estimateKey(account, kind), seconds)
    const weight = state.configuration.document.placement.completionTimeWeight
    const sort = [shape.workers, shape.accelerators, shape.slots, shape.processors, memoryNeeded(job), shape.within, isFirm(job), urgency, ...job.failedOn].join()
    return {
      job,
      rank: urgencyRank[urgency],
      key: job.acceptedAt + weight * WAIT_FOR_RUN_TIME * seconds * 1_000,
      sort,
      accelerators: shape.workers * shape.accelerators
    }
  }
}

/**
 * Orders entries.
 * @param one - an entry
 * @param other - another
 * @returns negative where the first goes before the other
 */
export function compareEntries (one: Entry, other: Entry): number {
  return one.rank - other.rank || one.key - other.key || (one.job.identifier < other.job.identifier ? -1 : 1)
}
