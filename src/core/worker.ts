/** How far a worker is trusted with new work. */
export enum WorkerHealth {
  Healthy = 'healthy',
  /** Distinct jobs failed here; it gets nothing but a probe. */
  Quarantined = 'quarantined'
}

/** Where a worker stands, and what it has. Told by its agent. */
export interface WorkerDescription {
  readonly name: string
  readonly region: string
  readonly dataCentre: string
  readonly rack: string
  readonly accelerators: number
  readonly slots: number
  readonly processors: number
  readonly memoryMegabytes: number
}

/** A worker as the log knows it. */
export interface Worker extends WorkerDescription {
  /** Made anew at each start of the agent. */
  readonly incarnation: string
  /** False from the moment the lease ran out until the agent announces itself again. */
  readonly present: boolean
  /** The target said that it leaves: no new work. */
  readonly leaving: boolean
  readonly health: WorkerHealth
  /** Jobs that failed here since the last success, most recent last. */
  readonly recentFailures: readonly WorkerFailure[]
  /** Milliseconds since the epoch before which a quarantined worker gets no probe. */
  readonly probeAt: number
  /** When the quarantine began, in milliseconds since the epoch. */
  readonly quarantinedAt?: number
}

/** One failure of a job on a worker. */
export interface WorkerFailure {
  readonly job: string
  readonly account: string
  readonly at: number
}
