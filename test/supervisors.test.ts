import { EventEmitter } from 'node:events'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { Supervisors, type SupervisorCall } from '../src/control/supervisors'
import { CrashEvidence, IncarnationLossCause, RunOutcome, StepTransactionKind, type State, type StepTransaction, type Transaction } from '../src/core/index'
import { WorkerReport, type WorkerOrders } from '../src/wire'
import { step, StepWorld, worker } from './steps-fixture'

const LEASE = 4_000

/** The leader's end with one stream, on a state that applies submitted transactions at once, and commits them at once unless that is held. */
class LeaderFixture {
  readonly world = StepWorld.create([worker('a')])
  private heldCommitted?: State
  readonly proposed: StepTransaction[] = []
  readonly orders: WorkerOrders[] = []
  readonly logged: object[] = []
  confirmed = true
  confirmations: Array<() => void> = []
  holdConfirmations = false
  readonly supervisors = Supervisors.create({
    head: () => this.world.state,
    committed: () => this.heldCommitted ?? this.world.state,
    term: () => 3,
    now: () => Date.now(),
    submit: async (transaction: Transaction) => {
      this.proposed.push(transaction as StepTransaction)
      return await Promise.resolve(this.world.apply(transaction))
    },
    confirm: async () => {
      if (this.holdConfirmations) await new Promise<void>((resolve) => { this.confirmations.push(resolve) })
      return this.confirmed
    },
    controlHosts: () => ['127.0.0.1:1'],
    relays: () => [],
    leaseMilliseconds: LEASE,
    stopMilliseconds: 50,
    log: (event, fields) => { this.logged.push({ event, ...fields }) }
  })

  call = this.attach()

  /** Keeps the committed state while further transactions are proposed. */
  holdCommits (): void { this.heldCommitted = this.world.state }
  commit (): void { this.heldCommitted = undefined }

  attach (): SupervisorCall {
    const call = Object.assign(new EventEmitter(), { write: (orders: WorkerOrders) => { this.orders.push(orders); return true }, end: () => {} }) as unknown as SupervisorCall
    this.supervisors.attach(call)
    return call
  }

  async report (fields: Parameters<typeof WorkerReport.fromPartial>[0] = {}, name = 'a'): Promise<WorkerOrders | undefined> {
    const { host, processors, ...life } = worker(name)
    this.call.emit('data', WorkerReport.fromPartial({ host, sequence: 1, clock: 1_000, life: { ...life, processors, labels: [...life.labels] }, ...fields }))
    await vi.advanceTimersByTimeAsync(0)
    return this.orders.at(-1)
  }

  overdue (): string[] {
    return this.supervisors.expiredLeases().map(({ kind }) => kind)
  }
}

let leader: LeaderFixture

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance', 'Date', 'setTimeout', 'setInterval', 'setImmediate'] })
  leader = new LeaderFixture()
  leader.supervisors.beginLeading()
})

afterEach(() => { vi.useRealTimers() })

test('a lease ends at an absolute time of the worker\'s clock, counted from the clock reading in the report', async () => {
  expect(await leader.report({ clock: 5_000 })).toMatchObject({ term: 3, sequence: 1, incarnation: 'a@1', leaseUntil: 9_000, controlHosts: ['127.0.0.1:1'] })
})

test('no lease is granted without a quorum, or on a confirmation that began before the report came', async () => {
  leader.confirmed = false
  expect(await leader.report()).toBeUndefined()
  leader.confirmed = true
  leader.holdConfirmations = true
  await leader.report({ sequence: 7 })
  await leader.report({ sequence: 8 })
  expect(leader.orders).toEqual([])
  leader.confirmations.shift()?.()
  await vi.advanceTimersByTimeAsync(0)
  expect(leader.orders.map(({ sequence }) => sequence)).toEqual([7])
  leader.confirmations.shift()?.()
  await vi.advanceTimersByTimeAsync(0)
  expect(leader.orders.map(({ sequence }) => sequence)).toEqual([7, 8])
})

test('a worker is lost only after the longest lease that this or an earlier leader can have granted, measured on a slow worker clock', async () => {
  await vi.advanceTimersByTimeAsync(LEASE * 1.02)
  expect(leader.overdue()).toEqual([])
  await leader.report()
  await vi.advanceTimersByTimeAsync(LEASE * 1.02)
  expect(leader.overdue()).toEqual([])
  await vi.advanceTimersByTimeAsync(LEASE * 0.1)
  expect(leader.overdue()).toEqual([StepTransactionKind.LoseIncarnation])
})

