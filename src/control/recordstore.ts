/**
 * The audit record of one control host: sealed segments of JSON lines in the data folder. Lines after the newest snapshot
 * can be made again from the log, so they are buffered and synced no later than with the next snapshot.
 */
import { closeSync, fsyncSync, ftruncateSync, mkdirSync, openSync, readdirSync, readFileSync, readSync, rmSync, statSync, writeSync } from 'node:fs'
import { join } from 'node:path'
import { err, ok, type Result } from 'neverthrow'
import { lineDigest, verifyRecord, type RecordHead, type RecordLine } from '../core/index'
import { isDiskFull } from './disk'

/** Bytes of lines after which a segment is sealed. */
const SEGMENT_BYTES = 4 * 1024 * 1024
/** Bytes of lines kept, the newest ones. */
const MAX_RETAINED_BYTES = 1024 * 1024 * 1024
/** Bytes that wait in memory before they are written. */
const FLUSH_THRESHOLD_BYTES = 64 * 1024
/** More than any header has. */
const MAX_HEADER_BYTES = 256
/** Enough for the last line of nearly every segment. */
const TAIL_BYTES = 64 * 1024
const SEQUENCE_DIGITS = 12
const RECORD_FOLDER = 'record'

/** Sizes at which segments are sealed and removed. */
export interface RecordStoreOptions {
  readonly segmentBytes?: number
  readonly keptBytes?: number
}

/** A part of the record that this host does not hold, because it was restored from another host's snapshot. */
export interface RecordGap {
  /** Last sequence number before the gap. */
  readonly after: number
  /** First sequence number after it. */
  readonly before: number
}

interface SegmentHeader {
  /** Sequence number of the first line. */
  readonly first: number
  /** Digest of the line before it, whether that line is still kept or not. */
  readonly previous: string
}

interface Segment extends SegmentHeader {
  readonly name: string
  bytes: number
  last: RecordHead
}

/** The record as it lies in the data folder. */
export class RecordStore {
  private segments: Segment[] = []
  private file?: number
  private bufferedText: string[] = []
  /** What a full disk did not take. */
  private unwritten = Buffer.alloc(0)
  /** Lines of a segment that could not be begun on a full disk. */
  private deferred: RecordLine[] = []
  private bufferedBytes = 0
  private truncation?: string

  private constructor (private readonly folder: string, private readonly segmentBytes: number, private readonly keptBytes: number) {}

  /**
   * Opens the record, and cuts the newest segment where its chain breaks: what was not synced comes again from the log.
   * @param dataFolder - the one data folder of the host
   * @param options - sizes in bytes
   * @returns the store, or the place that is damaged
   */
  static open (dataFolder: string, options: RecordStoreOptions = {}): Result<RecordStore, Error> {
    const folder = join(dataFolder, RECORD_FOLDER)
    mkdirSync(folder, { recursive: true })
    syncFolder(dataFolder)
    const store = new RecordStore(folder, options.segmentBytes ?? SEGMENT_BYTES, options.keptBytes ?? MAX_RETAINED_BYTES)
    const names = readdirSync(folder).filter(isSegment).sort()
    for (const name of names.slice(0, -1)) {
      const listed = store.recoverSealed(name)
      if (listed.isErr()) return err(listed.error)
    }
    const opened = names.length === 0 ? ok(undefined) : store.recoverNewest(names.at(-1)!)
    return opened.map(() => { store.reopenNewest(); return store })
  }

  /** The newest line held, synced or not. */
  get head (): RecordHead | undefined {
    return this.segments.at(-1)?.last
  }

  /** Where the record begins: the head before the oldest line that is kept. */
  get start (): RecordHead | undefined {
    const oldest = this.segments[0]
    return oldest === undefined ? undefined : { sequence: oldest.first - 1, digest: oldest.previous }
  }

  /**
   * Where the newest segment was cut at the start because its chain broke there. What lasted with a snapshot and is cut
   * shows as a gap once the lines after it come.
   */
  get cut (): string | undefined {
    return this.truncation
  }

  /** Parts that this host does not hold. */
  get gaps (): readonly RecordGap[] {
    return this.segments.slice(1).flatMap((segment, position) => {
      const after = this.segments[position]!.last.sequence
      return segment.first === after + 1 ? [] : [{ after, before: segment.first }]
    })
  }

