/** The clock that an agent follows: guards against an odd reading after which a sound worker seems to stand still. */
import { expect, test } from 'vitest'
import { recordClock, type FollowedClock } from '../src/agent/worker-clock'

function follow (readings: ReadonlyArray<readonly [clock: number, now: number]>): FollowedClock {
  const followed: FollowedClock = { clock: 1_000, clockReadAt: 0 }
  for (const [clock, now] of readings) recordClock(followed, clock, now)
  return followed
}

test('readings that advance are followed, and older ones are ignored', () => {
  expect(follow([[1_500, 500], [1_200, 600], [2_000, 1_000]])).toMatchObject({ clock: 2_000, clockReadAt: 1_000 })
})

test('a single reading that leaps ahead is not followed, whatever comes after it', () => {
  expect(follow([[4_294_967_296, 100], [1_600, 600]])).toMatchObject({ clock: 1_600, clockReadAt: 600, leap: undefined })
})

test('after a leap that the next reading confirms the clock is followed again', () => {
  expect(follow([[900_000, 100], [900_500, 600]])).toMatchObject({ clock: 900_500, clockReadAt: 600 })
})

test('a host that was suspended for less than a minute is followed at once', () => {
  expect(follow([[55_000, 100]])).toMatchObject({ clock: 55_000, clockReadAt: 100 })
})
