// Runs a load while processes are ended, frozen and restarted in an order made from a seed, often two at a time, and
// targets fail in all their ways. Counts the promises from what callers and stand-ins saw; exits 1 if one was broken.
// Usage: node scripts/tool.mjs demo/faults.ts [seed] [seconds]
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { Fault } from '../stand-ins/index'
import { call, type Told } from './callers'
import type { Cluster } from './cluster'
import { judgeAnswers, judgeGangs, targetRuns } from './judge'
import { mixedJob, onSystem, sleep } from './load'

const SEED = Number(process.argv[2] ?? 20261204)
const SECONDS = Number(process.argv[3] ?? 40)
const BETWEEN_JOBS_MILLISECONDS = 40
/** Longer than a lease with its margin. */
const LONG_FREEZE_MILLISECONDS = 7_000
const SHORT_FREEZE_MILLISECONDS = 1_500

/** Long enough for the agent to notice. */
const SILENT_TARGET_MILLISECONDS = 6_000

const generator = xoroshiro128plus(SEED)

function pick (count: number): number {
  return uniformInt(generator, 0, count - 1)
}

/** What can go wrong; each fault mends itself, so that the next may come at once. */
const faults: ReadonlyArray<{ readonly name: string, readonly strike: (cluster: Cluster) => Promise<void> }> = [
  { name: 'a control host is ended and comes back', strike: async (cluster) => { await cluster.crash(oneOf(cluster.controls), 1_000) } },
  { name: 'a control host is cut off silently', strike: async (cluster) => { await cluster.freeze(oneOf(cluster.controls), LONG_FREEZE_MILLISECONDS) } },
  { name: 'a control host is held up', strike: async (cluster) => { await cluster.freeze(oneOf(cluster.controls), SHORT_FREEZE_MILLISECONDS) } },
  { name: 'an entry is ended and comes back', strike: async (cluster) => { await cluster.crash(oneOf(cluster.entries), 500) } },
  { name: 'an agent is ended and comes back', strike: async (cluster) => { await cluster.crash(oneOf(cluster.workers), 500) } },
  { name: 'an agent is cut off past its lease', strike: async (cluster) => { await cluster.freeze(oneOf(cluster.workers), LONG_FREEZE_MILLISECONDS) } },
  { name: 'an agent is held up', strike: async (cluster) => { await cluster.freeze(oneOf(cluster.workers), SHORT_FREEZE_MILLISECONDS) } },
  { name: 'a target fails everything', strike: async (cluster) => { await breakTarget(cluster, Fault.FailEverything) } },
  { name: 'a target answers half', strike: async (cluster) => { await breakTarget(cluster, Fault.HalfBody) } },
  { name: 'a target is silent', strike: async (cluster) => { await breakTarget(cluster, Fault.Silent, SILENT_TARGET_MILLISECONDS) } },
  { name: 'a target hangs', strike: async (cluster) => { await breakTarget(cluster, Fault.Hang) } },
  { name: 'a target sends a wrong byte', strike: async (cluster) => { await breakTarget(cluster, Fault.WrongByte) } },
  { name: 'a target refuses connections', strike: async (cluster) => { await breakTarget(cluster, Fault.Refuse) } }
]

function oneOf<Item> (items: readonly Item[]): Item {
  const item = items[pick(items.length)]
  if (item === undefined) throw new Error('nothing to choose from')
  return item
}

async function breakTarget (cluster: Cluster, fault: Fault, milliseconds = 2_000): Promise<void> {
  const { target } = oneOf(cluster.workers)
  target.fail({ fault })
  await sleep(milliseconds)
  target.fail({ fault: Fault.None })
}

async function load (cluster: Cluster, accounts: readonly string[], end: number): Promise<Told[]> {
  const callers: Array<Promise<Told>> = []
  for (let position = 0; Date.now() < end; position++) {
    callers.push(call(cluster, mixedJob(position, accounts), position))
    await sleep(BETWEEN_JOBS_MILLISECONDS)
  }
  return await Promise.all(callers)
}

async function strike (cluster: Cluster, end: number): Promise<void> {
  while (Date.now() < end) {
    const both = [oneOf(faults), oneOf(faults)].slice(0, 1 + pick(2))
    console.log(both.map(({ name }) => name).join(', and '))
    await Promise.all(both.map((fault) => fault.strike(cluster)))
    await sleep(pick(1_000))
  }
}

console.log(`seed ${SEED}, ${SECONDS} s`)
await onSystem(0, async ({ cluster, accounts }) => {
  const end = Date.now() + SECONDS * 1_000
  const [told] = await Promise.all([load(cluster, accounts, end), strike(cluster, end)])
  judgeAnswers(told, targetRuns(cluster.workers))
  judgeGangs(cluster.workers, new Map(told.map(({ job }) => [job.identifier, job.workers])))
})
