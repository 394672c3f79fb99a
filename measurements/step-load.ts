/**
 * Replays generated loads of jobs of steps against the policy, without processes or sockets:
 * `node scripts/tool.mjs measurements/step-load.ts [SEEDS]`. Prints what callers get and what is lost, by load.
 */
import { StepLoad, loads } from './step-replay'

const seeds = Number(process.argv[2] ?? 20)

for (const [name, load] of Object.entries(loads)) {
  const results = Array.from({ length: seeds }, (_, seed) => StepLoad.create(load, seed + 1).run())
  const mean = (pick: (result: ReturnType<StepLoad['run']>) => number): string => (results.reduce((sum, result) => sum + pick(result), 0) / seeds).toFixed(3)
  console.log(JSON.stringify({
    load: name,
    earned: mean(({ earned }) => earned),
    worstKind: mean(({ byKind }) => Math.min(...Object.values(byKind))),
    largest: mean(({ largest }) => largest),
    worstWindow: mean(({ worstWindow }) => worstWindow),
    lostProcessorSeconds: mean(({ lost }) => lost),
    starts: mean(({ starts }) => starts),
    lateReclaims: mean(({ lateReclaims }) => lateReclaims),
    byKind: Object.fromEntries(Object.keys(load.kinds).map((kind) => [kind, mean(({ byKind }) => byKind[kind] ?? 1)]))
  }))
}
