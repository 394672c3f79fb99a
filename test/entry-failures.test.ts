import { request } from 'undici'
import { expect, onTestFinished, test } from 'vitest'
import { FakeControl, FakeLog } from './fake-entry-control'
import { job, send, startControls, startEntry, until } from './entry-fixture'

/** Failures between an entry and control: broken streams, leader changes, stale leaders and damaged answers. */
const hue = { token: 'hue-token' }
const platform = { token: 'platform-token' }

for (const moment of ['before-accept', 'after-accept'] as const) {
  test(`a submission whose connection breaks ${moment} is resent with the same identifier and accepted once`, async () => {
    const [control] = await startControls(1)
    const entry = await startEntry([control!.address])
    control!.behaviour.breakSubmit = moment
    const waiting = send(entry, 'POST', '/jobs?wait=true', { ...hue, body: job() })
    await until(() => control!.behaviour.submits === 2 && control!.log.jobs.size > 0)
    const [identifier] = [...control!.log.jobs.keys()]
    control!.log.finish(identifier!, 'once')
    expect([(await waiting).text, control!.log.jobs.size]).toEqual(['once', 1])
  })
}

test('a waiting caller gets its answer after a leader change, without a second submission', async () => {
  const [first, second] = await startControls(2)
  const entry = await startEntry([first!.address, second!.address])
  const waiting = send(entry, 'POST', '/jobs?wait=true', { ...hue, body: job({ identifier: 'a' }) })
  await until(() => first!.log.jobs.has('a'))
  second!.leader = second!.address
  first!.log.term = 2
  first!.kill()
  await until(() => second!.behaviour.awaits > 0)
  second!.log.finish('a', 'from the next leader')
  expect([(await waiting).text, second!.behaviour.submits]).toEqual(['from the next leader', 0])
})

test('when a leader steps down without closing its streams, waiting callers are moved to the next leader', async () => {
  const [first, second] = await startControls(2)
  const entry = await startEntry([first!.address, second!.address])
  const waiting = send(entry, 'POST', '/jobs?wait=true', { ...hue, body: job({ identifier: 'a' }) })
  await until(() => first!.log.jobs.has('a'))
  first!.behaviour.validMilliseconds = 50
  first!.log.term = 2
  first!.push()
  for (const control of [first!, second!]) control.leader = second!.address
  await until(() => second!.behaviour.awaits > 0)
  second!.log.finish('a', 'followed')
  expect((await waiting).text).toBe('followed')
})

test('after a lost connection the answer is available from another entry, by resubmitting or by asking for it', async () => {
  const [control] = await startControls(1)
  const [lost, other] = [await startEntry([control!.address]), await startEntry([control!.address])]
  const left = new AbortController()
  const body = job({ identifier: 'a' })
  const broken = send(lost, 'POST', '/jobs?wait=true', { ...hue, body, signal: left.signal }).catch((error: Error) => error.name)
  await until(() => control!.log.jobs.has('a'))
  left.abort()
  expect(await broken).toBe('AbortError')
  const resent = send(other, 'POST', '/jobs?wait=true', { ...hue, body })
  const asked = send(other, 'GET', '/jobs/a/answer?wait=true', hue)
  await until(() => control!.behaviour.submits === 2 && control!.behaviour.awaits === 1)
  control!.log.finish('a', 'whole')
  expect([(await resent).text, (await asked).text, control!.log.jobs.size]).toEqual(['whole', 'whole', 1])
})

test('a graceful stop refuses new requests, waits for open ones, and redirects the rest to another entry', async () => {
  const [control] = await startControls(1)
  const [entry, other] = [await startEntry([control!.address]), await startEntry([control!.address])]
  const [short, long] = ['short', 'long'].map((identifier) => send(entry, 'POST', '/jobs?wait=true', { ...hue, body: job({ identifier }) }))
  await until(() => control!.log.jobs.size === 2)
  const stopping = entry.stop(600)
  expect((await send(entry, 'GET', '/readyz')).json).toEqual({ ready: false, confirmed: true, stopping: true })
  expect((await send(entry, 'POST', '/jobs', { ...hue, body: job() })).json).toMatchObject({ code: 'stopping', verdict: 'not-run', retryCanHelp: true })
  control!.log.finish('short', 'in time')
  expect((await short)!.text).toBe('in time')
  const handedOver = (await long)!
  expect([handedOver.status, handedOver.json.identifier, handedOver.headers.location]).toEqual([202, 'long', '/jobs/long/answer'])
  expect(await stopping).toEqual(['1 waiting callers were told to fetch their answers from another entry'])
  control!.log.finish('long', 'later')
  expect((await send(other, 'GET', String(handedOver.headers.location), hue)).text).toBe('later')
})

