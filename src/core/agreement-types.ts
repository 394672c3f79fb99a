/**
 * Types of the Raft core: members, log entries, messages, inputs, outputs and state.
 */
import type { List, Map as ImmutableMap } from 'immutable'

/** Current Raft role of a member. */
export enum AgreementRole {
  Follower = 'follower',
  Candidate = 'candidate',
  Leader = 'leader',
  /** Replicates the log without voting. */
  Learner = 'learner'
}

/** A control host in the membership of the cluster. */
export interface ClusterMember {
  /** Generated with the data folder, so a host that lost its disk comes back under a new identity. */
  readonly identity: string
  /** IP address and port of its Peer service. */
  readonly address: string
  readonly voter: boolean
}

/** The payload type of an entry. */
export enum EntryKind {
  /** Appended by a new leader. Once it is committed, the leader accepts proposals and reads. */
  Empty = 'empty',
  Data = 'data',
  /** The membership from this entry on, as JSON. */
  Members = 'members'
}

/** An entry of the replicated log. */
export interface LogEntry {
  readonly index: number
  readonly term: number
  readonly kind: EntryKind
  readonly data: Uint8Array
}

/** State that must be synced to disk before any message that depends on it is sent. */
export interface HardState {
  /** Identifier of the cluster, empty until the member has joined one. */
  readonly cluster: string
  readonly term: number
  /** Candidate this member voted for in the term, empty for none. */
  readonly vote: string
}

/** Last index and term that a snapshot covers, and the membership there. */
export interface SnapshotHead {
  readonly index: number
  readonly term: number
  readonly members: readonly ClusterMember[]
}

