/** The pure parts of the limits on clients, and the guard of a server on loopback. */
import { once } from 'node:events'
import { request as httpRequest, type IncomingMessage } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import fc from 'fast-check'
import { ok } from 'neverthrow'
import { afterEach, expect, test } from 'vitest'
import { requestLimitsOf, DocumentLimits } from '../platform/document-limits'
import { excessOf, HttpLimits, LimitKind, type RequestLimits } from '../src/http'
import { limitReachedBy } from '../src/http/connection-rules'
import { connectionsToClose, holdersToClose, type Holder } from '../src/http/held-bytes'
import { processLimitsOf } from '../src/http/limits'

const limits: RequestLimits = { maxHeaderBytes: 2_000, maxBodyBytes: 262_144, headerTimeoutMilliseconds: 300, idleTimeoutMilliseconds: 15_000 }
const holder = fc.record({ heldBytes: fc.nat(300_000), movedAt: fc.nat(10_000), closable: fc.boolean() })

test('the smallest host holds an eighth of its memory at most, and keeps descriptors for control', () => {
  expect({ smallest: processLimitsOf(210, 2_212), largest: processLimitsOf(490, 10_250), unknown: processLimitsOf(), tiny: processLimitsOf(16, 64) }).toMatchInlineSnapshot(`
    {
      "largest": {
        "connections": 3920,
        "heldBytes": 64225280,
      },
      "smallest": {
        "connections": 1680,
        "heldBytes": 27525120,
      },
      "tiny": {
        "connections": 51,
        "heldBytes": 8388608,
      },
      "unknown": {
        "connections": 819,
        "heldBytes": 134217728,
      },
    }
  `)
})

test('connections are closed until the rest is within the limit, and none of an equal share before one that holds more', () => {
  fc.assert(fc.property(fc.array(holder, { maxLength: 40 }), fc.nat(2_000_000), (holders, limit) => {
    const chosen = holdersToClose<Holder>(holders, limit, 10_000)
    const sum = (list: readonly Holder[]): number => list.reduce((total, { heldBytes }) => total + heldBytes, 0)
    const left = holders.filter((one) => !chosen.includes(one))
    expect(chosen.every(({ closable, heldBytes }) => closable && heldBytes > 0)).toBe(true)
    if (sum(holders) <= limit) expect(chosen).toEqual([])
    else if (left.some(({ closable, heldBytes }) => closable && heldBytes > 0)) expect(sum(left)).toBeLessThanOrEqual(limit)
    const share = limit / holders.length
    if (chosen.some(({ heldBytes }) => heldBytes <= share)) expect(left.some(({ closable, heldBytes }) => closable && heldBytes > share)).toBe(false)
  }))
})

test('of a crowd of stopped bodies and one small request that moves, the small one is never closed', () => {
  const crowd = Array.from({ length: 900 }, (_, index) => ({ heldBytes: 262_134, movedAt: index, closable: true }))
  const small = { heldBytes: 600, movedAt: 5_000, closable: true }
  expect(holdersToClose([small, ...crowd], 26_000_000, 5_000)).not.toContain(small)
  expect(connectionsToClose([small, ...crowd], 500, 5_000)).not.toContain(small)
})

test('too many connections are reduced below the limit, those first that have not moved for longest', () => {
  const idle = Array.from({ length: 20 }, (_, movedAt) => ({ heldBytes: 0, movedAt, closable: true }))
  expect(connectionsToClose(idle, 16, 100).map(({ movedAt }) => movedAt)).toEqual([0, 1, 2, 3, 4])
  expect(connectionsToClose(idle, 20, 100)).toEqual([])
})

test('a sender or reader of 8 KB/s is never cut off; one of 2 KB/s is', () => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 120_000 }), fc.integer({ min: 1, max: 4_194_304 }), (elapsed, bytes) => {
    const at = (rate: number): LimitKind | undefined => limitReachedBy({ body: { since: 0, bytes: rate * elapsed / 1_000 } }, limits, elapsed)
    expect(at(8_192)).toBeUndefined()
    expect(at(2_048)).toBe(elapsed >= 5_000 ? LimitKind.SlowSender : undefined)
    const reader = (rate: number): LimitKind | undefined => limitReachedBy({ unsent: { bytes, since: 0 } }, limits, Math.max(15_001, bytes / rate * 1_000))
    if (bytes > 15_001 * 8.192) expect(reader(8_192)).toBeUndefined()
    expect(reader(2_048)).toBe(LimitKind.SlowReader)
  }))
})