test('without a confirmed copy of the document the entry refuses requests as unavailable', async () => {
  const [control] = await startControls(1)
  control!.behaviour.validMilliseconds = 200
  const entry = await startEntry([control!.address])
  control!.kill()
  await until(async () => (await send(entry, 'GET', '/readyz')).status === 503)
  const refused = await send(entry, 'POST', '/jobs', { ...hue, body: job() })
  expect(refused.json).toMatchObject({ code: 'unavailable', verdict: 'not-run', message: 'this entry has no confirmed copy of the configuration' })
  const again = await FakeControl.create(new FakeLog(), control!.address)
  onTestFinished(() => again.kill())
  await until(async () => (await send(entry, 'POST', '/jobs', { ...hue, body: job() })).status === 202)
})

test('a leader with an older term or an older document is not followed', async () => {
  const [newer] = await startControls(1)
  newer!.log.term = 5
  newer!.log.number = 9
  const older = await FakeControl.create(new FakeLog())
  onTestFinished(() => older.kill())
  const entry = await startEntry([newer!.address, older.address])
  newer!.kill()
  for (let asked = 0; asked < 3; asked += 1) await until(() => older.inForce.length > asked)
  expect([...new Set(older.inForce)]).toEqual([9])
  older.log.term = 6
  older.log.number = 10
  await until(() => older.inForce.includes(10))
  expect((await send(entry, 'GET', '/configuration/status', platform)).json).toMatchObject({ term: 6, number: 10, entry: { inForce: 10 } })
})

test('an answer that does not match its digest is never passed to the caller', async () => {
  const [control] = await startControls(1)
  const entry = await startEntry([control!.address])
  await send(entry, 'POST', '/jobs', { ...hue, body: job({ identifier: 'a' }) })
  control!.log.finish('a', 'whole')
  const { answer } = control!.log.jobs.get('a')!.report
  control!.log.move('a', { answer: { ...answer!, body: Buffer.from('half') } })
  const damaged = await send(entry, 'GET', '/jobs/a/answer?wait=true', hue)
  expect([damaged.status, damaged.json.verdict, damaged.json.retryCanHelp, control!.behaviour.awaits]).toEqual([503, 'ran', true, 3])
})

test('a caller never gets its answer from a report on another job, a duplicate or a late report', async () => {
  const [control] = await startControls(1)
  const entry = await startEntry([control!.address])
  const waiting = send(entry, 'POST', '/jobs?wait=true', { ...hue, body: job({ identifier: 'a' }) })
  await until(() => control!.log.jobs.has('a'))
  control!.log.move('a', { state: 'running', attempt: 2 })
  control!.log.move('a', { state: 'running', attempt: 2 })
  control!.log.move('a', { identifier: 'b', state: 'finished', answer: { contentType: 'text/plain', body: Buffer.from('of b'), digest: Buffer.alloc(32) } })
  control!.log.move('a', { identifier: 'a', state: 'running', attempt: 1, answer: undefined })
  await until(() => control!.behaviour.awaits > 0)
  control!.log.finish('a', 'of a')
  expect((await waiting).text).toBe('of a')
})

test('a membership change whose connection breaks is not resent, and its verdict is may-have-run', async () => {
  const [control] = await startControls(1)
  const entry = await startEntry([control!.address])
  control!.behaviour.breakMembers = true
  const broken = await send(entry, 'POST', '/control/members', { ...platform, body: { operation: 'add', address: '127.0.0.1:1' } })
  expect([broken.status, broken.json.verdict, control!.behaviour.memberChanges]).toEqual([503, 'may-have-run', 1])
})

test('the progress stream reports the state changes of a job and ends with the job', async () => {
  const [control] = await startControls(1)
  const entry = await startEntry([control!.address])
  await send(entry, 'POST', '/jobs', { ...hue, body: job({ identifier: 'a' }) })
  const answer = await request(`http://${entry.address}/jobs/a/progress`, { headers: { authorization: 'Bearer hue-token' } })
  const text = answer.body.text()
  await until(() => control!.behaviour.awaits > 0)
  control!.log.move('a', { state: 'running', attempt: 1, workers: ['w'] })
  control!.log.finish('a', 'x')
  const states = (await text).match(/"state":"[a-z]+"/g)
  expect([answer.headers['content-type'], states]).toEqual(['text/event-stream', ['"state":"queued"', '"state":"running"', '"state":"finished"']])
})
