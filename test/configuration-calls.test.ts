import { err } from 'neverthrow'
import { expect, test } from 'vitest'
import { createControlService, type CallContext } from '../src/control/calls'
import { apply, RefusalCode, Verdict, type Refusal, type State, type Transaction } from '../src/core/index'
import type { ConfigurationReply, ControlServer, PutConfigurationRequest } from '../src/wire/index'
import { fleet, put, request } from './document-fixtures'

const unknownOutcome: Refusal = { code: RefusalCode.Unavailable, message: 'leadership moved', verdict: Verdict.MayHaveRun, retryCanHelp: true, retryAfter: 100 }

function callWith (committed: State, head: State, submit: CallContext['submit'], sent: PutConfigurationRequest): Promise<ConfigurationReply> {
  const context = { leads: () => true, leader: () => '', confirm: () => Promise.resolve(true), committed: () => committed, head: () => head, submit, now: () => Date.now() } as Partial<CallContext> as CallContext
  const calls = createControlService(context) as unknown as ControlServer
  return new Promise((resolve) => { calls.putConfiguration({ request: sent } as never, (_, reply) => { resolve(reply as ConfigurationReply) }) })
}

test('a resend of a proposed change that is not committed is not reported as accepted when leadership is lost', async () => {
  const sent = { ...request(fleet, { limits: { attemptsPerJob: 2 } }, 'lost'), read: [{ section: 'limits', number: 0 }] }
  const proposed = put(fleet, { limits: { attemptsPerJob: 2 } }, 'lost')
  const reply = await callWith(fleet, proposed, () => Promise.resolve(err(unknownOutcome)), sent)
  expect([reply.refusal?.code, reply.number]).toEqual([RefusalCode.Unavailable, 0])
})

test('a resend of a committed change gets the number of the first reply, even after later changes', async () => {
  const sent = { ...request(fleet, { limits: { attemptsPerJob: 2 } }, 'lost'), read: [{ section: 'limits', number: 0 }] }
  const state = put(put(fleet, { limits: { attemptsPerJob: 2 } }, 'lost'), { limits: {} }, 'later')
  const submit = (transaction: Transaction) => Promise.resolve(apply(state, transaction).outcome.map(() => undefined))
  const reply = await callWith(state, state, submit, sent)
  expect([reply.refusal, reply.number, reply.consequences]).toEqual([undefined, 1, ['limits changes: attemptsPerJob from 4 to 2']])
})
