import type { AccountView, ClusterView, WaitingView, WorkerView } from '../control/view'
import type { GuaranteeStatus } from '../core/guarantees'
import { MAX_ACCELERATORS_PER_WORKER } from '../core/document'

/** Data that the operators' page shows. */
export interface PageContent {
  readonly view: Partial<ClusterView>
  readonly number: number
  readonly sections: Readonly<Record<string, number>>
  readonly leader: string
  readonly term: number
  readonly laggards: ReadonlyArray<{ readonly process: string, readonly inForce: number }>
  /** Milliseconds since the epoch. */
  readonly now: number
}

const MILLISECONDS_PER_SECOND = 1_000
const REFRESH_SECONDS = 5

const entities: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;' }

/**
 * Escapes a value for use in HTML text and attributes.
 * @param value - any text or number
 * @returns the text with special characters replaced by entities
 */
export function escapeHtml (value: string | number): string {
  return String(value).replaceAll(/[&<>"']/g, (character) => entities[character] ?? '')
}

type Row = ReadonlyArray<string | number>

function htmlTable (head: Row, rows: readonly Row[]): string {
  const line = (tag: string, row: Row): string => `<tr>${row.map((cell) => `<${tag}>${escapeHtml(cell)}</${tag}>`).join('')}</tr>`
  const body = rows.length === 0 ? `<tr><td colspan="${head.length}">none</td></tr>` : rows.map((row) => line('td', row)).join('\n')
  return `<table>\n${line('th', head)}\n${body}\n</table>`
}

/** Number of free accelerators of a worker, and the largest number of adjacent ones among them. */
export interface FreeAccelerators {
  readonly free: number
  readonly maxAdjacent: number
}

/**
 * Counts the free accelerators in a worker's row.
 * @param accelerators - number of accelerators in the row
 * @param heldMask - bit i is set when accelerator i is held
 * @returns the number of free accelerators, and the largest number of adjacent ones
 */
export function countFree (accelerators: number, heldMask: number): FreeAccelerators {
  let [free, maxAdjacent, adjacent] = [0, 0, 0]
  for (let position = 0; position < accelerators; position += 1) {
    const held = (heldMask >> position) % 2 === 1
    adjacent = held ? 0 : adjacent + 1
    free += held ? 0 : 1
    maxAdjacent = Math.max(maxAdjacent, adjacent)
  }
  return { free, maxAdjacent }
}

function rackLabel ({ dataCentre, rack }: WorkerView): string {
  return `${dataCentre} / ${rack}`
}

/** Share of the free accelerators that are not part of an entirely free row; 0 when only whole rows are free. */
function fragmentation (workers: readonly WorkerView[]): string {
  const rows = workers.map(({ accelerators, heldMask }) => countFree(accelerators, heldMask))
  const free = rows.reduce((sum, row) => sum + row.free, 0)
  const whole = rows.reduce((sum, row) => sum + (row.maxAdjacent >= MAX_ACCELERATORS_PER_WORKER ? row.maxAdjacent : 0), 0)
  return free === 0 ? '0 %' : `${Math.round((1 - whole / free) * 100)} %`
}

function occupancyText ({ accelerators, heldMask }: WorkerView): string {
  return Array.from({ length: accelerators }, (_, position) => (heldMask >> position) % 2 === 1 ? '#' : '.').join('')
}

function statusText ({ present, leaving, health }: WorkerView): string {
  return [present ? 'present' : 'absent', leaving ? 'leaving' : '', health === 'healthy' ? '' : health].filter((word) => word !== '').join(', ')
}

function rackSection (rack: string, workers: readonly WorkerView[]): string {
  const rows = workers.map((worker) => [
    worker.name, statusText(worker), occupancyText(worker), countFree(worker.accelerators, worker.heldMask).maxAdjacent, `${worker.heldSlots} of ${worker.slots}`, worker.jobs
  ])
  const present = workers.filter((worker) => worker.present)
  const head = `<h3>${escapeHtml(rack)}: ${present.length} of ${workers.length} workers present, fragmentation ${fragmentation(present)}</h3>`
  return `${head}\n${htmlTable(['Worker', 'Status', 'Accelerators', 'Adjacent free', 'Slots held', 'Jobs'], rows)}`
}

function fleetSection (workers: readonly WorkerView[]): string {
  const racks = [...new Set(workers.map(rackLabel))].sort()
  return racks.map((rack) => rackSection(rack, workers.filter((worker) => rackLabel(worker) === rack))).join('\n')
}

/** Accelerators that an account holds beyond its guarantees in use. They are borrowed and can be reclaimed. */
function borrowedAccelerators (account: AccountView, guarantees: readonly GuaranteeStatus[]): number {
  const own = guarantees.filter((guarantee) => guarantee.account === account.name)
  const guaranteed = own.reduce((sum, { inUse, shape }) => sum + inUse * shape.workers * shape.accelerators, 0)
  return Math.max(0, account.heldAccelerators - guaranteed)
}

function shapeText ({ workers, accelerators, within }: { workers: number, accelerators: number, within?: string }): string {
  return `${workers} x ${accelerators}${within === undefined ? '' : ` within ${within}`}`
}

/** Explains from the current free capacity why a job waits. */
function waitingReason (job: WaitingView, workers: readonly WorkerView[], now: number): string {
  if (job.notBefore > now) return `waits ${Math.ceil((job.notBefore - now) / MILLISECONDS_PER_SECOND)} s before the next attempt`
  const fitting = workers.filter((worker) => worker.present && countFree(worker.accelerators, worker.heldMask).maxAdjacent >= job.accelerators).length
  return fitting >= job.workers
    ? `${fitting} workers have enough adjacent accelerators free; it waits for its turn, for slots, or for workers close enough together`
    : `needs ${job.workers} workers with ${job.accelerators} adjacent accelerators free; ${fitting} have them`
}

function waitingRows (waiting: readonly WaitingView[], workers: readonly WorkerView[], now: number): Row[] {
  return waiting.map((job) => [
    job.identifier, job.account, shapeText(job), `${Math.max(0, Math.round((now - job.acceptedAt) / MILLISECONDS_PER_SECOND))} s`, waitingReason(job, workers, now)
  ])
}

const style = 'body{font:14px sans-serif;margin:1em}table{border-collapse:collapse}td,th{border:1px solid #999;padding:2px 8px;text-align:left}'

/**
 * Renders the operators' page.
 * @param content - see {@link PageContent}
 * @returns the HTML document
 */
export function renderPage (content: PageContent): string {
  const { number, sections, leader, term, laggards, now } = content
  const { accounts = [], guarantees = [], waiting = [], workers = [], openJobs = 0, queuedJobs = 0 } = content.view
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta http-equiv="refresh" content="${REFRESH_SECONDS}"><title>bramleyflow</title><style>${style}</style></head><body>
<h1>bramleyflow</h1>
<p>${escapeHtml(new Date(now).toISOString())}. Leader ${escapeHtml(leader)}, term ${escapeHtml(term)}. ${escapeHtml(openJobs)} jobs open, ${escapeHtml(queuedJobs)} of them queued.</p>
<h2>Configuration</h2>
${htmlTable(['Document', ...Object.keys(sections)], [[number, ...Object.values(sections)]])}
${htmlTable(['Lagging process', 'Document number'], laggards.map(({ process, inForce }) => [process, inForce]))}
<h2>Accounts</h2>
${htmlTable(['Account', 'Share', 'Queued jobs', 'Accelerators held', 'Accelerators borrowed'], accounts.map((account) => [account.name, account.share, account.queuedJobs, account.heldAccelerators, borrowedAccelerators(account, guarantees)]))}
<h2>Guarantees</h2>
${htmlTable(['Account', 'Shape', 'Promised', 'In use', 'Can be reclaimed at once', 'Blocked', 'Without a home', 'Grace'], guarantees.map((one) => [one.account, shapeText(one.shape), one.promised, one.inUse, one.homed, one.blocked, one.missing, `${one.graceSeconds} s`]))}
<h2>Waiting jobs</h2>
${htmlTable(['Job', 'Account', 'Shape', 'Waits', 'Why'], waitingRows(waiting, workers, now))}
<h2>Fleet</h2>
${fleetSection(workers)}
</body></html>
`
}
