import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { ClusterView } from '../src/control/view'
import { Level } from '../src/core/document'
import { WorkerHealth } from '../src/core/worker'
import { countFree, renderPage } from '../src/entry/page'
import { send, startControls, startEntry } from './entry-fixture'

const worker = (name: string, heldMask: number, extra: object = {}) => ({
  name, region: 'hue', dataCentre: 'vy-da', rack: 'rack-1', accelerators: 8, slots: 8, processors: 64, memoryMegabytes: 1, incarnation: 'i', present: true, leaving: false, health: WorkerHealth.Healthy, recentFailures: [], probeAt: 0, heldMask, heldSlots: 1, jobs: 1, ...extra
})

const view: Partial<ClusterView> = {
  workers: [worker('worker-1', 0b0000_0110), worker('worker-2', 0), worker('worker-3', 0xff, { present: false, health: WorkerHealth.Quarantined })],
  accounts: [{ name: '<temples>', share: 1, queuedJobs: 2, heldAccelerators: 6 }],
  guarantees: [{ account: '<temples>', shape: { workers: 1, accelerators: 4, slots: 1, processors: 1, memoryMegabytes: 1, within: Level.Worker }, graceSeconds: 3, promised: 2, homed: 1, blocked: 0, missing: 1, inUse: 1 }],
  waiting: [
    { identifier: 'gang', account: '<temples>', workers: 2, accelerators: 8, acceptedAt: 1_000, notBefore: 0 },
    { identifier: 'retry', account: '<temples>', workers: 1, accelerators: 1, acceptedAt: 1_000, notBefore: 9_500 }
  ],
  openJobs: 4,
  queuedJobs: 2
}

test('the page shows numbers, accounts, guarantees, waiting jobs and the fleet, with all text escaped', () => {
  const page = renderPage({ view, number: 7, sections: { jobs: 3 }, leader: '10.0.0.1:7100', term: 2, laggards: [{ process: 'entry "e"', inForce: 6 }], now: 8_000 })
  expect(page).toMatchSnapshot()
})

test('countFree counts the free accelerators and the largest number of adjacent ones', () => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 8 }), fc.integer({ min: 0, max: 255 }), (accelerators, mask) => {
    const bits = Array.from({ length: accelerators }, (_, position) => mask & (1 << position) ? 'x' : '.').join('')
    const runs = bits.split('x').map((run) => run.length)
    expect(countFree(accelerators, mask)).toEqual({ free: runs.reduce((sum, run) => sum + run, 0), maxAdjacent: Math.max(...runs) })
  }), { seed: 3, numRuns: 500 })
})

test('HTTP Basic credentials with the token as password open the operators\' page and no other path', async () => {
  const [control] = await startControls(1)
  const entry = await startEntry([control!.address])
  const basic = (token: string) => ({ headers: { authorization: `Basic ${Buffer.from(`operator:${token}`).toString('base64')}` } })
  const page = await send(entry, 'GET', '/page', basic('platform-token'))
  expect([page.status, page.headers['content-type'], page.text.includes('worker-1')]).toEqual([200, 'text/html; charset=utf-8', true])
  const prompt = await send(entry, 'GET', '/page')
  expect([prompt.status, prompt.headers['www-authenticate']]).toEqual([401, 'Basic realm="bramleyflow"'])
  expect((await send(entry, 'GET', '/page', basic('guess'))).status).toBe(401)
  expect((await send(entry, 'GET', '/page', basic('hue-token'))).status).toBe(403)
  expect((await send(entry, 'POST', '/workers/worker-1/drain', basic('platform-token'))).status).toBe(401)
  expect((await send(entry, 'GET', '/view', basic('platform-token'))).status).toBe(401)
})
