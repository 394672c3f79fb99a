/** The order of waiting gangs between accounts: who goes first where capacity is scarce, and for how long work can be passed over. */
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { AccountStarts, Mechanism, overdueAt, policyWithout, RunOutcome, scheduleSteps, StepTransactionKind, type QueueDocument, type StartGang } from '../src/core/index'
import { queueDocument, step, StepWorld, worker } from './steps-fixture'

const names = ['one', 'two', 'three', 'four']

function documentWith (weights: Readonly<Record<string, number>> = {}): QueueDocument {
  return { ...queueDocument, accounts: names.map((name) => ({ name, keys: [], guaranteedAccelerators: 0, ...weights[name] !== undefined && { weight: weights[name] } })) }
}

/** Runs one round, applies its decisions and returns the jobs that start. */
function starts (world: StepWorld, policy = policyWithout([]), accountStarts = AccountStarts.create()): StartGang[] {
  const view = { now: world.now, silent: new Set<string>(), suspects: new Set<string>(), progress: new Map(), complete: false, accountStarts }
  const decisions = scheduleSteps(world.state.steps, view, policy).filter((decision): decision is StartGang => decision.kind === StepTransactionKind.StartGang)
  for (const decision of decisions) accountStarts.record(world.state.steps, decision)
  expect(world.applyAll(decisions).filter((refusal) => refusal !== '')).toEqual([])
  return decisions
}

function startedJobs (world: StepWorld, policy = policyWithout([]), accountStarts = AccountStarts.create()): string[] {
  return starts(world, policy, accountStarts).map(({ job }) => job)
}

function endAll (world: StepWorld): void {
  for (const { incarnation, runs } of world.state.steps.incarnations.values()) for (const key of runs.values()) world.end(incarnation, key, RunOutcome.Done)
}

const whole = step({ accelerators: 8, estimateMilliseconds: 5_000 })

test('the accounts of one priority take turns by dominant share, and what a round starts counts at once', () => {
  const world = StepWorld.create(['a', 'b', 'c', 'd'].map((name) => worker(name)), documentWith())
  for (const number of [1, 2, 3, 4]) world.submit(`one${number}`, [whole], 'normal', 'one')
  world.submit('two1', [whole], 'normal', 'two')
  world.submit('two2', [whole], 'normal', 'two')
  expect(startedJobs(world)).toEqual(['one1', 'two1', 'one2', 'two2'])
})

test('the dominant share is that of the resource of which an account uses the largest share of the fleet', () => {
  const world = StepWorld.create([worker('a'), worker('b')], documentWith())
  world.submit('processors', [step({ processors: 96_000 / 2, tasks: 2, accelerators: 1 })], 'normal', 'one')
  world.submit('accelerators', [step({ accelerators: 4, tasks: 2 })], 'normal', 'two')
  expect(startedJobs(world)).toHaveLength(4)
  world.submit('oneMore', [step()], 'normal', 'one')
  world.submit('twoMore', [step()], 'normal', 'two')
  expect(startedJobs(world)).toEqual(['twoMore', 'oneMore'])
})

test('an account with a weight gets as many times the share, and unused share is lent', () => {
  const world = StepWorld.create(['a', 'b', 'c', 'd'].map((name) => worker(name)), documentWith({ one: 3 }))
  for (const number of [1, 2, 3, 4]) {
    world.submit(`one${number}`, [whole], 'normal', 'one')
    world.submit(`two${number}`, [whole], 'normal', 'two')
  }
  expect(startedJobs(world).sort()).toEqual(['one1', 'one2', 'one3', 'two1'])
  const alone = StepWorld.create(['a', 'b'].map((name) => worker(name)), documentWith({ one: 3 }))
  for (const number of [1, 2]) alone.submit(`two${number}`, [whole], 'normal', 'two')
  expect(startedJobs(alone)).toEqual(['two1', 'two2'])
})

test('priority, guarantee and forecast come before the share', () => {
  const document = { ...documentWith(), accounts: documentWith().accounts.map((account) => ({ ...account, guaranteedAccelerators: account.name === 'one' ? 16 : 0 })) }
  const world = StepWorld.create([worker('a'), worker('b')], document)
  world.submit('held', [whole], 'urgent', 'one')
  expect(startedJobs(world)).toEqual(['held'])
  world.submit('urgentTwo', [whole], 'urgent', 'two')
  world.submit('normalTwo', [whole], 'normal', 'two')
  world.submit('guaranteed', [whole], 'urgent', 'one')
  expect(startedJobs(world)).toEqual(['guaranteed'])
})

test('work of an account that has nothing starts however late it is, so that a burst of another account cannot starve it', () => {
  const world = StepWorld.create([worker('a')], documentWith())
  for (let number = 0; number < 20; number++) world.submit(`burst${String(number).padStart(2, '0')}`, [whole], 'normal', 'one')
  const accountStarts = AccountStarts.create()
  expect(startedJobs(world, policyWithout([]), accountStarts)).toEqual(['burst00'])
  world.submit('short', [step({ estimateMilliseconds: 500, accelerators: 8 })], 'normal', 'two')
  world.now += 5_000
  endAll(world)
  expect(startedJobs(world, policyWithout([]), accountStarts)).toEqual(['short'])
})

