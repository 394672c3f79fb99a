/** Crashes of workers as evidence against the gangs that had just started there. docs/CRASHES.md has the reasons. */
import { gangOf, stepJobEnded, type Gang, type IncarnationLoss, type StepState, type WorkerIncarnation } from './model'
import type { GangKey } from './transactions'

/** Time for which a worker must have lived after a start so that the run cannot have crashed it, in milliseconds. */
export const SETTLED_MILLISECONDS = 1_000
/** Greatest difference between the last signs of life of workers that are lost together, in milliseconds. */
const TOGETHER_MILLISECONDS = 2_500
/** Time without a sign of life after which a worker may be down, in milliseconds: an interval of heartbeats and one of reports. */
export const QUIET_MILLISECONDS = 2_000
/** Time for which losses are kept for comparison, in milliseconds. */
const LOSS_RETENTION_MILLISECONDS = 60_000

/** Crashes that end the job of a gang where one of them is {@link CrashEvidence.Alone}. */
const CRASHES_WITH_PROOF = 2
/** Crashes that end the job of a gang, not counting {@link CrashEvidence.WithRack}. */
const MAX_CRASHES = 3
/** Crashes that end the job of a gang, whatever their evidence. */
const MAX_CRASHES_IN_ALL = 4

/** What the crash of a worker says about a gang that had just started there. */
export enum CrashEvidence {
  /** Nothing else had just started on the worker. */
  Alone = 'crashed-alone',
  /** Other runs had just started there as well. */
  BesideOthers = 'crashed-beside-others',
  /** The whole rack was lost at the same time. */
  WithRack = 'crashed-with-its-rack'
}

/** The crash of a worker in one attempt of a gang. */
export interface WorkerCrash {
  readonly attempt: number
  /** The worker that crashed, the first where the attempt cost several. */
  readonly worker: string
  readonly evidence: CrashEvidence
}

/** The tasks of a gang that had just started on workers that crashed in one attempt. */
export interface CrashedTasks {
  readonly attempt: number
  /** Positions within the step, ascending. */
  readonly tasks: readonly number[]
}

/** An attempt of a gang. */
export interface GangAttempt extends GangKey {
  readonly attempt: number
}

/** A gang for which the crash of a worker counts. */
export interface CrashSuspect extends GangAttempt {
  readonly evidence: CrashEvidence
}

/** The tasks of a gang that had just started on one worker that crashed. */
export interface CrashedGang extends GangAttempt, CrashedTasks {}

/** What the crash of a worker says about the gangs there. */
export interface CrashAssessment {
  readonly suspects: readonly CrashSuspect[]
  readonly crashedTasks: readonly CrashedGang[]
}

/** What the leader knows of a crash: when it last saw each worker alive, and what had begun on the crashed one. */
export interface SignsOfLife {
  /** Milliseconds since the epoch, by incarnation; absent for those that this leader has not seen alive. */
  readonly aliveAt: ReadonlyMap<string, number>
  /** Milliseconds since the epoch. */
  readonly now: number
  /** Names of the runs that may have begun in the incarnation that crashed; undefined where that is not known. */
  readonly begun?: ReadonlySet<string>
}

const strengths: readonly CrashEvidence[] = [CrashEvidence.WithRack, CrashEvidence.BesideOthers, CrashEvidence.Alone]

/**
 * Tells whether a run has shown that its start does not crash its worker.
 * @param startedAt - when the start was decided
 * @param aliveAt - when the worker was last seen alive; undefined for never
 * @returns true where the worker lived on after the start
 */
export function hasSettled (startedAt: number, aliveAt: number | undefined): boolean {
  return aliveAt !== undefined && aliveAt - startedAt >= SETTLED_MILLISECONDS
}

/**
 * Tells whether a gang has evidence against it.
 * @param gang - the gang
 * @returns true after the first crash
 */
export function isCrashSuspect (gang: Gang): boolean {
  return gang.crashes !== undefined
}

/**
 * Tells whether the crashes under a gang end its job.
 * @param gang - the gang
 * @returns true where it must not be started again
 */
