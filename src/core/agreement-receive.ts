/**
 * Handlers for the messages between members.
 */
import { List } from 'immutable'
import {
  AgreementMessageKind, ProgressMode, AgreementRole,
  type AppendMessage, type AppendReplyMessage, type CampaignNowMessage, type HeartbeatMessage, type HeartbeatReplyMessage, type AgreementMessage,
  type SnapshotMessage, type VoteMessage, type VoteReplyMessage
} from './agreement-types'
import { isVoter, lastIndex, lastTerm, termAt } from './agreement-log'
import type { Step } from './agreement-step'

type Handler<M extends AgreementMessage> = (step: Step, message: M) => void
type Handlers = { readonly [K in AgreementMessageKind]: Handler<Extract<AgreementMessage, { kind: K }>> }

const LEADER_MESSAGE_KINDS = new Set([AgreementMessageKind.Append, AgreementMessageKind.Heartbeat, AgreementMessageKind.Snapshot])
const VOTE_REQUEST_KINDS = new Set([AgreementMessageKind.Vote, AgreementMessageKind.PreVote])

const handlers: Handlers = {
  [AgreementMessageKind.PreVote]: onPreVote as Handler<AgreementMessage> as Handler<never>,
  [AgreementMessageKind.PreVoteReply]: onVoteReply as Handler<AgreementMessage> as Handler<never>,
  [AgreementMessageKind.Vote]: onVote as Handler<AgreementMessage> as Handler<never>,
  [AgreementMessageKind.VoteReply]: onVoteReply as Handler<AgreementMessage> as Handler<never>,
  [AgreementMessageKind.Append]: onAppend,
  [AgreementMessageKind.AppendReply]: onAppendReply,
  [AgreementMessageKind.Heartbeat]: onHeartbeat,
  [AgreementMessageKind.HeartbeatReply]: onHeartbeatReply,
  [AgreementMessageKind.Snapshot]: onSnapshot,
  [AgreementMessageKind.CampaignNow]: onCampaignNow
}

/**
 * Processes one message. Messages for another identity or from another cluster are ignored: a host that lost its disk
 * has a new identity, so it cannot vote twice in a term.
 * @param step - the current step
 * @param message - the message
 */
export function receive (step: Step, message: AgreementMessage): void {
  if (message.to !== step.state.identity || message.cluster === '') return
  if (step.state.cluster === '') step.set({ cluster: message.cluster })
  if (message.cluster !== step.state.cluster) return
  if (!reconcileTerm(step, message)) return
  (handlers[message.kind] as Handler<AgreementMessage>)(step, message)
}

/** Adopts a higher term and rejects a lower one. Returns whether the message is to be handled. */
function reconcileTerm (step: Step, message: AgreementMessage): boolean {
  if (message.kind === AgreementMessageKind.PreVote) return true
  if (message.kind === AgreementMessageKind.PreVoteReply && message.granted) return true
  if (message.term > step.state.term) return adoptHigherTerm(step, message)
  if (message.term < step.state.term) { rejectStaleTerm(step, message); return false }
  return true
}

function adoptHigherTerm (step: Step, message: AgreementMessage): boolean {
  if (message.kind === AgreementMessageKind.Vote && !message.transfer && step.hasRecentLeaderContact) return false
  step.becomeFollower(message.term, LEADER_MESSAGE_KINDS.has(message.kind) ? message.from : '')
  return true
}

/** Replies with the current term, so that a deposed leader or an outdated candidate steps down. */
function rejectStaleTerm (step: Step, message: AgreementMessage): void {
  if (LEADER_MESSAGE_KINDS.has(message.kind)) {
    step.sendAfterSync(message.from, { kind: AgreementMessageKind.AppendReply, accepted: false, match: 0, matchTerm: 0, refused: 0 })
  }
  if (VOTE_REQUEST_KINDS.has(message.kind)) step.sendAfterSync(message.from, { kind: AgreementMessageKind.VoteReply, granted: false })
}

/** Whether the candidate's log is at least as up to date as this member's. */
function isLogUpToDate (step: Step, message: VoteMessage): boolean {
  const ownTerm = lastTerm(step.state)
  return message.lastTerm > ownTerm || (message.lastTerm === ownTerm && message.lastIndex >= lastIndex(step.state))
}

function onPreVote (step: Step, message: VoteMessage): void {
  const granted = message.term > step.state.term && isLogUpToDate(step, message) && !step.hasRecentLeaderContact
  const term = granted ? message.term : step.state.term
  step.sendAfterSync(message.from, { kind: AgreementMessageKind.PreVoteReply, granted, term })
}

function onVote (step: Step, message: VoteMessage): void {
  const { vote, leader } = step.state
  const canVote = vote === message.from || (vote === '' && leader === '')
  const granted = canVote && isLogUpToDate(step, message)
  if (granted) {
    step.set({ vote: message.from })
    step.resetElectionTimeout()
  }
  step.sendAfterSync(message.from, { kind: AgreementMessageKind.VoteReply, granted })
}

function onVoteReply (step: Step, message: VoteReplyMessage): void {
  const { role, preVoting, term, votes } = step.state
  const forPreVote = message.kind === AgreementMessageKind.PreVoteReply
  if (role !== AgreementRole.Candidate || preVoting !== forPreVote) return
  if (forPreVote && message.granted && message.term !== term + 1) return
  step.set({ votes: votes.set(message.from, message.granted) })
  if (!step.hasQuorum((identity) => step.state.votes.get(identity) === true)) return
  if (forPreVote) step.campaign(false)
  else step.becomeLeader()
}

