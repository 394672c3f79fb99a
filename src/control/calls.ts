import type { sendUnaryData, ServerUnaryCall, ServerWritableStream, UntypedServiceImplementation } from '@grpc/grpc-js'
import {
  checkPut, consequenceLines, documentDigest, hasEnded, notRunRefusal, Reason, RefusalCode, storedAnswer, TransactionKind, type Job, type Refusal, type Section, type State
} from '../core/index'
import * as wire from '../wire/index'
import type { AgentCall } from './agents'
import { fromWireJob, notLeaderRefusal, refusalReport, toReport, toWireRefusal } from './convert'
import type { ConfigurationCall } from './configuration-followers'
import { changeEvacuation, listEvacuations } from './evacuation-calls'
import { handleQueueRequest, readDocument, replaceDocument, type QueueContext } from './queue-calls'
import type { SupervisorCall } from './supervisors'
import type { JobWaiters } from './job-waiters'

/** What the Control service needs of its control host. */
export interface CallContext extends QueueContext {
  readonly attach: (call: AgentCall) => void
  readonly follow: (call: ConfigurationCall) => void
  readonly supervise: (call: SupervisorCall) => void
  readonly countRefusal: (account: string, refusal: Refusal) => void
  readonly status: () => wire.StatusReply
  /** Addresses of the current control hosts. */
  readonly controlHosts: () => readonly string[]
  readonly changeMembers: (request: wire.ChangeMembersRequest) => Promise<wire.ChangeMembersReply>
  readonly recordFrom: (sequence: number) => Iterable<string>
  readonly waiters: JobWaiters
}

/** Lines of the audit record sent in one message. */
const RECORD_LINES_PER_MESSAGE = 200

type JobReportStream<Request> = ServerWritableStream<Request, wire.JobReport>
type UnaryHandler<Request, Reply> = (call: ServerUnaryCall<Request, Reply>, callback: sendUnaryData<Reply>) => void

/**
 * Creates the handlers of the Control service, which entries and agents call.
 * @param context - the control host
 * @returns the implementation of the Control service
 */
export function createControlService (context: CallContext): UntypedServiceImplementation {
  const implementation: wire.ControlServer = {
    attach: (call) => { context.attach(call) },
    follow: (call) => { context.follow(call) },
    submit: (call) => { void submit(context, call) },
    await: (call) => { void awaitJob(context, call) },
    show: confirmedCall(context, ({ identifier, account }) => Promise.resolve(show(context, identifier, account)), (refusal) => refusalReport(refusal, '')),
    list: confirmedCall(context, (request) => Promise.resolve(list(context, request)), (refusal) => ({ refusal, jobs: [] })),
    cancel: confirmedCall(context, (request) => cancel(context, request), (refusal) => ({ refusal, jobs: [] })),
    putConfiguration: confirmedCall(context, (request) => putConfiguration(context, request), refusalAsConfigurationReply),
    checkConfiguration: confirmedCall(context, (request) => Promise.resolve(checkConfiguration(context, request)), refusalAsConfigurationReply),
    getConfiguration: confirmedCall(context, () => Promise.resolve(configurationReply(context.committed())), refusalAsConfigurationReply),
    status: (call, callback) => { void status(context, call.request).then((reply) => { callback(null, reply) }) },
    changeMembers: confirmedCall(context, (request) => context.changeMembers(request), (refusal) => ({ refusal, members: [] })),
    exportRecord: (call) => { exportRecord(context, call) },
    supervise: (call) => { context.supervise(call) },
    confirm: confirmedCall<wire.ConfirmRequest, wire.ConfirmReply>(context, () => Promise.resolve({ refusal: undefined, controlHosts: [...context.controlHosts()] }), (refusal) => ({ refusal, controlHosts: [] })),
    queue: unconfirmedCall((request) => handleQueueRequest(context, request)),
    replaceDocument: unconfirmedCall((request) => replaceDocument(context, request)),
    readDocument: unconfirmedCall(() => readDocument(context)),
    listEvacuations: unconfirmedCall((request) => listEvacuations(context, request)),
    changeEvacuation: unconfirmedCall((request) => changeEvacuation(context, request))
  }
  return implementation as unknown as UntypedServiceImplementation
}

