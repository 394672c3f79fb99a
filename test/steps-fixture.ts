import type { Result } from 'neverthrow'
import { apply, assessCrash, IncarnationLossCause, initialState, noResources, StepTransactionKind, type IncarnationDescription, type QueueDocument, type RecordLine, type Refusal, type Resources, type RunKey, type RunOutcome, type State, type StepJob, type StepSpecification, type StepTransaction, type Transaction } from '../src/core/index'

/** A step with the given fields; a single small task by default. */
export function step (fields: Partial<StepSpecification> = {}): StepSpecification {
  return {
    tasks: 1, processors: 1_000, memoryMegabytes: 1_000, accelerators: 1, estimateMilliseconds: 1_000, after: [], gang: false, sameRack: false, label: '', dataRack: '', mostPerWorker: 0, checkpoints: false, ...fields
  }
}

/** A worker of 64 processors, 128 GB and 8 accelerators. */
export function worker (name: string, fields: Partial<IncarnationDescription> = {}): IncarnationDescription {
  return {
    incarnation: `${name}@1`, worker: name, host: `host-${name}`, service: 'proofs', dataCentre: 'd', rack: 'r1', labels: ['a', fields.rack ?? 'r1'], processors: 64_000, memoryMegabytes: 131_072, accelerators: 8, ...fields
  }
}

const queue = (name: string, priority: number): QueueDocument['queues'][number] => ({
  name, host: 'h', prefix: `/${name}/`, service: 'proofs', priority, mostAttempts: 2, slackFactor: 2, targetLatencyMilliseconds: 500, timeoutMilliseconds: 3_000, public: false
})

/** Queues urgent, normal and later of one service, and two accounts of which one has a guarantee. */
export const queueDocument: QueueDocument = {
  queues: [queue('urgent', 0), queue('normal', 1), queue('later', 2)],
  services: [{ name: 'proofs', guardsCapacity: false, standby: false }],
  accounts: [{ name: 'one', keys: ['1'.repeat(64)], guaranteedAccelerators: 16 }, { name: 'two', keys: ['2'.repeat(64)], guaranteedAccelerators: 0 }]
}

/** Drives the core through transactions, without agents or a replicated log. */
export class StepWorld {
  now = 1_000_000
  /** Lines of the audit record so far. */
  readonly lines: RecordLine[] = []
  private constructor (public state: State) {}

  static create (workers: readonly IncarnationDescription[] = [], document = queueDocument): StepWorld {
    const world = new StepWorld(initialState)
    world.apply({ kind: StepTransactionKind.ReplaceDocument, at: world.now, number: 1, documentJson: JSON.stringify(document), source: 'source' })
    for (const description of workers) world.apply({ kind: StepTransactionKind.AnnounceIncarnation, at: world.now, life: description })
    return world
  }

  /** Continues from a state. */
  static from (state: State): StepWorld {
    return new StepWorld(state)
  }

  /** Applies a transaction; returns the message of its refusal, empty where it was accepted. */
  apply (transaction: Transaction): string {
    return this.propose(transaction).match(() => '', ({ message }) => message)
  }

  /** Applies a transaction; returns its outcome. */
  propose (transaction: Transaction): Result<void, Refusal> {
    const { state, outcome, lines } = apply(this.state, transaction)
    this.state = state
    this.lines.push(...lines)
    return outcome
  }

  submit (identifier: string, steps: readonly StepSpecification[], queueName = 'normal', account = 'two'): string {
    return this.apply({ kind: StepTransactionKind.SubmitSteps, at: this.now, identifier, account, queue: queueName, specification: { payload: 'text', steps } })
  }

  start (job: string, number: number, gang: number, incarnations: readonly string[]): string {
    const found = this.job(job).gangs[number]?.[gang]
    const placements = incarnations.map((incarnation, position) => ({ task: (found?.first ?? 0) + position, incarnation }))
    return this.apply({ kind: StepTransactionKind.StartGang, at: this.now, job, step: number, gang, attempt: (found?.attempts ?? 0) + 1, placements })
  }

  /** Number of the last run end, of any worker. */
  private endNumber = 0

  end (incarnation: string, key: RunKey, outcome: RunOutcome, checkpoint = ''): void {
    this.endNumber += 1
    this.apply({ kind: StepTransactionKind.EndRuns, at: this.now, incarnation, ends: [{ number: this.endNumber, key, outcome, checkpoint }] })
  }

  /** Changes the given resources of a worker. */
  resize (incarnation: string, fields: Partial<Resources>): string {
    const { processors, memoryMegabytes, accelerators } = { ...(this.state.steps.incarnations.get(incarnation) ?? noResources), ...fields }
    return this.apply({ kind: StepTransactionKind.ResizeIncarnation, at: this.now, incarnation, capacity: { processors, memoryMegabytes, accelerators } })
  }

  /** Loses an incarnation that another one replaced, as a leader records it that last saw each worker alive at the given times. */
  crash (incarnation: string, aliveAt: ReadonlyMap<string, number>): void {
    const { steps } = this.state
    const assessment = assessCrash(steps, incarnation, { aliveAt, now: this.now })
    this.apply({ kind: StepTransactionKind.LoseIncarnation, at: this.now, incarnation, checkpoints: [], cause: IncarnationLossCause.Replaced, aliveAt: aliveAt.get(incarnation), ...assessment })
  }

  applyAll (transactions: readonly StepTransaction[]): string[] {
    return transactions.map((transaction) => this.apply(transaction))
  }

  job (identifier: string): StepJob {
    const job = this.state.steps.jobs.get(identifier)
    if (job === undefined) throw new Error(`no job ${identifier}`)
    return job
  }
}
