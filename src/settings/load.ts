import { readFile } from 'node:fs/promises'
import { isIP } from 'node:net'
import { err, ok, type Result } from 'neverthrow'
import type { Problem } from '../core/verdict'
import { checkAgainst, formatValue } from '../core/problems'
import { parseAddress } from './address'
import { withDeployment } from './deployment'
import { Role, settingsSchema, type Settings } from './schema'

const MAX_PORT = 65_535

function isAddress (text: string): boolean {
  const { ip, port } = parseAddress(text.replace(/^http:\/\//, ''))
  return isIP(ip) !== 0 && port <= MAX_PORT
}

function addressesOf (settings: Settings): Array<[path: string, address: string | undefined]> {
  const listed = (path: string, addresses: readonly string[] = []): Array<[string, string]> =>
    addresses.map((address, position) => [`${path}/${position}`, address])
  return [
    ...listed('/controlHosts', settings.controlHosts),
    ['/control/address', settings.control?.address],
    ['/control/metrics', settings.control?.metrics],
    ...listed('/control/voters', settings.control?.voters),
    ['/entry/address', settings.entry?.address],
    ['/entry/relay', settings.entry?.relay],
    ['/agent/platform', settings.agent?.platform],
    ['/agent/target', settings.agent?.target]
  ]
}

function addressProblems (settings: Settings): Problem[] {
  return addressesOf(settings)
    .filter(([, address]) => address !== undefined && !isAddress(address))
    .map(([path, address]) => ({ path, value: formatValue(address), expected: `an IP address and a port up to ${MAX_PORT}` }))
}

function roleProblems (settings: Pick<Settings, 'roles' | 'deployment'> & { readonly [section in Role]?: unknown }): Problem[] {
  // The roles' sections are derived from the deployment section.
  if (settings.deployment !== undefined) return []
  return Object.values(Role)
    .filter((role) => settings.roles.includes(role) && settings[role] === undefined)
    .map((role) => ({ path: `/${role}`, value: 'nothing', expected: `a section ${role}, because it is one of the roles` }))
}

function controlHostProblems (settings: Settings): Problem[] {
  if (settings.controlHosts.length > 0 || settings.control !== undefined) return []
  return [{ path: '/controlHosts', value: '[]', expected: 'at least one address of a control host' }]
}

function relayProblems ({ entry, tls }: Settings): Problem[] {
  return entry?.relay === undefined || tls === undefined ? [] : [{ path: '/entry/relay', value: formatValue(entry.relay), expected: 'no relay, because connections with TLS are not relayed' }]
}

function voterProblems (settings: Settings): Problem[] {
  const voters = settings.control?.voters ?? []
  if (new Set(voters).size === voters.length) return []
  return [{ path: '/control/voters', value: formatValue(voters), expected: 'each voter once' }]
}

/** Reports missing sections even when the schema check has found other problems. */
function missingSections (json: unknown): Problem[] {
  const roles = (json as Partial<Settings> | undefined)?.roles
  return Array.isArray(roles) ? roleProblems({ ...json as Settings, roles }) : []
}

const crossChecks = [addressProblems, roleProblems, controlHostProblems, relayProblems, voterProblems]

function withControlHosts (settings: Settings): Settings {
  return settings.controlHosts.length > 0 ? settings : { ...settings, controlHosts: settings.control?.voters ?? [] }
}

/**
 * Checks settings against the schema, adds defaults, and checks that the sections are consistent.
 * @param json - the parsed settings file
 * @returns the settings, or all problems at once
 */
export function checkSettings (json: unknown): Result<Settings, Problem[]> {
  const checked = checkAgainst(settingsSchema, json).mapErr((problems) => [...problems, ...missingSections(json)])
  return checked.map(withDeployment).andThen((settings) => {
    const problems = crossChecks.flatMap((check) => check(settings))
    return problems.length > 0 ? err(problems) : ok(withControlHosts(settings))
  })
}

function parseSettings (text: string): Result<Settings, Problem[]> {
  try {
    return checkSettings(JSON.parse(text))
  } catch (error) {
    return err([{ path: '', value: 'the file', expected: `JSON: ${(error as Error).message}` }])
  }
}

/**
 * Reads and checks a settings file.
 * @param path - the file
 * @returns the settings, or all problems at once
 */
export async function loadSettings (path: string): Promise<Result<Settings, Problem[]>> {
  try {
    return parseSettings(await readFile(path, 'utf8'))
  } catch (error) {
    return err([{ path: '', value: formatValue(path), expected: `a readable file: ${(error as Error).message}` }])
  }
}