export function isPastCrashBound (gang: Gang): boolean {
  const { crashes = [] } = gang
  const own = crashes.filter(({ evidence }) => evidence !== CrashEvidence.WithRack)
  const proven = own.length >= CRASHES_WITH_PROOF && own.some(({ evidence }) => evidence === CrashEvidence.Alone)
  return proven || own.length >= MAX_CRASHES || crashes.length >= MAX_CRASHES_IN_ALL
}

/**
 * Adds a crash to those of a gang. An attempt counts once, with its strongest evidence.
 * @param gang - the gang
 * @param crash - the crash
 * @returns the updated gang
 */
export function withCrash (gang: Gang, crash: WorkerCrash): Gang {
  const { crashes = [] } = gang
  const known = crashes.find(({ attempt }) => attempt === crash.attempt)
  if (known === undefined) return { ...gang, crashes: [...crashes, crash] }
  if (strengths.indexOf(known.evidence) >= strengths.indexOf(crash.evidence)) return gang
  return { ...gang, crashes: crashes.map((other) => other === known ? { ...known, evidence: crash.evidence } : other) }
}

/**
 * Adds tasks to those under the crashes of a gang.
 * @param gang - the gang
 * @param crashed - the attempt, and its tasks on the worker that crashed
 * @returns the updated gang
 */
export function withCrashedTasks (gang: Gang, crashed: CrashedTasks): Gang {
  const { attempt, tasks } = crashed
  const { crashedTasks = [] } = gang
  const known = crashedTasks.find((other) => other.attempt === attempt)
  const merged = [...new Set([...known?.tasks ?? [], ...tasks])].sort((one, other) => one - other)
  return { ...gang, crashedTasks: [...crashedTasks.filter((other) => other !== known), { attempt, tasks: merged }] }
}

/**
 * Adds a loss to those that are kept for comparison, and removes those that are too old.
 * @param losses - the losses so far
 * @param loss - the new one
 * @returns the updated list
 */
export function withLoss (losses: readonly IncarnationLoss[], loss: IncarnationLoss): IncarnationLoss[] {
  return [...losses.filter(({ at }) => at > loss.at - LOSS_RETENTION_MILLISECONDS), loss]
}

/**
 * Assesses the crash of a worker.
 * @param state - state of the step jobs before the loss
 * @param incarnation - the incarnation that crashed
 * @param signs - when the workers were last seen alive, and what had begun in the one that crashed
 * @returns the gangs that may be the cause, and those for which the crash counts; none where the worker was leaving or was never seen alive
 */
export function assessCrash (state: StepState, incarnation: string, signs: SignsOfLife): CrashAssessment {
  const worker = state.incarnations.get(incarnation)
  const aliveAt = signs.aliveAt.get(incarnation)
  if (worker === undefined || worker.leaving || aliveAt === undefined) return noSuspects
  const started = gangsJustStarted(state, worker, aliveAt, signs.begun)
  const open = started.filter(({ job }) => state.jobs.get(job)?.endedAt === 0)
  const suspects = open.filter(({ gangState, ...crashed }) => addsUp(gangState, crashed)).map(({ gangState, tasks: _tasks, ...key }) => {
    const evidence = isLossOfRack(state, worker, signs, gangState)
      ? CrashEvidence.WithRack
      : started.length > 1 ? CrashEvidence.BesideOthers : CrashEvidence.Alone
    return { ...key, evidence }
  })
  return { suspects, crashedTasks: open.map(({ gangState: _gang, ...crashed }) => crashed) }
}

/** The assessment of a loss that is no evidence. */
export const noSuspects: CrashAssessment = { suspects: [], crashedTasks: [] }

/**
 * Whether more workers have crashed under one of the tasks than crashes count for the gang. The members of a gang share each
 * attempt, so that crashes under different members show no task that crashes its workers.
 */
function addsUp (gang: Gang, { attempt, tasks }: CrashedTasks): boolean {
  const counted = (gang.crashes ?? []).filter((crash) => crash.attempt !== attempt)
  const earlier = (gang.crashedTasks ?? []).filter((crashed) => crashed.attempt !== attempt)
  const withoutTasks = counted.filter((crash) => earlier.every((crashed) => crashed.attempt !== crash.attempt)).length
  return tasks.some((task) => withoutTasks + earlier.filter((crashed) => crashed.tasks.includes(task)).length >= counted.length)
}

