import type { AttemptKey, Content } from '../wire'
import type { Verdict } from '../core/verdict'
import type { Report, ReportReason } from './report'

/** The phase of an attempt on this worker. */
export enum Phase {
  Reserved = 'reserved',
  /** The platform has not yet answered the request to start the task. */
  Starting = 'starting',
  Running = 'running',
  Stopping = 'stopping',
  /** Ended; kept until control has acknowledged the report and the platform has ended the task. */
  Ended = 'ended'
}

/** How a running attempt is stopped. */
export enum StopMode {
  Checkpoint = 'checkpoint',
  Stop = 'stop'
}

/** The resources that an attempt holds on its worker. */
export interface Resources {
  /** Bit i stands for accelerator i of the worker. */
  readonly mask: number
  readonly slots: number
  readonly processors: number
  readonly memoryMegabytes: number
}

/** The parameters of a start command. */
export interface Order {
  readonly lead: boolean
  readonly idempotent: boolean
  readonly checkpointable: boolean
  /** Milliseconds since the epoch, 0 for none. */
  readonly deadline: number
  readonly answerBytesLimit: number
  /** Removed once the request to the target was sent. */
  readonly payload?: Content
}

/** An attempt on this worker. */
export interface Attempt {
  readonly key: AttemptKey
  readonly phase: Phase
  readonly resources: Resources
  /** Milliseconds since the epoch. */
  readonly reservedAt: number
  readonly order?: Order
  /** The platform may be running a task of this attempt. */
  readonly onPlatform: boolean
  /** A request to the target is open. */
  readonly atTarget: boolean
  /** An earlier process of this agent started the attempt, so it may have run whatever happens now. */
  readonly startedByEarlierProcess: boolean
  readonly stopReason?: ReportReason
  /** Sent to control until it is acknowledged, but not before the platform has confirmed a pending stop. */
  readonly report?: Report
  readonly acknowledged: boolean
}

/** A task that the platform lists and that this incarnation of the agent did not start. */
export interface OrphanTask {
  readonly key: AttemptKey
  readonly resources: Resources
}

/** The resources of a worker. */
export interface Capacity {
  readonly accelerators: number
  readonly slots: number
  readonly connections: number
}

/** The state of the agent. Created and changed only by the reducer in attempt-reducer.ts. */
export interface AgentState {
  readonly incarnation: string
  readonly capacity: Capacity
  readonly leased: boolean
  readonly leaving: boolean
  /** The target fails its health checks: reservations are refused, and open requests to it were aborted. */
  readonly targetSilent: boolean
  readonly attempts: ReadonlyMap<string, Attempt>
  readonly orphans: ReadonlyMap<string, OrphanTask>
  /**
   * Every attempt that has been an orphaned task, the oldest first. Once control has learnt from an announcement that it
   * runs, it may send commands for it under the present incarnation.
   */
  readonly seenOrphans: readonly string[]
  /** Attempts that were not started on this worker and never will be, the oldest first. */
  readonly notStartedAttempts: readonly string[]
  /** Attempts whose report control has acknowledged, the oldest first. */
  readonly reportedAttempts: readonly string[]
}

/** The kinds of events. */
export enum EventKind {
  Reserve = 'reserve',
  Release = 'release',
  Start = 'start',
  Stop = 'stop',
  Acknowledge = 'acknowledge',
  PlatformStarted = 'platform-started',
  PlatformRefused = 'platform-refused',
  PlatformEnded = 'platform-ended',
  /** The platform has listed its tasks. */
  PlatformTasksListed = 'platform-shown',
  RequestAnswered = 'answered',
  RequestFailed = 'broken',
  GraceExpired = 'grace-over',
  LeaseGained = 'lease-gained',
  LeaseEnded = 'lease-ended',
  ReservationsExpire = 'reservations-expire',
  Leave = 'leave',
  StopAll = 'stop-all',
  /** The target has become silent, or responds again. */
  TargetHealthChanged = 'target-watched'
}

interface Keyed { readonly key: AttemptKey }

