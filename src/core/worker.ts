/** Whether a worker may get new work. */
export enum WorkerHealth {
  Healthy = 'healthy',
  /** Distinct jobs failed on the worker; it only gets a probe job. */
  Quarantined = 'quarantined'
}

/** Location and resources of a worker, as announced by its agent. */
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

/** A worker as stored in the replicated state. */
export interface Worker extends WorkerDescription {
  /** Generated at each start of the agent. */
  readonly incarnation: string
  /** False from the expiry of the lease until the agent announces itself again. */
  readonly present: boolean
  /** The target announced that it is leaving: no new work. */
  readonly leaving: boolean
  readonly health: WorkerHealth
  /** Failures since the last success, newest last; at most one per job. */
  readonly recentFailures: readonly WorkerFailure[]
  /** Earliest time of the next probe of a quarantined worker, in milliseconds since the epoch. */
  readonly probeAt: number
  /** Start of the quarantine, in milliseconds since the epoch. */
  readonly quarantinedAt?: number
}

/** A failure of a job on a worker. */
export interface WorkerFailure {
  readonly job: string
  readonly account: string
  readonly at: number
}
