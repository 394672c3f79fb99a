import { err, ok, type Result } from 'neverthrow'
import { Set as ImmutableSet } from 'immutable'
import { Level, type Maintenance, type Shape } from './document'
import type { Draft } from './draft'
import { addResources, shapeResources, jobResources, homeAllocations, isNonPreemptible, jobAllocation, isWithinHome, noResources, fitsWorker, type WorkerResources } from './allocations'
import { binsOf, homeFits, packHomes, takeFromBin, wantedHomes, type Bin, type Home, type WantedHome } from './homes'
import { Reason, type Job, type Member } from './job'
import type { State } from './state'
import { evacuatedDataCentres } from './steps/evacuations'
import { groupOf } from './topology'
import { TransactionKind, type SetHomes } from './transaction'
import { notRunRefusal, RefusalCode, type Refusal } from './verdict'
import { WorkerHealth, type Worker } from './worker'

/**
 * Records the places of the guaranteed shapes, after checking that no two homes overlap.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function setHomes (draft: Draft, transaction: SetHomes): Result<void, Refusal> {
  const wanted = new Map(wantedHomes(draft.configuration.document.guarantees).map((home) => [home.identifier, home]))
  const placed = new Set(transaction.homes.map((home) => home.identifier))
  const bins = new Map(binsOf(draft.allWorkers().values()).map((bin) => [bin.worker.name, bin]))
  const removed = new Set(transaction.removed)
  for (const home of draft.homes.values()) if (!placed.has(home.identifier) && !removed.has(home.identifier)) occupyBins(bins, home)
  for (const home of transaction.homes) {
    if (!wanted.has(home.identifier) || !homeFits(home, bins)) return err(notRunRefusal(RefusalCode.Conflict, `home ${home.identifier} is not guaranteed, or does not fit together with the other homes`))
    occupyBins(bins, home)
  }
  for (const identifier of [...transaction.removed].sort()) removeHome(draft, identifier, wanted, new Set(transaction.missing))
  for (const home of transaction.homes) placeHome(draft, home)
  for (const identifier of transaction.missing) recordMissingHome(draft, identifier, wanted, removed)
  draft.missingHomes = ImmutableSet(transaction.missing)
  return ok(undefined)
}

function removeHome (draft: Draft, identifier: string, wanted: ReadonlyMap<string, WantedHome>, missing: ReadonlySet<string>): void {
  const home = draft.homes.get(identifier)
  if (home === undefined) return
  draft.removeHome(identifier)
  const reason = wanted.has(identifier) && missing.has(identifier) ? Reason.HomeImpossible : Reason.HomeRemoved
  draft.recordEvent({ kind: TransactionKind.SetHomes, account: home.account, home: identifier, reason, workers: workersOf(home) })
}

function placeHome (draft: Draft, home: Home): void {
  const reason = draft.homes.has(home.identifier) ? Reason.HomeMoved : Reason.HomeFound
  draft.setHome(home)
  const { account, identifier, graceSeconds } = home
  const masks = home.members.map((member) => member.mask)
  draft.recordEvent({ kind: TransactionKind.SetHomes, account, home: identifier, graceSeconds, reason, workers: workersOf(home), masks })
}

function recordMissingHome (draft: Draft, identifier: string, wanted: ReadonlyMap<string, WantedHome>, removed: ReadonlySet<string>): void {
  const home = wanted.get(identifier)
  if (home === undefined || removed.has(identifier) || draft.missingHomes.has(identifier)) return
  draft.recordEvent({ kind: TransactionKind.SetHomes, account: home.account, home: identifier, reason: Reason.HomeImpossible, message: 'no place in the present fleet' })
}

function workersOf (home: Home): string[] {
  return home.members.map((member) => member.worker)
}

function occupyBins (bins: ReadonlyMap<string, Bin>, home: Home): void {
  for (const { worker, mask } of home.members) {
    const bin = bins.get(worker)
    if (bin !== undefined) takeFromBin(bin, home.shape, mask)
  }
}

/** The part of a state that {@link preservesHomes} reads; both a draft and a state can provide it. */
export interface HomeView {
  readonly homes: State['homes']
  readonly worker: (name: string) => Worker | undefined
  readonly job: (identifier: string) => Job | undefined
  readonly attempts: (worker: string) => Iterable<string>
  readonly holder: (home: string) => string | undefined
}

