/**
 * Property test on generated histories of step jobs: runs end, fail or lose their lease, workers leave or are lost, and jobs
 * are cancelled; in some histories the capacity of workers changes or data centres are evacuated as well. The scheduler's decisions are checked against what the workers observe, independently of the core's state.
 */
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { evacuationCount, RETURN_RAMP_MILLISECONDS, RunOutcome, runName, scheduleSteps, StepJobState, StepTransactionKind, type Resources, type RunKey } from '../src/core/index'
import { step, StepWorld, worker } from './steps-fixture'

const nothing: Resources = { processors: 0, memoryMegabytes: 0, accelerators: 0 }

function exceeds (held: Resources, capacity: Resources): boolean {
  return held.processors > capacity.processors || held.memoryMegabytes > capacity.memoryMegabytes || held.accelerators > capacity.accelerators
}

function largestOf (one: Resources, other: Resources): Resources {
  return {
    processors: Math.max(one.processors, other.processors), memoryMegabytes: Math.max(one.memoryMegabytes, other.memoryMegabytes), accelerators: Math.max(one.accelerators, other.accelerators)
  }
}

/** What the workers observe. It uses nothing of the core's state, so that a fault there cannot hide a violation. */
class WorkerObserver {
  readonly running = new Map<string, { readonly key: RunKey, readonly incarnation: string, readonly resources: Resources }>()
  readonly done = new Set<string>()
  readonly failures = new Map<string, Set<number>>()
  readonly violations: string[] = []
  private readonly capacities = new Map<string, Resources>()
  private readonly dataCentres = new Map<string, string>()
  private readonly evacuated = new Set<string>()
  /** When each data centre returned. */
  private readonly returnedAt = new Map<string, number>()
  /** What a worker may hold: its capacity, or what it held when that shrank. */
  private readonly limits = new Map<string, Resources>()

  /** Notes the capacity of a new worker, or the changed one of another. */
  setCapacity (incarnation: string, { processors, memoryMegabytes, accelerators }: Resources): void {
    const capacity = { processors, memoryMegabytes, accelerators }
    this.capacities.set(incarnation, capacity)
    this.limits.set(incarnation, largestOf(capacity, this.heldOn(incarnation)))
  }

  /** Notes the data centre of a new worker. */
  setDataCentre (incarnation: string, dataCentre: string): void {
    this.dataCentres.set(incarnation, dataCentre)
  }

  /** Notes that a data centre is evacuated, or that it has returned. */
  setEvacuated (dataCentre: string, evacuated: boolean, now: number): void {
    if (evacuated) this.evacuated.add(dataCentre)
    else if (this.evacuated.delete(dataCentre)) this.returnedAt.set(dataCentre, now)
  }

  /** The share of a data centre's workers that may get work which is not urgent. */
  openShare (dataCentre: string, now: number): number {
    return this.evacuated.has(dataCentre) ? 0 : Math.min(1, (now - (this.returnedAt.get(dataCentre) ?? -Infinity)) / RETURN_RAMP_MILLISECONDS)
  }

  /** Checks a start against the evacuations. `present` are the registered workers. */
  checkDataCentre (incarnation: string, urgent: boolean, present: readonly string[], now: number): void {
    const dataCentre = this.dataCentres.get(incarnation) ?? ''
    if (this.evacuated.has(dataCentre)) this.violations.push(`a task starts on ${incarnation} in the evacuated data centre ${dataCentre}`)
    const workers = present.filter((other) => this.dataCentres.get(other) === dataCentre)
    const started = this.returnStarts.get(dataCentre) ?? { at: NaN, workers: new Set<string>() }
    const returned = this.returnedAt.get(dataCentre) ?? NaN
    const current = started.at === returned ? started : { at: returned, workers: new Set<string>() }
    if (urgent || this.openShare(dataCentre, now) >= 1) return
    current.workers.add(incarnation)
    this.returnStarts.set(dataCentre, current)
    const open = [...current.workers].filter((other) => workers.includes(other)).length
    if (open > workers.length * this.openShare(dataCentre, now)) this.violations.push(`work that is not urgent starts on ${open} of ${workers.length} workers of ${dataCentre}, which has just returned`)
  }

