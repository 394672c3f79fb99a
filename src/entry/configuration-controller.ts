import { Controller, Get, Inject, Post, Put, Req, Res } from '@nestjs/common'
import { Type } from '@sinclair/typebox'
import type { FastifyReply, FastifyRequest } from 'fastify'
import { Section } from '../core/document'
import { notRunRefusal, RefusalCode } from '../core/verdict'
import { checkAgainst } from '../settings/index'
import type { PutConfigurationRequest } from '../wire/index'
import { operatorOf } from './admission'
import { ConfigurationCopy } from '../core/configuration-copy'
import { OperatorService, type ConfigurationView } from './operator-service'
import { RefusalError } from './refusal-answer'

const bySection = (schema: ReturnType<typeof Type.Integer> | ReturnType<typeof Type.Unknown>) =>
  Object.fromEntries(Object.values(Section).map((section) => [section, Type.Optional(schema)]))

/** Body of a put: sections to replace, the section numbers that the writer read, and the writer's request identifier. */
const putSchema = Type.Object({
  requestIdentifier: Type.String({ minLength: 1, maxLength: 128 }),
  read: Type.Object(bySection(Type.Integer({ minimum: 0 })), { additionalProperties: false }),
  sections: Type.Object(bySection(Type.Unknown()), { additionalProperties: false, minProperties: 1 })
}, { additionalProperties: false })

function readPut (request: FastifyRequest): PutConfigurationRequest {
  const { team } = operatorOf(request)
  const body = checkAgainst(putSchema, request.body)
  if (body.isErr()) throw new RefusalError(notRunRefusal(RefusalCode.BadRequest, 'the request does not match the schema', 0, body.error))
  const { requestIdentifier, read, sections } = body.value
  const numbers = Object.entries(read).map(([section, number]) => ({ section, number: Number(number) }))
  return { team, requestIdentifier, read: numbers, sectionsJson: JSON.stringify(sections) }
}

/** Operators' requests to read and change the document. */
@Controller('configuration')
export class ConfigurationController {
  /**
   * Called by NestJS.
   * @param operators - sends requests to control
   * @param configuration - this entry's copy of the document
   */
  constructor (
    @Inject(OperatorService) private readonly operators: OperatorService,
    @Inject(ConfigurationCopy) private readonly configuration: ConfigurationCopy
  ) {}

  /**
   * Reads the document and its section numbers.
   * @param request - the HTTP request
   * @returns the view
   */
  @Get()
  async read (@Req() request: FastifyRequest): Promise<ConfigurationView> {
    operatorOf(request)
    return this.operators.configuration()
  }

  /**
   * Replaces sections of the document.
   * @param request - the HTTP request
   * @returns the resulting numbers
   */
  @Put()
  async put (@Req() request: FastifyRequest): Promise<ConfigurationView> {
    return this.operators.put(readPut(request))
  }

  /**
   * Validates a change without applying it.
   * @param request - the HTTP request
   * @param reply - the HTTP reply
   */
  @Post('check')
  async check (@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    reply.code(200).send(await this.operators.check(readPut(request)))
  }

  /**
   * Reports the current document number and the processes that do not have it yet.
   * @param request - the HTTP request
   * @returns the document numbers at control and at this entry, and the processes that lag behind
   */
  @Get('status')
  async status (@Req() request: FastifyRequest): Promise<object> {
    operatorOf(request)
    const { configuration, followers, laggards, leader, term } = await this.operators.status()
    return { number: configuration, followers, laggards, leader, term: Number(term), entry: { inForce: this.configuration.number } }
  }
}
