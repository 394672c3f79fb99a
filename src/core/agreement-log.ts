/**
 * Views of the log and of its members.
 */
import { EntryKind, Role, type AgreementState, type Entry, type Member, type MembersAt } from './agreement-types'

const APPEND_BYTES = 256 * 1024

const encoder = new TextEncoder()
const decoder = new TextDecoder()

/**
 * @param members - the members to write
 * @returns the data of an entry of members
 */
export function encodeMembers (members: readonly Member[]): Uint8Array {
  return encoder.encode(JSON.stringify(members))
}

/**
 * @param data - the data of an entry of members
 * @returns the members
 */
export function decodeMembers (data: Uint8Array): readonly Member[] {
  return JSON.parse(decoder.decode(data)) as Member[]
}

/**
 * @param state - a member's state
 * @returns the index of its last entry
 */
export function lastIndex (state: AgreementState): number {
  return state.baseIndex + state.entries.size
}

/**
 * @param state - a member's state
 * @param index - an index of the log
 * @returns the term of the entry there, undefined where the log does not reach
 */
export function termAt (state: AgreementState, index: number): number | undefined {
  if (index === state.baseIndex) return state.baseTerm
  if (index === state.snapshot.index) return state.snapshot.term
  if (index < state.baseIndex) return undefined
  return state.entries.get(index - state.baseIndex - 1)?.term
}

/**
 * @param state - a member's state
 * @returns the term of its last entry
 */
export function lastTerm (state: AgreementState): number {
  return state.entries.last()?.term ?? state.baseTerm
}

/**
 * @param state - a member's state
 * @param from - first index
 * @param to - last index
 * @returns the entries between, both ends included
 */
export function entriesBetween (state: AgreementState, from: number, to: number): Entry[] {
  const found: Entry[] = []
  for (let index = from; index <= to; index++) {
    const entry = state.entries.get(index - state.baseIndex - 1)
    if (entry === undefined) break
    found.push(entry)
  }
  return found
}

/**
 * @param state - the leader's state
 * @param from - first index
 * @returns as many entries from there as fit one append, at least one where there is one
 */
export function entriesForAppend (state: AgreementState, from: number): Entry[] {
  const found: Entry[] = []
  let bytes = 0
  for (let index = from; index <= lastIndex(state) && bytes < APPEND_BYTES; index++) {
    const entry = state.entries.get(index - state.baseIndex - 1)
    if (entry === undefined) break
    if (bytes > 0 && bytes + entry.data.length > APPEND_BYTES) break
    bytes += entry.data.length + 16
    found.push(entry)
  }
  return found
}

/**
 * @param state - a member's state
 * @returns the newest members in its log, committed or not
 */
export function currentMembers (state: AgreementState): readonly Member[] {
  return state.history.at(-1)?.members ?? []
}

/**
 * @param state - a member's state
 * @param index - an index of the log
 * @returns the members in force at that index
 */
export function membersAt (state: AgreementState, index: number): readonly Member[] {
  return state.history.findLast((at) => at.index <= index)?.members ?? []
}

/**
 * @param members - all members
 * @returns the identities that vote
 */
export function votersOf (members: readonly Member[]): string[] {
  return members.filter((member) => member.voter).map((member) => member.identity)
}

/**
 * @param members - all members
 * @returns how many voters make a majority
 */
export function quorumOf (members: readonly Member[]): number {
  return Math.floor(votersOf(members).length / 2) + 1
}

/**
 * @param state - a member's state
 * @returns whether the member votes by the newest members in its log
 */
export function isVoter (state: AgreementState): boolean {
  return currentMembers(state).some((member) => member.voter && member.identity === state.identity)
}

/**
 * @param state - a member's state
 * @returns what it is when it neither leads nor campaigns
 */
export function restingRole (state: AgreementState): Role {
  return isVoter(state) ? Role.Follower : Role.Learner
}

/**
 * @param state - a member's state
 * @returns whether a change of members waits for its commit
 */
export function changePending (state: AgreementState): boolean {
  return (state.history.at(-1)?.index ?? 0) > state.commit
}

/**
 * Puts entries at the end of the log, over what conflicts with them.
 * @param state - a member's state
 * @param entries - consecutive entries, the first at most one past the end of the log
 * @returns the state with the entries and the members they carry
 */
export function withEntries (state: AgreementState, entries: readonly Entry[]): AgreementState {
  const first = entries[0]
  if (first === undefined) return state
  const kept = state.entries.setSize(first.index - state.baseIndex - 1)
  const added = entries.filter((entry) => entry.kind === EntryKind.Members).map(membersOfEntry)
  return {
    ...state,
    entries: kept.concat(entries),
    history: [...state.history.filter((at) => at.index < first.index), ...added],
    synced: Math.min(state.synced, first.index - 1)
  }
}

function membersOfEntry (entry: Entry): MembersAt {
  return { index: entry.index, members: decodeMembers(entry.data) }
}