  /** The workers of a returned data centre that got work which is not urgent, since its last return. */
  private readonly returnStarts = new Map<string, { readonly at: number, readonly workers: Set<string> }>()

  /** What runs on a worker, in total. */
  heldOn (incarnation: string): Resources {
    return [...this.running.values()].filter((run) => run.incarnation === incarnation).reduce<Resources>((sum, { resources }) => ({
      processors: sum.processors + resources.processors, memoryMegabytes: sum.memoryMegabytes + resources.memoryMegabytes, accelerators: sum.accelerators + resources.accelerators
    }), nothing)
  }

  /** Workers that hold more than their capacity, and more than when that last shrank. */
  overloaded (): string[] {
    return [...this.limits].flatMap(([incarnation, limit]) => exceeds(this.heldOn(incarnation), limit) ? [`${incarnation} is overloaded`] : [])
  }

  start (key: RunKey, incarnation: string, resources: Resources): void {
    const task = `${key.job}.${key.step}.${key.task}`
    for (const other of this.running.values()) {
      if (other.key.job === key.job && other.key.step === key.step && other.key.task === key.task) this.violations.push(`${task} is running twice`)
    }
    if (this.done.has(task)) this.violations.push(`${task} starts after it was done`)
    if ((this.failures.get(task)?.size ?? 0) >= 2) this.violations.push(`${task} starts past its attempts`)
    this.running.set(runName(key), { key, incarnation, resources })
    if (exceeds(this.heldOn(incarnation), this.capacities.get(incarnation) ?? nothing)) this.violations.push(`${task} starts beyond the capacity of ${incarnation}`)
  }

  end (key: RunKey, outcome: RunOutcome): void {
    this.running.delete(runName(key))
    const task = `${key.job}.${key.step}.${key.task}`
    if (outcome === RunOutcome.Done) this.done.add(task)
    if (outcome === RunOutcome.Failed) this.failures.set(task, (this.failures.get(task) ?? new Set<number>()).add(key.attempt))
  }
}

const command = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('end' as const), pick: fc.nat(), outcome: fc.constantFrom(RunOutcome.Done, RunOutcome.Done, RunOutcome.Failed, RunOutcome.LeaseExpired, RunOutcome.Stopped) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lose' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const), pick: fc.nat() }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('submit' as const), tasks: fc.integer({ min: 1, max: 4 }), accelerators: fc.integer({ min: 1, max: 8 }), gang: fc.boolean(), queue: fc.constantFrom('urgent', 'normal', 'later'), checkpoints: fc.boolean() }) }
)
const commandOrResize = fc.oneof(
  { weight: 12, arbitrary: command },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('resize' as const), pick: fc.nat(), processors: fc.constantFrom(0, 1_500, 4_000, 64_000), memoryMegabytes: fc.constantFrom(0, 2_500, 131_072), accelerators: fc.integer({ min: 0, max: 12 }) }) }
)
const commandOrEvacuation = fc.oneof(
  { weight: 12, arbitrary: commandOrResize },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('evacuate' as const), dataCentre: fc.constantFrom('d0', 'd1', 'd2'), evacuate: fc.boolean(), delayed: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('wait' as const), milliseconds: fc.integer({ min: 500, max: 9_000 }) }) }
)
type Command = typeof commandOrEvacuation extends fc.Arbitrary<infer Value> ? Value : never

