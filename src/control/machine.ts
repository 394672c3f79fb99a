import { err, ok, type Result } from 'neverthrow'
import {
  apply, decodeTransactions, encodeTransactions, initialState, notRun, RefusalCode, Verdict,
  type Applied, type Effect, type RecordLine, type Refusal, type State, type Transaction
} from '../core/index'

/** The name of an entry in the log, given when it is proposed. */
export interface EntryName {
  readonly index: number
  readonly term: number
}

/** How the machine reaches the log and the world. */
export interface MachinePorts {
  /** Puts data at the end of the log; fails where this host does not lead. */
  readonly propose: (data: Uint8Array) => Result<EntryName, unknown>
  /** Effects that may go out before their entry is committed. */
  readonly onProposed: (effects: readonly Effect[]) => void
  /** What a committed entry did, on every host. */
  readonly onCommitted: (applied: readonly Applied[], leading: boolean) => void
  /** Milliseconds between the proposal and the commit of an own entry. */
  readonly onCommitTime?: (milliseconds: number) => void
  /** What to do next, after entries were applied to the head. */
  readonly decide: (head: State) => readonly Transaction[]
  /** Runs a function soon, once. */
  readonly soon: (run: () => void) => void
  /** Monotonic time in milliseconds; that of the runtime by default. */
  readonly now?: () => number
  /** Reports a decision that could not be applied, which is a fault of the policy. */
  readonly onRefusedDecision: (transaction: Transaction, refusal: Refusal) => void
}

interface Waiting {
  readonly transaction: Transaction
  readonly settle: (outcome: Result<void, Refusal>) => void
}

interface Pending extends EntryName {
  /** Monotonic milliseconds. */
  readonly proposedAt: number
  readonly applied: readonly Applied[]
  readonly settle: ReadonlyArray<() => void>
  readonly abandon: ReadonlyArray<() => void>
}

/** Time after which a turn makes no more decisions, in milliseconds. */
const TURN_MILLISECONDS = 20
/** A round of decisions that took less than this needs no pause after it, in milliseconds. */
const CHEAP_ROUND_MILLISECONDS = 2
/** Pause after a costly round, as a multiple of its cost: heartbeats, commits and callers get the rest of the time. */
const PAUSE_PER_COST = 3

/**
 * Holds the state twice: as committed, and, while this host leads, with all proposed entries applied.
 * Decisions are made on the second, so they need not wait for the disk; what must not be said or done
 * before its entry is durable is held back until the commit.
 */
export class Machine {
  private committedState: State = initialState
  private headState: State = initialState
  private pending: Pending[] = []
  private waiting: Waiting[] = []
  private leading = false
  private turnIsDue = false
  /** Monotonic time before which no decisions are made. */
  private decideAt = 0

  private constructor (private readonly ports: MachinePorts) {}

  /**
   * Makes a machine with the empty state.
   * @param ports - the log and the world
   * @returns the machine
   */
  static create (ports: MachinePorts): Machine {
    return new Machine(ports)
  }

  /** The state of all committed entries. */
  get committed (): State { return this.committedState }
  /** The state with the proposed entries applied; equal to committed where this host does not lead. */
  get head (): State { return this.headState }
  get leads (): boolean { return this.leading }

  /**
   * Hands in a transaction.
   * @param transaction - what to do
   * @returns once its entry is committed, or refused; an outcome that cannot be known is a refusal with MayHaveRun
   */
  submit (transaction: Transaction): Promise<Result<void, Refusal>> {
    if (!this.leading) return Promise.resolve(err(notRun(RefusalCode.NotLeader, 'this control host does not lead')))
    return new Promise((resolve) => {
      this.waiting.push({ transaction, settle: resolve })
      this.wake()
    })
  }

  /** Asks for a turn: decisions are due. */
  wake (): void {
    if (this.turnIsDue || !this.leading) return
    this.turnIsDue = true
    this.ports.soon(() => { this.turn() })
  }

  /** Takes up or gives up leadership. */
  lead (leading: boolean): void {
    this.leading = leading
    if (!leading) this.abandon()
    this.headState = this.committedState
    if (leading) this.wake()
  }

