/**
 * Learns which kinds of task run slower beside which others. Only intervals of the same run are compared, between which one
 * kind came or went: whatever belongs to the run or its worker (a wrong estimate, a slow worker, a remote rack) cancels out.
 * docs/design/interference.md has the reasons.
 */

/** How a run progressed over an interval in which its worker did not change and the same kinds ran beside it. */
export interface RateInterval {
  /** Name of the run. */
  readonly run: string
  /** Kind of its task: a name that all tasks share which are expected to use their worker alike. */
  readonly kind: string
  /** Host of its worker. */
  readonly worker: string
  /** Kinds of the other runs on the worker, sorted, without repeats. */
  readonly neighbours: readonly string[]
  /** Progress in the interval. */
  readonly percent: number
  readonly milliseconds: number
  /** End of the interval, in milliseconds since the epoch. */
  readonly endedAt: number
}

/** What is known of a kind beside another one. */
export interface InterferenceFinding {
  readonly kind: string
  readonly beside: string
  /** Factor on the time that a task of the kind takes; 1 where it is certainly not slowed down by much. */
  readonly slowDown: number
  /** Runs that were compared, less those that count no more because of their age. */
  readonly runs: number
  /** Workers on which they ran. */
  readonly workers: number
}

/** Comparisons needed. */
export const MIN_COMPARISONS = 6
/** Comparisons needed in which the other kind came, and in which it left. */
const MIN_COMPARISONS_PER_CHANGE = 2
/** Workers needed. A worker that becomes slow from time to time can look like interference, several at the same moments cannot. */
export const MIN_WORKERS = 3
/** Slow-down that the comparisons must exceed for certain. Smaller ones are not worth a worse placement. */
const MIN_SLOW_DOWN = 1.1
/** Standard errors by which a pair must differ from {@link MIN_SLOW_DOWN}: all pairs are judged again and again. */
const CERTAINTY = 3
/** Standard deviation of a comparison that is assumed at first. Reported percentages are up to 0.7 s old, a fifth of two short intervals. */
const ASSUMED_DEVIATION = 0.2
/** Comparisons that the assumption counts for. */
const ASSUMED_COMPARISONS = 3
/** Comparisons that count at most, so that what has changed shows after as many new ones. */
const MAX_COMPARISONS = 20
/** Time in which the weight of a comparison halves: kinds that are kept apart give no new ones, and may have changed. */
export const HALF_LIFE_MILLISECONDS = 900_000
/** Larger differences count as this one; a hanging task must not outweigh all others. */
export const MAX_LOG_SLOW_DOWN = Math.log(8)
/** Share of a needed number of comparisons that suffices: they lose weight from the first moment. */
const DECAY_TOLERANCE = 0.92
const MAX_PAIRS = 2_048
const MAX_RUNS = 8_192
/** Workers that are remembered for a pair. */
const MAX_WORKERS = 8

/** The change of the other kind between two intervals. */
enum Change { Came, Left }

/** Comparisons with the same change. */
interface Comparisons {
  count: number
  mean: number
  /** Sum of the squared deviations from the mean. */
  squares: number
}

interface Pair {
  readonly kind: string
  readonly beside: string
  readonly comparisons: Readonly<Record<Change, Comparisons>>
  readonly workers: Set<string>
  /** When the weights were last reduced, in milliseconds since the epoch. */
  decayedAt: number
}

interface ObservedRun {
  readonly last: RateInterval
  /** Comparisons of this run that count already. Each counts once, as those of one run are not independent. */
  readonly counted: Set<string>
}

/** What has been observed of kinds beside each other. Soft state: bounded, decaying, and not replicated. */
export class Interference {
  /** By kind and neighbour, the pair that was observed last at the end. */
  private readonly pairs = new Map<string, Pair>()
  /** By name, the run that was observed last at the end. */
  private readonly runs = new Map<string, ObservedRun>()

  private constructor () {}

  /**
   * Creates a model without observations.
   * @returns the model
   */
  static create (): Interference {
    return new Interference()
  }

  /** Takes an interval of a run, after its earlier ones. */
  observe (interval: RateInterval): void {
    const { run } = interval
    const known = this.runs.get(run)
    this.runs.delete(run)
    this.runs.set(run, { last: interval, counted: known?.counted ?? new Set() })
    removeOldest(this.runs, MAX_RUNS)
    if (known !== undefined && known.last.worker === interval.worker) this.compare(known.last, interval, known.counted)
  }

  /** Removes a run that has ended. What was learned from it stays. */
  forgetRun (run: string): void {
    this.runs.delete(run)
  }

  /** Removes everything. */
  clear (): void {
    this.pairs.clear()
    this.runs.clear()
  }

