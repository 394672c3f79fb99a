/** Commands on queues, their jobs of steps, and the document that names them. */
import { Command, Option } from 'clipanion'
import type { QueueDocumentView, QueueJobView } from '../entry/queue-controller'
import { jsonOf } from './entry-client'
import { EntryCommand, readJsonFile, wholeNumber } from './entry-command'
import { ExitCode } from './exit-code'

const usage = (description: string): ReturnType<typeof Command.Usage> => Command.Usage({ category: 'Queues', description })

abstract class QueueJobCommand extends EntryCommand {
  queue = Option.String({ name: 'QUEUE' })
  identifier = Option.String({ name: 'IDENTIFIER' })

  protected async askJob (method: 'GET' | 'POST' | 'DELETE', body?: unknown): Promise<ExitCode> {
    const path = `/queues/${encodeURIComponent(this.queue)}/jobs/${encodeURIComponent(this.identifier)}`
    return await this.show<QueueJobView>({ method, path, body }, ({ identifier, queue, state }) => [`${identifier}  ${queue}  ${state}`])
  }
}

/** Submits a job of steps. */
export class QueueSubmit extends QueueJobCommand {
  static override paths = [['queue', 'submit']]
  static override usage = usage('submit a job of steps; the same identifier again is the same job')

  file = Option.String('--file', { required: true, description: 'payload and steps as JSON (schemas/step-job.json), - for standard input' })

  protected override async run (): Promise<ExitCode> {
    const code = await this.askJob('POST', await readJsonFile(this.file))
    if (code === ExitCode.MayHaveRun) this.complain(`ask with: bramleyflow queue show ${this.queue} ${this.identifier}`)
    return code
  }
}

/** Shows a job of steps. */
export class QueueShow extends QueueJobCommand {
  static override paths = [['queue', 'show']]
  static override usage = usage('show the state of a job of steps')

  protected override async run (): Promise<ExitCode> {
    return await this.askJob('GET')
  }
}

/** Cancels a job of steps. */
export class QueueCancel extends QueueJobCommand {
  static override paths = [['queue', 'cancel']]
  static override usage = usage('cancel a job of steps')

  protected override async run (): Promise<ExitCode> {
    return await this.askJob('DELETE')
  }
}

/** Counts the waiting jobs of a queue. */
export class QueuePending extends EntryCommand {
  static override paths = [['queue', 'pending']]
  static override usage = usage('count the jobs of a queue of which nothing has started')

  queue = Option.String({ name: 'QUEUE' })

  protected override async run (): Promise<ExitCode> {
    const request = { method: 'GET' as const, path: `/queues/${encodeURIComponent(this.queue)}` }
    return await this.show<{ pending: number }>(request, ({ pending }) => [String(pending)])
  }
}

/** Prints the document of queues. */
export class QueueDocumentGet extends EntryCommand {
  static override paths = [['queue', 'document', 'get']]
  static override usage = usage('print the document of queues, services and accounts that is in force')

  protected override async run (): Promise<ExitCode> {
    return await this.ask({ method: 'GET', path: '/queue-document' }, (answer) => {
      const view = jsonOf<QueueDocumentView>(answer)
      this.print(view, () => [`number ${view.number}`, view.source])
      return ExitCode.Done
    })
  }
}

/** Puts a document of queues in force. */
export class QueueDocumentPut extends EntryCommand {
  static override paths = [['queue', 'document', 'put']]
  static override usage = usage('put a whole document of queues, services and accounts in force; the highest number stays')

  number = Option.String('--number', { required: true, description: 'number of the document' })
  file = Option.String({ name: 'FILE' })

  protected override async run (): Promise<ExitCode> {
    const body = { number: wholeNumber('--number', this.number), document: await readJsonFile(this.file) }
    return await this.show<{ number: number }>({ method: 'PUT', path: '/queue-document', body }, ({ number }) => [`accepted ${number}`])
  }
}
