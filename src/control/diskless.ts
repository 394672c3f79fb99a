/** A control host without a disk: it keeps nothing and votes never, and says so to those that would found a cluster with it. */
import { Server, ServerCredentials } from '@grpc/grpc-js'
import type { sendUnaryData } from '@grpc/grpc-js'
import { err, ok, type Result } from 'neverthrow'
import { PeerService, type IdentifyReply } from '../wire/index'

const answer: IdentifyReply = { identity: '', cluster: '', leader: '', diskless: true }

/** Answers other control hosts in place of a replica. */
export class DisklessPeer {
  private constructor (private readonly server: Server) {}

  /**
   * Begins to answer.
   * @param address - IP number and port at which a replica would be
   * @param credentials - plain connections by default
   * @returns the peer, or why the address cannot be used
   */
  static async listen (address: string, credentials = ServerCredentials.createInsecure()): Promise<Result<DisklessPeer, Error>> {
    const server = new Server()
    server.addService({ identify: PeerService.identify }, {
      identify: (_call: unknown, callback: sendUnaryData<IdentifyReply>) => { callback(null, answer) }
    })
    return await new Promise((resolve) => {
      server.bindAsync(address, credentials, (error) => {
        resolve(error === null ? ok(new DisklessPeer(server)) : err(new Error(`address ${address} cannot be used: ${error.message}`)))
      })
    })
  }

  /** Ends at once: nobody waits for its answers. */
  close (): void {
    this.server.forceShutdown()
  }
}
