/**
 * Callers, entries and the control hosts of a queue without sockets: the real client, handlers and state machine on a
 * simulated log and network. Hosts freeze, leadership moves, messages are held up, and the document changes meanwhile.
 */
import { ok } from 'neverthrow'
import { vi } from 'vitest'
import { BrokenCall, digestOf, KnownHosts, LeaderClient, QueueClient, QueueOperation, type Channels } from '../src/client'
import { notLeaderRefusal } from '../src/control/convert'
import { Machine, type EntryPosition } from '../src/control/machine'
import { handleQueueRequest, replaceDocument, type QueueContext } from '../src/control/queue-calls'
import { AdmissionControl, defaultWaitingLimits, RefusalCode, StepJobState, Verdict, type QueueDocument } from '../src/core/index'
import { Random } from '../measurements/random'
import { ConfirmReply, ControlService, type DocumentRequest, type QueueRequest } from '../src/wire'
import { queueDocument, step } from './steps-fixture'

const CALLER_MILLISECONDS = 3_000
/** Time after which some callers leave, and cancel. */
const PATIENCE_MILLISECONDS = 125
const MAX_TRIES = 4
/** Time in which callers come and faults begin, in milliseconds. */
const FAULTS_MILLISECONDS = 3_000
const addresses = ['a:1', 'b:1', 'c:1']
const keys = ['key-of-one', 'key-of-two'] as const
const silent = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

const after = async (milliseconds: number): Promise<void> => { await new Promise((resolve) => { setTimeout(resolve, milliseconds) }) }

const fullDocument: QueueDocument = {
  ...queueDocument, accounts: queueDocument.accounts.map((account, position) => ({ ...account, keys: [digestOf(keys[position] ?? '')] }))
}
/** Documents that take something away from callers. */
const laterDocuments: readonly QueueDocument[] = [
  { ...fullDocument, accounts: fullDocument.accounts.map((account) => account.name === 'two' ? { ...account, keys: [] } : account) },
  { ...fullDocument, queues: fullDocument.queues.filter(({ name }) => name !== 'normal') }
]

interface Entry extends EntryPosition { readonly data: Uint8Array }

class Host {
  readonly machine: Machine
  private frozen: Promise<void> = Promise.resolve()
  isFrozen = false
  /** Number of committed entries that it has applied. */
  applied = 0
  private readonly admission = AdmissionControl.create(defaultWaitingLimits)

  constructor (private readonly cluster: Cluster) {
    this.machine = Machine.create({
      propose: (data) => ok(cluster.append(this, data)),
      onProposed: () => {},
      onCommitted: () => {},
      decide: () => [],
      schedule: (run) => { setTimeout(() => { void this.awake().then(run) }, 0) },
      onRefusedDecision: () => {}
    })
  }

  async freeze (milliseconds: number): Promise<void> {
    this.isFrozen = true
    this.frozen = after(milliseconds)
    await this.frozen
    this.isFrozen = false
  }

  async awake (): Promise<void> { await this.frozen }

  async handle (method: unknown, request: unknown): Promise<object> {
    if (method === ControlService.queue) return await handleQueueRequest(this.context, request as QueueRequest)
    if (method === ControlService.replaceDocument) return await replaceDocument(this.context, request as DocumentRequest)
    return ConfirmReply.fromPartial(await this.context.confirm() ? {} : { refusal: notLeaderRefusal() })
  }

  /** Applies the entries that were committed meanwhile. */
  catchUp (): void {
    const { log } = this.cluster
    while (this.applied < log.length) {
      const entry = log[this.applied]!
      this.applied += 1
      this.machine.commit(entry, entry.data)
    }
  }

  private get context (): QueueContext {
    return {
      now: () => Date.now(),
      leads: () => this.machine.leads,
      leader: () => '',
      committed: () => this.machine.committed,
      head: () => this.machine.head,
      admission: this.admission,
      countSubmissionRefusal: () => {},
      submit: async (transaction, precondition) => await this.machine.submit(transaction, precondition),
      confirm: async () => {
        await after(this.cluster.random.integer(1, 10))
        return this.cluster.leader === this
      },
      log: () => {}
    }
  }
}

