/**
 * The messages between control hosts over gRPC: one stream to each other member, one call for each snapshot.
 * Messages may be lost, late, doubled or out of order; the core of the agreement allows for it.
 */
import { createHash } from 'node:crypto'
import {
  Metadata, credentials as grpcCredentials, status, type ChannelCredentials, type ClientWritableStream, type Server,
  type ServerReadableStream, type ServiceError, type sendUnaryData
} from '@grpc/grpc-js'
import { err, ok, type Result } from 'neverthrow'
import { MessageKind, type Entry, type Member, type Message, type SnapshotMessage } from '../core/agreement'
import {
  PeerClient, PeerService, type IdentifyReply, type JoinReply, type JoinRequest, type PeerEntry, type PeerMessage, type PeerSnapshotHead, type SnapshotChunk
} from '../wire/index'
import { entryKindNumber, entryKindOf } from './records'
import type { Snapshot } from './storage'

const CHUNK_BYTES = 256 * 1024
const WAITING_BYTES_MOST = 16 * 1024 * 1024
const REOPEN_MILLISECONDS = 100
const WRONG_IDENTITY_MILLISECONDS = 1000
const CALL_MILLISECONDS = 1000
const INSTALL_MILLISECONDS = 60_000
const MESSAGE_OVERHEAD_BYTES = 64

/** Settings of the channels between control hosts: no retries by the library, and silence is noticed. */
const channelOptions = {
  'grpc.enable_retries': 0,
  // A channel that goes silent must be left for a new one well within the time of an election or two.
  'grpc.keepalive_time_ms': 500,
  'grpc.keepalive_timeout_ms': 500,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 500,
  'grpc.max_receive_message_length': 16 * 1024 * 1024,
  'grpc.max_send_message_length': 16 * 1024 * 1024
}

/** What the peers ask of the replica. */
export interface PeerHandlers {
  identity (): string
  cluster (): string
  members (): readonly Member[]
  receive (message: Message): void
  identify (): IdentifyReply
  join (request: JoinRequest): JoinReply
  /** The newest snapshot on disk, for a member that needs it. */
  snapshot (): Promise<Snapshot | undefined>
  log (event: string, fields: object): void
}

interface Link {
  readonly address: string
  readonly client: PeerClient
  stream?: ClientWritableStream<PeerMessage>
  waitingBytes: number
  reopenAt: number
  installing: boolean
}

interface Ends {
  readonly cluster: string
  readonly from: string
  readonly to: string
}

type Received = Record<string, never>

/** The other control hosts as seen from this one. */
export class Peers {
  private readonly links = new Map<string, Link>()
  /** Addresses learned from streams that came in, for members that are not in the log yet. */
  private readonly learned = new Map<string, string>()

  private constructor (
    private readonly address: string,
    private readonly handlers: PeerHandlers,
    private readonly credentials: ChannelCredentials
  ) {}

  /**
   * Adds the Peer service to a server that is not bound yet.
   * @param server - the server
   * @param address - this host's own address
   * @param handlers - the replica
   * @param credentials - for the channels to the others, insecure where none are given
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
   * Sends a message, or drops it where the receiver cannot be reached or takes nothing.
   * @param message - the message
   */
  send (message: Message): void {
    const address = this.addressOf(message.to)
    if (address === undefined) return
    const link = this.link(message.to, address)
    if (message.kind === MessageKind.Snapshot) { this.install(link, message); return }
    const stream = this.streamOf(link, message)
    const bytes = messageBytes(message)
    if (stream === undefined || link.waitingBytes + bytes > WAITING_BYTES_MOST) return
    link.waitingBytes += bytes
    stream.write(toWire(message), () => { link.waitingBytes -= bytes })
  }

  /**
   * @param identity - a member
   * @returns its address by the members of the log, or as it last told it
   */
  addressOf (identity: string): string | undefined {
    return this.handlers.members().find((member) => member.identity === identity)?.address ?? this.learned.get(identity)
  }

