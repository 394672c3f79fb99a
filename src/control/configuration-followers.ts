import type { ServerDuplexStream } from '@grpc/grpc-js'
import { sections as allSections, type Section, type State } from '../core/index'
import * as wire from '../wire/index'

/** The server side of an entry's `follow` stream. */
export type ConfigurationCall = ServerDuplexStream<wire.EntryMessage, wire.ConfigurationUpdate>

/** How long an entry may use its copy of the configuration after the leader's last message, in milliseconds. */
const COPY_VALID_MILLISECONDS = 4_000
/** Interval at which unchanged copies are confirmed, in milliseconds. */
export const CONFIRM_INTERVAL_MILLISECONDS = 1_000
/** Limit of the relays that agents are told of. */
const MAX_RELAYS = 16

interface ConfigurationFollower {
  entry: string
  inForce: number
  /** Address at which the entry forwards connections of agents, empty for none. */
  relay: string
}

/** The leader's end of the streams by which entries follow the configuration. */
export class ConfigurationFollowers {
  private readonly followers = new Map<ConfigurationCall, ConfigurationFollower>()

  private constructor (
    private readonly committed: () => State, private readonly term: () => number, private readonly controlHosts: () => string[]
  ) {}

  /**
   * Creates the leader's end, without streams.
   * @param committed - the committed state
   * @param term - the current term
   * @param controlHosts - addresses of the current control hosts
   * @returns the new object
   */
  static create (committed: () => State, term: () => number, controlHosts: () => string[]): ConfigurationFollowers {
    return new ConfigurationFollowers(committed, term, controlHosts)
  }

  /** Handles a new stream and sends it the full document. */
  attach (call: ConfigurationCall): void {
    this.followers.set(call, { entry: '', inForce: 0, relay: '' })
    call.on('data', ({ entry, inForce, relay }: wire.EntryMessage) => { this.followers.set(call, { entry, inForce, relay }) })
    const remove = (): void => { this.followers.delete(call) }
    call.on('end', () => { remove(); call.end() })
    call.on('error', remove)
    call.on('cancelled', remove)
    call.write(this.update(Object.keys(this.committed().configuration.document) as Section[], true))
  }

  /** Sends changed sections to all entries; with none, confirms that their copies are still valid. */
  push (changed: readonly Section[]): void {
    const update = this.update(changed, false)
    for (const call of this.followers.keys()) call.write(update)
  }

  /** Ends all streams with a refusal that refers the entries to the next leader. */
  endLeading (refusal: wire.Refusal): void {
    for (const call of this.followers.keys()) {
      call.write(wire.ConfigurationUpdate.fromPartial({ refusal }))
      call.end()
    }
    this.followers.clear()
  }

  /** The configuration number that each entry reported as in force. */
  configurationsInForce (): Array<{ readonly process: string, readonly inForce: number }> {
    return [...this.followers.values()].map(({ entry, inForce }) => ({ process: `entry ${entry}`, inForce }))
  }

  /** Addresses of entries that forward connections of agents to this leader. Of many, an even selection of the sorted addresses, so that few share a data centre. */
  relays (): string[] {
    const all = [...new Set([...this.followers.values()].map(({ relay }) => relay))].filter((relay) => relay !== '').sort()
    const interval = Math.ceil(all.length / MAX_RELAYS)
    return all.filter((_relay, position) => position % interval === 0)
  }

  private update (changed: readonly Section[], full: boolean): wire.ConfigurationUpdate {
    const { configuration: { number, document, sectionNumbers }, steps } = this.committed()
    const sections = allSections.map((section) => ({ section, number: sectionNumbers.get(section) ?? 0 }))
    const content = Object.fromEntries(changed.map((section) => [section, document[section]]))
    return {
      term: this.term(),
      number,
      sections,
      sectionsJson: changed.length === 0 ? '' : JSON.stringify(content),
      whole: full,
      validMilliseconds: COPY_VALID_MILLISECONDS,
      refusal: undefined,
      controlHosts: this.controlHosts(),
      documentNumber: steps.document?.number ?? 0
    }
  }
}
