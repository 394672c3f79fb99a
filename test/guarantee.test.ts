import { expect, test } from 'vitest'
import { decide, guaranteeStatus, packAllHomes, JobState, Level, Reason, Urgency, WorkerHealth, type JobSpecification, type Shape, type Transaction, type Worker } from '../src/core/index'
import { Replay, DEFAULT_TIMES } from '../measurements/replay'

function shape (workers: number, accelerators: number): Shape {
  return { workers, accelerators, slots: 1, processors: 1, memoryMegabytes: 256, within: Level.Rack }
}

function job (account: string, wanted: Shape, idempotent: boolean, urgency = Urgency.Normal): JobSpecification {
  return { account, kind: 'proof', shape: wanted, idempotent, checkpointable: idempotent, urgency, deadline: 0, declaredSeconds: 60, payload: { contentType: 'text/plain', base64: '' } }
}

function describeWorker (name: string, rack = 'a'): Parameters<Replay['addWorker']>[0] {
  return { name, region: 'hue', dataCentre: 'one', rack, accelerators: 8, slots: 8, processors: 64, memoryMegabytes: 131_072 }
}

function account (name: string): object {
  return { name, share: 1, queuedJobs: 100, runningAccelerators: 1_000, tokens: [], whenRemoved: 'finish' }
}

const long = { seconds: 3_600, memoryMegabytes: 1, failsAlways: false }

/** Starts two workers; account nackros is guaranteed a gang of half of each. */
function startReplay (log: string[] = []): Replay {
  const replay = Replay.create(decide, DEFAULT_TIMES, (transaction) => { log.push(formatTransaction(replay, transaction)) })
  for (const name of ['w1', 'w2']) replay.addWorker(describeWorker(name))
  replay.configure({ clientAccounts: [account('song-huong'), account('nackros')], guarantees: [{ account: 'nackros', shape: shape(2, 4), count: 1, graceSeconds: 3 }] })
  replay.runUntil(replay.now + 100)
  return replay
}

function formatTransaction (replay: Replay, transaction: Transaction): string {
  const place = 'members' in transaction ? transaction.members.map(({ worker, mask }) => `${worker}:${mask.toString(2).padStart(8, '0')}`).join(' ') : ''
  const homes = 'homes' in transaction ? transaction.homes.map((home) => `${home.identifier} ${home.members.map(({ worker, mask }) => `${worker}:${mask.toString(2).padStart(8, '0')}`).join(' ')}`).join('; ') : ''
  return `${replay.now - 1_000_000} ${transaction.kind} ${'job' in transaction ? transaction.job : ''} ${'reason' in transaction ? transaction.reason : ''} ${place}${homes}`.trimEnd()
}

test('preemptible work borrows a home and gives it back within the grace', () => {
  const log: string[] = []
  const replay = startReplay(log)
  for (const name of ['a', 'b']) replay.submit(name, job('song-huong', shape(1, 8), true), long)
  replay.runUntil(replay.now + 1_000)
  expect(replay.state.jobs.get('b')?.attempt?.borrowing).toBe(true)
  replay.submit('own', job('nackros', shape(2, 4), false), long)
  replay.runUntil(replay.now + 3_000)
  expect(replay.state.jobs.get('own')).toMatchObject({ state: JobState.Running, attempt: { reason: Reason.OwnGuarantee } })
  expect(log).toMatchSnapshot()
})

test('non-preemptible work is not placed on homes of other accounts, and waits', () => {
  const replay = startReplay()
  replay.submit('non-preemptible', job('song-huong', shape(1, 8), false), long)
  replay.submit('small', job('song-huong', shape(1, 4), false), long)
  replay.runUntil(replay.now + 2_000)
  expect(replay.state.jobs.get('non-preemptible')?.state).toBe(JobState.Queued)
  expect(replay.state.jobs.get('small')?.state).toBe(JobState.Running)
  expect(guaranteeStatus(replay.state)).toMatchObject([{ homed: 1, blocked: 0, missing: 0 }])
})