/** Messages between members. The values are the field names of PeerMessage on the wire. */
export enum AgreementMessageKind {
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

/** Requests a vote. A pre-vote asks whether the vote would be granted and changes no state at the receiver. */
export interface VoteMessage extends Envelope {
  readonly kind: AgreementMessageKind.Vote | AgreementMessageKind.PreVote
  readonly lastIndex: number
  readonly lastTerm: number
  /** The leader requested this election, so voters ignore its lease. */
  readonly transfer: boolean
}

/** Reply to a vote or pre-vote request. A granted pre-vote carries the requested term, not the voter's own. */
export interface VoteReplyMessage extends Envelope {
  readonly kind: AgreementMessageKind.VoteReply | AgreementMessageKind.PreVoteReply
  readonly granted: boolean
}

/** Entries to append after the previous index, where the two logs must match. */
export interface AppendMessage extends Envelope {
  readonly kind: AgreementMessageKind.Append
  readonly previousIndex: number
  readonly previousTerm: number
  readonly commit: number
  readonly entries: readonly LogEntry[]
}

/** Sent when the entries are synced, or when the logs did not match at the previous index. */
export interface AppendReplyMessage extends Envelope {
  readonly kind: AgreementMessageKind.AppendReply
  readonly accepted: boolean
  /** When accepted, the last index that matches and is synced. When rejected, the last index at which the logs may match. */
  readonly match: number
  /** When rejected, the term of the entry at `match`. */
  readonly matchTerm: number
  /** When rejected, the previous index of the rejected append. */
  readonly refused: number
}

/** Keeps followers from campaigning. The sequence number confirms leadership for reads. */
export interface HeartbeatMessage extends Envelope {
  readonly kind: AgreementMessageKind.Heartbeat
  readonly commit: number
  readonly sequence: number
}

/** Reply to a heartbeat, with its sequence number. */
export interface HeartbeatReplyMessage extends Envelope {
  readonly kind: AgreementMessageKind.HeartbeatReply
  readonly sequence: number
}

/** A snapshot in place of entries that the leader has compacted. The core leaves `data` empty; the replica reads it from disk. */
export interface SnapshotMessage extends Envelope {
  readonly kind: AgreementMessageKind.Snapshot
  readonly head: SnapshotHead
  readonly data: Uint8Array
}

/** Transfers leadership: the receiver starts an election at once. */
export interface CampaignNowMessage extends Envelope {
  readonly kind: AgreementMessageKind.CampaignNow
}

/** Any message between members. */
export type AgreementMessage = VoteMessage | VoteReplyMessage | AppendMessage | AppendReplyMessage |
  HeartbeatMessage | HeartbeatReplyMessage | SnapshotMessage | CampaignNowMessage

/** Membership changes; each concerns a single member. */
export enum MemberChangeKind {
  AddLearner = 'add-learner',
  Promote = 'promote',
  Remove = 'remove'
}

/** A change of a single member. */
export interface MemberChange {
  readonly kind: MemberChangeKind
  readonly identity: string
  /** Required when adding a learner. */
  readonly address?: string
}

/** Why an input was refused. */
export enum AgreementRefusal {
  ReplicaRefusal = 'not-leader',
  /** The previous membership change is not committed yet. */
  ChangePending = 'change-pending',
  UnknownMember = 'unknown-member',
  AlreadyMember = 'already-member',
  /** The learner's log is too far behind the leader's. */
  NotCaughtUp = 'not-caught-up',
  /** After the change, the voters that replied within the leader lease would not form a quorum. */
  QuorumAtRisk = 'quorum-at-risk',
  /** A leader must transfer leadership before it can be removed. */
  IsLeader = 'is-leader',
  TooManyMembers = 'too-many-members',
  /** No other voter replied within the leader lease. */
  NoSuccessor = 'no-successor'
}

/** Inputs of the core. */
export enum InputKind {
  Tick = 'tick',
  Receive = 'receive',
  Propose = 'propose',
  /** Sends the appends, and the heartbeats that confirm reads, that earlier inputs left pending. */
  Flush = 'flush',
  Synced = 'synced',
  Read = 'read',
  ChangeMembers = 'change-members',
  Transfer = 'transfer',
  /** A snapshot has been saved; drops the entries that it covers. */
  Compact = 'compact'
}

/** Checks the timeouts against the current time. */
export interface TickInput { readonly kind: InputKind.Tick }
/** A message arrived. */
export interface ReceiveInput { readonly kind: InputKind.Receive, readonly message: AgreementMessage }
/** Data to append to the log. */
export interface ProposeInput { readonly kind: InputKind.Propose, readonly data: Uint8Array }
/** Ends a batch of inputs. */
export interface FlushInput { readonly kind: InputKind.Flush }
/** Everything written up to this entry is synced. */
export interface SyncedInput { readonly kind: InputKind.Synced, readonly index: number, readonly term: number }
/** A linearizable read: asks a quorum to confirm the leadership. */
export interface ReadInput { readonly kind: InputKind.Read, readonly identifier: number }
/** A membership change requested by an operator or by the replica. */
export interface ChangeMembersInput { readonly kind: InputKind.ChangeMembers, readonly change: MemberChange }
/** Transfers leadership to the reachable voter with the most complete log. */
export interface TransferInput { readonly kind: InputKind.Transfer }
/** Drops entries before `keepFrom`, as far as the snapshot covers them. */
export interface CompactInput { readonly kind: InputKind.Compact, readonly head: SnapshotHead, readonly keepFrom: number }

/** Any input of the core. */
export type Input = TickInput | ReceiveInput | ProposeInput | FlushInput | SyncedInput | ReadInput |
  ChangeMembersInput | TransferInput | CompactInput

/** Index and term given to an accepted proposal. */
export interface ProposedEntry {
  readonly index: number
  readonly term: number
}

/** What the replica must do after a step, in the order of the fields. */
export interface Output {
  /** Snapshot from the leader, which replaces the state and the entire log. */
  readonly restore?: SnapshotMessage
  /** Entries to write. An index that was already written truncates the log from there on. */
  readonly append: readonly LogEntry[]
  readonly hardState?: HardState
  /** Messages to send at once. */
  readonly messages: readonly AgreementMessage[]
  /** Messages to send only after everything written so far is synced. */
  readonly afterSync: readonly AgreementMessage[]
  /** Newly committed entries, to be applied. */
  readonly committed: readonly LogEntry[]
  /** Identifiers of reads for which a quorum confirmed the leadership. */
  readonly confirmed: readonly number[]
  /** Identifiers of reads that failed because the leader stepped down. */
  readonly failed: readonly number[]
  readonly proposed?: ProposedEntry
  readonly refusal?: AgreementRefusal
}

/** How the leader replicates to a member. */
export enum ProgressMode {
  /** One append at a time until the last matching index is known. */
  Probe = 'probe',
  /** Pipelined appends, up to the in-flight limit. */
  Replicate = 'replicate',
  /** Waits for a snapshot to be installed; no appends. */
  Snapshot = 'snapshot'
}

/** Replication progress of another member, kept by the leader. */
export interface Progress {
  readonly mode: ProgressMode
  /** Highest index known to be synced at the member. */
  readonly match: number
  /** Index of the next entry to send. */
  readonly next: number
  /** Number of appends sent and not yet answered. */
  readonly inFlight: number
  /** Last reply of any kind, in milliseconds of the local clock. */
  readonly lastReplyAt: number
  /** Last change of the replication position, in milliseconds of the local clock. */
  readonly lastProgressAt: number
  /** Highest heartbeat sequence number that the member has answered. */
  readonly sequence: number
}

/** The membership in force from an index on. */
export interface MembershipVersion {
  readonly index: number
  readonly members: readonly ClusterMember[]
}

/** A read that waits until a quorum has answered a heartbeat with this or a later sequence number. */
export interface PendingRead {
  readonly identifier: number
  readonly sequence: number
}

/** A leadership transfer in progress. The leader accepts no proposals until it is over. */
export interface Transfer {
  readonly target: string
  /** When the transfer is abandoned, in milliseconds of the local clock. */
  readonly deadline: number
  /** Whether the target was told to campaign. */
  readonly sent: boolean
}

/** Intervals and timeouts of the protocol. */
export interface Timing {
  readonly heartbeatMilliseconds: number
  readonly minElectionMilliseconds: number
  readonly maxElectionMilliseconds: number
  /** Upper bound of the election timeout of a member that has just started. */
  readonly maxFirstElectionMilliseconds: number
  /** A leader steps down when no quorum has replied to it for this long. */
  readonly leaseMilliseconds: number
}

/** Complete state of a member. Immutable; `stepAgreement` returns the next one. */
export interface AgreementState {
  readonly identity: string
  readonly cluster: string
  readonly timing: Timing
  /** Seed of the random election timeouts. */
  readonly seed: number
  /** Number of election timeouts drawn so far. */
  readonly timeoutDraws: number
  /** Time of the last input, in milliseconds of the local clock. */
  readonly now: number
  readonly role: AgreementRole
  readonly term: number
  readonly vote: string
  /** Identity of the leader of the term, empty where unknown. */
  readonly leader: string
  /** Entries after `baseIndex`. */
  readonly entries: List<LogEntry>
  /** Index of the last compacted entry. */
  readonly baseIndex: number
  readonly baseTerm: number
  readonly snapshot: SnapshotHead
  /** Memberships by index, oldest first. The last one is in force even before it is committed. */
  readonly membershipHistory: readonly MembershipVersion[]
  readonly commit: number
  /** Index of the last entry synced on this host. */
  readonly synced: number
  readonly electionDueAt: number
  readonly lastLeaderContactAt: number
  /** Whether a candidate is in the pre-vote round. */
  readonly preVoting: boolean
  /** Replies to the vote requests of this candidate, by voter. */
  readonly votes: ImmutableMap<string, boolean>
  readonly peers: ImmutableMap<string, Progress>
  /** Index of the empty entry that this leader appended when it was elected. */
  readonly readyIndex: number
  readonly heartbeatDueAt: number
  /** Sequence number of the last heartbeat round. */
  readonly sequence: number
  readonly reads: readonly PendingRead[]
  readonly transfer?: Transfer
}

/** State that a member reads from its data folder when it starts. */
export interface RecoveredState {
  readonly identity: string
  readonly hardState: HardState
  readonly snapshot: SnapshotHead
  readonly entries: readonly LogEntry[]
}
