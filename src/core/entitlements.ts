import { canonicalDigest } from './canonical'
import type { Document } from './document'
import type { AccountEntitlement } from './record'

/**
 * The limits and guarantees that a document grants to an account.
 * @param document - the document
 * @param account - name of the account
 * @returns the limits and guarantees; none for an account that the document does not list
 */
export function entitlementOf (document: Document, account: string): AccountEntitlement {
  const clientAccount = document.clientAccounts.find((candidate) => candidate.name === account)
  if (clientAccount === undefined) return { account, open: false, guarantees: [] }
  const { share, queuedJobs, runningAccelerators } = clientAccount
  const guarantees = document.guarantees.filter((guarantee) => guarantee.account === account)
    .map(({ shape, count, graceSeconds }) => ({ shape, count, graceSeconds }))
  return { account, open: true, limits: { share, queuedJobs, runningAccelerators }, guarantees }
}

/**
 * Finds the accounts whose limits or guarantees a change of the document alters.
 * @param before - the document before
 * @param after - the document after
 * @returns the new limits and guarantees of these accounts, sorted by name; undefined where none changed
 */
export function changedEntitlements (before: Document, after: Document): AccountEntitlement[] | undefined {
  const names = new Set([...before.clientAccounts, ...after.clientAccounts].map((account) => account.name))
  const changed = [...names].sort().map((name) => entitlementOf(after, name))
    .filter((entitlement) => canonicalDigest(entitlement) !== canonicalDigest(entitlementOf(before, entitlement.account)))
  return changed.length === 0 ? undefined : changed
}
