/** Logs requests that this process refuses itself, because no leader replied: no other process logs them. */
import type { Logger, LogFields } from '../logging'

/** Further refusals in the same second are counted in the next line. */
const MAX_LINES_PER_SECOND = 10
const SECOND_MILLISECONDS = 1_000

/** Writes a limited number of lines per second. */
export class RefusalLog {
  private windowStartedAt = -Infinity
  private linesInWindow = 0
  private omitted = 0

  private constructor (private readonly logger: Logger) {}

  /**
   * Creates the log.
   * @param logger - where the lines go
   * @returns the log
   */
  static create (logger: Logger): RefusalLog {
    return new RefusalLog(logger)
  }

  /**
   * Logs one refusal.
   * @param fields - the request, the verdict, and the last known leader
   */
  log (fields: LogFields): void {
    const now = performance.now()
    if (now - this.windowStartedAt >= SECOND_MILLISECONDS) {
      this.windowStartedAt = now
      this.linesInWindow = 0
    }
    if (this.linesInWindow >= MAX_LINES_PER_SECOND) { this.omitted += 1; return }
    this.linesInWindow += 1
    this.logger.warn('request-refused', this.omitted > 0 ? { ...fields, leftOut: this.omitted } : fields)
    this.omitted = 0
  }
}
