/** Checks a change of the sectioned document without a running system. */
import { err, ok } from 'neverthrow'
import { changeSchema } from '../configuration-check'
import { ConsequenceKind, consequences } from '../consequences'
import type { Document, Maintenance } from '../document'
import { documentProblems } from '../document-rules'
import { checkAgainst } from '../problems'
import { initialState } from '../state'
import { refusedReport, type DocumentReport } from './finding'

/** Needs the fleet, which is not known here. */
const needsFleet: ReadonlySet<ConsequenceKind> = new Set([ConsequenceKind.JobWaitsForFleet])

const maintenanceNouns: Readonly<Record<keyof Maintenance, string>> = { dataCentres: 'data centre', racks: 'rack', workers: 'worker' }

/**
 * Checks the sections that a put would replace.
 * @param submitted - the parsed sections
 * @param before - the document in force
 * @returns the report
 */
export function checkSections (submitted: unknown, before: Document): DocumentReport {
  return checkAgainst(changeSchema, submitted).andThen((sections) => {
    const after: Document = { ...before, ...sections as Partial<Document> }
    const problems = documentProblems(after)
    return problems.length > 0 ? err(problems) : ok(reportOf(before, after))
  }).match((report) => report, refusedReport)
}

function reportOf (before: Document, after: Document): DocumentReport {
  const state = { ...initialState, configuration: { ...initialState.configuration, document: before } }
  const listed = consequences(state, after).filter(({ kind }) => !needsFleet.has(kind)).map(({ text }) => text)
  return {
    problems: [],
    findings: [],
    changes: [...listed, ...maintenanceChanges(before.maintenance, after.maintenance)],
    unchecked: ['what needs a running system: whether guarantees and jobs fit the fleet, section numbers, and open jobs']
  }
}

/** The consequences name the workers that are affected, which are not known here. */
function maintenanceChanges (before: Maintenance, after: Maintenance): string[] {
  return Object.entries(maintenanceNouns).flatMap(([field, noun]) => {
    const [earlier, later] = [before[field as keyof Maintenance], after[field as keyof Maintenance]]
    return [
      ...later.filter((name) => !earlier.includes(name)).map((name) => `${noun} ${name} gets no new work`),
      ...earlier.filter((name) => !later.includes(name)).map((name) => `${noun} ${name} gets new work again`)
    ]
  })
}
