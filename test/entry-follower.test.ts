import { createHash } from 'node:crypto'
import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { Refusal } from '../src/core/verdict'
import { JobFollower } from '../src/entry/job-follower'
import { BrokenCall, type Leader } from '../src/client'
import { JobReport, Verdict, type JobRequest } from '../src/wire/index'
import { refusalOf } from './fake-entry-control'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** What happens to one request on its way to the leader and back. */
enum Happening {
  NeverConnected = 'never-connected',
  LostOnTheWay = 'lost-on-the-way',
  LostAnswer = 'lost-answer',
  /** Arrives at the log only after the next request was answered. */
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

/** A log that accepts by identifier, behind a connection to which generated things happen. */
class ModelLeader {
  accepted = false
  reported = false
  submitsAfterReport = 0
  identifiers = new Set<string>()
  private delayed = false

  constructor (private readonly happenings: Happening[]) {}

  async * stream (_method: unknown, request: { job?: JobRequest, identifier?: string }): AsyncGenerator<any, void> {
    const submit = request.job !== undefined
    this.identifiers.add(request.job?.identifier ?? request.identifier ?? '')
    if (submit && this.reported) this.submitsAfterReport += 1
    const arrivesNow = this.delayed
    try {
      yield * this.serve(this.happenings.shift() ?? Happening.Served, submit)
    } finally {
      if (arrivesNow) this.accepted = true
    }
  }

  private async * serve (happening: Happening, submit: boolean): AsyncGenerator<JobReport, void> {
    if (happening === Happening.NeverConnected) throw new BrokenCall('', false)
    if (happening === Happening.LostOnTheWay) throw new BrokenCall('', true)
    if (happening === Happening.Delayed) {
      this.delayed ||= submit
      throw new BrokenCall('', true)
    }
    if (happening === Happening.Refused && submit && !this.accepted) {
      yield JobReport.fromPartial({ identifier, refusal: refusalOf('queue-full') })
      return
    }
    this.accepted ||= submit
    if (happening === Happening.LostAnswer) throw new BrokenCall('', true)
    if (happening === Happening.OtherJob) yield finished('another answer', 'another answer', 'other')
    this.reported = true
    yield queued
    if (happening === Happening.BrokenAfterFirst) throw new BrokenCall('', true)
    yield finished(happening === Happening.Damaged ? 'half' : OWN_ANSWER, OWN_ANSWER)
  }

  /** What is still on its way arrives in the end. */
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

async function submit (happenings: Happening[]): Promise<{ model: ModelLeader, answer?: string, refusal?: Refusal }> {
  const model = new ModelLeader([...happenings])
  const follower = JobFollower.create({ leader: model as unknown as Leader, signal: new AbortController().signal })
  const result = await settled(follower.submit(request, true))
  model.settle()
  return result.isOk()
    ? { model, answer: Buffer.from(result.value.answer?.body ?? '').toString() }
    : { model, refusal: result.error }
}

const happeningLists = fc.array(fc.constantFrom(...Object.values(Happening)), { maxLength: 12 })

test('under generated breaks, delays and refusals every outcome is truthful', async () => {
  await fc.assert(fc.asyncProperty(happeningLists, async (happenings) => {
    const { model, answer, refusal } = await submit(happenings)
    if (refusal === undefined) expect(answer).toBe(OWN_ANSWER)
    if (refusal?.verdict === 'not-run') expect(model.accepted).toBe(false)
    if (refusal?.verdict === 'ran') expect(model.accepted).toBe(true)
    expect([...model.identifiers]).toEqual([identifier])
    expect(model.submitsAfterReport).toBe(0)
  }), { seed: 6, numRuns: 2_000 })
})

test('a leader that is never reached gives not run; one that is lost each time gives may have run', async () => {
  const never = await submit(Array.from({ length: 200 }, () => Happening.NeverConnected))
  const lost = await submit(Array.from({ length: 200 }, () => Happening.LostOnTheWay))
  expect([never.refusal?.verdict, lost.refusal?.verdict]).toEqual(['not-run', 'may-have-run'])
})
