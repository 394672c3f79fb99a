/**
 * When callers may come back while no leader answers. Load: all control hosts lose power for several seconds, while callers
 * have a few tries each. If all are told to return within a second, they use up their tries before a leader can exist.
 */

/** Shortest time after which a retry can help: an election takes about this long. */
const MIN_RETRY_MILLISECONDS = 1_000
/** Longest time for which a caller is sent away, so that a long outage does not delay its return without limit. */
const MAX_RETRY_MILLISECONDS = 5_000
/** Width of the range over which the returns are spread, as a share of the expected time. */
const SPREAD_SHARE = 0.5

/**
 * Computes when a caller may try again during an outage: after as long as it has lasted so far, since the longer an outage
 * has lasted, the longer it is likely to last.
 * @param ageMilliseconds - time since calls to the leader began to fail
 * @param random - a number from 0 to 1, which spreads the callers that were refused at the same time
 * @returns milliseconds
 */
export function retryAfterOutage (ageMilliseconds: number, random: number): number {
  const expected = ageMilliseconds * (1 + SPREAD_SHARE * (random - 0.5))
  return Math.round(Math.min(MAX_RETRY_MILLISECONDS, Math.max(MIN_RETRY_MILLISECONDS, expected)))
}
