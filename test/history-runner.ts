import { decide, guaranteeStatus, packAllHomes, JobState, Level, TransactionKind, Urgency, type Guarantee, type JobSpecification, type Shape, type Worker, WorkerHealth } from '../src/core/index'
import { Random } from '../measurements/random'
import { Replay, DEFAULT_TIMES, workersOf, type Policy } from '../measurements/replay'
import { requestsGuarantee, brokenReservation, brokenInvariants, brokenTransition, packable } from './invariants'

/** Result of a history. */
export interface Outcome {
  readonly violations: readonly string[]
  readonly ended: number
  readonly submitted: number
}

/** Faults occur and jobs are submitted in this phase; in the recovery phase after it every job must end. */
const FAULT_PHASE_MILLISECONDS = 60_000
const RECOVERY_PHASE_MILLISECONDS = 1_200_000
/** A gang may run partially until the lease of a lost member expires and the other members have stopped. */
const MAX_PARTIAL_GANG_MILLISECONDS = DEFAULT_TIMES.leaseMilliseconds + 2 * DEFAULT_TIMES.checkpointMilliseconds + 500
/** Allowance for decisions and messages on top of the grace. */
const GRACE_SLACK_MILLISECONDS = 1_500
const accounts = ['song-huong', 'nackros', 'third']

interface HistoryOptions {
  readonly withoutFaults: boolean
}

/** Runs one generated history and checks the state after every step. */
export function runHistory (seed: number, policy: Policy = decide): Outcome {
  const random = Random.create(seed)
  const violations: string[] = []
  const add = (found: string): void => { if (violations.length < 5) violations.push(`seed ${seed}, ${found}`) }
  const replay: Replay = Replay.create(policy, { ...DEFAULT_TIMES, tickMilliseconds: 1_000 }, (transaction, state, before, accepted) => {
    if (!accepted) return
    for (const rule of brokenInvariants(state)) add(`${replay.now} after ${transaction.kind}: ${rule}`)
    if (transaction.kind === TransactionKind.ReserveJob) for (const rule of brokenReservation(before, state)) add(`${replay.now} ${transaction.job}: ${rule}`)
    if (!('job' in transaction)) return
    const job = state.jobs.get(transaction.job)
    if (job !== undefined) for (const rule of brokenTransition(before.jobs.get(transaction.job), job, state)) add(`${replay.now} ${transaction.kind}: ${rule}`)
  })
  const options = { withoutFaults: random.chance(0.3) }
  const fleet = makeFleet(random)
  for (const worker of fleet) replay.addWorker(worker)
  const guarantees = makeGuarantees(random, fleet)
  replay.configure({ clientAccounts: accounts.map((name) => account(random, name)), guarantees, placement: { completionTimeWeight: random.fraction(), fragmentationWeight: random.fraction() } })
  const submitted = scheduleJobs(random, replay, guarantees)
  scheduleFaults(random, replay, fleet, options)
  checkEverySecond(replay, options, guarantees, add)
  replay.runUntil(replay.now + FAULT_PHASE_MILLISECONDS)
  replay.configure({ maintenance: { dataCentres: [], racks: [], workers: [] } })
  replay.runUntil(replay.now + RECOVERY_PHASE_MILLISECONDS)
  const guaranteed = guarantees.flatMap(({ shape, count }) => Array.from({ length: count }, () => shape))
  const open = [...replay.state.jobs.values()].filter((job) => job.end === undefined)
    .filter((job) => job.specification.idempotent || packable(replay.state, [...guaranteed, job.specification.shape]) === 'yes')
  if (open.length > 0) add(`jobs did not end: ${open.slice(0, 3).map((job) => `${job.identifier} ${job.state} ${JSON.stringify(job.specification.shape)}`).join(' ')}`)
  if (replay.rejectedDecisions > 0) add(`${replay.rejectedDecisions} decisions were refused when applied`)
  for (const violation of replay.violations) add(violation)
  return { violations, ended: replay.state.jobs.size - open.length, submitted }
}

function makeFleet (random: Random): Array<Parameters<Replay['addWorker']>[0]> {
  const racks = random.integer(1, 3)
  const perRack = random.integer(1, 3)
  return Array.from({ length: racks * perRack }, (_, position) => ({
    name: `w${position}`,
    region: 'hue',
    dataCentre: position % racks === 2 ? 'two' : 'one',
    rack: `r${position % racks}`,
    accelerators: 8,
    slots: 8,
    processors: 32,
    memoryMegabytes: 32_768
  }))
}

