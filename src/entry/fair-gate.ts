import { err, ok, type Result } from 'neverthrow'
import { notRun, RefusalCode, type Refusal } from '../core/verdict'

/** Milliseconds after which a refused account may try again. */
const RETRY_AFTER_MILLISECONDS = 1_000

/** Gives a place back. Further calls do nothing. */
export type Leave = () => void

interface AccountLine {
  open: number
  readonly waiting: Array<() => void>
}

/** Bounds of a {@link FairGate}. */
export interface GateLimits {
  /** Requests of one account that may be open at once. */
  readonly openPerAccount: number
  /** Submissions on their way to control at once, of all accounts. */
  readonly passing: number
}

function once (action: () => void): Leave {
  let done = false
  return () => {
    if (done) return
    done = true
    action()
  }
}

/**
 * Bounds the open requests of each account, and lets the accounts pass to control in turn:
 * a burst of one account waits in its own line and takes no turn of another.
 */
export class FairGate {
  private readonly lines = new Map<string, AccountLine>()
  /** Accounts with somebody waiting, in the order of their next turn. */
  private readonly turns: string[] = []
  private passing = 0

  private constructor (private readonly limits: GateLimits) {}

  /**
   * Makes a gate.
   * @param limits - its bounds
   * @returns the gate
   */
  static create (limits: GateLimits): FairGate {
    return new FairGate(limits)
  }

  /** Requests open now, of all accounts. */
  get open (): number {
    return [...this.lines.values()].reduce((sum, line) => sum + line.open, 0)
  }

  /**
   * Opens a request of an account, or refuses it at once.
   * @param account - the client account
   * @returns the way to close it again, or the refusal
   */
  enter (account: string): Result<Leave, Refusal> {
    const line = this.lineOf(account)
    if (line.open >= this.limits.openPerAccount) {
      return err(notRun(RefusalCode.QueueFull, `${account} has ${line.open} open requests at this entry`, RETRY_AFTER_MILLISECONDS))
    }
    line.open += 1
    return ok(once(() => this.close(account, line)))
  }

  /**
   * Waits for the account's turn to pass on to control.
   * @param account - the client account
   * @returns the way to give the turn back
   */
  async pass (account: string): Promise<Leave> {
    if (this.passing >= this.limits.passing) await this.wait(account)
    else this.passing += 1
    return once(() => this.handOn())
  }

  private lineOf (account: string): AccountLine {
    const known = this.lines.get(account)
    if (known !== undefined) return known
    const line: AccountLine = { open: 0, waiting: [] }
    this.lines.set(account, line)
    return line
  }

  private close (account: string, line: AccountLine): void {
    line.open -= 1
    if (line.open === 0 && line.waiting.length === 0) this.lines.delete(account)
  }

  private wait (account: string): Promise<void> {
    const line = this.lineOf(account)
    if (line.waiting.length === 0) this.turns.push(account)
    return new Promise((resolve) => { line.waiting.push(resolve) })
  }

  /** The next account in turn takes over the place that was given back. */
  private handOn (): void {
    const account = this.turns.shift()
    if (account === undefined) {
      this.passing -= 1
      return
    }
    const line = this.lineOf(account)
    const next = line.waiting.shift()
    if (line.waiting.length > 0) this.turns.push(account)
    next?.()
  }
}
