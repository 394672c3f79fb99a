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

/**
 * Makes the refusal of a request whose effect is unknown.
 * @param message - one sentence for a person
 * @param retryAfter - milliseconds after which a retry with the same identifier may succeed
 * @returns the refusal
 */
export function mayHaveRun (message: string, retryAfter: number): Refusal {
  return { code: RefusalCode.Unavailable, message, verdict: Verdict.MayHaveRun, retryCanHelp: true, retryAfter }
}
