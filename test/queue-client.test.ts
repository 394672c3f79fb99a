import { createServer, type Server as NetServer } from 'node:net'
import { Server, ServerCredentials, type UntypedServiceImplementation } from '@grpc/grpc-js'
import { afterEach, expect, test } from 'vitest'
import { Channels, KnownHosts, LeaderClient, QueueClient, QueueOperation } from '../src/client'
import { Verdict } from '../src/core/verdict'
import type { Logger } from '../src/logging'
import { ConfirmReply, ControlService, QueueReply, Verdict as WireVerdict, type ConfirmRequest, type QueueRequest } from '../src/wire'

type Unary<Request, Reply> = (call: { request: Request }, callback: (error: null, reply: Reply) => void) => void

const silentLogger = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const closers: Array<() => void> = []
afterEach(() => { for (const close of closers.splice(0)) close() })

/** Starts a control host that serves only the two calls that the client makes. */
async function startHost (confirm: Unary<ConfirmRequest, ConfirmReply>, queue: Unary<QueueRequest, QueueReply>): Promise<string> {
  const server = new Server()
  const service = { confirm: ControlService.confirm, queue: ControlService.queue }
  server.addService(service, { confirm, queue } as unknown as UntypedServiceImplementation)
  const port = await new Promise<number>((resolve) => { server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (_error, bound) => { resolve(bound) }) })
  closers.push(() => { server.forceShutdown() })
  return `127.0.0.1:${port}`
}

/** Starts a host that accepts connections and never responds, as one that lost its power. */
async function unresponsiveHost (): Promise<string> {
  const server: NetServer = createServer(() => {})
  const port = await new Promise<number>((resolve) => { server.listen(0, '127.0.0.1', () => { resolve((server.address() as { port: number }).port) }) })
  closers.push(() => { server.close() })
  return `127.0.0.1:${port}`
}

function clientOf (hosts: readonly string[], logger: Logger = silentLogger): QueueClient {
  const channels = Channels.create()
  closers.push(() => { channels.close() })
  return QueueClient.create(LeaderClient.create(KnownHosts.create(hosts), channels, logger))
}

const refusal = { code: 'not-leader', message: '', verdict: WireVerdict.NOT_RUN, retryCanHelp: true, retryAfterMilliseconds: 10, leader: '', problems: [] }
const call = { operation: QueueOperation.SUBMIT, host: 'h', path: '/q/1', key: 'k', job: { payload: '', steps: [] }, timeoutMilliseconds: 3_000 }

test('without a leader no request is sent, and the caller is refused as not-run well before its timeout', async () => {
  let sent = 0
  const follower = await startHost((_call, callback) => { callback(null, ConfirmReply.fromPartial({ refusal })) }, () => { sent += 1 })
  const began = performance.now()
  const answer = await clientOf([await unresponsiveHost(), follower, await unresponsiveHost()]).callByAddress(call)
  expect(answer._unsafeUnwrapErr().verdict).toBe(Verdict.NotRun)
  expect(performance.now() - began).toBeLessThan(1_500)
  expect(sent).toBe(0)
})

test('unresponsive hosts do not keep a request from reaching the leader', async () => {
  const leader = await startHost((_call, callback) => { callback(null, ConfirmReply.fromPartial({})) }, (_call, callback) => { callback(null, QueueReply.fromPartial({ state: 'queued' })) })
  const answer = await clientOf([await unresponsiveHost(), await unresponsiveHost(), leader]).callByAddress(call)
  expect(answer._unsafeUnwrap()).toEqual({ state: 'queued', pending: 0 })
})

test('a submission is not refused as not-run for a limit while an earlier copy of it may still arrive', async () => {
  let tries = 0
  const full = { ...refusal, code: 'queue-full', retryAfterMilliseconds: 2_000 }
  const leader = await startHost((_call, callback) => { callback(null, ConfirmReply.fromPartial({})) }, (_call, callback) => {
    tries += 1
    if (tries > 1) callback(null, QueueReply.fromPartial({ refusal: full }))
  })
  expect((await clientOf([leader]).callByAddress(call))._unsafeUnwrapErr()).toMatchObject({ code: 'queue-full', verdict: Verdict.MayHaveRun, retryAfter: 2_000 })
  const second = await clientOf([leader]).callByAddress(call)
  expect(second._unsafeUnwrapErr()).toMatchObject({ code: 'queue-full', verdict: Verdict.NotRun })
})

