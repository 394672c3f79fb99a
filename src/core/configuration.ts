import { err, ok, type Result } from 'neverthrow'
import { canonicalDigest } from './canonical'
import { consequenceLines, consequences, jobsEndedBy } from './consequences'
import type { Document, Section } from './document'
import { danglingReferences } from './document-rules'
import type { Draft } from './draft'
import { EffectKind } from './effect'
import { hasEnded, Reason, type Job } from './job'
import { cancelJob, queueJob } from './jobs'
import { changedEntitlements } from './entitlements'
import type { ConfigurationState, StoredPut } from './state'
import type { PutConfiguration, SectionNumber } from './transaction'
import { notRunRefusal, RefusalCode, type Refusal } from './verdict'

/** How long the answer to an accepted change is kept for resends, in milliseconds. */
export const PUT_RETENTION_MILLISECONDS = 7 * 24 * 3_600_000
/** Maximum number of stored answers; the newest are kept. */
export const MAX_STORED_PUTS = 10_000
/** Maximum number of consequence lines stored with an answer and in the record. */
const MAX_CONSEQUENCE_LINES = 20

/** A writer's request to replace sections of the document. */
export interface PutRequest {
  readonly team: string
  /** Chosen by the writer, and reused to resend a request whose answer was lost. */
  readonly requestIdentifier: string
  /** The number of each section to replace, as the writer read it. */
  readonly read: readonly SectionNumber[]
  /** The sections to replace, as one JSON object. */
  readonly sectionsJson: string
}

/** The answer to an accepted change; each resend gets the same one. */
export interface PutAnswer {
  /** The new number of the document and of each changed section. */
  readonly number: number
  readonly sections: readonly SectionNumber[]
  /** SHA-256 of the document, in hexadecimal. */
  readonly documentDigest: string
  /** The consequences of the change, one line each. */
  readonly consequences: readonly string[]
}

/**
 * Replaces sections of the document if their numbers match, then cancels and queues jobs accordingly.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function putConfiguration (draft: Draft, transaction: PutConfiguration): Result<void, Refusal> {
  const { configuration } = draft
  const digest = transaction.requestDigest ?? requestDigest(transaction)
  const stored = configuration.puts.get(putKey(transaction.team, transaction.requestIdentifier))
  if (stored !== undefined) {
    return stored.digest === digest ? ok(undefined) : err(notRunRefusal(RefusalCode.IdentifierReused, 'this request identifier was used for another change'))
  }
  const changes = JSON.parse(transaction.sectionsJson) as Partial<Document>
  const document = { ...configuration.document, ...changes }
  const refusal = findRefusal(configuration, transaction, document, Object.keys(changes) as Section[])
  if (refusal !== undefined) return err(refusal)
  applyPut(draft, transaction, document, Object.keys(changes) as Section[], digest)
  return ok(undefined)
}

/** Repeats the checks when the entry is applied, as other entries may have been applied since it was proposed. */
function findRefusal (configuration: ConfigurationState, transaction: PutConfiguration, document: Document, changed: readonly Section[]): Refusal | undefined {
  for (const section of changed) {
    if (!teamMayWrite(configuration.document, transaction.team, section)) return notRunRefusal(RefusalCode.Unauthorized, `team ${transaction.team} may not write ${section}`)
    const current = configuration.sectionNumbers.get(section) ?? 0
    const read = transaction.read.find((entry) => entry.section === section)?.number
    if (read !== current) return notRunRefusal(RefusalCode.Conflict, `section ${section} has number ${current}, the writer read ${read ?? 'none'}`)
  }
  const problems = danglingReferences(document)
  return problems.length === 0 ? undefined : notRunRefusal(RefusalCode.Conflict, 'another change removed an account that this one names', 0, problems)
}

