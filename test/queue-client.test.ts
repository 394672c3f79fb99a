import { createServer, type Server as NetServer } from 'node:net'
import { Server, ServerCredentials, type UntypedServiceImplementation } from '@grpc/grpc-js'
import { afterEach, expect, test } from 'vitest'
import { Channels, KnownHosts, Leader, QueueClient, QueueOperation } from '../src/client'
import { Verdict } from '../src/core/verdict'
import type { Logger } from '../src/logging'
import { ConfirmReply, ControlService, QueueReply, Verdict as WireVerdict, type ConfirmRequest, type QueueRequest } from '../src/wire'

type Unary<Request, Reply> = (call: { request: Request }, callback: (error: null, reply: Reply) => void) => void

const silent = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const closers: Array<() => void> = []
afterEach(() => { for (const close of closers.splice(0)) close() })

/** A control host of the two calls that are asked here. */
async function host (confirm: Unary<ConfirmRequest, ConfirmReply>, queue: Unary<QueueRequest, QueueReply>): Promise<string> {
  const server = new Server()
  const service = { confirm: ControlService.confirm, queue: ControlService.queue }
  server.addService(service, { confirm, queue } as unknown as UntypedServiceImplementation)
  const port = await new Promise<number>((resolve) => { server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (_error, bound) => { resolve(bound) }) })
  closers.push(() => { server.forceShutdown() })
  return `127.0.0.1:${port}`
}

/** A host that takes connections and says nothing, as one without power does. */
async function darkHost (): Promise<string> {
  const server: NetServer = createServer(() => {})
  const port = await new Promise<number>((resolve) => { server.listen(0, '127.0.0.1', () => { resolve((server.address() as { port: number }).port) }) })
  closers.push(() => { server.close() })
  return `127.0.0.1:${port}`
}

function clientOf (hosts: readonly string[], logger: Logger = silent): QueueClient {
  const channels = Channels.create()
  closers.push(() => { channels.close() })
  return QueueClient.create(Leader.create(KnownHosts.create(hosts), channels, logger))
}

const refusal = { code: 'not-leader', message: '', verdict: WireVerdict.NOT_RUN, retryCanHelp: true, retryAfterMilliseconds: 10, leader: '', problems: [] }
const call = { operation: QueueOperation.SUBMIT, host: 'h', path: '/q/1', key: 'k', job: { payload: '', steps: [] }, patienceMilliseconds: 3_000 }

test('without a leader nothing is sent, and the refusal says so well before the caller gives up', async () => {
  let sent = 0
  const follower = await host((_call, callback) => { callback(null, ConfirmReply.fromPartial({ refusal })) }, () => { sent += 1 })
  const began = performance.now()
  const answer = await clientOf([await darkHost(), follower, await darkHost()]).ask(call)
  expect(answer._unsafeUnwrapErr().verdict).toBe(Verdict.NotRun)
  expect(performance.now() - began).toBeLessThan(1_500)
  expect(sent).toBe(0)
})

test('a dark host does not keep a request from the leader', async () => {
  const leader = await host((_call, callback) => { callback(null, ConfirmReply.fromPartial({})) }, (_call, callback) => { callback(null, QueueReply.fromPartial({ state: 'queued' })) })
  const answer = await clientOf([await darkHost(), await darkHost(), leader]).ask(call)
  expect(answer._unsafeUnwrap()).toEqual({ state: 'queued', pending: 0 })
})

test('a request that may have arrived is never said not to have run', async () => {
  const leader = await host((_call, callback) => { callback(null, ConfirmReply.fromPartial({})) }, () => {})
  const answer = await clientOf([leader]).ask({ ...call, patienceMilliseconds: 1_000 })
  expect(answer._unsafeUnwrapErr().verdict).toBe(Verdict.MayHaveRun)
})

test('a request that may have arrived is settled at the next leader', async () => {
  let asked = 0
  const leader = await host((_call, callback) => { callback(null, ConfirmReply.fromPartial({})) }, (_call, callback) => {
    asked += 1
    if (asked > 1) callback(null, QueueReply.fromPartial({ state: 'running' }))
  })
  expect((await clientOf([leader]).ask(call))._unsafeUnwrap().state).toBe('running')
})

test('a caller with little patience is refused within it', async () => {
  const client = clientOf([await darkHost(), await darkHost()])
  const began = performance.now()
  const answer = await client.ask({ ...call, patienceMilliseconds: 100 })
  expect(answer._unsafeUnwrapErr().verdict).toBe(Verdict.NotRun)
  expect(performance.now() - began).toBeLessThan(90)
})

test('once no leader has been there for long, a caller waits for one short look', async () => {
  const client = clientOf([await darkHost(), await darkHost()])
  await client.ask(call)
  await new Promise((resolve) => { setTimeout(resolve, 1_500) })
  const began = performance.now()
  await client.ask(call)
  expect(performance.now() - began).toBeLessThan(400)
})

test('a leader that no setting names is found by a follower\'s word, and later without that follower', async () => {
  const others: string[] = []
  const leader = await host(
    (_call, callback) => { callback(null, ConfirmReply.fromPartial({ controlHosts: others })) },
    (_call, callback) => { callback(null, QueueReply.fromPartial({ state: 'queued' })) })
  others.push(leader)
  let names = true
  const follower = await host((_call, callback) => { callback(null, ConfirmReply.fromPartial({ refusal: { ...refusal, leader: names ? leader : '' } })) }, () => {})
  const client = clientOf([follower, await darkHost()])
  expect((await client.ask(call))._unsafeUnwrap()).toEqual({ state: 'queued', pending: 0 })
  names = false
  await new Promise((resolve) => { setTimeout(resolve, 400) })
  expect((await client.ask(call))._unsafeUnwrap()).toEqual({ state: 'queued', pending: 0 })
})

test('a request that is refused without a leader has a line with its identifier and what was last known of a leader', async () => {
  const lines: object[] = []
  const logger = { ...silent, warn: (event: string, fields?: object) => { lines.push({ event, ...fields }) } }
  let leads = true
  const only = await host((_call, callback) => { callback(null, ConfirmReply.fromPartial(leads ? {} : { refusal })) }, (_call, callback) => { callback(null, QueueReply.fromPartial(leads ? { state: 'queued' } : { refusal })) })
  const client = clientOf([only], logger)
  await client.ask(call)
  expect(lines).toEqual([])
  leads = false
  await client.ask(call)
  expect(lines).toMatchObject([{ event: 'request-refused', job: '1', operation: 'submit', verdict: Verdict.NotRun }])
})
