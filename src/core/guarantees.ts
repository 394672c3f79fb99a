import { err, ok, type Result } from 'neverthrow'
import { Set as ImmutableSet } from 'immutable'
import { Level, type Maintenance, type Shape } from './document'
import type { Draft } from './draft'
import { add, amountsOf, amountsOfJob, homeParts, isFirm, jobPart, liesWithin, noAmounts, within, type Amounts } from './holdings'
import { binsOf, homeFits, packHomes, take, wantedHomes, type Bin, type Home, type WantedHome } from './homes'
import { Reason, type Job, type Member } from './job'
import type { State } from './state'
import { groupOf } from './topology'
import { TransactionKind, type SetHomes } from './transaction'
import { notRun, RefusalCode, type Refusal } from './verdict'
import { WorkerHealth, type Worker } from './worker'

/**
 * Records where the guaranteed shapes have their place, after checking that no two homes overlap.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function setHomes (draft: Draft, transaction: SetHomes): Result<void, Refusal> {
  const wanted = new Map(wantedHomes(draft.configuration.document.guarantees).map((home) => [home.identifier, home]))
  const placed = new Set(transaction.homes.map((home) => home.identifier))
  const bins = new Map(binsOf(draft.allWorkers().values()).map((bin) => [bin.worker.name, bin]))
  const removed = new Set(transaction.removed)
  for (const home of draft.homes.values()) if (!placed.has(home.identifier) && !removed.has(home.identifier)) takeHome(bins, home)
  for (const home of transaction.homes) {
    if (!wanted.has(home.identifier) || !homeFits(home, bins)) return err(notRun(RefusalCode.Conflict, `home ${home.identifier} does not fit beside the others`))
    takeHome(bins, home)
  }
  for (const identifier of [...transaction.removed].sort()) removeHome(draft, identifier, wanted, new Set(transaction.missing))
  for (const home of transaction.homes) placeHome(draft, home)
  for (const identifier of transaction.missing) noteMissing(draft, identifier, wanted, removed)
  draft.missingHomes = ImmutableSet(transaction.missing)
  return ok(undefined)
}

function removeHome (draft: Draft, identifier: string, wanted: ReadonlyMap<string, WantedHome>, missing: ReadonlySet<string>): void {
  const home = draft.homes.get(identifier)
  if (home === undefined) return
  draft.removeHome(identifier)
  const reason = wanted.has(identifier) && missing.has(identifier) ? Reason.HomeImpossible : Reason.HomeRemoved
  draft.note({ kind: TransactionKind.SetHomes, account: home.account, home: identifier, reason, workers: workersOf(home) })
}

function placeHome (draft: Draft, home: Home): void {
  const reason = draft.homes.has(home.identifier) ? Reason.HomeMoved : Reason.HomeFound
  draft.setHome(home)
  const { account, identifier, graceSeconds } = home
  const masks = home.members.map((member) => member.mask)
  draft.note({ kind: TransactionKind.SetHomes, account, home: identifier, graceSeconds, reason, workers: workersOf(home), masks })
}

function noteMissing (draft: Draft, identifier: string, wanted: ReadonlyMap<string, WantedHome>, removed: ReadonlySet<string>): void {
  const home = wanted.get(identifier)
  if (home === undefined || removed.has(identifier) || draft.missingHomes.has(identifier)) return
  draft.note({ kind: TransactionKind.SetHomes, account: home.account, home: identifier, reason: Reason.HomeImpossible, message: 'no place in the present fleet' })
}

function workersOf (home: Home): string[] {
  return home.members.map((member) => member.worker)
}

function takeHome (bins: ReadonlyMap<string, Bin>, home: Home): void {
  for (const { worker, mask } of home.members) {
    const bin = bins.get(worker)
    if (bin !== undefined) take(bin, home.shape, mask)
  }
}

/** What the rule on homes needs to see; a draft and a state both give it. */
export interface HomeView {
  readonly homes: State['homes']
  readonly worker: (name: string) => Worker | undefined
  readonly job: (identifier: string) => Job | undefined
  readonly attempts: (worker: string) => Iterable<string>
  readonly holder: (home: string) => string | undefined
}

