import { Level, Urgency, type Guarantee, type JobSpecification, type Placement, type Shape, type WorkerDescription } from '../src/core/index'
import { Random } from './random'
import type { ActualDemand, Replay } from './replay'

/** A job of a list with the time and memory that it actually takes. */
export interface ListedJob {
  readonly submittedAt: number
  readonly identifier: string
  readonly specification: JobSpecification
  readonly actual: ActualDemand
  /** A proof that ends later than this after its acceptance misses the printed paper. 0: no limit. */
  readonly lateAfterMilliseconds: number
}

/** A list of jobs with the fleet and the document that it is replayed on. */
export interface JobList {
  readonly name: string
  readonly workers: readonly WorkerDescription[]
  readonly accounts: readonly string[]
  readonly guarantees: readonly Guarantee[]
  readonly placement: Placement
  readonly jobs: readonly ListedJob[]
  /** Time until the last job is submitted. */
  readonly durationMilliseconds: number
  readonly disturb: (replay: Replay) => void
}

/** Disturbances during a replay. */
export enum Disturbance {
  None = 'plain',
  Losses = 'losses',
  Burst = 'burst',
  Cancellations = 'cancellations',
  BadWorker = 'bad worker'
}

const HOUR = 3_600_000
const MINUTE = 60_000
const SEED = 20_261_204

/** Arrival rate in the peak period, as a multiple of the usual rate; applies to classes with `hasPeak`. */
const PEAK_FACTOR = 3
/** Begin and end of the peak period, as shares of the duration. */
const PEAK_BEGIN = 0.25
const PEAK_END = 0.5

interface JobClass {
  /** Arrives more often before the paper closes or the couriers leave. */
  readonly hasPeak: boolean
  readonly kind: string
  readonly everySeconds: number
  readonly accounts: readonly string[]
  readonly shape: (random: Random) => Shape
  readonly medianSeconds: number
  readonly spread: number
  readonly idempotent: number
  readonly checkpointable: boolean
  readonly urgency: Urgency
  readonly lateAfterMilliseconds: number
}

function createShape (workers: number, accelerators: number, within = Level.DataCentre): Shape {
  return { workers, accelerators, slots: 1, processors: 2, memoryMegabytes: 4_096, within }
}

function createWorkers (place: string, perDataCentre: readonly number[], processors: number): WorkerDescription[] {
  return perDataCentre.flatMap((count, dataCentre) => Array.from({ length: count }, (_, position) => ({
    name: `${place}-${dataCentre}-${String(position).padStart(4, '0')}`,
    region: place,
    dataCentre: `${place}-${dataCentre}`,
    rack: `rack-${Math.floor(position / 3)}`,
    accelerators: 8,
    slots: 8,
    processors,
    memoryMegabytes: 131_072
  })))
}

function drawJobs (random: Random, classes: readonly JobClass[], durationMilliseconds: number): ListedJob[] {
  const jobs: ListedJob[] = []
  for (const jobClass of classes) {
    const mean = jobClass.everySeconds * 1_000 / PEAK_FACTOR
    for (let submittedAt = random.exponential(mean); submittedAt < durationMilliseconds; submittedAt += random.exponential(mean)) {
      const peak = jobClass.hasPeak && submittedAt > durationMilliseconds * PEAK_BEGIN && submittedAt < durationMilliseconds * PEAK_END
      if (peak || random.chance(1 / PEAK_FACTOR)) jobs.push(drawJob(random, jobClass, Math.round(submittedAt), `${jobClass.kind}-${jobs.length}`))
    }
  }
  return jobs.sort((one, other) => one.submittedAt - other.submittedAt)
}

/** Spread at which a third of the declared times are wrong by a factor of three or more, up or down. */
const DECLARED_SPREAD = 1.1
/** Share of the jobs that declare too little memory. */
const UNDER_DECLARED_MEMORY_SHARE = 0.02

function drawJob (random: Random, jobClass: JobClass, submittedAt: number, identifier: string): ListedJob {
  const wanted = jobClass.shape(random)
  const seconds = Math.max(1, random.logNormal(jobClass.medianSeconds, jobClass.spread))
  const idempotent = random.chance(jobClass.idempotent)
  return {
    submittedAt,
    identifier,
    lateAfterMilliseconds: jobClass.lateAfterMilliseconds,
    actual: { seconds, memoryMegabytes: random.chance(UNDER_DECLARED_MEMORY_SHARE) ? wanted.memoryMegabytes * 1.4 : 1, failsAlways: false },
    specification: {
      account: random.pick(jobClass.accounts),
      kind: jobClass.kind,
      shape: wanted,
      idempotent,
      checkpointable: idempotent && jobClass.checkpointable,
      urgency: jobClass.urgency,
      deadline: 0,
      declaredSeconds: Math.max(1, Math.round(random.logNormal(seconds, DECLARED_SPREAD))),
      payload: { contentType: 'text/plain', base64: '' }
    }
  }
}

