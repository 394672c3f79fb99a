/** Checks a queue document without a running system. */
import { formatValue } from '../problems'
import type { QueueDocument } from '../steps/document'
import type { Problem } from '../verdict'
import type { DocumentReport } from './finding'
import { queueChanges } from './queue-changes'
import { queueFindings, type FleetSize } from './queue-findings'

/** A valid queue document; its number is absent where the file does not state it. */
export interface CheckedDocument {
  readonly number?: number
  readonly document: QueueDocument
}

/** What a document is compared with. */
export interface QueueCheckContext {
  /** The document in force, with the number 0 where none is; absent where it is not known. */
  readonly inForce?: CheckedDocument
  /** Size of the fleet; absent where it is not known. */
  readonly fleet?: FleetSize
}

/**
 * Checks a document that is valid by itself.
 * @param checked - the document
 * @param context - what it is compared with
 * @returns the report
 */
export function checkQueues (checked: CheckedDocument, context: QueueCheckContext): DocumentReport {
  const { inForce, fleet } = context
  return {
    problems: numberProblems(checked, inForce),
    findings: queueFindings(checked.document, fleet),
    changes: inForce === undefined ? [] : queueChanges(inForce.number === 0 ? undefined : inForce.document, checked.document),
    unchecked: [
      ...inForce === undefined ? ['the changes: no document to compare with was given'] : [],
      ...fleet === undefined ? ['workers of services, and guarantees against the fleet: no fleet was given'] : []
    ]
  }
}

/** The document with the highest number is in force. A resend of it has the same number. */
function numberProblems ({ number, document }: CheckedDocument, inForce?: CheckedDocument): Problem[] {
  if (number === undefined || inForce?.number === undefined || number > inForce.number) return []
  if (number === inForce.number && queueChanges(inForce.document, document).length === 0) return []
  return [{ path: '/number', value: formatValue(number), expected: `a number above ${inForce.number}, which is in force` }]
}