  /** The pairs of which enough is known at a time, in milliseconds since the epoch; those that certainly do not interfere have a slow-down of 1. */
  findings (now: number): InterferenceFinding[] {
    return [...this.pairs.values()].flatMap((pair) => findingOf(pair, now) ?? [])
  }

  private compare (earlier: RateInterval, later: RateInterval, counted: Set<string>): void {
    const came = later.neighbours.filter((kind) => !earlier.neighbours.includes(kind))
    const left = earlier.neighbours.filter((kind) => !later.neighbours.includes(kind))
    const [beside] = [...came, ...left]
    if (came.length + left.length !== 1 || beside === undefined) return
    const change = came.length === 1 ? Change.Came : Change.Left
    const name = `${change} ${beside}`
    if (counted.has(name)) return
    counted.add(name)
    const logRatio = Math.log(rateOf(earlier) / rateOf(later))
    const slowDown = Math.max(-MAX_LOG_SLOW_DOWN, Math.min(MAX_LOG_SLOW_DOWN, change === Change.Came ? logRatio : -logRatio))
    const pair = this.pairOf(later, beside)
    decay(pair, later.endedAt)
    add(pair.comparisons[change], slowDown)
    pair.workers.delete(later.worker)
    pair.workers.add(later.worker)
    removeOldest(pair.workers, MAX_WORKERS)
  }

  private pairOf ({ kind, endedAt }: RateInterval, beside: string): Pair {
    const name = `${kind} ${beside}`
    const pair = this.pairs.get(name) ?? {
      kind, beside, comparisons: { [Change.Came]: { count: 0, mean: 0, squares: 0 }, [Change.Left]: { count: 0, mean: 0, squares: 0 } }, workers: new Set(), decayedAt: endedAt
    }
    this.pairs.delete(name)
    this.pairs.set(name, pair)
    removeOldest(this.pairs, MAX_PAIRS)
    return pair
  }
}

function rateOf ({ percent, milliseconds }: RateInterval): number {
  return percent / milliseconds
}

function removeOldest (entries: Map<string, unknown> | Set<string>, most: number): void {
  const [oldest] = entries.size > most ? entries.keys() : []
  if (oldest !== undefined) entries.delete(oldest)
}

function weightAfter (milliseconds: number): number {
  return 0.5 ** (Math.max(0, milliseconds) / HALF_LIFE_MILLISECONDS)
}

function decay (pair: Pair, now: number): void {
  const weight = weightAfter(now - pair.decayedAt)
  pair.decayedAt = Math.max(pair.decayedAt, now)
  for (const comparisons of Object.values(pair.comparisons)) scale(comparisons, weight)
}

function scale (comparisons: Comparisons, weight: number): void {
  comparisons.count *= weight
  comparisons.squares *= weight
}

function add (comparisons: Comparisons, value: number): void {
  if (comparisons.count > MAX_COMPARISONS - 1) scale(comparisons, (MAX_COMPARISONS - 1) / comparisons.count)
  comparisons.count += 1
  const difference = value - comparisons.mean
  comparisons.mean += difference / comparisons.count
  comparisons.squares += difference * (value - comparisons.mean)
}

/**
 * The mean of the two changes weighs them alike, so that a rate that falls or rises by itself during each run cancels out.
 */
function findingOf ({ kind, beside, comparisons, workers, decayedAt }: Pair, now: number): InterferenceFinding | undefined {
  const weight = weightAfter(now - decayedAt)
  const { [Change.Came]: came, [Change.Left]: left } = comparisons
  const counts = [came.count * weight, left.count * weight]
  const total = counts.reduce((sum, count) => sum + count, 0)
  if (counts.some((count) => count < MIN_COMPARISONS_PER_CHANGE * DECAY_TOLERANCE) || total < MIN_COMPARISONS * DECAY_TOLERANCE || workers.size < MIN_WORKERS) return undefined
  const deviations = (came.squares + left.squares) * weight + ASSUMED_COMPARISONS * ASSUMED_DEVIATION ** 2
  const variance = deviations / (total - counts.length + ASSUMED_COMPARISONS)
  const error = Math.sqrt(counts.reduce((sum, count) => sum + variance / count, 0)) / counts.length
  const logSlowDown = (came.mean + left.mean) / counts.length
  const [least, most] = [logSlowDown - CERTAINTY * error, logSlowDown + CERTAINTY * error]
  const isCertain = least > Math.log(MIN_SLOW_DOWN)
  if (!isCertain && most >= Math.log(MIN_SLOW_DOWN)) return undefined
  return { kind, beside, slowDown: isCertain ? Math.exp(logSlowDown) : 1, runs: Math.round(total), workers: workers.size }
}
