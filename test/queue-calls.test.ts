/** The leader's answers to submissions: a refusal that says "not run" must be true, and an accepted job must be acknowledged. */
import { err, type Result } from 'neverthrow'
import { expect, test } from 'vitest'
import type { Precondition } from '../src/control/machine'
import { handleQueueRequest, type QueueContext } from '../src/control/queue-calls'
import { AdmissionControl, defaultWaitingLimits, JobAccess, MAX_EARLY_CANCELLATIONS, RefusalCode, RETENTION_MILLISECONDS, StepJobState, StepTransactionKind, type Refusal, type Transaction, type WaitingLimits } from '../src/core/index'
import { QueueOperation, QueueReply, QueueRequest } from '../src/wire'
import { queueDocument, step, StepWorld } from './steps-fixture'

interface Leader {
  readonly call: (operation: QueueOperation, fields: Partial<QueueRequest>) => Promise<QueueReply>
  readonly world: StepWorld
  /** Everything that was proposed, refused or not. */
  readonly proposed: readonly Transaction[]
  readonly lines: Array<{ readonly event: string, readonly reason?: string }>
  readonly counted: string[]
  readonly submit: (identifier: string) => Promise<QueueReply>
}

/** Proposes a transaction as the state machine of a leader does. */
function proposeIf (world: StepWorld, transaction: Transaction, precondition?: Precondition): Result<void, Refusal> {
  const refusal = precondition?.(world.state)
  return refusal === undefined ? world.propose(transaction) : err(refusal)
}

/** A leader whose log commits at once; `fields` replace parts of it. */
function leaderWith (limits: WaitingLimits, fields: (world: StepWorld) => Partial<QueueContext> = () => ({}), document = queueDocument): Leader {
  const world = StepWorld.create([], document)
  const [lines, counted]: [Array<{ event: string }>, string[]] = [[], []]
  const proposed: Transaction[] = []
  const context: QueueContext = {
    now: () => world.now,
    leads: () => true,
    leader: () => 'other:1',
    committed: () => world.state,
    head: () => world.state,
    admission: AdmissionControl.create(limits),
    countSubmissionRefusal: (reason) => { counted.push(reason) },
    submit: async (transaction, precondition) => {
      proposed.push(transaction)
      return await Promise.resolve(proposeIf(world, transaction, precondition))
    },
    confirm: async () => await Promise.resolve(true),
    log: (event, line) => { lines.push({ event, ...line }) },
    ...fields(world)
  }
  const call = async (operation: QueueOperation, request: Partial<QueueRequest>): Promise<QueueReply> => await handleQueueRequest(context, QueueRequest.fromPartial({
    operation, queue: 'normal', account: 'two', ...operation === QueueOperation.SUBMIT && { jobJson: JSON.stringify({ payload: '', steps: [step()] }) }, ...request
  }))
  const submit = async (identifier: string): Promise<QueueReply> => await call(QueueOperation.SUBMIT, { path: identifier })
  return { call, world, proposed, lines, counted, submit }
}

const oneJob: WaitingLimits = { ...defaultWaitingLimits, account: { jobs: 1, tasks: 10, bytes: 10_000 } }

test('a job over the limit is refused with a time to return, a log line and a count', async () => {
  const { lines, counted, submit } = leaderWith(oneJob)
  expect((await submit('first')).state).toBe('queued')
  expect((await submit('second')).refusal).toMatchObject({ code: RefusalCode.QueueFull, retryCanHelp: true })
  expect(lines).toContainEqual(expect.objectContaining({ event: 'submission-refused', job: 'second', account: 'two', queue: 'normal', reason: 'account-jobs' }))
  expect(counted).toEqual(['account-jobs'])
  expect((await submit('first')).state).toBe('queued')
})

test('a leader that no quorum confirms does not refuse a job for a limit, because another leader may have accepted it', async () => {
  const { counted, submit } = leaderWith(oneJob, () => ({ confirm: async () => await Promise.resolve(false) }))
  await submit('first')
  expect((await submit('second')).refusal).toMatchObject({ code: RefusalCode.NotLeader })
  expect(counted).toEqual([])
})

test('a job that was accepted on another way while its refusal was confirmed is acknowledged', async () => {
  const { submit } = leaderWith(oneJob, (world) => ({
    confirm: async () => {
      world.submit('second', [step()])
      return await Promise.resolve(true)
    }
  }))
  await submit('first')
  expect((await submit('second')).state).toBe('queued')
})

test('a job for which others took the room between the check and the log is refused', async () => {
  let takesRoom = true
  const { world, submit } = leaderWith(oneJob, (shared) => ({
    submit: async (transaction) => {
      if (takesRoom) shared.submit('other', [step()])
      takesRoom = false
      return await Promise.resolve(shared.propose(transaction))
    }
  }))
  expect((await submit('first')).refusal).toMatchObject({ code: RefusalCode.QueueFull })
  expect(world.state.steps.jobs.has('first')).toBe(false)
})