class Cluster {
  /** Committed entries. */
  readonly log: Entry[] = []
  /** Entries of the leader that are not committed yet. */
  private uncommitted: Entry[] = []
  private term = 1
  readonly hosts = new Map<string, Host>()
  leader: Host

  constructor (readonly random: Random) {
    for (const address of addresses) this.hosts.set(address, new Host(this))
    this.leader = this.hosts.get('a:1')!
    this.leader.machine.setLeading(true)
  }

  append (host: Host, data: Uint8Array): EntryPosition {
    const entry = { index: this.log.length + this.uncommitted.length + 1, term: this.term, data }
    // A leader that was replaced without noticing has no quorum.
    if (host !== this.leader) return { index: entry.index, term: 0 }
    this.uncommitted.push(entry)
    setTimeout(() => { if (!host.isFrozen) this.commitUpTo(entry) }, this.random.integer(3, 30))
    return entry
  }

  /** Replaces the leader. Some of its last entries had reached the next one. */
  elect (): void {
    const previous = this.leader
    const surviving = this.uncommitted.slice(0, this.random.integer(0, this.uncommitted.length))
    this.uncommitted = []
    this.log.push(...surviving)
    this.term += 1
    this.leader = this.random.pick([...this.hosts.values()].filter((host) => host !== previous && !host.isFrozen))
    this.deliver()
    this.leader.machine.setLeading(true)
    void previous.awake().then(async () => await after(this.random.integer(1, 200))).then(() => {
      previous.catchUp()
      if (this.leader !== previous) previous.machine.setLeading(false)
    })
  }

  async call (address: string, method: unknown, request: unknown, milliseconds: number): Promise<object> {
    const host = this.hosts.get(address)!
    const exchange = async (): Promise<object> => {
      await after(this.random.chance(0.05) ? this.random.integer(500, 3_000) : this.random.integer(1, 15))
      await host.awake()
      const reply = await host.handle(method, request)
      await host.awake()
      await after(this.random.integer(1, 15))
      return reply
    }
    return await Promise.race([exchange(), after(milliseconds).then(() => new BrokenCall('deadline exceeded', true))])
  }

  private commitUpTo (entry: Entry): void {
    const position = this.uncommitted.indexOf(entry)
    if (position < 0) return
    this.log.push(...this.uncommitted.splice(0, position + 1))
    this.deliver()
  }

  private deliver (): void {
    for (const host of this.hosts.values()) {
      if (host.isFrozen) void host.awake().then(() => { host.catchUp() })
      else host.catchUp()
    }
  }
}

/** What the caller of one job was told. */
interface Caller {
  readonly identifier: string
  readonly verdicts: Verdict[]
  accepted: boolean
  cancelled: boolean
}

/** A simulated deployment with callers. */
export class QueueSimulation {
  readonly callers: Caller[] = []
  private readonly random: Random
  private readonly cluster: Cluster

  constructor (seed: number) {
    this.random = Random.create(seed)
    this.cluster = new Cluster(this.random)
    vi.spyOn(Math, 'random').mockImplementation(() => this.random.fraction())
  }

  /** Number of acknowledged cancellations. */
  get cancelledCount (): number { return this.callers.filter(({ cancelled }) => cancelled).length }
  /** Number of callers that were told at least once that their job may have run. */
  get uncertainCount (): number { return this.callers.filter(({ verdicts }) => verdicts.includes(Verdict.MayHaveRun)).length }

  /** Plays callers and faults for some seconds of simulated time, until nothing is on its way any more. */
  async run (callers: number): Promise<void> {
    const { random } = this
    await vi.advanceTimersByTimeAsync(10)
    await this.installDocument()
    const faults = Array.from({ length: random.integer(1, 2) }, () => random.integer(100, FAULTS_MILLISECONDS))
    for (const [fault, at] of faults.entries()) {
      this.later(at, async () => { await this.replaceLeader() })
      this.later(at + random.integer(0, 400), async () => { await this.newClient().replaceDocument(fault + 2, random.pick(laterDocuments), '') })
    }
    for (let number = 0; number < callers; number++) {
      // Half of the callers come just before a fault, so that their submissions are in progress.
      const at = random.chance(0.5) ? random.integer(0, FAULTS_MILLISECONDS) : random.pick(faults) - random.integer(0, 40)
      this.later(at, async () => { await this.playCaller(`job-${number}`) })
    }
    await vi.advanceTimersByTimeAsync(20_000)
  }

