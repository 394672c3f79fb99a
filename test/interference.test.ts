/**
 * Learning which kinds of task slow each other down, from simulated lists of workers: percentages are whole and up to 0.7 s
 * old, runs need a second to start, and neither the length of a run nor the speed of its worker is known.
 */
import { describe, expect, test } from 'vitest'
import { Random } from '../measurements/random'
import { Interference, InterferenceLearner, taskKind, type InterferenceFinding, type TaskKind } from '../src/core/index'
import { HALF_LIFE_MILLISECONDS, MIN_COMPARISONS, MIN_WORKERS } from '../src/core/steps/learning/interference'

const REPORT_MILLISECONDS = 500
const MAX_AGE_MILLISECONDS = 700
const START_UP_MILLISECONDS = 1_000
/** Deviation of the logarithm of a run's rate from one report to the next. */
const NOISE = 0.1

interface Fleet {
  readonly workers: number
  readonly tasksPerWorker: number
  /** Draws the queue of the next task on a worker. */
  readonly nextQueue: (random: Random, worker: number, beside: readonly string[]) => string
  /** Factor on the time that a task takes. */
  readonly slowDown: (queue: string, beside: readonly string[], seconds: number) => number
  /** Factor on the time that all tasks of a worker take. */
  readonly pace?: (worker: number, seconds: number, beside: readonly string[]) => number
}

interface Task {
  readonly name: string
  readonly queue: string
  readonly kind: TaskKind
  readonly milliseconds: number
  readonly startedAt: number
  done: number
  /** Progress in percent at earlier reports, with its age. */
  readonly history: Array<{ readonly at: number, readonly percent: number }>
}

/** Lets tasks come and go on the workers, and learns from what they list. */
class FleetSimulation {
  private now = 1_000_000
  readonly learner = InterferenceLearner.create()
  private readonly tasks: Task[][]
  private readonly random: Random
  private started = 0

  constructor (private fleet: Fleet, seed: number) {
    this.random = Random.create(seed)
    this.tasks = Array.from({ length: fleet.workers }, () => [])
  }

  run (seconds: number, fleet = this.fleet): InterferenceFinding[] {
    this.fleet = fleet
    const end = this.now + seconds * 1_000
    for (; this.now < end; this.now += REPORT_MILLISECONDS) for (const worker of this.tasks.keys()) this.advance(worker)
    return this.findings()
  }

  /** Lets time pass in which nothing runs. */
  rest (milliseconds: number): InterferenceFinding[] {
    this.now += milliseconds
    return this.findings()
  }

  private findings (): InterferenceFinding[] {
    return [...this.learner.findings(this.now)?.all ?? []]
  }

  private advance (worker: number): void {
    const { fleet, random, now } = this
    const tasks = this.tasks[worker]!
    const seconds = (now - 1_000_000) / 1_000
    for (const task of tasks) {
      const beside = tasks.filter((other) => other !== task).map(({ queue }) => queue)
      const factor = fleet.slowDown(task.queue, beside, seconds) * (fleet.pace?.(worker, seconds, tasks.map(({ queue }) => queue)) ?? 1)
      if (now - task.startedAt >= START_UP_MILLISECONDS) task.done += REPORT_MILLISECONDS / factor * random.logNormal(1, NOISE)
      task.history.push({ at: now, percent: Math.min(99, Math.floor(100 * task.done / task.milliseconds)) })
    }
    this.tasks[worker] = tasks.filter(({ done, milliseconds }) => done < milliseconds)
    while (this.tasks[worker].length < fleet.tasksPerWorker && random.chance(0.3)) this.start(worker)
    const runs = this.tasks[worker].map((task) => ({ name: task.name, percent: this.listedPercent(task) }))
    const kinds = new Map(this.tasks[worker].map(({ name, kind }) => [name, kind]))
    this.learner.update({ incarnation: `w${worker}`, host: `w${worker}`, runs, at: now }, (name) => kinds.get(name)!)
  }

