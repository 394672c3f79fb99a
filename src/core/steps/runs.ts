/** Log entries that concern runs: a gang starts and stops as a whole, but its members end one by one. */
import { err, ok, type Result } from 'neverthrow'
import type { Draft } from '../draft'
import { EffectKind } from '../effect'
import { notRunRefusal, RefusalCode, type Refusal } from '../verdict'
import { isPastCrashBound } from './crash-evidence'
import { isEvacuated } from './evacuations'
import { endStepJob, markGangStopping, queueOfJob, setStepJob } from './jobs'
import { addResources, gangOf, StepJobState, stepJobEnded, StopReason, type Gang, type GangRun, type WorkerIncarnation, type StepJob, type StepSpecification } from './model'
import { FreeCapacity, requirementsOf } from './free-capacity'
import { recordRevocableStart } from './revocable-starts'
import { StepTransactionKind, type EndRuns, type GangKey, type SaveCheckpoints, type StartGang, type StopGang, type TaskPlacement } from './transactions'
import { runName, type RunKey, RunOutcome } from './run'

type Outcome = Result<void, Refusal>

/**
 * Starts all tasks of a gang. Refused where a task does not fit, so that a fault in the scheduling policy cannot overload a worker.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function startGang (draft: Draft, transaction: StartGang): Outcome {
  const job = draft.steps.jobs.get(transaction.job)
  const gang = job?.gangs[transaction.step]?.[transaction.gang]
  const step = job?.specification.steps[transaction.step]
  if (job === undefined || gang === undefined || step === undefined) return conflict('there is no such gang')
  const { attempt, placements } = transaction
  if (stepJobEnded(job) || gang.done || gang.run !== undefined) return conflict('the gang is not waiting')
  if (attempt !== gang.attempts + 1 || placements.length !== gang.size) return conflict('the attempt number or the number of placements does not match the gang')
  if (isPastCrashBound(gang)) return conflict('too many workers crashed under the gang')
  if (!stepsDone(job, step.after)) return conflict('an earlier step is not done')
  for (const placement of placements) {
    const allocated = allocateTask(draft, { job: job.identifier, step: transaction.step, task: placement.task, attempt }, placement, step)
    if (allocated.isErr()) return allocated
  }
  const members = placements.map(({ task, incarnation }) => ({ task, incarnation, ended: false }))
  const run: GangRun = { attempt, members, startedAt: draft.at, startCheckpoint: gang.checkpoint, failed: false }
  setStepJob(draft, { ...replaceGang(job, transaction, { ...gang, attempts: attempt, run }), state: StepJobState.Running, started: true })
  recordStart(draft, job, transaction, attempt, members.map(({ incarnation }) => draft.steps.incarnations.get(incarnation)?.worker ?? incarnation))
  return ok(undefined)
}

function allocateTask (draft: Draft, key: RunKey, { incarnation }: TaskPlacement, step: StepSpecification): Outcome {
  const worker = draft.steps.incarnations.get(incarnation)
  if (worker === undefined || worker.leaving) return conflict('a worker is lost or leaving')
  if (isEvacuated(draft.steps, worker.dataCentre)) return conflict(`data centre ${worker.dataCentre} is evacuated`)
  if (!FreeCapacity.measure([worker]).canHost(incarnation, requirementsOf(key.job, key.step, step))) return conflict(`worker ${worker.worker} cannot take one more task of the step`)
  setIncarnation(draft, { ...worker, runs: worker.runs.set(runName(key), key), used: addResources(worker.used, step) })
  draft.addEffect({ kind: EffectKind.IncarnationChanged, incarnation })
  return ok(undefined)
}

/**
 * Stops a gang's run. Has no effect where the given attempt is no longer the current run.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing; this entry is never refused
 */