type DisturbanceFactory = (list: Omit<JobList, 'disturb'>, random: Random) => JobList['disturb']

const disturbances: { readonly [disturbance in Disturbance]: DisturbanceFactory } = {
  [Disturbance.None]: () => () => {},
  [Disturbance.Burst]: () => () => {},
  [Disturbance.Losses]: ({ workers: fleet, durationMilliseconds }, random) => {
    const losses = Array.from({ length: 4 }, () => ({ at: random.fraction() * durationMilliseconds, worker: random.pick(fleet).name, away: 5 * MINUTE + random.fraction() * 20 * MINUTE }))
    return (replay) => { for (const { at, worker, away } of losses) replay.schedule(at, () => replay.failHost(worker, away)) }
  },
  [Disturbance.Cancellations]: ({ jobs, durationMilliseconds }) => (replay) => {
    const cancelled = jobs.filter((job, position) => position % 2 === 0 && job.submittedAt < durationMilliseconds / 2 && job.lateAfterMilliseconds === 0).map((job) => job.identifier)
    replay.schedule(durationMilliseconds / 2, () => replay.cancel(cancelled))
  },
  [Disturbance.BadWorker]: ({ workers: fleet, durationMilliseconds }) => (replay) => {
    replay.schedule(durationMilliseconds / 5, () => replay.setFailing(fleet[1]!.name, true))
    replay.schedule(4 * durationMilliseconds / 5, () => replay.setFailing(fleet[1]!.name, false))
  }
}

function createList (list: Omit<JobList, 'disturb' | 'name'>, name: string, disturbance: Disturbance, random: Random, burst: readonly JobClass[]): JobList {
  const added = disturbance === Disturbance.Burst ? drawJobs(random, burst, 2 * MINUTE).map((job) => ({ ...job, submittedAt: job.submittedAt + list.durationMilliseconds / 3, identifier: `burst-${job.identifier}` })) : []
  const named = { ...list, name: `${name}, ${disturbance}`, jobs: [...list.jobs, ...added].sort((one, other) => one.submittedAt - other.submittedAt) }
  return { ...named, disturb: disturbances[disturbance](named, random) }
}

/** Many small urgent proofs, longer portraits, background layouts, and gangs for the newspapers. */
export function createSongHuongList (disturbance: Disturbance): JobList {
  const random = Random.create(SEED)
  const accounts = ['families', 'temples', 'newspapers', 'typists']
  const proof = { kind: 'proof', hasPeak: true, accounts, medianSeconds: 30, spread: 0.6, idempotent: 0.5, checkpointable: false, urgency: Urgency.Urgent, lateAfterMilliseconds: 3 * MINUTE }
  const classes: JobClass[] = [
    { ...proof, everySeconds: 5, shape: (draw) => createShape(1, draw.pick([1, 1, 2])) },
    { kind: 'portrait', hasPeak: true, everySeconds: 20, accounts, medianSeconds: 150, spread: 0.8, idempotent: 0.8, checkpointable: false, urgency: Urgency.Normal, lateAfterMilliseconds: 0, shape: (draw) => createShape(1, draw.pick([1, 2, 2, 4])) },
    { kind: 'layout', hasPeak: false, everySeconds: 240, accounts: ['families', 'typists'], medianSeconds: 900, spread: 0.5, idempotent: 1, checkpointable: true, urgency: Urgency.Background, lateAfterMilliseconds: 0, shape: (draw) => createShape(1, draw.pick([2, 4, 4, 8])) },
    { kind: 'page', hasPeak: false, everySeconds: 600, accounts: ['newspapers'], medianSeconds: 420, spread: 0.4, idempotent: 1, checkpointable: true, urgency: Urgency.Normal, lateAfterMilliseconds: 0, shape: (draw) => createShape(draw.pick([2, 2, 3]), 8) }
  ]
  const durationMilliseconds = 4 * HOUR
  const guarantees = [
    { account: 'newspapers', shape: createShape(2, 8), count: 1, graceSeconds: 3 },
    { account: 'temples', shape: createShape(1, 4), count: 2, graceSeconds: 3 }
  ]
  const list = { workers: createWorkers('hue', [6, 3, 1], 64), accounts, guarantees, placement: { completionTimeWeight: 0.8, fragmentationWeight: 0.2 }, jobs: drawJobs(random, classes, durationMilliseconds), durationMilliseconds }
  return createList(list, 'Song Huong night', disturbance, random, [{ ...proof, everySeconds: 0.4, shape: () => createShape(1, 1) }])
}

