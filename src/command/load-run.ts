import { randomUUID } from 'node:crypto'
import { build, type Histogram } from 'hdr-histogram-js'
import { Agent, type Dispatcher } from 'undici'

const MILLISECONDS_PER_SECOND = 1_000
const MICROSECONDS_PER_MILLISECOND = 1_000
const HIGHEST_MICROSECONDS = 600_000_000

/** What to send. */
export interface LoadPlan {
  readonly entry: string
  readonly token: string | undefined
  /** Base URL of a target that is called instead of the entry. */
  readonly direct: string | undefined
  /** Jobs a second in open loop; 0 where callers is set. */
  readonly rate: number
  /** Callers in closed loop; 0 where rate is set. */
  readonly callers: number
  readonly seconds: number
  /** Work of each job at the stand-in target. */
  readonly milliseconds: number
  readonly accelerators: number
  readonly workers: number
  readonly connections: number
}

/** Quantiles of a latency, in milliseconds. */
export interface Quantiles {
  readonly count: number
  readonly p50: number
  readonly p95: number
  readonly p99: number
  readonly max: number
}

/** What was measured. */
export interface LoadReport {
  readonly sent: number
  readonly answered: number
  /** Refusals by code. */
  readonly refused: Readonly<Record<string, number>>
  /** Connections that broke, and answers that were not the own one. */
  readonly broken: number
  readonly seconds: number
  readonly answeredPerSecond: number
  readonly latencyMilliseconds: Quantiles
  readonly refusalMilliseconds: Quantiles
}

interface Tally {
  sent: number
  answered: number
  broken: number
  readonly refused: Record<string, number>
  readonly answers: Histogram
  readonly refusals: Histogram
}

function newHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_MICROSECONDS, numberOfSignificantValueDigits: 3 })
}

function quantiles (histogram: Histogram): Quantiles {
  const at = (percent: number): number => histogram.getValueAtPercentile(percent) / MICROSECONDS_PER_MILLISECOND
  return { count: histogram.totalCount, p50: at(50), p95: at(95), p99: at(99), max: histogram.totalCount === 0 ? 0 : histogram.maxValue / MICROSECONDS_PER_MILLISECOND }
}

function jobRequest (plan: LoadPlan, text: string): Dispatcher.RequestOptions {
  const { workers, accelerators } = plan
  const payload = Buffer.from(JSON.stringify({ milliseconds: plan.milliseconds, text })).toString('base64')
  return {
    method: 'POST',
    path: '/jobs?wait=true',
    headers: { 'content-type': 'application/json', authorization: `Bearer ${plan.token ?? ''}` },
    body: JSON.stringify({ identifier: text, kind: 'load', shape: { workers, accelerators }, payload: { base64: payload } })
  }
}

function directRequest (plan: LoadPlan, text: string): Dispatcher.RequestOptions {
  return {
    method: 'POST',
    path: '/requests',
    headers: { 'content-type': 'application/json', job: text, attempt: '1' },
    body: JSON.stringify({ milliseconds: plan.milliseconds, text })
  }
}

function refusalCode (body: string): string | undefined {
  try {
    return (JSON.parse(body) as { code?: string }).code
  } catch {
    return undefined
  }
}

/** One run: sends on schedule or by callers, and tallies. */
class LoadRun {
  private readonly agent: Agent
  private readonly origin: string
  private readonly tally: Tally = { sent: 0, answered: 0, broken: 0, refused: {}, answers: newHistogram(), refusals: newHistogram() }

  constructor (private readonly plan: LoadPlan) {
    this.agent = new Agent({ connections: plan.connections, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
    this.origin = plan.direct ?? (/^https?:\/\//.test(plan.entry) ? plan.entry : `http://${plan.entry}`)
  }

  async run (): Promise<LoadReport> {
    const startedAt = performance.now()
    await (this.plan.callers > 0 ? this.closedLoop(startedAt) : this.openLoop(startedAt))
    const seconds = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND
    await this.agent.close()
    const { sent, answered, broken, refused, answers, refusals } = this.tally
    return {
      sent, answered, refused, broken, seconds, answeredPerSecond: answered / seconds, latencyMilliseconds: quantiles(answers), refusalMilliseconds: quantiles(refusals)
    }
  }

  private async openLoop (startedAt: number): Promise<void> {
    const total = this.plan.rate * this.plan.seconds
    const interval = MILLISECONDS_PER_SECOND / this.plan.rate
    const open: Array<Promise<void>> = []
    for (let sent = 0; sent < total; sent += 1) {
      const due = startedAt + sent * interval
      const early = due - performance.now()
      if (early > 0) await new Promise((resolve) => { setTimeout(resolve, early) })
      open.push(this.sendOne(due))
    }
    await Promise.all(open)
  }

  private async closedLoop (startedAt: number): Promise<void> {
    const until = startedAt + this.plan.seconds * MILLISECONDS_PER_SECOND
    const call = async (): Promise<void> => {
      while (performance.now() < until) await this.sendOne(performance.now())
    }
    await Promise.all(Array.from({ length: this.plan.callers }, call))
  }

  private async sendOne (due: number): Promise<void> {
    const text = randomUUID()
    this.tally.sent += 1
    const make = this.plan.direct === undefined ? jobRequest : directRequest
    try {
      const answer = await this.agent.request({ origin: this.origin, ...make(this.plan, text) })
      this.count(answer.statusCode, await answer.body.text(), text, due)
    } catch {
      this.tally.broken += 1
    }
  }

  /** An answer counts only where it holds this request's own text. */
  private count (status: number, body: string, text: string, due: number): void {
    const microseconds = Math.max(1, Math.round((performance.now() - due) * MICROSECONDS_PER_MILLISECOND))
    if (status === 200 && body.includes(text)) {
      this.tally.answered += 1
      this.tally.answers.recordValue(microseconds)
      return
    }
    const code = status >= 400 ? refusalCode(body) : undefined
    if (code === undefined) {
      this.tally.broken += 1
      return
    }
    this.tally.refused[code] = (this.tally.refused[code] ?? 0) + 1
    this.tally.refusals.recordValue(microseconds)
  }
}

/**
 * Sends jobs and measures.
 * @param plan - what to send
 * @returns the figures
 */
export function runLoad (plan: LoadPlan): Promise<LoadReport> {
  return new LoadRun(plan).run()
}