export function stopGang (draft: Draft, transaction: StopGang): Outcome {
  const job = draft.steps.jobs.get(transaction.job)
  const gang = job?.gangs[transaction.step]?.[transaction.gang]
  if (job === undefined || gang?.run?.attempt !== transaction.attempt) return ok(undefined)
  const stopping = markGangStopping(draft, gang, transaction.reason)
  const stalled = transaction.reason === StopReason.Stalled && stopping !== gang
  setStepJob(draft, replaceGang(job, transaction, stalled ? { ...stopping, stalls: (gang.stalls ?? 0) + 1 } : stopping))
  draft.recordEvent({ kind: transaction.kind, account: job.account, job: job.identifier, attempt: transaction.attempt, step: transaction.step, reason: transaction.reason })
  return ok(undefined)
}

/**
 * Saves checkpoints of current runs. Checkpoints of runs that have ended or been replaced by a later attempt are ignored.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing; this entry is never refused
 */
export function saveCheckpoints (draft: Draft, transaction: SaveCheckpoints): Outcome {
  for (const { key, checkpoint } of transaction.checkpoints) {
    const job = draft.steps.jobs.get(key.job)
    const gang = gangOf(job, key)
    if (job === undefined || gang?.run?.attempt !== key.attempt || checkpoint === '') continue
    setStepJob(draft, replaceGang(job, gangKeyOf(job, key, gang), { ...gang, checkpoint }))
  }
  return ok(undefined)
}

/**
 * Records the ends of runs that a worker reported. Ends that have already been recorded are ignored.
 * @param draft - the draft being modified
 * @param transaction - the log entry
 * @returns nothing; this entry is never refused
 */
export function endRuns (draft: Draft, transaction: EndRuns): Outcome {
  const { incarnation, ends } = transaction
  const worker = draft.steps.incarnations.get(incarnation)
  if (worker === undefined) return ok(undefined)
  const fresh = ends.filter(({ number }) => number === 0 || number > worker.acknowledged)
  for (const { key, outcome, checkpoint } of fresh) endMember(draft, key, incarnation, outcome, checkpoint)
  const updated = draft.steps.incarnations.get(incarnation)
  const acknowledged = fresh.reduce((highest, { number }) => Math.max(highest, number), worker.acknowledged)
  if (updated !== undefined && acknowledged > worker.acknowledged) {
    setIncarnation(draft, { ...updated, acknowledged })
    draft.addEffect({ kind: EffectKind.IncarnationChanged, incarnation })
  }
  return ok(undefined)
}

/**
 * Ends one member of a run. An end of another attempt or of another incarnation is ignored.
 * @param draft - the draft being modified
 * @param key - the run
 * @param incarnation - incarnation of the worker on which it ran
 * @param outcome - how it ended
 * @param checkpoint - checkpoint from which the gang can resume, empty for none
 */
export function endMember (draft: Draft, key: RunKey, incarnation: string, outcome: RunOutcome, checkpoint: string): void {
  const job = draft.steps.jobs.get(key.job)
  const gang = gangOf(job, key)
  const member = gang?.run?.members.find(({ task }) => task === key.task)
  if (job === undefined || gang?.run?.attempt !== key.attempt || member?.incarnation !== incarnation || member.ended) return
  const worker = draft.steps.incarnations.get(incarnation)
  if (worker !== undefined) recordRevocableStart(draft, worker.worker, incarnation, key)
  releaseTask(draft, key, incarnation, job)
  const members = gang.run.members.map((other) => other === member ? { ...other, ended: true } : other)
  const run = { ...gang.run, members, failed: gang.run.failed || outcome === RunOutcome.Failed }
  const after: Gang = { ...gang, run, done: gang.done || outcome === RunOutcome.Done, checkpoint: checkpoint === '' ? gang.checkpoint : checkpoint }
  const gangKey = gangKeyOf(job, key, gang)
  recordEnd(draft, job, key, incarnation, outcome)
  draft.addEffect({ kind: EffectKind.StepRunEnded, ...gangKey, attempt: key.attempt, incarnation, outcome, ranMilliseconds: draft.at - gang.run.startedAt })
  if (members.every(({ ended }) => ended)) updateJob(draft, replaceGang(job, gangKey, withRunEnded(after)), gangKey)
  else updateJob(draft, replaceGang(job, gangKey, outcome === RunOutcome.Done ? after : markGangStopping(draft, after, StopReason.MemberEnded)), gangKey)
}

