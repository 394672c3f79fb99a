/**
 * Jobs that were cancelled before they were submitted. A submission can be held up in a stalled process or connection, or
 * overtaken, while its caller cancels the job through another host. It is refused when it arrives.
 */
import { Map as ImmutableMap } from 'immutable'
import { err, ok, type Result } from 'neverthrow'
import type { Draft } from '../draft'
import { notRunRefusal, RefusalCode, type Refusal } from '../verdict'
import { RETENTION_MILLISECONDS, type StepState } from './model'
import { JobAccess, type QueueCaller } from './routing'

/** Limit of the cancellations kept for an account. */
export const MAX_EARLY_CANCELLATIONS = 1_000
/** Time after which a repeated cancelling is recorded again, so that its acknowledgement holds as long as that of a first one. */
const RENEWAL_MILLISECONDS = 60_000
/** Cancellations of operators and of callers of public queues concern submissions of all accounts. */
const ALL_ACCOUNTS = ''

/** Times of the cancellations in milliseconds since the epoch, by job and queue for each account. */
export type EarlyCancellations = ImmutableMap<string, ImmutableMap<string, number>>

/** One submission of a job. */
interface SubmissionKey {
  readonly identifier: string
  readonly account: string
  readonly queue: string
}

/**
 * Records that a job was cancelled that is not known.
 * @param draft - the draft being modified
 * @param identifier - the job
 * @param caller - who cancelled it; for a caller that only has access to the jobs of its account, the submissions of others are not concerned
 * @returns nothing, or a refusal where the account has too many, which leaves the state unchanged
 */
export function recordEarlyCancellation (draft: Draft, identifier: string, caller: QueueCaller): Result<void, Refusal> {
  const all: EarlyCancellations = draft.steps.earlyCancellations ?? ImmutableMap()
  const owner = ownerOf(caller)
  const known = all.get(owner) ?? ImmutableMap<string, number>()
  const key = keyOf(identifier, caller.queue)
  const recent = known.size < MAX_EARLY_CANCELLATIONS || known.has(key) ? known : withoutExpired(known, draft.at)
  if (recent.size >= MAX_EARLY_CANCELLATIONS && !recent.has(key)) {
    const oldestAt = recent.min() ?? draft.at
    return err(notRunRefusal(RefusalCode.Unavailable, `${MAX_EARLY_CANCELLATIONS} jobs that were never submitted are cancelled already`, oldestAt + RETENTION_MILLISECONDS - draft.at))
  }
  draft.steps = { ...draft.steps, earlyCancellations: all.set(owner, recent.set(key, draft.at)) }
  return ok(undefined)
}

/**
 * Removes the cancellations whose retention time has passed.
 * @param draft - the draft being modified
 */
export function expireEarlyCancellations (draft: Draft): void {
  const { earlyCancellations, ...others } = draft.steps
  if (earlyCancellations === undefined) return
  const kept = earlyCancellations.map((known) => withoutExpired(known, draft.at)).filter(({ size }) => size > 0)
  draft.steps = kept.size === 0 ? others : { ...others, earlyCancellations: kept }
}

/**
 * Tells whether a cancelling is recorded already and need not be recorded again.
 * @param state - state of the step jobs
 * @param identifier - the job
 * @param caller - who cancels it
 * @param now - milliseconds since the epoch
 * @returns true for most of the retention time
 */
export function isCancelledEarly (state: StepState, identifier: string, caller: QueueCaller, now: number): boolean {
  const at = state.earlyCancellations?.get(ownerOf(caller))?.get(keyOf(identifier, caller.queue))
  return at !== undefined && now - at < RENEWAL_MILLISECONDS
}

/**
 * Returns the refusal of a submission whose job was cancelled before.
 * @param state - state of the step jobs
 * @param submission - the submission
 * @param now - milliseconds since the epoch
 * @returns the refusal, with the time until the identifier can be used again; undefined where the job was not cancelled
 */
export function earlyCancellationRefusal (state: StepState, submission: SubmissionKey, now: number): Refusal | undefined {
  const { earlyCancellations } = state
  const { identifier, account, queue } = submission
  if (earlyCancellations === undefined) return undefined
  const key = keyOf(identifier, queue)
  const at = Math.max(...[account, ALL_ACCOUNTS].map((owner) => earlyCancellations.get(owner)?.get(key) ?? -Infinity))
  if (isExpired(at, now)) return undefined
  return notRunRefusal(RefusalCode.Cancelled, `job ${identifier} was cancelled before it was submitted`, at + RETENTION_MILLISECONDS - now)
}

function ownerOf ({ account, access }: QueueCaller): string {
  return access === JobAccess.Account ? account : ALL_ACCOUNTS
}

/** Identifiers contain no slash. */
function keyOf (identifier: string, queue: string): string {
  return `${identifier}/${queue}`
}

function withoutExpired (known: ImmutableMap<string, number>, now: number): ImmutableMap<string, number> {
  return known.filter((at) => !isExpired(at, now))
}

function isExpired (at: number, now: number): boolean {
  return at + RETENTION_MILLISECONDS <= now
}
