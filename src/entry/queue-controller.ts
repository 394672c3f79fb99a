import { Body, Controller, Delete, Get, HttpCode, Inject, Param, Post, Put, Req } from '@nestjs/common'
import { Type } from '@sinclair/typebox'
import type { FastifyRequest } from 'fastify'
import type { Result } from 'neverthrow'
import { QueueClient, QueueOperation, type JobAnswer, type NamedQueueCall } from '../client/index'
import { Section } from '../core/document'
import { checkQueueDocument, checkStepJob } from '../core/steps/index'
import { notRunRefusal, RefusalCode, type Problem, type Refusal } from '../core/verdict'
import { checkAgainst } from '../settings/index'
import { accountOf, callerOf, operatorOf } from './admission'
import { RefusalError } from './refusal-answer'

/** Long enough for a leader election and two attempts. */
const CALL_TIMEOUT_MILLISECONDS = 5_000

type UntimedQueueCall = Pick<NamedQueueCall, 'operation' | 'queue' | 'account' | 'identifier' | 'job'>

const documentSchema = Type.Object({
  number: Type.Integer({ minimum: 1 }),
  document: Type.Unknown()
}, { additionalProperties: false })

/** A step job as shown to callers. */
export interface QueueJobView {
  readonly identifier: string
  readonly queue: string
  readonly state: JobAnswer['state']
}

/** The numbered queue document as shown to operators. */
export interface QueueDocumentView {
  readonly number: number
  /** The document text as its writer sent it. */
  readonly source: string
}

/** Requests on queues and on the queue document. */
@Controller()
export class QueueController {
  /**
   * Called by NestJS.
   * @param queues - sends requests to control
   */
  constructor (@Inject(QueueClient) private readonly queues: QueueClient) {}

  /**
   * Submits a step job. Submitting the same identifier again has no effect.
   * @param request - the HTTP request
   * @param queue - name of the queue
   * @param identifier - the job's identifier
   * @param body - the job
   * @returns the job's state
   */
  @Post('queues/:queue/jobs/:identifier')
  @HttpCode(202)
  async submit (
    @Req() request: FastifyRequest, @Param('queue') queue: string, @Param('identifier') identifier: string, @Body() body: unknown
  ): Promise<QueueJobView> {
    const { account } = callerOf(request)
    const job = unwrapChecked(checkStepJob(body), RefusalCode.BadRequest, 'the job is not valid')
    return await this.callForJob({ operation: QueueOperation.SUBMIT, queue, account, identifier, job })
  }

  /**
   * Shows a step job.
   * @param request - the HTTP request
   * @param queue - name of the queue
   * @param identifier - the job's identifier
   * @returns the job's state
   */
  @Get('queues/:queue/jobs/:identifier')
  async show (@Req() request: FastifyRequest, @Param('queue') queue: string, @Param('identifier') identifier: string): Promise<QueueJobView> {
    return await this.callForJob({ operation: QueueOperation.SHOW, queue, account: accountOf(request), identifier })
  }

  /**
   * Cancels a step job.
   * @param request - the HTTP request
   * @param queue - name of the queue
   * @param identifier - the job's identifier
   * @returns the job's state
   */
  @Delete('queues/:queue/jobs/:identifier')
  async cancel (@Req() request: FastifyRequest, @Param('queue') queue: string, @Param('identifier') identifier: string): Promise<QueueJobView> {
    return await this.callForJob({ operation: QueueOperation.CANCEL, queue, account: accountOf(request), identifier })
  }

  /**
   * Counts the jobs of a queue that have not started any step.
   * @param request - the HTTP request
   * @param queue - name of the queue
   * @returns the count
   */
  @Get('queues/:queue')
  async pending (@Req() request: FastifyRequest, @Param('queue') queue: string): Promise<{ queue: string, pending: number }> {
    const { pending } = await this.call({ operation: QueueOperation.SHOW, queue, account: accountOf(request), identifier: '' })
    return { queue, pending }
  }

  /**
   * Reads the queue document. A quorum confirms that it is current.
   * @param request - the HTTP request
   * @returns the document's number and text
   */
  @Get('queue-document')
  async readDocument (@Req() request: FastifyRequest): Promise<QueueDocumentView> {
    operatorOf(request)
    return unwrap(await this.queues.readDocument())
  }

  /**
   * Replaces the queue document. Of several documents, the one with the highest number takes effect.
   * @param request - the HTTP request
   * @param body - the document and its number
   * @returns the number that was accepted
   */
  @Put('queue-document')
  async replaceDocument (@Req() request: FastifyRequest, @Body() body: unknown): Promise<{ number: number }> {
    if (!operatorOf(request).sections.includes(Section.Jobs)) {
      throw new RefusalError(notRunRefusal(RefusalCode.Forbidden, 'only a team that may write the jobs section may do this'))
    }
    const { number, document } = unwrapChecked(checkAgainst(documentSchema, body), RefusalCode.BadRequest, 'the request does not match the schema')
    const checked = unwrapChecked(checkQueueDocument(document), RefusalCode.InvalidDocument, 'the queue document is not valid')
    unwrap(await this.queues.replaceDocument(number, checked, JSON.stringify(document)))
    return { number }
  }

  private async callForJob (call: UntimedQueueCall): Promise<QueueJobView> {
    const { queue, identifier } = call
    return { identifier, queue, state: (await this.call(call)).state }
  }

  private async call (call: UntimedQueueCall): Promise<JobAnswer> {
    return unwrap(await this.queues.callByName({ ...call, timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS }))
  }
}

function unwrap<Value> (answer: Result<Value, Refusal>): Value {
  if (answer.isErr()) throw new RefusalError(answer.error)
  return answer.value
}

function unwrapChecked<Value> (checked: Result<Value, Problem[]>, code: RefusalCode, message: string): Value {
  return unwrap(checked.mapErr((problems) => notRunRefusal(code, message, 0, problems)))
}