function account (random: Random, name: string): object {
  return { name, share: random.integer(1, 3), queuedJobs: 100, runningAccelerators: random.chance(0.2) ? 16 : 1_000, tokens: [], whenRemoved: 'finish' }
}

function makeShape (random: Random): Shape {
  const accelerators = random.pick([0, 1, 1, 2, 2, 3, 4, 8])
  const workers = accelerators === 0 ? 1 : random.pick([1, 1, 1, 2, 3])
  return {
    workers, accelerators, slots: 1, processors: random.pick([1, 1, 4]), memoryMegabytes: random.pick([256, 1_024, 4_096]), within: random.pick([Level.Rack, Level.DataCentre])
  }
}

function makeGuarantees (random: Random, fleet: ReturnType<typeof makeFleet>): Guarantee[] {
  const workers: Worker[] = fleet.map((worker) => ({ ...worker, incarnation: '', present: true, leaving: false, health: WorkerHealth.Healthy, recentFailures: [], probeAt: 0 }))
  const guarantees: Guarantee[] = []
  for (let wanted = random.integer(0, 4); wanted > 0; wanted--) {
    const shape = { ...makeShape(random), memoryMegabytes: 1_024, processors: 4 }
    const next = { account: random.pick(accounts), shape, count: random.integer(1, 2), graceSeconds: 3 }
    if (packAllHomes([...guarantees, next], workers).isOk()) guarantees.push(next)
  }
  return guarantees
}

function scheduleJobs (random: Random, replay: Replay, guarantees: readonly Guarantee[]): number {
  const count = random.integer(5, 30)
  const burst = random.chance(0.3)
  const submitted: string[] = []
  for (let number = 0; number < count; number++) {
    const at = burst ? 1_000 : random.integer(0, FAULT_PHASE_MILLISECONDS)
    const specification = makeJob(random, guarantees, replay.now + at)
    const seconds = random.pick([0.5, 3, 10, 40])
    const truth = {
      seconds, memoryMegabytes: random.chance(0.1) ? specification.shape.memoryMegabytes * 2 : 1, failsAlways: random.chance(0.08)
    }
    replay.schedule(at, () => { replay.submit(`j${number}`, specification, truth); submitted.push(`j${number}`) })
  }
  if (random.chance(0.3)) replay.schedule(random.integer(1_000, FAULT_PHASE_MILLISECONDS), () => replay.cancel(submitted.filter((_, position) => position % 2 === 0)))
  return count
}

function makeJob (random: Random, guarantees: readonly Guarantee[], now: number): JobSpecification {
  const guarantee = guarantees.length > 0 && random.chance(0.4) ? random.pick(guarantees) : undefined
  const idempotent = random.chance(0.6)
  return {
    account: guarantee?.account ?? random.pick(accounts),
    kind: random.pick(['proof', 'plan', 'render']),
    shape: guarantee?.shape ?? makeShape(random),
    idempotent,
    checkpointable: idempotent && random.chance(0.5),
    urgency: random.pick([Urgency.Urgent, Urgency.Normal, Urgency.Normal, Urgency.Background]),
    deadline: random.chance(0.1) ? now + random.integer(1_000, 30_000) : 0,
    declaredSeconds: random.pick([1, 10, 100]),
    payload: { contentType: 'text/plain', base64: '' }
  }
}

function scheduleFaults (random: Random, replay: Replay, fleet: ReturnType<typeof makeFleet>, { withoutFaults }: HistoryOptions): void {
  if (withoutFaults) return
  const faults: ReadonlyArray<(worker: string) => void> = [
    (worker) => replay.failHost(worker, random.integer(500, 30_000)),
    (worker) => replay.restartAgent(worker),
    (worker) => replay.partitionAgent(worker, random.integer(200, 20_000)),
    (worker) => replay.announceLeaving(worker, random.integer(1_000, 10_000), random.integer(1_000, 20_000)),
    (worker) => { replay.setFailing(worker, true); replay.schedule(20_000, () => replay.setFailing(worker, false)) },
    (worker) => {
      const { rack, dataCentre } = fleet.find((candidate) => candidate.name === worker)!
      for (const other of fleet) if (other.rack === rack) replay.failHost(other.name, random.integer(500, 20_000))
      replay.configure({ maintenance: { dataCentres: [], racks: [`${dataCentre}/${rack}`], workers: [] } })
    }
  ]
  for (let number = random.integer(1, 6); number > 0; number--) {
    const fault = random.pick(faults)
    const worker = random.pick(fleet).name
    replay.schedule(random.integer(500, FAULT_PHASE_MILLISECONDS), () => fault(worker))
  }
}

