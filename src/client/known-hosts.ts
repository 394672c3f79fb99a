/** Where control hosts are: those of the settings, and those that a leader named since. */
export class KnownHosts {
  private learned: readonly string[] = []
  private constructor (private seeds: readonly string[], private turn: number) {}

  /**
   * Makes the list.
   * @param seeds - addresses of the settings, IP number and port
   * @returns the list, which begins with the first of them
   */
  static create (seeds: readonly string[]): KnownHosts {
    return new KnownHosts(seeds, 0)
  }

  /**
   * Makes a list for one of many processes that start together.
   * @param seeds - addresses of the settings, IP number and port
   * @returns the list, which begins with a random one of them
   */
  static createSpread (seeds: readonly string[]): KnownHosts {
    return new KnownHosts(seeds, Math.floor(Math.random() * Math.max(1, seeds.length)))
  }

  /** All addresses, the present control hosts first. */
  get all (): readonly string[] {
    return [...new Set([...this.learned, ...this.seeds])]
  }

  /**
   * Takes the list of a leader.
   * @param addresses - the present control hosts; an empty list says nothing
   */
  learn (addresses: readonly string[]): void {
    if (addresses.length > 0) this.learned = [...addresses]
  }

  /**
   * Takes the list of settings that were read again.
   * @param seeds - addresses of the settings
   */
  reseed (seeds: readonly string[]): void {
    this.seeds = seeds
  }

  /** The address whose turn it is. */
  get present (): string {
    const { all } = this
    return all[this.turn % Math.max(1, all.length)] ?? ''
  }

  /** Goes on to the next address. */
  advance (): void {
    this.turn += 1
  }

  /**
   * Makes an address the last to be tried again: one that went silent must not be first.
   * @param address - the address
   */
  putLast (address: string): void {
    const position = this.all.indexOf(address)
    if (position >= 0) this.turn = position + 1
  }
}
