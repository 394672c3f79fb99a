/** Jobs that are cancelled before their submission arrives, in the replicated state. */
import { afterEach, beforeEach, expect, test } from 'vitest'
import { decodeState, earlyCancellationRefusal, encodeState, JobAccess, MAX_EARLY_CANCELLATIONS, RETENTION_MILLISECONDS, stateDigest, StepJobState, StepTransactionKind, TransactionKind, type QueueCaller } from '../src/core/index'
import { step, StepWorld } from './steps-fixture'

const own: QueueCaller = { queue: 'normal', account: 'two', access: JobAccess.Account }

let world: StepWorld
beforeEach(() => { world = StepWorld.create() })
afterEach(() => { expect(stateDigest(decodeState(encodeState(world.state)))).toBe(stateDigest(world.state)) })

function cancel (identifier: string, caller = own): string {
  return world.apply({ kind: StepTransactionKind.CancelSteps, at: world.now, identifier, caller })
}

/** Submits a job as the leader does. */
function submit (identifier: string, account = 'two', queue = 'normal'): string {
  return earlyCancellationRefusal(world.state.steps, { identifier, account, queue }, world.now)?.message ?? world.submit(identifier, [step()], queue, account)
}

const wasCancelled = 'job j was cancelled before it was submitted'

// Guards against a job that runs although its caller's cancelling was acknowledged before its submission arrived.
test('a job that was cancelled before it was submitted is refused, also after a restart from a snapshot', () => {
  expect(cancel('j')).toBe('')
  expect(submit('j')).toBe(wasCancelled)
  world = StepWorld.from(decodeState(encodeState(world.state)))
  expect(submit('j')).toBe(wasCancelled)
  expect(world.state.steps.jobs.size).toBe(0)
})

test('the order of submission and cancelling makes no difference to what runs', () => {
  expect([submit('first'), cancel('first')]).toEqual(['', ''])
  expect(world.job('first').state).toBe(StepJobState.Cancelled)
  expect(submit('first')).toBe('')
  expect(world.job('first').state).toBe(StepJobState.Cancelled)
  expect(world.state.steps.earlyCancellations).toBeUndefined()
})

test('a cancelling concerns the submissions of its account and queue, or of all accounts where the caller has access to them', () => {
  const scopes: Array<[string, QueueCaller]> = [
    ['account', own],
    ['public', { queue: 'normal', account: '', access: JobAccess.Queue }],
    ['operator', { queue: 'normal', account: '', access: JobAccess.All }]
  ]
  const submissions: Array<[string, string]> = [['two', 'normal'], ['one', 'normal'], ['two', 'later']]
  const refused = scopes.map(([name, caller]) => {
    const isRefused = (submission: [string, string]): boolean => {
      world = StepWorld.create()
      cancel('j', caller)
      return submit('j', ...submission) !== ''
    }
    return [name, submissions.filter(isRefused).map((submission) => submission.join(' '))]
  })
  expect(Object.fromEntries(refused)).toMatchInlineSnapshot(`
    {
      "account": [
        "two normal",
      ],
      "operator": [
        "two normal",
        "one normal",
      ],
      "public": [
        "two normal",
        "one normal",
      ],
    }
  `)
})

test('a cancelling does not concern a job of another account that has the identifier, and is not recorded', () => {
  submit('j', 'one')
  expect(cancel('j')).toBe('no job j')
  expect(cancel('j', { queue: 'urgent', account: '', access: JobAccess.Queue })).toBe('no job j')
  expect(world.job('j').state).toBe(StepJobState.Queued)
  expect(world.state.steps.earlyCancellations).toBeUndefined()
  expect(cancel('j', { queue: 'urgent', account: '', access: JobAccess.All })).toBe('')
  expect(world.job('j').state).toBe(StepJobState.Cancelled)
})

test('a job that a leader without the cancellations has accepted, as one of an earlier version, is accepted by every host', () => {
  expect(world.apply({ kind: StepTransactionKind.CancelSteps, at: world.now, identifier: 'j' })).toBe('no job j')
  cancel('j')
  expect(world.submit('j', [step()])).toBe('')
  expect(world.job('j').state).toBe(StepJobState.Queued)
})

test('the identifier can be used again after the retention time, for which a repeated cancelling counts anew', () => {
  const expire = (): string => world.apply({ kind: TransactionKind.Expire, at: world.now })
  cancel('j')
  world.now += RETENTION_MILLISECONDS - 1
  expire()
  expect(submit('j')).toBe(wasCancelled)
  cancel('j')
  world.now += RETENTION_MILLISECONDS - 1
  expire()
  expect(submit('j')).toBe(wasCancelled)
  world.now += 1
  expect(submit('j')).toBe('')
  expire()
  expect(world.state.steps.earlyCancellations).toBeUndefined()
})

test('an account has room for a limited number, of which none is dropped early; others have their own', () => {
  for (let number = 0; number < MAX_EARLY_CANCELLATIONS; number++) {
    world.now += 1
    cancel(`j${number}`)
  }
  expect(cancel('more')).toBe('1000 jobs that were never submitted are cancelled already')
  expect(cancel('j0')).toBe('')
  expect(submit('j0')).not.toBe('')
  expect(cancel('more', { ...own, account: 'one' })).toBe('')
  world.now += RETENTION_MILLISECONDS - 1
  expect(cancel('more')).toBe('')
  expect(submit('more')).not.toBe('')
})
