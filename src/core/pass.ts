import { foresee, type AwaitedPlace } from './backfill'
import { Urgency, type Placement, type Shape } from './document'
import { memoryNeeded } from './draft'
import { expectedSeconds, HIGH_QUANTILE } from './estimates'
import { Shares } from './fairness'
import { Fleet, type Row } from './fleet'
import { fitsHome, isDrained, membersInHome, moveHomesAside } from './guarantees'
import { add, amountsOfJob, isFirm, within, type JobPart } from './holdings'
import type { Home } from './homes'
import { hasEnded, JobState, Reason, type Job, type Member } from './job'
import { clear, largestGroup, placeByStopping, placeFree, type Place, type Search, type StopCost } from './placement'
import { compareEntries, urgencyRank, type Entry, type Queue } from './queue'
import type { State } from './state'
import { TransactionKind, type Transaction } from './transaction'
import { WorkerHealth } from './worker'

/** Reservations that are decided in one call at most; the next call goes on. */
const MOST_RESERVATIONS = 64
/** Kinds of waiting jobs for which it is tried to move homes aside, in one call. */
const MOST_MOVES_TRIED = 4
/** Milliseconds that a quarantined worker waits for a job that can probe it. */
const TRUST_MILLISECONDS = 60_000
/** Accelerators from which on a job counts as large. */
const LARGE_ACCELERATORS = 8
/** Milliseconds that work may take to checkpoint and stop when it makes room for urgent work. */
const URGENT_STOP_MILLISECONDS = 2_000
/** Part of a guarantee's grace that work on its home may take to checkpoint and stop. */
const STOP_PART_OF_GRACE = 0.6
/** Lost seconds when a job that can be checkpointed is stopped. */
const CHECKPOINT_SECONDS = 5
/** Seconds that every stop costs, were it only for a reservation. */
const LEAST_LOST_SECONDS = 2
/** What a slot counts beside an accelerator. */
const ACCELERATORS_PER_SLOT = 0.125
/** A gang may stop only jobs that are at most this part of its size, so that gangs do not stop one another in turn. */
const STOPPABLE_PART_OF_GANG = 0.5
/** Part of a home that a job must need so that the home is used before a place beside the homes. */
const LARGE_PART_OF_HOME = 0.5

/** What the leader knows beside the log, as far as placement needs it. */
interface Known {
  readonly now: number
  readonly silent?: ReadonlySet<string>
}

const nobodySilent: ReadonlySet<string> = new Set()

/** One round of decisions: each sees those made before it in the same round. */
export class Pass {
  private readonly transactions: Transaction[] = []
  private readonly handled = new Set<string>()
  private readonly stopping = new Set<string>()
  private readonly takenHomes = new Set<string>()
  private readonly shares: Shares
  private readonly weights: Placement
  private readonly now: number
  private readonly silent: ReadonlySet<string>
  private awaited: AwaitedPlace | undefined
  private reservations = 0
  /** Shapes that found no place; first without, then with the awaited place. */
  private readonly noPlaceFirm: readonly Shape[][] = [[], []]
  private readonly noPlaceBeside: readonly Shape[][] = [[], []]
  private readonly noPlaceBorrowing: readonly Shape[][] = [[], []]

  private constructor (private readonly state: State, private readonly fleet: Fleet, private readonly queue: Queue, known: Known) {
    this.shares = Shares.create(state)
    this.weights = state.configuration.document.placement
    this.now = known.now
    this.silent = known.silent ?? nobodySilent
  }

  /**
   * Begins a round.
   * @param state - the state
   * @param queue - the waiting jobs of the state
   * @param known - what is known beside the log
   * @returns the round
   */
  static create (state: State, queue: Queue, known: Known): Pass {
    return new Pass(state, Fleet.of(state), queue, known)
  }

  /** @returns what was decided, in order */
  run (): Transaction[] {
    this.drain()
    this.giveHomes()
    this.startUrgent()
    this.probe()
    this.serveOldestGang()
    this.fill()
    return this.transactions.length > 0 ? this.transactions : this.moveHomes()
  }

