/** What a supervising agent asks of its worker, whatever the worker's protocol is. */
import type { RunKey, RunOutcome } from '../core/steps/run'

/** What the worker says of itself. */
export interface WorkerHeartbeat {
  /** Unique to one start of the worker. */
  readonly incarnation: string
  readonly worker: string
  /** When this incarnation began, in milliseconds since the epoch; a lower one is older. */
  readonly startedAt: number
  /** IP number and port at which it takes orders. */
  readonly address: string
  readonly service: string
  readonly dataCentre: string
  readonly rack: string
  readonly labels: readonly string[]
  /** Thousandths of a processor. */
  readonly processors: number
  readonly memoryMegabytes: number
  readonly accelerators: number
  readonly leaving: boolean
  /** The worker's own clock, in milliseconds. */
  readonly clock: number
  /** Goes up with each message of the incarnation. */
  readonly sequence: number
}

/** Whom an order is meant for, and by what right it is given. */
export interface OrderContext {
  readonly worker: string
  readonly address: string
  /** When the incarnation began that is meant, in milliseconds since the epoch. */
  readonly startedAt: number
  /** A worker takes no order with a lower one than it has seen. */
  readonly fencingToken: number
}

/** One run to start. */
export interface TaskStart {
  readonly key: RunKey
  readonly payload: string
  readonly checkpoint: string
  /** On the worker's own clock, in milliseconds. */
  readonly leaseUntil: number
}

/** What became of an order. */
export enum OrderOutcome {
  /** It was carried out, or had been before. */
  Done = 'done',
  /** It was refused and has no effect. */
  Refused = 'refused',
  /** Another incarnation lives there. */
  OtherIncarnation = 'other-incarnation',
  /** It never left this host. */
  NotSent = 'not-sent',
  /** It may have been carried out, or may be later. */
  Unknown = 'unknown'
}

/** Why a worker refused an order. */
export enum OrderRefusal {
  /** It has seen a higher fencing token. */
  Fenced = 'fenced',
  /** This run, or a later one of the task, has been there before. */
  EndedBefore = 'ended-before',
  /** Its lease would be over already. */
  TooLate = 'too-late',
  NoCapacity = 'no-room',
  Unhealthy = 'unhealthy',
  Other = 'other'
}

/** The answer to an order. */
export interface OrderAnswer {
  readonly outcome: OrderOutcome
  /** The worker's own clock in milliseconds; 0 where it did not say. */
  readonly clock: number
  readonly refusal?: OrderRefusal
}

/** A run that the worker lists as running. */
export interface ListedRun {
  readonly key: RunKey
  readonly checkpoint: string
  readonly percent: number
}

/** An end that the worker lists. */
export interface ListedEnd {
  /** Goes up with each end of the incarnation. */
  readonly number: number
  readonly key: RunKey
  readonly outcome: RunOutcome
  readonly checkpoint: string
}

/** What runs on a worker, and what has ended there. */
export interface RunLists {
  readonly clock: number
  readonly running: readonly ListedRun[]
  readonly ends: readonly ListedEnd[]
}

/** One look at a worker. */
export interface PollRequest {
  /** Ends up to this number need not be listed again. */
  readonly acknowledged: number
  /** New end of the lease on the worker's own clock, in milliseconds; 0 to leave it. */
  readonly leaseUntil: number
  /** How long the worker may wait for an end before it answers, in milliseconds. */
  readonly waitMilliseconds: number
}

/** The worker beside this agent. */
export interface WorkerApi {
  start (context: OrderContext, start: TaskStart): Promise<OrderAnswer>
  /** Stops a run; one that has not begun never will in this incarnation. */
  stop (context: OrderContext, key: RunKey): Promise<OrderAnswer>
  /** The lists, or why they cannot be had. */
  poll (context: OrderContext, look: PollRequest): Promise<RunLists | OrderOutcome>
  close (): Promise<void>
}