interface StartedGang extends CrashedGang {
  readonly gangState: Gang
}

/** Sorted, and with those of ended jobs, which may have crashed the worker as well. */
function gangsJustStarted (state: StepState, worker: WorkerIncarnation, aliveAt: number, begun?: ReadonlySet<string>): StartedGang[] {
  const found = new Map<string, StartedGang>()
  for (const [name, key] of worker.runs) {
    if (begun?.has(name) === false) continue
    const job = state.jobs.get(key.job)
    const gang = gangOf(job, key)
    if (job === undefined || gang?.run?.attempt !== key.attempt || hasSettled(gang.run.startedAt, aliveAt)) continue
    const position = job.gangs[key.step]?.indexOf(gang) ?? -1
    const identifier = `${key.job}.${key.step}.${position}`
    const tasks = [...found.get(identifier)?.tasks ?? [], key.task].sort((one, other) => one - other)
    found.set(identifier, { job: key.job, step: key.step, gang: position, attempt: key.attempt, tasks, gangState: gang })
  }
  return [...found.entries()].sort(([one], [other]) => one < other ? -1 : 1).map(([, started]) => started)
}

/** Hosts of the workers on which a gang runs, and of those that were lost under its present run. */
function hostsOf (state: StepState, { run }: Gang): ReadonlySet<string> {
  const lost = new Map(state.losses.map(({ incarnation, host }) => [incarnation, host]))
  return new Set((run?.members ?? []).map(({ incarnation }) => state.incarnations.get(incarnation)?.host ?? lost.get(incarnation) ?? ''))
}

/** Whether all other workers of the rack went down at the same time or were down already; those of the fleet where the rack has no other. */
function isLossOfRack (state: StepState, worker: WorkerIncarnation, signs: SignsOfLife, gang: Gang): boolean {
  const aliveAt = signs.aliveAt.get(worker.incarnation) ?? 0
  const startedAt = gang.run?.startedAt ?? 0
  const excepted = hostsOf(state, gang)
  const isOther = (host: string): boolean => host !== worker.host && !excepted.has(host)
  const present = [...state.incarnations.values()].filter(({ host }) => isOther(host))
  const losses = state.losses.filter(({ host, at }) => isOther(host) && at > signs.now - LOSS_RETENTION_MILLISECONDS)
  const inRack = new Set([...present, ...losses].filter(({ rack }) => rack === worker.rack).map(({ host }) => host))
  const compared = inRack.size > 0 ? inRack : new Set([...present, ...losses].map(({ host }) => host))
  const wasDown = new Set(losses.filter((loss) => loss.at > startedAt && (loss.aliveAt ?? loss.at) <= aliveAt + TOGETHER_MILLISECONDS).map(({ host }) => host))
  const up = new Set(present.filter(({ incarnation }) => !isQuiet(signs.aliveAt.get(incarnation), aliveAt, signs.now)).map(({ host }) => host))
  return compared.size > 0 && [...compared].every((host) => wasDown.has(host) || !up.has(host))
}

function isQuiet (aliveAt: number | undefined, crashedAliveAt: number, now: number): boolean {
  return aliveAt === undefined || (aliveAt <= crashedAliveAt + TOGETHER_MILLISECONDS && now - aliveAt >= QUIET_MILLISECONDS)
}

/**
 * Tells whether a gang can still be held responsible for a crash: it is not done, its job has not ended, and the attempt is its last.
 * @param state - state of the step jobs
 * @param suspect - the gang with its attempt
 * @returns the gang, or undefined
 */
export function gangUnderSuspicion (state: StepState, suspect: GangAttempt): Gang | undefined {
  const { job: identifier, step, gang: position, attempt } = suspect
  const job = state.jobs.get(identifier)
  const gang = job?.gangs[step]?.[position]
  return job === undefined || stepJobEnded(job) || gang === undefined || gang.done || gang.attempts !== attempt ? undefined : gang
}
