/** Evacuated data centres in the replicated state: the log entries, the rule, the gradual return and the snapshot. */
import fc from 'fast-check'
import { expect, test } from 'vitest'
import {
  decodeState, encodeState, evacuatedDataCentres, evacuatedRuns, evacuationCount, explainWaiting, isEvacuated, MAX_EVACUATED_DATA_CENTRES, RETURN_RAMP_MILLISECONDS, RunOutcome, runName,
  scheduleSteps, stateDigest, StepTransactionKind, StopReason, WaitingReason, type FleetView, type RunProgress, type StepTransaction
} from '../src/core/index'
import { step, StepWorld, worker } from './steps-fixture'

function view (world: StepWorld, fields: Partial<FleetView> = {}): FleetView {
  return { now: world.now, silent: new Set(), suspects: new Set(), progress: new Map(), complete: false, ...fields }
}

function order (world: StepWorld, kind: 'start' | 'finish', dataCentre = 'd', changeCount = evacuationCount(world.state.steps, dataCentre)): string {
  const fields = { at: world.now, dataCentre, changeCount }
  return world.apply(kind === 'start' ? { kind: StepTransactionKind.StartEvacuation, ...fields } : { kind: StepTransactionKind.FinishEvacuation, ...fields })
}

function shown (decision: StepTransaction): string {
  if (decision.kind === StepTransactionKind.StartGang) return `start ${decision.job} on ${decision.placements.map(({ incarnation }) => incarnation[0]).join('')}`
  if (decision.kind === StepTransactionKind.StopGang) return `stop ${decision.job} ${decision.reason}`
  return decision.kind
}

/** Runs one round, applies its decisions and returns them in short form. */
function decide (world: StepWorld, fields: Partial<FleetView> = {}): string[] {
  const decisions = scheduleSteps(world.state.steps, view(world, fields))
  expect(world.applyAll(decisions).filter((refusal) => refusal !== '')).toEqual([])
  return decisions.map(shown)
}

function listed (...tasks: Array<readonly [string, number]>): ReadonlyMap<string, RunProgress> {
  return new Map(tasks.map(([job, task]) => [runName({ job, step: 0, task, attempt: 1 }), { running: true, percent: 1, changedAt: Infinity }]))
}

const whole = step({ accelerators: 8 })

test('a second start, a finish without a start and an unknown data centre succeed, and repeats change nothing', () => {
  const world = StepWorld.create([worker('a')])
  expect([order(world, 'finish'), order(world, 'start'), order(world, 'start', 'nowhere')]).toEqual(['', '', ''])
  expect(evacuatedDataCentres(world.state.steps).map(({ dataCentre }) => dataCentre)).toEqual(['d', 'nowhere'])
  const { evacuations } = world.state.steps
  expect([order(world, 'start', 'd', 0), order(world, 'start', 'd', 17)]).toEqual(['', ''])
  expect(world.state.steps.evacuations).toBe(evacuations)
  expect([order(world, 'finish'), order(world, 'finish', 'd', 0)]).toEqual(['', ''])
  expect(isEvacuated(world.state.steps, 'd')).toBe(false)
  expect(world.lines.slice(-3).map(({ text }) => JSON.parse(text))).toMatchObject([
    { kind: 'start-evacuation', dataCentre: 'd', number: 1 }, { kind: 'start-evacuation', dataCentre: 'nowhere', number: 2 }, { kind: 'finish-evacuation', dataCentre: 'd', number: 3 }
  ])
})

test('an order that was received before the opposite one and arrives after it does not win', () => {
  const world = StepWorld.create()
  const received = evacuationCount(world.state.steps, 'd')
  order(world, 'start')
  order(world, 'finish')
  expect(order(world, 'start', 'd', received)).toBe('the change count of data centre d is 2, not 0')
  expect(isEvacuated(world.state.steps, 'd')).toBe(false)
})

test('at most 64 data centres are evacuated, and the counts of those that returned long ago still refuse delayed orders', () => {
  const world = StepWorld.create()
  const received = evacuationCount(world.state.steps, 'first')
  order(world, 'start', 'first')
  order(world, 'finish', 'first')
  for (let number = 0; number < 200; number++) { order(world, 'start', `x${number}`); order(world, 'finish', `x${number}`) }
  expect(world.state.steps.evacuations?.dataCentres.size).toBe(64)
  expect(order(world, 'start', 'first', received)).toMatch(/^the change count of data centre first is \d+, not 0$/)
  for (let number = 0; number < MAX_EVACUATED_DATA_CENTRES; number++) expect(order(world, 'start', `y${number}`)).toBe('')
  expect(order(world, 'start', 'one more')).toBe('64 data centres are evacuated already')
  expect(order(world, 'start', 'y3')).toBe('')
  expect(order(world, 'start', 'n'.repeat(129))).not.toBe('')
  expect(evacuatedDataCentres(world.state.steps)).toHaveLength(MAX_EVACUATED_DATA_CENTRES)
})

