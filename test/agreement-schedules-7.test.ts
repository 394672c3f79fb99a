import { test } from 'vitest'
import { checkSchedules } from './agreement-schedules'

test('7 members agree under generated schedules of faults', async () => { await checkSchedules(7, 400, 7001) }, 24 * 3600_000)
