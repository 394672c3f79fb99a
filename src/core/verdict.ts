/**
 * What is known about the execution of a request.
 */
export enum Verdict {
  /** The request did not run, and this attempt of it never will. */
  NotRun = 'not-run',
  /** It is unknown whether the request ran. */
  MayHaveRun = 'may-have-run',
  /** The request ran to completion. */
  Ran = 'ran'
}

/** Why the system refused a request. */
export enum RefusalCode {
  BadRequest = 'bad-request',
  Unauthorized = 'unauthorized',
  /** The token is valid, but does not grant this right. */
  Forbidden = 'forbidden',
  NotFound = 'not-found',
  /** No queue has the requested address. */
  UnknownQueue = 'unknown-queue',
  Conflict = 'conflict',
  TooLarge = 'too-large',
  UnknownAccount = 'unknown-account',
  AccountClosed = 'account-closed',
  ImpossibleShape = 'impossible-shape',
  DeadlinePassed = 'deadline-passed',
  QueueFull = 'queue-full',
  OverLimit = 'over-limit',
  NotLeader = 'not-leader',
  Unavailable = 'unavailable',
  Stopping = 'stopping',
  IdentifierReused = 'identifier-reused',
  /** The job was cancelled before its submission arrived. */
  Cancelled = 'cancelled',
  InvalidDocument = 'invalid-document'
}

/** An invalid value in a submitted text. */
export interface Problem {
  /** JSON pointer to the value. */
  readonly path: string
  /** The value found, as JSON. */
  readonly value: string
  /** Description of the values that are accepted. */
  readonly expected: string
}

/** A refusal or failure of a request. */
export interface Refusal {
  readonly code: RefusalCode
  readonly message: string
  readonly verdict: Verdict
  readonly retryCanHelp: boolean
  /** Milliseconds to wait before a retry, 0 where a retry cannot help. */
  readonly retryAfter: number
  readonly problems?: readonly Problem[]
}

/**
 * Creates a refusal of a request that was not run.
 * @param code - the reason
 * @param message - a sentence for the user
 * @param retryAfter - milliseconds after which a retry can help, 0 for never
 * @param problems - the invalid values
 * @returns the refusal
 */
export function notRunRefusal (code: RefusalCode, message: string, retryAfter = 0, problems?: readonly Problem[]): Refusal {
  return { code, message, verdict: Verdict.NotRun, retryCanHelp: retryAfter > 0, retryAfter, problems }
}