  /** A task that resumes from a checkpoint lists its earlier progress from its start. */
  private start (worker: number): void {
    const { random, now } = this
    const queue = this.fleet.nextQueue(random, worker, this.tasks[worker]!.map((task) => task.queue))
    const milliseconds = random.logNormal(12_000, 0.5)
    const done = random.chance(0.2) ? milliseconds / 3 : 0
    this.started += 1
    this.tasks[worker]!.push({ name: `${this.started}`, queue, kind: taskKind(queue, `account${random.integer(1, 3)}`, 0), milliseconds, startedAt: now, done, history: [] })
  }

  private listedPercent ({ history }: Task): number {
    const readAt = this.now - this.random.integer(0, MAX_AGE_MILLISECONDS)
    return history.findLast(({ at }) => at <= readAt)?.percent ?? 0
  }
}

const queues = ['a', 'b', 'c', 'd']
const anyQueue = (random: Random): string => random.pick(queues)
const quiet: Fleet = { workers: 12, tasksPerWorker: 3, nextQueue: anyQueue, slowDown: () => 1 }
const noisy: Fleet = { ...quiet, slowDown: (queue, beside) => queue === 'a' && beside.includes('b') ? 1.8 : 1 }

function pairsOf (findings: readonly InterferenceFinding[]): string[] {
  return [...new Set(findings.map(({ kind, beside }) => `${kind.split('/')[0]} beside ${beside.split('/')[0]}`))]
}

describe('kinds that interfere', () => {
  test.each([1, 2, 3])('are found, and no others (seed %i)', (seed) => {
    const findings = new FleetSimulation(noisy, seed).run(300)
    expect(pairsOf(findings)).toEqual(['a beside b'])
    const pooled = findings.find(({ kind }) => kind === 'a/*/0')!
    expect(pooled.slowDown).toBeGreaterThan(1.4)
    expect(pooled.slowDown).toBeLessThan(2.2)
    expect(pooled.workers).toBeGreaterThanOrEqual(MIN_WORKERS)
  })

  test('are no longer reported after they have stopped to interfere', () => {
    const simulation = new FleetSimulation(noisy, 4)
    expect(pairsOf(simulation.run(300))).toEqual(['a beside b'])
    expect(simulation.run(600, quiet)).toEqual([])
  })

  test('are no longer reported after a long time without observations, and not before the half-life of those', () => {
    const simulation = new FleetSimulation(noisy, 5)
    simulation.run(300)
    expect(pairsOf(simulation.rest(HALF_LIFE_MILLISECONDS / 2))).toEqual(['a beside b'])
    expect(simulation.rest(HALF_LIFE_MILLISECONDS * 6)).toEqual([])
  })
})

describe('nothing is learned', () => {
  test.each(Array.from({ length: 20 }, (_, seed) => seed + 100))('from noise (seed %i)', (seed) => {
    expect(new FleetSimulation(quiet, seed).run(300)).toEqual([])
  })

  test.each([1, 2, 3])('of a kind that often runs together with one that interferes (seed %i)', (seed) => {
    const together: Fleet = { ...noisy, nextQueue: (random, _worker, beside) => beside.includes('b') && random.chance(0.7) ? 'c' : random.pick(queues) }
    expect(pairsOf(new FleetSimulation(together, seed).run(300))).toEqual(['a beside b'])
  })

  test.each([1, 2, 3])('of a kind that mostly runs on slow workers (seed %i)', (seed) => {
    const slow: Fleet = { ...quiet, pace: (worker) => worker < 4 ? 2.5 : 1, nextQueue: (random, worker) => worker < 4 && random.chance(0.6) ? 'b' : random.pick(['a', 'c', 'd']) }
    expect(new FleetSimulation(slow, seed).run(300)).toEqual([])
  })

  test.each([1, 2, 3])('from workers that become slow from time to time, two of them whenever one kind runs there (seed %i)', (seed) => {
    const pace: Fleet['pace'] = (worker, seconds, present) => worker < 2 ? (present.includes('b') ? 2 : 1) : Math.floor(seconds / 20 + worker) % 4 === 0 ? 2.5 : 1
    const slow: Fleet = { ...quiet, pace, nextQueue: (random, worker) => worker < 2 ? random.pick(['a', 'b']) : random.pick(['a', 'c', 'd']) }
    expect(new FleetSimulation(slow, seed).run(300)).toEqual([])
  })
})

