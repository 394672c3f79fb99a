import type { Server } from 'node:http'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { InterferenceFinding } from '../core/index'
import { registerInterferenceMetrics } from './interference-metrics'
import type { HttpLimits, RequestLimits } from '../http/index'
import { registerLimitMetrics } from '../http/limit-metrics'

/** Functions that return the values of the gauges when metrics are collected. */
export interface ControlGauges {
  readonly leads: () => number
  readonly term: () => number
  readonly committedEntries: () => number
  readonly configurationNumber: () => number
  readonly openJobs: () => number
  readonly queuedJobs: () => number
  readonly presentWorkers: () => number
  readonly brokenGuarantees: () => number
  readonly openStepJobs: () => number
  readonly waitingStepTasks: () => number
  readonly supervisedWorkers: () => number
  readonly silentWorkers: () => number
  readonly slowWorkers: () => number
  readonly stoppedClocks: () => number
  readonly unassignedRuns: () => number
  readonly revocableStarts: () => number
  readonly earlyCancellations: () => number
  readonly documentNumber: () => number
  readonly evacuatedDataCentres: () => number
  readonly evacuatedRuns: () => number
}

const MILLISECONDS_PER_SECOND = 1_000
/** Requests for metrics have no body. */
const requestLimits: RequestLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 0, headerTimeoutMilliseconds: 10_000, idleTimeoutMilliseconds: 60_000 }
const CONNECTION_SHARE = 0.1
const FIRST_START_BUCKETS_SECONDS = [0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 3, 5, 10, 30, 60]
const COMMIT_BUCKETS_SECONDS = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1]

const help: { readonly [name in keyof ControlGauges]: string } = {
  leads: '1 while this host leads',
  term: 'The present term',
  committedEntries: 'Index of the last committed entry',
  configurationNumber: 'Number of the accepted document',
  openJobs: 'Jobs that have not ended or still hold something',
  queuedJobs: 'Jobs that wait',
  presentWorkers: 'Workers whose lease holds',
  brokenGuarantees: 'Guaranteed shapes that have no home',
  openStepJobs: 'Jobs of steps that have not ended or still hold something',
  waitingStepTasks: 'Tasks of jobs of steps that wait',
  supervisedWorkers: 'Incarnations of workers that run tasks of jobs of steps',
  silentWorkers: 'Those of them that were not heard of in time',
  slowWorkers: 'Workers whose learned pace is clearly below that of a typical one',
  evacuatedDataCentres: 'Data centres that get no new work',
  evacuatedRuns: 'Tasks of jobs of steps that still run in evacuated data centres',
  stoppedClocks: 'Those of them whose agents report although their own clock stands still',
  unassignedRuns: 'Runs that workers run although the log does not assign them; should be 0',
  revocableStarts: 'Runs that ended within the last minute, starts of which are revoked at new incarnations of their worker',
  earlyCancellations: 'Jobs that were cancelled before they were submitted, whose submission is still refused',
  documentNumber: 'Number of the numbered document in force'
}

/** The Prometheus metrics of a control host. */
export class ControlMetrics {
  private readonly registry = new Registry()
  private readonly commits = new Histogram({
    name: 'bramleyflow_control_commit_seconds', help: 'Time from proposal to commit', buckets: COMMIT_BUCKETS_SECONDS, registers: [this.registry]
  })

  private readonly refused = new Counter({
    name: 'bramleyflow_control_refusals_total', help: 'Jobs refused, by code', labelNames: ['code'], registers: [this.registry]
  })

  private readonly gangsStarted = new Counter({
    name: 'bramleyflow_control_gangs_started_total', help: 'Runs of gangs started', registers: [this.registry]
  })

  private readonly gangsStopped = new Counter({
    name: 'bramleyflow_control_gangs_stopped_total', help: 'Runs of gangs stopped, by reason', labelNames: ['reason'], registers: [this.registry]
  })

