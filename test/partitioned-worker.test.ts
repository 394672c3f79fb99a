/** A worker whose agent has lost its path to the control hosts, while other hosts have not. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, expect, test } from 'vitest'
import type { ClientDuplexStream } from '@grpc/grpc-js'
import { Supervisor } from '../src/agent'
import { Channels, KnownHosts, LeaderClient, QueueClient, QueueOperation } from '../src/client'
import { startDeployedRole } from '../src/command/deployed-roles'
import { ControlHost } from '../src/control'
import { HttpLimits } from '../src/http'
import { checkSettings, Role } from '../src/settings'
import { ControlClient, type WorkerOrders, type WorkerReport } from '../src/wire'
import { freePort } from './platform-fixture'
import { step, queueDocument } from './steps-fixture'
import { FakeWorker, heartbeat } from './supervisor-fixture'
import { until } from './until'

const LEASE_MILLISECONDS = 1_500
/** Longer than a lease with the leader's margins and the time in which a worker ends its runs. */
const PARTITION_MILLISECONDS = 4_500
const [CONTROL_IP, ENTRY_IP] = ['127.0.0.1', '127.0.0.3']
const silent = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

/** A control host, an entry as it is deployed, and an agent whose connections to the control host can be cut. */
class PartitionFixture {
  readonly events: string[] = []
  readonly worker = new FakeWorker()
  private readonly cleanups: Array<() => Promise<unknown>> = []
  private readonly openCalls = new Set<ClientDuplexStream<WorkerReport, WorkerOrders>>()
  private queues!: QueueClient
  private controlPort = 0
  private cut = false

  static async create (): Promise<PartitionFixture> {
    const fixture = new PartitionFixture()
    fixture.controlPort = await freePort()
    const folder = await mkdtemp(join(tmpdir(), 'bramleyflow-'))
    const address = `${CONTROL_IP}:${fixture.controlPort}`
    const log = (event: string): void => { fixture.events.push(event) }
    const control = (await ControlHost.create({ host: 'control', address, folder, voters: [address], workerLeaseMilliseconds: LEASE_MILLISECONDS, log }))._unsafeUnwrap()
    control.start()
    const channels = Channels.create()
    fixture.queues = QueueClient.create(LeaderClient.create(KnownHosts.create([address]), channels, silent))
    fixture.cleanups.push(() => control.stop(), async () => { channels.close(); return await rm(folder, { recursive: true }) })
    await fixture.startEntry()
    fixture.startAgent(address)
    await until(async () => (await fixture.queues.replaceDocument(1, queueDocument, 'source')).isOk())
    return fixture
  }

  private async startEntry (): Promise<void> {
    const settings = checkSettings({
      host: 'entry',
      roles: [Role.Entry],
      region: 'r',
      dataCentre: 'd',
      logLevel: 'silent',
      deployment: {
        ip: ENTRY_IP, innerPorts: [this.controlPort, this.controlPort + 9], seeds: [`${CONTROL_IP}:${this.controlPort}`], founding: false, stopDeadlineSeconds: 3, clients: `${ENTRY_IP}:${await freePort()}`, readiness: `${ENTRY_IP}:${await freePort()}`
      }
    })._unsafeUnwrap()
    const entry = await startDeployedRole[Role.Entry](settings, undefined, HttpLimits.create({}, silent))
    this.cleanups.unshift(() => entry.stop(0))
  }

  private startAgent (control: string): void {
    const supervisor = Supervisor.create({
      host: 'side', hosts: KnownHosts.create([control]), worker: this.worker, protocol: { open: (client) => this.open(client), refusalOf: ({ refusal }) => refusal }, log: () => {}
    })
    supervisor.start()
    let sequence = heartbeat.sequence
    const heartbeats = setInterval(() => {
      sequence += 1
      this.worker.running = this.worker.running.map((run) => ({ ...run, percent: run.percent + 1 }))
      supervisor.handleHeartbeat({ ...heartbeat, accelerators: 8, processors: 64_000, memoryMegabytes: 131_072, clock: performance.now() + 10_000, sequence })
    }, 100)
    this.cleanups.unshift(async () => { clearInterval(heartbeats); await supervisor.stop() })
  }

  /** A connection to the control host itself breaks during the partition. */
  private open (client: ControlClient): ClientDuplexStream<WorkerReport, WorkerOrders> {
    const call = client.supervise()
    if (!client.getChannel().getTarget().endsWith(`${CONTROL_IP}:${this.controlPort}`)) return call
    this.openCalls.add(call)
    if (this.cut) setImmediate(() => { call.cancel() })
    return call
  }

  /** Cuts the agent off from the control host for the given time. */
  async partition (milliseconds: number): Promise<void> {
    this.cut = true
    for (const call of this.openCalls) call.cancel()
    await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
  }

  async submit (identifier: string): Promise<void> {
    const job = { payload: 'text', steps: [step()] }
    const answer = await this.queues.callByName({ operation: QueueOperation.SUBMIT, queue: 'normal', account: 'two', identifier, job, timeoutMilliseconds: 3_000 })
    expect(answer.isOk()).toBe(true)
  }

  async untilStarted (identifier: string): Promise<void> {
    await until(() => this.worker.running.some(({ key }) => key.job === identifier))
  }

  async close (): Promise<void> {
    for (const close of this.cleanups) await close()
  }
}

let fixture: PartitionFixture
afterEach(async () => { await fixture.close() })

test('a worker that the control hosts reach only through an entry keeps its runs and gets new ones', async () => {
  fixture = await PartitionFixture.create()
  await fixture.submit('before')
  await fixture.untilStarted('before')
  await fixture.partition(PARTITION_MILLISECONDS)
  expect(fixture.events.filter((event) => event === 'worker-lost')).toEqual([])
  await fixture.submit('during')
  await fixture.untilStarted('during')
  expect(fixture.worker.calls.filter((call) => !call.startsWith('start'))).toEqual([])
  expect(fixture.worker.running.map(({ key }) => `${key.job} ${key.attempt}`)).toEqual(['before 1', 'during 1'])
}, 20_000)
