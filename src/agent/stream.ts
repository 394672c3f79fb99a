import { credentials, type ChannelCredentials, type ClientDuplexStream } from '@grpc/grpc-js'
import { ControlClient, type AgentMessage, type ControlMessage, type Refusal } from '../wire'
import { Backoff } from './backoff'

/** Bounds of the wait before the next control host is dialled, in milliseconds. */
const RECONNECT_MILLISECONDS = { first: 20, longest: 500 }
/** Milliseconds in which a dialled host must say something. */
const FIRST_MESSAGE_MILLISECONDS = 500
/** Leaders followed at once, one after another, before the next dial waits. */
const FOLLOWED_REDIRECTIONS = 2
/** Milliseconds that the leader has to end its side when the agent ends the stream. */
const END_MILLISECONDS = 500
/** The largest message, in bytes: an answer or a payload with some room. */
const LARGEST_MESSAGE_BYTES = 64 * 1024 * 1024
/** The code of a refusal that names the leader. */
const NOT_LEADER = 'not-leader'

const channelOptions = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.enable_http_proxy': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.max_receive_message_length': LARGEST_MESSAGE_BYTES,
  'grpc.max_send_message_length': LARGEST_MESSAGE_BYTES
}

/** What is told of the stream. */
export interface StreamListener {
  /** A host was dialled: the first message can be sent. */
  opened (): void
  received (message: ControlMessage): void
  /** The stream is gone; another is being looked for. */
  closed (): void
}

interface Connection {
  readonly client: ControlClient
  readonly call: ClientDuplexStream<AgentMessage, ControlMessage>
  readonly host: string
}

/** Keeps one stream to the leader, and looks for a new one when it is gone. */
export class ControlStream {
  private connection?: Connection
  private readonly backoff = Backoff.create(RECONNECT_MILLISECONDS.first, RECONNECT_MILLISECONDS.longest)
  private next: number
  private redirections = 0
  private running = false
  private dialTimer?: NodeJS.Timeout
  private silenceTimer?: NodeJS.Timeout
  private silenceMilliseconds = FIRST_MESSAGE_MILLISECONDS

  private constructor (
    private readonly hosts: readonly string[],
    private readonly listener: StreamListener,
    private readonly channelCredentials: ChannelCredentials
  ) {
    this.next = Math.floor(Math.random() * hosts.length)
  }

  /**
   * Makes a stream that is not yet dialled.
   * @param hosts - the control hosts, as address and port
   * @param listener - what is told of it
   * @param channelCredentials - plain text where none are given
   * @returns the stream
   */
  static create (hosts: readonly string[], listener: StreamListener, channelCredentials = credentials.createInsecure()): ControlStream {
    return new ControlStream(hosts, listener, channelCredentials)
  }

  /** Dials the first host. */
  start (): void {
    this.running = true
    this.dial(this.nextHost())
  }

  /**
   * Sends a message.
   * @param message - the message
   * @returns false where there is no stream
   */
  send (message: AgentMessage): boolean {
    if (this.connection === undefined) return false
    this.connection.call.write(message)
    return true
  }

  /**
   * Sets how long the leader may be silent before it counts as gone.
   * @param milliseconds - the time
   */
  expectMessageEvery (milliseconds: number): void {
    this.silenceMilliseconds = milliseconds
    this.watchSilence()
  }

  /** The leader answers as it should: the next search begins with short waits again. */
  settle (): void {
    this.backoff.reset()
    this.redirections = 0
  }

  /** Gives the present stream up and looks for another. */
  drop (): void {
    if (this.connection !== undefined) this.lose(this.connection)
  }

  /** Ends the stream for good, after what was sent has gone out. */
  async stop (): Promise<void> {
    this.running = false
    clearTimeout(this.dialTimer)
    clearTimeout(this.silenceTimer)
    const connection = this.connection
    this.connection = undefined
    if (connection === undefined) return
    await ended(connection.call)
    connection.call.cancel()
    connection.client.close()
  }

  private dial (host: string): void {
    if (!this.running) return
    this.tryLast(host)
    const client = new ControlClient(host, this.channelCredentials, channelOptions)
    const call = client.attach()
    const connection = { client, call, host }
    this.connection = connection
    this.silenceMilliseconds = FIRST_MESSAGE_MILLISECONDS
    call.on('data', (message: ControlMessage) => { this.take(connection, message) })
    call.on('error', () => { this.lose(connection) })
    call.on('end', () => { this.lose(connection) })
    this.watchSilence()
    this.listener.opened()
  }

  private take (connection: Connection, message: ControlMessage): void {
    if (this.connection !== connection) return
    this.watchSilence()
    if (message.message?.$case === 'refusal') this.redirect(connection, message.message.value)
    else this.listener.received(message)
  }

  private redirect (connection: Connection, refusal: Refusal): void {
    const known = refusal.code === NOT_LEADER && refusal.leader !== '' && refusal.leader !== connection.host
    const follow = known && this.redirections < FOLLOWED_REDIRECTIONS
    this.redirections = follow ? this.redirections + 1 : 0
    this.lose(connection, follow ? refusal.leader : undefined)
  }

  /** With a host the dial follows at once, else after a wait to the next host of the list. */
  private lose (connection: Connection, host?: string): void {
    if (this.connection !== connection) return
    this.connection = undefined
    clearTimeout(this.silenceTimer)
    connection.call.on('error', () => {})
    connection.call.cancel()
    connection.client.close()
    this.listener.closed()
    if (!this.running) return
    if (host !== undefined) this.dial(host)
    else this.dialTimer = setTimeout(() => { this.dial(this.nextHost()) }, this.backoff.next())
  }

  private watchSilence (): void {
    clearTimeout(this.silenceTimer)
    this.silenceTimer = setTimeout(() => { this.drop() }, this.silenceMilliseconds)
  }

  private nextHost (): string {
    return this.hosts[this.next] ?? ''
  }

  /** A host that goes silent must not be the first to be dialled again. */
  private tryLast (host: string): void {
    const position = this.hosts.indexOf(host)
    if (position >= 0) this.next = (position + 1) % this.hosts.length
  }
}

/** Ends this side, and waits for the other side to have read everything. */
async function ended (call: Connection['call']): Promise<void> {
  await new Promise<void>((resolve) => {
    const timer = setTimeout(resolve, END_MILLISECONDS)
    const done = (): void => { clearTimeout(timer); resolve() }
    call.on('error', done).on('end', done).end()
  })
}
