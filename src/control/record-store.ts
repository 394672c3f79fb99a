/**
 * The audit record of one control host, stored as segments of JSON lines in the data folder. Lines after the newest
 * snapshot can be regenerated from the log, so they are buffered and synced no later than with the next snapshot.
 */
import { closeSync, fsyncSync, ftruncateSync, mkdirSync, openSync, readdirSync, readFileSync, readSync, rmSync, statSync, writeSync } from 'node:fs'
import { join } from 'node:path'
import { err, ok, type Result } from 'neverthrow'
import { lineDigest, verifyRecord, type RecordHead, type RecordLine } from '../core/index'
import { isDiskFull } from './disk'

/** Size at which a segment is sealed. */
const SEGMENT_BYTES = 4 * 1024 * 1024
/** Total size above which the oldest segments are removed. */
const MAX_RETAINED_BYTES = 1024 * 1024 * 1024
/** Size of the buffered lines at which they are written to the file. */
const FLUSH_THRESHOLD_BYTES = 64 * 1024
/** Upper bound for the header line of a segment. */
const MAX_HEADER_BYTES = 256
/** Size of the first read for the last line of a segment. A segment with a longer last line is read completely. */
const TAIL_BYTES = 64 * 1024
const SEQUENCE_DIGITS = 12
const RECORD_FOLDER = 'record'

/** Sizes in bytes at which segments are sealed and removed. */
export interface RecordStoreOptions {
  readonly segmentBytes?: number
  readonly maxRetainedBytes?: number
}

/** A range of the record that this host does not have, because it was restored from another host's snapshot. */
export interface RecordGap {
  /** Last sequence number before the gap. */
  readonly after: number
  /** First sequence number after it. */
  readonly before: number
}

/** The first line of a segment file, as JSON. */
interface SegmentHeader {
  /** Sequence number of the first line. */
  readonly first: number
  /** Digest of the preceding line, which may have been removed already. */
  readonly previous: string
}

interface Segment extends SegmentHeader {
  readonly name: string
  bytes: number
  /** Sequence number and digest of the last line. */
  last: RecordHead
}

/** The segment files of the audit record. */
export class RecordStore {
  private segments: Segment[] = []
  private file?: number
  private bufferedText: string[] = []
  /** Bytes that could not be written because the disk was full. */
  private unwritten = Buffer.alloc(0)
  /** Lines that wait for a new segment, which could not be created because the disk was full. */
  private deferred: RecordLine[] = []
  private bufferedBytes = 0
  private truncation?: string

  private constructor (private readonly folder: string, private readonly segmentBytes: number, private readonly maxRetainedBytes: number) {}

  /**
   * Opens the record and truncates the newest segment where its hash chain breaks. Unsynced lines are regenerated from the log.
   * @param dataFolder - the data folder of the host
   * @param options - sizes in bytes
   * @returns the store, or the error that names the damaged segment
   */
  static open (dataFolder: string, options: RecordStoreOptions = {}): Result<RecordStore, Error> {
    const folder = join(dataFolder, RECORD_FOLDER)
    mkdirSync(folder, { recursive: true })
    syncFolder(dataFolder)
    const store = new RecordStore(folder, options.segmentBytes ?? SEGMENT_BYTES, options.maxRetainedBytes ?? MAX_RETAINED_BYTES)
    const names = readdirSync(folder).filter(isSegment).sort()
    for (const name of names.slice(0, -1)) {
      const recovered = store.recoverSealed(name)
      if (recovered.isErr()) return err(recovered.error)
    }
    const opened = names.length === 0 ? ok(undefined) : store.recoverNewest(names.at(-1)!)
    return opened.map(() => { store.reopenNewest(); return store })
  }

  /** Sequence number and digest of the newest line, synced or not. */
  get head (): RecordHead | undefined {
    return this.segments.at(-1)?.last
  }

  /** Sequence number and digest of the line before the oldest retained one, where verification of the chain begins. */
  get start (): RecordHead | undefined {
    const oldest = this.segments[0]
    return oldest === undefined ? undefined : { sequence: oldest.first - 1, digest: oldest.previous }
  }

  /**
   * Where the newest segment was truncated when it was opened, because its chain broke there. Lines that a snapshot covers are
   * not regenerated, so if they are truncated they show as a gap once later lines are added.
   */
  get truncatedAt (): string | undefined {
    return this.truncation
  }

