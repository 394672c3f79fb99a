import { test } from 'vitest'
import { checkSchedules } from './agreement-schedules'

test('3 members agree under generated schedules of faults', async () => { await checkSchedules(3, 1000, 3001) }, 24 * 3600_000)