function applyPut (draft: Draft, transaction: PutConfiguration, document: Document, changed: readonly Section[], digest: string): void {
  const before = draft.configuration
  const number = before.number + 1
  const lines = consequenceLines(consequences(draft.before, document), MAX_CONSEQUENCE_LINES)
  const put: StoredPut = {
    team: transaction.team,
    requestIdentifier: transaction.requestIdentifier,
    digest,
    number,
    sections: changed,
    documentDigest: documentDigest(document),
    consequences: lines,
    at: draft.at
  }
  const ended = jobsEndedBy(draft.before, document, openJobs(draft))
  draft.configuration = {
    number,
    document,
    sectionNumbers: before.sectionNumbers.withMutations((numbers) => { for (const section of changed) numbers.set(section, number) }),
    puts: evictOldPuts(before.puts.set(putKey(put.team, put.requestIdentifier), put), draft.at)
  }
  draft.addEffect({ kind: EffectKind.ConfigurationChanged, sections: changed })
  draft.recordEvent({
    kind: transaction.kind,
    team: put.team,
    request: put.requestIdentifier,
    number,
    sections: changed.map((section) => ({ section, before: before.sectionNumbers.get(section) ?? 0 })),
    digestBefore: documentDigest(before.document),
    digestAfter: put.documentDigest,
    consequences: lines,
    promises: changedEntitlements(before.document, document),
    message: changed.join(', ')
  })
  for (const job of ended.removed) cancelJob(draft, job, Reason.RemovedFromDocument)
  for (const job of ended.closed) cancelJob(draft, job, Reason.AccountRemoved)
  queueDeclaredJobs(draft)
}

function openJobs (draft: Draft): Job[] {
  return draft.openJobs().map((identifier) => draft.job(identifier)).filter((job): job is Job => job !== undefined)
}

/** A declared job runs once: its end is remembered for as long as the document declares it. */
function queueDeclaredJobs (draft: Draft): void {
  const { jobs } = draft.configuration.document
  draft.retainSpent(new Set(jobs.map((job) => job.identifier)))
  for (const { identifier, ...specification } of jobs) {
    const known = draft.job(identifier)
    if (known !== undefined && hasEnded(known)) draft.markSpent(identifier)
    if (known === undefined && !draft.isSpent(identifier)) queueJob(draft, identifier, specification, true)
  }
}

/** Evicts answers that are expired or in excess. A later resend is refused because the section number has changed, so it is never applied twice. */
function evictOldPuts (puts: ConfigurationState['puts'], now: number): ConfigurationState['puts'] {
  const expired = puts.valueSeq().filter((put) => put.at + PUT_RETENTION_MILLISECONDS < now).toArray()
  const kept = puts.withMutations((map) => { for (const put of expired) map.delete(putKey(put.team, put.requestIdentifier)) })
  if (kept.size <= MAX_STORED_PUTS) return kept
  const surplus = kept.valueSeq().toArray().sort((one, other) => one.number - other.number).slice(0, kept.size - MAX_STORED_PUTS)
  return kept.withMutations((map) => { for (const put of surplus) map.delete(putKey(put.team, put.requestIdentifier)) })
}

/**
 * The key under which the answer to a change is stored.
 * @param team - the writer's team
 * @param requestIdentifier - chosen by the writer
 * @returns the key; different teams may use the same identifier
 */
export function putKey (team: string, requestIdentifier: string): string {
  return `${team}/${requestIdentifier}`
}

/**
 * Digest that distinguishes a resend from a different change with the same identifier. The section numbers are
 * left out: a writer whose answer was lost, and that reads again, gets the numbers set by its own change.
 * @param request - the request, before defaults are filled in
 * @returns SHA-256 in hexadecimal, independent of white space and field order
 */
export function requestDigest (request: PutRequest): string {
  return canonicalDigest([request.team, JSON.parse(request.sectionsJson)])
}

/**
 * Digest of a whole document.
 * @param document - the document
 * @returns SHA-256 in hexadecimal, independent of field order
 */
export function documentDigest (document: Document): string {
  return canonicalDigest(document)
}

/**
 * Tells whether a team may write a section.
 * @param document - the document in force
 * @param team - the team
 * @param section - the section
 * @returns true if the document allows it; while it has no teams, every admitted writer may write
 */
export function teamMayWrite (document: Document, team: string, section: Section): boolean {
  if (document.teams.length === 0) return true
  return document.teams.some((candidate) => candidate.name === team && candidate.sections.includes(section))
}

/**
 * The answer to an accepted change.
 * @param put - the stored change
 * @returns the answer, the same for each resend
 */
export function answerOf (put: StoredPut): PutAnswer {
  const { number, documentDigest, consequences } = put
  return { number, sections: put.sections.map((section) => ({ section, number })), documentDigest, consequences }
}

/**
 * Finds the stored answer to an applied change.
 * @param configuration - the state of the configuration
 * @param team - the writer's team
 * @param requestIdentifier - chosen by the writer
 * @returns the answer, or undefined if no such change was accepted or its retention is over
 */
export function storedAnswer (configuration: ConfigurationState, team: string, requestIdentifier: string): PutAnswer | undefined {
  const put = configuration.puts.get(putKey(team, requestIdentifier))
  return put === undefined ? undefined : answerOf(put)
}
