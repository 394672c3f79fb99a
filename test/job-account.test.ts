/** Accounts of late jobs, from log lines as control and entry processes write them. */
import { expect, test } from 'vitest'
import { accountOf, JobResult, TimeCause } from '../measurements/job-account'
import { linesByJob, parseLog, type LogLine } from '../measurements/play-log'

const accepted = { priority: 0, slackFactor: 1.5, targetLatencyMilliseconds: 250 }

function lines (...events: Array<[at: number, event: string, fields?: object]>): LogLine[] {
  return events.map(([at, event, fields]) => ({ at, event, fields: { job: 'j', ...fields } }))
}

const start = { step: 0, gang: 0, attempt: 1, waitedMilliseconds: 0 }

test('a job that starts at once and runs once is in time', () => {
  const account = accountOf('j', lines([0, 'gang-started', start], [5, 'job-accepted', accepted], [3_000, 'runs-ended', { ...start, outcome: 'done' }], [3_000, 'job-ended', { state: 'completed' }]), 9_000)
  expect(account).toMatchObject({ result: JobResult.InTime, tookMilliseconds: 3_000, objectiveMilliseconds: 4_750, spent: [{ cause: TimeCause.Running, milliseconds: 3_000 }] })
})

test('the time of a late job is split into refusals, waiting, the stopped run, the wait after it, and the last run', () => {
  const account = accountOf('j', lines(
    [0, 'request-refused', { operation: 'submit', code: 'unavailable' }],
    [1_000, 'job-accepted', accepted],
    [1_500, 'gang-waits', { reason: 'guarantee-used-up' }],
    [2_000, 'gang-started', { ...start, waitedMilliseconds: 1_000 }],
    [2_800, 'gang-stopped', { ...start, reason: 'reclaimed' }],
    [3_000, 'runs-ended', { ...start, outcome: 'stopped' }],
    [3_400, 'gang-started', { ...start, attempt: 2, waitedMilliseconds: 2_400 }],
    [5_400, 'runs-ended', { ...start, attempt: 2, outcome: 'done' }],
    [5_400, 'job-ended', { state: 'completed' }]
  ), 9_000)
  expect(account?.result).toBe(JobResult.Late)
  expect(account?.spent).toEqual([
    { cause: TimeCause.NotAccepted, detail: 'unavailable', milliseconds: 1_000 },
    { cause: TimeCause.WaitingForCapacity, detail: 'guarantee-used-up', milliseconds: 1_000 },
    { cause: TimeCause.Stopped, detail: 'reclaimed', milliseconds: 1_000 },
    { cause: TimeCause.WaitingToRestart, detail: 'reclaimed', milliseconds: 400 },
    { cause: TimeCause.Running, detail: '', milliseconds: 2_000 }
  ])
})

test('a run that ended with its worker is named by that outcome, not by the stops that follow from it', () => {
  const account = accountOf('j', lines(
    [0, 'job-accepted', accepted], [0, 'gang-started', start],
    [900, 'runs-ended', { ...start, outcome: 'lost' }], [900, 'gang-stopped', { ...start, reason: 'member-ended' }], [1_200, 'runs-ended', { ...start, outcome: 'broken' }]
  ), 2_000)
  expect(account?.result).toBe(JobResult.NotCompleted)
  expect(account?.spent).toEqual([{ cause: TimeCause.RunLost, detail: 'lost', milliseconds: 1_200 }])
})

test('a job that no host accepted is listed with the code of its refusals; a job that was only looked up is not listed', () => {
  const refused = accountOf('j', lines([0, 'request-refused', { operation: 'submit', code: 'unavailable' }]), 4_000)
  expect(refused).toMatchObject({ result: JobResult.NotAccepted, spent: [{ detail: 'unavailable', milliseconds: 4_000 }] })
  expect(accountOf('j', lines([0, 'queue-refused', { operation: 'show', code: 'not-found' }]), 4_000)).toBeUndefined()
})

test('lines are read behind a prefix and in the order of their times; broken lines are counted', () => {
  const text = ['  1.2 host {"time":"2026-01-01T00:00:01.000Z","event":"job-ended","job":"j"}', 'built in 2 s', '{"time":"2026-01-01T00:00:00.000Z","event":"job-accepted","job":"j"}', '{"time":"2026-01'].join('\n')
  const { lines: read, unreadable } = parseLog(text)
  expect(unreadable).toBe(1)
  expect(linesByJob(read).get('j')?.map(({ event }) => event)).toEqual(['job-accepted', 'job-ended'])
})