test('a request that may have arrived is not refused as not-run', async () => {
  const leader = await startHost((_call, callback) => { callback(null, ConfirmReply.fromPartial({})) }, () => {})
  const answer = await clientOf([leader]).callByAddress({ ...call, timeoutMilliseconds: 1_000 })
  expect(answer._unsafeUnwrapErr().verdict).toBe(Verdict.MayHaveRun)
})

test('a request that may have arrived is sent again until a leader replies', async () => {
  let asked = 0
  const leader = await startHost((_call, callback) => { callback(null, ConfirmReply.fromPartial({})) }, (_call, callback) => {
    asked += 1
    if (asked > 1) callback(null, QueueReply.fromPartial({ state: 'running' }))
  })
  expect((await clientOf([leader]).callByAddress(call))._unsafeUnwrap().state).toBe('running')
})

test('a caller with a short timeout is refused before it', async () => {
  const client = clientOf([await unresponsiveHost(), await unresponsiveHost()])
  const began = performance.now()
  const answer = await client.callByAddress({ ...call, timeoutMilliseconds: 100 })
  expect(answer._unsafeUnwrapErr().verdict).toBe(Verdict.NotRun)
  expect(performance.now() - began).toBeLessThan(90)
})

test('a caller waits only for a short search once there has been no leader for a long time', async () => {
  const client = clientOf([await unresponsiveHost(), await unresponsiveHost()])
  await client.callByAddress(call)
  await new Promise((resolve) => { setTimeout(resolve, 1_500) })
  const began = performance.now()
  await client.callByAddress(call)
  expect(performance.now() - began).toBeLessThan(400)
})

test('the longer no leader answers, the later a change may be sent again, while reads may come back early', async () => {
  const client = clientOf([await unresponsiveHost()])
  const retryAfter = async (operation: QueueOperation): Promise<number> => (await client.callByAddress({ ...call, operation, timeoutMilliseconds: 500 }))._unsafeUnwrapErr().retryAfter
  expect(await retryAfter(QueueOperation.SUBMIT)).toBe(1_000)
  await new Promise((resolve) => { setTimeout(resolve, 1_800) })
  expect(await retryAfter(QueueOperation.SUBMIT)).toBeGreaterThan(1_300)
  expect(await retryAfter(QueueOperation.SHOW)).toBe(1_000)
})

test('a leader that is not in the settings is found through a follower, and later without that follower', async () => {
  const others: string[] = []
  const leader = await startHost(
    (_call, callback) => { callback(null, ConfirmReply.fromPartial({ controlHosts: others })) },
    (_call, callback) => { callback(null, QueueReply.fromPartial({ state: 'queued' })) })
  others.push(leader)
  let namesLeader = true
  const follower = await startHost((_call, callback) => { callback(null, ConfirmReply.fromPartial({ refusal: { ...refusal, leader: namesLeader ? leader : '' } })) }, () => {})
  const client = clientOf([follower, await unresponsiveHost()])
  expect((await client.callByAddress(call))._unsafeUnwrap()).toEqual({ state: 'queued', pending: 0 })
  namesLeader = false
  await new Promise((resolve) => { setTimeout(resolve, 400) })
  expect((await client.callByAddress(call))._unsafeUnwrap()).toEqual({ state: 'queued', pending: 0 })
})

test('a request that is refused without a leader is logged with its job and operation', async () => {
  const lines: object[] = []
  const logger = { ...silentLogger, warn: (event: string, fields?: object) => { lines.push({ event, ...fields }) } }
  let leads = true
  const only = await startHost((_call, callback) => { callback(null, ConfirmReply.fromPartial(leads ? {} : { refusal })) }, (_call, callback) => { callback(null, QueueReply.fromPartial(leads ? { state: 'queued' } : { refusal })) })
  const client = clientOf([only], logger)
  await client.callByAddress(call)
  expect(lines).toEqual([])
  leads = false
  await client.callByAddress(call)
  expect(lines).toMatchObject([{ event: 'request-refused', job: '1', operation: 'submit', verdict: Verdict.NotRun }])
})
