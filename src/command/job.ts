import { randomUUID } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { Command, Option } from 'clipanion'
import type { JobView } from '../entry/job-view'
import { splitExport, auditExportRequest } from './audit'
import type { EntryAnswer } from './entry-client'
import { parseJsonBody } from './entry-client'
import { EntryCommand, readJsonFile, readTextFile, table, UsageError, wholeNumber } from './entry-command'
import { ExitCode } from './exit-code'

const MILLISECONDS_PER_SECOND = 1_000

function jobLine ({ identifier, state, reason, message }: JobView): string {
  return [identifier, state, reason, message].filter((part) => part !== '').join('  ')
}

function jobPath (identifier: string, rest = ''): string {
  return `/jobs/${encodeURIComponent(identifier)}${rest}`
}

abstract class AnswerCommand extends EntryCommand {
  output = Option.String('--output', { description: 'write the answer to this file' })

  /** Writes the answer's bytes unchanged. Status 202 means that there is no answer yet. */
  protected async useAnswer (answer: EntryAnswer): Promise<ExitCode> {
    if (answer.status === 202) {
      const view = parseJsonBody<JobView>(answer)
      this.print(view, () => [jobLine(view)])
      return ExitCode.Done
    }
    if (this.output === undefined) this.context.stdout.write(answer.body)
    else await this.writeOutput(this.output, answer.body)
    return ExitCode.Done
  }

  private async writeOutput (path: string, body: Buffer): Promise<void> {
    const { writeFile } = await import('node:fs/promises')
    await writeFile(path, body)
  }
}

/** Submits a job. */
export class JobSubmit extends AnswerCommand {
  static override paths = [['job', 'submit']]
  static override usage = Command.Usage({
    category: 'Jobs',
    description: 'submit a job',
    details: `
      The job is read from --file (the JSON body of POST /jobs) or built from the options. With --wait the answer is
      printed. After exit code 3 the job may have run: look it up by the identifier that is printed. Submitting again
      with the same --identifier never accepts it twice.
    `,
    examples: [
      ['One worker with two adjacent accelerators', '$0 job submit --accelerators 2 --payload \'{"milliseconds":100}\' --wait'],
      ['A gang of four workers in one rack', '$0 job submit --workers 4 --accelerators 8 --within rack --payload-file plan.json']
    ]
  })

  file = Option.String('--file', { description: 'the whole submission as JSON, - for standard input' })
  identifier = Option.String('--identifier', { description: 'idempotency key; by default a new one' })
  wait = Option.Boolean('--wait', false, { description: 'wait for the answer' })
  kind = Option.String('--kind', { description: 'jobs of one kind share estimated run times' })
  workers = Option.String('--workers', { description: 'workers in the gang' })
  accelerators = Option.String('--accelerators', { description: 'adjacent accelerators on each worker' })
  slots = Option.String('--slots', { description: 'slots on each worker' })
  processors = Option.String('--processors', { description: 'processors on each worker' })
  memoryMegabytes = Option.String('--memory-megabytes', { description: 'memory on each worker' })
  within = Option.String('--within', { description: 'worker, rack or data-centre' })
  idempotent = Option.Boolean('--idempotent', { description: 'the job may run more than once' })
  checkpointable = Option.Boolean('--checkpointable', { description: 'the job can be checkpointed, or stopped and run again' })
  urgency = Option.String('--urgency', { description: 'urgent, normal or background' })
  deadlineSeconds = Option.String('--deadline-seconds', { description: 'seconds from now after which the job is not started any more' })
  declaredSeconds = Option.String('--declared-seconds', { description: 'expected run time' })
  payload = Option.String('--payload', { description: 'the body as text' })
  payloadFile = Option.String('--payload-file', { description: 'the body from a file' })
  contentType = Option.String('--content-type', { description: 'content type of the body' })

  protected override async run (): Promise<ExitCode> {
    const submission = this.file === undefined ? await this.fromOptions() : await readJsonFile(this.file) as { identifier?: string }
    const body = { ...submission, identifier: this.identifier ?? submission.identifier ?? randomUUID() }
    const path = this.wait ? '/jobs?wait=true' : '/jobs'
    const code = await this.sendRequest({ method: 'POST', path, body, noTimeout: this.wait }, (answer) => this.useAnswer(answer))
    if (code === ExitCode.MayHaveRun) this.printError(`look it up with: bramleyflow job show ${body.identifier}`)
    return code
  }

  private async fromOptions (): Promise<{ identifier?: string }> {
    const submission = {
      kind: this.kind,
      shape: this.shape(),
      idempotent: this.idempotent,
      checkpointable: this.checkpointable,
      urgency: this.urgency,
      deadline: this.deadline(),
      declaredSeconds: wholeNumber('--declared-seconds', this.declaredSeconds),
      payload: { contentType: this.contentType, base64: (await this.body()).toString('base64') }
    }
    return submission as { identifier?: string }
  }

  private shape (): object {
    return {
      workers: wholeNumber('--workers', this.workers),
      accelerators: wholeNumber('--accelerators', this.accelerators) ?? 0,
      slots: wholeNumber('--slots', this.slots),
      processors: wholeNumber('--processors', this.processors),
      memoryMegabytes: wholeNumber('--memory-megabytes', this.memoryMegabytes),
      within: this.within
    }
  }

