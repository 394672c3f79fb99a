/**
 * Detection of stalled runs, with tasks of seconds to hours: a run that makes progress, however slowly, must not be stopped,
 * and one that hangs must be. Reports come at the agents' interval, with whole percentages.
 */
import fastCheck from 'fast-check'
import { expect, test } from 'vitest'
import { RunProgressTracker } from '../src/control/run-progress'
import { RunOutcome, scheduleSteps, StepTransactionKind, StopReason, type RunKey, type StepSpecification } from '../src/core/index'
import { step, StepWorld, worker } from './steps-fixture'

const REPORT_MILLISECONDS = 500
/** Age of the percentage in successive reports, in milliseconds: agents poll at another interval than they report. */
const AGES_MILLISECONDS = [0, 300, 700]

/** What a task shows at a time after its start. */
type Behaviour = (elapsed: number, attempt: number) => { readonly percent: number, readonly checkpoint?: string, readonly done?: boolean }

interface Played { readonly starts: number, readonly stalls: number, readonly completedAt?: number, readonly firstStallAt?: number }

const SECOND = 1_000
const HOUR = 3_600 * SECOND

/** A task that shows whole percentages at an even pace. */
const even = (milliseconds: number): Behaviour => (elapsed) => ({ percent: Math.min(99, Math.floor(100 * elapsed / milliseconds)), done: elapsed >= milliseconds })

/** Plays one task on one worker until it is done or the time has passed, with a new leader at the given time. */
function play (specification: Partial<StepSpecification>, behaviour: Behaviour, limit: number, newLeaderAt = Infinity): Played {
  const world = StepWorld.create([worker('a')])
  world.submit('j', [step(specification)])
  const began = world.now
  let tracker = RunProgressTracker.create()
  let run: { readonly key: RunKey, readonly startedAt: number } | undefined
  let [starts, stalls] = [0, 0]
  let firstStallAt: number | undefined
  for (let replaced = false; world.now - began <= limit; world.now += REPORT_MILLISECONDS) {
    const elapsed = world.now - began
    if (!replaced && elapsed >= newLeaderAt) { tracker = RunProgressTracker.create(); replaced = true }
    if (run !== undefined) {
      const { done = false } = behaviour(world.now - run.startedAt, run.key.attempt)
      const age = AGES_MILLISECONDS[elapsed / REPORT_MILLISECONDS % AGES_MILLISECONDS.length]!
      const { percent, checkpoint = '' } = behaviour(Math.max(0, world.now - run.startedAt - age), run.key.attempt)
      if (done) { world.end('a@1', run.key, RunOutcome.Done); return { starts, stalls, completedAt: elapsed, firstStallAt } }
      tracker.update('a@1', [{ key: run.key, running: true, percent, checkpoint }], world.now)
    }
    for (const decision of scheduleSteps(world.state.steps, { now: world.now, silent: new Set(), suspects: new Set(), progress: tracker.all, complete: true })) {
      world.apply(decision)
      if (decision.kind === StepTransactionKind.StartGang) {
        starts += 1
        run = { key: { job: 'j', step: 0, task: 0, attempt: decision.attempt }, startedAt: world.now }
      }
      if (decision.kind !== StepTransactionKind.StopGang || run === undefined) continue
      expect(decision.reason).toBe(StopReason.Stalled)
      stalls += 1
      firstStallAt ??= elapsed
      world.end('a@1', run.key, RunOutcome.Stopped, behaviour(world.now - run.startedAt, run.key.attempt).checkpoint)
      run = undefined
    }
  }
  return { starts, stalls, firstStallAt }
}

test.each([
  ['300 s', 300 * SECOND, 300 * SECOND],
  ['300 s, estimated ten times too short', 300 * SECOND, 30 * SECOND],
  ['300 s, estimated ten times too long', 300 * SECOND, 3_000 * SECOND],
  ['2 h', 2 * HOUR, 2 * HOUR],
  ['2 h, estimated ten times too short', 2 * HOUR, 0.2 * HOUR],
  ['8 h, estimated ten times too short', 8 * HOUR, 0.8 * HOUR],
  ['10 s, estimated ten times too long', 10 * SECOND, 100 * SECOND]
])('a task that makes progress is started once (%s)', (_case, milliseconds, estimateMilliseconds) => {
  const { starts, stalls, completedAt } = play({ estimateMilliseconds }, even(milliseconds), 2 * milliseconds)
  expect({ starts, stalls }).toEqual({ starts: 1, stalls: 0 })
  expect(completedAt).toBeGreaterThanOrEqual(milliseconds)
})

test('a slow task is not stopped after a change of leader, which forgets its pace', () => {
  expect(play({ estimateMilliseconds: 2 * HOUR }, even(2 * HOUR), 3 * HOUR, HOUR)).toMatchObject({ starts: 1, stalls: 0 })
  expect(play({ estimateMilliseconds: 0.2 * HOUR }, even(2 * HOUR), 3 * HOUR, HOUR)).toMatchObject({ starts: 1, stalls: 0 })
})

