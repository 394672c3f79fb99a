import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test } from 'vitest'
import { SettingsWatch } from '../src/command/settings-watch'
import type { Settings } from '../src/settings/index'
import { until } from './until'

const settings = (logLevel: string): string => JSON.stringify({
  host: 'h', roles: ['agent'], region: 'r', dataCentre: 'd', logLevel, deployment: { ip: '127.0.0.1', innerPorts: [7000, 7010], seeds: ['127.0.0.1:8000'], founding: false, workers: '127.0.0.1:8001' }
})

test('a signal, and a silent change, are both noticed; faulty settings change nothing', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'bramleyflow-'))
  const path = join(folder, 'settings.json')
  const taken: Settings[] = []
  const complaints: string[] = []
  await writeFile(path, settings('info'))
  const watch = SettingsWatch.create(path, (fresh) => { taken.push(fresh) }, (line) => { complaints.push(line) })
  watch.start()
  await new Promise((resolve) => { setTimeout(resolve, 100) })
  await writeFile(path, settings('warn'))
  process.emit('SIGHUP', 'SIGHUP')
  await until(() => taken.length === 1)
  expect(taken[0]?.logLevel).toBe('warn')
  await writeFile(path, settings('loud'))
  await until(() => complaints.length > 0)
  expect(taken).toHaveLength(1)
  await writeFile(path, settings('error'))
  await until(() => taken.length === 2)
  watch.stop()
  await rm(folder, { recursive: true })
})
