/** Simulates a fleet and a load of step jobs around the scheduling policy for step jobs. */
import {
  AccountStarts, apply, initialState, InterferenceLearner, runName, RunOutcome, scheduleSteps, stepPolicy, StepTransactionKind, SuspectTracker, taskKind, WorkerPaceTracker,
  type ListedRun, type RunKey, type RunProgress, type State, type StepJob, type StepPolicy, type StepSpecification, type TaskKind, type Transaction
} from '../src/core/index'
import type { JobKind, LoadProfile } from './load-profiles'
import { Random } from './random'

const TICK_MILLISECONDS = 50
/** Interval in which workers list the progress of their runs. */
const REPORT_MILLISECONDS = 500
const ARRIVAL_SECONDS = 60
/** Time for which the simulation goes on after the last arrival. */
const REST_SECONDS = 30
const WINDOW_SECONDS = 4
const RESTORE_MILLISECONDS = 600
/** Slowdown of a gang with `sameRack` that is spread over several racks. */
const CROSS_RACK_SLOWDOWN = 3
const MILLIPROCESSORS_PER_ACCELERATOR = 8_000
const WAVE_SHARE = 0.25
const ACCELERATORS = 8

interface SimulatedRun {
  key: RunKey
  incarnation: string
  /** No member of a gang of several tasks. */
  single: boolean
  done: number
  work: number
  slowdown: number
  checkpoints: boolean
  weight: number
  startedAt: number
  remainingRestoreMilliseconds: number
  stoppedAt?: number
  checkpointedWork: number
}
interface SubmittedJob {
  kind: JobKind
  name: string
  account: string
  at: number
  objective: number
  value: number
  size: number
  work: number[][]
}

/** Results of a simulation; earned values are shares of the highest possible value. */
export interface LoadResult {
  readonly earned: number
  readonly byKind: Readonly<Record<string, number>>
  /** Share earned by the account that earned the lowest share. */
  readonly worstAccount: number
  /** Mean over the accounts, large or small, of the share that each earned. */
  readonly accountMean: number
  /** Share earned by the largest tenth of the jobs. */
  readonly largest: number
  /** Mean share earned in the two worst windows of WINDOW_SECONDS. */
  readonly worstWindow: number
  /** Work that was lost, in processor seconds; an accelerator counts as eight processors. */
  readonly lostProcessorSeconds: number
  /** Time that interference cost, weighted in the same way. */
  readonly interferenceProcessorSeconds: number
  readonly starts: number
  readonly lateReclaims: number
}

/** Simulates one generated load in steps of TICK_MILLISECONDS. */
export class StepLoadSimulation {
  private state: State = initialState
  private now = 1_000_000
  private readonly runs = new Map<string, SimulatedRun>()
  private readonly progress = new Map<string, RunProgress>()
  private readonly jobs = new Map<string, SubmittedJob>()
  private readonly endTimes = new Map<string, number>()
  private readonly trust = SuspectTracker.create()
  private readonly pace = WorkerPaceTracker.create()
  private readonly accountStarts = AccountStarts.create()
  private readonly learner = InterferenceLearner.create()
  private findings?: ReturnType<InterferenceLearner['findings']>
  private readonly random: Random
  private lostProcessorSeconds = 0
  private interferenceProcessorSeconds = 0
  private starts = 0
  private lastEndNumber = 0
  private lateReclaims = 0

  private constructor (private readonly load: LoadProfile, seed: number, private readonly policy: StepPolicy) {
    this.random = Random.create(seed)
  }

  static create (load: LoadProfile, seed: number, policy = stepPolicy): StepLoadSimulation {
    return new StepLoadSimulation(load, seed, policy)
  }

