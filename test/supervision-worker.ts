/**
 * In-memory workers of the platform for simulations. They follow the platform's pages and check each start: the capacity
 * of the worker, and that no task runs twice or after its recorded end.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { ListedEnd, ListedRun, WorkerHeartbeat } from '../src/agent'
import { RunOutcome, runName, type RunKey } from '../src/core/index'

/** Seeded random choices. */
export class Dice {
  private readonly generator: ReturnType<typeof xoroshiro128plus>
  constructor (seed: number) { this.generator = xoroshiro128plus(seed) }
  /** An integer between both limits, inclusive. */
  number (from: number, to: number): number { return uniformInt(this.generator, from, to) }
  chance (percent: number): boolean { return this.number(1, 1_000) <= percent * 10 }
  pick<Item> (items: readonly Item[]): Item { return items[this.number(0, items.length - 1)]! }
}

/** What the platform knows of a job, which has one step. */
export interface JobPlan {
  readonly tasks: number
  readonly gang: boolean
  readonly accelerators: number
  readonly milliseconds: number
  /** Thousandths of a processor, and megabytes, of each task; 1,000 of each where not given. */
  readonly processors?: number
  readonly memoryMegabytes?: number
  /** The first attempt fails halfway. */
  readonly fails?: boolean
}

/** Times of the platform, in milliseconds. */
export interface PlatformTimes {
  readonly holdMax: number
  readonly stop: number
  /** Upper limit of the time that a run takes to end when its lease expires. */
  readonly lapse: number
  readonly gangWait: number
  readonly heartbeat: number
  readonly drain: number
}

/** The times that the platform's pages state, and runs that end at once when their lease expires. */
export const statedTimes: PlatformTimes = { holdMax: 6_000, stop: 400, lapse: 0, gangWait: 3_000, heartbeat: 700, drain: 2_000 }

/** Limit of ends in one list; the others follow once these are acknowledged. */
const LISTED_ENDS = 500

interface TraceEntry { readonly at: number, readonly subjects: readonly string[], readonly text: string }

/** Upper limits of a printed trace. */
const TRACE_MILLISECONDS = 20_000
const TRACE_LINES = 90

/** The events of one simulation. */
export class Trace {
  readonly entries: TraceEntry[] = []
  private readonly startedAt = performance.now()

  /** Adds an event. The subjects are workers' hosts and jobs; without any, it concerns everything. */
  add (text: string, subjects: readonly string[] = []): void {
    this.entries.push({ at: Math.round(performance.now() - this.startedAt), subjects, text })
  }

  /** The last events that concern one of the subjects. */
  around (subjects: readonly string[]): string {
    const last = this.entries.at(-1)?.at ?? 0
    const lines = this.entries.filter((entry) => last - entry.at <= TRACE_MILLISECONDS && (entry.subjects.length === 0 || entry.subjects.some((subject) => subjects.includes(subject))))
    return lines.slice(-TRACE_LINES).map(({ at, text }) => `${String(at).padStart(6)} ${text}`).join('\n')
  }
}

/** A broken rule. */
export interface Violation { readonly rule: 'LIMIT' | 'TWICE', readonly text: string, readonly trace: string }

interface ActiveRun {
  readonly key: RunKey
  readonly plan: JobPlan
  readonly startedAt: number
  /** When the work of the run began, undefined while its gang waits. */
  workingSince?: number
  ending: boolean
  timer?: NodeJS.Timeout
}

interface DoneEnd { readonly at: number, readonly worker: string, lapsed: boolean, noted: boolean }

/** One life of a worker. */
interface Life {
  readonly id: string
  readonly born: number
  readonly startedAt: number
  /** Rate of its clock. */
  readonly rate: number
  readonly runs: Map<string, ActiveRun>
  /** Highest attempt that was stopped or has ended, by task. */
  readonly refused: Map<string, number>
  ends: Array<ListedEnd & { readonly done?: DoneEnd }>
  lastEnd: number
  fence: number
  leaseUntil: number
  leaseTimer?: NodeJS.Timeout
  leaving: boolean
  sequence: number
  pollWaiters: Array<() => void>
}

