/**
 * Changes of members, one member at a time.
 */
import { AgreementRefusal, EntryKind, MemberChangeKind, type AgreementState, type Member, type MemberChange } from './agreement-types'
import { currentMembers, encodeMembers, quorumOf, votersOf } from './agreement-log'
import type { Step } from './agreement-step'

const VOTERS_MOST = 7
const LEARNERS_MOST = 7
const LAG_MOST_ENTRIES = 256

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
 * The next change after a host came back with an emptied folder: first its new identity votes, then the old one goes.
 * In this order every entry committed in between is on all hosts that are left.
 * @param state - the leader's state
 * @returns the change to make, undefined where there is nothing to repair
 */
export function nextRepair (state: AgreementState): MemberChange | undefined {
  const members = currentMembers(state)
  const voters = members.filter((member) => member.voter)
  const replaced = voters.find((voter, position) => voters.slice(position + 1).some((later) => later.address === voter.address))
  if (replaced !== undefined) return { kind: MemberChangeKind.Remove, identity: replaced.identity }
  const newcomer = members.find((member) => !member.voter && voters.some((voter) => voter.address === member.address))
  return newcomer === undefined ? undefined : { kind: MemberChangeKind.Promote, identity: newcomer.identity }
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
  const match = step.state.peers.get(change.identity)?.match ?? 0
  if (match + LAG_MOST_ENTRIES < step.state.commit || match < step.state.readyIndex) return AgreementRefusal.NotCaughtUp
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
