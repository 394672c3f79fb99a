import { randomUUID } from 'node:crypto'
import type { ChannelCredentials } from '@grpc/grpc-js'
import { KnownHosts } from '../client/known-hosts'
import { passesFence } from '../core/fencing'
import type { WorkerDescription } from '../core/worker'
import type { AgentMessage, AttemptKey, ControlMessage, Heartbeat } from '../wire'
import { attemptName, EffectKind, EventKind, Phase, StopMode, type AgentEvent, type AgentState, type Attempt, type Effect } from './attempt'
import { initialAgentState, reduce } from './attempt-reducer'
import { Backoff } from './backoff'
import { LEASE_MARGIN_SHARE, noLease, recordHeartbeat, renew, stopTasksAt, type Lease } from './lease'
import { holdsResources } from './free-capacity'
import { decodeCommand, reportMessage, reservationMessage } from './messages'
import { PlatformClient } from './platform'
import { ReportReason } from './report'
import { ControlStream, type StreamProtocol } from './control-stream'
import { HEALTH_CHECK_CONNECTIONS, TargetClient } from './target'
import { healthyTarget, isHealthCheckDue, recordHealthCheck, type TargetHealth } from './target-health'

/** Upper limit of connections to the worker's target, one of them for health checks. */
export const DEFAULT_CONNECTIONS = 64
/** Interval at which the tasks of the platform are listed while there are any, in milliseconds. */
const PLATFORM_POLL_MILLISECONDS = 1_000
/** Number of such intervals between two requests for resource usage. */
const POLLS_PER_USAGE = 5
/** Time for which a reservation waits for its start, in milliseconds; control drops its own far sooner. */
const RESERVATION_TIMEOUT_MILLISECONDS = 10_000
/** Interval at which unacknowledged reports are sent again, in milliseconds. */
const RESEND_MILLISECONDS = 3_000
/** Interval at which the remaining attempts are checked while the agent stops, in milliseconds. */
const STOP_CHECK_MILLISECONDS = 20
/**
 * Heartbeat intervals without a message after which the stream to the leader is closed. With a lease of four heartbeats, of
 * which a quarter is margin, more than one interval remains to find the next leader before tasks must be stopped.
 */
const MAX_SILENT_HEARTBEATS = 1.75
/** Share of the stop's deadline for tasks to finish by themselves. */
const FINISH_SHARE = 0.5
/** Share of the stop's deadline for checkpoints. */
const CHECKPOINT_SHARE = 0.25
/** Limits of the delay between attempts to reach the platform at the start, in milliseconds. */
const PLATFORM_RETRY_MILLISECONDS = { initial: 20, max: 1_000 }

/** The options of an agent. */
export interface AgentOptions {
  readonly worker: WorkerDescription
  /** Control hosts, as address and port. */
  readonly controlHosts: readonly string[]
  readonly platformUrl: string
  readonly targetUrl: string
  /** Upper limit of connections to the target, by default {@link DEFAULT_CONNECTIONS}. */
  readonly connections?: number
  /** Credentials for control; plain text if not given. */
  readonly credentials?: ChannelCredentials
  /** Writes a log line. */
  readonly log?: (event: string, fields: Readonly<Record<string, unknown>>) => void
}

/** An attempt that was not finished and acknowledged when its agent stopped. */
export interface UnfinishedAttempt extends AttemptKey {
  readonly phase: Phase
  /** Control has not acknowledged the report. */
  readonly unreported: boolean
}

/** The result of a stop. */
export interface StopReport {
  readonly left: readonly UnfinishedAttempt[]
}

type EffectHandlers = { readonly [Kind in EffectKind]: (effect: Extract<Effect, { kind: Kind }>) => void }

const attachProtocol: StreamProtocol<AgentMessage, ControlMessage> = {
  open: (client) => client.attach(),
  refusalOf: ({ message }) => message?.$case === 'refusal' ? message.value : undefined
}

