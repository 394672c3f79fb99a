import { credentials, type ChannelCredentials, type ClientDuplexStream } from '@grpc/grpc-js'
import type { KnownHosts } from '../client/known-hosts'
import { ControlClient, type Refusal } from '../wire'
import { Backoff } from './backoff'

/** Limits of the delay before the next control host is dialled, in milliseconds. */
const RECONNECT_MILLISECONDS = { initial: 20, max: 500 }
/** Time-out of the first message from a dialled host, in milliseconds. */
const FIRST_MESSAGE_TIMEOUT_MILLISECONDS = 500
/** Upper limit of redirections followed in a row without a delay. */
const MAX_REDIRECTIONS = 2
/** Time-out for the leader to close its side when the agent closes the stream, in milliseconds. */
const END_TIMEOUT_MILLISECONDS = 500
/** Upper limit of a message, in bytes: above the largest answer or payload. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024
/** Code of a refusal that names the leader. */
const NOT_LEADER = 'not-leader'

const channelOptions = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.enable_http_proxy': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES
}

/** A stream that control offers to agents. */
export interface StreamProtocol<Sent, Received> {
  readonly open: (client: ControlClient) => ClientDuplexStream<Sent, Received>
  /** Returns the refusal in a message, if it has one. */
  readonly refusalOf: (message: Received) => Refusal | undefined
}

/** Receives the events of a stream. */
export interface StreamListener<Received> {
  /** A host was dialled; the first message can be sent. */
  opened (): void
  /** A message arrived that is no refusal. */
  received (message: Received): void
  /** The stream was closed; the next host is dialled unless the stream was stopped. */
  closed (): void
}

interface Connection<Sent, Received> {
  readonly client: ControlClient
  readonly call: ClientDuplexStream<Sent, Received>
  readonly host: string
  /** The host forwards the stream to the leader. */
  readonly relayed: boolean
  /** A message has come. */
  answered: boolean
}

/** Keeps one stream to the leader open and reconnects when it closes. */
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
   * Creates a stream without dialling a host.
   * @param hosts - the known control hosts
   * @param protocol - the kind of stream
   * @param listener - receives the events of the stream
   * @param channelCredentials - plain text if not given
   * @returns the stream
   */
  static create<Sent, Received> (
    hosts: KnownHosts, protocol: StreamProtocol<Sent, Received>, listener: StreamListener<Received>, channelCredentials = credentials.createInsecure()
  ): ControlStream<Sent, Received> {
    return new ControlStream(hosts, protocol, listener, channelCredentials)
  }

  /** The host of the open stream, undefined while there is none. */
  get host (): string | undefined {
    return this.connection?.host
  }

  /** Dials the first host. */
  start (): void {
    this.running = true
    this.dial(this.hosts.current)
  }

  /**
   * Sends a message.
   * @param message - the message
   * @returns false if there is no open stream
   */
  send (message: Sent): boolean {
    if (this.connection === undefined) return false
    this.connection.call.write(message)
    return true
  }

  /**
   * Sets the time without messages after which the stream is closed and the next host is dialled.
   * @param milliseconds - the time-out
   */
  setSilenceTimeout (milliseconds: number): void {
    this.silenceTimeoutMilliseconds = milliseconds
    this.watchSilence()
  }

  /** Confirms that the host is the leader: the delays and the redirections count from the start again. */
  confirmLeader (): void {
    this.backoff.reset()
    this.redirections = 0
  }

  /** Closes the stream and dials the next host. */
  reconnect (): void {
    if (this.connection !== undefined) this.closeConnection(this.connection)
  }

  /** Closes the stream for good, after the leader has read the sent messages or the time-out has passed. */
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

  private dial (host: string, relayed = false): void {
    if (!this.running) return
    this.hosts.advancePast(host)
    const client = new ControlClient(host, this.channelCredentials, channelOptions)
    const call = this.protocol.open(client)
    const connection: Connection<Sent, Received> = { client, call, host, relayed, answered: false }
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
    connection.answered = true
    this.watchSilence()
    const refusal = this.protocol.refusalOf(message)
    if (refusal !== undefined) this.redirect(connection, refusal)
    else this.listener.received(message)
  }

  private redirect (connection: Connection<Sent, Received>, refusal: Refusal): void {
    const namesOther = refusal.code === NOT_LEADER && refusal.leader !== '' && refusal.leader !== connection.host
    const follow = namesOther && this.redirections < MAX_REDIRECTIONS
    this.redirections = follow ? this.redirections + 1 : 0
    this.closeConnection(connection, follow ? refusal.leader : undefined)
  }

  /** With a host, dials it at once; otherwise dials the next one. */
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
    else this.dialNext(connection)
  }

  /** After a control host that did not answer, a relay is dialled at once, as only the path to the host may be broken; otherwise the next control host after a delay. */
  private dialNext ({ relayed, answered }: Connection<Sent, Received>): void {
    const relay = relayed || answered ? undefined : this.hosts.nextRelay()
    if (relay !== undefined) this.dial(relay, true)
    else this.dialTimer = setTimeout(() => { this.dial(this.hosts.current) }, this.backoff.nextDelay())
  }

  private watchSilence (): void {
    clearTimeout(this.silenceTimer)
    this.silenceTimer = setTimeout(() => { this.reconnect() }, this.silenceTimeoutMilliseconds)
  }
}

/** Closes this side, and waits until the other side has read everything and closed. */
async function endCall<Sent, Received> (call: Connection<Sent, Received>['call']): Promise<void> {
  await new Promise<void>((resolve) => {
    const timer = setTimeout(resolve, END_TIMEOUT_MILLISECONDS)
    const done = (): void => { clearTimeout(timer); resolve() }
    call.on('error', done).on('end', done).end()
  })
}
