/** A fleet in simulated time around the pure policy for jobs of steps. */
import {
  apply, initialState, runName, RunOutcome, scheduleSteps, StepTransactionKind, Trust,
  type RunKey, type RunProgress, type State, type StepJob, type StepSpecification, type Transaction
} from '../src/core/index'
import { Random } from './random'

/** One kind of job. */
export interface Kind {
  readonly priority: number
  readonly jobsPerSecond: number
  readonly tasks: number
  readonly taskMilliseconds: number
  readonly spread: number
  readonly processors: number
  readonly memoryMegabytes: number
  readonly accelerators: readonly number[]
  readonly gangShare: number
  readonly checkpointShare: number
  readonly secondStepShare: number
  readonly slackFactor: number
  readonly targetMilliseconds: number
  readonly worth: number
  readonly lateWorth: number
  /** Standard deviation of the logarithm of the estimate against the truth. */
  readonly estimateSpread: number
}

/** A fleet and what is asked of it. */
export interface Load {
  readonly workers: number
  readonly workerProcessors: number
  readonly workerMegabytes: number
  readonly workersPerRack: number
  /** Accelerators that the accounts are guaranteed, as a share of all. */
  readonly guaranteedShare: number
  readonly accounts: number
  /** All workers lose what runs at this time, in seconds. */
  readonly powerLossAt?: number
  readonly stopMilliseconds: number
  readonly reclaimMilliseconds: number
  /** Work between two checkpoints, in milliseconds; a stop makes one as well. */
  readonly checkpointMilliseconds: number
  readonly kinds: Readonly<Record<string, Kind>>
  /** Times the usual rate between two times, in seconds. */
  readonly bursts: ReadonlyArray<{ readonly kind: string, readonly from: number, readonly to: number, readonly factor: number }>
  /** Share of the workers that take so many times as long between two times, in seconds. */
  readonly slow?: { readonly share: number, readonly from: number, readonly to: number, readonly factor: number }
}

const TICK_MILLISECONDS = 50
const ARRIVAL_SECONDS = 60
const END_SECONDS = 90
const WINDOW_SECONDS = 4
const RESTORE_MILLISECONDS = 600
const SPREAD_RACKS_FACTOR = 3
const PROCESSORS_PER_ACCELERATOR = 8_000
const WAVE_SHARE = 0.25
const ACCELERATORS = 8

interface Run { key: RunKey, incarnation: string, done: number, work: number, factor: number, checkpoints: boolean, weight: number, began: number, restoring: number, stoppedAt?: number, saved: number }
interface Submitted { kind: Kind, name: string, at: number, objective: number, worth: number, size: number, work: number[][] }

/** What callers got, as shares of what they could have. */
export interface LoadResult {
  readonly earned: number
  readonly byKind: Readonly<Record<string, number>>
  /** Of the largest tenth of the jobs. */
  readonly largest: number
  readonly worstWindow: number
  /** Processor-seconds of work that was thrown away; an accelerator stands for eight processors. */
  readonly lost: number
  readonly starts: number
  readonly lateReclaims: number
}

/** One generated day. */
export class StepLoad {
  private state: State = initialState
  private now = 1_000_000
  private readonly runs = new Map<string, Run>()
  private readonly progress = new Map<string, RunProgress>()
  private readonly jobs = new Map<string, Submitted>()
  private readonly ends = new Map<string, number>()
  private readonly trust = Trust.create()
  private readonly random: Random
  private lost = 0
  private starts = 0
  private lateReclaims = 0

  private constructor (private readonly load: Load, seed: number) {
    this.random = Random.create(seed)
  }

  static create (load: Load, seed: number): StepLoad {
    return new StepLoad(load, seed)
  }

  run (): LoadResult {
    this.prepare()
    const start = this.now
    for (let seconds = 0; seconds < END_SECONDS; seconds += TICK_MILLISECONDS / 1_000) {
      this.now = start + seconds * 1_000
      if (seconds < ARRIVAL_SECONDS) this.arrive(seconds)
      this.advance(seconds)
      if (Math.abs(seconds - (this.load.powerLossAt ?? -1)) < TICK_MILLISECONDS / 2_000) this.losePower()
      this.decide()
    }
    return this.result(start)
  }

