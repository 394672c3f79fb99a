/** Accounts for the time that each step job spent from its first request until its end, by cause, from the log lines alone. */
import type { LogLine } from './play-log'

/** On what a job spent time. Only the time in which its last run made progress was needed. */
export enum TimeCause {
  /** The run of the slowest task that ended done. */
  Running = 'running',
  /** Requests were refused or not answered before one was accepted. */
  NotAccepted = 'not-accepted',
  /** Ready to start, without free capacity or without a worker. */
  WaitingForCapacity = 'waiting-for-capacity',
  /** Waiting to start again after a run that did not end done. */
  WaitingToRestart = 'waiting-to-restart',
  /** A run that was stopped, until it had ended. */
  Stopped = 'stopped',
  /** A run that failed, or was lost with its worker. */
  RunLost = 'run-lost',
  /** Not ended when the log ends. */
  NotEnded = 'not-ended'
}

/** Time that a job spent on one cause. */
export interface TimeSpent {
  readonly cause: TimeCause
  /** The reason as the log states it: why it waited, why a run was stopped, or how it ended. */
  readonly detail: string
  readonly milliseconds: number
}

/** How a job ended, compared with its objective. */
export enum JobResult {
  InTime = 'in-time',
  Late = 'late',
  /** Later than three times its objective. */
  TooLate = 'too-late',
  NotCompleted = 'not-completed',
  /** Cancelled by its caller. */
  Cancelled = 'cancelled',
  /** No request was accepted. */
  NotAccepted = 'not-accepted'
}

/** The account of one job. */
export interface JobAccount {
  readonly job: string
  readonly priority: number
  readonly result: JobResult
  /** Milliseconds since the epoch, of the first line that names the job. */
  readonly firstSeenAt: number
  readonly tookMilliseconds: number
  /** The objective by the run times that were needed, not by the caller's estimates. */
  readonly objectiveMilliseconds: number
  readonly spent: readonly TimeSpent[]
}

/** Multiple of its objective up to which a late job has part of its value. */
const MAX_USEFUL_OBJECTIVES = 3

/** One attempt of a gang. */
interface Attempt {
  readonly startedAt: number
  stop?: { readonly at: number, readonly reason: string }
  endedAt?: number
  /** The first outcome that is not the consequence of another. */
  outcome?: string
}

/** One gang of a step, with its attempts in order. */
interface GangHistory {
  readonly step: number
  readonly attempts: Attempt[]
}

/** Outcomes that follow from a stop or from the end of another member. */
const consequentialOutcomes: ReadonlySet<string> = new Set(['stopped', 'broken', 'alone'])

/**
 * Accounts for one job.
 * @param job - its identifier
 * @param lines - the log lines that name it, in the order of their times
 * @param logEnd - time of the last line of the log, in milliseconds since the epoch
 * @returns the account, or undefined where no line tells of a submission
 */
export function accountOf (job: string, lines: readonly LogLine[], logEnd: number): JobAccount | undefined {
  const accepted = lines.find(({ event }) => event === 'job-accepted')
  const firstRequest = lines.find(({ event, fields }) => event === 'job-accepted' || event === 'gang-started' || (isRefusal(event) && fields.operation === 'submit'))
  if (firstRequest === undefined) return undefined
  const firstSeenAt = firstRequest.at
  if (accepted === undefined) {
    return { job, priority: -1, result: JobResult.NotAccepted, firstSeenAt, tookMilliseconds: logEnd - firstSeenAt, objectiveMilliseconds: 0, spent: [{ cause: TimeCause.NotAccepted, detail: refusalDetail(lines), milliseconds: logEnd - firstSeenAt }] }
  }
  const ended = lines.find(({ event }) => event === 'job-ended')
  const endedAt = ended?.at ?? logEnd
  const acceptedAt = acceptanceTime(lines, accepted.at)
  const spent = [
    ...firstSeenAt < acceptedAt ? [{ cause: TimeCause.NotAccepted, detail: refusalDetail(lines), milliseconds: acceptedAt - firstSeenAt }] : [],
    ...timeInSteps(lines, acceptedAt, endedAt, ended === undefined)
  ]
  const needed = spent.reduce((sum, { cause, milliseconds }) => cause === TimeCause.Running ? sum + milliseconds : sum, 0)
  const { priority, slackFactor, targetLatencyMilliseconds } = accepted.fields as { priority: number, slackFactor: number, targetLatencyMilliseconds: number }
  const objectiveMilliseconds = Math.round(slackFactor * needed + targetLatencyMilliseconds)
  const tookMilliseconds = endedAt - firstSeenAt
  return { job, priority, result: resultOf(ended?.fields.state, tookMilliseconds, objectiveMilliseconds), firstSeenAt, tookMilliseconds, objectiveMilliseconds, spent }
}

function isRefusal (event: string): boolean {
  return event === 'queue-refused' || event === 'request-refused'
}

function refusalDetail (lines: readonly LogLine[]): string {
  const refusal = lines.find(({ event, fields }) => isRefusal(event) && fields.operation === 'submit')
  return String(refusal?.fields.code ?? refusal?.fields.verdict ?? 'unknown')
}

