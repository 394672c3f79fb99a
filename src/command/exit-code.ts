import { Verdict } from '../core/verdict'

/** Exit codes of the commands, for use by scripts. */
export enum ExitCode {
  Done = 0,
  /** The command line or a local file is invalid; nothing was sent. */
  Usage = 1,
  /** The request was refused or could not be sent; it did not run. */
  NotRun = 2,
  /** The request was sent, but it is unknown whether it ran: look it up by its identifier before sending another one. */
  MayHaveRun = 3,
  /** The job ran but has no usable answer. */
  RanAndFailed = 4,
  /** The process could not start because of its settings, address or data folder. */
  CannotStart = 5,
  /** The process stopped before all its work was done. */
  StoppedEarly = 6,
  /** A check found a fault. */
  CheckFailed = 7
}

const codeOfVerdict: Readonly<Record<Verdict, ExitCode>> = {
  [Verdict.NotRun]: ExitCode.NotRun,
  [Verdict.MayHaveRun]: ExitCode.MayHaveRun,
  [Verdict.Ran]: ExitCode.RanAndFailed
}

/**
 * Returns the exit code for a refusal or failure.
 * @param verdict - whether the request has run
 * @returns the exit code
 */
export function exitCodeOf (verdict: Verdict): ExitCode {
  return codeOfVerdict[verdict]
}
