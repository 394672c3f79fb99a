import { Level, type Maintenance } from './document'
import { isUsable, placementMaintenance } from './guarantees'
import { addResources, homeAllocations, jobAllocation, noResources, type WorkerResources, type HomeAllocation, type JobAllocation } from './allocations'
import type { State, WorkerUsage } from './state'
import { groupOf } from './topology'
import type { Worker } from './worker'

const noUsage: Omit<WorkerUsage, 'attempts'> = { mask: 0, slots: 0, processors: 0, memoryMegabytes: 0 }
const noHomeAllocations: readonly HomeAllocation[] = []

/** Capacity of one worker and how it is used, as seen by placement. */
export class WorkerCapacity {
  readonly rack: string
  readonly dataCentre: string
  readonly allAccelerators: number
  usable = false
  /** Used by attempts in the replicated state. */
  used: WorkerResources = noResources
  /** Allocated by decisions of the current pass. */
  planned: WorkerResources = noResources
  /** Held for the oldest waiting gang, which is expected to start here. */
  heldForGang: WorkerResources = noResources
  /** Used by non-preemptible work outside its own account's homes. */
  nonPreemptible: WorkerResources = noResources
  /** Reserved for homes of all accounts. */
  reservedForHomes: WorkerResources = noResources
  allocations: JobAllocation[] = []
  /** Jobs that the current pass decided to stop. */
  readonly stopping = new Set<string>()
  homeAllocations: readonly HomeAllocation[] = noHomeAllocations
  /** The usage from which the other fields were computed. */
  usage: WorkerUsage | undefined
  stale = true

  constructor (public worker: Worker) {
    this.rack = groupOf[Level.Rack](worker)
    this.dataCentre = groupOf[Level.DataCentre](worker)
    this.allAccelerators = 2 ** worker.accelerators - 1
  }

  get freeAccelerators (): number { return this.allAccelerators & ~(this.used.mask | this.planned.mask) }
}

/**
 * The capacities of all workers, in the order of data centre, rack and name. The instance is reused from one decision
 * to the next, and only the capacities whose worker, usage or homes changed are recomputed.
 */
export class Fleet {
  private static latest: Fleet | undefined
  private readonly byName: ReadonlyMap<string, WorkerCapacity>
  private readonly changed = new Set<WorkerCapacity>()

  private constructor (readonly capacities: readonly WorkerCapacity[], private lastState: State) {
    this.byName = new Map(capacities.map((capacity) => [capacity.worker.name, capacity]))
  }

  /**
   * Gets the fleet of a state.
   * @param state - the state
   * @returns the fleet, valid until the next call
   */
  static of (state: State): Fleet {
    const latest = Fleet.latest
    const fleet = latest !== undefined && (latest.lastState.workers === state.workers || latest.updateWorkers(state)) ? latest : Fleet.create(state)
    fleet.update(state, fleet !== latest)
    Fleet.latest = fleet
    return fleet
  }

  private static create (state: State): Fleet {
    const capacities = state.workers.valueSeq().toArray().map((worker) => new WorkerCapacity(worker))
    return new Fleet(capacities.sort((one, other) => compare(one.dataCentre, other.dataCentre) || compare(one.rack, other.rack) || compare(one.worker.name, other.worker.name)), state)
  }

  /** Updates the workers in place; returns false if the topology changed, so that the fleet must be created anew. */
  private updateWorkers (state: State): boolean {
    if (state.workers.size !== this.capacities.length) return false
    for (const capacity of this.capacities) {
      const worker = state.workers.get(capacity.worker.name)
      if (worker === undefined || worker.rack !== capacity.worker.rack || worker.dataCentre !== capacity.worker.dataCentre || worker.accelerators !== capacity.worker.accelerators) return false
      if (worker === capacity.worker) continue
      capacity.worker = worker
      capacity.stale = true
    }
    return true
  }

  capacity (name: string): WorkerCapacity | undefined { return this.byName.get(name) }

  /** Adds an allocation to a worker, so that later decisions of the pass see it. */
  allocate (name: string, resources: WorkerResources, nonPreemptible: boolean): void {
    const capacity = this.byName.get(name)
    if (capacity === undefined) return
    capacity.planned = addResources(capacity.planned, resources)
    if (nonPreemptible) capacity.nonPreemptible = addResources(capacity.nonPreemptible, resources)
    this.changed.add(capacity)
  }

  /** Holds resources for the oldest waiting gang. */
  holdForGang (name: string, resources: WorkerResources): void {
    const capacity = this.byName.get(name)
    if (capacity === undefined) return
    capacity.heldForGang = resources
    this.changed.add(capacity)
  }

  /** Marks a job as being stopped on its workers. */
  markStopping (job: string, workers: readonly string[]): void {
    for (const worker of workers) {
      const capacity = this.byName.get(worker)
      if (capacity === undefined) continue
      capacity.stopping.add(job)
      this.changed.add(capacity)
    }
  }

  private update (state: State, isNew: boolean): void {
    const { lastState } = this
    const maintenance = placementMaintenance(state)
    const all = isNew || lastState.homes !== state.homes || placementMaintenance(lastState) !== maintenance
    const homes = homeAllocations(state.homes)
    for (const capacity of this.changed) capacity.stale = true
    this.changed.clear()
    for (const capacity of this.capacities) {
      const usage = state.usage.get(capacity.worker.name)
      if (all || capacity.stale || capacity.usage !== usage) refresh(capacity, state, usage, homes.get(capacity.worker.name) ?? noHomeAllocations, maintenance)
    }
    this.lastState = state
  }
}

function refresh (capacity: WorkerCapacity, state: State, usage: WorkerUsage | undefined, homes: readonly HomeAllocation[], maintenance: Maintenance): void {
  const { mask, slots, processors, memoryMegabytes } = usage ?? noUsage
  capacity.usage = usage
  capacity.stale = false
  capacity.usable = isUsable(capacity.worker, maintenance)
  capacity.used = { mask, slots, processors, memoryMegabytes }
  capacity.planned = noResources
  capacity.heldForGang = noResources
  capacity.stopping.clear()
  capacity.homeAllocations = homes
  capacity.reservedForHomes = homes.reduce<WorkerResources>(addResources, noResources)
  capacity.allocations = usage === undefined ? [] : allocationsOf(state, capacity.worker.name, usage)
  capacity.nonPreemptible = capacity.allocations.filter((allocation) => allocation.nonPreemptible && !allocation.inOwnHome).reduce<WorkerResources>(addResources, noResources)
}

function allocationsOf (state: State, worker: string, usage: WorkerUsage): JobAllocation[] {
  const names = usage.attempts.keySeq().toArray().sort()
  return names.map((name) => jobAllocation(state.jobs.get(name), worker, state.homes)).filter((allocation) => allocation !== undefined)
}

function compare (one: string, other: string): number {
  if (one === other) return 0
  return one < other ? -1 : 1
}
