/** Data model of step jobs: what callers request, the state of gangs and runs, and the workers' incarnations. */
import { Map as ImmutableMap, Set as ImmutableSet } from 'immutable'
import type { NumberedDocument, Queue } from './document'
import type { EarlyCancellations } from './early-cancellations'
import type { CrashedTasks, WorkerCrash } from './crash-evidence'
import type { RevocableStarts } from './revocable-starts'
import type { WaitingWorkIndex } from './admission/waiting-work'
import type { RunKey } from './run'

/** Resources of a worker, or those that a task occupies on it. */
export interface Resources {
  /** Thousandths of a processor. */
  readonly processors: number
  readonly memoryMegabytes: number
  readonly accelerators: number
}

/** One step of a job: a number of identical tasks, with the resources that each occupies. */
export interface StepSpecification extends Resources {
  readonly tasks: number
  /** Expected duration of one task, in milliseconds; 0 where the caller gives none. */
  readonly estimateMilliseconds: number
  /** Numbers of the earlier steps that must be done before this one starts. */
  readonly after: readonly number[]
  /** The tasks start and end together. */
  readonly gang: boolean
  /** The tasks run slower when they are spread over several racks. */
  readonly sameRack: boolean
  /** Label that the worker must have; empty for any worker. */
  readonly label: string
  /** Rack in which the tasks run fastest; empty for none. */
  readonly dataRack: string
  /** Maximum number of tasks of this step on one worker; 0 for no limit. */
  readonly mostPerWorker: number
  /** The tasks write checkpoints and resume from the last one after a stop. */
  readonly checkpoints: boolean
}

/** A step job as its caller submits it. */
export interface StepJobSpecification {
  /** Opaque to the scheduler; passed to every task. */
  readonly payload: string
  readonly steps: readonly StepSpecification[]
}

/** Time for which the state of an ended job can still be read; longer than any deployment requires. */
export const RETENTION_MILLISECONDS = 300_000

/** State of a step job. */
export enum StepJobState {
  Queued = 'queued',
  Running = 'running',
  Completed = 'completed',
  Failed = 'failed',
  Cancelled = 'cancelled'
}

/** Why a gang is being stopped. */
export enum StopReason {
  Cancelled = 'cancelled',
  JobFailed = 'job-failed',
  /** Another member ended, could not be started, or was lost. */
  MemberEnded = 'member-ended',
  /** Its accelerators are guaranteed to another account. */
  Reclaimed = 'reclaimed',
  /** Work of a higher priority needs its capacity. */
  Preempted = 'preempted',
  WorkerLeaving = 'worker-leaving',
  /** None of its members made progress in time. */
  Stalled = 'stalled',
  /** Not all members were running in time. */
  Incomplete = 'incomplete',
  /** A member had not begun when the data centre of its worker was evacuated. */
  Evacuated = 'evacuated'
}

/** Why a job failed, where its attempts are not the reason. */
export enum JobEndReason {
  /** Workers crashed when they started one of its gangs. */
  WorkersCrashed = 'workers-crashed'
}

/** One task of a run, on its worker. */
export interface RunMember {
  readonly task: number
  /** Incarnation of the worker. */
  readonly incarnation: string
  readonly ended: boolean
}

/** One attempt to run a gang. */
export interface GangRun {
  readonly attempt: number
  readonly members: readonly RunMember[]
  /** Milliseconds since the epoch. */
  readonly startedAt: number
  /** Checkpoint from which every member starts, even where newer ones are saved before it has started. */
  readonly startCheckpoint: string
  readonly stopping?: StopReason
  readonly failed: boolean
}

/** Tasks that are started and stopped together: all tasks of a step with gang set, otherwise a single task. */
export interface Gang {
  /** Position of its first task within the step. */
  readonly first: number
  readonly size: number
  /** Number of the last attempt, 0 before the first. */
  readonly attempts: number
  readonly failures: number
  readonly checkpoint: string
  readonly done: boolean
  /** Crashes of workers that had just started it, as far as they count; absent for none. */
  readonly crashes?: readonly WorkerCrash[]
  /** The tasks under each crash, also under those that do not count; absent for crashes that earlier versions recorded. */
  readonly crashedTasks?: readonly CrashedTasks[]
  /** Number of attempts that were stopped because they stalled; absent for none. */
  readonly stalls?: number
  /** Present until every member has ended. */
  readonly run?: GangRun
}

/** A job that consists of steps. */
export interface StepJob {
  readonly identifier: string
  readonly account: string
  /** The queue as it was when the job was accepted. */
  readonly queue: Queue
  readonly specification: StepJobSpecification
  readonly state: StepJobState
  /** Milliseconds since the epoch. */
  readonly acceptedAt: number
  /** Milliseconds since the epoch; 0 while it has not ended. */
  readonly endedAt: number
  readonly endReason?: JobEndReason
  readonly started: boolean
  /** The gangs of each step. */
  readonly gangs: ReadonlyArray<readonly Gang[]>
}

