/**
 * The log and the newest snapshot of one control host in its data folder. Nothing is guessed: a folder that is damaged
 * other than by a torn end is an error, and after a failed write or sync the storage refuses everything.
 */
import { createHash } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { noSnapshot, type Entry, type HardState, type Recovered, type SnapshotHead } from '../core/agreement'
import type { Disk, DiskFile } from './disk'
import { RecordKind, decodeFile, encodeFrame, type LogPlace, type LogRecord } from './records'

const SEGMENT_BYTES = 4 * 1024 * 1024
const IDENTITY_FILE = 'identity'
const DIGITS = 12
const NEW_LINE = 0x0a

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

/** What one sync makes lasting, in this order. */
export interface Batch {
  readonly snapshot?: Snapshot
  readonly entries: readonly Entry[]
  readonly hardState?: HardState
}

/** A whole state with its place. */
export interface Snapshot {
  readonly head: SnapshotHead
  readonly data: Uint8Array
}

interface Segment {
  readonly name: string
  bytes: number
  frames: number
  /** The highest index written to it. */
  highest: number
}

interface SnapshotLine extends SnapshotHead {
  readonly length: number
  readonly digest: string
}

const newHardState: HardState = { cluster: '', term: 0, vote: '' }

/** The data folder of a running control host. */
export class Storage {
  private hardState: HardState = newHardState
  private segments: Segment[] = []
  private file?: DiskFile
  private snapshotHead: SnapshotHead = noSnapshot
  private failure?: StorageError

  private constructor (private readonly disk: Disk) {}

  /**
   * Opens a folder and recovers what it holds; an empty folder gets a new identity.
   * @param disk - the folder
   * @param makeIdentity - makes the identity of a new folder
   * @returns the storage and what was recovered, or why the folder cannot be used
   */
  static async open (disk: Disk, makeIdentity: () => string): Promise<Result<{ storage: Storage, recovered: Recovered }, StorageError>> {
    const storage = new Storage(disk)
    try {
      const recovered = await storage.recover(makeIdentity)
      if (recovered.isErr()) await storage.close()
      return recovered.map((found) => ({ storage, recovered: found }))
    } catch (error) {
      return err(failed('', error))
    }
  }

  /**
   * Writes a batch and syncs it once.
   * @param batch - what must last
   * @returns nothing once it lasts, or the failure after which the storage takes no more
   */
  async write (batch: Batch): Promise<Result<void, StorageError>> {
    return await this.guard(async () => {
      const records: LogRecord[] = []
      if (batch.snapshot !== undefined) {
        await this.putSnapshot(batch.snapshot)
        records.push(resetRecord(batch.snapshot.head))
      }
      records.push(...batch.entries.map((entry): LogRecord => ({ kind: RecordKind.Entry, entry })))
      if (batch.hardState !== undefined) records.push(this.hardStateRecord(batch.hardState))
      await this.writeFrame(records)
      await this.rollSegment()
    })
  }

  /**
   * Saves a snapshot of the committed state and removes the log files it covers.
   * @param snapshot - the state and its place
   * @returns nothing once it lasts, or the failure
   */
  async saveSnapshot (snapshot: Snapshot): Promise<Result<void, StorageError>> {
    return await this.guard(async () => {
      await this.putSnapshot(snapshot)
      await this.removeCovered()
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

  /** Closes the log. */
  async close (): Promise<void> {
    await this.file?.close()
    this.file = undefined
  }

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
    return { kind: RecordKind.HardState, hardState }
  }

  private async writeFrame (records: readonly LogRecord[]): Promise<void> {
    const segment = this.segments.at(-1)
    if (segment === undefined || this.file === undefined) throw new Error('the log is closed')
    const frame = encodeFrame(segment.frames, records)
    await this.file.append(frame)
    await this.file.sync()
    segment.frames += 1
    segment.bytes += frame.length
    segment.highest = highestIndex(records, segment.highest)
  }

  private async rollSegment (): Promise<void> {
    const current = this.segments.at(-1)
    if (current === undefined || current.bytes < SEGMENT_BYTES) return
    await this.file?.close()
    await this.startSegment(segmentNumber(current.name) + 1)
  }

  /** Each file begins with the hard state, so that older files can go. */
  private async startSegment (number: number): Promise<void> {
    const name = segmentName(number)
    this.file = await this.disk.open(name)
    this.segments.push({ name, bytes: 0, frames: 0, highest: 0 })
    await this.writeFrame([this.hardStateRecord(this.hardState)])
  }

  private async removeCovered (): Promise<void> {
    while (this.segments.length > 1 && (this.segments[0]?.highest ?? 0) <= this.snapshotHead.index) {
      const covered = this.segments.shift()
      if (covered !== undefined) await this.disk.remove(covered.name)
    }
  }

  private async putSnapshot (snapshot: Snapshot): Promise<void> {
    const { head, data } = snapshot
    const line: SnapshotLine = { ...head, length: data.length, digest: digestOf(data) }
    await this.disk.replace(snapshotName(head.index), [Buffer.from(`${JSON.stringify(line)}\n`), data])
    const old = this.snapshotHead.index
    if (head.index < old) { await this.disk.remove(snapshotName(head.index)); return }
    this.snapshotHead = head
    if (old !== 0 && old !== head.index) await this.disk.remove(snapshotName(old))
  }

  private async recover (makeIdentity: () => string): Promise<Result<Recovered, StorageError>> {
    const names = await this.disk.list()
    await this.removeUnfinished(names)
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
    return entries.map((kept) => ({ identity: identity.value, hardState: this.hardState, snapshot: this.snapshotHead, entries: kept }))
  }

  private async removeUnfinished (names: readonly string[]): Promise<void> {
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
        return err(damaged(name, 'the log file before it is missing'))
      }
      const read = await this.recoverSegment(name, position === names.length - 1)
      if (read.isErr()) return err(read.error)
      records.push(...read.value)
    }
    return ok(records)
  }

