import { Readable } from 'node:stream'
import { Controller, Get, Inject, Param, Post, Query, Req, Res } from '@nestjs/common'
import { Type } from '@sinclair/typebox'
import type { FastifyReply, FastifyRequest } from 'fastify'
import { notRunRefusal, RefusalCode } from '../core/verdict'
import { checkAgainst } from '../settings/index'
import { ControlService, type ChangeMembersRequest, type MemberStatus, type StatusReply } from '../wire/index'
import { maintainerOf, operatorOf } from './admission'
import { LeaderClient, readRefusal } from '../client/index'
import { OpenRequests } from './open-requests'
import { OperatorService, type ConfigurationView } from './operator-service'
import { RefusalError } from './refusal-answer'

const membersSchema = Type.Object({
  operation: Type.Union([Type.Literal('add'), Type.Literal('remove')]),
  identity: Type.String({ maxLength: 128, default: '' }),
  address: Type.String({ maxLength: 64, default: '' })
}, { additionalProperties: false })

const transferSchema = Type.Object({ identity: Type.String({ maxLength: 128, default: '' }) }, { additionalProperties: false })

function readMembers (request: FastifyRequest): ChangeMembersRequest {
  const team = maintainerOf(request)
  const body = checkAgainst(membersSchema, request.body ?? {})
  if (body.isErr()) throw new RefusalError(notRunRefusal(RefusalCode.BadRequest, 'the request does not match the schema', 0, body.error))
  return { ...body.value, team }
}

function readTransfer (request: FastifyRequest): ChangeMembersRequest {
  const team = maintainerOf(request)
  const body = checkAgainst(transferSchema, request.body ?? {})
  if (body.isErr()) throw new RefusalError(notRunRefusal(RefusalCode.BadRequest, 'the request does not match the schema', 0, body.error))
  return { operation: 'transfer', identity: body.value.identity, address: '', team }
}

interface MembersView {
  readonly leader?: string
  readonly term?: number
  readonly committed?: number
  readonly members: readonly object[]
}

function memberViews (members: readonly MemberStatus[]): object[] {
  return members.map((member) => ({ ...member, match: Number(member.match) }))
}

function viewOfStatus (status: StatusReply): Record<string, unknown> {
  return status.viewJson === '' ? {} : JSON.parse(status.viewJson) as Record<string, unknown>
}

/** Operators' requests on workers, control hosts and the audit trail. */
@Controller()
export class OperationController {
  /**
   * Called by NestJS.
   * @param operators - sends requests to control
   * @param leader - client of the control leader, which streams the audit trail
   * @param openRequests - the open requests
   */
  constructor (
    @Inject(OperatorService) private readonly operators: OperatorService,
    @Inject(LeaderClient) private readonly leader: LeaderClient,
    @Inject(OpenRequests) private readonly openRequests: OpenRequests
  ) {}

  /**
   * Lists workers.
   * @param request - the HTTP request
   * @returns the state that control publishes of each worker
   */
  @Get('workers')
  async workers (@Req() request: FastifyRequest): Promise<object> {
    operatorOf(request)
    return { workers: viewOfStatus(await this.operators.status()).workers ?? [] }
  }

  /**
   * Returns the whole state that control publishes: workers, accounts, guarantees and waiting gangs.
   * @param request - the HTTP request
   * @returns the view
   */
  @Get('view')
  async view (@Req() request: FastifyRequest): Promise<object> {
    operatorOf(request)
    return viewOfStatus(await this.operators.status())
  }

  /**
   * Drains a worker: it gets no new work.
   * @param request - the HTTP request
   * @param worker - its name
   * @param reply - the HTTP reply
   */
  @Post('workers/:worker/drain')
  async drain (@Req() request: FastifyRequest, @Param('worker') worker: string, @Res() reply: FastifyReply): Promise<void> {
    reply.code(200).send(await this.setDrained(request, worker, true))
  }

  /**
   * Ends the drain of a worker: it gets new work again.
   * @param request - the HTTP request
   * @param worker - its name
   * @param reply - the HTTP reply
   */
  @Post('workers/:worker/undrain')
  async undrain (@Req() request: FastifyRequest, @Param('worker') worker: string, @Res() reply: FastifyReply): Promise<void> {
    reply.code(200).send(await this.setDrained(request, worker, false))
  }

  /**
   * Lists control hosts.
   * @param request - the HTTP request
   * @returns members, leader and term
   */
  @Get('control/members')
  async members (@Req() request: FastifyRequest): Promise<MembersView> {
    operatorOf(request)
    const { members, leader, term, committed } = await this.operators.status()
    return { leader, term: Number(term), committed: Number(committed), members: memberViews(members) }
  }

  /**
   * Adds or removes a control host.
   * @param request - the HTTP request
   * @param reply - the HTTP reply
   */
  @Post('control/members')
  async changeMembers (@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const { members } = await this.operators.changeMembers(readMembers(request))
    reply.code(200).send({ members: memberViews(members) })
  }

  /**
   * Transfers the leadership to another control host.
   * @param request - the HTTP request
   * @param reply - the HTTP reply
   */
  @Post('control/transfer')
  async transfer (@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const { members } = await this.operators.changeMembers(readTransfer(request))
    reply.code(200).send({ members: memberViews(members) })
  }

  /**
   * Exports the audit trail as JSON lines.
   * @param request - the HTTP request
   * @param from - sequence number of the first line
   * @param reply - the HTTP reply
   */
  @Get('audit')
  async audit (@Req() request: FastifyRequest, @Query('from') from: string | undefined, @Res() reply: FastifyReply): Promise<void> {
    operatorOf(request)
    const lines = this.auditLines(Math.max(0, Math.trunc(Number(from ?? 0))) || 0, this.openRequests.signalOf(reply))
    // Read before the headers are sent, so that a refusal is answered with its own status.
    const first = await lines.next()
    reply.code(200).header('content-type', 'application/jsonl; charset=utf-8')
    reply.send(Readable.from(prepend(first, lines)))
  }

  private async * auditLines (from: number, signal: AbortSignal): AsyncGenerator<string, void> {
    for await (const { refusal, lines } of this.leader.stream(ControlService.exportRecord, { from }, signal)) {
      if (refusal !== undefined) throw new RefusalError(readRefusal(refusal))
      yield lines.map((line) => `${line}\n`).join('')
    }
  }

  private setDrained (request: FastifyRequest, worker: string, drained: boolean): Promise<ConfigurationView> {
    return this.operators.drain(operatorOf(request).team, worker, drained)
  }
}

async function * prepend (first: IteratorResult<string, void>, rest: AsyncGenerator<string, void>): AsyncGenerator<string, void> {
  if (first.done === true) return
  yield first.value
  yield * rest
}
