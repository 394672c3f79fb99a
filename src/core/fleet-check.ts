import { canonicalDigest } from './canonical'
import type { Document, Guarantee, Maintenance, Shape } from './document'
import { showValue } from './problems'
import type { State } from './state'
import type { Problem } from './verdict'
import type { Worker } from './worker'
import { Level } from './document'

/** How a worker's group is named at each level. */
const groupOf: { readonly [level in Level]: (worker: Worker) => string } = {
  [Level.Worker]: (worker) => worker.name,
  [Level.Rack]: (worker) => `${worker.dataCentre}/${worker.rack}`,
  [Level.DataCentre]: (worker) => worker.dataCentre
}

/**
 * Tells whether a worker is drained by the document.
 * @param maintenance - the section of that name
 * @param worker - the worker
 * @returns true where it, its rack or its data centre is listed
 */
export function isDrained (maintenance: Maintenance, worker: Pick<Worker, 'name' | 'rack' | 'dataCentre'>): boolean {
  return maintenance.workers.includes(worker.name) || maintenance.racks.includes(worker.rack) || maintenance.dataCentres.includes(worker.dataCentre)
}

/**
 * Tells whether a fleet, empty of all work, could hold a shape.
 * @param shape - the shape
 * @param workers - the fleet
 * @returns true where one group of the shape's level has enough workers that are large enough
 */
export function fleetHolds (shape: Shape, workers: readonly Worker[]): boolean {
  const sizes = new Map<string, number>()
  for (const worker of workers) {
    if (!isLargeEnough(shape, worker)) continue
    const group = groupOf[shape.workers === 1 ? Level.DataCentre : shape.within](worker)
    const size = (sizes.get(group) ?? 0) + 1
    if (size >= shape.workers) return true
    sizes.set(group, size)
  }
  return false
}

function isLargeEnough (shape: Shape, worker: Worker): boolean {
  return worker.accelerators >= shape.accelerators && worker.slots >= shape.slots &&
    worker.processors >= shape.processors && worker.memoryMegabytes >= shape.memoryMegabytes
}

/**
 * Checks that all guarantees together fit the announced fleet. A change that promises nothing new and
 * drains nothing more passes also while a part of the fleet is lost.
 * @param state - the state, for the fleet and the document in force
 * @param document - the document that would be in force
 * @returns the guarantees that have no place, or the maintenance that takes it
 */
export function fleetProblems (state: State, document: Document): Problem[] {
  const before = state.configuration.document
  if (!promisesMore(before, document) && !drainsMore(before.maintenance, document.maintenance)) return []
  const announced = state.workers.valueSeq().toArray().filter((worker) => !worker.leaving)
  const serving = announced.filter((worker) => !isDrained(document.maintenance, worker))
  const homeless = withoutHome(document.guarantees, serving)
  if (homeless.length === 0) return []
  if (withoutHome(document.guarantees, announced).length === 0) {
    return [{ path: '/maintenance', value: showValue(document.maintenance), expected: 'workers in service that hold all guarantees at once' }]
  }
  return homeless.map((position) => ({
    path: `/guarantees/${position}`,
    value: showValue(document.guarantees[position]),
    expected: `a shape that the ${serving.length} announced workers in service hold beside all other guarantees`
  }))
}

function promisesMore (before: Document, after: Document): boolean {
  const kept = new Map(before.guarantees.map((guarantee) => [shapeKey(guarantee), guarantee.count]))
  return after.guarantees.some((guarantee) => (kept.get(shapeKey(guarantee)) ?? 0) < guarantee.count)
}

function shapeKey (guarantee: Guarantee): string {
  return canonicalDigest([guarantee.account, guarantee.shape])
}

function drainsMore (before: Maintenance, after: Maintenance): boolean {
  const added = (earlier: readonly string[], later: readonly string[]): boolean => later.some((entry) => !earlier.includes(entry))
  return added(before.dataCentres, after.dataCentres) || added(before.racks, after.racks) || added(before.workers, after.workers)
}

/** Takes guarantees one by one, the largest first, and keeps what each takes from the row of its workers. */
function withoutHome (guarantees: readonly Guarantee[], workers: readonly Worker[]): number[] {
  const free = new Map(workers.map((worker) => [worker.name, worker.accelerators]))
  const order = guarantees.map((_, position) => position).sort((one, other) => size(guarantees[other]!) - size(guarantees[one]!) || one - other)
  return order.filter((position) => {
    const { shape, count } = guarantees[position]!
    for (let copy = 0; copy < count; copy++) if (!takeShape(shape, workers, free)) return true
    return false
  })
}

function size ({ shape }: Guarantee): number {
  return shape.workers * shape.accelerators * 16 + shape.accelerators
}

function takeShape (shape: Shape, workers: readonly Worker[], free: Map<string, number>): boolean {
  const groups = new Map<string, Worker[]>()
  for (const worker of workers) {
    if (!isLargeEnough(shape, worker) || (free.get(worker.name) ?? 0) < shape.accelerators) continue
    const group = groupOf[shape.workers === 1 ? Level.DataCentre : shape.within](worker)
    groups.set(group, [...groups.get(group) ?? [], worker])
  }
  for (const members of groups.values()) {
    if (members.length < shape.workers) continue
    members.sort((one, other) => free.get(one.name)! - free.get(other.name)! || (one.name < other.name ? -1 : 1))
    for (const member of members.slice(0, shape.workers)) free.set(member.name, free.get(member.name)! - shape.accelerators)
    return true
  }
  return false
}