/**
 * Tells whether an attempt leaves every home reclaimable. Reclaimable work may lie anywhere; other work
 * must lie in a free home of its own account, or beside all homes.
 * @param view - the state
 * @param job - the job
 * @param members - where it is to run
 * @param homeIdentifier - the home that it takes, if any
 * @returns true when the rule is kept
 */
export function keepsHomes (view: HomeView, job: Job, members: readonly Member[], homeIdentifier: string | undefined): boolean {
  if (homeIdentifier !== undefined) {
    const home = view.homes.get(homeIdentifier)
    return home !== undefined && home.account === job.specification.account && view.holder(homeIdentifier) === undefined &&
      fitsAmounts(job, home.shape) && members.every((member) => liesWithin(member, home))
  }
  if (!isFirm(job)) return true
  return members.every((member) => {
    const worker = view.worker(member.worker)
    const kept = sum((homeParts(view.homes).get(member.worker) ?? []))
    const needed = amountsOfJob(job, member.mask)
    return worker !== undefined && (kept.mask & member.mask) === 0 && within(worker, add(add(kept, needed), firmBesideHomes(view, member.worker)))
  })
}

/** What work that cannot be stopped holds on a worker outside the home of its own account. */
function firmBesideHomes (view: HomeView, worker: string): Amounts {
  const parts = [...view.attempts(worker)].map((job) => jobPart(view.job(job), worker, view.homes))
  return sum(parts.filter((part) => part !== undefined).filter((part) => part.firm && !part.atHome))
}

function sum (parts: readonly Amounts[]): Amounts {
  return parts.reduce(add, noAmounts)
}

/**
 * Sees a state through the eyes of the rule on homes.
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

function fitsAmounts (job: Job, home: Shape): boolean {
  const { shape } = job.specification
  const needed = amountsOfJob(job, 0)
  return shape.workers <= home.workers && shape.accelerators <= home.accelerators && needed.slots <= home.slots &&
    needed.processors <= home.processors && needed.memoryMegabytes <= home.memoryMegabytes
}

const levelRank: { readonly [level in Level]: number } = { [Level.Worker]: 0, [Level.Rack]: 1, [Level.DataCentre]: 2 }

/**
 * Tells whether a job may take a home of this shape.
 * @param job - the job
 * @param home - the guaranteed shape
 * @returns true when it needs no more on any count
 */
export function fitsHome (job: Job, home: Shape): boolean {
  const { shape } = job.specification
  return fitsAmounts(job, home) && (shape.workers === 1 || levelRank[home.within] <= levelRank[shape.within])
}

/**
 * Tells whether a worker lies in what operators drain.
 * @param worker - the worker
 * @param maintenance - the document's section
 * @returns true for no new work
 */
export function isDrained (worker: Worker, maintenance: Maintenance): boolean {
  return maintenance.workers.includes(worker.name) || maintenance.racks.includes(worker.rack) ||
    maintenance.racks.includes(groupOf[Level.Rack](worker)) || maintenance.dataCentres.includes(worker.dataCentre)
}

/**
 * Tells whether a worker may hold homes and get work.
 * @param worker - the worker
 * @param maintenance - the document's section
 * @returns true for a healthy worker that stays
 */
export function isUsable (worker: Worker, maintenance: Maintenance): boolean {
  return worker.present && !worker.leaving && worker.health === WorkerHealth.Healthy && !isDrained(worker, maintenance)
}

interface Planned {
  readonly guarantees: unknown
  readonly maintenance: unknown
  readonly workers: State['workers']
  readonly homes: State['homes']
  /** Undefined while all is well: then what runs has no influence. */
  readonly usage: State['usage'] | undefined
  readonly at: number
}

/** Milliseconds between two searches for a place that was not there, while the fleet stays as it is. */
const SEARCH_AGAIN_MILLISECONDS = 1_000

