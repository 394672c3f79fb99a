import { err, ok, type Result } from 'neverthrow'
import { notRunRefusal, RefusalCode, type Refusal } from '../core/verdict'

/** Sent with the refusal of an account that has too many open requests. */
const RETRY_AFTER_MILLISECONDS = 1_000

/** Frees what was acquired. Further calls have no effect. */
export type Release = () => void

interface AccountQueue {
  open: number
  readonly waiting: Array<() => void>
}

/** Limits of a {@link FairLimiter}. */
export interface FairLimits {
  /** Requests of one account that may be open at the same time. */
  readonly maxOpenRequestsPerAccount: number
  /** Submissions in flight to control at the same time, over all accounts. */
  readonly maxConcurrentSubmissions: number
}

function once (action: () => void): Release {
  let done = false
  return () => {
    if (done) return
    done = true
    action()
  }
}

/**
 * Limits the open requests of each account, and the submissions in flight to control. Submissions beyond the limit
 * wait in one queue per account, served round-robin, so that a burst of one account does not delay the others.
 */
export class FairLimiter {
  private readonly queues = new Map<string, AccountQueue>()
  /** Accounts with waiting submissions, in the order in which they are served. */
  private readonly turnOrder: string[] = []
  private activeSubmissions = 0

  private constructor (private readonly limits: FairLimits) {}

  /**
   * Creates a limiter.
   * @param limits - see {@link FairLimits}
   * @returns the limiter
   */
  static create (limits: FairLimits): FairLimiter {
    return new FairLimiter(limits)
  }

  /** Open requests of all accounts. */
  get open (): number {
    return [...this.queues.values()].reduce((sum, queue) => sum + queue.open, 0)
  }

  /**
   * Counts a new open request of an account.
   * @param account - the client account
   * @returns a function to call when the request is closed, or a refusal when the account is at its limit
   */
  openRequest (account: string): Result<Release, Refusal> {
    const queue = this.queueOf(account)
    if (queue.open >= this.limits.maxOpenRequestsPerAccount) {
      return err(notRunRefusal(RefusalCode.QueueFull, `${account} has ${queue.open} open requests at this entry`, RETRY_AFTER_MILLISECONDS))
    }
    queue.open += 1
    return ok(once(() => this.closeRequest(account, queue)))
  }

  /**
   * Waits until a submission of the account may be sent to control.
   * @param account - the client account
   * @returns a function to call when control has answered the submission
   */
  async acquireSubmission (account: string): Promise<Release> {
    if (this.activeSubmissions >= this.limits.maxConcurrentSubmissions) await this.waitForTurn(account)
    else this.activeSubmissions += 1
    return once(() => this.releaseSubmission())
  }

  private queueOf (account: string): AccountQueue {
    const known = this.queues.get(account)
    if (known !== undefined) return known
    const queue: AccountQueue = { open: 0, waiting: [] }
    this.queues.set(account, queue)
    return queue
  }

  private closeRequest (account: string, queue: AccountQueue): void {
    queue.open -= 1
    if (queue.open === 0 && queue.waiting.length === 0) this.queues.delete(account)
  }

  private waitForTurn (account: string): Promise<void> {
    const queue = this.queueOf(account)
    if (queue.waiting.length === 0) this.turnOrder.push(account)
    return new Promise((resolve) => { queue.waiting.push(resolve) })
  }

  /** Passes the freed place to the next account in turn, if any is waiting. */
  private releaseSubmission (): void {
    const account = this.turnOrder.shift()
    if (account === undefined) {
      this.activeSubmissions -= 1
      return
    }
    const queue = this.queueOf(account)
    const next = queue.waiting.shift()
    if (queue.waiting.length > 0) this.turnOrder.push(account)
    next?.()
  }
}
