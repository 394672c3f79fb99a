import { randomUUID } from 'node:crypto'
import { Command, Option } from 'clipanion'
import { requestEntry, parseJsonBody, type EntryRequest } from './entry-client'
import { EntryCommand, readJsonFile, UsageError, wholeNumber } from './entry-command'
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

  protected async sendChange (method: 'PUT' | 'POST', path: string, formatLines: (view: ConfigurationView) => string[]): Promise<ExitCode> {
    const sections = await readJsonFile(this.file)
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

  protected override run (): Promise<ExitCode> {
    return this.sendChange('PUT', '/configuration', ({ number, consequences }) => [`document number ${number} is in force`, ...consequences])
  }
}

/** Validates sections without replacing them. */
export class ConfigurationCheck extends ConfigurationChange {
  static override paths = [['configuration', 'check']]
  static override usage = Command.Usage({
    category: 'Configuration', description: 'show the consequences of a put without applying it', details: 'FILE has the format of configuration put.'
  })

  protected override run (): Promise<ExitCode> {
    return this.sendChange('POST', '/configuration/check', ({ consequences }) => ['the change would be accepted', ...consequences])
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