test('header fields, idle connections and the rest of a refused body have their own times', () => {
  const reached = (view: Parameters<typeof limitReachedBy>[0]): Array<LimitKind | undefined> => [299, 301, 2_001, 15_001].map((now) => limitReachedBy(view, limits, now))
  expect([reached({ idleSince: 0, headersSince: 0 }), reached({ idleSince: 0 }), reached({ remainderUntil: 2_000 }), reached({})]).toMatchInlineSnapshot(`
    [
      [
        undefined,
        "header-time",
        "header-time",
        "header-time",
      ],
      [
        undefined,
        undefined,
        undefined,
        "idle",
      ],
      [
        undefined,
        undefined,
        "remainder",
        "remainder",
      ],
      [
        undefined,
        undefined,
        undefined,
        undefined,
      ],
    ]
  `)
})

test('the scan finds an excess exactly where the parsed value has one', () => {
  const membersOf = (value: unknown): number => typeof value !== 'object' || value === null ? 0 : Math.max(Object.keys(value).length, ...Object.values(value).map(membersOf))
  const depthOf = (value: unknown): number => typeof value !== 'object' || value === null ? 0 : 1 + Math.max(0, ...Object.values(value).map(depthOf))
  fc.assert(fc.property(fc.jsonValue({ maxDepth: 4 }), fc.integer({ min: 1, max: 6 }), (value, limit) => {
    const bytes = Buffer.from(JSON.stringify(value))
    expect(excessOf(bytes, { maxValues: 1_000_000, maxMembers: limit, maxDepth: 100 }) !== undefined).toBe(membersOf(value) > limit)
    expect(excessOf(bytes, { maxValues: 1_000_000, maxMembers: 1_000_000, maxDepth: limit }) !== undefined).toBe(depthOf(value) > limit)
  }), { numRuns: 500 })
  const job = { spec: 'x'.repeat(4_000), phases: Array.from({ length: 256 }, (_, step) => ({ count: 1, cpu: 1, mem_mb: 1, gpu: 1, estimate_ms: 1, after: [Math.max(0, step - 1)], gang: true })) }
  expect(excessOf(Buffer.from(JSON.stringify(job)), { maxValues: 32_768, maxMembers: 256, maxDepth: 16 })).toBeUndefined()
})

test('limits of a document are read leniently and kept within a range, and the document is read once for each number', async () => {
  expect([{}, { limits: { max_body_bytes: 1_000_000, header_timeout_ms: 5 } }, { limits: { max_body_bytes: 'x' } }, { limits: { idle_timeout_ms: 20_000, max_header_bytes: 8_192 } }].map((document) => requestLimitsOf(JSON.stringify(document)))).toMatchInlineSnapshot(`
    [
      {
        "headerTimeoutMilliseconds": 3000,
        "idleTimeoutMilliseconds": 15000,
        "maxBodyBytes": 262144,
        "maxHeaderBytes": 16384,
      },
      {
        "headerTimeoutMilliseconds": 100,
        "idleTimeoutMilliseconds": 15000,
        "maxBodyBytes": 1000000,
        "maxHeaderBytes": 16384,
      },
      {
        "headerTimeoutMilliseconds": 3000,
        "idleTimeoutMilliseconds": 15000,
        "maxBodyBytes": 262144,
        "maxHeaderBytes": 16384,
      },
      {
        "headerTimeoutMilliseconds": 3000,
        "idleTimeoutMilliseconds": 20000,
        "maxBodyBytes": 262144,
        "maxHeaderBytes": 8192,
      },
    ]
  `)
  let reads = 0
  const documents = DocumentLimits.create({ readDocument: async () => { reads += 1; return await Promise.resolve(ok({ number: 3, source: '{"limits":{"max_body_bytes":5000}}' })) } })
  for (const number of [0, 3, 3, 3]) { documents.follow(number); await new Promise(setImmediate) }
  expect({ reads, limits: documents.inForce.maxBodyBytes }).toEqual({ reads: 1, limits: 5_000 })
})

const closers: Array<() => void> = []
afterEach(() => { for (const close of closers.splice(0)) close() })

interface Served { readonly port: number, readonly handled: string[], readonly counts: () => Record<string, number> }

