import type { Common } from '../transaction'
import type { LifeDescription, StepJobSpecification, StopReason } from './model'
import type { RunKey, RunOutcome } from './run'

/** The kinds of entries that concern jobs of steps. */
export enum StepTransactionKind {
  ReplaceDocument = 'replace-document',
  SubmitSteps = 'submit-steps',
  CancelSteps = 'cancel-steps',
  StartGang = 'start-gang',
  StopGang = 'stop-gang',
  EndRuns = 'end-runs',
  AnnounceLife = 'announce-life',
  LeaveLife = 'leave-life',
  LoseLife = 'lose-life',
  SaveCheckpoints = 'save-checkpoints'
}

/** A whole document under a number; the highest number is in force. */
export interface ReplaceDocument extends Common {
  readonly kind: StepTransactionKind.ReplaceDocument
  readonly number: number
  /** The document as JSON, checked before it was proposed and again when applied. */
  readonly documentJson: string
  readonly source: string
}

/** A caller hands a job in. */
export interface SubmitSteps extends Common {
  readonly kind: StepTransactionKind.SubmitSteps
  readonly identifier: string
  readonly account: string
  readonly queue: string
  readonly specification: StepJobSpecification
}

/** A caller takes a job back. */
export interface CancelSteps extends Common {
  readonly kind: StepTransactionKind.CancelSteps
  readonly identifier: string
}

/** Names one gang of a job. */
export interface GangKey {
  readonly job: string
  readonly step: number
  /** Position of the gang within its step. */
  readonly gang: number
}

/** A worker for one task. */
export interface TaskPlacement {
  readonly task: number
  readonly incarnation: string
}

/** Workers are chosen, and the gang may be started from here on. */
export interface StartGang extends Common, GangKey {
  readonly kind: StepTransactionKind.StartGang
  readonly attempt: number
  readonly placements: readonly TaskPlacement[]
}

/** A run is to be stopped. */
export interface StopGang extends Common, GangKey {
  readonly kind: StepTransactionKind.StopGang
  readonly attempt: number
  readonly reason: StopReason
}

/** One end of a run. */
export interface RunEnd {
  /** The worker's own number of this end; 0 where the agent states that the run never began. */
  readonly number: number
  readonly key: RunKey
  readonly outcome: RunOutcome
  readonly checkpoint: string
}

/** Ends that a worker listed. */
export interface EndRuns extends Common {
  readonly kind: StepTransactionKind.EndRuns
  readonly incarnation: string
  readonly ends: readonly RunEnd[]
}

/** A worker is seen for the first time in this incarnation. */
export interface AnnounceLife extends Common {
  readonly kind: StepTransactionKind.AnnounceLife
  readonly life: LifeDescription
}

/** A worker leaves and gets no new work. */
export interface LeaveLife extends Common {
  readonly kind: StepTransactionKind.LeaveLife
  readonly incarnation: string
}

/** Nothing runs any more in an incarnation. */
export interface LoseLife extends Common {
  readonly kind: StepTransactionKind.LoseLife
  readonly incarnation: string
  /** The newest checkpoints that were seen of its runs. */
  readonly checkpoints: readonly RunCheckpoint[]
}

/** A checkpoint of a run. */
export interface RunCheckpoint {
  readonly key: RunKey
  readonly checkpoint: string
}

/** Checkpoints of runs under way: they must not be lost together with all workers and the leader's memory. */
export interface SaveCheckpoints extends Common {
  readonly kind: StepTransactionKind.SaveCheckpoints
  readonly checkpoints: readonly RunCheckpoint[]
}

/** See {@link StepTransactionKind}. */
export type StepTransaction =
  ReplaceDocument | SubmitSteps | CancelSteps | StartGang | StopGang | EndRuns | AnnounceLife | LeaveLife | LoseLife | SaveCheckpoints
