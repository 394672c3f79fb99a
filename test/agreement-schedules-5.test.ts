import { test } from 'vitest'
import { checkSchedules } from './agreement-schedules'

test('5 members agree under generated schedules of faults', async () => { await checkSchedules(5, 700, 5001) }, 24 * 3600_000)
