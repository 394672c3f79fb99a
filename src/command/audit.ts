import { Command, Option } from 'clipanion'
import type { RecordHead } from '../core/state'
import type { EntryRequest } from './entry-client'
import { EntryCommand, readTextFile, UsageError } from './entry-command'
import { ExitCode } from './exit-code'

/**
 * Creates the request that exports the audit trail.
 * @param sequence - sequence number of the first line
 * @returns the request, without a time-out because the export may be long
 */
export function auditExportRequest (sequence: string): EntryRequest {
  return { method: 'GET', path: `/audit?from=${encodeURIComponent(sequence)}`, noTimeout: true }
}

/**
 * Splits an export into lines.
 * @param text - the whole export
 * @returns its lines, without empty ones
 */
export function splitExport (text: string): string[] {
  return text.split('\n').filter((line) => line !== '')
}

function parseHead (name: string, text: string | undefined): RecordHead | undefined {
  if (text === undefined) return undefined
  const [, sequence, digest] = text.match(/^(\d{1,15}):([0-9a-f]{64})$/) ?? []
  if (sequence === undefined || digest === undefined) throw new UsageError(`${name} expects sequence:digest, as printed by audit verify`)
  return { sequence: Number(sequence), digest }
}

/** Exports the audit trail. */
export class AuditExport extends EntryCommand {
  static override paths = [['audit', 'export']]
  static override usage = Command.Usage({ category: 'Audit', description: 'print the audit trail as JSON lines' })

  from = Option.String('--from', '0', { description: 'first sequence number' })

  protected override run (): Promise<ExitCode> {
    return this.sendRequest(auditExportRequest(this.from), (answer) => {
      this.context.stdout.write(answer.body)
      return ExitCode.Done
    })
  }
}

/** Verifies the digest chain of an export. */
export class AuditVerify extends EntryCommand {
  static override paths = [['audit', 'verify']]
  static override usage = Command.Usage({
    category: 'Audit',
    description: 'verify the digest chain of an exported audit trail',
    details: 'Needs only the file; - reads standard input. Exits with code 7 if a line was changed, removed, duplicated or moved.'
  })

  file = Option.String({ name: 'FILE' })
  head = Option.String('--head', { description: 'the last known head, as sequence:digest; also detects missing lines at the end' })
  after = Option.String('--after', { description: 'the head before the first line, if older lines were removed' })

  protected override async run (): Promise<ExitCode> {
    const { verifyRecord } = await import('../core/record-verify')
    const options = { head: parseHead('--head', this.head), after: parseHead('--after', this.after) }
    const found = verifyRecord(splitExport(await readTextFile(this.file)), options)
    this.print(found, () => found.faults.length > 0
      ? found.faults.map(({ text }) => text)
      : [`${found.lines} lines, ${found.first} to ${found.head.sequence}: the chain is intact`, `head ${found.head.sequence}:${found.head.digest}`])
    return found.faults.length === 0 ? ExitCode.Done : ExitCode.CheckFailed
  }
}

/** Shows what an account was guaranteed and what it received. */
export class AuditAccount extends EntryCommand {
  static override paths = [['audit', 'account']]
  static override usage = Command.Usage({
    category: 'Audit', description: 'show line by line what a client account was guaranteed and what it received'
  })

  account = Option.String({ name: 'ACCOUNT' })
  file = Option.String('--file', { description: 'an exported audit trail, - for standard input; by default it is requested from the entry' })

  protected override async run (): Promise<ExitCode> {
    if (this.file !== undefined) return this.report(await readTextFile(this.file))
    return this.sendRequest(auditExportRequest('0'), (answer) => this.report(answer.body.toString()))
  }

  private async report (text: string): Promise<ExitCode> {
    const { accountStatement, formatStatement } = await import('../core/account-statement')
    const statement = accountStatement(splitExport(text), this.account)
    for (const fault of statement.verification.faults) this.printError(fault.text)
    if (statement.verification.faults.length > 0) return ExitCode.CheckFailed
    this.print(statement, () => formatStatement(statement))
    return ExitCode.Done
  }
}