test('a clock reading that is reported again extends no lease, and its worker gets no new work', async () => {
  for (let elapsed = 0; elapsed <= LEASE; elapsed += 500) {
    expect(leader.overdue()).toEqual([])
    await leader.report()
    await vi.advanceTimersByTimeAsync(500)
  }
  await leader.report()
  expect([...leader.supervisors.fleetView().silent]).toEqual(['a@1'])
  expect(leader.overdue()).toEqual([StepTransactionKind.LoseIncarnation])
  expect(leader.supervisors.stoppedClockCount).toBe(1)
  expect(leader.logged.filter((line) => 'event' in line && line.event === 'worker-clock-stopped')).toHaveLength(1)
})

test('a lost worker is registered again only once its clock has moved, also by a new leader that its agent tells the age of the reading', async () => {
  await leader.report()
  await vi.advanceTimersByTimeAsync(LEASE * 1.2)
  leader.world.applyAll(leader.supervisors.expiredLeases())
  await leader.report()
  expect(leader.world.state.steps.incarnations.size).toBe(0)
  leader.supervisors.beginLeading()
  await leader.report({ clockAge: LEASE * 1.2 })
  expect(leader.world.state.steps.incarnations.size).toBe(0)
  await leader.report({ clock: 9_000 })
  expect([...leader.world.state.steps.incarnations.keys()]).toEqual(['a@1'])
})

test('a start order is repeated until the agent lists the run, and runs that the log does not assign are stopped', async () => {
  leader.world.submit('j', [step()])
  leader.world.start('j', 0, 0, ['a@1'])
  const key = { job: 'j', step: 0, task: 0, attempt: 1 }
  expect((await leader.report())?.starts).toMatchObject([{ key, payload: 'text' }])
  expect((await leader.report())?.starts).toMatchObject([{ key }])
  expect((await leader.report({ runs: [{ key, running: true, percent: 5 }] }))?.starts).toEqual([])
  const unassigned = { ...key, attempt: 9 }
  expect((await leader.report({ runs: [{ key, running: true }, { key: unassigned, running: true }] }))?.stops).toEqual([unassigned])
  expect((await leader.report({ runs: [{ key, running: true }], ends: [{ number: 0, key: unassigned, outcome: RunOutcome.NotStarted }] }))?.stops).toEqual([unassigned])
  leader.world.apply({ kind: StepTransactionKind.CancelSteps, at: Date.now(), identifier: 'j' })
  expect((await leader.report({ runs: [{ key, running: true }] }))?.stops).toEqual([key])
})

test('a start in an evacuated data centre is not sent again, and the run is stopped unless its worker lists it as running or ended', async () => {
  const keys = [0, 1, 2].map((task) => ({ job: 'j', step: 0, task, attempt: 1 }))
  const [begun, unlisted, ended] = keys
  leader.world.submit('j', [step({ tasks: 3 })])
  for (const task of [0, 1, 2]) leader.world.start('j', 0, task, ['a@1'])
  expect((await leader.report())?.starts).toHaveLength(3)
  const listed = { runs: [{ key: begun, running: true, percent: 5 }, { key: unlisted, running: false }], ends: [{ number: 7, key: ended, outcome: RunOutcome.Done }] }
  leader.holdCommits()
  leader.world.apply({ kind: StepTransactionKind.StartEvacuation, at: Date.now(), dataCentre: 'd', changeCount: 0 })
  expect(await leader.report(listed)).toMatchObject({ starts: [], stops: [] })
  leader.commit()
  expect(await leader.report(listed)).toMatchObject({ starts: [], stops: [unlisted] })
  leader.world.apply({ kind: StepTransactionKind.FinishEvacuation, at: Date.now(), dataCentre: 'd', changeCount: 1 })
  expect((await leader.report({ runs: [{ key: begun, running: true }] }))?.starts).toMatchObject([{ key: unlisted }])
})

