import { err, ok, type Result } from 'neverthrow'
import { JobState } from '../core/job'
import { notRun, RefusalCode, Verdict, type Refusal } from '../core/verdict'
import { ControlService, type JobQuery, type JobReport, type JobRequest } from '../wire/index'
import { isEnded, isWhole } from './job-view'
import { BrokenCall, jittered, sleep, type Leader, mayHaveRun, readRefusal } from '../client/index'

/** How long a submission is sent again before its caller is told that nothing is known. */
const ACCEPT_MILLISECONDS = 10_000
const FIRST_PAUSE_MILLISECONDS = 20
const LONGEST_PAUSE_MILLISECONDS = 1_000
const RETRY_AFTER_MILLISECONDS = 1_000
/** An answer that does not have its digest is fetched again so many times. */
const DAMAGED_ANSWER_TRIES = 3

/** Why a follower stopped before the job's end. */
export enum StopReason {
  /** The caller went away; nobody is left to tell. */
  CallerLeft = 'caller-left',
  /** The entry stops; the caller is told how to fetch the answer elsewhere. */
  HandedOver = 'handed-over'
}

/** What a {@link JobFollower} works with. */
export interface JobFollowerParts {
  readonly leader: Pick<Leader, 'stream'>
  /** Aborted with a {@link StopReason}. */
  readonly signal: AbortSignal
  /** Called with each report. */
  readonly onReport?: (report: JobReport) => void
  /** Called each time a request is sent again after a break. */
  readonly onResend?: () => void
}

/** Carries one job from its submission to its end, over broken connections and changes of the leader. */
export class JobFollower {
  private constructor (private readonly parts: JobFollowerParts) {}

  /**
   * Makes a follower of one job.
   * @param parts - what it works with
   * @returns the follower
   */
  static create (parts: JobFollowerParts): JobFollower {
    return new JobFollower(parts)
  }

  /**
   * Submits a job. A resend has the same identifier, so the log accepts it once.
   * @param job - the job
   * @param wait - whether to follow it to its end
   * @returns the last report seen, or the refusal
   */
  async submit (job: JobRequest, wait: boolean): Promise<Result<JobReport, Refusal>> {
    const giveUpAt = Date.now() + ACCEPT_MILLISECONDS
    let sent = false
    for (const pause of this.pauses()) {
      const outcome = await this.readUntil(job.identifier, this.parts.leader.stream(ControlService.submit, { job, wait }, this.parts.signal), !wait)
      if (outcome.last !== undefined) return this.goOn(outcome.last, wait, { identifier: job.identifier, account: job.account })
      if (outcome.refusal !== undefined) return err(this.truthful(readRefusal(outcome.refusal), sent))
      sent ||= outcome.broken?.sent ?? true
      if (this.parts.signal.aborted || Date.now() + pause >= giveUpAt) break
      this.parts.onResend?.()
      await sleep(jittered(pause))
    }
    return err(sent
      ? mayHaveRun('the connection to the control leader broke before it accepted the job; ask by its identifier', RETRY_AFTER_MILLISECONDS)
      : notRun(RefusalCode.Unavailable, 'no control leader answers', RETRY_AFTER_MILLISECONDS))
  }

  /**
   * Follows an accepted job.
   * @param query - which job
   * @returns the last report: of its end, or the newest one where the follower was stopped
   */
  async follow (query: JobQuery): Promise<Result<JobReport, Refusal>> {
    let newest: JobReport | undefined
    let damaged = 0
    for (const pause of this.pauses()) {
      const outcome = await this.readUntil(query.identifier, this.parts.leader.stream(ControlService.await, query, this.parts.signal), false)
      newest = outcome.last ?? newest
      if (outcome.refusal !== undefined) return err(readRefusal(outcome.refusal))
      if (newest !== undefined && isEnded(newest)) {
        if (newest.state !== JobState.Finished || isWhole(newest)) return ok(newest)
        damaged += 1
        if (damaged >= DAMAGED_ANSWER_TRIES) return err(damagedAnswer())
      }
      if (this.parts.signal.aborted) break
      this.parts.onResend?.()
      await sleep(jittered(pause))
    }
    return newest === undefined ? err(notRun(RefusalCode.Unavailable, 'the entry stopped before it could ask', RETRY_AFTER_MILLISECONDS)) : ok(newest)
  }

  private async goOn (last: JobReport, wait: boolean, query: JobQuery): Promise<Result<JobReport, Refusal>> {
    if (!wait || this.parts.signal.aborted) return ok(last)
    if (isEnded(last) && (last.state !== JobState.Finished || isWhole(last))) return ok(last)
    const followed = await this.follow(query)
    return followed.orElse((refusal) => err({ ...refusal, verdict: refusal.verdict === Verdict.NotRun ? Verdict.MayHaveRun : refusal.verdict }))
  }

  /** After a break an earlier copy of the request may have been accepted, so "not run" is not proved by a refusal of the resend. */
  private truthful (refusal: Refusal, sent: boolean): Refusal {
    return sent && refusal.verdict === Verdict.NotRun && refusal.code !== RefusalCode.IdentifierReused
      ? { ...refusal, verdict: Verdict.MayHaveRun }
      : refusal
  }

  /** Only reports on the job that was asked for count; any other ends the try. */
  private async readUntil (identifier: string, reports: AsyncGenerator<JobReport, void>, onlyFirst: boolean): Promise<ReadOutcome> {
    let last: JobReport | undefined
    try {
      for await (const report of reports) {
        if (report.refusal !== undefined) return { refusal: report.refusal }
        if (report.identifier !== identifier) return { last, broken: new BrokenCall('a report on another job', true) }
        last = report
        this.parts.onReport?.(report)
        if (onlyFirst || isEnded(report)) return { last }
      }
      return { last }
    } catch (error) {
      if (!(error instanceof BrokenCall)) throw error
      return { last, broken: error }
    }
  }

  private * pauses (): Generator<number> {
    for (let pause = FIRST_PAUSE_MILLISECONDS; ; pause = Math.min(pause * 2, LONGEST_PAUSE_MILLISECONDS)) yield pause
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
    message: 'the stored answer does not have its digest',
    verdict: Verdict.Ran,
    retryCanHelp: true,
    retryAfter: RETRY_AFTER_MILLISECONDS
  }
}
