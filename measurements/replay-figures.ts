import { JobState, Reason, TransactionKind, Urgency, type Job, type Level, type Shape, type State, type Transaction } from '../src/core/index'
import { bestMask, groupOf } from '../src/core/topology'
import type { JobList, ListedJob } from './job-lists'
import { Replay, DEFAULT_TIMES, type Policy } from './replay'

/** Results of replaying a job list under a policy. */
export interface ReplayFigures {
  readonly completionMeanSeconds: number
  readonly completionMedianSeconds: number
  readonly completionP95Seconds: number
  readonly lateProofs: number
  /** Time-averaged share of the free accelerators that waiting large shapes could not use because they are not adjacent. */
  readonly fragmentation: number
  readonly utilisation: number
  readonly gangWaitMeanSeconds: number
  /** 0 if nothing was reclaimed. */
  readonly worstReclaimSeconds: number
  readonly worstUrgentSeconds: number
  readonly urgentOverBound: number
  readonly finished: number
  readonly unfinished: number
  /** Number of invariants that the replay found violated. */
  readonly violations: number
}

/** Fewest accelerators, over all workers of a shape, that make it a large shape. */
const LARGE_SHAPE_ACCELERATORS = 8
const SAMPLE_MILLISECONDS = 5_000
/** Limit within which urgent work must start. */
const MAX_URGENT_START_SECONDS = 3.8
/** The replay ends this long after the last submission, even if jobs are still open. */
const MAX_DRAIN_MILLISECONDS = 12 * 3_600_000

interface StartObservations {
  readonly firstStarts: Map<string, number>
  readonly reclaimSeconds: number[]
  /** By account: the job for which borrowers are being stopped, and since when. */
  readonly pendingReclaims: Map<string, { readonly job: string, readonly at: number }>
}

/**
 * Replays a job list under a policy.
 * @param list - the jobs, the fleet and the document
 * @param policy - the scheduling policy
 * @param tickMilliseconds - interval between decisions while jobs wait
 * @returns the figures
 */
export function replayList (list: JobList, policy: Policy, tickMilliseconds = DEFAULT_TIMES.tickMilliseconds): ReplayFigures {
  const observations: StartObservations = { firstStarts: new Map(), reclaimSeconds: [], pendingReclaims: new Map() }
  const replay: Replay = Replay.create(policy, { ...DEFAULT_TIMES, tickMilliseconds }, (transaction, state, _, accepted) => {
    if (accepted) observeTransaction(observations, transaction, state, replay.now)
  })
  for (const worker of list.workers) replay.addWorker(worker)
  replay.configure({
    clientAccounts: list.accounts.map((name) => ({ name, share: 1, queuedJobs: 100_000, runningAccelerators: 1_000_000, tokens: [], whenRemoved: 'finish' })),
    guarantees: list.guarantees,
    placement: list.placement,
    limits: { ...replay.state.configuration.document.limits, queuedJobs: 100_000, endedJobsKept: 1_000_000, answerSeconds: 604_800 }
  })
  const begin = replay.now + 10_000
  for (const job of list.jobs) replay.schedule(10_000 + job.submittedAt, () => replay.submit(job.identifier, job.specification, job.actual))
  replay.schedule(10_000, () => list.disturb(replay))
  const samples = sampleFleet(replay, begin, list.durationMilliseconds)
  replay.runUntil(begin + list.durationMilliseconds + MAX_DRAIN_MILLISECONDS)
  return summarise(list, replay, observations, samples)
}

function observeTransaction (observations: StartObservations, transaction: Transaction, state: State, now: number): void {
  if (transaction.kind === TransactionKind.StopJob && transaction.reason === Reason.Reclaimed && transaction.beneficiary !== undefined) {
    const account = state.jobs.get(transaction.beneficiary)?.specification.account ?? ''
    if (!observations.pendingReclaims.has(account)) observations.pendingReclaims.set(account, { job: transaction.beneficiary, at: now })
  }
  if (transaction.kind !== TransactionKind.StartJob) return
  const { job } = transaction
  if (!observations.firstStarts.has(job)) observations.firstStarts.set(job, now)
  const account = state.jobs.get(job)?.specification.account ?? ''
  const reclaim = observations.pendingReclaims.get(account)
  if (reclaim === undefined || (reclaim.job !== job && state.jobs.get(job)?.attempt?.home === undefined)) return
  observations.pendingReclaims.delete(account)
  observations.reclaimSeconds.push((now - reclaim.at) / 1_000)
}

interface FleetSamples {
  fragmentation: number
  held: number
  capacity: number
  count: number
}

function sampleFleet (replay: Replay, begin: number, durationMilliseconds: number): FleetSamples {
  const samples: FleetSamples = { fragmentation: 0, held: 0, capacity: 0, count: 0 }
  const intervalMilliseconds = Math.max(SAMPLE_MILLISECONDS, durationMilliseconds / 5_000)
  const takeSample = (): void => {
    const { free, total, unusable } = measureFragmentation(replay.state)
    samples.count++
    samples.capacity += total
    samples.held += total - free
    if (free > 0) samples.fragmentation += unusable / free
    if (replay.now < begin + durationMilliseconds) replay.schedule(intervalMilliseconds, takeSample)
  }
  replay.schedule(begin - replay.now, takeSample)
  return samples
}

