/** Chooses which checkpoints of current runs are written to the log next. */
import { gangOf, runName, type Gang, type RunCheckpoint, type RunKey, type StepState } from '../core/index'
import type { RunProgressTracker } from './run-progress'

/** Limits an entry to some ten kilobytes, however many gangs run. */
const MAX_CHECKPOINTS_PER_ENTRY = 200

/** Selects gangs in round-robin order, so that each is saved even where one entry cannot hold them all. */
export class CheckpointSelector {
  /** Name of the run that was selected last; the next selection starts after it. */
  private lastChosen = ''

  private constructor () {}

  /**
   * Creates a selector that starts with the first gang.
   * @returns the selector
   */
  static create (): CheckpointSelector {
    return new CheckpointSelector()
  }

  /**
   * Selects the checkpoints to save next, one for each gang.
   * @param state - the step jobs, with all proposed entries applied
   * @param progress - the last reported progress of runs
   * @returns checkpoints that the state does not have, as many as fit into one entry
   */
  selectNext (state: StepState, progress: RunProgressTracker): RunCheckpoint[] {
    const names = [...progress.all.keys()].sort()
    const start = Math.max(0, names.findIndex((name) => name > this.lastChosen))
    const chosen = new Map<Gang, RunCheckpoint>()
    for (const name of [...names.slice(start), ...names.slice(0, start)]) {
      const reported = progress.all.get(name)
      if (reported === undefined || reported.checkpoint === '') continue
      const { key, checkpoint } = reported
      const gang = gangOf(state.jobs.get(key.job), key)
      if (gang === undefined || chosen.has(gang) || gang.checkpoint === checkpoint || !allMembersRun(gang, key, progress)) continue
      chosen.set(gang, { key, checkpoint })
      this.lastChosen = name
      if (chosen.size === MAX_CHECKPOINTS_PER_ENTRY) break
    }
    return [...chosen.values()]
  }
}

/** Whether all members run: one that has not begun would start from a newer checkpoint than the others did. */
function allMembersRun ({ run, done }: Gang, key: RunKey, progress: RunProgressTracker): boolean {
  if (done || run?.attempt !== key.attempt || run.stopping !== undefined) return false
  return run.members.every(({ task, ended }) => !ended && progress.all.get(runName({ ...key, task }))?.running === true)
}
