/** Which jobs are accepted: limits of waiting work, jobs that can never run, and when callers that were turned away may return. */
import fc from 'fast-check'
import { expect, test } from 'vitest'
import {
  AdmissionControl, AccountStarts, decodeState, defaultWaitingLimits, encodeState, RefusalCode, RunOutcome, runName, scheduleSteps, StepTransactionKind, StopReason, submittedSize, waitingKey, waitingLimitsFor,
  type RunKey, type Submission, type SubmissionRefusal, type WaitingLimits
} from '../src/core/index'
import { queueDocument, step, StepWorld, worker } from './steps-fixture'

const limitsOf = (jobs: number, tasks = 1_000, totalJobs = 1_000): WaitingLimits => ({ account: { jobs, tasks, bytes: 1e6 }, total: { jobs: totalJobs, tasks: 10_000, bytes: 1e7 } })

const submission = (identifier: string, fields: Partial<ReturnType<typeof step>> = {}, account = 'two'): Submission => (
  { identifier, account, queue: queueDocument.queues[1]!, specification: { payload: 'text', steps: [step(fields)] } })

/** Submits as a leader does: checked before the log, then applied with the leader's limits. */
function submit (world: StepWorld, control: AdmissionControl, submitted: Submission): SubmissionRefusal | undefined {
  const refused = control.refusalOf(world.state.steps, submitted, world.now)
  if (refused !== undefined) return refused
  const { identifier, account, queue, specification } = submitted
  const isNew = !world.state.steps.jobs.has(identifier)
  expect(world.apply({ kind: StepTransactionKind.SubmitSteps, at: world.now, identifier, account, queue: queue.name, specification, limits: control.limits })).toBe('')
  if (isNew) control.recordAcceptance(submitted)
  return undefined
}

function startedControl (world: StepWorld, limits: WaitingLimits): AdmissionControl {
  const control = AdmissionControl.create(limits)
  control.beginLeading(world.now)
  return control
}

test('an account may not have more waiting jobs, tasks or bytes in a queue than the limit; other accounts and queues are not affected', () => {
  const world = StepWorld.create([])
  const control = startedControl(world, limitsOf(3, 10))
  for (const number of [1, 2, 3]) expect(submit(world, control, submission(`job${number}`))).toBeUndefined()
  const refused = submit(world, control, submission('job4'))
  expect(refused).toMatchObject({ reason: 'account-jobs', refusal: { code: RefusalCode.QueueFull, verdict: 'not-run', retryCanHelp: true } })
  expect(submit(world, control, submission('other', {}, 'one'))).toBeUndefined()
  expect(submit(world, control, { ...submission('later'), queue: queueDocument.queues[2]! })).toBeUndefined()
  expect(submit(world, control, submission('many', { tasks: 30 }, 'one'))).toMatchObject({ reason: 'account-tasks' })
  const large = { ...submission('large', {}, 'one'), specification: { payload: 'x'.repeat(1_000_001), steps: [step()] } }
  expect(submit(world, control, large)).toMatchObject({ reason: 'account-bytes' })
})

test('the log refuses what exceeds the limits of its entry, and accepts entries of earlier versions, which have none', () => {
  const world = StepWorld.create([])
  const entry = (identifier: string): Parameters<StepWorld['apply']>[0] => ({ kind: StepTransactionKind.SubmitSteps, at: world.now, identifier, account: 'two', queue: 'normal', specification: { payload: '', steps: [step()] }, limits: limitsOf(1) })
  expect(world.apply(entry('first'))).toBe('')
  expect(world.apply(entry('second'))).toBe('the limit of 1 waiting jobs of an account in a queue is reached')
  expect(world.apply(entry('first'))).toBe('')
  expect(world.submit('earlier', [step()])).toBe('')
})

