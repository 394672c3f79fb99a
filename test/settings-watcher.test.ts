import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test } from 'vitest'
import { SettingsWatcher } from '../src/command/settings-watcher'
import type { Settings } from '../src/settings/index'
import { until } from './until'

const settings = (logLevel: string): string => JSON.stringify({
  host: 'h', roles: ['agent'], region: 'r', dataCentre: 'd', logLevel, deployment: { ip: '127.0.0.1', innerPorts: [7000, 7010], seeds: ['127.0.0.1:8000'], founding: false, workers: '127.0.0.1:8001' }
})

test('settings are read again on SIGHUP and when the file changes; invalid settings are reported and ignored', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'bramleyflow-'))
  const path = join(folder, 'settings.json')
  const applied: Settings[] = []
  const problems: string[] = []
  await writeFile(path, settings('info'))
  const watcher = SettingsWatcher.create(path, (fresh) => { applied.push(fresh) }, (line) => { problems.push(line) })
  watcher.start()
  await new Promise((resolve) => { setTimeout(resolve, 100) })
  await writeFile(path, settings('warn'))
  process.emit('SIGHUP', 'SIGHUP')
  await until(() => applied.length === 1)
  expect(applied[0]?.logLevel).toBe('warn')
  await writeFile(path, settings('loud'))
  await until(() => problems.length > 0)
  expect(applied).toHaveLength(1)
  await writeFile(path, settings('error'))
  await until(() => applied.length === 2)
  watcher.stop()
  await rm(folder, { recursive: true })
})
