import { createHash } from 'node:crypto'
import { Server, ServerCredentials, type ServerDuplexStream, type ServerWritableStream } from '@grpc/grpc-js'
import { emptyDocument, type Document } from '../src/core/document'
import {
  ConfigurationUpdate, ControlService, DocumentReply, EvacuationList, EvacuationReply, JobReport, QueueReply, Verdict, type ControlServer, type EntryMessage, type JobRequest, type Refusal
} from '../src/wire/index'

export const digestOf = (text: string): string => createHash('sha256').update(text).digest('hex')

/** The log shared by all fake control hosts of a test; stands in for the replicated log. */
export class FakeLog {
  number = 1
  term = 1
  readonly jobs = new Map<string, { readonly job: JobRequest, report: JobReport }>()
  readonly puts: string[] = []
  private readonly listeners = new Set<(identifier: string) => void>()

  constructor (public document: Document = {
    ...emptyDocument,
    clientAccounts: [
      { name: 'hue', share: 1, queuedJobs: 100, runningAccelerators: 8, tokens: [digestOf('hue-token')], whenRemoved: 'finish' as never },
      { name: 'chain', share: 1, queuedJobs: 100, runningAccelerators: 8, tokens: [digestOf('chain-token')], whenRemoved: 'finish' as never }
    ],
    teams: [{ name: 'platform', sections: ['maintenance' as never, 'teams' as never], tokens: [digestOf('platform-token')] }]
  }) {}

  accept (job: JobRequest): JobReport {
    const known = this.jobs.get(job.identifier)
    if (known !== undefined) return known.report
    const report = JobReport.fromPartial({ identifier: job.identifier, account: job.account, state: 'queued', reason: 'submitted', acceptedAt: 1_000 })
    this.jobs.set(job.identifier, { job, report })
    return report
  }

  move (identifier: string, change: Partial<JobReport>): void {
    const known = this.jobs.get(identifier)
    if (known === undefined) throw new Error(`no job ${identifier}`)
    known.report = { ...known.report, ...change }
    for (const listener of [...this.listeners]) listener(identifier)
  }

  finish (identifier: string, body: string): void {
    this.move(identifier, {
      state: 'finished',
      reason: 'answer-stored',
      verdict: Verdict.RAN,
      attempt: 1,
      endedAt: 2_000,
      answer: { contentType: 'text/plain', body: Buffer.from(body), digest: createHash('sha256').update(body).digest() }
    })
  }

  onMove (listener: (identifier: string) => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }
}

export const refusalOf = (code: string, extra: Partial<Refusal> = {}): Refusal =>
  ({ code, message: code, verdict: Verdict.NOT_RUN, retryCanHelp: false, retryAfterMilliseconds: 0, leader: '', problems: [], ...extra })

/** Faults that a test can inject into a fake control host, and counters of its calls. */
export interface FakeBehaviour {
  /** Breaks the stream of the next submission before or after the job is accepted. */
  breakSubmit?: 'before-accept' | 'after-accept'
  refuseSubmit?: Refusal
  validMilliseconds: number
  /** Fails membership changes after they were counted. */
  breakMembers?: boolean
  memberChanges: number
  submits: number
  awaits: number
}

const ended = (report: JobReport): boolean => ['finished', 'failed', 'cancelled'].includes(report.state)

/** A fake control host with a real gRPC server on the loopback interface. */
export class FakeControl {
  address = ''
  /** Address of the leader; this host leads when it is its own address. */
  leader = ''
  readonly behaviour: FakeBehaviour = { validMilliseconds: 5_000, submits: 0, awaits: 0, memberChanges: 0 }
  readonly inForce: number[] = []
  private readonly server = new Server()
  private readonly followers = new Set<ServerDuplexStream<EntryMessage, ConfigurationUpdate>>()

  private constructor (readonly log: FakeLog) {}

  static async create (log: FakeLog, address = '127.0.0.1:0'): Promise<FakeControl> {
    const control = new FakeControl(log)
    control.server.addService(ControlService, control.service())
    const port = await new Promise<number>((resolve, reject) => {
      control.server.bindAsync(address, ServerCredentials.createInsecure(), (error, bound) => error === null ? resolve(bound) : reject(error))
    })
    control.address = `127.0.0.1:${port}`
    control.leader = control.address
    return control
  }

  /** Stops at once and closes every connection. */
  kill (): void {
    this.server.forceShutdown()
  }

  /** Sends the document to all following entries. */
  push (): void {
    for (const stream of this.followers) stream.write(this.update())
  }

  private refusal (): Refusal | undefined {
    return this.leader === this.address ? undefined : refusalOf('not-leader', { leader: this.leader })
  }

  private update (): ConfigurationUpdate {
    return ConfigurationUpdate.fromPartial({
      term: this.log.term, number: this.log.number, sectionsJson: JSON.stringify(this.log.document), whole: true, validMilliseconds: this.behaviour.validMilliseconds
    })
  }

  private follow (stream: ServerDuplexStream<EntryMessage, ConfigurationUpdate>): void {
    const refusal = this.refusal()
    if (refusal !== undefined) {
      stream.write(ConfigurationUpdate.fromPartial({ refusal }))
      stream.end()
      return
    }
    this.followers.add(stream)
    stream.on('data', ({ inForce }: EntryMessage) => { this.inForce.push(inForce) })
    stream.on('cancelled', () => this.followers.delete(stream))
    stream.on('end', () => stream.end())
    stream.write(this.update())
  }