  /**
   * Asks who lives at an address.
   * @param address - IP number and port
   * @returns its answer, or the error
   */
  async identify (address: string): Promise<Result<IdentifyReply, ServiceError>> {
    return await this.once(address, (client, deadline, done) => { client.identify({}, new Metadata(), { deadline }, done) })
  }

  /**
   * Asks a control host to add this one as a learner.
   * @param address - whom to ask
   * @param identity - this host's identity
   * @returns its answer, or the error
   */
  async join (address: string, identity: string): Promise<Result<JoinReply, ServiceError>> {
    const request: JoinRequest = { identity, address: this.address }
    return await this.once(address, (client, deadline, done) => { client.join(request, new Metadata(), { deadline }, done) })
  }

  /** Closes all channels. */
  close (): void {
    for (const link of this.links.values()) closeLink(link)
    this.links.clear()
  }

  /** Closes the channels to hosts that are no longer members. */
  forgetOthers (): void {
    const members = new Set(this.handlers.members().map((member) => member.identity))
    for (const [identity, link] of this.links) {
      if (members.has(identity) || members.size === 0) continue
      closeLink(link)
      this.links.delete(identity)
    }
  }

  private async once<T> (
    address: string, call: (client: PeerClient, deadline: number, done: (error: ServiceError | null, reply: T) => void) => void
  ): Promise<Result<T, ServiceError>> {
    const client = new PeerClient(address, this.credentials, channelOptions)
    const result = await new Promise<Result<T, ServiceError>>((resolve) => {
      call(client, Date.now() + CALL_MILLISECONDS, (error, reply) => { resolve(error === null ? ok(reply) : err(error)) })
    })
    client.close()
    return result
  }

  private link (identity: string, address: string): Link {
    const known = this.links.get(identity)
    if (known !== undefined && known.address === address) return known
    if (known !== undefined) closeLink(known)
    const client = new PeerClient(address, this.credentials, channelOptions)
    const link: Link = { address, client, waitingBytes: 0, reopenAt: 0, installing: false }
    this.links.set(identity, link)
    return link
  }

  private streamOf (link: Link, message: Message): ClientWritableStream<PeerMessage> | undefined {
    if (link.stream !== undefined) return link.stream
    if (performance.now() < link.reopenAt) return undefined
    const stream = link.client.exchange(this.metadata(message), (error) => {
      if (link.stream !== stream) return
      link.stream = undefined
      link.waitingBytes = 0
      const wrong = error?.code === status.FAILED_PRECONDITION
      link.reopenAt = performance.now() + (wrong ? WRONG_IDENTITY_MILLISECONDS : REOPEN_MILLISECONDS)
    })
    stream.on('error', () => {})
    link.stream = stream
    link.waitingBytes = 0
    return stream
  }

  private metadata (ends: Ends): Metadata {
    const metadata = new Metadata()
    metadata.set('cluster', ends.cluster)
    metadata.set('from', ends.from)
    metadata.set('to', ends.to)
    metadata.set('address', this.address)
    return metadata
  }

  /** The ends that a stream states, or undefined where it is not meant for this member. */
  private endsOf (metadata: Metadata): Ends | undefined {
    const [cluster, from, to, address] = ['cluster', 'from', 'to', 'address'].map((key) => String(metadata.get(key)[0] ?? ''))
    if (cluster === undefined || from === undefined || to !== this.handlers.identity()) return undefined
    const own = this.handlers.cluster()
    if (cluster === '' || (own !== '' && own !== cluster)) return undefined
    if (address !== undefined && address !== '') this.learned.set(from, address)
    return { cluster, from, to }
  }

  private onExchange (call: ServerReadableStream<PeerMessage, Received>, callback: sendUnaryData<Received>): void {
    const ends = this.endsOf(call.metadata)
    if (ends === undefined) { refuse(callback); return }
    call.on('data', (message: PeerMessage) => {
      const received = fromWire(message, ends)
      if (received !== undefined) this.handlers.receive(received)
    })
    call.on('end', () => { callback(null, {}) })
    call.on('error', () => {})
  }

