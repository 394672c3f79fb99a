import { Catch, type ArgumentsHost, type ExceptionFilter } from '@nestjs/common'
import type { FastifyReply } from 'fastify'
import type { Logger } from '../logging'
import { refusalFromError, RefusalError, sendRefusal } from './refusal-answer'

/** Sends every thrown error as an error response. */
@Catch()
export class RefusalFilter implements ExceptionFilter<Error> {
  /**
   * Creates the filter.
   * @param logger - logs internal errors of the entry
   */
  constructor (private readonly logger: Logger) {}

  /**
   * Sends an error response.
   * @param failure - the thrown error
   * @param host - the request during which it was thrown
   */
  catch (failure: Error, host: ArgumentsHost): void {
    const reply = host.switchToHttp().getResponse<FastifyReply>()
    const refusal = refusalFromError(failure)
    if (refusal.verdict !== 'not-run' && !(failure instanceof RefusalError)) this.logger.error('request-failed', { message: failure.stack ?? failure.message })
    if (!reply.sent) sendRefusal(reply, refusal, failure instanceof RefusalError ? failure.details : {})
  }
}