let lastPlanned: Planned | undefined

/**
 * Finds places for the homes that have none, or whose place is gone. A home that has its place keeps it.
 * @param state - the state
 * @param now - milliseconds since the epoch
 * @returns the entry to propose, or nothing where all homes stand as well as they can
 */
export function planHomes (state: State, now: number): SetHomes | undefined {
  const { guarantees, maintenance } = state.configuration.document
  if (guarantees.length === 0 && state.homes.size === 0) return undefined
  const seen = lastPlanned
  if (seen !== undefined && seen.guarantees === guarantees && seen.maintenance === maintenance && seen.workers === state.workers &&
    seen.homes === state.homes && (seen.usage === undefined || seen.usage === state.usage || now - seen.at < SEARCH_AGAIN_MILLISECONDS)) return undefined
  const plan = replan(state, now)
  if (plan !== undefined && !changesNothing(state, plan)) return plan
  lastPlanned = { guarantees, maintenance, workers: state.workers, homes: state.homes, usage: plan === undefined ? undefined : state.usage, at: now }
  return undefined
}

/** Nothing new to say: what has no place had none before. */
function changesNothing (state: State, plan: SetHomes): boolean {
  return plan.homes.length === 0 && plan.removed.length === 0 && plan.missing.length === state.missingHomes.size && plan.missing.every((identifier) => state.missingHomes.has(identifier))
}

function replan (state: State, now: number): SetHomes | undefined {
  const { guarantees, maintenance } = state.configuration.document
  const wanted = wantedHomes(guarantees)
  const usable = state.workers.valueSeq().toArray().filter((worker) => isUsable(worker, maintenance))
  const bins = new Map(binsOf(usable).map((bin) => [bin.worker.name, bin]))
  const kept: Home[] = []
  const lost: WantedHome[] = []
  for (const home of wanted) {
    const placed = state.homes.get(home.identifier)
    if (placed !== undefined && homeFits(placed, bins)) { takeHome(bins, placed); kept.push(placed) } else lost.push(home)
  }
  const names = new Set(wanted.map((home) => home.identifier))
  const surplus = [...state.homes.keys()].filter((identifier) => !names.has(identifier)).sort()
  if (lost.length === 0 && surplus.length === 0 && state.missingHomes.size === 0) return undefined
  const found = findPlaces(state, usable, kept, lost)
  const missing = found.missing.map((home) => home.identifier).sort()
  const gone = missing.filter((identifier) => state.homes.has(identifier))
  return { kind: TransactionKind.SetHomes, at: now, homes: found.homes, removed: [...surplus, ...gone], missing }
}

/** Beside the kept homes first; then moving homes that nobody of their account holds; then under work that must end first. */
function findPlaces (state: State, usable: readonly Worker[], kept: readonly Home[], lost: readonly WantedHome[]): { homes: Home[], missing: readonly WantedHome[] } {
  const beside = packHomes(lost, () => binsBeside(state, usable, kept, true))
  if (beside.missing.length === 0) return { homes: beside.homes, missing: [] }
  const held = kept.filter((home) => state.homeHolders.has(home.identifier))
  const movable = kept.filter((home) => !state.homeHolders.has(home.identifier))
  const moved = packHomes([...lost, ...movable], () => binsBeside(state, usable, held, true))
  if (moved.missing.length === 0) return { homes: changedHomes(state, moved.homes), missing: [] }
  const all = [...kept, ...beside.homes]
  const under = packHomes(beside.missing, () => binsBeside(state, usable, all, false))
  return { homes: [...beside.homes, ...under.homes], missing: under.missing }
}

/** Homes that are packed anew at once, at most. */
const MOST_MOVED_HOMES = 64

/**
 * Moves homes that nobody holds out of the way of a job that cannot be stopped once it runs.
 * @param state - the state
 * @param job - the job
 * @param members - free accelerators on which it could start, were it not for those homes
 * @param now - milliseconds since the epoch
 * @returns the entry to propose, or nothing where the homes could not all be kept
 */