/** How a worker answers. */
export interface Answer { readonly status: number, readonly clock: number, readonly born: number, readonly reason?: string }

export interface Lists extends Answer { readonly running: readonly ListedRun[], readonly ends: readonly ListedEnd[], readonly endsComplete: boolean }

const taskName = ({ job, step, task }: RunKey): string => `${job}.${step}.${task}`

/** All workers, with what is checked across them. */
export class SimulatedPlatform {
  readonly jobs = new Map<string, JobPlan>()
  readonly machines: WorkerMachine[] = []
  readonly violations: Violation[] = []
  readonly trace = new Trace()
  starts = 0
  /** Ends as done, by gang. */
  private readonly doneEnds = new Map<string, DoneEnd[]>()
  private readonly startsByGang = new Map<string, Array<{ readonly at: number, readonly text: string }>>()

  constructor (readonly dice: Dice, readonly times: PlatformTimes) {}

  violate (rule: Violation['rule'], text: string, subjects: readonly string[]): void {
    this.trace.add(`${rule} ${text}`, subjects)
    this.violations.push({ rule, text, trace: this.trace.around(subjects) })
  }

  gangName (key: RunKey): string {
    return this.jobs.get(key.job)?.gang === true ? `${key.job}.${key.step}` : taskName(key)
  }

  checkStart (machine: WorkerMachine, key: RunKey, accelerators: number): void {
    this.starts += 1
    const at = performance.now()
    const text = `${runName(key)} starts on ${machine.incarnation}`
    const subjects = [machine.host, key.job]
    const used = [...machine.runs.values()].reduce((sum, { plan }) => sum + plan.accelerators, 0)
    if (used + accelerators > machine.accelerators) {
      this.violate('LIMIT', `${text}, which holds ${[...machine.runs.values()].map((run) => `${runName(run.key)}${run.ending ? ' (ending)' : ''}`).join(' ')}`, subjects)
    }
    for (const other of this.machines) {
      for (const run of other.runs.values()) {
        if (taskName(run.key) === taskName(key)) this.violate('TWICE', `${text} while ${runName(run.key)} runs on ${other.incarnation}${run.ending ? ' (ending)' : ''}`, [...subjects, other.host])
      }
    }
    const gang = this.gangName(key)
    if (this.doneEnds.get(gang)?.some(({ noted }) => noted) === true) this.violate('TWICE', `${text} after it was done`, subjects)
    this.startsByGang.set(gang, [...this.startsByGang.get(gang) ?? [], { at, text }])
  }

  recordDone (machine: WorkerMachine, key: RunKey): DoneEnd {
    const end: DoneEnd = { at: performance.now(), worker: machine.incarnation, lapsed: false, noted: false }
    const gang = this.gangName(key)
    this.doneEnds.set(gang, [...this.doneEnds.get(gang) ?? [], end])
    return end
  }

  /** An end counts once it is acknowledged, unless the lease expired before that. */
  recordNoted (machine: WorkerMachine, key: RunKey, end: DoneEnd): void {
    if (end.lapsed || end.noted) return
    end.noted = true
    const later = (this.startsByGang.get(this.gangName(key)) ?? []).find(({ at }) => at > end.at)
    if (later !== undefined) this.violate('TWICE', `${later.text} after it was done on ${end.worker}, acknowledged later`, [machine.host, key.job])
  }

  /** The runs of one attempt of a gang on workers that are up. */
  members (key: RunKey): Array<{ readonly machine: WorkerMachine, readonly run: ActiveRun }> {
    return this.machines.flatMap((machine) => [...machine.runs.values()].filter((run) => !run.ending && run.key.job === key.job && run.key.step === key.step && run.key.attempt === key.attempt).map((run) => ({ machine, run })))
  }
}

const noRuns: ReadonlyMap<string, ActiveRun> = new Map()