  run (): LoadResult {
    this.prepare()
    const start = this.now
    for (let seconds = 0; seconds < this.arrivalSeconds + REST_SECONDS; seconds += TICK_MILLISECONDS / 1_000) {
      this.now = start + seconds * 1_000
      if (seconds < this.arrivalSeconds) this.submitArrivals(seconds)
      this.advance(seconds)
      if (Number.isInteger(Math.round(seconds * 1_000) / 1_000)) this.learnPace()
      if (this.load.interference !== undefined && Math.round(seconds * 1_000) % REPORT_MILLISECONDS === 0) this.learnInterference()
      if (Math.abs(seconds - (this.load.powerLossAt ?? -1)) < TICK_MILLISECONDS / 2_000) this.failAllRuns()
      this.decide()
    }
    return this.result(start)
  }

  private get arrivalSeconds (): number { return this.load.arrivalSeconds ?? ARRIVAL_SECONDS }

  private applyTransaction (transaction: Transaction): boolean {
    const { state, outcome } = apply(this.state, transaction)
    this.state = state
    return outcome.isOk()
  }

  private prepare (): void {
    const queues = Object.entries(this.load.kinds).map(([name, kind]) => ({
      name, host: 'h', prefix: `/${name}/`, service: 's', priority: kind.priority, mostAttempts: 4, slackFactor: kind.slackFactor, targetLatencyMilliseconds: kind.targetMilliseconds, timeoutMilliseconds: 3_000, public: false
    }))
    const { workers, accounts: count, guaranteedShare } = this.load
    const guaranteedAccelerators = Math.floor(workers * ACCELERATORS * guaranteedShare / count)
    const accounts = Array.from({ length: count }, (_, number) => ({ name: `account${number}`, keys: [], guaranteedAccelerators }))
    const document = { queues, services: [{ name: 's', guardsCapacity: false, standby: false }], accounts }
    this.applyTransaction({ kind: StepTransactionKind.ReplaceDocument, at: this.now, number: 1, documentJson: JSON.stringify(document), source: '' })
    for (let number = 0; number < this.load.workers; number++) {
      const name = `w${String(number).padStart(3, '0')}`
      const rack = `r${Math.floor(number / this.load.workersPerRack)}`
      this.applyTransaction({
        kind: StepTransactionKind.AnnounceIncarnation,
        at: this.now,
        life: {
          incarnation: name,
          worker: name,
          host: name,
          service: 's',
          dataCentre: 'd',
          rack,
          labels: ['a', rack],
          processors: this.load.workerProcessors,
          memoryMegabytes: this.load.workerMegabytes,
          accelerators: ACCELERATORS
        }
      })
    }
  }

  private submitArrivals (seconds: number): void {
    for (const [name, kind] of Object.entries(this.load.kinds)) {
      const burst = this.load.bursts.find((one) => one.kind === name && seconds >= one.from && seconds < one.to)
      if (this.random.chance(kind.jobsPerSecond * (burst?.factor ?? 1) * TICK_MILLISECONDS / 1_000)) this.submit(name, kind, burst)
    }
  }

  private chooseAccount (burst: LoadProfile['bursts'][number] | undefined): number {
    const { accounts, accountSizes } = this.load
    if (burst?.account !== undefined && this.random.chance(1 - 1 / burst.factor)) return burst.account
    if (accountSizes === undefined) return this.random.integer(0, accounts - 1)
    let drawn = this.random.integer(1, accountSizes.reduce((sum, size) => sum + size, 0))
    return accountSizes.findIndex((size) => { drawn -= size; return drawn <= 0 })
  }