/**
 * Tells whether an attempt leaves every home reclaimable. Preemptible work may run anywhere; non-preemptible work
 * must run in a free home of its own account or outside all homes.
 * @param view - the state
 * @param job - the job
 * @param members - the proposed members
 * @param homeIdentifier - the home that it takes, if any
 * @returns true if every home stays reclaimable
 */
export function preservesHomes (view: HomeView, job: Job, members: readonly Member[], homeIdentifier: string | undefined): boolean {
  if (homeIdentifier !== undefined) {
    const home = view.homes.get(homeIdentifier)
    return home !== undefined && home.account === job.specification.account && view.holder(homeIdentifier) === undefined &&
      fitsResources(job, home.shape) && members.every((member) => isWithinHome(member, home))
  }
  if (!isNonPreemptible(job)) return true
  return members.every((member) => {
    const worker = view.worker(member.worker)
    const reserved = sumResources((homeAllocations(view.homes).get(member.worker) ?? []))
    const needed = jobResources(job, member.mask)
    return worker !== undefined && (reserved.mask & member.mask) === 0 && fitsWorker(worker, addResources(addResources(reserved, needed), nonPreemptibleOutsideHomes(view, member.worker)))
  })
}

/** The resources of a worker that non-preemptible work uses outside its own account's homes. */
function nonPreemptibleOutsideHomes (view: HomeView, worker: string): WorkerResources {
  const allocations = [...view.attempts(worker)].map((job) => jobAllocation(view.job(job), worker, view.homes))
  return sumResources(allocations.filter((allocation) => allocation !== undefined).filter((allocation) => allocation.nonPreemptible && !allocation.inOwnHome))
}

function sumResources (allocations: readonly WorkerResources[]): WorkerResources {
  return allocations.reduce(addResources, noResources)
}

/**
 * Creates a home view of a state.
 * @param state - the state
 * @returns the view
 */
export function homeView (state: State): HomeView {
  return {
    homes: state.homes,
    worker: (name) => state.workers.get(name),
    job: (identifier) => state.jobs.get(identifier),
    attempts: (worker) => state.usage.get(worker)?.attempts.keys() ?? [],
    holder: (home) => state.homeHolders.get(home)
  }
}

function fitsResources (job: Job, home: Shape): boolean {
  const { shape } = job.specification
  const needed = jobResources(job, 0)
  return shape.workers <= home.workers && shape.accelerators <= home.accelerators && needed.slots <= home.slots &&
    needed.processors <= home.processors && needed.memoryMegabytes <= home.memoryMegabytes
}

const levelRank: { readonly [level in Level]: number } = { [Level.Worker]: 0, [Level.Rack]: 1, [Level.DataCentre]: 2 }

/**
 * Tells whether a job fits a home of this shape.
 * @param job - the job
 * @param home - the guaranteed shape
 * @returns true if the job needs no more of any resource and allows at least as wide a level
 */
export function fitsHome (job: Job, home: Shape): boolean {
  const { shape } = job.specification
  return fitsResources(job, home) && (shape.workers === 1 || levelRank[home.within] <= levelRank[shape.within])
}

/**
 * Tells whether operators drain a worker, its rack or its data centre.
 * @param worker - the worker
 * @param maintenance - the maintenance section
 * @returns true if the worker gets no new work
 */
export function isDrained (worker: Worker, maintenance: Maintenance): boolean {
  return maintenance.workers.includes(worker.name) || maintenance.racks.includes(worker.rack) ||
    maintenance.racks.includes(groupOf[Level.Rack](worker)) || maintenance.dataCentres.includes(worker.dataCentre)
}