  private take (transaction: Transaction): boolean {
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
    this.take({ kind: StepTransactionKind.ReplaceDocument, at: this.now, number: 1, documentJson: JSON.stringify(document), source: '' })
    for (let number = 0; number < this.load.workers; number++) {
      const name = `w${String(number).padStart(3, '0')}`
      const rack = `r${Math.floor(number / this.load.workersPerRack)}`
      this.take({ kind: StepTransactionKind.AnnounceLife, at: this.now, life: { incarnation: name, worker: name, host: name, service: 's', dataCentre: 'd', rack, labels: ['a', rack], processors: this.load.workerProcessors, memoryMegabytes: this.load.workerMegabytes, accelerators: ACCELERATORS } })
    }
  }

  private arrive (seconds: number): void {
    for (const [name, kind] of Object.entries(this.load.kinds)) {
      const burst = this.load.bursts.find((one) => one.kind === name && seconds >= one.from && seconds < one.to)
      if (this.random.chance(kind.jobsPerSecond * (burst?.factor ?? 1) * TICK_MILLISECONDS / 1_000)) this.submit(name, kind)
    }
  }

  private submit (name: string, kind: Kind): void {
    const identifier = `${name}-${this.jobs.size}`
    const steps: StepSpecification[] = []
    const work: number[][] = []
    const count = this.random.chance(kind.secondStepShare) ? 2 : 1
    const checkpoints = this.random.chance(kind.checkpointShare)
    for (let number = 0; number < count; number++) {
      const tasks = Math.max(1, Math.min(Math.round(kind.tasks * 6), Math.round(this.random.aroundMedian(kind.tasks * 0.73, 0.8))))
      const gang = tasks > 1 && this.random.chance(kind.gangShare)
      const accelerators = this.random.pick(kind.accelerators)
      const mean = this.random.aroundMedian(kind.taskMilliseconds, kind.spread)
      work.push(Array.from({ length: tasks }, () => Math.max(300, gang ? mean : this.random.aroundMedian(mean, 0.2))))
      steps.push({
        tasks, processors: kind.processors, memoryMegabytes: kind.memoryMegabytes, accelerators, estimateMilliseconds: Math.round(this.random.aroundMedian(mean, kind.estimateSpread)), after: number > 0 ? [number - 1] : [], gang, sameRack: gang && this.random.chance(0.6), label: '', dataRack: '', mostPerWorker: 0, checkpoints
      })
    }
    const account = `account${this.random.integer(0, this.load.accounts - 1)}`
    this.take({ kind: StepTransactionKind.SubmitSteps, at: this.now, identifier, account, queue: name, specification: { payload: '', steps } })
    const size = steps.reduce((sum, step, number) => sum + weightOf(step) * (work[number] ?? []).reduce((total, one) => total + one, 0) / 1_000, 0)
    const meanSize = kind.tasks * (1 + kind.secondStepShare) * kind.taskMilliseconds / 1_000 * weightOf({ processors: kind.processors, accelerators: kind.accelerators.reduce((sum, one) => sum + one, 0) / kind.accelerators.length })
    const chain = work.reduce((sum, tasks, number) => sum + Math.max(...tasks) * this.waves(steps[number]!), 0)
    this.jobs.set(identifier, { kind, name, at: this.now, objective: kind.slackFactor * chain + kind.targetMilliseconds, worth: kind.worth * Math.min(4, 0.3 + 0.7 * size / meanSize), size, work })
  }

  /** A step that is wider than a quarter of the fleet is expected in waves. */
  private waves ({ tasks, processors, memoryMegabytes, accelerators }: StepSpecification): number {
    const { workers, workerProcessors, workerMegabytes } = this.load
    const room = Math.max(processors / workerProcessors, memoryMegabytes / workerMegabytes, accelerators / ACCELERATORS)
    return Math.max(1, Math.ceil(tasks * room / (workers * WAVE_SHARE)))
  }