  /** Work that cannot be stopped may not lie on a home; where only homes are in its way that nobody holds, they move. */
  private moveHomes (): Transaction[] {
    if (this.state.homes.size === 0) return []
    const firm = this.queue.accounts.flatMap(({ entries }) => entries.filter((entry) => isFirm(entry.job) && this.isDue(entry)))
    const failed = failedMoves(this.state)
    const tried = new Set<string>()
    for (const entry of firm.sort(compareEntries)) {
      if (tried.has(entry.sort) || failed.has(entry.sort) || !this.shares.allows(entry.job.specification.account, entry.accelerators)) continue
      if (tried.size >= MOST_MOVES_TRIED) return []
      tried.add(entry.sort)
      const overHomes = (home: string): boolean => !this.state.homeHolders.has(home)
      const place = placeFree(this.fleet, { ...this.search(entry.job, false, false), overHomes })
      const moved = place === undefined ? undefined : moveHomesAside(this.state, entry.job, place.members, this.now)
      if (place === undefined || moved === undefined) { failed.add(entry.sort); continue }
      this.transactions.push(moved)
      this.reserve(entry, place, Reason.FairShare)
      return this.transactions
    }
    return []
  }

  /** Work that can run again leaves workers that get no new work. */
  private drain (): void {
    const { maintenance } = this.state.configuration.document
    for (const row of this.fleet.rows) {
      if (row.usable || !row.worker.present || row.parts.length === 0) continue
      if (!row.worker.leaving && !isDrained(row.worker, maintenance)) continue
      for (const part of row.parts) {
        const job = this.state.jobs.get(part.job)
        if (!part.firm || job?.state === JobState.Reserved) this.stop(part.job, Reason.WorkerLeaving, 0)
      }
    }
  }

  /** What an account was promised comes first: its jobs get its homes, and borrowers leave them. */
  private giveHomes (): void {
    const byAccount = homesByAccount(this.state.homes)
    for (const { account, entries } of this.queue.accounts) {
      const homes = byAccount.get(account)
      if (homes === undefined) continue
      const failed = new Set<string>()
      for (const entry of entries) {
        if (this.full()) return
        if (this.isDue(entry) && !failed.has(entry.sort) && !this.giveHome(entry, homes)) failed.add(entry.sort)
      }
    }
  }

  private giveHome (entry: Entry, homes: readonly Home[]): boolean {
    const { job } = entry
    if (!this.shares.allows(job.specification.account, entry.accelerators)) return false
    const fitting = homes.filter((home) => !this.takenHomes.has(home.identifier) && !this.state.homeHolders.has(home.identifier) &&
      fitsHome(job, home.shape) && home.members.every(({ worker }) => !this.avoids(job, worker)))
    if (fitting.length === 0) return false
    fitting.sort((one, other) => area(one) - area(other))
    const large = fitting.filter((home) => entry.accelerators >= area(home) * LARGE_PART_OF_HOME)
    for (const home of large) if (this.takeHome(entry, home, false)) return true
    const beside = this.placeOnce(job, false, false)
    if (beside !== undefined) { this.reserve(entry, beside, Reason.FairShare); return true }
    for (const home of fitting) if (this.takeHome(entry, home, false)) return true
    return this.reclaim(entry, fitting)
  }

  private takeHome (entry: Entry, home: Home, hold: boolean): boolean {
    const members = membersInHome(entry.job, home)
    const rows = members.map(({ worker }) => this.fleet.row(worker))
    const needed = amountsOfJob(entry.job, 0)
    const free = members.every(({ mask }, position) => {
      const row = rows[position]
      return row !== undefined && row.usable && (row.free & mask) === mask && within(row.worker, add(add(row.standing, row.taken), needed))
    })
    if (!free && !hold) return false
    const full = members.map((member, position) => ({ ...member, incarnation: rows[position]?.worker.incarnation ?? '' }))
    this.takenHomes.add(home.identifier)
    if (free) this.reserve(entry, { members: full, borrowing: false, stopped: [], lost: 0 }, Reason.OwnGuarantee, home.identifier)
    else this.hold(entry, full, home.identifier)
    return true
  }

  /** Takes the home whose borrowers lose least; until they are gone it is held. */
  private reclaim (entry: Entry, homes: readonly Home[]): boolean {
    let best: { home: Home, stopped: readonly string[], cost: number } | undefined
    for (const home of homes) {
      const cleared = this.clearHome(entry, home)
      if (cleared !== undefined && (best === undefined || cleared.cost < best.cost)) best = { home, ...cleared }
    }
    if (best === undefined) return false
    for (const job of best.stopped) this.stop(job, Reason.Reclaimed, best.home.graceSeconds * 1_000 * STOP_PART_OF_GRACE, entry)
    return this.takeHome(entry, best.home, true)
  }