// Guards against a caller without a key that cancels or reads the job of an account by the address of a public queue.
test('jobs of accounts are not visible by the address of a public queue that they are not in', async () => {
  const [first, ...others] = queueDocument.queues
  const { call, submit } = leaderWith(defaultWaitingLimits, () => ({}), { ...queueDocument, queues: [{ ...first!, public: true }, ...others] })
  await submit('private')
  const publicAddress = { queue: '', account: '', host: 'h', path: '/urgent/private', keyDigest: '' }
  expect((await call(QueueOperation.CANCEL, publicAddress)).refusal).toMatchObject({ code: RefusalCode.NotFound })
  expect((await call(QueueOperation.SHOW, publicAddress)).refusal).toMatchObject({ code: RefusalCode.NotFound })
  expect((await call(QueueOperation.SHOW, { path: 'private' })).state).toBe('queued')
  await call(QueueOperation.SUBMIT, { ...publicAddress, path: '/urgent/open' })
  expect((await call(QueueOperation.CANCEL, { ...publicAddress, path: '/urgent/open' })).state).toBe('cancelled')
  expect((await call(QueueOperation.CANCEL, { queue: 'later', account: '', path: 'private' })).state).toBe('cancelled')
})

// Guards against a job that runs although DELETE was answered with 410 while its submission was held up.
test('a submission that arrives after its cancelling was acknowledged is refused, with the time until the identifier can be used', async () => {
  const { call, counted, lines, submit, world } = leaderWith(defaultWaitingLimits)
  expect((await call(QueueOperation.CANCEL, { path: 'held-up' })).refusal).toMatchObject({ code: RefusalCode.NotFound })
  expect(lines).toContainEqual(expect.objectContaining({ event: 'early-cancellation', job: 'held-up', account: 'two', queue: 'normal' }))
  world.now += 4_000
  expect((await submit('held-up')).refusal).toMatchObject({ code: RefusalCode.Cancelled, retryCanHelp: true, retryAfterMilliseconds: RETENTION_MILLISECONDS - 4_000 })
  expect(lines).toContainEqual(expect.objectContaining({ event: 'submission-refused', job: 'held-up', reason: 'cancelled-before' }))
  expect(counted).toEqual(['cancelled-before'])
  expect((await call(QueueOperation.SHOW, { path: 'held-up' })).refusal).toMatchObject({ code: RefusalCode.NotFound })
})

test('a job is cancelled whose submission is in the log but not committed yet when the cancelling arrives', async () => {
  const { call, submit, world } = leaderWith(defaultWaitingLimits, (shared) => {
    const committed = shared.state
    let showsHead = false
    return {
      committed: () => showsHead ? shared.state : committed,
      submit: async (transaction) => {
        showsHead = transaction.kind === StepTransactionKind.CancelSteps
        return await Promise.resolve(shared.propose(transaction))
      }
    }
  })
  await submit('in-flight')
  expect((await call(QueueOperation.CANCEL, { path: 'in-flight' })).state).toBe(StepJobState.Cancelled)
  expect(world.job('in-flight').state).toBe(StepJobState.Cancelled)
})

test('a submission that passes the first check before the cancelling is applied is not proposed', async () => {
  const { submit, world } = leaderWith(defaultWaitingLimits, (shared) => ({
    submit: async (transaction, precondition) => {
      shared.apply({ kind: StepTransactionKind.CancelSteps, at: shared.now, identifier: 'raced', caller: { queue: 'normal', account: 'two', access: JobAccess.Account } })
      return await Promise.resolve(proposeIf(shared, transaction, precondition))
    }
  }))
  expect((await submit('raced')).refusal).toMatchObject({ code: RefusalCode.Cancelled })
  expect(world.state.steps.jobs.size).toBe(0)
})

test('a leader that no quorum confirms neither acknowledges the cancelling of an unknown job nor refuses a cancelled one', async () => {
  let leads = true
  const { call, submit } = leaderWith(defaultWaitingLimits, () => ({ confirm: async () => await Promise.resolve(leads) }))
  await call(QueueOperation.CANCEL, { path: 'j' })
  leads = false
  expect((await call(QueueOperation.CANCEL, { path: 'j' })).refusal).toMatchObject({ code: RefusalCode.NotLeader })
  expect((await submit('j')).refusal).toMatchObject({ code: RefusalCode.NotLeader })
})

test('a crowd that cancels what does not exist takes little of the log', async () => {
  const { call, proposed, world } = leaderWith(defaultWaitingLimits)
  for (let number = 0; number < 3 * MAX_EARLY_CANCELLATIONS; number++) {
    await call(QueueOperation.CANCEL, { path: `j${number % 1_500}` })
    await call(QueueOperation.CANCEL, { path: 'same' })
    await call(QueueOperation.CANCEL, { path: 'not valid' })
  }
  expect(world.state.steps.earlyCancellations?.get('two')?.size).toBe(MAX_EARLY_CANCELLATIONS)
  expect(proposed.filter(({ kind, ...fields }) => kind === StepTransactionKind.CancelSteps && 'identifier' in fields && fields.identifier === 'same')).toHaveLength(1)
  expect((await call(QueueOperation.CANCEL, { path: 'j1499' })).refusal).toMatchObject({ code: RefusalCode.Unavailable, retryCanHelp: true })
})

test('an account that may not see a job cannot tell from its answer whether the job exists', async () => {
  const { call, submit } = leaderWith(defaultWaitingLimits)
  await submit('known')
  const messages = await Promise.all(['known', 'other'].map(async (path) => (await call(QueueOperation.CANCEL, { account: 'one', path })).refusal?.message.replace(path, 'ID')))
  expect(messages[0]).toBe(messages[1])
  expect((await submit('known')).state).toBe('queued')
})
