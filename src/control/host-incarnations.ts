/** The incarnations that the log has for each host, and what follows from them for the report of a host's agent. */
import { revocableStartsAt, runName, type RunKey, type StepState, type WorkerIncarnation } from '../core/index'
import type { WorkerLife, WorkerReport } from '../wire/index'

/** Looks up the incarnations of a host in the current state. */
export class HostIncarnations {
  /** The incarnations by host, for the map of incarnations that it was made from. */
  private index?: { readonly incarnations: StepState['incarnations'], readonly byHost: ReadonlyMap<string, readonly WorkerIncarnation[]> }

  private constructor (private readonly steps: () => StepState, private readonly now: () => number) {}

  /**
   * Creates the lookup.
   * @param steps - returns the current state
   * @param now - returns milliseconds since the epoch
   * @returns the lookup
   */
  static create (steps: () => StepState, now: () => number): HostIncarnations {
    return new HostIncarnations(steps, now)
  }

  /** The incarnations of a host other than the reported one. */
  others (host: string, { incarnation }: Pick<WorkerLife, 'incarnation'>): WorkerIncarnation[] {
    return (this.byHost().get(host) ?? []).filter((other) => other.incarnation !== incarnation)
  }

  /** Whether a later incarnation on the host is registered: a network partition can hold up a report until after those of later streams. */
  isOutdated ({ host, life }: WorkerReport): boolean {
    if (life === undefined || life.startedAt === 0) return false
    return this.others(host, life).some(({ startedAt }) => (startedAt ?? 0) > life.startedAt)
  }

  /** Whether the report is of a later incarnation of the same worker. The earlier one is then lost once its starts are revoked. */
  isSucceededBy (incarnation: string, { host, life }: WorkerReport): boolean {
    const earlier = this.steps().incarnations.get(incarnation)
    return life !== undefined && incarnation !== life.incarnation && earlier?.host === host && earlier.worker === life.worker
  }

  /**
   * Runs that must be settled at the reported incarnation before it is registered: those of earlier incarnations of its
   * worker, and those that have ended lately. Orders name the worker and not its incarnation, so starts for an earlier one
   * may be executed by the present one.
   */
  revocableStarts ({ host, life }: WorkerReport): RunKey[] {
    if (life === undefined) return []
    const { worker, incarnation } = life
    const running = this.others(host, life).filter((other) => other.worker === worker).flatMap(({ runs }) => [...runs.values()])
    const ended = this.steps().incarnations.has(incarnation) ? [] : revocableStartsAt(this.steps(), worker, incarnation, this.now())
    return [...running, ...ended]
  }

  /** The revocable starts that the agent has not settled yet. */
  startsToRevoke (report: WorkerReport): RunKey[] {
    const settled = new Set(report.ends.flatMap(({ key }) => key === undefined ? [] : [runName(key)]))
    return this.revocableStarts(report).filter((key) => !settled.has(runName(key)))
  }

  /** Kept until the incarnations change, since each report asks for it several times. */
  private byHost (): ReadonlyMap<string, readonly WorkerIncarnation[]> {
    const { incarnations } = this.steps()
    if (this.index?.incarnations === incarnations) return this.index.byHost
    const byHost = new Map<string, WorkerIncarnation[]>()
    for (const worker of incarnations.values()) {
      const known = byHost.get(worker.host)
      if (known === undefined) byHost.set(worker.host, [worker])
      else known.push(worker)
    }
    this.index = { incarnations, byHost }
    return byHost
  }
}
