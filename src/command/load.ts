import { Command, Option } from 'clipanion'
import { UsageError, wholeNumber, EntryCommand } from './entry-command'
import { ExitCode } from './exit-code'
import type { LoadReport, LoadPlan } from './load-run'

const percentLine = ({ count, p50, p95, p99, max }: LoadReport['latencyMilliseconds']): string =>
  `${count} answers: p50 ${p50} ms, p95 ${p95} ms, p99 ${p99} ms, max ${max} ms`

function reportLines (report: LoadReport): string[] {
  return [
    `${report.sent} sent in ${report.seconds.toFixed(1)} s, ${report.answered} answered correctly, ${report.answeredPerSecond.toFixed(1)} per second`,
    percentLine(report.latencyMilliseconds),
    ...Object.entries(report.refused).map(([code, count]) => `${count} refused: ${code}`),
    ...(report.refusalMilliseconds.count > 0 ? [`refusals: ${percentLine(report.refusalMilliseconds)}`] : []),
    ...(report.broken > 0 ? [`${report.broken} with a broken connection or a wrong answer`] : [])
  ]
}

/** Sends jobs to a running entry and prints latencies. */
export class Load extends EntryCommand {
  static override paths = [['load']]
  static override usage = Command.Usage({
    category: 'Trials',
    description: 'send jobs to a running entry, or directly to a target, and print latencies',
    details: `
      With --rate jobs are sent on a schedule that does not wait for answers (open loop), and latencies are measured
      from the scheduled time. With --callers each caller sends its next job when its last one is answered (closed
      loop). With --direct the same requests are sent directly to a target, for comparison.
    `,
    examples: [
      ['A hundred jobs a second for ten seconds', '$0 load --rate 100 --seconds 10'],
      ['The same load without bramleyflow', '$0 load --rate 100 --seconds 10 --direct http://127.0.0.1:8000']
    ]
  })

  rate = Option.String('--rate', { description: 'jobs per second' })
  callers = Option.String('--callers', { description: 'concurrent callers that each send one job after the other, instead of --rate' })
  seconds = Option.String('--seconds', '5', { description: 'duration of the load' })
  milliseconds = Option.String('--milliseconds', '0', { description: 'time that each job takes at the stand-in target' })
  accelerators = Option.String('--accelerators', '0', { description: 'adjacent accelerators of each job' })
  workers = Option.String('--workers', '1', { description: 'workers of each job' })
  connections = Option.String('--connections', '256', { description: 'maximum number of connections' })
  direct = Option.String('--direct', { description: 'base URL of a target to call instead of the entry' })

  protected override async run (): Promise<ExitCode> {
    const { runLoad } = await import('./load-run')
    const report = await runLoad(this.plan())
    this.print(report, () => reportLines(report))
    return report.broken > 0 ? ExitCode.MayHaveRun : ExitCode.Done
  }

  private plan (): LoadPlan {
    if (this.rate !== undefined && this.callers !== undefined) throw new UsageError('--rate and --callers are mutually exclusive')
    const number = (name: string, text: string): number => wholeNumber(name, text) ?? 0
    const callers = wholeNumber('--callers', this.callers)
    return {
      entry: this.entry,
      token: this.token ?? process.env.BRAMLEYFLOW_TOKEN,
      direct: this.direct,
      rate: callers === undefined ? wholeNumber('--rate', this.rate) ?? 10 : 0,
      callers: callers ?? 0,
      seconds: number('--seconds', this.seconds),
      milliseconds: number('--milliseconds', this.milliseconds),
      accelerators: number('--accelerators', this.accelerators),
      workers: number('--workers', this.workers),
      connections: number('--connections', this.connections)
    }
  }
}
