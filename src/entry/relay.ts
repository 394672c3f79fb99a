/**
 * Forwards connections of agents to the control leader. An agent that has lost its own path to the control hosts supervises
 * its worker through an entry that still has one, so that a broken path is not taken for a lost worker. The bytes pass
 * unread: terms, confirmations and leases are those of the agent and the leader.
 */
import { connect, createServer, type Server, type Socket } from 'node:net'
import type { LeaderClient } from '../client/index'
import type { Logger } from '../logging'
import { parseAddress } from '../settings/index'

/** Time without bytes in either direction after which a connection is closed, in milliseconds: agents report twice a second. */
const IDLE_TIMEOUT_MILLISECONDS = 5_000
/** Age of the last contact with a leader beyond which nothing is forwarded to it, in milliseconds: two confirmations are missing. */
const MAX_CONTACT_AGE_MILLISECONDS = 2_500

/** Why a connection was not forwarded. */
export enum RelayRefusal {
  NoLeader = 'no-leader',
  Connections = 'connections'
}

/** The options of a relay. */
export interface RelayOptions {
  /** IP address and port to listen on. */
  readonly address: string
  /** Limit of the connections that are forwarded at a time; each takes two descriptors. */
  readonly maxConnections: number
  readonly leader: Pick<LeaderClient, 'lastKnown'>
  /** Called for each connection that is not forwarded. */
  readonly onRefusal: (reason: RelayRefusal) => void
  readonly logger: Logger
}

/** A TCP server that connects each client with the leader. */
export class Relay {
  private readonly server: Server
  /** Connections to the leader, by the client that each is for. */
  private readonly forwarded = new Map<Socket, Socket>()

  private constructor (private readonly options: RelayOptions) {
    this.server = createServer((client) => { this.accept(client) })
  }

  /**
   * Starts a relay.
   * @param options - see {@link RelayOptions}
   * @returns the listening relay; rejects if the address cannot be bound
   */
  static async listen (options: RelayOptions): Promise<Relay> {
    const relay = new Relay(options)
    const { ip, port } = parseAddress(options.address)
    await new Promise<void>((resolve, reject) => { relay.server.once('error', reject).listen(port, ip, resolve) })
    relay.server.on('error', ({ message }) => { options.logger.warn('relay-failed', { message }) })
    return relay
  }

  /** Number of connections that are forwarded now. */
  get connections (): number {
    return this.forwarded.size
  }

  /** Refuses new connections and closes the open ones; their agents connect elsewhere. */
  close (): void {
    this.server.close()
    for (const client of this.forwarded.keys()) client.destroy()
  }

  private accept (client: Socket): void {
    const { leader, leaderSilentMilliseconds = Infinity } = this.options.leader.lastKnown
    if (leader === undefined || leaderSilentMilliseconds > MAX_CONTACT_AGE_MILLISECONDS) this.refuse(client, RelayRefusal.NoLeader)
    else if (this.connections >= this.options.maxConnections) this.refuse(client, RelayRefusal.Connections)
    else this.forward(client, leader)
  }

  private refuse (client: Socket, reason: RelayRefusal): void {
    client.destroy()
    this.options.onRefusal(reason)
  }

  private forward (client: Socket, leader: string): void {
    const { logger } = this.options
    const { ip, port } = parseAddress(leader)
    const from = client.remoteAddress
    const openedAt = performance.now()
    const upstream = connect(port, ip)
    this.forwarded.set(client, upstream)
    logger.info('relay-opened', { from, leader, connections: this.connections })
    join(client, upstream)
    join(upstream, client)
    client.on('close', () => {
      this.forwarded.delete(client)
      logger.info('relay-closed', { from, leader, milliseconds: Math.round(performance.now() - openedAt) })
    })
  }
}

/** Passes on what one socket receives, and closes the other one with it. */
function join (socket: Socket, other: Socket): void {
  socket.setNoDelay(true).setTimeout(IDLE_TIMEOUT_MILLISECONDS, () => { socket.destroy() })
  // A socket that fails is closed as well.
  socket.on('error', () => {}).on('close', () => { other.destroy() })
  socket.pipe(other)
}
