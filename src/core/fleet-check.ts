import { canonicalDigest } from './canonical'
import { Level, type Document, type Guarantee, type Maintenance, type Shape } from './document'
import { isDrained } from './guarantees'
import { packAllHomes } from './homes'
import { formatValue } from './problems'
import type { State } from './state'
import type { Problem } from './verdict'
import { groupOf } from './topology'
import type { Worker } from './worker'

/**
 * Tells whether a fleet without any work could hold a shape.
 * @param shape - the shape
 * @param workers - the fleet
 * @returns true if one group at the shape's level has enough workers that are large enough
 */
export function fitsEmptyFleet (shape: Shape, workers: readonly Worker[]): boolean {
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
 * Checks that all guarantees together fit the announced fleet. A change that neither adds guarantees nor
 * drains more workers passes even while part of the fleet is lost.
 * @param state - the state, for the fleet and the document in force
 * @param document - the document that would be in force
 * @returns the guarantees that do not fit, or the maintenance section if the drained workers are the cause
 */
export function fleetProblems (state: State, document: Document): Problem[] {
  const before = state.configuration.document
  if (!guaranteesMore(before, document) && !drainsMore(before.maintenance, document.maintenance)) return []
  const announced = state.workers.valueSeq().toArray().filter((worker) => !worker.leaving)
  const serving = announced.filter((worker) => !isDrained(worker, document.maintenance))
  const packed = packAllHomes(document.guarantees, serving)
  if (packed.isOk()) return []
  if (serving.length < announced.length && packAllHomes(document.guarantees, announced).isOk()) {
    return [{ path: '/maintenance', value: formatValue(document.maintenance), expected: 'workers in service that hold all guarantees at once' }]
  }
  return packed.error.map(({ position, wanted, fits }) => ({
    path: `/guarantees/${position}/count`,
    value: formatValue(wanted),
    expected: `at most ${fits}: no more of this shape fits the ${serving.length} announced workers in service beside all other guarantees`
  }))
}

function guaranteesMore (before: Document, after: Document): boolean {
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
