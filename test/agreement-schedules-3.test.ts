import { test } from 'vitest'
import { checkSchedules } from './agreement-schedules'

test('3 members agree under any schedule', async () => { await checkSchedules(3, 1000, 3001) }, 24 * 3600_000)
