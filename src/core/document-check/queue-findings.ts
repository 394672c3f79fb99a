/** Entries of a queue document that can never match, and limits that contradict each other. */
import type { Queue, QueueAccount, QueueDocument } from '../steps/document'
import { FindingKind, type Finding } from './finding'

/** Accelerators of each service's workers, by the name of the service. */
export type FleetSize = ReadonlyMap<string, number>

type Check = (document: QueueDocument, fleet: FleetSize | undefined) => Finding[]

/** Limit of hidden parts that are listed for one queue. */
const MAX_HIDDEN_PARTS = 5

const checks: readonly Check[] = [
  ({ queues }) => queues.flatMap((queue, position) => addressFindings(queues, queue, `/queues/${position}`)),
  ({ queues }) => queues.flatMap((queue, position) => limitFindings(queue, `/queues/${position}`)),
  serviceFindings,
  accountFindings,
  guaranteeFindings
]

/**
 * Finds what is accepted and can hardly be meant.
 * @param document - a valid document
 * @param fleet - size of the fleet; undefined where it is not known
 * @returns the findings in the order of the document
 */
export function queueFindings (document: QueueDocument, fleet?: FleetSize): Finding[] {
  return checks.flatMap((check) => check(document, fleet))
}

function addressFindings (queues: readonly Queue[], { name, host, prefix }: Queue, path: string): Finding[] {
  if (host === '') return [{ kind: FindingKind.UnreachableQueue, path: `${path}/host`, text: `queue ${name} has no host, so that requests reach it by its name only` }]
  if (!prefix.startsWith('/')) return [{ kind: FindingKind.UnreachableQueue, path: `${path}/prefix`, text: `the prefix ${prefix} of queue ${name} does not begin with /, as every path does; requests reach it by its name only` }]
  const longer = queues.filter((other) => other.host === host && other.prefix !== prefix && other.prefix.startsWith(prefix))
  return longer.slice(0, MAX_HIDDEN_PARTS).map((other) => ({
    kind: other.prefix === `${prefix}/` ? FindingKind.HiddenQueue : FindingKind.PartlyHiddenQueue,
    path: `${path}/prefix`,
    text: `paths that begin with ${other.prefix} go to queue ${other.name}, not to queue ${name}`
  }))
}

function limitFindings ({ name, timeoutMilliseconds, targetLatencyMilliseconds, slackFactor }: Queue, path: string): Finding[] {
  const findings: Finding[] = []
  if (timeoutMilliseconds < targetLatencyMilliseconds) {
    findings.push({ kind: FindingKind.TimeoutBelowTarget, path: `${path}/timeoutMilliseconds`, text: `queue ${name} gives up a request after ${timeoutMilliseconds} ms, before its target latency of ${targetLatencyMilliseconds} ms` })
  }
  if (slackFactor === 0 && targetLatencyMilliseconds === 0) {
    findings.push({ kind: FindingKind.NoTargetTime, path: `${path}/slackFactor`, text: `queue ${name} has neither a slack factor nor a target latency, so that each of its jobs counts as late from the start` })
  }
  return findings
}

function serviceFindings ({ queues, services }: QueueDocument, fleet?: FleetSize): Finding[] {
  return services.flatMap(({ name, standby }, position): Finding[] => {
    const path = `/services/${position}`
    const served = queues.filter((queue) => queue.service === name).map((queue) => queue.name)
    if (served.length === 0) return [{ kind: FindingKind.ServiceWithoutQueues, path, text: `service ${name} has no queue, so that its workers get no work` }]
    if (standby) return [{ kind: FindingKind.StandbyServiceInUse, path: `${path}/standby`, text: `the hosts of service ${name} are powered off; jobs of ${listed(served)} wait until they run` }]
    if (fleet === undefined || fleet.has(name)) return []
    return [{ kind: FindingKind.ServiceWithoutWorkers, path, text: `service ${name} has no workers; jobs of ${listed(served)} wait until it has` }]
  })
}

function accountFindings ({ queues, accounts }: QueueDocument): Finding[] {
  const urgent = queues.some(({ priority }) => priority === 0)
  return accounts.flatMap(({ name, keys, guaranteedAccelerators }, position) => {
    const findings: Finding[] = []
    if (keys.length === 0) findings.push({ kind: FindingKind.AccountWithoutKeys, path: `/accounts/${position}/keys`, text: `account ${name} has no key, so that no request with a key is made in its name` })
    if (guaranteedAccelerators > 0 && !urgent) {
      findings.push({ kind: FindingKind.GuaranteeWithoutQueue, path: `/accounts/${position}/guaranteedAccelerators`, text: `the guarantee of account ${name} covers jobs of priority 0, and no queue has this priority` })
    }
    return findings
  })
}

/** Only workers of services that run a queue of priority 0 can serve a guarantee. */
function guaranteeFindings ({ queues, accounts }: QueueDocument, fleet?: FleetSize): Finding[] {
  if (fleet === undefined) return []
  const services = new Set(queues.filter(({ priority }) => priority === 0).map(({ service }) => service))
  const available = [...services].reduce((sum, service) => sum + (fleet.get(service) ?? 0), 0)
  const guaranteed = accounts.reduce((sum, account) => sum + account.guaranteedAccelerators, 0)
  if (guaranteed <= available) return []
  return [{ kind: FindingKind.GuaranteesBeyondFleet, path: '/accounts', text: `${guaranteed} accelerators are guaranteed (${accounts.filter(isGuaranteed).map(guaranteeName).join(', ')}), and services with queues of priority 0 have ${available}` }]
}

function isGuaranteed ({ guaranteedAccelerators }: QueueAccount): boolean {
  return guaranteedAccelerators > 0
}

function guaranteeName ({ name, guaranteedAccelerators }: QueueAccount): string {
  return `${name} ${guaranteedAccelerators}`
}

function listed (queues: readonly string[]): string {
  return `${queues.length === 1 ? 'queue' : 'queues'} ${queues.join(', ')}`
}
