import { Verdict } from '../core/verdict'

/** What a command's end tells a script. */
export enum ExitCode {
  Done = 0,
  /** The command line or a local file is wrong; nothing was sent. */
  Usage = 1,
  /** Refused, or could not be sent: it did not run. */
  NotRun = 2,
  /** Sent, and nobody can tell whether it ran: ask by its identifier before sending another. */
  MayHaveRun = 3,
  /** It ran to its end without a usable answer. */
  RanAndFailed = 4,
  /** The process could not start: settings, address or data folder. */
  CannotStart = 5,
  /** The process was stopped before all its work was over. */
  LeftBehind = 6,
  /** A check found something wrong. */
  CheckFailed = 7
}

const codeOfVerdict: Readonly<Record<Verdict, ExitCode>> = {
  [Verdict.NotRun]: ExitCode.NotRun,
  [Verdict.MayHaveRun]: ExitCode.MayHaveRun,
  [Verdict.Ran]: ExitCode.RanAndFailed
}

/**
 * The exit code for a refusal or failure.
 * @param verdict - what is known of its effects
 * @returns the exit code
 */
export function exitCodeOf (verdict: Verdict): ExitCode {
  return codeOfVerdict[verdict]
}
