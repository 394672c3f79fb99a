import 'reflect-metadata'
import { NestFactory } from '@nestjs/core'
import { FastifyAdapter, type NestFastifyApplication } from '@nestjs/platform-fastify'
import type { FastifyInstance, FastifyRequest } from 'fastify'
import type { RequestListener, Server } from 'node:http'
import type { Logger } from '../logging'
import { parseAddress, type EntrySettings, type TlsFiles } from '../settings/index'
import { Authenticator } from './authenticator'
import { addAdmission, takesBody } from './admission'
import { connectControl, KnownHosts, type Channels, type ControlConnection, type LeaderClient } from '../client/index'
import { MAX_DATA_CENTRE_NAME_LENGTH } from '../core/steps/index'
import { ConfigurationCopy } from '../core/configuration-copy'
import { parseJson } from '../core/json-text'
import { notRunRefusal, RefusalCode, type Problem, type Refusal } from '../core/verdict'
import { excessOf, HttpLimits, LimitKind, type BodyFailure, type FieldLimits, type RequestLimits, type ServerGuard } from '../http/index'
import { ConfigurationFollower } from './configuration-follower'
import { EntryModule } from './entry-module'
import { FairLimiter } from './fair-limiter'
import { EntryMetrics } from './metrics'
import { OpenRequests } from './open-requests'
import { RefusalError } from './refusal-answer'
import { RefusalFilter } from './refusal-filter'
import { Relay } from './relay'

/** Limit of an encoded part of a path, in bytes: the name of a data centre, with three bytes for each character and three characters for each byte. */
const MAX_PARAMETER_LENGTH = MAX_DATA_CENTRE_NAME_LENGTH * 3 * 3
/** Upper limits on any request; the document sets the limit on submissions. */
const requestLimits: RequestLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMilliseconds: 10_000, idleTimeoutMilliseconds: 72_000 }
const fieldLimits: FieldLimits = { maxValues: 500_000, maxMembers: 400_000, maxDepth: 64 }
/** Share of the connections of the process; less where another server of the process is the one for clients. */
const CONNECTION_SHARE = 0.8
const CONNECTION_SHARE_BESIDE_OTHERS = 0.15
/** Relayed connections, as a share of the same: each takes two descriptors of those that are not for HTTP servers. */
const RELAY_CONNECTION_SHARE = 0.05
/** Time after which a caller may try again whose body was not received, in milliseconds. */
const BODY_RETRY_AFTER_MILLISECONDS = 1_000
/** Submissions in flight to control at the same time, over all accounts. */
const MAX_CONCURRENT_SUBMISSIONS = 256
/** Time allowed for the last answers to be sent after waiting callers were told to use another entry. */
const HANDOVER_TIMEOUT_MILLISECONDS = 1_000

/** Options of an {@link EntryHost}. */
export interface EntryOptions {
  /** Name by which control knows this entry. */
  readonly host: string
  readonly settings: EntrySettings
  readonly controlHosts: readonly string[]
  readonly tls?: TlsFiles
  readonly logger: Logger
  /** The limits of the process; its own by default. */
  readonly limits?: HttpLimits
  /** Called with the number of the queue document in force at each confirmation of a leader. */
  readonly onDocumentNumber?: (number: number) => void
  /** Connections shared with other components of this process; new ones are opened by default. */
  readonly connection?: ControlConnection
}

/** One entry: an HTTP server that forwards requests to the control leader. */
export class EntryHost {
  private application: NestFastifyApplication | undefined
  private followerDone: Promise<void> = Promise.resolve()
  private relay?: Relay
  private readonly limits: HttpLimits
  private readonly metrics: EntryMetrics
  private readonly channels: Channels
  private readonly configuration = ConfigurationCopy.create()
  private readonly openRequests = OpenRequests.create()
  private readonly leader: LeaderClient
  private readonly follower: ConfigurationFollower

  private constructor (private readonly options: EntryOptions) {
    this.limits = options.limits ?? HttpLimits.create({}, options.logger)
    this.metrics = EntryMetrics.create({
      openRequests: () => this.openRequests.count,
      configurationNumber: () => this.configuration.number,
      configurationConfirmed: () => this.configuration.isConfirmed(Date.now()),
      relayedConnections: () => this.relay?.connections ?? 0
    }, this.limits)
    const { hosts, channels, leader } = options.connection ?? connectControl(KnownHosts.create(options.controlHosts), options.logger, options.tls)
    this.channels = channels
    this.leader = leader
    this.follower = ConfigurationFollower.create({
      entry: options.host, hosts, leader: this.leader, channels: this.channels, configuration: this.configuration, logger: options.logger, onDocumentNumber: options.onDocumentNumber, relay: options.settings.relay
    })
  }

  /**
   * Creates an entry.
   * @param options - see {@link EntryOptions}
   * @returns the entry, not yet listening
   */
  static create (options: EntryOptions): EntryHost {
    return new EntryHost(options)
  }

