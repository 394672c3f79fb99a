/**
 * Lists where late jobs spent their time, from the logs of control and entry processes:
 * `npm run account -- LOG...`. One line for each job that was late, ended otherwise or was not accepted, then sums by cause.
 */
import { readFileSync } from 'node:fs'
import { Cli, Command, Option } from 'clipanion'
import { accountOf, JobResult, TimeCause, type JobAccount } from './job-account'
import { linesByJob, parseLog } from './play-log'

/** Results that cost no value. */
const harmlessResults: ReadonlySet<JobResult> = new Set([JobResult.InTime, JobResult.Cancelled])

class AccountCommand extends Command {
  static override paths = [Command.Default]
  readonly files = Option.Rest({ required: 1, name: 'LOG' })

  async execute (): Promise<number> {
    const accounts: JobAccount[] = []
    for (const file of this.files) {
      const found = accountsOf(readFileSync(file, 'utf8'), (message) => { this.context.stderr.write(`${file}: ${message}\n`) })
      this.context.stdout.write(`${file}: ${found.length} jobs\n`)
      for (const account of found) if (!harmlessResults.has(account.result)) this.context.stdout.write(`${lineOf(account)}\n`)
      accounts.push(...found)
    }
    this.context.stdout.write(summaryOf(accounts))
    return 0
  }
}

function accountsOf (text: string, warn: (message: string) => void): JobAccount[] {
  const { lines, unreadable } = parseLog(text)
  if (unreadable > 0) warn(`${unreadable} lines could not be read and are left out`)
  const logEnd = lines.at(-1)?.at ?? 0
  return [...linesByJob(lines)].flatMap(([job, own]) => accountOf(job, own, logEnd) ?? [])
}

function lineOf ({ job, priority, result, tookMilliseconds, objectiveMilliseconds, spent }: JobAccount): string {
  const parts = spent.map(({ cause, detail, milliseconds }) => `${cause}${detail === '' ? '' : ` (${detail})`} ${milliseconds}`)
  return `  ${job} priority ${priority} ${result}: took ${tookMilliseconds} ms, objective ${objectiveMilliseconds} ms; ${parts.join(', ')}`
}

/** Counts of results by priority; then, over the jobs that cost value, the milliseconds spent by priority, cause and detail. */
function summaryOf (accounts: readonly JobAccount[]): string {
  const results = new Map<string, number>()
  const causes = new Map<string, { jobs: number, milliseconds: number }>()
  for (const { priority, result, spent } of accounts) {
    const name = `priority ${priority} ${result}`
    results.set(name, (results.get(name) ?? 0) + 1)
    if (harmlessResults.has(result)) continue
    for (const { cause, detail, milliseconds } of spent) {
      if (cause === TimeCause.Running) continue
      const key = `priority ${priority} ${cause}${detail === '' ? '' : ` (${detail})`}`
      const sum = causes.get(key) ?? { jobs: 0, milliseconds: 0 }
      causes.set(key, { jobs: sum.jobs + 1, milliseconds: sum.milliseconds + milliseconds })
    }
  }
  const rows = [...results].sort().map(([name, count]) => `${name}: ${count}`)
  const causeRows = [...causes].sort(([, one], [, other]) => other.milliseconds - one.milliseconds).map(([name, { jobs, milliseconds }]) => `${name}: ${milliseconds} ms in ${jobs} stretches`)
  return [...rows, '', ...causeRows, ''].join('\n')
}

await Cli.from([AccountCommand], { binaryName: 'account' }).runExit(process.argv.slice(2))