/** The agent beside one target: holds the worker's lease, runs attempts, and is the only client of the target. */
export class Agent {
  private state: AgentState
  private lease: Lease = noLease
  private term = 0
  private configuration = 0
  private welcomed = false
  private heartbeatMilliseconds = 0
  private stopping = false
  private ended = false
  private peakMemoryMegabytes: Readonly<Record<string, number>> = {}
  private usedProcessors = 0
  private polls = 0
  private targetHealth: TargetHealth = healthyTarget
  private readonly stream: ControlStream<AgentMessage, ControlMessage>
  private readonly platform: PlatformClient
  private readonly target: TargetClient
  /** Commands that wait for the platform's list of tasks, by attempt. */
  private readonly pendingCommands = new Map<string, AgentEvent[]>()
  private readonly graceTimers = new Map<string, NodeJS.Timeout>()
  private heartbeatTimer?: NodeJS.Timeout
  private leaseTimer?: NodeJS.Timeout
  private pollTimer?: NodeJS.Timeout
  private resendTimer?: NodeJS.Timeout

  private constructor (private readonly options: AgentOptions) {
    const connections = Math.max(1, (options.connections ?? DEFAULT_CONNECTIONS) - HEALTH_CHECK_CONNECTIONS)
    const { accelerators, slots } = options.worker
    this.state = initialAgentState(randomUUID(), { accelerators, slots, connections })
    this.platform = PlatformClient.create(options.platformUrl)
    this.target = TargetClient.create(options.targetUrl, connections)
    this.stream = ControlStream.create(KnownHosts.createAtRandom(options.controlHosts), attachProtocol, {
      opened: () => { this.announce() },
      received: (message) => { this.handleMessage(message) },
      closed: () => { this.handleDisconnect() }
    }, options.credentials)
  }

  /**
   * Creates an agent without starting it.
   * @param options - see {@link AgentOptions}
   * @returns the agent
   */
  static create (options: AgentOptions): Agent {
    return new Agent(options)
  }

  /** Lists the tasks of the platform, then connects to the leader. */
  start (): void {
    this.pollTimer = setInterval(() => { this.poll() }, PLATFORM_POLL_MILLISECONDS)
    this.resendTimer = setInterval(() => { this.resend() }, RESEND_MILLISECONDS)
    this.connectToPlatform()
  }

  /**
   * Drains and stops the agent: refuses new work, lets tasks finish, checkpoints or stops them after half of the time,
   * delivers reports, then closes all connections. A second call closes them at once.
   * @param deadlineMilliseconds - time-out of the whole stop
   * @returns the attempts that were not finished and acknowledged
   */
  async stop (deadlineMilliseconds: number): Promise<StopReport> {
    const isRepeated = this.stopping
    this.stopping = true
    if (!isRepeated) await this.drain(performance.now(), deadlineMilliseconds)
    const left = this.remainingAttempts()
    this.log('stopped', { left })
    await this.end()
    return { left }
  }

  private async drain (startedAt: number, deadlineMilliseconds: number): Promise<void> {
    this.dispatch({ kind: EventKind.Leave })
    this.stream.send({ message: { $case: 'leaving', value: { deadlineMilliseconds } } })
    this.log('leaving', { deadlineMilliseconds, left: this.remainingAttempts().length })
    const stopAt = startedAt + deadlineMilliseconds * FINISH_SHARE
    const graceMilliseconds = deadlineMilliseconds * CHECKPOINT_SHARE
    let stopRequested = false
    while (this.state.attempts.size > 0 && performance.now() - startedAt < deadlineMilliseconds && !this.ended) {
      if (!stopRequested && performance.now() >= stopAt) {
        stopRequested = true
        this.dispatch({ kind: EventKind.StopAll, reason: ReportReason.Leaving, graceMilliseconds })
      }
      await new Promise((resolve) => { setTimeout(resolve, STOP_CHECK_MILLISECONDS) })
    }
  }

  private async end (): Promise<void> {
    if (this.ended) return
    this.ended = true
    for (const timer of [this.heartbeatTimer, this.pollTimer, this.resendTimer]) clearInterval(timer)
    for (const timer of [this.leaseTimer, ...this.graceTimers.values()]) clearTimeout(timer)
    await this.stream.stop()
    await Promise.all([this.platform.close(), this.target.close()])
  }