  /** Ranges that this host does not have. */
  get gaps (): readonly RecordGap[] {
    return this.segments.slice(1).flatMap((segment, position) => {
      const after = this.segments[position]!.last.sequence
      return segment.first === after + 1 ? [] : [{ after, before: segment.first }]
    })
  }

  /**
   * Adds the lines of committed entries. Lines that are already stored, as after a restart, are skipped. While the disk is
   * full, lines stay in memory.
   * @param lines - lines in order
   */
  append (lines: readonly RecordLine[]): void {
    const all = [...this.deferred, ...lines]
    const firstRejected = all.findIndex((line) => !this.tryAdd(line))
    this.deferred = firstRejected < 0 ? [] : all.slice(firstRejected)
    if (this.bufferedBytes >= FLUSH_THRESHOLD_BYTES) this.flush()
  }

  /**
   * Makes all added lines durable. Called before a snapshot that covers their entries is saved.
   * @returns false if the disk is full; the log must then be kept, because some lines exist only in memory
   */
  sync (): boolean {
    this.append([])
    const complete = this.flush() && this.deferred.length === 0
    if (this.file !== undefined) fsyncSync(this.file)
    return complete
  }

  close (): void {
    this.sync()
    this.closeFile()
  }

  /** Adds a line; returns false if it needs a new segment that cannot be created because the disk is full. */
  private tryAdd (line: RecordLine): boolean {
    const { head } = this
    if (head !== undefined && line.sequence <= head.sequence) return true
    const newest = this.segments.at(-1)
    const fits = newest !== undefined && newest.bytes < this.segmentBytes && line.sequence === newest.last.sequence + 1
    if (!fits && !this.beginSegment(line)) return false
    this.add(line)
    return true
  }

  /**
   * Reads lines.
   * @param sequence - the first sequence number to read
   * @returns the stored lines from there on, in order
   */
  * linesFrom (sequence: number): Iterable<string> {
    this.flush()
    for (const segment of this.segments) {
      if (segment.last.sequence < sequence) continue
      const lines = readFileSync(join(this.folder, segment.name), 'utf8').split('\n').slice(1, -1)
      yield * lines.slice(Math.max(0, sequence - segment.first))
    }
  }

  /** Reads only the ends of a sealed segment; its chain is verified when the record is exported. */
  private recoverSealed (name: string): Result<void, Error> {
    const path = join(this.folder, name)
    const header = parseHeader(firstLine(path))
    if (header === undefined) return err(new Error(`${RECORD_FOLDER}/${name} has no valid header`))
    const last = headOfLine(lastLine(path))
    if (last === undefined) return err(new Error(`${RECORD_FOLDER}/${name} does not end with a valid record line`))
    this.segments.push({ name, ...header, bytes: statSync(path).size, last })
    return ok(undefined)
  }

  private recoverNewest (name: string): Result<void, Error> {
    const path = join(this.folder, name)
    const text = completeLines(readFileSync(path, 'utf8'))
    const [headerLine, ...lines] = text.split('\n').slice(0, -1)
    const header = parseHeader(headerLine ?? '')
    if (header === undefined || lines.length === 0) return this.removeEmptySegment(path)
    const after = { sequence: header.first - 1, digest: header.previous }
    const { faults } = verifyRecord(lines, { after })
    const valid = faults[0] === undefined ? lines : lines.slice(0, Math.max(0, faults[0].line - 1))
    if (faults[0] !== undefined) this.truncation = `${RECORD_FOLDER}/${name}: ${faults[0].text}`
    if (valid.length === 0) return this.removeEmptySegment(path)
    const bytes = Buffer.byteLength([headerLine, ...valid, ''].join('\n'))
    this.segments.push({ name, ...header, bytes, last: verifyRecord(valid, { after }).head })
    return ok(undefined)
  }

  private reopenNewest (): void {
    const newest = this.segments.at(-1)
    if (newest !== undefined) this.openForAppend(join(this.folder, newest.name), newest.bytes)
  }

  private openForAppend (path: string, bytes: number): void {
    this.file = openSync(path, 'r+')
    if (statSync(path).size > bytes) ftruncateSync(this.file, bytes)
    closeSync(this.file)
    this.file = openSync(path, 'a')
    fsyncSync(this.file)
  }

  /** Removes a segment without valid lines. Its lines are regenerated from the log. */
  private removeEmptySegment (path: string): Result<void, Error> {
    rmSync(path)
    syncFolder(this.folder)
    return ok(undefined)
  }

