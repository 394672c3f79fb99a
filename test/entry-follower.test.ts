import { createHash } from 'node:crypto'
import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { Refusal } from '../src/core/verdict'
import { JobFollower } from '../src/entry/job-follower'
import { BrokenCall, type LeaderClient } from '../src/client'
import { JobReport, Verdict, type JobRequest } from '../src/wire/index'
import { refusalOf } from './fake-entry-control'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** Fault that is injected into one request to the leader. */
enum Fault {
  NeverConnected = 'never-connected',
  RequestLost = 'request-lost',
  AnswerLost = 'answer-lost',
  /** Reaches the log only after the next request was answered. */
  Delayed = 'delayed',
  Refused = 'refused',
  BrokenAfterFirst = 'broken-after-first',
  OtherJob = 'other-job',
  Damaged = 'damaged',
  Served = 'served'
}

const OWN_ANSWER = 'own answer'
const identifier = 'own'

function finished (body: string, digested = body, identifier = 'own'): JobReport {
  const digest = createHash('sha256').update(digested).digest()
  return JobReport.fromPartial({ identifier, state: 'finished', verdict: Verdict.RAN, answer: { contentType: 'text/plain', body: Buffer.from(body), digest } })
}

const queued = JobReport.fromPartial({ identifier, state: 'queued' })

/** A model of the leader's log, which accepts a job once by its identifier, behind a connection with generated faults. */
class ModelLeader {
  accepted = false
  reported = false
  submitsAfterReport = 0
  identifiers = new Set<string>()
  private delayed = false

  constructor (private readonly faults: Fault[]) {}

  async * stream (_method: unknown, request: { job?: JobRequest, identifier?: string }): AsyncGenerator<any, void> {
    const submit = request.job !== undefined
    this.identifiers.add(request.job?.identifier ?? request.identifier ?? '')
    if (submit && this.reported) this.submitsAfterReport += 1
    const arrivesNow = this.delayed
    try {
      yield * this.serve(this.faults.shift() ?? Fault.Served, submit)
    } finally {
      if (arrivesNow) this.accepted = true
    }
  }

  private async * serve (fault: Fault, submit: boolean): AsyncGenerator<JobReport, void> {
    if (fault === Fault.NeverConnected) throw new BrokenCall('', false)
    if (fault === Fault.RequestLost) throw new BrokenCall('', true)
    if (fault === Fault.Delayed) {
      this.delayed ||= submit
      throw new BrokenCall('', true)
    }
    if (fault === Fault.Refused && submit && !this.accepted) {
      yield JobReport.fromPartial({ identifier, refusal: refusalOf('queue-full') })
      return
    }
    this.accepted ||= submit
    if (fault === Fault.AnswerLost) throw new BrokenCall('', true)
    if (fault === Fault.OtherJob) yield finished('another answer', 'another answer', 'other')
    this.reported = true
    yield queued
    if (fault === Fault.BrokenAfterFirst) throw new BrokenCall('', true)
    yield finished(fault === Fault.Damaged ? 'half' : OWN_ANSWER, OWN_ANSWER)
  }

  /** Delivers the requests that are still delayed. */
  settle (): void {
    this.accepted ||= this.delayed
  }
}

async function settled<Value> (promise: Promise<Value>): Promise<Value> {
  const state = { done: false }
  promise.finally(() => { state.done = true })
  while (!state.done) await vi.advanceTimersByTimeAsync(100)
  return promise
}

const request = { identifier, account: 'hue' } as JobRequest

async function submit (faults: Fault[]): Promise<{ model: ModelLeader, answer?: string, refusal?: Refusal }> {
  const model = new ModelLeader([...faults])
  const follower = JobFollower.create({ leader: model as unknown as LeaderClient, signal: new AbortController().signal })
  const result = await settled(follower.submit(request, true))
  model.settle()
  return result.isOk()
    ? { model, answer: Buffer.from(result.value.answer?.body ?? '').toString() }
    : { model, refusal: result.error }
}

const faultLists = fc.array(fc.constantFrom(...Object.values(Fault)), { maxLength: 12 })

test('under generated connection failures, delays and refusals the verdict never contradicts what the leader accepted', async () => {
  await fc.assert(fc.asyncProperty(faultLists, async (faults) => {
    const { model, answer, refusal } = await submit(faults)
    if (refusal === undefined) expect(answer).toBe(OWN_ANSWER)
    if (refusal?.verdict === 'not-run') expect(model.accepted).toBe(false)
    if (refusal?.verdict === 'ran') expect(model.accepted).toBe(true)
    expect([...model.identifiers]).toEqual([identifier])
    expect(model.submitsAfterReport).toBe(0)
  }), { seed: 6, numRuns: 2_000 })
})

test('without any connection to a leader the verdict is not-run; when every request is lost after sending it is may-have-run', async () => {
  const never = await submit(Array.from({ length: 200 }, () => Fault.NeverConnected))
  const lost = await submit(Array.from({ length: 200 }, () => Fault.RequestLost))
  expect([never.refusal?.verdict, lost.refusal?.verdict]).toEqual(['not-run', 'may-have-run'])
})
