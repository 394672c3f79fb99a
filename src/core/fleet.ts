import { Level, type Maintenance } from './document'
import { isUsable } from './guarantees'
import { add, homeParts, jobPart, noAmounts, type Amounts, type HomePart, type JobPart } from './holdings'
import type { State, WorkerUsage } from './state'
import { groupOf } from './topology'
import type { Worker } from './worker'

const nothingUsed: Omit<WorkerUsage, 'attempts'> = { mask: 0, slots: 0, processors: 0, memoryMegabytes: 0 }
const noParts: readonly HomePart[] = []

/** One worker as placement sees it: what is held, what is firm, what is kept for homes. */
export class Row {
  readonly rack: string
  readonly dataCentre: string
  readonly full: number
  usable = false
  /** Held by attempts in the log. */
  standing: Amounts = noAmounts
  /** Given away by the decisions of this call. */
  taken: Amounts = noAmounts
  /** Where the oldest waiting gang is to start. */
  awaited: Amounts = noAmounts
  /** Held by work that cannot be stopped, outside the home of its own account. */
  firm: Amounts = noAmounts
  kept: Amounts = noAmounts
  parts: JobPart[] = []
  /** Jobs that this call decided to stop. */
  readonly leaving = new Set<string>()
  homes: readonly HomePart[] = noParts
  /** What the row was made from; undefined once a decision was laid over it. */
  usage: WorkerUsage | undefined
  stale = true

  constructor (public worker: Worker) {
    this.rack = groupOf[Level.Rack](worker)
    this.dataCentre = groupOf[Level.DataCentre](worker)
    this.full = 2 ** worker.accelerators - 1
  }

  /** Free accelerators. */
  get free (): number { return this.full & ~(this.standing.mask | this.taken.mask) }
}

/**
 * The workers in the order of data centre, rack and name, with what they hold. It is kept from one decision to
 * the next and brings up to date only the rows whose worker, usage or homes changed.
 */
export class Fleet {
  private static latest: Fleet | undefined
  private readonly byName: ReadonlyMap<string, Row>
  private readonly changed = new Set<Row>()

  private constructor (readonly rows: readonly Row[], private seen: State) {
    this.byName = new Map(rows.map((row) => [row.worker.name, row]))
  }

  /**
   * Sees the fleet of a state.
   * @param state - the state
   * @returns the fleet, valid until the next call
   */
  static of (state: State): Fleet {
    const latest = Fleet.latest
    const fleet = latest !== undefined && (latest.seen.workers === state.workers || latest.follow(state)) ? latest : Fleet.create(state)
    fleet.bringUpToDate(state, fleet !== latest)
    Fleet.latest = fleet
    return fleet
  }

  private static create (state: State): Fleet {
    const rows = state.workers.valueSeq().toArray().map((worker) => new Row(worker))
    return new Fleet(rows.sort((one, other) => compare(one.dataCentre, other.dataCentre) || compare(one.rack, other.rack) || compare(one.worker.name, other.worker.name)), state)
  }

  /** Takes over what workers say of themselves; false where the topology changed and all is made anew. */
  private follow (state: State): boolean {
    if (state.workers.size !== this.rows.length) return false
    for (const row of this.rows) {
      const worker = state.workers.get(row.worker.name)
      if (worker === undefined || worker.rack !== row.worker.rack || worker.dataCentre !== row.worker.dataCentre || worker.accelerators !== row.worker.accelerators) return false
      if (worker === row.worker) continue
      row.worker = worker
      row.stale = true
    }
    return true
  }

  row (name: string): Row | undefined { return this.byName.get(name) }

  /** Lays a decision over a worker, so that the next decision sees it. */
  hold (name: string, amounts: Amounts, firm: boolean): void {
    const row = this.byName.get(name)
    if (row === undefined) return
    row.taken = add(row.taken, amounts)
    if (firm) row.firm = add(row.firm, amounts)
    this.changed.add(row)
  }

  /** Keeps a place for the oldest waiting gang. */
  await (name: string, amounts: Amounts): void {
    const row = this.byName.get(name)
    if (row === undefined) return
    row.awaited = amounts
    this.changed.add(row)
  }

  /** Notes that a job is to leave its workers. */
  leave (job: string, workers: readonly string[]): void {
    for (const worker of workers) {
      const row = this.byName.get(worker)
      if (row === undefined) continue
      row.leaving.add(job)
      this.changed.add(row)
    }
  }

  private bringUpToDate (state: State, anew: boolean): void {
    const { seen } = this
    const { maintenance } = state.configuration.document
    const all = anew || seen.homes !== state.homes || seen.configuration.document.maintenance !== maintenance
    const homes = homeParts(state.homes)
    for (const row of this.changed) row.stale = true
    this.changed.clear()
    for (const row of this.rows) {
      const usage = state.usage.get(row.worker.name)
      if (all || row.stale || row.usage !== usage) refresh(row, state, usage, homes.get(row.worker.name) ?? noParts, maintenance)
    }
    this.seen = state
  }
}

function refresh (row: Row, state: State, usage: WorkerUsage | undefined, homes: readonly HomePart[], maintenance: Maintenance): void {
  const { mask, slots, processors, memoryMegabytes } = usage ?? nothingUsed
  row.usage = usage
  row.stale = false
  row.usable = isUsable(row.worker, maintenance)
  row.standing = { mask, slots, processors, memoryMegabytes }
  row.taken = noAmounts
  row.awaited = noAmounts
  row.leaving.clear()
  row.homes = homes
  row.kept = homes.reduce<Amounts>(add, noAmounts)
  row.parts = usage === undefined ? [] : partsOf(state, row.worker.name, usage)
  row.firm = row.parts.filter((part) => part.firm && !part.atHome).reduce<Amounts>(add, noAmounts)
}

function partsOf (state: State, worker: string, usage: WorkerUsage): JobPart[] {
  const names = usage.attempts.keySeq().toArray().sort()
  return names.map((name) => jobPart(state.jobs.get(name), worker, state.homes)).filter((part) => part !== undefined)
}

function compare (one: string, other: string): number {
  if (one === other) return 0
  return one < other ? -1 : 1
}
