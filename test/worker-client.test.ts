/** What the adapter makes of a worker's answers. */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import type { OrderContext, OrderOutcome, RunLists } from '../src/agent'
import { WorkerClient } from '../platform'

const BORN = 5

let client: WorkerClient
let server: Server
/** The body of all answers. */
let body = ''

beforeEach(async () => {
  client = WorkerClient.create()
  server = createServer((_incoming, outgoing) => { outgoing.writeHead(200, { 'content-type': 'application/json' }).end(body) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
})

afterEach(async () => {
  await client.close()
  await new Promise((resolve) => { server.close(resolve) })
})

const context = (): OrderContext => ({ worker: 'w', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, startedAt: BORN, fencingToken: 1 })

async function poll (lists: object): Promise<RunLists | OrderOutcome> {
  body = JSON.stringify({ clock_ms: 1_000, born: BORN, running: [], finished: [], ...lists })
  return await client.poll(context(), { acknowledged: 0, leaseUntil: 0, waitMilliseconds: 0 })
}

test('a run of which the checkpoint or the progress cannot be read is listed without them', async () => {
  const running = [[], {}, null, true, -1, 1e300, 'x'.repeat(3)].flatMap((odd, position) => [[`j.0.0.${position}`, 1, odd, 40], [`j.0.1.${position}`, 1, 'saved', odd]])
  const { running: listed } = await poll({ running }) as RunLists
  expect(listed).toHaveLength(running.length)
  expect([...new Set(listed.map(({ checkpoint }) => checkpoint))]).toEqual(['', 'saved', 'xxx'])
  expect([...new Set(listed.filter(({ key }) => key.step === 1).map(({ percent }) => percent))]).toEqual([0, 100])
})

test('a list with as many ends as a worker lists at a time may lack some', async () => {
  const finished = Array.from({ length: 500 }, (_, position) => [position + 1, `j.0.0.${position}`, 1, 'done', ''])
  expect(await poll({ finished })).toMatchObject({ endsComplete: false })
  expect(await poll({ finished: finished.slice(1) })).toMatchObject({ endsComplete: true })
  // A row that cannot be decoded takes the place of an end as well.
  expect(await poll({ finished: [...finished.slice(1), 'x'] })).toMatchObject({ endsComplete: false })
})