/** A leader that was replaced may have accepted the job without a line: the first start is then the earliest sign of it. */
function acceptanceTime (lines: readonly LogLine[], acceptedLineAt: number): number {
  const start = lines.find(({ event }) => event === 'gang-started')
  return start === undefined ? acceptedLineAt : Math.min(acceptedLineAt, start.at - Number(start.fields.waitedMilliseconds))
}

function resultOf (state: unknown, took: number, objective: number): JobResult {
  if (state === 'cancelled') return JobResult.Cancelled
  if (state !== 'completed') return JobResult.NotCompleted
  if (took <= objective) return JobResult.InTime
  return took <= MAX_USEFUL_OBJECTIVES * objective ? JobResult.Late : JobResult.TooLate
}

/** Follows the gang of each step that ended last; the next step could not begin before. */
function timeInSteps (lines: readonly LogLine[], acceptedAt: number, endedAt: number, open: boolean): TimeSpent[] {
  const gangs = gangHistories(lines)
  if (gangs.length === 0) return [{ cause: open ? TimeCause.NotEnded : TimeCause.WaitingForCapacity, detail: waitReason(lines, acceptedAt, endedAt), milliseconds: endedAt - acceptedAt }]
  const spent: TimeSpent[] = []
  let from = acceptedAt
  for (const step of [...new Set(gangs.map((gang) => gang.step))].sort((one, other) => one - other)) {
    const last = gangs.filter((gang) => gang.step === step).sort((one, other) => lastEnd(one, endedAt) - lastEnd(other, endedAt)).at(-1)
    if (last === undefined) continue
    spent.push(...timeInGang(lines, last, from, endedAt))
    from = Math.max(from, lastEnd(last, endedAt))
  }
  return spent
}

function lastEnd ({ attempts }: GangHistory, endedAt: number): number {
  return Math.min(endedAt, attempts.at(-1)?.endedAt ?? endedAt)
}

function timeInGang (lines: readonly LogLine[], { attempts }: GangHistory, begin: number, endedAt: number): TimeSpent[] {
  const spent: TimeSpent[] = []
  let from = begin
  let after = ''
  for (const { startedAt, stop, endedAt: attemptEnd = endedAt, outcome } of attempts) {
    const waited = Math.max(0, startedAt - from)
    spent.push(after === ''
      ? { cause: TimeCause.WaitingForCapacity, detail: waitReason(lines, from, startedAt), milliseconds: waited }
      : { cause: TimeCause.WaitingToRestart, detail: after, milliseconds: waited })
    const end = Math.min(attemptEnd, endedAt)
    const ranFor = Math.max(0, end - Math.max(startedAt, from))
    if (outcome === 'done') spent.push({ cause: TimeCause.Running, detail: '', milliseconds: ranFor })
    else if (stop !== undefined && stop.reason !== 'member-ended') spent.push({ cause: TimeCause.Stopped, detail: stop.reason, milliseconds: ranFor })
    else spent.push({ cause: outcome === undefined ? TimeCause.NotEnded : TimeCause.RunLost, detail: outcome ?? '', milliseconds: ranFor })
    after = stop?.reason === undefined || stop.reason === 'member-ended' ? outcome ?? 'unknown' : stop.reason
    from = Math.max(from, end)
  }
  return spent.filter(({ milliseconds }) => milliseconds > 0)
}

function waitReason (lines: readonly LogLine[], from: number, until: number): string {
  const reasons = lines.filter(({ event, at }) => event === 'gang-waits' && at >= from && at <= until).map(({ fields }) => String(fields.reason))
  return reasons.at(-1) ?? 'shorter than the interval of the log'
}

function gangHistories (lines: readonly LogLine[]): GangHistory[] {
  const gangs = new Map<string, GangHistory>()
  for (const { at, event, fields } of lines) {
    const step = Number(fields.step)
    const name = `${step} ${String(fields.gang)}`
    const number = Number(fields.attempt) - 1
    if (event === 'gang-started') {
      const gang = gangs.get(name) ?? { step, attempts: [] }
      gang.attempts[number] = { startedAt: at }
      gangs.set(name, gang)
      continue
    }
    const attempt = gangs.get(name)?.attempts[number]
    if (attempt === undefined) continue
    if (event === 'gang-stopped') attempt.stop = { at, reason: String(fields.reason) }
    if (event === 'runs-ended') recordEnd(attempt, at, String(fields.outcome))
  }
  return [...gangs.values()].map(({ step, attempts }) => ({ step, attempts: attempts.filter((attempt) => attempt !== undefined) }))
}

function recordEnd (attempt: Attempt, at: number, outcome: string): void {
  const replaces = attempt.outcome === undefined || (consequentialOutcomes.has(attempt.outcome) && !consequentialOutcomes.has(outcome)) || outcome === 'done'
  if (replaces) attempt.outcome = outcome
  attempt.endedAt = outcome === 'done' ? attempt.endedAt ?? at : at
}
