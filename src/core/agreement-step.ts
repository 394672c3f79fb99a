/**
 * The working state of one step and the operations that several handlers share.
 */
import { Map as ImmutableMap } from 'immutable'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import {
  EntryKind, AgreementMessageKind, ProgressMode, AgreementRole,
  type AgreementRefusal, type AgreementState, type LogEntry, type AgreementMessage, type Output, type Progress, type ProposedEntry, type SnapshotMessage
} from './agreement-types'
import {
  changePending, currentMembers, entriesBetween, entriesForAppend, isVoter, lastIndex, lastTerm, quorumSize, passiveRole, termAt, voterIdentities, withEntries
} from './agreement-log'

const MAX_IN_FLIGHT_APPENDS = 32
/** Outputs of the generator discarded after seeding: consecutive seeds give nearly consecutive first outputs. */
const DISCARDED_DRAWS = 8
/** Heartbeat intervals without progress after which appends are resent. */
const APPEND_RETRY_HEARTBEATS = 3
/** Time without progress after which a snapshot is resent. */
const SNAPSHOT_RETRY_MILLISECONDS = 2000

type Body<M> = M extends AgreementMessage ? Omit<M, 'cluster' | 'from' | 'to' | 'term'> & { readonly term?: number } : never

/** Collects the outputs of one step. The state is replaced, never mutated. */
export class Step {
  append: LogEntry[] = []
  messages: AgreementMessage[] = []
  afterSync: AgreementMessage[] = []
  confirmed: number[] = []
  failed: number[] = []
  restore?: SnapshotMessage
  proposed?: ProposedEntry
  refusal?: AgreementRefusal

  private constructor (readonly before: AgreementState, public state: AgreementState) {}

  static create (before: AgreementState, now: number): Step {
    return new Step(before, { ...before, now })
  }

  set (changes: Partial<AgreementState>): void {
    this.state = { ...this.state, ...changes }
  }

  get ready (): boolean {
    return this.state.role === AgreementRole.Leader && this.state.commit >= this.state.readyIndex
  }

  message (to: string, body: Body<AgreementMessage>): AgreementMessage {
    const { cluster, identity, term } = this.state
    return { cluster, from: identity, to, term, ...body } as AgreementMessage
  }

  /** Queues a message that is sent at once. */
  send (to: string, body: Body<AgreementMessage>): void {
    this.messages.push(this.message(to, body))
  }

  /** Queues a message that is sent once everything written so far is synced. */
  sendAfterSync (to: string, body: Body<AgreementMessage>): void {
    this.afterSync.push(this.message(to, body))
  }

  get otherVoters (): string[] {
    return voterIdentities(currentMembers(this.state)).filter((identity) => identity !== this.state.identity)
  }

  /** Whether the voters that satisfy a condition form a quorum. This member, if it is a voter, always counts. */
  hasQuorum (condition: (identity: string) => boolean): boolean {
    const members = currentMembers(this.state)
    const count = voterIdentities(members).filter((identity) => identity === this.state.identity || condition(identity)).length
    return count >= quorumSize(members)
  }

  resetElectionTimeout (): void {
    const { minElectionMilliseconds, maxElectionMilliseconds } = this.state.timing
    this.resetElectionTimeoutWithin(minElectionMilliseconds, maxElectionMilliseconds)
  }

  resetFirstElectionTimeout (): void {
    this.resetElectionTimeoutWithin(0, this.state.timing.maxFirstElectionMilliseconds)
  }

  private resetElectionTimeoutWithin (minimum: number, maximum: number): void {
    const { now, seed, timeoutDraws } = this.state
    const generator = xoroshiro128plus(seed + timeoutDraws)
    for (let skipped = 0; skipped < DISCARDED_DRAWS; skipped++) generator.next()
    this.set({ timeoutDraws: timeoutDraws + 1, electionDueAt: now + uniformInt(generator, minimum, maximum) })
  }

  /** Whether this member leads or had contact with a leader within the minimum election timeout, so that no election can be due. */
  get hasRecentLeaderContact (): boolean {
    const { role, leader, lastLeaderContactAt, now, timing } = this.state
    return role === AgreementRole.Leader || (leader !== '' && now - lastLeaderContactAt < timing.minElectionMilliseconds)
  }

