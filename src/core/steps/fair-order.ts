/**
 * The order in which waiting gangs are tried, by account. Load: accounts that compete for too little capacity, of which one
 * has submitted a burst. Within one priority, guarantee class and forecast, the account with the smallest dominant share
 * goes first; what this round starts counts at once. Accounts that do not compete keep the order of `waiting-gangs.ts`.
 */
import type { AccountShares } from './account-shares'
import type { StartTimes } from './account-starts'
import { overdueAt } from './overdue'
import { compare, rankOf, type WaitingGang } from './waiting-gangs'

/** An order of waiting gangs that depends on which of them start. */
export interface GangOrder {
  /** Each gang once, in the order in which they are tried. */
  readonly gangs: () => Iterable<WaitingGang>
  /** Notes that the gang that was returned last has started, or that capacity is reserved for it. */
  readonly recordStart: (waiting: WaitingGang) => void
  /** Whether the gang must be tried in its turn, since its account would starve otherwise. */
  readonly isDueNow: (waiting: WaitingGang) => boolean
}

/** Limit of the gangs of an account without runs that are tried before their turn. If none of them fits, the others have their usual place. */
const MAX_IDLE_TRIES = 20

/** What the order depends on beyond the gangs and the shares. */
export interface OrderView {
  /** Milliseconds since the epoch. */
  readonly now: number
  /** When each account last started work; no starts are known by default. */
  readonly accountStarts?: StartTimes
}

/** Which starts are compared: the keys of {@link StartTimes}. */
enum StartKind {
  All = 'all',
  Overdue = 'overdue'
}

/** The gangs of one priority. */
interface PriorityGroup {
  /** Gangs that keep the rank of their priority, by guarantee class and forecast. */
  readonly classes: WaitingGang[][]
  /** Gangs that no guarantee covers, by account, including those without remaining value. */
  readonly byAccount: Map<string, WaitingGang[]>
}

/** The order by dominant share. */
export class FairOrder implements GangOrder {
  private readonly tried = new Set<WaitingGang>()
  private readonly dueNow = new Set<WaitingGang>()

  private constructor (private readonly waiting: readonly WaitingGang[], private readonly shares: AccountShares, private readonly view: OrderView) {}

  /**
   * Creates the order.
   * @param waiting - the gangs, sorted without regard to their accounts
   * @param shares - shares of the accounts, to which the starts are added
   * @param view - the time, and earlier starts
   * @returns the order
   */
  static of (waiting: readonly WaitingGang[], shares: AccountShares, view: OrderView): FairOrder {
    return new FairOrder(waiting, shares, view)
  }

  gangs (): Iterable<WaitingGang> {
    const account = this.waiting[0]?.job.account
    return this.waiting.every(({ job }) => job.account === account) ? this.waiting : this.byShare()
  }

  recordStart (waiting: WaitingGang): void {
    const { job, gang, requirements } = waiting
    const { processors, memoryMegabytes, accelerators } = requirements
    const used = { processors: processors * gang.size, memoryMegabytes: memoryMegabytes * gang.size, accelerators: accelerators * gang.size }
    this.shares.add(job.account, used, this.view.now >= overdueAt(job))
  }

  isDueNow (waiting: WaitingGang): boolean {
    return this.dueNow.has(waiting)
  }

  private * byShare (): Generator<WaitingGang> {
    const { groups, worthless } = this.groupByPriority()
    for (const priority of [...groups.keys()].sort((one, other) => one - other)) {
      const { classes, byAccount } = groups.get(priority)!
      for (const gangs of classes.filter(([first]) => first?.guaranteed === true)) yield * this.bySmallestShare(gangs)
      yield * this.overdue(byAccount)
      yield * this.ofIdleAccounts(byAccount)
      for (const gangs of classes.filter(([first]) => first?.guaranteed !== true)) yield * this.bySmallestShare(gangs)
    }
    yield * this.bySmallestShare(worthless)
  }

  private groupByPriority (): { groups: Map<number, PriorityGroup>, worthless: WaitingGang[] } {
    const groups = new Map<number, PriorityGroup>()
    const worthless: WaitingGang[] = []
    for (const waiting of this.waiting) {
      const group = groups.get(waiting.queue.priority) ?? { classes: [], byAccount: new Map<string, WaitingGang[]>() }
      groups.set(waiting.queue.priority, group)
      if (!waiting.guaranteed) listOf(group.byAccount, waiting.job.account).push(waiting)
      if (rankOf(waiting) === Infinity) { worthless.push(waiting); continue }
      const last = group.classes.at(-1)
      if (last?.[0] !== undefined && last[0].guaranteed === waiting.guaranteed && last[0].forecast === waiting.forecast) last.push(waiting)
      else group.classes.push([waiting])
    }
    return { groups, worthless }
  }

