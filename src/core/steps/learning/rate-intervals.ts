/** Divides the progress of runs, as workers list it, into intervals in which the same kinds shared the worker. */
import type { RateInterval } from './interference'

/** A run as its worker lists it. */
export interface ListedRun {
  readonly name: string
  readonly percent: number
}

/** What a worker lists as running. */
export interface WorkerListing {
  readonly incarnation: string
  /** Host of the worker. */
  readonly host: string
  readonly runs: readonly ListedRun[]
  /** Milliseconds since the epoch. */
  readonly at: number
}

/** Intervals that have ended, and the names of runs that are no longer listed. */
export interface EndedIntervals {
  readonly intervals: readonly RateInterval[]
  readonly gone: readonly string[]
}

/** Time after which a run no longer starts up, in milliseconds. Progress before it says nothing about the neighbours. */
const START_MILLISECONDS = 1_000
/** Time after a change of neighbours that is left out, in milliseconds: percentages are up to 0.7 s old, and the neighbour may still be starting. */
const SETTLE_MILLISECONDS = 1_000
/** Shortest interval, in milliseconds: with percentages of unknown age, a shorter one tells no slow-down from noise. */
const MIN_MILLISECONDS = 1_500
/** Least progress in an interval, in percent: whole percentages make less than this too coarse. */
const MIN_PERCENT = 4

interface Reading {
  readonly percent: number
  readonly at: number
}

interface TrackedRun {
  readonly kind: string
  percent: number
  neighbours: readonly string[]
  /** Joined names of the neighbours, for comparison. */
  neighboursName: string
  /** When the interval may begin, in milliseconds since the epoch. */
  measuredFrom: number
  /** First reading of the interval, at a change of the percentage. */
  first?: Reading
  last?: Reading
}

const nothingEnded: EndedIntervals = { intervals: [], gone: [] }

/** The present interval of each run. */
export class RateIntervals {
  /** Runs by name, for each incarnation. */
  private readonly workers = new Map<string, Map<string, TrackedRun>>()

  private constructor () {}

  /**
   * Creates the object without runs.
   * @returns the new object
   */
  static create (): RateIntervals {
    return new RateIntervals()
  }

  /**
   * Takes what a worker lists.
   * @param listing - all runs that it lists as running
   * @param kindOf - finds the kind of a run by its name; called only where the list has changed
   * @returns what has ended
   */
  update (listing: WorkerListing, kindOf: (run: string) => string): EndedIntervals {
    const { incarnation, runs: listed, at } = listing
    const runs = this.workers.get(incarnation) ?? new Map<string, TrackedRun>()
    this.workers.set(incarnation, runs)
    if (listed.length !== runs.size || !listed.every(({ name }) => runs.has(name))) return takeChangedList(runs, listing, kindOf)
    for (const { name, percent } of listed) read(runs.get(name), percent, at)
    return nothingEnded
  }

  /**
   * Forgets an incarnation.
   * @param incarnation - the worker's incarnation
   * @returns the names of its runs
   */
  forget (incarnation: string): string[] {
    const names = [...this.workers.get(incarnation)?.keys() ?? []]
    this.workers.delete(incarnation)
    return names
  }

  /** Forgets all. */
  clear (): void {
    this.workers.clear()
  }
}

function takeChangedList (runs: Map<string, TrackedRun>, { host, runs: listed, at: now }: WorkerListing, kindOf: (run: string) => string): EndedIntervals {
  const intervals: RateInterval[] = []
  const end = (name: string, run: TrackedRun): void => { intervals.push(...intervalOf(name, run, host)) }
  const names = new Set(listed.map(({ name }) => name))
  const gone = [...runs.keys()].filter((name) => !names.has(name))
  for (const name of gone) {
    end(name, runs.get(name)!)
    runs.delete(name)
  }
  const counts = new Map<string, number>()
  const kindsByRun = listed.map(({ name }) => runs.get(name)?.kind ?? kindOf(name))
  for (const kind of kindsByRun) counts.set(kind, (counts.get(kind) ?? 0) + 1)
  const kinds = [...counts.keys()].sort()
  for (const [position, { name, percent }] of listed.entries()) {
    const kind = kindsByRun[position] ?? ''
    const neighbours = kinds.filter((other) => other !== kind || (counts.get(kind) ?? 0) > 1)
    const neighboursName = neighbours.join(' ')
    const known = runs.get(name)
    if (known === undefined) {
      runs.set(name, { kind, percent, neighbours, neighboursName, measuredFrom: now + START_MILLISECONDS })
    } else if (known.neighboursName !== neighboursName) {
      end(name, known)
      Object.assign(known, { percent, neighbours, neighboursName, measuredFrom: Math.max(known.measuredFrom, now + SETTLE_MILLISECONDS), first: undefined, last: undefined })
    } else {
      read(known, percent, now)
    }
  }
  return { intervals, gone }
}

/** Intervals begin and end at a change, which is known more exactly than the percentage between two changes. */
function read (run: TrackedRun | undefined, percent: number, now: number): void {
  if (run === undefined || percent === run.percent) return
  const fellBack = percent < run.percent
  run.percent = percent
  if (now < run.measuredFrom) return
  const reading = { percent, at: now }
  if (run.first === undefined || fellBack) {
    run.first = reading
    run.last = undefined
  } else {
    run.last = reading
  }
}

function intervalOf (name: string, { kind, neighbours, first, last }: TrackedRun, worker: string): RateInterval[] {
  if (first === undefined || last === undefined) return []
  const percent = last.percent - first.percent
  const milliseconds = last.at - first.at
  return percent < MIN_PERCENT || milliseconds < MIN_MILLISECONDS ? [] : [{ run: name, kind, worker, neighbours, percent, milliseconds, endedAt: last.at }]
}
