/** Names and outcomes of runs. A separate module, so that agents need not load the rest of the step scheduler. */

/** Identifies one run of one task. */
export interface RunKey {
  readonly job: string
  readonly step: number
  /** Position of the task within its step. */
  readonly task: number
  readonly attempt: number
}

/**
 * Formats the name of a run, which is unique within the deployment.
 * @param key - the run
 * @returns job, step, task and attempt, separated by dots
 */
export function runName (key: RunKey): string {
  const { job, step, task, attempt } = key
  return `${job}.${step}.${task}.${attempt}`
}

/** How a run ended, as its worker reports it. */
export enum RunOutcome {
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  /** The worker's lease expired. */
  LeaseExpired = 'lapsed',
  /** Another member of the gang ended. */
  MemberEnded = 'broken',
  /** The other members of the gang did not start in time. */
  MembersMissing = 'alone',
  /** The worker did not start the run, and this incarnation of it never will. */
  NotStarted = 'not-started',
  /** The incarnation of the worker was lost. */
  Lost = 'lost'
}