test('a leader that has just taken over sends no start to an evacuated data centre, whatever it knows of the runs there', async () => {
  leader.world.submit('j', [step()])
  leader.world.start('j', 0, 0, ['a@1'])
  leader.world.apply({ kind: StepTransactionKind.StartEvacuation, at: Date.now(), dataCentre: 'd', changeCount: 0 })
  leader.supervisors.endLeading(undefined)
  leader.supervisors.beginLeading()
  leader.call = leader.attach()
  expect(await leader.report()).toMatchObject({ starts: [], stops: [{ job: 'j', step: 0, task: 0, attempt: 1 }] })
})

test('a worker whose lease expires while its report is answered gets neither a lease nor starts of the runs that are lost with it', async () => {
  await leader.report()
  leader.world.submit('j', [step()])
  leader.world.start('j', 0, 0, ['a@1'])
  await vi.advanceTimersByTimeAsync(LEASE * 1.2)
  leader.holdConfirmations = true
  leader.holdCommits()
  await leader.report({ sequence: 2 })
  leader.world.applyAll(leader.supervisors.expiredLeases())
  leader.confirmations.shift()?.()
  await vi.advanceTimersByTimeAsync(0)
  expect(leader.orders.at(-1)).toMatchObject({ sequence: 2, leaseUntil: 0, starts: [] })
})

test('a lease that is granted on the clock of one incarnation is not sent to the next one on the same stream', async () => {
  leader.world.submit('j', [step()])
  leader.world.start('j', 0, 0, ['a@1'])
  const { host, ...next } = worker('a', { incarnation: 'a@2' })
  leader.holdConfirmations = true
  await leader.report({ sequence: 1, clock: 30_000 })
  await leader.report({ sequence: 2, clock: 500, host, life: { ...next, labels: [] } })
  leader.confirmations.shift()?.()
  await vi.advanceTimersByTimeAsync(0)
  leader.confirmations.shift()?.()
  await vi.advanceTimersByTimeAsync(0)
  expect(leader.orders.map(({ sequence, incarnation, leaseUntil }) => ({ sequence, incarnation, leaseUntil }))).toEqual([{ sequence: 2, incarnation: 'a@2', leaseUntil: 0 }])
})

test('a delayed report on a stream that ended with an earlier leadership is ignored', async () => {
  const ended = leader.call
  await leader.report()
  leader.supervisors.endLeading(undefined)
  leader.supervisors.beginLeading()
  leader.call = leader.attach()
  await leader.report({ sequence: 2 })
  const current = leader.call
  leader.call = ended
  const orders = leader.orders.length
  await leader.report({ sequence: 3 })
  expect(leader.orders).toHaveLength(orders)
  leader.call = current
  expect(await leader.report({ sequence: 4 })).toMatchObject({ sequence: 4 })
})

test('a worker whose loss is submitted, but not yet applied to the head, gets neither a lease nor starts', async () => {
  await leader.report()
  leader.world.submit('j', [step()])
  leader.world.start('j', 0, 0, ['a@1'])
  await vi.advanceTimersByTimeAsync(LEASE * 1.2)
  const losses = leader.supervisors.expiredLeases()
  expect(await leader.report({ sequence: 2 })).toMatchObject({ sequence: 2, leaseUntil: 0, starts: [] })
  leader.world.applyAll(losses)
  await leader.report({ sequence: 3 })
  expect(await leader.report({ sequence: 4, clock: 9_000 })).toMatchObject({ sequence: 4, leaseUntil: 9_000 + LEASE })
})

test('a worker that returns while its loss is being committed gets neither a lease nor starts before it is registered again', async () => {
  await leader.report()
  leader.world.submit('j', [step()])
  leader.world.start('j', 0, 0, ['a@1'])
  await vi.advanceTimersByTimeAsync(LEASE * 1.2)
  leader.holdCommits()
  leader.world.applyAll(leader.supervisors.expiredLeases())
  expect(await leader.report({ sequence: 2, clock: 7_000 })).toMatchObject({ sequence: 2, leaseUntil: 0, starts: [] })
  expect(leader.proposed.map(({ kind }) => kind)).toEqual([StepTransactionKind.AnnounceIncarnation])
  leader.world.start('j', 0, 0, ['a@1'])
  expect(await leader.report({ sequence: 3 })).toMatchObject({ sequence: 3, leaseUntil: 0, starts: [] })
  leader.commit()
  const orders = await leader.report({ sequence: 4, clock: 9_000 })
  expect(orders).toMatchObject({ sequence: 4, leaseUntil: 9_000 + LEASE, starts: [{ key: { job: 'j', attempt: 2 } }] })
})