/** Intervals of runs between which a kind came, or left in every second run. */
function observe (model: Interference, runs: number, { factor = 2, workers = MIN_WORKERS, kind = 'a', beside = 'b' } = {}): void {
  for (let number = 0; number < runs; number++) {
    const common = { run: `${kind}${beside}${number}`, kind, worker: `w${number % workers}`, milliseconds: 2_000, endedAt: 1_000 }
    const alone = { ...common, neighbours: [], percent: 40 }
    const together = { ...common, neighbours: [beside], percent: 40 / factor }
    for (const interval of number % 2 === 0 ? [alone, together] : [together, alone]) model.observe(interval)
  }
}

test('a pair needs the stated numbers of comparisons and of workers', () => {
  const findingsOf = (runs: number, workers?: number): number => {
    const model = Interference.create()
    observe(model, runs, { workers })
    return model.findings(1_000).length
  }
  expect([findingsOf(MIN_COMPARISONS - 1), findingsOf(MIN_COMPARISONS), findingsOf(40, MIN_WORKERS - 1)]).toEqual([0, 1, 0])
})

test('one run that its neighbours leave and join again and again is not enough', () => {
  const model = Interference.create()
  for (let number = 0; number < 100; number++) {
    model.observe({ run: 'r', kind: 'a', worker: `w${number % 4}`, neighbours: number % 2 === 0 ? [] : ['b'], percent: number % 2 === 0 ? 40 : 20, milliseconds: 2_000, endedAt: 1_000 })
  }
  expect(model.findings(1_000)).toEqual([])
})

test('a rate that falls during each run by itself is no interference, though the neighbours mostly come', () => {
  const model = Interference.create()
  for (let number = 0; number < 40; number++) {
    const common = { run: `r${number}`, kind: 'a', worker: `w${number % 4}`, milliseconds: 2_000, endedAt: 1_000 }
    const came = number % 4 !== 0
    model.observe({ ...common, neighbours: came ? [] : ['b'], percent: 40 })
    model.observe({ ...common, neighbours: came ? ['b'] : [], percent: 25 })
  }
  expect(model.findings(1_000).filter(({ slowDown }) => slowDown > 1)).toEqual([])
})

test('memory is bounded, and the pairs that were observed last are kept', () => {
  const model = Interference.create()
  for (let pair = 0; pair < 2_500; pair++) observe(model, MIN_COMPARISONS, { beside: `n${pair}` })
  const kept = model.findings(1_000)
  expect(kept).toHaveLength(2_048)
  expect(kept.at(-1)?.beside).toBe('n2499')
})

test('what is known of exact kinds takes precedence over what is known of all accounts', () => {
  const simulation = new FleetSimulation({ ...noisy, workers: 24 }, 6)
  simulation.run(1_200)
  const findings = simulation.learner.findings(1_000_000 + 1_200_000)!
  const [own, other] = [taskKind('a', 'account1', 0), taskKind('b', 'account2', 0)]
  const exact = findings.all.find(({ kind, beside }) => kind === own.exact && beside === other.exact)!
  expect(findings.slowDown(own, [other])).toBe(exact.slowDown)
  expect(findings.slowDown(taskKind('a', 'new', 0), [other])).toBe(findings.all.find(({ kind }) => kind === 'a/*/0')!.slowDown)
  expect(findings.slowDown(own, [taskKind('c', 'account1', 0)])).toBe(1)
})
