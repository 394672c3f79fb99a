/** Jobs of one gang in evacuated data centres: their placement treats such a data centre as drained, and nothing begins there. */
import { expect, test } from 'vitest'
import { apply, decide, EffectKind, evacuationCount, guaranteeStatus, initialState, JobState, Level, StepTransactionKind, TransactionKind, Urgency, type Effect, type State, type Transaction } from '../src/core/index'

/** Applies transactions and decisions to one state. */
class JobWorld {
  state: State = initialState
  effects: readonly Effect[] = []
  now = 1_000_000

  constructor () {
    const clientAccounts = [{ name: 'one', share: 1, queuedJobs: 10, runningAccelerators: 100, tokens: [], whenRemoved: 'finish' }]
    this.put('first', 0, { clientAccounts })
    this.announce('a', 'd')
    this.announce('b', 'e')
  }

  apply (transaction: Transaction): string {
    const { state, outcome, effects } = apply(this.state, transaction)
    this.state = state
    this.effects = effects
    return outcome.isErr() ? outcome.error.message : ''
  }

  put (requestIdentifier: string, number: number, sections: object): void {
    const read = Object.keys(sections).map((section) => ({ section, number }))
    expect(this.apply({ kind: TransactionKind.PutConfiguration, at: this.now, team: 'all', requestIdentifier, read, sectionsJson: JSON.stringify(sections) })).toBe('')
  }

  announce (name: string, dataCentre: string, running: readonly string[] = []): void {
    const worker = { name, region: 'r', dataCentre, rack: `${dataCentre}1`, accelerators: 8, slots: 8, processors: 64, memoryMegabytes: 131_072 }
    this.apply({ kind: TransactionKind.AnnounceWorker, at: this.now, worker, incarnation: `${name}-1`, leaving: false, running: running.map((job) => ({ job, attempt: 1 })) })
  }

  submit (identifier: string): void {
    const shape = { workers: 1, accelerators: 8, slots: 1, processors: 1, memoryMegabytes: 256, within: Level.DataCentre }
    const specification = { account: 'one', kind: 'proof', shape, idempotent: true, checkpointable: true, urgency: Urgency.Normal, deadline: 0, declaredSeconds: 60, payload: { contentType: 'text/plain', base64: '' } }
    this.apply({ kind: TransactionKind.AcceptJob, at: this.now, identifier, specification })
  }

  evacuate (dataCentre: string, start = true): void {
    const kind = start ? StepTransactionKind.StartEvacuation : StepTransactionKind.FinishEvacuation
    expect(this.apply({ kind, at: this.now, dataCentre, changeCount: evacuationCount(this.state.steps, dataCentre) } as Transaction)).toBe('')
  }

  /** Decides until nothing is left to decide. */
  decide (): void {
    for (let round = 0; round < 10; round++) {
      this.now += 100
      const decisions = decide(this.state, { now: this.now })
      if (decisions.length === 0) return
      for (const decision of decisions) expect(this.apply(decision)).toBe('')
    }
  }

  workersOf (job: string): string[] {
    return this.state.jobs.get(job)?.attempt?.members.map(({ worker }) => worker) ?? []
  }

  begin (job: string): string {
    return this.apply({ kind: TransactionKind.StartJob, at: this.now, job, attempt: this.state.jobs.get(job)?.attempts ?? 0 })
  }
}

test('no job is placed in an evacuated data centre, what runs there goes on, and a return opens it again', () => {
  const world = new JobWorld()
  world.submit('begun')
  world.decide()
  expect(world.workersOf('begun')).toEqual(['a'])
  world.begin('begun')
  world.evacuate('d')
  for (const name of ['x', 'y']) world.submit(name)
  world.decide()
  expect([world.workersOf('x'), world.workersOf('y')].flat()).toEqual(['b'])
  expect(world.state.jobs.get('begun')?.state).toBe(JobState.Running)
  world.evacuate('d', false)
  world.apply({ kind: TransactionKind.CancelJobs, at: world.now, jobs: ['begun'], account: '', reason: 'cancelled-by-caller' as never })
  world.apply({ kind: TransactionKind.EndAttempt, at: world.now, job: 'begun', attempt: 1, worker: 'a', outcome: 'stopped' as never, verdict: 'may-have-run' as never, reason: 'stopped' as never, usedMemory: 0 })
  world.decide()
  expect([world.workersOf('x'), world.workersOf('y')].flat().sort()).toEqual(['a', 'b'])
})

test('a reservation in an evacuated data centre is released; the log refuses to start it or to reserve there', () => {
  const world = new JobWorld()
  world.submit('j')
  world.decide()
  const { attempt } = world.state.jobs.get('j')!
  expect(world.workersOf('j')).toEqual(['a'])
  world.evacuate('d')
  expect(world.begin('j')).not.toBe('')
  world.decide()
  expect(world.workersOf('j')).toEqual(['b'])
  world.submit('k')
  expect(world.apply({ kind: TransactionKind.ReserveJob, at: world.now, job: 'k', attempt: 1, members: attempt!.members, reason: attempt!.reason, borrowing: false })).not.toBe('')
})

test('when its agent connects again, a job that it does not run is stopped instead of started; one that it runs goes on', () => {
  for (const running of [[], ['j']]) {
    const world = new JobWorld()
    world.submit('j')
    world.decide()
    world.begin('j')
    world.evacuate('d')
    world.announce('a', 'd', running)
    const commands = world.effects.filter(({ kind }) => kind === EffectKind.Start || kind === EffectKind.Stop).map(({ kind }) => kind)
    expect(commands).toEqual(running.length === 0 ? [EffectKind.Stop] : [EffectKind.Start])
    expect(world.state.jobs.get('j')?.state).toBe(running.length === 0 ? JobState.Stopping : JobState.Running)
  }
})

test('a guarantee has its home outside evacuated data centres', () => {
  const world = new JobWorld()
  const shape = { workers: 1, accelerators: 8, slots: 1, processors: 1, memoryMegabytes: 256, within: Level.Rack }
  world.put('second', 0, { guarantees: [{ account: 'one', shape, count: 1, graceSeconds: 3 }] })
  world.decide()
  for (const [dataCentre, home] of [['d', 'b'], ['e', 'a']] as const) {
    world.evacuate(dataCentre)
    world.decide()
    expect([...world.state.homes.values()].flatMap(({ members }) => members.map(({ worker }) => worker))).toEqual([home])
    expect(guaranteeStatus(world.state)).toMatchObject([{ homed: 1, missing: 0 }])
    world.evacuate(dataCentre, false)
  }
})