/** One incarnation of a worker as its agent announces it. */
export interface IncarnationDescription extends Resources {
  /** Unique to one start of the worker. */
  readonly incarnation: string
  readonly worker: string
  /** Host of the agent beside the worker. */
  readonly host: string
  readonly service: string
  readonly dataCentre: string
  readonly rack: string
  readonly labels: readonly string[]
  /** Start of the incarnation, in milliseconds since the epoch; absent or 0 where it is not known. */
  readonly startedAt?: number
}

/** One incarnation of a worker in the replicated state. */
export interface WorkerIncarnation extends IncarnationDescription {
  /** Time of its registration, in milliseconds since the epoch; absent in older snapshots. An incarnation that is lost and returns is registered again. */
  readonly registeredAt?: number
  /** Gets no new work. */
  readonly leaving: boolean
  /** Number of the last run end that has been recorded. */
  readonly acknowledged: number
  /** Runs that occupy resources of the worker, by name. */
  readonly runs: ImmutableMap<string, RunKey>
  /** Total resources that these runs occupy. */
  readonly used: Resources
}

/** Why an incarnation is lost. */
export enum IncarnationLossCause {
  /** Its host announced another incarnation: it crashed, unless it was leaving. */
  Replaced = 'replaced',
  Deregistered = 'deregistered',
  /** Its lease ran out; whether it crashed is unknown. */
  LeaseExpired = 'lease-expired'
}

/** A loss of an incarnation, kept for a while to recognize those that are lost together. */
export interface IncarnationLoss {
  readonly incarnation: string
  readonly host: string
  readonly rack: string
  /** Milliseconds since the epoch. */
  readonly at: number
  /** When the leader last saw it alive, in milliseconds since the epoch; absent where it never did. */
  readonly aliveAt?: number
}

/** The last change of the evacuation of a data centre. */
export interface DataCentreEvacuation {
  readonly dataCentre: string
  /** Number of this change, counted over all data centres. */
  readonly count: number
  /** False where the change ended the evacuation. */
  readonly evacuated: boolean
  /** Milliseconds since the epoch. */
  readonly changedAt: number
}

/** Evacuated data centres, and those that returned last. */
export interface EvacuationState {
  /** Number of changes so far, over all data centres. */
  readonly changes: number
  /** Highest number of a change that is no longer kept. */
  readonly forgotten: number
  readonly dataCentres: ImmutableMap<string, DataCentreEvacuation>
}

/** The part of the replicated state that concerns step jobs. */
export interface StepState {
  readonly document?: NumberedDocument
  readonly jobs: ImmutableMap<string, StepJob>
  /** Identifiers of the jobs that have not ended or still have runs. */
  readonly open: ImmutableSet<string>
  readonly incarnations: ImmutableMap<string, WorkerIncarnation>
  /** Derived from the jobs. */
  readonly waitingWork: WaitingWorkIndex
  /** Losses of the last while, oldest first. */
  readonly losses: readonly IncarnationLoss[]
  /** Absent until the first evacuation. */
  readonly evacuations?: EvacuationState
  /** Ended runs of which a start may still arrive at their worker; absent for none. */
  readonly revocableStarts?: RevocableStarts
  /** Jobs that were cancelled before they were submitted; absent for none. */
  readonly earlyCancellations?: EarlyCancellations
}

/** The zero of {@link addResources}. */
export const noResources: Resources = { processors: 0, memoryMegabytes: 0, accelerators: 0 }

/** The state before the first log entry. */
export const initialStepState: StepState = { jobs: ImmutableMap(), open: ImmutableSet(), incarnations: ImmutableMap(), waitingWork: ImmutableMap(), losses: [] }

/**
 * Adds or subtracts resources.
 * @param one - the first operand
 * @param other - the second operand
 * @param sign - 1 to add the second operand, -1 to subtract it
 * @returns the sum or difference
 */
export function addResources (one: Resources, other: Resources, sign: 1 | -1 = 1): Resources {
  return {
    processors: one.processors + sign * other.processors,
    memoryMegabytes: one.memoryMegabytes + sign * other.memoryMegabytes,
    accelerators: one.accelerators + sign * other.accelerators
  }
}

/**
 * Finds the gang that a task belongs to.
 * @param job - the job, or undefined where it is not known
 * @param key - step number and position of the task
 * @returns the gang, or undefined where the job has no such task
 */
export function gangOf (job: StepJob | undefined, key: Pick<RunKey, 'step' | 'task'>): Gang | undefined {
  const gangs = job?.gangs[key.step]
  const holdsTask = ({ first, size }: Gang): boolean => key.task >= first && key.task < first + size
  // The gangs of a step have one size, so the position follows from the task; a search would cost more with each task.
  const expected = gangs?.[Math.floor(key.task / (gangs[0]?.size ?? 1))]
  return expected !== undefined && holdsTask(expected) ? expected : gangs?.find(holdsTask)
}

/**
 * Tells whether a step job has ended.
 * @param job - the job
 * @returns true in a final state, even while its runs are still being stopped
 */
export function stepJobEnded (job: StepJob): boolean {
  return job.endedAt !== 0
}