  becomeFollower (term: number, leader: string): void {
    if (this.state.role === AgreementRole.Leader) this.failed.push(...this.state.reads.map((read) => read.identifier))
    const vote = term > this.state.term ? '' : this.state.vote
    this.set({
      term,
      vote,
      leader,
      role: passiveRole(this.state),
      preVoting: false,
      votes: ImmutableMap(),
      peers: ImmutableMap(),
      reads: [],
      transfer: undefined
    })
    this.resetElectionTimeout()
  }

  /** Starts the pre-vote round, which finds out whether an election could be won without changing any term. */
  preCampaign (): void {
    const votes = ImmutableMap([[this.state.identity, true]])
    this.set({ role: AgreementRole.Candidate, preVoting: true, leader: '', votes })
    this.resetElectionTimeout()
    if (this.hasQuorum(() => false)) { this.campaign(false); return }
    this.requestVotes(AgreementMessageKind.PreVote, this.state.term + 1, false)
  }

  campaign (transfer: boolean): void {
    const { identity, term } = this.state
    this.set({
      role: AgreementRole.Candidate, preVoting: false, term: term + 1, vote: identity, leader: '', votes: ImmutableMap([[identity, true]])
    })
    this.resetElectionTimeout()
    if (this.hasQuorum(() => false)) { this.becomeLeader(); return }
    this.requestVotes(AgreementMessageKind.Vote, this.state.term, transfer)
  }

  private requestVotes (kind: AgreementMessageKind.Vote | AgreementMessageKind.PreVote, term: number, transfer: boolean): void {
    const lastEntry = { lastIndex: lastIndex(this.state), lastTerm: lastTerm(this.state) }
    for (const voter of this.otherVoters) this.sendAfterSync(voter, { kind, term, transfer, ...lastEntry })
  }

  becomeLeader (): void {
    const { identity, now } = this.state
    this.set({ role: AgreementRole.Leader, leader: identity, peers: ImmutableMap(), heartbeatDueAt: now, readyIndex: lastIndex(this.state) + 1 })
    this.updateTrackedPeers()
    this.appendLeaderEntry(EntryKind.Empty, new Uint8Array(0))
    this.sendAppends()
  }

  /** Keeps a progress for every other member, and for no one else. */
  updateTrackedPeers (): void {
    const others = currentMembers(this.state).filter((member) => member.identity !== this.state.identity)
    const peers = others.map((member): [string, Progress] => [member.identity, this.state.peers.get(member.identity) ?? this.newProgress()])
    this.set({ peers: ImmutableMap(peers) })
  }

  private newProgress (): Progress {
    const { now } = this.state
    return { mode: ProgressMode.Probe, match: 0, next: lastIndex(this.state) + 1, inFlight: 0, lastReplyAt: now, lastProgressAt: now, sequence: 0 }
  }

  updateProgress (identity: string, changes: Partial<Progress>): void {
    const progress = this.state.peers.get(identity)
    if (progress !== undefined) this.set({ peers: this.state.peers.set(identity, { ...progress, ...changes }) })
  }

  /** Appends an entry in the current term. */
  appendLeaderEntry (kind: EntryKind, data: Uint8Array): ProposedEntry {
    const entry: LogEntry = { index: lastIndex(this.state) + 1, term: this.state.term, kind, data }
    this.appendEntries([entry])
    return { index: entry.index, term: entry.term }
  }

  appendEntries (entries: readonly LogEntry[]): void {
    this.state = withEntries(this.state, entries)
    this.append.push(...entries)
  }

  sendAppends (): void {
    for (const identity of this.state.peers.keys()) this.sendAppend(identity)
  }

  /** Sends missing entries to a member until its in-flight window is full. */
  sendAppend (identity: string): void {
    while (this.sendOneAppend(identity));
  }

