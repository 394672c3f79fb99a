import type { ServerDuplexStream } from '@grpc/grpc-js'
import {
  AttemptOutcome, EffectKind, hasEnded, JobState, memoryNeeded, Reason, Section, TransactionKind,
  type AgentEffect, type Job, type State, type Transaction
} from '../core/index'
import * as wire from '../wire/index'
import { fromWireContent, fromWireVerdict, notLeaderRefusal } from './convert'

/** The server side of an agent's `attach` stream. */
export type AgentCall = ServerDuplexStream<wire.AgentMessage, wire.ControlMessage>

/** Lease of an agent: how long it may keep running work after the leader's last message, in milliseconds. */
export const AGENT_LEASE_MILLISECONDS = 4_000
/** Interval between an agent's heartbeats, in milliseconds. */
export const AGENT_HEARTBEAT_MILLISECONDS = 1_000
/** Time after the end of a lease at which its worker counts as lost; allows for different clock rates and for a late stop. */
const LEASE_MARGIN_MILLISECONDS = 1_000
/** Time since the last message of a worker after which it gets no new work, in milliseconds. */
const SILENT_AFTER_MILLISECONDS = 2_500
/** The reason that an agent gives when it refuses a reservation because its target does not respond. */
const TARGET_SILENT = 'target-silent'
/** Time for which a worker gets no new work after its target did not respond, in milliseconds. */
const SILENT_TARGET_PAUSE_MILLISECONDS = 2_000
/** Time between the request to checkpoint and the stop where the attempt sets none, in milliseconds. */
const STOP_GRACE_MILLISECONDS = 2_000

/** What the agent streams need of the control host. */
export interface AgentsContext {
  /** The state with all proposed entries applied. */
  readonly head: () => State
  readonly committed: () => State
  readonly term: () => number
  readonly submit: (transaction: Transaction) => Promise<unknown>
  /** Milliseconds since the epoch, monotonic while this host leads. */
  readonly now: () => number
  readonly log: (event: string, fields: object) => void
}

interface AgentStream {
  readonly call: AgentCall
  readonly worker: string
  readonly incarnation: string
  lastMessageAt: number
  /** Until then the worker gets no new work because its target did not respond; milliseconds since the epoch. */
  avoidUntil: number
  /** The configuration number that the agent last reported as in force. */
  inForce: number
}

/** The outcomes that agents report other than `finished`, each with the reason that applies where the agent gives none that is known. */
const attemptOutcomes: { readonly [outcome: string]: { readonly outcome: AttemptOutcome, readonly reason: Reason } } = {
  'not-started': { outcome: AttemptOutcome.NotStarted, reason: Reason.NotStarted },
  failed: { outcome: AttemptOutcome.Failed, reason: Reason.TargetFailed },
  stopped: { outcome: AttemptOutcome.Stopped, reason: Reason.Stopped },
  checkpointed: { outcome: AttemptOutcome.Checkpointed, reason: Reason.Checkpointed }
}

/** Reasons for which a failed attempt counts as lost instead, so that it is held against neither the worker nor the job. */
const nonFailureReasons: ReadonlySet<Reason> = new Set([
  Reason.AgentRestarted, Reason.LeaseLost, Reason.Leaving, Reason.NoReservation, Reason.OtherIncarnation, Reason.StoppedByControl, Reason.WasRefusedBefore
])

/** The leader's end of all agent streams: leases, reservations, commands and reports. */
export class Agents {
  private readonly streamsByWorker = new Map<string, AgentStream>()
  private readonly streamsByCall = new Map<AgentCall, AgentStream>()
  /** Workers that granted their reservation, by attempt, until all members have. */
  private readonly grantingWorkers = new Map<string, Set<string>>()
  /** When each worker's last message came, also where its stream has ended. */
  private readonly lastMessageTimes = new Map<string, number>()
  private leadingSince = 0

  private constructor (private readonly context: AgentsContext) {}

  /**
   * Creates the leader's end, without streams.
   * @param context - access to the control host
   * @returns the new object
   */
  static create (context: AgentsContext): Agents {
    return new Agents(context)
  }

  /** Starts a term as leader: no worker counts as lost until a full lease has passed from now on. */
  beginLeading (now: number): void {
    this.leadingSince = now
    this.grantingWorkers.clear()
  }

