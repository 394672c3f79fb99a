/** Counts what limits refused, and logs it in a bounded number of lines. */
import type { LogFields } from '../logging'
import type { LimitKind } from './limits'

/** Shortest time between two lines, in milliseconds. */
const LINE_INTERVAL_MILLISECONDS = 1_000

/** What a limit refused at a server. */
export interface LimitCount {
  readonly endpoint: string
  readonly limit: LimitKind
  readonly count: number
}

/** Writes a log line. */
export type WriteLine = (event: string, fields: LogFields) => void

/** The counts of one process. */
export class LimitLog {
  private readonly totals = new Map<string, { endpoint: string, limit: LimitKind, count: number, logged: number }>()
  private timer: NodeJS.Timeout | undefined

  private constructor (private readonly write: WriteLine, private readonly state: () => LogFields) {}

  /**
   * Creates the log.
   * @param write - writes a line
   * @param state - fields of each line that describe the process
   * @returns the log
   */
  static create (write: WriteLine, state: () => LogFields): LimitLog {
    return new LimitLog(write, state)
  }

  /** All counts since the start of the process. */
  get counts (): LimitCount[] {
    return [...this.totals.values()].map(({ endpoint, limit, count }) => ({ endpoint, limit, count }))
  }

  /**
   * Counts a refused request or a closed connection.
   * @param endpoint - name of the server
   * @param limit - the limit
   */
  count (endpoint: string, limit: LimitKind): void {
    const key = `${endpoint} ${limit}`
    const total = this.totals.get(key) ?? { endpoint, limit, count: 0, logged: 0 }
    total.count += 1
    this.totals.set(key, total)
    this.timer ??= setTimeout(() => { this.writeLines() }, LINE_INTERVAL_MILLISECONDS).unref()
  }

  private writeLines (): void {
    this.timer = undefined
    const refused: Record<string, Record<string, number>> = {}
    for (const total of this.totals.values()) {
      if (total.count === total.logged) continue
      refused[total.endpoint] = { ...refused[total.endpoint], [total.limit]: total.count - total.logged }
      total.logged = total.count
    }
    this.write('limits-applied', { refused, ...this.state() })
  }
}
