/** Decides which connections are closed first when a process holds too much for them, or has too many. */

/** What a connection holds and how long ago it last moved. */
export interface Holder {
  /** Bytes of requests and unread responses. */
  readonly heldBytes: number
  /** When it last sent or read something, in monotonic milliseconds. */
  readonly movedAt: number
  /** False while a complete request of it is handled: its outcome would become unknown. */
  readonly closable: boolean
}

/** Part of the limit that is in use after connections were closed, so that the next byte does not close another one. */
const TARGET_SHARE = 7 / 8
/** Time that counts as much as the bytes themselves, in milliseconds. */
const MOVE_MILLISECONDS = 1_000

/** Bytes, weighted by the time for which they have not moved. */
function burdenOf ({ heldBytes, movedAt }: Holder, now: number): number {
  return heldBytes * (1 + Math.max(0, now - movedAt) / MOVE_MILLISECONDS)
}

/**
 * Chooses the connections to close so that the others hold less than the limit. Connections that hold no more than an
 * equal share are closed only if closing the others is not enough.
 * @param holders - all connections
 * @param limitBytes - bytes that all may hold together
 * @param now - monotonic milliseconds
 * @returns the connections to close, those that hold the most and move the least first; empty while the limit is kept
 */
export function holdersToClose<Connection extends Holder> (holders: readonly Connection[], limitBytes: number, now: number): Connection[] {
  let held = holders.reduce((sum, { heldBytes }) => sum + heldBytes, 0)
  if (held <= limitBytes) return []
  const share = limitBytes / holders.length
  const chosen: Connection[] = []
  const candidates = holders.filter(({ closable, heldBytes }) => closable && heldBytes > 0)
    .map((holder) => ({ holder, over: holder.heldBytes > share, burden: burdenOf(holder, now) }))
    .sort((one, other) => Number(other.over) - Number(one.over) || other.burden - one.burden)
  for (const { holder } of candidates) {
    if (held <= limitBytes * TARGET_SHARE) break
    chosen.push(holder)
    held -= holder.heldBytes
  }
  return chosen
}

/** Part of the connections that is closed at once, so that a flood of new ones does not search all of them each time. */
const CLOSED_SHARE = 1 / 16

/**
 * Chooses the connections to close when there are too many.
 * @param holders - all connections
 * @param limit - connections that may be open
 * @param now - monotonic milliseconds
 * @returns the connections to close: those that hold bytes without moving, then those that have not moved for longest
 */
export function connectionsToClose<Connection extends Holder> (holders: readonly Connection[], limit: number, now: number): Connection[] {
  if (holders.length <= limit) return []
  const wanted = holders.length - limit + Math.floor(limit * CLOSED_SHARE)
  return holders.filter(({ closable }) => closable)
    .map((holder) => ({ holder, burden: (1 + holder.heldBytes / 1_024) * (now - holder.movedAt) }))
    .sort((one, other) => other.burden - one.burden)
    .slice(0, wanted)
    .map(({ holder }) => holder)
}
