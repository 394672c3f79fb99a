/** Learned paces of workers: guards against findings from noise, from too little data, and against findings that never fade. */
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { slowWorkers, WorkerPaceTracker, type TaskProgress } from '../src/core/index'

const SECOND = 1_000

/** Feeds a tracker with steps of equal tasks, one on each worker, until each is done. */
class Fleet {
  private now = 1_000_000
  private step = 0
  readonly tracker = WorkerPaceTracker.create()

  constructor (private readonly paces: readonly number[]) {}

  /** Runs steps one after the other; `spread` gives the share of the usual time that a task takes on a worker of pace 1. */
  run (steps: number, spread: (step: number, worker: number) => number = () => 1, used = (_worker: number): boolean => true): ReadonlyMap<string, number> {
    for (let count = 0; count < steps; count++) {
      this.step += 1
      for (let second = 0; second <= 10; second++) {
        this.now += SECOND
        const tasks = this.paces.flatMap((pace, worker) => used(worker) ? [this.task(worker, second * 9 * pace / spread(this.step, worker))] : [])
        this.tracker.update(tasks, this.now)
      }
    }
    return this.tracker.paces
  }

  idle (seconds: number): ReadonlyMap<string, number> {
    this.now += seconds * SECOND
    this.tracker.update([], this.now)
    return this.tracker.paces
  }

  private task (worker: number, percent: number): TaskProgress {
    return { run: `j${this.step}.0.${worker}.1`, step: `j${this.step}.0`, incarnation: `w${worker}`, percent: Math.min(100, Math.floor(percent)) }
  }
}

test('a quarter of slow workers is found, and no other worker', () => {
  const paces = new Fleet([0.46, 1, 1, 1, 0.46, 1, 1, 1]).run(4)
  expect([...slowWorkers(paces).keys()]).toEqual(['w0', 'w4'])
  expect(paces.get('w0')).toBeCloseTo(0.46, 1)
})

test('nothing is known of a worker from three measured runs', () => {
  expect(new Fleet([0.4, 1, 1, 1]).run(3).size).toBe(0)
})

test('nothing is learned from steps that run on two workers only', () => {
  expect(new Fleet([0.4, 1]).run(10).size).toBe(0)
})

test('tasks of uneven size make no worker slow', () => {
  fc.assert(fc.property(fc.array(fc.double({ min: 0.8, max: 1.25, noNaN: true }), { minLength: 160, maxLength: 160 }), (spreads) => {
    const paces = new Fleet([1, 1, 1, 1, 1, 1, 1, 1]).run(20, (step, worker) => spreads[(step - 1) * 8 + worker] ?? 1)
    expect(slowWorkers(paces).size).toBe(0)
  }), { seed: 41, numRuns: 20 })
})

test('a finding ends when its runs are too old', () => {
  const fleet = new Fleet([0.4, 1, 1, 1])
  fleet.run(4)
  expect(fleet.idle(60).size).toBe(4)
  expect(fleet.idle(61).size).toBe(0)
})

test('steps that meet mostly slow workers do not make these usual ones once they are known', () => {
  const fleet = new Fleet([0.46, 1, 1, 1, 0.46, 1, 1, 1])
  fleet.run(4)
  const paces = fleet.run(6, undefined, (worker) => worker === 0 || worker === 1 || worker === 4)
  expect([...slowWorkers(paces).keys()]).toEqual(['w0', 'w4'])
})
