/**
 * A control host without a disk. It stores nothing and never votes; its identify reply tells the other hosts to leave it
 * out when they found a cluster.
 */
import { Server, ServerCredentials } from '@grpc/grpc-js'
import type { sendUnaryData } from '@grpc/grpc-js'
import { err, ok, type Result } from 'neverthrow'
import { PeerService, type IdentifyReply } from '../wire/index'

const identifyReply: IdentifyReply = { identity: '', cluster: '', leader: '', diskless: true }

/** Serves the Peer service in place of a replica. */
export class DisklessPeer {
  private constructor (private readonly server: Server) {}

  /**
   * Starts the server.
   * @param address - IP address and port of the Peer service
   * @param credentials - insecure by default
   * @returns the peer, or why the address cannot be bound
   */
  static async listen (address: string, credentials = ServerCredentials.createInsecure()): Promise<Result<DisklessPeer, Error>> {
    const server = new Server()
    server.addService({ identify: PeerService.identify }, {
      identify: (_call: unknown, callback: sendUnaryData<IdentifyReply>) => { callback(null, identifyReply) }
    })
    return await new Promise((resolve) => {
      server.bindAsync(address, credentials, (error) => {
        resolve(error === null ? ok(new DisklessPeer(server)) : err(new Error(`address ${address} cannot be used: ${error.message}`)))
      })
    })
  }

  /** Shuts down immediately; no caller depends on a pending reply. */
  close (): void {
    this.server.forceShutdown()
  }
}