  private report (stream: ServerWritableStream<unknown, JobReport>, identifier: string): void {
    const send = (): void => {
      const report = this.log.jobs.get(identifier)?.report ?? JobReport.fromPartial({ refusal: refusalOf('not-found') })
      stream.write(report)
      if (!ended(report) && report.refusal === undefined) return
      stop()
      stream.end()
    }
    const stop = this.log.onMove((moved) => { if (moved === identifier) send() })
    stream.on('cancelled', stop)
    send()
  }

  private submit (stream: ServerWritableStream<{ job?: JobRequest, wait: boolean }, JobReport>): void {
    this.behaviour.submits += 1
    const { job, wait } = stream.request
    const refusal = this.refusal() ?? this.behaviour.refuseSubmit
    if (refusal !== undefined || job === undefined) {
      stream.write(JobReport.fromPartial({ refusal }))
      stream.end()
      return
    }
    const { breakSubmit } = this.behaviour
    this.behaviour.breakSubmit = undefined
    if (breakSubmit !== 'before-accept') this.log.accept(job)
    if (breakSubmit !== undefined) {
      stream.emit('error', { code: 14, details: 'broken' })
      return
    }
    if (wait) {
      this.report(stream, job.identifier)
      return
    }
    stream.write(this.log.accept(job))
    stream.end()
  }

  private service (): ControlServer {
    const unary = <Request, Reply>(reply: (request: Request) => Reply) =>
      (call: { request: Request }, callback: (error: null, reply: Reply) => void) => callback(null, reply(call.request))
    const configuration = (consequences: string[] = []) => ({
      refusal: this.refusal(),
      number: this.log.number,
      sections: [{ section: 'maintenance', number: this.log.number }],
      documentJson: JSON.stringify(this.log.document),
      consequences,
      digest: 'd'
    })
    return {
      attach: (stream) => stream.end(),
      supervise: (stream) => stream.end(),
      confirm: unary(() => ({ refusal: this.refusal(), controlHosts: [] })),
      queue: unary(() => QueueReply.fromPartial({ refusal: refusalOf('unknown-queue') })),
      replaceDocument: unary(() => DocumentReply.fromPartial({})),
      readDocument: unary(() => DocumentReply.fromPartial({})),
      listEvacuations: unary(() => EvacuationList.fromPartial({})),
      changeEvacuation: unary(() => EvacuationReply.fromPartial({})),
      follow: (stream) => this.follow(stream),
      submit: (stream) => this.submit(stream),
      await: (stream) => {
        this.behaviour.awaits += 1
        const refusal = this.refusal()
        if (refusal === undefined) this.report(stream, stream.request.identifier)
        else {
          stream.write(JobReport.fromPartial({ refusal }))
          stream.end()
        }
      },
      show: unary(({ identifier, account }) => {
        const report = this.log.jobs.get(identifier)?.report
        const hidden = report === undefined || (account !== '' && report.account !== account)
        return this.refusal() !== undefined || hidden
          ? JobReport.fromPartial({ refusal: this.refusal() ?? refusalOf('not-found') })
          : report
      }),
      list: unary(({ account }) => ({
        refusal: this.refusal(),
        jobs: [...this.log.jobs.values()].map(({ report }) => report).filter((report) => account === '' || report.account === account)
      })),
      cancel: unary(({ identifiers }) => {
        for (const identifier of identifiers) {
          if (this.log.jobs.has(identifier)) this.log.move(identifier, { state: 'cancelled', reason: 'cancelled-by-caller', verdict: Verdict.NOT_RUN, endedAt: 3_000 })
        }
        return { refusal: this.refusal(), jobs: identifiers.map((identifier) => this.log.jobs.get(identifier)?.report ?? JobReport.fromPartial({ identifier, refusal: refusalOf('not-found') })) }
      }),
      putConfiguration: unary((request) => {
        if (this.refusal() !== undefined) return configuration()
        const read = request.read.find(({ section }) => section === 'maintenance')?.number
        if (read !== undefined && read !== this.log.number) {
          return { ...configuration(), refusal: refusalOf('conflict', { problems: [{ path: '/maintenance', value: '1', expected: '2' }] }) }
        }
        this.log.puts.push(request.sectionsJson)
        this.log.document = { ...this.log.document, ...JSON.parse(request.sectionsJson) }
        this.log.number += 1
        this.push()
        return configuration()
      }),
      checkConfiguration: unary(() => configuration(['1 guarantee moves'])),
      getConfiguration: unary(() => configuration()),
      status: unary(() => ({
        refusal: this.refusal(),
        identity: 'control-1',
        role: 'leader',
        term: this.log.term,
        leader: this.leader,
        committed: 7,
        configuration: this.log.number,
        members: [{ identity: 'control-1', address: this.address, role: 'voter', match: 7 }],
        laggards: [],
        viewJson: JSON.stringify({ workers: [{ name: 'worker-1', rack: 'r1' }] }),
        followers: this.followers.size
      })),
      changeMembers: (call, callback) => {
        this.behaviour.memberChanges += 1
        if (this.behaviour.breakMembers) callback({ code: 14, details: 'broken' })
        else callback(null, { refusal: this.refusal(), members: [] })
      },
      exportRecord: (stream) => {
        stream.write({ refusal: this.refusal(), lines: ['{"sequence":1}', '{"sequence":2}'] })
        stream.end()
      }
    }
  }
}