/** A machine on which one worker runs at a time. */
export class WorkerMachine {
  readonly accelerators = 8
  unhealthy = false
  private life?: Life
  private lives = 0

  constructor (private readonly platform: SimulatedPlatform, readonly host: string, private readonly sendHeartbeat: (heartbeat: WorkerHeartbeat) => void, private readonly sendDeregistration: (worker: string) => void) {
    platform.machines.push(this)
  }

  get up (): boolean { return this.life !== undefined }
  get id (): string { return this.life?.id ?? '' }
  get leaving (): boolean { return this.life?.leaving === true }
  get incarnation (): string { return this.life === undefined ? `${this.host}, which is down` : `${this.life.id}@${this.life.born}` }
  get runs (): ReadonlyMap<string, ActiveRun> { return this.life?.runs ?? noRuns }

  /** Starts a worker, under the name of the last one if that is wanted, with its time of day ahead by an offset in milliseconds. */
  boot (sameName = false, clockOffset = 0): void {
    const { dice } = this.platform
    if (this.life !== undefined) return
    if (!sameName || this.lives === 0) this.lives += 1
    const life: Life = {
      id: `${this.host}${this.lives}`, born: Date.now() + clockOffset, startedAt: performance.now(), rate: dice.pick([1, 0.99, 0.98]), runs: new Map(), refused: new Map(), ends: [], lastEnd: 0, fence: 0, leaseUntil: 0, leaving: false, sequence: 0, pollWaiters: []
    }
    this.life = life
    this.unhealthy = false
    this.platform.trace.add(`worker ${this.incarnation} starts`, [this.host])
    const beat = (): void => {
      if (this.life !== life) return
      this.beat()
      setTimeout(beat, this.platform.times.heartbeat)
    }
    beat()
  }

  /** Sends a heartbeat now. */
  beat (): void {
    const { life } = this
    if (life !== undefined) this.sendHeartbeat(this.heartbeat(life))
  }

  /** Ends the worker at once. */
  crash (reason = 'crashes'): void {
    const { life } = this
    if (life === undefined) return
    this.platform.trace.add(`worker ${this.incarnation} ${reason}`, [this.host])
    clearTimeout(life.leaseTimer)
    for (const run of life.runs.values()) clearTimeout(run.timer)
    const keys = [...life.runs.values()].map(({ key }) => key)
    this.life = undefined
    for (const key of keys) this.breakGang(key)
  }

  /** Announces the end of the worker, which follows after the drain time. */
  leave (extraMilliseconds: number): void {
    const { life } = this
    if (life === undefined || life.leaving) return
    life.leaving = true
    this.platform.trace.add(`worker ${this.incarnation} is leaving`, [this.host])
    this.beat()
    setTimeout(() => {
      if (this.life !== life) return
      this.sendDeregistration(life.id)
      this.crash('leaves')
    }, this.platform.times.drain + extraMilliseconds)
  }

  /** Returns undefined where nothing listens. */
  start (worker: string, key: RunKey, leaseUntil: number, token: number): Answer | undefined {
    return this.handle(worker, `start ${runName(key)}`, [key.job], (life) => {
      if (this.unhealthy) return { status: 503 }
      if (!this.passesFence(life, token)) return { status: 409, reason: 'fence' }
      const name = runName(key)
      const present = life.runs.get(name)
      if (present !== undefined && !present.ending) { this.extendLease(life, leaseUntil); return { status: 200 } }
      if (key.attempt <= (life.refused.get(taskName(key)) ?? 0)) { this.extendLease(life, leaseUntil); return { status: 409, reason: 'old' } }
      if (leaseUntil <= this.clock(life)) return { status: 409, reason: 'late' }
      const plan = this.platform.jobs.get(key.job)
      if (plan === undefined) return { status: 400 }
      this.extendLease(life, leaseUntil)
      this.platform.checkStart(this, key, plan.accelerators)
      life.runs.set(name, { key, plan, startedAt: performance.now(), ending: false })
      this.beginWork(key)
      return { status: 200 }
    })
  }

