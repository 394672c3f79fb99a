/** Jobs of steps: what they ask for, and how far their gangs are. */
import { Map as ImmutableMap, Set as ImmutableSet } from 'immutable'
import type { NumberedDocument, Queue } from './document'
import type { RunKey } from './run'

/** What one task holds on its worker. */
export interface Resources {
  /** Thousandths of a processor. */
  readonly processors: number
  readonly memoryMegabytes: number
  readonly accelerators: number
}

/** What a caller asks of one step: so many tasks alike. */
export interface StepSpecification extends Resources {
  readonly tasks: number
  /** What the caller expects one task to take, in milliseconds; 0 where it says nothing. */
  readonly estimateMilliseconds: number
  /** Numbers of the earlier steps whose tasks must all be done first. */
  readonly after: readonly number[]
  /** The tasks start and end together. */
  readonly gang: boolean
  /** The tasks take longer when they run in more than one rack. */
  readonly sameRack: boolean
  /** The worker must carry this label; empty for any worker. */
  readonly label: string
  /** Rack in which the tasks run fastest; empty for none. */
  readonly dataRack: string
  /** Most tasks of the step on one worker; 0 for no limit. */
  readonly mostPerWorker: number
  /** A stopped task goes on from its checkpoint. */
  readonly checkpoints: boolean
}

/** What a caller hands in. */
export interface StepJobSpecification {
  /** Opaque to the scheduler; handed to each task. */
  readonly payload: string
  readonly steps: readonly StepSpecification[]
}

/** Where a job of steps is in its life. */
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
  /** Work of a higher priority needs the room. */
  Preempted = 'preempted',
  WorkerLeaving = 'worker-leaving',
  /** No progress on this worker. */
  Stalled = 'stalled',
  /** Not all members ran in time. */
  Incomplete = 'incomplete'
}

/** One task of a run, on its worker. */
export interface RunMember {
  readonly task: number
  /** Incarnation of the worker. */
  readonly incarnation: string
  readonly ended: boolean
}

/** One attempt at a gang. */
export interface GangRun {
  readonly attempt: number
  readonly members: readonly RunMember[]
  /** Milliseconds since the epoch. */
  readonly startedAt: number
  /** Each member starts from the same one, whatever is saved meanwhile. */
  readonly startCheckpoint: string
  readonly stopping?: StopReason
  readonly failed: boolean
}

/** Tasks that run together: all tasks of a gang step, or a single task of another step. */
export interface Gang {
  /** First task of the step that belongs to it. */
  readonly first: number
  readonly size: number
  /** Number of the last attempt, 0 before the first. */
  readonly attempts: number
  readonly failures: number
  readonly checkpoint: string
  readonly done: boolean
  /** Present until every member has ended. */
  readonly run?: GangRun
}

/** A job of steps. */
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
  readonly started: boolean
  /** Gangs by step. */
  readonly gangs: ReadonlyArray<readonly Gang[]>
}

/** What the agent says of one incarnation of its worker. */
export interface LifeDescription extends Resources {
  /** Unique to one start of the worker. */
  readonly incarnation: string
  readonly worker: string
  /** Host of the agent beside the worker. */
  readonly host: string
  readonly service: string
  readonly dataCentre: string
  readonly rack: string
  readonly labels: readonly string[]
}

/** One incarnation of a worker as the log knows it. */
export interface Life extends LifeDescription {
  /** Gets no new work. */
  readonly leaving: boolean
  /** Number of the last end that the log has recorded. */
  readonly acknowledged: number
  /** Runs that hold something here, by name. */
  readonly runs: ImmutableMap<string, RunKey>
  /** What these runs hold together. */
  readonly used: Resources
}

/** The part of the state that belongs to jobs of steps. */
export interface StepState {
  readonly document?: NumberedDocument
  readonly jobs: ImmutableMap<string, StepJob>
  /** Identifiers of jobs that have not ended, or that still hold something. */
  readonly open: ImmutableSet<string>
  readonly lives: ImmutableMap<string, Life>
}

/** Nothing held. */
export const noResources: Resources = { processors: 0, memoryMegabytes: 0, accelerators: 0 }

/** The state before the first entry. */
export const initialStepState: StepState = { jobs: ImmutableMap(), open: ImmutableSet(), lives: ImmutableMap() }

/**
 * Adds or takes away what a task holds.
 * @param one - the sum so far
 * @param other - what is added
 * @param sign - 1 to add, -1 to take away
 * @returns the new sum
 */
export function addResources (one: Resources, other: Resources, sign: 1 | -1 = 1): Resources {
  return {
    processors: one.processors + sign * other.processors,
    memoryMegabytes: one.memoryMegabytes + sign * other.memoryMegabytes,
    accelerators: one.accelerators + sign * other.accelerators
  }
}

/**
 * The gang that a task belongs to.
 * @param job - the job, where it is known
 * @param key - the task, by its step and its position there
 * @returns the gang, or nothing where the job has no such task
 */
export function gangOf (job: StepJob | undefined, key: Pick<RunKey, 'step' | 'task'>): Gang | undefined {
  return job?.gangs[key.step]?.find(({ first, size }) => key.task >= first && key.task < first + size)
}

/**
 * Tells whether a job of steps has ended.
 * @param job - the job
 * @returns true in an end state, even while tasks are still being stopped
 */
export function stepJobEnded (job: StepJob): boolean {
  return job.endedAt !== 0
}