  /** Borrowers leave; of the account's own work only what is less urgent. */
  private clearHome ({ job, rank }: Entry, home: Home): { stopped: string[], cost: number } | undefined {
    const stopped = new Set<string>()
    const cost = this.stopCost((part, other) => !part.atHome &&
      (part.account !== job.specification.account || urgencyRank[other.specification.urgency] > rank))
    let sum = 0
    for (const { worker, mask } of membersInHome(job, home)) {
      const row = this.fleet.row(worker)
      const cleared = row === undefined || !row.usable ? undefined : clear(row, mask, amountsOfJob(job, 0), cost)
      if (cleared === undefined) return undefined
      for (const name of cleared.stopped) stopped.add(name)
      sum += cleared.cost
    }
    return { stopped: [...stopped].sort(), cost: sum }
  }

  /** Urgent work takes the room of less urgent work that can run again. */
  private startUrgent (): void {
    const urgent = this.queue.accounts.flatMap(({ entries }) => entries.filter((entry) => entry.rank === urgencyRank[Urgency.Urgent]))
    const failed = new Set<string>()
    for (const entry of urgent.sort(compareEntries)) {
      if (this.full()) return
      if (!this.isDue(entry) || failed.has(entry.sort)) continue
      if (!this.shares.allows(entry.job.specification.account, entry.accelerators)) continue
      if (!this.startOneUrgent(entry)) failed.add(entry.sort)
    }
  }

  private startOneUrgent (entry: Entry): boolean {
    const search = this.search(entry.job, true, true)
    const free = this.placeOnce(entry.job, true, true)
    if (free !== undefined) { this.reserve(entry, free, free.borrowing ? Reason.Borrowed : Reason.Urgent); return true }
    const { account } = entry.job.specification
    const cost = this.stopCost((part, job) => urgencyRank[job.specification.urgency] > entry.rank && (!part.atHome || part.account === account))
    const place = placeByStopping(this.fleet, search, cost)
    if (place === undefined) return false
    for (const job of place.stopped) this.stop(job, Reason.MadeRoomForUrgent, URGENT_STOP_MILLISECONDS, entry)
    this.hold(entry, place.members)
    return true
  }

  /** A quarantined worker is probed with one small job that can run again. */
  private probe (): void {
    for (const row of this.fleet.rows) {
      const { worker } = row
      if (worker.health !== WorkerHealth.Quarantined || !worker.present || worker.leaving || worker.probeAt > this.now || row.parts.length > 0) continue
      if (isDrained(worker, this.state.configuration.document.maintenance) || this.silent.has(worker.name)) continue
      const entry = this.probeFor(row)
      if (entry === undefined) {
        if (this.queue.size > 0 && worker.probeAt + TRUST_MILLISECONDS <= this.now) this.transactions.push({ kind: TransactionKind.ReturnWorker, at: this.now, worker: worker.name })
        continue
      }
      const mask = 2 ** entry.job.specification.shape.accelerators - 1
      this.reserve(entry, { members: [{ worker: worker.name, incarnation: worker.incarnation, mask }], borrowing: false, stopped: [], lost: 0 }, Reason.Probe)
    }
  }

  private probeFor (row: Row): Entry | undefined {
    const candidates = this.queue.accounts.flatMap(({ entries }) => {
      return entries.filter(({ job, accelerators }) => job.specification.shape.workers === 1 && !isFirm(job) &&
        !job.failedOn.some((name) => name !== row.worker.name) && !this.handled.has(job.identifier) && job.notBefore <= this.now && 2 ** accelerators - 1 <= row.full &&
        within(row.worker, amountsOfJob(job, 0)) && this.shares.allows(job.specification.account, accelerators))
    })
    return candidates.sort((one, other) => one.job.failures - other.job.failures || one.accelerators - other.accelerators)[0]
  }

  /** The large job that waits longest starts, or makes room, or gets the place where it can start first. */
  private serveOldestGang (): void {
    const large = this.queue.accounts.flatMap(({ entries }) => entries.filter((entry) => entry.accelerators >= LARGE_ACCELERATORS && this.isDue(entry)))
    large.sort((one, other) => one.rank - other.rank || one.job.acceptedAt - other.job.acceptedAt || (one.job.identifier < other.job.identifier ? -1 : 1))
    const failed = new Set<string>()
    for (const entry of large) {
      if (this.full()) return
      if (failed.has(entry.sort) || !this.shares.allows(entry.job.specification.account, entry.accelerators)) continue
      const free = this.placeFree(entry.job, true, true)
      if (free !== undefined) { this.reserve(entry, free, free.borrowing ? Reason.Borrowed : Reason.FairShare); continue }
      if (this.makeRoom(entry)) return
      this.awaited = foresee(this.state, this.fleet, entry.job, this.now)
      if (this.awaited === undefined) { failed.add(entry.sort); continue }
      this.handled.add(entry.job.identifier)
      for (const { worker, mask } of this.awaited.members) this.fleet.await(worker, amountsOfJob(entry.job, mask))
      return
    }
  }

