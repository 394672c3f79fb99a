/**
 * Single-member membership changes.
 */
import { AgreementRefusal, EntryKind, MemberChangeKind, type AgreementState, type ClusterMember, type MemberChange } from './agreement-types'
import { currentMembers, encodeMembers, quorumSize, voterIdentities } from './agreement-log'
import type { Step } from './agreement-step'

const MAX_VOTERS = 7
const MAX_LEARNERS = 7
/** A learner that lags behind the commit index by more entries is not promoted. */
const MAX_PROMOTION_LAG_ENTRIES = 256
/** A voter that has been silent for this long is replaced if a learner is ready. Well above the leader lease of 500 ms. */
const MAX_VOTER_SILENCE_MILLISECONDS = 1_200
/** A learner that has been silent for this long is removed. It asks to join again when it is back. */
const MAX_LEARNER_SILENCE_MILLISECONDS = 5_000

type Change = (step: Step, members: readonly ClusterMember[], change: MemberChange) => readonly ClusterMember[] | AgreementRefusal

const changes: Record<MemberChangeKind, Change> = {
  [MemberChangeKind.AddLearner]: addLearner,
  [MemberChangeKind.Promote]: promote,
  [MemberChangeKind.Remove]: remove
}

/**
 * Appends an entry with the changed membership, or sets the refusal of the step.
 * @param step - the current step
 * @param change - the change of one member
 */
export function changeMembers (step: Step, change: MemberChange): void {
  const result = membersAfter(step, change)
  if (!Array.isArray(result)) { step.refusal = result as AgreementRefusal; return }
  step.proposed = step.appendLeaderEntry(EntryKind.Members, encodeMembers(result as ClusterMember[]))
  step.updateTrackedPeers()
  step.advanceCommit()
}

/**
 * The next membership change after the loss of a host. The successor is promoted before the lost member is removed,
 * so that every entry committed in between is on all remaining hosts.
 * @param state - the leader's state
 * @param wantedVoters - target number of voters; if absent, only hosts that came back with an empty data folder are replaced
 * @returns the change to make, undefined where nothing needs repair
 */
export function nextRepair (state: AgreementState, wantedVoters?: number): MemberChange | undefined {
  const members = currentMembers(state)
  const voters = members.filter((member) => member.voter)
  const superseded = voters.find((voter, position) => voters.slice(position + 1).some((later) => later.address === voter.address))
  if (superseded !== undefined) return { kind: MemberChangeKind.Remove, identity: superseded.identity }
  const successor = members.find((member) => !member.voter && voters.some((voter) => voter.address === member.address))
  if (successor !== undefined) return { kind: MemberChangeKind.Promote, identity: successor.identity }
  return wantedVoters === undefined ? undefined : nextReplacement(state, members, wantedVoters)
}

/** Keeps the number of voters: a learner that replies takes the place of a silent voter, and silent learners are removed. */
function nextReplacement (state: AgreementState, members: readonly ClusterMember[], wantedVoters: number): MemberChange | undefined {
  const silenceMilliseconds = ({ identity }: ClusterMember): number => identity === state.identity ? 0 : state.now - (state.peers.get(identity)?.lastReplyAt ?? state.now)
  const voters = members.filter((member) => member.voter)
  const silentVoter = voters.find((voter) => silenceMilliseconds(voter) > MAX_VOTER_SILENCE_MILLISECONDS)
  if (silentVoter !== undefined && voters.length > wantedVoters) return { kind: MemberChangeKind.Remove, identity: silentVoter.identity }
  const learners = members.filter((member) => !member.voter)
  const readyLearner = learners.find((learner) => silenceMilliseconds(learner) < state.timing.leaseMilliseconds && isCaughtUp(state, learner.identity))
  if (readyLearner !== undefined && (silentVoter !== undefined || voters.length < wantedVoters)) return { kind: MemberChangeKind.Promote, identity: readyLearner.identity }
  const silentLearner = learners.find((learner) => silenceMilliseconds(learner) > MAX_LEARNER_SILENCE_MILLISECONDS)
  return silentLearner === undefined ? undefined : { kind: MemberChangeKind.Remove, identity: silentLearner.identity }
}

function isCaughtUp (state: AgreementState, identity: string): boolean {
  const match = state.peers.get(identity)?.match ?? 0
  return match + MAX_PROMOTION_LAG_ENTRIES >= state.commit && match >= state.readyIndex
}

function membersAfter (step: Step, change: MemberChange): readonly ClusterMember[] | AgreementRefusal {
  if (!step.ready || step.state.transfer !== undefined) return AgreementRefusal.ReplicaRefusal
  if (step.changePending) return AgreementRefusal.ChangePending
  return changes[change.kind](step, currentMembers(step.state), change)
}

/** Also removes a learner with the same address, whose host came back under another identity. Safe, as learners count in no quorum. */
function addLearner (step: Step, members: readonly ClusterMember[], change: MemberChange): readonly ClusterMember[] | AgreementRefusal {
  const { identity, address = '' } = change
  if (members.some((member) => member.identity === identity)) return AgreementRefusal.AlreadyMember
  const kept = members.filter((member) => member.voter || member.address !== address)
  if (kept.length - voterIdentities(kept).length >= MAX_LEARNERS) return AgreementRefusal.TooManyMembers
  return [...kept, { identity, address, voter: false }]
}

function promote (step: Step, members: readonly ClusterMember[], change: MemberChange): readonly ClusterMember[] | AgreementRefusal {
  const learner = members.find((member) => member.identity === change.identity)
  if (learner === undefined) return AgreementRefusal.UnknownMember
  if (learner.voter) return AgreementRefusal.AlreadyMember
  if (!isCaughtUp(step.state, change.identity)) return AgreementRefusal.NotCaughtUp
  const after = members.map((member) => member === learner ? { ...member, voter: true } : member)
  const addresses = new Set(after.filter((member) => member.voter).map((member) => member.address))
  if (addresses.size > MAX_VOTERS) return AgreementRefusal.TooManyMembers
  return unlessQuorumAtRisk(step, after)
}

function remove (step: Step, members: readonly ClusterMember[], change: MemberChange): readonly ClusterMember[] | AgreementRefusal {
  const leaving = members.find((member) => member.identity === change.identity)
  if (leaving === undefined) return AgreementRefusal.UnknownMember
  if (change.identity === step.state.identity) return AgreementRefusal.IsLeader
  const after = members.filter((member) => member !== leaving)
  return leaving.voter ? unlessQuorumAtRisk(step, after) : after
}

/** Refuses a change after which the voters that replied within the leader lease would not form a quorum. */
function unlessQuorumAtRisk (step: Step, after: readonly ClusterMember[]): readonly ClusterMember[] | AgreementRefusal {
  const { identity, peers, now, timing } = step.state
  const recentlyHeard = (voter: string): boolean => now - (peers.get(voter)?.lastReplyAt ?? -Infinity) < timing.leaseMilliseconds
  const reachable = voterIdentities(after).filter((voter) => voter === identity || recentlyHeard(voter)).length
  return reachable >= quorumSize(after) ? after : AgreementRefusal.QuorumAtRisk
}
