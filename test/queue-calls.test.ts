/** The leader's answers to submissions: a refusal that says "not run" must be true, and an accepted job must be acknowledged. */
import { expect, test } from 'vitest'
import { err, ok } from 'neverthrow'
import { handleQueueRequest, type QueueContext } from '../src/control/queue-calls'
import { AdmissionControl, defaultWaitingLimits, notRunRefusal, RefusalCode, type WaitingLimits } from '../src/core/index'
import { QueueOperation, QueueReply, QueueRequest } from '../src/wire'
import { queueDocument, step, StepWorld } from './steps-fixture'

interface Leader {
  readonly call: (operation: QueueOperation, fields: Partial<QueueRequest>) => Promise<QueueReply>
  readonly world: StepWorld
  readonly lines: Array<{ readonly event: string, readonly reason?: string }>
  readonly counted: string[]
  readonly submit: (identifier: string) => Promise<QueueReply>
}

/** A leader whose log commits at once; `fields` replace parts of it. */
function leaderWith (limits: WaitingLimits, fields: (world: StepWorld) => Partial<QueueContext> = () => ({}), document = queueDocument): Leader {
  const world = StepWorld.create([], document)
  const [lines, counted]: [Array<{ event: string }>, string[]] = [[], []]
  const context: QueueContext = {
    now: () => world.now,
    leads: () => true,
    leader: () => 'other:1',
    committed: () => world.state,
    head: () => world.state,
    admission: AdmissionControl.create(limits),
    countSubmissionRefusal: (reason) => { counted.push(reason) },
    submit: async (transaction) => {
      const message = world.apply(transaction)
      return await Promise.resolve(message === '' ? ok(undefined) : err(notRunRefusal(RefusalCode.QueueFull, message, 1_000)))
    },
    confirm: async () => await Promise.resolve(true),
    log: (event, line) => { lines.push({ event, ...line }) },
    ...fields(world)
  }
  const call = async (operation: QueueOperation, request: Partial<QueueRequest>): Promise<QueueReply> => await handleQueueRequest(context, QueueRequest.fromPartial({
    operation, queue: 'normal', account: 'two', ...operation === QueueOperation.SUBMIT && { jobJson: JSON.stringify({ payload: '', steps: [step()] }) }, ...request
  }))
  const submit = async (identifier: string): Promise<QueueReply> => await call(QueueOperation.SUBMIT, { path: identifier })
  return { call, world, lines, counted, submit }
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
      const message = shared.apply(transaction)
      return await Promise.resolve(message === '' ? ok(undefined) : err(notRunRefusal(RefusalCode.QueueFull, message, 1_000)))
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
