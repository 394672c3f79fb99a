import { JobState, Reason, TransactionKind, Urgency, WorkerHealth, type Job, type Member, type SoftState, type State, type Transaction, type WorkerUsage } from '../src/core/index'
import { memberFits } from '../src/core/placement'
import { adjacentMasks, groupOf, longestRun } from '../src/core/topology'

// Baseline policies for comparison. They ignore guarantees and learned times and never stop a job; a job that does not
// fit is skipped.

const noUsage: WorkerUsage = { mask: 0, slots: 0, processors: 0, memoryMegabytes: 0, attempts: undefined as never }
const RESERVATION_MILLISECONDS = 1_200
const QUARANTINE_MILLISECONDS = 60_000
const urgencyRank: { readonly [urgency in Urgency]: number } = { [Urgency.Urgent]: 0, [Urgency.Normal]: 1, [Urgency.Background]: 2 }

type JobOrder = (one: Job, other: Job) => number
type WasteFunction = (usage: WorkerUsage, accelerators: number) => number

/** First come, first served, at the first workers that fit. */
export function firstFit (state: State, soft: SoftState): Transaction[] {
  return runBaseline(state, soft, (one, other) => one.acceptedAt - other.acceptedAt, () => 0)
}

/** Shortest declared time first, at the workers whose longest free run of accelerators is left with the least over. */
export function shortestFirst (state: State, soft: SoftState): Transaction[] {
  return runBaseline(state, soft, (one, other) => one.specification.declaredSeconds - other.specification.declaredSeconds || one.acceptedAt - other.acceptedAt,
    (usage, accelerators) => longestRun(~usage.mask & 255) - accelerators)
}

/** First fit by urgency. Shows the effect of ordering alone; the performance targets refer only to the other two. */
export function urgentFirstFit (state: State, soft: SoftState): Transaction[] {
  return runBaseline(state, soft, (one, other) => urgencyRank[one.specification.urgency] - urgencyRank[other.specification.urgency] || one.acceptedAt - other.acceptedAt, () => 0)
}

function runBaseline (state: State, soft: SoftState, order: JobOrder, wasteOf: WasteFunction): Transaction[] {
  const dueTransactions: Transaction[] = []
  for (const identifier of state.reserved) {
    const attempt = state.jobs.get(identifier)?.attempt
    if (attempt !== undefined && attempt.reservedAt + RESERVATION_MILLISECONDS <= soft.now) dueTransactions.push({ kind: TransactionKind.ReleaseJob, at: soft.now, job: identifier, attempt: attempt.number, reason: Reason.ReservationTimedOut })
  }
  for (const worker of state.workers.values()) {
    if (worker.health === WorkerHealth.Quarantined && worker.probeAt + QUARANTINE_MILLISECONDS <= soft.now) dueTransactions.push({ kind: TransactionKind.ReturnWorker, at: soft.now, worker: worker.name })
  }
  if (dueTransactions.length > 0) return dueTransactions
  const queued = state.queued.toArray().map((identifier) => state.jobs.get(identifier)).filter((job): job is Job => job?.state === JobState.Queued && job.notBefore <= soft.now)
  queued.sort((one, other) => order(one, other) || (one.identifier < other.identifier ? -1 : 1))
  const unplaceable = new Set<string>()
  for (const job of queued) {
    const requirements = JSON.stringify([job.specification.shape, job.learnedMemory, job.failedOn])
    if (unplaceable.has(requirements)) continue
    const members = placeJob(state, soft, job, wasteOf)
    if (members !== undefined) return [{ kind: TransactionKind.ReserveJob, at: soft.now, job: job.identifier, attempt: job.attempts + 1, members, reason: Reason.FairShare, borrowing: false }]
    unplaceable.add(requirements)
  }
  return []
}

function placeJob (state: State, soft: SoftState, job: Job, wasteOf: WasteFunction): Member[] | undefined {
  const { shape } = job.specification
  const groups = new Map<string, Array<{ member: Member, waste: number }>>()
  for (const worker of [...state.workers.values()].sort((one, other) => one.name < other.name ? -1 : 1)) {
    if (!worker.present || worker.leaving || worker.health !== WorkerHealth.Healthy || job.failedOn.includes(worker.name) || soft.silent?.has(worker.name) === true) continue
    const usage = state.usage.get(worker.name) ?? noUsage
    const mask = adjacentMasks(shape.accelerators).find((candidate) => memberFits(job, worker, usage, candidate))
    if (mask === undefined) continue
    const group = shape.workers === 1 ? '' : groupOf[shape.within](worker)
    const list = groups.get(group) ?? []
    groups.set(group, list)
    list.push({ member: { worker: worker.name, incarnation: worker.incarnation, mask }, waste: wasteOf(usage, shape.accelerators) })
  }
  for (const list of groups.values()) {
    if (list.length < shape.workers) continue
    return list.sort((one, other) => one.waste - other.waste).slice(0, shape.workers).map(({ member }) => member)
  }
  return undefined
}
