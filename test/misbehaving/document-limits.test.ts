/** Guards against an entry that ignores the limits of the document in force, or follows an earlier one. */
import { afterAll, beforeAll, expect, test } from 'vitest'
import { operatorDocument } from '../platform-fixture'
import { until } from '../until'
import { DeployedSystem } from './deployed-system'

let system: DeployedSystem

beforeAll(async () => { system = await DeployedSystem.create() })
afterAll(async () => { await system.close() })

test('the limits of an accepted document are in force at the entry, also after a leader came back', async () => {
  const limits = { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
  const job = { spec: '30', phases: [{ count: 1, gpu: 1 }], note: 'x'.repeat(150_000) }
  let submitted = 0
  const submit = async (): Promise<number> => (await system.send('clients', 'POST', `/proofs/${(submitted++).toString(16).padStart(16, 'd')}`, job)).status
  const replace = async (version: number, bytes: number): Promise<void> => {
    await until(async () => (await system.send('operators', 'POST', '/config/replace', operatorDocument(version, { limits: { ...limits, max_body_bytes: bytes } }))).status === 200)
  }
  expect(await submit()).toBe(200)
  await replace(2, 100_000)
  await until(async () => await submit() === 413)
  await system.revive('control', true)
  expect(await submit()).toBe(413)
  await replace(3, 200_000)
  await until(async () => await submit() === 200)
})
