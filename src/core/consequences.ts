import { fitsEmptyFleet } from './fleet-check'
import { isDrained } from './guarantees'
import { canonicalDigest } from './canonical'
import { RemovalRule, Section, sections, type ClientAccount, type DeclaredJob, type Document, type Guarantee } from './document'
import { hasEnded, JobState, type Job } from './job'
import type { State } from './state'

/** Kind of effect that a change to the document has. */
export enum ConsequenceKind {
  AccountOpened = 'account-opened',
  AccountChanged = 'account-changed',
  AccountClosed = 'account-closed',
  GuaranteeGiven = 'guarantee-given',
  GuaranteeChanged = 'guarantee-changed',
  GuaranteeWithdrawn = 'guarantee-withdrawn',
  JobQueued = 'job-queued',
  JobWaitsForFleet = 'job-waits-for-fleet',
  JobNotRunAgain = 'job-not-run-again',
  JobCancelled = 'job-cancelled',
  JobStopped = 'job-stopped',
  WorkerDrained = 'worker-drained',
  WorkerReturned = 'worker-returned',
  TeamChanged = 'team-changed',
  SectionChanged = 'section-changed'
}

/** One effect of a change to the document. */
export interface Consequence {
  readonly kind: ConsequenceKind
  /** The affected account, job, worker, team or section. */
  readonly subject: string
  /** Description for operators. */
  readonly text: string
}

interface DocumentChange {
  readonly state: State
  readonly before: Document
  readonly after: Document
}

const finders: ReadonlyArray<(change: DocumentChange) => Consequence[]> = [
  accountConsequences, guaranteeConsequences, declaredJobConsequences, openJobConsequences, workerConsequences, teamConsequences, sectionConsequences
]

/**
 * Lists the effects that a document would have if it were accepted now.
 * @param state - the state before
 * @param after - the whole document that would be in force
 * @returns the consequences: accounts, guarantees, jobs, workers, teams, then other sections
 */
export function consequences (state: State, after: Document): Consequence[] {
  const change = { state, before: state.configuration.document, after }
  return finders.flatMap((find) => find(change))
}

/**
 * Formats consequences as lines of text.
 * @param found - the consequences
 * @param limit - maximum number of consequences listed
 * @returns one line each, and a line that counts the omitted ones
 */
export function consequenceLines (found: readonly Consequence[], limit = Infinity): string[] {
  const lines = found.slice(0, limit).map((consequence) => consequence.text)
  return found.length > limit ? [...lines, `and ${found.length - limit} more`] : lines
}

function makeConsequence (kind: ConsequenceKind, subject: string, text: string): Consequence {
  return { kind, subject, text }
}

function indexBy<Item> (items: readonly Item[], name: (item: Item) => string): Map<string, Item> {
  return new Map(items.map((item) => [name(item), item]))
}

function differs (one: unknown, other: unknown): boolean {
  return canonicalDigest(one ?? null) !== canonicalDigest(other ?? null)
}

function accountConsequences ({ state, before, after }: DocumentChange): Consequence[] {
  const earlier = indexBy(before.clientAccounts, (account) => account.name)
  const later = indexBy(after.clientAccounts, (account) => account.name)
  const opened = after.clientAccounts.filter(({ name }) => !earlier.has(name))
    .map(({ name, share }) => makeConsequence(ConsequenceKind.AccountOpened, name, `account ${name} is opened with share ${share}`))
  const changed = after.clientAccounts.filter((account) => earlier.has(account.name) && differs(earlier.get(account.name), account))
    .map((account) => makeConsequence(ConsequenceKind.AccountChanged, account.name, `account ${account.name} changes: ${changedFields(earlier.get(account.name)!, account).join(', ')}`))
  const closed = before.clientAccounts.filter(({ name }) => !later.has(name)).map((account) => accountClosed(state, account))
  return [...opened, ...changed, ...closed]
}

