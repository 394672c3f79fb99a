import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import {
  apply, decodeState, encodeState, encodeStateInPieces, encodeTransactions, initialState, Level, RemovalRule, stateDigest, TransactionKind, Urgency,
  type JobSpecification, type State, type Transaction
} from '../src/core/index'

setFlagsFromString('--expose-gc')
const collect = runInNewContext('gc') as () => void

/** Sizes of state, log and record, measured on the core alone. */
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
}

/** A state of the size to design for. */
export interface FullSize {
  readonly bytes: number
  readonly encodeMillisecondsMedian: number
  /** The first one runs cold code, as in a process that takes a snapshot every few hours. */
  readonly encodeMillisecondsWorst: number
  /** The longest time for which the encoding holds the loop when it is done in pieces. */
  readonly longestPieceMilliseconds: number
  readonly digestMilliseconds: number
  readonly decodeMilliseconds: number
  readonly heapBytes: number
}

const WORKERS = 1_300
const RUNNING = 5_700
const SAMPLE = 1_000

function specification (workers: number, accelerators: number): JobSpecification {
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

class Recorder {
  state: State = initialState
  logBytes = 0
  recordBytes = 0
  lines = 0
  entries = 0

  take (transaction: Transaction): void {
    const applied = apply(this.state, transaction)
    if (applied.outcome.isErr()) throw new Error(`${transaction.kind}: ${applied.outcome.error.message}`)
    this.state = applied.state
    this.entries++
    this.logBytes += encodeTransactions([transaction]).length
    for (const line of applied.lines) { this.recordBytes += Buffer.byteLength(line.text) + 1; this.lines++ }
  }
}

function workerName (position: number): string {
  return `worker-${String(position).padStart(4, '0')}`
}

function announce (position: number): Transaction {
  const worker = { name: workerName(position), region: `region-${position % 3}`, dataCentre: 'all', rack: `rack-${Math.floor(position / 8)}`, accelerators: 8, slots: 8, processors: 64, memoryMegabytes: 131_072 }
  return { kind: TransactionKind.AnnounceWorker, at: 1, worker, incarnation: `${worker.name}-0f8b2c1d`, leaving: false, running: [] }
}

function putAccounts (changed: number): Transaction {
  const clientAccounts = Array.from({ length: 24 }, (_, position) => ({ name: `team-${String(position + 1).padStart(2, '0')}`, share: 1 + changed % 7, queuedJobs: 100_000, runningAccelerators: 100_000, tokens: ['0'.repeat(64)], whenRemoved: RemovalRule.Finish }))
  return { kind: TransactionKind.PutConfiguration, at: 2 + changed, team: 'operators', requestIdentifier: `change-${changed}`, read: [{ section: 'clientAccounts', number: changed }], sectionsJson: JSON.stringify({ clientAccounts }) }
}

function accept (identifier: string, workers = 1, accelerators = 1): Transaction {
  return { kind: TransactionKind.AcceptJob, at: 10, identifier, specification: specification(workers, accelerators) }
}

function reserve (job: string, workers: readonly number[], mask: number): Transaction {
  const members = workers.map((position) => ({ worker: workerName(position), incarnation: `${workerName(position)}-0f8b2c1d`, mask }))
  return { kind: TransactionKind.ReserveJob, at: 11, job, attempt: 1, members, reason: 'fair-share' as never, borrowing: false }
}

function start (job: string): Transaction { return { kind: TransactionKind.StartJob, at: 12, job, attempt: 1 } }

function finish (job: string, worker: number): Transaction {
  const answer = { contentType: 'application/json', base64: Buffer.alloc(512, 'y').toString('base64'), digest: 'd'.repeat(64) }
  return { kind: TransactionKind.FinishJob, at: 13, job, attempt: 1, worker: workerName(worker), answer }
}

function heapUsed (): number {
  collect()
  return process.memoryUsage().heapUsed
}

function growth (before: State, after: State, count: number): number {
  return (encodeState(after).length - encodeState(before).length) / count
}

/** Takes single-worker jobs through their life on the first workers, each on its own accelerator. */
function runJobs (recorder: Recorder, from: number, count: number, finished: boolean): void {
  for (let position = from; position < from + count; position++) {
    const job = `job-${position}`
    const worker = position % WORKERS
    const mask = finished ? 128 : 1 << (Math.floor(position / WORKERS) % 7)
    recorder.take(accept(job))
    recorder.take(reserve(job, [worker], mask))
    recorder.take(start(job))
    if (finished) recorder.take(finish(job, worker))
  }
}

/**
 * Measures what one more worker, job, change and entry costs.
 * @returns the slopes
 */
export function stateSlopes (): StateSlopes {
  const recorder = new Recorder()
  recorder.take(putAccounts(0))
  const empty = recorder.state
  const heapEmpty = heapUsed()
  for (let position = 0; position < WORKERS; position++) recorder.take(announce(position))
  const withWorkers = recorder.state
  const heapWorkers = heapUsed()
  const puts = measured(recorder, () => { for (let change = 1; change <= 100; change++) recorder.take(putAccounts(change)) })
  const withPuts = recorder.state
  for (let position = 0; position < SAMPLE; position++) recorder.take(accept(`queued-${position}`))
  const withQueued = recorder.state
  const runningBytes = (() => { runJobs(recorder, 0, SAMPLE, false); return growth(withQueued, recorder.state, SAMPLE) })()
  const withRunning = recorder.state
  const heapRunning = heapUsed()
  const began = performance.now()
  const entriesBefore = recorder.entries
  const ended = measured(recorder, () => { runJobs(recorder, 10_000, SAMPLE, true) })
  const applyMilliseconds = performance.now() - began
  const heapEnded = heapUsed()
  const gang = measured(recorder, () => {
    const workers = Array.from({ length: 128 }, (_, position) => position)
    recorder.take(accept('gang', 128, 1))
    recorder.take(reserve('gang', workers, 128))
    recorder.take(start('gang'))
    recorder.take(finish('gang', 0))
  })
  return {
    bytesPerWorker: growth(empty, withWorkers, WORKERS),
    bytesPerQueuedJob: growth(withPuts, withQueued, SAMPLE),
    bytesPerRunningJob: runningBytes,
    bytesPerEndedJob: growth(withRunning, recorder.state, SAMPLE),
    bytesPerStoredPut: growth(withWorkers, withPuts, 100),
    heapBytesPerWorker: (heapWorkers - heapEmpty) / WORKERS,
    heapBytesPerEndedJob: (heapEnded - heapRunning) / SAMPLE,
    logBytesPerJob: ended.logBytes / SAMPLE,
    logBytesPerGang128: gang.logBytes,
    recordBytesPerGang128: gang.recordBytes,
    logBytesPerPut: puts.logBytes / 100,
    recordBytesPerJob: ended.recordBytes / SAMPLE,
    recordLinesPerJob: ended.lines / SAMPLE,
    recordBytesPerPut: puts.recordBytes / 100,
    applyMicrosecondsPerEntry: applyMilliseconds * 1_000 / (recorder.entries - entriesBefore - 4)
  }
}

function measured (recorder: Recorder, run: () => void): { logBytes: number, recordBytes: number, lines: number } {
  const { logBytes, recordBytes, lines } = recorder
  run()
  return { logBytes: recorder.logBytes - logBytes, recordBytes: recorder.recordBytes - recordBytes, lines: recorder.lines - lines }
}

function timed<Value> (run: () => Value): [milliseconds: number, value: Value] {
  const began = performance.now()
  const value = run()
  return [performance.now() - began, value]
}

function longestPiece (state: State): number {
  let longest = 0
  let began = performance.now()
  for (const piece of encodeStateInPieces(state)) {
    longest = Math.max(longest, piece.length === 0 ? 0 : performance.now() - began)
    began = performance.now()
  }
  return longest
}

/**
 * Builds the state of the size to design for and times its snapshot.
 * @param ended - jobs that have ended and are still kept
 * @returns sizes and times
 */
export function fullSize (ended: number): FullSize {
  const before = heapUsed()
  const recorder = new Recorder()
  recorder.take(putAccounts(0))
  for (let position = 0; position < WORKERS; position++) recorder.take(announce(position))
  for (let change = 1; change <= 1_400; change++) recorder.take(putAccounts(change))
  runJobs(recorder, 0, RUNNING, false)
  runJobs(recorder, 100_000, ended, true)
  const heapBytes = heapUsed() - before
  const encodings = Array.from({ length: 5 }, () => timed(() => encodeState(recorder.state)))
  const times = encodings.map(([milliseconds]) => milliseconds).sort((one, other) => one - other)
  const bytes = encodings[0]![1]
  const longestPieceMilliseconds = longestPiece(recorder.state)
  const [digestMilliseconds] = timed(() => stateDigest(recorder.state))
  const [decodeMilliseconds] = timed(() => decodeState(bytes))
  return { bytes: bytes.length, encodeMillisecondsMedian: times[2]!, encodeMillisecondsWorst: times[4]!, longestPieceMilliseconds, digestMilliseconds, decodeMilliseconds, heapBytes }
}
