import type { Draft } from './draft'
import type { Job } from './job'

/** Delay before the first retry; doubled with each failure. */
const BASE_RETRY_DELAY_MILLISECONDS = 100
const MAX_RETRY_DELAY_MILLISECONDS = 10_000
/** Length of the window to which the retry budgets apply. */
const RETRY_WINDOW_MILLISECONDS = 60_000
/** Key of the retry count over all accounts. */
const ALL_ACCOUNTS = ''

/**
 * When a failed job may be retried: after a jittered backoff, or in the next minute once the retry budget of its
 * account, or of all accounts, is exhausted.
 * @param draft - the change being made
 * @param job - the job, whose failure count includes the last one
 * @returns milliseconds since the epoch
 */
export function retryAt (draft: Draft, job: Job): number {
  const { limits } = draft.configuration.document
  const backoff = Math.min(BASE_RETRY_DELAY_MILLISECONDS * 2 ** Math.max(0, job.failures - 1), MAX_RETRY_DELAY_MILLISECONDS)
  const fraction = jitter(`${job.identifier}/${job.attempts}`)
  const own = draft.countRetry(job.specification.account)
  const all = draft.countRetry(ALL_ACCOUNTS)
  if (own <= limits.retriesPerMinutePerAccount && all <= limits.retriesPerMinute) return draft.at + Math.round(backoff * (0.5 + fraction))
  const nextMinute = (Math.floor(draft.at / RETRY_WINDOW_MILLISECONDS) + 1) * RETRY_WINDOW_MILLISECONDS
  return nextMinute + Math.round(fraction * RETRY_WINDOW_MILLISECONDS)
}

/** A deterministic number between 0 and 1, so that every host computes the same: FNV-1a of the text. */
function jitter (text: string): number {
  let hash = 0x811c9dc5
  for (let position = 0; position < text.length; position++) {
    hash = Math.imul(hash ^ text.charCodeAt(position), 0x01000193)
  }
  return (hash >>> 0) / 2 ** 32
}
