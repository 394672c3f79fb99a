import { Metadata, type ClientDuplexStream } from '@grpc/grpc-js'
import { RefusalCode } from '../core/verdict'
import type { Logger } from '../logging'
import { ControlService, type ConfigurationUpdate, type EntryMessage } from '../wire/index'
import { type Channels, jittered, sleep, type KnownHosts, type LeaderClient } from '../client/index'
import { UpdateOutcome, type ConfigurationCopy } from '../core/configuration-copy'

const MAX_STREAM_MILLISECONDS = 600_000
/** Time allowed for the first update after the stream is opened. Later updates say themselves how long they are valid. */
const FIRST_UPDATE_TIMEOUT_MILLISECONDS = 2_000
const RECONNECT_DELAY_MILLISECONDS = 100

type FollowStream = ClientDuplexStream<EntryMessage, ConfigurationUpdate>

/** Dependencies of a {@link ConfigurationFollower}. */
export interface FollowerContext {
  readonly entry: string
  readonly hosts: KnownHosts
  readonly leader: LeaderClient
  readonly channels: Channels
  readonly configuration: ConfigurationCopy
  readonly logger: Logger
  /** Address at which this entry forwards connections of agents; undefined where it does not. */
  readonly relay?: string | undefined
  /** Called with the number of the queue document at each update, 0 where it is not known. */
  readonly onDocumentNumber?: ((number: number) => void) | undefined
}

/** Keeps the copy of the document up to date through one stream to the leader, which is reopened when it breaks or no update arrives in time. */
export class ConfigurationFollower {
  private stopped = false
  private stream: FollowStream | undefined
  private updateTimer: NodeJS.Timeout | undefined

  private constructor (private readonly context: FollowerContext) {}

  /**
   * Creates a follower.
   * @param context - what it uses
   * @returns the follower, not yet running
   */
  static create (context: FollowerContext): ConfigurationFollower {
    return new ConfigurationFollower(context)
  }

  /** Follows until {@link ConfigurationFollower.stop}. */
  async run (): Promise<void> {
    while (!this.stopped) {
      await this.followOnce(this.context.leader.address)
      if (!this.stopped) await sleep(jittered(RECONNECT_DELAY_MILLISECONDS))
    }
  }

  /** Ends the stream. */
  stop (): void {
    this.stopped = true
    this.stream?.cancel()
  }

  private async followOnce (address: string): Promise<void> {
    const { follow } = ControlService
    const stream = this.context.channels.clientFor(address).makeBidiStreamRequest(
      follow.path, follow.requestSerialize, follow.responseDeserialize, new Metadata(), { deadline: Date.now() + MAX_STREAM_MILLISECONDS })
    this.stream = stream
    this.restartUpdateTimer(FIRST_UPDATE_TIMEOUT_MILLISECONDS)
    stream.write(this.inForceMessage())
    stream.on('data', (update: ConfigurationUpdate) => this.receive(update, address))
    await new Promise<void>((resolve) => {
      stream.on('error', () => resolve())
      stream.on('end', () => resolve())
    })
    clearTimeout(this.updateTimer)
    stream.cancel()
    this.context.leader.noteNotLeader(address)
  }

  private receive (update: ConfigurationUpdate, address: string): void {
    const { leader, configuration, logger } = this.context
    if (update.refusal !== undefined) {
      this.stream?.cancel()
      if (update.refusal.code === RefusalCode.NotLeader) leader.noteLeader(update.refusal.leader, address)
      return
    }
    const previousNumber = configuration.number
    const outcome = configuration.applyUpdate(update, Date.now())
    if (outcome !== UpdateOutcome.InForce) {
      logger.warn('configuration-not-taken', { outcome, leader: address, number: update.number, inForce: configuration.number })
      this.stream?.cancel()
      return
    }
    leader.noteConfirmation(address)
    this.context.hosts.updateFromLeader(update.controlHosts)
    this.context.onDocumentNumber?.(update.documentNumber)
    this.restartUpdateTimer(update.validMilliseconds)
    if (configuration.number !== previousNumber) logger.info('configuration-in-force', { number: configuration.number })
    this.stream?.write(this.inForceMessage())
  }

  private inForceMessage (): EntryMessage {
    const { entry, configuration, relay = '' } = this.context
    return { entry, inForce: configuration.number, relay }
  }

  private restartUpdateTimer (milliseconds: number): void {
    clearTimeout(this.updateTimer)
    this.updateTimer = setTimeout(() => this.stream?.cancel(), milliseconds)
  }
}
