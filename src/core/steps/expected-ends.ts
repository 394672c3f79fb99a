/** When running tasks are expected to end, from the progress that they have shown, or from their estimates where they have shown none. */
import { gangOf, type Resources, type StepState } from './model'
import type { RunProgress } from './stall'
import type { RunKey } from './run'

/** Progress from which the remaining time of a run is derived, in percent; below it, whole percents are too coarse. */
const MIN_PERCENT = 5

/** Resources that become free. */
export interface ExpectedEnd {
  readonly incarnation: string
  readonly resources: Resources
  /** Milliseconds since the epoch. */
  readonly at: number
}

/** What the expectations are based on. */
export interface EndsView {
  /** Milliseconds since the epoch. */
  readonly now: number
  readonly progress: ReadonlyMap<string, RunProgress>
}

/**
 * Lists when the runs on some workers are expected to end.
 * @param state - state of the step jobs
 * @param incarnations - the workers
 * @param view - the time and the progress of runs
 * @returns the resources that become free, the earliest first; without those of runs that are already being stopped
 */
export function expectedEnds (state: StepState, incarnations: Iterable<string>, view: EndsView): ExpectedEnd[] {
  const ends: ExpectedEnd[] = []
  for (const incarnation of incarnations) {
    for (const [name, key] of state.incarnations.get(incarnation)?.runs ?? []) {
      const end = endOf(state, key, view.progress.get(name)?.percent ?? 0, view.now)
      if (end !== undefined) ends.push({ incarnation, ...end })
    }
  }
  return ends.sort((one, other) => one.at - other.at)
}

function endOf (state: StepState, key: RunKey, percent: number, now: number): Omit<ExpectedEnd, 'incarnation'> | undefined {
  const job = state.jobs.get(key.job)
  const step = job?.specification.steps[key.step]
  const gang = gangOf(job, key)
  if (step === undefined || gang?.run === undefined || gang.done || gang.run.stopping !== undefined) return undefined
  const elapsed = now - gang.run.startedAt
  // A run that has outlasted its estimate is expected to take as long again as it has taken so far.
  const remaining = percent >= MIN_PERCENT ? elapsed * (100 - percent) / percent : step.estimateMilliseconds > elapsed ? step.estimateMilliseconds - elapsed : elapsed
  return { resources: step, at: now + remaining }
}