  private remainingAttempts (): readonly UnfinishedAttempt[] {
    return [...this.state.attempts.values()].map(({ key, phase, acknowledged }) => ({ ...key, phase, unreported: !acknowledged }))
  }

  /**
   * The agent announces itself only after the platform has listed its tasks: an earlier process may have left some running.
   */
  private async connectToPlatform (): Promise<void> {
    const backoff = Backoff.create(PLATFORM_RETRY_MILLISECONDS.initial, PLATFORM_RETRY_MILLISECONDS.max)
    while (!this.ended && !await this.refreshTasks()) {
      this.log('platform-silent', {})
      await backoff.wait()
    }
    if (!this.ended) this.stream.start()
  }

  private async refreshTasks (): Promise<boolean> {
    const expectedAttempts = this.attemptsOnPlatform().filter(({ phase }) => phase === Phase.Running).map(({ key }) => attemptName(key))
    const listed = await this.platform.listTasks()
    if (listed === undefined || this.ended) return false
    this.dispatch({ kind: EventKind.PlatformTasksListed, tasks: listed.running, expectedAttempts, overMemory: listed.overMemory })
    return true
  }

  private async checkTarget (): Promise<void> {
    if (!isHealthCheckDue(this.targetHealth, this.target.oldestRequestAge())) return
    const answered = await this.target.checkHealth()
    const before = this.targetHealth
    this.targetHealth = recordHealthCheck(before, answered)
    const { silent } = this.targetHealth
    if (this.ended || silent === before.silent) return
    this.log(silent ? 'target-silent' : 'target-answers', {})
    this.dispatch({ kind: EventKind.TargetHealthChanged, silent })
  }

  private async poll (): Promise<void> {
    this.checkTarget()
    this.dispatch({ kind: EventKind.ReservationsExpire, reservedBefore: Date.now() - RESERVATION_TIMEOUT_MILLISECONDS })
    if (this.attemptsOnPlatform().length === 0 && this.state.orphans.size === 0) return
    if (this.polls++ % POLLS_PER_USAGE === 0) await this.refreshUsage()
    await this.refreshTasks()
  }

  private async refreshUsage (): Promise<void> {
    const usage = await this.platform.usage()
    this.usedProcessors = usage.reduce((sum, { processors }) => sum + processors, 0)
    this.peakMemoryMegabytes = Object.fromEntries(usage.map(({ name, memoryMegabytes }) => [name, Math.max(memoryMegabytes, this.peakMemoryMegabytes[name] ?? 0)]))
  }

  private attemptsOnPlatform (): readonly Attempt[] {
    return [...this.state.attempts.values()].filter((attempt) => attempt.onPlatform)
  }

  private announce (): void {
    const { name, dataCentre, region, rack, accelerators, slots, processors, memoryMegabytes } = this.options.worker
    const held = [...this.state.attempts.values()].filter(({ phase }) => phase !== Phase.Reserved)
    const running = [...held, ...this.state.orphans.values()].map(({ key }) => key)
    const { incarnation, leaving } = this.state
    this.stream.send({
      message: {
        $case: 'announce',
        value: { worker: name, incarnation, region, dataCentre, rack, accelerators, slots, processors, memoryMegabytes, running, leaving }
      }
    })
  }

  private handleDisconnect (): void {
    if (this.welcomed) this.log('disconnected', { term: this.term })
    this.welcomed = false
    this.pendingCommands.clear()
    clearInterval(this.heartbeatTimer)
  }

  /** A host that sends an older term or configuration than one seen before is no longer the leader. */
  private handleMessage (message: ControlMessage): void {
    if (!passesFence({ term: this.term, configuration: this.configuration }, message)) {
      this.log('refused-old-leader', { term: message.term, seen: this.term, configuration: message.configuration })
      this.stream.reconnect()
      return
    }
    this.checkLease()
    this.term = message.term
    this.configuration = message.configuration
    if (message.message?.$case === 'welcome') this.handleWelcome(message.message.value.leaseMilliseconds, message.message.value.heartbeatMilliseconds)
    else if (message.message?.$case === 'renewal') this.handleRenewal(message.message.value.sequence)
    else this.handleCommand(message)
  }

