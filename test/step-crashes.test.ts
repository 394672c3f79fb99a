/** Crashes of workers as evidence against the tasks that had just started there. */
import { expect, test } from 'vitest'
import {
  accountStatement, apply, CrashEvidence, decodeState, encodeState, IncarnationLossCause, RunOutcome, scheduleSteps, stateDigest, StepJobState, StepTransactionKind, Verdict, type FleetView, type RunKey
} from '../src/core/index'
import { step, StepWorld, worker } from './steps-fixture'

const key = (job: string, attempt = 1, task = 0): RunKey => ({ job, step: 0, task, attempt })
const SETTLED = 1_000

/** Three workers in each of three racks. */
const fleet = Array.from({ length: 9 }, (_, number) => worker(`w${number}`, { rack: `r${number % 3}` }))

/** All workers were last seen alive now. */
function allAlive (world: StepWorld): Map<string, number> {
  return new Map([...world.state.steps.incarnations.keys()].map((incarnation) => [incarnation, world.now]))
}

/** Starts the first gang of a job on a worker, which crashes at once and is lost three seconds later; the others live on. */
function startAndCrash (world: StepWorld, job: string, name: string): void {
  world.start(job, 0, 0, [`${name}@1`])
  const crashedAt = world.now
  world.now += 3_000
  world.crash(`${name}@1`, new Map([...allAlive(world), [`${name}@1`, crashedAt]]))
}

const crashesOf = (world: StepWorld, job: string): Array<CrashEvidence | undefined> => (world.job(job).gangs[0]?.[0]?.crashes ?? []).map(({ evidence }) => evidence)

function view (world: StepWorld, fields: Partial<FleetView> = {}): FleetView {
  return { now: world.now, silent: new Set(), suspects: new Set(), progress: new Map(), complete: false, aliveAt: allAlive(world), ...fields }
}

/** Names of the workers on which the next round starts each job. */
function nextStarts (world: StepWorld, fields: Partial<FleetView> = {}): Record<string, string[]> {
  const starts = scheduleSteps(world.state.steps, view(world, fields)).flatMap((decision) => decision.kind === StepTransactionKind.StartGang ? [decision] : [])
  return Object.fromEntries(starts.map(({ job, placements }) => [job, placements.map(({ incarnation }) => incarnation)]))
}

test('a task under which a second worker crashes while nothing else had just started there is given up', () => {
  const world = StepWorld.create(fleet)
  world.submit('j', [step()])
  startAndCrash(world, 'j', 'w0')
  expect(world.job('j').state).toBe(StepJobState.Running)
  startAndCrash(world, 'j', 'w1')
  expect(world.job('j')).toMatchObject({ state: StepJobState.Failed, endReason: 'workers-crashed' })
  expect(world.start('j', 0, 0, ['w2@1'])).toBe('the gang is not waiting')
})

test('two crashes that other new tasks can explain are no proof; a third ends the job', () => {
  const world = StepWorld.create(fleet)
  for (const job of ['a', 'b']) world.submit(job, [step()])
  for (const name of ['w0', 'w1']) {
    world.start('b', 0, 0, [`${name}@1`])
    startAndCrash(world, 'a', name)
  }
  for (const job of ['a', 'b']) {
    expect(crashesOf(world, job)).toEqual([CrashEvidence.BesideOthers, CrashEvidence.BesideOthers])
    expect(world.job(job).state).toBe(StepJobState.Running)
  }
  world.start('b', 0, 0, ['w2@1'])
  startAndCrash(world, 'a', 'w2')
  expect(['a', 'b'].map((job) => world.job(job).state)).toEqual([StepJobState.Failed, StepJobState.Failed])
})

test('a task that had worked for long when its worker crashed is not suspected, and does not excuse the one that had just started', () => {
  const world = StepWorld.create(fleet)
  for (const job of ['old', 'new']) world.submit(job, [step()])
  world.start('old', 0, 0, ['w0@1'])
  world.now += SETTLED
  startAndCrash(world, 'new', 'w0')
  expect(crashesOf(world, 'old')).toEqual([])
  expect(crashesOf(world, 'new')).toEqual([CrashEvidence.Alone])
})

