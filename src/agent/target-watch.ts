/**
 * Tells a target that hangs from one that works long: while a request has been open for some time, the target is asked
 * for anything at all. Any answer counts; none, several times in a row, means that the target is silent.
 */

/** A request that is open for so long makes the agent ask, in milliseconds. */
const QUIET_MILLISECONDS = 1_000
/** Unanswered questions in a row after which the target counts as silent. */
const MOST_UNANSWERED = 3

/** What is known of the target. */
export interface TargetHealth {
  /** Questions in a row that got no answer. */
  readonly unanswered: number
  readonly silent: boolean
}

/** A target that nothing is known against. */
export const healthyTarget: TargetHealth = { unanswered: 0, silent: false }

/**
 * Tells whether the target should be asked.
 * @param health - what is known
 * @param longestOpen - time for which the oldest open request has been open, in milliseconds, 0 for none
 * @returns true while a request is open for long, or until a silent target has answered
 */
export function isQuestionDue (health: TargetHealth, longestOpen: number): boolean {
  return health.silent || longestOpen >= QUIET_MILLISECONDS
}

/**
 * Takes the outcome of a question in.
 * @param health - what was known
 * @param answered - whether any answer came
 * @returns what is known now
 */
export function questioned (health: TargetHealth, answered: boolean): TargetHealth {
  if (answered) return healthyTarget
  const unanswered = health.unanswered + 1
  return { unanswered, silent: health.silent || unanswered >= MOST_UNANSWERED }
}
