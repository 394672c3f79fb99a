import { createHash, randomUUID } from 'node:crypto'
import { Type, type Static } from '@sinclair/typebox'
import { err, ok, type Result } from 'neverthrow'
import { jobSpecificationSchema, type Limits } from '../core/document'
import { notRunRefusal, RefusalCode, type Refusal } from '../core/verdict'
import { checkAgainst, formatValue } from '../settings/index'
import type { JobRequest } from '../wire/index'

const IDENTIFIER_PATTERN = '^[A-Za-z0-9][A-Za-z0-9._-]*$'

/** Identifier of a job, which is also the caller's idempotency key. */
export const identifierSchema = Type.String({ minLength: 1, maxLength: 64, pattern: IDENTIFIER_PATTERN })

/** Body of a submission. It has no account, which follows from the token. */
export const submissionSchema = Type.Composite([
  Type.Object({ identifier: Type.Optional(identifierSchema) }),
  Type.Omit(jobSpecificationSchema, ['account'])
], { additionalProperties: false, $id: 'bramleyflow-submission', title: 'A job that a caller submits' })
/** See {@link submissionSchema}. */
export type Submission = Static<typeof submissionSchema>

const BASE64 = /^(?:[A-Za-z0-9+/]{4})*(?:[A-Za-z0-9+/]{2}==|[A-Za-z0-9+/]{3}=)?$/

/** What a submission is checked against besides its schema. */
export interface SubmissionContext {
  readonly account: string
  /** The Idempotency-Key header, if present. */
  readonly idempotencyKey: string | undefined
  readonly limits: Limits
  /** Milliseconds since the epoch. */
  readonly now: number
}

function badRequest (path: string, value: unknown, expected: string): Refusal {
  return notRunRefusal(RefusalCode.BadRequest, 'the request does not match the schema', 0, [{ path, value: formatValue(value), expected }])
}

function chooseIdentifier ({ identifier }: Submission, key: string | undefined): Result<string, Refusal> {
  if (key === undefined) return ok(identifier ?? randomUUID())
  if (identifier !== undefined && identifier !== key) {
    return err(badRequest('/identifier', identifier, 'the same as the Idempotency-Key header'))
  }
  return checkAgainst(identifierSchema, key).mapErr(() => badRequest('/identifier', key, `an Idempotency-Key matching ${IDENTIFIER_PATTERN}`))
}

function decodePayload ({ payload }: Submission, limits: Limits): Result<Buffer, Refusal> {
  if (!BASE64.test(payload.base64)) return err(badRequest('/payload/base64', payload.base64, 'base64 with padding'))
  const body = Buffer.from(payload.base64, 'base64')
  if (body.length <= limits.payloadBytes) return ok(body)
  const problem = { path: '/payload/base64', value: `${body.length} bytes`, expected: `at most ${limits.payloadBytes} bytes` }
  return err(notRunRefusal(RefusalCode.TooLarge, 'the payload is too large', 0, [problem]))
}

function checkDeadline ({ deadline }: Submission, now: number): Result<void, Refusal> {
  if (deadline === 0 || deadline > now) return ok(undefined)
  const problem = { path: '/deadline', value: String(deadline), expected: `a time after ${now}, or 0` }
  return err(notRunRefusal(RefusalCode.DeadlinePassed, 'the deadline has passed', 0, [problem]))
}

function toJobRequest (submission: Submission, account: string, identifier: string, body: Buffer): JobRequest {
  const { kind, shape, idempotent, checkpointable, urgency, deadline, declaredSeconds, payload } = submission
  const digest = createHash('sha256').update(body).digest()
  return {
    identifier,
    account,
    kind,
    shape,
    idempotent,
    checkpointable,
    urgency,
    deadline,
    declaredSeconds,
    payload: { contentType: payload.contentType, body, digest }
  }
}

/**
 * Validates the body of a submission.
 * @param body - the parsed JSON
 * @param context - see {@link SubmissionContext}
 * @returns the message to control, or a refusal: with all problems of the schema, or the first problem found after it
 */
export function readSubmission (body: unknown, context: SubmissionContext): Result<JobRequest, Refusal> {
  return checkAgainst(submissionSchema, body)
    .mapErr((problems) => notRunRefusal(RefusalCode.BadRequest, 'the request does not match the schema', 0, problems))
    .andThen((submission) => checkDeadline(submission, context.now)
      .andThen(() => decodePayload(submission, context.limits))
      .andThen((content) => chooseIdentifier(submission, context.idempotencyKey)
        .map((identifier) => toJobRequest(submission, context.account, identifier, content))))
}
