/**
 * The replicated log of the control hosts as one pure function. It has no clock, no disk and no network:
 * time comes in with each step, and what must be written, sent and handed up comes out.
 */
import { List, Map as ImmutableMap } from 'immutable'
import {
  AgreementRefusal, EntryKind, InputKind, Role,
  type AgreementState, type CompactInput, type Entry, type Input, type Member, type Output, type Recovered, type SnapshotHead, type Timing
} from './agreement-types'
import { currentMembers, encodeMembers, lastIndex, membersAt, restingRole, termAt, votersOf, withEntries } from './agreement-log'
import { changeMembers } from './agreement-members'
import { receive } from './agreement-receive'
import { Step } from './agreement-step'

export * from './agreement-types'
export { nextRepair } from './agreement-members'
export { currentMembers, lastIndex, membersAt, termAt } from './agreement-log'

/**
 * Times used where a replica is given none. After a loss of all members nobody waits out a leader that cannot be there;
 * where one still leads, its followers refuse the pre-vote.
 */
export const defaultTiming: Timing = { heartbeat: 100, electionLeast: 300, electionMost: 600, firstElectionMost: 120, lease: 500 }

/** The place before the first entry. */
export const noSnapshot: SnapshotHead = { index: 0, term: 0, members: [] }

/** Term of the entry that founds a cluster. */
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
 * The state of a member that starts.
 * @param recovered - what its disk holds
 * @param timing - times of the protocol, in milliseconds
 * @param seed - seed of the election timeouts, other at each member
 * @param now - milliseconds of the local clock
 * @returns the state before the first input
 */
export function startAgreement (recovered: Recovered, timing: Timing, seed: number, now: number): AgreementState {
  const { identity, hardState, snapshot, entries } = recovered
  const empty: AgreementState = {
    identity,
    ...hardState,
    timing,
    seed,
    draws: 0,
    now,
    role: Role.Learner,
    leader: '',
    entries: List(),
    baseIndex: snapshot.index,
    baseTerm: snapshot.term,
    snapshot,
    history: [{ index: snapshot.index, members: snapshot.members }],
    commit: snapshot.index,
    synced: 0,
    electionAt: now,
    leaderHeardAt: -Infinity,
    preVoting: false,
    votes: ImmutableMap(),
    peers: ImmutableMap(),
    readyIndex: 0,
    heartbeatAt: now,
    sequence: 0,
    reads: []
  }
  const filled = withEntries(empty, entries.filter((entry) => entry.index > snapshot.index))
  const step = Step.create({ ...filled, role: restingRole(filled), synced: lastIndex(filled) }, now)
  if (votersOf(currentMembers(filled)).length > 1) step.drawFirstElection()
  return step.state
}

/**
 * The first entry of a new cluster.
 * @param members - its first voters
 * @returns the entry that every first voter begins with
 */
export function foundingEntry (members: readonly Member[]): Entry {
  return { index: 1, term: FOUNDING_TERM, kind: EntryKind.Members, data: encodeMembers(members) }
}

/**
 * Takes in one input.
 * @param state - the state before
 * @param now - milliseconds of the local clock, never less than before
 * @param input - the input
 * @returns the state after, and what must be done in the order of the fields of Output
 */
export function stepAgreement (state: AgreementState, now: number, input: Input): { readonly state: AgreementState, readonly output: Output } {
  const step = Step.create(state, now);
  (handlers[input.kind] as Handler<Input>)(step, input)
  return step.finish()
}

/**
 * @param state - a member's state
 * @returns whether it leads and has committed everything of earlier terms
 */
export function isReadyLeader (state: AgreementState): boolean {
  return state.role === Role.Leader && state.commit >= state.readyIndex
}

function tick (step: Step): void {
  const { role, now, electionAt } = step.state
  if (role === Role.Leader) tickLeader(step)
  else if (now >= electionAt && restingRole(step.state) === Role.Follower) step.preCampaign()
}

function tickLeader (step: Step): void {
  const { now, timing, heartbeatAt, peers, term, transfer } = step.state
  const heard = (identity: string): boolean => now - (peers.get(identity)?.heardAt ?? -Infinity) < timing.lease
  if (!step.quorum(heard)) { step.becomeFollower(term, ''); return }
  if (transfer !== undefined && now >= transfer.deadline) step.set({ transfer: undefined })
  if (now >= heartbeatAt) step.sendHeartbeats()
}

function propose (step: Step, data: Uint8Array): void {
  if (!step.ready || step.state.transfer !== undefined) { step.refusal = AgreementRefusal.NotLeader; return }
  step.proposed = step.appendOwn(EntryKind.Data, data)
}

function flush (step: Step): void {
  if (step.state.role !== Role.Leader) return
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
  if (step.state.role === Role.Leader) step.advanceCommit()
}

function read (step: Step, identifier: number): void {
  if (!step.ready) { step.refusal = AgreementRefusal.NotLeader; return }
  if (step.quorum(() => false)) { step.confirmed.push(identifier); return }
  step.set({ reads: [...step.state.reads, { identifier, sequence: step.state.sequence + 1 }] })
}

function transfer (step: Step): void {
  const { role, peers, now, timing } = step.state
  if (role !== Role.Leader) { step.refusal = AgreementRefusal.NotLeader; return }
  const present = step.otherVoters.filter((identity) => now - (peers.get(identity)?.heardAt ?? -Infinity) < timing.lease)
  const furthest = present.sort((left, right) => (peers.get(right)?.match ?? 0) - (peers.get(left)?.match ?? 0))[0]
  if (furthest === undefined) { step.refusal = AgreementRefusal.NoSuccessor; return }
  step.set({ transfer: { target: furthest, deadline: now + timing.electionMost, sent: false } })
  step.continueTransfer()
  step.sendAppend(furthest)
}

function compact (step: Step, input: CompactInput): void {
  const { head, keepFrom } = input
  const { entries, baseIndex, snapshot, history } = step.state
  if (head.index <= snapshot.index) return
  const base = Math.max(baseIndex, Math.min(keepFrom - 1, head.index))
  const baseTerm = termAt(step.state, base) ?? step.state.baseTerm
  const inForce = { index: base, members: membersAt(step.state, base) }
  step.set({
    snapshot: head,
    entries: entries.skip(base - baseIndex),
    baseIndex: base,
    baseTerm,
    history: [inForce, ...history.filter((at) => at.index > base)]
  })
}
