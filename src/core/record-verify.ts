import { createHash } from 'node:crypto'
import type { RecordHead } from './state'

/** Kinds of faults of an exported record. */
export enum RecordFaultKind {
  /** The line cannot be parsed as a line of a record. */
  Damaged = 'damaged',
  /** The digest of the line differs from the one in its successor or in the known head. */
  Changed = 'changed',
  /** One or more lines before this one are missing. */
  Missing = 'missing',
  /** The line follows one with a higher sequence number. */
  Reordered = 'reordered',
  /** A sequence number occurs more than once. */
  Repeated = 'repeated',
  /** The record ends before the known head. */
  CutTail = 'cut-tail',
  /** The first line is not chained to the expected head. */
  WrongStart = 'wrong-start'
}

/** A fault of a record and its location. */
export interface RecordFault {
  readonly kind: RecordFaultKind
  /** Line number in the export, from 1; 0 where no line is affected. */
  readonly line: number
  /** Sequence number affected. */
  readonly sequence: number
  /** Description for the user. */
  readonly text: string
}

/** Trusted heads, recorded outside the export. */
export interface VerifyOptions {
  /** The last known head. Without it, a truncated tail and a change of the last line cannot be detected. */
  readonly head?: RecordHead
  /** The head before the first line, recorded when older lines were removed. Absent for a complete record. */
  readonly after?: RecordHead
}

/** Result of a verification. */
export interface RecordVerification {
  readonly faults: readonly RecordFault[]
  readonly lines: number
  /** Sequence number of the first line, 0 for an empty record. */
  readonly first: number
  /** The head computed from the last line. */
  readonly head: RecordHead
}

interface ParsedLine {
  readonly line: number
  readonly sequence: number
  readonly previous: string
  readonly digest: string
}

/** The digest before the first line of a record. */
export const GENESIS_DIGEST = '0'.repeat(64)

/**
 * Digest of a line, which the next line contains.
 * @param text - the line without its line end
 * @returns SHA-256 in hexadecimal
 */
export function lineDigest (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

/**
 * Verifies the hash chain of an exported record.
 * @param lines - the lines in the order of the export, without line ends
 * @param options - trusted heads
 * @returns all faults, and the head of the record
 */
export function verifyRecord (lines: Iterable<string>, options: VerifyOptions = {}): RecordVerification {
  const parsed: ParsedLine[] = []
  const faults: RecordFault[] = []
  let position = 0
  for (const text of lines) {
    position++
    const line = parseLine(text, position)
    if (line === undefined) faults.push({ kind: RecordFaultKind.Damaged, line: position, sequence: 0, text: `line ${position} is not a valid record line` })
    else parsed.push(line)
  }
  faults.push(...orderFaults(parsed))
  const ordered = [...parsed].sort((one, other) => one.sequence - other.sequence || one.line - other.line)
  faults.push(...startFaults(ordered[0], options.after), ...chainFaults(ordered), ...headFaults(ordered, options.head))
  const last = ordered.at(-1)
  return { faults, lines: position, first: ordered[0]?.sequence ?? 0, head: { sequence: last?.sequence ?? 0, digest: last?.digest ?? GENESIS_DIGEST } }
}

function parseLine (text: string, line: number): ParsedLine | undefined {
  try {
    const { sequence, previous } = JSON.parse(text) as { sequence?: unknown, previous?: unknown }
    if (!Number.isSafeInteger(sequence) || typeof previous !== 'string') return undefined
    return { line, sequence: sequence as number, previous, digest: lineDigest(text) }
  } catch {
    return undefined
  }
}

function orderFaults (parsed: readonly ParsedLine[]): RecordFault[] {
  return parsed.flatMap(({ line, sequence }, position) => {
    const before = parsed[position - 1]
    if (before === undefined || before.sequence <= sequence) return []
    return [{ kind: RecordFaultKind.Reordered, line, sequence, text: `line ${line} with sequence ${sequence} is out of order: it follows sequence ${before.sequence}` }]
  })
}

function startFaults (first: ParsedLine | undefined, after: RecordHead | undefined): RecordFault[] {
  if (first === undefined) return []
  const { line, sequence, previous } = first
  if (after !== undefined && sequence === after.sequence + 1 && previous !== after.digest) {
    return [{ kind: RecordFaultKind.WrongStart, line, sequence, text: `line ${line} is not chained to the given previous head` }]
  }
  if (after !== undefined && sequence !== after.sequence + 1) {
    return [{ kind: RecordFaultKind.Missing, line, sequence, text: `the record begins with sequence ${sequence}, expected ${after.sequence + 1}` }]
  }
  if (sequence === 1 && previous !== GENESIS_DIGEST) {
    return [{ kind: RecordFaultKind.WrongStart, line, sequence, text: 'the line with sequence 1 is chained to an earlier line' }]
  }
  return []
}

/** Checks each link of the chain. Two broken links in a row mean that the line between them was changed, a single one the earlier line. */
function chainFaults (ordered: readonly ParsedLine[]): RecordFault[] {
  const faults: RecordFault[] = []
  for (let position = 1; position < ordered.length; position++) {
    const before = ordered[position - 1]!
    const current = ordered[position]!
    if (current.sequence === before.sequence) {
      faults.push({ kind: RecordFaultKind.Repeated, line: current.line, sequence: current.sequence, text: `sequence ${current.sequence} is repeated on lines ${before.line} and ${current.line}` })
    } else if (current.sequence > before.sequence + 1) {
      faults.push({ kind: RecordFaultKind.Missing, line: current.line, sequence: before.sequence + 1, text: `sequence ${before.sequence + 1} to ${current.sequence - 1} is missing before line ${current.line}` })
    } else if (current.previous !== before.digest) {
      const changedLine = isLinkBroken(ordered, position + 1) ? current : before
      if (faults.at(-1)?.line === changedLine.line && faults.at(-1)?.kind === RecordFaultKind.Changed) continue
      faults.push({ kind: RecordFaultKind.Changed, line: changedLine.line, sequence: changedLine.sequence, text: `line ${changedLine.line} with sequence ${changedLine.sequence} was changed` })
    }
  }
  return faults
}

function isLinkBroken (ordered: readonly ParsedLine[], position: number): boolean {
  const before = ordered[position - 1]
  const current = ordered[position]
  return before !== undefined && current !== undefined && current.sequence === before.sequence + 1 && current.previous !== before.digest
}

function headFaults (ordered: readonly ParsedLine[], head: RecordHead | undefined): RecordFault[] {
  if (head === undefined || head.sequence === 0) return []
  const last = ordered.at(-1)
  if (last === undefined || last.sequence < head.sequence) {
    const sequence = (last?.sequence ?? 0) + 1
    return [{ kind: RecordFaultKind.CutTail, line: last?.line ?? 0, sequence, text: `sequence ${sequence} to ${head.sequence} is missing at the end` }]
  }
  const atHead = ordered.find((line) => line.sequence === head.sequence)
  if (atHead === undefined || atHead.digest === head.digest) return []
  return [{ kind: RecordFaultKind.Changed, line: atHead.line, sequence: atHead.sequence, text: `line ${atHead.line} with sequence ${atHead.sequence} does not match the given head` }]
}
