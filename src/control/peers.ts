/**
 * The gRPC transport between control hosts: one stream to each other member, and one call for each snapshot. Messages may
 * be lost, delayed, duplicated or reordered; the agreement core tolerates this.
 */
import { createHash } from 'node:crypto'
import {
  Metadata, credentials as grpcCredentials, status, type ChannelCredentials, type ClientWritableStream, type Server,
  type ServerReadableStream, type ServiceError, type sendUnaryData
} from '@grpc/grpc-js'
import { err, ok, type Result } from 'neverthrow'
import { AgreementMessageKind, type LogEntry, type ClusterMember, type AgreementMessage, type SnapshotMessage } from '../core/agreement'
import {
  PeerClient, PeerService, type IdentifyReply, type JoinReply, type JoinRequest, type PeerEntry, type PeerMessage, type PeerSnapshotHead, type SnapshotChunk
} from '../wire/index'
import { entryKindNumber, entryKindOf } from './log-format'
import type { Snapshot } from './storage'

const SNAPSHOT_CHUNK_BYTES = 256 * 1024
/** Size of the unsent messages to a member above which further ones are dropped. */
const MAX_QUEUED_BYTES = 16 * 1024 * 1024
const RECONNECT_DELAY_MILLISECONDS = 100
/** Delay before reconnecting to an address that belongs to another member or cluster. */
const WRONG_IDENTITY_DELAY_MILLISECONDS = 1000
const CALL_TIMEOUT_MILLISECONDS = 1000
const INSTALL_TIMEOUT_MILLISECONDS = 60_000
const MESSAGE_OVERHEAD_BYTES = 64

/** Channel options between control hosts: no retries by the library, and keepalives that detect unresponsive peers. */
const channelOptions = {
  'grpc.enable_retries': 0,
  // An unresponsive channel must be replaced well within the time of one or two elections.
  'grpc.keepalive_time_ms': 500,
  'grpc.keepalive_timeout_ms': 500,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 500,
  'grpc.max_receive_message_length': 16 * 1024 * 1024,
  'grpc.max_send_message_length': 16 * 1024 * 1024
}

/** What the transport needs from the replica. */
export interface PeerHandlers {
  identity (): string
  cluster (): string
  members (): readonly ClusterMember[]
  receive (message: AgreementMessage): void
  identify (): IdentifyReply
  join (request: JoinRequest): JoinReply
  /** Reads the newest snapshot from disk, to send it to a member. */
  snapshot (): Promise<Snapshot | undefined>
  log (event: string, fields: object): void
}

interface Connection {
  readonly address: string
  readonly client: PeerClient
  stream?: ClientWritableStream<PeerMessage>
  queuedBytes: number
  reconnectAt: number
  installingSnapshot: boolean
}

/** The cluster and the identities of the sender and the receiver, sent as call metadata. */
interface Route {
  readonly cluster: string
  readonly from: string
  readonly to: string
}

/** The empty reply of the streaming calls. */
type Received = Record<string, never>

/** The connections to the other control hosts. */
export class Peers {
  private readonly connections = new Map<string, Connection>()
  /** Addresses announced on incoming calls, for members that are not in the log yet. */
  private readonly learnedAddresses = new Map<string, string>()

  private constructor (
    private readonly address: string,
    private readonly handlers: PeerHandlers,
    private readonly credentials: ChannelCredentials
  ) {}

  /**
   * Adds the Peer service to a server that is not bound yet.
   * @param server - the server
   * @param address - this host's own peer address
   * @param handlers - callbacks into the replica
   * @param credentials - credentials of the outgoing channels, insecure by default
   * @returns the peers
   */
  static create (server: Server, address: string, handlers: PeerHandlers, credentials?: ChannelCredentials): Peers {
    const peers = new Peers(address, handlers, credentials ?? grpcCredentials.createInsecure())
    server.addService(PeerService, {
      exchange: (call: ServerReadableStream<PeerMessage, Received>, callback: sendUnaryData<Received>) => { peers.onExchange(call, callback) },
      install: (call: ServerReadableStream<SnapshotChunk, Received>, callback: sendUnaryData<Received>) => { peers.onInstall(call, callback) },
      identify: (_call: unknown, callback: sendUnaryData<IdentifyReply>) => { callback(null, handlers.identify()) },
      join: (call: { request: JoinRequest }, callback: sendUnaryData<JoinReply>) => { callback(null, handlers.join(call.request)) }
    })
    return peers
  }

