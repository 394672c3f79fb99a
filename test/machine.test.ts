import fc from 'fast-check'
import { err, ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { Machine, type EntryPosition } from '../src/control/machine'
import { decide, EffectKind, notRunRefusal, RefusalCode, stateDigest, TransactionKind, Verdict, type Effect, type Refusal, type State, type Transaction } from '../src/core/index'

/** A log that commits only on request and stops accepting proposals when leadership is lost. */
class FakeLog {
  readonly entries: Array<EntryPosition & { readonly data: Uint8Array }> = []
  readonly proposed: Effect[] = []
  readonly carriedOut: Effect[] = []
  readonly scheduled: Array<() => void> = []
  committed = 0
  /** Monotonic milliseconds. */
  time = 0
  /** Duration of one decision round, in milliseconds. */
  cost = 0
  rounds = 0
  leading = true
  readonly machine = Machine.create({
    propose: (data) => {
      if (!this.leading) return err('not-leader')
      const name = { index: this.entries.length + 1, term: 1 }
      this.entries.push({ ...name, data })
      return ok(name)
    },
    onProposed: (effects) => { this.proposed.push(...effects) },
    onCommitted: (applied, leading) => { if (leading) this.carriedOut.push(...applied.flatMap((one) => one.effects)) },
    decide: (head) => {
      this.rounds++
      this.time += this.cost
      return decide(head, { now: 10 })
    },
    schedule: (run) => { this.scheduled.push(run) },
    now: () => this.time,
    onRefusedDecision: (transaction) => { throw new Error(`refused ${transaction.kind}`) }
  })

  runScheduled (): void {
    for (const run of this.scheduled.splice(0)) run()
  }

  commit (count = Infinity): void {
    for (const entry of this.entries.slice(this.committed, this.committed + count)) {
      this.committed++
      this.machine.commit(entry, entry.data)
    }
  }
}

const accounts = JSON.stringify({ clientAccounts: [{ name: 'one', share: 1, queuedJobs: 100, runningAccelerators: 100, tokens: [], whenRemoved: 'finish' }] })
const put: Transaction = { kind: TransactionKind.PutConfiguration, at: 1, team: 'all', requestIdentifier: 'first', read: [{ section: 'clientAccounts', number: 0 }], sectionsJson: accounts }

function announce (name: string): Transaction {
  const worker = { name, region: 'hue', dataCentre: 'a', rack: 'r', accelerators: 8, slots: 8, processors: 8, memoryMegabytes: 8_192 }
  return { kind: TransactionKind.AnnounceWorker, at: 1, worker, incarnation: `${name}-1`, leaving: false, running: [] }
}

function accept (identifier: string): Transaction {
  const shape = { workers: 1, accelerators: 1, slots: 1, processors: 1, memoryMegabytes: 64, within: 'worker' as never }
  const specification = { account: 'one', kind: 'proof', shape, idempotent: false, checkpointable: false, urgency: 'normal' as never, deadline: 0, declaredSeconds: 1, payload: { contentType: 'text/plain', base64: '' } }
  return { kind: TransactionKind.AcceptJob, at: 2, identifier, specification }
}

// An acceptance or a start that is announced before its commit can be lost with the leader. A reservation may be sent early.
test('reservations are sent on proposal, starts and acceptances only after the commit', async () => {
  const log = new FakeLog()
  log.machine.setLeading(true)
  const settled: string[] = []
  for (const transaction of [put, announce('w'), accept('job')]) void log.machine.submit(transaction).then(() => { settled.push(transaction.kind) })
  log.runScheduled()
  await Promise.resolve()
  expect({ settled, proposed: log.proposed.map((effect) => effect.kind).filter((kind) => kind !== EffectKind.JobChanged) }).toMatchSnapshot()
  void log.machine.submit({ kind: TransactionKind.StartJob, at: 11, job: 'job', attempt: 1 })
  log.runScheduled()
  expect(log.carriedOut).toEqual([])
  log.commit()
  await Promise.resolve()
  await Promise.resolve()
  expect(log.carriedOut.some((effect) => effect.kind === EffectKind.Start)).toBe(true)
  expect(settled).toEqual([put.kind, TransactionKind.AnnounceWorker, TransactionKind.AcceptJob])
})

// A proposed entry may still be committed by the next leader, so reporting it as not run would make the caller submit it twice.
test('after a loss of leadership, proposed transactions may have run and queued ones have not', async () => {
  const log = new FakeLog()
  log.machine.setLeading(true)
  const proposed = log.machine.submit(put)
  log.runScheduled()
  const waiting = log.machine.submit(announce('w'))
  log.leading = false
  log.machine.setLeading(false)
  expect((await proposed)._unsafeUnwrapErr().verdict).toBe(Verdict.MayHaveRun)
  expect((await waiting)._unsafeUnwrapErr().verdict).toBe(Verdict.NotRun)
  expect((await log.machine.submit(announce('w')))._unsafeUnwrapErr().verdict).toBe(Verdict.NotRun)
  expect(log.machine.head).toBe(log.machine.committed)
})

// The leader applies transactions to its head state before the commit, a follower only to the committed state.
test('a follower that replays the log reaches the state of the leader, also when leadership was lost in between', () => {
  const steps = fc.array(fc.oneof(
    fc.integer({ min: 0, max: 5 }).map((number) => ({ kind: 'accept' as const, number })),
    fc.integer({ min: 0, max: 3 }).map((number) => ({ kind: 'announce' as const, number })),
    fc.constant({ kind: 'commit' as const, number: 1 }),
    fc.constant({ kind: 'runScheduled' as const, number: 0 }),
    fc.constant({ kind: 'loseLeadership' as const, number: 0 })
  ), { maxLength: 60 })
  fc.assert(fc.property(steps, (list) => {
    const log = new FakeLog()
    log.machine.setLeading(true)
    void log.machine.submit(put)
    const actions = {
      accept: (number: number) => { void log.machine.submit(accept(`job-${number}`)) },
      announce: (number: number) => { void log.machine.submit(announce(`w-${number}`)) },
      commit: (number: number) => { log.commit(number) },
      runScheduled: () => { log.runScheduled() },
      loseLeadership: () => {
        log.machine.setLeading(false)
        log.commit()
        log.machine.setLeading(true)
      }
    }
    for (const { kind, number } of list) actions[kind](number)
    log.runScheduled()
    log.commit()
    const follower = new FakeLog()
    for (const entry of log.entries) follower.machine.commit(entry, entry.data)
    expect(stateDigest(follower.machine.committed)).toBe(stateDigest(log.machine.committed))
    expect(stateDigest(log.machine.head)).toBe(stateDigest(log.machine.committed))
  }), { seed: 20261204, numRuns: 200 })
})

// Slow decision rounds back to back would block heartbeats, commits and callers.
test('a slow decision round is followed by a pause, after which decisions resume', () => {
  const log = new FakeLog()
  log.cost = 60
  log.machine.setLeading(true)
  void log.machine.submit(put)
  log.runScheduled()
  const first = log.rounds
  void log.machine.submit(announce('w'))
  void log.machine.submit(accept('job'))
  log.runScheduled()
  expect({ first, duringPause: log.rounds - first, reserved: log.proposed.some((effect) => effect.kind === EffectKind.Reserve) }).toMatchInlineSnapshot(`
    {
      "duringPause": 0,
      "first": 1,
      "reserved": false,
    }
  `)
  log.time += 180
  log.machine.wake()
  log.runScheduled()
  expect(log.proposed.some((effect) => effect.kind === EffectKind.Reserve)).toBe(true)
})

test('a precondition is checked on the head with everything submitted before it, and what fails it is not proposed', async () => {
  const log = new FakeLog()
  log.machine.setLeading(true)
  const refusal = notRunRefusal(RefusalCode.Conflict, 'there is a worker')
  const whileEmpty = (head: State): Refusal | undefined => head.workers.size === 0 ? undefined : refusal
  const outcomes = Promise.all([log.machine.submit(announce('first'), whileEmpty), log.machine.submit(announce('second'), whileEmpty)])
  log.runScheduled()
  log.commit()
  expect(await outcomes).toEqual([ok(undefined), err(refusal)])
  expect([...log.machine.committed.workers.keys()]).toEqual(['first'])
})
