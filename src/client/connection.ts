import type { Logger } from '../logging'
import type { TlsFiles } from '../settings/index'
import { Channels } from './channels'
import type { KnownHosts } from './known-hosts'
import { LeaderClient } from './leader-client'

/** What a process needs to call the leader of the control hosts. */
export interface ControlConnection {
  readonly hosts: KnownHosts
  readonly channels: Channels
  readonly leader: LeaderClient
}

/**
 * Prepares the connection; connections are opened on first use.
 * @param hosts - the known control hosts
 * @param logger - for changes of the leader
 * @param tls - certificate files, undefined for connections without TLS
 * @returns the connection
 */
export function connectControl (hosts: KnownHosts, logger: Logger, tls?: TlsFiles): ControlConnection {
  const channels = Channels.create(tls)
  return { hosts, channels, leader: LeaderClient.create(hosts, channels, logger) }
}
