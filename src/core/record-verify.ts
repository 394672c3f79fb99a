import { createHash } from 'node:crypto'
import type { RecordHead } from './state'

/** What is wrong at one place of a record. */
export enum RecordFaultKind {
  /** The line is no line of a record. */
  Damaged = 'damaged',
  /** The line is not the one that its successor, or the known head, was chained to. */
  Changed = 'changed',
  /** One or more lines are missing before this one. */
  Missing = 'missing',
  /** The line stands after one with a higher sequence number. */
  Reordered = 'reordered',
  /** A sequence number stands twice. */
  Repeated = 'repeated',
  /** The record ends before the known head. */
  CutTail = 'cut-tail',
  /** The record does not begin where it should. */
  WrongStart = 'wrong-start'
}

/** One fault of a record and where it is. */
export interface RecordFault {
  readonly kind: RecordFaultKind
  /** Position of the line in the export, counted from 1; 0 where no line is concerned. */
  readonly line: number
  /** Sequence number concerned. */
  readonly sequence: number
  /** One sentence for a person. */
  readonly text: string
}

/** What is known beside the export. */
export interface VerifyOptions {
  /** The last head that was noted; without it a cut tail and a change of the last line cannot be seen. */
  readonly head?: RecordHead
  /** The head before the first line, noted when older lines were removed; none for a record from its beginning. */
  readonly after?: RecordHead
}

/** The outcome of a verification. */
export interface RecordVerification {
  readonly faults: readonly RecordFault[]
  readonly lines: number
  /** Sequence number of the first line, 0 for an empty record. */
  readonly first: number
  /** The head that follows from the last line. */
  readonly head: RecordHead
}

interface ReadLine {
  readonly line: number
  readonly sequence: number
  readonly previous: string
  readonly digest: string
}

/** The digest before the first line of all. */
export const GENESIS_DIGEST = '0'.repeat(64)

/**
 * Digest of a line, to which the next one is chained.
 * @param text - the line without its end
 * @returns SHA-256 in hexadecimal
 */
export function lineDigest (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

/**
 * Checks an exported record from its lines alone.
 * @param lines - the lines in the order of the export, without line ends
 * @param options - what is known beside them
 * @returns every fault with its place, and the head of the record
 */
export function verifyRecord (lines: Iterable<string>, options: VerifyOptions = {}): RecordVerification {
  const read: ReadLine[] = []
  const faults: RecordFault[] = []
  let position = 0
  for (const text of lines) {
    position++
    const line = readLine(text, position)
    if (line === undefined) faults.push({ kind: RecordFaultKind.Damaged, line: position, sequence: 0, text: `line ${position} is not a line of a record` })
    else read.push(line)
  }
  faults.push(...orderFaults(read))
  const ordered = [...read].sort((one, other) => one.sequence - other.sequence || one.line - other.line)
  faults.push(...startFaults(ordered[0], options.after), ...chainFaults(ordered), ...headFaults(ordered, options.head))
  const last = ordered.at(-1)
  return { faults, lines: position, first: ordered[0]?.sequence ?? 0, head: { sequence: last?.sequence ?? 0, digest: last?.digest ?? GENESIS_DIGEST } }
}

function readLine (text: string, line: number): ReadLine | undefined {
  try {
    const { sequence, previous } = JSON.parse(text) as { sequence?: unknown, previous?: unknown }
    if (!Number.isSafeInteger(sequence) || typeof previous !== 'string') return undefined
    return { line, sequence: sequence as number, previous, digest: lineDigest(text) }
  } catch {
    return undefined
  }
}

function orderFaults (read: readonly ReadLine[]): RecordFault[] {
  return read.flatMap(({ line, sequence }, position) => {
    const before = read[position - 1]
    if (before === undefined || before.sequence <= sequence) return []
    return [{ kind: RecordFaultKind.Reordered, line, sequence, text: `line ${line} with sequence ${sequence} stands after sequence ${before.sequence}` }]
  })
}

function startFaults (first: ReadLine | undefined, after: RecordHead | undefined): RecordFault[] {
  if (first === undefined) return []
  const { line, sequence, previous } = first
  if (after !== undefined && sequence === after.sequence + 1 && previous !== after.digest) {
    return [{ kind: RecordFaultKind.WrongStart, line, sequence, text: `line ${line} is not chained to the head that was noted before it` }]
  }
  if (after !== undefined && sequence !== after.sequence + 1) {
    return [{ kind: RecordFaultKind.Missing, line, sequence, text: `the record begins with sequence ${sequence}, expected ${after.sequence + 1}` }]
  }
  if (sequence === 1 && previous !== GENESIS_DIGEST) {
    return [{ kind: RecordFaultKind.WrongStart, line, sequence, text: 'the first line of all is chained to something before it' }]
  }
  return []
}

/** Looks at each link; two broken links in a row point at the line between them, a single one at the earlier line. */
function chainFaults (ordered: readonly ReadLine[]): RecordFault[] {
  const faults: RecordFault[] = []
  for (let position = 1; position < ordered.length; position++) {
    const before = ordered[position - 1]!
    const here = ordered[position]!
    if (here.sequence === before.sequence) {
      faults.push({ kind: RecordFaultKind.Repeated, line: here.line, sequence: here.sequence, text: `sequence ${here.sequence} stands on lines ${before.line} and ${here.line}` })
    } else if (here.sequence > before.sequence + 1) {
      faults.push({ kind: RecordFaultKind.Missing, line: here.line, sequence: before.sequence + 1, text: `sequence ${before.sequence + 1} to ${here.sequence - 1} is missing before line ${here.line}` })
    } else if (here.previous !== before.digest) {
      const blamed = isBroken(ordered, position + 1) ? here : before
      if (faults.at(-1)?.line === blamed.line && faults.at(-1)?.kind === RecordFaultKind.Changed) continue
      faults.push({ kind: RecordFaultKind.Changed, line: blamed.line, sequence: blamed.sequence, text: `line ${blamed.line} with sequence ${blamed.sequence} was changed` })
    }
  }
  return faults
}

function isBroken (ordered: readonly ReadLine[], position: number): boolean {
  const before = ordered[position - 1]
  const here = ordered[position]
  return before !== undefined && here !== undefined && here.sequence === before.sequence + 1 && here.previous !== before.digest
}

function headFaults (ordered: readonly ReadLine[], head: RecordHead | undefined): RecordFault[] {
  if (head === undefined || head.sequence === 0) return []
  const last = ordered.at(-1)
  if (last === undefined || last.sequence < head.sequence) {
    const sequence = (last?.sequence ?? 0) + 1
    return [{ kind: RecordFaultKind.CutTail, line: last?.line ?? 0, sequence, text: `sequence ${sequence} to ${head.sequence} is missing at the end` }]
  }
  const noted = ordered.find((line) => line.sequence === head.sequence)
  if (noted === undefined || noted.digest === head.digest) return []
  return [{ kind: RecordFaultKind.Changed, line: noted.line, sequence: noted.sequence, text: `line ${noted.line} with sequence ${noted.sequence} is not the head that was noted` }]
}