  stop (worker: string, key: RunKey, token: number): Answer | undefined {
    return this.handle(worker, `stop ${runName(key)}`, [key.job], (life) => {
      if (!this.passesFence(life, token)) return { status: 409, reason: 'fence' }
      life.refused.set(taskName(key), Math.max(key.attempt, life.refused.get(taskName(key)) ?? 0))
      const run = life.runs.get(runName(key))
      if (run !== undefined) this.endSoon(life, run, RunOutcome.Stopped, this.platform.dice.number(Math.ceil(this.platform.times.stop / 4), this.platform.times.stop))
      return { status: 200 }
    })
  }

  /** The answer is delayed until a run ends, for at most the wait. */
  async poll (worker: string, acknowledged: number, leaseUntil: number, token: number, wait: number): Promise<Lists | Answer | undefined> {
    const answer = this.handle(worker, `poll ${acknowledged}`, [], (life) => {
      if (!this.passesFence(life, token)) return { status: 409, reason: 'fence' }
      if (leaseUntil > 0) this.extendLease(life, leaseUntil)
      for (const end of life.ends) if (end.number <= acknowledged && end.done !== undefined) this.platform.recordNoted(this, end.key, end.done)
      const forgotten = life.ends.filter(({ number }) => number <= acknowledged)
      if (forgotten.length > 0) this.platform.trace.add(`worker ${this.incarnation} forgets ${forgotten.map(({ number, key, outcome }) => `${number} ${runName(key)} ${outcome}`).join(', ')}`, [this.host, ...forgotten.map(({ key }) => key.job)])
      life.ends = life.ends.filter(({ number }) => number > acknowledged)
      return { status: 200 }
    }, false)
    const { life } = this
    if (answer?.status !== 200 || life === undefined) return answer
    if (wait > 0 && life.ends.length === 0) {
      await new Promise<void>((resolve) => {
        setTimeout(resolve, wait)
        life.pollWaiters.push(resolve)
      })
    }
    return this.life === life ? { ...this.answer(life, { status: 200 }), running: this.listRuns(life), ends: life.ends.slice(0, LISTED_ENDS), endsComplete: life.ends.length < LISTED_ENDS } : undefined
  }

  private handle (worker: string, text: string, subjects: readonly string[], handler: (life: Life) => Pick<Answer, 'status' | 'reason'>, traced = true): Answer | undefined {
    const { life } = this
    if (life === undefined) return undefined
    if (life.id !== worker) return this.answer(life, { status: 421 })
    if (!traced) return this.answer(life, handler(life))
    const before = this.incarnation
    const outcome = handler(life)
    this.platform.trace.add(`worker ${before}: ${text} -> ${outcome.status}${outcome.reason === undefined ? '' : ` ${outcome.reason}`}`, [this.host, ...subjects])
    return this.answer(life, outcome)
  }

  private answer (life: Life, outcome: Pick<Answer, 'status' | 'reason'>): Answer {
    return { ...outcome, clock: outcome.status === 421 || outcome.status === 503 ? 0 : this.clock(life), born: life.born }
  }

  private clock (life: Life): number { return Math.floor((performance.now() - life.startedAt) * life.rate) + 1 }

  private heartbeat (life: Life): WorkerHeartbeat {
    life.sequence += 1
    const { id, born, leaving, sequence } = life
    return {
      incarnation: `${id}@${born}`, worker: id, startedAt: born, address: `${this.host}:1`, service: 'proofs', dataCentre: 'd', rack: 'r1', labels: ['a', 'r1'], processors: 64_000, memoryMegabytes: 131_072, accelerators: this.accelerators, leaving, clock: this.clock(life), sequence
    }
  }

  private passesFence (life: Life, token: number): boolean {
    if (token < life.fence) return false
    life.fence = token
    return true
  }

