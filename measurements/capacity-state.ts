import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import {
  apply, decodeState, encodeState, encodeStateInChunks, encodeTransactions, initialState, JobAccess, Level, MAX_EARLY_CANCELLATIONS, RemovalRule, stateDigest, StepTransactionKind, TransactionKind, Urgency,
  type JobSpecification, type State, type Transaction
} from '../src/core/index'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Cost of each additional item in state, log and audit record, measured on the core alone. */
export interface StateSlopes {
  readonly bytesPerWorker: number
  readonly bytesPerQueuedJob: number
  readonly bytesPerRunningJob: number
  readonly bytesPerEndedJob: number
  readonly bytesPerStoredPut: number
  readonly heapBytesPerWorker: number
  readonly heapBytesPerEndedJob: number
  readonly logBytesPerJob: number
  readonly logBytesPerGang128: number
  readonly recordBytesPerGang128: number
  readonly logBytesPerPut: number
  readonly recordBytesPerJob: number
  readonly recordLinesPerJob: number
  readonly recordBytesPerPut: number
  readonly applyMicrosecondsPerEntry: number
  readonly bytesPerEarlyCancellation: number
  readonly heapBytesPerEarlyCancellation: number
  readonly logBytesPerEarlyCancellation: number
}

/** Size and snapshot times of a state of the design size. */
export interface FullSizeCosts {
  readonly bytes: number
  readonly encodeMillisecondsMedian: number
  /** Includes the first encoding, which runs code that is not yet optimised, as in a process that takes a snapshot every few hours. */
  readonly encodeMillisecondsWorst: number
  /** Longest time for which the encoding in pieces blocks the event loop. */
  readonly longestPieceMilliseconds: number
  readonly digestMilliseconds: number
  readonly decodeMilliseconds: number
  readonly heapBytes: number
}

const WORKERS = 1_300
const RUNNING_JOBS = 5_700
const SAMPLE_JOBS = 1_000

function createSpecification (workers: number, accelerators: number): JobSpecification {
  return {
    account: 'team-01',
    kind: 'proof',
    shape: { workers, accelerators, slots: 1, processors: 4, memoryMegabytes: 4_096, within: workers === 1 ? Level.Worker : Level.DataCentre },
    idempotent: false,
    checkpointable: true,
    urgency: Urgency.Normal,
    deadline: 0,
    declaredSeconds: 7_200,
    payload: { contentType: 'application/json', base64: Buffer.alloc(512, 'x').toString('base64') }
  }
}

/** Applies transactions and counts the bytes that they add to the log and the audit record. */
class MeteredState {
  state: State = initialState
  logBytes = 0
  recordBytes = 0
  recordLines = 0
  entries = 0

  apply (transaction: Transaction): void {
    const applied = apply(this.state, transaction)
    if (applied.outcome.isErr()) throw new Error(`${transaction.kind}: ${applied.outcome.error.message}`)
    this.state = applied.state
    this.entries++
    this.logBytes += encodeTransactions([transaction]).length
    for (const line of applied.lines) { this.recordBytes += Buffer.byteLength(line.text) + 1; this.recordLines++ }
  }
}

function workerName (position: number): string {
  return `worker-${String(position).padStart(4, '0')}`
}

function announceWorker (position: number): Transaction {
  const worker = { name: workerName(position), region: `region-${position % 3}`, dataCentre: 'all', rack: `rack-${Math.floor(position / 8)}`, accelerators: 8, slots: 8, processors: 64, memoryMegabytes: 131_072 }
  return { kind: TransactionKind.AnnounceWorker, at: 1, worker, incarnation: `${worker.name}-0f8b2c1d`, leaving: false, running: [] }
}

function replaceAccounts (changed: number): Transaction {
  const clientAccounts = Array.from({ length: 24 }, (_, position) => ({ name: `team-${String(position + 1).padStart(2, '0')}`, share: 1 + changed % 7, queuedJobs: 100_000, runningAccelerators: 100_000, tokens: ['0'.repeat(64)], whenRemoved: RemovalRule.Finish }))
  return { kind: TransactionKind.PutConfiguration, at: 2 + changed, team: 'operators', requestIdentifier: `change-${changed}`, read: [{ section: 'clientAccounts', number: changed }], sectionsJson: JSON.stringify({ clientAccounts }) }
}

