import { randomUUID } from 'node:crypto'
import { Command, Option } from 'clipanion'
import type { CheckedDocument, DocumentReport } from '../core/document-check/index'
import type { QueueDocumentView } from '../entry/queue-controller'
import type { DocumentFormat, QueueText } from './document-check'
import { requestEntry, parseJsonBody, type EntryRequest } from './entry-client'
import { EntryCommand, parseJsonText, readJsonFile, readTextFile, UsageError, wholeNumber } from './entry-command'
import { ExitCode } from './exit-code'

interface ConfigurationView {
  readonly number: number
  readonly sections: Readonly<Record<string, number>>
  readonly document?: Readonly<Record<string, unknown>>
  readonly consequences: readonly string[]
}

const readConfiguration: EntryRequest = { method: 'GET', path: '/configuration' }

function parseNumbers (text: string): Record<string, number> {
  return Object.fromEntries(text.split(',').map((part) => {
    const [section = '', number] = part.split('=')
    return [section, wholeNumber(`--read ${section}`, number ?? '') ?? 0]
  }))
}

/** Shows the current document. */
export class ConfigurationGet extends EntryCommand {
  static override paths = [['configuration', 'get']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'show the document in force',
    details: 'Prints the document. With --json also prints the section numbers, which a put needs.'
  })

  section = Option.String('--section', { description: 'show only this section' })

  protected override run (): Promise<ExitCode> {
    return this.show<ConfigurationView>(readConfiguration, ({ document = {} }) =>
      [JSON.stringify(this.section === undefined ? document : document[this.section], undefined, 2) ?? ''])
  }
}

abstract class ConfigurationChange extends EntryCommand {
  file = Option.String({ name: 'FILE' })
  read = Option.String('--read', { description: 'section numbers that the change is based on, as section=number,section=number; by default the current ones' })
  requestIdentifier = Option.String('--request-identifier', { description: 'identifier that makes a resend idempotent; by default a new one' })

  protected async sendChange (method: 'PUT' | 'POST', path: string, formatLines: (view: ConfigurationView) => string[], sections: unknown): Promise<ExitCode> {
    if (typeof sections !== 'object' || sections === null) throw new UsageError(`${this.file} contains no JSON object of sections`)
    const read = this.read === undefined ? await this.currentNumbers(Object.keys(sections)) : parseNumbers(this.read)
    if (typeof read === 'number') return read
    const requestIdentifier = this.requestIdentifier ?? randomUUID()
    return this.show<ConfigurationView>({ method, path, body: { requestIdentifier, read, sections } }, formatLines)
  }

  /** Only the sections that are written are compared, so that teams that write different sections do not conflict. */
  private async currentNumbers (sections: string[]): Promise<Record<string, number> | ExitCode> {
    const token = this.token ?? process.env.BRAMLEYFLOW_TOKEN
    const answer = await requestEntry({ entry: this.entry, token }, readConfiguration)
    if (answer.isErr()) return this.printRefusal(answer.error)
    const numbers = parseJsonBody<ConfigurationView>(answer.value).sections
    return Object.fromEntries(sections.map((section) => [section, numbers[section] ?? 0]))
  }
}

/** Replaces sections of the document. */
export class ConfigurationPut extends ConfigurationChange {
  static override paths = [['configuration', 'put']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'replace sections of the document',
    details: `
      FILE is one JSON object of the sections to replace; - reads standard input.
      The whole put is refused if the number of any of these sections has changed since it was read.
    `,
    examples: [['Replace what is in the file', '$0 configuration put sections.json'], ['Only if the section has not changed since number 4', '$0 configuration put sections.json --read jobs=4']]
  })

  protected override async run (): Promise<ExitCode> {
    return await this.sendChange('PUT', '/configuration', ({ number, consequences }) => [`document number ${number} is in force`, ...consequences], await readJsonFile(this.file))
  }
}

