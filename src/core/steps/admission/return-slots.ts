/**
 * Return slots of callers that were turned away: when each may return, and the room that is kept for it. They are not in the
 * log: after a leader change callers get a new time.
 */
import { MAX_TURN_AWAY_MILLISECONDS, MIN_TURN_AWAY_MILLISECONDS, SPREAD_SHARE, UNKNOWN_RATE_MILLISECONDS } from './retry-times'
import { addWork, noWork, type WorkSize } from './waiting-work'

/** Time after which the room of a caller that has not returned is given to others, in milliseconds: `Retry-After` is rounded up to a second, and callers return late. */
const GRACE_MILLISECONDS = 5_000
/** Limit of the slots of one account in one queue; further callers get a time without a slot. */
const MAX_SLOTS = 2_000
/** Spreads consecutive callers evenly over a range, however many there are. */
const GOLDEN_RATIO = 0.618_033_988_749_895

/** The slot of one caller. */
export interface ReturnSlot {
  /** Milliseconds since the epoch. */
  readonly dueAt: number
  readonly size: WorkSize
}

/** Slots by account and queue, then by the identifier of the job. */
export class ReturnSlots {
  private readonly slots = new Map<string, Map<string, ReturnSlot>>()
  private readonly reserved = new Map<string, WorkSize>()
  /** Number of times given, which spreads callers. */
  private given = 0

  private constructor () {}

  /**
   * Creates the slots of a new leader.
   * @returns no slots
   */
  static create (): ReturnSlots {
    return new ReturnSlots()
  }

  /** The slot of a caller, unless it returned too late. */
  slotOf (key: string, identifier: string, now: number): ReturnSlot | undefined {
    const slot = this.slots.get(key)?.get(identifier)
    return slot === undefined || isExpired(slot, now) ? undefined : slot
  }

  /** Room that is kept for callers other than this one. */
  reservedFor (key: string, identifier: string): WorkSize {
    const own = this.slots.get(key)?.get(identifier)
    const all = this.reserved.get(key) ?? noWork
    return own === undefined ? all : addWork(all, own.size, -1)
  }

  /**
   * Gives a caller a slot, or a later one where it returned in its slot and there is no room yet.
   * @param key - account and queue
   * @param identifier - identifier of the job
   * @param size - size of the job
   * @param missing - work that has to drain before there is room, including that of callers with earlier slots
   * @param perSecond - work that drains per second
   * @param now - milliseconds since the epoch
   * @returns milliseconds until the slot
   */
  assign (key: string, identifier: string, size: WorkSize, missing: WorkSize, perSecond: WorkSize, now: number): number {
    const known = this.slotOf(key, identifier, now)
    if (known !== undefined && known.dueAt > now) return Math.max(MIN_TURN_AWAY_MILLISECONDS, known.dueAt - now)
    const milliseconds = known === undefined ? this.spread(drainTime(missing, perSecond)) : MIN_TURN_AWAY_MILLISECONDS
    this.release(key, identifier)
    const slots = this.slots.get(key) ?? new Map<string, ReturnSlot>()
    if (slots.size >= MAX_SLOTS) return milliseconds
    slots.set(identifier, { dueAt: now + milliseconds, size })
    this.slots.set(key, slots)
    this.reserved.set(key, addWork(this.reserved.get(key) ?? noWork, size))
    return milliseconds
  }

  /** Removes a caller's slot, because its job is admitted. */
  release (key: string, identifier: string): void {
    const slots = this.slots.get(key)
    const slot = slots?.get(identifier)
    if (slots === undefined || slot === undefined) return
    slots.delete(identifier)
    if (slots.size > 0) { this.reserved.set(key, addWork(this.reserved.get(key) ?? noWork, slot.size, -1)); return }
    this.slots.delete(key)
    this.reserved.delete(key)
  }

  /** Removes the slots of callers that have not returned; called about once a second. */
  expire (now: number): void {
    for (const [key, slots] of [...this.slots]) {
      for (const [identifier, slot] of [...slots]) if (isExpired(slot, now)) this.release(key, identifier)
    }
  }

  /** Forgets all slots. */
  clear (): void {
    this.slots.clear()
    this.reserved.clear()
  }

  private spread (milliseconds: number): number {
    this.given += 1
    const position = (this.given * GOLDEN_RATIO) % 1
    return Math.round(Math.max(MIN_TURN_AWAY_MILLISECONDS, milliseconds * (1 + SPREAD_SHARE * (position - 0.5))))
  }
}

function isExpired ({ dueAt }: ReturnSlot, now: number): boolean {
  return now > dueAt + GRACE_MILLISECONDS
}

/** Milliseconds until the work has drained. */
function drainTime (missing: WorkSize, perSecond: WorkSize): number {
  const times = (['jobs', 'tasks', 'bytes'] as const).filter((dimension) => missing[dimension] > 0)
    .map((dimension) => perSecond[dimension] > 0 ? 1_000 * missing[dimension] / perSecond[dimension] : UNKNOWN_RATE_MILLISECONDS)
  return Math.min(MAX_TURN_AWAY_MILLISECONDS, Math.max(MIN_TURN_AWAY_MILLISECONDS, ...times))
}
