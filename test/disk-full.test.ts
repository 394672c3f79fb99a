import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { open as openFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { FolderDisk } from '../src/control/disk'
import { RecordStore } from '../src/control/record-store'
import { Storage } from '../src/control/storage'
import { EntryKind, type LogEntry } from '../src/core/agreement'
import { GENESIS_DIGEST, TransactionKind, type RecordHead, type RecordLine } from '../src/core/index'
import { chainedRecordLine } from '../src/core/record'

/** Free space of the mocked disk. Each write takes from it, and writes fail when it is used up. */
const disk = vi.hoisted(() => ({ freeBytes: Infinity }))

vi.mock('node:fs', async (load) => {
  const fs = await load<typeof import('node:fs')>()
  return {
    ...fs,
    writeSync: (file: number, data: Uint8Array, from: number) => {
      if (disk.freeBytes === 0) throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' })
      const taken = Math.min(disk.freeBytes, data.length - from)
      disk.freeBytes -= taken
      return fs.writeSync(file, data, from, taken)
    }
  }
})

let folder: string
beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'bramleyflow-full-')) })
afterEach(() => {
  disk.freeBytes = Infinity
  vi.restoreAllMocks()
  rmSync(folder, { recursive: true })
})

const entry = (index: number): LogEntry => ({ index, term: 1, kind: EntryKind.Data, data: Buffer.alloc(200, index) })

/** Makes a number of file writes fail, each after a partial write. */
async function fillDisk (failures: number): Promise<void> {
  const handle = await openFile(join(folder, 'probe'), 'w')
  const prototype = Object.getPrototypeOf(handle) as typeof handle
  await handle.close()
  const write = prototype.write as (data: Uint8Array, from?: number, length?: number) => Promise<{ bytesWritten: number }>
  let writePart = true
  vi.spyOn(prototype, 'write').mockImplementation(async function (this: typeof handle, data: Uint8Array, from = 0) {
    if (failures === 0) return await write.call(this, data, from)
    writePart = !writePart
    if (!writePart) return await write.call(this, data, from, 5)
    failures -= 1
    throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' })
  } as typeof prototype.write)
}

// A write that fails after a part of the data was written must continue after that part, not repeat it.
test('writes to a full disk wait for space, without losing or repeating data', async () => {
  const events: string[] = []
  const files = await FolderDisk.create(folder, (event) => { events.push(event) })
  const { storage } = (await Storage.open(files, () => 'identity'))._unsafeUnwrap()
  await fillDisk(3)
  const written = await storage.write({ entries: [entry(1), entry(2)], hardState: { cluster: 'c', term: 1, vote: '' } })
  expect(written.isOk()).toBe(true)
  expect((await storage.write({ entries: [entry(3)] })).isOk()).toBe(true)
  await storage.close()
  expect(events).toEqual(['disk-full', 'disk-has-room', 'disk-full', 'disk-has-room', 'disk-full', 'disk-has-room'])
  const { recovered, storage: again } = (await Storage.open(await FolderDisk.create(folder), () => 'other'))._unsafeUnwrap()
  await again.close()
  expect(recovered.entries.map(({ index }) => index)).toEqual([1, 2, 3])
})

// If a snapshot covered record lines that exist only in memory, a restart would lose them, because the log is compacted.
test('record lines stay in memory while the disk is full, and sync reports that no snapshot may cover them yet', () => {
  const lines: RecordLine[] = []
  let head: RecordHead = { sequence: 0, digest: GENESIS_DIGEST }
  for (let at = 0; at < 60; at++) {
    const line = chainedRecordLine(head, { kind: TransactionKind.AcceptJob, at, job: `job-${at}`, account: 'Näckrosgården' })
    lines.push(line)
    head = line
  }
  const store = RecordStore.open(folder, { segmentBytes: 2_000 })._unsafeUnwrap()
  store.append(lines.slice(0, 5))
  disk.freeBytes = 333
  for (const line of lines.slice(5, 40)) store.append([line])
  expect(store.sync()).toBe(false)
  store.append(lines.slice(40))
  disk.freeBytes = Infinity
  expect(store.sync()).toBe(true)
  expect([...store.linesFrom(1)]).toEqual(lines.map(({ text }) => text))
  store.close()
  const again = RecordStore.open(folder, { segmentBytes: 2_000 })._unsafeUnwrap()
  expect([...again.linesFrom(1)]).toEqual(lines.map(({ text }) => text))
  expect(again.gaps).toEqual([])
  again.close()
  expect(readFileSync(join(folder, 'record', 'segment-000000000001.jsonl'), 'utf8')).toContain('job-0')
})