/** Validates a document without putting it. */
export class ConfigurationCheck extends ConfigurationChange {
  static override paths = [['configuration', 'check']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'show the consequences of a put without applying it',
    details: `
      FILE has the format of configuration put, or is a queue document in the format of queue document put or of the users' platform.
      Sections are checked by a running system; with --against, and for queue documents, the check is made here, and compares with
      that file or else with the queue document in force. Exits with 7 if the document would be refused, and with --strict on a warning.
    `,
    examples: [
      ['Check sections against the running system', '$0 configuration check sections.json'],
      ['Check a queue document without a system', '$0 configuration check queues.json --against current.json --strict']
    ]
  })

  against = Option.String('--against', { description: 'file with the document in force; by default that of the running system' })
  offline = Option.Boolean('--offline', false, { description: 'check a queue document without comparing it' })
  format = Option.String('--format', { description: 'sections, queues or platform; by default recognized from the content' })
  number = Option.String('--number', { description: 'number of a queue document that does not state it' })
  fleet = Option.String('--fleet', { description: 'file with the fleet: [{"service", "accelerators", "workers"}]' })
  strict = Option.Boolean('--strict', false, { description: 'fail on warnings as well' })

  protected override async run (): Promise<ExitCode> {
    const text = await readTextFile(this.file)
    const { checkSectionsText, DocumentFormat } = await import('./document-check')
    const format = await this.formatOf(this.file, text, this.format)
    if (format !== DocumentFormat.Sections) return await this.checkQueues({ format, text })
    if (this.against !== undefined) return await this.report(checkSectionsText(text, await readJsonFile(this.against)))
    if (this.offline) throw new UsageError('--offline needs --against for sections')
    return await this.sendChange('POST', '/configuration/check', ({ consequences }) => ['the change would be accepted', ...consequences], parseJsonText(this.file, text))
  }

  private async formatOf (path: string, text: string, name?: string): Promise<DocumentFormat> {
    const { DocumentFormat, formatOf } = await import('./document-check')
    const value = parseJsonText(path, text)
    if (name === undefined) return formatOf(value)
    const format = Object.values(DocumentFormat).find((known) => known === name)
    if (format === undefined) throw new UsageError(`--format expects ${Object.values(DocumentFormat).join(', ')}, not ${JSON.stringify(name)}`)
    return format
  }

  private async checkQueues (submitted: QueueText): Promise<ExitCode> {
    const { checkQueueText, readFleet } = await import('./document-check')
    const fleet = this.fleet === undefined ? undefined : readFleet(await readJsonFile(this.fleet))
    const inForce = await this.queuesInForce()
    if (typeof inForce === 'number') return inForce
    return await this.report(checkQueueText(submitted, wholeNumber('--number', this.number), { inForce, fleet }))
  }

  /** The exit code where the system does not answer. */
  private async queuesInForce (): Promise<CheckedDocument | ExitCode | undefined> {
    if (this.against !== undefined) return await this.readCurrent(this.against, await readTextFile(this.against))
    if (this.offline) return undefined
    const token = this.token ?? process.env.BRAMLEYFLOW_TOKEN
    const answer = await requestEntry({ entry: this.entry, token }, { method: 'GET', path: '/queue-document' })
    if (answer.isErr()) return this.printRefusal(answer.error)
    const { number, source } = parseJsonBody<QueueDocumentView>(answer.value)
    if (number === 0) return { number, document: { queues: [], services: [], accounts: [] } }
    return { ...await this.readCurrent('the document in force', source), number }
  }

  private async readCurrent (path: string, text: string): Promise<CheckedDocument> {
    const { DocumentFormat, readCurrentQueues } = await import('./document-check')
    const format = await this.formatOf(path, text)
    if (format === DocumentFormat.Sections) throw new UsageError(`${path} is no queue document`)
    return readCurrentQueues({ format, text })
  }

  private async report (report: DocumentReport): Promise<ExitCode> {
    const { reportLines } = await import('./document-check')
    this.print({ accepted: report.problems.length === 0, ...report }, () => reportLines(report))
    return report.problems.length > 0 || (this.strict && report.findings.length > 0) ? ExitCode.CheckFailed : ExitCode.Done
  }
}

interface ConfigurationStatusView {
  readonly number: number
  readonly followers: number
  readonly leader: string
  readonly laggards: ReadonlyArray<{ readonly process: string, readonly inForce: number }>
}

/** Shows which processes do not have the newest document yet. */
export class ConfigurationStatus extends EntryCommand {
  static override paths = [['configuration', 'status']]
  static override usage = Command.Usage({ category: 'Configuration', description: 'show which processes do not have the newest document yet' })

  protected override run (): Promise<ExitCode> {
    return this.show<ConfigurationStatusView>({ method: 'GET', path: '/configuration/status' }, ({ number, followers, leader, laggards }) => [
      `number ${number}, leader ${leader}, ${followers} processes follow, ${laggards.length} of them lag behind`,
      ...laggards.map((laggard) => `${laggard.process} has number ${laggard.inForce}`)
    ])
  }
}
