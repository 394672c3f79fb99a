import { Controller, Get, Inject, Req, Res } from '@nestjs/common'
import type { FastifyReply, FastifyRequest } from 'fastify'
import { operatorOf } from './admission'
import { ConfigurationCopy } from '../core/configuration-copy'
import { EntryMetrics } from './metrics'
import { OpenRequests } from './open-requests'

/** Whether the entry runs, whether it can take requests, and its metrics. */
@Controller()
export class HealthController {
  /**
   * Made by nestjs.
   * @param copy - the document in force
   * @param open - the open requests
   * @param metrics - the metrics
   */
  constructor (
    @Inject(ConfigurationCopy) private readonly copy: ConfigurationCopy,
    @Inject(OpenRequests) private readonly open: OpenRequests,
    @Inject(EntryMetrics) private readonly metrics: EntryMetrics
  ) {}

  /**
   * Answers while the process runs.
   * @returns a fixed body
   */
  @Get('healthz')
  health (): object {
    return { healthy: true }
  }

  /**
   * Tells whether a request sent now would be decided.
   * @param reply - the HTTP reply
   */
  @Get('readyz')
  ready (@Res() reply: FastifyReply): void {
    const confirmed = this.copy.isConfirmed(Date.now())
    const stopping = this.open.isStopping
    const ready = confirmed && !stopping
    reply.code(ready ? 200 : 503).send({ ready, confirmed, stopping })
  }

  /**
   * Shows the metrics to operators.
   * @param request - the HTTP request
   * @param reply - the HTTP reply
   */
  @Get('metrics')
  async collect (@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    operatorOf(request)
    const { contentType, text } = await this.metrics.collect()
    reply.header('content-type', contentType).send(text)
  }
}
