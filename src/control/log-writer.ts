/**
 * Writes what the core puts out: everything that comes up while one sync is under way goes into the next one.
 * Messages that promise something wait for the sync that covers them.
 */
import type { Entry, HardState, Message, Output } from '../core/agreement'
import type { Batch, Snapshot, Storage, StorageError } from './storage'

/** Whom the writer tells. */
export interface LogWriterHandlers {
  send (message: Message): void
  /** Everything put out up to this entry is synced. */
  synced (entry: Entry): void
  failed (error: StorageError): void
}

/** The queue before the disk. */
export class LogWriter {
  private entries: Entry[] = []
  private hardState?: HardState
  private snapshot?: Snapshot
  private afterSync: Message[] = []
  private writing = false
  private idle: Array<() => void> = []

  private constructor (private readonly storage: Storage, private readonly handlers: LogWriterHandlers) {}

  /**
   * @param storage - the data folder
   * @param handlers - whom to tell
   * @returns a writer with nothing to write
   */
  static create (storage: Storage, handlers: LogWriterHandlers): LogWriter {
    return new LogWriter(storage, handlers)
  }

  /**
   * Takes in what one step put out. A snapshot from the leader makes entries that are not written yet void.
   * @param output - the output of the step
   */
  add (output: Output): void {
    if (output.restore !== undefined) {
      this.entries = []
      this.snapshot = { head: output.restore.head, data: output.restore.data }
    }
    this.entries.push(...output.append)
    this.hardState = output.hardState ?? this.hardState
    this.afterSync.push(...output.afterSync)
  }

  /** Writes until nothing is left. Calls while it writes have no effect: the write under way goes on with what was added. */
  async write (): Promise<void> {
    if (this.writing) return
    this.writing = true
    while (this.somethingToWrite && await this.writeBatch());
    this.writing = false
    for (const resolve of this.idle.splice(0)) resolve()
  }

  /** Waits until no write is under way. */
  async whenIdle (): Promise<void> {
    if (this.writing) await new Promise<void>((resolve) => { this.idle.push(resolve) })
  }

  /** Whether anything waits to be written or to be sent after a sync. */
  get somethingToWrite (): boolean {
    return this.afterSync.length > 0 || somethingToSync(this.batch)
  }

  private get batch (): Batch {
    const { entries, hardState, snapshot } = this
    return { entries, hardState, snapshot }
  }

  private async writeBatch (): Promise<boolean> {
    const { batch, afterSync } = this
    this.entries = []
    this.hardState = undefined
    this.snapshot = undefined
    this.afterSync = []
    if (somethingToSync(batch)) {
      const written = await this.storage.write(batch)
      if (written.isErr()) { this.handlers.failed(written.error); return false }
    }
    for (const message of afterSync) this.handlers.send(message)
    const last = batch.entries.at(-1)
    if (last !== undefined) this.handlers.synced(last)
    return true
  }
}

function somethingToSync (batch: Batch): boolean {
  return batch.entries.length > 0 || batch.hardState !== undefined || batch.snapshot !== undefined
}
