/** Decides when a connection is cut off because of its time or its rate. */
import { LimitKind, MIN_BYTES_PER_SECOND, RATE_WINDOW_MILLISECONDS, type RequestLimits } from './limits'

/** What is known of a connection. All times are monotonic milliseconds. */
export interface ConnectionView {
  /** Since when no request has been in progress; undefined while there is one. */
  readonly idleSince?: number | undefined
  /** When the first bytes of an incomplete header were noticed. */
  readonly headersSince?: number | undefined
  /** Bytes of the body in progress since a time; undefined where nothing more is expected or read. */
  readonly body?: { readonly since: number, readonly bytes: number } | undefined
  /** Bytes of a response that wait for the client, and since when the number has not changed. */
  readonly unsent?: { readonly bytes: number, readonly since: number } | undefined
  /** When the rest of a refused body has been discarded for long enough. */
  readonly remainderUntil?: number | undefined
}

const MILLISECONDS_PER_SECOND = 1_000

type Rule = (view: ConnectionView, limits: RequestLimits, now: number) => boolean

const rules: ReadonlyArray<readonly [LimitKind, Rule]> = [
  [LimitKind.HeaderTime, ({ headersSince }, { headerTimeoutMilliseconds }, now) => headersSince !== undefined && now - headersSince > headerTimeoutMilliseconds],
  [LimitKind.Idle, ({ idleSince, headersSince }, { idleTimeoutMilliseconds }, now) => headersSince === undefined && idleSince !== undefined && now - idleSince > idleTimeoutMilliseconds],
  [LimitKind.SlowSender, ({ body }, _limits, now) => body !== undefined && now - body.since >= RATE_WINDOW_MILLISECONDS && body.bytes < bytesIn(now - body.since)],
  [LimitKind.SlowReader, ({ unsent }, { idleTimeoutMilliseconds }, now) => unsent !== undefined && now - unsent.since > idleTimeoutMilliseconds && bytesIn(now - unsent.since) > unsent.bytes],
  [LimitKind.Remainder, ({ remainderUntil }, _limits, now) => remainderUntil !== undefined && now > remainderUntil]
]

/** Bytes that the minimum rate moves in a time. */
function bytesIn (milliseconds: number): number {
  return MIN_BYTES_PER_SECOND * milliseconds / MILLISECONDS_PER_SECOND
}

/**
 * Checks a connection.
 * @param view - what is known of it
 * @param limits - the limits of its server
 * @param now - monotonic milliseconds
 * @returns the limit for which it is cut off; undefined where it may go on
 */
export function limitReachedBy (view: ConnectionView, limits: RequestLimits, now: number): LimitKind | undefined {
  return rules.find(([, reached]) => reached(view, limits, now))?.[0]
}