function acceptJob (identifier: string, workers = 1, accelerators = 1): Transaction {
  return { kind: TransactionKind.AcceptJob, at: 10, identifier, specification: createSpecification(workers, accelerators) }
}

function reserveJob (job: string, workers: readonly number[], mask: number): Transaction {
  const members = workers.map((position) => ({ worker: workerName(position), incarnation: `${workerName(position)}-0f8b2c1d`, mask }))
  return { kind: TransactionKind.ReserveJob, at: 11, job, attempt: 1, members, reason: 'fair-share' as never, borrowing: false }
}

function startJob (job: string): Transaction { return { kind: TransactionKind.StartJob, at: 12, job, attempt: 1 } }

function finishJob (job: string, worker: number): Transaction {
  const answer = { contentType: 'application/json', base64: Buffer.alloc(512, 'y').toString('base64'), digest: 'd'.repeat(64) }
  return { kind: TransactionKind.FinishJob, at: 13, job, attempt: 1, worker: workerName(worker), answer }
}

/** Cancels a step job that was not submitted, with an identifier of 16 digits. */
function cancelUnknown (position: number): Transaction {
  return { kind: StepTransactionKind.CancelSteps, at: 14, identifier: position.toString(16).padStart(16, '0'), caller: { queue: 'proofs', account: 'team-01', access: JobAccess.Account } }
}

function heapUsed (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed
}

function stateBytesPerItem (before: State, after: State, count: number): number {
  return (encodeState(after).length - encodeState(before).length) / count
}

/** Accepts, reserves and starts single-worker jobs spread over the workers, and finishes them if asked. Running jobs use different accelerators. */
function runJobs (metered: MeteredState, from: number, count: number, finished: boolean): void {
  for (let position = from; position < from + count; position++) {
    const job = `job-${position}`
    const worker = position % WORKERS
    const mask = finished ? 128 : 1 << (Math.floor(position / WORKERS) % 7)
    metered.apply(acceptJob(job))
    metered.apply(reserveJob(job, [worker], mask))
    metered.apply(startJob(job))
    if (finished) metered.apply(finishJob(job, worker))
  }
}

/**
 * Measures the cost of one more worker, job, configuration change and log entry.
 * @returns the slopes
 */
