import type { Logger } from '../logging'
import type { TlsFiles } from '../settings/index'
import { Channels } from './channels'
import type { KnownHosts } from './known-hosts'
import { Leader } from './leader'

/** What a process needs to speak to whichever control host leads. */
export interface ControlConnection {
  readonly hosts: KnownHosts
  readonly channels: Channels
  readonly leader: Leader
}

/**
 * Prepares the connection; nothing is opened yet.
 * @param hosts - where control hosts are
 * @param logger - for leader changes
 * @param tls - certificate files, undefined for plain connections
 * @returns the connection
 */
export function connectControl (hosts: KnownHosts, logger: Logger, tls?: TlsFiles): ControlConnection {
  const channels = Channels.create(tls)
  return { hosts, channels, leader: Leader.create(hosts, channels, logger) }
}
