/** The numbered queue document: queues, the services that run their jobs, and the accelerators guaranteed to each account. */
import { Type, type Static } from '@sinclair/typebox'
import { err, ok, type Result } from 'neverthrow'
import { checkAgainst, formatValue } from '../problems'
import type { Problem } from '../verdict'

const strict = { additionalProperties: false }
const name = Type.String({ minLength: 1, maxLength: 256 })
const digest = Type.String({ pattern: '^[0-9a-f]{64}$', description: 'SHA-256 of a key, in hexadecimal' })

/** A queue of jobs: its address, the service that runs its jobs, and its priority. */
export const queueSchema = Type.Object({
  name,
  host: Type.String({ maxLength: 256, description: 'host name of the queue in requests of callers' }),
  prefix: Type.String({ minLength: 1, maxLength: 1_024, description: 'prefix of the request paths that belong to the queue' }),
  service: name,
  priority: Type.Integer({ minimum: 0, maximum: 1_000, description: 'priority of the queue; 0 is the highest' }),
  mostAttempts: Type.Integer({ minimum: 1, maximum: 1_000, description: 'number of failed runs of a gang after which its job fails' }),
  slackFactor: Type.Number({ minimum: 0, description: 'factor on the longest chain of dependent steps in the target time of a job' }),
  targetLatencyMilliseconds: Type.Number({ minimum: 0 }),
  timeoutMilliseconds: Type.Number({ exclusiveMinimum: 0, description: 'time limit of one request' }),
  public: Type.Boolean({ description: 'true if requests need no key' })
}, strict)
/** See {@link queueSchema}. */
export type Queue = Static<typeof queueSchema>

/** A pool of workers that run the jobs of queues. */
export const serviceSchema = Type.Object({
  name,
  guardsCapacity: Type.Boolean({ description: 'true if its workers themselves refuse runs that exceed their capacity' }),
  standby: Type.Boolean({ description: 'true if its hosts are powered off' })
}, strict)
/** See {@link serviceSchema}. */
export type Service = Static<typeof serviceSchema>

/** A client account: the keys that identify its callers, and its guarantee. */
export const queueAccountSchema = Type.Object({
  name,
  keys: Type.Array(digest),
  guaranteedAccelerators: Type.Integer({ minimum: 0, description: 'accelerators that are always available to its jobs of priority 0' }),
  weight: Type.Optional(Type.Number({ exclusiveMinimum: 0, maximum: 1_000, description: 'weight of its share where accounts compete for capacity; 1 by default' }))
}, strict)
/** See {@link queueAccountSchema}. */
export type QueueAccount = Static<typeof queueAccountSchema>

/** The complete queue document. */
export const queueDocumentSchema = Type.Object({
  queues: Type.Array(queueSchema),
  services: Type.Array(serviceSchema),
  accounts: Type.Array(queueAccountSchema)
}, strict)
/** See {@link queueDocumentSchema}. */
export type QueueDocument = Static<typeof queueDocumentSchema>

/** A document with its number and the text as the operator submitted it. */
export interface NumberedDocument {
  readonly number: number
  readonly document: QueueDocument
  /** The submitted text, returned unchanged when an operator reads the document. */
  readonly source: string
}

/**
 * Checks a document against the schema, then its entries against each other.
 * @param value - the parsed document
 * @returns the document, or all problems at once
 */
export function checkQueueDocument (value: unknown): Result<QueueDocument, Problem[]> {
  return checkAgainst(queueDocumentSchema, value).andThen((document) => {
    const problems = crossChecks.flatMap((check) => check(document))
    return problems.length > 0 ? err(problems) : ok(document)
  })
}

type CrossCheck = (document: QueueDocument) => Problem[]

const crossChecks: readonly CrossCheck[] = [checkServicesExist, checkPrefixesUnique, checkNamesUnique, checkKeysUnique]

function checkServicesExist ({ queues, services }: QueueDocument): Problem[] {
  const known = new Set(services.map((service) => service.name))
  return queues.flatMap((queue, position) => known.has(queue.service)
    ? []
    : [{ path: `/queues/${position}/service`, value: formatValue(queue.service), expected: 'the name of a service of this document' }])
}

function checkPrefixesUnique ({ queues }: QueueDocument): Problem[] {
  return duplicatePositions(queues.map(({ host, prefix }) => `${host} ${prefix}`))
    .map((position) => ({ path: `/queues/${position}/prefix`, value: formatValue(queues[position]?.prefix), expected: 'a prefix that no other queue of this host has' }))
}

function checkNamesUnique ({ queues, services, accounts }: QueueDocument): Problem[] {
  return Object.entries({ queues, services, accounts }).flatMap(([list, entries]) => duplicatePositions(entries.map((entry) => entry.name))
    .map((position) => ({ path: `/${list}/${position}/name`, value: formatValue(entries[position]?.name), expected: 'a name that no other entry has' })))
}

function checkKeysUnique ({ accounts }: QueueDocument): Problem[] {
  const owners = new Map<string, string>()
  return accounts.flatMap((account, position) => account.keys.flatMap((key, keyPosition) => {
    const owner = owners.get(key)
    owners.set(key, account.name)
    if (owner === undefined || owner === account.name) return []
    return [{ path: `/accounts/${position}/keys/${keyPosition}`, value: '"(a key)"', expected: `a key that account ${owner} does not have` }]
  }))
}

/** Positions of the keys that already occur earlier in the list. */
function duplicatePositions (keys: readonly string[]): number[] {
  const seen = new Set<string>()
  return keys.flatMap((key, position) => {
    const duplicate = seen.has(key)
    seen.add(key)
    return duplicate ? [position] : []
  })
}
