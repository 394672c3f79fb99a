import { Verdict } from '../core/verdict'
import { StopMode as WireStopMode, Verdict as WireVerdict, type AgentMessage, type AttemptKey, type ControlMessage } from '../wire'
import { EventKind, StopMode, type AgentEvent } from './attempt'
import type { Report, ReportReason } from './report'

type Payload = NonNullable<ControlMessage['message']>
type Case = Payload['$case']
type ValueOf<Name extends Case> = Extract<Payload, { $case: Name }>['value']
type Conversions = { readonly [Name in Case]?: (value: ValueOf<Name>, now: number) => AgentEvent }

const emptyKey: AttemptKey = { job: '', attempt: 0 }

const conversions: Conversions = {
  reserve: ({ key = emptyKey, acceleratorMask, slots, processors, memoryMegabytes, incarnation }, now) => ({
    kind: EventKind.Reserve, key, incarnation, now, resources: { mask: acceleratorMask, slots, processors, memoryMegabytes }
  }),
  release: ({ key = emptyKey }) => ({ kind: EventKind.Release, key }),
  start: ({ key = emptyKey, incarnation, lead, idempotent, checkpointable, deadline, answerBytesLimit, payload }, now) => ({
    kind: EventKind.Start, key, incarnation, now, order: { lead, idempotent, checkpointable, deadline, answerBytesLimit, payload }
  }),
  stop: ({ key = emptyKey, mode, graceMilliseconds }) => ({
    kind: EventKind.Stop, key, graceMilliseconds, mode: mode === WireStopMode.CHECKPOINT ? StopMode.Checkpoint : StopMode.Stop
  }),
  acknowledge: ({ key = emptyKey }) => ({ kind: EventKind.Acknowledge, key })
}

const wireVerdicts: Readonly<Record<Verdict, WireVerdict>> = {
  [Verdict.NotRun]: WireVerdict.NOT_RUN,
  [Verdict.MayHaveRun]: WireVerdict.MAY_HAVE_RUN,
  [Verdict.Ran]: WireVerdict.RAN
}

/**
 * Converts a command of control to an event.
 * @param message - the message from control
 * @param now - milliseconds since the epoch
 * @returns the event, or undefined if the message is no command for an attempt
 */
export function decodeCommand (message: ControlMessage, now: number): AgentEvent | undefined {
  if (message.message === undefined) return undefined
  const { $case, value } = message.message
  const convert = conversions[$case] as ((value: unknown, now: number) => AgentEvent) | undefined
  return convert?.(value, now)
}

/**
 * Encodes a report.
 * @param key - the attempt
 * @param report - the report
 * @param usedMemoryMegabytes - peak memory usage, 0 if unknown
 * @returns the message
 */
export function reportMessage (key: AttemptKey, report: Report, usedMemoryMegabytes: number): AgentMessage {
  const { outcome, verdict, reason, answer } = report
  return { message: { $case: 'report', value: { key, outcome, verdict: wireVerdicts[verdict], reason, answer, usedMemoryMegabytes } } }
}

/**
 * Encodes the reply to a reservation.
 * @param key - the attempt
 * @param granted - whether the worker made the reservation
 * @param reason - why the reservation was refused
 * @returns the message
 */
export function reservationMessage (key: AttemptKey, granted: boolean, reason: ReportReason): AgentMessage {
  return { message: { $case: 'reservation', value: { key, granted, reason } } }
}