  /** Starts the HTTP server and begins to follow the leader; fails when the address cannot be bound. */
  async start (): Promise<void> {
    const application = await this.createApplication()
    this.application = application
    const { ip, port } = parseAddress(this.options.settings.address)
    await application.listen(port, ip)
    await this.startRelay()
    this.followerDone = this.follower.run()
    this.options.logger.info('entry-listening', { address: this.address })
  }

  /** Whether a leader has confirmed this entry's copy of the document recently enough to decide requests. */
  get ready (): boolean { return this.configuration.isConfirmed(Date.now()) }

  /** The address it listens on; with port 0 in the settings, the port that the system assigned. */
  get address (): string {
    const bound = this.application?.getHttpServer().address()
    const { ip } = parseAddress(this.options.settings.address)
    return typeof bound === 'object' && bound !== null ? `${ip}:${bound.port}` : this.options.settings.address
  }

  /**
   * Stops gracefully: refuses new requests, waits for open ones, and at the deadline tells the remaining callers to use another entry.
   * @param deadlineMilliseconds - how long to wait for open requests
   * @returns one line on what was handed over; empty when all requests ended in time
   */
  async stop (deadlineMilliseconds: number): Promise<readonly string[]> {
    this.openRequests.beginStop()
    await this.openRequests.drain(deadlineMilliseconds)
    const handedOver = this.openRequests.count
    this.openRequests.handOver()
    await this.openRequests.drain(HANDOVER_TIMEOUT_MILLISECONDS)
    this.follower.stop()
    this.relay?.close()
    await this.application?.close()
    await this.followerDone
    this.channels.close()
    this.options.logger.info('entry-stopped', { handedOver })
    return handedOver === 0 ? [] : [`${handedOver} waiting callers were told to fetch their answers from another entry`]
  }

  private async startRelay (): Promise<void> {
    const { settings: { relay: address }, logger } = this.options
    if (address === undefined) return
    const maxConnections = Math.floor(this.limits.limits.connections * RELAY_CONNECTION_SHARE)
    this.relay = await Relay.listen({ address, maxConnections, leader: this.leader, logger, onRefusal: (reason) => { this.metrics.countRelayRefusal(reason) } })
  }

  private async createApplication (): Promise<NestFastifyApplication> {
    const { settings, logger, tls, connection } = this.options
    const connectionShare = connection === undefined ? CONNECTION_SHARE : CONNECTION_SHARE_BESIDE_OTHERS
    const guard = this.limits.guard({ endpoint: 'api', connectionShare, limits: () => requestLimits })
    const limiter = FairLimiter.create({ maxOpenRequestsPerAccount: settings.openRequestsPerAccount, maxConcurrentSubmissions: MAX_CONCURRENT_SUBMISSIONS })
    const { configuration, openRequests, leader, metrics } = this
    const application = await NestFactory.create<NestFastifyApplication>(
      EntryModule.of({ configuration, limiter, leader, metrics, openRequests }), createAdapter(guard, tls), { logger: false, abortOnError: false, bodyParser: false })
    const authenticator = Authenticator.create(settings.bootstrapTokenDigest)
    const server = application.getHttpAdapter().getInstance() as unknown as FastifyInstance
    readJsonBodies(server, guard)
    addAdmission(server, { authenticator, configuration, limiter, metrics, openRequests })
    application.useGlobalFilters(new RefusalFilter(logger))
    await application.init()
    return application
  }
}

/** Replaces Fastify's JSON parser, which silently keeps the last of several fields with the same name. */
function readJsonBodies (server: FastifyInstance, guard: ServerGuard): void {
  server.removeContentTypeParser('application/json')
  server.addContentTypeParser('application/json', async (request: FastifyRequest) => {
    if (!takesBody(request)) return undefined
    const received = await guard.readBody(request.raw)
    if (received.isErr()) throw new RefusalError(refusalOfBody(received.error))
    const excess = excessOf(received.value, fieldLimits)
    if (excess !== undefined) {
      guard.count(LimitKind.BodyFields)
      throw unreadableBody([{ path: '', value: 'the body', expected: excess }])
    }
    return parseJson(Buffer.from(received.value).toString()).match((value) => value, (problems) => { throw unreadableBody(problems) })
  })
}

function unreadableBody (problems: Problem[]): RefusalError {
  return new RefusalError(notRunRefusal(RefusalCode.BadRequest, 'the body cannot be read', 0, problems))
}

/** A request whose body was not received completely never ran. */
function refusalOfBody ({ status, message }: BodyFailure): Refusal {
  if (status === 413) return notRunRefusal(RefusalCode.TooLarge, message, 0, [{ path: '', value: 'the body', expected: 'a smaller body' }])
  return notRunRefusal(RefusalCode.Unavailable, message, BODY_RETRY_AFTER_MILLISECONDS)
}

function createAdapter (guard: ServerGuard, tls: TlsFiles | undefined): FastifyAdapter {
  const tlsOptions = tls === undefined ? undefined : { cert: tls.certificate, key: tls.key }
  const serverFactory = (handler: RequestListener): Server => guard.createServer(handler, tlsOptions)
  return new FastifyAdapter({ serverFactory, routerOptions: { maxParamLength: MAX_PARAMETER_LENGTH }, forceCloseConnections: true, return503OnClosing: false, logger: false })
}
