import { Inject, Injectable } from '@nestjs/common'
import type { Result } from 'neverthrow'
import type { Refusal } from '../core/verdict'
import { ControlService, type JobQuery, type JobReport, type JobRequest } from '../wire/index'
import { FairGate } from './fair-gate'
import { JobFollower } from './job-follower'
import { viewOf, type JobView } from './job-view'
import { CallKind, Leader, readRefusal } from '../client/index'
import { EntryMetrics } from './metrics'
import { RefusalError } from './refusal-answer'

/** Most jobs in one list. */
const LISTED_JOBS = 10_000

/** A job submitted or asked for. */
interface FollowOptions {
  readonly signal: AbortSignal
  readonly onReport?: (report: JobReport) => void
}

function accepted<Reply extends { readonly refusal?: JobReport['refusal'] }> (result: Result<Reply, Refusal>): Reply {
  if (result.isErr()) throw new RefusalError(result.error)
  if (result.value.refusal !== undefined) throw new RefusalError(readRefusal(result.value.refusal))
  return result.value
}

/** Carries the callers' requests on jobs to control. */
@Injectable()
export class JobService {
  /**
   * Made by nestjs.
   * @param leader - the way to control
   * @param gate - lets accounts pass in turn
   * @param metrics - counts resends
   */
  constructor (
    @Inject(Leader) private readonly leader: Leader,
    @Inject(FairGate) private readonly gate: FairGate,
    @Inject(EntryMetrics) private readonly metrics: EntryMetrics
  ) {}

  /**
   * Submits a job, in its account's turn.
   * @param job - the job
   * @param wait - whether to follow it to its end
   * @param signal - ends the wait early
   * @returns the last report seen, or the refusal
   */
  async submit (job: JobRequest, wait: boolean, signal: AbortSignal): Promise<Result<JobReport, Refusal>> {
    const leave = await this.gate.pass(job.account)
    try {
      return await this.follower({ signal, onReport: leave }).submit(job, wait)
    } finally {
      leave()
    }
  }

  /**
   * Follows a job to its end.
   * @param query - which job
   * @param options - the signal that ends the wait early, and who hears each report
   * @returns the last report seen, or the refusal
   */
  follow (query: JobQuery, options: FollowOptions): Promise<Result<JobReport, Refusal>> {
    return this.follower(options).follow(query)
  }

  /**
   * Asks for a job's state.
   * @param query - which job
   * @returns the report; throws the refusal
   */
  async show (query: JobQuery): Promise<JobReport> {
    return accepted(await this.leader.call(ControlService.show, query, CallKind.Read))
  }

  /**
   * Lists jobs, newest first.
   * @param account - whose jobs, empty for all
   * @param state - only in this state, empty for all
   * @param limit - most jobs, 0 for as many as are listed at once
   * @returns their views; throws the refusal
   */
  async list (account: string, state: string, limit: number): Promise<JobView[]> {
    const request = { account, state, limit: Math.min(limit || LISTED_JOBS, LISTED_JOBS) }
    return accepted(await this.leader.call(ControlService.list, request, CallKind.Read)).jobs.map(viewOf)
  }

  /**
   * Cancels jobs, all in one entry of the log.
   * @param account - whose jobs, empty for operators
   * @param identifiers - the jobs
   * @returns the views of those that are known; throws the refusal
   */
  async cancel (account: string, identifiers: string[]): Promise<JobView[]> {
    const { jobs } = accepted(await this.leader.call(ControlService.cancel, { account, identifiers }, CallKind.Repeatable))
    return jobs.filter(({ refusal }) => refusal === undefined).map(viewOf)
  }

  private follower ({ signal, onReport }: FollowOptions): JobFollower {
    return JobFollower.create({ leader: this.leader, signal, onReport, onResend: () => this.metrics.resent() })
  }
}
