import fc from 'fast-check'
import { appendFile, mkdtemp, readFile, readdir, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { FolderDisk } from '../src/control/disk'
import { RecordKind, decodeFile, encodeFrame } from '../src/control/records'
import { Storage } from '../src/control/storage'
import { EntryKind, type Entry, type Recovered } from '../src/core/agreement'

let folder = ''
const storages: Storage[] = []
beforeEach(async () => { folder = await mkdtemp(join(tmpdir(), 'bramleyflow-')) })
afterEach(async () => {
  for (const storage of storages.splice(0)) await storage.close()
  await rm(folder, { recursive: true })
})

const hardState = { cluster: 'c', term: 1, vote: '' }
const entry = (index: number, term = 1, size = 8): Entry => ({ index, term, kind: EntryKind.Data, data: Buffer.alloc(size, index) })
const entries = (from: number, to: number, term = 1, size = 8): Entry[] => Array.from({ length: to - from + 1 }, (_, offset) => entry(from + offset, term, size))
const snapshot = (index: number, term = 1) => ({ head: { index, term, members: [] }, data: Buffer.from(`state ${index}`) })

async function open (): Promise<{ storage: Storage, recovered: Recovered }> {
  const opened = (await Storage.open(await FolderDisk.create(folder), () => 'identity'))._unsafeUnwrap()
  storages.push(opened.storage)
  return opened
}

async function failure (): Promise<unknown> {
  const opened = await Storage.open(await FolderDisk.create(folder), () => 'other')
  return opened.isErr() ? opened.error : 'opened'
}

async function written (): Promise<string> {
  const { storage } = await open()
  await storage.write({ entries: entries(1, 3), hardState })
  await storage.write({ entries: entries(4, 6) })
  await storage.close()
  return join(folder, 'log-000000000001')
}

const places = (recovered: Recovered): string => recovered.entries.map(({ index, term }) => `${index}@${term}`).join(' ')

test('a folder keeps its identity, its promises and its entries, the later ones over the earlier', async () => {
  const { storage, recovered } = await open()
  expect(recovered).toMatchObject({ identity: 'identity', hardState: { cluster: '', term: 0 }, entries: [] })
  await storage.write({ entries: entries(1, 5), hardState })
  await storage.write({ entries: entries(4, 4, 2), hardState: { ...hardState, term: 2, vote: 'm' } })
  await storage.close()
  const again = (await open()).recovered
  expect(again).toMatchObject({ identity: 'identity', hardState: { cluster: 'c', term: 2, vote: 'm' } })
  expect(places(again)).toBe('1@1 2@1 3@1 4@2')
})

test('a torn end is cut and the log goes on after it', async () => {
  const log = await written()
  await appendFile(log, encodeFrame(3, [{ kind: RecordKind.Entry, entry: entry(7) }]).subarray(0, 30))
  const { storage, recovered } = await open()
  expect(places(recovered)).toBe('1@1 2@1 3@1 4@1 5@1 6@1')
  await storage.write({ entries: entries(7, 7, 2) })
  await storage.close()
  expect(places((await open()).recovered)).toBe('1@1 2@1 3@1 4@1 5@1 6@1 7@2')
})

test('any cut end and any unwritten last sector leave a prefix of the frames', () => {
  const frames = [0, 1, 2].map((sequence) => encodeFrame(sequence, [{ kind: RecordKind.Entry, entry: entry(sequence + 1, 1, 700) }]))
  const whole = Buffer.concat(frames)
  fc.assert(fc.property(fc.integer({ min: 0, max: whole.length }), fc.boolean(), (length, unwritten) => {
    const data = Buffer.from(whole.subarray(0, length))
    if (unwritten && length % 512 > 0) data.fill(0, length - length % 512)
    const decoded = decodeFile(data, true)._unsafeUnwrap()
    expect(decoded.frames).toBe(Math.floor(decoded.wholeBytes / (frames[0]?.length ?? 1)))
    expect(decoded.wholeBytes).toBeGreaterThan(length - 2 * (frames[0]?.length ?? 1))
  }), { seed: 41 })
})

test('one changed byte before the last frame is always found', () => {
  const whole = Buffer.concat([0, 1, 2].map((sequence) => encodeFrame(sequence, [{ kind: RecordKind.Entry, entry: entry(sequence + 1, 1, 100) }])))
  fc.assert(fc.property(fc.integer({ min: 0, max: Math.floor(whole.length * 2 / 3) - 1 }), fc.integer({ min: 1, max: 255 }), (offset, change) => {
    const data = Buffer.from(whole)
    data[offset] = (data[offset] ?? 0) ^ change
    expect(decodeFile(data, true).isErr()).toBe(true)
  }), { seed: 42, numRuns: 300 })
})

test('damage is an error that says where, and nothing is guessed', async () => {
  const log = await written()
  const whole = await readFile(log)
  const changed = Buffer.from(whole)
  changed[90] = (changed[90] ?? 0) ^ 1
  await writeFile(log, changed)
  expect(await failure()).toMatchInlineSnapshot(`
    {
      "file": "log-000000000001",
      "kind": "damaged",
      "message": "a record is damaged at byte 58",
    }
  `)
  const lastChanged = Buffer.from(whole)
  lastChanged[whole.length - 1] = 99
  await writeFile(log, lastChanged)
  expect(await failure()).toMatchInlineSnapshot(`
    {
      "file": "log-000000000001",
      "kind": "damaged",
      "message": "a record is damaged at byte 195",
    }
  `)
  await writeFile(log, whole)
  await rm(join(folder, 'identity'))
  expect(await failure()).toMatchInlineSnapshot(`
    {
      "file": "identity",
      "kind": "damaged",
      "message": "the folder has a log but no identity",
    }
  `)
  await writeFile(join(folder, 'identity'), 'identity\n')
  await rm(log)
  expect(await failure()).toMatchInlineSnapshot(`
    {
      "file": "identity",
      "kind": "damaged",
      "message": "the folder has an identity but no log",
    }
  `)
})

test('a snapshot removes the files it covers, and a damaged one is an error', async () => {
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
  expect(places((await open()).recovered)).toBe('11@1 12@1')
  await writeFile(join(folder, 'snapshot-000000000010'), 'garbage')
  expect(await failure()).toMatchInlineSnapshot(`
    {
      "file": "snapshot-000000000010",
      "kind": "damaged",
      "message": "the head of the snapshot is damaged",
    }
  `)
})

test('a snapshot from the leader makes a log that does not agree with it void, also when the log was not told', async () => {
  const { storage } = await open()
  await storage.write({ entries: entries(1, 9), hardState })
  await storage.write({ snapshot: snapshot(5, 2), entries: [entry(6, 2)] })
  await storage.close()
  const installed = (await open()).recovered
  expect(places(installed)).toBe('6@2')
  const again = await open()
  await again.storage.saveSnapshot(snapshot(20, 3))
  await again.storage.close()
  const after = await open()
  expect(places(after.recovered)).toBe('')
  await after.storage.write({ entries: entries(21, 22, 3) })
  await after.storage.close()
  expect(places((await open()).recovered)).toBe('21@3 22@3')
})

test('after a failed sync the storage takes no more', async () => {
  const disk = await FolderDisk.create(folder)
  const open = disk.open.bind(disk)
  let broken = false
  disk.open = async (name) => {
    const file = await open(name)
    return { append: async (data) => { await file.append(data) }, close: async () => { await file.close() }, sync: async () => { if (broken) throw new Error('EIO'); await file.sync() } }
  }
  const { storage } = (await Storage.open(disk, () => 'identity'))._unsafeUnwrap()
  broken = true
  expect((await storage.write({ entries: entries(1, 1) })).isErr()).toBe(true)
  broken = false
  expect((await storage.write({ entries: entries(1, 1) })).isErr()).toBe(true)
  await storage.close()
})
