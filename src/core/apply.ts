import type { Result } from 'neverthrow'
import { returnWorker } from './failure-attribution'
import { putConfiguration } from './configuration'
import { Draft } from './draft'
import type { Effect } from './effect'
import { acceptJob, cancelJobs, endAttempt, endJobs, expire, finishJob, refuse, releaseJob, reserveJob, startJob, stopJob } from './jobs'
import type { RecordLine } from './record'
import { cancelSteps, expireStepJobs, replaceDocument, submitSteps } from './steps/jobs'
import { expireEarlyCancellations } from './steps/early-cancellations'
import { finishEvacuation, startEvacuation } from './steps/evacuations'
import { announceIncarnation, leaveIncarnation, loseIncarnation, resizeIncarnation } from './steps/incarnations'
import { expireRevocableStarts } from './steps/revocable-starts'
import { endRuns, saveCheckpoints, startGang, stopGang } from './steps/runs'
import { StepTransactionKind } from './steps/transactions'
import type { State } from './state'
import { TransactionKind, type Transaction } from './transaction'
import type { Refusal } from './verdict'
import { setHomes } from './guarantees'
import { announceWorker, leaveWorker, loseWorker } from './workers'

/** The result of applying one transaction. */
export interface Applied {
  readonly state: State
  readonly effects: readonly Effect[]
  readonly lines: readonly RecordLine[]
  /** A refused transaction leaves the state unchanged. */
  readonly outcome: Result<void, Refusal>
}

type Handler<Kind extends Transaction['kind']> =
  (draft: Draft, transaction: Extract<Transaction, { kind: Kind }>) => Result<void, Refusal>

const handlers: { readonly [Kind in Transaction['kind']]: Handler<Kind> } = {
  [TransactionKind.PutConfiguration]: putConfiguration,
  [TransactionKind.AnnounceWorker]: announceWorker,
  [TransactionKind.LoseWorker]: loseWorker,
  [TransactionKind.LeaveWorker]: leaveWorker,
  [TransactionKind.AcceptJob]: acceptJob,
  [TransactionKind.ReserveJob]: reserveJob,
  [TransactionKind.ReleaseJob]: releaseJob,
  [TransactionKind.StartJob]: startJob,
  [TransactionKind.StopJob]: stopJob,
  [TransactionKind.EndAttempt]: endAttempt,
  [TransactionKind.FinishJob]: finishJob,
  [TransactionKind.CancelJobs]: cancelJobs,
  [TransactionKind.EndJobs]: endJobs,
  [TransactionKind.Refuse]: refuse,
  [TransactionKind.Expire]: (draft, transaction) => { expireStepJobs(draft); expireRevocableStarts(draft); expireEarlyCancellations(draft); return expire(draft, transaction) },
  [TransactionKind.SetHomes]: setHomes,
  [TransactionKind.ReturnWorker]: returnWorker,
  [StepTransactionKind.ReplaceDocument]: replaceDocument,
  [StepTransactionKind.SubmitSteps]: submitSteps,
  [StepTransactionKind.CancelSteps]: cancelSteps,
  [StepTransactionKind.StartGang]: startGang,
  [StepTransactionKind.StopGang]: stopGang,
  [StepTransactionKind.EndRuns]: endRuns,
  [StepTransactionKind.AnnounceIncarnation]: announceIncarnation,
  [StepTransactionKind.ResizeIncarnation]: resizeIncarnation,
  [StepTransactionKind.LeaveIncarnation]: leaveIncarnation,
  [StepTransactionKind.LoseIncarnation]: loseIncarnation,
  [StepTransactionKind.SaveCheckpoints]: saveCheckpoints,
  [StepTransactionKind.StartEvacuation]: startEvacuation,
  [StepTransactionKind.FinishEvacuation]: finishEvacuation
}

/**
 * Applies one transaction. Deterministic: the same transactions in the same order give the same state on every host.
 * @param state - the state before
 * @param transaction - the transaction, which carries its time and identifiers
 * @returns the state after, with effects, record lines and the outcome
 */
export function apply (state: State, transaction: Transaction): Applied {
  const draft = Draft.create(state, Math.max(state.time, transaction.at))
  const handler = handlers[transaction.kind] as Handler<Transaction['kind']>
  const outcome = handler(draft, transaction as never)
  if (outcome.isErr()) return { state, effects: [], lines: [], outcome }
  return { ...draft.finish(), outcome }
}
