/** Two tenants submit jobs for some seconds. The rule LOST is checked from finish_s after the end of this traffic. */
import { configOf, sleep } from './harness.mjs'

const finishMilliseconds = 14_000
const idleMilliseconds = 3_000
const attempts = 5
const smallCpu = 1_000

/**
 * Plays the load.
 * @param options - `times`: when the first tenant submits a job, in milliseconds, and of how many subtasks. The second tenant
 *   submits one small job each half second.
 */
export async function playLoad ({ deployment, record }, { seconds, times, cpu, milliseconds, checkSeconds }) {
  await deployment.start(configOf(1))
  await sleep(2_000)
  const accepted = new Map()
  let number = 0

  /** A client: after no answer, a 429, 502, 503 or 504 it sends the same job again, five times in all. */
  const submit = async (key, count, subtaskCpu) => {
    number += 1
    const id = `abcdef00${number.toString(16).padStart(8, '0')}`
    const body = { spec: JSON.stringify({ ms: milliseconds, cpu: subtaskCpu }), phases: [{ count, cpu: subtaskCpu, mem_mb: 1, estimate_ms: milliseconds }] }
    for (let attempt = 0; attempt < attempts; attempt++) {
      const { status, text, headers } = await deployment.call('POST', `/main/${id}`, { key, body, entry: (number + attempt) % 2 })
      record.write('client', 'submit', { id, count, status, text: text.slice(0, 120) })
      if (status >= 200 && status < 300) { accepted.set(id, key); return }
      if (status >= 400 && status < 500 && status !== 429) return
      await sleep(1_000 * Number(headers?.['retry-after'] ?? 1))
    }
  }

  const open = []
  const startedAt = performance.now()
  const until = async (at) => { await sleep(Math.max(0, startedAt + at - performance.now())) }
  const smallJobs = async () => {
    for (let at = 0; at < 1_000 * seconds; at += 500) { await until(at); open.push(submit('key-of-tenant-two', 1, smallCpu)) }
  }
  const timedJobs = async () => {
    for (const [at, count] of times) { await until(at); open.push(submit('key-of-tenant-one', count, cpu)) }
  }
  await Promise.all([smallJobs(), timedJobs()])
  await Promise.all(open)
  record.write('case', 'the traffic has ended', { accepted: accepted.size })
  await sleep(finishMilliseconds)

  const capacity = deployment.workers.reduce((sum, worker) => sum + worker.capacity.cpu, 0)
  const runs = () => deployment.workers.flatMap((worker) => [...worker.runs.values()])
  const isRunning = (id) => runs().some(({ task }) => task.startsWith(`${id}.`))
  const isHalfUsed = () => runs().reduce((sum, { spec }) => sum + JSON.parse(spec).cpu, 0) >= capacity / 2
  const idleSince = new Map()
  const ended = new Set()
  const lastStatus = new Map()
  const ask = async (id) => {
    const { status, text } = await deployment.call('GET', `/main/${id}`, { key: accepted.get(id), entry: Math.floor(Math.random() * 2) })
    const state = status === 200 ? JSON.parse(text).state : undefined
    if (lastStatus.get(id) !== (state ?? status)) record.write('client', 'state', { id, status, state })
    lastStatus.set(id, state ?? status)
    if (state === 'completed') ended.add(id)
  }
  const deadline = performance.now() + 1_000 * checkSeconds
  while (performance.now() < deadline && ended.size < accepted.size) {
    const turn = [...accepted.keys()].filter((id) => !ended.has(id)).map(ask)
    const step = performance.now() + 250
    while (performance.now() < step) {
      for (const id of accepted.keys()) {
        if (ended.has(id) || isRunning(id) || isHalfUsed()) idleSince.delete(id)
        else if (!idleSince.has(id)) idleSince.set(id, performance.now())
      }
      await sleep(10)
    }
    await Promise.all(turn)
    const idle = [...idleSince].filter(([id, since]) => !ended.has(id) && performance.now() - since > idleMilliseconds).map(([id]) => id)
    if (idle.length > 0) {
      return {
        rule: 'LOST',
        what: 'finish_s after the end of the traffic, these jobs have nothing running for 3 s, with less than half of the capacity in use',
        jobs: idle.length,
        of: accepted.size,
        ofTheSecondTenant: idle.filter((id) => accepted.get(id) === 'key-of-tenant-two').length,
        answers: [...new Set(idle.map((id) => lastStatus.get(id)))],
        startsAtWorkers: deployment.workers.reduce((sum, { starts }) => sum + starts.length, 0),
        timesAHostBeganToLead: deployment.controls.reduce((sum, { log }) => sum + (log.match(/"event":"leading"/g) ?? []).length, 0)
      }
    }
  }
  return ended.size === accepted.size ? undefined : { rule: 'LOST', what: 'these jobs have not ended', jobs: accepted.size - ended.size }
}
