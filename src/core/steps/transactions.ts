import type { TransactionBase } from '../transaction'
import type { WaitingLimits } from './admission/waiting-limits'
import type { CrashedGang, CrashSuspect } from './crash-evidence'
import type { IncarnationDescription, IncarnationLossCause, Resources, StepJobSpecification, StopReason } from './model'
import type { QueueCaller } from './routing'
import type { RunKey, RunOutcome } from './run'

/** Kinds of the log entries that concern step jobs. */
export enum StepTransactionKind {
  ReplaceDocument = 'replace-document',
  SubmitSteps = 'submit-steps',
  CancelSteps = 'cancel-steps',
  StartGang = 'start-gang',
  StopGang = 'stop-gang',
  EndRuns = 'end-runs',
  AnnounceIncarnation = 'announce-life',
  ResizeIncarnation = 'resize-incarnation',
  LeaveIncarnation = 'leave-life',
  LoseIncarnation = 'lose-life',
  SaveCheckpoints = 'save-checkpoints',
  StartEvacuation = 'start-evacuation',
  FinishEvacuation = 'finish-evacuation'
}

/** Replaces the queue document; the one with the highest number is in force. */
export interface ReplaceDocument extends TransactionBase {
  readonly kind: StepTransactionKind.ReplaceDocument
  readonly number: number
  /** The document as JSON, validated before it is proposed and again when it is applied. */
  readonly documentJson: string
  readonly source: string
}

/** Submits a job. */
export interface SubmitSteps extends TransactionBase {
  readonly kind: StepTransactionKind.SubmitSteps
  readonly identifier: string
  readonly account: string
  readonly queue: string
  readonly specification: StepJobSpecification
  /** Limits of waiting work that the leader applied; absent in entries from before there were limits. */
  readonly limits?: WaitingLimits
}

/** Cancels a job. */
export interface CancelSteps extends TransactionBase {
  readonly kind: StepTransactionKind.CancelSteps
  readonly identifier: string
  /** Who cancels it. Absent in entries of earlier versions, which the leader made only for known jobs that the caller may cancel. */
  readonly caller?: QueueCaller
}

/** Identifies one gang of a job. */
export interface GangKey {
  readonly job: string
  readonly step: number
  /** Position of the gang within its step. */
  readonly gang: number
}

/** Assigns a worker to one task. */
export interface TaskPlacement {
  readonly task: number
  readonly incarnation: string
}

/** Starts a gang on the chosen workers. Agents start its tasks once the entry is committed. */
export interface StartGang extends TransactionBase, GangKey {
  readonly kind: StepTransactionKind.StartGang
  readonly attempt: number
  readonly placements: readonly TaskPlacement[]
}

/** Stops the current run of a gang. */
export interface StopGang extends TransactionBase, GangKey {
  readonly kind: StepTransactionKind.StopGang
  readonly attempt: number
  readonly reason: StopReason
}

/** The end of one run. */
export interface RunEnd {
  /** Sequence number that the worker gives to the end; 0 where the agent states that the run never started. */
  readonly number: number
  readonly key: RunKey
  readonly outcome: RunOutcome
  readonly checkpoint: string
}

/** Records the ends of runs that a worker reported. */
export interface EndRuns extends TransactionBase {
  readonly kind: StepTransactionKind.EndRuns
  readonly incarnation: string
  readonly ends: readonly RunEnd[]
}

/** Registers a new incarnation of a worker. */
export interface AnnounceIncarnation extends TransactionBase {
  readonly kind: StepTransactionKind.AnnounceIncarnation
  readonly life: IncarnationDescription
}

/** Changes the capacity of a worker. What runs there goes on, even where it occupies more than the new capacity. */
export interface ResizeIncarnation extends TransactionBase {
  readonly kind: StepTransactionKind.ResizeIncarnation
  readonly incarnation: string
  readonly capacity: Resources
}

/** Marks a worker as leaving, so that it gets no new work. */
export interface LeaveIncarnation extends TransactionBase {
  readonly kind: StepTransactionKind.LeaveIncarnation
  readonly incarnation: string
}

/** Removes an incarnation, in which nothing runs any more. */
export interface LoseIncarnation extends TransactionBase {
  readonly kind: StepTransactionKind.LoseIncarnation
  readonly incarnation: string
  /** The last reported checkpoints of its runs. */
  readonly checkpoints: readonly RunCheckpoint[]
  /** Absent in entries from before causes were recorded. */
  readonly cause?: IncarnationLossCause
  /** When the leader last saw it alive, in milliseconds since the epoch; absent where it never did. */
  readonly aliveAt?: number
  /** Gangs that may have crashed the worker; ignored unless it was replaced. */
  readonly suspects?: readonly CrashSuspect[]
  /** The tasks of gangs that may have crashed the worker, whether the crash counts for their gang or not; ignored unless it was replaced. */
  readonly crashedTasks?: readonly CrashedGang[]
}

/** A checkpoint of a run. */
export interface RunCheckpoint {
  readonly key: RunKey
  readonly checkpoint: string
}

/** Saves checkpoints of current runs, so that they survive the loss of all workers together with the leader's memory. */
export interface SaveCheckpoints extends TransactionBase {
  readonly kind: StepTransactionKind.SaveCheckpoints
  readonly checkpoints: readonly RunCheckpoint[]
}

/** Fields of the entries that start or finish the evacuation of a data centre. */
export interface EvacuationChange extends TransactionBase {
  readonly dataCentre: string
  /** The data centre's count when the order was received; another one means that it has changed since. */
  readonly changeCount: number
  /** The team that gave the order; absent where it is not known. */
  readonly team?: string
}

/** Requests that no more work is sent to the workers of a data centre. */
export interface StartEvacuation extends EvacuationChange {
  readonly kind: StepTransactionKind.StartEvacuation
}

/** Withdraws that request. */
export interface FinishEvacuation extends EvacuationChange {
  readonly kind: StepTransactionKind.FinishEvacuation
}

/** See {@link StepTransactionKind}. */
export type StepTransaction =
  ReplaceDocument | SubmitSteps | CancelSteps | StartGang | StopGang | EndRuns | AnnounceIncarnation | ResizeIncarnation | LeaveIncarnation | LoseIncarnation | SaveCheckpoints | StartEvacuation | FinishEvacuation
