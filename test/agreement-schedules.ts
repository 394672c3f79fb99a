/** Property tests with generated schedules of faults. Each number of members has its own test file, so that they run in parallel. */
import fc from 'fast-check'
import { expect } from 'vitest'
import { MemberChangeKind } from '../src/core/agreement'
import { SimulatedCluster } from './agreement-cluster'

/** Actions of a schedule. */
enum Action {
  Tick, Propose, Deliver, Drop, Duplicate, ReleaseDisk, Settle, Stop, StopAll, Start, LoseDisk, BlockLink, Isolate, Partition, Heal, StallDisk, Pause, Resume, Transfer, Repair, Read,
  Compact, IssueCommand, DeliverCommand, ChangeMember, ReplaceHost
}

/** An action with generated numbers, from which it derives its arguments. */
interface ScheduledAction {
  readonly action: Action
  readonly host: number
  readonly choice: number
  readonly variant: number
}

type PerformAction = (cluster: SimulatedCluster, scheduled: ScheduledAction) => Promise<void> | void

const changes = [MemberChangeKind.Promote, MemberChangeKind.Remove, MemberChangeKind.Remove, MemberChangeKind.AddLearner]

/** Targets the leader, if there is one, in half of the cases. */
function slotOf (cluster: SimulatedCluster, { host, variant }: ScheduledAction): number {
  return variant % 2 === 0 ? cluster.leader?.host.slot ?? host : host % cluster.hosts.length
}

const performers: Readonly<Record<Action, PerformAction>> = {
  [Action.Tick]: (cluster, { choice }) => { cluster.tick(choice % 200) },
  [Action.Propose]: (cluster) => { cluster.propose() },
  [Action.Deliver]: (cluster, { choice, host }) => { for (let count = 0; count <= host; count++) cluster.deliver(choice, 'once') },
  [Action.Drop]: (cluster, { choice, host }) => { for (let count = 0; count <= host; count++) cluster.deliver(choice, 'never') },
  [Action.Duplicate]: (cluster, { choice }) => { cluster.deliver(choice, 'twice') },
  [Action.ReleaseDisk]: (cluster, { host, choice }) => { cluster.host(host).disk.release(1 + choice % 3) },
  [Action.Settle]: async (cluster, { choice }) => { await cluster.settle(choice % 160) },
  [Action.Stop]: (cluster, scheduled) => { cluster.stop(slotOf(cluster, scheduled), scheduled.choice % 4 / 3, scheduled.choice % 8 < 4) },
  [Action.StopAll]: (cluster, { choice }) => { for (const host of cluster.hosts) cluster.stop(host.slot, choice % 4 / 3, choice % 8 < 4) },
  [Action.Start]: (cluster, { host, variant }) => { for (const { slot } of cluster.hosts) if (variant < 50 || slot === host) cluster.start(cluster.host(slot)) },
  [Action.LoseDisk]: (cluster, scheduled) => { cluster.loseDisk(slotOf(cluster, scheduled)) },
  [Action.BlockLink]: (cluster, { host, choice }) => { cluster.blockedLinks.add(`${host % cluster.hosts.length}>${choice % cluster.hosts.length}`) },
  [Action.Isolate]: (cluster, scheduled) => { cluster.isolate([slotOf(cluster, scheduled)], scheduled.choice % 3 !== 0, scheduled.choice % 3 !== 1) },
  [Action.Partition]: (cluster, { choice }) => {
    cluster.isolate(cluster.hosts.map((host) => host.slot).filter((slot) => (choice >> slot & 1) === 1), true, true)
  },
  [Action.Heal]: (cluster) => {
    cluster.blockedLinks.clear()
    for (const host of cluster.hosts) host.diskStalled = false
  },
  [Action.StallDisk]: (cluster, scheduled) => { cluster.host(slotOf(cluster, scheduled)).diskStalled = true },
  [Action.Pause]: (cluster, scheduled) => { cluster.host(slotOf(cluster, scheduled)).paused = true },
  [Action.Resume]: (cluster) => { cluster.resume() },
  [Action.Transfer]: (cluster) => { cluster.transfer() },
  [Action.Repair]: (cluster) => { cluster.repair() },
  [Action.Read]: (cluster) => { cluster.read() },
  [Action.Compact]: (cluster, { host }) => { cluster.compact(host) },
  [Action.IssueCommand]: (cluster) => { cluster.issueCommand() },
  [Action.DeliverCommand]: (cluster, { choice }) => { cluster.deliverCommand(choice) },
  [Action.ReplaceHost]: (cluster, scheduled) => { cluster.loseDisk(slotOf(cluster, scheduled), true) },
  [Action.ChangeMember]: (cluster, { host, variant, choice }) => {
    for (let count = 0; count <= choice % 3; count++) cluster.changeMember(changes[variant % changes.length] ?? MemberChangeKind.Promote, host + count)
  }
}

