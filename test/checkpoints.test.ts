/** Checkpoints of current runs are saved to the log, so that they survive the loss of all workers together with the leader's memory. */
import { expect, test } from 'vitest'
import { CheckpointSelector } from '../src/control/checkpoint-selector'
import { RunProgressTracker } from '../src/control/run-progress'
import { StepTransactionKind, type RunCheckpoint, type RunKey } from '../src/core/index'
import type { RunStatus } from '../src/wire'
import { step, StepWorld, worker } from './steps-fixture'

/** Equals the limit in checkpoint-selector.ts. */
const MAX_SAVED = 200

function reported (key: RunKey, checkpoint: string): RunStatus {
  return { key, running: true, percent: 1, checkpoint }
}

function save (world: StepWorld, checkpoints: readonly RunCheckpoint[]): string {
  return world.apply({ kind: StepTransactionKind.SaveCheckpoints, at: world.now, checkpoints })
}

const keyOf = (job: string, task = 0, attempt = 1): RunKey => ({ job, step: 0, task, attempt })

test('after a worker is lost, its run resumes from the saved checkpoint even if the leader has no newer report', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('job', [step({ checkpoints: true })])
  world.start('job', 0, 0, ['a@1'])
  expect(save(world, [{ key: keyOf('job'), checkpoint: 'half' }])).toBe('')
  world.apply({ kind: StepTransactionKind.LoseIncarnation, at: world.now, incarnation: 'a@1', checkpoints: [] })
  expect(world.job('job').gangs[0]?.[0]).toMatchObject({ checkpoint: 'half', attempts: 1 })
  world.apply({ kind: StepTransactionKind.AnnounceIncarnation, at: world.now, life: worker('b') })
  world.start('job', 0, 0, ['b@1'])
  expect(world.job('job').gangs[0]?.[0]?.run?.startCheckpoint).toBe('half')
})

test('an empty checkpoint, or one of another attempt, an unknown job or a gang that is not running, is ignored', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('job', [step({ checkpoints: true })])
  save(world, [{ key: keyOf('job'), checkpoint: 'early' }, { key: keyOf('nobody'), checkpoint: 'x' }])
  world.start('job', 0, 0, ['a@1'])
  save(world, [{ key: keyOf('job', 0, 2), checkpoint: 'wrong' }, { key: keyOf('job'), checkpoint: '' }])
  expect(world.job('job').gangs[0]?.[0]?.checkpoint).toBe('')
})

test('a gang\'s checkpoint is saved only once all members run, and does not change the checkpoint from which they start', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  world.submit('gang', [step({ tasks: 2, gang: true, accelerators: 8, checkpoints: true })])
  world.start('gang', 0, 0, ['a@1', 'b@1'])
  const progress = RunProgressTracker.create()
  const round = CheckpointSelector.create()
  progress.update('a@1', [reported(keyOf('gang', 0), 'c1')], world.now)
  expect(round.selectNext(world.state.steps, progress)).toEqual([])
  progress.update('b@1', [{ ...reported(keyOf('gang', 1), 'c1'), running: false }], world.now)
  expect(round.selectNext(world.state.steps, progress)).toEqual([])
  progress.update('b@1', [reported(keyOf('gang', 1), 'c2')], world.now)
  const due = round.selectNext(world.state.steps, progress)
  expect(due).toEqual([{ key: keyOf('gang', 0), checkpoint: 'c1' }])
  save(world, due)
  expect(world.job('gang').gangs[0]?.[0]).toMatchObject({ checkpoint: 'c1', run: { startCheckpoint: '' } })
})

test('with more gangs than fit into one entry, the checkpoint of every gang is saved within a few rounds', () => {
  const gangs = 2.5 * MAX_SAVED
  const world = StepWorld.create([worker('a', { processors: 1_000_000, memoryMegabytes: 1_000_000, accelerators: 1_000 })])
  const progress = RunProgressTracker.create()
  const names = Array.from({ length: gangs }, (_, position) => `job${position}`)
  for (const name of names) {
    world.submit(name, [step({ checkpoints: true })])
    world.start(name, 0, 0, ['a@1'])
  }
  const round = CheckpointSelector.create()
  const saved = new Set<string>()
  for (let pass = 0; pass < 3; pass++) {
    progress.update('a@1', names.map((name) => reported(keyOf(name), `at ${pass}`)), world.now)
    const due = round.selectNext(world.state.steps, progress)
    expect(due).toHaveLength(MAX_SAVED)
    save(world, due)
    for (const { key } of due) saved.add(key.job)
  }
  expect(saved.size).toBe(gangs)
})
