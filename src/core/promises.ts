import { canonicalDigest } from './canonical'
import type { Document } from './document'
import type { AccountPromise } from './record'

/**
 * Tells what a document promises to an account.
 * @param document - the document
 * @param account - name of the account
 * @returns its limits and guarantees
 */
export function promiseTo (document: Document, account: string): AccountPromise {
  const found = document.clientAccounts.find((candidate) => candidate.name === account)
  if (found === undefined) return { account, open: false, guarantees: [] }
  const { share, queuedJobs, runningAccelerators } = found
  const guarantees = document.guarantees.filter((guarantee) => guarantee.account === account)
    .map(({ shape, count, graceSeconds }) => ({ shape, count, graceSeconds }))
  return { account, open: true, limits: { share, queuedJobs, runningAccelerators }, guarantees }
}

/**
 * Tells which promises a change of the document alters.
 * @param before - the document before
 * @param after - the document after
 * @returns the new promise to each account concerned, in the order of names; nothing where none changed
 */
export function changedPromises (before: Document, after: Document): AccountPromise[] | undefined {
  const names = new Set([...before.clientAccounts, ...after.clientAccounts].map((account) => account.name))
  const changed = [...names].sort().map((name) => promiseTo(after, name))
    .filter((promise) => canonicalDigest(promise) !== canonicalDigest(promiseTo(before, promise.account)))
  return changed.length === 0 ? undefined : changed
}
