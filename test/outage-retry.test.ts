/** When callers come back while no leader answers, replayed for an outage that is longer than their tries would last at a fixed interval. */
import { expect, test } from 'vitest'
import fc from 'fast-check'
import { retryAfterOutage } from '../src/client/outage-retry'
import { Random } from '../measurements/random'

const OUTAGE_MILLISECONDS = 6_000
const RETRIES = 4
/** A refusal comes after a search for a leader, which is short once the leader has been missing for longer than elections take. */
const ELECTION_MILLISECONDS = 2_000
const LONG_SEARCH_MILLISECONDS = 900
const SHORT_SEARCH_MILLISECONDS = 200
/** Callers return after between half of the time and all of it. */
const MIN_RETURN_SHARE = 0.5

/** When a caller's try first meets a leader, after the start of the outage; undefined where it has used up its tries. */
function servedAt (arrival: number, random: Random, retryAfter: (age: number) => number): number | undefined {
  let now = arrival
  for (let retry = 0; retry <= RETRIES; retry++) {
    now += now < ELECTION_MILLISECONDS ? LONG_SEARCH_MILLISECONDS : SHORT_SEARCH_MILLISECONDS
    if (now >= OUTAGE_MILLISECONDS) return now
    now += retryAfter(now) * (MIN_RETURN_SHARE + (1 - MIN_RETURN_SHARE) * random.fraction())
  }
  return undefined
}

function replay (retryAfter: (age: number, random: number) => number): Array<number | undefined> {
  const random = Random.create(1)
  return Array.from({ length: OUTAGE_MILLISECONDS / 10 }, (_, caller) => servedAt(caller * 10, random, (age) => retryAfter(age, random.fraction())))
}

test('every caller of a six-second outage still has a try left when a leader answers again', () => {
  const served = replay(retryAfterOutage)
  expect(served.filter((at) => at === undefined)).toEqual([])
  expect(Math.max(...served.map((at) => at ?? Infinity)) - OUTAGE_MILLISECONDS).toBeLessThan(5_000)
})

test('with a fixed second many callers of the same outage use up their tries', () => {
  expect(replay(() => 1_000).filter((at) => at === undefined).length).toBeGreaterThan(OUTAGE_MILLISECONDS / 10 / 4)
})

test('callers that are refused at the same time come back at different times', () => {
  expect(new Set([0, 0.25, 0.5, 0.75, 1].map((random) => retryAfterOutage(4_000, random))).size).toBe(5)
})

test('the time is within its bounds and does not fall as an outage lasts', () => {
  fc.assert(fc.property(fc.double({ min: 0, max: 1e6, noNaN: true }), fc.double({ min: 0, max: 1e6, noNaN: true }), fc.double({ min: 0, max: 1, noNaN: true }), (one, other, random) => {
    const [shorter, longer] = [retryAfterOutage(Math.min(one, other), random), retryAfterOutage(Math.max(one, other), random)]
    expect(shorter).toBeGreaterThanOrEqual(1_000)
    expect(longer).toBeLessThanOrEqual(5_000)
    expect(longer).toBeGreaterThanOrEqual(shorter)
  }))
})
