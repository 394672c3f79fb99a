import { createHash } from 'node:crypto'
import { Map as ImmutableMap, Set as ImmutableSet } from 'immutable'
import { putKey } from './configuration'
import type { Section } from './document'
import type { Estimate } from './estimates'
import type { Home } from './homes'
import type { Job } from './job'
import type { AccountUsage, RetryWindow, State, StoredPut, WorkerUsage } from './state'
import { fromStoredSteps, toStoredSteps, type StoredStepState } from './steps/snapshot'
import type { Transaction } from './transaction'
import type { Worker } from './worker'

interface StoredUsage extends Omit<WorkerUsage, 'attempts'> {
  readonly worker: string
  readonly attempts: readonly string[]
}

interface StoredState {
  readonly time: number
  readonly number: number
  readonly sectionNumbers: ReadonlyArray<readonly [Section, number]>
  readonly document: State['configuration']['document']
  readonly puts: readonly StoredPut[]
  readonly workers: readonly Worker[]
  readonly jobs: readonly Job[]
  readonly open: readonly string[]
  readonly queued: readonly string[]
  readonly spent: readonly string[]
  readonly usage: readonly StoredUsage[]
  readonly accounts: ReadonlyArray<readonly [string, AccountUsage]>
  readonly homes: readonly Home[]
  readonly fleetGrewAt: number
  readonly missingHomes: readonly string[]
  readonly homeHolders: ReadonlyArray<readonly [string, string]>
  readonly reserved: readonly string[]
  readonly estimates: ReadonlyArray<readonly [string, Estimate]>
  readonly retries: ReadonlyArray<readonly [string, RetryWindow]>
  readonly steps?: StoredStepState
  readonly record: State['record']
}

/** Converts a state to its stored form. Every list is sorted by key, so that equal states have equal encodings. */
function toStoredState (state: State): StoredState {
  const { configuration } = state
  const stored: StoredState = {
    time: state.time,
    number: configuration.number,
    sectionNumbers: sortedEntries(configuration.sectionNumbers),
    document: configuration.document,
    puts: sortedEntries(configuration.puts).map(([, put]) => put),
    workers: sortedEntries(state.workers).map(([, worker]) => worker),
    jobs: sortedEntries(state.jobs).map(([, job]) => job),
    open: state.open.toArray().sort(),
    queued: state.queued.toArray().sort(),
    spent: state.spent.toArray().sort(),
    usage: sortedEntries(state.usage).map(([worker, usage]) => ({ worker, ...usage, attempts: usage.attempts.keySeq().toArray().sort() })),
    accounts: sortedEntries(state.accounts),
    homes: sortedEntries(state.homes).map(([, home]) => home),
    fleetGrewAt: state.fleetGrewAt,
    missingHomes: state.missingHomes.toArray().sort(),
    homeHolders: sortedEntries(state.homeHolders),
    reserved: state.reserved.toArray().sort(),
    estimates: sortedEntries(state.estimates),
    retries: sortedEntries(state.retries),
    steps: toStoredSteps(state.steps),
    record: state.record
  }
  return stored
}

/** List elements encoded in one chunk. */
const ELEMENTS_PER_CHUNK = 256

/**
 * Encodes a state in chunks, between which the caller can yield to the event loop.
 * @param state - the state
 * @returns chunks of UTF-8 JSON; concatenated they are the result of encodeState
 */
export function * encodeStateInChunks (state: State): Generator<Uint8Array> {
  const encoder = new TextEncoder()
  let separator = '{'
  for (const [name, value] of Object.entries(toStoredState(state)) as Array<[string, unknown]>) {
    if (value === undefined) continue
    yield encoder.encode(`${separator}${JSON.stringify(name)}:`)
    for (const text of Array.isArray(value) ? encodeListInChunks(value) : [JSON.stringify(value)]) yield encoder.encode(text)
    separator = ','
  }
  yield encoder.encode('}')
}

function * encodeListInChunks (list: readonly unknown[]): Generator<string> {
  yield '['
  for (let first = 0; first < list.length; first += ELEMENTS_PER_CHUNK) {
    const chunk = JSON.stringify(list.slice(first, first + ELEMENTS_PER_CHUNK)).slice(1, -1)
    yield first === 0 ? chunk : `,${chunk}`
  }
  yield ']'
}

/**
 * Encodes a state. Equal states give equal bytes, independent of the order of changes that led to them.
 * @param state - the state
 * @returns UTF-8 JSON
 */
export function encodeState (state: State): Uint8Array {
  return Buffer.concat([...encodeStateInChunks(state)])
}

/**
 * Decodes a state.
 * @param bytes - result of encodeState
 * @returns the state
 */
export function decodeState (bytes: Uint8Array): State {
  const stored = JSON.parse(new TextDecoder().decode(bytes)) as StoredState
  return {
    time: stored.time,
    configuration: {
      number: stored.number,
      sectionNumbers: ImmutableMap(stored.sectionNumbers as Array<[Section, number]>),
      document: stored.document,
      puts: ImmutableMap(stored.puts.map((put) => [putKey(put.team, put.requestIdentifier), put]))
    },
    workers: ImmutableMap(stored.workers.map((worker) => [worker.name, worker])),
    jobs: ImmutableMap(stored.jobs.map((job) => [job.identifier, job])),
    open: ImmutableSet(stored.open),
    queued: ImmutableSet(stored.queued),
    spent: ImmutableSet(stored.spent),
    usage: ImmutableMap(stored.usage.map(({ worker, attempts, ...usage }) =>
      [worker, { ...usage, attempts: ImmutableMap(attempts.map((job) => [job, true as const])) }])),
    accounts: ImmutableMap(stored.accounts as Array<[string, AccountUsage]>),
    homes: ImmutableMap(stored.homes.map((home) => [home.identifier, home])),
    fleetGrewAt: stored.fleetGrewAt,
    missingHomes: ImmutableSet(stored.missingHomes),
    homeHolders: ImmutableMap(stored.homeHolders as Array<[string, string]>),
    reserved: ImmutableSet(stored.reserved),
    estimates: ImmutableMap(stored.estimates as Array<[string, Estimate]>),
    retries: ImmutableMap(stored.retries as Array<[string, RetryWindow]>),
    steps: fromStoredSteps(stored.steps),
    record: stored.record
  }
}

/**
 * Digest of a state, by which the states of control hosts are compared.
 * @param state - the state
 * @returns SHA-256 in hexadecimal
 */
export function stateDigest (state: State): string {
  return createHash('sha256').update(encodeState(state)).digest('hex')
}

/**
 * Encodes the transactions of one log entry.
 * @param transactions - the transactions, in the order in which they are applied
 * @returns UTF-8 JSON
 */
export function encodeTransactions (transactions: readonly Transaction[]): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(transactions))
}

/**
 * Decodes the transactions of one log entry.
 * @param bytes - result of encodeTransactions
 * @returns the transactions in order
 */
export function decodeTransactions (bytes: Uint8Array): Transaction[] {
  return JSON.parse(new TextDecoder().decode(bytes)) as Transaction[]
}

function sortedEntries<Key extends string, Value> (map: ImmutableMap<Key, Value>): Array<[Key, Value]> {
  return [...map.entries()].sort(([one], [other]) => one < other ? -1 : 1)
}
