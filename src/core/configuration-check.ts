import { Type } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import { err, ok, type Result } from 'neverthrow'
import { canonicalDigest } from './canonical'
import { answerOf, putKey, requestDigest, teamMayWrite, type PutAnswer, type PutRequest } from './configuration'
import { consequences, type Consequence } from './consequences'
import { documentSchema, sections, type Document, type Section } from './document'
import { documentProblems } from './document-rules'
import { fleetProblems } from './fleet-check'
import { checkAgainst, formatValue } from './problems'
import type { State } from './state'
import { TransactionKind, type PutConfiguration } from './transaction'
import { notRunRefusal, RefusalCode, type Problem, type Refusal } from './verdict'

/** Maximum size of a change's JSON text, in bytes of UTF-8. */
export const MAX_PUT_BYTES = 2_097_152
/** Maximum length of a request identifier, in characters. */
const MAX_IDENTIFIER_CHARACTERS = 128
/** Maximum number of differing paths listed in a conflict refusal. */
const MAX_DIFFERENCES = 50

/** The result of checking a change: it may be proposed, or it was accepted before. */
export interface CheckedPut {
  /** The entry to propose, with defaults filled in; the leader adds the time. */
  readonly transaction: Omit<PutConfiguration, 'at'>
  /** The stored answer, if this request was accepted before; then nothing is to be proposed. */
  readonly answered?: PutAnswer
  readonly consequences: readonly Consequence[]
}

/** The sections of a change; each is optional. */
export const changeSchema = Type.Partial(documentSchema, { additionalProperties: false, $id: 'bramleyflow-change' })

/**
 * Checks a change to the document before it is proposed.
 * @param state - the state with all proposed entries applied
 * @param request - the writer's request
 * @returns the entry to propose and its consequences, or a refusal that lists all problems at once
 */
export function checkPut (state: State, request: PutRequest): Result<CheckedPut, Refusal> {
  return readRequest(request).andThen((submitted) => {
    const digest = requestDigest(request)
    const stored = state.configuration.puts.get(putKey(request.team, request.requestIdentifier))
    if (stored !== undefined) {
      if (stored.digest !== digest) return err(notRunRefusal(RefusalCode.IdentifierReused, `team ${request.team} used request identifier ${request.requestIdentifier} for another change`))
      return ok({ transaction: transactionOf(request, submitted, digest), answered: answerOf(stored), consequences: [] })
    }
    return checkNew(state, request, submitted, digest)
  })
}

function readRequest ({ requestIdentifier, sectionsJson }: PutRequest): Result<object, Refusal> {
  if (requestIdentifier.length === 0 || requestIdentifier.length > MAX_IDENTIFIER_CHARACTERS) {
    return err(invalidDocument([{ path: '', value: formatValue(requestIdentifier), expected: `a request identifier of 1 to ${MAX_IDENTIFIER_CHARACTERS} characters` }]))
  }
  if (Buffer.byteLength(sectionsJson) > MAX_PUT_BYTES) return err(notRunRefusal(RefusalCode.TooLarge, `a change has at most ${MAX_PUT_BYTES} bytes`))
  try {
    const parsed: unknown = JSON.parse(sectionsJson)
    if (typeof parsed === 'object' && parsed !== null && !Array.isArray(parsed) && Object.keys(parsed).length > 0) return ok(parsed)
    return err(invalidDocument([{ path: '', value: formatValue(parsed), expected: `an object with one or more of the sections ${sections.join(', ')}` }]))
  } catch (error) {
    return err(invalidDocument([{ path: '', value: formatValue(sectionsJson), expected: `JSON: ${(error as Error).message}` }]))
  }
}

function checkNew (state: State, request: PutRequest, submitted: object, digest: string): Result<CheckedPut, Refusal> {
  const checked = checkAgainst(changeSchema, submitted)
  if (checked.isErr()) return err(invalidDocument(checked.error))
  const changes = checked.value as Partial<Document>
  const changed = Object.keys(changes) as Section[]
  const forbidden = changed.filter((section) => !teamMayWrite(state.configuration.document, request.team, section))
  if (forbidden.length > 0) return err(forbiddenSections(request.team, forbidden))
  const conflict = conflictOf(state, request, changes)
  if (conflict !== undefined) return err(conflict)
  const document = { ...state.configuration.document, ...changes }
  const problems = [...documentProblems(document), ...fleetProblems(state, document), ...jobProblems(state, document), ...removedTeamsProblems(state, document)]
  if (problems.length > 0) return err(invalidDocument(problems))
  return ok({ transaction: transactionOf(request, changes, digest), consequences: consequences(state, document) })
}