test('runs that a worker runs although the log does not assign them are logged once and counted until they are gone', async () => {
  const key = { job: 'j', step: 0, task: 0, attempt: 1 }
  await leader.report({ runs: [{ key, running: true }] })
  await leader.report({ runs: [{ key, running: true }] })
  expect(leader.logged.filter((line) => 'event' in line && line.event === 'runs-unassigned')).toEqual([
    { event: 'runs-unassigned', incarnation: 'a@1', recorded: true, runs: ['j.0.0.1'], count: 1, term: 3 }
  ])
  expect(leader.supervisors.unassignedRunCount).toBe(1)
  await leader.report({ runs: [] })
  expect(leader.supervisors.unassignedRunCount).toBe(0)
})

test('run ends are acknowledged once they are in the log, and are proposed only once', async () => {
  leader.world.submit('j', [step()])
  leader.world.start('j', 0, 0, ['a@1'])
  const ends = [{ number: 1, key: { job: 'j', step: 0, task: 0, attempt: 1 }, outcome: RunOutcome.Done }]
  await leader.report({ ends })
  const again = await leader.report({ ends })
  expect(again?.acknowledged).toBe(1)
  expect(leader.proposed.filter(({ kind }) => kind === StepTransactionKind.EndRuns)).toHaveLength(1)
})

test('a new incarnation on a host replaces the previous one', async () => {
  const { host, ...life } = worker('b')
  await leader.report({ host: 'host-a', life: { ...life, labels: [] } })
  expect(leader.proposed.map(({ kind }) => kind)).toEqual([StepTransactionKind.LoseIncarnation, StepTransactionKind.AnnounceIncarnation])
  expect(host).toBe('host-b')
  expect([...leader.world.state.steps.incarnations.keys()]).toEqual(['b@1'])
})

test('a worker that restarted under its name is registered only once the starts for its predecessor are revoked there', async () => {
  leader.world.submit('j', [step()])
  leader.world.start('j', 0, 0, ['a@1'])
  const key = { job: 'j', step: 0, task: 0, attempt: 1 }
  const { host, ...life } = worker('a', { incarnation: 'a@2' })
  const restarted = { host, life: { ...life, labels: [] } }
  for (const gone of [[], ['a@1']]) {
    expect(await leader.report({ ...restarted, gone })).toMatchObject({ incarnation: 'a@2', leaseUntil: 0, starts: [], stops: [key] })
    expect(await leader.report({ ...restarted, gone, runs: [{ key, running: false }] })).toMatchObject({ leaseUntil: 0 })
  }
  expect(leader.proposed).toEqual([])
  await leader.report({ ...restarted, gone: ['a@1'], ends: [{ number: 0, key, outcome: RunOutcome.NotStarted }] })
  expect(leader.proposed.map(({ kind }) => kind)).toEqual([StepTransactionKind.LoseIncarnation, StepTransactionKind.AnnounceIncarnation])
  expect([...leader.world.state.steps.incarnations.keys()]).toEqual(['a@2'])
})

test('an incarnation that is not registered and runs something is told to stop it, and registered once it has', async () => {
  const { host, ...life } = worker('b')
  const key = { job: 'j', step: 0, task: 0, attempt: 1 }
  expect(await leader.report({ host, life: { ...life, labels: [] }, runs: [{ key, running: true }] })).toMatchObject({ incarnation: 'b@1', leaseUntil: 0, stops: [key] })
  expect(leader.proposed).toEqual([])
  await leader.report({ host, life: { ...life, labels: [] }, ends: [{ number: 1, key, outcome: RunOutcome.Stopped }] })
  expect(leader.world.state.steps.incarnations.has('b@1')).toBe(true)
})

test('a restarted worker whose predecessor was already lost, or left, is registered at once', async () => {
  leader.world.apply({ kind: StepTransactionKind.LoseIncarnation, at: Date.now(), incarnation: 'a@1', checkpoints: [] })
  const { host, ...life } = worker('a', { incarnation: 'a@2' })
  await leader.report({ host, life: { ...life, labels: [] }, gone: ['a@1'] })
  expect(leader.proposed.map(({ kind }) => kind)).toEqual([StepTransactionKind.AnnounceIncarnation])
})