/** The section that {@link placementMaintenance} made last of each state of evacuations. */
const maintenanceCache = new WeakMap<object, { readonly from: Maintenance, readonly made: Maintenance }>()

/**
 * The workers that get no new work: those of the maintenance section and those in evacuated data centres.
 * @param state - the state
 * @returns the maintenance section with the evacuated data centres; the same object while neither changes
 */
export function placementMaintenance (state: State): Maintenance {
  const { maintenance } = state.configuration.document
  const { evacuations } = state.steps
  if (evacuations === undefined) return maintenance
  const known = maintenanceCache.get(evacuations)
  if (known?.from === maintenance) return known.made
  const evacuated = evacuatedDataCentres(state.steps).map(({ dataCentre }) => dataCentre)
  const made = evacuated.length === 0 ? maintenance : { ...maintenance, dataCentres: [...maintenance.dataCentres, ...evacuated] }
  maintenanceCache.set(evacuations, { from: maintenance, made })
  return made
}

/**
 * Tells whether a worker may hold homes and get work.
 * @param worker - the worker
 * @param maintenance - the maintenance section
 * @returns true if it is present and healthy, and neither leaving nor drained
 */
export function isUsable (worker: Worker, maintenance: Maintenance): boolean {
  return worker.present && !worker.leaving && worker.health === WorkerHealth.Healthy && !isDrained(worker, maintenance)
}

/** Inputs of the last planning that changed nothing; planning is skipped while they are the same. */
interface PlanInputs {
  readonly guarantees: unknown
  readonly maintenance: unknown
  readonly workers: State['workers']
  readonly homes: State['homes']
  /** Undefined if every home is placed, as running work then has no influence. */
  readonly usage: State['usage'] | undefined
  readonly at: number
}

/** Minimum time between searches for places of missing homes while the fleet is unchanged. */
const REPLAN_INTERVAL_MILLISECONDS = 1_000

let lastPlanned: PlanInputs | undefined

/**
 * Finds places for homes that have none or have lost theirs. Where possible the other homes stay where they are.
 * @param state - the state
 * @param now - milliseconds since the epoch
 * @returns the entry to propose, or undefined if nothing changes
 */
export function planHomes (state: State, now: number): SetHomes | undefined {
  const { guarantees } = state.configuration.document
  const maintenance = placementMaintenance(state)
  if (guarantees.length === 0 && state.homes.size === 0) return undefined
  const last = lastPlanned
  if (last !== undefined && last.guarantees === guarantees && last.maintenance === maintenance && last.workers === state.workers &&
    last.homes === state.homes && (last.usage === undefined || last.usage === state.usage || now - last.at < REPLAN_INTERVAL_MILLISECONDS)) return undefined
  const plan = replan(state, now)
  if (plan !== undefined && !changesNothing(state, plan)) return plan
  lastPlanned = { guarantees, maintenance, workers: state.workers, homes: state.homes, usage: plan === undefined ? undefined : state.usage, at: now }
  return undefined
}

/** The plan places or removes no home, and the same homes were missing before. */
function changesNothing (state: State, plan: SetHomes): boolean {
  return plan.homes.length === 0 && plan.removed.length === 0 && plan.missing.length === state.missingHomes.size && plan.missing.every((identifier) => state.missingHomes.has(identifier))
}

