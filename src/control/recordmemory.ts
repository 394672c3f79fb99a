import type { RecordLine } from '../core/index'

/** Where record lines go as their entries are committed. */
export interface RecordSink {
  append: (lines: readonly RecordLine[]) => void
  /** Lines from a sequence number on, in order. */
  from: (sequence: number) => Iterable<string>
}

/** Keeps the lines in memory. */
export class RecordMemory implements RecordSink {
  private readonly lines: RecordLine[] = []

  /**
   * Makes an empty one.
   * @returns the sink
   */
  static create (): RecordMemory {
    return new RecordMemory()
  }

  append (lines: readonly RecordLine[]): void {
    this.lines.push(...lines)
  }

  * from (sequence: number): Iterable<string> {
    for (const line of this.lines) if (line.sequence >= sequence) yield line.text
  }
}
