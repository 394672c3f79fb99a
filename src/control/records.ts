/**
 * The bytes of the log on disk. Everything written before one sync is one frame with its length and checksum,
 * so a frame is there whole or not at all, and only the last frame of the last file can be torn.
 */
import { crc32 } from 'node:zlib'
import { err, ok, type Result } from 'neverthrow'
import { EntryKind, type Entry, type HardState } from '../core/agreement'

const MAGIC = 0x62666c67
const ENTRY_HEADER_BYTES = 13
const SECTOR_BYTES = 512

/** Bytes before the records of a frame. */
export const FRAME_HEADER_BYTES = 20

/** Bytes before the body of a record: its kind and its length. */
export const RECORD_HEADER_BYTES = 5

/** The kinds of records in a frame. */
export enum RecordKind {
  HardState = 1,
  Entry = 2,
  /** All entries before are void; the log goes on after this place. */
  Reset = 3
}

/** A place from which the log goes on. */
export interface LogPlace {
  readonly index: number
  readonly term: number
}

/** One record. */
export type LogRecord = { readonly kind: RecordKind.HardState, readonly hardState: HardState } |
  { readonly kind: RecordKind.Entry, readonly entry: Entry } |
  { readonly kind: RecordKind.Reset, readonly place: LogPlace }

/** What a log file holds. */
export interface LogFile {
  readonly records: readonly LogRecord[]
  readonly frames: number
  /** Bytes up to the end of the last whole frame. */
  readonly wholeBytes: number
}

/** Where a log file is damaged, in bytes from its start. */
export interface Damage {
  readonly offset: number
}

const entryKinds = [EntryKind.Empty, EntryKind.Data, EntryKind.Members]

/**
 * @param entry - an entry
 * @returns the number of its kind on disk and on the wire
 */
export function entryKindNumber (entry: Entry): number {
  return entryKinds.indexOf(entry.kind)
}

/**
 * @param number - the number of a kind
 * @returns the kind; what is unknown counts as empty
 */
export function entryKindOf (number: number): EntryKind {
  return entryKinds[number] ?? EntryKind.Empty
}

/**
 * @param sequence - number of the frame in its file, from 0
 * @param records - the records of one sync
 * @returns the bytes of the frame
 */
export function encodeFrame (sequence: number, records: readonly LogRecord[]): Uint8Array {
  const parts = records.map(encodeRecord)
  const length = parts.reduce((sum, part) => sum + part.length, 0)
  const frame = Buffer.concat([Buffer.alloc(FRAME_HEADER_BYTES), ...parts], FRAME_HEADER_BYTES + length)
  frame.writeUInt32LE(MAGIC, 0)
  frame.writeUInt32LE(sequence, 4)
  frame.writeUInt32LE(length, 8)
  frame.writeUInt32LE(crc32(frame.subarray(FRAME_HEADER_BYTES)), 12)
  frame.writeUInt32LE(crc32(frame.subarray(0, 16)), 16)
  return frame
}

/**
 * Reads a log file. A torn end is left out where the file is the newest one; anything else that is not whole is damage.
 * @param data - the bytes of the file
 * @param newest - whether it is the newest file of the log
 * @returns what it holds, or where it is damaged
 */
export function decodeFile (data: Uint8Array, newest: boolean): Result<LogFile, Damage> {
  const bytes = Buffer.from(data.buffer, data.byteOffset, data.byteLength)
  const records: LogRecord[] = []
  let offset = 0
  let frames = 0
  while (offset < bytes.length) {
    const end = frameEnd(bytes, offset, frames)
    if (end === undefined) break
    decodeRecords(bytes.subarray(offset + FRAME_HEADER_BYTES, end), records)
    offset = end
    frames += 1
  }
  if (offset < bytes.length && !(newest && isTorn(bytes, offset, frames))) return err({ offset })
  return ok({ records, frames, wholeBytes: offset })
}

/** The end of the whole frame at an offset, or undefined. */
function frameEnd (bytes: Buffer, offset: number, sequence: number): number | undefined {
  if (!headerIsWhole(bytes, offset) || bytes.readUInt32LE(offset + 4) !== sequence) return undefined
  const start = offset + FRAME_HEADER_BYTES
  const end = start + bytes.readUInt32LE(offset + 8)
  if (end > bytes.length) return undefined
  return crc32(bytes.subarray(start, end)) === bytes.readUInt32LE(offset + 12) ? end : undefined
}

