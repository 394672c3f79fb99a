/** Looks at what runs: what stands still, what did not start whole, and what runs on a worker that leaves. */
import { StopReason, type Gang, type StepJob, type StepSpecification, type StepState } from './model'
import { StepTransactionKind, type StopGang } from './transactions'
import { runName } from './run'

/** How far a run is, as its agent last reported. */
export interface RunProgress {
  /** The worker lists the run. */
  readonly running: boolean
  readonly percent: number
  /** When the percentage last changed, in milliseconds since the epoch. */
  readonly changedAt: number
}

/** What the look at runs needs beside the log. */
export interface RunsView {
  /** Milliseconds since the epoch. */
  readonly now: number
  readonly progress: ReadonlyMap<string, RunProgress>
  /** Workers that are not heard of in time: their runs may go on, whatever was last heard of them. */
  readonly silent: ReadonlySet<string>
}

/** Time in which every member of a run must be listed by its worker, in milliseconds; half of what a gang waits for its members. */
const START_MILLISECONDS = 1_500
/** Time without any progress after which a run is stopped, in milliseconds: far above one hundredth of a long task on a slow worker. */
const STALL_MILLISECONDS = 3_500
/** Work left that a leaving worker is given the time to end, in milliseconds. */
const LEAVING_MILLISECONDS = 2_500
/**
 * Decides which runs are to be stopped where they are.
 * @param state - the jobs of steps
 * @param view - what is known beside the log
 * @returns the stops
 */
export function watchRuns (state: StepState, view: RunsView): StopGang[] {
  const stops: StopGang[] = []
  for (const identifier of state.open) {
    const job = state.jobs.get(identifier)
    if (job === undefined) continue
    job.gangs.forEach((gangs, step) => gangs.forEach((gang, position) => {
      const reason = reasonToStop(state, job, step, gang, view)
      if (reason === undefined || gang.run === undefined) return
      stops.push({ kind: StepTransactionKind.StopGang, at: view.now, job: identifier, step, gang: position, attempt: gang.run.attempt, reason })
    }))
  }
  return stops
}

function reasonToStop (state: StepState, job: StepJob, number: number, gang: Gang, view: RunsView): StopReason | undefined {
  const { run } = gang
  const step = job.specification.steps[number]
  if (run === undefined || step === undefined || run.stopping !== undefined || gang.done) return undefined
  const left = run.members.filter(({ ended }) => !ended)
  if (left.every(({ incarnation }) => view.silent.has(incarnation))) return undefined
  const seen = left.map(({ task }) => view.progress.get(runName({ job: job.identifier, step: number, task, attempt: run.attempt })))
  if (seen.some((member) => member?.running !== true)) return view.now - run.startedAt > START_MILLISECONDS ? StopReason.Incomplete : undefined
  if (left.some(({ incarnation }) => view.silent.has(incarnation))) return undefined
  const members = seen as RunProgress[]
  if (members.length > 0 && members.every(({ changedAt }) => view.now - changedAt > STALL_MILLISECONDS)) return StopReason.Stalled
  const leaves = left.some(({ incarnation }) => state.lives.get(incarnation)?.leaving === true)
  return leaves && !endsSoon(step, run.startedAt, members, view.now) ? StopReason.WorkerLeaving : undefined
}

function endsSoon (step: StepSpecification, startedAt: number, members: readonly RunProgress[], now: number): boolean {
  const percent = Math.min(...members.map((member) => member.percent))
  const left = percent > 0 ? (now - startedAt) * (100 - percent) / percent : step.estimateMilliseconds
  return left < (step.checkpoints ? LEAVING_MILLISECONDS / 2 : LEAVING_MILLISECONDS)
}
