import fc from 'fast-check'
import { expect, test } from 'vitest'
import {
  accountStatement, apply, AttemptOutcome, decide, EffectKind, JobState, Level, Reason, statementLines, TransactionKind, Verdict,
  type Effect, type State, type Transaction
} from '../src/core/index'
import { account, check, declaredJob, fleet, shape } from './documents'

const accounts = ['owner', 'borrower']
const whole = { ...shape, accelerators: 8, within: Level.Worker }

/** Callers and agents around the core. They note what they saw, to be compared with the statement. */
class World {
  state: State = fleet
  readonly lines: string[] = []
  readonly running = new Map<string, { attempt: number, workers: Set<string> }>()
  readonly stopping = new Map<string, { attempt: number, workers: Set<string>, at: number }>()
  readonly accepted = new Set<string>()
  readonly answered = new Map<string, number>()
  readonly givenBack: number[] = []
  readonly mayHaveRun = new Set<string>()
  refused = 0
  now = 10

  constructor () {
    const changes = { clientAccounts: accounts.map(account), guarantees: [{ account: 'owner', shape: whole, count: 2, graceSeconds: 3 }] }
    this.take({ ...check(fleet, changes, 'basis')._unsafeUnwrap().transaction, at: 1 })
  }

  take (transaction: Transaction): boolean {
    const applied = apply(this.state, transaction)
    this.state = applied.state
    this.lines.push(...applied.lines.map((line) => line.text))
    for (const effect of applied.effects) this.see(effect)
    return applied.outcome.isOk()
  }

  see (effect: Effect): void {
    if (effect.kind === EffectKind.Start) this.add(this.running, effect)
    if (effect.kind === EffectKind.Stop && this.running.get(effect.job)?.attempt === effect.attempt) {
      this.running.get(effect.job)!.workers.delete(effect.worker)
      this.add(this.stopping, effect)
    }
  }

  add (map: Map<string, { attempt: number, workers: Set<string>, at: number }> | World['running'], { job, attempt, worker }: Effect & { job: string, attempt: number, worker: string }): void {
    const known = map.get(job)
    if (known?.attempt === attempt) known.workers.add(worker)
    else map.set(job, { attempt, workers: new Set([worker]), at: this.now })
  }

  submit (identifier: string, owner: string, workers: number, accelerators: number): void {
    const { identifier: _, ...specification } = { ...declaredJob(identifier, owner), checkpointable: true, idempotent: true, shape: { ...whole, workers, accelerators, within: workers === 1 ? Level.Worker : Level.DataCentre } }
    if (this.take({ kind: TransactionKind.AcceptJob, at: this.now, identifier, specification })) this.accepted.add(identifier)
    else if (this.take({ kind: TransactionKind.Refuse, at: this.now, account: owner, code: 'queue-full', count: 1, message: 'the queue is full' })) this.refused++
  }

  settle (): void {
    for (let round = 0; round < 20; round++) {
      const decisions = decide(this.state, { now: this.now })
      for (const decision of decisions) this.take(decision)
      for (const job of [...this.state.jobs.values()]) {
        if (job.state === JobState.Reserved) this.take({ kind: TransactionKind.StartJob, at: this.now, job: job.identifier, attempt: job.attempts })
      }
      if (decisions.length === 0) return
    }
  }

  /** The first running job answers. */
  answer (which: number): void {
    const job = [...this.state.jobs.values()].filter((candidate) => candidate.state === JobState.Running).at(which)
    if (job?.attempt === undefined) return
    const before = this.state.jobs.get(job.identifier)?.end
    const content = { contentType: 'text/plain', base64: '', digest: '' }
    this.take({ kind: TransactionKind.FinishJob, at: this.now, job: job.identifier, attempt: job.attempts, worker: job.attempt.members[0]!.worker, answer: content })
    if (before === undefined) this.answered.set(job.identifier, (this.answered.get(job.identifier) ?? 0) + 1)
  }

  /** All agents that were told to stop have done so. */
  stopAll (): void {
    for (const [job, { attempt, workers, at }] of [...this.stopping]) {
      this.stopping.delete(job)
      this.mayHaveRun.add(job)
      const reclaimed = this.state.jobs.get(job)?.attempt?.stopReason === Reason.Reclaimed && this.state.jobs.get(job)?.end === undefined
      for (const worker of workers) {
        this.take({ kind: TransactionKind.EndAttempt, at: this.now, job, attempt, worker, outcome: AttemptOutcome.Checkpointed, verdict: Verdict.MayHaveRun, reason: Reason.Checkpointed, usedMemory: 0 })
      }
      if (reclaimed) this.givenBack.push(this.now - at)
    }
  }
}

