import { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js'
import type { TlsFiles } from '../settings/index'

/** Credentials between the system's own processes: each side proves itself. */
export interface MutualCredentials {
  readonly channelCredentials?: ChannelCredentials
  readonly serverCredentials?: ServerCredentials
}

/**
 * Makes credentials from certificate files.
 * @param tls - the files, undefined for plain connections
 * @returns both sides' credentials, none for plain connections
 */
export function mutualCredentials (tls: TlsFiles | undefined): MutualCredentials {
  if (tls === undefined) return {}
  const { authority, certificate, key } = tls
  return {
    channelCredentials: ChannelCredentials.createSsl(authority, key, certificate),
    serverCredentials: ServerCredentials.createSsl(authority, [{ private_key: key, cert_chain: certificate }], true)
  }
}