/** Serves the length of each body; a path with `refused` is answered without reading the body. */
async function serve (memoryMegabytes?: number): Promise<Served> {
  const process = HttpLimits.create({ memoryMegabytes }, { warn: () => {} })
  const guard = process.guard({ endpoint: 'test', connectionShare: 1, limits: () => limits })
  const handled: string[] = []
  const server = guard.createServer((incoming, outgoing) => {
    handled.push(incoming.url!)
    const refused = incoming.url!.includes('refused')
    void (refused ? Promise.resolve(undefined) : guard.readBody(incoming)).then((body) => {
      outgoing.writeHead(refused ? 401 : body!.isOk() ? 200 : body!.error.status || 499).end(body?.isOk() === true ? String(body.value.length) : '')
    })
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  closers.push(() => { server.closeAllConnections(); server.close() })
  return { port: (server.address() as AddressInfo).port, handled, counts: () => Object.fromEntries(process.log.counts.map(({ limit, count }) => [limit, count])) }
}

async function post (port: number, path: string, body: Buffer, headers: Record<string, string> = {}): Promise<{ status: number, text: string }> {
  const outgoing = httpRequest({ port, host: '127.0.0.1', method: 'POST', path, agent: false, headers })
  outgoing.end(body)
  const [incoming] = await once(outgoing, 'response') as [IncomingMessage]
  let text = ''
  for await (const part of incoming) text += String(part)
  return { status: incoming.statusCode!, text }
}

async function talk (port: number, text: string): Promise<{ socket: Socket, received: () => string }> {
  const socket = connect(port, '127.0.0.1').on('error', () => {})
  closers.push(() => { socket.destroy() })
  let received = ''
  socket.on('data', (part) => { received += String(part) })
  socket.write(text)
  await once(socket, 'connect')
  return { socket, received: () => received }
}

test('a body within the limits arrives complete, whether it has a length or comes in small chunks; one in chunks of one byte is closed', async () => {
  const { port, counts } = await serve()
  expect(await post(port, '/', Buffer.alloc(262_144))).toEqual({ status: 200, text: '262144' })
  expect(await post(port, '/', Buffer.alloc(0))).toEqual({ status: 200, text: '0' })
  const { socket, received } = await talk(port, `POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n${`40\r\n${'x'.repeat(64)}\r\n`.repeat(4_000)}0\r\n\r\n`)
  await once(socket, 'close')
  expect(received()).toMatch(/200 OK[^]*256000/)
  const small = await talk(port, `POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(100_000)}`)
  await new Promise((resolve) => { small.socket.once('close', resolve) })
  expect(counts()).toEqual({ pieces: 1 })
})

test('a body over the limit and a request that is refused unread get their status, although the client sends everything first', async () => {
  const { port, counts } = await serve()
  expect((await post(port, '/', Buffer.alloc(1_000_000))).status).toBe(413)
  expect((await post(port, '/', Buffer.alloc(1_000_000), { 'transfer-encoding': 'chunked' })).status).toBe(413)
  expect((await post(port, '/refused', Buffer.alloc(200_000))).status).toBe(401)
  expect((await post(port, '/', Buffer.alloc(10), { long: 'x'.repeat(1_990) })).status).toBe(431)
  expect(counts()).toEqual({ 'body-size': 2, 'header-size': 1 })
})

test('pipelined requests are answered in order, one at a time; a connection that sends far ahead is closed', async () => {
  const { port, handled, counts } = await serve()
  const { socket, received } = await talk(port, Array.from({ length: 20 }, (_, index) => `POST /${index} HTTP/1.1\r\nhost: h\r\ncontent-length: ${index}\r\n\r\n${'x'.repeat(index)}`).join(''))
  while ((received().match(/200 OK/g) ?? []).length < 20) await once(socket, 'data')
  expect(handled).toEqual(Array.from({ length: 20 }, (_, index) => `/${index}`))
  const ahead = await talk(port, 'GET / HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(1_000))
  await new Promise((resolve) => { ahead.socket.once('close', resolve) })
  expect(handled.length).toBeLessThan(60)
  expect(counts()).toEqual({ pipelining: 1 })
})

test('an incomplete header ends its connection in time', async () => {
  const { port, counts } = await serve()
  const { socket } = await talk(port, 'GET / HTTP/1.1\r\nho')
  await once(socket, 'close')
  expect(counts()).toEqual({ 'header-time': 1 })
})

test('while stopped bodies fill the budget, the largest of them are refused and a small request is served', async () => {
  const { port, counts } = await serve(16)
  const crowd = await Promise.all(Array.from({ length: 60 }, async () => await talk(port, `POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 262144\r\n\r\n${'x'.repeat(262_000)}`)))
  while ((counts()[LimitKind.Memory] ?? 0) < 20) await new Promise((resolve) => { setTimeout(resolve, 10) })
  expect(await post(port, '/', Buffer.alloc(300))).toEqual({ status: 200, text: '300' })
  expect(crowd.some(({ received }) => received().includes('503'))).toBe(true)
})