  private submit (name: string, kind: JobKind, burst: LoadProfile['bursts'][number] | undefined): void {
    const identifier = `${name}-${this.jobs.size}`
    const steps: StepSpecification[] = []
    const work: number[][] = []
    const count = this.random.chance(kind.secondStepShare) ? 2 : 1
    const checkpoints = this.random.chance(kind.checkpointShare)
    for (let number = 0; number < count; number++) {
      const tasks = Math.max(1, Math.min(Math.round(kind.tasks * 6), Math.round(this.random.logNormal(kind.tasks * 0.73, 0.8))))
      const gang = tasks > 1 && this.random.chance(kind.gangShare)
      const accelerators = this.random.pick(kind.accelerators)
      const mean = this.random.logNormal(kind.taskMilliseconds, kind.spread)
      work.push(Array.from({ length: tasks }, () => Math.max(300, gang ? mean : this.random.logNormal(mean, 0.2))))
      steps.push({
        tasks, processors: kind.processors, memoryMegabytes: kind.memoryMegabytes, accelerators, estimateMilliseconds: Math.round(this.random.logNormal(mean, kind.estimateSpread)), after: number > 0 ? [number - 1] : [], gang, sameRack: gang && this.random.chance(0.6), label: '', dataRack: '', mostPerWorker: 0, checkpoints
      })
    }
    const account = `account${this.chooseAccount(burst)}`
    this.applyTransaction({ kind: StepTransactionKind.SubmitSteps, at: this.now, identifier, account, queue: name, specification: { payload: '', steps } })
    const size = steps.reduce((sum, step, number) => sum + weightOf(step) * (work[number] ?? []).reduce((total, one) => total + one, 0) / 1_000, 0)
    const meanSize = kind.tasks * (1 + kind.secondStepShare) * kind.taskMilliseconds / 1_000 * weightOf({ processors: kind.processors, accelerators: kind.accelerators.reduce((sum, one) => sum + one, 0) / kind.accelerators.length })
    const chain = work.reduce((sum, tasks, number) => sum + Math.max(...tasks) * this.countWaves(steps[number]!), 0)
    this.jobs.set(identifier, {
      kind,
      name,
      account,
      at: this.now,
      objective: kind.slackFactor * chain + kind.targetMilliseconds,
      value: kind.value * Math.min(4, 0.3 + 0.7 * size / meanSize),
      size,
      work
    })
  }

  /** Number of waves in which a step is expected to run if it may use a quarter of the fleet. */
  private countWaves ({ tasks, processors, memoryMegabytes, accelerators }: StepSpecification): number {
    const { workers, workerProcessors, workerMegabytes } = this.load
    const workerShare = Math.max(processors / workerProcessors, memoryMegabytes / workerMegabytes, accelerators / ACCELERATORS)
    return Math.max(1, Math.ceil(tasks * workerShare / (workers * WAVE_SHARE)))
  }

  private advance (seconds: number): void {
    const slow = this.load.slow
    const pressures = this.pressures()
    for (const [name, run] of [...this.runs]) {
      if (run.stoppedAt !== undefined) { if (this.now >= run.stoppedAt + this.load.stopMilliseconds) this.endRun(name, run, RunOutcome.Stopped); continue }
      let milliseconds = TICK_MILLISECONDS
      if (run.remainingRestoreMilliseconds > 0) { run.remainingRestoreMilliseconds -= milliseconds; continue }
      const position = Number(run.incarnation.slice(1))
      if (slow !== undefined && seconds >= slow.from && seconds < slow.to && position < slow.share * this.load.workers) milliseconds /= slow.factor
      const { slownesses = [1] } = this.load
      const pressure = pressures?.(run) ?? 1
      this.interferenceProcessorSeconds += (1 - 1 / pressure) * run.weight * milliseconds / 1_000
      run.done += milliseconds / run.slowdown / (slownesses[position % slownesses.length] ?? 1) / pressure
      if (run.checkpoints) run.checkpointedWork = Math.floor(run.done / this.load.checkpointMilliseconds) * this.load.checkpointMilliseconds
      const percent = Math.floor(100 * run.done / run.work)
      const known = this.progress.get(name)
      if (known?.percent !== percent) this.progress.set(name, { running: true, percent, changedAt: this.now })
      if (run.done >= run.work) this.endRun(name, run, RunOutcome.Done)
    }
  }

  private learnPace (): void {
    const tasks = [...this.runs].filter(([, { single }]) => single).map(([run, { key, incarnation }]) => ({ run, step: `${key.job}.${key.step}`, incarnation, percent: this.progress.get(run)?.percent ?? 0 }))
    this.pace.update(tasks, this.now)
  }

