/** The roles as run by the users' platform: each also serves the platform's HTTP API. */
import type { EntryHost } from '../entry/index'
import type { HttpLimits } from '../http/index'
import { createLogger } from '../logging'
import { Role, controlAddressOf, controlHostsOf, type DeploymentSettings, type Settings, type TlsFiles } from '../settings/index'
import { createEventLog, startControl, startEntryHost, type RunningRole, type StartRole } from './roles'

/** Time allowed for open responses to operators, and for an agent's streams, to end. */
const SERVER_STOP_DEADLINE_MILLISECONDS = 1_500

function deploymentOf ({ deployment }: Settings): DeploymentSettings {
  if (deployment === undefined) throw new Error('the settings have no deployment section')
  return deployment
}

function requiredAddress (endpoint: keyof DeploymentSettings & ('clients' | 'readiness' | 'operators' | 'workers'), deployment: DeploymentSettings): string {
  const address = deployment[endpoint]
  if (address === undefined) throw new Error(`the deployment section has no address for ${endpoint}`)
  return address
}

/** Starts the HTTP server for clients first, so that clients get answers while the rest of the entry is still loading. */
async function startDeployedEntry (settings: Settings, tls: TlsFiles | undefined, limits: HttpLimits): Promise<RunningRole> {
  const { connectControl, KnownHosts, QueueClient } = await import('../client/index')
  const { ClientServer } = await import('../../platform/client-api')
  const { DocumentLimits } = await import('../../platform/document-limits')
  const deployment = deploymentOf(settings)
  const connection = connectControl(KnownHosts.createAtRandom(settings.controlHosts), createLogger(Role.Entry, settings.logLevel), tls)
  const started: { host?: EntryHost } = {}
  const queues = QueueClient.create(connection.leader)
  const documentLimits = DocumentLimits.create(queues)
  const server = await ClientServer.open({
    address: requiredAddress('clients', deployment),
    readinessAddress: requiredAddress('readiness', deployment),
    limits,
    requestLimits: () => documentLimits.inForce,
    queues,
    ready: () => started.host?.ready === true
  })
  const entry = await startEntryHost(settings, tls, { connection, limits, onDocumentNumber: (number) => { documentLimits.follow(number) } })
  started.host = entry.host
  return {
    role: Role.Entry,
    stopDeadlineMilliseconds: entry.stopDeadlineMilliseconds,
    stop: async (deadlineMilliseconds) => {
      await server.close()
      return await entry.stop(deadlineMilliseconds)
    },
    reload: (fresh) => { connection.hosts.replaceSeeds(controlHostsOf(deploymentOf(fresh))) }
  }
}

async function startDiskless (settings: Settings, tls: TlsFiles | undefined): Promise<RunningRole> {
  const { DisklessPeer } = await import('../control/diskless')
  const { mutualCredentials } = await import('./credentials')
  const address = controlAddressOf(deploymentOf(settings))
  const listening = await DisklessPeer.listen(address, mutualCredentials(tls).serverCredentials)
  if (listening.isErr()) throw listening.error
  createLogger(Role.Control, settings.logLevel).info('diskless', { address })
  return {
    role: Role.Control,
    stopDeadlineMilliseconds: 0,
    stop: async () => {
      listening.value.close()
      return await Promise.resolve([])
    }
  }
}

/** Includes the host's own replica, which knows the leader even when none of the seeds exists any more. */
function knownControlHosts ({ controlHosts, control }: Settings): string[] {
  return [...new Set([...controlHosts, ...control === undefined ? [] : [control.address]])]
}

/** A control host without a disk stores nothing; its HTTP server forwards operators' requests to the leader. */
async function startDeployedControl (settings: Settings, tls: TlsFiles | undefined, limits: HttpLimits): Promise<RunningRole> {
  const { connectControl, EvacuationClient, KnownHosts, QueueClient } = await import('../client/index')
  const { OperatorServer } = await import('../../platform/operator')
  const control = settings.control === undefined ? await startDiskless(settings, tls) : await startControl(settings, tls, limits)
  const { hosts, channels, leader } = connectControl(KnownHosts.createAtRandom(knownControlHosts(settings)), createLogger(Role.Control, settings.logLevel), tls)
  const server = await OperatorServer.open({ address: requiredAddress('operators', deploymentOf(settings)), limits, queues: QueueClient.create(leader), evacuations: EvacuationClient.create(leader) })
  return {
    role: Role.Control,
    stopDeadlineMilliseconds: control.stopDeadlineMilliseconds + SERVER_STOP_DEADLINE_MILLISECONDS,
    stop: async (deadlineMilliseconds) => {
      await server.close()
      channels.close()
      return await control.stop(deadlineMilliseconds)
    },
    reload: (fresh) => { hosts.replaceSeeds(knownControlHosts({ ...settings, controlHosts: controlHostsOf(deploymentOf(fresh)) })) }
  }
}

async function startSupervisor (settings: Settings, tls: TlsFiles | undefined, limits: HttpLimits): Promise<RunningRole> {
  const { Supervisor } = await import('../agent/supervisor')
  const { KnownHosts } = await import('../client/known-hosts')
  const { WorkerClient, HeartbeatServer } = await import('../../platform/worker')
  const { mutualCredentials } = await import('./credentials')
  const hosts = KnownHosts.createAtRandom(settings.controlHosts)
  const supervisor = Supervisor.create({
    host: settings.host,
    hosts,
    worker: WorkerClient.create(),
    credentials: mutualCredentials(tls).channelCredentials,
    log: createEventLog(createLogger(Role.Agent, settings.logLevel))
  })
  const server = await HeartbeatServer.open(requiredAddress('workers', deploymentOf(settings)), limits, supervisor)
  supervisor.start()
  return {
    role: Role.Agent,
    stopDeadlineMilliseconds: SERVER_STOP_DEADLINE_MILLISECONDS,
    stop: async () => {
      await server.close()
      await supervisor.stop()
      return []
    },
    reload: (fresh) => { hosts.replaceSeeds(controlHostsOf(deploymentOf(fresh))) }
  }
}

/** Start function of each role on the users' platform. */
export const startDeployedRole: Readonly<Record<Role, StartRole>> = {
  [Role.Control]: startDeployedControl,
  [Role.Entry]: startDeployedEntry,
  [Role.Agent]: startSupervisor
}
