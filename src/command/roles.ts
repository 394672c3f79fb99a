import { createLogger, type Logger } from '../logging'
import { ExitCode } from './exit-code'
import type { ControlOptions } from '../control/index'
import type { EntryHost, EntryOptions } from '../entry/index'
import type { HttpLimits } from '../http/index'
import { maxRecordBytesOf, Role, type Settings, type TlsFiles } from '../settings/index'

/** A role running in this process. */
export interface RunningRole {
  readonly role: Role
  /** Time limit of its graceful stop. */
  readonly stopDeadlineMilliseconds: number
  /**
   * Stops gracefully.
   * @param deadlineMilliseconds - time limit of the stop
   * @returns the work that was not finished, one line each
   */
  readonly stop: (deadlineMilliseconds: number) => Promise<readonly string[]>
  /** Applies settings that were read again; absent when the role does not use them. */
  readonly reload?: (settings: Settings) => void
}

/** Starts a role, and loads its modules only then; throws when the role cannot start. */
export type StartRole = (settings: Settings, tls: TlsFiles | undefined, limits: HttpLimits) => Promise<RunningRole>

const MILLISECONDS_PER_SECOND = 1_000
/** Time allowed for a control host to transfer its leadership. */
const CONTROL_STOP_DEADLINE_MILLISECONDS = 10_000

function requiredSection<Name extends Role> (settings: Settings, name: Name): NonNullable<Settings[Name]> {
  const found = settings[name]
  if (found === undefined) throw new Error(`the settings have no ${name} section`)
  return found
}

/**
 * Creates a function that writes the events of a role to its log.
 * @param logger - the logger of the role
 * @returns the function, which takes an event and its fields
 */
export function createEventLog (logger: Logger): (event: string, fields: object) => void {
  return (event, fields) => logger.info(event, { ...fields })
}

/** A control host must not continue after its data folder failed: it could acknowledge changes that are not stored durably. */
function exitOnStorageFailure (message: string): void {
  process.stderr.write(`exiting because the data folder failed: ${message}\n`)
  process.exit(ExitCode.CannotStart)
}

/**
 * Starts the control role.
 * @param settings - the settings of the process
 * @param tls - certificate files; undefined for connections without TLS
 * @param limits - the limits of the process
 * @returns the running role
 */
export async function startControl (settings: Settings, tls: TlsFiles | undefined, limits: HttpLimits): Promise<RunningRole> {
  const { ControlHost } = await import('../control/index')
  const { mutualCredentials } = await import('./credentials')
  const { address, folder, voters, metrics: metricsAddress } = requiredSection(settings, Role.Control)
  const log = createEventLog(createLogger(Role.Control, settings.logLevel))
  const created = await ControlHost.create({
    host: settings.host, address, folder, voters, metricsAddress, limits, log, onFailure: exitOnStorageFailure, ...mutualCredentials(tls), ...deploymentOptions(settings)
  })
  if (created.isErr()) throw created.error
  const host = created.value
  host.start()
  return {
    role: Role.Control,
    stopDeadlineMilliseconds: CONTROL_STOP_DEADLINE_MILLISECONDS,
    stop: async () => {
      await host.stop()
      return []
    }
  }
}

function deploymentOptions ({ deployment }: Settings): Pick<ControlOptions, 'founding' | 'wantedVoters' | 'workerLeaseMilliseconds' | 'workerStopMilliseconds' | 'maxRecordBytes'> {
  if (deployment === undefined) return {}
  const { founding, hostsLostAtOnce, workerLeaseMilliseconds, workerStopMilliseconds } = deployment
  return { founding, wantedVoters: 2 * hostsLostAtOnce + 1, workerLeaseMilliseconds, workerStopMilliseconds, maxRecordBytes: maxRecordBytesOf(deployment) }
}

/**
 * Starts an entry.
 * @param settings - the settings of the process
 * @param tls - certificate files; undefined for connections without TLS
 * @param options - what is shared with other components of this process
 * @returns the running role and its entry
 */
export async function startEntryHost (settings: Settings, tls: TlsFiles | undefined, options: Pick<EntryOptions, 'connection' | 'limits' | 'onDocumentNumber'>): Promise<RunningRole & { readonly host: EntryHost }> {
  const { EntryHost } = await import('../entry/index')
  const entry = requiredSection(settings, Role.Entry)
  const logger = createLogger(Role.Entry, settings.logLevel)
  const host = EntryHost.create({ host: settings.host, settings: entry, controlHosts: settings.controlHosts, tls, logger, ...options })
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
  const { worker: name, rack, accelerators, slots, processors, memoryMegabytes, platform, target, connections, stopDeadlineSeconds } = requiredSection(settings, Role.Agent)
  const agent = Agent.create({
    worker: { name, region, dataCentre, rack, accelerators, slots, processors, memoryMegabytes },
    controlHosts: settings.controlHosts,
    platformUrl: platform,
    targetUrl: target,
    connections,
    credentials: mutualCredentials(tls).channelCredentials,
    log: createEventLog(createLogger(Role.Agent, settings.logLevel))
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

/** Start function of each role. */
export const startRole: Readonly<Record<Role, StartRole>> = {
  [Role.Control]: startControl,
  [Role.Entry]: async (settings, tls, limits) => await startEntryHost(settings, tls, { limits }),
  [Role.Agent]: startAgent
}

/** The order in which roles are started. They are stopped in reverse order, so that control is still running to receive the last reports. */
export const startOrder: readonly Role[] = [Role.Control, Role.Agent, Role.Entry]