test('whatever the order in which delayed and repeated orders arrive, none undoes a change that it did not see', () => {
  const received = fc.record({ dataCentre: fc.constantFrom('d', 'e'), kind: fc.constantFrom('start' as const, 'finish' as const) })
  const event = fc.oneof(
    { weight: 2, arbitrary: received.map((given) => ({ receive: given })) },
    { weight: 3, arbitrary: fc.nat().map((deliver) => ({ deliver })) },
    { weight: 1, arbitrary: fc.nat({ max: 90 }).map((others) => ({ others })) }
  )
  fc.assert(fc.property(fc.array(event, { maxLength: 60 }), (events) => {
    const world = StepWorld.create()
    const inFlight: Array<{ kind: 'start' | 'finish', dataCentre: string, count: number, changesSeen: number }> = []
    /** Changes of each data centre, counted independently of the core. */
    const changes = new Map<string, number>()
    const state = new Map<string, boolean>()
    for (const given of events) {
      world.now += 100
      if ('others' in given) {
        for (let number = 0; number < given.others; number++) { order(world, 'start', `x${number}`); order(world, 'finish', `x${number}`) }
      } else if ('receive' in given) {
        const { dataCentre, kind } = given.receive
        inFlight.push({ kind, dataCentre, count: evacuationCount(world.state.steps, dataCentre), changesSeen: changes.get(dataCentre) ?? 0 })
      } else {
        const sent = inFlight[given.deliver % Math.max(1, inFlight.length)]
        if (sent === undefined) continue
        const refused = order(world, sent.kind, sent.dataCentre, sent.count) !== ''
        const requested = sent.kind === 'start'
        const isRepeat = (state.get(sent.dataCentre) ?? false) === requested
        const isCurrent = (changes.get(sent.dataCentre) ?? 0) === sent.changesSeen
        if (isRepeat) expect(refused).toBe(false)
        if (!isRepeat && !isCurrent) expect(refused).toBe(true)
        if (!isRepeat && !refused) {
          state.set(sent.dataCentre, requested)
          changes.set(sent.dataCentre, (changes.get(sent.dataCentre) ?? 0) + 1)
        }
      }
      for (const name of ['d', 'e']) expect(isEvacuated(world.state.steps, name)).toBe(state.get(name) ?? false)
    }
  }), { seed: 20261206, numRuns: 200 })
})

test('nothing starts or is preempted in an evacuated data centre, for a guarantee either, and the log refuses such a start', () => {
  const world = StepWorld.create([worker('a'), worker('b', { dataCentre: 'e' })])
  world.submit('low', [{ ...whole, checkpoints: true }], 'later')
  world.start('low', 0, 0, ['a@1'])
  order(world, 'start', 'd')
  world.submit('first', [whole], 'urgent', 'one')
  world.submit('second', [whole], 'urgent', 'one')
  expect(decide(world)).toEqual(['start first on b'])
  world.now += 5_000
  expect(decide(world)).toEqual([])
  world.end('a@1', { job: 'low', step: 0, task: 0, attempt: 1 }, RunOutcome.Done)
  expect(world.start('second', 0, 0, ['a@1'])).toBe('data centre d is evacuated')
  expect(decide(world)).toEqual([])
  order(world, 'finish', 'd')
  expect(decide(world)).toEqual(['start second on a'])
})

test('a gang whose run ended in an evacuated data centre starts again elsewhere', () => {
  const world = StepWorld.create([worker('a'), worker('b', { dataCentre: 'e' })])
  world.submit('j', [whole])
  world.start('j', 0, 0, ['a@1'])
  order(world, 'start', 'd')
  world.end('a@1', { job: 'j', step: 0, task: 0, attempt: 1 }, RunOutcome.Failed)
  expect(decide(world)).toEqual(['start j on b'])
})

