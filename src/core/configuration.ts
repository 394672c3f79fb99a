import { createHash } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { RemovalRule, Section, type Document } from './document'
import type { Draft } from './draft'
import { EffectKind } from './effect'
import { hasEnded, Reason } from './job'
import { cancelJob, queueJob } from './jobs'
import type { PutConfiguration } from './transaction'
import { notRun, RefusalCode, type Refusal } from './verdict'

/**
 * Replaces sections of the document when the numbers match, and brings jobs in line with it.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function putConfiguration (draft: Draft, transaction: PutConfiguration): Result<void, Refusal> {
  const { configuration } = draft
  const digest = putDigest(transaction)
  const stored = configuration.puts.get(transaction.requestIdentifier)
  if (stored !== undefined) {
    return stored.digest === digest ? ok(undefined) : err(notRun(RefusalCode.IdentifierReused, 'this request identifier was used for another change'))
  }
  const changes = JSON.parse(transaction.sectionsJson) as Partial<Document>
  const changed = Object.keys(changes) as Section[]
  for (const section of changed) {
    const current = configuration.sectionNumbers.get(section) ?? 0
    const read = transaction.read.find((entry) => entry.section === section)?.number
    if (read !== current) return err(notRun(RefusalCode.Conflict, `section ${section} has number ${current}, the writer read ${read ?? 'none'}`))
  }
  const number = configuration.number + 1
  const before = configuration.document
  draft.configuration = {
    number,
    document: { ...before, ...changes },
    sectionNumbers: configuration.sectionNumbers.withMutations((numbers) => { for (const section of changed) numbers.set(section, number) }),
    puts: configuration.puts.set(transaction.requestIdentifier, { requestIdentifier: transaction.requestIdentifier, digest, number, at: draft.at })
  }
  draft.effect({ kind: EffectKind.ConfigurationChanged, sections: changed })
  draft.note({ kind: transaction.kind, team: transaction.team, number, message: changed.join(', ') })
  carryOut(draft, before)
  return ok(undefined)
}

function putDigest ({ team, read, sectionsJson }: PutConfiguration): string {
  return createHash('sha256').update(JSON.stringify([team, read, sectionsJson])).digest('hex')
}

/** Brings jobs in line with the document that was just accepted. */
function carryOut (draft: Draft, before: Document): void {
  const { document } = draft.configuration
  const declared = new Set(document.jobs.map((job) => job.identifier))
  const accounts = new Set(document.clientAccounts.map((account) => account.name))
  for (const identifier of draft.openJobs()) {
    const job = draft.job(identifier)
    if (job === undefined || hasEnded(job)) continue
    if (job.declared && !declared.has(identifier)) { cancelJob(draft, job, Reason.RemovedFromDocument); continue }
    if (accounts.has(job.specification.account)) continue
    const rule = before.clientAccounts.find((account) => account.name === job.specification.account)?.whenRemoved
    if (rule === RemovalRule.Cancel || job.attempt === undefined) cancelJob(draft, job, Reason.AccountRemoved)
  }
  for (const { identifier, ...specification } of document.jobs) {
    if (draft.job(identifier) === undefined && !draft.isSpent(identifier)) queueJob(draft, identifier, specification, true)
  }
}
