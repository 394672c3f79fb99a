/** Times after which callers of queues are told to return. The time during an outage of control is in `src/client/outage-retry.ts`. */

/** While leadership moves, in milliseconds: less than an election, because the next leader may be known already. */
export const LEADER_RETRY_MILLISECONDS = 200
/** While no queue document is in force, in milliseconds: an operator has to submit one. */
export const NO_DOCUMENT_RETRY_MILLISECONDS = 1_000
/** Shortest time for which a caller is turned away, in milliseconds: `Retry-After` is in whole seconds. */
export const MIN_TURN_AWAY_MILLISECONDS = 1_000
/** Longest such time, in milliseconds: the rate at which work drains is not known for longer than about a minute ahead. */
export const MAX_TURN_AWAY_MILLISECONDS = 60_000
/** Such a time while nothing has drained yet, in milliseconds. */
export const UNKNOWN_RATE_MILLISECONDS = 5_000
/** Width of the range over which callers are spread that would get the same time, as a share of it. */
export const SPREAD_SHARE = 0.5
