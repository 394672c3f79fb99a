/** Log entries on step jobs, runs and workers: repeated, outdated and invalid entries must not corrupt the state. */
import { expect, test } from 'vitest'
import { apply, decodeState, encodeState, revocableStartsAt, runName, RunOutcome, stateDigest, StepJobState, StepTransactionKind, StopReason, TransactionKind, type RunKey } from '../src/core/index'
import { step, StepWorld, worker } from './steps-fixture'

const key = (task: number, attempt = 1, number = 0, job = 'j'): RunKey => ({ job, step: number, task, attempt })

test('a step starts only after the steps before it are done, and the job completes with its last gang', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('j', [step({ tasks: 2 }), step({ after: [0] })])
  expect(world.start('j', 1, 0, ['a@1'])).toBe('an earlier step is not done')
  expect(world.start('j', 0, 0, ['a@1'])).toBe('')
  expect(world.start('j', 0, 1, ['a@1'])).toBe('')
  world.end('a@1', key(0), RunOutcome.Done)
  world.end('a@1', key(1), RunOutcome.Done)
  expect(world.job('j').state).toBe(StepJobState.Running)
  world.start('j', 1, 0, ['a@1'])
  world.end('a@1', key(0, 1, 1), RunOutcome.Done)
  expect(world.job('j').state).toBe(StepJobState.Completed)
  expect(world.state.steps.open.size).toBe(0)
  expect(world.state.steps.incarnations.get('a@1')?.used).toEqual({ processors: 0, memoryMegabytes: 0, accelerators: 0 })
})

test('submitting the same identifier again does not create or change a job', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('j', [step()])
  world.start('j', 0, 0, ['a@1'])
  expect(world.submit('j', [step({ tasks: 9 })])).toBe('')
  expect(world.job('j').gangs[0]).toHaveLength(1)
  expect(world.job('j').state).toBe(StepJobState.Running)
})

test('an end that is reported again, or belongs to another attempt or incarnation, is ignored', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('j', [step()])
  world.start('j', 0, 0, ['a@1'])
  world.end('b@1', key(0), RunOutcome.Done)
  world.end('a@1', key(0, 7), RunOutcome.Done)
  expect(world.job('j').state).toBe(StepJobState.Running)
  const ends = [{ number: 9, key: key(0), outcome: RunOutcome.Failed, checkpoint: '' }]
  world.apply({ kind: StepTransactionKind.EndRuns, at: world.now, incarnation: 'a@1', ends })
  expect(world.job('j').gangs[0]?.[0]?.failures).toBe(1)
  world.start('j', 0, 0, ['a@1'])
  world.apply({ kind: StepTransactionKind.EndRuns, at: world.now, incarnation: 'a@1', ends })
  expect(world.job('j').gangs[0]?.[0]).toMatchObject({ failures: 1, run: { attempt: 2 } })
  expect(world.state.steps.incarnations.get('a@1')?.acknowledged).toBe(9)
})

test('a start beyond the capacity, beyond the limit of tasks per worker or on a leaving worker is refused', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('wide', [step({ accelerators: 5 }), step({ accelerators: 5 })])
  world.start('wide', 0, 0, ['a@1'])
  expect(world.start('wide', 1, 0, ['a@1'])).toBe('worker a cannot take one more task of the step')
  world.submit('apart', [step({ tasks: 2, mostPerWorker: 1 })])
  expect(world.start('apart', 0, 0, ['b@1'])).toBe('')
  expect(world.start('apart', 0, 1, ['b@1'])).toBe('worker b cannot take one more task of the step')
  world.apply({ kind: StepTransactionKind.LeaveIncarnation, at: world.now, incarnation: 'b@1' })
  expect(world.start('wide', 1, 0, ['b@1'])).toBe('a worker is lost or leaving')
})

test('a changed capacity keeps the runs of its worker and what they occupy, and starts are checked against the newest one', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('j', [step({ tasks: 3, accelerators: 3 })])
  world.start('j', 0, 0, ['a@1'])
  world.start('j', 0, 1, ['a@1'])
  const before = world.state.steps.incarnations.get('a@1')
  expect(world.resize('a@1', { accelerators: 5 })).toBe('')
  expect(world.state.steps.incarnations.get('a@1')).toEqual({ ...before, accelerators: 5 })
  world.end('a@1', key(0), RunOutcome.Done)
  expect(world.start('j', 0, 2, ['a@1'])).toBe('worker a cannot take one more task of the step')
  world.resize('a@1', { accelerators: 6 })
  expect(world.start('j', 0, 2, ['a@1'])).toBe('')
  expect(world.state.steps.incarnations.get('a@1')?.used.accelerators).toBe(6)
})