  private async install (link: Link, message: SnapshotMessage): Promise<void> {
    if (link.installing) return
    link.installing = true
    const snapshot = await this.handlers.snapshot()
    if (snapshot === undefined) { link.installing = false; return }
    const call = link.client.install(this.metadata(message), { deadline: Date.now() + INSTALL_MILLISECONDS }, () => { link.installing = false })
    call.on('error', () => {})
    for (const chunk of chunksOf(snapshot, message.term)) {
      if (!call.write(chunk)) await new Promise<void>((resolve) => { call.once('drain', resolve).once('close', resolve).once('error', () => { resolve() }) })
      if (!link.installing) return
    }
    call.end()
  }

  private onInstall (call: ServerReadableStream<SnapshotChunk, Received>, callback: sendUnaryData<Received>): void {
    const ends = this.endsOf(call.metadata)
    if (ends === undefined) { refuse(callback); return }
    let head: PeerSnapshotHead | undefined
    const parts: Uint8Array[] = []
    call.on('data', (chunk: SnapshotChunk) => {
      head ??= chunk.head
      parts.push(chunk.data)
    })
    call.on('end', () => {
      const message = head === undefined ? undefined : snapshotMessage(head, Buffer.concat(parts), ends)
      if (message === undefined) { callback({ code: status.DATA_LOSS, details: 'the digest of the snapshot is wrong' }); return }
      this.handlers.receive(message)
      callback(null, {})
    })
    call.on('error', () => {})
  }
}

function refuse (callback: sendUnaryData<Received>): void {
  callback({ code: status.FAILED_PRECONDITION, details: 'another identity lives at this address' })
}

function closeLink (link: Link): void {
  link.stream?.cancel()
  link.stream = undefined
  link.client.close()
}

function messageBytes (message: Message): number {
  if (message.kind !== MessageKind.Append) return MESSAGE_OVERHEAD_BYTES
  return message.entries.reduce((sum, entry) => sum + entry.data.length + MESSAGE_OVERHEAD_BYTES, MESSAGE_OVERHEAD_BYTES)
}

/** The fields of a message that are not in the metadata stand under its kind, whose value is the field name on the wire. */
function toWire (message: Message): PeerMessage {
  const { kind, cluster: _cluster, from: _from, to: _to, term, ...rest } = message
  const value = message.kind === MessageKind.Append ? { ...rest, entries: message.entries.map(entryToWire) } : rest
  return { term, body: { $case: kind, value } as PeerMessage['body'] }
}

function fromWire (message: PeerMessage, ends: Ends): Message | undefined {
  const { term, body } = message
  if (body === undefined) return undefined
  const value = body.$case === 'append' ? { ...body.value, entries: body.value.entries.map(entryFromWire) } : body.value
  return { ...value, kind: body.$case, ...ends, term } as Message
}

function entryToWire (entry: Entry): PeerEntry {
  return { index: entry.index, term: entry.term, kind: entryKindNumber(entry), data: Buffer.from(entry.data.buffer, entry.data.byteOffset, entry.data.byteLength) }
}

function entryFromWire (entry: PeerEntry): Entry {
  return { index: entry.index, term: entry.term, kind: entryKindOf(entry.kind), data: entry.data }
}

function * chunksOf (snapshot: Snapshot, leaderTerm: number): Generator<SnapshotChunk> {
  const { head, data } = snapshot
  const digest = createHash('sha256').update(data).digest()
  yield { head: { ...head, members: [...head.members], length: data.length, digest, leaderTerm }, data: Buffer.alloc(0) }
  for (let start = 0; start < data.length; start += CHUNK_BYTES) {
    yield { head: undefined, data: Buffer.from(data.subarray(start, start + CHUNK_BYTES)) }
  }
}

function snapshotMessage (head: PeerSnapshotHead, data: Uint8Array, ends: Ends): SnapshotMessage | undefined {
  const digest = createHash('sha256').update(data).digest()
  if (head.length !== data.length || !digest.equals(head.digest)) return undefined
  const { index, term, members, leaderTerm } = head
  return { kind: MessageKind.Snapshot, ...ends, term: leaderTerm, head: { index, term, members }, data }
}
