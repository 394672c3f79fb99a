import { JobState, Level, Reason, Verdict, type Guarantee, type Job, type Maintenance, type Shape, type State, type Worker } from '../src/core/index'

// Invariants that must hold in every state. They are derived from the guarantees rather than from the scheduler, so that
// a fault of the scheduler is not repeated here: no function is shared with src/core, usage is summed up anew, and homes
// are packed by search instead of being read from the state.

interface FreeCapacity {
  readonly worker: Worker
  free: boolean[]
  slots: number
  processors: number
  memory: number
}

/** Maximum number of nodes visited by one search; beyond it the answer is 'open'. */
const MAX_SEARCH_NODES = 20_000

/** The invariants that a state violates, one sentence each. */
export function brokenInvariants (state: State): string[] {
  return [...overallocations(state), ...incompleteGangs(state), ...inconsistentIndexes(state), ...unpackableGuarantees(state)]
}

function heldBy (job: Job): Array<{ worker: string, mask: number }> {
  return (job.attempt?.members ?? []).filter(({ worker }) => !job.attempt!.ended.includes(worker))
}

function memoryOf (job: Job): number {
  return job.learnedMemory > job.specification.shape.memoryMegabytes ? job.learnedMemory : job.specification.shape.memoryMegabytes
}

function fullCapacity (state: State): Map<string, FreeCapacity> {
  return new Map([...state.workers.values()].map((worker) => [worker.name, {
    worker, free: new Array<boolean>(worker.accelerators).fill(true), slots: worker.slots, processors: worker.processors, memory: worker.memoryMegabytes
  }]))
}

function overallocations (state: State): string[] {
  const broken: string[] = []
  const spaces = fullCapacity(state)
  for (const job of state.jobs.values()) {
    const { shape } = job.specification
    for (const { worker, mask } of heldBy(job)) {
      const space = spaces.get(worker)
      if (space === undefined) { broken.push(`${job.identifier} is on the unknown worker ${worker}`); continue }
      const bits = bitsOf(mask)
      if (bits.length !== shape.accelerators || bits.some((bit, position) => bit !== bits[0]! + position)) broken.push(`${job.identifier} on ${worker}: not ${shape.accelerators} adjacent accelerators`)
      for (const bit of bits) {
        if (space.free[bit] !== true) broken.push(`accelerator ${bit} of ${worker} is allocated twice, the second time to ${job.identifier}`)
        space.free[bit] = false
      }
      space.slots -= shape.slots
      space.processors -= shape.processors
      space.memory -= memoryOf(job)
      if (space.slots < 0 || space.processors < 0 || space.memory < 0) broken.push(`the capacity of ${worker} is exceeded by ${job.identifier}`)
    }
  }
  return broken
}

function bitsOf (mask: number): number[] {
  return Array.from({ length: 8 }, (_, bit) => bit).filter((bit) => Math.floor(mask / 2 ** bit) % 2 === 1)
}

function incompleteGangs (state: State): string[] {
  const broken: string[] = []
  for (const job of state.jobs.values()) {
    const { attempt, specification: { shape } } = job
    if (attempt === undefined) continue
    if (attempt.members.length !== shape.workers) broken.push(`${job.identifier} has ${attempt.members.length} of ${shape.workers} members`)
    if (job.state === JobState.Running && attempt.ended.length > 0) broken.push(`${job.identifier} is running although its members on ${attempt.ended.join()} have ended`)
    if (job.state === JobState.Running && attempt.startedAt === 0) broken.push(`${job.identifier} is running without a recorded start`)
  }
  return broken
}

function inconsistentIndexes (state: State): string[] {
  const jobs = [...state.jobs.values()]
  const queued = jobs.filter((job) => job.state === JobState.Queued).map((job) => job.identifier).sort()
  const holders = jobs.filter((job) => job.attempt?.home !== undefined).map((job) => `${job.attempt!.home}=${job.identifier}`).sort()
  const broken: string[] = []
  if (queued.join() !== state.queued.toArray().sort().join()) broken.push('the index of queued jobs is inconsistent')
  if (holders.join() !== [...state.homeHolders].map(([home, job]) => `${home}=${job}`).sort().join()) broken.push('the index of home holders is inconsistent')
  for (const [account, usage] of state.accounts) {
    const held = jobs.filter((job) => job.specification.account === account).reduce((sum, job) => sum + heldBy(job).length * job.specification.shape.accelerators, 0)
    if (held !== usage.accelerators) broken.push(`${account} uses ${held} accelerators, but the index has ${usage.accelerators}`)
  }
  return broken
}