test('a capacity of an unknown worker, or one that is already recorded, changes nothing', () => {
  const world = StepWorld.create([worker('a')])
  const { record, steps } = world.state
  expect([world.resize('b@1', { accelerators: 1 }), world.resize('a@1', { accelerators: 8 })]).toEqual(['', ''])
  expect(world.state.record).toEqual(record)
  expect(world.state.steps.incarnations).toBe(steps.incarnations)
  world.apply({ kind: StepTransactionKind.AnnounceIncarnation, at: world.now, life: worker('a', { accelerators: 4 }) })
  expect(world.state.steps.incarnations.get('a@1')?.accelerators).toBe(8)
})

test('the audit record has the capacity before and after a change', () => {
  const world = StepWorld.create([worker('a')])
  const capacity = { processors: 1, memoryMegabytes: 2, accelerators: 3 }
  const { lines } = apply(world.state, { kind: StepTransactionKind.ResizeIncarnation, at: world.now, incarnation: 'a@1', capacity })
  expect(lines.map(({ text }) => JSON.parse(text))).toMatchObject([{
    kind: 'resize-incarnation', workers: ['a'], capacityBefore: { processors: 64_000, memoryMegabytes: 131_072, accelerators: 8 }, capacityAfter: capacity
  }])
})

test('when one member of a gang fails, the others are stopped and the attempt counts as one failure', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('j', [step({ tasks: 3, gang: true })])
  world.start('j', 0, 0, ['a@1', 'a@1', 'b@1'])
  world.end('a@1', key(0), RunOutcome.Failed)
  expect(world.job('j').gangs[0]?.[0]?.run?.stopping).toBe(StopReason.MemberEnded)
  expect(world.start('j', 0, 0, ['b@1', 'b@1', 'b@1'])).toBe('the gang is not waiting')
  world.end('a@1', key(1), RunOutcome.MemberEnded)
  world.end('b@1', key(2), RunOutcome.Failed)
  expect(world.job('j').gangs[0]?.[0]).toMatchObject({ failures: 1, run: undefined })
  world.start('j', 0, 0, ['b@1', 'b@1', 'b@1'])
  for (const task of [0, 1, 2]) world.end('b@1', key(task, 2), task === 0 ? RunOutcome.Failed : RunOutcome.MemberEnded)
  expect(world.job('j').state).toBe(StepJobState.Failed)
})

test('a gang is done once one member is, and the others hold their resources until their ends are reported', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('j', [step({ tasks: 2, gang: true })])
  world.start('j', 0, 0, ['a@1', 'b@1'])
  world.end('a@1', key(0), RunOutcome.Done)
  expect(world.job('j').state).toBe(StepJobState.Completed)
  expect(world.state.steps.incarnations.get('b@1')?.used.accelerators).toBe(1)
  world.apply({ kind: StepTransactionKind.LoseIncarnation, at: world.now, incarnation: 'b@1', checkpoints: [] })
  expect(world.job('j').state).toBe(StepJobState.Completed)
  expect(world.state.steps.open.size).toBe(0)
})

test('only failed runs count as failures; a gang whose run was lost, stopped or lost its lease resumes from the newest checkpoint', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('j', [step({ checkpoints: true })])
  for (const [attempt, outcome] of [RunOutcome.LeaseExpired, RunOutcome.Stopped, RunOutcome.MembersMissing, RunOutcome.NotStarted].entries()) {
    world.start('j', 0, 0, ['a@1'])
    world.end('a@1', key(0, attempt + 1), outcome, attempt === 1 ? 'saved' : '')
  }
  world.start('j', 0, 0, ['a@1'])
  world.apply({ kind: StepTransactionKind.LoseIncarnation, at: world.now, incarnation: 'a@1', checkpoints: [{ key: key(0, 5), checkpoint: 'newer' }] })
  expect(world.job('j').gangs[0]?.[0]).toMatchObject({ attempts: 5, failures: 0, checkpoint: 'newer' })
  expect(world.job('j').state).toBe(StepJobState.Running)
})

