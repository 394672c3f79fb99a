import fc from 'fast-check'
import { expect, test } from 'vitest'
import {
  accountStatement, apply, AttemptOutcome, decide, EffectKind, JobState, Level, Reason, formatStatement, TransactionKind, Verdict,
  type Effect, type State, type Transaction
} from '../src/core/index'
import { account, check, declaredJob, fleet, shape } from './document-fixtures'

const accounts = ['owner', 'borrower']
const fullWorkerShape = { ...shape, accelerators: 8, within: Level.Worker }

/** Simulates callers and agents around the core and records what they observed, for comparison with the statement. */
class Simulation {
  state: State = fleet
  readonly lines: string[] = []
  readonly running = new Map<string, { attempt: number, workers: Set<string> }>()
  readonly stopping = new Map<string, { attempt: number, workers: Set<string>, at: number }>()
  readonly accepted = new Set<string>()
  readonly answerCounts = new Map<string, number>()
  readonly reclaimDurations: number[] = []
  readonly mayHaveRun = new Set<string>()
  refused = 0
  now = 10

  constructor () {
    const changes = { clientAccounts: accounts.map(account), guarantees: [{ account: 'owner', shape: fullWorkerShape, count: 2, graceSeconds: 3 }] }
    this.applyTransaction({ ...check(fleet, changes, 'basis')._unsafeUnwrap().transaction, at: 1 })
  }

  applyTransaction (transaction: Transaction): boolean {
    const applied = apply(this.state, transaction)
    this.state = applied.state
    this.lines.push(...applied.lines.map((line) => line.text))
    for (const effect of applied.effects) this.onEffect(effect)
    return applied.outcome.isOk()
  }

  onEffect (effect: Effect): void {
    if (effect.kind === EffectKind.Start) this.add(this.running, effect)
    if (effect.kind === EffectKind.Stop && this.running.get(effect.job)?.attempt === effect.attempt) {
      this.running.get(effect.job)!.workers.delete(effect.worker)
      this.add(this.stopping, effect)
    }
  }

  add (map: Map<string, { attempt: number, workers: Set<string>, at: number }> | Simulation['running'], { job, attempt, worker }: Effect & { job: string, attempt: number, worker: string }): void {
    const known = map.get(job)
    if (known?.attempt === attempt) known.workers.add(worker)
    else map.set(job, { attempt, workers: new Set([worker]), at: this.now })
  }

  submit (identifier: string, owner: string, workers: number, accelerators: number): void {
    const { identifier: _, ...specification } = { ...declaredJob(identifier, owner), checkpointable: true, idempotent: true, shape: { ...fullWorkerShape, workers, accelerators, within: workers === 1 ? Level.Worker : Level.DataCentre } }
    if (this.applyTransaction({ kind: TransactionKind.AcceptJob, at: this.now, identifier, specification })) this.accepted.add(identifier)
    else if (this.applyTransaction({ kind: TransactionKind.Refuse, at: this.now, account: owner, code: 'queue-full', count: 1, message: 'the queue is full' })) this.refused++
  }

  settle (): void {
    for (let round = 0; round < 20; round++) {
      const decisions = decide(this.state, { now: this.now })
      for (const decision of decisions) this.applyTransaction(decision)
      for (const job of [...this.state.jobs.values()]) {
        if (job.state === JobState.Reserved) this.applyTransaction({ kind: TransactionKind.StartJob, at: this.now, job: job.identifier, attempt: job.attempts })
      }
      if (decisions.length === 0) return
    }
  }

  /** One of the running jobs answers. */
  answer (index: number): void {
    const job = [...this.state.jobs.values()].filter((candidate) => candidate.state === JobState.Running).at(index)
    if (job?.attempt === undefined) return
    const before = this.state.jobs.get(job.identifier)?.end
    const content = { contentType: 'text/plain', base64: '', digest: '' }
    this.applyTransaction({ kind: TransactionKind.FinishJob, at: this.now, job: job.identifier, attempt: job.attempts, worker: job.attempt.members[0]!.worker, answer: content })
    if (before === undefined) this.answerCounts.set(job.identifier, (this.answerCounts.get(job.identifier) ?? 0) + 1)
  }

  /** All agents that were ordered to stop have done so. */
  stopAll (): void {
    for (const [job, { attempt, workers, at }] of [...this.stopping]) {
      this.stopping.delete(job)
      this.mayHaveRun.add(job)
      const reclaimed = this.state.jobs.get(job)?.attempt?.stopReason === Reason.Reclaimed && this.state.jobs.get(job)?.end === undefined
      for (const worker of workers) {
        this.applyTransaction({ kind: TransactionKind.EndAttempt, at: this.now, job, attempt, worker, outcome: AttemptOutcome.Checkpointed, verdict: Verdict.MayHaveRun, reason: Reason.Checkpointed, usedMemory: 0 })
      }
      if (reclaimed) this.reclaimDurations.push(this.now - at)
    }
  }
}

