/**
 * Judges whether a run has stalled by the pace that it has shown itself, and before that by what is known of its kind.
 * Tasks last from seconds to hours, report whole percentages, and may go backwards after a checkpoint.
 */
import type { Gang, GangRun, StepJob, StepSpecification } from './model'

/** What an agent reports of a run. */
export interface ReportedProgress {
  /** The worker reports the run as running. */
  readonly running: boolean
  readonly percent: number
  /** The newest checkpoint, empty for none. */
  readonly checkpoint: string
}

/** Progress of a run as its agent last reported it, with the pace that it has shown. */
export interface RunProgress {
  /** The worker reports the run as running. */
  readonly running: boolean
  readonly percent: number
  /** When the percentage, the checkpoint or the phase last changed, in milliseconds since the epoch. */
  readonly changedAt: number
  /** When the percentage last changed or was first reported, in milliseconds since the epoch. */
  readonly percentSince?: number
  /** Longest time that the run has taken for one percent, in milliseconds; absent before its first percent. */
  readonly longestPercentMilliseconds?: number
  /** Mean time that the run has taken for one percent, in milliseconds; absent before it has been seen to take a whole one. */
  readonly percentMilliseconds?: number
  /** Number of percent over which the mean was taken. */
  readonly observedPercents?: number
  /** Longest time between two changes of the checkpoint while the percentage stood still, in milliseconds; absent for none. */
  readonly longestCheckpointMilliseconds?: number
}

/** Looks up how long runs of a kind have taken, as the leader has learned it. */
export interface LearnedRunTimes {
  /** Typical time of one task of a step, in milliseconds; undefined where too little is known. */
  typicalMilliseconds (job: StepJob, step: number): number | undefined
}

/** The inputs on which a run is judged, in milliseconds. */
export interface StallAssessment {
  readonly stalled: boolean
  /** Time since the last sign of life. */
  readonly quietMilliseconds: number
  /** Time without a sign of life that the run is allowed. */
  readonly allowedMilliseconds: number
}

/** Shortest time without a sign of life that counts as a stall: reported percentages are up to 1.2 s old. */
const MIN_ALLOWED_MILLISECONDS = 3_500
/** Multiple of the longest time that a run has taken for one percent. */
const PACE_FACTOR = 4
/**
 * The time that a run without progress is allowed, as a share of its estimate: one percent takes a tenth of it where the
 * estimate is ten times too short, and the rest leaves time to load. Up to estimates of 20 s this is within the minimum.
 */
const ESTIMATE_SHARE = 0.175
/** Limit of the doublings by earlier stalls: 3.5 s then become 16 hours, twice the longest job. */
const MAX_DOUBLINGS = 14

/**
 * Adds a report to what is known of a run.
 * @param previous - what was known before; undefined in the first report of the run
 * @param reported - the report
 * @param now - when it came, in milliseconds since the epoch
 * @returns what is known after
 */
export function observeProgress (previous: RunProgress & ReportedProgress | undefined, reported: ReportedProgress, now: number): RunProgress {
  const { running, percent, checkpoint } = reported
  if (previous === undefined) return { running, percent, changedAt: now, percentSince: now }
  const { percentSince = previous.changedAt } = previous
  if (percent > previous.percent && running && previous.running) return withPercents(previous, percent, now)
  if (percent !== previous.percent) return { ...previous, running, percent, changedAt: now, percentSince: now }
  if (checkpoint !== previous.checkpoint) {
    const longestCheckpointMilliseconds = Math.max(previous.longestCheckpointMilliseconds ?? 0, now - previous.changedAt)
    return { ...previous, running, changedAt: now, percentSince, longestCheckpointMilliseconds }
  }
  return running === previous.running ? previous : { ...previous, running, changedAt: now, percentSince: now }
}

/**
 * The first percentage that a run shows may be that of its checkpoint, so the time until then raises the longest time for one
 * percent and does not count for the mean.
 */
function withPercents (previous: RunProgress, percent: number, now: number): RunProgress {
  const { percentSince = previous.changedAt, longestPercentMilliseconds, percentMilliseconds = 0, observedPercents = 0 } = previous
  const percents = percent - previous.percent
  const milliseconds = now - percentSince
  const next = { ...previous, percent, changedAt: now, percentSince: now, longestPercentMilliseconds: Math.max(longestPercentMilliseconds ?? 0, milliseconds / percents) }
  if (longestPercentMilliseconds === undefined) return next
  const observed = observedPercents + percents
  return { ...next, observedPercents: observed, percentMilliseconds: (percentMilliseconds * observedPercents + milliseconds) / observed }
}

/**
 * Estimates the time until a run is done.
 * @param run - the run
 * @param step - its step
 * @param progress - what is known of one of its members
 * @param now - milliseconds since the epoch
 * @returns milliseconds, at the run's own pace; by its estimate before it has shown one
 */
export function remainingTime (run: GangRun, step: StepSpecification, progress: RunProgress, now: number): number {
  const { percent, percentMilliseconds } = progress
  if (percentMilliseconds !== undefined) return percentMilliseconds * (100 - percent)
  if (percent > 0 && run.startCheckpoint === '') return (now - run.startedAt) * (100 - percent) / percent
  return step.estimateMilliseconds * (100 - percent) / 100
}

/**
 * Judges one member of a run.
 * @param gang - the gang; each of its attempts that stalled before gives it more time
 * @param run - its run
 * @param step - the gang's step
 * @param progress - what is known of the member
 * @param now - milliseconds since the epoch
 * @param learnedMilliseconds - typical time of such a task; undefined where it is not known
 * @returns the verdict with its inputs
 */
export function assessStall (gang: Gang, run: GangRun, step: StepSpecification, progress: RunProgress, now: number, learnedMilliseconds?: number): StallAssessment {
  const quietMilliseconds = now - progress.changedAt
  const allowedMilliseconds = allowedTime(gang, run, step, progress, learnedMilliseconds)
  return { stalled: quietMilliseconds > allowedMilliseconds, quietMilliseconds, allowedMilliseconds }
}

function allowedTime ({ stalls = 0 }: Gang, run: GangRun, { estimateMilliseconds }: StepSpecification, progress: RunProgress, learnedMilliseconds: number | undefined): number {
  const { longestPercentMilliseconds = 0, longestCheckpointMilliseconds = 0, observedPercents = 0 } = progress
  const shown = PACE_FACTOR * Math.max(longestPercentMilliseconds, longestCheckpointMilliseconds)
  // A run that stalls at its own pace is more likely to hang than to pause, so its second attempt gets no more time.
  if (observedPercents > 0) return Math.max(MIN_ALLOWED_MILLISECONDS, shown) * doublings(stalls - 1)
  const expected = learnedMilliseconds === undefined ? ESTIMATE_SHARE * estimateMilliseconds : PACE_FACTOR * learnedMilliseconds / 100
  return Math.max(MIN_ALLOWED_MILLISECONDS, shown, expected, PACE_FACTOR * meanSinceStart(run, progress)) * doublings(stalls)
}

/** Mean time for one percent since the start, which a new leader knows as well; 0 for a run that resumed from a checkpoint. */
function meanSinceStart ({ startedAt, startCheckpoint }: GangRun, { percent, changedAt }: RunProgress): number {
  return percent > 0 && startCheckpoint === '' ? (changedAt - startedAt) / percent : 0
}

function doublings (number: number): number {
  return 2 ** Math.min(MAX_DOUBLINGS, Math.max(0, number))
}
