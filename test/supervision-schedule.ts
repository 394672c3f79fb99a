/** Seeded schedules of faults for the simulation of the supervision: bursts of faults, mostly on one host, on a full fleet. */
import { normalFate, Simulation, type Fate, type Site, type WorkerCall } from './supervision-simulation'
import type { Dice } from './supervision-worker'

const SCHEDULE_MILLISECONDS = 22_000
/** Time at the end without new faults. */
const QUIET_MILLISECONDS = 4_000
const LOAD_INTERVAL_MILLISECONDS = 250
/** Open jobs that keep the fleet full. */
const OPEN_JOBS = 7

const later = (milliseconds: number, run: () => void): void => { setTimeout(run, milliseconds) }

/** Some calls are not answered, arrive late or are lost. */
function troubledFate (dice: Dice, { kind }: WorkerCall): Fate {
  const roll = dice.number(0, 99)
  if (roll < 15) return { after: dice.number(1, 30), unanswered: true }
  if (roll < (kind === 'poll' ? 22 : 35)) return { after: dice.number(2_000, 12_000), unanswered: true }
  if (roll < 40) return { unanswered: true }
  return { after: dice.number(1, 300) }
}

/** Which of the platform's liberties a schedule takes. */
export interface ScheduleOptions {
  /** Older connections may resume after newer ones when a cut ends. */
  readonly reorders?: boolean
  /** Runs take the time of a stop to end when their lease expires. */
  readonly slowLapse?: boolean
}

type Fault = (simulation: Simulation, site: Site, options: ScheduleOptions) => void

const troubleCalls: Fault = ({ dice }, site) => {
  site.fate = (call) => troubledFate(dice, call)
  later(dice.number(200, 2_500), () => { site.fate = () => normalFate })
}

const restartAgent: Fault = ({ dice }, site) => {
  site.killAgent()
  later(dice.number(50, 1_200), () => { site.startAgent() })
}

const restartWorker = (sameName: boolean): Fault => ({ dice }, { machine }) => {
  machine.crash()
  later(dice.number(50, 2_000), () => { machine.boot(sameName) })
}

const leave: Fault = ({ dice, platform: { times } }, { machine }) => {
  if (!machine.up || machine.leaving) return
  const extra = dice.number(0, 4_000)
  machine.leave(extra)
  later(times.drain + extra + dice.number(100, 1_500), () => { machine.boot() })
}

const makeUnhealthy: Fault = ({ dice, platform: { trace } }, { name, machine }) => {
  machine.unhealthy = true
  trace.add(`worker ${machine.incarnation} is unhealthy`, [name])
  later(dice.number(200, 2_000), () => { machine.unhealthy = false })
}

const cut: Fault = ({ dice }, site, { reorders }) => {
  if (site.link.cut) return
  site.cut()
  later(dice.chance(50) ? dice.number(200, 3_000) : dice.number(6_000, 9_000), () => { site.heal(() => reorders === false ? 0 : dice.number(0, 900)) })
}

const freeze: Fault = ({ dice }, site) => {
  site.freeze()
  later(dice.chance(60) ? dice.number(200, 2_500) : dice.number(6_000, 8_000), () => { site.thaw() })
}

const changeLeader: Fault = (simulation) => {
  const { dice } = simulation
  simulation.changeLeader(dice.number(0, 2), dice.chance(50) ? dice.number(100, 5_000) : 0, dice.chance(50) ? dice.number(50, 1_500) : 0)
}

const delayHeartbeats: Fault = ({ dice }, site) => {
  site.heartbeatDelay = dice.number(100, 2_500)
  later(dice.number(500, 3_000), () => { site.heartbeatDelay = 1 })
}

const faults: readonly Fault[] = [
  troubleCalls, troubleCalls, troubleCalls, restartAgent, restartAgent, restartWorker(true), restartWorker(true), restartWorker(false), leave, makeUnhealthy, makeUnhealthy, cut, cut, freeze, changeLeader, delayHeartbeats
]

/** A few faults close together, most of them on one host. */
function burst (simulation: Simulation, options: ScheduleOptions): void {
  const { dice, sites } = simulation
  const site = dice.pick(sites)
  let delay = 0
  for (let count = dice.number(2, 6); count > 0; count--) {
    const fault = dice.pick(faults)
    const target = dice.chance(85) ? site : dice.pick(sites)
    later(delay, () => { fault(simulation, target, options) })
    delay += dice.number(10, 700)
  }
}

function keepFull (simulation: Simulation, submitted: number): number {
  const { dice, state: { steps: { open } } } = simulation
  let count = submitted
  for (let missing = OPEN_JOBS - open.size; missing > 0; missing--) {
    const gang = dice.chance(50)
    const identifier = `j${count}`
    simulation.submitJob(identifier, {
      tasks: gang ? dice.number(2, 3) : dice.number(1, 4), gang, accelerators: gang || dice.chance(30) ? 8 : dice.number(1, 5), milliseconds: dice.number(300, 3_500), fails: dice.chance(15)
    }, dice.pick(['urgent', 'normal', 'normal', 'later']))
    if (dice.chance(10)) later(dice.number(100, 4_000), () => { simulation.cancelJob(identifier) })
    count += 1
  }
  return count
}

/**
 * Runs one schedule, up to its first violation.
 * @param seed - determines the schedule
 * @param options - see {@link ScheduleOptions}
 */
export async function runSchedule (seed: number, options: ScheduleOptions = {}): Promise<Simulation> {
  const stop = [200, 400, 900][seed % 3]!
  const simulation = await Simulation.create({ seed, sites: ['a', 'b', 'c'], times: { stop, lapse: options.slowLapse === true ? stop : 0 } })
  const { dice, platform } = simulation
  let submitted = 0
  const load = (): void => {
    submitted = keepFull(simulation, submitted)
    later(LOAD_INTERVAL_MILLISECONDS, load)
  }
  load()
  const endsAt = performance.now() + SCHEDULE_MILLISECONDS
  const nextBurst = (): void => {
    if (performance.now() > endsAt - QUIET_MILLISECONDS) return
    burst(simulation, options)
    later(dice.number(1_500, 5_000), nextBurst)
  }
  later(dice.number(500, 2_000), nextBurst)
  await simulation.run(SCHEDULE_MILLISECONDS, () => platform.violations.length > 0)
  return simulation
}
