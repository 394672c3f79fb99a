import { JobState, Reason, TransactionKind, Urgency, type Job, type Level, type Shape, type State, type Transaction } from '../src/core/index'
import { bestMask, groupOf } from '../src/core/topology'
import type { JobList, ListedJob } from './lists'
import { Replay, usualTimes, type Policy } from './replay'

/** What a policy made of a list. */
export interface Figures {
  readonly completionMean: number
  readonly completionMedian: number
  readonly completionHigh: number
  readonly lateProofs: number
  /** Time-averaged share of the free accelerators that waiting large shapes could not use for want of adjacency. */
  readonly fragmentation: number
  readonly utilisation: number
  readonly gangWaitMean: number
  /** In seconds; 0 where nothing was reclaimed. */
  readonly worstReclaim: number
  readonly worstUrgent: number
  readonly urgentOverBound: number
  readonly finished: number
  readonly unfinished: number
  /** Accelerator hours of runs that were stopped and lost. */
  readonly broken: number
}

/** Accelerators over all workers from which on a job counts as a large shape. */
const LARGE = 8
const SAMPLE_MILLISECONDS = 5_000
/** How long urgent work may take to start, in seconds. */
const URGENT_BOUND = 3.8
/** Milliseconds after the last job comes until the replay is cut. */
const DRAIN_MILLISECONDS = 12 * 3_600_000

interface Watch {
  readonly started: Map<string, number>
  readonly reclaims: number[]
  /** By account: since when borrowers are being stopped, and for which job. */
  readonly stoppedFor: Map<string, { readonly job: string, readonly at: number }>
}

/**
 * Replays a list under a policy.
 * @param list - the jobs, the fleet and the document
 * @param policy - what decides
 * @param tick - milliseconds between decisions while something waits
 * @returns the figures
 */
export function replayList (list: JobList, policy: Policy, tick = usualTimes.tick): Figures {
  const watch: Watch = { started: new Map(), reclaims: [], stoppedFor: new Map() }
  const replay: Replay = Replay.create(policy, { ...usualTimes, tick }, (transaction, state, _, accepted) => {
    if (accepted) observe(watch, transaction, state, replay.now)
  })
  for (const worker of list.workers) replay.addWorker(worker)
  replay.configure({
    clientAccounts: list.accounts.map((name) => ({ name, share: 1, queuedJobs: 100_000, runningAccelerators: 1_000_000, tokens: [], whenRemoved: 'finish' })),
    guarantees: list.guarantees,
    placement: list.placement,
    limits: { ...replay.state.configuration.document.limits, queuedJobs: 100_000, endedJobsKept: 1_000_000, answerSeconds: 604_800 }
  })
  const begin = replay.now + 10_000
  for (const job of list.jobs) replay.after(10_000 + job.at, () => replay.submit(job.identifier, job.specification, job.truth))
  replay.after(10_000, () => list.disturb(replay))
  const samples = sample(replay, begin, list.length)
  replay.runUntil(begin + list.length + DRAIN_MILLISECONDS)
  return summarise(list, replay, watch, samples)
}

function observe (watch: Watch, transaction: Transaction, state: State, now: number): void {
  if (transaction.kind === TransactionKind.StopJob && transaction.reason === Reason.Reclaimed && transaction.beneficiary !== undefined) {
    const account = state.jobs.get(transaction.beneficiary)?.specification.account ?? ''
    if (!watch.stoppedFor.has(account)) watch.stoppedFor.set(account, { job: transaction.beneficiary, at: now })
  }
  if (transaction.kind !== TransactionKind.StartJob) return
  const { job } = transaction
  if (!watch.started.has(job)) watch.started.set(job, now)
  const account = state.jobs.get(job)?.specification.account ?? ''
  const since = watch.stoppedFor.get(account)
  if (since === undefined || (since.job !== job && state.jobs.get(job)?.attempt?.home === undefined)) return
  watch.stoppedFor.delete(account)
  watch.reclaims.push((now - since.at) / 1_000)
}

interface Samples {
  fragmentation: number
  held: number
  capacity: number
  count: number
}

function sample (replay: Replay, begin: number, length: number): Samples {
  const samples: Samples = { fragmentation: 0, held: 0, capacity: 0, count: 0 }
  const every = Math.max(SAMPLE_MILLISECONDS, length / 5_000)
  const look = (): void => {
    const { free, total, unusable } = wanted(replay.state)
    samples.count++
    samples.capacity += total
    samples.held += total - free
    if (free > 0) samples.fragmentation += unusable / free
    if (replay.now < begin + length) replay.after(every, look)
  }
  replay.after(begin - replay.now, look)
  return samples
}