function isNonPreemptible (job: Job): boolean {
  return !job.specification.idempotent && job.end === undefined && job.state !== JobState.Stopping
}

function mayHoldHomes (worker: Worker, maintenance: Maintenance): boolean {
  const drained = maintenance.workers.includes(worker.name) || maintenance.dataCentres.includes(worker.dataCentre) ||
    maintenance.racks.includes(worker.rack) || maintenance.racks.includes(`${worker.dataCentre}/${worker.rack}`)
  return worker.present && !worker.leaving && worker.health === 'healthy' && !drained
}

/** All guarantees that the state reports as reclaimable must be packable at once beside non-preemptible work. */
function unpackableGuarantees (state: State): string[] {
  const owed = owedShapes(state).filter(({ identifier }) => isReclaimable(state, identifier))
  const answer = packable(state, owed.map(({ shape }) => shape))
  return answer === 'no' ? [`the guarantees reported as reclaimable cannot all be packed: ${owed.map(({ identifier }) => identifier).join(' ')}`] : []
}

/** After a reservation every guarantee that was reclaimable before it must still be packable. */
export function brokenReservation (before: State, after: State): string[] {
  const owed = owedShapes(after).filter(({ identifier }) => isReclaimable(before, identifier))
  return packable(after, owed.map(({ shape }) => shape)) === 'no' ? ['after a reservation the guarantees can no longer all be packed'] : []
}

function isReclaimable (state: State, identifier: string): boolean {
  const home = state.homes.get(identifier)
  const { maintenance } = state.configuration.document
  if (home === undefined) return false
  return home.members.every(({ worker: name, mask }) => {
    const worker = state.workers.get(name)
    const blocked = [...state.jobs.values()].some((job) => isNonPreemptible(job) && job.attempt?.home !== identifier &&
      heldBy(job).some((held) => held.worker === name && (held.mask & mask) !== 0))
    return worker !== undefined && mayHoldHomes(worker, maintenance) && !blocked
  })
}

interface OwedShape {
  readonly identifier: string
  readonly shape: Shape
}

/** Guaranteed shapes whose home is not in use by non-preemptible work of its account. */
function owedShapes (state: State): OwedShape[] {
  return [...state.homes.values()].filter((home) => {
    const holder = state.homeHolders.get(home.identifier)
    const job = holder === undefined ? undefined : state.jobs.get(holder)
    return job === undefined || !isNonPreemptible(job)
  }).map(({ identifier, shape }) => ({ identifier, shape }))
}

/** Tells whether shapes fit at once beside all non-preemptible work, on workers that may hold homes. */
export function packable (state: State, shapes: readonly Shape[]): 'yes' | 'no' | 'open' {
  const spaces = fullCapacity(state)
  for (const job of state.jobs.values()) {
    if (!isNonPreemptible(job)) continue
    for (const { worker, mask } of heldBy(job)) {
      const space = spaces.get(worker)!
      for (const bit of bitsOf(mask)) space.free[bit] = false
      space.slots -= job.specification.shape.slots
      space.processors -= job.specification.shape.processors
      space.memory -= memoryOf(job)
    }
  }
  const { maintenance } = state.configuration.document
  const open = [...spaces.values()].filter(({ worker }) => mayHoldHomes(worker, maintenance))
  return search(open, [...shapes].sort((one, other) => other.accelerators * other.workers - one.accelerators * one.workers))
}

function search (spaces: FreeCapacity[], shapes: readonly Shape[]): 'yes' | 'no' | 'open' {
  let nodes = 0
  const rest = (position: number): boolean | undefined => {
    const shape = shapes[position]
    if (shape === undefined) return true
    let open = false
    for (const group of groupsFor(spaces, shape)) {
      const answer = place(group, shape, 0, shape.workers, () => rest(position + 1))
      if (answer === true) return true
      if (answer === undefined) open = true
    }
    return open ? undefined : false
  }
  const place = (group: FreeCapacity[], shape: Shape, from: number, left: number, then: () => boolean | undefined): boolean | undefined => {
    if (left === 0) return then()
    let open = false
    const tried = new Set<string>()
    for (let position = from; position <= group.length - left; position++) {
      const space = group[position]!
      if (space.slots < shape.slots || space.processors < shape.processors || space.memory < shape.memoryMegabytes) continue
      for (const start of starts(space, shape.accelerators)) {
        const equivalence = `${space.free.join()}/${start}/${space.slots}/${space.processors}/${space.memory}/${space.worker.rack}`
        if (tried.has(equivalence)) continue
        tried.add(equivalence)
        if (++nodes > MAX_SEARCH_NODES) return undefined
        take(space, shape, start, -1)
        const answer = place(group, shape, position + 1, left - 1, then)
        take(space, shape, start, 1)
        if (answer === true) return true
        if (answer === undefined) open = true
      }
    }
    return open ? undefined : false
  }
  const answer = rest(0)
  if (answer === undefined) return 'open'
  return answer ? 'yes' : 'no'
}