test('an incarnation that its own report lists as gone is not registered again', async () => {
  await leader.report({ gone: ['a@1'] })
  expect([...leader.world.state.steps.incarnations.keys()]).toEqual([])
})

test.each([['of the same worker', 'a'], ['of another worker', 'b']])('a delayed report of an older incarnation does not end its successor (%s), on a replaced stream or on one of its own', async (_case, name) => {
  const replaced = leader.call
  const { host, ...first } = worker('a', { startedAt: 1 })
  const { host: _, ...second } = worker(name, { incarnation: 'second@2', startedAt: 2 })
  await leader.report({ host, life: { ...first, labels: [] } })
  leader.call = leader.attach()
  await leader.report({ host, life: { ...second, labels: [] } })
  leader.world.submit('j', [step()])
  leader.world.start('j', 0, 0, ['second@2'])
  leader.proposed.length = 0
  for (const call of [replaced, leader.attach()]) {
    const orders = leader.orders.length
    leader.call = call
    await leader.report({ host, life: { ...first, labels: [] } })
    expect(leader.orders.slice(orders)).toEqual([])
  }
  expect(leader.proposed).toEqual([])
  leader.call = leader.attach()
  const key = { job: 'j', step: 0, task: 0, attempt: 1 }
  expect(await leader.report({ host, life: { ...second, labels: [] } })).toMatchObject({ incarnation: 'second@2', starts: [{ key }] })
})

test('a loss carries its cause, and gangs that had just started are suspected only of a crash that this leader saw happen', async () => {
  const { host, ...life } = worker('a')
  const next = { ...life, labels: [], incarnation: 'a@2' }
  const neverStarted = { number: 0, key: { job: 'j', step: 0, task: 0, attempt: 1 }, outcome: RunOutcome.NotStarted }
  const losses = (): object[] => leader.proposed.filter(({ kind }) => kind === StepTransactionKind.LoseIncarnation)
  leader.world.submit('j', [step()])
  await leader.report({ clock: 1_000 })
  await vi.advanceTimersByTimeAsync(500)
  await leader.report({ clock: 1_500 })
  const aliveAt = Date.now()
  leader.world.now = aliveAt
  leader.world.start('j', 0, 0, ['a@1'])
  await vi.advanceTimersByTimeAsync(3_000)
  await leader.report({ clock: 1_500 })
  await leader.report({ host, life: next, gone: ['a@1'], clock: 10, ends: [neverStarted] })
  expect(losses()[0]).toMatchObject({ incarnation: 'a@1', cause: IncarnationLossCause.Replaced, aliveAt, suspects: [{ job: 'j', step: 0, gang: 0, attempt: 1, evidence: CrashEvidence.Alone }] })
  leader.world.start('j', 0, 0, ['a@2'])
  leader.supervisors.beginLeading()
  await leader.report({ host, life: next, clock: 10 })
  await leader.report({ host, life: undefined, gone: ['a@2'], clock: 0 })
  expect(losses()[1]).toMatchObject({ incarnation: 'a@2', cause: IncarnationLossCause.Deregistered, suspects: [] })
})

test('after a change of leader a crash is no evidence until the worker was seen alive again', async () => {
  const { host, ...life } = worker('a')
  leader.world.submit('j', [step()])
  leader.world.now = Date.now()
  leader.world.start('j', 0, 0, ['a@1'])
  await leader.report({ clock: 1_000 })
  const neverStarted = { number: 0, key: { job: 'j', step: 0, task: 0, attempt: 1 }, outcome: RunOutcome.NotStarted }
  await leader.report({ host, life: { ...life, labels: [], incarnation: 'a@2' }, clock: 10, ends: [neverStarted] })
  expect(leader.proposed[0]).toMatchObject({ kind: StepTransactionKind.LoseIncarnation, cause: IncarnationLossCause.Replaced, suspects: [] })
})

