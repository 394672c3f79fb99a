import { Controller, Get, HttpCode, Inject, Param, Post, Req } from '@nestjs/common'
import type { FastifyRequest } from 'fastify'
import type { Result } from 'neverthrow'
import { EvacuationClient } from '../client/index'
import { isDataCentreName, MAX_DATA_CENTRE_NAME_LENGTH } from '../core/steps/index'
import { notRunRefusal, RefusalCode, type Refusal } from '../core/verdict'
import { maintainerOf, operatorOf } from './admission'
import { RefusalError } from './refusal-answer'

/** An evacuated data centre as shown to operators. */
export interface EvacuationView {
  readonly dataCentre: string
  /** Start of the evacuation, in milliseconds since the epoch. */
  readonly startedAt: number
  /** Tasks of step jobs that still run there. */
  readonly runs: number
}

/** The answer to an order. */
export interface EvacuationOrderView {
  readonly dataCentre: string
  readonly evacuated: boolean
}

/** Operators' requests to list, start and finish evacuations of data centres. */
@Controller()
export class EvacuationController {
  /**
   * Called by NestJS.
   * @param evacuations - sends requests to control
   */
  constructor (@Inject(EvacuationClient) private readonly evacuations: EvacuationClient) {}

  /**
   * Lists the evacuated data centres. A quorum confirms that the list is current.
   * @param request - the HTTP request
   * @returns the data centres by name
   */
  @Get('evacuations')
  async list (@Req() request: FastifyRequest): Promise<{ evacuations: readonly EvacuationView[] }> {
    operatorOf(request)
    return { evacuations: unwrap(await this.evacuations.list()) }
  }

  /**
   * Requests that no more work is sent to a data centre. Repeating the request has no effect.
   * @param request - the HTTP request
   * @param dataCentre - name of the data centre, known or not
   * @returns the state of the data centre
   */
  @Post('evacuations/:dataCentre/start')
  @HttpCode(200)
  async start (@Req() request: FastifyRequest, @Param('dataCentre') dataCentre: string): Promise<EvacuationOrderView> {
    return await this.change(request, dataCentre, true)
  }

  /**
   * Withdraws the request for a data centre. Without a request it has no effect.
   * @param request - the HTTP request
   * @param dataCentre - name of the data centre, known or not
   * @returns the state of the data centre
   */
  @Post('evacuations/:dataCentre/finish')
  @HttpCode(200)
  async finish (@Req() request: FastifyRequest, @Param('dataCentre') dataCentre: string): Promise<EvacuationOrderView> {
    return await this.change(request, dataCentre, false)
  }

  private async change (request: FastifyRequest, dataCentre: string, evacuate: boolean): Promise<EvacuationOrderView> {
    const team = maintainerOf(request)
    if (!isDataCentreName(dataCentre)) throw new RefusalError(notRunRefusal(RefusalCode.BadRequest, `the name of a data centre has 1 to ${MAX_DATA_CENTRE_NAME_LENGTH} characters`))
    unwrap(await this.evacuations.change({ dataCentre, evacuate, team }, () => request.raw.socket.readableEnded || request.raw.socket.destroyed))
    return { dataCentre, evacuated: evacuate }
  }
}

function unwrap<Value> (answer: Result<Value, Refusal>): Value {
  if (answer.isErr()) throw new RefusalError(answer.error)
  return answer.value
}