  /** Ends all streams and refers the agents to the next leader. */
  endLeading (leader: string | undefined): void {
    for (const stream of this.streamsByWorker.values()) {
      stream.call.write(notLeaderMessage(leader))
      stream.call.end()
    }
    this.streamsByWorker.clear()
    this.streamsByCall.clear()
    this.grantingWorkers.clear()
  }

  /** Handles a new stream of an agent. */
  attach (call: AgentCall): void {
    call.on('data', (message: wire.AgentMessage) => { this.handleMessage(call, message) })
    const remove = (): void => { this.removeStream(call) }
    call.on('end', () => { remove(); call.end() })
    call.on('error', remove)
    call.on('cancelled', remove)
  }

  /** Sends a command to an agent; without a stream the command is dropped, and the agent is brought up to date when it announces itself again. */
  sendCommand (effect: AgentEffect): void {
    const message = this.commandBuilders[effect.kind](effect)
    const stream = this.streamsByWorker.get(effect.worker)
    if (stream !== undefined && message !== undefined) this.send(stream, message)
  }

  /** Sends the new configuration number to all agents, and the limits where they changed: agents use no other section. */
  pushConfiguration (changed: readonly Section[]): void {
    const update = this.configurationUpdate(changed.includes(Section.Limits))
    for (const stream of this.streamsByWorker.values()) this.send(stream, { $case: 'update', value: update })
  }

  /** Returns a transaction for each worker whose lease has expired, which records the worker as lost. */
  expiredLeases (now: number): Transaction[] {
    const maxSilence = AGENT_LEASE_MILLISECONDS + LEASE_MARGIN_MILLISECONDS
    const lost: Transaction[] = []
    for (const worker of this.context.head().workers.values()) {
      if (!worker.present) continue
      const lastMessageAt = Math.max(this.streamsByWorker.get(worker.name)?.lastMessageAt ?? this.lastMessageTimes.get(worker.name) ?? 0, this.leadingSince)
      if (lastMessageAt + maxSilence < now) lost.push({ kind: TransactionKind.LoseWorker, at: now, worker: worker.name, incarnation: worker.incarnation })
    }
    return lost
  }

  /** Workers that get no new work now: without a stream, with a silent target, or with an overdue heartbeat. */
  silentWorkers (now: number): ReadonlySet<string> {
    const silent = new Set<string>()
    for (const [worker, lastMessageAt] of this.lastMessageTimes) {
      const stream = this.streamsByWorker.get(worker)
      if (stream === undefined || stream.avoidUntil > now || lastMessageAt + SILENT_AFTER_MILLISECONDS < now) silent.add(worker)
    }
    return silent
  }

  /** The configuration number that each agent reported as in force. */
  configurationsInForce (): Array<{ readonly process: string, readonly inForce: number }> {
    return [...this.streamsByWorker.values()].map((stream) => ({ process: `agent ${stream.worker}`, inForce: stream.inForce }))
  }

  private handleMessage (call: AgentCall, envelope: wire.AgentMessage): void {
    const { message } = envelope
    if (message === undefined) return
    if (message.$case === 'announce') { this.handleAnnounce(call, message.value); return }
    const stream = this.streamsByCall.get(call)
    if (stream === undefined) return
    stream.lastMessageAt = this.context.now()
    this.lastMessageTimes.set(stream.worker, stream.lastMessageAt)
    this.handlers[message.$case](stream, message as never)
  }

  private readonly handlers: { readonly [Kind in Exclude<AgentMessageKind, 'announce'>]: (stream: AgentStream, message: AgentMessageCase<Kind>) => void } = {
    heartbeat: (stream, { value: heartbeat }) => {
      stream.inForce = heartbeat.inForce
      this.send(stream, { $case: 'renewal', value: { sequence: heartbeat.sequence } })
    },
    reservation: (stream, { value: reservation }) => { this.handleReservationReply(stream, reservation) },
    report: (stream, { value: report }) => { this.handleReport(stream, report) },
    leaving: (stream) => { this.submit({ kind: TransactionKind.LeaveWorker, at: this.context.now(), worker: stream.worker }) }
  }

