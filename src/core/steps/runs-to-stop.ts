/** Finds runs to stop: those that stall, that did not start on all workers in time, or whose worker is leaving. */
import { beginsInEvacuated } from './evacuations'
import { gangIndex } from './gang-index'
import { StopReason, type Gang, type GangRun, type RunMember, type StepJob, type StepSpecification, type StepState } from './model'
import { runName } from './run'
import { assessStall, remainingTime, type LearnedRunTimes, type RunProgress } from './stall'
import { StepTransactionKind, type StopGang } from './transactions'

/** What the leader knows about runs that is not in the replicated state. */
export interface RunsView {
  /** Milliseconds since the epoch. */
  readonly now: number
  readonly progress: ReadonlyMap<string, RunProgress>
  /** Incarnations whose last heartbeat is overdue: their runs may still make progress, whatever their last report says. */
  readonly silent: ReadonlySet<string>
  /** Until when leaving workers stay at least, in milliseconds since the epoch, by incarnation; without those that do not state it. */
  readonly leavesAt?: ReadonlyMap<string, number>
  /** What the leader has learned of run times; absent where it has learned nothing. */
  readonly runTimes?: LearnedRunTimes
}

/** Time in which every member of a run must be reported as running; half of the time that a started gang waits for its members. */
const START_TIMEOUT_MILLISECONDS = 1_500
/** Remaining duration up to which a run may complete on a worker that does not state how long it stays; half of it for tasks with checkpoints. */
const MAX_REMAINING_WHEN_LEAVING_MILLISECONDS = 2_500
/**
 * Time before its worker leaves at which a run with checkpoints is stopped if it will not be done: the stop takes a report and
 * a commit to reach the worker, and its last checkpoint takes a poll, a report and a commit to reach the log.
 */
const SAVE_MILLISECONDS = 3_000

/**
 * Finds the runs to stop.
 * @param state - state of the step jobs
 * @param view - what the leader knows beyond the replicated state
 * @returns the transactions that stop them
 */
export function findRunsToStop (state: StepState, view: RunsView): StopGang[] {
  const stops: StopGang[] = []
  for (const identifier of state.open) {
    const job = state.jobs.get(identifier)
    if (job === undefined) continue
    for (const [step, positions] of gangIndex(job).running.entries()) {
      for (const position of positions) {
        const gang = job.gangs[step]![position]!
        const reason = reasonToStop(state, job, step, gang, view)
        if (reason === undefined || gang.run === undefined) continue
        stops.push({ kind: StepTransactionKind.StopGang, at: view.now, job: identifier, step, gang: position, attempt: gang.run.attempt, reason })
      }
    }
  }
  return stops
}

function reasonToStop (state: StepState, job: StepJob, number: number, gang: Gang, view: RunsView): StopReason | undefined {
  const { run } = gang
  const step = job.specification.steps[number]
  if (run === undefined || step === undefined || run.stopping !== undefined || gang.done) return undefined
  if (beginsInEvacuated(state, job, number, gang, (key) => view.progress.get(runName(key))?.running === true)) return StopReason.Evacuated
  const remaining = run.members.filter(({ ended }) => !ended)
  if (remaining.every(({ incarnation }) => view.silent.has(incarnation))) return undefined
  const reported = remaining.map(({ task }) => view.progress.get(runName({ job: job.identifier, step: number, task, attempt: run.attempt })))
  if (reported.some((member) => member?.running !== true)) return view.now - run.startedAt > START_TIMEOUT_MILLISECONDS ? StopReason.Incomplete : undefined
  if (remaining.some(({ incarnation }) => view.silent.has(incarnation))) return undefined
  const members = reported as RunProgress[]
  const learned = view.runTimes?.typicalMilliseconds(job, number)
  if (members.length > 0 && members.every((member) => assessStall(gang, run, step, member, view.now, learned).stalled)) return StopReason.Stalled
  const leaving = remaining.filter(({ incarnation }) => state.incarnations.get(incarnation)?.leaving === true)
  return leaving.length > 0 && !mayStay(step, run, members, view, leaving) ? StopReason.WorkerLeaving : undefined
}

/** Times on which a stop is based, in milliseconds; each only where it was used. */
export interface StopInputs {
  /** Time since the last sign of life of the member that showed the latest one. */
  readonly quietMilliseconds?: number
  /** Time without a sign of life that this member was allowed. */
  readonly allowedMilliseconds?: number
  /** Time until the run would have been done. */
  readonly expectedMilliseconds?: number
  /** Time that its leaving workers stay at least; absent where one of them does not state it. */
  readonly statedMilliseconds?: number
}

/**
 * Collects the inputs of a stop for the log.
 * @param state - state of the step jobs
 * @param view - what the leader knows beyond the replicated state
 * @param stop - the stop
 * @returns the inputs; none for reasons that depend on no times
 */
export function stopInputs (state: StepState, view: RunsView, stop: StopGang): StopInputs {
  const job = state.jobs.get(stop.job)
  const gang = job?.gangs[stop.step]?.[stop.gang]
  const step = job?.specification.steps[stop.step]
  if (job === undefined || gang?.run === undefined || step === undefined) return {}
  const { run } = gang
  const remaining = run.members.filter(({ ended }) => !ended)
  const members = remaining.flatMap(({ task }) => view.progress.get(runName({ job: stop.job, step: stop.step, task, attempt: run.attempt })) ?? [])
  if (stop.reason === StopReason.WorkerLeaving) {
    const { expected, stated } = timesLeft(step, run, members, view, remaining.filter(({ incarnation }) => state.incarnations.get(incarnation)?.leaving === true))
    return { expectedMilliseconds: Math.round(expected), ...stated !== undefined && { statedMilliseconds: Math.round(stated) } }
  }
  if (stop.reason !== StopReason.Stalled) return {}
  const learned = view.runTimes?.typicalMilliseconds(job, stop.step)
  const assessed = members.map((member) => assessStall(gang, run, step, member, view.now, learned))
  const latest = assessed.sort((one, other) => one.quietMilliseconds - other.quietMilliseconds)[0]
  return latest === undefined ? {} : { quietMilliseconds: latest.quietMilliseconds, allowedMilliseconds: Math.round(latest.allowedMilliseconds) }
}

/** Milliseconds that a run still needs, and those that its leaving workers stay at least; undefined where one of them does not state it. */
function timesLeft (step: StepSpecification, run: GangRun, members: readonly RunProgress[], view: RunsView, leaving: readonly RunMember[]): { readonly expected: number, readonly stated?: number } {
  let expected = 0
  for (const member of members) expected = Math.max(expected, remainingTime(run, step, member, view.now))
  let stated = Infinity
  for (const { incarnation } of leaving) stated = Math.min(stated, (view.leavesAt?.get(incarnation) ?? -Infinity) - view.now)
  return Number.isFinite(stated) ? { expected, stated } : { expected }
}

/** Whether a run may go on although some of its workers are leaving. */
function mayStay (step: StepSpecification, run: GangRun, members: readonly RunProgress[], view: RunsView, leaving: readonly RunMember[]): boolean {
  const { expected, stated } = timesLeft(step, run, members, view, leaving)
  if (stated === undefined) return expected < (step.checkpoints ? MAX_REMAINING_WHEN_LEAVING_MILLISECONDS / 2 : MAX_REMAINING_WHEN_LEAVING_MILLISECONDS)
  return expected <= stated || (step.checkpoints && stated > SAVE_MILLISECONDS)
}
