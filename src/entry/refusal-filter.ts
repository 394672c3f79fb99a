import { Catch, type ArgumentsHost, type ExceptionFilter } from '@nestjs/common'
import type { FastifyReply } from 'fastify'
import type { Logger } from '../logging'
import { refusalOf, RefusalError, sendRefusal } from './refusal-answer'

/** Turns everything that is thrown into an error answer. */
@Catch()
export class RefusalFilter implements ExceptionFilter<Error> {
  /**
   * Makes the filter.
   * @param logger - for failures of the entry itself
   */
  constructor (private readonly logger: Logger) {}

  /**
   * Answers for a thrown error.
   * @param failure - what was thrown
   * @param host - the request it belongs to
   */
  catch (failure: Error, host: ArgumentsHost): void {
    const reply = host.switchToHttp().getResponse<FastifyReply>()
    const refusal = refusalOf(failure)
    if (refusal.verdict !== 'not-run' && !(failure instanceof RefusalError)) this.logger.error('request-failed', { message: failure.stack ?? failure.message })
    if (!reply.sent) sendRefusal(reply, refusal, failure instanceof RefusalError ? failure.details : {})
  }
}
