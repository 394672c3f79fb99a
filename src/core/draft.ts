import { Map as ImmutableMap } from 'immutable'
import { EffectKind, type Effect } from './effect'
import { learnMemory, learnRun, type Estimate } from './estimates'
import type { Home } from './homes'
import { hasEnded, JobState, type Attempt, type Job } from './job'
import { chainedRecordLine, type RecordEvent, type RecordLine } from './record'
import type { AccountUsage, ConfigurationState, State, WorkerUsage } from './state'
import type { Worker } from './worker'

const noWorkerUsage: WorkerUsage = { mask: 0, slots: 0, processors: 0, memoryMegabytes: 0, attempts: ImmutableMap() }
const noAccountUsage: AccountUsage = { queued: 0, accelerators: 0, slots: 0 }

/**
 * A mutable copy of the state for the handlers of one transaction. Keeps the indexes up to date and collects effects and
 * record lines. The original state is not modified.
 */
export class Draft {
  private configurationState: ConfigurationState
  private workers: State['workers']
  private jobs: State['jobs']
  private open: State['open']
  private queued: State['queued']
  private spent: State['spent']
  private usage: State['usage']
  private accounts: State['accounts']
  private homeMap: State['homes']
  fleetGrewAt: number
  missingHomes: State['missingHomes']
  private homeHolders: State['homeHolders']
  private reserved: State['reserved']
  private estimates: State['estimates']
  private retries: State['retries']
  /** State of the step jobs, which their handlers replace as a whole. */
  steps: State['steps']
  private record: State['record']
  private readonly effects: Effect[] = []
  private readonly lines: RecordLine[] = []

  private constructor (readonly before: State, readonly at: number) {
    const state = before
    this.configurationState = state.configuration
    this.workers = state.workers
    this.jobs = state.jobs
    this.open = state.open
    this.queued = state.queued
    this.spent = state.spent
    this.usage = state.usage
    this.accounts = state.accounts
    this.homeMap = state.homes
    this.fleetGrewAt = state.fleetGrewAt
    this.missingHomes = state.missingHomes
    this.homeHolders = state.homeHolders
    this.reserved = state.reserved
    this.estimates = state.estimates
    this.retries = state.retries
    this.steps = state.steps
    this.record = state.record
  }

  /**
   * Creates a draft.
   * @param state - the state before
   * @param at - time of the transaction, in milliseconds since the epoch
   * @returns the draft
   */
  static create (state: State, at: number): Draft {
    return new Draft(state, at)
  }

  get configuration (): ConfigurationState { return this.configurationState }
  set configuration (next: ConfigurationState) { this.configurationState = next }

  job (identifier: string): Job | undefined { return this.jobs.get(identifier) }
  worker (name: string): Worker | undefined { return this.workers.get(name) }
  workerUsage (name: string): WorkerUsage { return this.usage.get(name) ?? noWorkerUsage }
  get homes (): State['homes'] { return this.homeMap }
  homeHolder (home: string): string | undefined { return this.homeHolders.get(home) }
  allWorkers (): State['workers'] { return this.workers }
  estimate (key: string): Estimate | undefined { return this.estimates.get(key) }
  queuedCountOf (account: string): number { return this.accounts.get(account)?.queued ?? 0 }
  queuedCount (): number { return this.queued.size }
  isSpent (identifier: string): boolean { return this.spent.has(identifier) }
  markSpent (identifier: string): void { this.spent = this.spent.add(identifier) }
  /** Drops identifiers of spent jobs that the document no longer declares. */
  retainSpent (written: ReadonlySet<string>): void { this.spent = this.spent.filter((identifier) => written.has(identifier)) }

  /** Identifiers of open jobs, sorted so that every host visits them in the same order. */
  openJobs (): string[] { return this.open.toArray().sort() }
  allJobs (): Iterable<Job> { return this.jobs.values() }

  /** Jobs whose attempt holds resources of a worker, sorted by identifier. */
  jobsOnWorker (worker: string): Job[] {
    const names = this.workerUsage(worker).attempts.keySeq().toArray().sort()
    return names.map((name) => this.jobs.get(name)).filter((job): job is Job => job?.attempt !== undefined)
  }

  setWorker (worker: Worker): void {
    this.workers = this.workers.set(worker.name, worker)
  }

  setHome (home: Home): void {
    this.homeMap = this.homeMap.set(home.identifier, home)
  }

  removeHome (identifier: string): void {
    this.homeMap = this.homeMap.delete(identifier)
  }

  /** Updates the run time estimate with a finished run. */
  learnRun (key: string, seconds: number): void {
    this.estimates = learnRun(this.estimates, key, seconds)
  }

  /** Updates the memory estimate with a run that needed more memory than it was given. */
  learnMemory (key: string, megabytes: number): void {
    this.estimates = learnMemory(this.estimates, key, megabytes)
  }