test('a task that resumes from a checkpoint and jumps to its percentage is not taken for a fast one', () => {
  const resumed: Behaviour = (elapsed) => elapsed < 600 ? { percent: 0 } : { percent: Math.floor(40 + 100 * elapsed / (600 * SECOND)), done: elapsed >= 360 * SECOND }
  expect(play({ estimateMilliseconds: 600 * SECOND, checkpoints: true }, resumed, 400 * SECOND)).toMatchObject({ starts: 1, stalls: 0 })
})

test('a percentage that goes backwards, and a changed checkpoint, are signs of life', () => {
  const backwards: Behaviour = (elapsed) => ({ percent: Math.floor(elapsed / 3_000) % 5 === 4 ? 10 : 20 + Math.floor(elapsed / 3_000), done: elapsed >= 90 * SECOND })
  expect(play({ estimateMilliseconds: 90 * SECOND }, backwards, 100 * SECOND)).toMatchObject({ starts: 1, stalls: 0 })
  const saving: Behaviour = (elapsed) => ({ percent: 0, checkpoint: `c${Math.floor(elapsed / 3_000)}`, done: elapsed >= 90 * SECOND })
  expect(play({ estimateMilliseconds: 1_000, checkpoints: true }, saving, 100 * SECOND)).toMatchObject({ starts: 1, stalls: 0 })
})

test.each([
  ['a task of 16 s', 16 * SECOND, 16 * SECOND, 8 * SECOND, 3_500],
  ['a task of 40 s', 40 * SECOND, 16 * SECOND, 20 * SECOND, 3_500],
  ['a task of 300 s', 300 * SECOND, 300 * SECOND, 150 * SECOND, 4 * 3_000],
  ['a task of 2 h', 2 * HOUR, 2 * HOUR, HOUR, 4 * 72_000]
])('%s that hangs midway is stopped after four times what one percent took, 3.5 s at least', (_case, milliseconds, estimateMilliseconds, hangsAt, bound) => {
  const hangs: Behaviour = (elapsed) => even(milliseconds)(Math.min(elapsed, hangsAt), 1)
  const { firstStallAt } = play({ estimateMilliseconds }, hangs, hangsAt + 2 * bound + 10_000)
  // Percentages are as old as a report, which adds one interval to the pace as it is seen, and one to the last change.
  expect(firstStallAt).toBeGreaterThan(hangsAt + bound - milliseconds / 100)
  expect(firstStallAt).toBeLessThanOrEqual(hangsAt + bound + 6 * REPORT_MILLISECONDS)
})

test.each([[0], [3_600], [16_000]])('a short task that never shows progress is stopped after 3.5 s (estimate %d ms)', (estimateMilliseconds) => {
  expect(play({ estimateMilliseconds }, () => ({ percent: 0 }), 5_000).firstStallAt).toBe(4_500)
})

test('a job whose runs never show progress completes, as each further attempt gets more time', () => {
  const silent = (milliseconds: number): Behaviour => (elapsed) => ({ percent: 0, done: elapsed >= milliseconds })
  for (const [milliseconds, estimateMilliseconds] of [[300 * SECOND, 30 * SECOND], [300 * SECOND, 0], [8 * HOUR, 0.8 * HOUR], [8 * HOUR, 0]] as const) {
    const { completedAt, stalls } = play({ estimateMilliseconds }, silent(milliseconds), 4 * milliseconds)
    expect(completedAt).toBeGreaterThanOrEqual(milliseconds)
    expect(stalls).toBeLessThanOrEqual(14)
  }
})

test('a job whose runs show progress and then pause for long completes', () => {
  const pausing: Behaviour = (elapsed) => ({ percent: Math.min(90, Math.floor(elapsed / 100)), done: elapsed >= 60 * SECOND })
  expect(play({ estimateMilliseconds: 10 * SECOND }, pausing, 600 * SECOND).completedAt).toBeGreaterThan(60 * SECOND)
})

test('no task that advances evenly is stopped, whatever its length, its estimate within a factor of ten, and when the leader changes', () => {
  fastCheck.assert(fastCheck.property(
    fastCheck.integer({ min: 10, max: 2_000 }), fastCheck.double({ min: 0.1, max: 10, noNaN: true }), fastCheck.double({ min: 0, max: 1, noNaN: true }),
    (seconds, factor, change) => {
      const milliseconds = seconds * SECOND
      expect(play({ estimateMilliseconds: milliseconds * factor }, even(milliseconds), 2 * milliseconds, milliseconds * change)).toMatchObject({ starts: 1, stalls: 0 })
    }
  ), { numRuns: 60, seed: 1 })
})
