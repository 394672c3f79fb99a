// Runs a load while faults are injected in a random order given by a seed, one or two at a time: processes are killed
// and restarted or suspended, and targets fail in all ways of the stand-in. Exits 1 if a check failed.
// Usage: node scripts/tool.mjs demo/faults.ts [seed] [seconds]
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { Fault } from '../stand-ins/index'
import { submitWithRetries, type JobOutcome } from './callers'
import type { Cluster } from './cluster'
import { checkAnswers, checkGangs, countTargetRuns } from './checks'
import { mixedJob, runOnCluster, sleep } from './load'

const SEED = Number(process.argv[2] ?? 20261204)
const SECONDS = Number(process.argv[3] ?? 40)
const BETWEEN_JOBS_MILLISECONDS = 40
/** Longer than a lease and its margin. */
const LONG_PAUSE_MILLISECONDS = 7_000
const SHORT_PAUSE_MILLISECONDS = 1_500

/** Long enough for the agent to detect the silence. */
const SILENT_TARGET_MILLISECONDS = 6_000

const generator = xoroshiro128plus(SEED)

function randomIndex (count: number): number {
  return uniformInt(generator, 0, count - 1)
}

/** Each fault is undone before its promise resolves, so that the next one can follow at once. */
const faults: ReadonlyArray<{ readonly name: string, readonly inject: (cluster: Cluster) => Promise<void> }> = [
  { name: 'a control host is killed and restarted', inject: async (cluster) => { await cluster.killAndRestart(pickOne(cluster.controls), 1_000) } },
  { name: 'a control host is suspended beyond its lease', inject: async (cluster) => { await cluster.pause(pickOne(cluster.controls), LONG_PAUSE_MILLISECONDS) } },
  { name: 'a control host is suspended briefly', inject: async (cluster) => { await cluster.pause(pickOne(cluster.controls), SHORT_PAUSE_MILLISECONDS) } },
  { name: 'an entry is killed and restarted', inject: async (cluster) => { await cluster.killAndRestart(pickOne(cluster.entries), 500) } },
  { name: 'an agent is killed and restarted', inject: async (cluster) => { await cluster.killAndRestart(pickOne(cluster.workers), 500) } },
  { name: 'an agent is suspended beyond its lease', inject: async (cluster) => { await cluster.pause(pickOne(cluster.workers), LONG_PAUSE_MILLISECONDS) } },
  { name: 'an agent is suspended briefly', inject: async (cluster) => { await cluster.pause(pickOne(cluster.workers), SHORT_PAUSE_MILLISECONDS) } },
  { name: 'a target fails every request', inject: async (cluster) => { await injectTargetFault(cluster, Fault.FailEverything) } },
  { name: 'a target sends half of its answers', inject: async (cluster) => { await injectTargetFault(cluster, Fault.HalfBody) } },
  { name: 'a target is silent', inject: async (cluster) => { await injectTargetFault(cluster, Fault.Silent, SILENT_TARGET_MILLISECONDS) } },
  { name: 'a target hangs', inject: async (cluster) => { await injectTargetFault(cluster, Fault.Hang) } },
  { name: 'a target sends a corrupted byte', inject: async (cluster) => { await injectTargetFault(cluster, Fault.WrongByte) } },
  { name: 'a target refuses connections', inject: async (cluster) => { await injectTargetFault(cluster, Fault.Refuse) } }
]

function pickOne<Item> (items: readonly Item[]): Item {
  const item = items[randomIndex(items.length)]
  if (item === undefined) throw new Error('cannot pick from an empty list')
  return item
}

async function injectTargetFault (cluster: Cluster, fault: Fault, milliseconds = 2_000): Promise<void> {
  const { target } = pickOne(cluster.workers)
  target.setFault({ fault })
  await sleep(milliseconds)
  target.setFault({ fault: Fault.None })
}

async function submitJobs (cluster: Cluster, accounts: readonly string[], end: number): Promise<JobOutcome[]> {
  const callers: Array<Promise<JobOutcome>> = []
  for (let position = 0; Date.now() < end; position++) {
    callers.push(submitWithRetries(cluster, mixedJob(position, accounts), position))
    await sleep(BETWEEN_JOBS_MILLISECONDS)
  }
  return await Promise.all(callers)
}

async function injectFaults (cluster: Cluster, end: number): Promise<void> {
  while (Date.now() < end) {
    const selected = [pickOne(faults), pickOne(faults)].slice(0, 1 + randomIndex(2))
    console.log(selected.map(({ name }) => name).join(', and '))
    await Promise.all(selected.map((fault) => fault.inject(cluster)))
    await sleep(randomIndex(1_000))
  }
}

console.log(`seed ${SEED}, ${SECONDS} s`)
await runOnCluster(0, async ({ cluster, accounts }) => {
  const end = Date.now() + SECONDS * 1_000
  const [outcomes] = await Promise.all([submitJobs(cluster, accounts, end), injectFaults(cluster, end)])
  checkAnswers(outcomes, countTargetRuns(cluster.workers))
  checkGangs(cluster.workers, new Map(outcomes.map(({ job }) => [job.identifier, job.workers])))
})