/** Checks every second that no gang runs partially for too long, that homes are given back within the grace, and that no guarantee is wrongly reported as missing. */
function checkEverySecond (replay: Replay, { withoutFaults }: HistoryOptions, guarantees: readonly Guarantee[], add: (found: string) => void): void {
  const partSince = new Map<string, number>()
  const waitingSince = new Map<string, number>()
  let consecutive = 0
  const check = (): void => {
    checkPartialGangs(replay, partSince, add)
    if (withoutFaults) checkHomeGrace(replay, guarantees, waitingSince, add)
    consecutive = checkMissingGuarantees(replay, guarantees, consecutive, add)
    if (replay.now < 1_000_000 + FAULT_PHASE_MILLISECONDS + 60_000) replay.schedule(1_000, check)
  }
  replay.schedule(1_000, check)
}

function checkPartialGangs (replay: Replay, partSince: Map<string, number>, add: (found: string) => void): void {
  const running = replay.runningTasks()
  for (const [name, tasks] of running) {
    const job = replay.state.jobs.get(name)!
    const whole = tasks.length === job.specification.shape.workers || (job.attempt !== undefined && tasks.length === workersOf(job).length && job.state === JobState.Running)
    if (whole) { partSince.delete(name); continue }
    const since = partSince.get(name) ?? replay.now
    partSince.set(name, since)
    if (replay.now - since > MAX_PARTIAL_GANG_MILLISECONDS) add(`${replay.now}: gang ${name} has run on only ${tasks.length} of ${job.specification.shape.workers} workers for ${replay.now - since} ms`)
  }
  for (const name of [...partSince.keys()]) if (!running.has(name)) partSince.delete(name)
}

/** Without faults, a job that requests exactly a guaranteed shape starts within the grace if a home of that shape is not in use. */
function checkHomeGrace (replay: Replay, guarantees: readonly Guarantee[], waitingSince: Map<string, number>, add: (found: string) => void): void {
  const { state } = replay
  for (const job of state.jobs.values()) {
    const guarantee = guarantees.find((candidate) => requestsGuarantee(job, candidate))
    const free = [...state.homes.values()].some((home) => home.account === job.specification.account && !state.homeHolders.has(home.identifier) &&
      guarantee !== undefined && JSON.stringify(home.shape) === JSON.stringify(guarantee.shape))
    const account = state.configuration.document.clientAccounts.find(({ name }) => name === job.specification.account)!
    const limited = (state.accounts.get(account.name)?.accelerators ?? 0) + job.specification.shape.workers * job.specification.shape.accelerators > account.runningAccelerators
    const healthy = [...state.workers.values()].every((worker) => worker.health === WorkerHealth.Healthy)
    if (job.state !== JobState.Queued || guarantee === undefined || !free || limited || !healthy || job.notBefore > replay.now || job.failedOn.length > 0) {
      waitingSince.delete(job.identifier)
      continue
    }
    const since = waitingSince.get(job.identifier) ?? replay.now
    waitingSince.set(job.identifier, since)
    if (replay.now - since > guarantee.graceSeconds * 1_000 + GRACE_SLACK_MILLISECONDS) add(`${replay.now}: ${job.identifier} has waited ${replay.now - since} ms although a home is not in use`)
  }
}

/** It is an error if a guarantee is reported as missing for more than three checks in a row although all can be packed. */
function checkMissingGuarantees (replay: Replay, guarantees: readonly Guarantee[], consecutive: number, add: (found: string) => void): number {
  const missing = guaranteeStatus(replay.state).some((status) => status.missing > 0)
  if (!missing) return 0
  const held = new Map([...replay.state.homeHolders])
  const guaranteed = guarantees.flatMap(({ shape, count }) => Array.from({ length: count }, () => shape))
  if (held.size > 0 || packable(replay.state, guaranteed) !== 'yes') return 0
  if (consecutive === 3) add(`${replay.now}: a guarantee is reported as missing, but all guarantees can be packed`)
  return consecutive + 1
}
