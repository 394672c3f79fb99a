/**
 * Which workers a gang should use, by their learned pace. Answers loads on uneven workers: work that would be late on a slow
 * worker keeps to the others, and work that can afford it goes to slow workers first, so that the others stay free.
 */
import type { WorkerIncarnation } from './model'
import { CompletionForecast, forecastAtPace, type WaitingGang } from './waiting-gangs'

/** The slow workers among those that a round considers. */
export class PacePreference {
  private readonly slowestPace: number

  private constructor (private readonly slow: ReadonlyMap<string, number>) {
    this.slowestPace = Math.min(1, ...slow.values())
  }

  /**
   * Creates the preference for a round.
   * @param slow - pace of the slow workers, by incarnation; none are preferred or avoided where it is empty
   * @returns the preference
   */
  static of (slow: ReadonlyMap<string, number>): PacePreference {
    return new PacePreference(slow)
  }

  /** Whether a gang would complete its job in time at the usual pace, but not on the slow workers. */
  needsUsualPace (waiting: WaitingGang, now: number): boolean {
    return this.slow.size > 0 && forecastAtPace(waiting, now, 1) === CompletionForecast.OnTime && forecastAtPace(waiting, now, this.slowestPace) !== CompletionForecast.OnTime
  }

  /** Removes the slow workers from groups of workers. Groups without any are left as they are. */
  withoutSlow (groups: readonly WorkerIncarnation[][]): WorkerIncarnation[][] {
    return this.slow.size === 0 ? [...groups] : groups.map((group) => group.filter(({ incarnation }) => !this.slow.has(incarnation)))
  }

  /**
   * Orders groups of workers by preference. Members of a gang progress at the pace of the slowest, so workers of the same
   * pace are preferred to a mixture. The levels keep their order: work away from its rack or its data takes longer than on a
   * slow worker.
   * @param waiting - the gang
   * @param levels - groups of workers by level, the preferred level first
   * @param now - milliseconds since the epoch
   * @returns the parts of the groups to try, in order
   */
  order (waiting: WaitingGang, levels: ReadonlyArray<readonly WorkerIncarnation[][]>, now: number): WorkerIncarnation[][] {
    return levels.flatMap((groups) => this.orderLevel(waiting, groups, now))
  }

  private orderLevel (waiting: WaitingGang, groups: readonly WorkerIncarnation[][], now: number): WorkerIncarnation[][] {
    if (this.slow.size === 0) return [...groups]
    const usual = this.withoutSlow(groups)
    if (this.needsUsualPace(waiting, now)) return [...usual, ...groups]
    const slow = groups.map((group) => group.filter(({ incarnation }) => this.slow.has(incarnation)))
    return waiting.gang.size === 1 ? [...slow, ...groups] : [...usual, ...slow, ...groups]
  }
}
