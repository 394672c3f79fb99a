import { err, ok, type Result } from 'neverthrow'
import { JobState } from '../core/job'
import { notRunRefusal, RefusalCode, Verdict, type Refusal } from '../core/verdict'
import { ControlService, type JobQuery, type JobReport, type JobRequest } from '../wire/index'
import { isEnded, hasIntactAnswer } from './job-view'
import { BrokenCall, jittered, sleep, type LeaderClient, mayHaveRun, readRefusal, refusalOfRepeated } from '../client/index'

/** How long a submission is retried before the caller is told that its outcome is unknown. */
const SUBMIT_TIMEOUT_MILLISECONDS = 10_000
const INITIAL_BACKOFF_MILLISECONDS = 20
const MAX_BACKOFF_MILLISECONDS = 1_000
const RETRY_AFTER_MILLISECONDS = 1_000
/** Number of answers that do not match their digest after which the follower gives up. */
const MAX_DAMAGED_ANSWERS = 3

/** Why a follower stopped before the job ended. */
export enum FollowStopReason {
  /** The caller closed its connection. */
  CallerLeft = 'caller-left',
  /** The entry is stopping; the caller is told to fetch the answer from another entry. */
  HandedOver = 'handed-over'
}

/** Dependencies of a {@link JobFollower}. */
export interface JobFollowerContext {
  readonly leader: Pick<LeaderClient, 'stream'>
  /** Aborted with a {@link FollowStopReason}. */
  readonly signal: AbortSignal
  /** Called with each report on the job. */
  readonly onReport?: (report: JobReport) => void
  /** Called each time a request is resent after a broken connection. */
  readonly onResend?: () => void
}

/** Submits one job and follows it to its end, across broken connections and leader changes. */
export class JobFollower {
  private constructor (private readonly context: JobFollowerContext) {}

  /**
   * Creates a follower of one job.
   * @param context - what it uses
   * @returns the follower
   */
  static create (context: JobFollowerContext): JobFollower {
    return new JobFollower(context)
  }

  /**
   * Submits a job. Resends carry the same identifier, so that control accepts the job only once.
   * @param job - the job
   * @param wait - whether to follow the job to its end
   * @returns the last report seen, or the refusal
   */
  async submit (job: JobRequest, wait: boolean): Promise<Result<JobReport, Refusal>> {
    const giveUpAt = Date.now() + SUBMIT_TIMEOUT_MILLISECONDS
    let sent = false
    for (const delay of this.backoffDelays()) {
      const outcome = await this.readReports(job.identifier, this.context.leader.stream(ControlService.submit, { job, wait }, this.context.signal), !wait)
      if (outcome.last !== undefined) return this.continueAfterSubmit(outcome.last, wait, { identifier: job.identifier, account: job.account })
      if (outcome.refusal !== undefined) return err(readRefusal(sent ? refusalOfRepeated(outcome.refusal) : outcome.refusal))
      sent ||= outcome.broken?.mayHaveArrived ?? true
      if (this.context.signal.aborted || Date.now() + delay >= giveUpAt) break
      this.context.onResend?.()
      await sleep(jittered(delay))
    }
    return err(sent
      ? mayHaveRun('the connection to the control leader broke before it accepted the job; look the job up by its identifier', RETRY_AFTER_MILLISECONDS)
      : notRunRefusal(RefusalCode.Unavailable, 'no control leader answered', RETRY_AFTER_MILLISECONDS))
  }

  /**
   * Follows an accepted job.
   * @param query - which job
   * @returns the final report, or the newest one when the follower was stopped early
   */
  async follow (query: JobQuery): Promise<Result<JobReport, Refusal>> {
    let newest: JobReport | undefined
    let damagedAnswers = 0
    for (const delay of this.backoffDelays()) {
      const outcome = await this.readReports(query.identifier, this.context.leader.stream(ControlService.await, query, this.context.signal), false)
      newest = outcome.last ?? newest
      if (outcome.refusal !== undefined) return err(readRefusal(outcome.refusal))
      if (newest !== undefined && isEnded(newest)) {
        if (newest.state !== JobState.Finished || hasIntactAnswer(newest)) return ok(newest)
        damagedAnswers += 1
        if (damagedAnswers >= MAX_DAMAGED_ANSWERS) return err(damagedAnswer())
      }
      if (this.context.signal.aborted) break
      this.context.onResend?.()
      await sleep(jittered(delay))
    }
    return newest === undefined ? err(notRunRefusal(RefusalCode.Unavailable, 'the entry stopped before the control leader answered', RETRY_AFTER_MILLISECONDS)) : ok(newest)
  }

  private async continueAfterSubmit (last: JobReport, wait: boolean, query: JobQuery): Promise<Result<JobReport, Refusal>> {
    if (!wait || this.context.signal.aborted) return ok(last)
    if (isEnded(last) && (last.state !== JobState.Finished || hasIntactAnswer(last))) return ok(last)
    const followed = await this.follow(query)
    return followed.orElse((refusal) => err({ ...refusal, verdict: refusal.verdict === Verdict.NotRun ? Verdict.MayHaveRun : refusal.verdict }))
  }

  /** Reads the reports on the requested job. A report on any other job ends the attempt. */
  private async readReports (identifier: string, reports: AsyncGenerator<JobReport, void>, firstOnly: boolean): Promise<ReadOutcome> {
    let last: JobReport | undefined
    try {
      for await (const report of reports) {
        if (report.refusal !== undefined) return { refusal: report.refusal }
        if (report.identifier !== identifier) return { last, broken: new BrokenCall('received a report on another job', true) }
        last = report
        this.context.onReport?.(report)
        if (firstOnly || isEnded(report)) return { last }
      }
      return { last }
    } catch (error) {
      if (!(error instanceof BrokenCall)) throw error
      return { last, broken: error }
    }
  }

  private * backoffDelays (): Generator<number> {
    for (let delay = INITIAL_BACKOFF_MILLISECONDS; ; delay = Math.min(delay * 2, MAX_BACKOFF_MILLISECONDS)) yield delay
  }
}

interface ReadOutcome {
  readonly last?: JobReport
  readonly refusal?: NonNullable<JobReport['refusal']>
  readonly broken?: BrokenCall
}

function damagedAnswer (): Refusal {
  return {
    code: RefusalCode.Unavailable,
    message: 'the stored answer does not match its digest',
    verdict: Verdict.Ran,
    retryCanHelp: true,
    retryAfter: RETRY_AFTER_MILLISECONDS
  }
}
