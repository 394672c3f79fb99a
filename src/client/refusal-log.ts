/** Lines for requests that this process refuses, or gives up on, by itself: nobody else writes of them. */
import type { Logger, LogFields } from '../logging'

/** Most lines in a second; the rest is counted in the next line. */
const LINES_PER_SECOND = 10
const SECOND_MILLISECONDS = 1_000

/** Writes a bounded number of lines. */
export class RefusalLog {
  private secondBegan = -Infinity
  private written = 0
  private left = 0

  private constructor (private readonly logger: Logger) {}

  /**
   * Makes the log.
   * @param logger - where the lines go
   * @returns the log
   */
  static create (logger: Logger): RefusalLog {
    return new RefusalLog(logger)
  }

  /**
   * Notes one refusal.
   * @param fields - the request, the verdict, and what was known of the leader
   */
  note (fields: LogFields): void {
    const now = performance.now()
    if (now - this.secondBegan >= SECOND_MILLISECONDS) {
      this.secondBegan = now
      this.written = 0
    }
    if (this.written >= LINES_PER_SECOND) { this.left += 1; return }
    this.written += 1
    this.logger.warn('request-refused', this.left > 0 ? { ...fields, leftOut: this.left } : fields)
    this.left = 0
  }
}
