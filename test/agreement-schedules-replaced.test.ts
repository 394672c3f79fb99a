import { test } from 'vitest'
import { checkSchedules } from './agreement-schedules'

test('3 hosts of which lost ones are replaced at new addresses agree under any schedule', async () => { await checkSchedules(3, 400, 3101, 3) }, 24 * 3600_000)
test('6 hosts with 5 voters and one that stands by agree under any schedule', async () => { await checkSchedules(6, 100, 6101, 5) }, 24 * 3600_000)
