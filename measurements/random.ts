import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A seeded pseudo-random number generator. */
export class Random {
  private constructor (private readonly generator: ReturnType<typeof xoroshiro128plus>) {}

  /**
   * Creates a generator.
   * @param seed - the same seed gives the same sequence
   * @returns the generator
   */
  static create (seed: number): Random {
    return new Random(xoroshiro128plus(seed))
  }

  /** A uniform integer from low to high, both included. */
  integer (low: number, high: number): number { return uniformInt(this.generator, low, high) }

  /** A uniform number in [0, 1). */
  fraction (): number { return this.integer(0, 2 ** 30 - 1) / 2 ** 30 }

  chance (probability: number): boolean { return this.fraction() < probability }

  pick<Item> (items: readonly Item[]): Item { return items[this.integer(0, items.length - 1)]! }

  /** A log-normal number with the given median; spread is the standard deviation of its logarithm. */
  logNormal (median: number, spread: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - this.fraction())) * Math.cos(2 * Math.PI * this.fraction())
    return median * Math.exp(spread * normal)
  }

  exponential (mean: number): number { return -mean * Math.log(1 - this.fraction()) }
}