  /** Takes an entry that the log has committed. */
  commit (name: EntryName, data: Uint8Array): void {
    const expected = this.pending[0]
    if (expected !== undefined && expected.index === name.index && expected.term === name.term) {
      this.pending.shift()
      this.ports.onCommitTime?.(this.now() - expected.proposedAt)
      this.committedState = expected.applied.at(-1)?.state ?? this.committedState
      this.ports.onCommitted(expected.applied, this.leading)
      for (const settle of expected.settle) settle()
      return
    }
    if (data.length === 0) return
    const applied = applyAll(this.committedState, decodeTransactions(data))
    this.committedState = applied.at(-1)?.state ?? this.committedState
    if (this.pending.length === 0) this.headState = this.committedState
    this.ports.onCommitted(applied, false)
  }

  /** Replaces the state by that of a snapshot. */
  restore (state: State): void {
    this.committedState = state
    this.headState = state
  }

  private turn (): void {
    this.turnIsDue = false
    if (!this.leading) return
    const applied: Applied[] = []
    const transactions: Transaction[] = []
    const settle: Array<() => void> = []
    const abandon: Array<() => void> = []
    const take = (transaction: Transaction): Applied => {
      const result = apply(this.headState, transaction)
      this.headState = result.state
      if (result.outcome.isOk()) {
        applied.push(result)
        transactions.push(transaction)
      }
      return result
    }
    for (const item of this.waiting.splice(0)) {
      const { outcome } = take(item.transaction)
      if (outcome.isErr()) { item.settle(outcome); continue }
      settle.push(() => { item.settle(ok(undefined)) })
      abandon.push(() => { item.settle(err(unknownOutcome)) })
    }
    this.takeDecisions(take)
    if (transactions.length > 0) this.propose(transactions, { applied, settle, abandon })
  }

  /** Decisions that wait for their time are made in the turn after the next tick of the leader. */
  private takeDecisions (take: (transaction: Transaction) => Applied): void {
    const began = this.now()
    if (began < this.decideAt) return
    for (let before = began; before - began < TURN_MILLISECONDS;) {
      const decisions = this.ports.decide(this.headState)
      const after = this.now()
      const cost = after - before
      before = after
      if (cost >= CHEAP_ROUND_MILLISECONDS) this.decideAt = after + cost * PAUSE_PER_COST
      if (decisions.length === 0) return
      for (const decision of decisions) {
        const { outcome } = take(decision)
        if (outcome.isErr()) { this.ports.onRefusedDecision(decision, outcome.error); return }
      }
    }
    this.wake()
  }

  private now (): number {
    return this.ports.now?.() ?? performance.now()
  }

  private propose (transactions: readonly Transaction[], entry: Omit<Pending, keyof EntryName | 'proposedAt'>): void {
    const name = this.ports.propose(encodeTransactions(transactions))
    if (name.isErr()) {
      for (const abandon of entry.abandon) abandon()
      return
    }
    this.pending.push({ ...name.value, ...entry, proposedAt: this.now() })
    this.ports.onProposed(entry.applied.flatMap((one) => one.effects))
  }

  /** Leadership is gone: nobody here can tell whether the pending entries will be committed. */
  private abandon (): void {
    for (const entry of this.pending.splice(0)) for (const abandon of entry.abandon) abandon()
    for (const item of this.waiting.splice(0)) item.settle(err(notRun(RefusalCode.NotLeader, 'this control host does not lead any more')))
  }
}

const unknownOutcome: Refusal = {
  code: RefusalCode.Unavailable,
  message: 'leadership moved before the entry was known to be durable; send it again with the same identifier',
  verdict: Verdict.MayHaveRun,
  retryCanHelp: true,
  retryAfter: 100
}

function applyAll (state: State, transactions: readonly Transaction[]): Applied[] {
  const applied: Applied[] = []
  let current = state
  for (const transaction of transactions) {
    const result = apply(current, transaction)
    current = result.state
    applied.push(result)
  }
  return applied
}

/**
 * The record lines of what was applied.
 * @param applied - results in order
 * @returns the lines in order
 */
export function recordLines (applied: readonly Applied[]): RecordLine[] {
  return applied.flatMap((one) => one.lines)
}