function recordLeaderContact (step: Step, leader: string): void {
  if (step.state.role === AgreementRole.Candidate || step.state.leader !== leader) step.becomeFollower(step.state.term, leader)
  step.set({ lastLeaderContactAt: step.state.now })
  step.resetElectionTimeout()
}

function onAppend (step: Step, message: AppendMessage): void {
  recordLeaderContact(step, message.from)
  const { commit } = step.state
  if (message.previousIndex < commit) { replyAppendAccepted(step, message.from, commit); return }
  if (termAt(step.state, message.previousIndex) !== message.previousTerm) { replyAppendRejected(step, message); return }
  const added = message.entries.findIndex((entry) => termAt(step.state, entry.index) !== entry.term)
  if (added >= 0) step.appendEntries(message.entries.slice(added))
  const match = message.previousIndex + message.entries.length
  step.set({ commit: Math.max(commit, Math.min(message.commit, match)) })
  replyAppendAccepted(step, message.from, match)
}

function replyAppendAccepted (step: Step, leader: string, match: number): void {
  step.sendAfterSync(leader, { kind: AgreementMessageKind.AppendReply, accepted: true, match, matchTerm: 0, refused: 0 })
}

/** Replies with a hint, the last index at which the logs may match: that of the last entry whose term is not above the leader's. */
function replyAppendRejected (step: Step, message: AppendMessage): void {
  const match = lastIndexWithTermUpTo(step, Math.min(lastIndex(step.state), message.previousIndex - 1), message.previousTerm)
  const matchTerm = termAt(step.state, match) ?? 0
  step.sendAfterSync(message.from, { kind: AgreementMessageKind.AppendReply, accepted: false, match, matchTerm, refused: message.previousIndex })
}

function lastIndexWithTermUpTo (step: Step, from: number, term: number): number {
  let index = from
  while (index > step.state.baseIndex && (termAt(step.state, index) ?? 0) > term) index--
  return index
}

function onAppendReply (step: Step, message: AppendReplyMessage): void {
  const progress = step.state.peers.get(message.from)
  if (step.state.role !== AgreementRole.Leader || progress === undefined) return
  step.updateProgress(message.from, { lastReplyAt: step.state.now })
  if (message.accepted) onAppendAccepted(step, message)
  else if (message.refused > progress.match) {
    const hint = lastIndexWithTermUpTo(step, message.match, message.matchTerm)
    const next = Math.max(progress.match + 1, Math.min(message.refused, hint + 1))
    step.updateProgress(message.from, { mode: ProgressMode.Probe, next, inFlight: 0, lastProgressAt: step.state.now })
  }
  step.sendAppend(message.from)
}

function onAppendAccepted (step: Step, message: AppendReplyMessage): void {
  const progress = step.state.peers.get(message.from)
  if (progress === undefined) return
  const match = Math.max(progress.match, message.match)
  step.updateProgress(message.from, {
    mode: ProgressMode.Replicate,
    match,
    next: progress.mode === ProgressMode.Replicate ? Math.max(progress.next, match + 1) : match + 1,
    inFlight: Math.max(0, progress.inFlight - 1),
    lastProgressAt: step.state.now
  })
  step.advanceCommit()
  step.continueTransfer()
}

function onHeartbeat (step: Step, message: HeartbeatMessage): void {
  recordLeaderContact(step, message.from)
  step.set({ commit: Math.max(step.state.commit, Math.min(message.commit, lastIndex(step.state))) })
  step.send(message.from, { kind: AgreementMessageKind.HeartbeatReply, sequence: message.sequence })
}

function onHeartbeatReply (step: Step, message: HeartbeatReplyMessage): void {
  const progress = step.state.peers.get(message.from)
  if (step.state.role !== AgreementRole.Leader || progress === undefined) return
  step.updateProgress(message.from, { lastReplyAt: step.state.now, sequence: Math.max(progress.sequence, message.sequence) })
  confirmReads(step)
  step.retryReplication(message.from, progress)
}

function confirmReads (step: Step): void {
  const confirmed = step.state.reads.filter((read) => step.hasQuorum((identity) => (step.state.peers.get(identity)?.sequence ?? 0) >= read.sequence))
  if (confirmed.length === 0) return
  step.confirmed.push(...confirmed.map((read) => read.identifier))
  step.set({ reads: step.state.reads.filter((read) => !confirmed.includes(read)) })
}

function onSnapshot (step: Step, message: SnapshotMessage): void {
  recordLeaderContact(step, message.from)
  const { head } = message
  const { commit } = step.state
  if (head.index <= commit) { replyAppendAccepted(step, message.from, commit); return }
  if (termAt(step.state, head.index) === head.term) step.set({ commit: head.index })
  else restore(step, message)
  replyAppendAccepted(step, message.from, head.index)
}

function restore (step: Step, message: SnapshotMessage): void {
  const { head } = message
  step.restore = message
  step.append = []
  step.set({
    entries: List(),
    baseIndex: head.index,
    baseTerm: head.term,
    snapshot: head,
    membershipHistory: [{ index: head.index, members: head.members }],
    commit: head.index,
    synced: head.index
  })
}

function onCampaignNow (step: Step, message: CampaignNowMessage): void {
  if (isVoter(step.state) && message.from === step.state.leader) step.campaign(true)
}
