/**
 * Supervises the tasks of one worker: carries the leader's orders to it, renews its lease as the leader grants it, and
 * reports what runs and what has ended. It keeps nothing that the worker could not tell again.
 */
import type { ChannelCredentials } from '@grpc/grpc-js'
import type { KnownHosts } from '../client/known-hosts'
import { runName, type RunKey } from '../core/steps/run'
import { WorkerReport, type StartOrder, type WorkerOrders } from '../wire'
import { acknowledge, change, emptyTable, endsToReport, forget, RunPhase, takeLists, track, type RunTable, type TrackedRun } from './run-table'
import { ControlStream, type StreamProtocol } from './stream'
import { OrderOutcome, OrderRefusal, type OrderAnswer, type OrderContext, type TaskHost, type WorkerSighting } from './task-host'

/** Milliseconds between two reports where nothing changes. */
const REPORT_MILLISECONDS = 500
/** Milliseconds without orders after which the leader counts as gone: two answers are missing. */
const SILENCE_MILLISECONDS = 1_200
/** Longest time that a look waits for an end, in milliseconds; progress is as old as that at most. */
const LOOK_MILLISECONDS = 700
/** Pause before an order or a look is sent again, in milliseconds. */
const RETRY_MILLISECONDS = 60
/** Pause before an order is sent again that was refused for a higher fencing token, in milliseconds. */
const REFUSED_MILLISECONDS = 300
/** Pause between looks while control has not recorded an end that is listed, in milliseconds. */
const UNRECORDED_MILLISECONDS = 60
/** Times that an unanswered start is revoked at the next incarnation before that is announced. */
const REVOKE_TRIES = 3

/** What a supervisor is started with. */
export interface SupervisorOptions {
  /** Name of this host. */
  readonly host: string
  readonly hosts: KnownHosts
  readonly worker: TaskHost
  readonly credentials?: ChannelCredentials
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void
}

const superviseProtocol: StreamProtocol<WorkerReport, WorkerOrders> = {
  open: (client) => client.supervise(),
  refusalOf: ({ refusal }) => refusal
}

/** The worker's present incarnation. */
interface Life {
  readonly sighting: WorkerSighting
  leaving: boolean
  clock: number
  leaseUntil: number
  table: RunTable
  readonly payloads: Map<string, StartOrder>
  /** Runs whose stop was answered. */
  readonly stopped: Set<string>
  /** Runs that an order is under way for. */
  readonly busy: Set<string>
  /** Acknowledged ends that the worker was told of; less than none before the first look. */
  looked: number
}

/** The agent beside a worker that runs tasks of jobs of steps. */
export class Supervisor {
  private life?: Life
  private adopting = false
  private readonly gone = new Set<string>()
  private readonly stream: ControlStream<WorkerReport, WorkerOrders>
  private term = 0
  private sequence = 0
  private reportTimer?: NodeJS.Timeout
  private reportDue = false
  private wakeLook?: () => void
  private ended = false

  private constructor (private readonly options: SupervisorOptions) {
    this.stream = ControlStream.create(options.hosts, superviseProtocol, {
      opened: () => { this.report() },
      received: (orders) => { this.receive(orders) },
      closed: () => { options.log('control-lost', { term: this.term }) }
    }, options.credentials)
  }

  /**
   * Makes a supervisor that does nothing yet.
   * @param options - see {@link SupervisorOptions}
   * @returns the supervisor
   */
  static create (options: SupervisorOptions): Supervisor {
    return new Supervisor(options)
  }

  /** Looks for the leader and begins to report. */
  start (): void {
    this.reportTimer = setInterval(() => { this.report() }, REPORT_MILLISECONDS)
    this.stream.start()
    void this.lookAgain()
  }

  /** Ends the reports; what runs goes on under its lease until this host, or control, acts on it again. */
  async stop (): Promise<void> {
    this.ended = true
    clearInterval(this.reportTimer)
    this.wakeLook?.()
    await this.stream.stop()
    await this.options.worker.close()
  }

  /**
   * Takes what the worker says of itself. Late words of an earlier incarnation change nothing.
   * @param sighting - what it says
   */
  seen (sighting: WorkerSighting): void {
    const { life } = this
    if (life === undefined || life.sighting.incarnation !== sighting.incarnation) { void this.adopt(sighting); return }
    life.clock = Math.max(life.clock, sighting.clock)
    if (!sighting.leaving || life.leaving) return
    life.leaving = true
    this.options.log('worker-leaving', { incarnation: sighting.incarnation })
    this.report()
  }

  /**
   * Takes the worker's word that an incarnation is over.
   * @param worker - the name it went by
   */
  left (worker: string): void {
    const { life } = this
    if (life?.sighting.worker !== worker) return
    this.options.log('worker-left', { incarnation: life.sighting.incarnation })
    this.life = undefined
    this.gone.add(life.sighting.incarnation)
    this.report()
  }

