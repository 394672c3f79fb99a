import { Controller, Get, Inject, Req, Res } from '@nestjs/common'
import type { FastifyReply, FastifyRequest } from 'fastify'
import { operatorOf } from './admission'
import { ConfigurationCopy } from '../core/configuration-copy'
import { EntryMetrics } from './metrics'
import { OpenRequests } from './open-requests'

/** Liveness, readiness and metrics endpoints. */
@Controller()
export class HealthController {
  /**
   * Called by NestJS.
   * @param configuration - this entry's copy of the document
   * @param openRequests - the open requests
   * @param metrics - the metrics
   */
  constructor (
    @Inject(ConfigurationCopy) private readonly configuration: ConfigurationCopy,
    @Inject(OpenRequests) private readonly openRequests: OpenRequests,
    @Inject(EntryMetrics) private readonly metrics: EntryMetrics
  ) {}

  /**
   * Liveness: answers whenever the process runs.
   * @returns a fixed body
   */
  @Get('healthz')
  health (): object {
    return { healthy: true }
  }

  /**
   * Readiness: reports whether the entry accepts requests.
   * @param reply - the HTTP reply
   */
  @Get('readyz')
  ready (@Res() reply: FastifyReply): void {
    const confirmed = this.configuration.isConfirmed(Date.now())
    const stopping = this.openRequests.isStopping
    const ready = confirmed && !stopping
    reply.code(ready ? 200 : 503).send({ ready, confirmed, stopping })
  }

  /**
   * Returns the metrics to operators.
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