function replan (state: State, now: number): SetHomes | undefined {
  const { guarantees } = state.configuration.document
  const maintenance = placementMaintenance(state)
  const wanted = wantedHomes(guarantees)
  const usable = state.workers.valueSeq().toArray().filter((worker) => isUsable(worker, maintenance))
  const bins = new Map(binsOf(usable).map((bin) => [bin.worker.name, bin]))
  const kept: Home[] = []
  const unplaced: WantedHome[] = []
  for (const home of wanted) {
    const placed = state.homes.get(home.identifier)
    if (placed !== undefined && homeFits(placed, bins)) { occupyBins(bins, placed); kept.push(placed) } else unplaced.push(home)
  }
  const names = new Set(wanted.map((home) => home.identifier))
  const surplus = [...state.homes.keys()].filter((identifier) => !names.has(identifier)).sort()
  if (unplaced.length === 0 && surplus.length === 0 && state.missingHomes.size === 0) return undefined
  const found = findPlaces(state, usable, kept, unplaced)
  const missing = found.missing.map((home) => home.identifier).sort()
  const unplaceable = missing.filter((identifier) => state.homes.has(identifier))
  return { kind: TransactionKind.SetHomes, at: now, homes: found.homes, removed: [...surplus, ...unplaceable], missing }
}

/** Tries free places first, then moves homes that are not in use by their account, then takes places where non-preemptible work must end first. */
function findPlaces (state: State, usable: readonly Worker[], kept: readonly Home[], unplaced: readonly WantedHome[]): { homes: Home[], missing: readonly WantedHome[] } {
  const inFreePlaces = packHomes(unplaced, () => remainingBins(state, usable, kept, true))
  if (inFreePlaces.missing.length === 0) return { homes: inFreePlaces.homes, missing: [] }
  const inUse = kept.filter((home) => state.homeHolders.has(home.identifier))
  const movable = kept.filter((home) => !state.homeHolders.has(home.identifier))
  const moved = packHomes([...unplaced, ...movable], () => remainingBins(state, usable, inUse, true))
  if (moved.missing.length === 0) return { homes: changedHomes(state, moved.homes), missing: [] }
  const all = [...kept, ...inFreePlaces.homes]
  const afterWorkEnds = packHomes(inFreePlaces.missing, () => remainingBins(state, usable, all, false))
  return { homes: [...inFreePlaces.homes, ...afterWorkEnds.homes], missing: afterWorkEnds.missing }
}

/** Maximum number of homes moved at once. */
const MAX_MOVED_HOMES = 64

/**
 * Moves homes that are not in use, so that a non-preemptible job can start.
 * @param state - the state
 * @param job - the job
 * @param members - free accelerators on which the job could start if no homes were there
 * @param now - milliseconds since the epoch
 * @returns the entry to propose, or undefined if some homes would have no place
 */
export function relocateHomes (state: State, job: Job, members: readonly Member[], now: number): SetHomes | undefined {
  const maintenance = placementMaintenance(state)
  const usable = state.workers.valueSeq().toArray().filter((worker) => isUsable(worker, maintenance))
  const homes = [...state.homes.values()].sort((one, other) => one.identifier < other.identifier ? -1 : 1)
  const workers = new Set(members.map((member) => member.worker))
  const isFree = (home: Home): boolean => !state.homeHolders.has(home.identifier)
  const near = homes.filter((home) => isFree(home) && home.members.some((member) => workers.has(member.worker)))
  const far = homes.filter((home) => isFree(home) && !near.includes(home))
  for (const moved of [near, [...near, ...far]]) {
    if (moved.length > MAX_MOVED_HOMES) return undefined
    const kept = homes.filter((home) => !moved.includes(home))
    const packed = packHomes(moved, () => withMembersTaken(remainingBins(state, usable, kept, true), job, members))
    if (packed.missing.length > 0) continue
    return { kind: TransactionKind.SetHomes, at: now, homes: changedHomes(state, packed.homes), removed: [], missing: state.missingHomes.toArray().sort() }
  }
  return undefined
}

function withMembersTaken (bins: Bin[], job: Job, members: readonly Member[]): Bin[] {
  const masks = new Map(members.map((member) => [member.worker, member.mask]))
  const { shape } = job.specification
  for (const bin of bins) {
    const mask = masks.get(bin.worker.name)
    if (mask !== undefined) takeFromBin(bin, { ...shape, memoryMegabytes: jobResources(job, 0).memoryMegabytes }, mask)
  }
  return bins
}

