import { Client, credentials, type ChannelCredentials, type ChannelOptions } from '@grpc/grpc-js'
import type { TlsFiles } from '../settings/index'

/** Interval and timeout of keepalive: together they detect a silent connection within a second. */
const KEEPALIVE_MILLISECONDS = 500
const MAX_MESSAGE_BYTES = 33_554_432

/** Keepalive detects silent partitions; the library neither retries calls nor balances load. */
const channelOptions: ChannelOptions = {
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.enable_http_proxy': 0,
  'grpc.keepalive_time_ms': KEEPALIVE_MILLISECONDS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_MILLISECONDS,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES
}

function channelCredentials (tls: TlsFiles | undefined): ChannelCredentials {
  return tls === undefined
    ? credentials.createInsecure()
    : credentials.createSsl(tls.authority, tls.key, tls.certificate)
}

/** gRPC connections to control hosts, one for each address in use. */
export class Channels {
  private readonly clients = new Map<string, Client>()
  private readonly credentials: ChannelCredentials

  private constructor (tls: TlsFiles | undefined) {
    this.credentials = channelCredentials(tls)
  }

  /**
   * Creates an empty set of connections.
   * @param tls - certificate files, undefined for connections without TLS
   * @returns the set
   */
  static create (tls?: TlsFiles): Channels {
    return new Channels(tls)
  }

  /**
   * Returns the connection to a control host.
   * @param address - IP address and port
   * @returns the client, which connects on first use
   */
  clientFor (address: string): Client {
    const known = this.clients.get(address)
    if (known !== undefined) return known
    const client = new Client(address, this.credentials, channelOptions)
    this.clients.set(address, client)
    return client
  }

  /**
   * Closes a connection that does not respond; the next call opens a new one.
   * @param address - IP address and port
   */
  reset (address: string): void {
    this.clients.get(address)?.close()
    this.clients.delete(address)
  }

  /** Closes all connections. */
  close (): void {
    for (const client of this.clients.values()) client.close()
    this.clients.clear()
  }
}