function take (space: FreeCapacity, shape: Shape, start: number, sign: 1 | -1): void {
  for (let bit = start; bit < start + shape.accelerators; bit++) space.free[bit] = sign === 1
  space.slots += sign * shape.slots
  space.processors += sign * shape.processors
  space.memory += sign * shape.memoryMegabytes
}

function starts (space: FreeCapacity, count: number): number[] {
  if (count === 0) return [0]
  const found: number[] = []
  for (let start = 0; start + count <= space.free.length; start++) {
    if (space.free.slice(start, start + count).every(Boolean)) found.push(start)
  }
  return found
}

function groupsFor (spaces: FreeCapacity[], shape: Shape): FreeCapacity[][] {
  const names: { readonly [level in Level]: (worker: Worker) => string } = {
    [Level.Worker]: (worker) => worker.name,
    [Level.Rack]: (worker) => `${worker.dataCentre}/${worker.rack}`,
    [Level.DataCentre]: (worker) => worker.dataCentre
  }
  const groups = new Map<string, FreeCapacity[]>()
  for (const space of spaces) {
    const name = names[shape.within](space.worker)
    groups.set(name, [...groups.get(name) ?? [], space])
  }
  return [...groups.values()].filter((group) => group.length >= shape.workers)
}

/** The invariants that one transition of a job violates. */
export function brokenTransition (before: Job | undefined, after: Job, state: State): string[] {
  const broken: string[] = []
  const name = after.identifier
  if (before?.end !== undefined && JSON.stringify(before.end) !== JSON.stringify(after.end)) broken.push(`${name} ended twice`)
  if (before !== undefined && after.attempts > before.attempts && after.attempts !== before.attempts + 1) broken.push(`${name} skipped an attempt number`)
  const started = (before?.attempt?.startedAt ?? 0) > 0
  const mayHaveRun = before?.attempt?.mayHaveRun === true
  if (started && mayHaveRun && after.state === JobState.Queued && !after.specification.idempotent) broken.push(`${name} is not idempotent and may have run, but is queued again`)
  if (before?.end === undefined && after.end !== undefined) broken.push(...unjustifiedEnd(before, after, state))
  return broken
}

/** The reason and verdict of an end must be justified by the state in which the job ended. */
function unjustifiedEnd (before: Job | undefined, after: Job, state: State): string[] {
  const { reason, verdict } = after.end!
  const isUnjustified: { readonly [reason in Reason]?: () => boolean } = {
    [Reason.DeadlinePassed]: () => after.specification.deadline === 0 || after.specification.deadline > state.time,
    [Reason.ImpossibleShape]: () => fitsEmptyFleet(state, after),
    [Reason.MayHaveRun]: () => after.specification.idempotent || (before?.attempt?.startedAt ?? 0) === 0,
    [Reason.FailedOnDistinctWorkers]: () => new Set(after.failedOn).size < 3,
    [Reason.AttemptsUsedUp]: () => after.failures < state.configuration.document.limits.attemptsPerJob
  }
  const broken: string[] = []
  if (isUnjustified[reason as Reason]?.() === true) broken.push(`${after.identifier} ended with reason ${reason}, which does not apply`)
  if (verdict === Verdict.NotRun && after.attempts > 0 && before?.attempt?.mayHaveRun === true) broken.push(`${after.identifier} has the verdict not-run although it may have run`)
  return broken
}

/** Tells whether the known workers could hold a job if they had no other work. */
export function fitsEmptyFleet (state: State, job: Job): boolean {
  const { shape } = job.specification
  const spaces = [...fullCapacity(state).values()]
  return groupsFor(spaces, shape).some((group) => group.filter((space) => starts(space, shape.accelerators).length > 0 &&
    space.slots >= shape.slots && space.processors >= shape.processors && space.memory >= memoryOf(job)).length >= shape.workers)
}

/** Tells whether a job requests exactly a guaranteed shape. */
export function requestsGuarantee (job: Job, guarantee: Guarantee): boolean {
  const { shape, account } = job.specification
  return account === guarantee.account && shape.workers === guarantee.shape.workers && shape.accelerators === guarantee.shape.accelerators &&
    shape.within === guarantee.shape.within && shape.slots <= guarantee.shape.slots && shape.processors <= guarantee.shape.processors &&
    memoryOf(job) <= guarantee.shape.memoryMegabytes
}