test('urgent work starts within 3.8 seconds by preemption, but not of work in its own home', () => {
  const replay = startReplay()
  replay.submit('own', job('nackros', shape(2, 4), true), long)
  replay.submit('other', job('song-huong', shape(2, 4), true), long)
  replay.runUntil(replay.now + 1_000)
  const asked = replay.now
  replay.submit('urgent', job('song-huong', shape(1, 2), false, Urgency.Urgent), long)
  replay.runUntil(replay.now + 4_000)
  expect(replay.state.jobs.get('own')?.state).toBe(JobState.Running)
  expect(replay.state.jobs.get('other')?.state).toBe(JobState.Queued)
  expect(replay.state.jobs.get('urgent')!.attempt!.startedAt - asked).toBeLessThan(3_800)
})

test('a home moves when its worker is lost; it is reported as missing while no place is left, and placed again when a worker returns', () => {
  const replay = startReplay()
  replay.addWorker(describeWorker('w3'))
  replay.failHost('w1', 60_000)
  replay.runUntil(replay.now + DEFAULT_TIMES.leaseMilliseconds + 100)
  expect(guaranteeStatus(replay.state)).toMatchObject([{ homed: 1, missing: 0 }])
  replay.failHost('w2', 60_000)
  replay.runUntil(replay.now + DEFAULT_TIMES.leaseMilliseconds + 100)
  expect(guaranteeStatus(replay.state)).toMatchObject([{ homed: 0, missing: 1 }])
  replay.runUntil(replay.now + 60_000)
  expect(guaranteeStatus(replay.state)).toMatchObject([{ homed: 1, missing: 0 }])
})

test('guarantees that do not all fit are reported with the number that would', () => {
  const workers: Worker[] = ['w1', 'w2', 'w3'].map((name) => ({
    ...describeWorker(name), incarnation: name, present: true, leaving: false, health: WorkerHealth.Healthy, recentFailures: [], probeAt: 0
  }))
  const guarantees = [
    { account: 'nackros', shape: shape(2, 8), count: 2, graceSeconds: 3 },
    { account: 'song-huong', shape: shape(1, 5), count: 1, graceSeconds: 3 }
  ]
  expect(packAllHomes(guarantees, workers)._unsafeUnwrapErr()).toMatchSnapshot()
  expect(packAllHomes(guarantees.slice(1), workers).isOk()).toBe(true)
})

test('a worker on which every job fails is quarantined, and a job that fails on every worker ends', () => {
  const replay = Replay.create(decide)
  for (const name of ['w1', 'w2', 'w3', 'w4']) replay.addWorker(describeWorker(name))
  replay.configure({ clientAccounts: [account('song-huong'), account('nackros')] })
  replay.setFailing('w1', true)
  for (let number = 0; number < 12; number++) {
    replay.schedule(number * 500, () => replay.submit(`j${number}`, job(number % 2 === 0 ? 'nackros' : 'song-huong', shape(1, 2), true), { ...long, seconds: 5 }))
  }
  replay.submit('poison', job('nackros', shape(1, 1), true), { ...long, failsAlways: true })
  replay.runUntil(replay.now + 25_000)
  expect(replay.state.workers.get('w1')?.health).toBe(WorkerHealth.Quarantined)
  expect(['w2', 'w3', 'w4'].map((name) => replay.state.workers.get(name)?.health)).toEqual(Array(3).fill(WorkerHealth.Healthy))
  expect(replay.state.jobs.get('poison')?.end?.reason).toBe(Reason.FailedOnDistinctWorkers)
  replay.setFailing('w1', false)
  replay.schedule(40_000, () => replay.submit('probe', job('nackros', shape(1, 1), true), { ...long, seconds: 1 }))
  replay.runUntil(replay.now + 90_000)
  expect(replay.state.workers.get('w1')?.health).toBe(WorkerHealth.Healthy)
  expect([...replay.state.jobs.values()].filter(({ end }) => end?.reason === Reason.AnswerStored)).toHaveLength(13)
})

test('work on a leaving target is moved, and the target gets no new work', () => {
  const replay = startReplay()
  replay.submit('moves', job('song-huong', shape(1, 8), true), long)
  replay.runUntil(replay.now + 1_000)
  const left = replay.state.jobs.get('moves')!.attempt!.members[0]!.worker
  replay.announceLeaving(left, 60_000, 1_000)
  replay.runUntil(replay.now + 5_000)
  expect(replay.state.jobs.get('moves')).toMatchObject({ state: JobState.Running, attempts: 2 })
  expect(replay.state.jobs.get('moves')!.attempt!.members[0]!.worker).not.toBe(left)
})
