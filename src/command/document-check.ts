/** Checks local documents. Loaded only by `configuration check`, for its packages. */
import { Type, type Static } from '@sinclair/typebox'
import { checkQueues, checkSections, refusedReport, type CheckedDocument, type DocumentReport, type FleetSize, type QueueCheckContext } from '../core/document-check/index'
import { documentSchema } from '../core/document'
import { parseJson } from '../core/json-text'
import { checkAgainst } from '../core/problems'
import type { Problem } from '../core/verdict'
import { problemLines } from '../settings/problem-lines'
import { DocumentFormat, pathInText, readQueues } from './document-formats'
import { UsageError } from './entry-command'

export { DocumentFormat, formatOf } from './document-formats'

const fleetSchema = Type.Array(Type.Object({
  service: Type.String({ minLength: 1 }),
  accelerators: Type.Integer({ minimum: 0, description: 'accelerators of each worker' }),
  workers: Type.Integer({ minimum: 0, default: 1 })
}, { additionalProperties: false }))

/** A queue document as text. */
export interface QueueText {
  readonly format: DocumentFormat.Queues | DocumentFormat.Platform
  readonly text: string
}

/**
 * Reads the sizes of the fleet.
 * @param value - the parsed file
 * @returns accelerators by service; throws {@link UsageError}
 */
export function readFleet (value: unknown): FleetSize {
  return checkAgainst(fleetSchema, value).match(fleetSizeOf, (problems) => { throw new UsageError(`the fleet is not valid: ${problemLines(problems).join('; ')}`) })
}

function fleetSizeOf (entries: Static<typeof fleetSchema>): FleetSize {
  const size = new Map<string, number>()
  for (const { service, accelerators, workers } of entries) if (workers > 0) size.set(service, (size.get(service) ?? 0) + accelerators * workers)
  return size
}

/**
 * Reads the queue document in force.
 * @param current - its text
 * @returns the document; throws {@link UsageError}
 */
export function readCurrentQueues (current: QueueText): CheckedDocument {
  const { format, text } = current
  return readQueues(format, text).match((checked) => checked, refuseCurrent)
}

/**
 * Checks a queue document.
 * @param submitted - its text
 * @param number - its number, for a text without one
 * @param context - the document in force and the fleet
 * @returns the report, with paths in the text
 */
export function checkQueueText (submitted: QueueText, number: number | undefined, context: QueueCheckContext): DocumentReport {
  const { format, text } = submitted
  const inText = <Entry extends { readonly path: string }>(entry: Entry): Entry => ({ ...entry, path: pathInText(format, text, entry.path) })
  return readQueues(format, text).match((checked) => {
    const report = checkQueues({ ...checked, number: checked.number ?? number }, context)
    return { ...report, problems: report.problems.map(inText), findings: report.findings.map(inText) }
  }, refusedReport)
}

/**
 * Checks sections against a document, without a running system.
 * @param text - the sections
 * @param current - the document in force, parsed
 * @returns the report; throws {@link UsageError} where the document in force is not valid
 */
export function checkSectionsText (text: string, current: unknown): DocumentReport {
  const before = checkAgainst(documentSchema, current).match((document) => document, refuseCurrent)
  return parseJson(text).match((sections) => checkSections(sections, before), refusedReport)
}

function refuseCurrent (problems: readonly Problem[]): never {
  throw new UsageError(`the document to compare with is not valid: ${problemLines(problems).join('; ')}`)
}

/**
 * Formats a report for people; each line begins with error, warning, change or note.
 * @param report - the report
 * @returns its lines
 */
export function reportLines (report: DocumentReport): string[] {
  const { problems, findings, changes, unchecked } = report
  return [
    problems.length === 0 ? 'the document would be accepted' : `the document would be refused: ${problems.length} problem${problems.length === 1 ? '' : 's'}`,
    ...problemLines(problems).map((line) => `error ${line}`),
    ...findings.map(({ kind, path, text }) => `warning ${path || '/'}: ${text} (${kind})`),
    ...changes.map((change) => `change ${change}`),
    ...unchecked.map((text) => `note not checked: ${text}`)
  ]
}
