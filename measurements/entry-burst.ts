// Measures how a burst of one account affects the latency of another account at the same entry. The binary runs the entry,
// a fake control host finishes each job after a fixed time, and the load command provides the callers.
// Run it with: npm run binary && node scripts/tool.mjs measurements/entry-burst.ts
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import type { JobReport, JobRequest } from '../src/wire/index'
import { FakeControl, FakeLog } from '../test/fake-entry-control'

const BINARY = process.env.BINARY ?? 'dist/bramleyflow'
const SECONDS = process.env.SECONDS_PER_PHASE ?? '4'
const JOB_MILLISECONDS = 20
/** Interval at which the fake control host confirms the document, as a leader does. */
const CONFIRM_MILLISECONDS = 1_000
const QUIET_CALLERS = '4'
const BURST_CALLERS = '400'
/** The limit in the settings of the entry: a tenth of the callers of the burst. */
const MAX_OPEN_REQUESTS_PER_ACCOUNT = 40

/** Finishes each accepted job after JOB_MILLISECONDS. */
class AutoFinishLog extends FakeLog {
  override accept (job: JobRequest): JobReport {
    const known = this.jobs.has(job.identifier)
    const report = super.accept(job)
    if (!known) setTimeout(() => { this.finish(job.identifier, Buffer.from(job.payload?.body ?? '').toString()) }, JOB_MILLISECONDS)
    return report
  }
}

interface LoadReport {
  readonly answered: number
  readonly refused: Readonly<Record<string, number>>
  readonly broken: number
  readonly seconds: number
  readonly latencyMilliseconds: { readonly p50: number, readonly p95: number, readonly p99: number }
  readonly refusalMilliseconds: { readonly count: number, readonly p99: number }
}

function runLoad (entry: string, token: string, callers: string): Promise<LoadReport> {
  const words = ['load', '--json', '--entry', entry, '--token', token, '--callers', callers, '--connections', callers, '--seconds', SECONDS]
  const child = spawn(BINARY, words, { stdio: ['ignore', 'pipe', 'inherit'] })
  let text = ''
  child.stdout.on('data', (chunk) => { text += String(chunk) })
  return new Promise((resolve) => { child.once('close', () => { resolve(JSON.parse(text) as LoadReport) }) })
}

async function waitUntilReady (address: string): Promise<void> {
  for (;;) {
    const status = await request(`http://${address}/readyz`).then(({ statusCode, body }) => body.dump().then(() => statusCode), () => 0)
    if (status === 200) return
    await new Promise((resolve) => { setTimeout(resolve, 50) })
  }
}

function startEntry (folder: string, address: string, controlHost: string): ChildProcess {
  const file = join(folder, 'entry.json')
  const entry = { address, openRequestsPerAccount: MAX_OPEN_REQUESTS_PER_ACCOUNT }
  writeFileSync(file, JSON.stringify({ host: 'entry', roles: ['entry'], region: 'r', dataCentre: 'd', logLevel: 'warn', controlHosts: [controlHost], entry }))
  return spawn(BINARY, ['serve', '--settings', file], { stdio: 'inherit' })
}

const folder = mkdtempSync(join(tmpdir(), 'bramleyflow-burst-'))
const control = await FakeControl.create(new AutoFinishLog())
const confirmTimer = setInterval(() => { control.push() }, CONFIRM_MILLISECONDS)
// Finds a free port for the entry.
const portReservation = await FakeControl.create(new FakeLog())
portReservation.kill()
const entry = startEntry(folder, portReservation.address, control.address)
try {
  await waitUntilReady(portReservation.address)
  await runLoad(portReservation.address, 'chain-token', QUIET_CALLERS)
  const quietAlone = await runLoad(portReservation.address, 'chain-token', QUIET_CALLERS)
  const [quietBesideBurst, burst] = await Promise.all([runLoad(portReservation.address, 'chain-token', QUIET_CALLERS), runLoad(portReservation.address, 'hue-token', BURST_CALLERS)])
  const ratio = (percentile: 'p50' | 'p95' | 'p99'): number => Math.round(quietBesideBurst.latencyMilliseconds[percentile] / quietAlone.latencyMilliseconds[percentile] * 100) / 100
  console.log(JSON.stringify({
    quietAlone: quietAlone.latencyMilliseconds,
    quietBesideBurst: quietBesideBurst.latencyMilliseconds,
    ratio: { p50: ratio('p50'), p95: ratio('p95'), p99: ratio('p99') },
    quietRefused: quietBesideBurst.refused,
    burst: {
      answeredPerSecond: Math.round(burst.answered / burst.seconds), refused: burst.refused, broken: burst.broken, refusalP99: burst.refusalMilliseconds.p99
    }
  }, undefined, 2))
} finally {
  clearInterval(confirmTimer)
  entry.kill('SIGTERM')
  control.kill()
  rmSync(folder, { recursive: true })
}