  /**
   * Sends a message. The message is dropped if the receiver is unreachable or its send queue is full.
   * @param message - the message
   */
  send (message: AgreementMessage): void {
    const address = this.addressOf(message.to)
    if (address === undefined) return
    const connection = this.connectionTo(message.to, address)
    if (message.kind === AgreementMessageKind.Snapshot) { this.install(connection, message); return }
    const stream = this.streamOf(connection, message)
    const bytes = messageBytes(message)
    if (stream === undefined || connection.queuedBytes + bytes > MAX_QUEUED_BYTES) return
    connection.queuedBytes += bytes
    stream.write(toWire(message), () => { connection.queuedBytes -= bytes })
  }

  /**
   * @param identity - identity of a member
   * @returns its address in the member list of the log, or else the one it last announced
   */
  addressOf (identity: string): string | undefined {
    return this.handlers.members().find((member) => member.identity === identity)?.address ?? this.learnedAddresses.get(identity)
  }

  /**
   * Asks the control host at an address for its identity and cluster.
   * @param address - IP address and port
   * @returns its reply, or the error
   */
  async identify (address: string): Promise<Result<IdentifyReply, ServiceError>> {
    return await this.callOnce(address, (client, deadline, done) => { client.identify({}, new Metadata(), { deadline }, done) })
  }

  /**
   * Asks a control host to add this one as a learner.
   * @param address - address of the host to ask
   * @param identity - this host's identity
   * @returns its reply, or the error
   */
  async join (address: string, identity: string): Promise<Result<JoinReply, ServiceError>> {
    const request: JoinRequest = { identity, address: this.address }
    return await this.callOnce(address, (client, deadline, done) => { client.join(request, new Metadata(), { deadline }, done) })
  }

  /** Closes all channels. */
  close (): void {
    for (const connection of this.connections.values()) closeConnection(connection)
    this.connections.clear()
  }

  /** Closes the connections to hosts that are no longer members. */
  closeFormerMembers (): void {
    const members = new Set(this.handlers.members().map((member) => member.identity))
    for (const [identity, connection] of this.connections) {
      if (members.has(identity) || members.size === 0) continue
      closeConnection(connection)
      this.connections.delete(identity)
    }
  }

  private async callOnce<T> (
    address: string, call: (client: PeerClient, deadline: number, done: (error: ServiceError | null, reply: T) => void) => void
  ): Promise<Result<T, ServiceError>> {
    const client = new PeerClient(address, this.credentials, channelOptions)
    const result = await new Promise<Result<T, ServiceError>>((resolve) => {
      call(client, Date.now() + CALL_TIMEOUT_MILLISECONDS, (error, reply) => { resolve(error === null ? ok(reply) : err(error)) })
    })
    client.close()
    return result
  }

  private connectionTo (identity: string, address: string): Connection {
    const known = this.connections.get(identity)
    if (known !== undefined && known.address === address) return known
    if (known !== undefined) closeConnection(known)
    const client = new PeerClient(address, this.credentials, channelOptions)
    const connection: Connection = { address, client, queuedBytes: 0, reconnectAt: 0, installingSnapshot: false }
    this.connections.set(identity, connection)
    return connection
  }

  private streamOf (connection: Connection, message: AgreementMessage): ClientWritableStream<PeerMessage> | undefined {
    if (connection.stream !== undefined) return connection.stream
    if (performance.now() < connection.reconnectAt) return undefined
    const stream = connection.client.exchange(this.metadata(message), (error) => {
      if (connection.stream !== stream) return
      connection.stream = undefined
      connection.queuedBytes = 0
      const wrongIdentity = error?.code === status.FAILED_PRECONDITION
      connection.reconnectAt = performance.now() + (wrongIdentity ? WRONG_IDENTITY_DELAY_MILLISECONDS : RECONNECT_DELAY_MILLISECONDS)
    })
    stream.on('error', () => {})
    connection.stream = stream
    connection.queuedBytes = 0
    return stream
  }

  private metadata (route: Route): Metadata {
    const metadata = new Metadata()
    metadata.set('cluster', route.cluster)
    metadata.set('from', route.from)
    metadata.set('to', route.to)
    metadata.set('address', this.address)
    return metadata
  }

  /** Reads the route from the metadata of a call; undefined if the call is not addressed to this member and cluster. */
  private routeOf (metadata: Metadata): Route | undefined {
    const [cluster, from, to, address] = ['cluster', 'from', 'to', 'address'].map((key) => String(metadata.get(key)[0] ?? ''))
    if (cluster === undefined || from === undefined || to !== this.handlers.identity()) return undefined
    const own = this.handlers.cluster()
    if (cluster === '' || (own !== '' && own !== cluster)) return undefined
    if (address !== undefined && address !== '') this.learnedAddresses.set(from, address)
    return { cluster, from, to }
  }

