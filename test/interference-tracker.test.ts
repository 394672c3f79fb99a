/** The leader's collection of what workers list, its log lines and metrics, and what a change of leader does to them. */
import { EventEmitter } from 'node:events'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { Registry } from 'prom-client'
import { registerInterferenceMetrics } from '../src/control/interference-metrics'
import { InterferenceTracker } from '../src/control/interference-tracker'
import type { RunKey } from '../src/core/index'
import { Supervisors, type SupervisorCall } from '../src/control/supervisors'
import { RunStatus, WorkerReport } from '../src/wire'
import { step, StepWorld, worker } from './steps-fixture'

const REPORT_MILLISECONDS = 500
const RUNS = 8

let world: StepWorld
let logged: object[]
let tracker: InterferenceTracker

beforeEach(() => {
  world = StepWorld.create(['a', 'b', 'c', 'd'].map((name) => worker(name)))
  world.submit('slowed', [step({ tasks: RUNS })], 'normal')
  world.submit('pressing', [step({ tasks: RUNS })], 'later')
  logged = []
  tracker = InterferenceTracker.create({ steps: () => world.state.steps, term: () => 3, log: (event, fields) => { logged.push({ event, ...fields }) } })
})

afterEach(() => { expect(tracker.slowDowns.length).toBeLessThanOrEqual(50) })

const status = (key: RunKey, percent: number): RunStatus => RunStatus.fromPartial({ key, running: true, percent })

/** A task runs alone for six seconds and beside another one at half the rate for six, or the other way round in every second run. */
function reportRuns (): void {
  for (let task = 0; task < RUNS; task++) {
    const slowed: RunKey = { job: 'slowed', step: 0, task, attempt: 1 }
    const pressing: RunKey = { job: 'pressing', step: 0, task, attempt: 1 }
    const incarnation = `${'abcd'[task % 4]}@1`
    let percent = 0
    for (let report = 0; report <= 24; report++) {
      const beside = (report >= 12) !== (task % 2 === 0)
      tracker.update(incarnation, `host-${incarnation[0]}`, [status(slowed, percent), ...beside ? [status(pressing, 50)] : []], world.now)
      percent += beside ? 2 : 4
      world.now += REPORT_MILLISECONDS
    }
    tracker.update(incarnation, `host-${incarnation[0]}`, [], world.now)
  }
}

test('a pair is logged when it is found and when it is found no longer, with the figures it is based on', () => {
  reportRuns()
  expect(tracker.findingsAt(world.now)).toBeDefined()
  expect(logged).toMatchInlineSnapshot(`
    [
      {
        "beside": "later/*/0",
        "event": "interference-found",
        "kind": "normal/*/0",
        "runs": 8,
        "slowDown": 2,
        "term": 3,
        "workers": 4,
      },
      {
        "beside": "later/two/0",
        "event": "interference-found",
        "kind": "normal/two/0",
        "runs": 8,
        "slowDown": 2,
        "term": 3,
        "workers": 4,
      },
    ]
  `)
  tracker.findingsAt(world.now + 2_000)
  expect(logged).toHaveLength(2)
  tracker.findingsAt(world.now + 8_000_000)
  expect(logged.slice(2)).toMatchInlineSnapshot(`
    [
      {
        "beside": "later/*/0",
        "event": "interference-gone",
        "kind": "normal/*/0",
        "term": 3,
      },
      {
        "beside": "later/two/0",
        "event": "interference-gone",
        "kind": "normal/two/0",
        "term": 3,
      },
    ]
  `)
})

test('the metrics list the pairs, and none once they are gone', async () => {
  const registry = new Registry()
  registerInterferenceMetrics(registry, () => tracker.slowDowns)
  reportRuns()
  tracker.findingsAt(world.now)
  expect(await registry.metrics()).toMatchInlineSnapshot(`
    "# HELP bramleyflow_control_interference_slow_down Factor on the time of tasks of a kind beside tasks of another kind, where it is known
    # TYPE bramleyflow_control_interference_slow_down gauge
    bramleyflow_control_interference_slow_down{kind="normal/*/0",beside="later/*/0"} 2
    bramleyflow_control_interference_slow_down{kind="normal/two/0",beside="later/two/0"} 2

    # HELP bramleyflow_control_interference_runs Runs from which this factor is known
    # TYPE bramleyflow_control_interference_runs gauge
    bramleyflow_control_interference_runs{kind="normal/*/0",beside="later/*/0"} 8
    bramleyflow_control_interference_runs{kind="normal/two/0",beside="later/two/0"} 8
    "
  `)
  tracker.clear()
  expect(await registry.metrics()).not.toContain('kind=')
})

test('a new leader knows nothing, and learns anew', () => {
  reportRuns()
  expect(tracker.findingsAt(world.now)).toBeDefined()
  tracker.clear()
  expect(tracker.findingsAt(world.now + 2_000)).toBeUndefined()
  reportRuns()
  expect(tracker.findingsAt(world.now + 2_000)).toBeDefined()
})

test('runs of a lost incarnation are forgotten, so that its successor begins with none', () => {
  const key: RunKey = { job: 'slowed', step: 0, task: 0, attempt: 1 }
  tracker.update('lost@1', 'host-x', [status(key, 10)], world.now)
  expect(tracker.listedIncarnations).toBe(1)
  tracker.findingsAt(world.now)
  expect(tracker.listedIncarnations).toBe(0)
})

test('the reports of agents reach the tracker, and its findings the view of the fleet', () => {
  const supervisors = Supervisors.create({
    head: () => world.state,
    committed: () => world.state,
    term: () => 3,
    now: () => world.now,
    submit: async () => { await Promise.resolve() },
    confirm: async () => await Promise.resolve(false),
    controlHosts: () => [],
    relays: () => [],
    leaseMilliseconds: 4_000,
    stopMilliseconds: 50,
    interference: tracker,
    log: () => {}
  })
  const call = Object.assign(new EventEmitter(), { write: () => true, end: () => {} }) as unknown as SupervisorCall
  supervisors.attach(call)
  const { host, labels, ...life } = worker('a')
  call.emit('data', WorkerReport.fromPartial({ host, sequence: 1, clock: 1_000, life: { ...life, labels: [...labels] }, runs: [status({ job: 'slowed', step: 0, task: 0, attempt: 1 }, 10)] }))
  expect(tracker.listedIncarnations).toBe(1)
  expect(supervisors.fleetView().interference).toBeUndefined()
  reportRuns()
  world.now += 2_000
  expect(supervisors.fleetView().interference?.all).toHaveLength(2)
})
