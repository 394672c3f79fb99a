import type { Draft } from './draft'
import type { Job } from './job'

/** Milliseconds before the first retry; doubled with each failure. */
const RETRY_BASE_MILLISECONDS = 100
const RETRY_MOST_MILLISECONDS = 10_000
/** The window of the retry budgets, in milliseconds. */
const BUDGET_MILLISECONDS = 60_000
/** Name under which the retries of all accounts are counted. */
const ALL_ACCOUNTS = ''

/**
 * When a failed job may be tried again: after a jittered backoff, and not in this minute once the budget of its
 * account, or of all, is spent.
 * @param draft - the change being made
 * @param job - the job, its failures counted
 * @returns milliseconds since the epoch
 */
export function retryAt (draft: Draft, job: Job): number {
  const { limits } = draft.configuration.document
  const backoff = Math.min(RETRY_BASE_MILLISECONDS * 2 ** Math.max(0, job.failures - 1), RETRY_MOST_MILLISECONDS)
  const share = jitter(`${job.identifier}/${job.attempts}`)
  const own = draft.countRetry(job.specification.account)
  const all = draft.countRetry(ALL_ACCOUNTS)
  if (own <= limits.retriesPerMinutePerAccount && all <= limits.retriesPerMinute) return draft.at + Math.round(backoff * (0.5 + share))
  const nextMinute = (Math.floor(draft.at / BUDGET_MILLISECONDS) + 1) * BUDGET_MILLISECONDS
  return nextMinute + Math.round(share * BUDGET_MILLISECONDS)
}

/** A number between 0 and 1 that is the same on every host: FNV-1a of the text. */
function jitter (text: string): number {
  let hash = 0x811c9dc5
  for (let position = 0; position < text.length; position++) {
    hash = Math.imul(hash ^ text.charCodeAt(position), 0x01000193)
  }
  return (hash >>> 0) / 2 ** 32
}
