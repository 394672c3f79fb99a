/** Starting positions in the list of relays are drawn below this, so that agents spread over the relays. */
const MAX_START_POSITION = 1_000

/** Addresses of control hosts: the seeds from the settings, and the current hosts as a leader last reported them, with the relays that lead to it. */
export class KnownHosts {
  private fromLeader: readonly string[] = []
  /** Addresses of entries that forward connections to the leader. */
  private relays: readonly string[] = []
  private relayPosition = Math.floor(Math.random() * MAX_START_POSITION)
  private constructor (private seeds: readonly string[], private position: number) {}

  /**
   * Creates the list.
   * @param seeds - addresses from the settings, IP address and port
   * @returns the list, positioned at the first of them
   */
  static create (seeds: readonly string[]): KnownHosts {
    return new KnownHosts(seeds, 0)
  }

  /**
   * Creates a list for one of many processes that start together, so that they do not all connect to the same host.
   * @param seeds - addresses from the settings, IP address and port
   * @returns the list, positioned at a random one of them
   */
  static createAtRandom (seeds: readonly string[]): KnownHosts {
    return new KnownHosts(seeds, Math.floor(Math.random() * Math.max(1, seeds.length)))
  }

  /** All addresses, those that a leader reported first. */
  get all (): readonly string[] {
    return [...new Set([...this.fromLeader, ...this.seeds])]
  }

  /**
   * Takes over the current control hosts from a leader.
   * @param addresses - their addresses; an empty list changes nothing
   */
  updateFromLeader (addresses: readonly string[]): void {
    if (addresses.length > 0) this.fromLeader = [...addresses]
  }

  /**
   * Replaces the seeds after a reload of the settings.
   * @param seeds - addresses from the settings
   */
  replaceSeeds (seeds: readonly string[]): void {
    this.seeds = seeds
  }

  /**
   * Takes over the relays from a leader.
   * @param addresses - their addresses; an empty list changes nothing, as a new leader does not know them at first
   */
  updateRelays (addresses: readonly string[]): void {
    if (addresses.length > 0) this.relays = [...addresses]
  }

  /** The relay to try next, undefined where none is known. Those beside a control host are used only without others, as they mostly share its network path. */
  nextRelay (): string | undefined {
    const controlIps = new Set(this.all.map(ipOf))
    const apart = this.relays.filter((relay) => !controlIps.has(ipOf(relay)))
    const candidates = apart.length > 0 ? apart : this.relays
    this.relayPosition += 1
    return candidates[this.relayPosition % Math.max(1, candidates.length)]
  }

  /** The address to try now. */
  get current (): string {
    const { all } = this
    return all[this.position % Math.max(1, all.length)] ?? ''
  }

  /** Moves on to the next address. */
  advance (): void {
    this.position += 1
  }

  /**
   * Moves on to the address after the given one, so that a host that went silent is tried again last.
   * @param address - the host that went silent
   */
  advancePast (address: string): void {
    const position = this.all.indexOf(address)
    if (position >= 0) this.position = position + 1
  }
}

function ipOf (address: string): string {
  return address.slice(0, address.lastIndexOf(':'))
}
