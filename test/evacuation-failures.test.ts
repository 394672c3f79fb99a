/**
 * Orders to start or finish an evacuation while messages are lost, repeated or delayed and leaders are killed at each step.
 * Two control hosts share one replicated log, which commits at once; the calls between client and host are real.
 */
import { connect, type Socket } from 'node:net'
import { Server, ServerCredentials, type UntypedServiceImplementation } from '@grpc/grpc-js'
import { err, ok } from 'neverthrow'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { Channels, EvacuationClient, KnownHosts, LeaderClient } from '../src/client'
import { changeEvacuation, listEvacuations, type EvacuationContext } from '../src/control/evacuation-calls'
import { evacuationCount, isEvacuated, notRunRefusal, RefusalCode, StepTransactionKind, Verdict, type Transaction } from '../src/core/index'
import { HttpLimits } from '../src/http/index'
import { ConfirmReply, ControlService, EvacuationList, EvacuationReply } from '../src/wire'
import { HttpServer, type HttpRequest } from '../platform/http-server'
import { freePort } from './platform-fixture'
import { StepWorld, worker } from './steps-fixture'
import { until } from './until'

/** The messages of an order, at which a fault can occur. */
enum Message { ReadRequest = 'read-request', ReadReply = 'read-reply', ChangeRequest = 'change-request', Commit = 'commit', ChangeReply = 'change-reply' }

const silentLogger = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const closers: Array<() => void> = []
let world: StepWorld
let leader: number
let logged: object[]
/** Called at each message; one that returns false loses the message. */
let atMessage: (message: Message, host: number) => boolean | Promise<boolean>

beforeEach(() => {
  world = StepWorld.create([worker('a')])
  leader = 0
  logged = []
  atMessage = () => true
})
afterEach(() => { for (const close of closers.splice(0)) close() })

const evacuated = (): boolean => isEvacuated(world.state.steps, 'd')

/** The opposite order, given by another operator and committed at once. */
function finishBehindItsBack (): void {
  world.apply({ kind: StepTransactionKind.FinishEvacuation, at: world.now, dataCentre: 'd', changeCount: evacuationCount(world.state.steps, 'd') })
}

async function startHost (number: number): Promise<string> {
  const server = new Server()
  const leads = (): boolean => leader === number
  const context: EvacuationContext = {
    now: () => world.now,
    leads,
    leader: () => '',
    committed: () => world.state,
    confirm: async () => await Promise.resolve(leads()),
    submit: async (transaction: Transaction) => {
      if (!await atMessage(Message.Commit, number)) return err({ ...notRunRefusal(RefusalCode.Unavailable, 'leadership changed', 100), verdict: Verdict.MayHaveRun })
      if (!leads()) return err(notRunRefusal(RefusalCode.NotLeader, 'this control host no longer leads'))
      const refusal = world.apply(transaction)
      return refusal === '' ? ok(undefined) : err(notRunRefusal(RefusalCode.Conflict, refusal))
    },
    log: (event, fields) => { logged.push({ event, ...fields }) }
  }
  const handle = <Request, Reply>(request: Message, reply: Message, run: (request: Request) => Promise<Reply>) => (call: { request: Request }, callback: (error: null, reply: Reply) => void): void => {
    void (async () => {
      if (!await atMessage(request, number)) return
      const result = await run(call.request)
      if (await atMessage(reply, number)) callback(null, result)
    })()
  }
  const { confirm, listEvacuations: list, changeEvacuation: change } = ControlService
  server.addService({ confirm, listEvacuations: list, changeEvacuation: change }, {
    confirm: (_call: unknown, callback: (error: null, reply: ConfirmReply) => void) => {
      callback(null, ConfirmReply.fromPartial(leads() ? {} : { refusal: { code: RefusalCode.NotLeader, verdict: 1 } }))
    },
    listEvacuations: handle(Message.ReadRequest, Message.ReadReply, async (request: never) => await listEvacuations(context, request) as EvacuationList),
    changeEvacuation: handle(Message.ChangeRequest, Message.ChangeReply, async (request: never) => await changeEvacuation(context, request) as EvacuationReply)
  } as unknown as UntypedServiceImplementation)
  const port = await new Promise<number>((resolve) => { server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (_error, bound) => { resolve(bound) }) })
  closers.push(() => { server.forceShutdown() })
  return `127.0.0.1:${port}`
}

async function createClient (): Promise<EvacuationClient> {
  const hosts = [await startHost(0), await startHost(1)]
  const channels = Channels.create()
  closers.push(() => { channels.close() })
  return EvacuationClient.create(LeaderClient.create(KnownHosts.create(hosts), channels, silentLogger))
}

/** Sends an order as the operator does: again, at any host, until it is acknowledged. */
async function orderUntilAcknowledged (client: EvacuationClient, evacuate: boolean): Promise<void> {
  for (let attempt = 0; attempt < 5; attempt++) if ((await client.change({ dataCentre: 'd', evacuate })).isOk()) return
  throw new Error('not acknowledged')
}

/** Does something once, when a message is first passed on; returns whether the message passes. */
function once (message: Message, run: () => boolean): typeof atMessage {
  let due = true
  return (current) => {
    if (!due || current !== message) return true
    due = false
    return run()
  }
}

test.each(Object.values(Message))('an order whose %s is lost is acknowledged in the end, and then in force', async (message) => {
  const client = await createClient()
  atMessage = once(message, () => false)
  await orderUntilAcknowledged(client, true)
  expect(evacuated()).toBe(true)
  atMessage = once(message, () => false)
  await orderUntilAcknowledged(client, false)
  expect(evacuated()).toBe(false)
})

