import 'reflect-metadata'
import { NestFactory } from '@nestjs/core'
import { FastifyAdapter, type NestFastifyApplication } from '@nestjs/platform-fastify'
import type { FastifyInstance } from 'fastify'
import type { Logger } from '../logging'
import { parseAddress, type EntrySettings, type TlsFiles } from '../settings/index'
import { Access } from './access'
import { addAdmission } from './admission'
import { connectControl, KnownHosts, type Channels, type ControlConnection, type Leader } from '../client/index'
import { ConfigurationCopy } from '../core/configuration-copy'
import { parseJson } from '../core/json-text'
import { notRun, RefusalCode } from '../core/verdict'
import { ConfigurationFollower } from './configuration-follower'
import { EntryModule } from './entry-module'
import { FairGate } from './fair-gate'
import { EntryMetrics } from './metrics'
import { OpenRequests } from './open-requests'
import { RefusalError } from './refusal-answer'
import { RefusalFilter } from './refusal-filter'

/** Largest body that is read at all, in bytes; a submission's own limit is in the document. */
const MOST_BODY_BYTES = 4_194_304
/** Submissions on their way to control at once. */
const PASSING_SUBMISSIONS = 256
/** Time for the last answers to leave after callers were handed over, in milliseconds. */
const HAND_OVER_MILLISECONDS = 1_000

/** What an entry is made from. */
export interface EntryOptions {
  /** Names the entry towards control. */
  readonly host: string
  readonly settings: EntrySettings
  readonly controlHosts: readonly string[]
  readonly tls?: TlsFiles
  readonly logger: Logger
  /** Connections that others of this process use as well; made anew by default. */
  readonly connection?: ControlConnection
}

/** One entry: an HTTP server that carries requests to the control leader. */
export class EntryHost {
  private application: NestFastifyApplication | undefined
  private following: Promise<void> = Promise.resolve()
  private readonly channels: Channels
  private readonly copy = ConfigurationCopy.create()
  private readonly open = OpenRequests.create()
  private readonly leader: Leader
  private readonly follower: ConfigurationFollower

  private constructor (private readonly options: EntryOptions) {
    const { hosts, channels, leader } = options.connection ?? connectControl(KnownHosts.create(options.controlHosts), options.logger, options.tls)
    this.channels = channels
    this.leader = leader
    this.follower = ConfigurationFollower.create({
      entry: options.host, hosts, leader: this.leader, channels: this.channels, copy: this.copy, logger: options.logger
    })
  }

  /**
   * Makes an entry.
   * @param options - what it is made from
   * @returns the entry, not yet listening
   */
  static create (options: EntryOptions): EntryHost {
    return new EntryHost(options)
  }

  /** Opens the HTTP server and begins to follow the leader; fails where the address cannot be used. */
  async start (): Promise<void> {
    const application = await this.createApplication()
    this.application = application
    const { ip, port } = parseAddress(this.options.settings.address)
    await application.listen(port, ip)
    this.following = this.follower.run()
    this.options.logger.info('entry-listening', { address: this.address })
  }

  /** Whether a leader has confirmed the copy of the document lately. */
  get ready (): boolean { return this.copy.isConfirmed(Date.now()) }

  /** The address it listens on, with the port that was chosen where the settings say 0. */
  get address (): string {
    const bound = this.application?.getHttpServer().address()
    const { ip } = parseAddress(this.options.settings.address)
    return typeof bound === 'object' && bound !== null ? `${ip}:${bound.port}` : this.options.settings.address
  }

  /**
   * Stops: takes nothing new, lets open requests end, hands the rest over at the deadline.
   * @param deadlineMilliseconds - how long open requests may take
   * @returns what was handed over, one line each; empty after a clean stop
   */
  async stop (deadlineMilliseconds: number): Promise<readonly string[]> {
    this.open.beginStop()
    await this.open.drain(deadlineMilliseconds)
    const left = this.open.count
    this.open.handOver()
    await this.open.drain(HAND_OVER_MILLISECONDS)
    this.follower.stop()
    await this.application?.close()
    await this.following
    this.channels.close()
    this.options.logger.info('entry-stopped', { handedOver: left })
    return left === 0 ? [] : [`${left} waiting callers were told to fetch their answers from another entry`]
  }

  private async createApplication (): Promise<NestFastifyApplication> {
    const { settings, logger, tls } = this.options
    const gate = FairGate.create({ openPerAccount: settings.openRequestsPerAccount, passing: PASSING_SUBMISSIONS })
    const metrics = EntryMetrics.create({
      openRequests: () => this.open.count,
      configurationNumber: () => this.copy.number,
      configurationConfirmed: () => this.copy.isConfirmed(Date.now())
    })
    const { copy, open, leader } = this
    const application = await NestFactory.create<NestFastifyApplication>(
      EntryModule.of({ copy, gate, leader, metrics, open }), adapterFor(tls), { logger: false, abortOnError: false, bodyParser: false })
    const access = Access.create(settings.bootstrapTokenDigest)
    const server = application.getHttpAdapter().getInstance() as unknown as FastifyInstance
    refuseRepeatedFields(server)
    addAdmission(server, { access, copy, gate, metrics, open })
    application.useGlobalFilters(new RefusalFilter(logger))
    await application.init()
    return application
  }
}

/** The library's own parser lets the last of two equal fields win. */
function refuseRepeatedFields (server: FastifyInstance): void {
  server.removeContentTypeParser('application/json')
  server.addContentTypeParser('application/json', { parseAs: 'string', bodyLimit: MOST_BODY_BYTES }, (_request, body, done) => {
    parseJson(body as string).match(
      (value) => { done(null, value) },
      (problems) => { done(new RefusalError(notRun(RefusalCode.BadRequest, 'the body cannot be read', 0, problems))) })
  })
}

function adapterFor (tls: TlsFiles | undefined): FastifyAdapter {
  const options = { bodyLimit: MOST_BODY_BYTES, forceCloseConnections: true, return503OnClosing: false, logger: false }
  if (tls === undefined) return new FastifyAdapter(options)
  return new FastifyAdapter({ ...options, https: { cert: tls.certificate, key: tls.key } })
}