function releaseTask (draft: Draft, key: RunKey, incarnation: string, job: StepJob): void {
  const worker = draft.steps.incarnations.get(incarnation)
  const step = job.specification.steps[key.step]
  if (worker === undefined || step === undefined || !worker.runs.has(runName(key))) return
  setIncarnation(draft, { ...worker, runs: worker.runs.delete(runName(key)), used: addResources(worker.used, step, -1) })
}

/** However many members failed, the attempt counts as one failure of the gang, and as none where the gang is done. */
function withRunEnded (gang: Gang): Gang {
  const failures = gang.failures + (gang.run?.failed === true && !gang.done ? 1 : 0)
  return { ...gang, failures, run: undefined }
}

function updateJob (draft: Draft, job: StepJob, { step, gang: position }: GangKey): void {
  setStepJob(draft, job)
  if (stepJobEnded(job)) return
  const gang = job.gangs[step]?.[position]
  if (gang !== undefined && !gang.done && gang.failures >= queueOfJob(draft.steps, job).mostAttempts) endStepJob(draft, job, StepJobState.Failed)
  else if (job.gangs.every((gangs) => gangs.every(({ done }) => done))) endStepJob(draft, job, StepJobState.Completed)
}

/**
 * Tells whether steps are done.
 * @param job - the job
 * @param steps - numbers of the steps
 * @returns true where every gang of these steps is done
 */
export function stepsDone (job: StepJob, steps: readonly number[]): boolean {
  return steps.every((step) => job.gangs[step]?.every(({ done }) => done) === true)
}

/**
 * Inserts or replaces an incarnation of a worker.
 * @param draft - the draft being modified
 * @param worker - the updated incarnation
 */
export function setIncarnation (draft: Draft, worker: WorkerIncarnation): void {
  draft.steps = { ...draft.steps, incarnations: draft.steps.incarnations.set(worker.incarnation, worker) }
}

function gangKeyOf (job: StepJob, { step }: RunKey, gang: Gang): GangKey {
  const gangs = job.gangs[step] ?? []
  const expected = Math.floor(gang.first / gang.size)
  return { job: job.identifier, step, gang: gangs[expected] === gang ? expected : gangs.indexOf(gang) }
}

/**
 * Replaces a gang of a job.
 * @param job - the job
 * @param key - step and position of the gang
 * @param gang - the updated gang
 * @returns the updated job
 */
export function replaceGang (job: StepJob, key: GangKey, gang: Gang): StepJob {
  const { step, gang: position } = key
  const replaced = job.gangs[step]?.slice() ?? []
  if (position >= 0 && position < replaced.length) replaced[position] = gang
  return { ...job, gangs: job.gangs.map((gangs, number) => number === step ? replaced : gangs) }
}

function recordStart (draft: Draft, job: StepJob, { step }: GangKey, attempt: number, workers: readonly string[]): void {
  const accelerators = (job.specification.steps[step]?.accelerators ?? 0) * workers.length
  draft.recordEvent({ kind: StepTransactionKind.StartGang, account: job.account, job: job.identifier, step, attempt, workers, accelerators })
}

function recordEnd (draft: Draft, job: StepJob, { step, task, attempt }: RunKey, incarnation: string, outcome: RunOutcome): void {
  const workers = [draft.steps.incarnations.get(incarnation)?.worker ?? incarnation]
  draft.recordEvent({ kind: StepTransactionKind.EndRuns, account: job.account, job: job.identifier, step, task, attempt, workers, reason: outcome })
}

function conflict (message: string): Outcome {
  return err(notRunRefusal(RefusalCode.Conflict, message))
}
