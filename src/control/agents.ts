import type { ServerDuplexStream } from '@grpc/grpc-js'
import {
  AttemptOutcome, EffectKind, hasEnded, JobState, memoryNeeded, Reason, Section, TransactionKind,
  type AgentEffect, type Job, type State, type Transaction
} from '../core/index'
import * as wire from '../wire/index'
import { fromWireContent, fromWireVerdict, notLeaderRefusal } from './convert'

/** A stream to an agent, from this side. */
export type AgentCall = ServerDuplexStream<wire.AgentMessage, wire.ControlMessage>

/** How long an agent may work without hearing from a leader, in milliseconds. */
export const AGENT_LEASE_MILLISECONDS = 4_000
/** Time between heartbeats of an agent, in milliseconds. */
export const AGENT_HEARTBEAT_MILLISECONDS = 1_000
/** A worker is lost so much after its lease ended: covers clock rates that differ and a late stop. */
const LEASE_MARGIN_MILLISECONDS = 1_000
/** A worker that was not heard of for so long gets no new work, in milliseconds. */
const SILENT_MILLISECONDS = 2_500
/** The reason by which an agent says that its target answers nothing. */
const TARGET_SILENT = 'target-silent'
/** A worker whose target is silent is left alone for so long before it is tried again, in milliseconds. */
const AVOID_MILLISECONDS = 2_000
/** Time between the request to checkpoint and the stop, in milliseconds. */
const STOP_GRACE_MILLISECONDS = 2_000

/** How the agents' streams reach the leader. */
export interface AgentPorts {
  readonly head: () => State
  readonly committed: () => State
  readonly term: () => number
  readonly submit: (transaction: Transaction) => Promise<unknown>
  /** Milliseconds since the epoch, going on steadily while this host leads. */
  readonly now: () => number
  readonly log: (event: string, fields: object) => void
}

interface AgentStream {
  readonly call: AgentCall
  readonly worker: string
  readonly incarnation: string
  heardAt: number
  /** Until then the worker gets no new work, because its agent said that the target is silent; milliseconds since the epoch. */
  avoidUntil: number
  inForce: number
}

/** How an agent names the outcome of an attempt, and why it ended. */
const outcomes: { readonly [outcome: string]: { readonly outcome: AttemptOutcome, readonly reason: Reason } } = {
  'not-started': { outcome: AttemptOutcome.NotStarted, reason: Reason.NotStarted },
  failed: { outcome: AttemptOutcome.Failed, reason: Reason.TargetFailed },
  stopped: { outcome: AttemptOutcome.Stopped, reason: Reason.Stopped },
  checkpointed: { outcome: AttemptOutcome.Checkpointed, reason: Reason.Checkpointed }
}

/** Ends that are nobody's fault: neither the worker nor the job is blamed for them. */
const blamelessReasons: ReadonlySet<Reason> = new Set([
  Reason.AgentRestarted, Reason.LeaseLost, Reason.Leaving, Reason.NoReservation, Reason.OtherIncarnation, Reason.StoppedByControl, Reason.WasRefusedBefore
])

/** The leader's side of all agent streams: leases, reservations, commands and reports. */
export class Agents {
  private readonly streams = new Map<string, AgentStream>()
  private readonly byCall = new Map<AgentCall, AgentStream>()
  private readonly grants = new Map<string, Set<string>>()
  private readonly lastHeard = new Map<string, number>()
  private leadingSince = 0

  private constructor (private readonly ports: AgentPorts) {}

  /**
   * Makes the leader's side with no streams.
   * @param ports - ways to the leader
   * @returns the object
   */
  static create (ports: AgentPorts): Agents {
    return new Agents(ports)
  }

  /** Nothing is lost before a full lease has passed from here on. */
  begin (now: number): void {
    this.leadingSince = now
    this.grants.clear()
  }

  /** Ends all streams: this host does not lead any more. */
  end (leader: string | undefined): void {
    for (const stream of this.streams.values()) {
      stream.call.write(refusalMessage(leader))
      stream.call.end()
    }
    this.streams.clear()
    this.byCall.clear()
    this.grants.clear()
  }

  /** Takes a new stream of an agent. */
  attach (call: AgentCall): void {
    call.on('data', (message: wire.AgentMessage) => { this.receive(call, message) })
    const drop = (): void => { this.drop(call) }
    call.on('end', () => { drop(); call.end() })
    call.on('error', drop)
    call.on('cancelled', drop)
  }