  private sendOneAppend (identity: string): boolean {
    const progress = this.state.peers.get(identity)
    if (progress === undefined || !canSendAppend(progress)) return false
    const previousTerm = termAt(this.state, progress.next - 1)
    if (previousTerm === undefined) { this.sendSnapshot(identity); return false }
    const entries = entriesForAppend(this.state, progress.next)
    const probing = progress.mode === ProgressMode.Probe
    if (entries.length === 0 && !probing) return false
    this.send(identity, {
      kind: AgreementMessageKind.Append, previousIndex: progress.next - 1, previousTerm, commit: this.state.commit, entries
    })
    this.updateProgress(identity, { inFlight: progress.inFlight + 1, next: probing ? progress.next : progress.next + entries.length })
    return !probing
  }

  private sendSnapshot (identity: string): void {
    this.send(identity, { kind: AgreementMessageKind.Snapshot, head: this.state.snapshot, data: new Uint8Array(0) })
    this.updateProgress(identity, { mode: ProgressMode.Snapshot, lastProgressAt: this.state.now })
  }

  /** Restarts from the last matching index when a member made no progress for too long, because appends or a snapshot were lost. */
  retryReplication (identity: string, progress: Progress): void {
    const { now, timing } = this.state
    const retryMilliseconds = progress.mode === ProgressMode.Snapshot ? SNAPSHOT_RETRY_MILLISECONDS : timing.heartbeatMilliseconds * APPEND_RETRY_HEARTBEATS
    if (progress.match < lastIndex(this.state) && now - progress.lastProgressAt >= retryMilliseconds) {
      this.updateProgress(identity, { mode: ProgressMode.Probe, next: progress.match + 1, inFlight: 0, lastProgressAt: now })
    }
    this.sendAppend(identity)
  }

  sendHeartbeats (): void {
    const { now, timing, commit, sequence } = this.state
    this.set({ heartbeatDueAt: now + timing.heartbeatMilliseconds })
    for (const [identity, progress] of this.state.peers) {
      this.send(identity, { kind: AgreementMessageKind.Heartbeat, commit: Math.min(commit, progress.match), sequence })
    }
  }

  /** Commits what a quorum has synced, provided that it ends with an entry of the current term. */
  advanceCommit (): void {
    const { identity, synced, commit, term, peers } = this.state
    const members = currentMembers(this.state)
    const matchIndexes = voterIdentities(members).map((voter) => voter === identity ? synced : peers.get(voter)?.match ?? 0)
    const quorumIndex = matchIndexes.sort((left, right) => right - left)[quorumSize(members) - 1] ?? 0
    if (quorumIndex > commit && termAt(this.state, quorumIndex) === term) this.set({ commit: quorumIndex })
  }

  /** Tells the target of a leadership transfer to campaign once it has the entire log. */
  continueTransfer (): void {
    const { transfer, peers } = this.state
    if (transfer === undefined || transfer.sent) return
    if (peers.get(transfer.target)?.match !== lastIndex(this.state)) return
    this.send(transfer.target, { kind: AgreementMessageKind.CampaignNow })
    this.set({ transfer: { ...transfer, sent: true } })
  }

  get changePending (): boolean {
    return changePending(this.state)
  }

  finish (): { readonly state: AgreementState, readonly output: Output } {
    const { role } = this.state
    if (role === AgreementRole.Follower || role === AgreementRole.Learner) this.set({ role: passiveRole(this.state) })
    if (role === AgreementRole.Candidate && !isVoter(this.state)) this.becomeFollower(this.state.term, '')
    const { state, before, append, messages, afterSync, confirmed, failed, restore, proposed, refusal } = this
    const from = Math.max(before.commit, restore?.head.index ?? 0) + 1
    const committed = entriesBetween(state, from, state.commit)
    const hardStateChanged = state.term !== before.term || state.vote !== before.vote || state.cluster !== before.cluster
    const hardState = hardStateChanged ? { cluster: state.cluster, term: state.term, vote: state.vote } : undefined
    return { state, output: { restore, append, hardState, messages, afterSync, committed, confirmed, failed, proposed, refusal } }
  }
}

function canSendAppend (progress: Progress): boolean {
  if (progress.mode === ProgressMode.Snapshot) return false
  return progress.inFlight < (progress.mode === ProgressMode.Probe ? 1 : MAX_IN_FLIGHT_APPENDS)
}
