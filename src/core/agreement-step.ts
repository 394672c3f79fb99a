/**
 * One step under way: the state as it stands, what is to be put out, and the moves that several handlers share.
 */
import { Map as ImmutableMap } from 'immutable'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import {
  EntryKind, MessageKind, ProgressMode, Role,
  type AgreementRefusal, type AgreementState, type Entry, type Message, type Output, type Progress, type ProposedEntry, type SnapshotMessage
} from './agreement-types'
import {
  changePending, currentMembers, entriesBetween, entriesForAppend, isVoter, lastIndex, lastTerm, quorumOf, restingRole, termAt, votersOf, withEntries
} from './agreement-log'

const IN_FLIGHT_MOST = 32
const DRAWS_SKIPPED = 8
const RETRY_HEARTBEATS = 3
const SNAPSHOT_RETRY_MILLISECONDS = 2000

type Body<M> = M extends Message ? Omit<M, 'cluster' | 'from' | 'to' | 'term'> & { readonly term?: number } : never

/** A step under way. Its state is replaced, never changed. */
export class Step {
  append: Entry[] = []
  messages: Message[] = []
  afterSync: Message[] = []
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
    return this.state.role === Role.Leader && this.state.commit >= this.state.readyIndex
  }

  message (to: string, body: Body<Message>): Message {
    const { cluster, identity, term } = this.state
    return { cluster, from: identity, to, term, ...body } as Message
  }

  /** Sends at once. */
  send (to: string, body: Body<Message>): void {
    this.messages.push(this.message(to, body))
  }

  /** Sends when everything put out up to now is synced. */
  sendAfterSync (to: string, body: Body<Message>): void {
    this.afterSync.push(this.message(to, body))
  }

  get otherVoters (): string[] {
    return votersOf(currentMembers(this.state)).filter((identity) => identity !== this.state.identity)
  }

  /** Whether the voters that satisfy a condition are a quorum; the member itself counts when it votes. */
  quorum (condition: (identity: string) => boolean): boolean {
    const members = currentMembers(this.state)
    const count = votersOf(members).filter((identity) => identity === this.state.identity || condition(identity)).length
    return count >= quorumOf(members)
  }

  drawElection (): void {
    const { electionLeast, electionMost } = this.state.timing
    this.drawElectionWithin(electionLeast, electionMost)
  }

  drawFirstElection (): void {
    this.drawElectionWithin(0, this.state.timing.firstElectionMost)
  }

  private drawElectionWithin (least: number, most: number): void {
    const { now, seed, draws } = this.state
    const generator = xoroshiro128plus(seed + draws)
    for (let skipped = 0; skipped < DRAWS_SKIPPED; skipped++) generator.next()
    this.set({ draws: draws + 1, electionAt: now + uniformInt(generator, least, most) })
  }

  /** Whether a leader was heard so lately that no election is due. */
  get leaderFresh (): boolean {
    const { role, leader, leaderHeardAt, now, timing } = this.state
    return role === Role.Leader || (leader !== '' && now - leaderHeardAt < timing.electionLeast)
  }

  becomeFollower (term: number, leader: string): void {
    if (this.state.role === Role.Leader) this.failed.push(...this.state.reads.map((read) => read.identifier))
    const vote = term > this.state.term ? '' : this.state.vote
    this.set({
      term,
      vote,
      leader,
      role: restingRole(this.state),
      preVoting: false,
      votes: ImmutableMap(),
      peers: ImmutableMap(),
      reads: [],
      transfer: undefined
    })
    this.drawElection()
  }

  /** Asks whether an election would be won before any term is changed. */
  preCampaign (): void {
    const votes = ImmutableMap([[this.state.identity, true]])
    this.set({ role: Role.Candidate, preVoting: true, leader: '', votes })
    this.drawElection()
    if (this.quorum(() => false)) { this.campaign(false); return }
    this.requestVotes(MessageKind.PreVote, this.state.term + 1, false)
  }

  campaign (transfer: boolean): void {
    const { identity, term } = this.state
    this.set({
      role: Role.Candidate, preVoting: false, term: term + 1, vote: identity, leader: '', votes: ImmutableMap([[identity, true]])
    })
    this.drawElection()
    if (this.quorum(() => false)) { this.becomeLeader(); return }
    this.requestVotes(MessageKind.Vote, this.state.term, transfer)
  }

  private requestVotes (kind: MessageKind.Vote | MessageKind.PreVote, term: number, transfer: boolean): void {
    const place = { lastIndex: lastIndex(this.state), lastTerm: lastTerm(this.state) }
    for (const voter of this.otherVoters) this.sendAfterSync(voter, { kind, term, transfer, ...place })
  }

  becomeLeader (): void {
    const { identity, now } = this.state
    this.set({ role: Role.Leader, leader: identity, peers: ImmutableMap(), heartbeatAt: now, readyIndex: lastIndex(this.state) + 1 })
    this.followMembers()
    this.appendOwn(EntryKind.Empty, new Uint8Array(0))
    this.sendAppends()
  }

  /** Keeps one progress for each other member. */
  followMembers (): void {
    const others = currentMembers(this.state).filter((member) => member.identity !== this.state.identity)
    const peers = others.map((member): [string, Progress] => [member.identity, this.state.peers.get(member.identity) ?? this.newProgress()])
    this.set({ peers: ImmutableMap(peers) })
  }

  private newProgress (): Progress {
    const { now } = this.state
    return { mode: ProgressMode.Probe, match: 0, next: lastIndex(this.state) + 1, inFlight: 0, heardAt: now, movedAt: now, sequence: 0 }
  }

  setPeer (identity: string, changes: Partial<Progress>): void {
    const progress = this.state.peers.get(identity)
    if (progress !== undefined) this.set({ peers: this.state.peers.set(identity, { ...progress, ...changes }) })
  }

  /** Appends an entry of the leader's own term. */
  appendOwn (kind: EntryKind, data: Uint8Array): ProposedEntry {
    const entry: Entry = { index: lastIndex(this.state) + 1, term: this.state.term, kind, data }
    this.appendEntries([entry])
    return { index: entry.index, term: entry.term }
  }

  appendEntries (entries: readonly Entry[]): void {
    this.state = withEntries(this.state, entries)
    this.append.push(...entries)
  }

  sendAppends (): void {
    for (const identity of this.state.peers.keys()) this.sendAppend(identity)
  }

  /** Sends what a member lacks, as far as its window allows. */
  sendAppend (identity: string): void {
    while (this.sendOneAppend(identity));
  }

  private sendOneAppend (identity: string): boolean {
    const progress = this.state.peers.get(identity)
    if (progress === undefined || !mayAppend(progress)) return false
    const previousTerm = termAt(this.state, progress.next - 1)
    if (previousTerm === undefined) { this.sendSnapshot(identity); return false }
    const entries = entriesForAppend(this.state, progress.next)
    const probing = progress.mode === ProgressMode.Probe
    if (entries.length === 0 && !probing) return false
    this.send(identity, {
      kind: MessageKind.Append, previousIndex: progress.next - 1, previousTerm, commit: this.state.commit, entries
    })
    this.setPeer(identity, { inFlight: progress.inFlight + 1, next: probing ? progress.next : progress.next + entries.length })
    return !probing
  }

  private sendSnapshot (identity: string): void {
    this.send(identity, { kind: MessageKind.Snapshot, head: this.state.snapshot, data: new Uint8Array(0) })
    this.setPeer(identity, { mode: ProgressMode.Snapshot, movedAt: this.state.now })
  }

  /** Starts over from the last known place when nothing moved for long: appends were lost. */
  retry (identity: string, progress: Progress): void {
    const { now, timing } = this.state
    const patience = progress.mode === ProgressMode.Snapshot ? SNAPSHOT_RETRY_MILLISECONDS : timing.heartbeat * RETRY_HEARTBEATS
    if (progress.match < lastIndex(this.state) && now - progress.movedAt >= patience) {
      this.setPeer(identity, { mode: ProgressMode.Probe, next: progress.match + 1, inFlight: 0, movedAt: now })
    }
    this.sendAppend(identity)
  }

  sendHeartbeats (): void {
    const { now, timing, commit, sequence } = this.state
    this.set({ heartbeatAt: now + timing.heartbeat })
    for (const [identity, progress] of this.state.peers) {
      this.send(identity, { kind: MessageKind.Heartbeat, commit: Math.min(commit, progress.match), sequence })
    }
  }

  /** Commits what a quorum has synced, once an entry of the own term is among it. */
  advanceCommit (): void {
    const { identity, synced, commit, term, peers } = this.state
    const members = currentMembers(this.state)
    const matches = votersOf(members).map((voter) => voter === identity ? synced : peers.get(voter)?.match ?? 0)
    const agreed = matches.sort((left, right) => right - left)[quorumOf(members) - 1] ?? 0
    if (agreed > commit && termAt(this.state, agreed) === term) this.set({ commit: agreed })
  }

  /** Lets the successor campaign as soon as it has the whole log. */
  continueTransfer (): void {
    const { transfer, peers } = this.state
    if (transfer === undefined || transfer.sent) return
    if (peers.get(transfer.target)?.match !== lastIndex(this.state)) return
    this.send(transfer.target, { kind: MessageKind.CampaignNow })
    this.set({ transfer: { ...transfer, sent: true } })
  }

  get changePending (): boolean {
    return changePending(this.state)
  }

  finish (): { readonly state: AgreementState, readonly output: Output } {
    const { role } = this.state
    if (role === Role.Follower || role === Role.Learner) this.set({ role: restingRole(this.state) })
    if (role === Role.Candidate && !isVoter(this.state)) this.becomeFollower(this.state.term, '')
    const { state, before, append, messages, afterSync, confirmed, failed, restore, proposed, refusal } = this
    const from = Math.max(before.commit, restore?.head.index ?? 0) + 1
    const committed = entriesBetween(state, from, state.commit)
    const hardStateChanged = state.term !== before.term || state.vote !== before.vote || state.cluster !== before.cluster
    const hardState = hardStateChanged ? { cluster: state.cluster, term: state.term, vote: state.vote } : undefined
    return { state, output: { restore, append, hardState, messages, afterSync, committed, confirmed, failed, proposed, refusal } }
  }
}

function mayAppend (progress: Progress): boolean {
  if (progress.mode === ProgressMode.Snapshot) return false
  return progress.inFlight < (progress.mode === ProgressMode.Probe ? 1 : IN_FLIGHT_MOST)
}
