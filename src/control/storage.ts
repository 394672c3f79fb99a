/**
 * Stores the replicated log and the newest snapshot of one control host in its data folder. Any damage other than a torn
 * end of the log is reported as an error and never repaired by guessing. After a failed write or sync, the storage rejects
 * all further writes.
 */
import { createHash } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { emptySnapshotHead, type LogEntry, type HardState, type RecoveredState, type SnapshotHead } from '../core/agreement'
import type { Disk, DiskFile } from './disk'
import { LogRecordKind, decodeFile, encodeFrame, type LogPosition, type LogRecord } from './log-format'

const SEGMENT_BYTES = 4 * 1024 * 1024
const IDENTITY_FILE = 'identity'
const FILE_NUMBER_DIGITS = 12
const LINE_FEED = 0x0a

/** Why the data folder cannot be used. */
export enum StorageErrorKind {
  /** A record is damaged before the end of the log, or a file is missing. */
  Damaged = 'damaged',
  /** The file system refused an operation. */
  Failed = 'failed'
}

/** A failure of the data folder. */
export interface StorageError {
  readonly kind: StorageErrorKind
  readonly file: string
  readonly message: string
}

/** What one sync makes durable, in this order. */
export interface Batch {
  readonly snapshot?: Snapshot
  readonly entries: readonly LogEntry[]
  readonly hardState?: HardState
}

/** A complete state with its log position. */
export interface Snapshot {
  readonly head: SnapshotHead
  readonly data: Uint8Array
}

interface Segment {
  readonly name: string
  bytes: number
  frames: number
  /** Highest entry index in the file. */
  highestIndex: number
}

/** The first line of a snapshot file, as JSON. */
interface SnapshotHeader extends SnapshotHead {
  readonly length: number
  readonly digest: string
}

const initialHardState: HardState = { cluster: '', term: 0, vote: '' }

/** The data folder of a running control host. */
export class Storage {
  private hardState: HardState = initialHardState
  private segments: Segment[] = []
  private file?: DiskFile
  private snapshotHead: SnapshotHead = emptySnapshotHead
  private failure?: StorageError

  private constructor (private readonly disk: Disk) {}

  /**
   * Opens a data folder and recovers its content; an empty folder gets a new identity.
   * @param disk - the data folder
   * @param makeIdentity - generates the identity of a new folder
   * @returns the storage and the recovered state, or why the folder cannot be used
   */
  static async open (disk: Disk, makeIdentity: () => string): Promise<Result<{ storage: Storage, recovered: RecoveredState }, StorageError>> {
    const storage = new Storage(disk)
    try {
      const recovered = await storage.recover(makeIdentity)
      if (recovered.isErr()) await storage.close()
      return recovered.map((state) => ({ storage, recovered: state }))
    } catch (error) {
      return err(failed('', error))
    }
  }

  /**
   * Writes a batch and syncs it once.
   * @param batch - what to make durable
   * @returns nothing once the batch is durable, or the failure after which the storage accepts no more writes
   */
  async write (batch: Batch): Promise<Result<void, StorageError>> {
    return await this.guard(async () => {
      const records: LogRecord[] = []
      if (batch.snapshot !== undefined) {
        await this.writeSnapshotFile(batch.snapshot)
        records.push(resetRecord(batch.snapshot.head))
      }
      for (const entry of batch.entries) records.push({ kind: LogRecordKind.Entry, entry })
      if (batch.hardState !== undefined) records.push(this.hardStateRecord(batch.hardState))
      await this.writeFrame(records)
      await this.rollSegment()
    })
  }

  /**
   * Saves a snapshot of the committed state and removes the log files that it covers.
   * @param snapshot - the state and its log position
   * @returns nothing once the snapshot is durable, or the failure
   */
  async saveSnapshot (snapshot: Snapshot): Promise<Result<void, StorageError>> {
    return await this.guard(async () => {
      await this.writeSnapshotFile(snapshot)
      await this.removeCoveredSegments()
    })
  }

  /**
   * @returns the newest snapshot, or why it cannot be read
   */
  async readSnapshot (): Promise<Result<Snapshot | undefined, StorageError>> {
    const { index } = this.snapshotHead
    if (index === 0) return ok(undefined)
    try {
      return decodeSnapshot(snapshotName(index), await this.disk.read(snapshotName(index)))
    } catch (error) {
      return err(failed(snapshotName(index), error))
    }
  }

  /** Closes the log file. */
  async close (): Promise<void> {
    await this.file?.close()
    this.file = undefined
  }

  /** Runs a write operation. The first failure is kept and returned for all later operations. */
  private async guard (operation: () => Promise<void>): Promise<Result<void, StorageError>> {
    if (this.failure !== undefined) return err(this.failure)
    try {
      await operation()
      return ok(undefined)
    } catch (error) {
      this.failure = failed(this.segments.at(-1)?.name ?? '', error)
      return err(this.failure)
    }
  }

