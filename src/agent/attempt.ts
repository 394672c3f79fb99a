import type { AttemptKey, Content } from '../wire'
import type { Verdict } from '../core/verdict'
import type { Report, ReportReason } from './report'

/** Where an attempt's part on this worker is. */
export enum Phase {
  Reserved = 'reserved',
  /** The platform was asked to start the task and has not yet answered. */
  Starting = 'starting',
  Running = 'running',
  Stopping = 'stopping',
  /** Over; kept until control has the report and the platform has ended the task. */
  Ended = 'ended'
}

/** How a running part is brought to its end. */
export enum StopMode {
  Checkpoint = 'checkpoint',
  Stop = 'stop'
}

/** What a part takes of its worker. */
export interface Resources {
  /** Bit i set: accelerator i of the row. */
  readonly mask: number
  readonly slots: number
  readonly processors: number
  readonly memoryMegabytes: number
}

/** What the start says. */
export interface Order {
  readonly lead: boolean
  readonly idempotent: boolean
  readonly checkpointable: boolean
  /** Milliseconds since the epoch, 0 for none. */
  readonly deadline: number
  readonly answerBytesLimit: number
  /** Dropped once it was handed to the target. */
  readonly payload?: Content
}

/** One attempt's part on this worker. */
export interface Attempt {
  readonly key: AttemptKey
  readonly phase: Phase
  readonly resources: Resources
  /** Milliseconds since the epoch. */
  readonly reservedAt: number
  readonly order?: Order
  /** The platform may have a task of this attempt. */
  readonly onPlatform: boolean
  /** A request to the target is open. */
  readonly atTarget: boolean
  /** An earlier process of this agent started it: whatever happens now, it may have run. */
  readonly startedByEarlierProcess: boolean
  readonly stopReason?: ReportReason
  /** Decided, and told to control until it is acknowledged; held back while a stop is being carried out. */
  readonly report?: Report
  readonly acknowledged: boolean
}

/** A task that the platform shows and of which this incarnation knows nothing. */
export interface OrphanTask {
  readonly key: AttemptKey
  readonly resources: Resources
}

/** What a worker can hold. */
export interface Capacity {
  readonly accelerators: number
  readonly slots: number
  readonly connections: number
}

/** Everything the agent knows of attempts. Only the reducer in attempts.ts makes a new one. */
export interface AgentState {
  readonly incarnation: string
  readonly capacity: Capacity
  readonly leased: boolean
  readonly leaving: boolean
  /** The target answers nothing: no new work, and what was sent to it is given up. */
  readonly targetSilent: boolean
  readonly attempts: ReadonlyMap<string, Attempt>
  readonly orphans: ReadonlyMap<string, OrphanTask>
  /**
   * Every attempt ever found at the platform without this incarnation having started it, the oldest first. Control may
   * send its commands under the present incarnation, once it has heard that the platform shows it.
   */
  readonly seenOrphans: readonly string[]
  /** Attempts that were never started here and never will be, the oldest first. */
  readonly notStartedAttempts: readonly string[]
  /** Attempts whose report control has, the oldest first. */
  readonly reportedAttempts: readonly string[]
}

/** The kinds of things that happen to attempts. */
export enum EventKind {
  Reserve = 'reserve',
  Release = 'release',
  Start = 'start',
  Stop = 'stop',
  Acknowledge = 'acknowledge',
  PlatformStarted = 'platform-started',
  PlatformRefused = 'platform-refused',
  PlatformEnded = 'platform-ended',
  PlatformTasksListed = 'platform-shown',
  RequestAnswered = 'answered',
  RequestFailed = 'broken',
  GraceExpired = 'grace-over',
  LeaseGained = 'lease-gained',
  LeaseEnded = 'lease-ended',
  ReservationsExpire = 'reservations-expire',
  Leave = 'leave',
  StopAll = 'stop-all',
  /** The target does not answer any more, or answers again. */
  TargetHealthChanged = 'target-watched'
}

