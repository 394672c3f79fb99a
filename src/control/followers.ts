import type { ServerDuplexStream } from '@grpc/grpc-js'
import { sections as allSections, type Section, type State } from '../core/index'
import * as wire from '../wire/index'

/** A stream to an entry, from this side. */
export type FollowerCall = ServerDuplexStream<wire.EntryMessage, wire.ConfigurationUpdate>

/** How long an entry may decide with its copy without hearing from a leader, in milliseconds. */
const COPY_VALID_MILLISECONDS = 4_000
/** Time between two confirmations of an unchanged copy, in milliseconds. */
export const CONFIRM_MILLISECONDS = 1_000

interface Follower {
  entry: string
  inForce: number
}

/** The leader's side of the entries' configuration streams. */
export class Followers {
  private readonly followers = new Map<FollowerCall, Follower>()

  private constructor (
    private readonly committed: () => State, private readonly term: () => number, private readonly controlHosts: () => string[]
  ) {}

  /**
   * Makes the leader's side with no streams.
   * @param committed - the committed state
   * @param term - the present term
   * @param controlHosts - addresses of the present control hosts
   * @returns the object
   */
  static create (committed: () => State, term: () => number, controlHosts: () => string[]): Followers {
    return new Followers(committed, term, controlHosts)
  }

  /** Takes a new stream and sends the whole document. */
  follow (call: FollowerCall): void {
    this.followers.set(call, { entry: '', inForce: 0 })
    call.on('data', ({ entry, inForce }: wire.EntryMessage) => { this.followers.set(call, { entry, inForce }) })
    const drop = (): void => { this.followers.delete(call) }
    call.on('end', () => { drop(); call.end() })
    call.on('error', drop)
    call.on('cancelled', drop)
    call.write(this.update(Object.keys(this.committed().configuration.document) as Section[], true))
  }

  /** Pushes changed sections; with none, confirms that the copy is still good. */
  push (changed: readonly Section[]): void {
    const update = this.update(changed, false)
    for (const call of this.followers.keys()) call.write(update)
  }

  /** Ends all streams: this host does not lead any more. */
  end (refusal: wire.Refusal): void {
    for (const call of this.followers.keys()) {
      call.write(wire.ConfigurationUpdate.fromPartial({ refusal }))
      call.end()
    }
    this.followers.clear()
  }

  /** What each entry says is in force there. */
  inForce (): Array<{ readonly process: string, readonly inForce: number }> {
    return [...this.followers.values()].map(({ entry, inForce }) => ({ process: `entry ${entry}`, inForce }))
  }

  private update (changed: readonly Section[], whole: boolean): wire.ConfigurationUpdate {
    const { number, document, sectionNumbers } = this.committed().configuration
    const sections = allSections.map((section) => ({ section, number: sectionNumbers.get(section) ?? 0 }))
    const content = Object.fromEntries(changed.map((section) => [section, document[section]]))
    return {
      term: this.term(),
      number,
      sections,
      sectionsJson: changed.length === 0 ? '' : JSON.stringify(content),
      whole,
      validMilliseconds: COPY_VALID_MILLISECONDS,
      refusal: undefined,
      controlHosts: this.controlHosts()
    }
  }
}
