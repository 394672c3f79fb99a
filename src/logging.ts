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

function writeLine (level: string, role: string, event: string, fields: LogFields = {}): void {
  const head = { time: new Date().toISOString(), level, role, event }
  // The head comes first, and no field of an event may take its place.
  process.stdout.write(`${JSON.stringify({ ...head, ...fields, ...head })}\n`)
}

/**
 * Makes the logger of a role. Each call writes one JSON line to standard output.
 * @param role - the role, or "process" for what belongs to none
 * @param level - the least severe level that is written
 * @returns the logger
 */
export function createLogger (role: string, level: LogLevelDesc = 'info'): Logger {
  const logger = loglevel.getLogger(role)
  logger.methodFactory = (method) => (event: string, fields?: LogFields) => writeLine(method, role, event, fields)
  logger.setLevel(level, false)
  return {
    debug: (event, fields) => logger.debug(event, fields),
    info: (event, fields) => logger.info(event, fields),
    warn: (event, fields) => logger.warn(event, fields),
    error: (event, fields) => logger.error(event, fields)
  }
}