test('only a crash is evidence: not a lease that ran out, a deregistration, a leaving worker or one that this leader never saw alive', () => {
  const world = StepWorld.create(fleet)
  world.submit('j', [step()])
  const lose = (name: string, cause: IncarnationLossCause | undefined): void => {
    world.start('j', 0, 0, [`${name}@1`])
    const suspects = [{ job: 'j', step: 0, gang: 0, attempt: world.job('j').gangs[0]?.[0]?.attempts ?? 0, evidence: CrashEvidence.Alone }]
    world.apply({ kind: StepTransactionKind.LoseIncarnation, at: world.now, incarnation: `${name}@1`, checkpoints: [], cause, aliveAt: world.now, suspects })
  }
  lose('w0', IncarnationLossCause.LeaseExpired)
  lose('w1', IncarnationLossCause.Deregistered)
  lose('w2', undefined)
  world.start('j', 0, 0, ['w3@1'])
  world.apply({ kind: StepTransactionKind.LeaveIncarnation, at: world.now, incarnation: 'w3@1' })
  world.crash('w3@1', allAlive(world))
  world.start('j', 0, 0, ['w4@1'])
  world.crash('w4@1', new Map())
  expect(crashesOf(world, 'j')).toEqual([])
  expect(world.job('j').state).toBe(StepJobState.Running)
})

test('the loss of a whole rack is told from a crash, whichever of its workers comes back first', () => {
  const world = StepWorld.create(fleet)
  const rack = ['w0', 'w3', 'w6']
  for (const name of rack) { world.submit(name, [step()]); world.start(name, 0, 0, [`${name}@1`]) }
  const lostAt = world.now
  const downSince = new Map(rack.map((name) => [`${name}@1`, lostAt]))
  for (const name of rack) {
    world.now += 2_500
    world.crash(`${name}@1`, new Map([...allAlive(world), ...downSince]))
    world.apply({ kind: StepTransactionKind.AnnounceIncarnation, at: world.now, life: { ...worker(name, { rack: 'r0' }), incarnation: `${name}@2` } })
    expect(crashesOf(world, name)).toEqual([CrashEvidence.WithRack])
  }
})

test('where racks have one worker each, the loss of the whole fleet is told from a crash', () => {
  const world = StepWorld.create([1, 2, 3].map((number) => worker(`w${number}`, { rack: `r${number}` })))
  world.submit('j', [step()])
  world.start('j', 0, 0, ['w1@1'])
  const lost = allAlive(world)
  world.now += 3_000
  world.crash('w1@1', lost)
  expect(crashesOf(world, 'j')).toEqual([CrashEvidence.WithRack])
})

test('losses of a whole rack end a job only at the bound for all crashes', () => {
  const world = StepWorld.create(fleet)
  world.submit('j', [step()])
  const states: StepJobState[] = []
  for (let life = 1; life <= 4; life++) {
    world.start('j', 0, 0, [`w0@${life}`])
    const lost = allAlive(world)
    world.now += 3_000
    world.crash(`w0@${life}`, lost)
    states.push(world.job('j').state)
    world.apply({ kind: StepTransactionKind.AnnounceIncarnation, at: world.now, life: { ...worker('w0', { rack: 'r0' }), incarnation: `w0@${life + 1}` } })
    world.now += 60_000
  }
  expect(states).toEqual([...Array.from({ length: 3 }, () => StepJobState.Running), StepJobState.Failed])
})

test('a gang that takes down all of its workers does not pass for a power loss, and counts once for each attempt', () => {
  const world = StepWorld.create(fleet)
  world.submit('j', [step({ tasks: 3, gang: true })])
  const incarnations = ['w0@1', 'w3@1', 'w6@1']
  world.start('j', 0, 0, incarnations)
  const crashedAt = world.now
  world.now += 3_000
  for (const incarnation of incarnations) world.crash(incarnation, new Map([...allAlive(world), ...incarnations.map((other): [string, number] => [other, crashedAt])]))
  expect(crashesOf(world, 'j')).toEqual([CrashEvidence.Alone])
  expect(world.job('j').state).toBe(StepJobState.Running)
})

