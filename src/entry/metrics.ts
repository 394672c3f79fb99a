import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import type { HttpLimits } from '../http/index'
import { registerLimitMetrics } from '../http/limit-metrics'
import type { Principal } from './authenticator'
import { PrincipalKind } from './authenticator'
import type { RelayRefusal } from './relay'

const REQUEST_SECONDS_BUCKETS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 60, 600]
const MILLISECONDS_PER_SECOND = 1_000

/** Values that the gauges read at each collection. */
export interface EntryGauges {
  readonly openRequests: () => number
  readonly configurationNumber: () => number
  readonly configurationConfirmed: () => boolean
  readonly relayedConnections: () => number
}

/** The metrics of an entry, in the Prometheus text format. */
export class EntryMetrics {
  private readonly registry = new Registry()
  private readonly answers = new Counter({
    name: 'bramleyflow_entry_answers_total', help: 'Answers by account and status', labelNames: ['account', 'status'], registers: [this.registry]
  })

  private readonly seconds = new Histogram({
    name: 'bramleyflow_entry_request_seconds',
    help: 'Time until the answer was sent',
    labelNames: ['method'],
    buckets: REQUEST_SECONDS_BUCKETS,
    registers: [this.registry]
  })

  private readonly resends = new Counter({
    name: 'bramleyflow_entry_resends_total', help: 'Requests sent again to control after a break', registers: [this.registry]
  })

  private readonly relayRefusals = new Counter({
    name: 'bramleyflow_entry_relay_refusals_total', help: 'Connections of agents that were not forwarded to the leader, by reason', labelNames: ['reason'], registers: [this.registry]
  })

  private constructor (gauges: EntryGauges, limits: HttpLimits) {
    registerLimitMetrics(this.registry, limits)
    collectDefaultMetrics({ register: this.registry })
    this.gauge('bramleyflow_entry_open_requests', 'Requests open now', gauges.openRequests)
    this.gauge('bramleyflow_entry_configuration_number', 'Number of the document in force', gauges.configurationNumber)
    this.gauge('bramleyflow_entry_configuration_confirmed', '1 while a leader confirms the copy in time', () => Number(gauges.configurationConfirmed()))
    this.gauge('bramleyflow_entry_relayed_connections', 'Connections of agents that are forwarded to the leader now', gauges.relayedConnections)
  }

  /**
   * Creates the metrics.
   * @param gauges - values that are read at each collection
   * @param limits - the limits of the process
   * @returns the metrics
   */
  static create (gauges: EntryGauges, limits: HttpLimits): EntryMetrics {
    return new EntryMetrics(gauges, limits)
  }

  /**
   * Counts a connection that was not forwarded.
   * @param reason - why
   */
  countRelayRefusal (reason: RelayRefusal): void {
    this.relayRefusals.inc({ reason })
  }

  /**
   * Counts an answer.
   * @param principal - the sender of the request, undefined when not authenticated
   * @param method - the HTTP method
   * @param status - the HTTP status
   * @param milliseconds - time from the request to the answer
   */
  recordAnswer (principal: Principal | undefined, method: string, status: number, milliseconds: number): void {
    const account = principal?.kind === PrincipalKind.Caller ? principal.account : ''
    this.answers.inc({ account, status })
    this.seconds.observe({ method }, milliseconds / MILLISECONDS_PER_SECOND)
  }

  /** Counts a request that was resent to control. */
  recordResend (): void {
    this.resends.inc()
  }

  /**
   * Collects all metrics.
   * @returns the text and its content type
   */
  async collect (): Promise<{ readonly contentType: string, readonly text: string }> {
    return { contentType: this.registry.contentType, text: await this.registry.metrics() }
  }

  private gauge (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({ name, help, registers: [this.registry], collect: () => gauge.set(read()) })
  }
}