function changedHomes (state: State, homes: readonly Home[]): Home[] {
  return homes.filter((home) => JSON.stringify(state.homes.get(home.identifier)?.members) !== JSON.stringify(home.members))
}

function remainingBins (state: State, usable: readonly Worker[], homes: readonly Home[], avoidNonPreemptible: boolean): Bin[] {
  const bins = binsOf(usable)
  const byName = new Map(bins.map((bin) => [bin.worker.name, bin]))
  for (const home of homes) occupyBins(byName, home)
  if (!avoidNonPreemptible) return bins
  const view = homeView(state)
  for (const bin of bins) {
    const nonPreemptible = nonPreemptibleOutsideHomes(view, bin.worker.name)
    bin.free &= ~nonPreemptible.mask
    bin.slots -= nonPreemptible.slots
    bin.processors -= nonPreemptible.processors
    bin.memoryMegabytes -= nonPreemptible.memoryMegabytes
  }
  return bins
}

/** Status of one guarantee. */
export interface GuaranteeStatus {
  readonly account: string
  readonly shape: Shape
  readonly graceSeconds: number
  readonly promised: number
  /** Number of shapes whose place can be reclaimed at any time. */
  readonly homed: number
  /** Number of shapes whose place has non-preemptible work that must end first, or is on an unusable worker. */
  readonly blocked: number
  /** Number of shapes without a place in the current fleet. */
  readonly missing: number
  /** Number of shapes in use by the account's own jobs. */
  readonly inUse: number
}

/**
 * The status of all guarantees.
 * @param state - the state
 * @returns one status for each guarantee of the document, in the same order
 */
export function guaranteeStatus (state: State): GuaranteeStatus[] {
  const { guarantees } = state.configuration.document
  const view = homeView(state)
  const wanted = wantedHomes(guarantees)
  let next = 0
  return guarantees.map(({ account, shape, count, graceSeconds }) => {
    const homes = wanted.slice(next, next + count).map(({ identifier }) => state.homes.get(identifier))
    const identifiers = wanted.slice(next, next + count).map(({ identifier }) => identifier)
    next += count
    const placed = homes.filter((home) => home !== undefined)
    const blocked = placed.filter((home) => isBlocked(state, view, home)).length
    const inUse = identifiers.filter((identifier) => state.homeHolders.has(identifier)).length
    return { account, shape, graceSeconds, promised: count, homed: placed.length - blocked, blocked, missing: count - placed.length, inUse }
  })
}

/** A home is blocked while non-preemptible work runs on it, or while a worker of it is unusable and no new place has been found. */
function isBlocked (state: State, view: HomeView, home: Home): boolean {
  return home.members.some(({ worker: name, mask }) => {
    const worker = state.workers.get(name)
    if (worker === undefined || !isUsable(worker, placementMaintenance(state))) return true
    const nonPreemptible = nonPreemptibleOutsideHomes(view, name)
    const homes = sumResources(homeAllocations(state.homes).get(name) ?? [])
    return (nonPreemptible.mask & mask) !== 0 || !fitsWorker(worker, addResources(homes, nonPreemptible))
  })
}

/**
 * Selects the part of a home that a job uses.
 * @param job - a job that fits the home
 * @param home - the home
 * @returns worker and mask of each member
 */
export function membersInHome (job: Job, home: Home): Array<{ worker: string, mask: number }> {
  const { workers, accelerators } = job.specification.shape
  return home.members.slice(0, workers).map(({ worker, mask }) => ({ worker, mask: lowestBits(mask, accelerators) }))
}

function lowestBits (mask: number, count: number): number {
  let taken = 0
  for (let bit = 1, left = count; left > 0 && bit <= mask; bit <<= 1) {
    if ((mask & bit) !== 0) { taken |= bit; left-- }
  }
  return taken
}

/**
 * The resources that a home takes on each worker.
 * @param home - the home
 * @returns the amount, without accelerators
 */
export function homeResources (home: Home): WorkerResources {
  return shapeResources(home.shape, 0)
}
