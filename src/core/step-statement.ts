/** Lines of an account statement for step jobs. */
import { StatementKind, type JobSummary, type StatementEvent } from './account-statement'
import type { RecordEvent } from './record'
import { CrashEvidence } from './steps/crash-evidence'
import { JobEndReason, StepJobState, StopReason } from './steps/model'
import { StepTransactionKind } from './steps/transactions'
import { Verdict } from './verdict'

/** The part of the statement builder that the handlers for step jobs use. */
export interface StatementWriter {
  readonly account: string
  readonly jobs: Map<string, JobSummary>
  addLine (event: StatementEvent, kind: StatementKind, text: string): void
}

type StepHandler = (writer: StatementWriter, event: StatementEvent) => void

/** Handlers by kind of event. Events of other accounts add no lines. */
export const stepHandlers: { readonly [kind in RecordEvent['kind']]?: StepHandler } = {
  [StepTransactionKind.ReplaceDocument]: onGuaranteeChanged,
  [StepTransactionKind.SubmitSteps]: onSubmitted,
  [StepTransactionKind.StartGang]: onGangStarted,
  [StepTransactionKind.StopGang]: onGangStopped,
  [StepTransactionKind.EndRuns]: onEnded,
  [StepTransactionKind.LoseIncarnation]: onWorkerCrashed
}

function onGuaranteeChanged (writer: StatementWriter, event: StatementEvent): void {
  const guarantee = event.acceleratorGuarantees?.find(({ account }) => account === writer.account)
  if (guarantee === undefined) return
  writer.addLine(event, StatementKind.Promised, `queue document ${event.number ?? 0}: ${guarantee.accelerators} accelerators at all times for jobs of priority 0`)
}

function onSubmitted (writer: StatementWriter, event: StatementEvent): void {
  const { account, job, queue = '', accelerators = 0 } = event
  if (account !== writer.account || job === undefined) return
  writer.jobs.set(job, { job, acceptedAt: event.at, attempts: 0, startedAt: 0, endedAt: 0, state: StepJobState.Queued, finishes: 0 })
  writer.addLine(event, StatementKind.Accepted, `job ${job} accepted in queue ${queue}, needs ${accelerators} accelerators to begin`)
}

function onGangStarted (writer: StatementWriter, event: StatementEvent): void {
  const job = jobOf(writer, event)
  if (job === undefined) return
  const { step = 0, attempt = 0, workers = [], accelerators = 0 } = event
  job.state = StepJobState.Running
  job.attempts = Math.max(job.attempts, attempt)
  if (job.startedAt === 0) job.startedAt = event.at
  const waited = ((event.at - job.acceptedAt) / 1_000).toFixed(3)
  writer.addLine(event, StatementKind.Started, `job ${job.job} step ${step} attempt ${attempt} starts whole on ${workers.join(', ')} with ${accelerators} accelerators in all, ${waited} s after its acceptance`)
}

const stopReasonTexts: { readonly [reason: string]: string } = {
  [StopReason.Cancelled]: 'its caller cancelled the job',
  [StopReason.JobFailed]: 'its job has failed',
  [StopReason.MemberEnded]: 'another of its tasks ended',
  [StopReason.Reclaimed]: 'another account reclaims its guaranteed accelerators',
  [StopReason.Preempted]: 'an urgent job needs the capacity',
  [StopReason.WorkerLeaving]: 'one of its workers leaves',
  [StopReason.Stalled]: 'it made no progress',
  [StopReason.Incomplete]: 'not all of its tasks began in time',
  [StopReason.Evacuated]: 'a data centre was evacuated before all of its tasks had begun there'
}

function onGangStopped (writer: StatementWriter, event: StatementEvent): void {
  const job = jobOf(writer, event)
  if (job === undefined) return
  const reason = stopReasonTexts[event.reason ?? ''] ?? String(event.reason)
  writer.addLine(event, StatementKind.Stopped, `job ${job.job} step ${event.step ?? 0} attempt ${event.attempt ?? 0} is stopped on all its workers: ${reason}`)
}

/** The end of a job, or of one of its tasks. */
function onEnded (writer: StatementWriter, event: StatementEvent): void {
  const job = jobOf(writer, event)
  if (job === undefined) return
  if (event.state === undefined) { onTaskEnded(writer, event, job); return }
  job.state = event.state
  job.endedAt = event.at
  job.reason = event.reason ?? event.state
  job.verdict = event.verdict
  if (event.state === StepJobState.Completed) job.finishes++
  writer.addLine(event, StatementKind.Ended, `job ${job.job} ${event.state}${endReasonText(event)}, ${((event.at - job.acceptedAt) / 1_000).toFixed(3)} s after its acceptance`)
}

const endReasonTexts: { readonly [reason: string]: string } = {
  [JobEndReason.WorkersCrashed]: ': its workers crashed'
}

function endReasonText ({ reason, verdict }: StatementEvent): string {
  return `${endReasonTexts[reason ?? ''] ?? ''}${verdict === Verdict.MayHaveRun ? ', it may have run' : ''}`
}

const evidenceTexts: { readonly [evidence: string]: string } = {
  [CrashEvidence.Alone]: 'nothing else had just started there',
  [CrashEvidence.BesideOthers]: 'other runs had just started there as well',
  [CrashEvidence.WithRack]: 'its whole rack was lost at the same time'
}

/** A crash that counts against a gang. Losses of workers without a job add no lines. */
function onWorkerCrashed (writer: StatementWriter, event: StatementEvent): void {
  const job = jobOf(writer, event)
  if (job === undefined) return
  const { step = 0, attempt = 0, workers = [], reason } = event
  writer.addLine(event, StatementKind.WorkerCrashed, `job ${job.job} step ${step} attempt ${attempt}: worker ${workers.join(', ')} crashed just after this start, and ${evidenceTexts[reason ?? ''] ?? String(reason)}`)
}

function onTaskEnded (writer: StatementWriter, event: StatementEvent, { job }: JobSummary): void {
  const { step = 0, task = 0, attempt = 0, workers = [], reason } = event
  writer.addLine(event, StatementKind.TaskEnded, `job ${job} step ${step} task ${task} attempt ${attempt} ended on ${workers.join(', ')}: ${String(reason)}`)
}

function jobOf ({ account, jobs }: StatementWriter, event: StatementEvent): JobSummary | undefined {
  return event.account === account && event.job !== undefined ? jobs.get(event.job) : undefined
}
