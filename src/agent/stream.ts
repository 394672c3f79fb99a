import { credentials, type ChannelCredentials, type ClientDuplexStream } from '@grpc/grpc-js'
import type { KnownHosts } from '../client/known-hosts'
import { ControlClient, type Refusal } from '../wire'
import { Backoff } from './backoff'

/** Bounds of the wait before the next control host is dialled, in milliseconds. */
const RECONNECT_MILLISECONDS = { initial: 20, max: 500 }
/** Milliseconds in which a dialled host must say something. */
const FIRST_MESSAGE_TIMEOUT_MILLISECONDS = 500
/** Leaders followed at once, one after another, before the next dial waits. */
const MAX_REDIRECTIONS = 2
/** Milliseconds that the leader has to end its side when the agent ends the stream. */
const END_TIMEOUT_MILLISECONDS = 500
/** The largest message, in bytes: an answer or a payload with some room. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024
/** The code of a refusal that names the leader. */
const NOT_LEADER = 'not-leader'

const channelOptions = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.enable_http_proxy': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES
}

/** One of the streams that control offers to agents. */
export interface StreamProtocol<Sent, Received> {
  readonly open: (client: ControlClient) => ClientDuplexStream<Sent, Received>
  /** The refusal in a message, where it is one. */
  readonly refusalOf: (message: Received) => Refusal | undefined
}

/** What is told of the stream. */
export interface StreamListener<Received> {
  /** A host was dialled: the first message can be sent. */
  opened (): void
  received (message: Received): void
  /** The stream is gone; another is being looked for. */
  closed (): void
}

interface Connection<Sent, Received> {
  readonly client: ControlClient
  readonly call: ClientDuplexStream<Sent, Received>
  readonly host: string
}

/** Keeps one stream to the leader, and looks for a new one when it is gone. */
export class ControlStream<Sent, Received> {
  private connection?: Connection<Sent, Received>
  private readonly backoff = Backoff.create(RECONNECT_MILLISECONDS.initial, RECONNECT_MILLISECONDS.max)
  private redirections = 0
  private running = false
  private dialTimer?: NodeJS.Timeout
  private silenceTimer?: NodeJS.Timeout
  private silenceTimeoutMilliseconds = FIRST_MESSAGE_TIMEOUT_MILLISECONDS

  private constructor (
    private readonly hosts: KnownHosts,
    private readonly protocol: StreamProtocol<Sent, Received>,
    private readonly listener: StreamListener<Received>,
    private readonly channelCredentials: ChannelCredentials
  ) {}

  /**
   * Makes a stream that is not yet dialled.
   * @param hosts - where control hosts are
   * @param protocol - which stream it is
   * @param listener - what is told of it
   * @param channelCredentials - plain text where none are given
   * @returns the stream
   */
  static create<Sent, Received> (
    hosts: KnownHosts, protocol: StreamProtocol<Sent, Received>, listener: StreamListener<Received>, channelCredentials = credentials.createInsecure()
  ): ControlStream<Sent, Received> {
    return new ControlStream(hosts, protocol, listener, channelCredentials)
  }

  /** Dials the first host. */
  start (): void {
    this.running = true
    this.dial(this.hosts.present)
  }

  /**
   * Sends a message.
   * @param message - the message
   * @returns false where there is no stream
   */
  send (message: Sent): boolean {
    if (this.connection === undefined) return false
    this.connection.call.write(message)
    return true
  }

  /**
   * Sets how long the leader may be silent before it counts as gone.
   * @param milliseconds - the time
   */
  setSilenceTimeout (milliseconds: number): void {
    this.silenceTimeoutMilliseconds = milliseconds
    this.watchSilence()
  }

  /** The leader answers as it should: the next search begins with short waits again. */
  confirmLeader (): void {
    this.backoff.reset()
    this.redirections = 0
  }

  /** Gives the present stream up and looks for another. */
  reconnect (): void {
    if (this.connection !== undefined) this.closeConnection(this.connection)
  }

  /** Ends the stream for good, after what was sent has gone out. */
  async stop (): Promise<void> {
    this.running = false
    clearTimeout(this.dialTimer)
    clearTimeout(this.silenceTimer)
    const connection = this.connection
    this.connection = undefined
    if (connection === undefined) return
    await endCall(connection.call)
    connection.call.cancel()
    connection.client.close()
  }

  private dial (host: string): void {
    if (!this.running) return
    this.hosts.putLast(host)
    const client = new ControlClient(host, this.channelCredentials, channelOptions)
    const call = this.protocol.open(client)
    const connection: Connection<Sent, Received> = { client, call, host }
    this.connection = connection
    this.silenceTimeoutMilliseconds = FIRST_MESSAGE_TIMEOUT_MILLISECONDS
    call.on('data', (message: Received) => { this.handleMessage(connection, message) })
    call.on('error', () => { this.closeConnection(connection) })
    call.on('end', () => { this.closeConnection(connection) })
    this.watchSilence()
    this.listener.opened()
  }

  private handleMessage (connection: Connection<Sent, Received>, message: Received): void {
    if (this.connection !== connection) return
    this.watchSilence()
    const refusal = this.protocol.refusalOf(message)
    if (refusal !== undefined) this.redirect(connection, refusal)
    else this.listener.received(message)
  }

  private redirect (connection: Connection<Sent, Received>, refusal: Refusal): void {
    const known = refusal.code === NOT_LEADER && refusal.leader !== '' && refusal.leader !== connection.host
    const follow = known && this.redirections < MAX_REDIRECTIONS
    this.redirections = follow ? this.redirections + 1 : 0
    this.closeConnection(connection, follow ? refusal.leader : undefined)
  }

  /** With a host the dial follows at once, else after a wait to the next host of the list. */
  private closeConnection (connection: Connection<Sent, Received>, host?: string): void {
    if (this.connection !== connection) return
    this.connection = undefined
    clearTimeout(this.silenceTimer)
    connection.call.on('error', () => {})
    connection.call.cancel()
    connection.client.close()
    this.listener.closed()
    if (!this.running) return
    if (host !== undefined) this.dial(host)
    else this.dialTimer = setTimeout(() => { this.dial(this.hosts.present) }, this.backoff.nextDelay())
  }

  private watchSilence (): void {
    clearTimeout(this.silenceTimer)
    this.silenceTimer = setTimeout(() => { this.reconnect() }, this.silenceTimeoutMilliseconds)
  }
}

/** Ends this side, and waits for the other side to have read everything. */
async function endCall<Sent, Received> (call: Connection<Sent, Received>['call']): Promise<void> {
  await new Promise<void>((resolve) => {
    const timer = setTimeout(resolve, END_TIMEOUT_MILLISECONDS)
    const done = (): void => { clearTimeout(timer); resolve() }
    call.on('error', done).on('end', done).end()
  })
}
