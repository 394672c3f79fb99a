/**
 * File operations in the data folder of a control host. The {@link Disk} interface lets tests use an in-memory disk that
 * loses unsynced writes on a crash.
 */
import { mkdir, open, readdir, readFile, rename, rm, type FileHandle } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'

/** Delay before a write to a full disk is retried: much shorter than an election, much longer than one attempt takes. */
const DISK_FULL_RETRY_MILLISECONDS = 200
const NO_SPACE_CODE = 'ENOSPC'

/** Called once when the disk becomes full, and once when writes succeed again. */
export type DiskListener = (event: 'disk-full' | 'disk-has-room') => void

/**
 * Tells whether an operation failed only because the disk is full, in which case it can be retried.
 * @param error - the error that the operation threw
 * @returns true for a full disk
 */
export function isDiskFull (error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === NO_SPACE_CODE
}

/** An append-only file. */
export interface DiskFile {
  /** Writes at the end of the file; the data is durable only after sync. */
  append (data: Uint8Array): Promise<void>
  sync (): Promise<void>
  close (): Promise<void>
}

/** The files of one folder. */
export interface Disk {
  list (): Promise<string[]>
  read (name: string): Promise<Uint8Array>
  /** Replaces a file atomically: writes and syncs a temporary file, renames it and syncs the folder. */
  replace (name: string, data: readonly Uint8Array[]): Promise<void>
  /** Opens a file for appending. If the file is new, its directory entry is synced. */
  open (name: string): Promise<DiskFile>
  /** Truncates a file and syncs it. */
  truncate (name: string, length: number): Promise<void>
  remove (name: string): Promise<void>
}

class FolderFile implements DiskFile {
  constructor (private readonly handle: FileHandle, private readonly retry: DiskFullRetry) {}

  /** Waits while the disk is full. Bytes that were already written stay in place, and the write continues after them. */
  async append (data: Uint8Array): Promise<void> {
    let written = 0
    while (written < data.length) written += (await this.retry.run(async () => await this.handle.write(data, written))).bytesWritten
  }

  async sync (): Promise<void> { await this.handle.datasync() }
  async close (): Promise<void> { await this.handle.close() }
}

/** Retries operations that fail on a full disk until they succeed. */
class DiskFullRetry {
  private full = false

  constructor (private readonly listener: DiskListener) {}

  async run<Value> (operation: () => Promise<Value>): Promise<Value> {
    for (;;) {
      try {
        const value = await operation()
        this.setFull(false)
        return value
      } catch (error) {
        if (!isDiskFull(error)) throw error
        this.setFull(true)
        await sleep(DISK_FULL_RETRY_MILLISECONDS)
      }
    }
  }

  private setFull (full: boolean): void {
    if (full === this.full) return
    this.full = full
    this.listener(full ? 'disk-full' : 'disk-has-room')
  }
}

/** A folder of the file system. */
export class FolderDisk implements Disk {
  private constructor (private readonly folder: string, private readonly retry: DiskFullRetry) {}

  /**
   * Opens a folder, and creates it if it does not exist.
   * @param folder - path of the folder
   * @param listener - called when the disk becomes full, and when it accepts writes again
   * @returns the opened folder
   */
  static async create (folder: string, listener: DiskListener = () => {}): Promise<FolderDisk> {
    await mkdir(folder, { recursive: true })
    return new FolderDisk(folder, new DiskFullRetry(listener))
  }

  async list (): Promise<string[]> { return await readdir(this.folder) }
  async read (name: string): Promise<Uint8Array> { return await readFile(join(this.folder, name)) }

  async replace (name: string, data: readonly Uint8Array[]): Promise<void> {
    const temporary = join(this.folder, `${name}.new`)
    const handle = await this.retry.run(async () => await open(temporary, 'w'))
    try {
      const file = new FolderFile(handle, this.retry)
      for (const part of data) await file.append(part)
      await handle.sync()
    } finally { await handle.close() }
    await rename(temporary, join(this.folder, name))
    await this.syncFolder()
  }

  async open (name: string): Promise<DiskFile> {
    const handle = await this.retry.run(async () => await open(join(this.folder, name), 'a'))
    await this.syncFolder()
    return new FolderFile(handle, this.retry)
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