  /** Small work makes room once the gang has waited long enough to outweigh what is lost. */
  private makeRoom (entry: Entry): boolean {
    const { job, rank, accelerators } = entry
    const cost = this.stopCost((part, other) => {
      const { shape, urgency } = other.specification
      return !part.atHome && urgencyRank[urgency] >= rank && shape.workers * shape.accelerators <= accelerators * STOPPABLE_PART_OF_GANG
    })
    const place = placeByStopping(this.fleet, this.search(job, true, true), cost)
    if (place === undefined) return false
    const waited = (this.now - job.queuedAt) / 1_000 * accelerators
    if (place.lost * this.weights.completionTimeWeight > waited * this.weights.fragmentationWeight) return false
    for (const name of place.stopped) this.stop(name, Reason.MadeRoomForGang, 0, entry)
    this.hold(entry, place.members)
    return true
  }

  /** The account that holds least against its share goes next, until nothing more fits. */
  private fill (): void {
    const cursors = this.queue.accounts.map(({ account, entries }) => ({ account, entries, next: 0, failed: new Set<string>() }))
    while (cursors.length > 0 && !this.full()) {
      let lowest = 0
      for (let position = 1; position < cursors.length; position++) {
        if (this.shares.weighted(cursors[position]!.account) < this.shares.weighted(cursors[lowest]!.account)) lowest = position
      }
      if (!this.fillOne(cursors[lowest]!)) cursors.splice(lowest, 1)
    }
  }

  /** Starts the account's next job that fits; false when none does. */
  private fillOne (cursor: { readonly entries: readonly Entry[], next: number, readonly failed: Set<string> }): boolean {
    while (cursor.next < cursor.entries.length) {
      const entry = cursor.entries[cursor.next++]!
      if (!this.isDue(entry) || cursor.failed.has(entry.sort)) continue
      const place = this.shares.allows(entry.job.specification.account, entry.accelerators) ? this.placeFree(entry.job, true, false) : undefined
      if (place !== undefined) { this.reserve(entry, place, place.borrowing ? Reason.Borrowed : Reason.FairShare); return true }
      if (this.backfill(entry)) return true
      cursor.failed.add(entry.sort)
    }
    return false
  }

  /** Into the awaited place goes only what can be stopped and should be over before the gang starts. */
  private backfill (entry: Entry): boolean {
    const { job } = entry
    if (this.awaited === undefined || isFirm(job) || !this.shares.allows(job.specification.account, entry.accelerators)) return false
    if (this.now + expectedSeconds(this.state, job, HIGH_QUANTILE) * 1_000 > this.awaited.startAt) return false
    const place = this.placeFree(job, true, true)
    if (place !== undefined) this.reserve(entry, place, Reason.Backfill)
    return place !== undefined
  }

  /** A job leaves out the workers on which it failed, as long as others could hold it. */
  private placeFree (job: Job, borrow: boolean, intoAwaited: boolean): Place | undefined {
    const place = this.placeOnce(job, borrow, intoAwaited)
    if (place !== undefined || job.failedOn.length === 0) return place
    const others = this.fleet.rows.filter((row) => row.usable && !job.failedOn.includes(row.worker.name)).map((row) => row.worker)
    if (largestGroup(others, job, false) >= job.specification.shape.workers) return undefined
    return placeFree(this.fleet, { ...this.search(job, borrow, intoAwaited), avoid: (worker) => this.silent.has(worker) })
  }

  /** What found no place finds none later in the round, and neither does anything that needs more: places only get fewer. */
  private placeOnce (job: Job, borrow: boolean, intoAwaited: boolean): Place | undefined {
    const lists = isFirm(job) ? this.noPlaceFirm : borrow ? this.noPlaceBorrowing : this.noPlaceBeside
    const failed = lists[intoAwaited ? 1 : 0]!
    const needed = { ...job.specification.shape, memoryMegabytes: memoryNeeded(job) }
    if (failed.some((other) => needsNoLess(needed, other))) return undefined
    const place = placeFree(this.fleet, this.search(job, borrow, intoAwaited))
    if (place === undefined && job.failedOn.length === 0) failed.push(needed)
    return place
  }

  private search (job: Job, borrow: boolean, intoAwaited: boolean): Search {
    return { job, weights: this.weights, borrow, intoAwaited, avoid: (worker) => this.avoids(job, worker) }
  }

  private avoids (job: Job, worker: string): boolean {
    return this.silent.has(worker) || job.failedOn.includes(worker)
  }

