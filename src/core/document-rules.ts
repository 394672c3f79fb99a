import { MAX_GANG_WORKERS, MAX_ACCELERATORS_PER_WORKER, Level, Section, type DeclaredJob, type Document, type Shape } from './document'
import { formatValue } from './problems'
import type { Problem } from './verdict'

type Rule = (document: Document) => Problem[]

/** The names that must be unique within their section. */
const uniqueNames: ReadonlyArray<readonly [path: string, names: (document: Document) => readonly string[]]> = [
  ['/clientAccounts/*/name', (document) => document.clientAccounts.map((account) => account.name)],
  ['/jobs/*/identifier', (document) => document.jobs.map((job) => job.identifier)],
  ['/teams/*/name', (document) => document.teams.map((team) => team.name)]
]

function repeatedNames (document: Document): Problem[] {
  return uniqueNames.flatMap(([path, names]) => findRepeated(names(document)).map(([position, name]) => (
    { path: path.replace('*', String(position)), value: formatValue(name), expected: 'a name that no earlier item has' })))
}

/** A token identifies one account or one team; a shared token would make the caller ambiguous. */
function repeatedTokens (document: Document): Problem[] {
  const places = [...tokenPlaces('/clientAccounts', document.clientAccounts), ...tokenPlaces('/teams', document.teams)]
  return findRepeated(places.map((place) => place.token)).map(([position, token]) => (
    { path: places[position]!.path, value: formatValue(token), expected: 'a token that is written once' }))
}

function tokenPlaces (path: string, holders: ReadonlyArray<{ readonly tokens: readonly string[] }>): Array<{ path: string, token: string }> {
  return holders.flatMap((holder, position) => holder.tokens.map((token, index) => ({ path: `${path}/${position}/tokens/${index}`, token })))
}

function findRepeated (names: readonly string[]): Array<[position: number, name: string]> {
  const first = new Map<string, number>()
  const found: Array<[number, string]> = []
  names.forEach((name, position) => {
    if (first.has(name)) found.push([position, name])
    else first.set(name, position)
  })
  return found
}

function missingAccounts (document: Document): Problem[] {
  const accounts = new Set(document.clientAccounts.map((account) => account.name))
  const check = (section: Section, items: ReadonlyArray<{ readonly account: string }>): Problem[] => items.flatMap((item, position) => (
    accounts.has(item.account) ? [] : [{ path: `/${section}/${position}/account`, value: formatValue(item.account), expected: 'the name of an item of clientAccounts' }]))
  return [...check(Section.Guarantees, document.guarantees), ...check(Section.Jobs, document.jobs)]
}

function weightsNotAllZero ({ placement }: Document): Problem[] {
  if (placement.completionTimeWeight + placement.fragmentationWeight > 0) return []
  return [{ path: '/placement', value: formatValue(placement), expected: 'at least one weight above 0' }]
}

function shapesAreValid (document: Document): Problem[] {
  return [
    ...document.guarantees.flatMap((guarantee, position) => shapeProblems(`/guarantees/${position}/shape`, guarantee.shape)),
    ...document.jobs.flatMap((job, position) => shapeProblems(`/jobs/${position}/shape`, job.shape)),
    ...document.guarantees.flatMap((guarantee, position) => guarantee.shape.accelerators > 0
      ? []
      : [{ path: `/guarantees/${position}/shape/accelerators`, value: '0', expected: `a guarantee of 1 to ${MAX_ACCELERATORS_PER_WORKER} accelerators on each worker` }])
  ]
}

function shapeProblems (path: string, shape: Shape): Problem[] {
  if (shape.workers === 1 || shape.within !== Level.Worker) return []
  return [{ path: `${path}/within`, value: formatValue(shape.within), expected: `${Level.Rack} or ${Level.DataCentre} for a shape of 2 to ${MAX_GANG_WORKERS} workers` }]
}

/** The accelerators guaranteed to an account must not exceed its limit. */
function guaranteesWithinLimits (document: Document): Problem[] {
  return document.clientAccounts.flatMap((account, position) => {
    const promised = document.guarantees.filter((guarantee) => guarantee.account === account.name)
      .reduce((sum, { shape, count }) => sum + shape.workers * shape.accelerators * count, 0)
    if (promised <= account.runningAccelerators) return []
    return [{ path: `/clientAccounts/${position}/runningAccelerators`, value: formatValue(account.runningAccelerators), expected: `at least the ${promised} accelerators of its guarantees` }]
  })
}

function jobsWithinLimits (document: Document): Problem[] {
  return document.jobs.flatMap((job, position) => jobProblems(document, job, `/jobs/${position}`))
}

function jobProblems (document: Document, job: DeclaredJob, path: string): Problem[] {
  const problems: Problem[] = []
  const limit = document.clientAccounts.find((account) => account.name === job.account)?.runningAccelerators ?? Infinity
  const wanted = job.shape.workers * job.shape.accelerators
  if (wanted > limit) problems.push({ path: `${path}/shape`, value: `${wanted} accelerators`, expected: `at most the ${limit} accelerators that ${job.account} may use` })
  const bytes = Buffer.byteLength(job.payload.base64, 'base64')
  if (bytes > document.limits.payloadBytes) problems.push({ path: `${path}/payload/base64`, value: `${bytes} bytes`, expected: `at most ${document.limits.payloadBytes} bytes` })
  if (!/^[A-Za-z0-9+/]*={0,2}$/.test(job.payload.base64) || job.payload.base64.length % 4 !== 0) {
    problems.push({ path: `${path}/payload/base64`, value: formatValue(job.payload.base64), expected: 'base64' })
  }
  return problems
}

/** If no team with a token could write the teams section, it could never be changed again. */
function teamsRemainWritable ({ teams }: Document): Problem[] {
  if (teams.length === 0 || teams.some((team) => team.sections.includes(Section.Teams) && team.tokens.length > 0)) return []
  return [{ path: '/teams', value: `${teams.length} teams`, expected: 'a team that has a token and may write the section teams' }]
}

const rules: readonly Rule[] = [
  repeatedNames, repeatedTokens, missingAccounts, weightsNotAllZero, shapesAreValid, guaranteesWithinLimits, jobsWithinLimits, teamsRemainWritable
]

/**
 * Checks that the sections of a document are consistent with each other.
 * @param document - a whole document that matches the schema
 * @returns every inconsistency, none if there are none
 */
export function documentProblems (document: Document): Problem[] {
  return rules.flatMap((rule) => rule(document))
}

/**
 * Finds references to accounts that the document does not define. Checked when each entry is applied, so that two
 * changes to different sections, each valid by itself, cannot leave a dangling reference.
 * @param document - a whole document
 * @returns the references, none if every account is defined
 */
export function danglingReferences (document: Document): Problem[] {
  return missingAccounts(document)
}