test('a cancelled job holds its resources until its runs have ended, and is not started again', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('j', [step({ tasks: 2 })])
  world.start('j', 0, 0, ['a@1'])
  world.apply({ kind: StepTransactionKind.CancelSteps, at: world.now, identifier: 'j' })
  expect(world.job('j').state).toBe(StepJobState.Cancelled)
  expect(world.start('j', 0, 1, ['a@1'])).toBe('the gang is not waiting')
  expect(world.state.steps.incarnations.get('a@1')?.used.accelerators).toBe(1)
  world.end('a@1', key(0), RunOutcome.Done)
  expect(world.job('j').state).toBe(StepJobState.Cancelled)
  expect(world.state.steps.open.size).toBe(0)
  expect(world.apply({ kind: StepTransactionKind.CancelSteps, at: world.now, identifier: 'other' })).toBe('no job other')
})

test('the queue document with the highest number stays in force, and sending it again is accepted without effect', () => {
  const world = StepWorld.create()
  const replace = (number: number, source: string): string => world.apply({
    kind: StepTransactionKind.ReplaceDocument, at: world.now, number, documentJson: JSON.stringify({ queues: [], services: [], accounts: [] }), source
  })
  expect([replace(5, 'five'), replace(4, 'four'), replace(5, 'other')]).toEqual(['', '', ''])
  expect(world.state.steps.document).toMatchObject({ number: 5, source: 'five' })
})

test('starts of ended runs stay revocable at later incarnations of the worker for a minute, and only there', () => {
  const world = StepWorld.create([worker('a')])
  const empty = stateDigest(world.state)
  world.submit('j', [step({ tasks: 3 })])
  world.start('j', 0, 0, ['a@1'])
  world.start('j', 0, 1, ['a@1'])
  world.end('a@1', key(0), RunOutcome.Done)
  world.now += 40_000
  world.apply({ kind: StepTransactionKind.LoseIncarnation, at: world.now, incarnation: 'a@1', checkpoints: [] })
  const revocable = (incarnation: string): string[] => revocableStartsAt(world.state.steps, 'a', incarnation, world.now).map(runName)
  expect(revocable('a@2')).toEqual(['j.0.0.1', 'j.0.1.1'])
  // The incarnation on which they ended does not start them again, or their lease has expired there.
  expect(revocable('a@1')).toEqual([])
  expect(revocableStartsAt(world.state.steps, 'b', 'b@1', world.now)).toEqual([])
  const restored = decodeState(encodeState(world.state))
  expect(stateDigest(restored)).toBe(stateDigest(world.state))
  expect(revocableStartsAt(restored.steps, 'a', 'a@2', world.now)).toHaveLength(2)
  world.now += 20_001
  expect(revocable('a@2')).toEqual(['j.0.1.1'])
  world.now += 40_000
  expect(revocable('a@2')).toEqual([])
  world.apply({ kind: TransactionKind.Expire, at: world.now })
  expect(world.state.steps.revocableStarts).toBeUndefined()
  expect(encodeState(StepWorld.create([worker('a')]).state).toString()).not.toContain('revocable')
  expect(empty).toBe(stateDigest(StepWorld.create([worker('a')]).state))
})

test('a snapshot restores the complete state, and the same entries give the same state', () => {
  const make = (): StepWorld => {
    const world = StepWorld.create([worker('a'), worker('b')])
    world.submit('j', [step({ tasks: 2, gang: true })])
    world.start('j', 0, 0, ['b@1', 'a@1'])
    world.resize('a@1', { accelerators: 0 })
    return world
  }
  const [one, other] = [make(), make()]
  expect(stateDigest(one.state)).toBe(stateDigest(other.state))
  const restored = decodeState(encodeState(one.state))
  expect(stateDigest(restored)).toBe(stateDigest(one.state))
  one.end('a@1', key(1), RunOutcome.Done)
  other.state = restored
  other.end('a@1', key(1), RunOutcome.Done)
  expect(stateDigest(other.state)).toBe(stateDigest(one.state))
})
