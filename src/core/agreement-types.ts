/**
 * The data of the replicated log: members, entries, messages, inputs, outputs and state.
 */
import type { List, Map as ImmutableMap } from 'immutable'

/** What a member is at the moment. */
export enum Role {
  Follower = 'follower',
  Candidate = 'candidate',
  Leader = 'leader',
  /** A member without a vote. */
  Learner = 'learner'
}

/** One control host in the configuration of the log. */
export interface Member {
  /** Made with the data folder. */
  readonly identity: string
  /** IP number and port of its Peer service. */
  readonly address: string
  readonly voter: boolean
}

/** What an entry carries. */
export enum EntryKind {
  /** The first entry of a leader; its commit makes the leader ready. */
  Empty = 'empty',
  Data = 'data',
  /** The members from here on, as JSON. */
  Members = 'members'
}

/** One entry of the log. */
export interface Entry {
  readonly index: number
  readonly term: number
  readonly kind: EntryKind
  readonly data: Uint8Array
}

/** What must be on disk before a promise made in a term leaves this host. */
export interface HardState {
  /** Identifier of the cluster, empty until the member belongs to one. */
  readonly cluster: string
  readonly term: number
  /** Identity that got this member's vote in the term, empty for none. */
  readonly vote: string
}

/** Place and members of a snapshot. */
export interface SnapshotHead {
  readonly index: number
  readonly term: number
  readonly members: readonly Member[]
}

/** The kinds of messages between members. The values are the field names of PeerMessage on the wire. */
export enum MessageKind {
  PreVote = 'preVote',
  PreVoteReply = 'preVoteReply',
  Vote = 'vote',
  VoteReply = 'voteReply',
  Append = 'append',
  AppendReply = 'appendReply',
  Heartbeat = 'heartbeat',
  HeartbeatReply = 'heartbeatReply',
  Snapshot = 'snapshot',
  CampaignNow = 'campaignNow'
}

interface Envelope {
  readonly cluster: string
  readonly from: string
  readonly to: string
  readonly term: number
}

/** Asks for a vote; a pre-vote asks whether a vote would be given and changes nothing. */
export interface VoteMessage extends Envelope {
  readonly kind: MessageKind.Vote | MessageKind.PreVote
  readonly lastIndex: number
  readonly lastTerm: number
  /** The leader asked for this election, so the voter need not wait for the leader's lease. */
  readonly transfer: boolean
}

/** Answer to a request for a vote. The term is the one asked about where it was granted. */
export interface VoteReplyMessage extends Envelope {
  readonly kind: MessageKind.VoteReply | MessageKind.PreVoteReply
  readonly granted: boolean
}

/** Entries after a place at which both logs must agree. */
export interface AppendMessage extends Envelope {
  readonly kind: MessageKind.Append
  readonly previousIndex: number
  readonly previousTerm: number
  readonly commit: number
  readonly entries: readonly Entry[]
}

/** Sent when the entries are synced, or when the place did not agree. */
export interface AppendReplyMessage extends Envelope {
  readonly kind: MessageKind.AppendReply
  readonly accepted: boolean
  /** The last index that agrees and is synced; on a refusal the index to try before. */
  readonly match: number
  /** On a refusal, the term of the entry at that index. */
  readonly matchTerm: number
  /** On a refusal, the previous index that was refused. */
  readonly refused: number
}

/** Keeps followers from campaigning and confirms leadership for reads. */
export interface HeartbeatMessage extends Envelope {
  readonly kind: MessageKind.Heartbeat
  readonly commit: number
  readonly sequence: number
}

/** Answer to a heartbeat. */
export interface HeartbeatReplyMessage extends Envelope {
  readonly kind: MessageKind.HeartbeatReply
  readonly sequence: number
}

/** A whole state in place of entries that the leader no longer has. The core leaves the data empty; the replica adds them. */
export interface SnapshotMessage extends Envelope {
  readonly kind: MessageKind.Snapshot
  readonly head: SnapshotHead
  readonly data: Uint8Array
}

/** The leader hands over: the receiver campaigns at once. */
export interface CampaignNowMessage extends Envelope {
  readonly kind: MessageKind.CampaignNow
}

/** Any message between members. */
export type Message = VoteMessage | VoteReplyMessage | AppendMessage | AppendReplyMessage |
  HeartbeatMessage | HeartbeatReplyMessage | SnapshotMessage | CampaignNowMessage

/** The kinds of changes of members; each changes one member. */
export enum MemberChangeKind {
  AddLearner = 'add-learner',
  Promote = 'promote',
  Remove = 'remove'
}

/** One change of one member. */
export interface MemberChange {
  readonly kind: MemberChangeKind
  readonly identity: string
  /** Needed to add a learner. */
  readonly address?: string
}

/** Why the leader refused an input. */
export enum AgreementRefusal {
  NotLeader = 'not-leader',
  /** Another change of members is not committed yet. */
  ChangePending = 'change-pending',
  UnknownMember = 'unknown-member',
  AlreadyMember = 'already-member',
  /** The learner has not caught up. */
  NotCaughtUp = 'not-caught-up',
  /** The voters heard from lately would be no quorum after the change. */
  QuorumAtRisk = 'quorum-at-risk',
  /** The leader must hand over before it is removed. */
  IsLeader = 'is-leader',
  TooManyMembers = 'too-many-members',
  NoSuccessor = 'no-successor'
}