/** Makes a unary handler that leaves it to the function it calls to confirm leadership. */
function unconfirmedCall<Request, Reply> (handle: (request: Request) => Promise<Reply>): UnaryHandler<Request, Reply> {
  return (call, callback) => {
    handle(call.request).then((reply) => { callback(null, reply) }, (error: Error) => { callback(error) })
  }
}

/** Makes a unary handler that replies only after a quorum confirmed this host as leader, and otherwise refuses and names the leader. */
function confirmedCall<Request, Reply> (context: CallContext, handle: (request: Request) => Promise<Reply>, toReply: (refusal: wire.Refusal) => Reply): UnaryHandler<Request, Reply> {
  return (call, callback) => {
    void (async () => {
      if (!context.leads() || !await context.confirm()) { callback(null, toReply(refusalNamingLeader(context))); return }
      callback(null, await handle(call.request))
    })().catch((error: Error) => { callback(error) })
  }
}

function refusalNamingLeader (context: CallContext): wire.Refusal {
  return notLeaderRefusal(context.leader())
}

async function submit (context: CallContext, call: JobReportStream<wire.SubmitRequest>): Promise<void> {
  const { job, wait } = call.request
  if (job === undefined || !context.leads()) { endWithReport(call, refusalReport(refusalNamingLeader(context), job?.identifier ?? '')); return }
  const specification = fromWireJob(job)
  const outcome = await context.submit({ kind: TransactionKind.AcceptJob, at: context.now(), identifier: job.identifier, specification })
  if (outcome.isErr()) {
    context.countRefusal(specification.account, outcome.error)
    endWithReport(call, refusalReport(toWireRefusal(outcome.error, context.leader()), job.identifier))
    return
  }
  const accepted = context.committed().jobs.get(job.identifier)
  if (accepted === undefined) endWithReport(call, refusalReport(refusalNamingLeader(context), job.identifier))
  else streamReports(context, call, accepted, wait)
}

async function awaitJob (context: CallContext, call: JobReportStream<wire.JobQuery>): Promise<void> {
  const { identifier, account } = call.request
  if (!context.leads() || !await context.confirm()) { endWithReport(call, refusalReport(refusalNamingLeader(context), identifier)); return }
  const job = findJob(context, identifier, account)
  if (job === undefined) endWithReport(call, refusalReport(unknownJobRefusal(identifier), identifier))
  else streamReports(context, call, job, true)
}

function streamReports<Request> (context: CallContext, call: JobReportStream<Request>, job: Job, wait: boolean): void {
  call.write(toReport(job))
  if (!wait || hasEnded(job)) { call.end(); return }
  const unsubscribe = context.waiters.add(job.identifier, {
    report: (changed) => {
      call.write(toReport(changed))
      if (hasEnded(changed)) call.end()
    },
    abandon: () => { endWithReport(call, refusalReport(refusalNamingLeader(context), job.identifier)) }
  })
  call.on('cancelled', unsubscribe)
  call.on('error', unsubscribe)
}

function endWithReport<Request> (call: JobReportStream<Request>, report: wire.JobReport): void {
  call.write(report)
  call.end()
}

function findJob (context: CallContext, identifier: string, account: string): Job | undefined {
  const job = context.committed().jobs.get(identifier)
  return job !== undefined && (account === '' || job.specification.account === account) ? job : undefined
}

function unknownJobRefusal (identifier: string): wire.Refusal {
  return toWireRefusal(notRunRefusal(RefusalCode.NotFound, `no job ${identifier}: it was never accepted, or its retention is over`))
}

