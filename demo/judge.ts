// What the callers and the stand-ins saw, counted against the promises of the brief.
import { expectedAnswer } from '../stand-ins/index'
import { payloadOf, type Told } from './callers'
import type { Cluster, DemoWorker } from './cluster'

/** A gang whose member is lost is stopped everywhere within this time: lease, margin and the grace of a stop. */
const GANG_DETECTION_MILLISECONDS = 9_000

interface Promised {
  readonly promise: string
  readonly counted: string
  readonly kept: boolean
}

const promises: Promised[] = []

/** Notes what was counted for one promise. */
export function count (promise: string, counted: string, kept: boolean): void {
  promises.push({ promise, counted, kept })
}

/** Prints every promise, and makes the process end with 1 if one was broken. */
export function report (began: number): void {
  for (const { promise, counted, kept } of promises) console.log(`${kept ? 'kept  ' : 'BROKEN'} ${promise}: ${counted}`)
  console.log(`took ${Math.round((Date.now() - began) / 1_000)} s`)
  if (promises.some(({ kept }) => !kept)) process.exitCode = 1
}

/** Stops everything and counts the processes that ended by themselves, but for those that were ended on purpose. */
export async function stopAll (cluster: Cluster, endedOnPurpose: number): Promise<void> {
  const stopping = Date.now()
  await cluster.stop()
  const { controls, entries, workers } = cluster
  const children = [...controls.map((one) => one.child), ...entries.map((one) => one.child), ...workers.map((one) => one.agent)]
  const graceful = children.filter((child) => child.exitCode === 0).length
  for (const child of children) if (child.exitCode !== 0) console.log(`  ${child.spawnargs.at(-1)?.split('/').at(-1)} ended with ${child.exitCode ?? child.signalCode}`)
  count('every planned stop is graceful', `${graceful} of ${children.length - endedOnPurpose} processes ended by themselves with 0, in ${Date.now() - stopping} ms`, graceful === children.length - endedOnPurpose)
}

/** Runs of each job at all targets, by identifier. */
export function targetRuns (workers: readonly DemoWorker[]): Map<string, number> {
  const runs = new Map<string, number>()
  for (const { target } of workers) for (const { job } of target.runs) runs.set(job, (runs.get(job) ?? 0) + 1)
  return runs
}

/** Answers, refusals and runs of all jobs. */
export function judgeAnswers (told: readonly Told[], runs: ReadonlyMap<string, number>): void {
  const finished = told.filter((one) => one.status === 200)
  const wrong = finished.filter((one) => one.body !== expectedAnswer(Buffer.from(payloadOf(one.job))).toString())
  const lost = told.filter((one) => one.status === 0)
  const untrue = told.filter((one) => one.status !== 200 && one.verdict === 'not-run' && (runs.get(one.job.identifier) ?? 0) > 0)
  const doubled = told.filter((one) => !one.job.idempotent && (runs.get(one.job.identifier) ?? 0) > 1)
  const mayHaveRun = told.filter((one) => one.verdict === 'may-have-run')
  const unanswered = told.length - finished.length - lost.length - mayHaveRun.length
  count('every caller gets the whole answer to its own request', `${finished.length} of ${told.length} answered whole, ${mayHaveRun.length} told may-have-run, ${unanswered} told not-run, ${wrong.length} wrong, ${lost.length} lost`, wrong.length === 0 && lost.length === 0 && finished.length > told.length * 0.9)
  count('a refusal that says not run is true', `${untrue.length} untrue`, untrue.length === 0)
  count('a non-idempotent request runs at most once', `${doubled.length} doubled`, doubled.length === 0)
  for (const one of told.filter((each) => each.status !== 200).slice(0, 5)) console.log(`  ${one.job.identifier}: ${one.status} ${one.body}`)
}

/** Time during which an attempt ran on some but not all of its workers, after all had started or any had ended. */
export function judgeGangs (workers: readonly DemoWorker[], sizes: ReadonlyMap<string, number>): void {
  const starts = new Map<string, Array<{ startedAt: number, endedAt: number }>>()
  for (const { platform } of workers) {
    for (const record of platform.records) {
      const list = starts.get(record.key) ?? []
      list.push({ startedAt: record.startedAt, endedAt: record.endedAt === 0 ? Date.now() : record.endedAt })
      starts.set(record.key, list)
    }
  }
  let gangs = 0
  let worst = 0
  for (const [key, members] of starts) {
    const size = sizes.get(key.slice(0, key.lastIndexOf('.'))) ?? 1
    if (size === 1) continue
    gangs++
    const allStarted = members.length === size ? Math.max(...members.map((member) => member.startedAt)) : Infinity
    const firstStart = Math.min(...members.map((member) => member.startedAt))
    const firstEnd = Math.min(...members.map((member) => member.endedAt))
    const lastEnd = Math.max(...members.map((member) => member.endedAt))
    worst = Math.max(worst, Math.min(allStarted, lastEnd) - firstStart, lastEnd - firstEnd)
  }
  count('no gang runs with part of its accelerators', `${gangs} gang attempts, longest time in part ${worst} ms`, gangs > 0 && worst < GANG_DETECTION_MILLISECONDS)
  const conflicts = workers.reduce((sum, { platform }) => sum + platform.conflicts, 0)
  count('no accelerator is given twice', `${conflicts} refused by the platforms`, conflicts === 0)
}
