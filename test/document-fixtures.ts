import { canonicalDigest, checkPut, emptyDocument, initialState, Level, RemovalRule, Section, TransactionKind, Urgency, type CheckedPut, type Document, type PutRequest, type Refusal, type State, type Transaction } from '../src/core/index'
import { apply } from '../src/core/index'
import type { Result } from 'neverthrow'

/** Fixtures: shapes, accounts, jobs, teams and a fleet of three workers. */
export const shape = { workers: 1, accelerators: 4, slots: 1, processors: 1, memoryMegabytes: 256, within: Level.DataCentre }
export const account = (name: string): Document['clientAccounts'][number] =>
  ({ name, share: 1, queuedJobs: 100, runningAccelerators: 1_000, tokens: [canonicalDigest(name)], whenRemoved: RemovalRule.Finish })
export const declaredJob = (identifier: string, owner: string): Document['jobs'][number] => ({
  identifier,
  account: owner,
  kind: 'proof',
  shape,
  idempotent: false,
  checkpointable: false,
  urgency: Urgency.Normal,
  deadline: 0,
  declaredSeconds: 60,
  payload: { contentType: 'text/plain', base64: '' }
})
export const team = (name: string, ...sections: Section[]): Document['teams'][number] => ({ name, sections, tokens: [canonicalDigest(`team ${name}`)] })

export function announce (name: string, at = 1): Transaction {
  const worker = { name, region: 'hue', dataCentre: 'one', rack: 'a', accelerators: 8, slots: 8, processors: 64, memoryMegabytes: 131_072 }
  return { kind: TransactionKind.AnnounceWorker, at, worker, incarnation: `${name}-1`, leaving: false, running: [] }
}

export function play (state: State, ...transactions: Transaction[]): State {
  return transactions.reduce((current, transaction) => apply(current, transaction).state, state)
}

/** Creates a request with the current section numbers. */
export function request (state: State, changes: Partial<Document> | object, identifier = 'request', writer = 'all'): PutRequest {
  const read = Object.keys(changes).map((section) => ({ section, number: state.configuration.sectionNumbers.get(section as Section) ?? 0 }))
  return { team: writer, requestIdentifier: identifier, read, sectionsJson: JSON.stringify(changes) }
}

export function check (state: State, changes: object, identifier = 'check', writer?: string): Result<CheckedPut, Refusal> {
  return checkPut(state, request(state, changes, identifier, writer))
}

export function put (state: State, changes: object, identifier = 'request', at = 1, writer = 'all'): State {
  const checked = check(state, changes, identifier, writer)
  if (checked.isErr()) throw new Error(JSON.stringify(checked.error))
  return play(state, { ...checked.value.transaction, at })
}

export const fleet: State = play(initialState, announce('w1'), announce('w2'), announce('w3'))
export { emptyDocument }