/** Runs one history and returns the violations. */
function runHistory (commands: readonly Command[]): string[] {
  const described = [1, 2, 3].map((number) => worker(`w${number}`, { rack: `r${number % 2}`, dataCentre: `d${number % 2}` }))
  const world = StepWorld.create(described)
  const observer = new WorkerObserver()
  for (const description of described) {
    observer.setCapacity(description.incarnation, description)
    observer.setDataCentre(description.incarnation, description.dataCentre)
  }
  /** Orders whose change count was read and that have not arrived yet. */
  const delayedOrders: Array<{ readonly dataCentre: string, readonly evacuate: boolean, readonly changeCount: number }> = []
  const orderEvacuation = ({ dataCentre, evacuate, changeCount }: typeof delayedOrders[number]): void => {
    const kind = evacuate ? StepTransactionKind.StartEvacuation as const : StepTransactionKind.FinishEvacuation as const
    const outdated = changeCount !== evacuationCount(world.state.steps, dataCentre)
    const refused = world.apply({ kind, at: world.now, dataCentre, changeCount }) !== ''
    if (refused !== outdated && refused) observer.violations.push(`an order on ${dataCentre} with the current count is refused`)
    if (!outdated) observer.setEvacuated(dataCentre, evacuate, world.now)
  }
  let workers = 3
  let jobs = 0
  const numbers = new Map<string, number>()
  const end = (key: RunKey, incarnation: string, outcome: RunOutcome): void => {
    observer.end(key, outcome)
    const number = (numbers.get(incarnation) ?? 0) + 1
    numbers.set(incarnation, number)
    world.apply({ kind: StepTransactionKind.EndRuns, at: world.now, incarnation, ends: [{ number, key, outcome, checkpoint: '' }] })
  }
  const handlers: { readonly [kind in Command['kind']]: (given: never) => void } = {
    end: ({ pick, outcome }: Extract<Command, { kind: 'end' }>) => {
      const runs = [...observer.running.values()]
      const run = runs[pick % Math.max(1, runs.length)]
      if (run !== undefined) end(run.key, run.incarnation, outcome)
    },
    lose: ({ pick }: Extract<Command, { kind: 'lose' }>) => {
      const incarnations = [...world.state.steps.incarnations.keys()].sort()
      const incarnation = incarnations[pick % Math.max(1, incarnations.length)]
      if (incarnation === undefined) return
      for (const run of [...observer.running.values()]) if (run.incarnation === incarnation) observer.end(run.key, RunOutcome.Lost)
      world.apply({ kind: StepTransactionKind.LoseIncarnation, at: world.now, incarnation, checkpoints: [] })
      workers += 1
      const life = worker(`w${workers}`, { rack: `r${workers % 2}`, dataCentre: `d${workers % 2}` })
      observer.setDataCentre(life.incarnation, life.dataCentre)
      world.apply({ kind: StepTransactionKind.AnnounceIncarnation, at: world.now, life })
      observer.setCapacity(life.incarnation, life)
    },
    resize: ({ pick, kind, ...capacity }: Extract<Command, { kind: 'resize' }>) => {
      const incarnations = [...world.state.steps.incarnations.keys()].sort()
      const incarnation = incarnations[pick % Math.max(1, incarnations.length)]
      if (incarnation === undefined) return
      world.resize(incarnation, capacity)
      observer.setCapacity(incarnation, capacity)
    },
    leave: ({ pick }: Extract<Command, { kind: 'leave' }>) => {
      const incarnations = [...world.state.steps.incarnations.keys()].sort()
      const incarnation = incarnations[pick % Math.max(1, incarnations.length)]
      if (incarnation !== undefined && pick % 3 === 0) world.apply({ kind: StepTransactionKind.LeaveIncarnation, at: world.now, incarnation })
    },
    evacuate: ({ dataCentre, evacuate, delayed }: Extract<Command, { kind: 'evacuate' }>) => {
      const order = { dataCentre, evacuate, changeCount: evacuationCount(world.state.steps, dataCentre) }
      if (delayed) { delayedOrders.push(order); return }
      orderEvacuation(order)
      const late = delayedOrders.shift()
      if (late !== undefined) orderEvacuation(late)
    },
    wait: ({ milliseconds }: Extract<Command, { kind: 'wait' }>) => { world.now += milliseconds },
    cancel: ({ pick }: Extract<Command, { kind: 'cancel' }>) => {
      if (jobs > 0) world.apply({ kind: StepTransactionKind.CancelSteps, at: world.now, identifier: `j${pick % jobs}` })
    },
    submit: ({ tasks, accelerators, gang, queue, checkpoints }: Extract<Command, { kind: 'submit' }>) => {
      world.submit(`j${jobs}`, [step({ tasks, accelerators, gang, checkpoints }), step({ after: [0] })], queue, queue === 'urgent' ? 'one' : 'two')
      jobs += 1
    }
  }
  for (const given of commands) {
    world.now += 200
    handlers[given.kind](given as never)
    for (let round = 0; round < 4; round++) {
      const decisions = scheduleSteps(world.state.steps, { now: world.now, silent: new Set(), suspects: new Set(), progress: new Map(), complete: false })
      if (decisions.length === 0) break
      for (const decision of decisions) {
        const refusal = world.apply(decision)
        if (refusal !== '') observer.violations.push(`decision refused: ${refusal}`)
        if (decision.kind !== StepTransactionKind.StartGang) continue
        const urgent = world.job(decision.job).queue.priority === 0
        for (const { task, incarnation } of decision.placements) {
          observer.checkDataCentre(incarnation, urgent, [...world.state.steps.incarnations.keys()], world.now)
          observer.start({ job: decision.job, step: decision.step, task, attempt: decision.attempt }, incarnation, world.job(decision.job).specification.steps[decision.step] ?? nothing)
        }
      }
    }
    observer.violations.push(...observer.overloaded(), ...miscounted(world), ...wronglyCompleted(world, observer))
  }
  return observer.violations
}

