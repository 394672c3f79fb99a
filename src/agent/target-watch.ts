/**
 * Tells a target that hangs from one that works long: while a request has been open for some time, the target is asked
 * for anything at all. Any answer counts; none, several times in a row, means that the target is silent.
 */

/** A request that is open for so long makes the agent ask, in milliseconds. */
const CHECK_AFTER_MILLISECONDS = 1_000
/** Unanswered questions in a row after which the target counts as silent. */
const MAX_FAILED_CHECKS = 3

/** What is known of the target. */
export interface TargetHealth {
  /** Questions in a row that got no answer. */
  readonly failedChecks: number
  readonly silent: boolean
}

/** A target that nothing is known against. */
export const healthyTarget: TargetHealth = { failedChecks: 0, silent: false }

/**
 * Tells whether the target should be asked.
 * @param health - what is known
 * @param oldestRequestAge - time for which the oldest open request has been open, in milliseconds, 0 for none
 * @returns true while a request is open for long, or until a silent target has answered
 */
export function isHealthCheckDue (health: TargetHealth, oldestRequestAge: number): boolean {
  return health.silent || oldestRequestAge >= CHECK_AFTER_MILLISECONDS
}

/**
 * Takes the outcome of a question in.
 * @param health - what was known
 * @param answered - whether any answer came
 * @returns what is known now
 */
export function recordHealthCheck (health: TargetHealth, answered: boolean): TargetHealth {
  if (answered) return healthyTarget
  const failedChecks = health.failedChecks + 1
  return { failedChecks, silent: health.silent || failedChecks >= MAX_FAILED_CHECKS }
}
