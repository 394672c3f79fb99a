/**
 * Guards the boundary of the platform adapter: names of its protocol are used only in platform/ and deploy/, and few modules
 * import across.
 */
import { readdirSync, readFileSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { expect, test } from 'vitest'

/** Names of the platform's protocol and settings that have no other meaning in this project. */
const protocolNames = [
  'run-start', 'run-stop', 'ack_cursor', 'fencing_token', 'deadline_ms', 'api_keys', 'path_prefix', 'max_attempts', 'slack_factor', 'target_latency_ms',
  'guaranteed_gpus', 'enforces_capacity', 'mem_mb', 'estimate_ms', 'same_rack', 'required_label', 'data_rack', 'anti_affinity', 'clock_ms', 'heartbeat_addr',
  'x-bramleyflow', 'node_id', 'port_range', 'hold_max_ms', 'config/replace', 'config/read'
]

function filesBelow (folder: string): string[] {
  return readdirSync(folder).flatMap((name) => {
    const path = join(folder, name)
    if (statSync(path).isDirectory()) return path.endsWith('generated') ? [] : filesBelow(path)
    return path.endsWith('.ts') ? [path] : []
  })
}

function importsOf (path: string): string[] {
  return [...readFileSync(path, 'utf8').matchAll(/(?:from|import\() ?'([^']+)'/g)].map((match) => match[1] ?? '')
}

test('src/ uses no name of the platform protocol', () => {
  const found = filesBelow('src').flatMap((path) => {
    const text = readFileSync(path, 'utf8').toLowerCase()
    return protocolNames.filter((name) => text.includes(name)).map((name) => `${path}: ${name}`)
  })
  expect(found).toEqual([])
})

test('only the command line imports the adapter', () => {
  const loading = filesBelow('src').filter((path) => importsOf(path).some((from) => from.includes('platform/')))
  expect(loading).toEqual(['src/command/deployed-roles.ts', 'src/command/document-formats.ts'])
})

test('the adapter imports types and checks of the core, and nothing of control or entry', () => {
  const from = new Set(filesBelow('platform').flatMap(importsOf).filter((path) => path.startsWith('../src/')))
  expect([...from].sort()).toMatchInlineSnapshot(`
    [
      "../src/agent/worker-api",
      "../src/client/index",
      "../src/core/json-text",
      "../src/core/problems",
      "../src/core/steps/index",
      "../src/core/steps/run",
      "../src/core/verdict",
      "../src/http/index",
    ]
  `)
})
