/** What all HTTP servers of a process share: the bytes that their connections may hold, and the counts of refusals. */
import { readFileSync } from 'node:fs'
import type { Logger } from '../logging'
import { holdersToClose } from './held-bytes'
import { LimitLog } from './limit-log'
import { LimitKind, MAX_REMAINDERS, processLimitsOf, type ProcessLimits } from './limits'
import { ServerGuard, type GuardOptions } from './server-guard'

/** Size of the process, as far as it is known. */
export interface ProcessSize {
  readonly memoryMegabytes?: number | undefined
  readonly descriptors?: number | undefined
}

/** Interval at which times and rates are checked, in milliseconds. */
const SWEEP_MILLISECONDS = 500
/** Share of the held bytes from which on little is received before a request is known to be allowed. */
const PRESSURE_SHARE = 1 / 2
/** Pause after a search for connections to close that found none, in milliseconds. */
const SEARCH_PAUSE_MILLISECONDS = 50

/** The limits of one process. */
export class HttpLimits {
  /** Counts what was refused. */
  readonly log: LimitLog
  private readonly guards = new Set<ServerGuard>()
  private held = 0
  private timer: NodeJS.Timeout | undefined
  private nextSearchAt = 0
  private remainders = 0

  private constructor (readonly limits: ProcessLimits, logger: Pick<Logger, 'warn'>) {
    this.log = LimitLog.create(logger.warn, () => ({ heldBytes: this.held, maxHeldBytes: limits.heldBytes }))
  }

  /**
   * Creates the limits.
   * @param size - size of the process; the system's own limit on descriptors counts too
   * @param logger - writes what was refused
   * @returns the limits
   */
  static create (size: ProcessSize, logger: Pick<Logger, 'warn'>): HttpLimits {
    const { memoryMegabytes, descriptors } = size
    const allowed = Math.min(descriptors ?? Infinity, openFilesAllowed() ?? Infinity)
    return new HttpLimits(processLimitsOf(memoryMegabytes, Number.isFinite(allowed) ? allowed : undefined), logger)
  }

  /** Bytes of requests and unread responses that all connections hold now. */
  get heldBytes (): number { return this.held }

  /** Whether so much is held that unknown callers get less. */
  get isUnderPressure (): boolean { return this.held > this.limits.heldBytes * PRESSURE_SHARE }

  /** Number of open connections. */
  get connections (): number { return [...this.guards].reduce((sum, { connectionCount }) => sum + connectionCount, 0) }

  /**
   * Creates the guard of a server.
   * @param options - see {@link GuardOptions}
   * @returns the guard
   */
  guard (options: GuardOptions): ServerGuard {
    return new ServerGuard(this, options)
  }

  /** Begins to check the connections of a listening server. */
  add (guard: ServerGuard): void {
    this.guards.add(guard)
    this.timer ??= setInterval(() => { this.sweep() }, SWEEP_MILLISECONDS).unref()
  }

  /** Ends the checks of a closed server. */
  remove (guard: ServerGuard): void {
    this.guards.delete(guard)
    if (this.guards.size > 0) return
    clearInterval(this.timer)
    this.timer = undefined
  }

  /** Accounts for bytes that a connection holds, or no longer holds; closes other connections where it is too much. */
  readonly charge = (bytes: number): void => {
    this.held += bytes
    if (bytes > 0 && this.held > this.limits.heldBytes) this.relieve(performance.now())
  }

  /** Reserves the discarding of the rest of a body; false where {@link MAX_REMAINDERS} connections do. */
  readonly beginRemainder = (): boolean => {
    if (this.remainders >= MAX_REMAINDERS) return false
    this.remainders += 1
    return true
  }

  /** Ends such a reservation. */
  readonly endRemainder = (): void => { this.remainders -= 1 }

  private relieve (now: number): void {
    if (now < this.nextSearchAt) return
    const guardOf = new Map([...this.guards].flatMap((guard) => [...guard.openConnections].map((connection) => [connection, guard])))
    const chosen = holdersToClose([...guardOf.keys()], this.limits.heldBytes, now)
    if (chosen.length === 0) this.nextSearchAt = now + SEARCH_PAUSE_MILLISECONDS
    for (const connection of chosen) guardOf.get(connection)?.cutOff(connection, LimitKind.Memory)
  }

  private sweep (): void {
    const now = performance.now()
    for (const guard of this.guards) guard.sweep(now)
  }
}

/** The system's limit on open files of this process; undefined where the system does not state it. */
function openFilesAllowed (): number | undefined {
  try {
    const [, allowed] = /^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8')) ?? []
    return allowed === undefined ? undefined : Number(allowed)
  } catch {
    return undefined
  }
}
