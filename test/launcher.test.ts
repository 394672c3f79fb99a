import { execFileSync } from 'node:child_process'
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, beforeAll, expect, test } from 'vitest'

let folder = ''
const flagsOfRoles = [...readFileSync('deploy/system.toml', 'utf8').matchAll(/^run = "node (.*) target\//gm)].map(([, flags]) => flags!.split(' '))

beforeAll(() => {
  folder = mkdtempSync(join(tmpdir(), 'bramleyflow-'))
  execFileSync(process.execPath, ['scripts/build.mjs', `--folder=${folder}`, '--code-cache'], { stdio: 'ignore' })
}, 60_000)
afterAll(() => { rmSync(folder, { recursive: true }) })

/** Output of `serve --check` on both streams. */
function check (flags: readonly string[]): string {
  const command = [...flags, join(folder, 'bramleyflow.cjs'), 'serve', '--settings', 'examples/laptop.json', '--check']
  return execFileSync('sh', ['-c', '"$0" "$@" 2>&1', process.execPath, ...command], { encoding: 'utf8' })
}

const VALID = 'examples/laptop.json: the settings are valid for control, agent, entry\n'

test('the build writes a code cache for the flags of each role, and Node accepts it', () => {
  expect(readdirSync(folder).filter((file) => file.endsWith('.cache'))).toHaveLength(new Set(flagsOfRoles.map(String)).size)
  for (const flags of flagsOfRoles) expect(check(flags)).toBe(VALID)
})

test('with other flags the program starts without a code cache', () => {
  expect(check(['--max-old-space-size=123'])).toBe(VALID)
})

test('a damaged code cache is reported in the log and the program still starts', () => {
  for (const file of readdirSync(folder)) if (file.endsWith('.cache')) writeFileSync(join(folder, file), 'damaged')
  const printed = check(flagsOfRoles[0]!)
  expect(printed).toContain('"event":"code-cache-rejected"')
  expect(printed).toContain(VALID)
})
