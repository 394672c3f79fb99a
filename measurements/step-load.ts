/**
 * Simulates generated loads of step jobs against the scheduling policy, without processes or sockets:
 * `node scripts/tool.mjs measurements/step-load.ts [SEEDS]`. Prints the earned share and the lost work of each load.
 */
import { loads } from './load-profiles'
import { StepLoadSimulation } from './step-load-simulation'

const seeds = Number(process.argv[2] ?? 20)

for (const [name, load] of Object.entries(loads)) {
  const results = Array.from({ length: seeds }, (_, seed) => StepLoadSimulation.create(load, seed + 1).run())
  const mean = (pick: (result: ReturnType<StepLoadSimulation['run']>) => number): string => (results.reduce((sum, result) => sum + pick(result), 0) / seeds).toFixed(3)
  console.log(JSON.stringify({
    load: name,
    earned: mean(({ earned }) => earned),
    worstKind: mean(({ byKind }) => Math.min(...Object.values(byKind))),
    largest: mean(({ largest }) => largest),
    worstWindow: mean(({ worstWindow }) => worstWindow),
    lostProcessorSeconds: mean(({ lostProcessorSeconds }) => lostProcessorSeconds),
    starts: mean(({ starts }) => starts),
    lateReclaims: mean(({ lateReclaims }) => lateReclaims),
    byKind: Object.fromEntries(Object.keys(load.kinds).map((kind) => [kind, mean(({ byKind }) => byKind[kind] ?? 1)]))
  }))
}