  /** Counts a retry and returns the number in this minute, including this one. */
  countRetry (account: string): number {
    const minute = Math.floor(this.at / 60_000)
    const before = this.retries.get(account)
    const count = before?.minute === minute ? before.count + 1 : 1
    this.retries = this.retries.set(account, { minute, count })
    return count
  }

  /** Adds or replaces a job and updates every index. */
  setJob (job: Job): void {
    const before = this.jobs.get(job.identifier)
    this.jobs = this.jobs.set(job.identifier, job)
    this.updateIndexes(before, job)
    if (before?.attempt !== job.attempt) this.updateUsage(job, before?.attempt, job.attempt)
    this.effects.push({ kind: EffectKind.JobChanged, job: job.identifier })
  }

  deleteJob (identifier: string): void {
    this.jobs = this.jobs.delete(identifier)
  }

  addEffect (effect: Effect): void {
    this.effects.push(effect)
  }

  recordEvent (event: Omit<RecordEvent, 'at'>): void {
    const line = chainedRecordLine(this.record, { ...event, at: this.at })
    this.record = { sequence: line.sequence, digest: line.digest }
    this.lines.push(line)
  }

  /** @returns the new state, the effects and the record lines */
  finish (): { state: State, effects: readonly Effect[], lines: readonly RecordLine[] } {
    const { workers, jobs, open, queued, spent, usage, accounts, homeMap: homes, fleetGrewAt, missingHomes, homeHolders, reserved, estimates, retries, steps, record } = this
    const state = {
      time: this.at, configuration: this.configurationState, workers, jobs, open, queued, spent, usage, accounts, homes, fleetGrewAt, missingHomes, homeHolders, reserved, estimates, retries, steps, record
    }
    return { state, effects: this.effects, lines: this.lines }
  }

  private updateIndexes (before: Job | undefined, job: Job): void {
    const wasQueued = before?.state === JobState.Queued
    const isQueued = job.state === JobState.Queued
    if (wasQueued !== isQueued) {
      this.queued = isQueued ? this.queued.add(job.identifier) : this.queued.delete(job.identifier)
      this.addAccountUsage(job.specification.account, isQueued ? 1 : -1, 0)
    }
    if (job.state === JobState.Reserved) this.reserved = this.reserved.add(job.identifier)
    else this.reserved = this.reserved.delete(job.identifier)
    this.updateHomeHolder(before?.attempt?.home, job)
    const isOpen = !hasEnded(job) || job.attempt !== undefined
    this.open = isOpen ? this.open.add(job.identifier) : this.open.delete(job.identifier)
  }

  private updateHomeHolder (before: string | undefined, job: Job): void {
    const after = job.attempt?.home
    if (before === after) return
    if (before !== undefined) this.homeHolders = this.homeHolders.delete(before)
    if (after !== undefined) this.homeHolders = this.homeHolders.set(after, job.identifier)
  }

  private addAccountUsage (account: string, queued: number, accelerators: number, slots = 0): void {
    const before = this.accounts.get(account) ?? noAccountUsage
    this.accounts = this.accounts.set(account, { queued: before.queued + queued, accelerators: before.accelerators + accelerators, slots: before.slots + slots })
  }

  private updateUsage (job: Job, before: Attempt | undefined, after: Attempt | undefined): void {
    const heldBefore = new Map((before === undefined ? [] : heldMembers(before)).map((member) => [member.worker, member.mask]))
    const heldAfter = new Map((after === undefined ? [] : heldMembers(after)).map((member) => [member.worker, member.mask]))
    for (const [worker, mask] of heldBefore) if (heldAfter.get(worker) !== mask) this.addWorkerUsage(job, worker, mask, -1)
    for (const [worker, mask] of heldAfter) if (heldBefore.get(worker) !== mask) this.addWorkerUsage(job, worker, mask, 1)
  }

  private addWorkerUsage (job: Job, worker: string, mask: number, sign: 1 | -1): void {
    const before = this.workerUsage(worker)
    const { shape, account } = job.specification
    this.usage = this.usage.set(worker, {
      mask: sign > 0 ? before.mask | mask : before.mask & ~mask,
      slots: before.slots + sign * shape.slots,
      processors: before.processors + sign * shape.processors,
      memoryMegabytes: before.memoryMegabytes + sign * memoryNeeded(job),
      attempts: sign > 0 ? before.attempts.set(job.identifier, true) : before.attempts.delete(job.identifier)
    })
    this.addAccountUsage(account, 0, sign * shape.accelerators, sign * shape.slots)
  }
}

/**
 * The members of an attempt that still hold their resources.
 * @param attempt - the attempt
 * @returns the members on which the attempt has not ended
 */
export function heldMembers (attempt: Attempt): Attempt['members'] {
  return attempt.members.filter((member) => !attempt.ended.includes(member.worker))
}

/**
 * The memory that a job gets on each of its workers.
 * @param job - the job
 * @returns megabytes: the declared memory, or the learned need where that is higher
 */
export function memoryNeeded (job: Job): number {
  return Math.max(job.learnedMemory, job.specification.shape.memoryMegabytes)
}