/** Starts a gang of two tasks on two workers; the worker of one of them crashes at once. */
function startPairAndCrash (world: StepWorld, crashing: 0 | 1): void {
  const names = world.state.steps.incarnations.keySeq().toArray().sort().slice(0, 2)
  const attempt = (world.job('j').gangs[0]?.[0]?.attempts ?? 0) + 1
  world.start('j', 0, 0, names)
  const crashedAt = world.now
  world.now += 3_000
  world.crash(names[crashing]!, new Map([...allAlive(world), [names[crashing]!, crashedAt]]))
  world.end(names[1 - crashing]!, key('j', attempt, 1 - crashing), RunOutcome.MemberEnded)
}

test('crashes of workers under different tasks of a gang do not add up', () => {
  const world = StepWorld.create(fleet)
  world.submit('j', [step({ tasks: 2, gang: true })])
  startPairAndCrash(world, 0)
  startPairAndCrash(world, 1)
  expect(world.job('j').state).toBe(StepJobState.Running)
  world.state = decodeState(encodeState(world.state))
  startPairAndCrash(world, 1)
  expect(world.job('j')).toMatchObject({ state: StepJobState.Failed, endReason: 'workers-crashed' })
})

test('a crash that was recorded without its tasks counts for each task of the gang', () => {
  const world = StepWorld.create(fleet)
  world.submit('j', [step({ tasks: 2, gang: true })])
  startPairAndCrash(world, 0)
  const job = world.job('j')
  const gangs = job.gangs.map((list) => list.map(({ crashedTasks: _, ...gang }) => gang))
  world.state = { ...world.state, steps: { ...world.state.steps, jobs: world.state.steps.jobs.set('j', { ...job, gangs }) } }
  startPairAndCrash(world, 1)
  expect(world.job('j').state).toBe(StepJobState.Failed)
})

test('a start past the bound is refused, whatever the policy', () => {
  const world = StepWorld.create(fleet)
  world.submit('j', [step()])
  const crashes = [1, 2].map((attempt) => ({ attempt, worker: 'w', evidence: CrashEvidence.Alone }))
  const job = world.job('j')
  const gangs = job.gangs.map((list) => list.map((gang) => ({ ...gang, crashes })))
  world.state = { ...world.state, steps: { ...world.state.steps, jobs: world.state.steps.jobs.set('j', { ...job, gangs }) } }
  expect(world.start('j', 0, 0, ['w0@1'])).toBe('too many workers crashed under the gang')
})

test('evidence and recent losses survive a snapshot; a snapshot from before they existed still loads', () => {
  const world = StepWorld.create(fleet)
  const old = JSON.parse(new TextDecoder().decode(encodeState(world.state))) as { steps: object }
  expect(old.steps).not.toHaveProperty('losses')
  expect(decodeState(new TextEncoder().encode(JSON.stringify(old))).steps.losses).toEqual([])
  world.submit('j', [step()])
  startAndCrash(world, 'j', 'w0')
  const restored = decodeState(encodeState(world.state))
  expect(stateDigest(restored)).toBe(stateDigest(world.state))
  expect(restored.steps.losses).toMatchObject([{ incarnation: 'w0@1', rack: 'r0' }])
  world.state = restored
  startAndCrash(world, 'j', 'w1')
  expect(world.job('j').state).toBe(StepJobState.Failed)
})

