import { findEarliestStart, type PlannedStart } from './backfill'
import { Urgency, type Placement, type Shape } from './document'
import { memoryNeeded } from './draft'
import { expectedSeconds, HIGH_QUANTILE } from './estimates'
import { FairShares } from './fairness'
import { Fleet, type WorkerCapacity } from './fleet'
import { fitsHome, isDrained, membersInHome, placementMaintenance, relocateHomes } from './guarantees'
import { addResources, jobResources, isNonPreemptible, fitsWorker, type JobAllocation } from './allocations'
import type { Home } from './homes'
import { hasEnded, JobState, Reason, type Job, type Member } from './job'
import { planEviction, largestGroup, placeByPreemption, placeFree, type Place, type PlacementSearch, type PreemptionCost } from './placement'
import { compareEntries, urgencyRank, type QueueEntry, type Queue } from './queue'
import type { State } from './state'
import { isEvacuated } from './steps/evacuations'
import { TransactionKind, type Transaction } from './transaction'
import { WorkerHealth } from './worker'

/** Maximum number of reservations in one pass; the next pass continues. */
const MAX_RESERVATIONS = 64
/** Maximum number of job classes in one pass for which relocating homes is tried. */
const MAX_RELOCATION_ATTEMPTS = 4
/** Time after which a quarantined worker returns to service if no waiting job can probe it. */
const MAX_PROBE_WAIT_MILLISECONDS = 60_000
/** Number of accelerators from which on a job counts as large. */
const LARGE_JOB_ACCELERATORS = 8
/** Time that work may take to checkpoint and stop when it is preempted for urgent work. */
const URGENT_STOP_GRACE_MILLISECONDS = 2_000
/** Fraction of a guarantee's grace that borrowers may take to checkpoint and stop. */
const STOP_FRACTION_OF_GRACE = 0.6
/** Maximum run time lost when a checkpointable job is stopped. */
const CHECKPOINT_LOSS_SECONDS = 5
/** Minimum cost of stopping a job, even if it only has a reservation. */
const MIN_LOST_SECONDS = 2
/** Weight of a slot relative to an accelerator. */
const ACCELERATORS_PER_SLOT = 0.125
/** A gang may preempt only jobs of at most this fraction of its size, so that gangs do not preempt each other in turn. */
const MAX_PREEMPTED_FRACTION_OF_GANG = 0.5
/** A job that needs at least this fraction of a home gets the home in preference to a place outside the homes. */
const LARGE_FRACTION_OF_HOME = 0.5

/** The part of the state outside the log that a pass needs. */
interface PassInputs {
  readonly now: number
  readonly silent?: ReadonlySet<string>
}

const noSilentWorkers: ReadonlySet<string> = new Set()

/** One scheduling pass. Each decision takes those made before it in the same pass into account. */
export class SchedulingPass {
  private readonly transactions: Transaction[] = []
  private readonly handled = new Set<string>()
  private readonly stopping = new Set<string>()
  private readonly assignedHomes = new Set<string>()
  private readonly shares: FairShares
  private readonly weights: Placement
  private readonly now: number
  private readonly silent: ReadonlySet<string>
  private plannedStart: PlannedStart | undefined
  private reservations = 0
  /** Shapes for which no place was found; index 1 for searches that may use resources held for the oldest gang. */
  private readonly failedNonPreemptible: readonly Shape[][] = [[], []]
  private readonly failedOutsideHomes: readonly Shape[][] = [[], []]
  private readonly failedBorrowing: readonly Shape[][] = [[], []]

  private constructor (private readonly state: State, private readonly fleet: Fleet, private readonly queue: Queue, inputs: PassInputs) {
    this.shares = FairShares.create(state)
    this.weights = state.configuration.document.placement
    this.now = inputs.now
    this.silent = inputs.silent ?? noSilentWorkers
  }

  /**
   * Creates a pass.
   * @param state - the state
   * @param queue - the waiting jobs of the state
   * @param inputs - state outside the log
   * @returns the pass
   */
  static create (state: State, queue: Queue, inputs: PassInputs): SchedulingPass {
    return new SchedulingPass(state, Fleet.of(state), queue, inputs)
  }

