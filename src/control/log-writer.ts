/**
 * Group commit for the output of the agreement core: everything added while one sync is in progress is written with the
 * next one. Messages that depend on durable state are sent only after the sync that covers it.
 */
import type { LogEntry, HardState, AgreementMessage, Output } from '../core/agreement'
import type { Batch, Snapshot, Storage, StorageError } from './storage'

/** Callbacks of the log writer. */
export interface LogWriterHandlers {
  send (message: AgreementMessage): void
  /** All output up to this entry has been synced. */
  synced (entry: LogEntry): void
  failed (error: StorageError): void
}

/** Batches entries, hard state and snapshots, and writes one batch at a time to storage. */
export class LogWriter {
  private entries: LogEntry[] = []
  private hardState?: HardState
  private snapshot?: Snapshot
  private afterSync: AgreementMessage[] = []
  private writing = false
  private idleWaiters: Array<() => void> = []

  private constructor (private readonly storage: Storage, private readonly handlers: LogWriterHandlers) {}

  /**
   * @param storage - where batches are written
   * @param handlers - called as batches are synced
   * @returns a writer with an empty queue
   */
  static create (storage: Storage, handlers: LogWriterHandlers): LogWriter {
    return new LogWriter(storage, handlers)
  }

  /**
   * Adds the output of one step to the next batch. A snapshot from the leader discards the entries that are not written yet.
   * @param output - the output of the step
   */
  add (output: Output): void {
    if (output.restore !== undefined) {
      this.entries = []
      this.snapshot = { head: output.restore.head, data: output.restore.data }
    }
    for (const entry of output.append) this.entries.push(entry)
    this.hardState = output.hardState ?? this.hardState
    for (const message of output.afterSync) this.afterSync.push(message)
  }

  /** Writes batches until the queue is empty. Calls during a write return at once, because the running loop also writes what was added. */
  async write (): Promise<void> {
    if (this.writing) return
    this.writing = true
    while (this.hasPendingOutput && await this.writeBatch());
    this.writing = false
    for (const resolve of this.idleWaiters.splice(0)) resolve()
  }

  /** Resolves when no write is in progress. */
  async whenIdle (): Promise<void> {
    if (this.writing) await new Promise<void>((resolve) => { this.idleWaiters.push(resolve) })
  }

  /** Whether there is data to write or a message to send after a sync. */
  get hasPendingOutput (): boolean {
    return this.afterSync.length > 0 || needsSync(this.batch)
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
    if (needsSync(batch)) {
      const written = await this.storage.write(batch)
      if (written.isErr()) { this.handlers.failed(written.error); return false }
    }
    for (const message of afterSync) this.handlers.send(message)
    const last = batch.entries.at(-1)
    if (last !== undefined) this.handlers.synced(last)
    return true
  }
}

function needsSync (batch: Batch): boolean {
  return batch.entries.length > 0 || batch.hardState !== undefined || batch.snapshot !== undefined
}
