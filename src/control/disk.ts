/**
 * The one data folder of a control host, behind an interface that tests replace by a disk that loses what was not synced.
 */
import { mkdir, open, readdir, readFile, rename, rm, type FileHandle } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'

/** Pause before a full disk is tried again, in milliseconds: short against an election, long against the cost of a try. */
const FULL_MILLISECONDS = 200
/** The error code of a disk without room. */
const FULL = 'ENOSPC'

/** Told once when a disk has no room left, and once when it has room again. */
export type DiskListener = (event: 'disk-full' | 'disk-has-room') => void

/**
 * Tells whether an operation failed for want of room alone, so that it may be tried again.
 * @param error - what the operation failed with
 * @returns true for a full disk
 */
export function isFull (error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === FULL
}

/** A file that only grows. */
export interface DiskFile {
  /** Writes at the end; lasting only after sync. */
  append (data: Uint8Array): Promise<void>
  sync (): Promise<void>
  close (): Promise<void>
}

/** The files of one folder. */
export interface Disk {
  list (): Promise<string[]>
  read (name: string): Promise<Uint8Array>
  /** Puts a whole file in place: written beside it, synced, renamed, and the folder synced. */
  replace (name: string, data: readonly Uint8Array[]): Promise<void>
  /** Opens a file for appending; a new one is lasting at once. */
  open (name: string): Promise<DiskFile>
  /** Cuts a file and syncs it. */
  truncate (name: string, length: number): Promise<void>
  remove (name: string): Promise<void>
}

class FolderFile implements DiskFile {
  constructor (private readonly handle: FileHandle, private readonly room: Room) {}

  /** A full disk is waited for, as a slow one is: bytes that were written already stay where they are. */
  async append (data: Uint8Array): Promise<void> {
    let written = 0
    while (written < data.length) written += (await this.room.wait(async () => await this.handle.write(data, written))).bytesWritten
  }

  async sync (): Promise<void> { await this.handle.datasync() }
  async close (): Promise<void> { await this.handle.close() }
}

/** Repeats what failed for want of room until there is some. */
class Room {
  private full = false

  constructor (private readonly listener: DiskListener) {}

  async wait<Value> (operation: () => Promise<Value>): Promise<Value> {
    for (;;) {
      try {
        const value = await operation()
        this.tell(false)
        return value
      } catch (error) {
        if (!isFull(error)) throw error
        this.tell(true)
        await sleep(FULL_MILLISECONDS)
      }
    }
  }

  private tell (full: boolean): void {
    if (full === this.full) return
    this.full = full
    this.listener(full ? 'disk-full' : 'disk-has-room')
  }
}

/** A folder of the file system. */
export class FolderDisk implements Disk {
  private constructor (private readonly folder: string, private readonly room: Room) {}

  /**
   * Makes the folder where it is missing.
   * @param folder - path of the folder
   * @param listener - told when the disk is full, and when it has room again; nobody by default
   * @returns its files
   */
  static async create (folder: string, listener: DiskListener = () => {}): Promise<FolderDisk> {
    await mkdir(folder, { recursive: true })
    return new FolderDisk(folder, new Room(listener))
  }

  async list (): Promise<string[]> { return await readdir(this.folder) }
  async read (name: string): Promise<Uint8Array> { return await readFile(join(this.folder, name)) }

  async replace (name: string, data: readonly Uint8Array[]): Promise<void> {
    const beside = join(this.folder, `${name}.new`)
    const handle = await this.room.wait(async () => await open(beside, 'w'))
    try {
      const file = new FolderFile(handle, this.room)
      for (const part of data) await file.append(part)
      await handle.sync()
    } finally { await handle.close() }
    await rename(beside, join(this.folder, name))
    await this.syncFolder()
  }

  async open (name: string): Promise<DiskFile> {
    const handle = await this.room.wait(async () => await open(join(this.folder, name), 'a'))
    await this.syncFolder()
    return new FolderFile(handle, this.room)
  }

  async truncate (name: string, length: number): Promise<void> {
    const handle = await open(join(this.folder, name), 'r+')
    try {
      await handle.truncate(length)
      await handle.sync()
    } finally { await handle.close() }
  }

  async remove (name: string): Promise<void> { await rm(join(this.folder, name), { force: true }) }

  private async syncFolder (): Promise<void> {
    const handle = await open(this.folder, 'r')
    try { await handle.sync() } finally { await handle.close() }
  }
}
