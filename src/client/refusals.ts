/** Refusals as they come over the wire. */
import { RefusalCode, Verdict, type Refusal } from '../core/verdict'
import { Verdict as WireVerdict, type Refusal as WireRefusal } from '../wire/index'

const verdictOfWire: Readonly<Record<number, Verdict>> = {
  [WireVerdict.NOT_RUN]: Verdict.NotRun,
  [WireVerdict.MAY_HAVE_RUN]: Verdict.MayHaveRun,
  [WireVerdict.RAN]: Verdict.Ran
}

/**
 * Reads a verdict of the wire. An unknown one says the least: may have run.
 * @param verdict - the number on the wire
 * @returns the verdict
 */
export function readVerdict (verdict: WireVerdict): Verdict {
  return verdictOfWire[verdict] ?? Verdict.MayHaveRun
}

const codes = new Set<string>(Object.values(RefusalCode))

/**
 * Reads a refusal of the wire.
 * @param refusal - the message
 * @returns the refusal of the core
 */
export function readRefusal (refusal: WireRefusal): Refusal {
  const code = codes.has(refusal.code) ? refusal.code as RefusalCode : RefusalCode.Unavailable
  const { message, retryCanHelp, problems } = refusal
  return { code, message, verdict: readVerdict(refusal.verdict), retryCanHelp, retryAfter: refusal.retryAfterMilliseconds, problems }
}

/**
 * Makes the refusal of a request whose effect is not known.
 * @param message - one sentence for a person
 * @param retryAfter - milliseconds after which trying again with the same identifier can help
 * @returns the refusal
 */
export function mayHaveRun (message: string, retryAfter: number): Refusal {
  return { code: RefusalCode.Unavailable, message, verdict: Verdict.MayHaveRun, retryCanHelp: true, retryAfter }
}
