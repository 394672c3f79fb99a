/** Measures the time of one scheduling round for step jobs: `node scripts/tool.mjs measurements/step-decisions.ts`. */
import { apply, initialState, scheduleSteps, StepTransactionKind, type State, type StepSpecification, type Transaction } from '../src/core/index'

const ROUNDS = 9
const TASKS_PER_WORKER = 4
const WAITING_SHARE = 0.3
const WORKERS_PER_RACK = 20
const QUEUES = ['urgent', 'normal', 'later']

const document = {
  queues: QUEUES.map((name, priority) => ({ name, host: 'h', prefix: `/${name}/`, service: 's', priority, mostAttempts: 2, slackFactor: 2, targetLatencyMilliseconds: 500, timeoutMilliseconds: 3_000, public: true })),
  services: [{ name: 's', guardsCapacity: false, standby: false }],
  accounts: [{ name: 'one', keys: [], guaranteedAccelerators: 64 }]
}

function createStep (tasks: number, accelerators: number, gang: boolean, checkpoints: boolean): StepSpecification {
  return { tasks, processors: 4_000, memoryMegabytes: 8_000, accelerators, estimateMilliseconds: 10_000, after: [], gang, sameRack: gang, label: '', dataRack: '', mostPerWorker: 0, checkpoints }
}

function applyTransaction (state: State, transaction: Transaction): State {
  return apply(state, transaction).state
}

/** Creates a full fleet with waiting gangs, some of them urgent and within their guarantee. */
function createFullFleet (workers: number): State {
  let state = applyTransaction(initialState, { kind: StepTransactionKind.ReplaceDocument, at: 1, number: 1, documentJson: JSON.stringify(document), source: '' })
  for (let number = 0; number < workers; number++) {
    const name = `w${String(number).padStart(5, '0')}`
    const rack = `r${Math.floor(number / WORKERS_PER_RACK)}`
    state = applyTransaction(state, { kind: StepTransactionKind.AnnounceIncarnation, at: 1, life: { incarnation: name, worker: name, host: name, service: 's', dataCentre: 'd', rack, labels: ['a', rack], processors: 64_000, memoryMegabytes: 131_072, accelerators: 8 } })
  }
  const submit = (identifier: string, queue: string, steps: StepSpecification[]): void => {
    state = applyTransaction(state, { kind: StepTransactionKind.SubmitSteps, at: 2, identifier, account: 'one', queue, specification: { payload: '', steps } })
  }
  for (let job = 0; job < workers / 4; job++) submit(`run${job}`, 'later', [createStep(4 * TASKS_PER_WORKER, 2, false, job % 2 === 0)])
  for (const decision of scheduleSteps(state.steps, viewAt(3))) state = applyTransaction(state, decision)
  for (let job = 0; job < workers * WAITING_SHARE; job++) submit(`wait${job}`, 'normal', [createStep(8, 4, true, false)])
  for (let job = 0; job < 4; job++) submit(`urgent${job}`, 'urgent', [createStep(2, 8, true, false)])
  return state
}

function viewAt (now: number): Parameters<typeof scheduleSteps>[1] {
  return { now, silent: new Set(), suspects: new Set(), progress: new Map(), complete: false }
}

for (const workers of [11, 60, 300, 1_300]) {
  const state = createFullFleet(workers)
  const times: number[] = []
  let decisions = 0
  for (let round = 0; round < ROUNDS; round++) {
    const startedAt = performance.now()
    decisions = scheduleSteps(state.steps, viewAt(5_000)).length
    times.push(performance.now() - startedAt)
  }
  times.sort((one, other) => one - other)
  const running = state.steps.incarnations.reduce((sum, life) => sum + life.runs.size, 0)
  console.log(JSON.stringify({ workers, running, open: state.steps.open.size, decisions, p50: times[ROUNDS >> 1]?.toFixed(1), worst: times.at(-1)?.toFixed(1) }))
}