  private handleWelcome (leaseMilliseconds: number, heartbeatMilliseconds: number): void {
    this.welcomed = true
    this.lease = { ...this.lease, durationMilliseconds: leaseMilliseconds }
    this.heartbeatMilliseconds = heartbeatMilliseconds
    this.log('attached', { term: this.term, incarnation: this.state.incarnation })
    this.stream.confirmLeader()
    this.stream.setSilenceTimeout(heartbeatMilliseconds * MAX_SILENT_HEARTBEATS)
    clearInterval(this.heartbeatTimer)
    this.heartbeatTimer = setInterval(() => { this.sendHeartbeat() }, this.heartbeatMilliseconds)
    this.sendHeartbeat()
    if (this.state.leaving) this.stream.send({ message: { $case: 'leaving', value: { deadlineMilliseconds: 0 } } })
    this.resend()
  }

  private sendHeartbeat (): void {
    this.lease = recordHeartbeat(this.lease, performance.now())
    const running = [...this.state.attempts.values()].filter((attempt) => holdsResources(attempt) && attempt.phase !== Phase.Reserved)
    const value: Heartbeat = {
      sequence: this.lease.sequence,
      inForce: this.configuration,
      running: running.length,
      usedProcessors: Math.round(this.usedProcessors),
      usedMemoryMegabytes: Math.round(Object.values(this.peakMemoryMegabytes).reduce((sum, used) => sum + used, 0)),
      attempts: running.map(({ key }) => key)
    }
    this.stream.send({ message: { $case: 'heartbeat', value } })
  }

  private handleRenewal (sequence: number): void {
    this.lease = renew(this.lease, sequence)
    if (performance.now() >= stopTasksAt(this.lease)) return
    if (!this.state.leased) this.dispatch({ kind: EventKind.LeaseGained })
    this.checkLease()
    const names = this.attemptsOnPlatform().map(({ key }) => attemptName(key))
    if (names.length > 0) this.platform.renew(names, this.leaseUntil())
  }

  /**
   * Also called with each message: a stalled process may find its lease expired before its timer has fired, and a timer may
   * fire too early.
   */
  private checkLease (): void {
    if (!this.state.leased) return
    const remaining = stopTasksAt(this.lease) - performance.now()
    clearTimeout(this.leaseTimer)
    if (remaining > 0) { this.leaseTimer = setTimeout(() => { this.checkLease() }, Math.ceil(remaining)); return }
    this.log('lease-ended', { term: this.term })
    this.dispatch({ kind: EventKind.LeaseEnded, graceMilliseconds: this.lease.durationMilliseconds * LEASE_MARGIN_SHARE / 2 })
  }

  /** Returns when the platform ends tasks by itself, in case this process cannot, in milliseconds since the epoch. */
  private leaseUntil (): number {
    return Date.now() + Math.max(0, this.lease.endsAt - performance.now())
  }

  private handleCommand (message: ControlMessage): void {
    const event = decodeCommand(message, Date.now())
    if (event === undefined || !('key' in event)) return
    const name = attemptName(event.key)
    const queue = this.pendingCommands.get(name)
    if (queue !== undefined) queue.push(event)
    else if (event.kind === EventKind.Reserve && event.resources.mask !== 0) this.reserveAfterRefresh(name, event)
    else this.dispatch(event)
  }

  /** Grants accelerators only if they are free in the platform's list too. Later commands for the attempt wait. */
  private async reserveAfterRefresh (name: string, event: AgentEvent): Promise<void> {
    const queue = [event]
    this.pendingCommands.set(name, queue)
    const refreshed = await this.refreshTasks()
    if (this.pendingCommands.get(name) !== queue) return
    this.pendingCommands.delete(name)
    if (!refreshed && 'key' in event) this.send(reservationMessage(event.key, false, ReportReason.PlatformFailed))
    for (const command of refreshed ? queue : queue.slice(1)) this.dispatch(command)
  }

  private dispatch (event: AgentEvent): void {
    const { state, effects } = reduce(this.state, event)
    this.state = state
    for (const effect of effects) this.perform(effect)
  }

  private perform (effect: Effect): void {
    const handle = this.effects[effect.kind] as (effect: Effect) => void
    handle(effect)
  }

