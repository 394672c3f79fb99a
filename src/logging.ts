import loglevel, { type LogLevelDesc } from 'loglevel'

/** What a log line says besides time, level, role and event: identifiers, numbers, reasons. */
export type LogFields = Readonly<Record<string, unknown>>

/** Writes one log line: an event, a short fixed name, and its fields. */
export type WriteEvent = (event: string, fields?: LogFields) => void

/** A logger of one role. */
export interface Logger {
  readonly debug: WriteEvent
  readonly info: WriteEvent
  readonly warn: WriteEvent
  readonly error: WriteEvent
}

/** Where lines go: standard output, or what a test gives. */
export interface LineSink {
  /** Takes text, and tells whether more may follow at once. */
  readonly write: (text: string) => boolean
  readonly once: (event: 'drain', listener: () => void) => unknown
}

/** Lines that wait for a reader; beyond them debug and information lines are dropped first, then all. */
const WAITING_LINES_MOST = 2_000
/** Share of the waiting lines that only warnings and errors may use. */
const RESERVED_SHARE = 0.25

const importantLevels: ReadonlySet<string> = new Set(['warn', 'error'])

/** Hands lines to a sink and never waits for it: a reader that stands still costs lines, which are counted, and no time. */
export class LineBuffer {
  private readonly waiting: string[] = []
  private readonly dropped = new Map<string, number>()
  private blocked = false

  private constructor (private readonly sink: LineSink) {}

  /**
   * Makes a buffer.
   * @param sink - where the lines go
   * @returns the buffer
   */
  static create (sink: LineSink): LineBuffer {
    return new LineBuffer(sink)
  }

  /**
   * Takes one line.
   * @param level - its level
   * @param text - the line with its end
   */
  add (level: string, text: string): void {
    if (!this.blocked) { this.pass(text); return }
    const most = importantLevels.has(level) ? WAITING_LINES_MOST : WAITING_LINES_MOST * (1 - RESERVED_SHARE)
    if (this.waiting.length < most) this.waiting.push(text)
    else this.dropped.set(level, (this.dropped.get(level) ?? 0) + 1)
  }

  private pass (text: string): void {
    if (this.sink.write(text)) return
    this.blocked = true
    this.sink.once('drain', () => { this.flush() })
  }

  private flush (): void {
    this.blocked = false
    const counted = Object.fromEntries(this.dropped)
    if (this.dropped.size > 0) this.waiting.push(lineOf('warn', 'process', 'lines-dropped', { counted }))
    this.dropped.clear()
    while (!this.blocked) {
      const text = this.waiting.shift()
      if (text === undefined) return
      this.pass(text)
    }
  }
}

const output = LineBuffer.create(process.stdout)

function lineOf (level: string, role: string, event: string, fields: LogFields = {}): string {
  const head = { time: new Date().toISOString(), level, role, event }
  // The head comes first, and no field of an event may take its place.
  return `${JSON.stringify({ ...head, ...fields, ...head })}\n`
}

/**
 * Makes the logger of a role. Each call writes one JSON line to standard output.
 * @param role - the role, or "process" for what belongs to none
 * @param level - the least severe level that is written
 * @returns the logger
 */
export function createLogger (role: string, level: LogLevelDesc = 'info'): Logger {
  const logger = loglevel.getLogger(role)
  logger.methodFactory = (method) => (event: string, fields?: LogFields) => { output.add(method, lineOf(method, role, event, fields)) }
  logger.setLevel(level, false)
  return {
    debug: (event, fields) => logger.debug(event, fields),
    info: (event, fields) => logger.info(event, fields),
    warn: (event, fields) => logger.warn(event, fields),
    error: (event, fields) => logger.error(event, fields)
  }
}