test('a job that was accepted is acknowledged however often it is sent, also when the limit is reached or it can no longer run', () => {
  const world = StepWorld.create([worker('a')])
  const control = startedControl(world, limitsOf(1))
  expect(submit(world, control, submission('job', { label: 'gone' }))).toBeUndefined()
  world.now += 120_000
  control.observe(world.state.steps, world.now)
  for (let resend = 0; resend < 3; resend++) expect(submit(world, control, submission('job', { label: 'gone' }))).toBeUndefined()
  expect(submit(world, control, submission('new', { label: 'gone' }))).toMatchObject({ reason: 'no-label' })
})

test('an account that has nothing waiting may submit a job of any size, and keeps its part of the total when others have used it up', () => {
  const world = StepWorld.create([])
  const control = startedControl(world, limitsOf(100, 5, 9))
  expect(submit(world, control, submission('huge', { tasks: 5_000 }, 'one'))).toBeUndefined()
  for (let number = 0; number < 8; number++) world.submit(`one${number}`, [step()], 'urgent', 'one')
  for (const name of ['two1', 'two2', 'two3']) expect(submit(world, control, submission(name))).toBeUndefined()
  expect(submit(world, control, submission('two4'))).toMatchObject({ reason: 'total-jobs' })
})

test('the default limits leave room for a burst of a few thousand jobs, and less memory gives lower limits', () => {
  const burst = submittedSize({ payload: 'x'.repeat(4_000), steps: [step()] })
  expect(3_000 * burst.bytes).toBeLessThan(defaultWaitingLimits.account.bytes)
  expect(waitingLimitsFor(100).account.jobs).toBe(defaultWaitingLimits.account.jobs / 2)
  expect(waitingLimitsFor(4_096)).toEqual(defaultWaitingLimits)
})

test('the index of waiting work is that of all jobs, whatever happened to them, and is the same after a restart from a snapshot', () => {
  const actions = fc.array(fc.record({ kind: fc.constantFrom('submit', 'start', 'end', 'fail', 'stop', 'cancel', 'lose'), pick: fc.nat(), tasks: fc.integer({ min: 1, max: 4 }), gang: fc.boolean(), account: fc.constantFrom('one', 'two'), queue: fc.constantFrom('urgent', 'normal') }), { maxLength: 50 })
  fc.assert(fc.property(actions, (list) => {
    const world = StepWorld.create([worker('a'), worker('b')])
    for (const [number, { kind, pick, tasks, gang, account, queue }] of list.entries()) {
      const runs = world.state.steps.incarnations.valueSeq().toArray().flatMap(({ incarnation, runs: onWorker }) => [...onWorker.values()].map((key): [string, RunKey] => [incarnation, key]))
      const [incarnation, key] = runs[pick % Math.max(1, runs.length)] ?? []
      const jobs = [...world.state.steps.jobs.keys()].sort()
      if (kind === 'submit') world.submit(`job${number}`, [step({ tasks, gang }), step({ tasks: 2, after: [0] })], queue, account)
      if (kind === 'start') world.applyAll(scheduleSteps(world.state.steps, { now: world.now, silent: new Set(), suspects: new Set(), progress: new Map(), complete: false }))
      if (kind === 'end' && key !== undefined) world.end(incarnation!, key, RunOutcome.Done)
      if (kind === 'fail' && key !== undefined) world.end(incarnation!, key, RunOutcome.Failed)
      if (kind === 'stop' && key !== undefined) world.apply({ kind: StepTransactionKind.StopGang, at: world.now, job: key.job, step: key.step, gang: 0, attempt: key.attempt, reason: StopReason.Preempted })
      if (kind === 'cancel' && jobs.length > 0) world.apply({ kind: StepTransactionKind.CancelSteps, at: world.now, identifier: jobs[pick % jobs.length]! })
      if (kind === 'lose') world.apply({ kind: StepTransactionKind.LoseIncarnation, at: world.now, incarnation: pick % 2 === 0 ? 'a@1' : 'b@1', checkpoints: [] })
      world.now += 10
    }
    const expected = new Map<string, { jobs: number, tasks: number }>()
    for (const { account, queue, gangs, endedAt } of world.state.steps.jobs.values()) {
      const tasks = gangs.flat().filter(({ done, run }) => endedAt === 0 && !done && run === undefined).reduce((sum, { size }) => sum + size, 0)
      const before = expected.get(waitingKey(account, queue.name)) ?? { jobs: 0, tasks: 0 }
      if (tasks > 0) expected.set(waitingKey(account, queue.name), { jobs: before.jobs + 1, tasks: before.tasks + tasks })
    }
    const counted = new Map([...world.state.steps.waitingWork].map(([key, { jobs, tasks }]) => [key, { jobs, tasks }]))
    expect(counted).toEqual(expected)
    expect(decodeState(encodeState(world.state)).steps.waitingWork.toJS()).toEqual(world.state.steps.waitingWork.toJS())
  }), { seed: 22, numRuns: 100 })
})