export function moveHomesAside (state: State, job: Job, members: readonly Member[], now: number): SetHomes | undefined {
  const { maintenance } = state.configuration.document
  const usable = state.workers.valueSeq().toArray().filter((worker) => isUsable(worker, maintenance))
  const homes = [...state.homes.values()].sort((one, other) => one.identifier < other.identifier ? -1 : 1)
  const workers = new Set(members.map((member) => member.worker))
  const isFree = (home: Home): boolean => !state.homeHolders.has(home.identifier)
  const near = homes.filter((home) => isFree(home) && home.members.some((member) => workers.has(member.worker)))
  const far = homes.filter((home) => isFree(home) && !near.includes(home))
  for (const moved of [near, [...near, ...far]]) {
    if (moved.length > MOST_MOVED_HOMES) return undefined
    const kept = homes.filter((home) => !moved.includes(home))
    const packed = packHomes(moved, () => binsAround(binsBeside(state, usable, kept, true), job, members))
    if (packed.missing.length > 0) continue
    return { kind: TransactionKind.SetHomes, at: now, homes: changedHomes(state, packed.homes), removed: [], missing: state.missingHomes.toArray().sort() }
  }
  return undefined
}

function binsAround (bins: Bin[], job: Job, members: readonly Member[]): Bin[] {
  const masks = new Map(members.map((member) => [member.worker, member.mask]))
  const { shape } = job.specification
  for (const bin of bins) {
    const mask = masks.get(bin.worker.name)
    if (mask !== undefined) take(bin, { ...shape, memoryMegabytes: amountsOfJob(job, 0).memoryMegabytes }, mask)
  }
  return bins
}

function changedHomes (state: State, homes: readonly Home[]): Home[] {
  return homes.filter((home) => JSON.stringify(state.homes.get(home.identifier)?.members) !== JSON.stringify(home.members))
}

function binsBeside (state: State, usable: readonly Worker[], homes: readonly Home[], avoidFirm: boolean): Bin[] {
  const bins = binsOf(usable)
  const byName = new Map(bins.map((bin) => [bin.worker.name, bin]))
  for (const home of homes) takeHome(byName, home)
  if (!avoidFirm) return bins
  const view = homeView(state)
  for (const bin of bins) {
    const firm = firmBesideHomes(view, bin.worker.name)
    bin.free &= ~firm.mask
    bin.slots -= firm.slots
    bin.processors -= firm.processors
    bin.memoryMegabytes -= firm.memoryMegabytes
  }
  return bins
}

/** How one guarantee stands. */
export interface GuaranteeStatus {
  readonly account: string
  readonly shape: Shape
  readonly graceSeconds: number
  readonly promised: number
  /** Have a place that can be reclaimed at once. */
  readonly homed: number
  /** Have a place on which work must end first that cannot be stopped. */
  readonly blocked: number
  /** Have no place in the present fleet. */
  readonly missing: number
  /** Are held by the account's own jobs. */
  readonly inUse: number
}

/**
 * Tells how the guarantees stand.
 * @param state - the state
 * @returns one status for each guarantee of the document, in its order
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

/** A home is blocked while work that cannot be stopped lies on it, or its worker is gone and no new place is found yet. */
function isBlocked (state: State, view: HomeView, home: Home): boolean {
  return home.members.some(({ worker: name, mask }) => {
    const worker = state.workers.get(name)
    if (worker === undefined || !isUsable(worker, state.configuration.document.maintenance)) return true
    const firm = firmBesideHomes(view, name)
    const homes = sum(homeParts(state.homes).get(name) ?? [])
    return (firm.mask & mask) !== 0 || !within(worker, add(homes, firm))
  })
}

/**
 * Picks the accelerators of a home that a smaller job gets.
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
 * What a home takes on each worker.
 * @param home - the home
 * @returns the amounts, without accelerators
 */
export function homeAmounts (home: Home): Amounts {
  return amountsOf(home.shape, 0)
}
