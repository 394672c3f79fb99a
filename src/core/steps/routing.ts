/** Resolves the queue and the account of a request. */
import { err, ok, type Result } from 'neverthrow'
import { notRunRefusal, RefusalCode, type Refusal } from '../verdict'
import { NO_DOCUMENT_RETRY_MILLISECONDS } from './admission/retry-times'
import type { Queue, QueueDocument } from './document'
import type { StepJob, StepState } from './model'

/** How a caller addresses a queue. */
export interface QueueAddress {
  readonly host: string
  readonly path: string
  /** SHA-256 of the caller's key, in hexadecimal; empty without a key. */
  readonly keyDigest: string
}

/** A queue addressed by name, for a caller whose account is already known. */
export interface NamedQueue {
  readonly queue: string
  /** Empty for an operator. */
  readonly account: string
  /** Identifier of a job; empty for the queue itself. */
  readonly job: string
}

/** Which jobs a caller may read and cancel. */
export enum JobAccess {
  /** Those of its account. */
  Account = 'account',
  /** Those of the queue, which is public, and those of its account. */
  Queue = 'queue',
  /** Those of all accounts and queues: an operator. */
  All = 'all'
}

/** A caller at a queue, as far as it decides on what it may do with jobs. */
export interface QueueCaller {
  /** Name of the queue. */
  readonly queue: string
  /** Name of the caller's account; empty on a public queue without a known key, and for operators. */
  readonly account: string
  readonly access: JobAccess
}

/** The target of a request, resolved against the document in force. */
export interface Route {
  readonly queue: Queue
  /** Name of the caller's account; empty on a public queue without a known key, and for operators. */
  readonly account: string
  readonly access: JobAccess
  /** Identifier of the addressed job, not validated: the part of the path after the queue's prefix; empty for the queue itself. */
  readonly jobIdentifier: string
}

/**
 * Resolves a request by host, path and key.
 * @param state - state of the step jobs, with the document in force
 * @param address - host, path and key of the request
 * @returns queue and account, or a refusal whose verdict says that nothing was run
 */
export function resolveRoute (state: StepState, address: QueueAddress): Result<Route, Refusal> {
  if (state.document === undefined) return err(notRunRefusal(RefusalCode.Unavailable, 'no document is in force yet', NO_DOCUMENT_RETRY_MILLISECONDS))
  const { document } = state.document
  const queue = queueOf(document, address)
  if (queue === undefined) return err(notRunRefusal(RefusalCode.UnknownQueue, 'no queue has this address'))
  const account = accountOf(document, address.keyDigest)
  if (account === undefined && !queue.public) return err(notRunRefusal(RefusalCode.Unauthorized, 'the key belongs to no account'))
  const route: Route = { queue, account: account ?? '', access: queue.public ? JobAccess.Queue : JobAccess.Account, jobIdentifier: address.path.slice(queue.prefix.length) }
  return ok(route)
}

/**
 * Resolves a request by the name of the queue.
 * @param state - state of the step jobs, with the document in force
 * @param named - the queue, the caller's account and the job
 * @returns queue and account, or a refusal whose verdict says that nothing was run
 */
export function resolveQueue (state: StepState, named: NamedQueue): Result<Route, Refusal> {
  const { queue: name, account, job } = named
  if (state.document === undefined) return err(notRunRefusal(RefusalCode.Unavailable, 'no document is in force yet', NO_DOCUMENT_RETRY_MILLISECONDS))
  const { queues, accounts } = state.document.document
  const queue = queues.find((candidate) => candidate.name === name)
  if (queue === undefined) return err(notRunRefusal(RefusalCode.UnknownQueue, `there is no queue ${name}`))
  const known = account === '' || queue.public || accounts.some((candidate) => candidate.name === account)
  if (!known) return err(notRunRefusal(RefusalCode.Unauthorized, `the queue document has no account ${account}`))
  const access = account === '' ? JobAccess.All : queue.public ? JobAccess.Queue : JobAccess.Account
  return ok({ queue, account, access, jobIdentifier: job })
}

/**
 * Returns the caller of a request.
 * @param route - the request, resolved
 * @returns the caller, which can be stored
 */
export function queueCaller (route: Route): QueueCaller {
  const { queue, account, access } = route
  return { queue: queue.name, account, access }
}

const accessRules: { readonly [access in JobAccess]: (caller: QueueCaller, job: StepJob) => boolean } = {
  [JobAccess.Account]: ({ account }, job) => job.account === account,
  [JobAccess.Queue]: ({ queue, account }, job) => job.queue.name === queue || job.account === account,
  [JobAccess.All]: () => true
}

/**
 * Tells whether a caller may read and cancel a job.
 * @param caller - the caller
 * @param job - the job
 * @returns true where it may
 */
export function mayAccess (caller: QueueCaller, job: StepJob): boolean {
  return accessRules[caller.access](caller, job)
}

/** Where several prefixes match, the longest is chosen. */
function queueOf ({ queues }: QueueDocument, { host, path }: QueueAddress): Queue | undefined {
  let best: Queue | undefined
  for (const queue of queues) {
    if (queue.host !== host || !path.startsWith(queue.prefix)) continue
    if (best === undefined || queue.prefix.length > best.prefix.length) best = queue
  }
  return best
}

function accountOf ({ accounts }: QueueDocument, keyDigest: string): string | undefined {
  if (keyDigest === '') return undefined
  return accounts.find(({ keys }) => keys.includes(keyDigest))?.name
}

/**
 * Extracts the job identifier from a path.
 * @param path - path of a queue or of a job in it
 * @returns the job's identifier; empty for a queue
 */
export function jobOfPath (path: string): string {
  return path.slice(path.lastIndexOf('/') + 1)
}
