/** Jobs of very many tasks: no list of tasks is passed as arguments of a call, and what cannot start costs a round little. */
import { expect, test } from 'vitest'
import { checkStepJob, explainWaiting, gangOf, RunOutcome, scheduleSteps, type FleetView } from '../src/core/index'
import { waitingGangs } from '../src/core/steps/waiting-gangs'
import { step, StepWorld, worker } from './steps-fixture'

const view = (world: StepWorld): FleetView => ({ now: world.now, silent: new Set(), suspects: new Set(), progress: new Map(), complete: true })

/** A task that no worker can take. */
const tooLarge = { processors: 1_000_000 }

test('a job of 140,000 tasks that are all due at once does not end the process', () => {
  const world = StepWorld.create([worker('a')])
  world.submit('j', Array.from({ length: 14 }, () => step({ tasks: 10_000, ...tooLarge })))
  expect(scheduleSteps(world.state.steps, view(world))).toEqual([])
  expect(explainWaiting(world.state.steps, view(world))).toHaveLength(14)
})

test('a round with 200,000 tasks that no worker can take looks at 1,000 of each step, and leaves the leader time for its heartbeats', () => {
  const milliseconds = (jobs: number): number => {
    const world = StepWorld.create([worker('a')])
    for (let number = 0; number < jobs; number++) world.submit(`j${number}`, [step({ tasks: 10_000, ...tooLarge })])
    expect(waitingGangs(world.state.steps, new Set(), world.now)).toHaveLength(jobs * 1_000)
    const times = Array.from({ length: 9 }, () => {
      const begin = performance.now()
      expect(scheduleSteps(world.state.steps, view(world))).toEqual([])
      return performance.now() - begin
    })
    return times.sort((one, other) => one - other)[4]!
  }
  milliseconds(2)
  // 395 ms where each round visits and sorts all of them.
  expect(milliseconds(20)).toBeLessThan(200)
})

test('tasks behind many others of their step start once there is room, and all of them complete', () => {
  const world = StepWorld.create([worker('a', { processors: 1_000_000, memoryMegabytes: 10_000_000 })])
  world.submit('j', [step({ tasks: 2_500, accelerators: 0 })])
  for (let rounds = 0; world.state.steps.open.size > 0; rounds++) {
    expect(rounds).toBeLessThan(10)
    world.applyAll(scheduleSteps(world.state.steps, view(world)))
    for (const key of world.state.steps.incarnations.get('a@1')!.runs.values()) world.end('a@1', key, RunOutcome.Done)
  }
  expect(world.job('j').state).toBe('completed')
})

test('a gang is found for each of its tasks, also where a step was stored with gangs of other sizes', () => {
  const world = StepWorld.create()
  world.submit('j', [step({ tasks: 6, gang: true }), step({ tasks: 6 })])
  const job = world.job('j')
  for (let task = 0; task < 6; task++) {
    expect(gangOf(job, { step: 0, task })).toBe(job.gangs[0]![0])
    expect(gangOf(job, { step: 1, task })).toBe(job.gangs[1]![task])
  }
  expect(gangOf(job, { step: 1, task: 6 })).toBeUndefined()
  expect(gangOf(job, { step: 2, task: 0 })).toBeUndefined()
  const uneven = { ...job, gangs: [[{ ...job.gangs[0]![0]!, size: 1 }, { ...job.gangs[0]![0]!, first: 1, size: 5 }]] }
  expect(gangOf(uneven, { step: 0, task: 4 })).toBe(uneven.gangs[0]![1])
})

test('a job of more than 20,000 tasks is refused, with its number of tasks and the limit', () => {
  expect(checkStepJob({ payload: '', steps: [{ tasks: 10_000 }, { tasks: 10_000 }] }).isOk()).toBe(true)
  const refused = checkStepJob({ payload: '', steps: [{ tasks: 10_000 }, { tasks: 10_000 }, { tasks: 1 }] })
  expect(refused._unsafeUnwrapErr()).toEqual([{ path: '/steps', value: '20001 tasks', expected: 'at most 20000 tasks in all steps of a job' }])
})