  private advance (seconds: number): void {
    const slow = this.load.slow
    for (const [name, run] of [...this.runs]) {
      if (run.stoppedAt !== undefined) { if (this.now >= run.stoppedAt + this.load.stopMilliseconds) this.end(name, run, RunOutcome.Stopped); continue }
      let milliseconds = TICK_MILLISECONDS
      if (run.restoring > 0) { run.restoring -= milliseconds; continue }
      const position = Number(run.incarnation.slice(1))
      if (slow !== undefined && seconds >= slow.from && seconds < slow.to && position < slow.share * this.load.workers) milliseconds /= slow.factor
      run.done += milliseconds / run.factor
      if (run.checkpoints) run.saved = Math.floor(run.done / this.load.checkpointMilliseconds) * this.load.checkpointMilliseconds
      const percent = Math.floor(100 * run.done / run.work)
      const known = this.progress.get(name)
      if (known?.percent !== percent) this.progress.set(name, { running: true, percent, changedAt: this.now })
      if (run.done >= run.work) this.end(name, run, RunOutcome.Done)
    }
  }

  private losePower (): void {
    for (const [name, run] of [...this.runs]) this.end(name, run, RunOutcome.Lost)
  }

  private number = 0

  private end (name: string, run: Run, outcome: RunOutcome): void {
    this.runs.delete(name)
    this.progress.delete(name)
    this.number += 1
    if (run.checkpoints && outcome === RunOutcome.Stopped) run.saved = Math.floor(run.done)
    const checkpoint = run.checkpoints ? String(run.saved) : ''
    if (outcome !== RunOutcome.Done) this.lost += run.weight * (run.checkpoints ? run.done - run.saved : this.now - run.began) / 1_000
    this.take({ kind: StepTransactionKind.EndRuns, at: this.now, incarnation: run.incarnation, ends: [{ number: this.number, key: run.key, outcome, checkpoint }] })
    const job = this.state.steps.jobs.get(run.key.job)
    if (job !== undefined && job.endedAt !== 0 && !this.ends.has(run.key.job)) this.ends.set(run.key.job, this.now)
  }

  private decide (): void {
    for (let round = 0; round < 50; round++) {
      const view = { now: this.now, silent: new Set<string>(), suspects: this.trust.suspects(this.now), progress: this.progress, complete: true }
      const decisions = scheduleSteps(this.state.steps, view)
      if (decisions.length === 0) return
      for (const decision of decisions) {
        if (!this.take(decision)) throw new Error(`refused: ${JSON.stringify(decision)}`)
        if (decision.kind === StepTransactionKind.StartGang) this.begin(decision.job, decision.step, decision.attempt, decision.placements)
        if (decision.kind === StepTransactionKind.StopGang) this.stop(decision.job, decision.step, decision.gang)
      }
    }
  }

  private begin (identifier: string, step: number, attempt: number, placements: ReadonlyArray<{ task: number, incarnation: string }>): void {
    const job = this.state.steps.jobs.get(identifier)
    const submitted = this.jobs.get(identifier)
    const specification = job?.specification.steps[step]
    if (job === undefined || submitted === undefined || specification === undefined) return
    this.starts += placements.length
    if (step === 0 && submitted.kind.priority === 0 && this.now - submitted.at > this.load.reclaimMilliseconds) this.lateReclaims += 1
    const racks = new Set(placements.map(({ incarnation }) => this.state.steps.lives.get(incarnation)?.rack))
    for (const { task, incarnation } of placements) {
      const key = { job: identifier, step, task, attempt }
      const saved = Number(this.savedOf(job, step, task) || 0)
      const run: Run = { key, incarnation, done: saved, saved, work: submitted.work[step]?.[task] ?? 1_000, factor: specification.sameRack && racks.size > 1 ? SPREAD_RACKS_FACTOR : 1, checkpoints: specification.checkpoints, weight: weightOf(specification), began: this.now, restoring: saved > 0 ? RESTORE_MILLISECONDS : 0 }
      this.runs.set(runName(key), run)
      this.progress.set(runName(key), { running: true, percent: 0, changedAt: this.now })
    }
  }

  private savedOf (job: StepJob, step: number, task: number): string {
    return job.gangs[step]?.find(({ first, size }) => task >= first && task < first + size)?.checkpoint ?? ''
  }

