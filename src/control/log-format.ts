/**
 * The on-disk format of the replicated log. Everything written with one sync forms one frame with a length and checksums,
 * so a frame is recovered completely or not at all, and only the last frame of the last file can be torn by a crash.
 *
 * Frame header: magic, sequence number, payload length, CRC of the payload, CRC of the preceding header fields (32 bits each).
 */
import { crc32 } from 'node:zlib'
import { err, ok, type Result } from 'neverthrow'
import { EntryKind, type LogEntry, type HardState } from '../core/agreement'

const MAGIC = 0x62666c67
const ENTRY_HEADER_BYTES = 13
const SECTOR_BYTES = 512

/** Size of the header before the records of a frame. */
export const FRAME_HEADER_BYTES = 20

/** Size of the header before the body of a record: its kind and its length. */
export const LOG_RECORD_HEADER_BYTES = 5

/** The kinds of records in a frame. */
export enum LogRecordKind {
  HardState = 1,
  Entry = 2,
  /** Discards all earlier entries; the log continues after this position. */
  Reset = 3
}

/** A position in the log: the index and term of an entry. */
export interface LogPosition {
  readonly index: number
  readonly term: number
}

/** One record of a frame. */
export type LogRecord = { readonly kind: LogRecordKind.HardState, readonly hardState: HardState } |
  { readonly kind: LogRecordKind.Entry, readonly entry: LogEntry } |
  { readonly kind: LogRecordKind.Reset, readonly position: LogPosition }

/** The decoded content of a log file. */
export interface DecodedLogFile {
  readonly records: readonly LogRecord[]
  readonly frames: number
  /** Length of the file up to the end of the last complete frame. */
  readonly validBytes: number
}

/** The location of damage in a log file. */
export interface Damage {
  /** Bytes from the start of the file. */
  readonly offset: number
}

const entryKinds = [EntryKind.Empty, EntryKind.Data, EntryKind.Members]

/**
 * @param entry - an entry
 * @returns the number of its kind on disk and on the wire
 */
export function entryKindNumber (entry: LogEntry): number {
  return entryKinds.indexOf(entry.kind)
}

/**
 * @param number - the number of a kind
 * @returns the kind; an unknown number is treated as empty
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
 * Decodes a log file. A torn frame at the end of the newest file is ignored; any other incomplete or invalid frame is damage.
 * @param data - the content of the file
 * @param newest - whether it is the newest file of the log
 * @returns the decoded content, or where the file is damaged
 */
export function decodeFile (data: Uint8Array, newest: boolean): Result<DecodedLogFile, Damage> {
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
  return ok({ records, frames, validBytes: offset })
}

/** The end of the frame at an offset, or undefined if the frame is incomplete or invalid. */
function frameEnd (bytes: Buffer, offset: number, sequence: number): number | undefined {
  if (!isHeaderValid(bytes, offset) || bytes.readUInt32LE(offset + 4) !== sequence) return undefined
  const start = offset + FRAME_HEADER_BYTES
  const end = start + bytes.readUInt32LE(offset + 8)
  if (end > bytes.length) return undefined
  return crc32(bytes.subarray(start, end)) === bytes.readUInt32LE(offset + 12) ? end : undefined
}

function isHeaderValid (bytes: Buffer, offset: number): boolean {
  if (offset + FRAME_HEADER_BYTES > bytes.length || bytes.readUInt32LE(offset) !== MAGIC) return false
  return crc32(bytes.subarray(offset, offset + 16)) === bytes.readUInt32LE(offset + 16)
}

/** The end of a file is torn if it is too short or contains a sector that was never written, and no later frame follows. */
function isTorn (bytes: Buffer, offset: number, sequence: number): boolean {
  if (hasLaterFrame(bytes, offset, sequence)) return false
  const end = isHeaderValid(bytes, offset) ? offset + FRAME_HEADER_BYTES + bytes.readUInt32LE(offset + 8) : bytes.length
  if (end > bytes.length || bytes.length - offset < FRAME_HEADER_BYTES) return true
  return hasZeroSector(bytes, offset)
}

function hasLaterFrame (bytes: Buffer, offset: number, sequence: number): boolean {
  const magic = Buffer.alloc(4)
  magic.writeUInt32LE(MAGIC)
  for (let found = bytes.indexOf(magic, offset + 1); found >= 0; found = bytes.indexOf(magic, found + 1)) {
    if (isHeaderValid(bytes, found) && bytes.readUInt32LE(found + 4) > sequence) return true
  }
  return false
}

function hasZeroSector (bytes: Buffer, offset: number): boolean {
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
  const header = Buffer.alloc(LOG_RECORD_HEADER_BYTES)
  header.writeUInt8(record.kind, 0)
  header.writeUInt32LE(body.length, 1)
  return Buffer.concat([header, body])
}

const encoders: { readonly [K in LogRecordKind]: (record: Extract<LogRecord, { kind: K }>) => Buffer } = {
  [LogRecordKind.HardState]: (record) => Buffer.from(JSON.stringify(record.hardState)),
  [LogRecordKind.Entry]: (record) => encodeEntry(record.entry),
  [LogRecordKind.Reset]: (record) => Buffer.from(JSON.stringify(record.position))
}

const decoders: { readonly [K in LogRecordKind]: (body: Buffer) => LogRecord } = {
  [LogRecordKind.HardState]: (body) => ({ kind: LogRecordKind.HardState, hardState: JSON.parse(body.toString()) as HardState }),
  [LogRecordKind.Entry]: (body) => ({ kind: LogRecordKind.Entry, entry: decodeEntry(body) }),
  [LogRecordKind.Reset]: (body) => ({ kind: LogRecordKind.Reset, position: JSON.parse(body.toString()) as LogPosition })
}

function encodeEntry (entry: LogEntry): Buffer {
  const header = Buffer.alloc(ENTRY_HEADER_BYTES)
  header.writeUIntLE(entry.index, 0, 6)
  header.writeUIntLE(entry.term, 6, 6)
  header.writeUInt8(entryKindNumber(entry), 12)
  return Buffer.concat([header, entry.data])
}

function decodeEntry (body: Buffer): LogEntry {
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
    const kind = payload.readUInt8(offset) as LogRecordKind
    const start = offset + LOG_RECORD_HEADER_BYTES
    const end = start + payload.readUInt32LE(offset + 1)
    records.push(decoders[kind](payload.subarray(start, end)))
    offset = end
  }
}
