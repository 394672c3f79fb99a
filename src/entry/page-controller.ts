import { Controller, Get, Inject, Req, Res } from '@nestjs/common'
import type { FastifyReply, FastifyRequest } from 'fastify'
import type { ClusterView } from '../control/view'
import { operatorOf, PAGE_PATH } from './admission'
import { OperatorService } from './operator-service'
import { renderPage } from './page'

/** The operators' page, rendered here; it has no script and asks nobody else. */
@Controller()
export class PageController {
  /**
   * Made by nestjs.
   * @param operators - carries requests to control
   */
  constructor (@Inject(OperatorService) private readonly operators: OperatorService) {}

  /**
   * Shows accounts, guarantees, waiting jobs, the fleet and the numbers in force.
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