  /** An order of the earlier incarnation that may still be on its way is revoked before the next one is announced. */
  private async adopt (sighting: WorkerSighting): Promise<void> {
    const { life } = this
    if (this.adopting || this.gone.has(sighting.incarnation) || (life !== undefined && sighting.bornAt < life.sighting.bornAt)) return
    this.adopting = true
    const next: Life = {
      sighting, leaving: sighting.leaving, clock: sighting.clock, leaseUntil: 0, table: emptyTable, payloads: new Map(), stopped: new Set(), busy: new Set(), looked: -1
    }
    if (life !== undefined) {
      this.gone.add(life.sighting.incarnation)
      for (const run of life.table.runs.values()) if (run.uncertain) await this.revoke(next, run.key)
    }
    this.life = next
    this.adopting = false
    this.options.log('worker-seen', { incarnation: sighting.incarnation, service: sighting.service, rack: sighting.rack, address: sighting.address })
    this.report()
    this.wakeLook?.()
  }

  private async revoke (life: Life, key: RunKey): Promise<void> {
    for (let tries = 0; tries < REVOKE_TRIES; tries++) {
      const { outcome } = await this.options.worker.stop(this.context(life), key)
      if (outcome === OrderOutcome.Done) return
    }
    this.options.log('revoke-unanswered', { run: runName(key) })
  }

  private report (): void {
    if (this.ended || this.reportDue) return
    this.reportDue = true
    setImmediate(() => {
      this.reportDue = false
      if (!this.ended) this.stream.send(this.reportNow())
    })
  }

  private reportNow (): WorkerReport {
    const { life } = this
    this.sequence += 1
    const { host } = this.options
    const gone = [...this.gone].slice(-8)
    if (life === undefined) return WorkerReport.fromPartial({ host, sequence: this.sequence, gone })
    const { worker, incarnation, service, dataCentre, rack, labels, processors, memoryMegabytes, accelerators } = life.sighting
    const runs = [...life.table.runs.values()].filter(({ phase }) => phase !== RunPhase.NotStarted)
    return WorkerReport.fromPartial({
      host,
      sequence: this.sequence,
      life: { worker, incarnation, service, dataCentre, rack, labels: [...labels], processors, memoryMegabytes, accelerators, leaving: life.leaving },
      clock: life.clock,
      runs: runs.map(({ key, listed, percent, checkpoint }) => ({ key, running: listed, percent, checkpoint })),
      ends: endsToReport(life.table),
      gone
    })
  }

  private receive (orders: WorkerOrders): void {
    if (orders.term < this.term) { this.stream.drop(); return }
    if (orders.term > this.term) this.options.log('control-found', { term: orders.term })
    this.term = orders.term
    this.stream.settle()
    this.stream.expectMessageEvery(SILENCE_MILLISECONDS)
    this.options.hosts.learn(orders.controlHosts)
    const { life } = this
    if (life === undefined || orders.incarnation !== life.sighting.incarnation) return
    life.leaseUntil = Math.max(life.leaseUntil, orders.leaseUntil)
    life.table = acknowledge(life.table, orders.acknowledged)
    for (const order of orders.starts) this.takeStart(life, order)
    for (const key of orders.stops) this.takeStop(life, key)
    this.wakeLook?.()
  }

  private takeStart (life: Life, order: StartOrder): void {
    const { key } = order
    if (key === undefined || life.table.runs.has(runName(key))) return
    life.table = track(life.table, key, RunPhase.Starting)
    life.payloads.set(runName(key), order)
    void this.startRun(life, key)
  }

  private takeStop (life: Life, key: RunKey): void {
    const run = life.table.runs.get(runName(key))
    if (run?.phase === RunPhase.NotStarted) { this.drop(life, key); return }
    life.table = change(track(life.table, key, RunPhase.Stopping), key, { phase: RunPhase.Stopping })
    void this.stopRun(life, key)
  }

  private drop (life: Life, key: RunKey): void {
    life.table = forget(life.table, key)
    life.payloads.delete(runName(key))
    life.stopped.delete(runName(key))
  }

  /** Sent until there is an answer: the worker takes the same run only once. */
  private async startRun (life: Life, key: RunKey): Promise<void> {
    const name = runName(key)
    while (this.life === life && life.table.runs.get(name)?.phase === RunPhase.Starting) {
      const order = life.payloads.get(name)
      if (order === undefined) return
      if (life.leaving) { this.settle(life, key); return }
      if (life.leaseUntil === 0) { await pause(RETRY_MILLISECONDS); continue }
      const { payload, checkpoint } = order
      const answer = await this.options.worker.start(this.context(life), { key, payload, checkpoint, leaseUntil: life.leaseUntil })
      if (this.life !== life) return
      this.hear(life, answer)
      if (this.started(life, key, answer)) return
      await pause(RETRY_MILLISECONDS)
    }
  }