/** The kinds of inputs of the core. */
export enum InputKind {
  Tick = 'tick',
  Receive = 'receive',
  Propose = 'propose',
  /** Send what proposals and replies left to send. */
  Flush = 'flush',
  Synced = 'synced',
  Read = 'read',
  ChangeMembers = 'change-members',
  Transfer = 'transfer',
  /** A snapshot is on disk. */
  Compact = 'compact'
}

/** Time has passed. */
export interface TickInput { readonly kind: InputKind.Tick }
/** A message arrived. */
export interface ReceiveInput { readonly kind: InputKind.Receive, readonly message: Message }
/** The layer above wants data in the log. */
export interface ProposeInput { readonly kind: InputKind.Propose, readonly data: Uint8Array }
/** The replica has taken in all there is for now. */
export interface FlushInput { readonly kind: InputKind.Flush }
/** Everything put out up to this entry is synced. */
export interface SyncedInput { readonly kind: InputKind.Synced, readonly index: number, readonly term: number }
/** A caller wants leadership confirmed by a quorum. */
export interface ReadInput { readonly kind: InputKind.Read, readonly identifier: number }
/** An operator or the replica changes one member. */
export interface ChangeMembersInput { readonly kind: InputKind.ChangeMembers, readonly change: MemberChange }
/** The leader hands over to the voter that is furthest. */
export interface TransferInput { readonly kind: InputKind.Transfer }
/** Entries up to the kept index are no longer needed. */
export interface CompactInput { readonly kind: InputKind.Compact, readonly head: SnapshotHead, readonly keepFrom: number }

/** Any input of the core. */
export type Input = TickInput | ReceiveInput | ProposeInput | FlushInput | SyncedInput | ReadInput |
  ChangeMembersInput | TransferInput | CompactInput

/** Place of an accepted proposal. */
export interface ProposedEntry {
  readonly index: number
  readonly term: number
}

/** What the replica must do after a step, in this order. */
export interface Output {
  /** A snapshot from the leader replaces the state and the whole log. */
  readonly restore?: SnapshotMessage
  /** Entries to write; an index that was written before replaces everything from there on. */
  readonly append: readonly Entry[]
  readonly hardState?: HardState
  /** Messages that may leave at once. */
  readonly messages: readonly Message[]
  /** Messages that leave only when everything written up to now is synced. */
  readonly afterSync: readonly Message[]
  readonly committed: readonly Entry[]
  /** Identifiers of reads that a quorum confirmed. */
  readonly confirmed: readonly number[]
  /** Identifiers of reads that failed with the leadership. */
  readonly failed: readonly number[]
  readonly proposed?: ProposedEntry
  readonly refusal?: AgreementRefusal
}

/** How the leader sends to a member. */
export enum ProgressMode {
  /** One append at a time until a place of agreement is found. */
  Probe = 'probe',
  Replicate = 'replicate',
  Snapshot = 'snapshot'
}

/** What the leader knows of another member. */
export interface Progress {
  readonly mode: ProgressMode
  readonly match: number
  readonly next: number
  /** Last indexes of appends that are on their way. */
  readonly inFlight: number
  /** Milliseconds of the local clock. */
  readonly heardAt: number
  readonly movedAt: number
  readonly sequence: number
}

/** Members from an index on. */
export interface MembersAt {
  readonly index: number
  readonly members: readonly Member[]
}

/** A read that waits for a quorum. */
export interface PendingRead {
  readonly identifier: number
  readonly sequence: number
}

/** A leader on its way out. */
export interface Transfer {
  readonly target: string
  readonly deadline: number
  readonly sent: boolean
}

/** Times of the protocol, in milliseconds. */
export interface Timing {
  readonly heartbeat: number
  readonly electionLeast: number
  readonly electionMost: number
  /** Longest wait of a member that has just started for its first election. */
  readonly firstElectionMost: number
  /** A leader that has not heard from a quorum for so long steps down. */
  readonly lease: number
}

/** Everything one member knows. Only step makes a new one. */
export interface AgreementState {
  readonly identity: string
  readonly cluster: string
  readonly timing: Timing
  readonly seed: number
  /** Draws of the election timeout so far. */
  readonly draws: number
  /** Milliseconds of the local clock. */
  readonly now: number
  readonly role: Role
  readonly term: number
  readonly vote: string
  readonly leader: string
  /** Entries after the base. */
  readonly entries: List<Entry>
  readonly baseIndex: number
  readonly baseTerm: number
  readonly snapshot: SnapshotHead
  /** Members by index, oldest first; the last one counts. */
  readonly history: readonly MembersAt[]
  readonly commit: number
  /** Last own entry that is synced. */
  readonly synced: number
  readonly electionAt: number
  readonly leaderHeardAt: number
  readonly preVoting: boolean
  readonly votes: ImmutableMap<string, boolean>
  readonly peers: ImmutableMap<string, Progress>
  /** Index of the leader's own empty entry. */
  readonly readyIndex: number
  readonly heartbeatAt: number
  readonly sequence: number
  readonly reads: readonly PendingRead[]
  readonly transfer?: Transfer
}

/** What a member finds on its disk when it starts. */
export interface Recovered {
  readonly identity: string
  readonly hardState: HardState
  readonly snapshot: SnapshotHead
  readonly entries: readonly Entry[]
}