  /** @returns the decisions, in order */
  run (): Transaction[] {
    this.stopOnDrainedWorkers()
    this.placeOnHomes()
    this.placeUrgentJobs()
    this.probeQuarantinedWorkers()
    this.placeLargeJobs()
    this.placeByFairShare()
    return this.transactions.length > 0 ? this.transactions : this.relocateHomesForJob()
  }

  /** Non-preemptible work must not run on homes; if only unused homes block it, they are moved. */
  private relocateHomesForJob (): Transaction[] {
    if (this.state.homes.size === 0) return []
    const nonPreemptible = this.queue.accounts.flatMap(({ entries }) => entries.filter((entry) => isNonPreemptible(entry.job) && this.isEligible(entry)))
    const failed = failedRelocations(this.state)
    const tried = new Set<string>()
    for (const entry of nonPreemptible.sort(compareEntries)) {
      if (tried.has(entry.placementClass) || failed.has(entry.placementClass) || !this.shares.isWithinLimit(entry.job.specification.account, entry.accelerators)) continue
      if (tried.size >= MAX_RELOCATION_ATTEMPTS) return []
      tried.add(entry.placementClass)
      const movableHome = (home: string): boolean => !this.state.homeHolders.has(home)
      const place = placeFree(this.fleet, { ...this.search(entry.job, false, false), movableHome })
      const moved = place === undefined ? undefined : relocateHomes(this.state, entry.job, place.members, this.now)
      if (place === undefined || moved === undefined) { failed.add(entry.placementClass); continue }
      this.transactions.push(moved)
      this.reserve(entry, place, Reason.FairShare)
      return this.transactions
    }
    return []
  }

  /** Stops preemptible work, and releases reservations, on drained and leaving workers. In evacuated data centres, what runs goes on. */
  private stopOnDrainedWorkers (): void {
    const { maintenance } = this.state.configuration.document
    for (const capacity of this.fleet.capacities) {
      if (capacity.usable || !capacity.worker.present || capacity.allocations.length === 0) continue
      const leaves = capacity.worker.leaving || isDrained(capacity.worker, maintenance)
      if (!leaves && !isEvacuated(this.state.steps, capacity.dataCentre)) continue
      for (const allocation of capacity.allocations) {
        const job = this.state.jobs.get(allocation.job)
        if ((leaves && !allocation.nonPreemptible) || job?.state === JobState.Reserved) this.stop(allocation.job, leaves ? Reason.WorkerLeaving : Reason.Evacuated, 0)
      }
    }
  }

  /** Guarantees go first: jobs get their account's homes, and borrowers are stopped. */
  private placeOnHomes (): void {
    const byAccount = homesByAccount(this.state.homes)
    for (const { account, entries } of this.queue.accounts) {
      const homes = byAccount.get(account)
      if (homes === undefined) continue
      const failed = new Set<string>()
      for (const entry of entries) {
        if (this.isFull()) return
        if (this.isEligible(entry) && !failed.has(entry.placementClass) && !this.placeOnHome(entry, homes)) failed.add(entry.placementClass)
      }
    }
  }

  private placeOnHome (entry: QueueEntry, homes: readonly Home[]): boolean {
    const { job } = entry
    if (!this.shares.isWithinLimit(job.specification.account, entry.accelerators)) return false
    const fitting = homes.filter((home) => !this.assignedHomes.has(home.identifier) && !this.state.homeHolders.has(home.identifier) &&
      fitsHome(job, home.shape) && home.members.every(({ worker }) => !this.avoids(job, worker)))
    if (fitting.length === 0) return false
    fitting.sort((one, other) => acceleratorsOf(one) - acceleratorsOf(other))
    const large = fitting.filter((home) => entry.accelerators >= acceleratorsOf(home) * LARGE_FRACTION_OF_HOME)
    for (const home of large) if (this.assignHome(entry, home, false)) return true
    const outsideHomes = this.placeOnce(job, false, false)
    if (outsideHomes !== undefined) { this.reserve(entry, outsideHomes, Reason.FairShare); return true }
    for (const home of fitting) if (this.assignHome(entry, home, false)) return true
    return this.reclaim(entry, fitting)
  }

