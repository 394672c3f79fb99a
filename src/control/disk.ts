/**
 * The one data folder of a control host, behind an interface that tests replace by a disk that loses what was not synced.
 */
import { mkdir, open, readdir, readFile, rename, rm, type FileHandle } from 'node:fs/promises'
import { join } from 'node:path'

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
  constructor (private readonly handle: FileHandle) {}

  async append (data: Uint8Array): Promise<void> {
    let written = 0
    while (written < data.length) written += (await this.handle.write(data, written)).bytesWritten
  }

  async sync (): Promise<void> { await this.handle.datasync() }
  async close (): Promise<void> { await this.handle.close() }
}

/** A folder of the file system. */
export class FolderDisk implements Disk {
  private constructor (private readonly folder: string) {}

  /**
   * Makes the folder where it is missing.
   * @param folder - path of the folder
   * @returns its files
   */
  static async create (folder: string): Promise<FolderDisk> {
    await mkdir(folder, { recursive: true })
    return new FolderDisk(folder)
  }

  async list (): Promise<string[]> { return await readdir(this.folder) }
  async read (name: string): Promise<Uint8Array> { return await readFile(join(this.folder, name)) }

  async replace (name: string, data: readonly Uint8Array[]): Promise<void> {
    const beside = join(this.folder, `${name}.new`)
    const handle = await open(beside, 'w')
    try {
      const file = new FolderFile(handle)
      for (const part of data) await file.append(part)
      await handle.sync()
    } finally { await handle.close() }
    await rename(beside, join(this.folder, name))
    await this.syncFolder()
  }

  async open (name: string): Promise<DiskFile> {
    const handle = await open(join(this.folder, name), 'a')
    await this.syncFolder()
    return new FolderFile(handle)
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
