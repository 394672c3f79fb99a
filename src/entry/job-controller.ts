import { Controller, Delete, Get, Inject, Param, Post, Query, Req, Res } from '@nestjs/common'
import { Type } from '@sinclair/typebox'
import type { FastifyReply, FastifyRequest } from 'fastify'
import { JobState } from '../core/job'
import { notRunRefusal, RefusalCode } from '../core/verdict'
import { checkAgainst } from '../settings/index'
import type { JobReport } from '../wire/index'
import { accountOf, callerOf } from './admission'
import { ConfigurationCopy } from '../core/configuration-copy'
import { readSubmission } from './job-request'
import { JobService } from './job-service'
import { isEnded, hasIntactAnswer, viewOf, type JobView } from './job-view'
import { OpenRequests } from './open-requests'
import { RefusalError, sendFailedJob, sendRefusal } from './refusal-answer'

const MAX_CANCELLED_JOBS = 10_000
const RETRY_AFTER_SECONDS = 1

const cancelSchema = Type.Object({
  identifiers: Type.Array(Type.String({ minLength: 1, maxLength: 128 }), { minItems: 1, maxItems: MAX_CANCELLED_JOBS })
}, { additionalProperties: false })

function headerOf (request: FastifyRequest, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Sends the answer of a finished job, or the reason why there is none. */
function sendResult (reply: FastifyReply, report: JobReport): FastifyReply {
  const { answer, identifier, attempt } = report
  if (report.state !== JobState.Finished || answer === undefined || !hasIntactAnswer(report)) return sendFailedJob(reply, report)
  return reply.code(200)
    .header('content-type', answer.contentType || 'application/octet-stream')
    .header('repr-digest', `sha-256=:${Buffer.from(answer.digest).toString('base64')}:`)
    .header('bramleyflow-job', identifier)
    .header('bramleyflow-attempt', String(attempt))
    .send(Buffer.from(answer.body))
}

/** Sends 202 with the path under which any entry serves the answer. */
function sendAccepted (reply: FastifyReply, report: JobReport): FastifyReply {
  return reply.code(202)
    .header('location', `/jobs/${encodeURIComponent(report.identifier)}/answer`)
    .header('retry-after', String(RETRY_AFTER_SECONDS))
    .send(viewOf(report))
}

function sendReport (reply: FastifyReply, report: JobReport): FastifyReply {
  return isEnded(report) ? sendResult(reply, report) : sendAccepted(reply, report)
}

/** Callers' requests on jobs. */
@Controller('jobs')
export class JobController {
  /**
   * Called by NestJS.
   * @param jobs - sends requests to control
   * @param configuration - this entry's copy of the document
   * @param openRequests - the open requests
   */
  constructor (
    @Inject(JobService) private readonly jobs: JobService,
    @Inject(ConfigurationCopy) private readonly configuration: ConfigurationCopy,
    @Inject(OpenRequests) private readonly openRequests: OpenRequests
  ) {}

  /**
   * Submits a job.
   * @param request - the HTTP request
   * @param wait - "true" holds the request until the job ends
   * @param reply - the HTTP reply
   */
  @Post()
  async submit (@Req() request: FastifyRequest, @Query('wait') wait: string | undefined, @Res() reply: FastifyReply): Promise<void> {
    const { account } = callerOf(request)
    const idempotencyKey = headerOf(request, 'idempotency-key')
    const job = readSubmission(request.body, { account, idempotencyKey, limits: this.configuration.document.limits, now: Date.now() })
    if (job.isErr()) throw new RefusalError(job.error)
    const { identifier } = job.value
    const result = await this.jobs.submit(job.value, wait === 'true', this.openRequests.signalOf(reply))
    result.match((report) => wait === 'true' ? sendReport(reply, report) : sendAccepted(reply, report), (refusal) => sendRefusal(reply, refusal, { identifier }))
  }

  /**
   * Lists jobs.
   * @param request - the HTTP request
   * @param state - lists only jobs in this state
   * @param limit - maximum number of jobs
   * @returns the jobs
   */
  @Get()
  async list (@Req() request: FastifyRequest, @Query('state') state = '', @Query('limit') limit = '0'): Promise<{ jobs: JobView[] }> {
    return { jobs: await this.jobs.list(accountOf(request), state, Math.max(0, Math.trunc(Number(limit))) || 0) }
  }

  /**
   * Cancels several jobs in one request.
   * @param request - the HTTP request
   * @param reply - the HTTP reply
   */
  @Post('cancel')
  async cancelMany (@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const body = checkAgainst(cancelSchema, request.body)
    if (body.isErr()) throw new RefusalError(notRunRefusal(RefusalCode.BadRequest, 'the request does not match the schema', 0, body.error))
    reply.code(200).send({ jobs: await this.jobs.cancel(accountOf(request), body.value.identifiers) })
  }

  /**
   * Shows a job.
   * @param request - the HTTP request
   * @param identifier - the job's identifier
   * @returns the job
   */
  @Get(':identifier')
  async show (@Req() request: FastifyRequest, @Param('identifier') identifier: string): Promise<JobView> {
    return viewOf(await this.jobs.show({ identifier, account: accountOf(request) }))
  }

  /**
   * Cancels a job.
   * @param request - the HTTP request
   * @param identifier - the job's identifier
   * @returns the job
   */
  @Delete(':identifier')
  async cancel (@Req() request: FastifyRequest, @Param('identifier') identifier: string): Promise<JobView> {
    const [job] = await this.jobs.cancel(accountOf(request), [identifier])
    if (job === undefined) throw new RefusalError(notRunRefusal(RefusalCode.NotFound, `no job ${identifier}`))
    return job
  }

  /**
   * Fetches a job's answer.
   * @param request - the HTTP request
   * @param identifier - the job's identifier
   * @param wait - with "true" the request waits until the job ends
   * @param reply - the HTTP reply
   */
  @Get(':identifier/answer')
  async answer (
    @Req() request: FastifyRequest, @Param('identifier') identifier: string, @Query('wait') wait: string | undefined, @Res() reply: FastifyReply
  ): Promise<void> {
    const query = { identifier, account: accountOf(request) }
    if (wait !== 'true') {
      const report = await this.jobs.show(query)
      if (!isEnded(report)) {
        sendAccepted(reply, report)
        return
      }
    }
    const result = await this.jobs.follow(query, { signal: this.openRequests.signalOf(reply) })
    result.match((report) => sendReport(reply, report), (refusal) => sendRefusal(reply, refusal, { identifier }))
  }

  /**
   * Streams a job's state changes as server-sent events until the job ends.
   * @param request - the HTTP request
   * @param identifier - the job's identifier
   * @param reply - the HTTP reply
   */
  @Get(':identifier/progress')
  async progress (@Req() request: FastifyRequest, @Param('identifier') identifier: string, @Res() reply: FastifyReply): Promise<void> {
    const query = { identifier, account: accountOf(request) }
    const onReport = (report: JobReport): void => sendEvent(reply, 'state', viewOf(report))
    const result = await this.jobs.follow(query, { signal: this.openRequests.signalOf(reply), onReport })
    if (result.isErr() && !reply.raw.headersSent) {
      sendRefusal(reply, result.error, { identifier })
      return
    }
    if (result.isErr()) sendEvent(reply, 'error', { ...result.error, identifier })
    else if (!isEnded(result.value)) sendEvent(reply, 'handed-over', viewOf(result.value))
    reply.raw.end()
  }
}

function sendEvent (reply: FastifyReply, event: string, data: object): void {
  if (!reply.raw.headersSent) {
    reply.hijack()
    reply.raw.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
  }
  reply.raw.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`)
}
