/** The dominant share of each account: what its runs occupy of the scarcest resource for it, relative to the fleet. */
import type { QueueAccount } from './document'
import { addResources, gangOf, noResources, type Resources, type StepJob, type StepState, type WorkerIncarnation } from './model'
import { overdueAt } from './overdue'

/** Weight of an account for which the queue document gives none. */
const DEFAULT_WEIGHT = 1

/** What some tasks of an account occupy. */
interface AccountUsage {
  readonly used: Resources
  /** One of the runs began when its job was already overdue. */
  readonly overdue: boolean
}

const noUsage: AccountUsage = { used: noResources, overdue: false }

/** Usage of all accounts. */
interface FleetUsage {
  readonly fleet: Resources
  readonly byAccount: Map<string, AccountUsage>
  readonly weights: ReadonlyMap<string, number>
}

/** What a round has allocated to tasks of an account. */
interface Allocation {
  readonly account: string
  readonly usage: AccountUsage
}

/** Shares of the accounts at the start of a scheduling round, to which its starts are added. Measured only when they are needed. */
export class AccountShares {
  private measured?: FleetUsage
  /** Allocations from before the shares were needed. */
  private readonly pending: Allocation[] = []

  private constructor (private readonly state: StepState) {}

  /**
   * Creates the shares.
   * @param state - state of the step jobs
   * @returns the shares of what runs now, including runs that are being stopped
   */
  static of (state: StepState): AccountShares {
    return new AccountShares(state)
  }

  /** The largest of the account's shares of accelerators, processors and memory, divided by its weight. */
  weightedShare (account: string): number {
    return this.dominantShare(account) / (this.usage.weights.get(account) ?? DEFAULT_WEIGHT)
  }

  /** The same without the weight: from 0 to 1, and above where workers have shrunk or been lost. */
  dominantShare (account: string): number {
    const { fleet } = this.usage
    const { used: { processors, memoryMegabytes, accelerators } } = this.usageOf(account)
    return Math.max(processors / Math.max(1, fleet.processors), memoryMegabytes / Math.max(1, fleet.memoryMegabytes), accelerators / Math.max(1, fleet.accelerators))
  }

  /** Whether the account has no run and no capacity that is allocated to it. */
  isIdle (account: string): boolean {
    return this.usageOf(account) === noUsage
  }

  /** Whether work that the account started because it was overdue still runs. */
  runsOverdue (account: string): boolean {
    return this.usageOf(account).overdue
  }

  /** Adds capacity that a round has allocated to tasks of the account. */
  add (account: string, used: Resources, overdue: boolean): void {
    const usage = { used, overdue }
    if (this.measured === undefined) this.pending.push({ account, usage })
    else addUsage(this.measured.byAccount, account, usage)
  }

  private usageOf (account: string): AccountUsage {
    return this.usage.byAccount.get(account) ?? noUsage
  }

  private get usage (): FleetUsage {
    if (this.measured !== undefined) return this.measured
    this.measured = measureUsage(this.state)
    for (const { account, usage } of this.pending) addUsage(this.measured.byAccount, account, usage)
    return this.measured
  }
}

function measureUsage (state: StepState): FleetUsage {
  const byAccount = new Map<string, AccountUsage>()
  let fleet = noResources
  for (const worker of state.incarnations.values()) {
    fleet = addResources(fleet, worker)
    for (const [account, added] of usageOn(state, worker)) addUsage(byAccount, account, added)
  }
  const accounts: readonly QueueAccount[] = state.document?.document.accounts ?? []
  return { fleet, byAccount, weights: new Map(accounts.map(({ name, weight = DEFAULT_WEIGHT }) => [name, weight])) }
}

function addUsage (usage: Map<string, AccountUsage>, account: string, { used, overdue }: AccountUsage): void {
  const before = usage.get(account) ?? noUsage
  usage.set(account, { used: addResources(before.used, used), overdue: before.overdue || overdue })
}

/** Usage on each incarnation. The object of an incarnation is replaced whenever its runs change, so that entries never become outdated. */
const usageCache = new WeakMap<WorkerIncarnation, ReadonlyMap<string, AccountUsage>>()

function usageOn (state: StepState, worker: WorkerIncarnation): ReadonlyMap<string, AccountUsage> {
  const known = usageCache.get(worker)
  if (known !== undefined) return known
  const usage = new Map<string, AccountUsage>()
  for (const key of worker.runs.values()) {
    const job = state.jobs.get(key.job)
    const step = job?.specification.steps[key.step]
    if (job === undefined || step === undefined) continue
    addUsage(usage, job.account, { used: step, overdue: beganOverdue(job, gangOf(job, key)?.run?.startedAt) })
  }
  usageCache.set(worker, usage)
  return usage
}

function beganOverdue (job: StepJob, startedAt: number | undefined): boolean {
  return startedAt !== undefined && startedAt >= overdueAt(job)
}