  private stop (identifier: string, step: number, position: number): void {
    const gang = this.state.steps.jobs.get(identifier)?.gangs[step]?.[position]
    for (const { task } of gang?.run?.members ?? []) {
      const run = this.runs.get(runName({ job: identifier, step, task, attempt: gang?.run?.attempt ?? 0 }))
      if (run !== undefined) run.stoppedAt ??= this.now
    }
  }

  private result (start: number): LoadResult {
    const all = [...this.jobs].map(([identifier, job]) => ({ ...job, earned: this.earned(identifier, job) }))
    const share = (jobs: typeof all): number => jobs.reduce((sum, { earned }) => sum + earned, 0) / Math.max(1e-9, jobs.reduce((sum, { worth }) => sum + worth, 0))
    const byKind = Object.fromEntries(Object.keys(this.load.kinds).map((name) => [name, share(all.filter((job) => job.name === name))]))
    const sorted = [...all].sort((one, other) => other.size - one.size)
    const windows = Array.from({ length: Math.ceil(ARRIVAL_SECONDS / WINDOW_SECONDS) }, (_, window) => all.filter(({ at }) => Math.floor((at - start) / 1_000 / WINDOW_SECONDS) === window)).filter((jobs) => jobs.length > 0).map(share).sort((one, other) => one - other)
    return { earned: share(all), byKind, largest: share(sorted.slice(0, Math.ceil(all.length / 10))), worstWindow: ((windows[0] ?? 1) + (windows[1] ?? 1)) / 2, lost: this.lost, starts: this.starts, lateReclaims: this.lateReclaims }
  }

  private earned (identifier: string, { kind, at, objective, worth }: Submitted): number {
    const ended = this.ends.get(identifier)
    if (ended === undefined || this.state.steps.jobs.get(identifier)?.state !== 'completed') return 0
    const took = ended - at
    return took <= objective ? worth : took <= 3 * objective ? worth * kind.lateWorth / kind.worth : 0
  }
}

function weightOf ({ processors, accelerators }: Pick<StepSpecification, 'processors' | 'accelerators'>): number {
  return (processors + PROCESSORS_PER_ACCELERATOR * accelerators) / 1_000
}

const huge = [1, 2, 4, 8, 8]
const portrait: Kind = { priority: 1, jobsPerSecond: 0.285, tasks: 2, taskMilliseconds: 12_143, spread: 0.3, processors: 26_000, memoryMegabytes: 68_000, accelerators: huge, gangShare: 0.5, checkpointShare: 0.45, secondStepShare: 0, slackFactor: 3, targetMilliseconds: 1_000, worth: 3, lateWorth: 0.9, estimateSpread: 0.5 }
const proof: Kind = { priority: 0, jobsPerSecond: 0.209, tasks: 3, taskMilliseconds: 3_571, spread: 0.5, processors: 7_500, memoryMegabytes: 15_000, accelerators: huge, gangShare: 0.6, checkpointShare: 0, secondStepShare: 0, slackFactor: 1.5, targetMilliseconds: 250, worth: 4, lateWorth: 0.8, estimateSpread: 0.5 }
const script: Kind = { priority: 2, jobsPerSecond: 0.137, tasks: 9, taskMilliseconds: 10_857, spread: 0.3, processors: 5_600, memoryMegabytes: 8_200, accelerators: [1], gangShare: 0, checkpointShare: 0.45, secondStepShare: 0.3, slackFactor: 3, targetMilliseconds: 3_000, worth: 1, lateWorth: 0.3, estimateSpread: 0.9 }
const photo: Kind = { ...portrait, jobsPerSecond: 0.319, processors: 13_000, memoryMegabytes: 38_000, estimateSpread: 0.9 }
const stock: Kind = { ...proof, jobsPerSecond: 0.417, processors: 3_700, memoryMegabytes: 11_000, estimateSpread: 0.2 }
const pack: Kind = { ...script, jobsPerSecond: 0.193, taskMilliseconds: 8_714, processors: 2_800, memoryMegabytes: 11_000 }
const small = { checkpointMilliseconds: 500, workersPerRack: 3, workerMegabytes: 131_072, accounts: 4, guaranteedShare: 0.64 }
const songHuong = { ...small, workers: 11, workerProcessors: 64_000, stopMilliseconds: 400, reclaimMilliseconds: 2_900, kinds: { portrait, proof, script } }
const nackros = { ...small, workers: 11, workerProcessors: 32_000, stopMilliseconds: 200, reclaimMilliseconds: 2_700, kinds: { photo, stock, pack } }

