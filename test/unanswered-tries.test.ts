/** A request that is sent again after a try without an answer: what its refusal may say of the earlier copy. */
import { Server, ServerCredentials, type UntypedServiceImplementation } from '@grpc/grpc-js'
import { afterEach, expect, test } from 'vitest'
import { CallKind, Channels, EvacuationClient, KnownHosts, LeaderClient, QueueClient, QueueOperation } from '../src/client'
import { RefusalCode, Verdict } from '../src/core/verdict'
import { ConfigurationReply, ConfirmReply, ControlService, EvacuationList, EvacuationReply, QueueReply, Verdict as WireVerdict, type Refusal } from '../src/wire'

type Reply = (request: unknown) => object | undefined

const closers: Array<() => void> = []
afterEach(() => { for (const close of closers.splice(0)) close() })

/** Starts a leader that answers the given calls; a call is left without an answer where its function returns undefined. */
async function startLeader (replies: { readonly [method in keyof typeof ControlService]?: Reply }): Promise<string> {
  const server = new Server()
  const handlers = { confirm: () => ConfirmReply.fromPartial({}), ...replies }
  const methods = Object.keys(handlers) as Array<keyof typeof handlers & keyof typeof ControlService>
  server.addService(
    Object.fromEntries(methods.map((method) => [method, ControlService[method]])),
    Object.fromEntries(methods.map((method) => [method, (call: { request: unknown }, callback: (error: null, reply: object) => void) => {
      const reply = handlers[method]?.(call.request)
      if (reply !== undefined) callback(null, reply)
    }])) as unknown as UntypedServiceImplementation)
  const port = await new Promise<number>((resolve) => { server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (_error, bound) => { resolve(bound) }) })
  closers.push(() => { server.forceShutdown() })
  return `127.0.0.1:${port}`
}

function clientOf (address: string, lines: object[] = []): LeaderClient {
  const channels = Channels.create()
  closers.push(() => { channels.close() })
  const logger = { debug: () => {}, info: () => {}, error: () => {}, warn: (event: string, fields?: object) => { lines.push({ event, ...fields }) } }
  return LeaderClient.create(KnownHosts.create([address]), channels, logger)
}

const refusalOf = (code: RefusalCode): Refusal => ({ code, message: code, verdict: WireVerdict.NOT_RUN, retryCanHelp: false, retryAfterMilliseconds: 0, leader: '', problems: [] })

/** Replies from the second call on. */
function fromSecondCall (reply: object): Reply {
  let calls = 0
  return () => {
    calls += 1
    return calls > 1 ? reply : undefined
  }
}

/** Codes that a leader gives to one copy of a request; a host that does not lead is not asked for a refusal. */
const codes = Object.values(RefusalCode).filter((code) => code !== RefusalCode.NotLeader)
const submission = { operation: QueueOperation.SUBMIT, host: 'h', path: '/q/1', key: 'k', job: { payload: '', steps: [] }, timeoutMilliseconds: 3_000 }

async function verdictOfSubmission (reply: Reply, operation: QueueOperation, lines: object[] = []): Promise<Verdict> {
  const client = QueueClient.create(clientOf(await startLeader({ queue: reply }), lines))
  return (await client.callByAddress({ ...submission, operation }))._unsafeUnwrapErr().verdict
}

// Guards against a submission that is refused with 401 or 404 as not-run although an earlier copy was accepted and runs.
test('after a try without an answer, only refusals that hold for every copy say not-run', async () => {
  const verdicts = async (operation: QueueOperation): Promise<object> => Object.fromEntries(await Promise.all(codes.map(async (code) =>
    [code, await verdictOfSubmission(fromSecondCall(QueueReply.fromPartial({ refusal: refusalOf(code) })), operation)] as const)))
  const submitted = await verdicts(QueueOperation.SUBMIT)
  expect(submitted).toMatchInlineSnapshot(`
    {
      "account-closed": "may-have-run",
      "bad-request": "may-have-run",
      "cancelled": "may-have-run",
      "conflict": "may-have-run",
      "deadline-passed": "may-have-run",
      "forbidden": "may-have-run",
      "identifier-reused": "not-run",
      "impossible-shape": "may-have-run",
      "invalid-document": "may-have-run",
      "not-found": "not-run",
      "over-limit": "may-have-run",
      "queue-full": "may-have-run",
      "stopping": "may-have-run",
      "too-large": "may-have-run",
      "unauthorized": "may-have-run",
      "unavailable": "may-have-run",
      "unknown-account": "may-have-run",
      "unknown-queue": "may-have-run",
    }
  `)
  expect(await verdicts(QueueOperation.CANCEL)).toEqual(submitted)
})

