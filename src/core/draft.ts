import { Map as ImmutableMap } from 'immutable'
import { EffectKind, type Effect } from './effect'
import { learnMemory, learnRun, type Estimate } from './estimates'
import type { Home } from './homes'
import { hasEnded, JobState, type Attempt, type Job } from './job'
import { chain, type RecordEvent, type RecordLine } from './record'
import type { AccountUsage, ConfigurationState, State, WorkerUsage } from './state'
import type { Worker } from './worker'

const nothingUsed: WorkerUsage = { mask: 0, slots: 0, processors: 0, memoryMegabytes: 0, attempts: ImmutableMap() }
const nothingHeld: AccountUsage = { queued: 0, accelerators: 0, slots: 0 }

/**
 * A state in the making: handlers read and change it, and it collects their effects and record lines.
 * The state it was made from stays as it was.
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
  /** Jobs of steps; their handlers put a new one in its place. */
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
   * Begins a change.
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
  workerUsage (name: string): WorkerUsage { return this.usage.get(name) ?? nothingUsed }
  get homes (): State['homes'] { return this.homeMap }
  holderOf (home: string): string | undefined { return this.homeHolders.get(home) }
  allWorkers (): State['workers'] { return this.workers }
  estimate (key: string): Estimate | undefined { return this.estimates.get(key) }
  queuedOf (account: string): number { return this.accounts.get(account)?.queued ?? 0 }
  queuedCount (): number { return this.queued.size }
  isSpent (identifier: string): boolean { return this.spent.has(identifier) }
  markSpent (identifier: string): void { this.spent = this.spent.add(identifier) }
  /** Forgets ended declared jobs that are no longer written in the document. */
  keepSpent (written: ReadonlySet<string>): void { this.spent = this.spent.filter((identifier) => written.has(identifier)) }

  /** Identifiers of jobs that have not ended, sorted, so that every host visits them in the same order. */
  openJobs (): string[] { return this.open.toArray().sort() }
  allJobs (): Iterable<Job> { return this.jobs.values() }

  /** Attempts that hold something on a worker, sorted by job. */
  attemptsOn (worker: string): Job[] {
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

  /** Learns from a run that finished. */
  learnRun (key: string, seconds: number): void {
    this.estimates = learnRun(this.estimates, key, seconds)
  }

  /** Learns from a run that needed more memory than it was given. */
  learnMemory (key: string, megabytes: number): void {
    this.estimates = learnMemory(this.estimates, key, megabytes)
  }

  /** Counts a retry and tells how many there were in this minute, this one with it. */
  countRetry (account: string): number {
    const minute = Math.floor(this.at / 60_000)
    const before = this.retries.get(account)
    const count = before?.minute === minute ? before.count + 1 : 1
    this.retries = this.retries.set(account, { minute, count })
    return count
  }

  /** Puts a job in place of its former self and keeps every index in step with it. */
  setJob (job: Job): void {
    const before = this.jobs.get(job.identifier)
    this.jobs = this.jobs.set(job.identifier, job)
    this.index(before, job)
    if (before?.attempt !== job.attempt) this.moveUsage(job, before?.attempt, job.attempt)
    this.effects.push({ kind: EffectKind.JobMoved, job: job.identifier })
  }

  forget (identifier: string): void {
    this.jobs = this.jobs.delete(identifier)
  }

  effect (effect: Effect): void {
    this.effects.push(effect)
  }

  note (event: Omit<RecordEvent, 'at'>): void {
    const line = chain(this.record, { ...event, at: this.at })
    this.record = { sequence: line.sequence, digest: line.digest }
    this.lines.push(line)
  }

  /** @returns the new state with what was collected. */
  finish (): { state: State, effects: readonly Effect[], lines: readonly RecordLine[] } {
    const { workers, jobs, open, queued, spent, usage, accounts, homeMap: homes, fleetGrewAt, missingHomes, homeHolders, reserved, estimates, retries, steps, record } = this
    const state = {
      time: this.at, configuration: this.configurationState, workers, jobs, open, queued, spent, usage, accounts, homes, fleetGrewAt, missingHomes, homeHolders, reserved, estimates, retries, steps, record
    }
    return { state, effects: this.effects, lines: this.lines }
  }

  private index (before: Job | undefined, job: Job): void {
    const wasQueued = before?.state === JobState.Queued
    const isQueued = job.state === JobState.Queued
    if (wasQueued !== isQueued) {
      this.queued = isQueued ? this.queued.add(job.identifier) : this.queued.delete(job.identifier)
      this.count(job.specification.account, isQueued ? 1 : -1, 0)
    }
    if (job.state === JobState.Reserved) this.reserved = this.reserved.add(job.identifier)
    else this.reserved = this.reserved.delete(job.identifier)
    this.indexHome(before?.attempt?.home, job)
    const isOpen = !hasEnded(job) || job.attempt !== undefined
    this.open = isOpen ? this.open.add(job.identifier) : this.open.delete(job.identifier)
  }

  private indexHome (before: string | undefined, job: Job): void {
    const after = job.attempt?.home
    if (before === after) return
    if (before !== undefined) this.homeHolders = this.homeHolders.delete(before)
    if (after !== undefined) this.homeHolders = this.homeHolders.set(after, job.identifier)
  }

  private count (account: string, queued: number, accelerators: number, slots = 0): void {
    const before = this.accounts.get(account) ?? nothingHeld
    this.accounts = this.accounts.set(account, { queued: before.queued + queued, accelerators: before.accelerators + accelerators, slots: before.slots + slots })
  }

  private moveUsage (job: Job, before: Attempt | undefined, after: Attempt | undefined): void {
    const held = new Map((before === undefined ? [] : heldMembers(before)).map((member) => [member.worker, member.mask]))
    const holds = new Map((after === undefined ? [] : heldMembers(after)).map((member) => [member.worker, member.mask]))
    for (const [worker, mask] of held) if (holds.get(worker) !== mask) this.use(job, worker, mask, -1)
    for (const [worker, mask] of holds) if (held.get(worker) !== mask) this.use(job, worker, mask, 1)
  }

  private use (job: Job, worker: string, mask: number, sign: 1 | -1): void {
    const before = this.workerUsage(worker)
    const { shape, account } = job.specification
    this.usage = this.usage.set(worker, {
      mask: sign > 0 ? before.mask | mask : before.mask & ~mask,
      slots: before.slots + sign * shape.slots,
      processors: before.processors + sign * shape.processors,
      memoryMegabytes: before.memoryMegabytes + sign * memoryNeeded(job),
      attempts: sign > 0 ? before.attempts.set(job.identifier, true) : before.attempts.delete(job.identifier)
    })
    this.count(account, 0, sign * shape.accelerators, sign * shape.slots)
  }
}

/**
 * The members of an attempt that still hold their part.
 * @param attempt - the attempt
 * @returns the members whose agent has not yet said that nothing runs there any more
 */
export function heldMembers (attempt: Attempt): Attempt['members'] {
  return attempt.members.filter((member) => !attempt.ended.includes(member.worker))
}

/**
 * The memory a job gets on each of its workers.
 * @param job - the job
 * @returns megabytes: what it was seen to need, or else what it declared
 */
export function memoryNeeded (job: Job): number {
  return Math.max(job.learnedMemory, job.specification.shape.memoryMegabytes)
}
