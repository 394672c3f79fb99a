/**
 * Crowds of misbehaving clients against real processes. Each test guards against a process that ends, exceeds its memory
 * or its descriptors, or answers no ordinary request afterwards. Nothing here depends on the speed of the machine.
 */
import { afterAll, beforeAll, beforeEach, describe, expect, test } from 'vitest'
import { until } from '../until'
import { crowds, runCrowds, type CrowdName } from './crowds'
import { DeployedSystem, endpoints } from './deployed-system'

/** Anonymous memory of a process, in megabytes. */
const MAX_MEGABYTES = 110
/** Open descriptors of a process; its limit is 512. */
const MAX_DESCRIPTORS = 480

const all = Object.keys(crowds) as CrowdName[]
const bodies: CrowdName[] = ['bodies of legal size that stop short of the end', 'bodies in chunks of one byte', 'bodies far over the limit']
const others: CrowdName[] = ['pipelined requests without a reader', 'connections that send nothing or stop within the headers']
const mixed: CrowdName[] = ['bodies of legal size that stop short of the end', 'pipelined requests without a reader']

interface Target {
  readonly endpoint: keyof typeof endpoints
  readonly path: string
  readonly key?: string
  readonly kinds: readonly CrowdName[]
}

const targets: Readonly<Record<string, Target>> = {
  'a queue': { endpoint: 'clients', path: '/proofs/00000000000000c1', kinds: all },
  'a path without a queue': { endpoint: 'clients', path: '/nowhere/00000000000000c1', kinds: all },
  'a queue with an unknown key': { endpoint: 'clients', path: '/proofs/00000000000000c1', key: 'unknown', kinds: bodies },
  'the readiness check': { endpoint: 'readiness', path: '/readyz', kinds: [...bodies, ...others] },
  'the API of the entry': { endpoint: 'api', path: '/jobs', kinds: [...bodies, ...others] },
  'the health check of the entry': { endpoint: 'api', path: '/healthz', kinds: bodies },
  'the operators\' document': { endpoint: 'operators', path: '/config/replace', kinds: all },
  'an unknown path of the operators': { endpoint: 'operators', path: '/nowhere', kinds: bodies },
  'the metrics of control': { endpoint: 'metrics', path: '/metrics', kinds: [...bodies, ...others] },
  'the heartbeats of workers': { endpoint: 'workers', path: '/instances/i-1/heartbeat', kinds: [...bodies, 'bodies of many short fields', ...others] }
}

let system: DeployedSystem
let submitted = 0
/** Each path begins with a new process, and one that failed a test is replaced: a test fails only for its own crowd. */
let fresh = false

beforeAll(async () => { system = await DeployedSystem.create() })
afterAll(async () => { await system.close() })

describe.each(Object.entries(targets))('%s', (_name, { endpoint, path, key = 'key-of-one', kinds }) => {
  const { role, port } = endpoints[endpoint]
  beforeAll(() => { fresh = false })
  beforeEach(async () => { await system.revive(role, !fresh) })

  test.each([...kinds.map((kind) => [kind]), mixed].map((names) => [names.join(' and '), names] as const))('%s', async (title, names) => {
    submitted += 1
    fresh = false
    const identifier = submitted.toString(16).padStart(16, 'a')
    await until(async () => await system.submit(identifier) === 200)
    const highest = system.watch(role)
    await runCrowds(names, system.ip, port, path, key)
    const usage = highest()
    if (process.env.SHOW_USAGE !== undefined) console.log(endpoint, path, title, system.isAlive(role) ? 'alive' : 'ended', JSON.stringify(usage))
    expect(system.isAlive(role)).toBe(true)
    expect(usage.anonymousMegabytes).toBeLessThan(MAX_MEGABYTES)
    expect(usage.descriptors).toBeLessThan(MAX_DESCRIPTORS)
    await until(async () => (await system.send(endpoint, 'GET', path)).status !== 0)
    await until(async () => await system.stateOf(identifier) === 'completed')
    fresh = true
  })
})