  /**
   * The oldest gang of each account, where it is overdue. An account has one such run at a time: serving all overdue work
   * first would leave no capacity for work that can still meet its objective.
   */
  private * overdue (byAccount: ReadonlyMap<string, readonly WaitingGang[]>): Generator<WaitingGang> {
    const oldest = [...byAccount].filter(([account]) => !this.shares.runsOverdue(account))
      .map(([, gangs]) => gangs.reduce((one, other) => other.job.acceptedAt < one.job.acceptedAt ? other : one))
      .filter(({ job }) => this.view.now >= overdueAt(job))
    for (const waiting of oldest.sort((one, other) => this.compareStarts(StartKind.Overdue, one, other) || one.job.acceptedAt - other.job.acceptedAt || compare(one, other))) {
      if (!this.shares.runsOverdue(waiting.job.account)) yield * this.tryNow(waiting)
    }
  }

  /** Gangs of accounts that have nothing, however late they are, until one of them starts: short jobs are late within seconds. */
  private * ofIdleAccounts (byAccount: ReadonlyMap<string, readonly WaitingGang[]>): Generator<WaitingGang> {
    const idle = [...byAccount].filter(([account]) => this.shares.isIdle(account)).map(([, gangs]) => gangs)
    for (const gangs of idle.sort(([one], [other]) => this.compareStarts(StartKind.All, one!, other!) || compare(one!, other!))) {
      for (const waiting of gangs.slice(0, MAX_IDLE_TRIES)) {
        if (!this.shares.isIdle(waiting.job.account)) break
        yield * this.tryNow(waiting)
      }
    }
  }

  /** Negative where the account of the first gang has started work less recently. */
  private compareStarts (kind: StartKind, one: WaitingGang, other: WaitingGang): number {
    const times = this.view.accountStarts?.[kind]
    return (times?.get(one.job.account) ?? 0) - (times?.get(other.job.account) ?? 0)
  }

  private * tryNow (waiting: WaitingGang): Generator<WaitingGang> {
    if (this.tried.has(waiting)) return
    this.tried.add(waiting)
    this.dueNow.add(waiting)
    yield waiting
  }

  /** The remaining gangs of one class. A share only grows during a round, so an outdated entry is found when it comes up. */
  private * bySmallestShare (gangs: readonly WaitingGang[]): Generator<WaitingGang> {
    const byAccount = new Map<string, WaitingGang[]>()
    for (const waiting of gangs) if (!this.tried.has(waiting)) listOf(byAccount, waiting.job.account).push(waiting)
    const heap = AccountHeap.create([...byAccount].map(([account, list]) => ({ share: this.shares.weightedShare(account), gangs: list, next: 0 })))
    for (let entry = heap.first; entry !== undefined; entry = heap.first) {
      const waiting = entry.gangs[entry.next]
      if (waiting === undefined) { heap.removeFirst(); continue }
      const share = this.shares.weightedShare(waiting.job.account)
      if (share === entry.share) {
        entry.next += 1
        yield waiting
      } else entry.share = share
      heap.sinkFirst()
    }
  }
}

function listOf<Key, Value> (lists: Map<Key, Value[]>, key: Key): Value[] {
  const known = lists.get(key)
  if (known !== undefined) return known
  const list: Value[] = []
  lists.set(key, list)
  return list
}

/** The gangs of one account in one class. */
interface AccountEntry {
  /** Weighted share when the entry was last moved. */
  share: number
  readonly gangs: readonly WaitingGang[]
  /** Position of the next gang to try. */
  next: number
}

/** A binary heap of accounts, smallest share first; among equal shares, the account whose next gang comes first without regard to accounts. */
class AccountHeap {
  private constructor (private readonly entries: AccountEntry[]) {}

  static create (entries: AccountEntry[]): AccountHeap {
    return new AccountHeap(entries.sort(compareEntries))
  }

  get first (): AccountEntry | undefined {
    return this.entries[0]
  }

  removeFirst (): void {
    const last = this.entries.pop()
    if (last === undefined || this.entries.length === 0) return
    this.entries[0] = last
    this.sinkFirst()
  }

  /** Restores the order after the first entry has changed. */
  sinkFirst (): void {
    for (let position = 0; ;) {
      let first = position
      for (const child of [2 * position + 1, 2 * position + 2]) if (child < this.entries.length && compareEntries(this.entries[child]!, this.entries[first]!) < 0) first = child
      if (first === position) return
      [this.entries[position], this.entries[first]] = [this.entries[first]!, this.entries[position]!]
      position = first
    }
  }
}

/** An entry without further gangs comes first, to be removed. */
function compareEntries (one: AccountEntry, other: AccountEntry): number {
  const [gang, otherGang] = [one.gangs[one.next], other.gangs[other.next]]
  if (gang === undefined || otherGang === undefined) return Number(gang !== undefined) - Number(otherGang !== undefined)
  return one.share - other.share || compare(gang, otherGang)
}
