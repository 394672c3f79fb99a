import { createHash } from 'node:crypto'
import {
  Level, notRunRefusal, RefusalCode, Urgency, Verdict, type Content, type Job, type JobSpecification, type Refusal, type Shape
} from '../core/index'
import * as wire from '../wire/index'

const verdictToWire: { readonly [verdict in Verdict]: wire.Verdict } = {
  [Verdict.NotRun]: wire.Verdict.NOT_RUN,
  [Verdict.MayHaveRun]: wire.Verdict.MAY_HAVE_RUN,
  [Verdict.Ran]: wire.Verdict.RAN
}

const verdictFromWire: { readonly [verdict in wire.Verdict]: Verdict } = {
  [wire.Verdict.VERDICT_UNSPECIFIED]: Verdict.MayHaveRun,
  [wire.Verdict.NOT_RUN]: Verdict.NotRun,
  [wire.Verdict.MAY_HAVE_RUN]: Verdict.MayHaveRun,
  [wire.Verdict.RAN]: Verdict.Ran
}

/**
 * Converts a verdict to its wire form.
 * @param verdict - the core's verdict
 * @returns the wire's verdict
 */
export function toWireVerdict (verdict: Verdict): wire.Verdict {
  return verdictToWire[verdict]
}

/**
 * Converts a verdict from its wire form; an unknown one counts as may-have-run.
 * @param verdict - the wire's verdict
 * @returns the core's verdict
 */
export function fromWireVerdict (verdict: wire.Verdict): Verdict {
  return verdictFromWire[verdict] ?? Verdict.MayHaveRun
}

/**
 * Converts a refusal to its wire form.
 * @param refusal - the core's refusal
 * @param leader - the leader's address, where the host that refuses is not the leader
 * @returns the wire message
 */
export function toWireRefusal (refusal: Refusal, leader = ''): wire.Refusal {
  return {
    code: refusal.code,
    message: refusal.message,
    verdict: toWireVerdict(refusal.verdict),
    retryCanHelp: refusal.retryCanHelp,
    retryAfterMilliseconds: refusal.retryAfter,
    leader,
    problems: [...refusal.problems ?? []]
  }
}

/** Time after which a retry may find the next leader, in milliseconds. */
const LEADER_RETRY_AFTER_MILLISECONDS = 50

/**
 * Makes the refusal of a host that does not lead.
 * @param leader - the leader's address, where it is known
 * @returns the refusal
 */
export function notLeaderRefusal (leader = ''): wire.Refusal {
  return toWireRefusal(notRunRefusal(RefusalCode.NotLeader, 'this control host does not lead', LEADER_RETRY_AFTER_MILLISECONDS), leader)
}

/**
 * Converts a payload or answer to its wire form.
 * @param content - the core's content
 * @returns the wire message
 */
export function toWireContent (content: Content): wire.Content {
  return { contentType: content.contentType, body: Buffer.from(content.base64, 'base64'), digest: Buffer.from(content.digest, 'hex') }
}

/**
 * Converts a payload or answer from its wire form.
 * @param content - the wire message
 * @returns the core's content, or undefined where the digest does not match the body
 */
export function fromWireContent (content: wire.Content): Content | undefined {
  const digest = createHash('sha256').update(content.body).digest('hex')
  if (Buffer.from(content.digest).toString('hex') !== digest) return undefined
  return { contentType: content.contentType, base64: Buffer.from(content.body).toString('base64'), digest }
}

/**
 * Converts a job request from its wire form.
 * @param job - the wire message
 * @returns the core's specification
 */
export function fromWireJob (job: wire.JobRequest): JobSpecification {
  return {
    account: job.account,
    kind: job.kind,
    shape: fromWireShape(job.shape),
    idempotent: job.idempotent,
    checkpointable: job.checkpointable,
    urgency: enumMember(Urgency, job.urgency) ?? Urgency.Normal,
    deadline: job.deadline,
    declaredSeconds: job.declaredSeconds,
    payload: {
      contentType: job.payload?.contentType ?? 'application/octet-stream',
      base64: Buffer.from(job.payload?.body ?? new Uint8Array()).toString('base64')
    }
  }
}

function fromWireShape (shape: wire.Shape | undefined): Shape {
  return {
    workers: shape?.workers ?? 1,
    accelerators: shape?.accelerators ?? 0,
    slots: shape?.slots ?? 1,
    processors: shape?.processors ?? 1,
    memoryMegabytes: shape?.memoryMegabytes ?? 0,
    within: enumMember(Level, shape?.within ?? '') ?? Level.DataCentre
  }
}

function enumMember<Value extends string> (values: { readonly [name: string]: Value }, text: string): Value | undefined {
  return Object.values(values).find((value) => value === text)
}

/**
 * Makes the report of a job for callers and operators.
 * @param job - the job
 * @param withAnswer - false to leave the answer out
 * @returns the report
 */
export function toReport (job: Job, withAnswer = true): wire.JobReport {
  return {
    refusal: undefined,
    identifier: job.identifier,
    account: job.specification.account,
    state: job.state,
    attempt: job.attempts,
    reason: job.end?.reason ?? job.attempt?.stopReason ?? job.attempt?.reason ?? '',
    verdict: job.end === undefined ? wire.Verdict.VERDICT_UNSPECIFIED : toWireVerdict(job.end.verdict),
    answer: withAnswer && job.end?.answer !== undefined ? toWireContent(job.end.answer) : undefined,
    acceptedAt: job.acceptedAt,
    endedAt: job.end?.at ?? 0,
    workers: job.attempt?.members.map((one) => one.worker) ?? [],
    message: job.end?.message ?? ''
  }
}

/**
 * Makes a report that holds only a refusal.
 * @param refusal - the refusal
 * @param identifier - the requested job
 * @returns the report
 */
export function refusalReport (refusal: wire.Refusal, identifier: string): wire.JobReport {
  return wire.JobReport.fromPartial({ refusal, identifier, verdict: refusal.verdict })
}
