/**
 * Forwards connections of agents to the control leader. An agent that has lost its own path to the control hosts supervises
 * its worker through an entry that still has one, so that a broken path is not taken for a lost worker. The bytes pass
 * unread: terms, confirmations and leases are those of the agent and the leader.
 */
import { connect, createServer, type Server, type Socket } from 'node:net'
import type { LeaderClient } from '../client/index'
import type { Logger } from '../logging'
import { parseAddress } from '../settings/index'

/** Limit of the connections that are forwarded at a time; each takes two descriptors. */
const MAX_CONNECTIONS = 256
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
  readonly leader: Pick<LeaderClient, 'lastKnown'>
  /** Called for each connection that is not forwarded. */
  readonly onRefusal: (reason: RelayRefusal) => void
  readonly logger: Logger
}

/** A TCP server that connects each client with the leader. */
export class Relay {
  private readonly server: Server
  private readonly sockets = new Set<Socket>()

  private constructor (private readonly options: RelayOptions) {
    this.server = createServer((client) => { this.forward(client) })
    this.server.maxConnections = MAX_CONNECTIONS
    this.server.on('drop', () => { options.onRefusal(RelayRefusal.Connections) })
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
    return relay
  }

  /** Number of connections that are forwarded now. */
  get connections (): number {
    return this.sockets.size / 2
  }

  /** Refuses new connections and closes the open ones; their agents connect elsewhere. */
  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private forward (client: Socket): void {
    const { leader, leaderSilentMilliseconds = Infinity } = this.options.leader.lastKnown
    if (leader === undefined || leaderSilentMilliseconds > MAX_CONTACT_AGE_MILLISECONDS) {
      client.destroy()
      this.options.onRefusal(RelayRefusal.NoLeader)
      return
    }
    const { ip, port } = parseAddress(leader)
    const from = client.remoteAddress
    const openedAt = performance.now()
    const pair = [client, connect(port, ip)] as const
    this.options.logger.info('relay-opened', { from, leader, connections: this.connections + 1 })
    for (const [socket, other] of [pair, [pair[1], pair[0]] as const]) {
      this.sockets.add(socket)
      socket.setNoDelay(true).setTimeout(IDLE_TIMEOUT_MILLISECONDS, () => { socket.destroy() })
      // A failed socket closes as well, which ends the pair.
      socket.on('error', () => {}).on('close', () => { this.sockets.delete(socket); other.destroy() })
      socket.pipe(other)
    }
    client.on('close', () => { this.options.logger.info('relay-closed', { from, leader, milliseconds: Math.round(performance.now() - openedAt) }) })
  }
}
