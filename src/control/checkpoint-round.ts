/** Chooses which checkpoints of runs under way are written to the log next. */
import { gangOf, runName, type Gang, type RunCheckpoint, type RunKey, type StepState } from '../core/index'
import type { RunProgressBook } from './run-progress'

/** Most checkpoints in one entry: some ten kilobytes, however many gangs run. */
const MOST_SAVED = 200

/** Goes round all gangs, so that each has its turn where there are more than one entry holds. */
export class CheckpointRound {
  private turn = ''

  private constructor () {}

  /**
   * Begins with the first gang.
   * @returns the object
   */
  static create (): CheckpointRound {
    return new CheckpointRound()
  }

  /**
   * The checkpoints to save now, one for each gang.
   * @param state - the jobs of steps, with all proposed entries applied
   * @param progress - what was last heard of runs
   * @returns at most one entry's worth of checkpoints that the state does not have
   */
  due (state: StepState, progress: RunProgressBook): RunCheckpoint[] {
    const names = [...progress.view.keys()].sort()
    const from = Math.max(0, names.findIndex((name) => name > this.turn))
    const chosen = new Map<Gang, RunCheckpoint>()
    for (const name of [...names.slice(from), ...names.slice(0, from)]) {
      const heard = progress.view.get(name)
      if (heard === undefined || heard.checkpoint === '') continue
      const { key, checkpoint } = heard
      const gang = gangOf(state.jobs.get(key.job), key)
      if (gang === undefined || chosen.has(gang) || gang.checkpoint === checkpoint || !allRun(gang, key, progress)) continue
      chosen.set(gang, { key, checkpoint })
      this.turn = name
      if (chosen.size === MOST_SAVED) break
    }
    return [...chosen.values()]
  }
}

/** A member that has not begun would go on from a checkpoint that the others did not start with. */
function allRun ({ run, done }: Gang, key: RunKey, progress: RunProgressBook): boolean {
  if (done || run?.attempt !== key.attempt || run.stopping !== undefined) return false
  return run.members.every(({ task, ended }) => !ended && progress.view.get(runName({ ...key, task }))?.running === true)
}
