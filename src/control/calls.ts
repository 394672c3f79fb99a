import type { sendUnaryData, ServerUnaryCall, ServerWritableStream, UntypedServiceImplementation } from '@grpc/grpc-js'
import {
  checkPut, consequenceLines, documentDigest, hasEnded, notRun, Reason, RefusalCode, storedAnswer, TransactionKind, type Job, type Refusal, type Section, type State
} from '../core/index'
import * as wire from '../wire/index'
import type { AgentCall } from './agents'
import { fromWireJob, notLeaderRefusal, refusalReport, toReport, toWireRefusal } from './convert'
import type { FollowerCall } from './followers'
import { answerQueue, readDocument, replaceDocument, type QueuePorts } from './queue-calls'
import type { SupervisorCall } from './supervisors'
import type { Waiters } from './waiters'

/** What the calls need of their control host. */
export interface CallPorts extends QueuePorts {
  /** The state with all proposed entries applied. */
  readonly head: () => State
  readonly attach: (call: AgentCall) => void
  readonly follow: (call: FollowerCall) => void
  readonly supervise: (call: SupervisorCall) => void
  readonly countRefusal: (account: string, refusal: Refusal) => void
  readonly status: () => wire.StatusReply
  /** Addresses of the present control hosts. */
  readonly controlHosts: () => readonly string[]
  readonly changeMembers: (request: wire.ChangeMembersRequest) => Promise<wire.ChangeMembersReply>
  readonly recordFrom: (sequence: number) => Iterable<string>
  readonly waiters: Waiters
}

/** Record lines sent in one message at most. */
const RECORD_LINES_PER_MESSAGE = 200

type Reports<Request> = ServerWritableStream<Request, wire.JobReport>
type Unary<Request, Reply> = (call: ServerUnaryCall<Request, Reply>, callback: sendUnaryData<Reply>) => void

/**
 * The calls that entries and agents make.
 * @param ports - the control host
 * @returns the implementation of the Control service
 */
export function controlCalls (ports: CallPorts): UntypedServiceImplementation {
  const implementation: wire.ControlServer = {
    attach: (call) => { ports.attach(call) },
    follow: (call) => { ports.follow(call) },
    submit: (call) => { void submit(ports, call) },
    await: (call) => { void awaitJob(ports, call) },
    show: unary(ports, ({ identifier, account }) => Promise.resolve(show(ports, identifier, account)), (refusal) => refusalReport(refusal, '')),
    list: unary(ports, (request) => Promise.resolve(list(ports, request)), (refusal) => ({ refusal, jobs: [] })),
    cancel: unary(ports, (request) => cancel(ports, request), (refusal) => ({ refusal, jobs: [] })),
    putConfiguration: unary(ports, (request) => putConfiguration(ports, request), configurationRefusal),
    checkConfiguration: unary(ports, (request) => Promise.resolve(checkConfiguration(ports, request)), configurationRefusal),
    getConfiguration: unary(ports, () => Promise.resolve(configurationReply(ports.committed())), configurationRefusal),
    status: (call, callback) => { void status(ports, call.request).then((reply) => { callback(null, reply) }) },
    changeMembers: unary(ports, (request) => ports.changeMembers(request), (refusal) => ({ refusal, members: [] })),
    exportRecord: (call) => { exportRecord(ports, call) },
    supervise: (call) => { ports.supervise(call) },
    confirm: unary<wire.ConfirmRequest, wire.ConfirmReply>(ports, () => Promise.resolve({ refusal: undefined, controlHosts: [...ports.controlHosts()] }), (refusal) => ({ refusal, controlHosts: [] })),
    queue: direct((request) => answerQueue(ports, request)),
    replaceDocument: direct((request) => replaceDocument(ports, request)),
    readDocument: direct(() => readDocument(ports))
  }
  return implementation as unknown as UntypedServiceImplementation
}

/** Answers without confirming leadership first: the handler sees to it. */
function direct<Request, Reply> (handle: (request: Request) => Promise<Reply>): Unary<Request, Reply> {
  return (call, callback) => {
    handle(call.request).then((reply) => { callback(null, reply) }, (error: Error) => { callback(error) })
  }
}

/** Answers on the leader, after it confirmed its leadership; else refuses with the leader's address. */
function unary<Request, Reply> (ports: CallPorts, handle: (request: Request) => Promise<Reply>, refused: (refusal: wire.Refusal) => Reply): Unary<Request, Reply> {
  return (call, callback) => {
    void (async () => {
      if (!ports.leads() || !await ports.confirm()) { callback(null, refused(notLeader(ports))); return }
      callback(null, await handle(call.request))
    })().catch((error: Error) => { callback(error) })
  }
}

function notLeader (ports: CallPorts): wire.Refusal {
  return notLeaderRefusal(ports.leader())
}

async function submit (ports: CallPorts, call: Reports<wire.SubmitRequest>): Promise<void> {
  const { job, wait } = call.request
  if (job === undefined || !ports.leads()) { finishReports(call, refusalReport(notLeader(ports), job?.identifier ?? '')); return }
  const specification = fromWireJob(job)
  const outcome = await ports.submit({ kind: TransactionKind.AcceptJob, at: ports.now(), identifier: job.identifier, specification })
  if (outcome.isErr()) {
    ports.countRefusal(specification.account, outcome.error)
    finishReports(call, refusalReport(toWireRefusal(outcome.error, ports.leader()), job.identifier))
    return
  }
  const accepted = ports.committed().jobs.get(job.identifier)
  if (accepted === undefined) finishReports(call, refusalReport(notLeader(ports), job.identifier))
  else follow(ports, call, accepted, wait)
}