export function measureStateSlopes (): StateSlopes {
  const metered = new MeteredState()
  metered.apply(replaceAccounts(0))
  const empty = metered.state
  const heapEmpty = heapUsed()
  for (let position = 0; position < WORKERS; position++) metered.apply(announceWorker(position))
  const withWorkers = metered.state
  const heapWorkers = heapUsed()
  const puts = measureBytes(metered, () => { for (let change = 1; change <= 100; change++) metered.apply(replaceAccounts(change)) })
  const withPuts = metered.state
  for (let position = 0; position < SAMPLE_JOBS; position++) metered.apply(acceptJob(`queued-${position}`))
  const withQueued = metered.state
  const runningBytes = (() => { runJobs(metered, 0, SAMPLE_JOBS, false); return stateBytesPerItem(withQueued, metered.state, SAMPLE_JOBS) })()
  const withRunning = metered.state
  const heapRunning = heapUsed()
  const startedAt = performance.now()
  const entriesBefore = metered.entries
  const ended = measureBytes(metered, () => { runJobs(metered, 10_000, SAMPLE_JOBS, true) })
  const applyMilliseconds = performance.now() - startedAt
  const heapEnded = heapUsed()
  const gang = measureBytes(metered, () => {
    const workers = Array.from({ length: 128 }, (_, position) => position)
    metered.apply(acceptJob('gang', 128, 1))
    metered.apply(reserveJob('gang', workers, 128))
    metered.apply(startJob('gang'))
    metered.apply(finishJob('gang', 0))
  })
  const [withGang, heapGang] = [metered.state, heapUsed()]
  const cancellations = measureBytes(metered, () => { for (let position = 0; position < MAX_EARLY_CANCELLATIONS; position++) metered.apply(cancelUnknown(position)) })
  const heapCancellations = heapUsed()
  return {
    bytesPerWorker: stateBytesPerItem(empty, withWorkers, WORKERS),
    bytesPerQueuedJob: stateBytesPerItem(withPuts, withQueued, SAMPLE_JOBS),
    bytesPerRunningJob: runningBytes,
    bytesPerEndedJob: stateBytesPerItem(withRunning, metered.state, SAMPLE_JOBS),
    bytesPerStoredPut: stateBytesPerItem(withWorkers, withPuts, 100),
    heapBytesPerWorker: (heapWorkers - heapEmpty) / WORKERS,
    heapBytesPerEndedJob: (heapEnded - heapRunning) / SAMPLE_JOBS,
    logBytesPerJob: ended.logBytes / SAMPLE_JOBS,
    logBytesPerGang128: gang.logBytes,
    recordBytesPerGang128: gang.recordBytes,
    logBytesPerPut: puts.logBytes / 100,
    recordBytesPerJob: ended.recordBytes / SAMPLE_JOBS,
    recordLinesPerJob: ended.lines / SAMPLE_JOBS,
    recordBytesPerPut: puts.recordBytes / 100,
    applyMicrosecondsPerEntry: applyMilliseconds * 1_000 / (metered.entries - entriesBefore - 4 - MAX_EARLY_CANCELLATIONS),
    bytesPerEarlyCancellation: stateBytesPerItem(withGang, metered.state, MAX_EARLY_CANCELLATIONS),
    heapBytesPerEarlyCancellation: (heapCancellations - heapGang) / MAX_EARLY_CANCELLATIONS,
    logBytesPerEarlyCancellation: cancellations.logBytes / MAX_EARLY_CANCELLATIONS
  }
}

function measureBytes (metered: MeteredState, run: () => void): { logBytes: number, recordBytes: number, lines: number } {
  const { logBytes, recordBytes, recordLines } = metered
  run()
  return { logBytes: metered.logBytes - logBytes, recordBytes: metered.recordBytes - recordBytes, lines: metered.recordLines - recordLines }
}

function measureTime<Value> (run: () => Value): [milliseconds: number, value: Value] {
  const startedAt = performance.now()
  const value = run()
  return [performance.now() - startedAt, value]
}

function measureLongestPiece (state: State): number {
  let longest = 0
  let startedAt = performance.now()
  for (const piece of encodeStateInChunks(state)) {
    longest = Math.max(longest, piece.length === 0 ? 0 : performance.now() - startedAt)
    startedAt = performance.now()
  }
  return longest
}

/**
 * Builds a state of the design size and times its snapshot.
 * @param ended - number of ended jobs that are retained
 * @returns sizes and times
 */
export function measureFullSize (ended: number): FullSizeCosts {
  const before = heapUsed()
  const metered = new MeteredState()
  metered.apply(replaceAccounts(0))
  for (let position = 0; position < WORKERS; position++) metered.apply(announceWorker(position))
  for (let change = 1; change <= 1_400; change++) metered.apply(replaceAccounts(change))
  runJobs(metered, 0, RUNNING_JOBS, false)
  runJobs(metered, 100_000, ended, true)
  const heapBytes = heapUsed() - before
  const encodings = Array.from({ length: 5 }, () => measureTime(() => encodeState(metered.state)))
  const times = encodings.map(([milliseconds]) => milliseconds).sort((one, other) => one - other)
  const bytes = encodings[0]![1]
  const longestPieceMilliseconds = measureLongestPiece(metered.state)
  const [digestMilliseconds] = measureTime(() => stateDigest(metered.state))
  const [decodeMilliseconds] = measureTime(() => decodeState(bytes))
  return { bytes: bytes.length, encodeMillisecondsMedian: times[2]!, encodeMillisecondsWorst: times[4]!, longestPieceMilliseconds, digestMilliseconds, decodeMilliseconds, heapBytes }
}
