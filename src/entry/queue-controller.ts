import { Body, Controller, Delete, Get, HttpCode, Inject, Param, Post, Put, Req } from '@nestjs/common'
import { Type } from '@sinclair/typebox'
import type { FastifyRequest } from 'fastify'
import type { Result } from 'neverthrow'
import { QueueClient, QueueOperation, type JobAnswer, type NamedQueueCall } from '../client/index'
import { Section } from '../core/document'
import { checkQueueDocument, checkStepJob } from '../core/steps/index'
import { notRun, RefusalCode, type Problem, type Refusal } from '../core/verdict'
import { checkAgainst } from '../settings/index'
import { accountOf, callerOf, operatorOf } from './admission'
import { RefusalError } from './refusal-answer'

/** Time that a caller is given for an answer, in milliseconds: an election and two tries end within it. */
const PATIENCE_MILLISECONDS = 5_000

const documentSchema = Type.Object({
  number: Type.Integer({ minimum: 1 }),
  document: Type.Unknown()
}, { additionalProperties: false })

/** A job of steps as callers see it. */
export interface QueueJobView {
  readonly identifier: string
  readonly queue: string
  readonly state: JobAnswer['state']
}

/** The numbered document as operators see it. */
export interface QueueDocumentView {
  readonly number: number
  /** The text in which its writer sent it. */
  readonly source: string
}

/** Requests on queues, and on the document that names them. */
@Controller()
export class QueueController {
  /**
   * Made by nestjs.
   * @param queues - carries requests to control
   */
  constructor (@Inject(QueueClient) private readonly queues: QueueClient) {}

  /**
   * Submits a job of steps. The same identifier again is the same job.
   * @param request - the HTTP request
   * @param queue - name of the queue
   * @param identifier - names the job
   * @param body - the job
   * @returns its view
   */
  @Post('queues/:queue/jobs/:identifier')
  @HttpCode(202)
  async submit (
    @Req() request: FastifyRequest, @Param('queue') queue: string, @Param('identifier') identifier: string, @Body() body: unknown
  ): Promise<QueueJobView> {
    const { account } = callerOf(request)
    const job = valid(checkStepJob(body), RefusalCode.BadRequest, 'the job is not valid')
    return await this.askJob({ operation: QueueOperation.SUBMIT, queue, account, identifier, job })
  }

  /**
   * Shows a job of steps.
   * @param request - the HTTP request
   * @param queue - name of the queue
   * @param identifier - names the job
   * @returns its view
   */
  @Get('queues/:queue/jobs/:identifier')
  async show (@Req() request: FastifyRequest, @Param('queue') queue: string, @Param('identifier') identifier: string): Promise<QueueJobView> {
    return await this.askJob({ operation: QueueOperation.SHOW, queue, account: accountOf(request), identifier })
  }

  /**
   * Cancels a job of steps.
   * @param request - the HTTP request
   * @param queue - name of the queue
   * @param identifier - names the job
   * @returns its view
   */
  @Delete('queues/:queue/jobs/:identifier')
  async cancel (@Req() request: FastifyRequest, @Param('queue') queue: string, @Param('identifier') identifier: string): Promise<QueueJobView> {
    return await this.askJob({ operation: QueueOperation.CANCEL, queue, account: accountOf(request), identifier })
  }

  /**
   * Counts the jobs of a queue of which nothing has started.
   * @param request - the HTTP request
   * @param queue - name of the queue
   * @returns the count
   */
  @Get('queues/:queue')
  async pending (@Req() request: FastifyRequest, @Param('queue') queue: string): Promise<{ queue: string, pending: number }> {
    const { pending } = await this.ask({ operation: QueueOperation.SHOW, queue, account: accountOf(request), identifier: '' })
    return { queue, pending }
  }

  /**
   * Reads the document of queues, services and accounts, confirmed by a quorum.
   * @param request - the HTTP request
   * @returns number and text
   */
  @Get('queue-document')
  async readDocument (@Req() request: FastifyRequest): Promise<QueueDocumentView> {
    operatorOf(request)
    return granted(await this.queues.readDocument())
  }

  /**
   * Puts a whole document in force; the highest number stays.
   * @param request - the HTTP request
   * @param body - number and document
   * @returns the number that was accepted
   */
  @Put('queue-document')
  async replaceDocument (@Req() request: FastifyRequest, @Body() body: unknown): Promise<{ number: number }> {
    if (!operatorOf(request).sections.includes(Section.Jobs)) {
      throw new RefusalError(notRun(RefusalCode.Forbidden, 'only a team that may write the jobs section may do this'))
    }
    const { number, document } = valid(checkAgainst(documentSchema, body), RefusalCode.BadRequest, 'the request does not fit the schema')
    const checked = valid(checkQueueDocument(document), RefusalCode.InvalidDocument, 'the document is not valid')
    granted(await this.queues.replaceDocument(number, checked, JSON.stringify(document)))
    return { number }
  }

  private async askJob (call: Omit<NamedQueueCall, 'patienceMilliseconds'>): Promise<QueueJobView> {
    const { queue, identifier } = call
    return { identifier, queue, state: (await this.ask(call)).state }
  }

  private async ask (call: Omit<NamedQueueCall, 'patienceMilliseconds'>): Promise<JobAnswer> {
    return granted(await this.queues.askNamed({ ...call, patienceMilliseconds: PATIENCE_MILLISECONDS }))
  }
}

function granted<Value> (answer: Result<Value, Refusal>): Value {
  if (answer.isErr()) throw new RefusalError(answer.error)
  return answer.value
}

function valid<Value> (checked: Result<Value, Problem[]>, code: RefusalCode, message: string): Value {
  return granted(checked.mapErr((problems) => notRun(code, message, 0, problems)))
}
