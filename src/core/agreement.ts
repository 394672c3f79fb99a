/**
 * Raft consensus for the control hosts, as a pure function from state and input to state and output. It has no clock,
 * disk or network: time is passed in with each input, and the output lists what to write, send and apply.
 */
import { List, Map as ImmutableMap } from 'immutable'
import {
  AgreementRefusal, EntryKind, InputKind, AgreementRole,
  type AgreementState, type CompactInput, type LogEntry, type Input, type ClusterMember, type Output, type RecoveredState, type SnapshotHead, type Timing
} from './agreement-types'
import { currentMembers, encodeMembers, lastIndex, membersAt, passiveRole, termAt, voterIdentities, withEntries } from './agreement-log'
import { changeMembers } from './agreement-members'
import { receive } from './agreement-receive'
import { Step } from './agreement-step'

export * from './agreement-types'
export { nextRepair } from './agreement-members'
export { currentMembers, lastIndex, membersAt, termAt } from './agreement-log'

/**
 * Default timing. The first election after a start has a short timeout, so that a cluster of which all members were lost
 * does not wait for a leader that no longer exists. Where a leader does exist, its followers reject the pre-vote.
 */
export const defaultAgreementTiming: Timing = { heartbeatMilliseconds: 100, minElectionMilliseconds: 300, maxElectionMilliseconds: 600, maxFirstElectionMilliseconds: 120, leaseMilliseconds: 500 }

/** Head of the empty log. */
export const emptySnapshotHead: SnapshotHead = { index: 0, term: 0, members: [] }

/** Term of the first entry of a new cluster. */
const FOUNDING_TERM = 1

type Handler<I extends Input> = (step: Step, input: I) => void
type Handlers = { readonly [K in InputKind]: Handler<Extract<Input, { kind: K }>> }

const handlers: Handlers = {
  [InputKind.Tick]: tick,
  [InputKind.Receive]: (step, input) => { receive(step, input.message) },
  [InputKind.Propose]: (step, input) => { propose(step, input.data) },
  [InputKind.Flush]: flush,
  [InputKind.Synced]: (step, input) => { synced(step, input.index, input.term) },
  [InputKind.Read]: (step, input) => { read(step, input.identifier) },
  [InputKind.ChangeMembers]: (step, input) => { changeMembers(step, input.change) },
  [InputKind.Transfer]: transfer,
  [InputKind.Compact]: compact
}

/**
 * Creates the state of a member that starts.
 * @param recovered - state read from its disk
 * @param timing - intervals and timeouts of the protocol
 * @param seed - seed of the election timeouts, different for each member
 * @param now - milliseconds of the local clock
 * @returns the state before the first input
 */
export function startAgreement (recovered: RecoveredState, timing: Timing, seed: number, now: number): AgreementState {
  const { identity, hardState, snapshot, entries } = recovered
  const empty: AgreementState = {
    identity,
    ...hardState,
    timing,
    seed,
    timeoutDraws: 0,
    now,
    role: AgreementRole.Learner,
    leader: '',
    entries: List(),
    baseIndex: snapshot.index,
    baseTerm: snapshot.term,
    snapshot,
    membershipHistory: [{ index: snapshot.index, members: snapshot.members }],
    commit: snapshot.index,
    synced: 0,
    electionDueAt: now,
    lastLeaderContactAt: -Infinity,
    preVoting: false,
    votes: ImmutableMap(),
    peers: ImmutableMap(),
    readyIndex: 0,
    heartbeatDueAt: now,
    sequence: 0,
    reads: []
  }
  const filled = withEntries(empty, entries.filter((entry) => entry.index > snapshot.index))
  const step = Step.create({ ...filled, role: passiveRole(filled), synced: lastIndex(filled) }, now)
  if (voterIdentities(currentMembers(filled)).length > 1) step.resetFirstElectionTimeout()
  return step.state
}

/**
 * Creates the first entry of a new cluster.
 * @param members - the initial voters
 * @returns the entry with which every initial voter starts
 */
export function foundingEntry (members: readonly ClusterMember[]): LogEntry {
  return { index: 1, term: FOUNDING_TERM, kind: EntryKind.Members, data: encodeMembers(members) }
}

