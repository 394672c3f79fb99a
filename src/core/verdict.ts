/**
 * What is known of a request's effects when something went wrong.
 */
export enum Verdict {
  /** The request did not run and never will under this identifier's attempt. */
  NotRun = 'not-run',
  /** The request may have run; nobody can tell. */
  MayHaveRun = 'may-have-run',
  /** The request ran to its end. */
  Ran = 'ran'
}

/** Why the system refused a request. */
export enum RefusalCode {
  BadRequest = 'bad-request',
  Unauthorized = 'unauthorized',
  /** The token is known, but it does not give this right. */
  Forbidden = 'forbidden',
  NotFound = 'not-found',
  /** No queue has the address that was asked. */
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
  InvalidDocument = 'invalid-document'
}

/** One place in a submitted text that was not accepted. */
export interface Problem {
  /** JSON pointer of the place. */
  readonly path: string
  /** The value found there, as JSON. */
  readonly value: string
  /** What would be accepted. */
  readonly expected: string
}

/** A refusal or failure, with its verdict. */
export interface Refusal {
  readonly code: RefusalCode
  readonly message: string
  readonly verdict: Verdict
  readonly retryCanHelp: boolean
  /** Milliseconds to wait before trying again, 0 where trying again cannot help. */
  readonly retryAfter: number
  readonly problems?: readonly Problem[]
}

/**
 * Makes a refusal of something that was not run.
 * @param code - the reason
 * @param message - one sentence for a person
 * @param retryAfter - milliseconds after which trying again can help, 0 for never
 * @param problems - the places that were not accepted
 * @returns the refusal
 */
export function notRun (code: RefusalCode, message: string, retryAfter = 0, problems?: readonly Problem[]): Refusal {
  return { code, message, verdict: Verdict.NotRun, retryCanHelp: retryAfter > 0, retryAfter, problems }
}