  private isDue ({ job }: Entry): boolean {
    return job.notBefore <= this.now && !this.handled.has(job.identifier)
  }

  private full (): boolean {
    return this.reservations >= MOST_RESERVATIONS
  }

  /** What stopping a part costs; work on its way out costs nothing. */
  private stopCost (allowed: (part: JobPart, job: Job) => boolean): StopCost {
    return (part) => {
      const job = this.state.jobs.get(part.job)
      if (job === undefined || job.state === JobState.Stopping || hasEnded(job) || this.stopping.has(part.job)) return 0
      if (part.firm || !allowed(part, job)) return undefined
      return lostSeconds(job, this.now)
    }
  }

  private stop (identifier: string, reason: Reason, grace: number, beneficiary?: Entry): void {
    const job = this.state.jobs.get(identifier)
    if (job?.attempt === undefined || this.stopping.has(identifier)) return
    const key = { at: this.now, job: identifier, attempt: job.attempt.number, reason }
    if (job.state === JobState.Running) this.transactions.push({ ...key, kind: TransactionKind.StopJob, grace, ...(beneficiary === undefined ? {} : { beneficiary: beneficiary.job.identifier }) })
    else if (job.state === JobState.Reserved) this.transactions.push({ ...key, kind: TransactionKind.ReleaseJob })
    else return
    this.stopping.add(identifier)
    this.fleet.leave(identifier, job.attempt.members.map((member) => member.worker))
  }

  private reserve (entry: Entry, place: Place, reason: Reason, home?: string): void {
    const { job } = entry
    const { members, borrowing } = place
    this.transactions.push({ kind: TransactionKind.ReserveJob, at: this.now, job: job.identifier, attempt: job.attempts + 1, members, reason, borrowing, ...(home === undefined ? {} : { home }) })
    this.reservations++
    this.hold(entry, members, home)
  }

  /** Nobody else gets the place in this round. */
  private hold ({ job, accelerators }: Entry, members: readonly Member[], home?: string): void {
    this.handled.add(job.identifier)
    const { account, shape } = job.specification
    this.shares.give(account, accelerators, shape.workers * shape.slots)
    for (const { worker, mask } of members) this.fleet.hold(worker, amountsOfJob(job, mask), isFirm(job) && home === undefined)
  }
}

/** Whether a shape needs at least as much as another on every count. */
function needsNoLess (one: Shape, other: Shape): boolean {
  return one.workers >= other.workers && one.accelerators >= other.accelerators && one.slots >= other.slots && one.processors >= other.processors &&
    one.memoryMegabytes >= other.memoryMegabytes && (other.workers === 1 || one.within === other.within)
}

/** What is lost when a job is stopped, in accelerator seconds. */
function lostSeconds (job: Job, now: number): number {
  const { shape, checkpointable } = job.specification
  const size = shape.workers * Math.max(shape.accelerators, shape.slots * ACCELERATORS_PER_SLOT)
  const startedAt = job.attempt?.startedAt ?? 0
  if (job.attempt?.reason === Reason.Backfill) return 0
  const seconds = Math.max(LEAST_LOST_SECONDS, startedAt === 0 ? 0 : (now - startedAt) / 1_000)
  return size * (checkpointable ? Math.min(seconds, CHECKPOINT_SECONDS) : seconds)
}

function area ({ shape }: Home): number {
  return shape.workers * shape.accelerators
}

interface FailedMoves {
  readonly workers: State['workers']
  readonly usage: State['usage']
  readonly homes: State['homes']
  readonly classes: Set<string>
}

let lastFailedMoves: FailedMoves | undefined

/** Classes of jobs for which homes could not be moved aside while workers, usage and homes were as they are. */
function failedMoves ({ workers, usage, homes }: State): Set<string> {
  const last = lastFailedMoves
  if (last !== undefined && last.workers === workers && last.usage === usage && last.homes === homes) return last.classes
  lastFailedMoves = { workers, usage, homes, classes: new Set() }
  return lastFailedMoves.classes
}

const byAccountOfHomes = new WeakMap<State['homes'], ReadonlyMap<string, readonly Home[]>>()

function homesByAccount (homes: State['homes']): ReadonlyMap<string, readonly Home[]> {
  const known = byAccountOfHomes.get(homes)
  if (known !== undefined) return known
  const lists = new Map<string, Home[]>()
  for (const home of [...homes.values()].sort((one, other) => one.identifier < other.identifier ? -1 : 1)) {
    const list = lists.get(home.account)
    if (list === undefined) lists.set(home.account, [home])
    else list.push(home)
  }
  byAccountOfHomes.set(homes, lists)
  return lists
}