  /**
   * Adds the lines of committed entries. Lines that are held already, as after a restart, are passed over; on a full disk
   * they stay in memory until there is room.
   * @param lines - in order
   */
  append (lines: readonly RecordLine[]): void {
    const due = [...this.deferred, ...lines]
    const taken = due.findIndex((line) => !this.tryAdd(line))
    this.deferred = taken < 0 ? [] : due.slice(taken)
    if (this.bufferedBytes >= FLUSH_THRESHOLD_BYTES) this.flush()
  }

  /**
   * Makes everything that was added lasting. Called before a snapshot that covers its entries is saved.
   * @returns false where the disk has no room: then lines that are in memory only need the log
   */
  sync (): boolean {
    this.append([])
    const whole = this.flush() && this.deferred.length === 0
    if (this.file !== undefined) fsyncSync(this.file)
    return whole
  }

  close (): void {
    this.sync()
    this.closeFile()
  }

  /** Returns whether the line was taken; a segment cannot be begun on a full disk. */
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
   * @param sequence - the first sequence number wanted
   * @returns the lines held from there on, in order
   */
  * from (sequence: number): Iterable<string> {
    this.flush()
    for (const segment of this.segments) {
      if (segment.last.sequence < sequence) continue
      const lines = readFileSync(join(this.folder, segment.name), 'utf8').split('\n').slice(1, -1)
      yield * lines.slice(Math.max(0, sequence - segment.first))
    }
  }

  /** Sealed segments are only listed here; whoever exports them checks their chain. */
  private recoverSealed (name: string): Result<void, Error> {
    const path = join(this.folder, name)
    const header = parseHeader(firstLine(path))
    if (header === undefined) return err(new Error(`${RECORD_FOLDER}/${name} has no header`))
    const last = headOfLine(lastLine(path))
    if (last === undefined) return err(new Error(`${RECORD_FOLDER}/${name} does not end with a line of the record`))
    this.segments.push({ name, ...header, bytes: statSync(path).size, last })
    return ok(undefined)
  }

  private recoverNewest (name: string): Result<void, Error> {
    const path = join(this.folder, name)
    const whole = completeLines(readFileSync(path, 'utf8'))
    const [head, ...lines] = whole.split('\n').slice(0, -1)
    const header = parseHeader(head ?? '')
    if (header === undefined || lines.length === 0) return this.removeEmptySegment(path)
    const after = { sequence: header.first - 1, digest: header.previous }
    const { faults } = verifyRecord(lines, { after })
    const good = faults[0] === undefined ? lines : lines.slice(0, Math.max(0, faults[0].line - 1))
    if (faults[0] !== undefined) this.truncation = `${RECORD_FOLDER}/${name}: ${faults[0].text}`
    if (good.length === 0) return this.removeEmptySegment(path)
    const bytes = Buffer.byteLength([head, ...good, ''].join('\n'))
    this.segments.push({ name, ...header, bytes, last: verifyRecord(good, { after }).head })
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

  /** A segment that was begun and holds nothing yet: its lines come again from the log. */
  private removeEmptySegment (path: string): Result<void, Error> {
    rmSync(path)
    syncFolder(this.folder)
    return ok(undefined)
  }

  /** Returns whether the segment was begun: the one before it must be whole, and the disk must take a new file. */
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

  /** Returns whether nothing is left; a full disk may take a part. */
  private flush (): boolean {
    const { file } = this
    if (file === undefined || this.bufferedBytes === 0) return true
    const data = Buffer.concat([this.unwritten, Buffer.from(this.bufferedText.join(''))])
    this.bufferedText = []
    let written = 0
    while (written < data.length) {
      const more = unlessDiskFull(() => writeSync(file, data, written))
      if (more === undefined) break
      written += more
    }
    this.unwritten = data.subarray(written)
    this.bufferedBytes = this.unwritten.length
    return this.bufferedBytes === 0
  }

  /** The header of the oldest segment that stays holds the digest to which its first line is chained. */
  private removeOldSegments (): void {
    let total = this.segments.reduce((sum, segment) => sum + segment.bytes, 0)
    while (this.segments.length > 1 && total > this.keptBytes) {
      const oldest = this.segments.shift()!
      total -= oldest.bytes
      rmSync(join(this.folder, oldest.name))
    }
  }
}

/** Runs a file operation; nothing where the disk is full. */
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
