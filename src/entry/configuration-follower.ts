import { Metadata, type ClientDuplexStream } from '@grpc/grpc-js'
import { RefusalCode } from '../core/verdict'
import type { Logger } from '../logging'
import { ControlService, type ConfigurationUpdate, type EntryMessage } from '../wire/index'
import { type Channels, jittered, sleep, type KnownHosts, type Leader } from '../client/index'
import { UpdateOutcome, type ConfigurationCopy } from '../core/configuration-copy'

const STREAM_MILLISECONDS = 600_000
/** Longest silence before the first update. */
const FIRST_UPDATE_MILLISECONDS = 2_000
const PAUSE_MILLISECONDS = 100

type FollowStream = ClientDuplexStream<EntryMessage, ConfigurationUpdate>

/** What a {@link ConfigurationFollower} works with. */
export interface FollowerParts {
  readonly entry: string
  readonly hosts: KnownHosts
  readonly leader: Leader
  readonly channels: Channels
  readonly copy: ConfigurationCopy
  readonly logger: Logger
}

/** Keeps the copy of the document fresh: one stream to the leader, opened anew when it breaks or falls silent. */
export class ConfigurationFollower {
  private stopped = false
  private stream: FollowStream | undefined
  private silence: NodeJS.Timeout | undefined

  private constructor (private readonly parts: FollowerParts) {}

  /**
   * Makes the follower.
   * @param parts - what it works with
   * @returns the follower, not yet running
   */
  static create (parts: FollowerParts): ConfigurationFollower {
    return new ConfigurationFollower(parts)
  }

  /** Follows until {@link ConfigurationFollower.stop}. */
  async run (): Promise<void> {
    while (!this.stopped) {
      await this.followOnce(this.parts.leader.address)
      if (!this.stopped) await sleep(jittered(PAUSE_MILLISECONDS))
    }
  }

  /** Ends the stream. */
  stop (): void {
    this.stopped = true
    this.stream?.cancel()
  }

  private async followOnce (address: string): Promise<void> {
    const { follow } = ControlService
    const stream = this.parts.channels.to(address).makeBidiStreamRequest(
      follow.path, follow.requestSerialize, follow.responseDeserialize, new Metadata(), { deadline: Date.now() + STREAM_MILLISECONDS })
    this.stream = stream
    this.expectWithin(FIRST_UPDATE_MILLISECONDS)
    stream.write(this.inForce())
    stream.on('data', (update: ConfigurationUpdate) => this.receive(update, address))
    await new Promise<void>((resolve) => {
      stream.on('error', () => resolve())
      stream.on('end', () => resolve())
    })
    clearTimeout(this.silence)
    stream.cancel()
    this.parts.leader.suspect(address)
  }

  private receive (update: ConfigurationUpdate, address: string): void {
    const { leader, copy, logger } = this.parts
    if (update.refusal !== undefined) {
      this.stream?.cancel()
      if (update.refusal.code === RefusalCode.NotLeader) leader.learn(update.refusal.leader, address)
      return
    }
    const before = copy.number
    const outcome = copy.take(update, Date.now())
    if (outcome !== UpdateOutcome.InForce) {
      logger.warn('configuration-not-taken', { outcome, leader: address, number: update.number, inForce: copy.number })
      this.stream?.cancel()
      return
    }
    leader.confirm(address)
    this.parts.hosts.learn(update.controlHosts)
    this.expectWithin(update.validMilliseconds)
    if (copy.number !== before) logger.info('configuration-in-force', { number: copy.number })
    this.stream?.write(this.inForce())
  }

  private inForce (): EntryMessage {
    return { entry: this.parts.entry, inForce: this.parts.copy.number }
  }

  private expectWithin (milliseconds: number): void {
    clearTimeout(this.silence)
    this.silence = setTimeout(() => this.stream?.cancel(), milliseconds)
  }
}
