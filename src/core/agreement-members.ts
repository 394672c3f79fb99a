/**
 * Changes of members, one member at a time.
 */
import { AgreementRefusal, EntryKind, MemberChangeKind, type AgreementState, type Member, type MemberChange } from './agreement-types'
import { currentMembers, encodeMembers, quorumOf, votersOf } from './agreement-log'
import type { Step } from './agreement-step'

const VOTERS_MOST = 7
const LEARNERS_MOST = 7
const LAG_MOST_ENTRIES = 256
/** Silence after which a voter is replaced where a learner is ready, in milliseconds: well above a leader's lease. */
const VOTER_GONE_MILLISECONDS = 1_200
/** Silence after which a learner is dropped, in milliseconds; it asks to join again when it is back. */
const LEARNER_GONE_MILLISECONDS = 5_000

type Change = (step: Step, members: readonly Member[], change: MemberChange) => readonly Member[] | AgreementRefusal

const changes: Record<MemberChangeKind, Change> = {
  [MemberChangeKind.AddLearner]: addLearner,
  [MemberChangeKind.Promote]: promote,
  [MemberChangeKind.Remove]: remove
}

/**
 * Appends the changed members, or says why not.
 * @param step - the step under way
 * @param change - the change of one member
 */
export function changeMembers (step: Step, change: MemberChange): void {
  const result = membersAfter(step, change)
  if (!Array.isArray(result)) { step.refusal = result as AgreementRefusal; return }
  step.proposed = step.appendOwn(EntryKind.Members, encodeMembers(result as Member[]))
  step.followMembers()
  step.advanceCommit()
}

/**
 * The next change after a host was lost: first its successor votes, then the old member goes.
 * In this order every entry committed in between is on all hosts that are left.
 * @param state - the leader's state
 * @param wantedVoters - how many voters there should be; without it only hosts that came back with an emptied folder are replaced
 * @returns the change to make, undefined where there is nothing to repair
 */
export function nextRepair (state: AgreementState, wantedVoters?: number): MemberChange | undefined {
  const members = currentMembers(state)
  const voters = members.filter((member) => member.voter)
  const replaced = voters.find((voter, position) => voters.slice(position + 1).some((later) => later.address === voter.address))
  if (replaced !== undefined) return { kind: MemberChangeKind.Remove, identity: replaced.identity }
  const newcomer = members.find((member) => !member.voter && voters.some((voter) => voter.address === member.address))
  if (newcomer !== undefined) return { kind: MemberChangeKind.Promote, identity: newcomer.identity }
  return wantedVoters === undefined ? undefined : replacement(state, members, wantedVoters)
}

/** Keeps the number of voters: a learner that is heard takes the place of a voter that is not. */
function replacement (state: AgreementState, members: readonly Member[], wantedVoters: number): MemberChange | undefined {
  const silence = ({ identity }: Member): number => identity === state.identity ? 0 : state.now - (state.peers.get(identity)?.heardAt ?? state.now)
  const voters = members.filter((member) => member.voter)
  const gone = voters.find((voter) => silence(voter) > VOTER_GONE_MILLISECONDS)
  if (gone !== undefined && voters.length > wantedVoters) return { kind: MemberChangeKind.Remove, identity: gone.identity }
  const learners = members.filter((member) => !member.voter)
  const ready = learners.find((learner) => silence(learner) < state.timing.lease && caughtUp(state, learner.identity))
  if (ready !== undefined && (gone !== undefined || voters.length < wantedVoters)) return { kind: MemberChangeKind.Promote, identity: ready.identity }
  const left = learners.find((learner) => silence(learner) > LEARNER_GONE_MILLISECONDS)
  return left === undefined ? undefined : { kind: MemberChangeKind.Remove, identity: left.identity }
}

function caughtUp (state: AgreementState, identity: string): boolean {
  const match = state.peers.get(identity)?.match ?? 0
  return match + LAG_MOST_ENTRIES >= state.commit && match >= state.readyIndex
}

function membersAfter (step: Step, change: MemberChange): readonly Member[] | AgreementRefusal {
  if (!step.ready || step.state.transfer !== undefined) return AgreementRefusal.NotLeader
  if (step.changePending) return AgreementRefusal.ChangePending
  return changes[change.kind](step, currentMembers(step.state), change)
}

/** A learner whose host came back with yet another identity is dropped with it: learners count in no quorum. */
function addLearner (step: Step, members: readonly Member[], change: MemberChange): readonly Member[] | AgreementRefusal {
  const { identity, address = '' } = change
  if (members.some((member) => member.identity === identity)) return AgreementRefusal.AlreadyMember
  const kept = members.filter((member) => member.voter || member.address !== address)
  if (kept.length - votersOf(kept).length >= LEARNERS_MOST) return AgreementRefusal.TooManyMembers
  return [...kept, { identity, address, voter: false }]
}

function promote (step: Step, members: readonly Member[], change: MemberChange): readonly Member[] | AgreementRefusal {
  const learner = members.find((member) => member.identity === change.identity)
  if (learner === undefined) return AgreementRefusal.UnknownMember
  if (learner.voter) return AgreementRefusal.AlreadyMember
  if (!caughtUp(step.state, change.identity)) return AgreementRefusal.NotCaughtUp
  const after = members.map((member) => member === learner ? { ...member, voter: true } : member)
  const addresses = new Set(after.filter((member) => member.voter).map((member) => member.address))
  if (addresses.size > VOTERS_MOST) return AgreementRefusal.TooManyMembers
  return safely(step, after)
}

function remove (step: Step, members: readonly Member[], change: MemberChange): readonly Member[] | AgreementRefusal {
  const leaving = members.find((member) => member.identity === change.identity)
  if (leaving === undefined) return AgreementRefusal.UnknownMember
  if (change.identity === step.state.identity) return AgreementRefusal.IsLeader
  const after = members.filter((member) => member !== leaving)
  return leaving.voter ? safely(step, after) : after
}

/** Refuses a change after which the voters heard from lately would be no quorum. */
function safely (step: Step, after: readonly Member[]): readonly Member[] | AgreementRefusal {
  const { identity, peers, now, timing } = step.state
  const heard = (voter: string): boolean => now - (peers.get(voter)?.heardAt ?? -Infinity) < timing.lease
  const present = votersOf(after).filter((voter) => voter === identity || heard(voter)).length
  return present >= quorumOf(after) ? after : AgreementRefusal.QuorumAtRisk
}
