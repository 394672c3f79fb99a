/** Conversion of refusals from their wire form. */
import { RefusalCode, Verdict, type Refusal } from '../core/verdict'
import { Verdict as WireVerdict, type Refusal as WireRefusal } from '../wire/index'

const verdictFromWire: Readonly<Record<number, Verdict>> = {
  [WireVerdict.NOT_RUN]: Verdict.NotRun,
  [WireVerdict.MAY_HAVE_RUN]: Verdict.MayHaveRun,
  [WireVerdict.RAN]: Verdict.Ran
}

/**
 * Converts a verdict from its wire form; an unknown one counts as may-have-run, the weakest statement.
 * @param verdict - the number on the wire
 * @returns the verdict
 */
export function readVerdict (verdict: WireVerdict): Verdict {
  return verdictFromWire[verdict] ?? Verdict.MayHaveRun
}

const codes = new Set<string>(Object.values(RefusalCode))

/**
 * Converts a refusal from its wire form; an unknown code counts as unavailable.
 * @param refusal - the wire message
 * @returns the core's refusal
 */
export function readRefusal (refusal: WireRefusal): Refusal {
  const code = codes.has(refusal.code) ? refusal.code as RefusalCode : RefusalCode.Unavailable
  const { message, retryCanHelp, problems } = refusal
  return { code, message, verdict: readVerdict(refusal.verdict), retryCanHelp, retryAfter: refusal.retryAfterMilliseconds, problems }
}

/** Which copies of a request a refusal speaks of. */
enum RefusalScope {
  /** The copy that it answers. An earlier one may have been decided in another state, or by a host of another version. */
  OneCopy,
  /** Every copy: the log proves that none of them has had an effect. */
  EveryCopy
}

const scopeOfCode: { readonly [code in RefusalCode]: RefusalScope } = {
  [RefusalCode.BadRequest]: RefusalScope.OneCopy,
  [RefusalCode.Unauthorized]: RefusalScope.OneCopy,
  [RefusalCode.Forbidden]: RefusalScope.OneCopy,
  // A call that refers to a job: there is none in the log that any copy could have changed.
  [RefusalCode.NotFound]: RefusalScope.EveryCopy,
  [RefusalCode.UnknownQueue]: RefusalScope.OneCopy,
  [RefusalCode.Conflict]: RefusalScope.OneCopy,
  [RefusalCode.TooLarge]: RefusalScope.OneCopy,
  [RefusalCode.UnknownAccount]: RefusalScope.OneCopy,
  [RefusalCode.AccountClosed]: RefusalScope.OneCopy,
  [RefusalCode.ImpossibleShape]: RefusalScope.OneCopy,
  [RefusalCode.DeadlinePassed]: RefusalScope.OneCopy,
  [RefusalCode.QueueFull]: RefusalScope.OneCopy,
  [RefusalCode.OverLimit]: RefusalScope.OneCopy,
  [RefusalCode.NotLeader]: RefusalScope.OneCopy,
  [RefusalCode.Unavailable]: RefusalScope.OneCopy,
  [RefusalCode.Stopping]: RefusalScope.OneCopy,
  // The log has another request under the identifier, so it has accepted no copy of this one.
  [RefusalCode.IdentifierReused]: RefusalScope.EveryCopy,
  // Jobs that were accepted before a host of an earlier version led may be unaware of the cancelling.
  [RefusalCode.Cancelled]: RefusalScope.OneCopy,
  [RefusalCode.InvalidDocument]: RefusalScope.OneCopy
}

/**
 * Weakens the refusal of a request that was sent before without an answer: the earlier copy may have been accepted, or may
 * still be.
 * @param refusal - the refusal of the later copy
 * @returns the refusal with a verdict on all copies
 */
export function refusalOfRepeated (refusal: WireRefusal): WireRefusal {
  const scope = scopeOfCode[refusal.code as RefusalCode] ?? RefusalScope.OneCopy
  if (refusal.verdict !== WireVerdict.NOT_RUN || scope === RefusalScope.EveryCopy) return refusal
  return { ...refusal, verdict: WireVerdict.MAY_HAVE_RUN, message: `${refusal.message}; an earlier copy of the request may have been accepted` }
}

/**
 * Makes the refusal of a request whose effect is unknown.
 * @param message - one sentence for a person
 * @param retryAfter - milliseconds after which a retry with the same identifier may succeed
 * @returns the refusal
 */
export function mayHaveRun (message: string, retryAfter: number): Refusal {
  return { code: RefusalCode.Unavailable, message, verdict: Verdict.MayHaveRun, retryCanHelp: true, retryAfter }
}
