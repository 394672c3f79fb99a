/** Metrics of what limits refused. */
import { Counter, Gauge, type Registry } from 'prom-client'
import type { HttpLimits } from './http-limits'

/**
 * Adds the metrics of a process's limits to a registry.
 * @param registry - the registry
 * @param limits - the limits of the process
 */
export function registerLimitMetrics (registry: Registry, limits: HttpLimits): void {
  const refused: Counter = new Counter({
    name: 'bramleyflow_http_limited_total',
    help: 'Requests refused and connections closed by a limit, by endpoint and limit',
    labelNames: ['endpoint', 'limit'],
    registers: [registry],
    collect: () => {
      refused.reset()
      for (const { endpoint, limit, count } of limits.log.counts) refused.inc({ endpoint, limit }, count)
    }
  })
  const gauges: ReadonlyArray<readonly [string, string, () => number]> = [
    ['bramleyflow_http_held_bytes', 'Bytes of requests and unread responses that connections hold', () => limits.heldBytes],
    ['bramleyflow_http_max_held_bytes', 'Limit of the bytes that connections hold', () => limits.limits.heldBytes],
    ['bramleyflow_http_connections', 'Open connections of the HTTP servers', () => limits.connections]
  ]
  for (const [name, help, read] of gauges) {
    const gauge: Gauge = new Gauge({ name, help, registers: [registry], collect: () => { gauge.set(read()) } })
  }
}