  private hardStateRecord (hardState: HardState): LogRecord {
    this.hardState = hardState
    return { kind: LogRecordKind.HardState, hardState }
  }

  private async writeFrame (records: readonly LogRecord[]): Promise<void> {
    const segment = this.segments.at(-1)
    if (segment === undefined || this.file === undefined) throw new Error('the log is closed')
    const frame = encodeFrame(segment.frames, records)
    await this.file.append(frame)
    await this.file.sync()
    segment.frames += 1
    segment.bytes += frame.length
    segment.highestIndex = highestEntryIndex(records, segment.highestIndex)
  }

  private async rollSegment (): Promise<void> {
    const current = this.segments.at(-1)
    if (current === undefined || current.bytes < SEGMENT_BYTES) return
    await this.file?.close()
    await this.startSegment(segmentNumber(current.name) + 1)
  }

  /** Starts a new log file. Each file begins with the hard state, so that older files can be removed. */
  private async startSegment (number: number): Promise<void> {
    const name = segmentName(number)
    this.file = await this.disk.open(name)
    this.segments.push({ name, bytes: 0, frames: 0, highestIndex: 0 })
    await this.writeFrame([this.hardStateRecord(this.hardState)])
  }

  private async removeCoveredSegments (): Promise<void> {
    while (this.segments.length > 1 && (this.segments[0]?.highestIndex ?? 0) <= this.snapshotHead.index) {
      const covered = this.segments.shift()
      if (covered !== undefined) await this.disk.remove(covered.name)
    }
  }

  private async writeSnapshotFile (snapshot: Snapshot): Promise<void> {
    const { head, data } = snapshot
    const header: SnapshotHeader = { ...head, length: data.length, digest: digestOf(data) }
    await this.disk.replace(snapshotName(head.index), [Buffer.from(`${JSON.stringify(header)}\n`), data])
    const previousIndex = this.snapshotHead.index
    if (head.index < previousIndex) { await this.disk.remove(snapshotName(head.index)); return }
    this.snapshotHead = head
    if (previousIndex !== 0 && previousIndex !== head.index) await this.disk.remove(snapshotName(previousIndex))
  }

  private async recover (makeIdentity: () => string): Promise<Result<RecoveredState, StorageError>> {
    const names = await this.disk.list()
    await this.removeTemporaryFiles(names)
    const snapshot = await this.recoverSnapshot(names)
    if (snapshot.isErr()) return err(snapshot.error)
    const log = await this.recoverLog(names.filter(isSegment).sort())
    if (log.isErr()) return err(log.error)
    if (this.segments.length === 0) {
      if (names.includes(IDENTITY_FILE)) return err(damaged(IDENTITY_FILE, 'the folder has an identity but no log'))
      await this.startSegment(1)
    }
    const identity = await this.recoverIdentity(names, makeIdentity)
    if (identity.isErr()) return err(identity.error)
    const entries = await this.entriesAfterSnapshot(log.value)
    return entries.map((remaining) => ({ identity: identity.value, hardState: this.hardState, snapshot: this.snapshotHead, entries: remaining }))
  }

  private async removeTemporaryFiles (names: readonly string[]): Promise<void> {
    for (const name of names.filter((candidate) => candidate.endsWith('.new'))) await this.disk.remove(name)
  }

  private async recoverSnapshot (names: readonly string[]): Promise<Result<void, StorageError>> {
    const found = names.filter(isSnapshot).sort()
    const newest = found.at(-1)
    if (newest === undefined) return ok(undefined)
    const snapshot = decodeSnapshot(newest, await this.disk.read(newest))
    if (snapshot.isErr()) return err(snapshot.error)
    this.snapshotHead = snapshot.value.head
    for (const older of found.slice(0, -1)) await this.disk.remove(older)
    return ok(undefined)
  }

  private async recoverLog (names: readonly string[]): Promise<Result<LogRecord[], StorageError>> {
    const records: LogRecord[] = []
    for (const [position, name] of names.entries()) {
      if (position > 0 && segmentNumber(name) !== segmentNumber(names[position - 1] ?? '') + 1) {
        return err(damaged(name, 'the preceding log file is missing'))
      }
      const read = await this.recoverSegment(name, position === names.length - 1)
      if (read.isErr()) return err(read.error)
      for (const record of read.value) records.push(record)
    }
    return ok(records)
  }

  private async recoverSegment (name: string, newest: boolean): Promise<Result<readonly LogRecord[], StorageError>> {
    const data = await this.disk.read(name)
    const decoded = decodeFile(data, newest)
    if (decoded.isErr()) return err(damaged(name, `a record is damaged at byte ${decoded.error.offset}`))
    const { records, frames, validBytes: wholeBytes } = decoded.value
    if (wholeBytes < data.length) await this.disk.truncate(name, wholeBytes)
    this.segments.push({ name, bytes: wholeBytes, frames, highestIndex: highestEntryIndex(records, 0) })
    for (const record of records) if (record.kind === LogRecordKind.HardState) this.hardState = record.hardState
    if (newest) await this.reopenNewest(name, frames)
    return ok(records)
  }

