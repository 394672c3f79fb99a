/** The life of runs: started whole, stopped whole, ended one member after another. */
import { err, ok, type Result } from 'neverthrow'
import type { Draft } from '../draft'
import { EffectKind } from '../effect'
import { notRun, RefusalCode, type Refusal } from '../verdict'
import { endStepJob, queueOfJob, setStepJob, stoppedGang } from './jobs'
import { addResources, gangOf, StepJobState, stepJobEnded, StopReason, type Gang, type GangRun, type Life, type StepJob, type StepSpecification } from './model'
import { needOf, Rooms } from './rooms'
import { StepTransactionKind, type EndRuns, type GangKey, type SaveCheckpoints, type StartGang, type StopGang, type TaskPlacement } from './transactions'
import { runName, type RunKey, RunOutcome } from './run'

type Outcome = Result<void, Refusal>

/**
 * Starts a gang whole. Refused where a member would not fit, so that a fault of the policy cannot overload a worker.
 * @param draft - the change under way
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function startGang (draft: Draft, transaction: StartGang): Outcome {
  const job = draft.steps.jobs.get(transaction.job)
  const gang = job?.gangs[transaction.step]?.[transaction.gang]
  const step = job?.specification.steps[transaction.step]
  if (job === undefined || gang === undefined || step === undefined) return refused('there is no such gang')
  const { attempt, placements } = transaction
  if (stepJobEnded(job) || gang.done || gang.run !== undefined) return refused('the gang does not wait')
  if (attempt !== gang.attempts + 1 || placements.length !== gang.size) return refused('the attempt is not the next one')
  if (!stepsDone(job, step.after)) return refused('an earlier step is not done')
  for (const placement of placements) {
    const taken = takeRoom(draft, { job: job.identifier, step: transaction.step, task: placement.task, attempt }, placement, step)
    if (taken.isErr()) return taken
  }
  const members = placements.map(({ task, incarnation }) => ({ task, incarnation, ended: false }))
  const run: GangRun = { attempt, members, startedAt: draft.at, startCheckpoint: gang.checkpoint, failed: false }
  setStepJob(draft, { ...withGang(job, transaction, { ...gang, attempts: attempt, run }), state: StepJobState.Running, started: true })
  noteRun(draft, job, transaction, attempt, members.map(({ incarnation }) => draft.steps.lives.get(incarnation)?.worker ?? incarnation))
  return ok(undefined)
}

function takeRoom (draft: Draft, key: RunKey, { incarnation }: TaskPlacement, step: StepSpecification): Outcome {
  const life = draft.steps.lives.get(incarnation)
  if (life === undefined || life.leaving) return refused('a worker is gone or leaves')
  if (!Rooms.of([life]).holds(incarnation, needOf(key.job, key.step, step))) return refused(`worker ${life.worker} has no room`)
  setLife(draft, { ...life, runs: life.runs.set(runName(key), key), used: addResources(life.used, step) })
  draft.effect({ kind: EffectKind.LifeChanged, incarnation })
  return ok(undefined)
}

/**
 * Stops a gang's run, where it is still the one that was meant.
 * @param draft - the change under way
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function stopGang (draft: Draft, transaction: StopGang): Outcome {
  const job = draft.steps.jobs.get(transaction.job)
  const gang = job?.gangs[transaction.step]?.[transaction.gang]
  if (job === undefined || gang?.run?.attempt !== transaction.attempt) return ok(undefined)
  setStepJob(draft, withGang(job, transaction, stoppedGang(draft, gang, transaction.reason)))
  draft.note({ kind: transaction.kind, account: job.account, job: job.identifier, attempt: transaction.attempt, step: transaction.step, reason: transaction.reason })
  return ok(undefined)
}

/**
 * Saves checkpoints of runs under way. One of a run that is over, or that another has replaced, changes nothing.
 * @param draft - the change under way
 * @param transaction - the entry
 * @returns nothing
 */
export function saveCheckpoints (draft: Draft, transaction: SaveCheckpoints): Outcome {
  for (const { key, checkpoint } of transaction.checkpoints) {
    const job = draft.steps.jobs.get(key.job)
    const gang = gangOf(job, key)
    if (job === undefined || gang?.run?.attempt !== key.attempt || checkpoint === '') continue
    setStepJob(draft, withGang(job, placeOf(job, key, gang), { ...gang, checkpoint }))
  }
  return ok(undefined)
}

/**
 * Records ends that a worker listed. An end that is recorded already changes nothing.
 * @param draft - the change under way
 * @param transaction - the entry
 * @returns nothing, or the refusal that left the state as it was
 */