function transactionOf ({ team, requestIdentifier, read }: PutRequest, changes: object, digest: string): Omit<PutConfiguration, 'at'> {
  return { kind: TransactionKind.PutConfiguration, team, requestIdentifier, read, sectionsJson: JSON.stringify(changes), requestDigest: digest }
}

function invalidDocument (problems: readonly Problem[]): Refusal {
  return notRunRefusal(RefusalCode.InvalidDocument, `the document was not accepted: ${problems.length} problems`, 0, problems)
}

function forbiddenSections (team: string, forbidden: readonly Section[]): Refusal {
  const problems = forbidden.map((section) => ({ path: `/${section}`, value: formatValue(team), expected: 'a team that may write this section' }))
  return notRunRefusal(RefusalCode.Unauthorized, `team ${team} may not write ${forbidden.join(', ')}`, 0, problems)
}

/** Lists every section that was replaced since the writer read it, and the paths at which the writer's text differs from the current one. */
function conflictOf (state: State, request: PutRequest, changes: Partial<Document>): Refusal | undefined {
  const { document, sectionNumbers } = state.configuration
  const changedSinceRead = (Object.keys(changes) as Section[]).filter((section) => numberReadByWriter(request, section) !== (sectionNumbers.get(section) ?? 0))
  if (changedSinceRead.length === 0) return undefined
  const numbers = changedSinceRead.map((section) => `${section} has number ${sectionNumbers.get(section) ?? 0}, the writer read ${numberReadByWriter(request, section) ?? 'none'}`)
  const problems = changedSinceRead.flatMap((section) => differences(section, document[section], changes[section]))
  return notRunRefusal(RefusalCode.Conflict, numbers.join('; '), 0, problems.slice(0, MAX_DIFFERENCES))
}

function numberReadByWriter (request: PutRequest, section: Section): number | undefined {
  return request.read.find((entry) => entry.section === section)?.number
}

function differences (section: Section, current: unknown, submitted: unknown): Problem[] {
  return Value.Diff({ [section]: current }, { [section]: submitted }).map((edit) => ({
    path: edit.path,
    value: edit.type === 'delete' ? 'nothing' : formatValue(edit.value),
    expected: `in force: ${formatValue(valueAtPointer({ [section]: current }, edit.path))}`
  }))
}

function valueAtPointer (value: unknown, path: string): unknown {
  return path.split('/').slice(1).reduce<unknown>((parent, key) => (parent as Record<string, unknown> | undefined)?.[key.replaceAll('~1', '/').replaceAll('~0', '~')], value)
}

/** A job identifier is bound permanently: a declared job's content cannot change, nor can it take the identifier of a submitted job. */
function jobProblems (state: State, document: Document): Problem[] {
  const before = new Map(state.configuration.document.jobs.map((job) => [job.identifier, canonicalDigest(job)]))
  const problems = document.jobs.flatMap((job, position) => {
    const { identifier, ...specification } = job
    const known = state.jobs.get(identifier)
    const changed = before.has(identifier) && before.get(identifier) !== canonicalDigest(job)
    const taken = known !== undefined && (!known.declared || canonicalDigest(known.specification) !== canonicalDigest(specification))
    if (!changed && !taken) return []
    return [{ path: `/jobs/${position}/identifier`, value: formatValue(identifier), expected: 'an identifier that names no other job, past or present' }]
  })
  return [...problems, ...queueProblems(state, document)]
}

function queueProblems (state: State, document: Document): Problem[] {
  const added = document.jobs.filter((job) => !state.jobs.has(job.identifier) && !state.spent.has(job.identifier))
  return document.clientAccounts.flatMap((account) => {
    const count = added.filter((job) => job.account === account.name).length
    const queued = state.accounts.get(account.name)?.queued ?? 0
    if (count === 0 || queued + count <= account.queuedJobs) return []
    return [{ path: '/jobs', value: `${count} new jobs of ${account.name}`, expected: `at most ${Math.max(0, account.queuedJobs - queued)}, its queue holds ${account.queuedJobs}` }]
  })
}

/** While the document has no teams every admitted writer may write all sections, so the last team must not be removed. */
function removedTeamsProblems (state: State, document: Document): Problem[] {
  if (state.configuration.document.teams.length === 0 || document.teams.length > 0) return []
  return [{ path: '/teams', value: '[]', expected: 'at least one team' }]
}