  private handleAnnounce (call: AgentCall, announce: wire.Announce): void {
    const earlier = this.streamsByWorker.get(announce.worker)
    if (earlier !== undefined && earlier.call !== call) earlier.call.end()
    const stream: AgentStream = { call, worker: announce.worker, incarnation: announce.incarnation, lastMessageAt: this.context.now(), avoidUntil: 0, inForce: 0 }
    this.streamsByWorker.set(announce.worker, stream)
    this.streamsByCall.set(call, stream)
    this.lastMessageTimes.set(announce.worker, stream.lastMessageAt)
    const welcome = { leaseMilliseconds: AGENT_LEASE_MILLISECONDS, heartbeatMilliseconds: AGENT_HEARTBEAT_MILLISECONDS }
    this.send(stream, { $case: 'welcome', value: welcome })
    this.send(stream, { $case: 'update', value: this.configurationUpdate(true) })
    const { worker: name, region, dataCentre, rack, accelerators, slots, processors, memoryMegabytes } = announce
    this.submit({
      kind: TransactionKind.AnnounceWorker,
      at: stream.lastMessageAt,
      worker: { name, region, dataCentre, rack, accelerators, slots, processors, memoryMegabytes },
      incarnation: announce.incarnation,
      leaving: announce.leaving,
      running: announce.running
    })
  }

  private handleReservationReply (stream: AgentStream, { key, granted, reason }: wire.ReservationReply): void {
    const job = key === undefined ? undefined : this.context.head().jobs.get(key.job)
    if (key === undefined || job?.state !== JobState.Reserved || job.attempt?.number !== key.attempt) return
    if (!granted) {
      if (reason === TARGET_SILENT) stream.avoidUntil = this.context.now() + SILENT_TARGET_PAUSE_MILLISECONDS
      this.submit({ kind: TransactionKind.ReleaseJob, at: this.context.now(), ...key, reason: Reason.MemberRefused })
      return
    }
    const name = `${key.job}.${key.attempt}`
    const grantedBy = this.grantingWorkers.get(name) ?? new Set()
    this.grantingWorkers.set(name, grantedBy.add(stream.worker))
    if (!job.attempt.members.every((member) => grantedBy.has(member.worker))) return
    this.grantingWorkers.delete(name)
    this.submit({ kind: TransactionKind.StartJob, at: this.context.now(), ...key })
  }

  private handleReport (stream: AgentStream, report: wire.AttemptReport): void {
    const { key, answer } = report
    if (key === undefined) return
    const at = this.context.now()
    const content = report.outcome === 'finished' && answer !== undefined ? fromWireContent(answer) : undefined
    if (content !== undefined) {
      this.submit({ kind: TransactionKind.FinishJob, at, ...key, worker: stream.worker, answer: content })
      return
    }
    const { outcome, reason } = attemptOutcomes[report.outcome] ?? { outcome: AttemptOutcome.Failed, reason: Reason.TargetFailed }
    const endReason = Object.values(Reason).find((candidate) => candidate === report.reason) ?? reason
    this.submit({
      kind: TransactionKind.EndAttempt,
      at,
      ...key,
      worker: stream.worker,
      outcome: outcome === AttemptOutcome.Failed && nonFailureReasons.has(endReason) ? AttemptOutcome.Lost : outcome,
      verdict: fromWireVerdict(report.verdict),
      reason: endReason,
      usedMemory: report.usedMemoryMegabytes
    })
  }

  private readonly commandBuilders: { readonly [Kind in AgentEffect['kind']]: (effect: AgentEffect) => ControlMessageCase | undefined } = {
    [EffectKind.Reserve]: (effect) => this.reserveCommand(effect),
    [EffectKind.Release]: ({ job, attempt }) => ({ $case: 'release', value: { key: { job, attempt } } }),
    [EffectKind.Start]: (effect) => this.startCommand(effect),
    [EffectKind.Stop]: (effect) => this.stopCommand(effect),
    [EffectKind.Acknowledge]: ({ job, attempt }) => ({ $case: 'acknowledge', value: { key: { job, attempt } } })
  }