/** Counts the free accelerators that waiting large shapes would fit into by number but cannot use because of adjacency. */
function measureFragmentation (state: State): { free: number, total: number, unusable: number } {
  const rows = [...state.workers.values()].filter((worker) => worker.present && !worker.leaving).map((worker) => ({
    worker, free: (2 ** worker.accelerators - 1) & ~(state.usage.get(worker.name)?.mask ?? 0)
  }))
  const total = rows.reduce((sum, { worker }) => sum + worker.accelerators, 0)
  const free = rows.reduce((sum, row) => sum + countBits(row.free), 0)
  const waiting = state.queued.toArray().map((identifier) => state.jobs.get(identifier)!)
    .filter((job) => acceleratorsOf(job.specification.shape) >= LARGE_SHAPE_ACCELERATORS).sort((one, other) => one.acceptedAt - other.acceptedAt)
  let wanted = 0
  let usable = 0
  for (const { specification: { shape } } of waiting) {
    if (wanted + acceleratorsOf(shape) > free) continue
    wanted += acceleratorsOf(shape)
    if (allocateRows(rows, shape)) usable += acceleratorsOf(shape)
  }
  return { free, total, unusable: wanted - usable }
}

function allocateRows (rows: Array<{ worker: Parameters<typeof groupOf[Level]>[0], free: number }>, shape: Shape): boolean {
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

function acceleratorsOf (shape: Shape): number {
  return shape.workers * shape.accelerators
}

function countBits (mask: number): number {
  let count = 0
  for (let remaining = mask; remaining !== 0; remaining &= remaining - 1) count++
  return count
}

function summarise (list: JobList, replay: Replay, observations: StartObservations, samples: FleetSamples): ReplayFigures {
  const pairs = list.jobs.map((listed) => ({ listed, job: replay.state.jobs.get(listed.identifier) })).filter((pair): pair is { listed: ListedJob, job: Job } => pair.job !== undefined)
  const finished = pairs.filter(({ job }) => job.end?.reason === Reason.AnswerStored)
  const times = finished.map(({ job }) => (job.end!.at - job.acceptedAt) / 1_000).sort((one, other) => one - other)
  const late = pairs.filter(({ listed, job }) => listed.lateAfterMilliseconds > 0 && (job.state !== JobState.Finished || job.end!.at - job.acceptedAt > listed.lateAfterMilliseconds))
  const wait = (job: Job): number => ((observations.firstStarts.get(job.identifier) ?? replay.now) - job.acceptedAt) / 1_000
  const gangs = pairs.filter(({ job }) => job.specification.shape.workers > 1 && acceleratorsOf(job.specification.shape) >= LARGE_SHAPE_ACCELERATORS && observations.firstStarts.has(job.identifier))
  const urgent = pairs.filter(({ job }) => job.specification.urgency === Urgency.Urgent && job.end?.reason !== Reason.CancelledByCaller).map(({ job }) => wait(job))
  return {
    completionMeanSeconds: mean(times),
    completionMedianSeconds: quantile(times, 0.5),
    completionP95Seconds: quantile(times, 0.95),
    lateProofs: late.length,
    fragmentation: samples.fragmentation / samples.count,
    utilisation: samples.held / samples.capacity,
    gangWaitMeanSeconds: mean(gangs.map(({ job }) => wait(job))),
    worstReclaimSeconds: Math.max(0, ...observations.reclaimSeconds),
    worstUrgentSeconds: urgent.reduce((worst, seconds) => Math.max(worst, seconds), 0),
    urgentOverBound: urgent.filter((seconds) => seconds > MAX_URGENT_START_SECONDS).length,
    finished: finished.length,
    unfinished: pairs.filter(({ job }) => job.end === undefined).length,
    violations: replay.violations.length
  }
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}

function quantile (sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0
}

/**
 * Simulates an ideal pool of accelerators as a bound: run times are known, accelerators need not be adjacent, preemption
 * is free, and the job with the shortest remaining time runs first.
 */
export function simulatePool (list: JobList): { completionMeanSeconds: number, utilisation: number } {
  const capacity = list.workers.reduce((sum, worker) => sum + worker.accelerators, 0)
  const jobs = list.jobs.map(({ submittedAt, actual, specification }) => ({ at: submittedAt, remaining: actual.seconds * 1_000, size: Math.max(acceleratorsOf(specification.shape), 0.125) }))
  const open: typeof jobs = []
  let now = 0
  let next = 0
  let completionSum = 0
  let held = 0
  while (next < jobs.length || open.length > 0) {
    open.sort((one, other) => one.remaining - other.remaining)
    let free = capacity
    const running = open.filter(({ size }) => { if (size > free) return false; free -= size; return true })
    const arrival = jobs[next]?.at ?? Infinity
    const step = Math.min(arrival - now, ...running.map(({ remaining }) => remaining))
    for (const job of running) {
      job.remaining -= step
      held += job.size * Math.max(0, Math.min(step, list.durationMilliseconds - now))
    }
    now += step
    for (const job of running) if (job.remaining <= 1e-6) { completionSum += now - job.at; open.splice(open.indexOf(job), 1) }
    while (jobs[next] !== undefined && jobs[next]!.at <= now) open.push(jobs[next++]!)
  }
  return { completionMeanSeconds: completionSum / jobs.length / 1_000, utilisation: held / capacity / list.durationMilliseconds }
}