  private deadline (): number | undefined {
    const seconds = wholeNumber('--deadline-seconds', this.deadlineSeconds)
    return seconds === undefined ? undefined : Date.now() + seconds * MILLISECONDS_PER_SECOND
  }

  private async body (): Promise<Buffer> {
    if (this.payloadFile === undefined) return Buffer.from(this.payload ?? '{}')
    try {
      return await readFile(this.payloadFile)
    } catch (error) {
      throw new UsageError(`cannot read ${this.payloadFile}: ${(error as Error).message}`)
    }
  }
}

/** Lists jobs. */
export class JobList extends EntryCommand {
  static override paths = [['job', 'list']]
  static override usage = Command.Usage({ category: 'Jobs', description: 'list jobs' })

  state = Option.String('--state', { description: 'list only jobs in this state' })
  limit = Option.String('--limit', { description: 'maximum number of jobs' })

  protected override run (): Promise<ExitCode> {
    const query = new URLSearchParams()
    if (this.state !== undefined) query.set('state', this.state)
    const limit = wholeNumber('--limit', this.limit)
    if (limit !== undefined) query.set('limit', String(limit))
    return this.show<{ jobs: JobView[] }>({ method: 'GET', path: `/jobs?${query}` }, ({ jobs }) => table([
      ['IDENTIFIER', 'ACCOUNT', 'STATE', 'ATTEMPT', 'REASON', 'WORKERS'],
      ...jobs.map(({ identifier, account, state, attempt, reason, workers }) => [identifier, account, state, attempt, reason, workers.join(',')])
    ]))
  }
}

/** Shows one job. */
export class JobShow extends EntryCommand {
  static override paths = [['job', 'show']]
  static override usage = Command.Usage({ category: 'Jobs', description: 'show a job\'s state' })

  identifier = Option.String({ name: 'IDENTIFIER' })

  protected override run (): Promise<ExitCode> {
    return this.show<JobView>({ method: 'GET', path: jobPath(this.identifier) }, (view) =>
      Object.entries(view).map(([name, value]) => `${name}: ${Array.isArray(value) ? value.join(', ') : value}`))
  }
}

/** Cancels jobs. */
export class JobCancel extends EntryCommand {
  static override paths = [['job', 'cancel']]
  static override usage = Command.Usage({ category: 'Jobs', description: 'cancel jobs, all in one request' })

  identifiers = Option.Rest({ name: 'IDENTIFIER', required: 1 })

  protected override run (): Promise<ExitCode> {
    const request = { method: 'POST' as const, path: '/jobs/cancel', body: { identifiers: this.identifiers } }
    return this.show<{ jobs: JobView[] }>(request, ({ jobs }) => jobs.map(jobLine))
  }
}

/** Shows every line of the audit record on one job. */
export class JobExplain extends EntryCommand {
  static override paths = [['job', 'explain']]
  static override usage = Command.Usage({
    category: 'Jobs',
    description: 'show the decisions on a job from the audit trail, with times and reasons',
    details: 'Works for every kind of job, with an operator\'s token or on an export. Exits with code 7 if the trail is damaged or does not contain the job.'
  })

  identifier = Option.String({ name: 'IDENTIFIER' })
  file = Option.String('--file', { description: 'an exported audit trail, - for standard input; by default it is requested from the entry' })

  protected override async run (): Promise<ExitCode> {
    if (this.file !== undefined) return await this.report(await readTextFile(this.file))
    return await this.sendRequest(auditExportRequest('0'), async (answer) => await this.report(answer.body.toString()))
  }

  private async report (text: string): Promise<ExitCode> {
    const { accountStatement, findAccountOfJob, formatStatementLine } = await import('../core/account-statement')
    const lines = splitExport(text)
    const account = findAccountOfJob(lines, this.identifier)
    if (account === undefined) {
      this.printError(`the audit trail does not contain job ${this.identifier}: the job was never accepted, or its lines are no longer kept`)
      return ExitCode.CheckFailed
    }
    const statement = accountStatement(lines, account)
    for (const fault of statement.verification.faults) this.printError(fault.text)
    const found = statement.lines.filter(({ job }) => job === this.identifier)
    this.print({ account, lines: found }, () => [`account ${account}`, ...found.map(formatStatementLine)])
    return statement.verification.faults.length === 0 ? ExitCode.Done : ExitCode.CheckFailed
  }
}

/** Fetches a job's answer. */
export class JobAnswer extends AnswerCommand {
  static override paths = [['job', 'answer']]
  static override usage = Command.Usage({ category: 'Jobs', description: 'fetch the answer of a job' })

  identifier = Option.String({ name: 'IDENTIFIER' })
  wait = Option.Boolean('--wait', false, { description: 'wait until the job ends' })

  protected override run (): Promise<ExitCode> {
    const path = jobPath(this.identifier, this.wait ? '/answer?wait=true' : '/answer')
    return this.sendRequest({ method: 'GET', path, noTimeout: this.wait }, (answer) => this.useAnswer(answer))
  }
}
