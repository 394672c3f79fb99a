import { expect, test } from 'vitest'
import { apply, decide, decodeState, encodeState, initialState, JobState, Level, TransactionKind, Urgency, Verdict, type State, type Transaction } from '../src/core/index'

const specification = {
  account: 'song-huong',
  kind: 'proof',
  shape: { workers: 2, accelerators: 4, slots: 1, processors: 1, memoryMegabytes: 256, within: Level.DataCentre },
  idempotent: false,
  checkpointable: false,
  urgency: Urgency.Normal,
  deadline: 0,
  declaredSeconds: 1,
  payload: { contentType: 'text/plain', base64: '' }
}

function worker (name: string): Transaction {
  const description = { name, region: 'hue', dataCentre: 'one', rack: 'a', accelerators: 8, slots: 8, processors: 64, memoryMegabytes: 131_072 }
  return { kind: TransactionKind.AnnounceWorker, at: 1, worker: description, incarnation: `${name}-1`, leaving: false, running: [] }
}

function run (state: State, ...transactions: Transaction[]): State {
  return transactions.reduce((current, transaction) => {
    const applied = apply(current, transaction)
    expect(applied.outcome.isOk()).toBe(true)
    return applied.state
  }, state)
}

test('a gang runs from acceptance to its answer and releases all its resources', () => {
  const clientAccounts = [{ name: 'song-huong', share: 1, queuedJobs: 10, runningAccelerators: 100, tokens: [], whenRemoved: 'finish' }]
  let state = run(initialState,
    { kind: TransactionKind.PutConfiguration, at: 1, team: 'all', requestIdentifier: 'one', read: [{ section: 'clientAccounts', number: 0 }], sectionsJson: JSON.stringify({ clientAccounts }) },
    worker('w1'), worker('w2'), worker('w3'),
    { kind: TransactionKind.AcceptJob, at: 2, identifier: 'job', specification })
  const decisions = decide(state, { now: 3 })
  expect(decisions).toMatchSnapshot()
  state = run(state, ...decisions, { kind: TransactionKind.StartJob, at: 4, job: 'job', attempt: 1 })
  expect(state.jobs.get('job')?.state).toBe(JobState.Running)
  const answer = { contentType: 'text/plain', base64: 'b2s=', digest: 'x' }
  state = run(state,
    { kind: TransactionKind.FinishJob, at: 5, job: 'job', attempt: 1, worker: 'w1', answer },
    { kind: TransactionKind.EndAttempt, at: 6, job: 'job', attempt: 1, worker: 'w2', outcome: 'stopped' as never, verdict: Verdict.Ran, reason: 'stopped' as never, usedMemory: 0 })
  expect(state.jobs.get('job')?.end?.verdict).toBe(Verdict.Ran)
  expect(state.open.size).toBe(0)
  expect(state.usage.toJSON()).toMatchSnapshot()
  expect(encodeState(decodeState(encodeState(state)))).toEqual(encodeState(state))
})
