/** Share of the lease reserved for ending tasks and for clocks that run at different rates. */
export const LEASE_MARGIN_SHARE = 0.25
/** Upper limit of heartbeats whose sending times are kept. */
const MAX_TRACKED_HEARTBEATS = 64

/** The lease on the worker. All times are milliseconds of a monotonic clock. */
export interface Lease {
  /** Duration stated by the leader, 0 before its welcome. */
  readonly durationMilliseconds: number
  /** Sequence of the last heartbeat sent. */
  readonly sequence: number
  /** Sending time of each recent heartbeat, by sequence. */
  readonly sentAt: ReadonlyMap<number, number>
  /** Earliest time at which the leader declares the worker lost. */
  readonly endsAt: number
}

/** The lease before the first welcome. */
export const noLease: Lease = { durationMilliseconds: 0, sequence: 0, sentAt: new Map(), endsAt: -Infinity }

/**
 * Records the sending of a heartbeat.
 * @param lease - the lease
 * @param now - the time of sending
 * @returns the updated lease, with the sequence of the heartbeat
 */
export function recordHeartbeat (lease: Lease, now: number): Lease {
  const sequence = lease.sequence + 1
  const kept = [...lease.sentAt].filter(([number]) => number > sequence - MAX_TRACKED_HEARTBEATS)
  return { ...lease, sequence, sentAt: new Map([...kept, [sequence, now]]) }
}

/**
 * Applies a renewal. The lease runs from the time at which the acknowledged heartbeat was sent and is never shortened.
 * @param lease - the lease
 * @param sequence - sequence of the acknowledged heartbeat
 * @returns the extended lease; the same one if the sequence is unknown
 */
export function renew (lease: Lease, sequence: number): Lease {
  const sentAt = lease.sentAt.get(sequence)
  if (sentAt === undefined) return lease
  const later = [...lease.sentAt].filter(([number]) => number >= sequence)
  return { ...lease, sentAt: new Map(later), endsAt: Math.max(lease.endsAt, sentAt + lease.durationMilliseconds) }
}

/**
 * Returns the time at which the agent starts to stop its tasks, so that none runs when the leader may start them elsewhere.
 * @param lease - the lease
 * @returns the time, in milliseconds of the monotonic clock
 */
export function stopTasksAt (lease: Lease): number {
  return lease.endsAt - lease.durationMilliseconds * LEASE_MARGIN_SHARE
}
