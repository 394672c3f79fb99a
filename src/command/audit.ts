import { Command, Option } from 'clipanion'
import type { RecordHead } from '../core/state'
import type { EntryRequest } from './entry-client'
import { EntryCommand, readTextFile, UsageProblem } from './entry-command'
import { ExitCode } from './exit-code'

/**
 * The request for the audit trail.
 * @param sequence - first sequence number
 * @returns the request; its answer may take long
 */
export function recordFrom (sequence: string): EntryRequest {
  return { method: 'GET', path: `/audit?from=${encodeURIComponent(sequence)}`, patient: true }
}

/**
 * The lines of an export.
 * @param text - the whole export
 * @returns its lines without empty ones
 */
export function linesOf (text: string): string[] {
  return text.split('\n').filter((line) => line !== '')
}

function readHead (name: string, text: string | undefined): RecordHead | undefined {
  if (text === undefined) return undefined
  const [, sequence, digest] = text.match(/^(\d{1,15}):([0-9a-f]{64})$/) ?? []
  if (sequence === undefined || digest === undefined) throw new UsageProblem(`${name} takes sequence:digest, as audit verify prints it`)
  return { sequence: Number(sequence), digest }
}

/** Exports the audit trail. */
export class AuditExport extends EntryCommand {
  static override paths = [['audit', 'export']]
  static override usage = Command.Usage({ category: 'Audit', description: 'print the audit trail as JSON lines' })

  from = Option.String('--from', '0', { description: 'first sequence number' })

  protected override run (): Promise<ExitCode> {
    return this.ask(recordFrom(this.from), (answer) => {
      this.context.stdout.write(answer.body)
      return ExitCode.Done
    })
  }
}

/** Checks an export. */
export class AuditVerify extends EntryCommand {
  static override paths = [['audit', 'verify']]
  static override usage = Command.Usage({
    category: 'Audit',
    description: 'check the chain of an exported audit trail',
    details: 'Needs the file alone; - reads standard input. Exits with 7 where a line was changed, left out, doubled or moved.'
  })

  file = Option.String({ name: 'FILE' })
  head = Option.String('--head', { description: 'the last head that was noted, as sequence:digest; shows a cut tail too' })
  after = Option.String('--after', { description: 'the head before the first line, where older lines were removed' })

  protected override async run (): Promise<ExitCode> {
    const { verifyRecord } = await import('../core/record-verify')
    const options = { head: readHead('--head', this.head), after: readHead('--after', this.after) }
    const found = verifyRecord(linesOf(await readTextFile(this.file)), options)
    this.print(found, () => found.faults.length > 0
      ? found.faults.map(({ text }) => text)
      : [`${found.lines} lines, ${found.first} to ${found.head.sequence}: the chain holds`, `head ${found.head.sequence}:${found.head.digest}`])
    return found.faults.length === 0 ? ExitCode.Done : ExitCode.CheckFailed
  }
}

/** Shows what an account was promised and what it got. */
export class AuditAccount extends EntryCommand {
  static override paths = [['audit', 'account']]
  static override usage = Command.Usage({
    category: 'Audit', description: 'show line by line what a client account was promised and what it got'
  })

  account = Option.String({ name: 'ACCOUNT' })
  file = Option.String('--file', { description: 'an export, - for standard input; by default the entry is asked' })

  protected override async run (): Promise<ExitCode> {
    if (this.file !== undefined) return this.report(await readTextFile(this.file))
    return this.ask(recordFrom('0'), (answer) => this.report(answer.body.toString()))
  }

  private async report (text: string): Promise<ExitCode> {
    const { accountStatement, statementLines } = await import('../core/account-statement')
    const statement = accountStatement(linesOf(text), this.account)
    for (const fault of statement.verification.faults) this.complain(fault.text)
    if (statement.verification.faults.length > 0) return ExitCode.CheckFailed
    this.print(statement, () => statementLines(statement))
    return ExitCode.Done
  }
}