test('a worker on which a run failed is suspect until a run is done there', async () => {
  leader.world.submit('j', [step({ tasks: 2 })])
  leader.world.start('j', 0, 0, ['a@1'])
  leader.world.start('j', 0, 1, ['a@1'])
  const end = (number: number, task: number, outcome: RunOutcome): object => ({ number, key: { job: 'j', step: 0, task, attempt: 1 }, outcome })
  await leader.report({ ends: [end(1, 0, RunOutcome.Failed) as never] })
  expect([...leader.supervisors.fleetView().suspects]).toEqual(['a@1'])
  await leader.report({ ends: [end(2, 1, RunOutcome.Done) as never] })
  expect([...leader.supervisors.fleetView().suspects]).toEqual([])
})

test('a worker that does not accept a run is suspect', async () => {
  leader.world.submit('j', [step()])
  leader.world.start('j', 0, 0, ['a@1'])
  await leader.report({ ends: [{ number: 0, key: { job: 'j', step: 0, task: 0, attempt: 1 }, outcome: RunOutcome.NotStarted }] })
  expect([...leader.supervisors.fleetView().suspects]).toEqual(['a@1'])
})

test('a reported capacity that differs from the recorded one is proposed once, and logged', async () => {
  const { host, ...life } = worker('a', { accelerators: 3, memoryMegabytes: 500 })
  const report = { host, life: { ...life, labels: [...life.labels] } }
  await leader.report(report)
  await leader.report(report)
  const after = { processors: 64_000, memoryMegabytes: 500, accelerators: 3 }
  expect(leader.proposed).toMatchObject([{ kind: StepTransactionKind.ResizeIncarnation, incarnation: 'a@1', capacity: after }])
  expect(leader.world.state.steps.incarnations.get('a@1')).toMatchObject(after)
  expect(leader.logged).toContainEqual({ event: 'worker-capacity-changed', incarnation: 'a@1', before: { processors: 64_000, memoryMegabytes: 131_072, accelerators: 8 }, after })
})

test('orders state what all runs assigned to the worker occupy, and a run that no longer fits does not make it suspect', async () => {
  leader.world.submit('j', [step({ accelerators: 6 })])
  leader.world.start('j', 0, 0, ['a@1'])
  const { host, ...life } = worker('a', { accelerators: 3 })
  const report = { host, life: { ...life, labels: [...life.labels] } }
  expect((await leader.report())?.used).toEqual({ processors: 1_000, memoryMegabytes: 1_000, accelerators: 6 })
  await leader.report({ ...report, ends: [{ number: 0, key: { job: 'j', step: 0, task: 0, attempt: 1 }, outcome: RunOutcome.NotStarted }] })
  expect([...leader.supervisors.fleetView().suspects]).toEqual([])
  expect((await leader.report(report))?.used).toEqual({ processors: 0, memoryMegabytes: 0, accelerators: 0 })
})

test('a worker without recent reports is silent, so that it gets no new work', async () => {
  await leader.report()
  expect([...leader.supervisors.fleetView().silent]).toEqual([])
  await vi.advanceTimersByTimeAsync(1_400)
  expect([...leader.supervisors.fleetView().silent]).toEqual(['a@1'])
})

test('a worker that first reports long after the term began is not lost before its first lease', async () => {
  await vi.advanceTimersByTimeAsync(60_000)
  leader.confirmed = false
  await leader.report({ host: 'host-b', life: { ...worker('b'), labels: [] } })
  expect(leader.world.state.steps.incarnations.has('b@1')).toBe(true)
  expect(leader.supervisors.expiredLeases().map((transaction) => (transaction as { incarnation: string }).incarnation)).toEqual(['a@1'])
})

test('checkpoints that the log lacks are submitted, and a repeated start order names the checkpoint that the run began with', async () => {
  leader.world.submit('job', [step({ checkpoints: true })])
  leader.world.start('job', 0, 0, ['a@1'])
  const key = { job: 'job', step: 0, task: 0, attempt: 1 }
  await leader.report({ runs: [{ key, running: true, percent: 40, checkpoint: 'c1' }] })
  const unsaved = leader.supervisors.unsavedCheckpoints()
  expect(unsaved).toMatchObject({ kind: StepTransactionKind.SaveCheckpoints, checkpoints: [{ key, checkpoint: 'c1' }] })
  leader.world.apply(unsaved!)
  expect(leader.supervisors.unsavedCheckpoints()).toBeUndefined()
  expect((await leader.report({ runs: [] }))?.starts).toMatchObject([{ key, checkpoint: '' }])
})
