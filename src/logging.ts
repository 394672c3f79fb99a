import loglevel, { type LogLevelDesc } from 'loglevel'

/** Fields of a log line besides time, level, role and event. */
export type LogFields = Readonly<Record<string, unknown>>

/** Writes one log line. The event is a short constant name; everything variable is in the fields. */
export type WriteEvent = (event: string, fields?: LogFields) => void

/** The logger of one role. */
export interface Logger {
  readonly debug: WriteEvent
  readonly info: WriteEvent
  readonly warn: WriteEvent
  readonly error: WriteEvent
}

/** Destination of log lines: standard output, or a substitute in tests. */
export interface LineSink {
  /** Writes text; returns false when the caller should wait for the drain event before writing more. */
  readonly write: (text: string) => boolean
  readonly once: (event: 'drain', listener: () => void) => unknown
}

/** Upper limit on buffered lines. Near the limit only warnings and errors are buffered, at the limit all lines are dropped. */
const MAX_WAITING_LINES = 2_000
/** Share of the buffer that is reserved for warnings and errors. */
const RESERVED_SHARE = 0.25

const importantLevels: ReadonlySet<string> = new Set(['warn', 'error'])

/** Writes lines to a sink without ever blocking the process: while the reader of the sink is stalled, lines beyond the buffer are dropped and counted. */
export class LineBuffer {
  private readonly waiting: string[] = []
  private readonly dropped = new Map<string, number>()
  private blocked = false

  private constructor (private readonly sink: LineSink) {}

  /**
   * Creates a buffer.
   * @param sink - destination of the lines
   * @returns the buffer
   */
  static create (sink: LineSink): LineBuffer {
    return new LineBuffer(sink)
  }

  /**
   * Writes or buffers one line.
   * @param level - its level
   * @param text - the line, including the newline
   */
  add (level: string, text: string): void {
    if (!this.blocked) { this.write(text); return }
    const limit = importantLevels.has(level) ? MAX_WAITING_LINES : MAX_WAITING_LINES * (1 - RESERVED_SHARE)
    if (this.waiting.length < limit) this.waiting.push(text)
    else this.dropped.set(level, (this.dropped.get(level) ?? 0) + 1)
  }

  private write (text: string): void {
    if (this.sink.write(text)) return
    this.blocked = true
    this.sink.once('drain', () => { this.flush() })
  }

  private flush (): void {
    this.blocked = false
    const counted = Object.fromEntries(this.dropped)
    if (this.dropped.size > 0) this.waiting.push(formatLine('warn', 'process', 'lines-dropped', { counted }))
    this.dropped.clear()
    while (!this.blocked) {
      const text = this.waiting.shift()
      if (text === undefined) return
      this.write(text)
    }
  }
}

const output = LineBuffer.create(process.stdout)

function formatLine (level: string, role: string, event: string, fields: LogFields = {}): string {
  const head = { time: new Date().toISOString(), level, role, event }
  // Spread twice: first so that the head is at the start of the line, then so that no field can override it.
  return `${JSON.stringify({ ...head, ...fields, ...head })}\n`
}

/**
 * Creates the logger of a role. Each call writes one JSON line to standard output.
 * @param role - the role, or "process" for events of no particular role
 * @param level - the lowest level that is written
 * @returns the logger
 */
export function createLogger (role: string, level: LogLevelDesc = 'info'): Logger {
  const logger = loglevel.getLogger(role)
  logger.methodFactory = (method) => (event: string, fields?: LogFields) => { output.add(method, formatLine(method, role, event, fields)) }
  logger.setLevel(level, false)
  return {
    debug: (event, fields) => logger.debug(event, fields),
    info: (event, fields) => logger.info(event, fields),
    warn: (event, fields) => logger.warn(event, fields),
    error: (event, fields) => logger.error(event, fields)
  }
}
