import { Server, ServerCredentials, type ServerDuplexStream, type UntypedServiceImplementation } from '@grpc/grpc-js'
import {
  ControlService, type AgentMessage, type AttemptKey, type AttemptReport, type ControlMessage, type ReservationReply, type Reserve, type Start
} from '../src/wire'
import { until } from './until'

type Stream = ServerDuplexStream<AgentMessage, ControlMessage>
type Sent = NonNullable<AgentMessage['message']>
type Case = Sent['$case']
type ValueOf<Name extends Case> = Extract<Sent, { $case: Name }>['value']
type Body = NonNullable<ControlMessage['message']>

/** A fake of control for agents. It welcomes them, renews leases and acknowledges reports; a test sends everything else. */
export class FakeControl {
  received: AgentMessage[] = []
  term = 1
  configuration = 1
  leaseMilliseconds = 10_000
  heartbeatMilliseconds = 200
  renewsLeases = true
  acknowledgesReports = true
  /** Sends no messages, as behind a network partition. */
  silent = false
  /** Address to which agents are redirected; empty for none. */
  leader = ''
  streams: Stream[] = []
  address = ''
  private readonly server = new Server()

  static async create (): Promise<FakeControl> {
    const control = new FakeControl()
    control.server.addService(ControlService, { attach: (stream: Stream) => { control.attach(stream) } } as unknown as UntypedServiceImplementation)
    const port = await new Promise<number>((resolve, reject) => {
      control.server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) => { error === null ? resolve(bound) : reject(error) })
    })
    control.address = `127.0.0.1:${port}`
    return control
  }

  close (): void { this.server.forceShutdown() }

  /** Destroys all streams, as a leader that dies. */
  destroyStreams (): void {
    for (const stream of this.streams) stream.destroy()
    this.streams = []
  }

  send (message: Body): void {
    if (!this.silent) this.streams.at(-1)?.write({ term: this.term, configuration: this.configuration, message })
  }

  reserve (key: AttemptKey, fields: Partial<Reserve> = {}): void {
    const value = { key, acceleratorMask: 0, slots: 1, processors: 1, memoryMegabytes: 1, account: 'a', incarnation: this.incarnation, ...fields }
    this.send({ $case: 'reserve', value })
  }

  start (key: AttemptKey, payload: object, fields: Partial<Start> = {}): void {
    const body = Buffer.from(JSON.stringify(payload))
    const value: Start = {
      key,
      lead: true,
      idempotent: false,
      checkpointable: false,
      declaredSeconds: 1,
      deadline: 0,
      payload: { contentType: 'application/json', body, digest: Buffer.alloc(0) },
      answerBytesLimit: 0,
      workers: ['w'],
      incarnation: this.incarnation,
      ...fields
    }
    this.send({ $case: 'start', value })
  }

  async run (key: AttemptKey, payload: object, fields: Partial<Start> = {}, mask = 0): Promise<AttemptReport> {
    this.reserve(key, { acceleratorMask: mask })
    const { granted, reason } = await this.reply(key)
    if (!granted) throw new Error(`refused: ${reason}`)
    this.start(key, payload, fields)
    return await this.report(key)
  }

  get incarnation (): string {
    return this.announcements.at(-1)?.incarnation ?? ''
  }

  get announcements () { return this.of('announce') }
  get reports () { return this.of('report') }

  async attached (): Promise<void> { await until(() => this.of('heartbeat').length > 0) }

  async report (key: AttemptKey): Promise<AttemptReport> {
    return await until(() => this.reports.find((report) => isSameAttempt(report.key, key)))
  }

  async reply (key: AttemptKey): Promise<ReservationReply> {
    return await until(() => this.of('reservation').find((reply) => isSameAttempt(reply.key, key)))
  }

  private of<Name extends Case> (name: Name): Array<ValueOf<Name>> {
    return this.received.flatMap(({ message }) => message?.$case === name ? [message.value as ValueOf<Name>] : [])
  }

  private attach (stream: Stream): void {
    this.streams.push(stream)
    stream.on('error', () => {}).on('end', () => { stream.end() })
    stream.on('data', (message: AgentMessage) => { this.handleMessage(message) })
  }

  private handleMessage ({ message }: AgentMessage): void {
    this.received.push({ message })
    if (message?.$case === 'announce') this.welcome()
    if (message?.$case === 'heartbeat' && this.renewsLeases) this.send({ $case: 'renewal', value: { sequence: message.value.sequence } })
    if (message?.$case === 'report' && this.acknowledgesReports) this.send({ $case: 'acknowledge', value: { key: message.value.key } })
  }

  private welcome (): void {
    const { leaseMilliseconds, heartbeatMilliseconds, leader } = this
    if (leader === '') this.send({ $case: 'welcome', value: { leaseMilliseconds, heartbeatMilliseconds } })
    else {
      this.send({ $case: 'refusal', value: { code: 'not-leader', message: '', verdict: 1, retryCanHelp: true, retryAfterMilliseconds: 0, leader, problems: [] } })
      this.streams.pop()?.end()
    }
  }
}

function isSameAttempt (left: AttemptKey | undefined, right: AttemptKey): boolean {
  return left?.job === right.job && left.attempt === right.attempt
}
