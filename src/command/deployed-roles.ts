/** The roles as the users' platform runs them: each with the platform's door in front of it. */
import type { EntryHost } from '../entry/index'
import { createLogger } from '../logging'
import { Role, controlAddressOf, controlHostsOf, type DeploymentSettings, type Settings, type TlsFiles } from '../settings/index'
import { logTo, startControl, startEntryHost, type RunningRole, type StartRole } from './roles'

/** Time for open answers of the operator, and for the streams of an agent, to end. */
const SHORT_STOP_MILLISECONDS = 1_500

function deploymentOf ({ deployment }: Settings): DeploymentSettings {
  if (deployment === undefined) throw new Error('the settings have no section deployment')
  return deployment
}

function doorAddress (door: keyof DeploymentSettings & ('clients' | 'readiness' | 'operators' | 'workers'), deployment: DeploymentSettings): string {
  const address = deployment[door]
  if (address === undefined) throw new Error(`the section deployment names no address for ${door}`)
  return address
}

/** The door opens first: clients are answered while the rest of the entry is still being loaded. */
async function startDeployedEntry (settings: Settings, tls: TlsFiles | undefined): Promise<RunningRole> {
  const { connectControl, KnownHosts, QueueClient } = await import('../client/index')
  const { ClientDoor } = await import('../../platform/client-api')
  const deployment = deploymentOf(settings)
  const connection = connectControl(KnownHosts.createSpread(settings.controlHosts), createLogger(Role.Entry, settings.logLevel), tls)
  const started: { host?: EntryHost } = {}
  const door = await ClientDoor.open({
    address: doorAddress('clients', deployment),
    readinessAddress: doorAddress('readiness', deployment),
    queues: QueueClient.create(connection.leader),
    ready: () => started.host?.ready === true
  })
  const entry = await startEntryHost(settings, tls, connection)
  started.host = entry.host
  return {
    role: Role.Entry,
    stopDeadlineMilliseconds: entry.stopDeadlineMilliseconds,
    stop: async (deadlineMilliseconds) => {
      await door.close()
      return await entry.stop(deadlineMilliseconds)
    },
    reload: (fresh) => { connection.hosts.reseed(controlHostsOf(deploymentOf(fresh))) }
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

/** The host's own replica knows the leader even where all seeds are gone. */
function askedHosts ({ controlHosts, control }: Settings): string[] {
  return [...new Set([...controlHosts, ...control === undefined ? [] : [control.address]])]
}

/** A control host without a disk keeps nothing: its door asks the leader. */
async function startDeployedControl (settings: Settings, tls: TlsFiles | undefined): Promise<RunningRole> {
  const { connectControl, KnownHosts, QueueClient } = await import('../client/index')
  const { OperatorDoor } = await import('../../platform/operator')
  const control = settings.control === undefined ? await startDiskless(settings, tls) : await startControl(settings, tls)
  const { hosts, channels, leader } = connectControl(KnownHosts.createSpread(askedHosts(settings)), createLogger(Role.Control, settings.logLevel), tls)
  const door = await OperatorDoor.open({ address: doorAddress('operators', deploymentOf(settings)), queues: QueueClient.create(leader) })
  return {
    role: Role.Control,
    stopDeadlineMilliseconds: control.stopDeadlineMilliseconds + SHORT_STOP_MILLISECONDS,
    stop: async (deadlineMilliseconds) => {
      await door.close()
      channels.close()
      return await control.stop(deadlineMilliseconds)
    },
    reload: (fresh) => { hosts.reseed(askedHosts({ ...settings, controlHosts: controlHostsOf(deploymentOf(fresh)) })) }
  }
}

async function startSupervisor (settings: Settings, tls: TlsFiles | undefined): Promise<RunningRole> {
  const { Supervisor } = await import('../agent/supervisor')
  const { KnownHosts } = await import('../client/known-hosts')
  const { WorkerClient, WorkerDoor } = await import('../../platform/worker')
  const { mutualCredentials } = await import('./credentials')
  const hosts = KnownHosts.createSpread(settings.controlHosts)
  const supervisor = Supervisor.create({
    host: settings.host,
    hosts,
    worker: WorkerClient.create(),
    credentials: mutualCredentials(tls).channelCredentials,
    log: logTo(createLogger(Role.Agent, settings.logLevel))
  })
  const door = await WorkerDoor.open(doorAddress('workers', deploymentOf(settings)), supervisor)
  supervisor.start()
  return {
    role: Role.Agent,
    stopDeadlineMilliseconds: SHORT_STOP_MILLISECONDS,
    stop: async () => {
      await door.close()
      await supervisor.stop()
      return []
    },
    reload: (fresh) => { hosts.reseed(controlHostsOf(deploymentOf(fresh))) }
  }
}

/** How each role is started on the users' platform. */
export const startDeployedRole: Readonly<Record<Role, StartRole>> = {
  [Role.Control]: startDeployedControl,
  [Role.Entry]: startDeployedEntry,
  [Role.Agent]: startSupervisor
}
