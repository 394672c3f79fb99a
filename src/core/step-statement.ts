/** The lines of an account statement that concern jobs of steps. */
import { StatementKind, type JobAccount, type StatementEvent } from './account-statement'
import type { RecordEvent } from './record'
import { StepJobState, StopReason } from './steps/model'
import { StepTransactionKind } from './steps/transactions'

/** The statement that is being written. */
export interface StatementPage {
  readonly account: string
  readonly jobs: Map<string, JobAccount>
  say (event: StatementEvent, kind: StatementKind, text: string): void
}

type StepHandler = (page: StatementPage, event: StatementEvent) => void

/** What each kind of event adds to a statement; events of other accounts add nothing. */
export const stepHandlers: { readonly [kind in RecordEvent['kind']]?: StepHandler } = {
  [StepTransactionKind.ReplaceDocument]: readGuarantee,
  [StepTransactionKind.SubmitSteps]: readSubmitted,
  [StepTransactionKind.StartGang]: readStarted,
  [StepTransactionKind.StopGang]: readStopped,
  [StepTransactionKind.EndRuns]: readEnd
}

function readGuarantee (page: StatementPage, event: StatementEvent): void {
  const promise = event.acceleratorGuarantees?.find(({ account }) => account === page.account)
  if (promise === undefined) return
  page.say(event, StatementKind.Promised, `queue document ${event.number ?? 0}: ${promise.accelerators} accelerators at all times for jobs of priority 0`)
}

function readSubmitted (page: StatementPage, event: StatementEvent): void {
  const { account, job, queue = '', accelerators = 0 } = event
  if (account !== page.account || job === undefined) return
  page.jobs.set(job, { job, acceptedAt: event.at, attempts: 0, startedAt: 0, endedAt: 0, state: StepJobState.Queued, finishes: 0 })
  page.say(event, StatementKind.Accepted, `job ${job} accepted in queue ${queue}, needs ${accelerators} accelerators to begin`)
}

function readStarted (page: StatementPage, event: StatementEvent): void {
  const job = jobOf(page, event)
  if (job === undefined) return
  const { step = 0, attempt = 0, workers = [], accelerators = 0 } = event
  job.state = StepJobState.Running
  job.attempts = Math.max(job.attempts, attempt)
  if (job.startedAt === 0) job.startedAt = event.at
  const waited = ((event.at - job.acceptedAt) / 1_000).toFixed(3)
  page.say(event, StatementKind.Started, `job ${job.job} step ${step} attempt ${attempt} starts whole on ${workers.join(', ')} with ${accelerators} accelerators in all, ${waited} s after its acceptance`)
}

const stopTexts: { readonly [reason: string]: string } = {
  [StopReason.Cancelled]: 'its caller cancelled the job',
  [StopReason.JobFailed]: 'its job has failed',
  [StopReason.MemberEnded]: 'another of its tasks ended',
  [StopReason.Reclaimed]: 'another account asks for its guaranteed accelerators',
  [StopReason.Preempted]: 'urgent work needs the place',
  [StopReason.WorkerLeaving]: 'one of its workers leaves',
  [StopReason.Stalled]: 'it made no progress',
  [StopReason.Incomplete]: 'not all of its tasks began in time'
}

function readStopped (page: StatementPage, event: StatementEvent): void {
  const job = jobOf(page, event)
  if (job === undefined) return
  const reason = stopTexts[event.reason ?? ''] ?? String(event.reason)
  page.say(event, StatementKind.GivenBack, `job ${job.job} step ${event.step ?? 0} attempt ${event.attempt ?? 0} is stopped as a whole: ${reason}`)
}

/** The end of the job, or of one task of it. */
function readEnd (page: StatementPage, event: StatementEvent): void {
  const job = jobOf(page, event)
  if (job === undefined) return
  if (event.state === undefined) { readTaskEnd(page, event, job); return }
  job.state = event.state
  job.endedAt = event.at
  job.reason = event.state
  if (event.state === StepJobState.Completed) job.finishes++
  page.say(event, StatementKind.Ended, `job ${job.job} ${event.state}, ${((event.at - job.acceptedAt) / 1_000).toFixed(3)} s after its acceptance`)
}

function readTaskEnd (page: StatementPage, event: StatementEvent, { job }: JobAccount): void {
  const { step = 0, task = 0, attempt = 0, workers = [], reason } = event
  page.say(event, StatementKind.TaskEnded, `job ${job} step ${step} task ${task} attempt ${attempt} ended on ${workers.join(', ')}: ${String(reason)}`)
}

function jobOf ({ account, jobs }: StatementPage, event: StatementEvent): JobAccount | undefined {
  return event.account === account && event.job !== undefined ? jobs.get(event.job) : undefined
}
