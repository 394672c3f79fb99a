/** Share of the lease kept back for ending tasks, and for clocks that run at different rates. */
export const LEASE_MARGIN_SHARE = 0.25
/** Heartbeats whose sending times are remembered. */
const MAX_TRACKED_HEARTBEATS = 64

/** A lease on the worker, by a monotonic clock. All times in milliseconds of that clock. */
export interface Lease {
  /** Length that the leader gives, 0 before its welcome. */
  readonly durationMilliseconds: number
  /** Sequence of the last heartbeat sent. */
  readonly sequence: number
  readonly sentAt: ReadonlyMap<number, number>
  /** The leader declares the worker lost no earlier than this. */
  readonly endsAt: number
}

/** The lease before the first welcome. */
export const noLease: Lease = { durationMilliseconds: 0, sequence: 0, sentAt: new Map(), endsAt: -Infinity }

/**
 * Notes that a heartbeat is being sent.
 * @param lease - the lease
 * @param now - the time of sending
 * @returns the lease, whose sequence the heartbeat carries
 */
export function recordHeartbeat (lease: Lease, now: number): Lease {
  const sequence = lease.sequence + 1
  const kept = [...lease.sentAt].filter(([number]) => number > sequence - MAX_TRACKED_HEARTBEATS)
  return { ...lease, sequence, sentAt: new Map([...kept, [sequence, now]]) }
}

/**
 * Takes a renewal in: the lease runs from the time at which that heartbeat was sent, and is never cut.
 * @param lease - the lease
 * @param sequence - the heartbeat that the leader answers
 * @returns the extended lease; the same one for an unknown sequence
 */
export function renew (lease: Lease, sequence: number): Lease {
  const sentAt = lease.sentAt.get(sequence)
  if (sentAt === undefined) return lease
  const later = [...lease.sentAt].filter(([number]) => number >= sequence)
  return { ...lease, sentAt: new Map(later), endsAt: Math.max(lease.endsAt, sentAt + lease.durationMilliseconds) }
}

/**
 * Tells when tasks must begin to end, so that nothing runs when the leader may start them elsewhere.
 * @param lease - the lease
 * @returns the time, in milliseconds of the monotonic clock
 */
export function stopTasksAt (lease: Lease): number {
  return lease.endsAt - lease.durationMilliseconds * LEASE_MARGIN_SHARE
}