  private reserveCommand (effect: AgentEffect): ControlMessageCase | undefined {
    const job = jobOfCurrentAttempt(this.context.head(), effect)
    const member = job?.attempt?.members.find((candidate) => candidate.worker === effect.worker)
    if (job === undefined || member === undefined || job.state !== JobState.Reserved) return undefined
    const { shape, account } = job.specification
    return {
      $case: 'reserve',
      value: {
        key: { job: effect.job, attempt: effect.attempt },
        acceleratorMask: member.mask,
        slots: shape.slots,
        processors: shape.processors,
        memoryMegabytes: memoryNeeded(job),
        account,
        incarnation: member.incarnation
      }
    }
  }

  private startCommand (effect: AgentEffect): ControlMessageCase | undefined {
    const state = this.context.committed()
    const job = jobOfCurrentAttempt(state, effect)
    const member = job?.attempt?.members.find((candidate) => candidate.worker === effect.worker)
    if (job === undefined || member === undefined || hasEnded(job) || job.attempt?.startedAt === 0) return undefined
    const { specification } = job
    const lead = job.attempt?.members[0]?.worker === effect.worker
    const { base64, contentType } = specification.payload
    return {
      $case: 'start',
      value: {
        key: { job: effect.job, attempt: effect.attempt },
        lead,
        idempotent: specification.idempotent,
        checkpointable: specification.checkpointable,
        declaredSeconds: specification.declaredSeconds,
        deadline: specification.deadline,
        payload: lead ? { contentType, body: Buffer.from(base64, 'base64'), digest: Buffer.alloc(0) } : undefined,
        answerBytesLimit: state.configuration.document.limits.answerBytes,
        workers: job.attempt?.members.map((one) => one.worker) ?? [],
        incarnation: member.incarnation
      }
    }
  }

  private stopCommand (effect: AgentEffect): ControlMessageCase {
    const job = this.context.committed().jobs.get(effect.job)
    const checkpoint = job !== undefined && job.specification.checkpointable && !job.cancelRequested && !hasEnded(job)
    return {
      $case: 'stop',
      value: {
        key: { job: effect.job, attempt: effect.attempt },
        mode: checkpoint ? wire.StopMode.CHECKPOINT : wire.StopMode.STOP,
        graceMilliseconds: job?.attempt?.stopGrace || STOP_GRACE_MILLISECONDS
      }
    }
  }

  private configurationUpdate (withLimits: boolean): wire.ConfigurationUpdate {
    const { number, document } = this.context.committed().configuration
    return {
      term: this.context.term(),
      number,
      sections: [],
      sectionsJson: withLimits ? JSON.stringify({ limits: document.limits }) : '',
      whole: false,
      validMilliseconds: AGENT_LEASE_MILLISECONDS,
      refusal: undefined,
      controlHosts: [],
      documentNumber: 0
    }
  }

  private send (stream: AgentStream, message: ControlMessageCase): void {
    stream.call.write({ term: this.context.term(), configuration: this.context.committed().configuration.number, message })
  }

  private submit (transaction: Transaction): void {
    this.context.submit(transaction).catch((error: Error) => { this.context.log('submit-failed', { message: error.message }) })
  }

  private removeStream (call: AgentCall): void {
    const stream = this.streamsByCall.get(call)
    this.streamsByCall.delete(call)
    if (stream !== undefined && this.streamsByWorker.get(stream.worker) === stream) this.streamsByWorker.delete(stream.worker)
  }
}

type AgentMessageKind = NonNullable<wire.AgentMessage['message']>['$case']
type AgentMessageCase<Kind extends AgentMessageKind> = Extract<NonNullable<wire.AgentMessage['message']>, { $case: Kind }>
type ControlMessageCase = NonNullable<wire.ControlMessage['message']>

/**
 * Makes the message by which a host that does not lead refuses an agent's stream.
 * @param leader - the leader's address, where it is known
 * @returns the message
 */
export function notLeaderMessage (leader: string | undefined): wire.ControlMessage {
  return { term: 0, configuration: 0, message: { $case: 'refusal', value: notLeaderRefusal(leader) } }
}

function jobOfCurrentAttempt (state: State, effect: AgentEffect): Job | undefined {
  const job = state.jobs.get(effect.job)
  return job?.attempt?.number === effect.attempt ? job : undefined
}
