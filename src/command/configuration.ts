import { randomUUID } from 'node:crypto'
import { Command, Option } from 'clipanion'
import { askEntry, jsonOf, type EntryRequest } from './entry-client'
import { EntryCommand, readJsonFile, UsageProblem, wholeNumber } from './entry-command'
import { ExitCode } from './exit-code'

interface ConfigurationView {
  readonly number: number
  readonly sections: Readonly<Record<string, number>>
  readonly document?: Readonly<Record<string, unknown>>
  readonly consequences: readonly string[]
}

const readConfiguration: EntryRequest = { method: 'GET', path: '/configuration' }

function readNumbers (text: string): Record<string, number> {
  return Object.fromEntries(text.split(',').map((part) => {
    const [section = '', number] = part.split('=')
    return [section, wholeNumber(`--read ${section}`, number ?? '') ?? 0]
  }))
}

/** Shows the document in force. */
export class ConfigurationGet extends EntryCommand {
  static override paths = [['configuration', 'get']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'show the document in force',
    details: 'Prints the document. With --json the numbers of the sections are printed too; a put needs them.'
  })

  section = Option.String('--section', { description: 'only this section' })

  protected override run (): Promise<ExitCode> {
    return this.show<ConfigurationView>(readConfiguration, ({ document = {} }) =>
      [JSON.stringify(this.section === undefined ? document : document[this.section], undefined, 2) ?? ''])
  }
}

abstract class ConfigurationChange extends EntryCommand {
  file = Option.String({ name: 'FILE' })
  read = Option.String('--read', { description: 'the numbers that were read, as section=number,section=number; by default those in force now' })
  requestIdentifier = Option.String('--request-identifier', { description: 'the same identifier makes a resend harmless; by default a new one' })

  protected async sendChange (method: 'PUT' | 'POST', path: string, say: (view: ConfigurationView) => string[]): Promise<ExitCode> {
    const sections = await readJsonFile(this.file)
    if (typeof sections !== 'object' || sections === null) throw new UsageProblem(`${this.file} holds no sections`)
    const read = this.read === undefined ? await this.numbersNow(Object.keys(sections)) : readNumbers(this.read)
    if (typeof read === 'number') return read
    const requestIdentifier = this.requestIdentifier ?? randomUUID()
    return this.show<ConfigurationView>({ method, path, body: { requestIdentifier, read, sections } }, say)
  }

  /** Only the sections that are written are compared, so that teams on different sections do not collide. */
  private async numbersNow (sections: string[]): Promise<Record<string, number> | ExitCode> {
    const token = this.token ?? process.env.BRAMLEYFLOW_TOKEN
    const answer = await askEntry({ entry: this.entry, token }, readConfiguration)
    if (answer.isErr()) return this.refused(answer.error)
    const numbers = jsonOf<ConfigurationView>(answer.value).sections
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
      A section whose number has changed since it was read refuses the whole put.
    `,
    examples: [['Replace what is in the file', '$0 configuration put sections.json'], ['Only if nobody wrote since', '$0 configuration put sections.json --read jobs=4']]
  })

  protected override run (): Promise<ExitCode> {
    return this.sendChange('PUT', '/configuration', ({ number, consequences }) => [`document number ${number} is in force`, ...consequences])
  }
}

/** Checks sections without replacing them. */
export class ConfigurationCheck extends ConfigurationChange {
  static override paths = [['configuration', 'check']]
  static override usage = Command.Usage({
    category: 'Configuration', description: 'say what a put would do, without doing it', details: 'FILE is as for configuration put.'
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

/** Shows where the newest document is not in force yet. */
export class ConfigurationStatus extends EntryCommand {
  static override paths = [['configuration', 'status']]
  static override usage = Command.Usage({ category: 'Configuration', description: 'show which processes do not have the newest document in force' })

  protected override run (): Promise<ExitCode> {
    return this.show<ConfigurationStatusView>({ method: 'GET', path: '/configuration/status' }, ({ number, followers, leader, laggards }) => [
      `number ${number}, leader ${leader}, ${followers} processes follow, ${laggards.length} of them lag`,
      ...laggards.map((laggard) => `${laggard.process} has ${laggard.inForce}`)
    ])
  }
}
