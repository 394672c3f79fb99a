import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { RecordFaultKind, TransactionKind, verifyRecord, type RecordHead } from '../src/core/index'
import { chainedRecordLine } from '../src/core/record'
import { GENESIS_DIGEST } from '../src/core/record-verify'

function recordOf (names: readonly string[]): { lines: string[], heads: RecordHead[] } {
  let head: RecordHead = { sequence: 0, digest: GENESIS_DIGEST }
  const heads = [head]
  const lines = names.map((job, at) => {
    const line = chainedRecordLine(head, { kind: TransactionKind.AcceptJob, at, job })
    head = { sequence: line.sequence, digest: line.digest }
    heads.push(head)
    return line.text
  })
  return { lines, heads }
}

const names = fc.array(fc.string({ maxLength: 12 }), { minLength: 3, maxLength: 40 })
const parameters = { seed: 7, numRuns: 500 }
const summary = (lines: readonly string[], head?: RecordHead, after?: RecordHead) => verifyRecord(lines, { head, after }).faults.map(({ kind, sequence }) => ({ kind, sequence }))

describe('verification of an exported record', () => {
  test('an unchanged record, or any tail of it, has no faults', () => {
    fc.assert(fc.property(names, fc.nat(), (jobs, cut) => {
      const { lines, heads } = recordOf(jobs)
      const from = cut % jobs.length
      expect(verifyRecord(lines, { head: heads.at(-1) })).toEqual({ faults: [], lines: jobs.length, first: 1, head: heads.at(-1) })
      expect(summary(lines.slice(from), heads.at(-1), heads[from])).toEqual([])
    }), parameters)
  })

  test('a changed byte is detected and located at its line or a neighbour', () => {
    fc.assert(fc.property(names, fc.nat(), fc.nat(), fc.integer({ min: 1, max: 127 }), (jobs, index, offset, flip) => {
      const { lines, heads } = recordOf(jobs)
      const line = index % lines.length
      const bytes = Buffer.from(lines[line]!)
      bytes[offset % bytes.length]! ^= flip
      if (bytes.equals(Buffer.from(lines[line]!))) return
      const changed = lines.with(line, bytes.toString())
      const { faults } = verifyRecord(changed, { head: heads.at(-1) })
      expect(faults.length).toBeGreaterThan(0)
      expect(faults.some((fault) => Math.abs(fault.line - (line + 1)) <= 1)).toBe(true)
    }), parameters)
  })

  test('a change that keeps the line parseable is located at exactly that line', () => {
    fc.assert(fc.property(names, fc.nat(), (jobs, index) => {
      const { lines, heads } = recordOf(jobs)
      const line = index % lines.length
      const changed = lines.with(line, JSON.stringify({ ...JSON.parse(lines[line]!), job: 'forged text' }))
      expect(summary(changed, heads.at(-1))).toEqual([{ kind: RecordFaultKind.Changed, sequence: line + 1 }])
      const relinked = lines.with(line, JSON.stringify({ ...JSON.parse(lines[line]!), previous: 'f'.repeat(64) }))
      expect(verifyRecord(relinked, { head: heads.at(-1) }).faults.map((fault) => fault.sequence)).toContain(line + 1)
    }), parameters)
  })

  test('a removed line is detected, with its sequence number', () => {
    fc.assert(fc.property(names, fc.nat(), (jobs, index) => {
      const { lines, heads } = recordOf(jobs)
      const line = index % (lines.length - 1)
      const kind = RecordFaultKind.Missing
      expect(summary(lines.toSpliced(line, 1), heads.at(-1), heads[0])).toEqual([{ kind, sequence: line === 0 ? 2 : line + 1 }])
    }), parameters)
  })

  test('two swapped lines are reported as reordered, and no other line is reported', () => {
    fc.assert(fc.property(names, fc.nat(), (jobs, index) => {
      const { lines, heads } = recordOf(jobs)
      const line = index % (lines.length - 1)
      const swapped = lines.with(line, lines[line + 1]!).with(line + 1, lines[line]!)
      expect(summary(swapped, heads.at(-1), heads[0])).toEqual([{ kind: RecordFaultKind.Reordered, sequence: line + 1 }])
    }), parameters)
  })

  test('a truncated tail is detected from the known head', () => {
    fc.assert(fc.property(names, fc.nat(), (jobs, index) => {
      const { lines, heads } = recordOf(jobs)
      const kept = index % lines.length
      expect(summary(lines.slice(0, kept), heads.at(-1))).toEqual([{ kind: RecordFaultKind.CutTail, sequence: kept + 1 }])
      expect(summary(lines, heads[kept])).toEqual([])
    }), parameters)
  })

  test('a repeated line, a forged record and unparseable lines are detected', () => {
    const { lines, heads } = recordOf(['a', 'b', 'c'])
    expect(verifyRecord([lines[0]!, lines[1]!, lines[1]!, lines[2]!]).faults).toMatchSnapshot()
    const forged = recordOf(['a', 'x', 'c']).lines
    expect(verifyRecord(forged, { head: heads.at(-1) }).faults).toMatchSnapshot()
    expect(verifyRecord(['{}', 'no'], {}).faults).toMatchSnapshot()
  })
})
