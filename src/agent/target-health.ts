/**
 * Distinguishes a target that hangs from one that processes a long request. While a request is open for some time, the
 * target gets health checks. Any response passes; several failed checks in a row mean that the target is silent.
 */

/** Age of an open request from which on health checks are sent, in milliseconds. */
const CHECK_AFTER_MILLISECONDS = 1_000
/** Failed health checks in a row after which the target counts as silent. */
const MAX_FAILED_CHECKS = 3

/** The health of the target. */
export interface TargetHealth {
  /** Failed health checks in a row. */
  readonly failedChecks: number
  readonly silent: boolean
}

/** The health of a target without failed checks. */
export const healthyTarget: TargetHealth = { failedChecks: 0, silent: false }

/**
 * Tells whether a health check is due.
 * @param health - the health of the target
 * @param oldestRequestAge - age of the oldest open request in milliseconds, 0 if none is open
 * @returns true while a request has been open for long, or until a silent target responds
 */
export function isHealthCheckDue (health: TargetHealth, oldestRequestAge: number): boolean {
  return health.silent || oldestRequestAge >= CHECK_AFTER_MILLISECONDS
}

/**
 * Records the outcome of a health check.
 * @param health - the health before
 * @param answered - whether the target responded
 * @returns the health after
 */
export function recordHealthCheck (health: TargetHealth, answered: boolean): TargetHealth {
  if (answered) return healthyTarget
  const failedChecks = health.failedChecks + 1
  return { failedChecks, silent: health.silent || failedChecks >= MAX_FAILED_CHECKS }
}