  /** Tells an agent something; without a stream it hears of it when it announces itself again. */
  tell (effect: AgentEffect): void {
    const message = this.commands[effect.kind](effect)
    const stream = this.streams.get(effect.worker)
    if (stream !== undefined && message !== undefined) this.send(stream, message)
  }

  /** Pushes the sections that agents need, and the number to all. */
  pushConfiguration (changed: readonly Section[]): void {
    const update = this.configurationUpdate(changed.includes(Section.Limits))
    for (const stream of this.streams.values()) this.send(stream, { $case: 'update', value: update })
  }

  /** Workers whose lease has run out. */
  overdue (now: number): Transaction[] {
    return this.lostWorkers(now)
  }

  /** Workers that have missed heartbeats and are not lost yet. */
  silent (now: number): ReadonlySet<string> {
    const silent = new Set<string>()
    for (const [worker, heardAt] of this.lastHeard) {
      const stream = this.streams.get(worker)
      if (stream === undefined || stream.avoidUntil > now || heardAt + SILENT_MILLISECONDS < now) silent.add(worker)
    }
    return silent
  }

  /** Processes that do not yet have the newest number in force. */
  inForce (): Array<{ readonly process: string, readonly inForce: number }> {
    return [...this.streams.values()].map((stream) => ({ process: `agent ${stream.worker}`, inForce: stream.inForce }))
  }

  private lostWorkers (now: number): Transaction[] {
    const limit = AGENT_LEASE_MILLISECONDS + LEASE_MARGIN_MILLISECONDS
    const lost: Transaction[] = []
    for (const worker of this.ports.head().workers.values()) {
      if (!worker.present) continue
      const heardAt = Math.max(this.streams.get(worker.name)?.heardAt ?? this.lastHeard.get(worker.name) ?? 0, this.leadingSince)
      if (heardAt + limit < now) lost.push({ kind: TransactionKind.LoseWorker, at: now, worker: worker.name, incarnation: worker.incarnation })
    }
    return lost
  }

  private receive (call: AgentCall, envelope: wire.AgentMessage): void {
    const { message } = envelope
    if (message === undefined) return
    if (message.$case === 'announce') { this.announce(call, message.value); return }
    const stream = this.byCall.get(call)
    if (stream === undefined) return
    stream.heardAt = this.ports.now()
    this.lastHeard.set(stream.worker, stream.heardAt)
    this.handlers[message.$case](stream, message as never)
  }

  private readonly handlers: { readonly [Kind in Exclude<AgentKind, 'announce'>]: (stream: AgentStream, message: AgentCase<Kind>) => void } = {
    heartbeat: (stream, { value: heartbeat }) => {
      stream.inForce = heartbeat.inForce
      this.send(stream, { $case: 'renewal', value: { sequence: heartbeat.sequence } })
    },
    reservation: (stream, { value: reservation }) => { this.reservationReply(stream, reservation) },
    report: (stream, { value: report }) => { this.report(stream, report) },
    leaving: (stream) => { this.submit({ kind: TransactionKind.LeaveWorker, at: this.ports.now(), worker: stream.worker }) }
  }

  private announce (call: AgentCall, announce: wire.Announce): void {
    const earlier = this.streams.get(announce.worker)
    if (earlier !== undefined && earlier.call !== call) earlier.call.end()
    const stream: AgentStream = { call, worker: announce.worker, incarnation: announce.incarnation, heardAt: this.ports.now(), avoidUntil: 0, inForce: 0 }
    this.streams.set(announce.worker, stream)
    this.byCall.set(call, stream)
    this.lastHeard.set(announce.worker, stream.heardAt)
    const welcome = { leaseMilliseconds: AGENT_LEASE_MILLISECONDS, heartbeatMilliseconds: AGENT_HEARTBEAT_MILLISECONDS }
    this.send(stream, { $case: 'welcome', value: welcome })
    this.send(stream, { $case: 'update', value: this.configurationUpdate(true) })
    const { worker: name, region, dataCentre, rack, accelerators, slots, processors, memoryMegabytes } = announce
    this.submit({
      kind: TransactionKind.AnnounceWorker,
      at: stream.heardAt,
      worker: { name, region, dataCentre, rack, accelerators, slots, processors, memoryMegabytes },
      incarnation: announce.incarnation,
      leaving: announce.leaving,
      running: announce.running
    })
  }