function show (context: CallContext, identifier: string, account: string): wire.JobReport {
  const job = findJob(context, identifier, account)
  return job === undefined ? refusalReport(unknownJobRefusal(identifier), identifier) : toReport(job)
}

function list (context: CallContext, { account, state, limit }: wire.ListRequest): wire.ListReply {
  const jobs: wire.JobReport[] = []
  for (const job of context.committed().jobs.values()) {
    if ((account !== '' && job.specification.account !== account) || (state !== '' && job.state !== state)) continue
    jobs.push(toReport(job, false))
    if (limit > 0 && jobs.length >= limit) break
  }
  return { refusal: undefined, jobs: jobs.sort((one, other) => one.acceptedAt - other.acceptedAt) }
}

async function cancel (context: CallContext, { identifiers, account }: wire.CancelRequest): Promise<wire.CancelReply> {
  const outcome = await context.submit({ kind: TransactionKind.CancelJobs, at: context.now(), jobs: identifiers, account, reason: Reason.CancelledByCaller })
  if (outcome.isErr()) return { refusal: toWireRefusal(outcome.error, context.leader()), jobs: [] }
  return { refusal: undefined, jobs: identifiers.map((identifier) => show(context, identifier, account)) }
}

async function putConfiguration (context: CallContext, request: wire.PutConfigurationRequest): Promise<wire.ConfigurationReply> {
  const checked = checkPut(context.head(), request)
  if (checked.isErr()) return putRefusal(context, checked.error)
  const { transaction, answered } = checked.value
  // A resend is proposed like the first request, so that its reply waits until the entry that it repeats is committed.
  const outcome = await context.submit({ ...transaction, at: context.now() })
  if (outcome.isErr()) return putRefusal(context, outcome.error)
  const { configuration } = context.committed()
  const answer = answered ?? storedAnswer(configuration, request.team, request.requestIdentifier)
  const reply = configurationReply(context.committed())
  if (answer === undefined) return reply
  return { ...reply, number: answer.number, digest: answer.documentDigest, consequences: [...answer.consequences] }
}

function checkConfiguration (context: CallContext, request: wire.PutConfigurationRequest): wire.ConfigurationReply {
  const checked = checkPut(context.committed(), request)
  if (checked.isErr()) return putRefusal(context, checked.error)
  return { ...configurationReply(context.committed()), consequences: consequenceLines(checked.value.consequences) }
}

/** Adds the numbers in force to the refusal, so that the client need not request them to try again. */
function putRefusal (context: CallContext, refusal: Refusal): wire.ConfigurationReply {
  return { ...configurationReply(context.committed()), refusal: toWireRefusal(refusal, context.leader()), documentJson: '' }
}

function refusalAsConfigurationReply (refusal: wire.Refusal): wire.ConfigurationReply {
  return wire.ConfigurationReply.fromPartial({ refusal })
}

function configurationReply (state: State): wire.ConfigurationReply {
  const { number, document, sectionNumbers } = state.configuration
  const sections = (Object.keys(document) as Section[]).map((section) => ({ section, number: sectionNumbers.get(section) ?? 0 }))
  return { refusal: undefined, number, sections, documentJson: JSON.stringify(document), consequences: [], digest: documentDigest(document) }
}

async function status (context: CallContext, request: wire.StatusRequest): Promise<wire.StatusReply> {
  const reply = context.status()
  if (request.confirm && !(context.leads() && await context.confirm())) return { ...reply, refusal: refusalNamingLeader(context) }
  return reply
}

function exportRecord (context: CallContext, call: ServerWritableStream<wire.ExportRecordRequest, wire.RecordLines>): void {
  let lines: string[] = []
  const flush = (): void => {
    call.write({ refusal: undefined, lines })
    lines = []
  }
  for (const line of context.recordFrom(call.request.from)) {
    lines.push(line)
    if (lines.length >= RECORD_LINES_PER_MESSAGE) flush()
  }
  if (lines.length > 0) flush()
  call.end()
}