async function awaitJob (ports: CallPorts, call: Reports<wire.JobQuery>): Promise<void> {
  const { identifier, account } = call.request
  if (!ports.leads() || !await ports.confirm()) { finishReports(call, refusalReport(notLeader(ports), identifier)); return }
  const job = findJob(ports, identifier, account)
  if (job === undefined) finishReports(call, refusalReport(unknownJob(identifier), identifier))
  else follow(ports, call, job, true)
}

function follow<Request> (ports: CallPorts, call: Reports<Request>, job: Job, wait: boolean): void {
  call.write(toReport(job))
  if (!wait || hasEnded(job)) { call.end(); return }
  const leave = ports.waiters.add(job.identifier, {
    report: (moved) => {
      call.write(toReport(moved))
      if (hasEnded(moved)) call.end()
    },
    abandon: () => { finishReports(call, refusalReport(notLeader(ports), job.identifier)) }
  })
  call.on('cancelled', leave)
  call.on('error', leave)
}

function finishReports<Request> (call: Reports<Request>, report: wire.JobReport): void {
  call.write(report)
  call.end()
}

function findJob (ports: CallPorts, identifier: string, account: string): Job | undefined {
  const job = ports.committed().jobs.get(identifier)
  return job !== undefined && (account === '' || job.specification.account === account) ? job : undefined
}

function unknownJob (identifier: string): wire.Refusal {
  return toWireRefusal(notRun(RefusalCode.NotFound, `no job ${identifier}: it was never accepted, or its retention is over`))
}

function show (ports: CallPorts, identifier: string, account: string): wire.JobReport {
  const job = findJob(ports, identifier, account)
  return job === undefined ? refusalReport(unknownJob(identifier), identifier) : toReport(job)
}

function list (ports: CallPorts, { account, state, limit }: wire.ListRequest): wire.ListReply {
  const jobs: wire.JobReport[] = []
  for (const job of ports.committed().jobs.values()) {
    if ((account !== '' && job.specification.account !== account) || (state !== '' && job.state !== state)) continue
    jobs.push(toReport(job, false))
    if (limit > 0 && jobs.length >= limit) break
  }
  return { refusal: undefined, jobs: jobs.sort((one, other) => one.acceptedAt - other.acceptedAt) }
}

async function cancel (ports: CallPorts, { identifiers, account }: wire.CancelRequest): Promise<wire.CancelReply> {
  const outcome = await ports.submit({ kind: TransactionKind.CancelJobs, at: ports.now(), jobs: identifiers, account, reason: Reason.CancelledByCaller })
  if (outcome.isErr()) return { refusal: toWireRefusal(outcome.error, ports.leader()), jobs: [] }
  return { refusal: undefined, jobs: identifiers.map((identifier) => show(ports, identifier, account)) }
}

async function putConfiguration (ports: CallPorts, request: wire.PutConfigurationRequest): Promise<wire.ConfigurationReply> {
  const checked = checkPut(ports.head(), request)
  if (checked.isErr()) return refusedPut(ports, checked.error)
  const { transaction, answered } = checked.value
  // A resend is proposed like the first try, so that its answer waits for the commit of the entry it repeats.
  const outcome = await ports.submit({ ...transaction, at: ports.now() })
  if (outcome.isErr()) return refusedPut(ports, outcome.error)
  const { configuration } = ports.committed()
  const answer = answered ?? storedAnswer(configuration, request.team, request.requestIdentifier)
  const reply = configurationReply(ports.committed())
  if (answer === undefined) return reply
  return { ...reply, number: answer.number, digest: answer.documentDigest, consequences: [...answer.consequences] }
}

function checkConfiguration (ports: CallPorts, request: wire.PutConfigurationRequest): wire.ConfigurationReply {
  const checked = checkPut(ports.committed(), request)
  if (checked.isErr()) return refusedPut(ports, checked.error)
  return { ...configurationReply(ports.committed()), consequences: consequenceLines(checked.value.consequences) }
}

/** The refusal with the numbers in force, so that the writer need not ask for them. */
function refusedPut (ports: CallPorts, refusal: Refusal): wire.ConfigurationReply {
  return { ...configurationReply(ports.committed()), refusal: toWireRefusal(refusal, ports.leader()), documentJson: '' }
}

function configurationRefusal (refusal: wire.Refusal): wire.ConfigurationReply {
  return wire.ConfigurationReply.fromPartial({ refusal })
}

function configurationReply (state: State): wire.ConfigurationReply {
  const { number, document, sectionNumbers } = state.configuration
  const sections = (Object.keys(document) as Section[]).map((section) => ({ section, number: sectionNumbers.get(section) ?? 0 }))
  return { refusal: undefined, number, sections, documentJson: JSON.stringify(document), consequences: [], digest: documentDigest(document) }
}

async function status (ports: CallPorts, request: wire.StatusRequest): Promise<wire.StatusReply> {
  const reply = ports.status()
  if (request.confirm && !(ports.leads() && await ports.confirm())) return { ...reply, refusal: notLeader(ports) }
  return reply
}

function exportRecord (ports: CallPorts, call: ServerWritableStream<wire.ExportRecordRequest, wire.RecordLines>): void {
  let lines: string[] = []
  const flush = (): void => {
    call.write({ refusal: undefined, lines })
    lines = []
  }
  for (const line of ports.recordFrom(call.request.from)) {
    lines.push(line)
    if (lines.length >= RECORD_LINES_PER_MESSAGE) flush()
  }
  if (lines.length > 0) flush()
  call.end()
}