  /** The slow-down of each run by the kinds beside it; undefined in a load without interference. */
  private pressures (): ((run: SimulatedRun) => number) | undefined {
    const { interference } = this.load
    if (interference === undefined) return undefined
    const counts = new Map<string, number>()
    const nameOf = (run: SimulatedRun, kind: string): string => `${run.incarnation} ${kind}`
    const kindOf = (run: SimulatedRun): string => this.jobs.get(run.key.job)?.name ?? ''
    for (const run of this.runs.values()) counts.set(nameOf(run, kindOf(run)), (counts.get(nameOf(run, kindOf(run))) ?? 0) + 1)
    return (run) => interference.reduce((factor, one) => {
      const others = (counts.get(nameOf(run, one.beside)) ?? 0) - Number(kindOf(run) === one.beside)
      return one.kind === kindOf(run) && others > 0 ? factor * one.factor : factor
    }, 1)
  }

  private learnInterference (): void {
    const listed = new Map([...this.state.steps.incarnations.keys()].map((incarnation): [string, ListedRun[]] => [incarnation, []]))
    for (const [name, { incarnation }] of this.runs) listed.get(incarnation)?.push({ name, percent: this.progress.get(name)?.percent ?? 0 })
    const kindOf = (name: string): TaskKind => {
      const { job = '', step = 0 } = this.runs.get(name)?.key ?? {}
      return taskKind(this.jobs.get(job)?.name ?? '', this.state.steps.jobs.get(job)?.account ?? '', step)
    }
    for (const [incarnation, runs] of listed) this.learner.update({ incarnation, host: incarnation, runs, at: this.now }, kindOf)
    this.findings = this.learner.findings(this.now)
  }

  private failAllRuns (): void {
    for (const [name, run] of [...this.runs]) this.endRun(name, run, RunOutcome.Lost)
  }

  private endRun (name: string, run: SimulatedRun, outcome: RunOutcome): void {
    this.runs.delete(name)
    this.progress.delete(name)
    this.lastEndNumber += 1
    if (run.checkpoints && outcome === RunOutcome.Stopped) run.checkpointedWork = Math.floor(run.done)
    const checkpoint = run.checkpoints ? String(run.checkpointedWork) : ''
    if (outcome !== RunOutcome.Done) this.lostProcessorSeconds += run.weight * (run.checkpoints ? run.done - run.checkpointedWork : this.now - run.startedAt) / 1_000
    this.applyTransaction({
      kind: StepTransactionKind.EndRuns,
      at: this.now,
      incarnation: run.incarnation,
      ends: [{ number: this.lastEndNumber, key: run.key, outcome, checkpoint }]
    })
    const job = this.state.steps.jobs.get(run.key.job)
    if (job !== undefined && job.endedAt !== 0 && !this.endTimes.has(run.key.job)) this.endTimes.set(run.key.job, this.now)
  }

  private decide (): void {
    for (let round = 0; round < 50; round++) {
      const view = {
        now: this.now,
        silent: new Set<string>(),
        suspects: this.trust.suspects(this.now),
        progress: this.progress,
        complete: true,
        paces: this.pace.paces,
        accountStarts: this.accountStarts,
        interference: this.findings
      }
      const decisions = scheduleSteps(this.state.steps, view, this.policy)
      if (decisions.length === 0) return
      for (const decision of decisions) {
        if (!this.applyTransaction(decision)) throw new Error(`refused: ${JSON.stringify(decision)}`)
        if (decision.kind === StepTransactionKind.StartGang) this.accountStarts.record(this.state.steps, decision)
        if (decision.kind === StepTransactionKind.StartGang) this.startRuns(decision.job, decision.step, decision.attempt, decision.placements)
        if (decision.kind === StepTransactionKind.StopGang) this.stopRuns(decision.job, decision.step, decision.gang)
      }
    }
  }

