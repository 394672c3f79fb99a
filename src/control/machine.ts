import { err, ok, type Result } from 'neverthrow'
import {
  apply, decodeTransactions, encodeTransactions, initialState, notRunRefusal, RefusalCode, Verdict,
  type Applied, type Effect, type RecordLine, type Refusal, type State, type Transaction
} from '../core/index'

/** Position of an entry in the log, assigned when it is proposed. */
export interface EntryPosition {
  readonly index: number
  readonly term: number
}

/** Connects the machine to the log and to the code that carries out effects. */
export interface MachineContext {
  /** Appends data to the log; fails if this host is not the leader. */
  readonly propose: (data: Uint8Array) => Result<EntryPosition, unknown>
  /** Called with the effects of a proposed entry, some of which may be carried out before the commit. */
  readonly onProposed: (effects: readonly Effect[]) => void
  /** Called on every host with the results of a committed entry. */
  readonly onCommitted: (applied: readonly Applied[], leading: boolean) => void
  /** Called with the time from the proposal to the commit of an entry that this host proposed. */
  readonly onCommitTime?: (milliseconds: number) => void
  /** Returns the scheduling decisions for a head state. */
  readonly decide: (head: State) => readonly Transaction[]
  /** Schedules a function to run once, asynchronously. */
  readonly schedule: (run: () => void) => void
  /** Monotonic time in milliseconds; `performance.now` by default. */
  readonly now?: () => number
  /** Called with a decision that could not be applied, which indicates a bug in the scheduling policy. */
  readonly onRefusedDecision: (transaction: Transaction, refusal: Refusal) => void
}

/** Returns why a transaction must not be proposed on a head state; undefined where it may be. */
export type Precondition = (head: State) => Refusal | undefined

interface QueuedTransaction {
  readonly transaction: Transaction
  readonly precondition?: Precondition
  readonly settle: (outcome: Result<void, Refusal>) => void
}

interface PendingEntry extends EntryPosition {
  /** Monotonic milliseconds. */
  readonly proposedAt: number
  readonly applied: readonly Applied[]
  /** Called when the entry is committed. */
  readonly settle: ReadonlyArray<() => void>
  /** Called when leadership is lost before the commit. */
  readonly abandon: ReadonlyArray<() => void>
}

/** Time after which a batch starts no further decision round. */
const DECISION_BUDGET_MILLISECONDS = 20
/** A decision round shorter than this is not followed by a pause. */
const SHORT_ROUND_MILLISECONDS = 2
/** Pause after a slow round, as a multiple of its duration. It leaves time for heartbeats, commits and callers. */
const PAUSE_FACTOR = 3

/**
 * The replicated state machine. It keeps two states: the committed state and, while this host leads, the head state with
 * all proposed entries applied. Decisions are made on the head state, so they do not wait for the disk. Replies and
 * effects that require a durable entry are held back until the commit.
 */
export class Machine {
  private committedState: State = initialState
  private headState: State = initialState
  private pending: PendingEntry[] = []
  private queue: QueuedTransaction[] = []
  private leading = false
  private batchScheduled = false
  /** Monotonic time before which no decision round starts. */
  private nextDecisionAt = 0

  private constructor (private readonly context: MachineContext) {}

  /**
   * Creates a machine with the empty state.
   * @param context - connections to the log and to effects
   * @returns the machine
   */
  static create (context: MachineContext): Machine {
    return new Machine(context)
  }

  /** The state of all committed entries. */
  get committed (): State { return this.committedState }
  /** The state with all proposed entries applied; equal to committed while this host is not the leader. */
  get head (): State { return this.headState }
  get leads (): boolean { return this.leading }

  /**
   * Submits a transaction.
   * @param transaction - the transaction to propose
   * @param precondition - checked on the head state to which the transaction would be applied; hosts that only follow do not check it
   * @returns resolves when its entry is committed or the transaction is refused; an unknown outcome is a refusal with MayHaveRun
   */
  submit (transaction: Transaction, precondition?: Precondition): Promise<Result<void, Refusal>> {
    if (!this.leading) return Promise.resolve(err(notRunRefusal(RefusalCode.NotLeader, 'this control host does not lead')))
    return new Promise((resolve) => {
      this.queue.push({ transaction, precondition, settle: resolve })
      this.wake()
    })
  }

  /** Schedules a batch, because transactions or decisions are due. */
  wake (): void {
    if (this.batchScheduled || !this.leading) return
    this.batchScheduled = true
    this.context.schedule(() => { this.runBatch() })
  }

