import { expect, onTestFinished, test } from 'vitest'
import { FakeControl, FakeLog } from './fake-entry-control'
import { job, send, startControls, startEntry, until } from './entry-fixture'

const hue = { token: 'hue-token' }
const platform = { token: 'platform-token' }

test('a waiting caller gets the complete answer with its digest when the job ends', async () => {
  const [control] = await startControls(1)
  const entry = await startEntry([control!.address])
  const waiting = send(entry, 'POST', '/jobs?wait=true', { ...hue, body: job({ identifier: 'portrait-1' }) })
  await until(() => control!.log.jobs.has('portrait-1'))
  control!.log.move('portrait-1', { state: 'running', attempt: 1, workers: ['worker-1'] })
  control!.log.finish('portrait-1', 'the whole answer')
  const answer = await waiting
  expect([answer.status, answer.text, answer.headers['content-type'], answer.headers['repr-digest'], answer.headers['bramleyflow-job']]).toMatchInlineSnapshot(`
    [
      200,
      "the whole answer",
      "text/plain",
      "sha-256=:EYVQfgMIc0oOesedxTTI7v5r/UBOK3UbVBPXxKTXj9U=:",
      "portrait-1",
    ]
  `)
  expect(control!.log.jobs.get('portrait-1')!.job.shape).toMatchInlineSnapshot(`
    {
      "accelerators": 2,
      "memoryMegabytes": 256,
      "processors": 1,
      "slots": 1,
      "within": "data-centre",
      "workers": 1,
    }
  `)
})

test('without wait the job is accepted at once and any entry serves the answer later', async () => {
  const [control] = await startControls(1)
  const entry = await startEntry([control!.address])
  const other = await startEntry([control!.address])
  const accepted = await send(entry, 'POST', '/jobs', { ...hue, body: job(), headers: { 'idempotency-key': 'plan-7' } })
  expect([accepted.status, accepted.headers.location, accepted.json]).toMatchInlineSnapshot(`
    [
      202,
      "/jobs/plan-7/answer",
      {
        "acceptedAt": 1000,
        "account": "hue",
        "attempt": 0,
        "ended": false,
        "endedAt": 0,
        "identifier": "plan-7",
        "message": "",
        "reason": "submitted",
        "state": "queued",
        "workers": [],
      },
    ]
  `)
  expect((await send(other, 'GET', '/jobs/plan-7/answer', hue)).status).toBe(202)
  const fetching = send(other, 'GET', '/jobs/plan-7/answer?wait=true', hue)
  control!.log.finish('plan-7', 'plan')
  expect((await fetching).text).toBe('plan')
  expect((await send(entry, 'GET', '/jobs/plan-7/answer', hue)).text).toBe('plan')
  expect((await send(entry, 'GET', '/jobs/plan-7/progress', hue)).text).toContain('"state":"finished"')
})

test('a job that ended without an answer is reported with its reason and verdict', async () => {
  const [control] = await startControls(1)
  const entry = await startEntry([control!.address])
  await send(entry, 'POST', '/jobs', { ...hue, body: job({ identifier: 'a' }) })
  control!.log.move('a', { state: 'failed', reason: 'may-have-run', verdict: 2, message: 'attempt 1 may have run on worker-1', endedAt: 5 })
  const failed = await send(entry, 'GET', '/jobs/a/answer', hue)
  expect([failed.status, failed.json]).toMatchInlineSnapshot(`
    [
      502,
      {
        "code": "may-have-run",
        "identifier": "a",
        "message": "attempt 1 may have run on worker-1",
        "problems": [],
        "retryAfter": 0,
        "retryCanHelp": false,
        "verdict": "may-have-run",
      },
    ]
  `)
})

test('jobs are listed, and cancelled one at a time or several at once', async () => {
  const [control] = await startControls(1)
  const entry = await startEntry([control!.address])
  for (const identifier of ['a', 'b', 'c']) await send(entry, 'POST', '/jobs', { ...hue, body: job({ identifier }) })
  expect((await send(entry, 'DELETE', '/jobs/a', hue)).json.state).toBe('cancelled')
  expect((await send(entry, 'DELETE', '/jobs/none', hue)).status).toBe(404)
  await send(entry, 'POST', '/jobs/cancel', { ...hue, body: { identifiers: ['b'] } })
  const states = (await send(entry, 'GET', '/jobs', hue)).json.jobs.map((view: any) => `${view.identifier} ${view.state}`)
  expect(states).toEqual(['a cancelled', 'b cancelled', 'c queued'])
  expect((await send(entry, 'GET', '/jobs', { token: 'chain-token' })).json.jobs).toEqual([])
})

test('operators read, check and replace the document, drain workers, and export the audit record', async () => {
  const [control] = await startControls(1)
  const entry = await startEntry([control!.address])
  const read = await send(entry, 'GET', '/configuration', platform)
  expect([read.json.number, read.json.sections]).toEqual([1, { maintenance: 1 }])
  const drained = await send(entry, 'POST', '/workers/worker-1/drain', platform)
  expect([drained.status, drained.json.number, control!.log.puts]).toEqual([200, 2, ['{"maintenance":{"dataCentres":[],"racks":[],"workers":["worker-1"]}}']])
  const body = { requestIdentifier: 'r1', read: { maintenance: 1 }, sections: { maintenance: {} } }
  const conflict = await send(entry, 'PUT', '/configuration', { ...platform, body })
  expect([conflict.status, conflict.json]).toMatchInlineSnapshot(`
    [
      409,
      {
        "code": "conflict",
        "message": "conflict",
        "numbers": {
          "maintenance": 2,
        },
        "problems": [
          {
            "expected": "2",
            "path": "/maintenance",
            "value": "1",
          },
        ],
        "retryAfter": 0,
        "retryCanHelp": false,
        "verdict": "not-run",
      },
    ]
  `)
  expect((await send(entry, 'POST', '/configuration/check', { ...platform, body })).json.consequences).toEqual(['1 guarantee moves'])
  expect((await send(entry, 'GET', '/configuration/status', platform)).json).toMatchObject({ number: 2, term: 1, entry: { inForce: 2 } })
  expect((await send(entry, 'GET', '/workers', platform)).json).toEqual({ workers: [{ name: 'worker-1', rack: 'r1' }] })
  expect((await send(entry, 'GET', '/control/members', platform)).json.members).toHaveLength(1)
  expect((await send(entry, 'GET', '/audit', platform)).text).toBe('{"sequence":1}\n{"sequence":2}\n')
  expect((await send(entry, 'GET', '/metrics', platform)).text).toContain('bramleyflow_entry_configuration_number 2')
})

test('an entry that starts before any control host connects once a leader is up', async () => {
  const [first, second] = await startControls(2)
  const [lateAddress, followerAddress] = [first!.address, second!.address]
  first!.kill()
  second!.kill()
  const entry = await startEntry([lateAddress, followerAddress], { ready: false })
  expect((await send(entry, 'POST', '/jobs', { ...hue, body: job() })).json).toMatchObject({ code: 'unavailable', verdict: 'not-run', retryCanHelp: true })
  const late = await FakeControl.create(new FakeLog(), lateAddress)
  onTestFinished(() => late.kill())
  await until(async () => (await send(entry, 'GET', '/readyz')).status === 200)
})
