/** Names and ends of runs; agents load this alone. */

/** Names one run of one task. */
export interface RunKey {
  readonly job: string
  readonly step: number
  /** Position of the task within its step. */
  readonly task: number
  readonly attempt: number
}

/**
 * The name of a run, unique in the deployment.
 * @param key - the run
 * @returns job, step, task and attempt, separated by dots
 */
export function runName (key: RunKey): string {
  const { job, step, task, attempt } = key
  return `${job}.${step}.${task}.${attempt}`
}

/** How a run ended, as its worker lists it. */
export enum RunOutcome {
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  /** The worker's lease ran out. */
  Lapsed = 'lapsed',
  /** Another member of the gang ended. */
  Broken = 'broken',
  /** The other members of the gang did not come in time. */
  Alone = 'alone',
  /** The worker never began it and never will in this incarnation. */
  NotStarted = 'not-started',
  /** The incarnation is over. */
  Lost = 'lost'
}