  /** Starts a new segment; returns false if the disk is full, either for the rest of the previous segment or for the new file. */
  private beginSegment (line: RecordLine): boolean {
    if (!this.flush()) return false
    if (this.file !== undefined) fsyncSync(this.file)
    this.closeFile()
    const header: SegmentHeader = { first: line.sequence, previous: previousDigest(line) }
    const name = `segment-${String(line.sequence).padStart(SEQUENCE_DIGITS, '0')}.jsonl`
    this.file = unlessDiskFull(() => openSync(join(this.folder, name), 'w'))
    if (this.file === undefined) return false
    syncFolder(this.folder)
    this.segments.push({ name, ...header, bytes: 0, last: { sequence: line.sequence - 1, digest: header.previous } })
    this.bufferLine(JSON.stringify({ segment: 1, ...header }))
    this.removeOldSegments()
    return true
  }

  private closeFile (): void {
    if (this.file !== undefined) closeSync(this.file)
    this.file = undefined
  }

  private add (line: RecordLine): void {
    this.bufferLine(line.text)
    this.segments.at(-1)!.last = { sequence: line.sequence, digest: line.digest }
  }

  private bufferLine (text: string): void {
    this.bufferedText.push(text, '\n')
    const bytes = Buffer.byteLength(text) + 1
    this.bufferedBytes += bytes
    this.segments.at(-1)!.bytes += bytes
  }

  /** Writes the buffered lines; returns false if the disk became full before all of them were written. */
  private flush (): boolean {
    const { file } = this
    if (file === undefined || this.bufferedBytes === 0) return true
    const data = Buffer.concat([this.unwritten, Buffer.from(this.bufferedText.join(''))])
    this.bufferedText = []
    let written = 0
    while (written < data.length) {
      const bytes = unlessDiskFull(() => writeSync(file, data, written))
      if (bytes === undefined) break
      written += bytes
    }
    this.unwritten = data.subarray(written)
    this.bufferedBytes = this.unwritten.length
    return this.bufferedBytes === 0
  }

  /** Removes the oldest segments. The header of the first retained one has the digest to which its first line is chained. */
  private removeOldSegments (): void {
    let total = this.segments.reduce((sum, segment) => sum + segment.bytes, 0)
    while (this.segments.length > 1 && total > this.maxRetainedBytes) {
      const oldest = this.segments.shift()!
      total -= oldest.bytes
      rmSync(join(this.folder, oldest.name))
    }
  }
}

/** Runs a file operation; returns undefined if the disk is full. */
function unlessDiskFull<Value> (operation: () => Value): Value | undefined {
  try {
    return operation()
  } catch (error) {
    if (isDiskFull(error)) return undefined
    throw error
  }
}

function previousDigest (line: RecordLine): string {
  return (JSON.parse(line.text) as { previous: string }).previous
}

function parseHeader (text: string): SegmentHeader | undefined {
  try {
    const { segment, first, previous } = JSON.parse(text) as { segment?: unknown, first?: unknown, previous?: unknown }
    return segment === 1 && typeof first === 'number' && typeof previous === 'string' ? { first, previous } : undefined
  } catch {
    return undefined
  }
}

function isSegment (name: string): boolean {
  return /^segment-\d+\.jsonl$/.test(name)
}

function syncFolder (folder: string): void {
  const handle = openSync(folder, 'r')
  try { fsyncSync(handle) } finally { closeSync(handle) }
}

function completeLines (text: string): string {
  return text.slice(0, text.lastIndexOf('\n') + 1)
}

function firstLine (path: string): string {
  return readPart(path, 0, MAX_HEADER_BYTES).split('\n')[0] ?? ''
}

function lastLine (path: string): string {
  const { size } = statSync(path)
  const tail = readPart(path, Math.max(0, size - TAIL_BYTES), TAIL_BYTES)
  const text = completeLines(tail.split('\n').length > 2 ? tail : readFileSync(path, 'utf8'))
  return text.split('\n').at(-2) ?? ''
}

function readPart (path: string, from: number, bytes: number): string {
  const handle = openSync(path, 'r')
  try {
    const data = Buffer.alloc(bytes)
    return data.subarray(0, readSync(handle, data, 0, bytes, from)).toString()
  } finally { closeSync(handle) }
}

function headOfLine (line: string): RecordHead | undefined {
  try {
    const { sequence } = JSON.parse(line) as { sequence?: unknown }
    return typeof sequence === 'number' ? { sequence, digest: lineDigest(line) } : undefined
  } catch {
    return undefined
  }
}
