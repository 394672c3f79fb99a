/** Fills the sections of a process that is run by the users' platform. */
import { parseAddress } from './address'
import { Role, type DeploymentSettings, type Settings } from './schema'

/** Offsets from the first inner port. */
enum InnerPort {
  Control = 0,
  Entry = 1
}

/** Time kept back from the platform's grace for closing sockets and files. */
const STOP_MARGIN_SECONDS = 2.5
/** Where a deployed control host serves its metrics; `deploy/system.toml` names the same port. */
const CONTROL_METRICS_PORT = 9_464
/** Share of the disk that the audit record may take; log and snapshots get the rest. */
const RECORD_SHARE = 0.25
const BYTES_PER_MEGABYTE = 1_048_576

/**
 * Derives the sections that the roles need.
 * @param settings - checked settings
 * @returns the settings with the sections of their roles, unchanged without a section deployment
 */
export function withDeployment (settings: Settings): Settings {
  const { deployment, roles } = settings
  if (deployment === undefined) return settings
  const controlHosts = controlHostsOf(deployment)
  const filled: Settings = { ...settings, controlHosts }
  if (roles.includes(Role.Entry)) filled.entry ??= { address: inner(deployment, InnerPort.Entry), stopDeadlineSeconds: stopSeconds(deployment), openRequestsPerAccount: 1_000 }
  if (roles.includes(Role.Control) && deployment.folder !== undefined) {
    filled.control ??= { address: controlAddressOf(deployment), folder: deployment.folder, voters: controlHosts, metrics: `${deployment.ip}:${CONTROL_METRICS_PORT}` }
  }
  return filled
}

/**
 * Where the control hosts of the seeds listen for the system's own processes.
 * @param deployment - the section
 * @returns addresses, in the same order on every host that was given the same seeds
 */
export function controlHostsOf (deployment: DeploymentSettings): string[] {
  const { seeds, innerPorts, ip } = deployment
  const hosts = [...new Set(seeds.map((seed) => parseAddress(seed).ip))].sort()
  return (hosts.length > 0 ? hosts : [ip]).map((host) => `${host}:${innerPorts[0] + InnerPort.Control}`)
}

/**
 * Where a control host listens for the system's own processes.
 * @param deployment - the section
 * @returns IP number and port
 */
export function controlAddressOf (deployment: DeploymentSettings): string {
  return inner(deployment, InnerPort.Control)
}

/**
 * The bytes that the audit record may take.
 * @param deployment - the section
 * @returns bytes, undefined where the size of the disk is not known
 */
export function recordBytesOf (deployment: DeploymentSettings): number | undefined {
  const { folderMegabytes } = deployment
  return folderMegabytes === 0 ? undefined : Math.floor(folderMegabytes * BYTES_PER_MEGABYTE * RECORD_SHARE)
}

/** The platform ends a process that takes longer, so the stop must be over before. */
function stopSeconds ({ stopDeadlineSeconds }: DeploymentSettings): number {
  return Math.max(0, stopDeadlineSeconds - STOP_MARGIN_SECONDS)
}

function inner ({ ip, innerPorts }: DeploymentSettings, offset: InnerPort): string {
  return `${ip}:${innerPorts[0] + offset}`
}