test('what no worker can ever run is refused with the reason, once the fleet is known and stable', () => {
  const world = StepWorld.create([worker('a'), worker('b', { labels: ['x', 'r1'] })])
  const control = startedControl(world, defaultWaitingLimits)
  const reasonOf = (fields: Partial<ReturnType<typeof step>>): string | undefined => {
    control.observe(world.state.steps, world.now)
    return control.refusalOf(world.state.steps, submission('job', fields), world.now)?.reason
  }
  world.now += 59_000
  expect(reasonOf({ label: 'none' })).toBeUndefined()
  world.now += 2_000
  expect(reasonOf({ label: 'none' })).toBe('no-label')
  expect(reasonOf({ accelerators: 9 })).toBe('task-too-large')
  expect(reasonOf({ accelerators: 8, tasks: 3, gang: true })).toBe('gang-too-large')
  expect(reasonOf({ accelerators: 8, tasks: 2, gang: true, label: 'x' })).toBe('gang-too-large')
  expect(reasonOf({ tasks: 3, gang: true, mostPerWorker: 1 })).toBe('gang-too-large')
  expect(reasonOf({ accelerators: 8, tasks: 3 })).toBeUndefined()
  expect(control.refusalOf(world.state.steps, submission('job', { label: 'none' }), world.now)?.refusal).toMatchObject({ code: RefusalCode.ImpossibleShape, retryAfter: 0, message: 'step 0 can never run here: no worker of the service has its label' })
  world.apply({ kind: StepTransactionKind.LeaveIncarnation, at: world.now, incarnation: 'b@1' })
  world.resize('a@1', { accelerators: 1 })
  expect(reasonOf({ accelerators: 8, tasks: 2, gang: true })).toBeUndefined()
  world.apply({ kind: StepTransactionKind.LoseIncarnation, at: world.now, incarnation: 'b@1', checkpoints: [] })
  expect(reasonOf({ label: 'x' })).toBeUndefined()
  world.now += 61_000
  expect(reasonOf({ label: 'x' })).toBe('no-label')
  control.beginLeading(world.now)
  expect(reasonOf({ label: 'x' })).toBeUndefined()
})

test('a caller is told to return when the work before it has drained, and callers that were turned away are spread', () => {
  const { world, control, drain } = drainingWorld()
  for (let second = 0; second < 10; second++) drain()
  fill(world, control)
  const times = Array.from({ length: 12 }, (_, number) => submit(world, control, submission(`late${number}`))!.refusal.retryAfter)
  expect(new Set(times).size).toBe(12)
  expect(Math.min(...times)).toBeGreaterThanOrEqual(1_000)
  expect(times[11]!).toBeGreaterThan(2_500)
  expect(times[11]!).toBeLessThan(10_000)
})

test('a caller that returns in its slot is admitted before those that came later', () => {
  const { world, control, drain } = drainingWorld()
  for (let second = 0; second < 10; second++) drain()
  fill(world, control)
  const dueAt = new Map(Array.from({ length: 10 }, (_, number) => [`early${number}`, world.now + submit(world, control, submission(`early${number}`))!.refusal.retryAfter]))
  for (let newcomers = 0; dueAt.size > 0; newcomers++) {
    drain()
    if (newcomers === 0) expect(submit(world, control, submission('newcomer'))).toBeDefined()
    for (const [name, at] of dueAt) {
      if (at > world.now) continue
      expect(submit(world, control, submission(name))).toBeUndefined()
      dueAt.delete(name)
    }
  }
})

