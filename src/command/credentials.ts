import { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js'
import type { TlsFiles } from '../settings/index'

/** gRPC credentials for mutual TLS between the system's own processes. */
export interface MutualCredentials {
  readonly channelCredentials?: ChannelCredentials
  readonly serverCredentials?: ServerCredentials
}

/**
 * Creates credentials from certificate files.
 * @param tls - the files; undefined for connections without TLS
 * @returns client and server credentials; neither for connections without TLS
 */
export function mutualCredentials (tls: TlsFiles | undefined): MutualCredentials {
  if (tls === undefined) return {}
  const { authority, certificate, key } = tls
  return {
    channelCredentials: ChannelCredentials.createSsl(authority, key, certificate),
    serverCredentials: ServerCredentials.createSsl(authority, [{ private_key: key, cert_chain: certificate }], true)
  }
}
