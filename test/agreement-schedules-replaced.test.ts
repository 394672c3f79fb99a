import { test } from 'vitest'
import { checkSchedules } from './agreement-schedules'

test('3 hosts agree under generated schedules in which lost hosts are replaced at new addresses', async () => { await checkSchedules(3, 400, 3101, 3) }, 24 * 3600_000)
test('6 hosts with a target of 5 voters agree under generated schedules in which lost hosts are replaced', async () => { await checkSchedules(6, 100, 6101, 5) }, 24 * 3600_000)