  private async recoverSegment (name: string, newest: boolean): Promise<Result<readonly LogRecord[], StorageError>> {
    const data = await this.disk.read(name)
    const decoded = decodeFile(data, newest)
    if (decoded.isErr()) return err(damaged(name, `a record is damaged at byte ${decoded.error.offset}`))
    const { records, frames, wholeBytes } = decoded.value
    if (wholeBytes < data.length) await this.disk.truncate(name, wholeBytes)
    this.segments.push({ name, bytes: wholeBytes, frames, highest: highestIndex(records, 0) })
    for (const record of records) if (record.kind === RecordKind.HardState) this.hardState = record.hardState
    if (newest) await this.reopen(name, frames)
    return ok(records)
  }

  /** A newest file whose first frame was torn gets it again. */
  private async reopen (name: string, frames: number): Promise<void> {
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

  /** The entries that go on after the snapshot; a log that does not agree with the snapshot is void. */
  private async entriesAfterSnapshot (records: readonly LogRecord[]): Promise<Result<readonly Entry[], StorageError>> {
    const replayed = replay(records)
    if (replayed === undefined) return err(damaged(this.segments.at(-1)?.name ?? '', 'the log has a gap'))
    const { base, entries } = replayed
    const { index, term } = this.snapshotHead
    const last = base + entries.length
    const atSnapshot = entries[index - base - 1]
    const agrees = last >= index && base <= index && (atSnapshot === undefined || atSnapshot.term === term)
    if (agrees) return ok(entries.slice(index - base))
    if (base > index) return err(damaged(snapshotName(index), 'the log begins after the snapshot'))
    await this.writeFrame([resetRecord(this.snapshotHead)])
    return ok([])
  }
}

interface Replayed {
  readonly base: number
  readonly entries: readonly Entry[]
}

/**
 * The entries of the log in order, undefined where it has a gap. An entry before the first one means that
 * the files with the entries before it were removed, because a snapshot covers them.
 */
function replay (records: readonly LogRecord[]): Replayed | undefined {
  let base: number | undefined
  let entries: Entry[] = []
  for (const record of records) {
    if (record.kind === RecordKind.Reset) { base = record.place.index; entries = [] }
    if (record.kind !== RecordKind.Entry) continue
    base ??= record.entry.index - 1
    const position = record.entry.index - base - 1
    if (position > entries.length) return undefined
    if (position < 0) base = record.entry.index - 1
    entries.length = Math.max(0, position)
    entries.push(record.entry)
  }
  return { base: base ?? 0, entries }
}

function highestIndex (records: readonly LogRecord[], before: number): number {
  let highest = before
  for (const record of records) if (record.kind === RecordKind.Entry) highest = Math.max(highest, record.entry.index)
  return highest
}

function resetRecord (place: LogPlace): LogRecord {
  return { kind: RecordKind.Reset, place: { index: place.index, term: place.term } }
}

function decodeSnapshot (name: string, bytes: Uint8Array): Result<Snapshot, StorageError> {
  const end = bytes.indexOf(NEW_LINE)
  try {
    const line = JSON.parse(Buffer.from(bytes.subarray(0, end)).toString()) as SnapshotLine
    const data = bytes.subarray(end + 1)
    if (line.length !== data.length || line.digest !== digestOf(data)) return err(damaged(name, 'the digest of the snapshot is wrong'))
    return ok({ head: { index: line.index, term: line.term, members: line.members }, data })
  } catch {
    return err(damaged(name, 'the head of the snapshot is damaged'))
  }
}

function digestOf (data: Uint8Array): string {
  return createHash('sha256').update(data).digest('hex')
}

function segmentName (number: number): string { return `log-${String(number).padStart(DIGITS, '0')}` }
function snapshotName (index: number): string { return `snapshot-${String(index).padStart(DIGITS, '0')}` }
function isSegment (name: string): boolean { return /^log-\d+$/.test(name) }
function isSnapshot (name: string): boolean { return /^snapshot-\d+$/.test(name) }
function segmentNumber (name: string): number { return Number(name.slice('log-'.length)) }

function damaged (file: string, message: string): StorageError {
  return { kind: StorageErrorKind.Damaged, file, message }
}

function failed (file: string, error: unknown): StorageError {
  return { kind: StorageErrorKind.Failed, file, message: error instanceof Error ? error.message : String(error) }
}