/** How many free accelerators the waiting large shapes would use, were it not for adjacency. */
function wanted (state: State): { free: number, total: number, unusable: number } {
  const rows = [...state.workers.values()].filter((worker) => worker.present && !worker.leaving).map((worker) => ({
    worker, free: (2 ** worker.accelerators - 1) & ~(state.usage.get(worker.name)?.mask ?? 0)
  }))
  const total = rows.reduce((sum, { worker }) => sum + worker.accelerators, 0)
  const free = rows.reduce((sum, row) => sum + bits(row.free), 0)
  const waiting = state.queued.toArray().map((identifier) => state.jobs.get(identifier)!)
    .filter((job) => area(job.specification.shape) >= LARGE).sort((one, other) => one.acceptedAt - other.acceptedAt)
  let wishes = 0
  let usable = 0
  for (const { specification: { shape } } of waiting) {
    if (wishes + area(shape) > free) continue
    wishes += area(shape)
    if (takeRows(rows, shape)) usable += area(shape)
  }
  return { free, total, unusable: wishes - usable }
}

function takeRows (rows: Array<{ worker: Parameters<typeof groupOf[Level]>[0], free: number }>, shape: Shape): boolean {
  const groups = new Map<string, typeof rows>()
  for (const row of rows) {
    if (bestMask(shape.accelerators, row.free) === undefined) continue
    const name = shape.workers === 1 ? row.worker.name : groupOf[shape.within](row.worker)
    groups.set(name, [...groups.get(name) ?? [], row])
  }
  const group = [...groups.values()].find((candidate) => candidate.length >= shape.workers)
  if (group === undefined) return false
  for (const row of group.slice(0, shape.workers)) row.free &= ~bestMask(shape.accelerators, row.free)!
  return true
}

function area (shape: Shape): number {
  return shape.workers * shape.accelerators
}

function bits (mask: number): number {
  let count = 0
  for (let rest = mask; rest !== 0; rest &= rest - 1) count++
  return count
}

function summarise (list: JobList, replay: Replay, watch: Watch, samples: Samples): Figures {
  const pairs = list.jobs.map((listed) => ({ listed, job: replay.state.jobs.get(listed.identifier) })).filter((pair): pair is { listed: ListedJob, job: Job } => pair.job !== undefined)
  const finished = pairs.filter(({ job }) => job.end?.reason === Reason.AnswerStored)
  const times = finished.map(({ job }) => (job.end!.at - job.acceptedAt) / 1_000).sort((one, other) => one - other)
  const late = pairs.filter(({ listed, job }) => listed.lateAfter > 0 && (job.state !== JobState.Finished || job.end!.at - job.acceptedAt > listed.lateAfter))
  const wait = (job: Job): number => ((watch.started.get(job.identifier) ?? replay.now) - job.acceptedAt) / 1_000
  const gangs = pairs.filter(({ job }) => job.specification.shape.workers > 1 && area(job.specification.shape) >= LARGE && watch.started.has(job.identifier))
  const urgent = pairs.filter(({ job }) => job.specification.urgency === Urgency.Urgent && job.end?.reason !== Reason.CancelledByCaller).map(({ job }) => wait(job))
  return {
    completionMean: mean(times),
    completionMedian: quantile(times, 0.5),
    completionHigh: quantile(times, 0.95),
    lateProofs: late.length,
    fragmentation: samples.fragmentation / samples.count,
    utilisation: samples.held / samples.capacity,
    gangWaitMean: mean(gangs.map(({ job }) => wait(job))),
    worstReclaim: Math.max(0, ...watch.reclaims),
    worstUrgent: urgent.reduce((most, seconds) => Math.max(most, seconds), 0),
    urgentOverBound: urgent.filter((seconds) => seconds > URGENT_BOUND).length,
    finished: finished.length,
    unfinished: pairs.filter(({ job }) => job.end === undefined).length,
    broken: replay.violations.length
  }
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}

function quantile (sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0
}

/** What one pool of accelerators would do: perfect knowledge, no adjacency, stopping costs nothing, least left first. */
export function pool (list: JobList): { completionMean: number, utilisation: number } {
  const capacity = list.workers.reduce((sum, worker) => sum + worker.accelerators, 0)
  const jobs = list.jobs.map(({ at, truth, specification }) => ({ at, left: truth.seconds * 1_000, size: Math.max(area(specification.shape), 0.125) }))
  const open: typeof jobs = []
  let now = 0
  let next = 0
  let sum = 0
  let held = 0
  while (next < jobs.length || open.length > 0) {
    open.sort((one, other) => one.left - other.left)
    let free = capacity
    const running = open.filter(({ size }) => { if (size > free) return false; free -= size; return true })
    const arrival = jobs[next]?.at ?? Infinity
    const step = Math.min(arrival - now, ...running.map(({ left }) => left))
    for (const job of running) {
      job.left -= step
      held += job.size * Math.max(0, Math.min(step, list.length - now))
    }
    now += step
    for (const job of running) if (job.left <= 1e-6) { sum += now - job.at; open.splice(open.indexOf(job), 1) }
    while (jobs[next] !== undefined && jobs[next]!.at <= now) open.push(jobs[next++]!)
  }
  return { completionMean: sum / jobs.length / 1_000, utilisation: held / capacity / list.length }
}
