/**
 * When each account last started work, as the leader decided. Accounts that have nothing, or whose work is overdue, take
 * turns by it: by age alone, an account with a backlog of old work would go before the others again and again.
 */
import type { StepState } from './model'
import { overdueAt } from './overdue'
import type { StartGang } from './transactions'

/** Times in milliseconds since the epoch, by account. */
export interface StartTimes {
  /** Of the last start. */
  readonly all: ReadonlyMap<string, number>
  /** Of the last start of work that was overdue. */
  readonly overdue: ReadonlyMap<string, number>
}

/** Records the starts that a leader decides. */
export class AccountStarts implements StartTimes {
  readonly all = new Map<string, number>()
  readonly overdue = new Map<string, number>()

  private constructor () {}

  /**
   * Creates the record of a new leader, which knows of no starts.
   * @returns the empty record
   */
  static create (): AccountStarts {
    return new AccountStarts()
  }

  /** Records a start. */
  record (state: StepState, start: StartGang): void {
    const job = state.jobs.get(start.job)
    if (job === undefined) return
    this.all.set(job.account, start.at)
    if (start.at >= overdueAt(job)) this.overdue.set(job.account, start.at)
  }

  /** Forgets all starts, and with them accounts that the document no longer has. */
  clear (): void {
    this.all.clear()
    this.overdue.clear()
  }
}
