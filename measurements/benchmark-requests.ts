// Measures the request path on real processes of the binary: the latency that a small job adds to a direct call of the
// stand-in target, and the throughput in jobs per second. Run it with: node scripts/tool.mjs measurements/benchmark-requests.ts
import * as grpc from '@grpc/grpc-js'
import { build as buildHistogram, type Histogram } from 'hdr-histogram-js'
import { randomUUID } from 'node:crypto'
import { Pool } from 'undici'
import { accountToken, Cluster, demoDocument } from '../demo/cluster'
import { requestAsOperator } from '../demo/callers'
import { ControlClient } from '../src/wire/index'

const MICROSECONDS_PER_MILLISECOND = 1_000
const CALLERS = (process.env.CALLERS ?? '1,64,512').split(',').map(Number)
const PHASE_MILLISECONDS = Number(process.env.PHASE_MILLISECONDS ?? 4_000)
const EMPTY_ROUND_TRIPS = 500

function newHistogram (): Histogram {
  return buildHistogram({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
}

function percentileMilliseconds (histogram: Histogram, percentile: number): number {
  return Math.round(histogram.getValueAtPercentile(percentile)) / MICROSECONDS_PER_MILLISECOND
}

function roundToMicroseconds (value: number): number {
  return Math.round(value * MICROSECONDS_PER_MILLISECOND) / MICROSECONDS_PER_MILLISECOND
}

interface Phase { readonly histogram: Histogram, readonly perSecond: number, readonly failed: number }

/** Runs a number of callers for one phase; each makes its next call when the previous one has ended. */
async function closedLoop (callers: number, call: () => Promise<boolean>): Promise<Phase> {
  const histogram = newHistogram()
  let failed = 0
  const end = performance.now() + PHASE_MILLISECONDS
  await Promise.all(Array.from({ length: callers }, async () => {
    while (performance.now() < end) {
      const startedAt = performance.now()
      if (await call()) histogram.recordValue(Math.round((performance.now() - startedAt) * MICROSECONDS_PER_MILLISECOND))
      else failed++
    }
  }))
  return { histogram, perSecond: Math.round(histogram.totalCount / (PHASE_MILLISECONDS / 1_000)), failed }
}

const payload = JSON.stringify({ milliseconds: 0, text: 'measure' })

function createDirectCall (pool: Pool): () => Promise<boolean> {
  return async () => {
    const headers = { job: randomUUID(), attempt: '1', 'content-type': 'application/json' }
    const reply = await pool.request({ method: 'POST', path: '/requests', headers, body: payload })
    await reply.body.text()
    return reply.statusCode === 200
  }
}

function createJobCall (pools: readonly Pool[], account: string): () => Promise<boolean> {
  const body = JSON.stringify({
    kind: 'measure',
    shape: { workers: 1, accelerators: 0, slots: 1, processors: 1, memoryMegabytes: 16, within: 'data-centre' },
    idempotent: true,
    declaredSeconds: 1,
    payload: { contentType: 'application/json', base64: Buffer.from(payload).toString('base64') }
  })
  let requestCount = 0
  return async () => {
    const headers = { authorization: `Bearer ${accountToken(account)}`, 'content-type': 'application/json' }
    const pool = pools[requestCount++ % pools.length]
    const reply = await pool?.request({ method: 'POST', path: '/jobs?wait=true', headers, body })
    await reply?.body.text()
    return reply?.statusCode === 200
  }
}

async function measureEmptyRoundTrip (address: string): Promise<number> {
  const client = new ControlClient(address, grpc.credentials.createInsecure(), { 'grpc.enable_retries': 0 })
  const histogram = newHistogram()
  for (let round = 0; round < EMPTY_ROUND_TRIPS; round++) {
    const startedAt = performance.now()
    await new Promise<void>((resolve, reject) => {
      client.exportRecord({ from: Number.MAX_SAFE_INTEGER }).on('data', () => {}).on('end', resolve).on('error', reject)
    })
    histogram.recordValue(Math.round((performance.now() - startedAt) * MICROSECONDS_PER_MILLISECOND))
  }
  client.close()
  return percentileMilliseconds(histogram, 50)
}

interface CommitTimes { readonly sum: number, readonly count: number }

async function readCommitTimes (metricsAddress: string): Promise<CommitTimes> {
  const text = await (await fetch(`http://${metricsAddress}/metrics`)).text()
  const read = (name: string): number => Number(new RegExp(`^bramleyflow_control_commit_seconds_${name} (.*)$`, 'm').exec(text)?.[1] ?? 0)
  return { sum: read('sum') * 1_000, count: read('count') }
}

async function waitUntilReady (condition: () => Promise<boolean>): Promise<void> {
  for (let tries = 0; tries < 500; tries++) {
    try { if (await condition()) return } catch { /* retried below */ }
    await new Promise((resolve) => setTimeout(resolve, 30))
  }
  throw new Error('the cluster did not become ready within 500 tries')
}

async function measure (cluster: Cluster): Promise<void> {
  const document = demoDocument()
  const account = document.clientAccounts[0]?.name ?? ''
  const read = Object.fromEntries(Object.keys(document).map((section) => [section, 0]))
  await waitUntilReady(async () => (await requestAsOperator(cluster, 'PUT', '/configuration', { requestIdentifier: randomUUID(), read, sections: document })).status === 200)
  await waitUntilReady(async () => (await requestAsOperator(cluster, 'GET', '/workers')).body.workers.length === cluster.workers.length)
  const { leader } = (await requestAsOperator(cluster, 'GET', '/control/members')).body
  const metrics = cluster.controls.find((control) => control.address === leader)?.metrics ?? ''
  const direct = new Pool(cluster.workers[0]?.target.url ?? '', { connections: 512 })
  const entries = cluster.entries.map(({ address }) => new Pool(`http://${address}`, { connections: 512 }))
  const job = createJobCall(entries, account)
  const warmUp = await closedLoop(16, job)
  console.log(`warmed with ${warmUp.histogram.totalCount} jobs, ${warmUp.failed} failed`)
  const roundTrip = await measureEmptyRoundTrip(leader)
  for (const callers of CALLERS) {
    const directPhase = await closedLoop(callers, createDirectCall(direct))
    const before = await readCommitTimes(metrics)
    const jobPhase = await closedLoop(callers, job)
    const after = await readCommitTimes(metrics)
    const commit = (after.sum - before.sum) / (after.count - before.count)
    console.log(JSON.stringify({
      callers,
      directP50: percentileMilliseconds(directPhase.histogram, 50),
      directP99: percentileMilliseconds(directPhase.histogram, 99),
      directPerSecond: directPhase.perSecond,
      throughP50: percentileMilliseconds(jobPhase.histogram, 50),
      throughP99: percentileMilliseconds(jobPhase.histogram, 99),
      throughPerSecond: jobPhase.perSecond,
      failed: jobPhase.failed,
      addedP50: roundToMicroseconds(percentileMilliseconds(jobPhase.histogram, 50) - percentileMilliseconds(directPhase.histogram, 50)),
      commitMean: roundToMicroseconds(commit),
      emptyRoundTrip: roundTrip,
      boundThreeCommitsThreeRoundTrips: roundToMicroseconds(3 * (commit + roundTrip))
    }))
  }
  await Promise.all([direct.close(), ...entries.map((pool) => pool.close())])
}

const cluster = await Cluster.create()
try {
  await measure(cluster)
} finally {
  await cluster.stop()
}