  private readonly effects: EffectHandlers = {
    [EffectKind.Reply]: ({ key, granted, reason }) => { this.send(reservationMessage(key, granted, reason)) },
    [EffectKind.StartOnPlatform]: (effect) => { this.startOnPlatform(effect) },
    [EffectKind.CheckpointOnPlatform]: ({ key }) => { this.checkpoint(key) },
    [EffectKind.StopOnPlatform]: ({ key }) => { this.stopOnPlatform(key) },
    [EffectKind.SendToTarget]: (effect) => { this.sendToTarget(effect) },
    [EffectKind.AbortTarget]: ({ key }) => { this.target.abort(key) },
    [EffectKind.SetGrace]: ({ key, milliseconds }) => { this.startGraceTimer(key, milliseconds) },
    [EffectKind.Report]: ({ key, report }) => {
      const { outcome, verdict, reason } = report
      this.log('reported', { ...key, outcome, verdict, reason })
      this.send(reportMessage(key, report, this.peakMemoryMegabytes[attemptName(key)] ?? 0))
    }
  }

  private async startOnPlatform ({ key, resources }: Extract<Effect, { kind: EffectKind.StartOnPlatform }>): Promise<void> {
    const started = await this.platform.start(key, resources, this.leaseUntil())
    if (this.ended) return
    this.dispatch(started.match<AgentEvent>(
      () => ({ kind: EventKind.PlatformStarted, key, now: Date.now() }),
      (verdict) => ({ kind: EventKind.PlatformRefused, key, verdict })
    ))
  }

  private async checkpoint (key: AttemptKey): Promise<void> {
    const isWanted = (): boolean => {
      const attempt = this.state.attempts.get(attemptName(key))
      return attempt?.phase === Phase.Stopping && attempt.report === undefined
    }
    if (await this.platform.checkpoint(key, isWanted)) this.handlePlatformEnd(key, StopMode.Checkpoint)
    else if (!this.ended) this.dispatch({ kind: EventKind.GraceExpired, key })
  }

  private async stopOnPlatform (key: AttemptKey): Promise<void> {
    if (await this.platform.stop(key)) this.handlePlatformEnd(key, StopMode.Stop)
  }

  private handlePlatformEnd (key: AttemptKey, mode: StopMode): void {
    if (this.ended) return
    clearTimeout(this.graceTimers.get(attemptName(key)))
    this.graceTimers.delete(attemptName(key))
    this.dispatch({ kind: EventKind.PlatformEnded, key, mode })
  }

  private async sendToTarget ({ key, payload, deadline, answerBytesLimit }: Extract<Effect, { kind: EffectKind.SendToTarget }>): Promise<void> {
    const timeoutMilliseconds = deadline === 0 ? 0 : Math.max(1, deadline - Date.now())
    const answer = await this.target.send({ key, payload, timeoutMilliseconds, answerBytesLimit })
    if (this.ended) return
    this.dispatch(answer.match<AgentEvent>(
      (content) => ({ kind: EventKind.RequestAnswered, key, answer: content }),
      (failure) => ({ kind: EventKind.RequestFailed, key, ...failure })
    ))
  }

  private startGraceTimer (key: AttemptKey, milliseconds: number): void {
    const name = attemptName(key)
    clearTimeout(this.graceTimers.get(name))
    this.graceTimers.set(name, setTimeout(() => {
      this.graceTimers.delete(name)
      this.dispatch({ kind: EventKind.GraceExpired, key })
    }, milliseconds))
  }

  private resend (): void {
    for (const { key, phase, report, acknowledged } of this.state.attempts.values()) {
      if (phase !== Phase.Ended || report === undefined || acknowledged) continue
      this.send(reportMessage(key, report, this.peakMemoryMegabytes[attemptName(key)] ?? 0))
    }
  }

  /** Sends a message unless the leader has not yet welcomed the agent; the welcome sends reports again. */
  private send (message: AgentMessage): void {
    if (this.welcomed) this.stream.send(message)
  }

  private log (event: string, fields: Readonly<Record<string, unknown>>): void {
    this.options.log?.(event, { worker: this.options.worker.name, ...fields })
  }
}