  private startRuns (identifier: string, step: number, attempt: number, placements: ReadonlyArray<{ task: number, incarnation: string }>): void {
    const job = this.state.steps.jobs.get(identifier)
    const submitted = this.jobs.get(identifier)
    const specification = job?.specification.steps[step]
    if (job === undefined || submitted === undefined || specification === undefined) return
    this.starts += placements.length
    if (step === 0 && submitted.kind.priority === 0 && this.now - submitted.at > this.load.reclaimMilliseconds) this.lateReclaims += 1
    const racks = new Set(placements.map(({ incarnation }) => this.state.steps.incarnations.get(incarnation)?.rack))
    for (const { task, incarnation } of placements) {
      const key = { job: identifier, step, task, attempt }
      const saved = Number(this.savedWork(job, step, task) || 0)
      const run: SimulatedRun = {
        key,
        incarnation,
        single: !specification.gang,
        done: saved,
        checkpointedWork: saved,
        work: submitted.work[step]?.[task] ?? 1_000,
        slowdown: specification.sameRack && racks.size > 1 ? CROSS_RACK_SLOWDOWN : 1,
        checkpoints: specification.checkpoints,
        weight: weightOf(specification),
        startedAt: this.now,
        remainingRestoreMilliseconds: saved > 0 ? RESTORE_MILLISECONDS : 0
      }
      this.runs.set(runName(key), run)
      this.progress.set(runName(key), { running: true, percent: 0, changedAt: this.now })
    }
  }

  private savedWork (job: StepJob, step: number, task: number): string {
    return job.gangs[step]?.find(({ first, size }) => task >= first && task < first + size)?.checkpoint ?? ''
  }

  private stopRuns (identifier: string, step: number, position: number): void {
    const gang = this.state.steps.jobs.get(identifier)?.gangs[step]?.[position]
    for (const { task } of gang?.run?.members ?? []) {
      const run = this.runs.get(runName({ job: identifier, step, task, attempt: gang?.run?.attempt ?? 0 }))
      if (run !== undefined) run.stoppedAt ??= this.now
    }
  }

  private result (start: number): LoadResult {
    const all = [...this.jobs].map(([identifier, job]) => ({ ...job, earned: this.earnedValue(identifier, job) }))
    const share = (jobs: typeof all): number => jobs.reduce((sum, { earned }) => sum + earned, 0) / Math.max(1e-9, jobs.reduce((sum, { value }) => sum + value, 0))
    const byKind = Object.fromEntries(Object.keys(this.load.kinds).map((name) => [name, share(all.filter((job) => job.name === name))]))
    const accounts = [...new Set(all.map(({ account }) => account))].map((account) => share(all.filter((job) => job.account === account)))
    const sorted = [...all].sort((one, other) => other.size - one.size)
    const windowOf = ({ at }: SubmittedJob): number => Math.floor((at - start) / 1_000 / WINDOW_SECONDS)
    const windows = Array.from({ length: Math.ceil(this.arrivalSeconds / WINDOW_SECONDS) }, (_, window) => all.filter((job) => windowOf(job) === window))
      .filter((jobs) => jobs.length > 0).map(share).sort((one, other) => one - other)
    return {
      earned: share(all),
      byKind,
      worstAccount: Math.min(...accounts),
      accountMean: accounts.reduce((sum, one) => sum + one, 0) / Math.max(1, accounts.length),
      largest: share(sorted.slice(0, Math.ceil(all.length / 10))),
      worstWindow: ((windows[0] ?? 1) + (windows[1] ?? 1)) / 2,
      lostProcessorSeconds: this.lostProcessorSeconds,
      interferenceProcessorSeconds: this.interferenceProcessorSeconds,
      starts: this.starts,
      lateReclaims: this.lateReclaims
    }
  }

  private earnedValue (identifier: string, { kind, at, objective, value }: SubmittedJob): number {
    const ended = this.endTimes.get(identifier)
    if (ended === undefined || this.state.steps.jobs.get(identifier)?.state !== 'completed') return 0
    const duration = ended - at
    return duration <= objective ? value : duration <= 3 * objective ? value * kind.lateValue / kind.value : 0
  }
}

function weightOf ({ processors, accelerators }: Pick<StepSpecification, 'processors' | 'accelerators'>): number {
  return (processors + MILLIPROCESSORS_PER_ACCELERATOR * accelerators) / 1_000
}
