/** Derives the settings sections of a process that is run by the users' platform. */
import { parseAddress } from './address'
import { Role, type DeploymentSettings, type EntrySettings, type Settings } from './schema'

/** Offsets from the first internal port. */
enum InternalPort {
  Control = 0,
  Entry = 1,
  Relay = 2
}

/** Part of the platform's stop deadline that is reserved for closing sockets and files. */
const STOP_MARGIN_SECONDS = 2.5
/** Port on which a deployed control host serves its metrics; must match `deploy/system.toml`. */
const CONTROL_METRICS_PORT = 9_464
/** Share of the disk for the audit record; log and snapshots use the rest. */
const RECORD_SHARE = 0.25
const BYTES_PER_MEGABYTE = 1_048_576

/**
 * Adds the sections that the roles need to settings with a deployment section.
 * @param settings - checked settings
 * @returns the settings with sections for its entry role and, where there is a data folder, its control role; unchanged without a deployment section
 */
export function withDeployment (settings: Settings): Settings {
  const { deployment, roles } = settings
  if (deployment === undefined) return settings
  const controlHosts = controlHostsOf(deployment)
  const filled: Settings = { ...settings, controlHosts }
  if (roles.includes(Role.Entry)) filled.entry ??= entrySettingsOf(settings, deployment)
  if (roles.includes(Role.Control) && deployment.folder !== undefined) {
    filled.control ??= { address: controlAddressOf(deployment), folder: deployment.folder, voters: controlHosts, metrics: `${deployment.ip}:${CONTROL_METRICS_PORT}` }
  }
  return filled
}

/**
 * Returns the addresses at which the control hosts of the seeds listen for the system's own processes.
 * @param deployment - the deployment section
 * @returns the addresses, in the same order on every host that has the same seeds
 */
export function controlHostsOf (deployment: DeploymentSettings): string[] {
  const { seeds, innerPorts, ip } = deployment
  const hosts = [...new Set(seeds.map((seed) => parseAddress(seed).ip))].sort()
  return (hosts.length > 0 ? hosts : [ip]).map((host) => `${host}:${innerPorts[0] + InternalPort.Control}`)
}

/**
 * Returns the address at which this control host listens for the system's own processes.
 * @param deployment - the deployment section
 * @returns IP address and port
 */
export function controlAddressOf (deployment: DeploymentSettings): string {
  return internalAddress(deployment, InternalPort.Control)
}

/**
 * Returns the upper limit on the size of the audit record.
 * @param deployment - the deployment section
 * @returns bytes; undefined when the size of the disk is not known
 */
export function maxRecordBytesOf (deployment: DeploymentSettings): number | undefined {
  const { folderMegabytes } = deployment
  return folderMegabytes === 0 ? undefined : Math.floor(folderMegabytes * BYTES_PER_MEGABYTE * RECORD_SHARE)
}

/** An agent checks the certificate of the address that it connects to, so connections with TLS are not relayed. */
function entrySettingsOf ({ tls }: Settings, deployment: DeploymentSettings): EntrySettings {
  return {
    address: internalAddress(deployment, InternalPort.Entry),
    stopDeadlineSeconds: stopSeconds(deployment),
    openRequestsPerAccount: 1_000,
    ...tls === undefined && { relay: internalAddress(deployment, InternalPort.Relay) }
  }
}

/** The platform kills a process that exceeds its stop deadline, so the graceful stop must end before it. */
function stopSeconds ({ stopDeadlineSeconds }: DeploymentSettings): number {
  return Math.max(0, stopDeadlineSeconds - STOP_MARGIN_SECONDS)
}

function internalAddress ({ ip, innerPorts }: DeploymentSettings, offset: InternalPort): string {
  return `${ip}:${innerPorts[0] + offset}`
}
