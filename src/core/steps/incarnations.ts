/** Log entries that concern one incarnation of a worker: announced, resized, leaving, lost. */
import { Map as ImmutableMap } from 'immutable'
import { ok, type Result } from 'neverthrow'
import type { Draft } from '../draft'
import { EffectKind } from '../effect'
import type { Refusal } from '../verdict'
import { gangUnderSuspicion, isPastCrashBound, withCrash, withCrashedTasks, withLoss, type CrashedGang, type CrashSuspect, type GangAttempt } from './crash-evidence'
import { endStepJob, setStepJob } from './jobs'
import { gangOf, IncarnationLossCause, JobEndReason, noResources, StepJobState, type WorkerIncarnation } from './model'
import { resourcesOf, sameResources } from './resources'
import { endMember, replaceGang, setIncarnation } from './runs'
import { StepTransactionKind, type AnnounceIncarnation, type LeaveIncarnation, type LoseIncarnation, type ResizeIncarnation } from './transactions'
import { runName, type RunKey, RunOutcome } from './run'

type Outcome = Result<void, Refusal>

/**
 * Registers an incarnation. An incarnation that is already registered stays unchanged.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing; this entry is never refused
 */
export function announceIncarnation (draft: Draft, transaction: AnnounceIncarnation): Outcome {
  const { life } = transaction
  if (draft.steps.incarnations.has(life.incarnation)) return ok(undefined)
  setIncarnation(draft, { ...life, registeredAt: draft.at, leaving: false, acknowledged: 0, runs: ImmutableMap(), used: noResources })
  draft.recordEvent({ kind: StepTransactionKind.AnnounceIncarnation, workers: [life.worker] })
  return ok(undefined)
}

/**
 * Changes the capacity of an incarnation. Its runs and the resources that they occupy stay as they are.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing; this entry is never refused
 */
export function resizeIncarnation (draft: Draft, transaction: ResizeIncarnation): Outcome {
  const { incarnation } = transaction
  const worker = draft.steps.incarnations.get(incarnation)
  const capacity = resourcesOf(transaction.capacity)
  if (worker === undefined || sameResources(worker, capacity)) return ok(undefined)
  setIncarnation(draft, { ...worker, ...capacity })
  draft.recordEvent({ kind: StepTransactionKind.ResizeIncarnation, workers: [worker.worker], capacityBefore: resourcesOf(worker), capacityAfter: capacity })
  return ok(undefined)
}

/**
 * Marks an incarnation as leaving, so that it gets no new work.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing; this entry is never refused
 */
export function leaveIncarnation (draft: Draft, transaction: LeaveIncarnation): Outcome {
  const { incarnation } = transaction
  const worker = draft.steps.incarnations.get(incarnation)
  if (worker === undefined || worker.leaving) return ok(undefined)
  setIncarnation(draft, { ...worker, leaving: true })
  draft.recordEvent({ kind: StepTransactionKind.LeaveIncarnation, workers: [worker.worker] })
  return ok(undefined)
}

/**
 * Ends all runs of an incarnation as lost and removes it. A crash counts against the gangs that may have caused it.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing; this entry is never refused
 */
export function loseIncarnation (draft: Draft, transaction: LoseIncarnation): Outcome {
  const { incarnation, checkpoints, cause, aliveAt } = transaction
  const worker = draft.steps.incarnations.get(incarnation)
  if (worker === undefined) return ok(undefined)
  const newest = new Map(checkpoints.map(({ key, checkpoint }) => [runName(key), checkpoint]))
  const suspects = attemptsOn(draft, worker, cause, transaction.suspects)
  const crashedTasks = attemptsOn(draft, worker, cause, transaction.crashedTasks)
  for (const [name, key] of sortedByName(worker.runs)) endMember(draft, key, incarnation, RunOutcome.Lost, newest.get(name) ?? '')
  const losses = withLoss(draft.steps.losses, { incarnation, host: worker.host, rack: worker.rack, at: draft.at, aliveAt })
  draft.steps = { ...draft.steps, incarnations: draft.steps.incarnations.delete(incarnation), losses }
  draft.recordEvent({ kind: StepTransactionKind.LoseIncarnation, workers: [worker.worker], reason: cause })
  for (const crashed of crashedTasks) recordCrashedTasks(draft, crashed)
  for (const suspect of suspects) recordCrash(draft, suspect, worker)
  return ok(undefined)
}

/** The attempts of which a task is on the worker. A worker that was leaving may have ended by itself. */
function attemptsOn<Attempt extends GangAttempt> (draft: Draft, worker: WorkerIncarnation, cause: IncarnationLossCause | undefined, attempts: readonly Attempt[] = []): Attempt[] {
  if (cause !== IncarnationLossCause.Replaced || worker.leaving) return []
  return attempts.filter((suspect) => {
    const gang = gangUnderSuspicion(draft.steps, suspect)
    return gang !== undefined && worker.runs.some((key) => key.job === suspect.job && key.step === suspect.step && key.attempt === suspect.attempt && gangOf(draft.steps.jobs.get(key.job), key) === gang)
  })
}

function recordCrashedTasks (draft: Draft, crashed: CrashedGang): void {
  const job = draft.steps.jobs.get(crashed.job)
  const gang = gangUnderSuspicion(draft.steps, crashed)
  if (job !== undefined && gang !== undefined) setStepJob(draft, replaceGang(job, crashed, withCrashedTasks(gang, crashed)))
}

/** Ends the job of the gang where the evidence suffices. */
function recordCrash (draft: Draft, suspect: CrashSuspect, { worker, incarnation }: WorkerIncarnation): void {
  const job = draft.steps.jobs.get(suspect.job)
  const gang = gangUnderSuspicion(draft.steps, suspect)
  if (job === undefined || gang === undefined) return
  const { attempt, evidence, step } = suspect
  const suspected = withCrash(gang, { attempt, worker, evidence })
  const updated = replaceGang(job, suspect, suspected)
  setStepJob(draft, updated)
  draft.recordEvent({ kind: StepTransactionKind.LoseIncarnation, account: job.account, job: job.identifier, step, task: gang.first, attempt, workers: [worker], reason: evidence })
  draft.addEffect({ kind: EffectKind.StepGangSuspected, job: job.identifier, step, gang: suspect.gang, attempt, incarnation, evidence, crashes: suspected.crashes?.length ?? 0 })
  if (isPastCrashBound(suspected)) endStepJob(draft, updated, StepJobState.Failed, JobEndReason.WorkersCrashed)
}

/** Sorted by name, so that every control host ends the runs in the same order, in whatever order they were added. */
function sortedByName (runs: WorkerIncarnation['runs']): Array<[string, RunKey]> {
  return [...runs.entries()].sort(([one], [other]) => one < other ? -1 : 1)
}