  private assignHome (entry: QueueEntry, home: Home, whileStopping: boolean): boolean {
    const members = membersInHome(entry.job, home)
    const capacities = members.map(({ worker }) => this.fleet.capacity(worker))
    const needed = jobResources(entry.job, 0)
    const free = members.every(({ mask }, position) => {
      const capacity = capacities[position]
      return capacity !== undefined && capacity.usable && (capacity.freeAccelerators & mask) === mask && fitsWorker(capacity.worker, addResources(addResources(capacity.used, capacity.planned), needed))
    })
    if (!free && !whileStopping) return false
    const reserved = members.map((member, position) => ({ ...member, incarnation: capacities[position]?.worker.incarnation ?? '' }))
    this.assignedHomes.add(home.identifier)
    if (free) this.reserve(entry, { members: reserved, borrowing: false, stopped: [], lostSeconds: 0 }, Reason.OwnGuarantee, home.identifier)
    else this.allocate(entry, reserved, home.identifier)
    return true
  }

  /** Reclaims the home whose borrowers lose the least work; it stays allocated while they stop. */
  private reclaim (entry: QueueEntry, homes: readonly Home[]): boolean {
    let best: { home: Home, stopped: readonly string[], cost: number } | undefined
    for (const home of homes) {
      const eviction = this.planHomeEviction(entry, home)
      if (eviction !== undefined && (best === undefined || eviction.cost < best.cost)) best = { home, ...eviction }
    }
    if (best === undefined) return false
    for (const job of best.stopped) this.stop(job, Reason.Reclaimed, best.home.graceSeconds * 1_000 * STOP_FRACTION_OF_GRACE, entry)
    return this.assignHome(entry, best.home, true)
  }

  /** Selects the jobs to stop on a home: borrowers of other accounts, and less urgent jobs of the same account. */
  private planHomeEviction ({ job, rank }: QueueEntry, home: Home): { stopped: string[], cost: number } | undefined {
    const stopped = new Set<string>()
    const cost = this.preemptionCost((allocation, other) => !allocation.inOwnHome &&
      (allocation.account !== job.specification.account || urgencyRank[other.specification.urgency] > rank))
    let sum = 0
    for (const { worker, mask } of membersInHome(job, home)) {
      const capacity = this.fleet.capacity(worker)
      const eviction = capacity === undefined || !capacity.usable ? undefined : planEviction(capacity, mask, jobResources(job, 0), cost)
      if (eviction === undefined) return undefined
      for (const name of eviction.stopped) stopped.add(name)
      sum += eviction.cost
    }
    return { stopped: [...stopped].sort(), cost: sum }
  }

  /** Places urgent work, if necessary by preempting less urgent work. */
  private placeUrgentJobs (): void {
    const urgent = this.queue.accounts.flatMap(({ entries }) => entries.filter((entry) => entry.rank === urgencyRank[Urgency.Urgent]))
    const failed = new Set<string>()
    for (const entry of urgent.sort(compareEntries)) {
      if (this.isFull()) return
      if (!this.isEligible(entry) || failed.has(entry.placementClass)) continue
      if (!this.shares.isWithinLimit(entry.job.specification.account, entry.accelerators)) continue
      if (!this.placeUrgentJob(entry)) failed.add(entry.placementClass)
    }
  }

  private placeUrgentJob (entry: QueueEntry): boolean {
    const search = this.search(entry.job, true, true)
    const free = this.placeOnce(entry.job, true, true)
    if (free !== undefined) { this.reserve(entry, free, free.borrowing ? Reason.Borrowed : Reason.Urgent); return true }
    const { account } = entry.job.specification
    const cost = this.preemptionCost((allocation, job) => urgencyRank[job.specification.urgency] > entry.rank && (!allocation.inOwnHome || allocation.account === account))
    const place = placeByPreemption(this.fleet, search, cost)
    if (place === undefined) return false
    for (const job of place.stopped) this.stop(job, Reason.MadeRoomForUrgent, URGENT_STOP_GRACE_MILLISECONDS, entry)
    this.allocate(entry, place.members)
    return true
  }