const pattern: Kind = { ...portrait, jobsPerSecond: 0.92, tasks: 6.9, taskMilliseconds: 9_714, processors: 13_000, memoryMegabytes: 26_000, gangShare: 1, checkpointShare: 0.5, estimateSpread: 0.2 }
const scan: Kind = { ...proof, jobsPerSecond: 1.6, tasks: 5.4, processors: 3_700, memoryMegabytes: 5_500, gangShare: 1, targetMilliseconds: 300 }
const stitch: Kind = { ...script, jobsPerSecond: 0.3, tasks: 39, taskMilliseconds: 13_571, processors: 2_800, memoryMegabytes: 7_400, estimateSpread: 0.2 }
const valkenhand = { checkpointMilliseconds: 2_000, workers: 67, workerProcessors: 32_000, workerMegabytes: 65_536, workersPerRack: 11, accounts: 10, guaranteedShare: 0.62, stopMilliseconds: 900, reclaimMilliseconds: 3_400, kinds: { pattern, scan, stitch } }
const largePortrait: Kind = { ...portrait, jobsPerSecond: 1.16, tasks: 13, taskMilliseconds: 9_714, memoryMegabytes: 53_000, gangShare: 1, checkpointShare: 0.5, estimateSpread: 0.2 }
const largeProof: Kind = { ...proof, jobsPerSecond: 2.97, tasks: 5.3, memoryMegabytes: 20_000, gangShare: 1, targetMilliseconds: 300 }
const largeScript: Kind = { ...script, jobsPerSecond: 0.91, tasks: 38 }
const large = { checkpointMilliseconds: 500, workers: 160, workerProcessors: 64_000, workerMegabytes: 131_072, workersPerRack: 12, accounts: 24, guaranteedShare: 0.62, stopMilliseconds: 400, reclaimMilliseconds: 2_900, kinds: { portrait: largePortrait, proof: largeProof, script: largeScript } }

/** The mixes of the deployments: usual, with bursts of each kind, and with a fifth of the workers slow. */
export const loads: Readonly<Record<string, Load>> = {
  'song huong': { ...songHuong, bursts: [] },
  'song huong, bursts': { ...songHuong, bursts: [{ kind: 'proof', from: 5, to: 11, factor: 2.3 }, { kind: 'portrait', from: 8, to: 12, factor: 2.6 }, { kind: 'proof', from: 30, to: 36, factor: 2.3 }] },
  'song huong, slow': { ...songHuong, bursts: [{ kind: 'proof', from: 5, to: 11, factor: 2 }], slow: { share: 0.2, from: 5, to: 12, factor: 6.5 } },
  nackros: { ...nackros, bursts: [] },
  'nackros, bursts': { ...nackros, bursts: [{ kind: 'stock', from: 5, to: 11, factor: 2.3 }, { kind: 'photo', from: 8, to: 12, factor: 2.6 }, { kind: 'stock', from: 30, to: 36, factor: 2.3 }] },
  'nackros, slow': { ...nackros, bursts: [{ kind: 'stock', from: 5, to: 11, factor: 2 }], slow: { share: 0.2, from: 5, to: 12, factor: 6.5 } },
  'valkenhand grown, bursts': { ...valkenhand, bursts: [{ kind: 'scan', from: 5, to: 11, factor: 2.2 }, { kind: 'pattern', from: 13, to: 17, factor: 2.3 }] },
  'valkenhand grown, power lost': { ...valkenhand, bursts: [{ kind: 'scan', from: 5, to: 11, factor: 2.2 }], powerLossAt: 20 },
  'song huong large, bursts': { ...large, bursts: [{ kind: 'proof', from: 5, to: 11, factor: 2.1 }, { kind: 'portrait', from: 8, to: 12, factor: 2.8 }] }
}