/** An event; it carries the time where the reducer needs it. */
export type AgentEvent =
  | Keyed & { readonly kind: EventKind.Reserve, readonly resources: Resources, readonly incarnation: string, readonly now: number }
  | Keyed & { readonly kind: EventKind.Release }
  | Keyed & { readonly kind: EventKind.Start, readonly order: Order, readonly incarnation: string, readonly now: number }
  | Keyed & { readonly kind: EventKind.Stop, readonly mode: StopMode, readonly graceMilliseconds: number }
  | Keyed & { readonly kind: EventKind.Acknowledge }
  | Keyed & { readonly kind: EventKind.PlatformStarted, readonly now: number }
  /** The platform did not confirm the start; the verdict says whether the task may have run. */
  | Keyed & { readonly kind: EventKind.PlatformRefused, readonly verdict: Verdict }
  /** The platform confirmed that the task was ended in the requested mode. */
  | Keyed & { readonly kind: EventKind.PlatformEnded, readonly mode: StopMode }
  | PlatformTasksListed
  | Keyed & { readonly kind: EventKind.RequestAnswered, readonly answer: Content }
  | Keyed & { readonly kind: EventKind.RequestFailed, readonly verdict: Verdict, readonly reason: ReportReason }
  | Keyed & { readonly kind: EventKind.GraceExpired }
  | { readonly kind: EventKind.LeaseGained }
  | { readonly kind: EventKind.LeaseEnded, readonly graceMilliseconds: number }
  /** Drops reservations that were never released, because their leader died before it had committed the log entry. */
  | { readonly kind: EventKind.ReservationsExpire, readonly reservedBefore: number }
  | { readonly kind: EventKind.Leave }
  | { readonly kind: EventKind.TargetHealthChanged, readonly silent: boolean }
  | { readonly kind: EventKind.StopAll, readonly reason: ReportReason, readonly graceMilliseconds: number }

/** The platform has listed its tasks. */
export interface PlatformTasksListed {
  readonly kind: EventKind.PlatformTasksListed
  readonly tasks: readonly OrphanTask[]
  /** Attempts that were running when the list was requested; one that is not listed has died. */
  readonly expectedAttempts: readonly string[]
  /** Attempts that the platform ended because they exceeded their memory. */
  readonly overMemory: readonly string[]
}

/** The kinds of effects. */
export enum EffectKind {
  Reply = 'reply',
  StartOnPlatform = 'start-on-platform',
  CheckpointOnPlatform = 'checkpoint-on-platform',
  StopOnPlatform = 'stop-on-platform',
  SendToTarget = 'send-to-target',
  AbortTarget = 'abort-target',
  SetGrace = 'set-grace',
  Report = 'report'
}

/** An action that follows from an event. */
export type Effect =
  | Keyed & { readonly kind: EffectKind.Reply, readonly granted: boolean, readonly reason: ReportReason }
  | Keyed & { readonly kind: EffectKind.StartOnPlatform, readonly resources: Resources }
  | Keyed & { readonly kind: EffectKind.CheckpointOnPlatform }
  | Keyed & { readonly kind: EffectKind.StopOnPlatform }
  | Keyed & { readonly kind: EffectKind.SendToTarget, readonly payload: Content, readonly deadline: number, readonly answerBytesLimit: number }
  | Keyed & { readonly kind: EffectKind.AbortTarget }
  | Keyed & { readonly kind: EffectKind.SetGrace, readonly milliseconds: number }
  | Keyed & { readonly kind: EffectKind.Report, readonly report: Report }

/** The result of one event: the new state and the effects, in order. */
export interface Transition {
  readonly state: AgentState
  readonly effects: readonly Effect[]
}

/**
 * Returns the name of an attempt at the platform: the job, a dot and the attempt number.
 * @param key - the attempt
 * @returns the name
 */
export function attemptName (key: AttemptKey): string {
  return `${key.job}.${key.attempt}`
}

/**
 * Parses a name made by {@link attemptName}.
 * @param name - the name
 * @returns the attempt
 */
export function parseAttemptName (name: string): AttemptKey {
  const dot = name.lastIndexOf('.')
  return { job: name.slice(0, dot), attempt: Number(name.slice(dot + 1)) }
}