function changedFields (before: ClientAccount, after: ClientAccount): string[] {
  const fields = Object.keys(after) as Array<keyof ClientAccount>
  return fields.filter((field) => differs(before[field], after[field]))
    .map((field) => field === 'tokens' ? 'its tokens' : `${field} from ${String(before[field])} to ${String(after[field])}`)
}

function accountClosed (state: State, { name, whenRemoved }: ClientAccount): Consequence {
  const open = state.open.toArray().map((identifier) => state.jobs.get(identifier)).filter((job) => job?.specification.account === name)
  const rule = whenRemoved === RemovalRule.Cancel ? 'its running jobs are stopped' : 'its running jobs go on to their end'
  return makeConsequence(ConsequenceKind.AccountClosed, name, `account ${name} is closed: it takes no new jobs, its waiting jobs are cancelled, ${rule}; it has ${open.length} open jobs`)
}

function guaranteeName ({ account, shape }: Guarantee): string {
  return `${account}: ${shape.workers} x ${shape.accelerators} within ${shape.within}`
}

function guaranteeConsequences ({ before, after }: DocumentChange): Consequence[] {
  const key = ({ account, shape }: Guarantee): string => canonicalDigest([account, shape])
  const earlier = indexBy(before.guarantees, key)
  const later = indexBy(after.guarantees, key)
  const given = after.guarantees.filter((guarantee) => !earlier.has(key(guarantee))).map((guarantee) =>
    makeConsequence(ConsequenceKind.GuaranteeGiven, guarantee.account, `guarantee given: ${guaranteeName(guarantee)}, ${guarantee.count} at once, given back within ${guarantee.graceSeconds} s`))
  const changed = after.guarantees.filter((guarantee) => earlier.has(key(guarantee)) && differs(earlier.get(key(guarantee)), guarantee)).map((guarantee) => {
    const was = earlier.get(key(guarantee))!
    return makeConsequence(ConsequenceKind.GuaranteeChanged, guarantee.account, `guarantee changes: ${guaranteeName(guarantee)}, count ${was.count} to ${guarantee.count}, grace ${was.graceSeconds} s to ${guarantee.graceSeconds} s`)
  })
  const withdrawn = before.guarantees.filter((guarantee) => !later.has(key(guarantee))).map((guarantee) =>
    makeConsequence(ConsequenceKind.GuaranteeWithdrawn, guarantee.account, `guarantee withdrawn: ${guaranteeName(guarantee)}`))
  return [...given, ...changed, ...withdrawn]
}

function declaredJobConsequences ({ state, before, after }: DocumentChange): Consequence[] {
  const earlier = new Set(before.jobs.map((job) => job.identifier))
  return after.jobs.filter((job) => !earlier.has(job.identifier)).map((job) => jobDeclared(state, job))
}

function jobDeclared (state: State, job: DeclaredJob): Consequence {
  const { identifier } = job
  if (state.spent.has(identifier) || state.jobs.has(identifier)) {
    return makeConsequence(ConsequenceKind.JobNotRunAgain, identifier, `job ${identifier} is known already and is not run again`)
  }
  const fleet = state.workers.valueSeq().toArray()
  if (!fitsEmptyFleet(job.shape, fleet)) {
    return makeConsequence(ConsequenceKind.JobWaitsForFleet, identifier, `job ${identifier} waits: no announced group of workers could hold its ${job.shape.workers} x ${job.shape.accelerators} accelerators within ${job.shape.within}`)
  }
  return makeConsequence(ConsequenceKind.JobQueued, identifier, `job ${identifier} of ${job.account} is queued`)
}

/**
 * Finds the open jobs that a document ends.
 * @param state - the state before
 * @param after - the whole document that would be in force
 * @param open - the jobs that have not ended
 * @returns declared jobs that were removed, and jobs of removed accounts that end by the account's removal rule
 */
