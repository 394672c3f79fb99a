import type { ClientAccount } from './document'
import type { State } from './state'

/** Weight of a slot relative to an accelerator. */
const ACCELERATORS_PER_SLOT = 0.125

/** Each account's usage relative to its share, including allocations made in the current pass. */
export class FairShares {
  private readonly changedUsage = new Map<string, { accelerators: number, slots: number }>()
  private readonly accounts: ReadonlyMap<string, ClientAccount>

  private constructor (private readonly state: State) {
    this.accounts = new Map(state.configuration.document.clientAccounts.map((account) => [account.name, account]))
  }

  /**
   * Starts from the accounts' usage in a state.
   * @param state - the state
   * @returns the shares
   */
  static create (state: State): FairShares {
    return new FairShares(state)
  }

  /** An account's usage divided by its share; the lowest is served first. An account that was removed from the document is served last. */
  weightedUsage (account: string): number {
    const share = this.accounts.get(account)?.share
    if (share === undefined) return Infinity
    const { accelerators, slots } = this.usageOf(account)
    return (accelerators + slots * ACCELERATORS_PER_SLOT) / share
  }

  /** Whether the account stays within its accelerator limit after an allocation of this size. */
  isWithinLimit (account: string, accelerators: number): boolean {
    const limit = this.accounts.get(account)?.runningAccelerators ?? 0
    return accelerators === 0 || this.usageOf(account).accelerators + accelerators <= limit
  }

  /** Counts an allocation made in the current pass. */
  charge (account: string, accelerators: number, slots: number): void {
    const before = this.usageOf(account)
    this.changedUsage.set(account, { accelerators: before.accelerators + accelerators, slots: before.slots + slots })
  }

  private usageOf (account: string): { accelerators: number, slots: number } {
    return this.changedUsage.get(account) ?? this.state.accounts.get(account) ?? { accelerators: 0, slots: 0 }
  }
}