test('a caller that returns before its slot is told the rest of its time, and a slot that is not used expires', () => {
  const { world, control, drain } = drainingWorld()
  for (let second = 0; second < 10; second++) drain()
  fill(world, control)
  const first = submit(world, control, submission('early'))!.refusal.retryAfter
  const second = submit(world, control, submission('early'))!.refusal.retryAfter
  expect(second).toBeLessThanOrEqual(first)
  for (let passed = 0; passed < 30; passed++) drain()
  expect(submit(world, control, submission('newcomer'))).toBeUndefined()
})

/** A world with a limit of 20 jobs, of which four start and end each second. */
function drainingWorld (): { world: StepWorld, control: AdmissionControl, drain: () => void } {
  const world = StepWorld.create([worker('a', { accelerators: 4 })])
  const control = startedControl(world, limitsOf(20))
  fill(world, control)
  const drain = (): void => {
    world.applyAll(scheduleSteps(world.state.steps, { now: world.now, silent: new Set(), suspects: new Set(), progress: new Map(), complete: false }))
    world.now += 1_000
    for (const key of world.state.steps.incarnations.get('a@1')!.runs.values()) world.end('a@1', key, RunOutcome.Done)
    control.observe(world.state.steps, world.now)
  }
  return { world, control, drain }
}

function fill (world: StepWorld, control: AdmissionControl): void {
  for (let number = 0; world.state.steps.waitingWork.get(waitingKey('two', 'normal'))?.jobs !== 20; number++) {
    expect(submit(world, control, submission(`fill${world.now}-${number}`))).toBeUndefined()
  }
}

/** Replays the load that shares and limits are meant for. */
test('while 3,000 jobs of one account wait for two workers, a short job of another account starts within a few seconds', () => {
  const world = StepWorld.create([worker('a'), worker('b')])
  const control = startedControl(world, defaultWaitingLimits)
  const accountStarts = AccountStarts.create()
  const whole = { accelerators: 8, estimateMilliseconds: 5_000 }
  for (let number = 0; number < 3_000; number++) expect(submit(world, control, submission(`flood${String(number).padStart(4, '0')}`, whole, 'one'))).toBeUndefined()
  const startedAt = new Map<string, number>()
  const endsAt = new Map<string, { incarnation: string, key: RunKey, at: number }>()
  const runUntil = (until: number): void => {
    for (let changed = true; world.now < until; world.now += 100) {
      for (const [name, { incarnation, key, at }] of [...endsAt]) if (at <= world.now) { world.end(incarnation, key, RunOutcome.Done); endsAt.delete(name); changed = true }
      if (!changed) continue
      changed = false
      const decisions = scheduleSteps(world.state.steps, { now: world.now, silent: new Set(), suspects: new Set(), progress: new Map(), complete: false, accountStarts })
      for (const decision of decisions) {
        expect(world.apply(decision)).toBe('')
        if (decision.kind !== StepTransactionKind.StartGang) continue
        accountStarts.record(world.state.steps, decision)
        startedAt.set(decision.job, world.now)
        const key = { job: decision.job, step: 0, task: 0, attempt: decision.attempt }
        endsAt.set(runName(key), { incarnation: decision.placements[0]!.incarnation, key, at: world.now + (decision.job.startsWith('flood') ? 5_000 : 500) })
      }
    }
  }
  runUntil(world.now + 12_000)
  for (const round of [1, 2, 3]) {
    const submittedAt = world.now
    expect(submit(world, control, submission(`short${round}`, { accelerators: 8, estimateMilliseconds: 500 }))).toBeUndefined()
    runUntil(world.now + 11_000)
    expect(startedAt.get(`short${round}`)! - submittedAt).toBeLessThanOrEqual(5_000)
  }
  expect([...startedAt.keys()].filter((name) => name.startsWith('flood')).length).toBeGreaterThan(10)
}, 60_000)
