/** Commands on queues, step jobs and the queue document. */
import { Command, Option } from 'clipanion'
import type { QueueDocumentView, QueueJobView } from '../entry/queue-controller'
import { parseJsonBody } from './entry-client'
import { EntryCommand, readJsonFile, wholeNumber } from './entry-command'
import { ExitCode } from './exit-code'

const usage = (description: string): ReturnType<typeof Command.Usage> => Command.Usage({ category: 'Queues', description })

abstract class QueueJobCommand extends EntryCommand {
  queue = Option.String({ name: 'QUEUE' })
  identifier = Option.String({ name: 'IDENTIFIER' })

  protected async requestJob (method: 'GET' | 'POST' | 'DELETE', body?: unknown): Promise<ExitCode> {
    const path = `/queues/${encodeURIComponent(this.queue)}/jobs/${encodeURIComponent(this.identifier)}`
    return await this.show<QueueJobView>({ method, path, body }, ({ identifier, queue, state }) => [`${identifier}  ${queue}  ${state}`])
  }
}

/** Submits a step job. */
export class QueueSubmit extends QueueJobCommand {
  static override paths = [['queue', 'submit']]
  static override usage = usage('submit a step job; submitting the same identifier again has no effect')

  file = Option.String('--file', { required: true, description: 'the job as JSON (schemas/step-job.json), - for standard input' })

  protected override async run (): Promise<ExitCode> {
    const code = await this.requestJob('POST', await readJsonFile(this.file))
    if (code === ExitCode.MayHaveRun) this.printError(`look it up with: bramleyflow queue show ${this.queue} ${this.identifier}`)
    return code
  }
}

/** Shows a step job. */
export class QueueShow extends QueueJobCommand {
  static override paths = [['queue', 'show']]
  static override usage = usage('show the state of a step job')

  protected override async run (): Promise<ExitCode> {
    return await this.requestJob('GET')
  }
}

/** Cancels a step job. */
export class QueueCancel extends QueueJobCommand {
  static override paths = [['queue', 'cancel']]
  static override usage = usage('cancel a step job')

  protected override async run (): Promise<ExitCode> {
    return await this.requestJob('DELETE')
  }
}

/** Counts the jobs of a queue that have not started. */
export class QueuePending extends EntryCommand {
  static override paths = [['queue', 'pending']]
  static override usage = usage('count the jobs of a queue that have not started any step')

  queue = Option.String({ name: 'QUEUE' })

  protected override async run (): Promise<ExitCode> {
    const request = { method: 'GET' as const, path: `/queues/${encodeURIComponent(this.queue)}` }
    return await this.show<{ pending: number }>(request, ({ pending }) => [String(pending)])
  }
}

/** Prints the queue document. */
export class QueueDocumentGet extends EntryCommand {
  static override paths = [['queue', 'document', 'get']]
  static override usage = usage('print the current document of queues, services and accounts')

  protected override async run (): Promise<ExitCode> {
    return await this.sendRequest({ method: 'GET', path: '/queue-document' }, (answer) => {
      const view = parseJsonBody<QueueDocumentView>(answer)
      this.print(view, () => [`number ${view.number}`, view.source])
      return ExitCode.Done
    })
  }
}

/** Replaces the queue document. */
export class QueueDocumentPut extends EntryCommand {
  static override paths = [['queue', 'document', 'put']]
  static override usage = usage('replace the document of queues, services and accounts; the document with the highest number takes effect')

  number = Option.String('--number', { required: true, description: 'number of the document' })
  file = Option.String({ name: 'FILE' })

  protected override async run (): Promise<ExitCode> {
    const body = { number: wholeNumber('--number', this.number), document: await readJsonFile(this.file) }
    return await this.show<{ number: number }>({ method: 'PUT', path: '/queue-document', body }, ({ number }) => [`accepted ${number}`])
  }
}
