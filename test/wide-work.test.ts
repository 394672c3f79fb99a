/**
 * Gangs below the highest priority beside narrow work, and work on uneven workers. Guards against gangs that never start
 * because single tasks take each place that becomes free, and against work that is late because it was put on slow workers.
 */
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { Mechanism, policyWithout, RunOutcome, scheduleSteps, stepPolicy, StepTransactionKind, type FleetView, type RunKey, type StepPolicy } from '../src/core/index'
import { step, StepWorld, worker } from './steps-fixture'

const TICK_MILLISECONDS = 100

/** Runs tasks for as long as they are told, and submits narrow tasks so that some always wait. */
class BusyFleet {
  readonly world: StepWorld
  private readonly ends = new Map<string, { readonly key: RunKey, readonly incarnation: string, readonly at: number }>()
  private submitted = 0

  constructor (workers: number, private readonly policy: StepPolicy, private readonly narrowMilliseconds: () => number, private readonly checkpoints: boolean) {
    this.world = StepWorld.create(Array.from({ length: workers }, (_, position) => worker(`w${position}`)))
  }

  /** Returns how long the job waits until it starts, in milliseconds; Infinity where it has not started in the given time. */
  waitOf (job: string, limit: number): number {
    const { world } = this
    const submittedAt = world.now
    for (; world.now - submittedAt < limit; world.now += TICK_MILLISECONDS) {
      this.tick()
      if (world.state.steps.jobs.get(job)?.started === true) return world.now - submittedAt
    }
    return Infinity
  }

  run (milliseconds: number): void {
    for (const end = this.world.now + milliseconds; this.world.now < end; this.world.now += TICK_MILLISECONDS) this.tick()
  }

  private tick (): void {
    const { world } = this
    for (const [name, { key, incarnation, at }] of this.ends) {
      if (at > world.now) continue
      this.ends.delete(name)
      world.end(incarnation, key, RunOutcome.Done)
    }
    while (this.waiting < 20) {
      this.submitted += 1
      world.submit(`n${this.submitted}`, [step({ estimateMilliseconds: this.narrowMilliseconds(), checkpoints: this.checkpoints })], 'later')
    }
    this.decide()
  }

  private get waiting (): number {
    return [...world(this).jobs.values()].filter(({ identifier, state }) => identifier.startsWith('n') && state === 'queued').length
  }

  private decide (): void {
    const { world } = this
    const view: FleetView = { now: world.now, silent: new Set(), suspects: new Set(), progress: new Map(), complete: false }
    for (const decision of scheduleSteps(world.state.steps, view, this.policy)) {
      expect(world.apply(decision)).toBe('')
      if (decision.kind === StepTransactionKind.StartGang) {
        const milliseconds = world.job(decision.job).specification.steps[decision.step]?.estimateMilliseconds ?? 0
        for (const { task, incarnation } of decision.placements) {
          const key = { job: decision.job, step: decision.step, task, attempt: decision.attempt }
          this.ends.set(`${decision.job}.${task}`, { key, incarnation, at: world.now + milliseconds })
        }
      }
      if (decision.kind === StepTransactionKind.StopGang) {
        for (const [name, { key, incarnation }] of this.ends) {
          if (key.job !== decision.job) continue
          this.ends.delete(name)
          world.end(incarnation, key, RunOutcome.Stopped, 'saved')
        }
      }
    }
  }
}

function world (fleet: BusyFleet): StepWorld['state']['steps'] {
  return fleet.world.state.steps
}

const wide = step({ tasks: 3, gang: true, accelerators: 8, estimateMilliseconds: 2_000 })

test('a gang starts within four times its own run time and twice the longest run before it, whatever narrow work arrives', () => {
  fc.assert(fc.property(fc.integer({ min: 3, max: 5 }), fc.array(fc.integer({ min: 200, max: 3_000 }), { minLength: 30, maxLength: 30 }), (workers, durations) => {
    let next = 0
    const fleet = new BusyFleet(workers, stepPolicy, () => durations[next++ % durations.length] ?? 200, false)
    fleet.run(3_000)
    fleet.world.submit('wide', [wide])
    expect(fleet.waitOf('wide', 60_000)).toBeLessThanOrEqual(4 * 2_000 + 2 * Math.max(...durations) + TICK_MILLISECONDS)
  }), { seed: 42, numRuns: 25 })
})

test('without reservations, narrow work that cannot be stopped keeps such a gang out', () => {
  const fleet = new BusyFleet(4, policyWithout([Mechanism.Reservations]), () => 1_500, false)
  fleet.run(3_000)
  fleet.world.submit('wide', [wide])
  expect(fleet.waitOf('wide', 60_000)).toBe(Infinity)
})