/** Large gangs for the chain among many small jobs. */
export function createNackrosgardenList (disturbance: Disturbance): JobList {
  const random = Random.create(SEED + 1)
  const accounts = ['chain', 'mail-order', 'stock', 'photographs']
  const gang = { kind: 'packing', hasPeak: false, accounts: ['chain'], medianSeconds: 600, spread: 0.4, idempotent: 1, checkpointable: true, urgency: Urgency.Normal, lateAfterMilliseconds: 0 }
  const classes: JobClass[] = [
    { ...gang, everySeconds: 900, shape: (draw) => createShape(draw.pick([2, 3, 4]), 8) },
    { kind: 'photograph', hasPeak: true, everySeconds: 20, accounts: ['photographs', 'mail-order'], medianSeconds: 180, spread: 0.8, idempotent: 0.9, checkpointable: false, urgency: Urgency.Normal, lateAfterMilliseconds: 0, shape: (draw) => createShape(1, draw.pick([1, 1, 2, 3])) },
    { kind: 'stock', hasPeak: false, everySeconds: 60, accounts: ['stock'], medianSeconds: 60, spread: 0.5, idempotent: 0.2, checkpointable: false, urgency: Urgency.Urgent, lateAfterMilliseconds: 5 * MINUTE, shape: () => createShape(1, 1) },
    { kind: 'plan', hasPeak: false, everySeconds: 240, accounts: ['mail-order', 'stock'], medianSeconds: 600, spread: 0.6, idempotent: 1, checkpointable: true, urgency: Urgency.Background, lateAfterMilliseconds: 0, shape: (draw) => createShape(1, draw.pick([2, 4])) }
  ]
  const durationMilliseconds = 8 * HOUR
  const guarantees = [
    { account: 'chain', shape: createShape(2, 8), count: 1, graceSeconds: 3 },
    { account: 'stock', shape: createShape(1, 1), count: 4, graceSeconds: 3 }
  ]
  const list = { workers: createWorkers('svealand', [4, 3, 3], 32), accounts, guarantees, placement: { completionTimeWeight: 0.3, fragmentationWeight: 0.7 }, jobs: drawJobs(random, classes, durationMilliseconds), durationMilliseconds }
  return createList(list, 'Nackrosgarden day', disturbance, random, [{ ...gang, everySeconds: 20, shape: () => createShape(2, 8) }])
}

/** The design size: three regions, seven data centres, 24 teams, gangs of up to 128 workers, over a day. */
export function createFullSizeList (count = 1_300): JobList {
  const random = Random.create(SEED + 2)
  const scale = count / 1_300
  const accounts = Array.from({ length: 24 }, (_, position) => `team-${String(position).padStart(2, '0')}`)
  const gangs = [1, 1, 1, 2, 4, 4, 8, 8, 16, 32, 64, 128].filter((size) => size <= Math.max(4, 128 * scale))
  const common = { hasPeak: false, accounts, spread: 0.8, idempotent: 0.9, checkpointable: true, lateAfterMilliseconds: 0 }
  const classes: JobClass[] = [
    { ...common, kind: 'training', everySeconds: 110 / scale, medianSeconds: 4 * 3_600, urgency: Urgency.Normal, shape: (draw) => createShape(draw.pick(gangs), draw.pick([4, 8, 8])) },
    { ...common, kind: 'batch', everySeconds: 150 / scale, medianSeconds: 2 * 3_600, urgency: Urgency.Background, shape: (draw) => createShape(draw.pick([1, 2, 4]), draw.pick([1, 2, 4])) },
    { ...common, kind: 'urgent', everySeconds: 900 / scale, medianSeconds: 600, urgency: Urgency.Urgent, shape: (draw) => createShape(draw.pick([1, 2, 4]), 8) }
  ]
  const perDataCentre = Array.from({ length: 7 }, (_, position) => Math.floor(count / 7) + (position < count % 7 ? 1 : 0))
  const guarantees = accounts.map((account) => ({ account, shape: createShape(Math.max(1, Math.round(8 * scale)), 8), count: 2, graceSeconds: 30 }))
  const durationMilliseconds = 24 * HOUR
  const list = { workers: createWorkers('region', perDataCentre, 64), accounts, guarantees, placement: { completionTimeWeight: 0.5, fragmentationWeight: 0.5 }, jobs: drawJobs(random, classes, durationMilliseconds), durationMilliseconds }
  return createList(list, `full size, ${count} workers`, Disturbance.None, random, [])
}