  private extendLease (life: Life, until: number): void {
    const { holdMax } = this.platform.times
    const capped = Math.min(until, this.clock(life) + holdMax)
    if (capped <= life.leaseUntil) return
    life.leaseUntil = capped
    clearTimeout(life.leaseTimer)
    life.leaseTimer = setTimeout(() => { if (this.life === life) this.expireLease(life) }, Math.max(0, capped - this.clock(life)) / life.rate)
  }

  private expireLease (life: Life): void {
    const { dice, times } = this.platform
    if (life.runs.size > 0) this.platform.trace.add(`worker ${this.incarnation}: the lease expires`, [this.host])
    for (const { done } of life.ends) if (done !== undefined) done.lapsed = true
    for (const run of [...life.runs.values()]) this.endSoon(life, run, RunOutcome.LeaseExpired, dice.number(Math.ceil(times.lapse * 3 / 4), times.lapse))
  }

  private listRuns (life: Life): ListedRun[] {
    return [...life.runs.values()].map(({ key, plan, workingSince }) => ({
      key, checkpoint: '', percent: workingSince === undefined ? 0 : Math.min(99, Math.floor(100 * (performance.now() - workingSince) / plan.milliseconds))
    }))
  }

  /** Starts the work of a run, or of its gang once all members are present. */
  private beginWork (key: RunKey): void {
    const { plan } = this.runs.get(runName(key))!
    const members = plan.gang ? this.platform.members(key) : [{ machine: this as WorkerMachine, run: this.runs.get(runName(key))! }]
    if (plan.gang && members.length < plan.tasks) {
      const run = this.runs.get(runName(key))!
      run.timer = setTimeout(() => { this.finish(key, RunOutcome.MembersMissing) }, this.platform.times.gangWait)
      return
    }
    for (const { machine, run } of members) {
      clearTimeout(run.timer)
      run.workingSince = performance.now()
      const fails = plan.fails === true && key.attempt === 1 && run.key.task === 0
      if (fails) run.timer = setTimeout(() => { machine.finish(run.key, RunOutcome.Failed) }, plan.milliseconds / 2)
      else run.timer = setTimeout(() => { machine.finish(run.key, RunOutcome.Done) }, plan.milliseconds)
    }
  }

  private endSoon (life: Life, run: ActiveRun, outcome: RunOutcome, milliseconds: number): void {
    if (run.ending) return
    run.ending = true
    clearTimeout(run.timer)
    const { key } = run
    life.refused.set(taskName(key), Math.max(key.attempt, life.refused.get(taskName(key)) ?? 0))
    // Members work only together, so the others do not complete while this one ends.
    if (run.plan.gang) for (const member of this.platform.members(key)) clearTimeout(member.run.timer)
    const end = (): void => { if (this.life === life) this.finish(run.key, outcome) }
    if (milliseconds === 0) end()
    else run.timer = setTimeout(end, milliseconds)
  }

  private finish (key: RunKey, outcome: RunOutcome): void {
    const { life } = this
    const run = life?.runs.get(runName(key))
    if (life === undefined || run === undefined) return
    clearTimeout(run.timer)
    life.runs.delete(runName(key))
    life.refused.set(taskName(key), Math.max(key.attempt, life.refused.get(taskName(key)) ?? 0))
    life.lastEnd += 1
    const done = outcome === RunOutcome.Done ? this.platform.recordDone(this, key) : undefined
    life.ends.push({ number: life.lastEnd, key, outcome, checkpoint: '', done })
    this.platform.trace.add(`worker ${this.incarnation}: end ${life.lastEnd} ${runName(key)} ${outcome}`, [this.host, key.job])
    if (outcome !== RunOutcome.Done) this.breakGang(key)
    for (const wake of life.pollWaiters.splice(0)) wake()
  }

  private breakGang (key: RunKey): void {
    if (this.platform.jobs.get(key.job)?.gang !== true) return
    for (const { machine, run } of this.platform.members(key)) machine.endAsBroken(run)
  }

  private endAsBroken (run: ActiveRun): void {
    if (this.life !== undefined) this.endSoon(this.life, run, RunOutcome.MemberEnded, 20)
  }
}
