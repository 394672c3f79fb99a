import { Level, Urgency, type Guarantee, type JobSpecification, type Placement, type Shape, type WorkerDescription } from '../src/core/index'
import { Random } from './random'
import type { Replay, Truth } from './replay'

/** A job of a list, and what it really needs. */
export interface ListedJob {
  readonly at: number
  readonly identifier: string
  readonly specification: JobSpecification
  readonly truth: Truth
  /** A proof that is over later than this, in milliseconds from its acceptance, misses the paper. 0 for none. */
  readonly lateAfter: number
}

/** A list of jobs with its fleet and its document. */
export interface JobList {
  readonly name: string
  readonly workers: readonly WorkerDescription[]
  readonly accounts: readonly string[]
  readonly guarantees: readonly Guarantee[]
  readonly placement: Placement
  readonly jobs: readonly ListedJob[]
  /** Milliseconds until the last job comes. */
  readonly length: number
  readonly disturb: (replay: Replay) => void
}

/** What happens beside the jobs. */
export enum Trouble {
  None = 'plain',
  Losses = 'losses',
  Burst = 'burst',
  Cancellations = 'cancellations',
  BadWorker = 'bad worker'
}

const HOUR = 3_600_000
const MINUTE = 60_000
const SEED = 20_261_204

/** In a part of the time, jobs of the kinds that rush come so many times as often. */
const RUSH_FACTOR = 3
const RUSH_BEGIN = 0.25
const RUSH_END = 0.5

interface Sort {
  /** Comes more often before the paper closes, or before the couriers leave. */
  readonly rush: boolean
  readonly kind: string
  readonly everySeconds: number
  readonly accounts: readonly string[]
  readonly shape: (random: Random) => Shape
  readonly medianSeconds: number
  readonly spread: number
  readonly idempotent: number
  readonly checkpointable: boolean
  readonly urgency: Urgency
  readonly lateAfter: number
}

function shape (workers: number, accelerators: number, within = Level.DataCentre): Shape {
  return { workers, accelerators, slots: 1, processors: 2, memoryMegabytes: 4_096, within }
}

