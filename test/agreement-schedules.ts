/** Generated schedules of faults; one test file for each number of members, so that they run side by side. */
import fc from 'fast-check'
import { expect } from 'vitest'
import { MemberChangeKind } from '../src/core/agreement'
import { SimulatedCluster } from './agreement-cluster'

/** What a schedule may do at one point. */
enum Action {
  Tick, Propose, Deliver, Drop, Double, Write, Settle, Stop, StopAll, Start, LoseDisk, Cut, Isolate, Split, Heal, Stall, Pause, Resume, Transfer, Repair, Read,
  Compact, Command, Obey, Change, Replace
}

interface Point {
  readonly action: Action
  readonly host: number
  readonly other: number
  readonly part: number
}

type Run = (cluster: SimulatedCluster, point: Point) => Promise<void> | void

const changes = [MemberChangeKind.Promote, MemberChangeKind.Remove, MemberChangeKind.Remove, MemberChangeKind.AddLearner]

/** Every other time the leader is meant. */
function slotOf (cluster: SimulatedCluster, { host, part }: Point): number {
  return part % 2 === 0 ? cluster.leader?.host.slot ?? host : host % cluster.hosts.length
}

const runs: Readonly<Record<Action, Run>> = {
  [Action.Tick]: (cluster, { other }) => { cluster.tick(other % 200) },
  [Action.Propose]: (cluster) => { cluster.propose() },
  [Action.Deliver]: (cluster, { other, host }) => { for (let count = 0; count <= host; count++) cluster.deliver(other, 'once') },
  [Action.Drop]: (cluster, { other, host }) => { for (let count = 0; count <= host; count++) cluster.deliver(other, 'never') },
  [Action.Double]: (cluster, { other }) => { cluster.deliver(other, 'twice') },
  [Action.Write]: (cluster, { host, other }) => { cluster.host(host).disk.release(1 + other % 3) },
  [Action.Settle]: async (cluster, { other }) => { await cluster.settle(other % 160) },
  [Action.Stop]: (cluster, at) => { cluster.stop(slotOf(cluster, at), at.other % 4 / 3, at.other % 8 < 4) },
  [Action.StopAll]: (cluster, { other }) => { for (const host of cluster.hosts) cluster.stop(host.slot, other % 4 / 3, other % 8 < 4) },
  [Action.Start]: (cluster, { host, part }) => { for (const { slot } of cluster.hosts) if (part < 50 || slot === host) cluster.start(cluster.host(slot)) },
  [Action.LoseDisk]: (cluster, at) => { cluster.loseDisk(slotOf(cluster, at)) },
  [Action.Cut]: (cluster, { host, other }) => { cluster.blocked.add(`${host % cluster.hosts.length}>${other % cluster.hosts.length}`) },
  [Action.Isolate]: (cluster, at) => { cluster.isolate([slotOf(cluster, at)], at.other % 3 !== 0, at.other % 3 !== 1) },
  [Action.Split]: (cluster, { other }) => {
    cluster.isolate(cluster.hosts.map((host) => host.slot).filter((slot) => (other >> slot & 1) === 1), true, true)
  },
  [Action.Heal]: (cluster) => {
    cluster.blocked.clear()
    for (const host of cluster.hosts) host.stalled = false
  },
  [Action.Stall]: (cluster, at) => { cluster.host(slotOf(cluster, at)).stalled = true },
  [Action.Pause]: (cluster, at) => { cluster.host(slotOf(cluster, at)).paused = true },
  [Action.Resume]: (cluster) => { cluster.resume() },
  [Action.Transfer]: (cluster) => { cluster.transfer() },
  [Action.Repair]: (cluster) => { cluster.repair() },
  [Action.Read]: (cluster) => { cluster.read() },
  [Action.Compact]: (cluster, { host }) => { cluster.compact(host) },
  [Action.Command]: (cluster) => { cluster.command() },
  [Action.Obey]: (cluster, { other }) => { cluster.obey(other) },
  [Action.Replace]: (cluster, at) => { cluster.loseDisk(slotOf(cluster, at), true) },
  [Action.Change]: (cluster, { host, part, other }) => {
    for (let count = 0; count <= other % 3; count++) cluster.changeMember(changes[part % changes.length] ?? MemberChangeKind.Promote, host + count)
  }
}

const weights: ReadonlyArray<readonly [Action, number]> = [
  [Action.Tick, 10], [Action.Propose, 14], [Action.Deliver, 12], [Action.Drop, 2], [Action.Double, 3], [Action.Write, 10], [Action.Settle, 16],
  [Action.Stop, 4], [Action.StopAll, 1], [Action.Start, 6], [Action.LoseDisk, 2], [Action.Cut, 3], [Action.Isolate, 4], [Action.Split, 3],
  [Action.Heal, 4], [Action.Stall, 3], [Action.Pause, 3], [Action.Resume, 4], [Action.Transfer, 2], [Action.Repair, 5], [Action.Read, 6], [Action.Compact, 3], [Action.Command, 4],
  [Action.Obey, 4], [Action.Change, 3]
]

/** In place of operators the leader keeps the number of voters, and hosts are replaced at new addresses. */
const weightsOfReplacement = [...weights.filter(([action]) => action !== Action.Change), [Action.Replace, 4], [Action.Repair, 12]] as const

const pointOf = (weighted: ReadonlyArray<readonly [Action, number]>): fc.Arbitrary<Point> => fc.record({
  action: fc.oneof(...weighted.map(([action, weight]) => ({ arbitrary: fc.constant(action), weight }))),
  host: fc.integer({ min: 0, max: 6 }),
  other: fc.integer({ min: 0, max: 999 }),
  part: fc.integer({ min: 0, max: 100 })
})

const scheduleOf = (weighted: ReadonlyArray<readonly [Action, number]>): fc.Arbitrary<{ seed: number, points: Point[] }> =>
  fc.record({ seed: fc.integer(), points: fc.array(pointOf(weighted), { minLength: 30, maxLength: 120, size: 'max' }) })

/** A long run: `SCHEDULES=20000 SEED=7 npx vitest run test/agreement-schedules`. */
const chosenRuns = Number(process.env.SCHEDULES ?? 0)
const chosenSeed = Number(process.env.SEED ?? 0)

/** Runs generated schedules over a number of members, and sees to it that they reach what they are meant to reach. */
export async function checkSchedules (members: number, schedules: number, seed: number, wantedVoters?: number): Promise<void> {
  const seen = { acknowledged: 0, reads: 0, losses: 0 }
  const schedule = scheduleOf(wantedVoters === undefined ? weights : weightsOfReplacement)
  await fc.assert(fc.asyncProperty(schedule, async ({ seed: clusterSeed, points }) => {
    const cluster = await SimulatedCluster.create(members, clusterSeed, wantedVoters)
    for (const at of points) {
      await runs[at.action](cluster, at)
      await cluster.pause()
    }
    await cluster.finish()
    seen.acknowledged += cluster.acknowledged.size
    seen.reads += cluster.confirmedReads
    seen.losses += cluster.losses
    // The test runner's own timers and messages get their turn.
    await new Promise((resolve) => setTimeout(resolve, 0))
  }), {
    seed: chosenSeed === 0 ? seed : chosenSeed, numRuns: chosenRuns === 0 ? schedules : chosenRuns, endOnFailure: process.env.SHRINK === undefined
  })
  expect(Math.min(seen.acknowledged, seen.reads, seen.losses)).toBeGreaterThan(0)
}