  /** Opens the newest file for appending, and writes its first frame again if that was torn. */
  private async reopenNewest (name: string, frames: number): Promise<void> {
    this.file = await this.disk.open(name)
    if (frames === 0) await this.writeFrame([this.hardStateRecord(this.hardState)])
  }

  private async recoverIdentity (names: readonly string[], makeIdentity: () => string): Promise<Result<string, StorageError>> {
    if (names.includes(IDENTITY_FILE)) return ok(Buffer.from(await this.disk.read(IDENTITY_FILE)).toString().trim())
    if (this.hardState.cluster !== '' || this.snapshotHead.index > 0) {
      return err(damaged(IDENTITY_FILE, 'the folder has a log but no identity'))
    }
    const identity = makeIdentity()
    await this.disk.replace(IDENTITY_FILE, [Buffer.from(`${identity}\n`)])
    return ok(identity)
  }

  /** The entries after the snapshot. A log that conflicts with the snapshot, or ends before it, is discarded. */
  private async entriesAfterSnapshot (records: readonly LogRecord[]): Promise<Result<readonly LogEntry[], StorageError>> {
    const replayed = replay(records)
    if (replayed === undefined) return err(damaged(this.segments.at(-1)?.name ?? '', 'the log has a gap'))
    const { base, entries } = replayed
    const { index, term } = this.snapshotHead
    const last = base + entries.length
    const atSnapshot = entries[index - base - 1]
    const matches = last >= index && base <= index && (atSnapshot === undefined || atSnapshot.term === term)
    if (matches) return ok(entries.slice(index - base))
    if (base > index) return err(damaged(snapshotName(index), 'the log begins after the snapshot'))
    await this.writeFrame([resetRecord(this.snapshotHead)])
    return ok([])
  }
}

/** Entries in log order; the base is the index before the first one. */
interface Replayed {
  readonly base: number
  readonly entries: readonly LogEntry[]
}

/**
 * Replays the records of the log; undefined if the log has a gap. An entry with an index before the first one replayed
 * means that the files with the entries before it were removed, because a snapshot covers them.
 */
function replay (records: readonly LogRecord[]): Replayed | undefined {
  let base: number | undefined
  let entries: LogEntry[] = []
  for (const record of records) {
    if (record.kind === LogRecordKind.Reset) { base = record.position.index; entries = [] }
    if (record.kind !== LogRecordKind.Entry) continue
    base ??= record.entry.index - 1
    const position = record.entry.index - base - 1
    if (position > entries.length) return undefined
    if (position < 0) base = record.entry.index - 1
    entries.length = Math.max(0, position)
    entries.push(record.entry)
  }
  return { base: base ?? 0, entries }
}

function highestEntryIndex (records: readonly LogRecord[], before: number): number {
  let highest = before
  for (const record of records) if (record.kind === LogRecordKind.Entry) highest = Math.max(highest, record.entry.index)
  return highest
}

function resetRecord ({ index, term }: LogPosition): LogRecord {
  return { kind: LogRecordKind.Reset, position: { index, term } }
}

function decodeSnapshot (name: string, bytes: Uint8Array): Result<Snapshot, StorageError> {
  const end = bytes.indexOf(LINE_FEED)
  try {
    const header = JSON.parse(Buffer.from(bytes.subarray(0, end)).toString()) as SnapshotHeader
    const data = bytes.subarray(end + 1)
    if (header.length !== data.length || header.digest !== digestOf(data)) return err(damaged(name, 'snapshot digest mismatch'))
    return ok({ head: { index: header.index, term: header.term, members: header.members }, data })
  } catch {
    return err(damaged(name, 'the snapshot header is damaged'))
  }
}

function digestOf (data: Uint8Array): string {
  return createHash('sha256').update(data).digest('hex')
}

function segmentName (number: number): string { return `log-${String(number).padStart(FILE_NUMBER_DIGITS, '0')}` }
function snapshotName (index: number): string { return `snapshot-${String(index).padStart(FILE_NUMBER_DIGITS, '0')}` }
function isSegment (name: string): boolean { return /^log-\d+$/.test(name) }
function isSnapshot (name: string): boolean { return /^snapshot-\d+$/.test(name) }
function segmentNumber (name: string): number { return Number(name.slice('log-'.length)) }

function damaged (file: string, message: string): StorageError {
  return { kind: StorageErrorKind.Damaged, file, message }
}

function failed (file: string, error: unknown): StorageError {
  return { kind: StorageErrorKind.Failed, file, message: error instanceof Error ? error.message : String(error) }
}
