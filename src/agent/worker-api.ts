/** The interface between a supervising agent and its worker, independent of the worker's protocol. */
import type { RunKey, RunOutcome } from '../core/steps/run'

/** A worker's report about itself. */
export interface WorkerHeartbeat {
  /** Unique for each start of the worker. */
  readonly incarnation: string
  readonly worker: string
  /** Start of this incarnation, in milliseconds since the epoch. Orders the incarnations of a worker. */
  readonly startedAt: number
  /** IP address and port for orders. */
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
  /** Time that a leaving worker stays at least, in milliseconds; absent where it does not state it. */
  readonly remainingMilliseconds?: number
  /** The worker's own clock, in milliseconds. */
  readonly clock: number
  /** Increases with each heartbeat of the incarnation. */
  readonly sequence: number
}

/** The addressee of an order, and the fencing token. */
export interface OrderContext {
  readonly worker: string
  readonly address: string
  /** Start of the addressed incarnation, in milliseconds since the epoch. */
  readonly startedAt: number
  /** A worker refuses an order with a lower token than one it has seen. */
  readonly fencingToken: number
}

/** A run to start. */
export interface TaskStart {
  readonly key: RunKey
  readonly payload: string
  readonly checkpoint: string
  /** End of the lease on the worker's own clock, in milliseconds. */
  readonly leaseUntil: number
}

/** The outcome of an order. */
export enum OrderOutcome {
  /** The order was executed, now or before. */
  Done = 'done',
  /** The order was refused and has no effect; earlier orders may have had one. */
  Refused = 'refused',
  /** Another incarnation runs at that address. */
  OtherIncarnation = 'other-incarnation',
  /** No connection was made, so the worker did not receive the order. */
  NotSent = 'not-sent',
  /** The order may have been executed, or may be executed later. */
  Unknown = 'unknown'
}

/** Why a worker refused an order. */
export enum OrderRefusal {
  /** The worker has seen a higher fencing token. */
  Fenced = 'fenced',
  /** The worker has had this run, or a later one of the task, before. */
  EndedBefore = 'ended-before',
  /** The lease of the order has already expired. */
  TooLate = 'too-late',
  NoCapacity = 'no-room',
  Unhealthy = 'unhealthy',
  Other = 'other'
}

/** The answer to an order. */
export interface OrderAnswer {
  readonly outcome: OrderOutcome
  /** The worker's own clock in milliseconds; 0 if the answer has none. */
  readonly clock: number
  readonly refusal?: OrderRefusal
}

/** A run that the worker lists as running. */
export interface ListedRun {
  readonly key: RunKey
  readonly checkpoint: string
  readonly percent: number
}

/** The end of a run that the worker lists. */
export interface ListedEnd {
  /** Increases with each end of the incarnation. */
  readonly number: number
  readonly key: RunKey
  readonly outcome: RunOutcome
  readonly checkpoint: string
}

/** The running and the ended runs of a worker. */
export interface RunLists {
  /** The worker's own clock, in milliseconds. */
  readonly clock: number
  readonly running: readonly ListedRun[]
  readonly ends: readonly ListedEnd[]
  /** There are no further ends. Otherwise a run that is in neither list may have ended. */
  readonly endsComplete: boolean
}

/** Parameters of a poll of the worker. */
export interface PollRequest {
  /** Number of the last recorded end; the worker need not list ends up to it again. */
  readonly acknowledged: number
  /** New end of the lease on the worker's own clock, in milliseconds; 0 leaves it unchanged. */
  readonly leaseUntil: number
  /** How long the worker may delay its answer until a run ends, in milliseconds. */
  readonly waitMilliseconds: number
}

/** The API of the worker beside this agent. */
export interface WorkerApi {
  start (context: OrderContext, start: TaskStart): Promise<OrderAnswer>
  /** Stops a run. A run that has not started never will in this incarnation. */
  stop (context: OrderContext, key: RunKey): Promise<OrderAnswer>
  /** Returns the lists, or why the poll failed. */
  poll (context: OrderContext, request: PollRequest): Promise<RunLists | OrderOutcome>
  close (): Promise<void>
}