test.each(Object.values(Message))('an order whose leader is killed at its %s is acknowledged by the next leader, and then in force', async (message) => {
  const client = await createClient()
  atMessage = once(message, () => { leader = 1; return false })
  await orderUntilAcknowledged(client, true)
  expect(evacuated()).toBe(true)
  expect(world.lines.filter(({ text }) => text.includes('start-evacuation'))).toHaveLength(1)
})

test('an order whose reply is lost after its commit is acknowledged again, and changes the count once', async () => {
  const client = await createClient()
  atMessage = once(Message.ChangeReply, () => { leader = 1; return false })
  await orderUntilAcknowledged(client, true)
  await orderUntilAcknowledged(client, true)
  expect(evacuationCount(world.state.steps, 'd')).toBe(1)
})

test('a start that is held up between host and leader until after the finish does not win once its caller is gone', async () => {
  const client = await createClient()
  await orderUntilAcknowledged(client, true)
  finishBehindItsBack()
  let abandoned = false
  atMessage = once(Message.ChangeRequest, () => {
    // While the request is held up, the same start is given elsewhere and withdrawn again.
    world.apply({ kind: StepTransactionKind.StartEvacuation, at: world.now, dataCentre: 'd', changeCount: evacuationCount(world.state.steps, 'd') })
    finishBehindItsBack()
    abandoned = true
    return true
  })
  const answer = await client.change({ dataCentre: 'd', evacuate: true }, () => abandoned)
  expect(answer._unsafeUnwrapErr()).toMatchObject({ code: RefusalCode.Unavailable, verdict: Verdict.NotRun })
  expect(evacuated()).toBe(false)
  expect(logged.at(-1)).toMatchObject({ event: 'evacuation-refused', code: RefusalCode.Conflict })
})

test('while its caller waits, an order whose count has changed is sent again with the new count', async () => {
  const client = await createClient()
  atMessage = once(Message.ChangeRequest, () => {
    world.apply({ kind: StepTransactionKind.StartEvacuation, at: world.now, dataCentre: 'd', changeCount: 0 })
    finishBehindItsBack()
    return true
  })
  expect((await client.change({ dataCentre: 'd', evacuate: true })).isOk()).toBe(true)
  expect(evacuated()).toBe(true)
})

test('an order that its caller has given up before it is sent is not sent', async () => {
  const client = await createClient()
  let abandoned = false
  atMessage = once(Message.ReadReply, () => { abandoned = true; return true })
  expect((await client.change({ dataCentre: 'd', evacuate: true }, () => abandoned)).isErr()).toBe(true)
  expect(evacuated()).toBe(false)
})

test('a repeated and a delayed copy of the same request change nothing more', async () => {
  const client = await createClient()
  const copies: Array<() => Promise<unknown>> = []
  const request = { dataCentre: 'd', evacuate: true, changeCount: 0, team: '' }
  const context = { now: () => world.now, leads: () => true, leader: () => '', committed: () => world.state, confirm: async () => await Promise.resolve(true), log: () => {} }
  const submit = async (transaction: Transaction): Promise<never> => {
    const refusal = world.apply(transaction)
    return await Promise.resolve((refusal === '' ? ok(undefined) : err(notRunRefusal(RefusalCode.Conflict, refusal))) as never)
  }
  for (let copy = 0; copy < 2; copy++) copies.push(async () => await changeEvacuation({ ...context, submit }, request))
  await orderUntilAcknowledged(client, true)
  expect(await copies[0]?.()).toEqual({ refusal: undefined })
  await orderUntilAcknowledged(client, false)
  expect(await copies[1]?.()).toMatchObject({ refusal: { code: RefusalCode.Conflict } })
  expect(evacuated()).toBe(false)
})

test('an order is answered within the second for which the operator waits, also while no host answers', async () => {
  const client = await createClient()
  atMessage = () => false
  const began = performance.now()
  const answer = await client.change({ dataCentre: 'd', evacuate: true })
  expect(answer.isErr()).toBe(true)
  expect(performance.now() - began).toBeLessThan(1_000)
})

test('the list shows what is evacuated and what still runs there, and only a confirmed leader answers', async () => {
  const client = await createClient()
  await orderUntilAcknowledged(client, true)
  expect((await client.list())._unsafeUnwrap()).toEqual([{ dataCentre: 'd', startedAt: world.now, runs: 0 }])
  leader = 2
  expect((await client.list())._unsafeUnwrapErr().verdict).toBe(Verdict.NotRun)
})

test.each([['closes its connection', (socket: Socket) => { socket.destroy() }], ['sends no more', (socket: Socket) => { socket.end() }]])('the handler of an order sees that its caller %s', async (_, leave) => {
  const port = await freePort()
  const requests: HttpRequest[] = []
  let answer = (): void => {}
  const server = await HttpServer.open({ endpoint: 'operators', address: `127.0.0.1:${port}`, limits: HttpLimits.create({}, silentLogger), fieldLimits: { maxValues: 100, maxMembers: 100, maxDepth: 8 }, takesBody: () => false }, async (request) => {
    requests.push(request)
    await new Promise<void>((resolve) => { answer = resolve })
    return { status: 200 }
  })
  const socket = connect(port, '127.0.0.1', () => { socket.write('POST /evacuations/d/start HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n') })
  socket.on('error', () => {})
  await until(() => requests.length === 1)
  expect(requests[0]?.isAbandoned()).toBe(false)
  leave(socket)
  await until(() => requests[0]?.isAbandoned() === true)
  answer()
  socket.destroy()
  await server.close()
})
