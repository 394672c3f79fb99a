import { randomUUID } from 'node:crypto'
import { build, type Histogram } from 'hdr-histogram-js'
import { Agent, type Dispatcher } from 'undici'

const MILLISECONDS_PER_SECOND = 1_000
const MICROSECONDS_PER_MILLISECOND = 1_000
const MAX_LATENCY_MICROSECONDS = 600_000_000

/** Parameters of a load test. */
export interface LoadPlan {
  readonly entry: string
  readonly token: string | undefined
  /** Base URL of a target to call instead of the entry. */
  readonly direct: string | undefined
  /** Jobs per second in an open loop; 0 when callers is set. */
  readonly rate: number
  /** Concurrent callers in a closed loop; 0 when rate is set. */
  readonly callers: number
  readonly seconds: number
  /** Time that each job takes at the stand-in target. */
  readonly milliseconds: number
  readonly accelerators: number
  readonly workers: number
  readonly connections: number
}

/** Latency quantiles, in milliseconds. */
export interface Quantiles {
  readonly count: number
  readonly p50: number
  readonly p95: number
  readonly p99: number
  readonly max: number
}

/** Results of a load test. */
export interface LoadReport {
  readonly sent: number
  readonly answered: number
  /** Number of refusals by code. */
  readonly refused: Readonly<Record<string, number>>
  /** Broken connections, and answers that belong to another request. */
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
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_MICROSECONDS, numberOfSignificantValueDigits: 3 })
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

/** One load test: sends jobs on a schedule or from concurrent callers, and counts the results. */
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
      const scheduledAt = startedAt + sent * interval
      const waitMilliseconds = scheduledAt - performance.now()
      if (waitMilliseconds > 0) await new Promise((resolve) => { setTimeout(resolve, waitMilliseconds) })
      open.push(this.sendOne(scheduledAt))
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

  private async sendOne (scheduledAt: number): Promise<void> {
    const text = randomUUID()
    this.tally.sent += 1
    const createRequest = this.plan.direct === undefined ? jobRequest : directRequest
    try {
      const answer = await this.agent.request({ origin: this.origin, ...createRequest(this.plan, text) })
      this.count(answer.statusCode, await answer.body.text(), text, scheduledAt)
    } catch {
      this.tally.broken += 1
    }
  }

  /** An answer counts only if it contains the unique text of its request. */
  private count (status: number, body: string, text: string, scheduledAt: number): void {
    const microseconds = Math.max(1, Math.round((performance.now() - scheduledAt) * MICROSECONDS_PER_MILLISECOND))
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
 * Runs a load test.
 * @param plan - its parameters
 * @returns its results
 */
export function runLoad (plan: LoadPlan): Promise<LoadReport> {
  return new LoadRun(plan).run()
}
