// Measures what a burst of one account does to another one at the same entry: the binary as the entry, a fake control
// host that finishes each job after a fixed time, and the load command as callers.
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
/** How often the fake control host confirms the document, as a real leader does. */
const CONFIRM_MILLISECONDS = 1_000
const QUIET_CALLERS = '4'
const BURST_CALLERS = '400'
/** Open requests that the entry allows an account: a tenth of the burst. */
const OPEN_PER_ACCOUNT = 40

/** Finishes each job by itself. */
class FinishingLog extends FakeLog {
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

function load (entry: string, token: string, callers: string): Promise<LoadReport> {
  const words = ['load', '--json', '--entry', entry, '--token', token, '--callers', callers, '--connections', callers, '--seconds', SECONDS]
  const child = spawn(BINARY, words, { stdio: ['ignore', 'pipe', 'inherit'] })
  let text = ''
  child.stdout.on('data', (chunk) => { text += String(chunk) })
  return new Promise((resolve) => { child.once('close', () => { resolve(JSON.parse(text) as LoadReport) }) })
}

async function untilReady (address: string): Promise<void> {
  for (;;) {
    const status = await request(`http://${address}/readyz`).then(({ statusCode, body }) => body.dump().then(() => statusCode), () => 0)
    if (status === 200) return
    await new Promise((resolve) => { setTimeout(resolve, 50) })
  }
}

function startEntry (folder: string, address: string, controlHost: string): ChildProcess {
  const file = join(folder, 'entry.json')
  const entry = { address, openRequestsPerAccount: OPEN_PER_ACCOUNT }
  writeFileSync(file, JSON.stringify({ host: 'entry', roles: ['entry'], region: 'r', dataCentre: 'd', logLevel: 'warn', controlHosts: [controlHost], entry }))
  return spawn(BINARY, ['serve', '--settings', file], { stdio: 'inherit' })
}

const folder = mkdtempSync(join(tmpdir(), 'bramleyflow-burst-'))
const control = await FakeControl.create(new FinishingLog())
const confirming = setInterval(() => { control.push() }, CONFIRM_MILLISECONDS)
const spare = await FakeControl.create(new FakeLog())
spare.kill()
const entry = startEntry(folder, spare.address, control.address)
try {
  await untilReady(spare.address)
  await load(spare.address, 'chain-token', QUIET_CALLERS)
  const alone = await load(spare.address, 'chain-token', QUIET_CALLERS)
  const [beside, burst] = await Promise.all([load(spare.address, 'chain-token', QUIET_CALLERS), load(spare.address, 'hue-token', BURST_CALLERS)])
  const ratio = (percentile: 'p50' | 'p95' | 'p99'): number => Math.round(beside.latencyMilliseconds[percentile] / alone.latencyMilliseconds[percentile] * 100) / 100
  console.log(JSON.stringify({
    quietAlone: alone.latencyMilliseconds,
    quietBesideBurst: beside.latencyMilliseconds,
    ratio: { p50: ratio('p50'), p95: ratio('p95'), p99: ratio('p99') },
    quietRefused: beside.refused,
    burst: {
      answeredPerSecond: Math.round(burst.answered / burst.seconds), refused: burst.refused, broken: burst.broken, refusalP99: burst.refusalMilliseconds.p99
    }
  }, undefined, 2))
} finally {
  clearInterval(confirming)
  entry.kill('SIGTERM')
  control.kill()
  rmSync(folder, { recursive: true })
}