  /** Returns whether the start needs no other try. */
  private started (life: Life, key: RunKey, { outcome, refusal }: OrderAnswer): boolean {
    const run = life.table.runs.get(runName(key))
    if (run === undefined) return true
    if (outcome === OrderOutcome.Done) {
      if (run.phase === RunPhase.Starting) life.table = change(life.table, key, { phase: RunPhase.Running, listed: true, uncertain: false })
      this.report()
      this.wakeLook?.()
      return true
    }
    if (outcome === OrderOutcome.Refused) { this.settle(life, key, refusal); return true }
    if (outcome === OrderOutcome.Unknown) life.table = change(life.table, key, { uncertain: true })
    return false
  }

  /** A refusal proves that nothing runs only where no earlier order is still on its way. */
  private settle (life: Life, key: RunKey, refusal?: OrderRefusal): void {
    const uncertain = life.table.runs.get(runName(key))?.uncertain === true || refusal === OrderRefusal.EndedBefore
    this.options.log('start-refused', { run: runName(key), refusal: refusal ?? 'leaving', uncertain })
    life.table = change(life.table, key, { phase: uncertain ? RunPhase.Stopping : RunPhase.NotStarted })
    if (uncertain) void this.stopRun(life, key)
    this.report()
  }

  /** Sent until there is an answer; then the lists tell whether the run ended or never began. */
  private async stopRun (life: Life, key: RunKey): Promise<void> {
    const name = runName(key)
    if (life.busy.has(name) || life.stopped.has(name)) return
    life.busy.add(name)
    while (this.life === life && life.table.runs.get(name)?.phase === RunPhase.Stopping) {
      const answer = await this.options.worker.stop(this.context(life), key)
      this.hear(life, answer)
      if (answer.outcome === OrderOutcome.Done) { life.stopped.add(name); break }
      await pause(answer.outcome === OrderOutcome.Refused ? REFUSED_MILLISECONDS : RETRY_MILLISECONDS)
    }
    life.busy.delete(name)
    this.wakeLook?.()
  }

  private hear (life: Life, { clock }: OrderAnswer): void {
    life.clock = Math.max(life.clock, clock)
  }

  private async lookAgain (): Promise<void> {
    while (!this.ended) {
      const { life } = this
      if (life === undefined || !this.needsLook(life)) { await this.nextChange(REPORT_MILLISECONDS); continue }
      await this.lookOnce(life)
    }
  }

  private needsLook (life: Life): boolean {
    return life.looked < life.table.acknowledged || life.table.runs.size > 0 || life.table.ends.size > 0
  }

  private async lookOnce (life: Life): Promise<void> {
    const settled = new Set(life.stopped)
    const { acknowledged } = life.table
    const unrecorded = life.table.ends.size > 0
    const waiting = [...life.table.runs.values()].some(({ phase }) => phase !== RunPhase.Running)
    const waitMilliseconds = unrecorded || waiting || life.table.runs.size === 0 ? 0 : LOOK_MILLISECONDS
    const lists = await this.options.worker.look(this.context(life), { acknowledged, leaseUntil: life.leaseUntil, waitMilliseconds })
    if (this.life !== life) return
    if (typeof lists === 'string') { await this.nextChange(RETRY_MILLISECONDS); return }
    life.looked = acknowledged
    life.clock = Math.max(life.clock, lists.clock)
    const before = life.table
    life.table = takeLists(before, lists, settled)
    this.carryOn(life)
    if (differs(before, life.table)) this.report()
    if (unrecorded || waiting) await this.nextChange(UNRECORDED_MILLISECONDS)
  }

  /** Stops what the lists showed to need it. */
  private carryOn (life: Life): void {
    for (const run of life.table.runs.values()) if (run.phase === RunPhase.Stopping) void this.stopRun(life, run.key)
  }

  private nextChange (milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, milliseconds)
      this.wakeLook = () => { clearTimeout(timer); resolve() }
    })
  }

  private context ({ sighting }: Life): OrderContext {
    const { worker, address, bornAt } = sighting
    return { worker, address, bornAt, fencingToken: this.term }
  }
}

function differs (before: RunTable, after: RunTable): boolean {
  if (before.ends.size !== after.ends.size || before.runs.size !== after.runs.size) return true
  return [...after.runs].some(([name, run]) => phaseOf(before.runs.get(name)) !== phaseOf(run))
}

function phaseOf (run: TrackedRun | undefined): string {
  return run === undefined ? '' : `${run.phase} ${run.listed}`
}

async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}