  /** Probes each quarantined worker with one preemptible single-worker job. */
  private probeQuarantinedWorkers (): void {
    for (const capacity of this.fleet.capacities) {
      const { worker } = capacity
      if (worker.health !== WorkerHealth.Quarantined || !worker.present || worker.leaving || worker.probeAt > this.now || capacity.allocations.length > 0) continue
      if (isDrained(worker, placementMaintenance(this.state)) || this.silent.has(worker.name)) continue
      const entry = this.findProbeJob(capacity)
      if (entry === undefined) {
        if (this.queue.size > 0 && worker.probeAt + MAX_PROBE_WAIT_MILLISECONDS <= this.now) this.transactions.push({ kind: TransactionKind.ReturnWorker, at: this.now, worker: worker.name })
        continue
      }
      const mask = 2 ** entry.job.specification.shape.accelerators - 1
      this.reserve(entry, { members: [{ worker: worker.name, incarnation: worker.incarnation, mask }], borrowing: false, stopped: [], lostSeconds: 0 }, Reason.Probe)
    }
  }

  private findProbeJob (capacity: WorkerCapacity): QueueEntry | undefined {
    const candidates = this.queue.accounts.flatMap(({ entries }) => {
      return entries.filter(({ job, accelerators }) => job.specification.shape.workers === 1 && !isNonPreemptible(job) &&
        !job.failedOn.some((name) => name !== capacity.worker.name) && !this.handled.has(job.identifier) && job.notBefore <= this.now && 2 ** accelerators - 1 <= capacity.allAccelerators &&
        fitsWorker(capacity.worker, jobResources(job, 0)) && this.shares.isWithinLimit(job.specification.account, accelerators))
    })
    return candidates.sort((one, other) => one.job.failures - other.job.failures || one.accelerators - other.accelerators)[0]
  }

  /** Places large jobs, the longest waiting first. For the first one without a place, work is preempted or the place is held where it can start earliest. */
  private placeLargeJobs (): void {
    const large = this.queue.accounts.flatMap(({ entries }) => entries.filter((entry) => entry.accelerators >= LARGE_JOB_ACCELERATORS && this.isEligible(entry)))
    large.sort((one, other) => one.rank - other.rank || one.job.acceptedAt - other.job.acceptedAt || (one.job.identifier < other.job.identifier ? -1 : 1))
    const failed = new Set<string>()
    for (const entry of large) {
      if (this.isFull()) return
      if (failed.has(entry.placementClass) || !this.shares.isWithinLimit(entry.job.specification.account, entry.accelerators)) continue
      const free = this.placeFree(entry.job, true, true)
      if (free !== undefined) { this.reserve(entry, free, free.borrowing ? Reason.Borrowed : Reason.FairShare); continue }
      if (this.preemptForGang(entry)) return
      this.plannedStart = findEarliestStart(this.state, this.fleet, entry.job, this.now)
      if (this.plannedStart === undefined) { failed.add(entry.placementClass); continue }
      this.handled.add(entry.job.identifier)
      for (const { worker, mask } of this.plannedStart.members) this.fleet.holdForGang(worker, jobResources(entry.job, mask))
      return
    }
  }

  /** Preempts small jobs once the waiting time of the gang outweighs the lost work. */
  private preemptForGang (entry: QueueEntry): boolean {
    const { job, rank, accelerators } = entry
    const cost = this.preemptionCost((allocation, other) => {
      const { shape, urgency } = other.specification
      return !allocation.inOwnHome && urgencyRank[urgency] >= rank && shape.workers * shape.accelerators <= accelerators * MAX_PREEMPTED_FRACTION_OF_GANG
    })
    const place = placeByPreemption(this.fleet, this.search(job, true, true), cost)
    if (place === undefined) return false
    const waited = (this.now - job.queuedAt) / 1_000 * accelerators
    if (place.lostSeconds * this.weights.completionTimeWeight > waited * this.weights.fragmentationWeight) return false
    for (const name of place.stopped) this.stop(name, Reason.MadeRoomForGang, 0, entry)
    this.allocate(entry, place.members)
    return true
  }

