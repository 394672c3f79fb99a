import { ok, type Result } from 'neverthrow'
import type { Draft } from './draft'
import { EffectKind } from './effect'
import { JobState, Reason } from './job'
import { beginStop, endMember, isRunning, type RunningJob } from './jobs'
import { isEvacuated } from './steps/evacuations'
import { AttemptOutcome, TransactionKind, type AnnounceWorker, type LeaveWorker, type LoseWorker } from './transaction'
import { Verdict, type Refusal } from './verdict'
import { WorkerHealth, type Worker } from './worker'

type ApplyResult = Result<void, Refusal>

/** The command that brings a reconnected agent to the current state of an attempt. */
const commandOfState: { readonly [state in JobState]?: EffectKind.Reserve | EffectKind.Start | EffectKind.Stop } = {
  [JobState.Reserved]: EffectKind.Reserve,
  [JobState.Running]: EffectKind.Start,
  [JobState.Stopping]: EffectKind.Stop,
  [JobState.Finished]: EffectKind.Stop,
  [JobState.Cancelled]: EffectKind.Stop,
  [JobState.Failed]: EffectKind.Stop
}

/**
 * Records an announced worker, and resolves the attempts that ran there before its agent restarted.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function announceWorker (draft: Draft, transaction: AnnounceWorker): ApplyResult {
  const before = draft.worker(transaction.worker.name)
  const restarted = before !== undefined && before.incarnation !== transaction.incarnation
  draft.setWorker(announcedWorker(before, transaction))
  if (before === undefined) draft.fleetGrewAt = draft.at
  draft.recordEvent({ kind: transaction.kind, workers: [transaction.worker.name], message: restarted ? 'the agent restarted' : 'announced' })
  for (const job of draft.jobsOnWorker(transaction.worker.name)) {
    if (!isRunning(job)) continue
    const known = transaction.running.some((key) => key.job === job.identifier && key.attempt === job.attempt.number)
    if (restarted) settleAfterRestart(draft, job, transaction, known)
    else if (mustNotBegin(draft, job, transaction.worker) && !known) beginStop(draft, job, Reason.Evacuated)
    else resendCommand(draft, job, transaction.worker.name)
  }
  stopUnknownAttempts(draft, transaction)
  return ok(undefined)
}

function announcedWorker (before: Worker | undefined, transaction: AnnounceWorker): Worker {
  return {
    ...transaction.worker,
    incarnation: transaction.incarnation,
    present: true,
    leaving: transaction.leaving,
    health: before?.health ?? WorkerHealth.Healthy,
    recentFailures: before?.recentFailures ?? [],
    probeAt: before?.probeAt ?? 0,
    quarantinedAt: before?.quarantinedAt
  }
}

/** After an agent restart, attempts that the platform still reports continue; the others are lost and may have run. */
function settleAfterRestart (draft: Draft, job: RunningJob, transaction: AnnounceWorker, known: boolean): void {
  const worker = transaction.worker.name
  if (!known) {
    endMember(draft, job, worker, lostMemberEnd(job))
    return
  }
  const members = job.attempt.members.map((member) => member.worker === worker ? { ...member, incarnation: transaction.incarnation } : member)
  draft.setJob({ ...job, attempt: { ...job.attempt, members } })
  resendCommand(draft, job, worker)
}

/** A start that is sent again would begin the attempt in an evacuated data centre. */
function mustNotBegin (draft: Draft, { state }: RunningJob, { dataCentre }: AnnounceWorker['worker']): boolean {
  return state === JobState.Running && isEvacuated(draft.steps, dataCentre)
}

function lostMemberEnd (job: RunningJob): Parameters<typeof endMember>[3] {
  const verdict = job.attempt.startedAt === 0 ? Verdict.NotRun : Verdict.MayHaveRun
  return { outcome: AttemptOutcome.Lost, verdict, reason: Reason.MemberLost, usedMemory: 0 }
}

function resendCommand (draft: Draft, job: RunningJob, worker: string): void {
  const kind = commandOfState[job.state]
  if (kind === undefined || job.attempt.ended.includes(worker)) return
  draft.addEffect({ kind, job: job.identifier, attempt: job.attempt.number, worker })
}

/** Stops running attempts that are not in the log, or that have ended on this worker. */
function stopUnknownAttempts (draft: Draft, transaction: AnnounceWorker): void {
  for (const key of transaction.running) {
    const job = draft.job(key.job)
    const wanted = job?.attempt?.number === key.attempt && !job.attempt.ended.includes(transaction.worker.name)
    if (!wanted) draft.addEffect({ kind: EffectKind.Stop, job: key.job, attempt: key.attempt, worker: transaction.worker.name })
  }
}

/**
 * Ends the attempts on a worker whose lease expired.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function loseWorker (draft: Draft, transaction: LoseWorker): ApplyResult {
  const worker = draft.worker(transaction.worker)
  if (worker === undefined || worker.incarnation !== transaction.incarnation || !worker.present) return ok(undefined)
  draft.setWorker({ ...worker, present: false })
  draft.recordEvent({ kind: transaction.kind, workers: [worker.name], reason: Reason.MemberLost })
  for (const job of draft.jobsOnWorker(worker.name)) {
    const current = draft.job(job.identifier)
    if (current !== undefined && isRunning(current)) endMember(draft, current, worker.name, lostMemberEnd(current))
  }
  return ok(undefined)
}

/**
 * Records that a target is leaving; its worker gets no new work.
 * @param draft - the change being made
 * @param transaction - the entry
 * @returns nothing, or a refusal, which leaves the state unchanged
 */
export function leaveWorker (draft: Draft, transaction: LeaveWorker): ApplyResult {
  const worker = draft.worker(transaction.worker)
  if (worker === undefined || worker.leaving) return ok(undefined)
  draft.setWorker({ ...worker, leaving: true })
  draft.recordEvent({ kind: TransactionKind.LeaveWorker, workers: [worker.name], reason: Reason.WorkerLeaving })
  return ok(undefined)
}