  private reservationReply (stream: AgentStream, { key, granted, reason }: wire.ReservationReply): void {
    const job = key === undefined ? undefined : this.ports.head().jobs.get(key.job)
    if (key === undefined || job?.state !== JobState.Reserved || job.attempt?.number !== key.attempt) return
    if (!granted) {
      if (reason === TARGET_SILENT) stream.avoidUntil = this.ports.now() + AVOID_MILLISECONDS
      this.submit({ kind: TransactionKind.ReleaseJob, at: this.ports.now(), ...key, reason: Reason.MemberRefused })
      return
    }
    const name = `${key.job}.${key.attempt}`
    const granting = this.grants.get(name) ?? new Set()
    this.grants.set(name, granting.add(stream.worker))
    if (!job.attempt.members.every((member) => granting.has(member.worker))) return
    this.grants.delete(name)
    this.submit({ kind: TransactionKind.StartJob, at: this.ports.now(), ...key })
  }

  private report (stream: AgentStream, report: wire.AttemptReport): void {
    const { key, answer } = report
    if (key === undefined) return
    const at = this.ports.now()
    const content = report.outcome === 'finished' && answer !== undefined ? fromWireContent(answer) : undefined
    if (content !== undefined) {
      this.submit({ kind: TransactionKind.FinishJob, at, ...key, worker: stream.worker, answer: content })
      return
    }
    const { outcome, reason } = outcomes[report.outcome] ?? { outcome: AttemptOutcome.Failed, reason: Reason.TargetFailed }
    const known = Object.values(Reason).find((candidate) => candidate === report.reason) ?? reason
    this.submit({
      kind: TransactionKind.EndAttempt,
      at,
      ...key,
      worker: stream.worker,
      outcome: outcome === AttemptOutcome.Failed && blamelessReasons.has(known) ? AttemptOutcome.Lost : outcome,
      verdict: fromWireVerdict(report.verdict),
      reason: known,
      usedMemory: report.usedMemoryMegabytes
    })
  }

  private readonly commands: { readonly [Kind in AgentEffect['kind']]: (effect: AgentEffect) => ControlCase | undefined } = {
    [EffectKind.Reserve]: (effect) => this.reserveCommand(effect),
    [EffectKind.Release]: ({ job, attempt }) => ({ $case: 'release', value: { key: { job, attempt } } }),
    [EffectKind.Start]: (effect) => this.startCommand(effect),
    [EffectKind.Stop]: (effect) => this.stopCommand(effect),
    [EffectKind.Acknowledge]: ({ job, attempt }) => ({ $case: 'acknowledge', value: { key: { job, attempt } } })
  }

  private reserveCommand (effect: AgentEffect): ControlCase | undefined {
    const job = currentAttempt(this.ports.head(), effect)
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

  private startCommand (effect: AgentEffect): ControlCase | undefined {
    const state = this.ports.committed()
    const job = currentAttempt(state, effect)
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

  private stopCommand (effect: AgentEffect): ControlCase {
    const job = this.ports.committed().jobs.get(effect.job)
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
    const { number, document } = this.ports.committed().configuration
    return {
      term: this.ports.term(),
      number,
      sections: [],
      sectionsJson: withLimits ? JSON.stringify({ limits: document.limits }) : '',
      whole: false,
      validMilliseconds: AGENT_LEASE_MILLISECONDS,
      refusal: undefined,
      controlHosts: []
    }
  }

  private send (stream: AgentStream, message: ControlCase): void {
    stream.call.write({ term: this.ports.term(), configuration: this.ports.committed().configuration.number, message })
  }

  private submit (transaction: Transaction): void {
    this.ports.submit(transaction).catch((error: Error) => { this.ports.log('submit-failed', { message: error.message }) })
  }

  private drop (call: AgentCall): void {
    const stream = this.byCall.get(call)
    this.byCall.delete(call)
    if (stream !== undefined && this.streams.get(stream.worker) === stream) this.streams.delete(stream.worker)
  }
}

type AgentKind = NonNullable<wire.AgentMessage['message']>['$case']
type AgentCase<Kind extends AgentKind> = Extract<NonNullable<wire.AgentMessage['message']>, { $case: Kind }>
type ControlCase = NonNullable<wire.ControlMessage['message']>

/**
 * What an agent hears from a host that does not lead.
 * @param leader - the leader's address, where it is known
 * @returns the message
 */
export function refusalMessage (leader: string | undefined): wire.ControlMessage {
  return { term: 0, configuration: 0, message: { $case: 'refusal', value: notLeaderRefusal(leader) } }
}

function currentAttempt (state: State, effect: AgentEffect): Job | undefined {
  const job = state.jobs.get(effect.job)
  return job?.attempt?.number === effect.attempt ? job : undefined
}