  /** Places jobs of the account with the lowest usage relative to its share, until nothing more fits. */
  private placeByFairShare (): void {
    const cursors = this.queue.accounts.map(({ account, entries }) => ({ account, entries, next: 0, failed: new Set<string>() }))
    while (cursors.length > 0 && !this.isFull()) {
      let lowest = 0
      for (let position = 1; position < cursors.length; position++) {
        if (this.shares.weightedUsage(cursors[position]!.account) < this.shares.weightedUsage(cursors[lowest]!.account)) lowest = position
      }
      if (!this.placeNextOfAccount(cursors[lowest]!)) cursors.splice(lowest, 1)
    }
  }

  /** Places the account's next job that fits; returns false if none does. */
  private placeNextOfAccount (cursor: { readonly entries: readonly QueueEntry[], next: number, readonly failed: Set<string> }): boolean {
    while (cursor.next < cursor.entries.length) {
      const entry = cursor.entries[cursor.next++]!
      if (!this.isEligible(entry) || cursor.failed.has(entry.placementClass)) continue
      const place = this.shares.isWithinLimit(entry.job.specification.account, entry.accelerators) ? this.placeFree(entry.job, true, false) : undefined
      if (place !== undefined) { this.reserve(entry, place, place.borrowing ? Reason.Borrowed : Reason.FairShare); return true }
      if (this.backfill(entry)) return true
      cursor.failed.add(entry.placementClass)
    }
    return false
  }

  /** Resources held for the oldest gang are given only to preemptible jobs that should end before the gang starts. */
  private backfill (entry: QueueEntry): boolean {
    const { job } = entry
    if (this.plannedStart === undefined || isNonPreemptible(job) || !this.shares.isWithinLimit(job.specification.account, entry.accelerators)) return false
    if (this.now + expectedSeconds(this.state, job, HIGH_QUANTILE) * 1_000 > this.plannedStart.startAt) return false
    const place = this.placeFree(job, true, true)
    if (place !== undefined) this.reserve(entry, place, Reason.Backfill)
    return place !== undefined
  }

  /** Excludes workers on which the job failed, unless the other workers could not hold it. */
  private placeFree (job: Job, borrow: boolean, useHeldForGang: boolean): Place | undefined {
    const place = this.placeOnce(job, borrow, useHeldForGang)
    if (place !== undefined || job.failedOn.length === 0) return place
    const others = this.fleet.capacities.filter((capacity) => capacity.usable && !job.failedOn.includes(capacity.worker.name)).map((capacity) => capacity.worker)
    if (largestGroup(others, job, false) >= job.specification.shape.workers) return undefined
    return placeFree(this.fleet, { ...this.search(job, borrow, useHeldForGang), avoid: (worker) => this.silent.has(worker) })
  }

  /** Free capacity only shrinks during a pass, so shapes that need at least as much as one that did not fit are skipped. */
  private placeOnce (job: Job, borrow: boolean, useHeldForGang: boolean): Place | undefined {
    const lists = isNonPreemptible(job) ? this.failedNonPreemptible : borrow ? this.failedBorrowing : this.failedOutsideHomes
    const failed = lists[useHeldForGang ? 1 : 0]!
    const needed = { ...job.specification.shape, memoryMegabytes: memoryNeeded(job) }
    if (failed.some((other) => needsAtLeast(needed, other))) return undefined
    const place = placeFree(this.fleet, this.search(job, borrow, useHeldForGang))
    if (place === undefined && job.failedOn.length === 0) failed.push(needed)
    return place
  }

  private search (job: Job, borrow: boolean, useHeldForGang: boolean): PlacementSearch {
    return { job, weights: this.weights, borrow, useHeldForGang, avoid: (worker) => this.avoids(job, worker) }
  }

  private avoids (job: Job, worker: string): boolean {
    return this.silent.has(worker) || job.failedOn.includes(worker)
  }

  private isEligible ({ job }: QueueEntry): boolean {
    return job.notBefore <= this.now && !this.handled.has(job.identifier)
  }

  private isFull (): boolean {
    return this.reservations >= MAX_RESERVATIONS
  }

  /** The cost of preempting a job; jobs that are already stopping cost nothing. */
  private preemptionCost (allowed: (allocation: JobAllocation, job: Job) => boolean): PreemptionCost {
    return (allocation) => {
      const job = this.state.jobs.get(allocation.job)
      if (job === undefined || job.state === JobState.Stopping || hasEnded(job) || this.stopping.has(allocation.job)) return 0
      if (allocation.nonPreemptible || !allowed(allocation, job)) return undefined
      return lostSeconds(job, this.now)
    }
  }

