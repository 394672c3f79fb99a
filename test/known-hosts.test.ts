import { afterEach, expect, test, vi } from 'vitest'
import { KnownHosts } from '../src/client'
import { LeaderClock } from '../src/control/leader-clock'

afterEach(() => { vi.useRealTimers() })

test('hosts that a leader reported come before the seeds, and a silent host is tried last', () => {
  const hosts = KnownHosts.create(['a', 'b'])
  hosts.updateFromLeader(['c', 'b'])
  hosts.updateFromLeader([])
  expect(hosts.all).toEqual(['c', 'b', 'a'])
  hosts.advancePast('c')
  expect(hosts.current).toBe('b')
  hosts.advance()
  hosts.advance()
  expect(hosts.current).toBe('c')
  hosts.replaceSeeds(['d'])
  expect(hosts.all).toEqual(['c', 'b', 'd'])
})

test('the leader\'s clock ignores jumps of the system clock, and never starts before the time of the log', () => {
  vi.useFakeTimers({ toFake: ['performance', 'Date'], now: 1_000_000 })
  const clock = LeaderClock.create()
  clock.begin(1_005_000)
  expect(clock.now()).toBe(1_005_000)
  vi.advanceTimersByTime(250)
  vi.setSystemTime(9_000_000)
  expect(clock.now()).toBe(1_005_250)
  clock.begin(0)
  expect(clock.now()).toBe(9_000_000)
})