test('a gang that is about to miss its objective stops lower work that resumes from checkpoints, and not before', () => {
  const fleet = new BusyFleet(4, stepPolicy, () => 5_000, true)
  fleet.run(3_000)
  fleet.world.submit('wide', [wide])
  const wait = fleet.waitOf('wide', 60_000)
  expect(wait).toBeGreaterThanOrEqual(1_500)
  expect(wait).toBeLessThanOrEqual(1_700)
})

test('a gang does not stop lower work that would lose its progress', () => {
  const fleet = new BusyFleet(4, policyWithout([Mechanism.Reservations]), () => 5_000, false)
  fleet.run(3_000)
  fleet.world.submit('wide', [wide])
  expect(fleet.waitOf('wide', 4_000)).toBe(Infinity)
  expect(fleet.world.lines.filter(({ text }) => text.includes('preempted'))).toEqual([])
})

test.each([[false, Infinity], [true, 1_700]])('while urgent work needs a reserve, a gang stops lower work only if it resumes from checkpoints itself: %s', (checkpoints, longestWait) => {
  const fleet = new BusyFleet(4, stepPolicy, () => 5_000, true)
  fleet.run(3_000)
  fleet.world.submit('urgent', [step({ tasks: 2, gang: true, accelerators: 8, estimateMilliseconds: 20_000 })], 'urgent', 'one')
  fleet.run(500)
  fleet.world.submit('wide', [step({ ...wide, tasks: 2, checkpoints })])
  const wait = fleet.waitOf('wide', 4_000)
  expect(wait).toBe(checkpoints ? wait : Infinity)
  expect(wait).toBeLessThanOrEqual(longestWait)
})

/** Runs one round with slow workers, and returns the starts in short form. */
function startsWith (fleet: StepWorld, paces: ReadonlyMap<string, number>, policy = stepPolicy): string[] {
  const decisions = scheduleSteps(fleet.state.steps, { now: fleet.now, silent: new Set(), suspects: new Set(), progress: new Map(), complete: false, paces }, policy)
  return decisions.flatMap((decision) => decision.kind === StepTransactionKind.StartGang ? [`${decision.job} on ${decision.placements.map(({ incarnation }) => incarnation[0]).join('')}`] : [])
}

const slowA = new Map([['a@1', 0.45], ['b@1', 1], ['c@1', 1]])

test('work that would be late on a slow worker starts on another one, and work that can afford it on the slow one', () => {
  const fleet = StepWorld.create([worker('a'), worker('b'), worker('c')])
  fleet.submit('tight', [step({ accelerators: 4, estimateMilliseconds: 10_000 })])
  expect(startsWith(fleet, slowA)).toEqual(['tight on b'])
  expect(startsWith(fleet, slowA, policyWithout([Mechanism.WorkerPace]))).toEqual(['tight on a'])
  const patient = StepWorld.create([worker('a'), worker('b'), worker('c')])
  patient.submit('short', [step({ accelerators: 4, estimateMilliseconds: 200 })])
  expect(startsWith(patient, slowA)).toEqual(['short on a'])
})

test('a gang is not spread over a slow and other workers while it fits on workers of the usual pace', () => {
  const fleet = StepWorld.create([worker('a'), worker('b'), worker('c')])
  fleet.submit('gang', [step({ tasks: 2, gang: true, accelerators: 8, estimateMilliseconds: 200 })])
  expect(startsWith(fleet, slowA)).toEqual(['gang on bc'])
})

test('a slow worker is used where no other one has room', () => {
  const fleet = StepWorld.create([worker('a')])
  fleet.submit('tight', [step({ estimateMilliseconds: 10_000 })])
  expect(startsWith(fleet, slowA)).toEqual(['tight on a'])
})

test('neither a gang that prefers one rack nor work beside its data leaves the rack to avoid a slow worker', () => {
  const fleet = StepWorld.create([worker('a'), worker('b'), worker('c', { rack: 'r2' })])
  fleet.submit('gang', [step({ tasks: 2, gang: true, sameRack: true, accelerators: 8, estimateMilliseconds: 1_000 })])
  fleet.now += 5_000
  expect(startsWith(fleet, slowA)).toEqual(['gang on ab'])
  const beside = StepWorld.create([worker('a'), worker('c', { rack: 'r2' })])
  beside.submit('data', [step({ accelerators: 4, estimateMilliseconds: 1_000, dataRack: 'r1' })])
  beside.now += 2_500
  expect(startsWith(beside, slowA)).toEqual(['data on a'])
})
