import type { Logger } from '../logging'
import type { TlsFiles } from '../settings/index'
import { Channels } from './channels'
import { KnownHosts } from './known-hosts'
import { Leader } from './leader'

/** What a process needs to speak to whichever control host leads. */
export interface ControlConnection {
  readonly hosts: KnownHosts
  readonly channels: Channels
  readonly leader: Leader
}

/**
 * Prepares the connection; nothing is opened yet.
 * @param controlHosts - addresses of the settings
 * @param logger - for leader changes
 * @param tls - certificate files, undefined for plain connections
 * @returns the connection
 */
export function connectControl (controlHosts: readonly string[], logger: Logger, tls?: TlsFiles): ControlConnection {
  const hosts = KnownHosts.create(controlHosts)
  const channels = Channels.create(tls)
  return { hosts, channels, leader: Leader.create(hosts, channels, logger) }
}
