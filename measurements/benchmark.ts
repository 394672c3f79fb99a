import { apply, decide, encodeState, JobState, Level, Reason, TransactionKind, Urgency, type JobSpecification, type State, type Transaction } from '../src/core/index'
import { createFullSizeList } from './job-lists'
import { Random } from './random'
import { Replay, DEFAULT_TIMES } from './replay'

// Measures the cost of a decision: npm run benchmark [-- WORKERS]. Fills a fleet, then times decisions while jobs are
// queued, and the cancellation of many jobs at once.

const QUEUED_JOBS = 2_000
const CANCELLATIONS = 5_000
const MAX_DECISIONS = 300

function createSpecification (random: Random, account: string, workers: number): JobSpecification {
  return {
    account,
    kind: `kind-${random.integer(0, 9)}`,
    shape: { workers, accelerators: random.pick([1, 2, 4, 8]), slots: 1, processors: 1, memoryMegabytes: 256, within: Level.DataCentre },
    idempotent: random.chance(0.8),
    checkpointable: random.chance(0.5),
    urgency: Urgency.Normal,
    deadline: 0,
    declaredSeconds: 3_600,
    payload: { contentType: 'text/plain', base64: '' }
  }
}

/** Creates a fleet that is nearly full, with queued jobs of all sizes. */
function createBusyFleet (workers: number): Replay {
  const list = createFullSizeList(workers)
  const random = Random.create(workers)
  const replay = Replay.create(decide, { ...DEFAULT_TIMES, tickMilliseconds: 60_000 })
  for (const worker of list.workers) replay.addWorker(worker)
  replay.configure({
    clientAccounts: list.accounts.map((name) => ({ name, share: 1, queuedJobs: 100_000, runningAccelerators: 1_000_000, tokens: [], whenRemoved: 'finish' })),
    guarantees: list.guarantees,
    limits: { ...replay.state.configuration.document.limits, queuedJobs: 100_000 }
  })
  const count = workers * 3 + QUEUED_JOBS
  for (let number = 0; number < count; number++) {
    const size = random.pick([1, 1, 1, 1, 2, 4, Math.min(128, Math.ceil(workers / 20))])
    replay.submit(`job-${number}`, createSpecification(random, random.pick(list.accounts), size), { seconds: 1_000_000, memoryMegabytes: 1, failsAlways: false })
  }
  replay.runUntil(replay.now + 2_000)
  return replay
}

function quantile (sorted: readonly number[], share: number): string {
  return (sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0).toFixed(2)
}

/** Ends running jobs one at a time and times the decision after each end; returns the times in ascending order. */
function timeDecisions (replay: Replay): number[] {
  const times: number[] = []
  let { state } = replay
  let now = replay.now
  const running = [...state.jobs.values()].filter((job) => job.state === JobState.Running).slice(0, MAX_DECISIONS)
  for (const job of running) {
    now += 50
    const answer = { contentType: '', base64: '', digest: '' }
    state = applyTransaction(state, { kind: TransactionKind.FinishJob, at: now, job: job.identifier, attempt: job.attempts, worker: job.attempt!.members[0]!.worker, answer })
    for (const member of job.attempt!.members.slice(1)) {
      state = applyTransaction(state, { kind: TransactionKind.EndAttempt, at: now, job: job.identifier, attempt: job.attempts, worker: member.worker, outcome: 'stopped' as never, verdict: 'ran' as never, reason: Reason.Stopped, usedMemory: 0 })
    }
    const begin = performance.now()
    const decided = decide(state, { now })
    times.push(performance.now() - begin)
    for (const transaction of decided) state = applyTransaction(state, transaction)
  }
  return times.sort((one, other) => one - other)
}

function applyTransaction (state: State, transaction: Transaction): State {
  return apply(state, transaction).state
}

function timeCancellations (replay: Replay): number {
  const random = Random.create(1)
  let { state } = replay
  const { account } = state.jobs.first()!.specification
  for (let number = 0; number < CANCELLATIONS; number++) state = applyTransaction(state, { kind: TransactionKind.AcceptJob, at: replay.now, identifier: `cancelled-${number}`, specification: createSpecification(random, account, 1) })
  const jobs = Array.from({ length: CANCELLATIONS }, (_, number) => `cancelled-${number}`)
  const begin = performance.now()
  state = applyTransaction(state, { kind: TransactionKind.CancelJobs, at: replay.now, jobs, account: '', reason: Reason.CancelledByCaller })
  decide(state, { now: replay.now })
  return performance.now() - begin
}

const sizes = process.argv[2] === undefined ? [130, 400, 1_300] : [Number(process.argv[2])]

for (const workers of sizes) {
  const replay = createBusyFleet(workers)
  const { state } = replay
  const times = timeDecisions(replay)
  console.log(`${workers} workers, ${state.jobs.size} jobs, ${state.queued.size} waiting, ${state.homes.size} homes: decision p50 ${quantile(times, 0.5)} ms, ` +
    `p99 ${quantile(times, 0.99)} ms, worst ${quantile(times, 1)} ms (${times.length} decisions); ${CANCELLATIONS} cancellations ${timeCancellations(replay).toFixed(0)} ms; ` +
    `state as bytes ${(encodeState(state).length / 2 ** 20).toFixed(1)} MiB`)
}