export function jobsEndedBy (state: Pick<State, 'configuration'>, after: Document, open: readonly Job[]): { removed: Job[], closed: Job[] } {
  const before = state.configuration.document
  const declared = new Set(after.jobs.map((job) => job.identifier))
  const accounts = new Set(after.clientAccounts.map((account) => account.name))
  const unfinished = open.filter((job) => !hasEnded(job))
  const removed = unfinished.filter((job) => job.declared && !declared.has(job.identifier))
  const closed = unfinished.filter((job) => !removed.includes(job) && !accounts.has(job.specification.account) && endsWithAccount(before, job))
  return { removed, closed }
}

/** Jobs that have not started are cancelled with their account; running jobs follow its removal rule. */
function endsWithAccount (before: Document, job: Job): boolean {
  const rule = before.clientAccounts.find((account) => account.name === job.specification.account)?.whenRemoved
  return rule === RemovalRule.Cancel || job.state === JobState.Queued || job.state === JobState.Reserved
}

function openJobConsequences ({ state, after }: DocumentChange): Consequence[] {
  const open = state.open.toArray().sort().map((identifier) => state.jobs.get(identifier)).filter((job): job is Job => job !== undefined)
  const { removed, closed } = jobsEndedBy(state, after, open)
  return [
    ...removed.map((job) => jobEnded(job, 'it is no longer in the document')),
    ...closed.map((job) => jobEnded(job, `account ${job.specification.account} is closed`))
  ]
}

function jobEnded ({ identifier, state }: Job, reason: string): Consequence {
  const started = state === JobState.Running || state === JobState.Stopping
  return started
    ? makeConsequence(ConsequenceKind.JobStopped, identifier, `job ${identifier} is stopped while it runs: ${reason}`)
    : makeConsequence(ConsequenceKind.JobCancelled, identifier, `job ${identifier} is cancelled before it runs: ${reason}`)
}

function workerConsequences ({ state, before, after }: DocumentChange): Consequence[] {
  const workers = state.workers.valueSeq().toArray().sort((one, other) => one.name < other.name ? -1 : 1)
  return workers.flatMap((worker) => {
    const was = isDrained(worker, before.maintenance)
    const is = isDrained(worker, after.maintenance)
    if (was === is) return []
    return [is
      ? makeConsequence(ConsequenceKind.WorkerDrained, worker.name, `worker ${worker.name} gets no new work`)
      : makeConsequence(ConsequenceKind.WorkerReturned, worker.name, `worker ${worker.name} gets new work again`)]
  })
}

function teamConsequences ({ before, after }: DocumentChange): Consequence[] {
  const earlier = indexBy(before.teams, (team) => team.name)
  const later = indexBy(after.teams, (team) => team.name)
  const changed = after.teams.filter((team) => differs(earlier.get(team.name), team)).map((team) =>
    makeConsequence(ConsequenceKind.TeamChanged, team.name, `team ${team.name} may write ${team.sections.join(', ') || 'nothing'}, with ${team.tokens.length} tokens`))
  const gone = before.teams.filter((team) => !later.has(team.name)).map((team) =>
    makeConsequence(ConsequenceKind.TeamChanged, team.name, `team ${team.name} may write nothing any more`))
  return [...changed, ...gone]
}

function sectionConsequences ({ before, after }: DocumentChange): Consequence[] {
  const listedByField = [Section.Limits, Section.Placement]
  return sections.filter((section) => listedByField.includes(section) && differs(before[section], after[section])).map((section) =>
    makeConsequence(ConsequenceKind.SectionChanged, section, `${section} changes: ${fieldChanges(before[section], after[section]).join(', ')}`))
}

function fieldChanges (before: object, after: object): string[] {
  const earlier = new Map(Object.entries(before))
  return Object.entries(after).filter(([field, value]) => earlier.get(field) !== value)
    .map(([field, value]) => `${field} from ${String(earlier.get(field))} to ${String(value)}`)
}
