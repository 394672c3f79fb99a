import { appendFileSync, mkdtempSync, readdirSync, readFileSync, rmSync, truncateSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import fc from 'fast-check'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { RecordStore } from '../src/control/record-store'
import { GENESIS_DIGEST, TransactionKind, verifyRecord, type RecordHead, type RecordLine } from '../src/core/index'
import { chainedRecordLine } from '../src/core/record'

let folder: string
beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'bramleyflow-record-')) })
afterEach(() => { rmSync(folder, { recursive: true }) })

const all: RecordLine[] = []
const heads: RecordHead[] = [{ sequence: 0, digest: GENESIS_DIGEST }]
for (let at = 0; at < 200; at++) {
  all.push(chainedRecordLine(heads[at]!, { kind: TransactionKind.AcceptJob, at, job: `job-${at}`, account: 'Hợp tác xã' }))
  heads.push({ sequence: at + 1, digest: all[at]!.digest })
}
const texts = all.map((line) => line.text)
const open = (maxRetainedBytes?: number) => RecordStore.open(folder, { segmentBytes: 2_000, maxRetainedBytes })._unsafeUnwrap()
const segments = () => readdirSync(join(folder, 'record')).sort().map((name) => join(folder, 'record', name))

test('lines are read in order from any sequence number, also after a restart', () => {
  const store = open()
  store.append(all)
  expect([...store.linesFrom(1)]).toEqual(texts)
  store.close()
  expect([...open().linesFrom(77)]).toEqual(texts.slice(76))
  expect(segments().length).toBeGreaterThan(10)
  expect(readFileSync(segments()[1]!, 'utf8').split('\n')[0]).toMatchSnapshot()
})

// A crash can lose the end of the newest segment. The host then adds the lines after its newest snapshot again.
test('unsynced lines lost in a crash are added again from the log, each line once', () => {
  fc.assert(fc.property(fc.array(fc.record({ upTo: fc.nat(200), snapshotTaken: fc.boolean(), lostBytes: fc.nat(300) }), { minLength: 1, maxLength: 8 }), (restarts) => {
    let covered = 0
    for (const { upTo, snapshotTaken, lostBytes } of restarts) {
      const store = open()
      store.append(all.slice(covered, Math.max(covered, upTo)))
      store.sync()
      const stored = [...store.linesFrom(1)].length
      if (snapshotTaken) covered = Math.max(covered, upTo)
      store.close()
      // A crash may lose only lines that the last snapshot does not cover, so the newest file is truncated after those it does.
      const newest = segments().at(-1)
      if (newest === undefined || snapshotTaken || stored <= covered) continue
      const text = readFileSync(newest)
      const first = Number(/(\d+)\.jsonl$/.exec(newest)![1])
      const coveredBytes = first > covered ? 0 : Buffer.byteLength(text.toString().split('\n').slice(0, covered - first + 2).join('\n')) + 1
      truncateSync(newest, Math.max(Math.min(coveredBytes, text.length), text.length - lostBytes))
    }
    const store = open()
    store.append(all.slice(covered))
    expect([...store.linesFrom(1)]).toEqual(texts)
    store.close()
    rmSync(join(folder, 'record'), { recursive: true })
  }), { seed: 11, numRuns: 40 })
})

test('after old segments are removed, the chain can be verified from the first retained line', () => {
  const store = open(9_000)
  store.append(all)
  const kept = [...store.linesFrom(1)]
  expect(kept.length).toBeLessThan(200)
  expect(store.start).toEqual(heads[200 - kept.length])
  expect(verifyRecord(kept, { after: store.start, head: store.head }).faults).toEqual([])
  expect(verifyRecord(kept.slice(1), { after: store.start }).faults).toHaveLength(1)
})

test('a host restored from a snapshot reports the lines that it does not have', () => {
  const store = open()
  store.append(all.slice(0, 50))
  store.append(all.slice(120))
  expect(store.gaps).toEqual([{ after: 50, before: 121 }])
  expect(verifyRecord(store.linesFrom(1), { head: store.head }).faults.map((fault) => fault.text)).toMatchSnapshot()
  store.close()
  expect(open().gaps).toEqual([{ after: 50, before: 121 }])
})

// Only the newest segment is verified when it is opened; sealed segments are verified when the record is exported.
test('a damaged newest segment is truncated and refilled from the log, a changed sealed segment fails verification of the export', () => {
  const store = open()
  store.append(all)
  store.close()
  appendFileSync(segments().at(-1)!, '{"sequence":201,"ki')
  expect([...open().linesFrom(1)]).toEqual(texts)
  const changed = segments().at(-1)!
  writeFileSync(changed, readFileSync(changed, 'utf8').replace('job-', 'jab-'))
  const truncated = open()
  expect(truncated.truncatedAt).toMatchSnapshot()
  truncated.append(all)
  expect([...truncated.linesFrom(1)]).toEqual(texts)
  truncated.close()
  const sealed = segments()[3]!
  writeFileSync(sealed, readFileSync(sealed, 'utf8').replace('job-', 'jab-'))
  const opened = open()
  expect(verifyRecord(opened.linesFrom(1), { head: opened.head }).faults.map((fault) => fault.sequence)).toEqual([37])
})

// A crash right after a segment is created leaves a file with an incomplete header.
test('a segment without lines is created again', () => {
  const store = open()
  store.append(all.slice(0, 3))
  store.close()
  writeFileSync(join(folder, 'record', 'segment-000000000004.jsonl'), '{"segment":1,"fir')
  const again = open()
  again.append(all)
  expect([...again.linesFrom(1)]).toEqual(texts)
})