  /** Starts or ends leadership. */
  setLeading (leading: boolean): void {
    this.leading = leading
    if (!leading) this.abandonAll()
    this.headState = this.committedState
    if (leading) this.wake()
  }

  /** Applies an entry that the log has committed. */
  commit (position: EntryPosition, data: Uint8Array): void {
    const expected = this.pending[0]
    if (expected !== undefined && expected.index === position.index && expected.term === position.term) {
      this.pending.shift()
      this.context.onCommitTime?.(this.now() - expected.proposedAt)
      this.committedState = expected.applied.at(-1)?.state ?? this.committedState
      this.context.onCommitted(expected.applied, this.leading)
      for (const settle of expected.settle) settle()
      return
    }
    if (data.length === 0) return
    const applied = applyAll(this.committedState, decodeTransactions(data))
    this.committedState = applied.at(-1)?.state ?? this.committedState
    if (this.pending.length === 0) this.headState = this.committedState
    this.context.onCommitted(applied, false)
  }

  /** Replaces the state with that of a snapshot. */
  restore (state: State): void {
    this.committedState = state
    this.headState = state
  }

  private runBatch (): void {
    this.batchScheduled = false
    if (!this.leading) return
    const applied: Applied[] = []
    const transactions: Transaction[] = []
    const settle: Array<() => void> = []
    const abandon: Array<() => void> = []
    const applyToHead = (transaction: Transaction): Applied => {
      const result = apply(this.headState, transaction)
      this.headState = result.state
      if (result.outcome.isOk()) {
        applied.push(result)
        transactions.push(transaction)
      }
      return result
    }
    for (const item of this.queue.splice(0)) {
      const refusal = item.precondition?.(this.headState)
      if (refusal !== undefined) { item.settle(err(refusal)); continue }
      const { outcome } = applyToHead(item.transaction)
      if (outcome.isErr()) { item.settle(outcome); continue }
      settle.push(() => { item.settle(ok(undefined)) })
      abandon.push(() => { item.settle(err(unknownOutcome)) })
    }
    this.applyDecisions(applyToHead)
    if (transactions.length > 0) this.proposeEntry(transactions, { applied, settle, abandon })
  }

  /** Runs decision rounds within the time budget. Rounds skipped during a pause are made up for in the batch after a later tick of the leader. */
  private applyDecisions (applyToHead: (transaction: Transaction) => Applied): void {
    const startedAt = this.now()
    if (startedAt < this.nextDecisionAt) return
    for (let before = startedAt; before - startedAt < DECISION_BUDGET_MILLISECONDS;) {
      const decisions = this.context.decide(this.headState)
      const after = this.now()
      const cost = after - before
      before = after
      if (cost >= SHORT_ROUND_MILLISECONDS) this.nextDecisionAt = after + cost * PAUSE_FACTOR
      if (decisions.length === 0) return
      for (const decision of decisions) {
        const { outcome } = applyToHead(decision)
        if (outcome.isErr()) { this.context.onRefusedDecision(decision, outcome.error); return }
      }
    }
    this.wake()
  }

  private now (): number {
    return this.context.now?.() ?? performance.now()
  }

  private proposeEntry (transactions: readonly Transaction[], entry: Omit<PendingEntry, keyof EntryPosition | 'proposedAt'>): void {
    const position = this.context.propose(encodeTransactions(transactions))
    if (position.isErr()) {
      for (const abandon of entry.abandon) abandon()
      return
    }
    this.pending.push({ ...position.value, ...entry, proposedAt: this.now() })
    this.context.onProposed(entry.applied.flatMap(({ effects }) => effects))
  }

  /** After the loss of leadership this host cannot know whether the pending entries will be committed. */
  private abandonAll (): void {
    for (const entry of this.pending.splice(0)) for (const abandon of entry.abandon) abandon()
    for (const item of this.queue.splice(0)) item.settle(err(notRunRefusal(RefusalCode.NotLeader, 'this control host no longer leads')))
  }
}

const unknownOutcome: Refusal = {
  code: RefusalCode.Unavailable,
  message: 'leadership changed before the entry was known to be durable; retry with the same identifier',
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
 * Collects the audit record lines of applied transactions.
 * @param applied - results in log order
 * @returns their record lines in the same order
 */
export function recordLines (applied: readonly Applied[]): RecordLine[] {
  return applied.flatMap(({ lines }) => lines)
}