/**
 * Processes one input.
 * @param state - the state before
 * @param now - milliseconds of the local clock, which must not go backwards
 * @param input - the input
 * @returns the state after, and the actions for the replica
 */
export function stepAgreement (state: AgreementState, now: number, input: Input): { readonly state: AgreementState, readonly output: Output } {
  const step = Step.create(state, now);
  (handlers[input.kind] as Handler<Input>)(step, input)
  return step.finish()
}

/**
 * @param state - a member's state
 * @returns whether the member is the leader and has committed all entries of earlier terms
 */
export function isReadyLeader (state: AgreementState): boolean {
  return state.role === AgreementRole.Leader && state.commit >= state.readyIndex
}

function tick (step: Step): void {
  const { role, now, electionDueAt } = step.state
  if (role === AgreementRole.Leader) tickLeader(step)
  else if (now >= electionDueAt && passiveRole(step.state) === AgreementRole.Follower) step.preCampaign()
}

function tickLeader (step: Step): void {
  const { now, timing, heartbeatDueAt, peers, term, transfer } = step.state
  const recentlyHeard = (identity: string): boolean => now - (peers.get(identity)?.lastReplyAt ?? -Infinity) < timing.leaseMilliseconds
  if (!step.hasQuorum(recentlyHeard)) { step.becomeFollower(term, ''); return }
  if (transfer !== undefined && now >= transfer.deadline) step.set({ transfer: undefined })
  if (now >= heartbeatDueAt) step.sendHeartbeats()
}

function propose (step: Step, data: Uint8Array): void {
  if (!step.ready || step.state.transfer !== undefined) { step.refusal = AgreementRefusal.ReplicaRefusal; return }
  step.proposed = step.appendLeaderEntry(EntryKind.Data, data)
}

function flush (step: Step): void {
  if (step.state.role !== AgreementRole.Leader) return
  const { reads, sequence } = step.state
  if (reads.some((pending) => pending.sequence > sequence)) {
    step.set({ sequence: sequence + 1 })
    step.sendHeartbeats()
  }
  step.sendAppends()
}

function synced (step: Step, index: number, term: number): void {
  if (termAt(step.state, index) !== term || index <= step.state.synced) return
  step.set({ synced: index })
  if (step.state.role === AgreementRole.Leader) step.advanceCommit()
}

function read (step: Step, identifier: number): void {
  if (!step.ready) { step.refusal = AgreementRefusal.ReplicaRefusal; return }
  if (step.hasQuorum(() => false)) { step.confirmed.push(identifier); return }
  step.set({ reads: [...step.state.reads, { identifier, sequence: step.state.sequence + 1 }] })
}

function transfer (step: Step): void {
  const { role, peers, now, timing } = step.state
  if (role !== AgreementRole.Leader) { step.refusal = AgreementRefusal.ReplicaRefusal; return }
  const reachable = step.otherVoters.filter((identity) => now - (peers.get(identity)?.lastReplyAt ?? -Infinity) < timing.leaseMilliseconds)
  const successor = reachable.sort((left, right) => (peers.get(right)?.match ?? 0) - (peers.get(left)?.match ?? 0))[0]
  if (successor === undefined) { step.refusal = AgreementRefusal.NoSuccessor; return }
  step.set({ transfer: { target: successor, deadline: now + timing.maxElectionMilliseconds, sent: false } })
  step.continueTransfer()
  step.sendAppend(successor)
}

function compact (step: Step, input: CompactInput): void {
  const { head, keepFrom } = input
  const { entries, baseIndex, snapshot, membershipHistory } = step.state
  if (head.index <= snapshot.index) return
  const base = Math.max(baseIndex, Math.min(keepFrom - 1, head.index))
  const baseTerm = termAt(step.state, base) ?? step.state.baseTerm
  const inForce = { index: base, members: membersAt(step.state, base) }
  step.set({
    snapshot: head,
    entries: entries.skip(base - baseIndex),
    baseIndex: base,
    baseTerm,
    membershipHistory: [inForce, ...membershipHistory.filter((at) => at.index > base)]
  })
}