test('a refusal of the only copy says not-run at once, whatever its code', async () => {
  const startedAt = performance.now()
  const verdicts = await Promise.all(codes.map(async (code) => await verdictOfSubmission(() => QueueReply.fromPartial({ refusal: refusalOf(code) }), QueueOperation.SUBMIT)))
  expect(new Set(verdicts)).toEqual(new Set([Verdict.NotRun]))
  expect(performance.now() - startedAt).toBeLessThan(600)
})

test('a read that is sent again is refused as not-run, because it changes nothing', async () => {
  const reply = fromSecondCall(QueueReply.fromPartial({ refusal: refusalOf(RefusalCode.Unauthorized) }))
  expect(await verdictOfSubmission(reply, QueueOperation.SHOW)).toBe(Verdict.NotRun)
})

test('the log line of the entry tells a refusal after a try without an answer from a first one', async () => {
  const lines: object[] = []
  const refusal = QueueReply.fromPartial({ refusal: refusalOf(RefusalCode.Unauthorized) })
  await verdictOfSubmission(() => refusal, QueueOperation.SUBMIT, lines)
  expect(lines).toEqual([])
  await verdictOfSubmission(fromSecondCall(refusal), QueueOperation.SUBMIT, lines)
  expect(lines).toMatchObject([{ event: 'request-refused', job: '1', operation: 'submit', code: 'unauthorized', verdict: 'may-have-run' }])
})

test('a queue document that is refused after a try without an answer may be in force', async () => {
  const client = QueueClient.create(clientOf(await startLeader({ replaceDocument: fromSecondCall({ refusal: refusalOf(RefusalCode.InvalidDocument), number: 0, source: '' }) })))
  const refused = await client.replaceDocument(2, { queues: [], services: [], accounts: [] }, '')
  expect(refused._unsafeUnwrapErr()).toMatchObject({ code: 'invalid-document', verdict: Verdict.MayHaveRun })
})

test('a change of the configuration that is refused after a try without an answer may be in force, and the refusal keeps the numbers', async () => {
  const reply = ConfigurationReply.fromPartial({ refusal: refusalOf(RefusalCode.Conflict), sections: [{ section: 'jobs', number: 7 }] })
  const client = clientOf(await startLeader({ putConfiguration: fromSecondCall(reply) }))
  const answer = await client.call(ControlService.putConfiguration, { team: 't', requestIdentifier: 'r', read: [], sectionsJson: '{}' }, CallKind.Repeatable)
  expect(answer._unsafeUnwrap()).toMatchObject({ refusal: { code: 'conflict', verdict: WireVerdict.MAY_HAVE_RUN }, sections: [{ number: 7 }] })
})

// Guards against an evacuation that is carried out a second time, after another operator has undone the first one.
test('an evacuation whose copy may have been committed is not sent with a newer change count', async () => {
  let orders = 0
  const address = await startLeader({
    listEvacuations: () => EvacuationList.fromPartial({ changeCount: orders }),
    changeEvacuation: () => {
      orders += 1
      return orders === 1 ? undefined : EvacuationReply.fromPartial(orders === 2 ? { refusal: refusalOf(RefusalCode.Conflict) } : {})
    }
  })
  const refused = await EvacuationClient.create(clientOf(address)).change({ dataCentre: 'a', evacuate: true })
  expect(refused._unsafeUnwrapErr()).toMatchObject({ code: 'conflict', verdict: Verdict.MayHaveRun })
  expect(orders).toBe(2)
})