function workers (place: string, perDataCentre: readonly number[], processors: number): WorkerDescription[] {
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

function draw (random: Random, sorts: readonly Sort[], length: number): ListedJob[] {
  const jobs: ListedJob[] = []
  for (const sort of sorts) {
    const mean = sort.everySeconds * 1_000 / RUSH_FACTOR
    for (let at = random.exponential(mean); at < length; at += random.exponential(mean)) {
      const rush = sort.rush && at > length * RUSH_BEGIN && at < length * RUSH_END
      if (rush || random.chance(1 / RUSH_FACTOR)) jobs.push(drawOne(random, sort, Math.round(at), `${sort.kind}-${jobs.length}`))
    }
  }
  return jobs.sort((one, other) => one.at - other.at)
}

/** Declared times are off by a factor of three up or down in a third of the cases. */
const DECLARED_SPREAD = 1.1
/** Memory is declared too low for some. */
const UNDER_DECLARED_MEMORY = 0.02

function drawOne (random: Random, sort: Sort, at: number, identifier: string): ListedJob {
  const wanted = sort.shape(random)
  const seconds = Math.max(1, random.aroundMedian(sort.medianSeconds, sort.spread))
  const idempotent = random.chance(sort.idempotent)
  return {
    at,
    identifier,
    lateAfter: sort.lateAfter,
    truth: { seconds, memoryMegabytes: random.chance(UNDER_DECLARED_MEMORY) ? wanted.memoryMegabytes * 1.4 : 1, failsAlways: false },
    specification: {
      account: random.pick(sort.accounts),
      kind: sort.kind,
      shape: wanted,
      idempotent,
      checkpointable: idempotent && sort.checkpointable,
      urgency: sort.urgency,
      deadline: 0,
      declaredSeconds: Math.max(1, Math.round(random.aroundMedian(seconds, DECLARED_SPREAD))),
      payload: { contentType: 'text/plain', base64: '' }
    }
  }
}

type Disturbance = (list: Omit<JobList, 'disturb'>, random: Random) => JobList['disturb']

const disturbances: { readonly [trouble in Trouble]: Disturbance } = {
  [Trouble.None]: () => () => {},
  [Trouble.Burst]: () => () => {},
  [Trouble.Losses]: ({ workers: fleet, length }, random) => {
    const losses = Array.from({ length: 4 }, () => ({ at: random.share() * length, worker: random.pick(fleet).name, away: 5 * MINUTE + random.share() * 20 * MINUTE }))
    return (replay) => { for (const { at, worker, away } of losses) replay.after(at, () => replay.loseHost(worker, away)) }
  },
  [Trouble.Cancellations]: ({ jobs, length }) => (replay) => {
    const wave = jobs.filter((job, position) => position % 2 === 0 && job.at < length / 2 && job.lateAfter === 0).map((job) => job.identifier)
    replay.after(length / 2, () => replay.cancel(wave))
  },
  [Trouble.BadWorker]: ({ workers: fleet, length }) => (replay) => {
    replay.after(length / 5, () => replay.setBroken(fleet[1]!.name, true))
    replay.after(4 * length / 5, () => replay.setBroken(fleet[1]!.name, false))
  }
}

function finish (list: Omit<JobList, 'disturb' | 'name'>, name: string, trouble: Trouble, random: Random, burst: readonly Sort[]): JobList {
  const extra = trouble === Trouble.Burst ? draw(random, burst, 2 * MINUTE).map((job) => ({ ...job, at: job.at + list.length / 3, identifier: `burst-${job.identifier}` })) : []
  const named = { ...list, name: `${name}, ${trouble}`, jobs: [...list.jobs, ...extra].sort((one, other) => one.at - other.at) }
  return { ...named, disturb: disturbances[trouble](named, random) }
}

/** Many small urgent proofs over longer renders, layouts that can wait, and gangs for the newspapers. */
export function songHuong (trouble: Trouble): JobList {
  const random = Random.create(SEED)
  const accounts = ['families', 'temples', 'newspapers', 'typists']
  const proof = { kind: 'proof', rush: true, accounts, medianSeconds: 30, spread: 0.6, idempotent: 0.5, checkpointable: false, urgency: Urgency.Urgent, lateAfter: 3 * MINUTE }
  const sorts: Sort[] = [
    { ...proof, everySeconds: 5, shape: (draw) => shape(1, draw.pick([1, 1, 2])) },
    { kind: 'portrait', rush: true, everySeconds: 20, accounts, medianSeconds: 150, spread: 0.8, idempotent: 0.8, checkpointable: false, urgency: Urgency.Normal, lateAfter: 0, shape: (draw) => shape(1, draw.pick([1, 2, 2, 4])) },
    { kind: 'layout', rush: false, everySeconds: 240, accounts: ['families', 'typists'], medianSeconds: 900, spread: 0.5, idempotent: 1, checkpointable: true, urgency: Urgency.Background, lateAfter: 0, shape: (draw) => shape(1, draw.pick([2, 4, 4, 8])) },
    { kind: 'page', rush: false, everySeconds: 600, accounts: ['newspapers'], medianSeconds: 420, spread: 0.4, idempotent: 1, checkpointable: true, urgency: Urgency.Normal, lateAfter: 0, shape: (draw) => shape(draw.pick([2, 2, 3]), 8) }
  ]
  const length = 4 * HOUR
  const guarantees = [
    { account: 'newspapers', shape: shape(2, 8), count: 1, graceSeconds: 3 },
    { account: 'temples', shape: shape(1, 4), count: 2, graceSeconds: 3 }
  ]
  const list = { workers: workers('hue', [6, 3, 1], 64), accounts, guarantees, placement: { completionTimeWeight: 0.8, fragmentationWeight: 0.2 }, jobs: draw(random, sorts, length), length }
  return finish(list, 'Song Huong night', trouble, random, [{ ...proof, everySeconds: 0.4, shape: () => shape(1, 1) }])
}

/** Large gangs for the chain over a floor of small jobs. */
export function nackrosgarden (trouble: Trouble): JobList {
  const random = Random.create(SEED + 1)
  const accounts = ['chain', 'mail-order', 'stock', 'photographs']
  const gang = { kind: 'packing', rush: false, accounts: ['chain'], medianSeconds: 600, spread: 0.4, idempotent: 1, checkpointable: true, urgency: Urgency.Normal, lateAfter: 0 }
  const sorts: Sort[] = [
    { ...gang, everySeconds: 900, shape: (draw) => shape(draw.pick([2, 3, 4]), 8) },
    { kind: 'photograph', rush: true, everySeconds: 20, accounts: ['photographs', 'mail-order'], medianSeconds: 180, spread: 0.8, idempotent: 0.9, checkpointable: false, urgency: Urgency.Normal, lateAfter: 0, shape: (draw) => shape(1, draw.pick([1, 1, 2, 3])) },
    { kind: 'stock', rush: false, everySeconds: 60, accounts: ['stock'], medianSeconds: 60, spread: 0.5, idempotent: 0.2, checkpointable: false, urgency: Urgency.Urgent, lateAfter: 5 * MINUTE, shape: () => shape(1, 1) },
    { kind: 'plan', rush: false, everySeconds: 240, accounts: ['mail-order', 'stock'], medianSeconds: 600, spread: 0.6, idempotent: 1, checkpointable: true, urgency: Urgency.Background, lateAfter: 0, shape: (draw) => shape(1, draw.pick([2, 4])) }
  ]
  const length = 8 * HOUR
  const guarantees = [
    { account: 'chain', shape: shape(2, 8), count: 1, graceSeconds: 3 },
    { account: 'stock', shape: shape(1, 1), count: 4, graceSeconds: 3 }
  ]
  const list = { workers: workers('svealand', [4, 3, 3], 32), accounts, guarantees, placement: { completionTimeWeight: 0.3, fragmentationWeight: 0.7 }, jobs: draw(random, sorts, length), length }
  return finish(list, 'Nackrosgarden day', trouble, random, [{ ...gang, everySeconds: 20, shape: () => shape(2, 8) }])
}

/** The size to design for: three regions, seven data centres, 24 teams, gangs to 128 workers, a day. */
export function fullSize (count = 1_300): JobList {
  const random = Random.create(SEED + 2)
  const scale = count / 1_300
  const accounts = Array.from({ length: 24 }, (_, position) => `team-${String(position).padStart(2, '0')}`)
  const gangs = [1, 1, 1, 2, 4, 4, 8, 8, 16, 32, 64, 128].filter((size) => size <= Math.max(4, 128 * scale))
  const common = { rush: false, accounts, spread: 0.8, idempotent: 0.9, checkpointable: true, lateAfter: 0 }
  const sorts: Sort[] = [
    { ...common, kind: 'training', everySeconds: 110 / scale, medianSeconds: 4 * 3_600, urgency: Urgency.Normal, shape: (draw) => shape(draw.pick(gangs), draw.pick([4, 8, 8])) },
    { ...common, kind: 'batch', everySeconds: 150 / scale, medianSeconds: 2 * 3_600, urgency: Urgency.Background, shape: (draw) => shape(draw.pick([1, 2, 4]), draw.pick([1, 2, 4])) },
    { ...common, kind: 'urgent', everySeconds: 900 / scale, medianSeconds: 600, urgency: Urgency.Urgent, shape: (draw) => shape(draw.pick([1, 2, 4]), 8) }
  ]
  const perDataCentre = Array.from({ length: 7 }, (_, position) => Math.floor(count / 7) + (position < count % 7 ? 1 : 0))
  const guarantees = accounts.map((account) => ({ account, shape: shape(Math.max(1, Math.round(8 * scale)), 8), count: 2, graceSeconds: 30 }))
  const length = 24 * HOUR
  const list = { workers: workers('region', perDataCentre, 64), accounts, guarantees, placement: { completionTimeWeight: 0.5, fragmentationWeight: 0.5 }, jobs: draw(random, sorts, length), length }
  return finish(list, `full size, ${count} workers`, Trouble.None, random, [])
}