function headerIsWhole (bytes: Buffer, offset: number): boolean {
  if (offset + FRAME_HEADER_BYTES > bytes.length || bytes.readUInt32LE(offset) !== MAGIC) return false
  return crc32(bytes.subarray(offset, offset + 16)) === bytes.readUInt32LE(offset + 16)
}

/** An end is torn when it is short or has a sector that was never written, and no later frame follows it. */
function isTorn (bytes: Buffer, offset: number, sequence: number): boolean {
  if (laterFrameFollows(bytes, offset, sequence)) return false
  const end = headerIsWhole(bytes, offset) ? offset + FRAME_HEADER_BYTES + bytes.readUInt32LE(offset + 8) : bytes.length
  if (end > bytes.length || bytes.length - offset < FRAME_HEADER_BYTES) return true
  return hasEmptySector(bytes, offset)
}

function laterFrameFollows (bytes: Buffer, offset: number, sequence: number): boolean {
  const mark = Buffer.alloc(4)
  mark.writeUInt32LE(MAGIC)
  for (let found = bytes.indexOf(mark, offset + 1); found >= 0; found = bytes.indexOf(mark, found + 1)) {
    if (headerIsWhole(bytes, found) && bytes.readUInt32LE(found + 4) > sequence) return true
  }
  return false
}

function hasEmptySector (bytes: Buffer, offset: number): boolean {
  for (let start = offset; start < bytes.length; start = nextSector(start)) {
    if (bytes.subarray(start, Math.min(nextSector(start), bytes.length)).every((byte) => byte === 0)) return true
  }
  return false
}

function nextSector (offset: number): number {
  return (Math.floor(offset / SECTOR_BYTES) + 1) * SECTOR_BYTES
}

function encodeRecord (record: LogRecord): Buffer {
  const body = encoders[record.kind](record as never)
  const head = Buffer.alloc(RECORD_HEADER_BYTES)
  head.writeUInt8(record.kind, 0)
  head.writeUInt32LE(body.length, 1)
  return Buffer.concat([head, body])
}

const encoders: { readonly [K in RecordKind]: (record: Extract<LogRecord, { kind: K }>) => Buffer } = {
  [RecordKind.HardState]: (record) => Buffer.from(JSON.stringify(record.hardState)),
  [RecordKind.Entry]: (record) => encodeEntry(record.entry),
  [RecordKind.Reset]: (record) => Buffer.from(JSON.stringify(record.place))
}

const decoders: { readonly [K in RecordKind]: (body: Buffer) => LogRecord } = {
  [RecordKind.HardState]: (body) => ({ kind: RecordKind.HardState, hardState: JSON.parse(body.toString()) as HardState }),
  [RecordKind.Entry]: (body) => ({ kind: RecordKind.Entry, entry: decodeEntry(body) }),
  [RecordKind.Reset]: (body) => ({ kind: RecordKind.Reset, place: JSON.parse(body.toString()) as LogPlace })
}

function encodeEntry (entry: Entry): Buffer {
  const head = Buffer.alloc(ENTRY_HEADER_BYTES)
  head.writeUIntLE(entry.index, 0, 6)
  head.writeUIntLE(entry.term, 6, 6)
  head.writeUInt8(entryKindNumber(entry), 12)
  return Buffer.concat([head, entry.data])
}

function decodeEntry (body: Buffer): Entry {
  return {
    index: body.readUIntLE(0, 6),
    term: body.readUIntLE(6, 6),
    kind: entryKindOf(body.readUInt8(12)),
    data: new Uint8Array(body.subarray(ENTRY_HEADER_BYTES))
  }
}

function decodeRecords (payload: Buffer, records: LogRecord[]): void {
  let offset = 0
  while (offset < payload.length) {
    const kind = payload.readUInt8(offset) as RecordKind
    const start = offset + RECORD_HEADER_BYTES
    const end = start + payload.readUInt32LE(offset + 1)
    records.push(decoders[kind](payload.subarray(start, end)))
    offset = end
  }
}