  private readonly crashSuspects = new Counter({
    name: 'bramleyflow_control_crash_suspects_total', help: 'Gangs that may have crashed a worker, by evidence', labelNames: ['evidence'], registers: [this.registry]
  })

  private readonly submissionsRefused = new Counter({
    name: 'bramleyflow_control_submissions_refused_total', help: 'Jobs of steps that were not accepted, by reason', labelNames: ['reason'], registers: [this.registry]
  })

  private readonly firstStarts = new Histogram({
    name: 'bramleyflow_control_first_start_seconds', help: 'Time from acceptance to the first start of a gang', labelNames: ['priority'], buckets: FIRST_START_BUCKETS_SECONDS, registers: [this.registry]
  })

  private readonly termsLed = new Counter({ name: 'bramleyflow_control_terms_led_total', help: 'Times that this host began to lead', registers: [this.registry] })

  private server?: Server

  private constructor (gauges: ControlGauges) {
    for (const name of Object.keys(help) as Array<keyof ControlGauges>) this.registerGauge(name, gauges[name])
  }

  /**
   * Creates the metrics.
   * @param gauges - functions that are called at each collection
   * @returns the metrics, without an HTTP server until listen is called
   */
  static create (gauges: ControlGauges): ControlMetrics {
    return new ControlMetrics(gauges)
  }

  /** Records the time from proposal to commit of an entry. */
  observeCommit (milliseconds: number): void {
    this.commits.observe(milliseconds / MILLISECONDS_PER_SECOND)
  }

  /** Counts a refusal. */
  countRefusal (code: string): void {
    this.refused.inc({ code })
  }

  /** Counts the start of a gang. The delay is measured from the acceptance of its job; it is recorded for first attempts only. */
  countGangStart (priority: number, attempt: number, delayMilliseconds: number): void {
    this.gangsStarted.inc()
    if (attempt === 1) this.firstStarts.observe({ priority }, delayMilliseconds / MILLISECONDS_PER_SECOND)
  }

  /** Counts the stop of a gang. */
  countGangStop (reason: string): void {
    this.gangsStopped.inc({ reason })
  }

  /** Counts a gang that may have crashed a worker. */
  countCrashSuspect (evidence: string): void {
    this.crashSuspects.inc({ evidence })
  }

  /** Counts a job of steps that was not accepted. */
  countSubmissionRefusal (reason: string): void {
    this.submissionsRefused.inc({ reason })
  }

  /** Adds the kinds of task that slow each other down; the function is called at each collection. */
  addInterference (read: () => readonly InterferenceFinding[]): void {
    registerInterferenceMetrics(this.registry, read)
  }

  /** Counts a start of leadership. */
  countLeadership (): void {
    this.termsLed.inc()
  }

  /** Serves /metrics over HTTP at an address, within the limits of the process; rejects if the address cannot be bound. */
  listen (address: string, limits: HttpLimits): Promise<void> {
    const separator = address.lastIndexOf(':')
    registerLimitMetrics(this.registry, limits)
    this.server = limits.guard({ endpoint: 'metrics', connectionShare: CONNECTION_SHARE, limits: () => requestLimits }).createServer((incoming, outgoing) => {
      if (incoming.url !== '/metrics') { outgoing.writeHead(404).end(); return }
      void this.registry.metrics().then((text) => { outgoing.writeHead(200, { 'content-type': this.registry.contentType }).end(text) })
    })
    return new Promise((resolve, reject) => {
      this.server?.once('error', reject)
      this.server?.listen(Number(address.slice(separator + 1)), address.slice(0, separator), resolve)
    })
  }

  /** Stops serving. */
  close (): void {
    this.server?.close()
    this.server?.closeAllConnections()
  }

  private registerGauge (name: keyof ControlGauges, read: () => number): void {
    const snake = name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`)
    const gauge: Gauge = new Gauge({
      name: `bramleyflow_control_${snake}`, help: help[name], registers: [this.registry], collect: () => { gauge.set(read()) }
    })
  }
}