const weights: ReadonlyArray<readonly [Action, number]> = [
  [Action.Tick, 10], [Action.Propose, 14], [Action.Deliver, 12], [Action.Drop, 2], [Action.Duplicate, 3], [Action.ReleaseDisk, 10], [Action.Settle, 16],
  [Action.Stop, 4], [Action.StopAll, 1], [Action.Start, 6], [Action.LoseDisk, 2], [Action.BlockLink, 3], [Action.Isolate, 4], [Action.Partition, 3],
  [Action.Heal, 4], [Action.StallDisk, 3], [Action.Pause, 3], [Action.Resume, 4], [Action.Transfer, 2], [Action.Repair, 5], [Action.Read, 6], [Action.Compact, 3], [Action.IssueCommand, 4],
  [Action.DeliverCommand, 4], [Action.ChangeMember, 3]
]

/** No operator changes members: the leader itself maintains the number of voters, and lost hosts are replaced at new addresses. */
const replacementWeights = [...weights.filter(([action]) => action !== Action.ChangeMember), [Action.ReplaceHost, 4], [Action.Repair, 12]] as const

const actionArbitrary = (weighted: ReadonlyArray<readonly [Action, number]>): fc.Arbitrary<ScheduledAction> => fc.record({
  action: fc.oneof(...weighted.map(([action, weight]) => ({ arbitrary: fc.constant(action), weight }))),
  host: fc.integer({ min: 0, max: 6 }),
  choice: fc.integer({ min: 0, max: 999 }),
  variant: fc.integer({ min: 0, max: 100 })
})

const scheduleArbitrary = (weighted: ReadonlyArray<readonly [Action, number]>): fc.Arbitrary<{ seed: number, actions: ScheduledAction[] }> =>
  fc.record({ seed: fc.integer(), actions: fc.array(actionArbitrary(weighted), { minLength: 30, maxLength: 120, size: 'max' }) })

/** For a long run: `SCHEDULES=20000 SEED=7 npx vitest run test/agreement-schedules`. */
const runsOverride = Number(process.env.SCHEDULES ?? 0)
const seedOverride = Number(process.env.SEED ?? 0)

/** Runs generated schedules on a cluster and checks that they covered acknowledged writes, confirmed reads and lost disks. */
export async function checkSchedules (members: number, schedules: number, seed: number, wantedVoters?: number): Promise<void> {
  const coverage = { acknowledged: 0, reads: 0, losses: 0 }
  const schedule = scheduleArbitrary(wantedVoters === undefined ? weights : replacementWeights)
  await fc.assert(fc.asyncProperty(schedule, async ({ seed: clusterSeed, actions }) => {
    const cluster = await SimulatedCluster.create(members, clusterSeed, wantedVoters)
    for (const scheduled of actions) {
      await performers[scheduled.action](cluster, scheduled)
      await cluster.yieldToEventLoop()
    }
    await cluster.finish()
    coverage.acknowledged += cluster.acknowledged.size
    coverage.reads += cluster.confirmedReadCount
    coverage.losses += cluster.lostDiskCount
    // Yields to the timers and messages of the test runner.
    await new Promise((resolve) => setTimeout(resolve, 0))
  }), {
    seed: seedOverride === 0 ? seed : seedOverride, numRuns: runsOverride === 0 ? schedules : runsOverride, endOnFailure: process.env.SHRINK === undefined
  })
  expect(Math.min(coverage.acknowledged, coverage.reads, coverage.losses)).toBeGreaterThan(0)
}