test('runs that have begun go on; a run that its worker has not listed is abandoned as a whole, also on a silent worker', () => {
  const world = StepWorld.create([worker('a'), worker('b', { dataCentre: 'e' }), worker('c', { dataCentre: 'e' })])
  for (const name of ['begun', 'unlisted', 'elsewhere']) world.submit(name, [step({ tasks: 2, gang: true })])
  world.start('begun', 0, 0, ['a@1', 'b@1'])
  world.start('unlisted', 0, 0, ['a@1', 'c@1'])
  world.start('elsewhere', 0, 0, ['b@1', 'c@1'])
  order(world, 'start', 'd')
  const progress = listed(['begun', 0], ['unlisted', 1])
  expect(decide(world, { progress })).toEqual([])
  expect(decide(world, { progress, complete: true, silent: new Set(['a@1', 'b@1', 'c@1']) })).toEqual([`stop unlisted ${StopReason.Evacuated}`])
  expect([...evacuatedRuns(world.state.steps)]).toEqual([['d', 2]])
})

test('the workers of a returned data centre open one after another to work that is not urgent, and at once to urgent work', () => {
  const workers = [1, 2, 3, 4].map((number) => worker(`${number}`, { rack: number % 2 === 0 ? 'r1' : 'r2' }))
  const world = StepWorld.create(workers)
  order(world, 'start')
  for (let number = 0; number < 4; number++) world.submit(`j${number}`, [whole], 'later')
  expect(decide(world)).toEqual([])
  order(world, 'finish')
  expect(decide(world)).toEqual([])
  const opened: string[] = []
  for (let quarter = 1; quarter <= 4; quarter++) {
    world.now += RETURN_RAMP_MILLISECONDS / 4
    opened.push(...decide(world))
  }
  expect(opened).toEqual(['start j0 on 2', 'start j1 on 4', 'start j2 on 1', 'start j3 on 3'])
  const other = StepWorld.create(workers)
  order(other, 'start')
  order(other, 'finish')
  other.submit('urgent', [whole], 'urgent', 'one')
  expect(decide(other)).toHaveLength(1)
})

test('a finish without a start holds nothing back, and other data centres and services are not affected by a return', () => {
  const world = StepWorld.create([worker('a'), worker('b', { dataCentre: 'e', service: 'others' })])
  order(world, 'finish', 'd')
  order(world, 'start', 'e')
  order(world, 'finish', 'e')
  world.submit('j', [whole], 'later')
  expect(decide(world)).toEqual(['start j on a'])
})

test('a gang that would fit an evacuated or returning data centre waits for that reason, any other for lack of capacity', () => {
  const reasons = (world: StepWorld): string[] => explainWaiting(world.state.steps, view(world)).map(({ reason }) => reason)
  const world = StepWorld.create([worker('a'), worker('b', { dataCentre: 'e', accelerators: 2 })])
  order(world, 'start')
  world.submit('j', [whole], 'later')
  expect(reasons(world)).toEqual([WaitingReason.Evacuated])
  order(world, 'finish')
  expect(reasons(world)).toEqual([WaitingReason.Returning])
  world.now += RETURN_RAMP_MILLISECONDS
  world.submit('wide', [step({ accelerators: 9 })])
  order(world, 'start')
  expect(reasons(world)).toEqual([WaitingReason.NoFreeCapacity, WaitingReason.Evacuated])
  order(world, 'start', 'e')
  expect(reasons(world)).toEqual([WaitingReason.Evacuated, WaitingReason.Evacuated])
})

test('a snapshot keeps evacuations and counts, has nothing of them before the first, and older snapshots stay readable', () => {
  const untouched = StepWorld.create([worker('a')])
  expect(new TextDecoder().decode(encodeState(untouched.state))).not.toContain('evacuations')
  expect(decodeState(encodeState(untouched.state)).steps).not.toHaveProperty('evacuations')
  order(untouched, 'finish')
  expect(untouched.state.steps).not.toHaveProperty('evacuations')
  const world = StepWorld.create([worker('a')])
  for (const name of ['z', 'd', 'e']) order(world, 'start', name)
  order(world, 'finish', 'e')
  const restored = decodeState(encodeState(world.state))
  expect(stateDigest(restored)).toBe(stateDigest(world.state))
  expect(evacuationCount(restored.steps, 'e')).toBe(4)
  expect(isEvacuated(restored.steps, 'd')).toBe(true)
  const { steps: { evacuations, ...steps }, ...older } = JSON.parse(new TextDecoder().decode(encodeState(world.state)))
  expect(evacuations).toMatchObject({ changes: 4, forgotten: 0, dataCentres: [{ dataCentre: 'd' }, { dataCentre: 'e' }, { dataCentre: 'z' }] })
  expect(decodeState(new TextEncoder().encode(JSON.stringify({ ...older, steps }))).steps.evacuations).toBeUndefined()
})
