import type { ClientAccount } from './document'
import type { State } from './state'

/** What a slot counts beside an accelerator. */
const ACCELERATORS_PER_SLOT = 0.125

/** How much each account holds against its share, with what this call gives it. */
export class Shares {
  private readonly held = new Map<string, { accelerators: number, slots: number }>()
  private readonly accounts: ReadonlyMap<string, ClientAccount>

  private constructor (private readonly state: State) {
    this.accounts = new Map(state.configuration.document.clientAccounts.map((account) => [account.name, account]))
  }

  /**
   * Begins with what the accounts hold.
   * @param state - the state
   * @returns the shares
   */
  static create (state: State): Shares {
    return new Shares(state)
  }

  /** What an account holds against its share: the lowest goes first. An account no longer in the document goes last. */
  weighted (account: string): number {
    const share = this.accounts.get(account)?.share
    if (share === undefined) return Infinity
    const { accelerators, slots } = this.of(account)
    return (accelerators + slots * ACCELERATORS_PER_SLOT) / share
  }

  /** Whether the account stays within its limit with so many accelerators more. */
  allows (account: string, accelerators: number): boolean {
    const limit = this.accounts.get(account)?.runningAccelerators ?? 0
    return accelerators === 0 || this.of(account).accelerators + accelerators <= limit
  }

  /** Counts what this call gives to an account. */
  give (account: string, accelerators: number, slots: number): void {
    const before = this.of(account)
    this.held.set(account, { accelerators: before.accelerators + accelerators, slots: before.slots + slots })
  }

  private of (account: string): { accelerators: number, slots: number } {
    return this.held.get(account) ?? this.state.accounts.get(account) ?? { accelerators: 0, slots: 0 }
  }
}
