import { Gauge, type Registry } from 'prom-client'
import type { InterferenceFinding } from '../core/index'

/** What is shown of each finding. */
const measures: ReadonlyArray<{ readonly name: string, readonly help: string, readonly valueOf: (finding: InterferenceFinding) => number }> = [
  { name: 'slow_down', help: 'Factor on the time of tasks of a kind beside tasks of another kind, where it is known', valueOf: ({ slowDown }) => slowDown },
  { name: 'runs', help: 'Runs from which this factor is known', valueOf: ({ runs }) => runs }
]

/**
 * Registers the metrics of the kinds of task that slow each other down.
 * @param registry - the registry
 * @param read - returns the findings, a bounded number; called at each collection
 */
export function registerInterferenceMetrics (registry: Registry, read: () => readonly InterferenceFinding[]): void {
  for (const { name, help, valueOf } of measures) {
    const gauge: Gauge = new Gauge({
      name: `bramleyflow_control_interference_${name}`,
      help,
      labelNames: ['kind', 'beside'],
      registers: [registry],
      collect: () => {
        gauge.reset()
        for (const finding of read()) gauge.set({ kind: finding.kind, beside: finding.beside }, valueOf(finding))
      }
    })
  }
}