test('a statement says in plain words what was promised, borrowed, reclaimed and answered', () => {
  const world = new World()
  world.settle()
  for (const job of ['b1', 'b2', 'b3']) world.submit(job, 'borrower', 1, 8)
  world.settle()
  world.now = 1_000
  world.submit('o1', 'owner', 1, 8)
  world.settle()
  world.now = 2_500
  world.stopAll()
  world.settle()
  world.now = 9_000
  world.answer(0)
  world.answer(0)
  world.take({ kind: TransactionKind.Refuse, at: 9_500, account: 'owner', code: 'queue-full', count: 7, message: 'the queue of owner is full' })
  world.take({ kind: TransactionKind.CancelJobs, at: 9_600, jobs: [...world.state.open], account: '', reason: Reason.CancelledByCaller })
  expect(statementLines(accountStatement(world.lines, 'owner'))).toMatchSnapshot()
  expect(statementLines(accountStatement(world.lines, 'borrower'))).toMatchSnapshot()
})

test('a promise that was not kept is said so', () => {
  const world = new World()
  world.settle()
  for (const job of ['b1', 'b2', 'b3']) world.submit(job, 'borrower', 1, 8)
  world.settle()
  world.now = 1_000
  world.submit('o1', 'owner', 1, 8)
  world.settle()
  world.now = 5_000
  world.stopAll()
  expect(accountStatement(world.lines, 'owner').broken).toMatchSnapshot()
  expect(accountStatement(world.lines.with(3, '{"sequence":1}'), 'owner').verification.faults.length).toBeGreaterThan(0)
})

type Step = { readonly kind: 'submit', readonly owner: string, readonly workers: number, readonly accelerators: number } | { readonly kind: 'answer', readonly which: number } | { readonly kind: 'stop' } | { readonly kind: 'cancel' }

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('submit' as const), owner: fc.constantFrom(...accounts), workers: fc.integer({ min: 1, max: 2 }), accelerators: fc.constantFrom(2, 4, 8) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('answer' as const), which: fc.nat(2) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('stop' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const) }) }
)

test('the statement, made from the record alone, agrees with what callers and agents saw', () => {
  fc.assert(fc.property(fc.array(step, { minLength: 5, maxLength: 40 }), (steps) => {
    const world = new World()
    world.settle()
    for (const [position, next] of steps.entries()) {
      world.now += 700
      if (next.kind === 'submit') world.submit(`${next.owner}-${position}`, next.owner, next.workers, next.accelerators)
      if (next.kind === 'answer') world.answer(next.which)
      if (next.kind === 'stop') world.stopAll()
      if (next.kind === 'cancel') world.take({ kind: TransactionKind.CancelJobs, at: world.now, jobs: [...world.state.open].slice(0, 1), account: '', reason: Reason.CancelledByCaller })
      world.settle()
    }
    const statements = accounts.map((name) => accountStatement(world.lines, name, { after: fleet.record, head: world.state.record }))
    expect(statements.flatMap((statement) => statement.verification.faults)).toEqual([])
    const jobs = statements.flatMap((statement) => statement.jobs)
    expect(new Set(jobs.map((job) => job.job))).toEqual(world.accepted)
    for (const job of jobs) {
      const known = world.state.jobs.get(job.job)!
      if (job.verdict === Verdict.NotRun) expect(world.mayHaveRun.has(job.job)).toBe(false)
      expect([job.finishes, job.endedAt, job.verdict, job.attempts]).toEqual([world.answered.get(job.job) ?? 0, known.end?.at ?? 0, known.end?.verdict, known.attempts])
    }
    const took = statements[0]!.reclaims.filter((reclaim) => reclaim.givenBackAt > 0).map((reclaim) => reclaim.givenBackAt - reclaim.orderedAt)
    for (const time of world.givenBack) expect(took).toContain(time)
    expect(statements.reduce((sum, statement) => sum + statement.totals.refused, 0)).toBe(world.refused)
  }), { seed: 5, numRuns: 150 })
})
