import { Inject, Injectable } from '@nestjs/common'
import type { Result } from 'neverthrow'
import type { Refusal } from '../core/verdict'
import { ControlService, type JobQuery, type JobReport, type JobRequest } from '../wire/index'
import { FairLimiter } from './fair-limiter'
import { JobFollower } from './job-follower'
import { viewOf, type JobView } from './job-view'
import { CallKind, LeaderClient, readRefusal } from '../client/index'
import { EntryMetrics } from './metrics'
import { RefusalError } from './refusal-answer'

/** Upper limit on the jobs in one list. */
const MAX_LISTED_JOBS = 10_000

interface FollowOptions {
  readonly signal: AbortSignal
  readonly onReport?: (report: JobReport) => void
}

function unwrapReply<Reply extends { readonly refusal?: JobReport['refusal'] }> (result: Result<Reply, Refusal>): Reply {
  if (result.isErr()) throw new RefusalError(result.error)
  if (result.value.refusal !== undefined) throw new RefusalError(readRefusal(result.value.refusal))
  return result.value
}

/** Sends callers' requests on jobs to control. */
@Injectable()
export class JobService {
  /**
   * Called by NestJS.
   * @param leader - client of the control leader
   * @param limiter - limits submissions in flight, fairly between accounts
   * @param metrics - counts resends
   */
  constructor (
    @Inject(LeaderClient) private readonly leader: LeaderClient,
    @Inject(FairLimiter) private readonly limiter: FairLimiter,
    @Inject(EntryMetrics) private readonly metrics: EntryMetrics
  ) {}

  /**
   * Submits a job as soon as it is its account's turn.
   * @param job - the job
   * @param wait - whether to follow it to its end
   * @param signal - ends the wait early
   * @returns the last report seen, or the refusal
   */
  async submit (job: JobRequest, wait: boolean, signal: AbortSignal): Promise<Result<JobReport, Refusal>> {
    const release = await this.limiter.acquireSubmission(job.account)
    try {
      return await this.follower({ signal, onReport: release }).submit(job, wait)
    } finally {
      release()
    }
  }

  /**
   * Follows a job to its end.
   * @param query - which job
   * @param options - a signal that ends the wait early, and a function that is called with each report
   * @returns the last report seen, or the refusal
   */
  follow (query: JobQuery, options: FollowOptions): Promise<Result<JobReport, Refusal>> {
    return this.follower(options).follow(query)
  }

  /**
   * Reads a job's state.
   * @param query - which job
   * @returns the report; throws a refusal
   */
  async show (query: JobQuery): Promise<JobReport> {
    return unwrapReply(await this.leader.call(ControlService.show, query, CallKind.Read))
  }

  /**
   * Lists jobs, newest first.
   * @param account - lists only this account's jobs; empty for all
   * @param state - lists only jobs in this state; empty for all
   * @param limit - maximum number of jobs; 0 for the upper limit
   * @returns the jobs; throws a refusal
   */
  async list (account: string, state: string, limit: number): Promise<JobView[]> {
    const request = { account, state, limit: Math.min(limit || MAX_LISTED_JOBS, MAX_LISTED_JOBS) }
    return unwrapReply(await this.leader.call(ControlService.list, request, CallKind.Read)).jobs.map(viewOf)
  }

  /**
   * Cancels jobs, all in one log entry.
   * @param account - the owner of the jobs; empty for operators
   * @param identifiers - the jobs
   * @returns the jobs that are known; throws a refusal
   */
  async cancel (account: string, identifiers: string[]): Promise<JobView[]> {
    const { jobs } = unwrapReply(await this.leader.call(ControlService.cancel, { account, identifiers }, CallKind.Repeatable))
    return jobs.filter(({ refusal }) => refusal === undefined).map(viewOf)
  }

  private follower ({ signal, onReport }: FollowOptions): JobFollower {
    return JobFollower.create({ leader: this.leader, signal, onReport, onResend: () => this.metrics.recordResend() })
  }
}
