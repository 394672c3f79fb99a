import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import { notRun, RefusalCode, type Refusal } from '../core/verdict'
import { bearerOfBrowser, PrincipalKind, type Access, type Caller, type Operator, type Principal } from './access'
import type { ConfigurationCopy } from '../core/configuration-copy'
import type { FairGate } from './fair-gate'
import type { EntryMetrics } from './metrics'
import type { OpenRequests } from './open-requests'
import { RefusalError, sendRefusal } from './refusal-answer'

const RETRY_AFTER_MILLISECONDS = 1_000
/** Room for a submission's fields beside its payload, in bytes. */
const FIELDS_BYTES = 16_384
/** Base64 makes four characters of three bytes. */
const BASE64_GROWTH = 4 / 3

/** What the admission of requests works with. */
export interface AdmissionParts {
  readonly access: Access
  readonly copy: ConfigurationCopy
  readonly gate: FairGate
  readonly metrics: EntryMetrics
  readonly open: OpenRequests
}

/** The only path that a browser's own password prompt opens, because it changes nothing. */
export const PAGE_PATH = '/page'

const openPaths = new Set(['/healthz', '/readyz'])
const principals = new WeakMap<FastifyRequest, Principal>()

function pathOf (request: FastifyRequest): string {
  return request.url.split('?', 1)[0] ?? ''
}

type Check = (request: FastifyRequest, parts: AdmissionParts) => Refusal | undefined

function checkStopping (request: FastifyRequest, { open }: AdmissionParts): Refusal | undefined {
  if (!open.isStopping) return undefined
  return notRun(RefusalCode.Stopping, 'this entry stops; another one takes the request', RETRY_AFTER_MILLISECONDS)
}

function checkCopy (request: FastifyRequest, { copy }: AdmissionParts): Refusal | undefined {
  if (copy.isConfirmed(Date.now())) return undefined
  return notRun(RefusalCode.Unavailable, 'this entry has no confirmed copy of the configuration', RETRY_AFTER_MILLISECONDS)
}

function checkPrincipal (request: FastifyRequest, { access, copy }: AdmissionParts): Refusal | undefined {
  const { authorization } = request.headers
  const principal = access.principalOf(pathOf(request) === PAGE_PATH ? bearerOfBrowser(authorization) : authorization, copy.document)
  if (principal === undefined) return notRun(RefusalCode.Unauthorized, 'a known bearer token is needed')
  principals.set(request, principal)
  return undefined
}

function checkLength (request: FastifyRequest, { copy }: AdmissionParts): Refusal | undefined {
  if (request.method !== 'POST' || pathOf(request) !== '/jobs') return undefined
  const length = Number(request.headers['content-length'] ?? 0)
  const most = Math.ceil(copy.document.limits.payloadBytes * BASE64_GROWTH) + FIELDS_BYTES
  if (length <= most) return undefined
  return notRun(RefusalCode.TooLarge, 'the body is too large', 0, [{ path: '', value: `${length} bytes`, expected: `at most ${most} bytes` }])
}

/** In order: what is cheapest to refuse, and needs least to be known, comes first. */
const checks: readonly Check[] = [checkStopping, checkCopy, checkPrincipal, checkLength]

function refusalFor (request: FastifyRequest, parts: AdmissionParts): Refusal | undefined {
  for (const check of checks) {
    const refusal = check(request, parts)
    if (refusal !== undefined) return refusal
  }
  return undefined
}

function enterGate (request: FastifyRequest, reply: FastifyReply, gate: FairGate): Refusal | undefined {
  const principal = principals.get(request)
  if (principal?.kind !== PrincipalKind.Caller) return undefined
  return gate.enter(principal.account).match((leave) => {
    reply.raw.once('close', leave)
    return undefined
  }, (refusal) => refusal)
}

function admit (request: FastifyRequest, reply: FastifyReply, parts: AdmissionParts): FastifyReply | undefined {
  if (openPaths.has(pathOf(request))) return undefined
  const refusal = refusalFor(request, parts) ?? enterGate(request, reply, parts.gate)
  if (refusal === undefined) {
    parts.open.add(reply)
    return undefined
  }
  if (parts.open.isStopping) reply.header('connection', 'close')
  if (refusal.code === RefusalCode.Unauthorized) reply.header('www-authenticate', pathOf(request) === PAGE_PATH ? 'Basic realm="bramleyflow"' : 'Bearer')
  return sendRefusal(reply, refusal)
}

/**
 * Judges each request by its head, before its body is read.
 * @param server - the HTTP server
 * @param parts - what the admission works with
 */
export function addAdmission (server: FastifyInstance, parts: AdmissionParts): void {
  server.addHook('onRequest', async (request, reply) => admit(request, reply, parts))
  server.addHook('onResponse', async (request, reply) => {
    if (openPaths.has(pathOf(request))) return
    parts.metrics.answered(principals.get(request), request.method, reply.statusCode, reply.elapsedTime)
  })
}

/**
 * Who sent a request that was admitted.
 * @param request - the request
 * @returns the caller or operator; throws the refusal where there is none
 */
export function principalOf (request: FastifyRequest): Principal {
  const principal = principals.get(request)
  if (principal === undefined) throw new RefusalError(notRun(RefusalCode.Unauthorized, 'a known bearer token is needed'))
  return principal
}

/**
 * The caller that sent a request.
 * @param request - the request
 * @returns the caller; throws the refusal where an operator sent it
 */
export function callerOf (request: FastifyRequest): Caller {
  const principal = principalOf(request)
  if (principal.kind === PrincipalKind.Caller) return principal
  throw new RefusalError(notRun(RefusalCode.Forbidden, 'only a client account may do this'))
}

/**
 * The operator that sent a request.
 * @param request - the request
 * @returns the operator; throws the refusal where a caller sent it
 */
export function operatorOf (request: FastifyRequest): Operator {
  const principal = principalOf(request)
  if (principal.kind === PrincipalKind.Operator) return principal
  throw new RefusalError(notRun(RefusalCode.Forbidden, 'only a team of operators may do this'))
}

/**
 * The account whose jobs a request may see.
 * @param request - the request
 * @returns the caller's account, empty for operators, who may see all
 */
export function accountOf (request: FastifyRequest): string {
  const principal = principalOf(request)
  return principal.kind === PrincipalKind.Caller ? principal.account : ''
}
