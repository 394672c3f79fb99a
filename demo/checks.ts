// Checks the requirements of the scheduler against what the callers and the stand-ins observed.
import { expectedAnswer } from '../stand-ins/index'
import { payloadFor, type JobOutcome } from './callers'
import type { Cluster, DemoWorker } from './cluster'

/** A gang that loses a member is stopped on all workers within this time: lease, margin and grace of a stop. */
const MAX_PARTIAL_GANG_MILLISECONDS = 9_000

interface CheckResult {
  readonly requirement: string
  readonly observed: string
  readonly met: boolean
}

const results: CheckResult[] = []

/** Adds the result of one check to the report. */
export function recordCheck (requirement: string, observed: string, met: boolean): void {
  results.push({ requirement, observed, met })
}

/** Prints all checks and sets exit code 1 if one failed. */
export function reportChecks (startedAt: number): void {
  for (const { requirement, observed, met } of results) console.log(`${met ? 'kept  ' : 'BROKEN'} ${requirement}: ${observed}`)
  console.log(`took ${Math.round((Date.now() - startedAt) / 1_000)} s`)
  if (results.some(({ met }) => !met)) process.exitCode = 1
}

/**
 * Stops the cluster and checks that all processes exit with code 0.
 * @param cluster - the cluster to stop
 * @param expectedMissing - processes that were killed earlier and not restarted
 */
export async function stopAll (cluster: Cluster, expectedMissing: number): Promise<void> {
  const stopping = Date.now()
  await cluster.stop()
  const { controls, entries, workers } = cluster
  const children = [...controls.map(({ child }) => child), ...entries.map(({ child }) => child), ...workers.map(({ agent }) => agent)]
  const graceful = children.filter((child) => child.exitCode === 0).length
  for (const child of children) if (child.exitCode !== 0) console.log(`  ${child.spawnargs.at(-1)?.split('/').at(-1)} exited with ${child.exitCode ?? child.signalCode}`)
  recordCheck('every planned stop is graceful', `${graceful} of ${children.length - expectedMissing} processes exited with code 0, in ${Date.now() - stopping} ms`, graceful === children.length - expectedMissing)
}

/** Counts the runs of each job over all targets, by identifier. */
export function countTargetRuns (workers: readonly DemoWorker[]): Map<string, number> {
  const runs = new Map<string, number>()
  for (const { target } of workers) for (const { job } of target.runs) runs.set(job, (runs.get(job) ?? 0) + 1)
  return runs
}

/** Checks answers, refusals and the number of runs of all jobs. */
export function checkAnswers (outcomes: readonly JobOutcome[], runs: ReadonlyMap<string, number>): void {
  const finished = outcomes.filter((one) => one.status === 200)
  const wrong = finished.filter((one) => one.body !== expectedAnswer(Buffer.from(payloadFor(one.job))).toString())
  const lost = outcomes.filter((one) => one.status === 0)
  const falseNotRun = outcomes.filter((one) => one.status !== 200 && one.verdict === 'not-run' && (runs.get(one.job.identifier) ?? 0) > 0)
  const ranMoreThanOnce = outcomes.filter((one) => !one.job.idempotent && (runs.get(one.job.identifier) ?? 0) > 1)
  const mayHaveRun = outcomes.filter((one) => one.verdict === 'may-have-run')
  const unanswered = outcomes.length - finished.length - lost.length - mayHaveRun.length
  recordCheck('every caller gets the complete answer to its own request', `${finished.length} of ${outcomes.length} answered, ${mayHaveRun.length} refused as may-have-run, ${unanswered} as not-run, ${wrong.length} wrong answers, ${lost.length} without a reply`, wrong.length === 0 && lost.length === 0 && finished.length > outcomes.length * 0.9)
  recordCheck('a job refused as not-run has not run', `${falseNotRun.length} had run`, falseNotRun.length === 0)
  recordCheck('a non-idempotent request runs at most once', `${ranMoreThanOnce.length} ran more than once`, ranMoreThanOnce.length === 0)
  for (const one of outcomes.filter((each) => each.status !== 200).slice(0, 5)) console.log(`  ${one.job.identifier}: ${one.status} ${one.body}`)
}

/** Checks for how long gang attempts ran on only some of their workers, at their start and at their end. */
export function checkGangs (workers: readonly DemoWorker[], sizes: ReadonlyMap<string, number>): void {
  const recordsByAttempt = new Map<string, Array<{ startedAt: number, endedAt: number }>>()
  for (const { platform } of workers) {
    for (const record of platform.taskRuns) {
      const list = recordsByAttempt.get(record.key) ?? []
      list.push({ startedAt: record.startedAt, endedAt: record.endedAt === 0 ? Date.now() : record.endedAt })
      recordsByAttempt.set(record.key, list)
    }
  }
  let gangs = 0
  let longestPartialMilliseconds = 0
  for (const [key, members] of recordsByAttempt) {
    const size = sizes.get(key.slice(0, key.lastIndexOf('.'))) ?? 1
    if (size === 1) continue
    gangs++
    const allStarted = members.length === size ? Math.max(...members.map((member) => member.startedAt)) : Infinity
    const firstStart = Math.min(...members.map((member) => member.startedAt))
    const firstEnd = Math.min(...members.map((member) => member.endedAt))
    const lastEnd = Math.max(...members.map((member) => member.endedAt))
    longestPartialMilliseconds = Math.max(longestPartialMilliseconds, Math.min(allStarted, lastEnd) - firstStart, lastEnd - firstEnd)
  }
  recordCheck('no gang keeps running on only some of its accelerators', `${gangs} gang attempts, longest partial run ${longestPartialMilliseconds} ms`, gangs > 0 && longestPartialMilliseconds < MAX_PARTIAL_GANG_MILLISECONDS)
  const conflicts = workers.reduce((sum, { platform }) => sum + platform.conflicts, 0)
  recordCheck('no accelerator is assigned twice', `${conflicts} conflicting starts refused by the platforms`, conflicts === 0)
}
