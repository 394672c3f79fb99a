/**
 * Queries on the log and the membership of a member's state.
 */
import { EntryKind, AgreementRole, type AgreementState, type LogEntry, type ClusterMember, type MembershipVersion } from './agreement-types'

/** Limit on the data of one append. A larger entry is sent alone. */
const MAX_APPEND_BYTES = 256 * 1024

const encoder = new TextEncoder()
const decoder = new TextDecoder()

/**
 * @param members - the membership
 * @returns the data of a membership entry
 */
export function encodeMembers (members: readonly ClusterMember[]): Uint8Array {
  return encoder.encode(JSON.stringify(members))
}

/**
 * @param data - the data of a membership entry
 * @returns the membership
 */
export function decodeMembers (data: Uint8Array): readonly ClusterMember[] {
  return JSON.parse(decoder.decode(data)) as ClusterMember[]
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
 * @returns the term of the entry at the index, undefined where it is compacted or past the end
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
 * @returns the entries of the range, both ends included, as far as the log holds them
 */
export function entriesBetween (state: AgreementState, from: number, to: number): LogEntry[] {
  const found: LogEntry[] = []
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
 * @returns the entries from the index on that fit in one append; at least one if the log holds any
 */
export function entriesForAppend (state: AgreementState, from: number): LogEntry[] {
  const found: LogEntry[] = []
  let bytes = 0
  for (let index = from; index <= lastIndex(state) && bytes < MAX_APPEND_BYTES; index++) {
    const entry = state.entries.get(index - state.baseIndex - 1)
    if (entry === undefined) break
    if (bytes > 0 && bytes + entry.data.length > MAX_APPEND_BYTES) break
    bytes += entry.data.length + 16
    found.push(entry)
  }
  return found
}

/**
 * @param state - a member's state
 * @returns the latest membership in its log, committed or not
 */
export function currentMembers (state: AgreementState): readonly ClusterMember[] {
  return state.membershipHistory.at(-1)?.members ?? []
}

/**
 * @param state - a member's state
 * @param index - an index of the log
 * @returns the membership in force at that index
 */
export function membersAt (state: AgreementState, index: number): readonly ClusterMember[] {
  return state.membershipHistory.findLast((at) => at.index <= index)?.members ?? []
}

/**
 * @param members - the membership
 * @returns the identities of the voters
 */
export function voterIdentities (members: readonly ClusterMember[]): string[] {
  return members.filter((member) => member.voter).map((member) => member.identity)
}

/**
 * @param members - the membership
 * @returns the number of voters in a majority
 */
export function quorumSize (members: readonly ClusterMember[]): number {
  return Math.floor(voterIdentities(members).length / 2) + 1
}

/**
 * @param state - a member's state
 * @returns whether the member is a voter in the latest membership in its log
 */
export function isVoter (state: AgreementState): boolean {
  return currentMembers(state).some((member) => member.voter && member.identity === state.identity)
}

/**
 * @param state - a member's state
 * @returns its role while it is neither leader nor candidate
 */
export function passiveRole (state: AgreementState): AgreementRole {
  return isVoter(state) ? AgreementRole.Follower : AgreementRole.Learner
}

/**
 * @param state - a member's state
 * @returns whether the latest membership change is not committed yet
 */
export function changePending (state: AgreementState): boolean {
  return (state.membershipHistory.at(-1)?.index ?? 0) > state.commit
}

/**
 * Appends entries, replacing the log from the index of the first one on.
 * @param state - a member's state
 * @param entries - consecutive entries, the first at most one past the end of the log
 * @returns the state with the entries and the memberships they contain
 */
export function withEntries (state: AgreementState, entries: readonly LogEntry[]): AgreementState {
  const first = entries[0]
  if (first === undefined) return state
  const kept = state.entries.setSize(first.index - state.baseIndex - 1)
  const added = entries.filter((entry) => entry.kind === EntryKind.Members).map(membersOfEntry)
  return {
    ...state,
    entries: kept.concat(entries),
    membershipHistory: [...state.membershipHistory.filter((at) => at.index < first.index), ...added],
    synced: Math.min(state.synced, first.index - 1)
  }
}

function membersOfEntry (entry: LogEntry): MembershipVersion {
  return { index: entry.index, members: decodeMembers(entry.data) }
}
