/** The reading of a worker's own clock that its agent follows. */

/** Greatest advance beyond the elapsed time that a single reading may show, in milliseconds: a host may have been suspended. */
const MAX_LEAP_MILLISECONDS = 60_000

/** A reading of the clock. */
interface Reading {
  /** Milliseconds on the worker's clock. */
  readonly clock: number
  /** Monotonic milliseconds at this host. */
  readonly readAt: number
}

/** The followed clock, which is updated in place. */
export interface FollowedClock {
  /** Highest accepted value, in milliseconds. */
  clock: number
  /** When that value was first read, in monotonic milliseconds. */
  clockReadAt: number
  /** A reading that leapt ahead, until another one confirms it. */
  leap?: Reading | undefined
}

/**
 * Takes over a reading. One that leaps far ahead may be that of an odd answer, after which the real clock would seem to stand
 * still and the worker would be taken for lost; it counts only once the next reading goes on from it.
 * @param followed - the clock so far
 * @param clock - the reading, in milliseconds
 * @param now - monotonic milliseconds
 */
export function recordClock (followed: FollowedClock, clock: number, now: number): void {
  if (clock <= followed.clock) return
  const { leap } = followed
  const confirmed = leap !== undefined && clock > leap.clock && isPlausible(leap, clock, now)
  const plausible = isPlausible({ clock: followed.clock, readAt: followed.clockReadAt }, clock, now)
  followed.leap = confirmed || plausible ? undefined : { clock, readAt: now }
  if (!confirmed && !plausible) return
  followed.clock = clock
  followed.clockReadAt = now
}

function isPlausible (before: Reading, clock: number, now: number): boolean {
  return clock - before.clock <= now - before.readAt + MAX_LEAP_MILLISECONDS
}