interface Keyed { readonly key: AttemptKey }

/** Something that happened; time comes in where it matters. */
export type AgentEvent =
  | Keyed & { readonly kind: EventKind.Reserve, readonly resources: Resources, readonly incarnation: string, readonly now: number }
  | Keyed & { readonly kind: EventKind.Release }
  | Keyed & { readonly kind: EventKind.Start, readonly order: Order, readonly incarnation: string, readonly now: number }
  | Keyed & { readonly kind: EventKind.Stop, readonly mode: StopMode, readonly graceMilliseconds: number }
  | Keyed & { readonly kind: EventKind.Acknowledge }
  | Keyed & { readonly kind: EventKind.PlatformStarted, readonly now: number }
  /** The task is not at the platform; the verdict says whether it may have been. */
  | Keyed & { readonly kind: EventKind.PlatformRefused, readonly verdict: Verdict }
  /** The platform confirms that the task was ended as asked. */
  | Keyed & { readonly kind: EventKind.PlatformEnded, readonly mode: StopMode }
  | PlatformTasksListed
  | Keyed & { readonly kind: EventKind.RequestAnswered, readonly answer: Content }
  | Keyed & { readonly kind: EventKind.RequestFailed, readonly verdict: Verdict, readonly reason: ReportReason }
  | Keyed & { readonly kind: EventKind.GraceExpired }
  | { readonly kind: EventKind.LeaseGained }
  | { readonly kind: EventKind.LeaseEnded, readonly graceMilliseconds: number }
  /** A leader that died between the reservation and its log entry never releases it. */
  | { readonly kind: EventKind.ReservationsExpire, readonly reservedBefore: number }
  | { readonly kind: EventKind.Leave }
  | { readonly kind: EventKind.TargetHealthChanged, readonly silent: boolean }
  | { readonly kind: EventKind.StopAll, readonly reason: ReportReason, readonly graceMilliseconds: number }

/** What the platform shows. */
export interface PlatformTasksListed {
  readonly kind: EventKind.PlatformTasksListed
  readonly tasks: readonly OrphanTask[]
  /** Attempts that ran when the platform was asked: one of them not shown has died. */
  readonly expectedAttempts: readonly string[]
  /** Attempts that the platform ended because they used too much memory. */
  readonly overMemory: readonly string[]
}

/** The kinds of things to be done. */
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

/** Something to be done, in order. */
export type Effect =
  | Keyed & { readonly kind: EffectKind.Reply, readonly granted: boolean, readonly reason: ReportReason }
  | Keyed & { readonly kind: EffectKind.StartOnPlatform, readonly resources: Resources }
  | Keyed & { readonly kind: EffectKind.CheckpointOnPlatform }
  | Keyed & { readonly kind: EffectKind.StopOnPlatform }
  | Keyed & { readonly kind: EffectKind.SendToTarget, readonly payload: Content, readonly deadline: number, readonly answerBytesLimit: number }
  | Keyed & { readonly kind: EffectKind.AbortTarget }
  | Keyed & { readonly kind: EffectKind.SetGrace, readonly milliseconds: number }
  | Keyed & { readonly kind: EffectKind.Report, readonly report: Report }

/** The outcome of one event. */
export interface Transition {
  readonly state: AgentState
  readonly effects: readonly Effect[]
}

/**
 * Names an attempt in one string: the job, a dot and the number.
 * @param key - the attempt
 * @returns its name, as the platform knows it
 */
export function attemptName (key: AttemptKey): string {
  return `${key.job}.${key.attempt}`
}

/**
 * Reads a name made by {@link attemptName}.
 * @param name - the name
 * @returns the attempt
 */
export function parseAttemptName (name: string): AttemptKey {
  const dot = name.lastIndexOf('.')
  return { job: name.slice(0, dot), attempt: Number(name.slice(dot + 1)) }
}