  private stop (identifier: string, reason: Reason, grace: number, beneficiary?: QueueEntry): void {
    const job = this.state.jobs.get(identifier)
    if (job?.attempt === undefined || this.stopping.has(identifier)) return
    const key = { at: this.now, job: identifier, attempt: job.attempt.number, reason }
    if (job.state === JobState.Running) this.transactions.push({ ...key, kind: TransactionKind.StopJob, grace, ...(beneficiary === undefined ? {} : { beneficiary: beneficiary.job.identifier }) })
    else if (job.state === JobState.Reserved) this.transactions.push({ ...key, kind: TransactionKind.ReleaseJob })
    else return
    this.stopping.add(identifier)
    this.fleet.markStopping(identifier, job.attempt.members.map((member) => member.worker))
  }

  private reserve (entry: QueueEntry, place: Place, reason: Reason, home?: string): void {
    const { job } = entry
    const { members, borrowing } = place
    this.transactions.push({ kind: TransactionKind.ReserveJob, at: this.now, job: job.identifier, attempt: job.attempts + 1, members, reason, borrowing, ...(home === undefined ? {} : { home }) })
    this.reservations++
    this.allocate(entry, members, home)
  }

  /** Allocates a place for the rest of the pass. */
  private allocate ({ job, accelerators }: QueueEntry, members: readonly Member[], home?: string): void {
    this.handled.add(job.identifier)
    const { account, shape } = job.specification
    this.shares.charge(account, accelerators, shape.workers * shape.slots)
    for (const { worker, mask } of members) this.fleet.allocate(worker, jobResources(job, mask), isNonPreemptible(job) && home === undefined)
  }
}

/** Tells whether a shape needs at least as much of every resource as another. */
function needsAtLeast (one: Shape, other: Shape): boolean {
  return one.workers >= other.workers && one.accelerators >= other.accelerators && one.slots >= other.slots && one.processors >= other.processors &&
    one.memoryMegabytes >= other.memoryMegabytes && (other.workers === 1 || one.within === other.within)
}

/** Work lost when a job is stopped, in accelerator seconds; backfilled jobs count as 0. */
function lostSeconds (job: Job, now: number): number {
  const { shape, checkpointable } = job.specification
  const size = shape.workers * Math.max(shape.accelerators, shape.slots * ACCELERATORS_PER_SLOT)
  const startedAt = job.attempt?.startedAt ?? 0
  if (job.attempt?.reason === Reason.Backfill) return 0
  const seconds = Math.max(MIN_LOST_SECONDS, startedAt === 0 ? 0 : (now - startedAt) / 1_000)
  return size * (checkpointable ? Math.min(seconds, CHECKPOINT_LOSS_SECONDS) : seconds)
}

function acceleratorsOf ({ shape }: Home): number {
  return shape.workers * shape.accelerators
}

interface FailedRelocations {
  readonly workers: State['workers']
  readonly usage: State['usage']
  readonly homes: State['homes']
  readonly classes: Set<string>
}

let lastFailedRelocations: FailedRelocations | undefined

/** Job classes for which homes could not be relocated; valid while workers, usage and homes are unchanged. */
function failedRelocations ({ workers, usage, homes }: State): Set<string> {
  const last = lastFailedRelocations
  if (last !== undefined && last.workers === workers && last.usage === usage && last.homes === homes) return last.classes
  lastFailedRelocations = { workers, usage, homes, classes: new Set() }
  return lastFailedRelocations.classes
}

const homesByAccountCache = new WeakMap<State['homes'], ReadonlyMap<string, readonly Home[]>>()

function homesByAccount (homes: State['homes']): ReadonlyMap<string, readonly Home[]> {
  const known = homesByAccountCache.get(homes)
  if (known !== undefined) return known
  const lists = new Map<string, Home[]>()
  for (const home of [...homes.values()].sort((one, other) => one.identifier < other.identifier ? -1 : 1)) {
    const list = lists.get(home.account)
    if (list === undefined) lists.set(home.account, [home])
    else list.push(home)
  }
  homesByAccountCache.set(homes, lists)
  return lists
}
