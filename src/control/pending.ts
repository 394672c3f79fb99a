/**
 * Calls to a replica that wait for the log: reads, changes of members and transfers of leadership.
 */
import { err, ok, type Result } from 'neverthrow'
import type { AgreementRefusal, ProposedEntry } from '../core/agreement'

/** This host does not lead, or not yet. */
export interface NotLeader {
  readonly refusal: AgreementRefusal
  /** Address of the leader it knows. */
  readonly leader?: string
}

/** Why a change of members was not made. */
export interface MemberChangeError extends NotLeader {
  /** The change was in the log when leadership was lost: it may still come into force. */
  readonly mayHaveRun: boolean
}

type SettleChange = (result: Result<void, MemberChangeError>) => void
type Settle = (result: Result<void, NotLeader>) => void

interface PendingChange extends ProposedEntry {
  readonly settle: SettleChange
}

/** The calls that wait. */
export class PendingCalls {
  private lastRead = 0
  private readonly reads = new Map<number, Settle>()
  private changes: PendingChange[] = []
  private transfers: Settle[] = []

  static create (): PendingCalls { return new PendingCalls() }

  addRead (settle: Settle): number {
    this.lastRead += 1
    this.reads.set(this.lastRead, settle)
    return this.lastRead
  }

  settleRead (identifier: number, result: Result<void, NotLeader>): void {
    const settle = this.reads.get(identifier)
    this.reads.delete(identifier)
    settle?.(result)
  }

  addChange (place: ProposedEntry, settle: SettleChange): void {
    this.changes.push({ ...place, settle })
  }

  /** Settles the changes up to an index; one whose entry was replaced by another leader's may have run elsewhere. */
  settleChanges (commit: number, termAt: (index: number) => number | undefined, lost: NotLeader): void {
    const done = this.changes.filter((change) => change.index <= commit)
    this.changes = this.changes.filter((change) => change.index > commit)
    for (const { index, term, settle } of done) settle(termAt(index) === term ? ok(undefined) : err({ ...lost, mayHaveRun: true }))
  }

  abandonChanges (lost: NotLeader): void {
    for (const change of this.changes.splice(0)) change.settle(err({ ...lost, mayHaveRun: true }))
  }

  addTransfer (settle: Settle): void {
    this.transfers.push(settle)
  }

  settleTransfers (result: Result<void, NotLeader>): void {
    for (const settle of this.transfers.splice(0)) settle(result)
  }

  /** Ends everything when the replica stops. */
  abandon (lost: NotLeader): void {
    this.abandonChanges(lost)
    for (const identifier of [...this.reads.keys()]) this.settleRead(identifier, err(lost))
    this.settleTransfers(ok(undefined))
  }
}
