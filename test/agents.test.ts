import { EventEmitter } from 'node:events'
import { expect, test } from 'vitest'
import { Agents, type AgentCall } from '../src/control/agents'
import { initialState, TransactionKind, type EndAttempt, type Transaction } from '../src/core/index'
import { AgentMessage, AttemptReport, Verdict } from '../src/wire'

/** Attaches an agent's stream; `proposed` collects the transactions that the leader submits for its messages. */
function attach (): { send: (message: AgentMessage['message']) => void, proposed: Transaction[] } {
  const proposed: Transaction[] = []
  const agents = Agents.create({
    head: () => initialState,
    committed: () => initialState,
    term: () => 1,
    now: () => Date.now(),
    submit: (transaction) => { proposed.push(transaction); return Promise.resolve() },
    log: () => {}
  })
  const call = Object.assign(new EventEmitter(), { write: () => true, end: () => {} }) as unknown as AgentCall
  agents.attach(call)
  return { send: (message) => { call.emit('data', { message }) }, proposed }
}

test('a failed attempt counts as lost where its reason is no fault of the worker or the job', () => {
  const { send, proposed } = attach()
  const announce = AgentMessage.fromPartial({ message: { $case: 'announce', value: { worker: 'w', incarnation: 'i' } } })
  send(announce.message)
  for (const reason of ['agent-restarted', 'lease-lost', 'leaving', 'answer-damaged', 'connection-broken', 'something-new']) {
    const key = { job: reason, attempt: 1 }
    send({ $case: 'report', value: AttemptReport.fromPartial({ key, outcome: 'failed', verdict: Verdict.MAY_HAVE_RUN, reason }) })
  }
  const ends = proposed.filter((transaction): transaction is EndAttempt => transaction.kind === TransactionKind.EndAttempt)
  expect(ends.map(({ job, outcome, reason }) => `${job}: ${outcome}, ${reason}`)).toMatchInlineSnapshot(`
    [
      "agent-restarted: lost, agent-restarted",
      "lease-lost: lost, lease-lost",
      "leaving: lost, leaving",
      "answer-damaged: failed, answer-damaged",
      "connection-broken: failed, connection-broken",
      "something-new: failed, target-failed",
    ]
  `)
})