test('without competition the order is the same as without shares', () => {
  const submissions = fc.array(fc.record({ queue: fc.constantFrom('urgent', 'normal', 'later'), accelerators: fc.integer({ min: 1, max: 8 }), tasks: fc.integer({ min: 1, max: 3 }), gang: fc.boolean(), estimate: fc.integer({ min: 100, max: 20_000 }), pause: fc.integer({ min: 0, max: 9_000 }) }), { maxLength: 25 })
  fc.assert(fc.property(submissions, (jobs) => {
    const world = StepWorld.create([worker('a'), worker('b')], documentWith())
    for (const [number, { queue, accelerators, tasks, gang, estimate, pause }] of jobs.entries()) {
      world.submit(`job${String(number).padStart(2, '0')}`, [step({ accelerators, tasks, gang, estimateMilliseconds: estimate })], queue, 'two')
      world.now += pause
    }
    const view = { now: world.now, silent: new Set<string>(), suspects: new Set<string>(), progress: new Map(), complete: false }
    expect(scheduleSteps(world.state.steps, view)).toEqual(scheduleSteps(world.state.steps, view, policyWithout([Mechanism.FairOrder])))
  }), { seed: 20, numRuns: 150 })
})

interface Oldest {
  readonly job: string
  /** When it became the oldest waiting job of its account. */
  readonly since: number
}

/**
 * Simulates a worker that runs one gang at a time, under a load that exceeds it. Returns for how long a job waited at most
 * while it was both overdue and the oldest waiting job of its account.
 */
function longestWaitOfOldest ({ run, jobs }: Load, policy = policyWithout([])): number {
  const world = StepWorld.create([worker('a')], documentWith())
  const accountStarts = AccountStarts.create()
  const start = world.now
  const pending = [...jobs].sort((one, other) => one.at - other.at)
  /** Names of the waiting jobs by account, oldest first. */
  const waiting = new Map<string, string[]>(names.map((name) => [name, []]))
  const oldest = new Map<string, Oldest>()
  let [longest, submitted, runningUntil] = [0, 0, 0]
  const updateOldest = (account: string): void => {
    const [first] = waiting.get(account)!
    if (first === undefined) oldest.delete(account)
    else if (oldest.get(account)?.job !== first) oldest.set(account, { job: first, since: world.now })
  }
  const overrun = ({ job, since }: Oldest): number => world.now - Math.max(since, overdueAt(world.job(job)))
  while (submitted < pending.length || oldest.size > 0) {
    for (let next = pending[submitted]; next !== undefined && start + next.at <= world.now; next = pending[submitted]) {
      submitted += 1
      const name = `job${String(submitted).padStart(4, '0')}`
      world.submit(name, [step({ accelerators: 8, estimateMilliseconds: next.estimate })], 'normal', next.account)
      waiting.get(next.account)!.push(name)
      updateOldest(next.account)
    }
    if (world.now >= runningUntil) {
      endAll(world)
      for (const decision of starts(world, policy, accountStarts)) {
        const { account } = world.job(decision.job)
        longest = Math.max(longest, ...[...oldest.values()].map(overrun))
        waiting.set(account, waiting.get(account)!.filter((name) => name !== decision.job))
        updateOldest(account)
        runningUntil = world.now + run
      }
    }
    const nextArrival = submitted < pending.length ? start + pending[submitted]!.at : Infinity
    world.now = Math.max(world.now + 1, Math.min(nextArrival, runningUntil > world.now ? runningUntil : Infinity))
  }
  return longest
}

interface Load {
  readonly run: number
  readonly jobs: ReadonlyArray<{ readonly account: string, readonly at: number, readonly estimate: number }>
}

/** Two accounts send so much work that is never late that a third one's work would wait until they stop. */
const starvingLoad: Load = {
  run: 2_000,
  jobs: [
    ...Array.from({ length: 120 }, (_, number) => ({ account: number % 2 === 0 ? 'one' : 'two', at: number * 1_000, estimate: 100_000 })),
    ...Array.from({ length: 6 }, (_, number) => ({ account: 'three', at: 100 + number, estimate: 100 }))
  ]
}

const boundOf = ({ run }: Load): number => (names.length + 1) * run

test('the oldest work of each account starts within a bound after it is overdue, however much younger work comes', () => {
  const account = fc.constantFrom(...names)
  const jobs = fc.array(fc.record({ account, at: fc.integer({ min: 0, max: 60_000 }), estimate: fc.constantFrom(100, 1_000, 100_000) }), { minLength: 40, maxLength: 80 })
  const loads = fc.record({ run: fc.integer({ min: 1_000, max: 3_000 }), jobs })
  fc.assert(fc.property(loads, (load) => {
    expect(longestWaitOfOldest(load)).toBeLessThanOrEqual(boundOf(load))
  }), { seed: 21, numRuns: 40, examples: [[starvingLoad]] })
  expect(longestWaitOfOldest(starvingLoad, policyWithout([Mechanism.FairOrder]))).toBeGreaterThan(boundOf(starvingLoad))
})
