/** Expected loss by interference on each worker, for the choice of a worker in a scheduling round. */
import { taskKind, type InterferenceFindings, type TaskKind } from './learning/interference-learner'
import type { StepState, WorkerIncarnation } from './model'
import type { TaskPlacement } from './transactions'
import type { WaitingGang } from './waiting-gangs'

/** Rates an incarnation for a task; the higher, the worse. */
export type WorkerPenalty = (worker: WorkerIncarnation) => number

/** The kinds on each worker, with those that the round has started. */
export class Neighbours {
  private readonly started = new Map<string, TaskKind[]>()
  /** Penalties by exact kind, then by incarnation. */
  private readonly penalties = new Map<string, Map<string, number>>()

  private constructor (private readonly state: StepState, private readonly findings: InterferenceFindings | undefined) {}

  /**
   * Creates the neighbours at the start of a round.
   * @param state - state of the step jobs
   * @param findings - what is known of kinds that interfere
   * @returns the neighbours
   */
  static of (state: StepState, findings: InterferenceFindings | undefined): Neighbours {
    return new Neighbours(state, findings)
  }

  /** The penalty of each worker for a gang: how much the task and what runs there slow each other down. Undefined where nothing is known of the gang's kind. */
  penaltyFor (waiting: WaitingGang): WorkerPenalty | undefined {
    const { findings } = this
    if (findings === undefined) return undefined
    const kind = kindOf(waiting)
    if (!findings.concerns(kind)) return undefined
    const known = this.penalties.get(kind.exact) ?? new Map<string, number>()
    this.penalties.set(kind.exact, known)
    return (worker) => {
      const penalty = known.get(worker.incarnation) ?? penaltyOf(findings, kind, this.kindsOn(worker))
      known.set(worker.incarnation, penalty)
      return penalty
    }
  }

  /** Takes the start of a gang into account. */
  recordStart (waiting: WaitingGang, placements: readonly TaskPlacement[]): void {
    if (this.findings === undefined) return
    const kind = kindOf(waiting)
    if (!this.findings.concerns(kind)) return
    for (const { incarnation } of placements) {
      this.started.set(incarnation, [...this.started.get(incarnation) ?? [], kind])
      for (const known of this.penalties.values()) known.delete(incarnation)
    }
  }

  private kindsOn (worker: WorkerIncarnation): readonly TaskKind[] {
    return [...runningKinds(this.state, worker), ...this.started.get(worker.incarnation) ?? []]
  }
}

/** How much the task would be slowed down by the kinds beside it, and each task there by this kind unless the kind is there already. */
function penaltyOf (findings: InterferenceFindings, kind: TaskKind, beside: readonly TaskKind[]): number {
  const distinct = new Map(beside.map((other) => [other.exact, other]))
  const alike = beside.filter((other) => other.exact === kind.exact)
  const affected = alike.length === 0 ? beside : alike.length === 1 ? alike : []
  return [...distinct.values()].reduce((sum, other) => sum + findings.logSlowDown(kind, other), 0) +
    affected.reduce((sum, other) => sum + findings.logSlowDown(other, kind), 0)
}

function kindOf ({ job, queue, key }: WaitingGang): TaskKind {
  return taskKind(queue.name, job.account, key.step)
}

/** The object of an incarnation is replaced whenever its runs change, so that entries never become outdated. */
const kindsCache = new WeakMap<WorkerIncarnation, readonly TaskKind[]>()

function runningKinds (state: StepState, worker: WorkerIncarnation): readonly TaskKind[] {
  const known = kindsCache.get(worker)
  if (known !== undefined) return known
  const kinds = worker.runs.valueSeq().toArray().flatMap(({ job: identifier, step }) => {
    const job = state.jobs.get(identifier)
    return job === undefined ? [] : [taskKind(job.queue.name, job.account, step)]
  })
  kindsCache.set(worker, kinds)
  return kinds
}
