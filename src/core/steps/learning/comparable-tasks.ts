/** Selects the running tasks whose progress shows the pace of their worker. */
import type { StepState } from '../model'
import type { RunProgress } from '../stall'
import type { TaskProgress } from './worker-pace'

/**
 * Lists the progress of tasks that run by themselves, on a worker in the rack of their data.
 * @param state - state of the step jobs
 * @param progress - last reported progress of each run, by name
 * @returns the tasks; not the members of gangs, which progress at the pace of the slowest, and not tasks away from their
 * data, which take longer on any worker
 */
export function comparableTasks (state: StepState, progress: ReadonlyMap<string, RunProgress>): TaskProgress[] {
  const tasks: TaskProgress[] = []
  for (const { incarnation, rack, runs } of state.incarnations.values()) {
    for (const [run, key] of runs) {
      const step = state.jobs.get(key.job)?.specification.steps[key.step]
      const reported = progress.get(run)
      if (step === undefined || step.gang || (step.dataRack !== '' && step.dataRack !== rack) || reported?.running !== true) continue
      tasks.push({ run, step: `${key.job}.${key.step}`, incarnation, percent: reported.percent })
    }
  }
  return tasks
}