  private onExchange (call: ServerReadableStream<PeerMessage, Received>, callback: sendUnaryData<Received>): void {
    const route = this.routeOf(call.metadata)
    if (route === undefined) { rejectWrongIdentity(callback); return }
    call.on('data', (message: PeerMessage) => {
      const received = fromWire(message, route)
      if (received !== undefined) this.handlers.receive(received)
    })
    call.on('end', () => { callback(null, {}) })
    call.on('error', () => {})
  }

  private async install (connection: Connection, message: SnapshotMessage): Promise<void> {
    if (connection.installingSnapshot) return
    connection.installingSnapshot = true
    const snapshot = await this.handlers.snapshot()
    if (snapshot === undefined) { connection.installingSnapshot = false; return }
    const call = connection.client.install(this.metadata(message), { deadline: Date.now() + INSTALL_TIMEOUT_MILLISECONDS }, () => { connection.installingSnapshot = false })
    call.on('error', () => {})
    for (const chunk of chunksOf(snapshot, message.term)) {
      if (!call.write(chunk)) await new Promise<void>((resolve) => { call.once('drain', resolve).once('close', resolve).once('error', () => { resolve() }) })
      if (!connection.installingSnapshot) return
    }
    call.end()
  }

  private onInstall (call: ServerReadableStream<SnapshotChunk, Received>, callback: sendUnaryData<Received>): void {
    const route = this.routeOf(call.metadata)
    if (route === undefined) { rejectWrongIdentity(callback); return }
    let head: PeerSnapshotHead | undefined
    const parts: Uint8Array[] = []
    call.on('data', (chunk: SnapshotChunk) => {
      head ??= chunk.head
      parts.push(chunk.data)
    })
    call.on('end', () => {
      const message = head === undefined ? undefined : snapshotMessage(head, Buffer.concat(parts), route)
      if (message === undefined) { callback({ code: status.DATA_LOSS, details: 'snapshot digest mismatch' }); return }
      this.handlers.receive(message)
      callback(null, {})
    })
    call.on('error', () => {})
  }
}

function rejectWrongIdentity (callback: sendUnaryData<Received>): void {
  callback({ code: status.FAILED_PRECONDITION, details: 'this address belongs to another member or cluster' })
}

function closeConnection (connection: Connection): void {
  connection.stream?.cancel()
  connection.stream = undefined
  connection.client.close()
}

function messageBytes (message: AgreementMessage): number {
  if (message.kind !== AgreementMessageKind.Append) return MESSAGE_OVERHEAD_BYTES
  return message.entries.reduce((sum, entry) => sum + entry.data.length + MESSAGE_OVERHEAD_BYTES, MESSAGE_OVERHEAD_BYTES)
}

/** Encodes a message. The fields that are not in the metadata are put under the wire field whose name is the value of the message kind. */
function toWire (message: AgreementMessage): PeerMessage {
  const { kind, cluster: _cluster, from: _from, to: _to, term, ...rest } = message
  const value = message.kind === AgreementMessageKind.Append ? { ...rest, entries: message.entries.map(entryToWire) } : rest
  return { term, body: { $case: kind, value } as PeerMessage['body'] }
}

function fromWire (message: PeerMessage, route: Route): AgreementMessage | undefined {
  const { term, body } = message
  if (body === undefined) return undefined
  const value = body.$case === 'append' ? { ...body.value, entries: body.value.entries.map(entryFromWire) } : body.value
  return { ...value, kind: body.$case, ...route, term } as AgreementMessage
}

function entryToWire (entry: LogEntry): PeerEntry {
  return { index: entry.index, term: entry.term, kind: entryKindNumber(entry), data: Buffer.from(entry.data.buffer, entry.data.byteOffset, entry.data.byteLength) }
}

function entryFromWire (entry: PeerEntry): LogEntry {
  return { index: entry.index, term: entry.term, kind: entryKindOf(entry.kind), data: entry.data }
}

function * chunksOf (snapshot: Snapshot, leaderTerm: number): Generator<SnapshotChunk> {
  const { head, data } = snapshot
  const digest = createHash('sha256').update(data).digest()
  yield { head: { ...head, members: [...head.members], length: data.length, digest, leaderTerm }, data: Buffer.alloc(0) }
  for (let start = 0; start < data.length; start += SNAPSHOT_CHUNK_BYTES) {
    yield { head: undefined, data: Buffer.from(data.subarray(start, start + SNAPSHOT_CHUNK_BYTES)) }
  }
}

function snapshotMessage (head: PeerSnapshotHead, data: Uint8Array, route: Route): SnapshotMessage | undefined {
  const digest = createHash('sha256').update(data).digest()
  if (head.length !== data.length || !digest.equals(head.digest)) return undefined
  const { index, term, members, leaderTerm } = head
  return { kind: AgreementMessageKind.Snapshot, ...route, term: leaderTerm, head: { index, term, members }, data }
}