test('a statement lists the guarantees of an account and what it borrowed, reclaimed and had answered', () => {
  const simulation = new Simulation()
  simulation.settle()
  for (const job of ['b1', 'b2', 'b3']) simulation.submit(job, 'borrower', 1, 8)
  simulation.settle()
  simulation.now = 1_000
  simulation.submit('o1', 'owner', 1, 8)
  simulation.settle()
  simulation.now = 2_500
  simulation.stopAll()
  simulation.settle()
  simulation.now = 9_000
  simulation.answer(0)
  simulation.answer(0)
  simulation.applyTransaction({ kind: TransactionKind.Refuse, at: 9_500, account: 'owner', code: 'queue-full', count: 7, message: 'the queue of owner is full' })
  simulation.applyTransaction({ kind: TransactionKind.CancelJobs, at: 9_600, jobs: [...simulation.state.open], account: '', reason: Reason.CancelledByCaller })
  expect(formatStatement(accountStatement(simulation.lines, 'owner'))).toMatchSnapshot()
  expect(formatStatement(accountStatement(simulation.lines, 'borrower'))).toMatchSnapshot()
})

test('a reclaim that exceeds its grace period is listed as a violation', () => {
  const simulation = new Simulation()
  simulation.settle()
  for (const job of ['b1', 'b2', 'b3']) simulation.submit(job, 'borrower', 1, 8)
  simulation.settle()
  simulation.now = 1_000
  simulation.submit('o1', 'owner', 1, 8)
  simulation.settle()
  simulation.now = 5_000
  simulation.stopAll()
  expect(accountStatement(simulation.lines, 'owner').broken).toMatchSnapshot()
  expect(accountStatement(simulation.lines.with(3, '{"sequence":1}'), 'owner').verification.faults.length).toBeGreaterThan(0)
})

type Step = { readonly kind: 'submit', readonly owner: string, readonly workers: number, readonly accelerators: number } | { readonly kind: 'answer', readonly index: number } | { readonly kind: 'stop' } | { readonly kind: 'cancel' }

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('submit' as const), owner: fc.constantFrom(...accounts), workers: fc.integer({ min: 1, max: 2 }), accelerators: fc.constantFrom(2, 4, 8) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('answer' as const), index: fc.nat(2) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('stop' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const) }) }
)

test('a statement computed from the record alone agrees with what callers and agents observed', () => {
  fc.assert(fc.property(fc.array(step, { minLength: 5, maxLength: 40 }), (steps) => {
    const simulation = new Simulation()
    simulation.settle()
    for (const [position, next] of steps.entries()) {
      simulation.now += 700
      if (next.kind === 'submit') simulation.submit(`${next.owner}-${position}`, next.owner, next.workers, next.accelerators)
      if (next.kind === 'answer') simulation.answer(next.index)
      if (next.kind === 'stop') simulation.stopAll()
      if (next.kind === 'cancel') simulation.applyTransaction({ kind: TransactionKind.CancelJobs, at: simulation.now, jobs: [...simulation.state.open].slice(0, 1), account: '', reason: Reason.CancelledByCaller })
      simulation.settle()
    }
    const statements = accounts.map((name) => accountStatement(simulation.lines, name, { after: fleet.record, head: simulation.state.record }))
    expect(statements.flatMap((statement) => statement.verification.faults)).toEqual([])
    const jobs = statements.flatMap((statement) => statement.jobs)
    expect(new Set(jobs.map((job) => job.job))).toEqual(simulation.accepted)
    for (const job of jobs) {
      const known = simulation.state.jobs.get(job.job)!
      if (job.verdict === Verdict.NotRun) expect(simulation.mayHaveRun.has(job.job)).toBe(false)
      expect([job.finishes, job.endedAt, job.verdict, job.attempts]).toEqual([simulation.answerCounts.get(job.job) ?? 0, known.end?.at ?? 0, known.end?.verdict, known.attempts])
    }
    const took = statements[0]!.reclaims.filter((reclaim) => reclaim.givenBackAt > 0).map((reclaim) => reclaim.givenBackAt - reclaim.orderedAt)
    for (const time of simulation.reclaimDurations) expect(took).toContain(time)
    expect(statements.reduce((sum, statement) => sum + statement.totals.refused, 0)).toBe(simulation.refused)
  }), { seed: 5, numRuns: 150 })
})