test('the statement of the account names each crash and the reason for giving up', () => {
  const world = StepWorld.create(fleet)
  world.submit('j', [step()])
  startAndCrash(world, 'j', 'w0')
  startAndCrash(world, 'j', 'w1')
  const statement = accountStatement(world.lines.map(({ text }) => text), 'two')
  expect(statement.verification.faults).toEqual([])
  expect(statement.jobs).toMatchObject([{ job: 'j', state: StepJobState.Failed, reason: 'workers-crashed', verdict: Verdict.MayHaveRun }])
  expect(statement.totals).toMatchObject({ failedMayHaveRun: 1, failedNotRun: 0 })
  const texts = statement.lines.map(({ text }) => text)
  expect(texts.filter((text) => text.includes('crashed just after'))).toEqual([
    'job j step 0 attempt 1: worker w0 crashed just after this start, and nothing else had just started there',
    'job j step 0 attempt 2: worker w1 crashed just after this start, and nothing else had just started there'
  ])
  expect(texts.at(-1)).toContain('job j failed: its workers crashed, it may have run')
})

test('a suspected task starts where nothing else has just started, and nothing starts beside it until it has settled', () => {
  const world = StepWorld.create([worker('w0'), worker('w1'), worker('w2')])
  world.submit('suspect', [step()])
  startAndCrash(world, 'suspect', 'w0')
  world.submit('fresh', [step()])
  world.start('fresh', 0, 0, ['w1@1'])
  expect(nextStarts(world)).toEqual({ suspect: ['w2@1'] })
  world.start('suspect', 0, 0, ['w2@1'])
  const startedAt = world.now
  world.end('w1@1', key('fresh'), RunOutcome.Done)
  world.submit('urgent', [step({ accelerators: 5 })], 'urgent', 'one')
  world.start('urgent', 0, 0, ['w1@1'])
  world.submit('next', [step({ accelerators: 5 })], 'urgent', 'one')
  world.now += SETTLED
  const stillAlive = allAlive(world)
  expect(nextStarts(world, { aliveAt: new Map([...stillAlive, ['w2@1', startedAt]]) })).toEqual({})
  expect(nextStarts(world, { aliveAt: stillAlive })).toEqual({ next: ['w2@1'] })
})

test('a suspected task that finds no quiet worker holds one, so that it starts there once the others have settled', () => {
  const world = StepWorld.create([worker('w0'), worker('w1')])
  world.submit('suspect', [step({ estimateMilliseconds: 10_000 })])
  startAndCrash(world, 'suspect', 'w0')
  for (const job of ['fresh', 'next']) world.submit(job, [step()])
  world.start('fresh', 0, 0, ['w1@1'])
  expect(nextStarts(world)).toEqual({})
  world.now += SETTLED
  expect(nextStarts(world)).toEqual({ suspect: ['w1@1'] })
})

test('a suspected task starts on an idle worker rather than beside other work, and beside urgent work last', () => {
  const world = StepWorld.create(['w0', 'w1', 'w2', 'w3'].map((name) => worker(name)))
  world.submit('suspect', [step()])
  startAndCrash(world, 'suspect', 'w0')
  world.submit('urgent', [step({ accelerators: 6 })], 'urgent', 'one')
  world.submit('plain', [step()])
  world.start('urgent', 0, 0, ['w1@1'])
  world.start('plain', 0, 0, ['w2@1'])
  world.now += SETTLED
  expect(nextStarts(world).suspect).toEqual(['w3@1'])
  world.apply({ kind: StepTransactionKind.LeaveIncarnation, at: world.now, incarnation: 'w3@1' })
  expect(nextStarts(world).suspect).toEqual(['w2@1'])
})

test('evidence against a run that is not on the lost worker is ignored', () => {
  const world = StepWorld.create(fleet)
  world.submit('j', [step()])
  world.start('j', 0, 0, ['w0@1'])
  const suspects = [{ job: 'j', step: 0, gang: 0, attempt: 1, evidence: CrashEvidence.Alone }]
  const { state } = apply(world.state, { kind: StepTransactionKind.LoseIncarnation, at: world.now, incarnation: 'w1@1', checkpoints: [], cause: IncarnationLossCause.Replaced, aliveAt: world.now, suspects })
  expect(state.steps.jobs.get('j')?.gangs[0]?.[0]?.crashes ?? []).toEqual([])
})
