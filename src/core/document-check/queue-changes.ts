/** Describes in words what a queue document changes. */
import type { Queue, QueueAccount, QueueDocument, Service } from '../steps/document'

interface Named {
  readonly name: string
}

/** The fields of queues and services with their names for operators and their units. */
const queueFields: Readonly<Record<Exclude<keyof Queue, 'name'>, (value: Queue) => string>> = {
  host: ({ host }) => `host ${host || 'none'}`,
  prefix: ({ prefix }) => `prefix ${prefix}`,
  service: ({ service }) => `service ${service}`,
  priority: ({ priority }) => `priority ${priority}`,
  mostAttempts: ({ mostAttempts }) => `attempts ${mostAttempts}`,
  slackFactor: ({ slackFactor }) => `slack factor ${slackFactor}`,
  targetLatencyMilliseconds: ({ targetLatencyMilliseconds }) => `target latency ${targetLatencyMilliseconds} ms`,
  timeoutMilliseconds: ({ timeoutMilliseconds }) => `timeout ${timeoutMilliseconds} ms`,
  public: (queue) => queue.public ? 'open to requests without a key' : 'for requests with a key'
}

const serviceFields: Readonly<Record<Exclude<keyof Service, 'name'>, (value: Service) => string>> = {
  guardsCapacity: ({ guardsCapacity }) => guardsCapacity ? 'its workers guard their capacity' : 'its workers do not guard their capacity',
  standby: ({ standby }) => standby ? 'its hosts are powered off' : 'its hosts run'
}

/**
 * Lists what changes from one document to another.
 * @param before - the document in force; undefined where there is none
 * @param after - the new document
 * @returns one line for each change; the order of entries is no change
 */
export function queueChanges (before: QueueDocument | undefined, after: QueueDocument): string[] {
  const { queues, services, accounts } = before ?? { queues: [], services: [], accounts: [] }
  return [
    ...changesOf('queue', queues, after.queues, {
      added: (queue) => Object.values(queueFields).map((show) => show(queue)).join(', '),
      removed: () => 'requests to it are refused; jobs that were accepted go on',
      changed: (earlier, later) => fieldChanges(queueFields, earlier, later)
    }),
    ...changesOf('service', services, after.services, {
      added: (service) => Object.values(serviceFields).map((show) => show(service)).join(', '),
      removed: () => 'its workers get no new work',
      changed: (earlier, later) => fieldChanges(serviceFields, earlier, later)
    }),
    ...changesOf('account', accounts, after.accounts, {
      added: ({ keys, guaranteedAccelerators }) => `${counted(keys.length, 'key')}, ${counted(guaranteedAccelerators, 'guaranteed accelerator')}`,
      removed: ({ guaranteedAccelerators }) => guaranteedAccelerators > 0 ? `its keys are refused; its guarantee of ${counted(guaranteedAccelerators, 'accelerator')} ends` : 'its keys are refused',
      changed: accountChanges
    })
  ]
}

interface Descriptions<Entry> {
  readonly added: (entry: Entry) => string
  readonly removed: (entry: Entry) => string
  readonly changed: (earlier: Entry, later: Entry) => readonly string[]
}

function changesOf<Entry extends Named> (noun: string, before: readonly Entry[], after: readonly Entry[], descriptions: Descriptions<Entry>): string[] {
  const earlier = new Map(before.map((entry) => [entry.name, entry]))
  const later = new Set(after.map(({ name }) => name))
  const addedOrChanged = after.flatMap((entry) => {
    const known = earlier.get(entry.name)
    if (known === undefined) return [`${noun} ${entry.name} is added: ${descriptions.added(entry)}`]
    const fields = descriptions.changed(known, entry)
    return fields.length === 0 ? [] : [`${noun} ${entry.name} changes: ${fields.join('; ')}`]
  })
  const removed = before.filter(({ name }) => !later.has(name)).map((entry) => `${noun} ${entry.name} is removed: ${descriptions.removed(entry)}`)
  return [...addedOrChanged, ...removed]
}

function fieldChanges<Entry> (fields: Readonly<Record<string, (entry: Entry) => string>>, earlier: Entry, later: Entry): string[] {
  return Object.values(fields).flatMap((show) => show(earlier) === show(later) ? [] : [`${show(earlier)} becomes ${show(later)}`])
}

function accountChanges (earlier: QueueAccount, later: QueueAccount): string[] {
  const added = later.keys.filter((key) => !earlier.keys.includes(key)).length
  const removed = earlier.keys.filter((key) => !later.keys.includes(key)).length
  return [
    ...added > 0 ? [`${counted(added, 'key')} added`] : [],
    ...removed > 0 ? [`${counted(removed, 'key')} removed, requests with them are refused`] : [],
    ...earlier.guaranteedAccelerators === later.guaranteedAccelerators ? [] : [`guarantee of ${counted(earlier.guaranteedAccelerators, 'accelerator')} becomes ${later.guaranteedAccelerators}`]
  ]
}

function counted (count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? '' : 's'}`
}
