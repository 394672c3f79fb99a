import { Controller, Get, Inject, Req, Res } from '@nestjs/common'
import type { FastifyReply, FastifyRequest } from 'fastify'
import type { ClusterView } from '../control/view'
import { operatorOf, PAGE_PATH } from './admission'
import { OperatorService } from './operator-service'
import { renderPage } from './page'

/** Serves the operators' page. It is rendered on the server, has no scripts and loads nothing from elsewhere. */
@Controller()
export class PageController {
  /**
   * Called by NestJS.
   * @param operators - sends requests to control
   */
  constructor (@Inject(OperatorService) private readonly operators: OperatorService) {}

  /**
   * Shows accounts, guarantees, waiting jobs, the fleet and the current document numbers.
   * @param request - the HTTP request
   * @param reply - the HTTP reply
   */
  @Get(PAGE_PATH)
  async page (@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    operatorOf(request)
    const [status, { sections }] = await Promise.all([this.operators.status(), this.operators.configuration()])
    const { viewJson, configuration: number, leader, term, laggards } = status
    const view = viewJson === '' ? {} : JSON.parse(viewJson) as ClusterView
    reply.header('content-type', 'text/html; charset=utf-8')
      .header('content-security-policy', "default-src 'none'; style-src 'unsafe-inline'")
      .header('cache-control', 'no-store')
      .send(renderPage({ view, number, sections, leader, term: Number(term), laggards, now: Date.now() }))
  }
}
