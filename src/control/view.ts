import { guaranteeStatus, JobState, type GuaranteeStatus, type Job, type State, type Worker } from '../core/index'

/** A worker in the status for operators. */
export interface WorkerView extends Worker {
  /** Bit i is set where accelerator i is held. */
  readonly heldMask: number
  readonly heldSlots: number
  readonly jobs: number
}

/** A client account in the status for operators. */
export interface AccountView {
  readonly name: string
  readonly share: number
  readonly queuedJobs: number
  readonly heldAccelerators: number
}

/** A waiting job in the status for operators. */
export interface WaitingView {
  readonly identifier: string
  readonly account: string
  readonly workers: number
  readonly accelerators: number
  readonly acceptedAt: number
  readonly notBefore: number
}

/** The cluster in the status for operators. */
export interface ClusterView {
  readonly workers: readonly WorkerView[]
  readonly accounts: readonly AccountView[]
  readonly guarantees: readonly GuaranteeStatus[]
  /** The jobs that were accepted first, up to a limit. */
  readonly waiting: readonly WaitingView[]
  readonly openJobs: number
  readonly queuedJobs: number
}

const MAX_WAITING_JOBS = 50

/**
 * Makes the view of the cluster for operators.
 * @param state - the committed state
 * @returns workers by name, accounts in the document's order, guarantees, the oldest waiting jobs
 */
export function clusterView (state: State): ClusterView {
  return {
    workers: [...state.workers.values()].sort((one, other) => one.name < other.name ? -1 : 1).map((worker) => workerView(state, worker)),
    accounts: state.configuration.document.clientAccounts.map(({ name, share }) => {
      const usage = state.accounts.get(name)
      return { name, share, queuedJobs: usage?.queued ?? 0, heldAccelerators: usage?.accelerators ?? 0 }
    }),
    guarantees: guaranteeStatus(state),
    waiting: waitingJobs(state).slice(0, MAX_WAITING_JOBS).map(waitingView),
    openJobs: state.open.size,
    queuedJobs: state.queued.size
  }
}

function workerView (state: State, worker: Worker): WorkerView {
  const usage = state.usage.get(worker.name)
  return { ...worker, heldMask: usage?.mask ?? 0, heldSlots: usage?.slots ?? 0, jobs: usage?.attempts.size ?? 0 }
}

function waitingJobs (state: State): Job[] {
  const jobs = state.queued.toArray().map((identifier) => state.jobs.get(identifier))
  return jobs.filter((job): job is Job => job?.state === JobState.Queued).sort((one, other) => one.acceptedAt - other.acceptedAt)
}

function waitingView ({ identifier, specification, acceptedAt, notBefore }: Job): WaitingView {
  const { account, shape } = specification
  return { identifier, account, workers: shape.workers, accelerators: shape.accelerators, acceptedAt, notBefore }
}