export function endRuns (draft: Draft, transaction: EndRuns): Outcome {
  const { incarnation, ends } = transaction
  const life = draft.steps.lives.get(incarnation)
  if (life === undefined) return ok(undefined)
  const fresh = ends.filter(({ number }) => number === 0 || number > life.acknowledged)
  for (const { key, outcome, checkpoint } of fresh) endMember(draft, key, incarnation, outcome, checkpoint)
  const now = draft.steps.lives.get(incarnation)
  const acknowledged = Math.max(life.acknowledged, ...fresh.map(({ number }) => number))
  if (now !== undefined && acknowledged > life.acknowledged) {
    setLife(draft, { ...now, acknowledged })
    draft.effect({ kind: EffectKind.LifeChanged, incarnation })
  }
  return ok(undefined)
}

/**
 * Ends one member of a run. An end of another attempt, or on another incarnation, changes nothing.
 * @param draft - the change under way
 * @param key - the run
 * @param incarnation - where it ran
 * @param outcome - how it ended
 * @param checkpoint - from which it may go on, empty for none
 */
export function endMember (draft: Draft, key: RunKey, incarnation: string, outcome: RunOutcome, checkpoint: string): void {
  const job = draft.steps.jobs.get(key.job)
  const gang = gangOf(job, key)
  const member = gang?.run?.members.find(({ task }) => task === key.task)
  if (job === undefined || gang?.run?.attempt !== key.attempt || member?.incarnation !== incarnation || member.ended) return
  releaseRoom(draft, key, incarnation, job)
  const members = gang.run.members.map((other) => other === member ? { ...other, ended: true } : other)
  const run = { ...gang.run, members, failed: gang.run.failed || outcome === RunOutcome.Failed }
  const after: Gang = { ...gang, run, done: gang.done || outcome === RunOutcome.Done, checkpoint: checkpoint === '' ? gang.checkpoint : checkpoint }
  const place = placeOf(job, key, gang)
  noteEnd(draft, job, key, incarnation, outcome)
  if (members.every(({ ended }) => ended)) settle(draft, withGang(job, place, settledGang(after)), place)
  else settle(draft, withGang(job, place, outcome === RunOutcome.Done ? after : stoppedGang(draft, after, StopReason.MemberEnded)), place)
}

function releaseRoom (draft: Draft, key: RunKey, incarnation: string, job: StepJob): void {
  const life = draft.steps.lives.get(incarnation)
  const step = job.specification.steps[key.step]
  if (life === undefined || step === undefined || !life.runs.has(runName(key))) return
  setLife(draft, { ...life, runs: life.runs.delete(runName(key)), used: addResources(life.used, step, -1) })
}

/** One failed member is one failure of the gang; a gang that is done has none. */
function settledGang (gang: Gang): Gang {
  const failures = gang.failures + (gang.run?.failed === true && !gang.done ? 1 : 0)
  return { ...gang, failures, run: undefined }
}

function settle (draft: Draft, job: StepJob, { step, gang: position }: GangKey): void {
  setStepJob(draft, job)
  if (stepJobEnded(job)) return
  const gang = job.gangs[step]?.[position]
  if (gang !== undefined && !gang.done && gang.failures >= queueOfJob(draft.steps, job).mostAttempts) endStepJob(draft, job, StepJobState.Failed)
  else if (job.gangs.every((gangs) => gangs.every(({ done }) => done))) endStepJob(draft, job, StepJobState.Completed)
}

/**
 * Tells whether all tasks of some steps are done.
 * @param job - the job
 * @param steps - numbers of its steps
 * @returns true where nothing of them is left
 */
export function stepsDone (job: StepJob, steps: readonly number[]): boolean {
  return steps.every((step) => job.gangs[step]?.every(({ done }) => done) === true)
}

/**
 * Puts a worker's incarnation in place of its former self.
 * @param draft - the change under way
 * @param life - the incarnation after
 */
export function setLife (draft: Draft, life: Life): void {
  draft.steps = { ...draft.steps, lives: draft.steps.lives.set(life.incarnation, life) }
}

function placeOf (job: StepJob, { step }: RunKey, gang: Gang): GangKey {
  return { job: job.identifier, step, gang: job.gangs[step]?.indexOf(gang) ?? -1 }
}

function withGang (job: StepJob, { step, gang: position }: GangKey, gang: Gang): StepJob {
  return { ...job, gangs: job.gangs.map((gangs, number) => number === step ? gangs.map((other, place) => place === position ? gang : other) : gangs) }
}

function noteRun (draft: Draft, job: StepJob, { step }: GangKey, attempt: number, workers: readonly string[]): void {
  const accelerators = (job.specification.steps[step]?.accelerators ?? 0) * workers.length
  draft.note({ kind: StepTransactionKind.StartGang, account: job.account, job: job.identifier, step, attempt, workers, accelerators })
}

function noteEnd (draft: Draft, job: StepJob, { step, task, attempt }: RunKey, incarnation: string, outcome: RunOutcome): void {
  const workers = [draft.steps.lives.get(incarnation)?.worker ?? incarnation]
  draft.note({ kind: StepTransactionKind.EndRuns, account: job.account, job: job.identifier, step, task, attempt, workers, reason: outcome })
}

function refused (message: string): Outcome {
  return err(notRun(RefusalCode.Conflict, message))
}