  /** Describes the broken promises, one line each; empty where all were kept. */
  report (): string {
    const { jobs } = this.cluster.leader.machine.committed.steps
    return this.callers.flatMap(({ identifier, accepted, cancelled, verdicts }) => {
      const job = jobs.get(identifier)
      const runs = job !== undefined && job.state !== StepJobState.Cancelled
      return [
        ...job !== undefined && !accepted && verdicts.every((verdict) => verdict === Verdict.NotRun) ? [`${identifier} was refused as not-run and accepted`] : [],
        ...runs && cancelled ? [`the cancelling of ${identifier} was acknowledged and it runs`] : [],
        ...job === undefined && accepted ? [`${identifier} was accepted and is lost`] : []
      ]
    }).join('\n')
  }

  /** The leader freezes, another host takes over, and later it wakes. */
  private async replaceLeader (): Promise<void> {
    void this.cluster.leader.freeze(this.random.integer(500, 4_000))
    await after(this.random.integer(200, 600))
    this.cluster.elect()
  }

  /** Submits a job; again without a clear answer. Some callers leave early and cancel through another entry. */
  private async playCaller (identifier: string): Promise<void> {
    const { random } = this
    const caller: Caller = { identifier, verdicts: [], accepted: false, cancelled: false }
    this.callers.push(caller)
    const request = { host: 'h', path: `/normal/${identifier}`, key: random.pick(keys), timeoutMilliseconds: CALLER_MILLISECONDS }
    if (random.chance(0.3)) {
      // The entry may stand still while it has the submission, and does not know that its caller has left.
      this.later(random.chance(0.5) ? random.integer(0, 5_000) : 0, async () => { await this.submitOnce(caller, request) })
      await after(PATIENCE_MILLISECONDS)
      await this.cancel(caller, request)
      return
    }
    for (let tries = 0; tries < MAX_TRIES && !await this.submitOnce(caller, request); tries++) await after(200)
  }

  /** Returns whether the answer is clear. */
  private async submitOnce (caller: Caller, request: Parameters<QueueClient['checkAddress']>[0]): Promise<boolean> {
    const answer = await this.newClient().callByAddress({ operation: QueueOperation.SUBMIT, job: { payload: '', steps: [step()] }, ...request })
    if (answer.isOk()) caller.accepted = true
    else caller.verdicts.push(answer.error.verdict)
    return answer.isOk() || (answer.error.verdict === Verdict.NotRun && answer.error.code !== RefusalCode.Unavailable)
  }

  private async cancel (caller: Caller, request: Parameters<QueueClient['checkAddress']>[0]): Promise<void> {
    for (let tries = 0; tries < MAX_TRIES && !caller.cancelled; tries++) {
      const answer = await this.newClient().callByAddress({ operation: QueueOperation.CANCEL, ...request })
      caller.cancelled = answer.isOk() || (answer.error.verdict === Verdict.NotRun && answer.error.code === RefusalCode.NotFound)
      await after(200)
    }
  }

  /** The client of another entry. */
  private newClient (): QueueClient {
    const leader = LeaderClient.create(KnownHosts.create(addresses), {} as unknown as Channels, silent)
    vi.spyOn(leader, 'callHost').mockImplementation(async (address, method, request, milliseconds) => await this.cluster.call(address, method, request, milliseconds) as never)
    return QueueClient.create(leader)
  }

  private later (milliseconds: number, run: () => Promise<void>): void {
    setTimeout(() => { void run() }, milliseconds)
  }

  /** Puts the first document in force, however long its calls are held up. */
  private async installDocument (): Promise<void> {
    const isInstalled = (): boolean => this.cluster.leader.machine.committed.steps.document !== undefined
    this.later(0, async () => { while (!isInstalled()) await this.newClient().replaceDocument(1, fullDocument, '') })
    while (!isInstalled()) await vi.advanceTimersByTimeAsync(100)
  }
}