function miscounted (world: StepWorld): string[] {
  return [...world.state.steps.incarnations.values()].flatMap((current) => {
    const held = [...current.runs.values()].reduce((sum, { job, step: number }) => sum + (world.job(job).specification.steps[number]?.accelerators ?? 0), 0)
    return held !== current.used.accelerators ? [`${current.worker} holds ${held} and counts ${current.used.accelerators}`] : []
  })
}

/** Completed jobs with a step that is not done. A gang is done once one of its members is. */
function wronglyCompleted (world: StepWorld, { done }: WorkerObserver): string[] {
  return [...world.state.steps.jobs.values()].filter((job) => job.state === StepJobState.Completed).flatMap((job) => job.specification.steps.flatMap(({ tasks, gang }, number) => {
    const ended = Array.from({ length: tasks }, (_, task) => done.has(`${job.identifier}.${number}.${task}`))
    return (gang ? ended.some(Boolean) : ended.every(Boolean)) ? [] : [`${job.identifier} is shown as completed`]
  }))
}

test('whatever the order of events, no task runs twice at once, after it is done, beyond its attempts or beyond a worker\'s capacity', () => {
  fc.assert(fc.property(fc.array(command, { minLength: 5, maxLength: 60 }), (commands) => {
    expect(runHistory(commands)).toEqual([])
  }), { seed: 20261204, numRuns: 300 })
})

test('the same holds while the capacity of workers shrinks and grows: no start goes beyond the capacity at its time', () => {
  fc.assert(fc.property(fc.array(commandOrResize, { minLength: 5, maxLength: 60 }), (commands) => {
    expect(runHistory(commands)).toEqual([])
  }), { seed: 20261204, numRuns: 300 })
})

test('the same holds while data centres are evacuated and return: nothing starts in an evacuated one, a delayed order never wins, and a returned one opens gradually', () => {
  fc.assert(fc.property(fc.array(commandOrEvacuation, { minLength: 5, maxLength: 60 }), (commands) => {
    expect(runHistory(commands)).toEqual([])
  }), { seed: 20261206, numRuns: 300 })
})
