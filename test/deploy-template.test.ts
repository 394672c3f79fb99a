/** The settings template of the deployment must render valid settings for each role. */
import { readFileSync } from 'node:fs'
import { expect, test } from 'vitest'
import { checkSettings } from '../src/settings/index'

type Fields = Readonly<Record<string, unknown>>

/** Renders the subset of the platform's template language that the template uses: values as JSON, sections and inverted sections. */
function render (text: string, scopes: readonly unknown[]): string {
  const section = /\{\{([#^])([\w.]+)\}\}\n?([\s\S]*?)\{\{\/\2\}\}\n?/
  const found = section.exec(text)
  if (found === null) return text.replace(/\{\{([\w.]+)\|json\}\}/g, (_match, path: string) => JSON.stringify(lookUp(path, scopes)))
  const [whole, kind, path = '', inner = ''] = found
  const value = lookUp(path, scopes)
  const present = value !== undefined && value !== false
  const middle = kind === '#' ? (present ? render(inner, [value, ...scopes]) : '') : (present ? '' : render(inner, scopes))
  return render(text.slice(0, found.index), scopes) + middle + render(text.slice(found.index + whole.length), scopes)
}

function lookUp (path: string, scopes: readonly unknown[]): unknown {
  if (path === '.') return scopes[0]
  for (const scope of scopes) {
    const value = path.split('.').reduce<unknown>((at, name) => (at as Fields | undefined)?.[name], scope)
    if (value !== undefined) return value
  }
  return undefined
}

const common = {
  node_id: 'frontend-a-1', zone: 'a', region: 'r', ip: '10.1.0.19', port_range: [7000, 7015], seeds: ['10.1.0.19:8526', '10.3.0.15:8526', '10.2.0.35:8526'], bootstrap: true, limits: { disk_mb: 128, memory_mb: 210, max_fds: 2_212 }, fault_tolerance: { machines: 1 }, bounds: { hold_max_ms: 10_000, stop_ms: 400, grace_s: 6 }
}

const roles: Readonly<Record<string, Fields>> = {
  entry: { ...common, role: 'entry', listen: { front: '10.1.0.19:8521', readiness_addr: '10.1.0.19:8523' } },
  control: { ...common, role: 'control', data_dir: '/data/control', listen: { control: '10.1.0.19:8526' } },
  'control without a disk': { ...common, role: 'control', listen: { control: '10.1.0.19:8526' } },
  agent: { ...common, role: 'agent', app: '10.1.0.22:8529', listen: { control: '10.1.0.22:8526' } }
}

test('the template renders valid settings for each role, with the control hosts at their internal port and in a fixed order', () => {
  const template = readFileSync('deploy/settings.template', 'utf8')
  const rendered = Object.fromEntries(Object.entries(roles).map(([name, fields]) => [name, checkSettings(JSON.parse(render(template, [fields])))._unsafeUnwrap()]))
  expect(rendered).toMatchSnapshot()
})

test('problems in the deployment section are reported with their paths', () => {
  const template = readFileSync('deploy/settings.template', 'utf8')
  const settings = JSON.parse(render(template, [{ ...roles.entry, seeds: ['somewhere'], fault_tolerance: { machines: 9 } }])) as unknown
  expect(checkSettings(settings)._unsafeUnwrapErr().map(({ path }) => path)).toEqual(['/deployment/seeds/0', '/deployment/hostsLostAtOnce'])
})

test('the share of control hosts covers every disk of a zone, so that as many hosts may fail as the settings state', () => {
  const [, share] = /\[roles\.control\][^[]*\nshare = ([\d.]+)/.exec(readFileSync('deploy/system.toml', 'utf8')) ?? []
  expect(share).toBeDefined()
  const taken = (hosts: number): number => Math.ceil(Number(share) * hosts)
  const zones = [{ disks: 1, hosts: [1, 2, 3, 4, 5, 6, 7] }, { disks: 2, hosts: [3, 4, 5, 6, 7] }]
  const uncovered = zones.flatMap(({ disks, hosts }) => hosts.filter((count) => taken(count) < disks).map((count) => `${disks} of ${count}`))
  expect(uncovered).toEqual([])
})
