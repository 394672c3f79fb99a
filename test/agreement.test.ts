import fc from 'fast-check'
import { expect, test } from 'vitest'
import { MemberChangeKind } from '../src/core/agreement'
import { SimulatedCluster } from './agreement-cluster'

/** What a schedule may do at one point. */
enum Action {
  Tick, Propose, Deliver, Drop, Double, Write, Settle, Stop, Start, LoseDisk, Cut, Heal, Transfer, Repair, Read, Compact, Command, Change
}

interface Point {
  readonly action: Action
  readonly host: number
  readonly other: number
  readonly part: number
}

type Run = (cluster: SimulatedCluster, point: Point) => Promise<void> | void

const changes = [MemberChangeKind.Promote, MemberChangeKind.Remove, MemberChangeKind.AddLearner]

const runs: Readonly<Record<Action, Run>> = {
  [Action.Tick]: (cluster, { other }) => { cluster.tick(other % 200) },
  [Action.Propose]: (cluster) => { cluster.propose() },
  [Action.Deliver]: (cluster, { other, host }) => { for (let count = 0; count <= host; count++) cluster.deliver(other, 'once') },
  [Action.Drop]: (cluster, { other, host }) => { for (let count = 0; count <= host; count++) cluster.deliver(other, 'never') },
  [Action.Double]: (cluster, { other }) => { cluster.deliver(other, 'twice') },
  [Action.Write]: (cluster, { host, other }) => { cluster.host(host).disk.release(1 + other % 3) },
  [Action.Settle]: async (cluster, { other }) => { await cluster.settle(other % 40) },
  [Action.Stop]: (cluster, { host, part, other }) => { cluster.stop(host, part / 100, other % 2 === 0) },
  [Action.Start]: (cluster, { host }) => { cluster.start(cluster.host(host)) },
  [Action.LoseDisk]: (cluster, { host }) => { cluster.loseDisk(host) },
  [Action.Cut]: (cluster, { host, other }) => { cluster.blocked.add(`${host % cluster.hosts.length}>${other % cluster.hosts.length}`) },
  [Action.Heal]: (cluster) => { cluster.blocked.clear() },
  [Action.Transfer]: (cluster) => { cluster.transfer() },
  [Action.Repair]: (cluster) => { cluster.repair() },
  [Action.Read]: (cluster) => { cluster.read() },
  [Action.Compact]: (cluster, { host }) => { cluster.compact(host) },
  [Action.Command]: (cluster) => { cluster.command() },
  [Action.Change]: (cluster, { host, part }) => { cluster.changeMember(changes[part % changes.length] ?? MemberChangeKind.Promote, host) }
}

const weights: ReadonlyArray<readonly [Action, number]> = [
  [Action.Tick, 12], [Action.Propose, 12], [Action.Deliver, 16], [Action.Drop, 3], [Action.Double, 3], [Action.Write, 14], [Action.Settle, 12],
  [Action.Stop, 4], [Action.Start, 6], [Action.LoseDisk, 1], [Action.Cut, 3], [Action.Heal, 2], [Action.Transfer, 2], [Action.Repair, 4],
  [Action.Read, 5], [Action.Compact, 3], [Action.Command, 3], [Action.Change, 1]
]

const point = fc.record({
  action: fc.oneof(...weights.map(([action, weight]) => ({ arbitrary: fc.constant(action), weight }))),
  host: fc.integer({ min: 0, max: 6 }),
  other: fc.integer({ min: 0, max: 999 }),
  part: fc.integer({ min: 0, max: 100 })
})

const schedule = fc.record({ seed: fc.integer(), points: fc.array(point, { minLength: 30, maxLength: 120, size: 'max' }) })

/** A long run: `SCHEDULES=20000 SEED=7 npx vitest run test/agreement.test.ts`. */
const chosenRuns = Number(process.env.SCHEDULES ?? 0)
const chosenSeed = Number(process.env.SEED ?? 0)

test.each([
  { members: 3, runs: 1000, seed: 3001 }, { members: 5, runs: 700, seed: 5001 }, { members: 7, runs: 400, seed: 7001 }
])('$members members agree under any schedule', async ({ members, runs: schedules, seed }) => {
  const seen = { acknowledged: 0, reads: 0, losses: 0 }
  await fc.assert(fc.asyncProperty(schedule, async ({ seed: clusterSeed, points }) => {
    const cluster = await SimulatedCluster.create(members, clusterSeed)
    for (const at of points) {
      await runs[at.action](cluster, at)
      await cluster.pause()
    }
    await cluster.finish()
    seen.acknowledged += cluster.acknowledged.size
    seen.reads += cluster.confirmedReads
    seen.losses += cluster.losses
  }), {
    seed: chosenSeed === 0 ? seed : chosenSeed, numRuns: chosenRuns === 0 ? schedules : chosenRuns, endOnFailure: process.env.SHRINK === undefined
  })
  expect(Math.min(seen.acknowledged, seen.reads, seen.losses)).toBeGreaterThan(0)
}, 24 * 3600_000)
