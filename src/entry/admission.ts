import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import { Section } from '../core/document'
import { notRunRefusal, RefusalCode, type Refusal } from '../core/verdict'
import { bearerFromBasicAuth, PrincipalKind, type Authenticator, type Caller, type Operator, type Principal } from './authenticator'
import type { ConfigurationCopy } from '../core/configuration-copy'
import type { FairLimiter } from './fair-limiter'
import type { EntryMetrics } from './metrics'
import type { OpenRequests } from './open-requests'
import { RefusalError, sendRefusal } from './refusal-answer'

const RETRY_AFTER_MILLISECONDS = 1_000
/** Upper limit on the size of a submission apart from its payload. */
const MAX_FIELDS_BYTES = 16_384
/** Base64 encodes three bytes as four characters. */
const BASE64_EXPANSION = 4 / 3

/** Dependencies of request admission. */
export interface AdmissionContext {
  readonly authenticator: Authenticator
  readonly configuration: ConfigurationCopy
  readonly limiter: FairLimiter
  readonly metrics: EntryMetrics
  readonly openRequests: OpenRequests
}

/** The only path that accepts HTTP Basic credentials from a browser's password prompt; it is read-only. */
export const PAGE_PATH = '/page'

const unauthenticatedPaths = new Set(['/healthz', '/readyz'])
const principals = new WeakMap<FastifyRequest, Principal>()

/**
 * Returns whether the body of a request is read.
 * @param request - the request
 * @returns false for paths that need no token: anybody can send to them, and they have no use for a body
 */
export function takesBody (request: FastifyRequest): boolean {
  return !unauthenticatedPaths.has(pathOf(request))
}

function pathOf (request: FastifyRequest): string {
  return request.url.split('?', 1)[0] ?? ''
}

type AdmissionCheck = (request: FastifyRequest, context: AdmissionContext) => Refusal | undefined

function checkStopping (request: FastifyRequest, { openRequests }: AdmissionContext): Refusal | undefined {
  if (!openRequests.isStopping) return undefined
  return notRunRefusal(RefusalCode.Stopping, 'this entry is stopping; send the request to another entry', RETRY_AFTER_MILLISECONDS)
}

function checkConfiguration (request: FastifyRequest, { configuration }: AdmissionContext): Refusal | undefined {
  if (configuration.isConfirmed(Date.now())) return undefined
  return notRunRefusal(RefusalCode.Unavailable, 'this entry has no confirmed copy of the configuration', RETRY_AFTER_MILLISECONDS)
}

function authenticateRequest (request: FastifyRequest, { authenticator, configuration }: AdmissionContext): Refusal | undefined {
  const { authorization } = request.headers
  const header = pathOf(request) === PAGE_PATH ? bearerFromBasicAuth(authorization) : authorization
  const principal = authenticator.authenticate(header, configuration.document)
  if (principal === undefined) return notRunRefusal(RefusalCode.Unauthorized, 'a valid bearer token is required')
  principals.set(request, principal)
  return undefined
}

function checkContentLength (request: FastifyRequest, { configuration }: AdmissionContext): Refusal | undefined {
  if (request.method !== 'POST' || pathOf(request) !== '/jobs') return undefined
  const length = Number(request.headers['content-length'] ?? 0)
  const maxBytes = Math.ceil(configuration.document.limits.payloadBytes * BASE64_EXPANSION) + MAX_FIELDS_BYTES
  if (length <= maxBytes) return undefined
  return notRunRefusal(RefusalCode.TooLarge, 'the request body is too large', 0, [{ path: '', value: `${length} bytes`, expected: `at most ${maxBytes} bytes` }])
}

/** Run in this order: the cheapest checks, and those that need the least information, come first. */
const checks: readonly AdmissionCheck[] = [checkStopping, checkConfiguration, authenticateRequest, checkContentLength]

function refusalFor (request: FastifyRequest, context: AdmissionContext): Refusal | undefined {
  for (const check of checks) {
    const refusal = check(request, context)
    if (refusal !== undefined) return refusal
  }
  return undefined
}

function countOpenRequest (request: FastifyRequest, reply: FastifyReply, limiter: FairLimiter): Refusal | undefined {
  const principal = principals.get(request)
  if (principal?.kind !== PrincipalKind.Caller) return undefined
  return limiter.openRequest(principal.account).match((release) => {
    reply.raw.once('close', release)
    return undefined
  }, (refusal) => refusal)
}

function admit (request: FastifyRequest, reply: FastifyReply, context: AdmissionContext): FastifyReply | undefined {
  if (unauthenticatedPaths.has(pathOf(request))) return undefined
  const refusal = refusalFor(request, context) ?? countOpenRequest(request, reply, context.limiter)
  if (refusal === undefined) {
    context.openRequests.add(reply)
    return undefined
  }
  if (context.openRequests.isStopping) reply.header('connection', 'close')
  if (refusal.code === RefusalCode.Unauthorized) reply.header('www-authenticate', pathOf(request) === PAGE_PATH ? 'Basic realm="bramleyflow"' : 'Bearer')
  return sendRefusal(reply, refusal)
}

/**
 * Admits or refuses each request by its headers, before its body is read.
 * @param server - the HTTP server
 * @param context - what the checks use
 */
export function addAdmission (server: FastifyInstance, context: AdmissionContext): void {
  server.addHook('onRequest', async (request, reply) => admit(request, reply, context))
  server.addHook('onResponse', async (request, reply) => {
    if (unauthenticatedPaths.has(pathOf(request))) return
    context.metrics.recordAnswer(principals.get(request), request.method, reply.statusCode, reply.elapsedTime)
  })
}

/**
 * Returns the authenticated sender of an admitted request.
 * @param request - the request
 * @returns the caller or operator; throws a refusal when there is none
 */
export function principalOf (request: FastifyRequest): Principal {
  const principal = principals.get(request)
  if (principal === undefined) throw new RefusalError(notRunRefusal(RefusalCode.Unauthorized, 'a valid bearer token is required'))
  return principal
}

/**
 * Returns the caller that sent a request.
 * @param request - the request
 * @returns the caller; throws a refusal when an operator sent the request
 */
export function callerOf (request: FastifyRequest): Caller {
  const principal = principalOf(request)
  if (principal.kind === PrincipalKind.Caller) return principal
  throw new RefusalError(notRunRefusal(RefusalCode.Forbidden, 'this request needs the token of a client account'))
}

/**
 * Returns the operator that sent a request.
 * @param request - the request
 * @returns the operator; throws a refusal when a caller sent the request
 */
export function operatorOf (request: FastifyRequest): Operator {
  const principal = principalOf(request)
  if (principal.kind === PrincipalKind.Operator) return principal
  throw new RefusalError(notRunRefusal(RefusalCode.Forbidden, 'this request needs the token of an operators\' team'))
}

/**
 * Returns the team of an operator that may change control hosts and evacuations.
 * @param request - the request
 * @returns the name of the team; throws a refusal where it may not write the maintenance section
 */
export function maintainerOf (request: FastifyRequest): string {
  const { team, sections } = operatorOf(request)
  if (sections.includes(Section.Maintenance)) return team
  throw new RefusalError(notRunRefusal(RefusalCode.Forbidden, 'only a team that may write the maintenance section may do this'))
}

/**
 * Returns the account whose jobs a request may access.
 * @param request - the request
 * @returns the caller's account; empty for operators, who may access the jobs of all accounts
 */
export function accountOf (request: FastifyRequest): string {
  const principal = principalOf(request)
  return principal.kind === PrincipalKind.Caller ? principal.account : ''
}
