/**
 * Calls to a replica that wait for the log: reads, membership changes and leadership transfers.
 */
import { err, ok, type Result } from 'neverthrow'
import type { AgreementRefusal, ProposedEntry } from '../core/agreement'

/** Why the replica refused a call, usually because this host is not the leader or not yet ready. */
export interface ReplicaRefusal {
  readonly refusal: AgreementRefusal
  /** Address of the leader, if known. */
  readonly leader?: string
}

/** Why a membership change did not succeed. */
export interface MemberChangeError extends ReplicaRefusal {
  /** True if the change was already in the log when leadership was lost, so that it may still take effect. */
  readonly mayHaveRun: boolean
}

type SettleChange = (result: Result<void, MemberChangeError>) => void
type Settle = (result: Result<void, ReplicaRefusal>) => void

interface PendingChange extends ProposedEntry {
  readonly settle: SettleChange
}

/** Keeps the pending calls and settles them. */
export class PendingCalls {
  private lastReadIdentifier = 0
  private readonly reads = new Map<number, Settle>()
  private changes: PendingChange[] = []
  private transfers: Settle[] = []

  static create (): PendingCalls { return new PendingCalls() }

  addRead (settle: Settle): number {
    this.lastReadIdentifier += 1
    this.reads.set(this.lastReadIdentifier, settle)
    return this.lastReadIdentifier
  }

  settleRead (identifier: number, result: Result<void, ReplicaRefusal>): void {
    const settle = this.reads.get(identifier)
    this.reads.delete(identifier)
    settle?.(result)
  }

  addChange (entry: ProposedEntry, settle: SettleChange): void {
    this.changes.push({ ...entry, settle })
  }

  /** Settles the changes up to the commit index. A change whose entry was replaced by one of another leader may have run elsewhere. */
  settleChanges (commit: number, termAt: (index: number) => number | undefined, refusal: ReplicaRefusal): void {
    const done = this.changes.filter((change) => change.index <= commit)
    this.changes = this.changes.filter((change) => change.index > commit)
    for (const { index, term, settle } of done) settle(termAt(index) === term ? ok(undefined) : err({ ...refusal, mayHaveRun: true }))
  }

  abandonChanges (refusal: ReplicaRefusal): void {
    for (const change of this.changes.splice(0)) change.settle(err({ ...refusal, mayHaveRun: true }))
  }

  addTransfer (settle: Settle): void {
    this.transfers.push(settle)
  }

  settleTransfers (result: Result<void, ReplicaRefusal>): void {
    for (const settle of this.transfers.splice(0)) settle(result)
  }

  /** Settles all calls when the replica stops. */
  abandonAll (refusal: ReplicaRefusal): void {
    this.abandonChanges(refusal)
    for (const identifier of [...this.reads.keys()]) this.settleRead(identifier, err(refusal))
    this.settleTransfers(ok(undefined))
  }
}
