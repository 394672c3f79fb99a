import fc from 'fast-check'
import { appendFile, mkdtemp, readFile, readdir, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { FolderDisk } from '../src/control/disk'
import { LogRecordKind, decodeFile, encodeFrame } from '../src/control/log-format'
import { Storage } from '../src/control/storage'
import { EntryKind, type LogEntry, type RecoveredState } from '../src/core/agreement'

let folder = ''
const storages: Storage[] = []
beforeEach(async () => { folder = await mkdtemp(join(tmpdir(), 'bramleyflow-')) })
afterEach(async () => {
  for (const storage of storages.splice(0)) await storage.close()
  await rm(folder, { recursive: true })
})

const hardState = { cluster: 'c', term: 1, vote: '' }
const entry = (index: number, term = 1, size = 8): LogEntry => ({ index, term, kind: EntryKind.Data, data: Buffer.alloc(size, index) })
const entries = (from: number, to: number, term = 1, size = 8): LogEntry[] => Array.from({ length: to - from + 1 }, (_, offset) => entry(from + offset, term, size))
const snapshot = (index: number, term = 1) => ({ head: { index, term, members: [] }, data: Buffer.from(`state ${index}`) })

async function open (): Promise<{ storage: Storage, recovered: RecoveredState }> {
  const opened = (await Storage.open(await FolderDisk.create(folder), () => 'identity'))._unsafeUnwrap()
  storages.push(opened.storage)
  return opened
}

async function openFailure (): Promise<unknown> {
  const opened = await Storage.open(await FolderDisk.create(folder), () => 'other')
  return opened.isErr() ? opened.error : 'opened'
}

/** Writes six entries in two frames and returns the path of the log file. */
async function writeLog (): Promise<string> {
  const { storage } = await open()
  await storage.write({ entries: entries(1, 3), hardState })
  await storage.write({ entries: entries(4, 6) })
  await storage.close()
  return join(folder, 'log-000000000001')
}

const positions = (recovered: RecoveredState): string => recovered.entries.map(({ index, term }) => `${index}@${term}`).join(' ')

test('identity, hard state and entries survive a restart, and rewritten entries replace the earlier ones', async () => {
  const { storage, recovered } = await open()
  expect(recovered).toMatchObject({ identity: 'identity', hardState: { cluster: '', term: 0 }, entries: [] })
  await storage.write({ entries: entries(1, 5), hardState })
  await storage.write({ entries: entries(4, 4, 2), hardState: { ...hardState, term: 2, vote: 'm' } })
  await storage.close()
  const again = (await open()).recovered
  expect(again).toMatchObject({ identity: 'identity', hardState: { cluster: 'c', term: 2, vote: 'm' } })
  expect(positions(again)).toBe('1@1 2@1 3@1 4@2')
})

// A crash during a write leaves an incomplete last frame.
test('a torn frame at the end is truncated, and later writes follow the last complete frame', async () => {
  const log = await writeLog()
  await appendFile(log, encodeFrame(3, [{ kind: LogRecordKind.Entry, entry: entry(7) }]).subarray(0, 30))
  const { storage, recovered } = await open()
  expect(positions(recovered)).toBe('1@1 2@1 3@1 4@1 5@1 6@1')
  await storage.write({ entries: entries(7, 7, 2) })
  await storage.close()
  expect(positions((await open()).recovered)).toBe('1@1 2@1 3@1 4@1 5@1 6@1 7@2')
})

// After a crash the file can be shorter than written, or its last sector can read as zeros.
test('a file truncated at any byte, or with a zero last sector, decodes to a prefix of its frames', () => {
  const frames = [0, 1, 2].map((sequence) => encodeFrame(sequence, [{ kind: LogRecordKind.Entry, entry: entry(sequence + 1, 1, 700) }]))
  const whole = Buffer.concat(frames)
  fc.assert(fc.property(fc.integer({ min: 0, max: whole.length }), fc.boolean(), (length, zeroLastSector) => {
    const data = Buffer.from(whole.subarray(0, length))
    if (zeroLastSector && length % 512 > 0) data.fill(0, length - length % 512)
    const decoded = decodeFile(data, true)._unsafeUnwrap()
    expect(decoded.frames).toBe(Math.floor(decoded.validBytes / (frames[0]?.length ?? 1)))
    expect(decoded.validBytes).toBeGreaterThan(length - 2 * (frames[0]?.length ?? 1))
  }), { seed: 41 })
})

// Truncating at a damaged frame in the middle would lose synced entries, so it must not be taken for a torn end.
test('any changed byte before the last frame is reported as damage', () => {
  const whole = Buffer.concat([0, 1, 2].map((sequence) => encodeFrame(sequence, [{ kind: LogRecordKind.Entry, entry: entry(sequence + 1, 1, 100) }])))
  fc.assert(fc.property(fc.integer({ min: 0, max: Math.floor(whole.length * 2 / 3) - 1 }), fc.integer({ min: 1, max: 255 }), (offset, change) => {
    const data = Buffer.from(whole)
    data[offset] = (data[offset] ?? 0) ^ change
    expect(decodeFile(data, true).isErr()).toBe(true)
  }), { seed: 42, numRuns: 300 })
})

test('damage is reported with its location instead of being repaired', async () => {
  const log = await writeLog()
  const whole = await readFile(log)
  const changed = Buffer.from(whole)
  changed[90] = (changed[90] ?? 0) ^ 1
  await writeFile(log, changed)
  expect(await openFailure()).toMatchInlineSnapshot(`
    {
      "file": "log-000000000001",
      "kind": "damaged",
      "message": "a record is damaged at byte 58",
    }
  `)
  const lastChanged = Buffer.from(whole)
  lastChanged[whole.length - 1] = 99
  await writeFile(log, lastChanged)
  expect(await openFailure()).toMatchInlineSnapshot(`
    {
      "file": "log-000000000001",
      "kind": "damaged",
      "message": "a record is damaged at byte 195",
    }
  `)
  await writeFile(log, whole)
  await rm(join(folder, 'identity'))
  expect(await openFailure()).toMatchInlineSnapshot(`
    {
      "file": "identity",
      "kind": "damaged",
      "message": "the folder has a log but no identity",
    }
  `)
  await writeFile(join(folder, 'identity'), 'identity\n')
  await rm(log)
  expect(await openFailure()).toMatchInlineSnapshot(`
    {
      "file": "identity",
      "kind": "damaged",
      "message": "the folder has an identity but no log",
    }
  `)
})

test('a snapshot removes the log files it covers, and a damaged snapshot is an error', async () => {
  const { storage } = await open()
  for (let index = 1; index <= 12; index++) await storage.write({ entries: [entry(index, 1, 1024 * 1024)] })
  expect((await storage.saveSnapshot(snapshot(10)))._unsafeUnwrap()).toBeUndefined()
  expect(await readdir(folder)).toMatchInlineSnapshot(`
    [
      "identity",
      "log-000000000003",
      "log-000000000004",
      "snapshot-000000000010",
    ]
  `)
  await storage.close()
  expect(positions((await open()).recovered)).toBe('11@1 12@1')
  await writeFile(join(folder, 'snapshot-000000000010'), 'garbage')
  expect(await openFailure()).toMatchInlineSnapshot(`
    {
      "file": "snapshot-000000000010",
      "kind": "damaged",
      "message": "the snapshot header is damaged",
    }
  `)
})

// A crash between saving a snapshot and writing the reset record leaves a log that ends before the snapshot.
test('a snapshot from the leader discards a conflicting log, also without a reset record in the log', async () => {
  const { storage } = await open()
  await storage.write({ entries: entries(1, 9), hardState })
  await storage.write({ snapshot: snapshot(5, 2), entries: [entry(6, 2)] })
  await storage.close()
  const installed = (await open()).recovered
  expect(positions(installed)).toBe('6@2')
  const again = await open()
  await again.storage.saveSnapshot(snapshot(20, 3))
  await again.storage.close()
  const after = await open()
  expect(positions(after.recovered)).toBe('')
  await after.storage.write({ entries: entries(21, 22, 3) })
  await after.storage.close()
  expect(positions((await open()).recovered)).toBe('21@3 22@3')
})

// After a failed sync it is unknown which writes are durable, so nothing written later may be acknowledged.
test('after a failed sync the storage rejects all writes', async () => {
  const disk = await FolderDisk.create(folder)
  const open = disk.open.bind(disk)
  let failing = false
  disk.open = async (name) => {
    const file = await open(name)
    return { append: async (data) => { await file.append(data) }, close: async () => { await file.close() }, sync: async () => { if (failing) throw new Error('EIO'); await file.sync() } }
  }
  const { storage } = (await Storage.open(disk, () => 'identity'))._unsafeUnwrap()
  failing = true
  expect((await storage.write({ entries: entries(1, 1) })).isErr()).toBe(true)
  failing = false
  expect((await storage.write({ entries: entries(1, 1) })).isErr()).toBe(true)
  await storage.close()
})
