import { createLogger, type Logger } from '../logging'
import { ExitCode } from './exit-code'
import type { ControlConnection } from '../client/index'
import type { ControlOptions } from '../control/index'
import type { EntryHost } from '../entry/index'
import { recordBytesOf, Role, type Settings, type TlsFiles } from '../settings/index'

/** A role that runs in this process. */
export interface RunningRole {
  readonly role: Role
  /** How long its graceful stop may take. */
  readonly stopDeadlineMilliseconds: number
  /**
   * Stops gracefully.
   * @param deadlineMilliseconds - the time that all of it may take
   * @returns what was left, one line each
   */
  readonly stop: (deadlineMilliseconds: number) => Promise<readonly string[]>
  /** Takes settings that were read again; absent where they change nothing. */
  readonly reload?: (settings: Settings) => void
}

/** Starts a role; throws where it cannot start. Its modules are loaded only then. */
export type StartRole = (settings: Settings, tls: TlsFiles | undefined) => Promise<RunningRole>

const MILLISECONDS_PER_SECOND = 1_000
/** Time for a control host to hand its leadership over. */
const CONTROL_STOP_MILLISECONDS = 10_000

function section<Name extends Role> (settings: Settings, name: Name): NonNullable<Settings[Name]> {
  const found = settings[name]
  if (found === undefined) throw new Error(`the settings have no section ${name}`)
  return found
}

/**
 * Writes the events of a role to its log.
 * @param logger - the logger of the role
 * @returns takes an event and its fields
 */
export function logTo (logger: Logger): (event: string, fields: object) => void {
  return (event, fields) => logger.info(event, { ...fields })
}

/** A host whose data folder failed must not go on: it could promise what does not last. */
function endAtOnce (message: string): void {
  process.stderr.write(`the data folder failed: ${message}\n`)
  process.exit(ExitCode.CannotStart)
}

/**
 * Starts the control role.
 * @param settings - the settings of the process
 * @param tls - certificate files, undefined for plain connections
 * @returns the running role
 */
export async function startControl (settings: Settings, tls: TlsFiles | undefined): Promise<RunningRole> {
  const { ControlHost } = await import('../control/index')
  const { mutualCredentials } = await import('./credentials')
  const { address, folder, voters, metrics: metricsAddress } = section(settings, Role.Control)
  const log = logTo(createLogger(Role.Control, settings.logLevel))
  const created = await ControlHost.create({
    host: settings.host, address, folder, voters, metricsAddress, log, onFailure: endAtOnce, ...mutualCredentials(tls), ...deploymentOptions(settings)
  })
  if (created.isErr()) throw created.error
  const host = created.value
  host.start()
  return {
    role: Role.Control,
    stopDeadlineMilliseconds: CONTROL_STOP_MILLISECONDS,
    stop: async () => {
      await host.stop()
      return []
    }
  }
}

function deploymentOptions ({ deployment }: Settings): Pick<ControlOptions, 'founding' | 'wantedVoters' | 'workerLeaseMilliseconds' | 'recordBytes'> {
  if (deployment === undefined) return {}
  const { founding, hostsLostAtOnce, workerLeaseMilliseconds } = deployment
  return { founding, wantedVoters: 2 * hostsLostAtOnce + 1, workerLeaseMilliseconds, recordBytes: recordBytesOf(deployment) }
}

/**
 * Starts an entry.
 * @param settings - the settings of the process
 * @param tls - certificate files, undefined for plain connections
 * @param connection - shared with others of this process
 * @returns the running role with the entry
 */
export async function startEntryHost (settings: Settings, tls: TlsFiles | undefined, connection?: ControlConnection): Promise<RunningRole & { readonly host: EntryHost }> {
  const { EntryHost } = await import('../entry/index')
  const entry = section(settings, Role.Entry)
  const logger = createLogger(Role.Entry, settings.logLevel)
  const host = EntryHost.create({ host: settings.host, settings: entry, controlHosts: settings.controlHosts, tls, logger, connection })
  await host.start()
  return {
    host,
    role: Role.Entry,
    stopDeadlineMilliseconds: entry.stopDeadlineSeconds * MILLISECONDS_PER_SECOND,
    stop: (deadlineMilliseconds) => host.stop(deadlineMilliseconds)
  }
}

async function startAgent (settings: Settings, tls: TlsFiles | undefined): Promise<RunningRole> {
  const { Agent } = await import('../agent/index')
  const { mutualCredentials } = await import('./credentials')
  const { region, dataCentre } = settings
  const { worker: name, rack, accelerators, slots, processors, memoryMegabytes, platform, target, connections, stopDeadlineSeconds } = section(settings, Role.Agent)
  const agent = Agent.create({
    worker: { name, region, dataCentre, rack, accelerators, slots, processors, memoryMegabytes },
    controlHosts: settings.controlHosts,
    platformUrl: platform,
    targetUrl: target,
    connections,
    credentials: mutualCredentials(tls).channelCredentials,
    log: logTo(createLogger(Role.Agent, settings.logLevel))
  })
  agent.start()
  return {
    role: Role.Agent,
    stopDeadlineMilliseconds: stopDeadlineSeconds * MILLISECONDS_PER_SECOND,
    stop: async (deadlineMilliseconds) => {
      const { left } = await agent.stop(deadlineMilliseconds)
      return left.map(({ job, attempt, phase, unreported }) => `${job} attempt ${attempt} was ${phase}${unreported ? ', not reported' : ''}`)
    }
  }
}

/** How each role is started. */
export const startRole: Readonly<Record<Role, StartRole>> = {
  [Role.Control]: startControl,
  [Role.Entry]: async (settings, tls) => await startEntryHost(settings, tls),
  [Role.Agent]: startAgent
}

/** The order of starts; stops go the other way, so that control is there for the last reports. */
export const startOrder: readonly Role[] = [Role.Control, Role.Agent, Role.Entry]
