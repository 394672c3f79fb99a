import { Server, ServerCredentials } from '@grpc/grpc-js'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, expect, test } from 'vitest'
import { DisklessPeer } from '../src/control/diskless'
import { Replica, AgreementRole, type CommittedEntry } from '../src/control/replica'

interface Host {
  readonly replica: Replica
  readonly server: Server
  readonly address: string
  readonly committed: CommittedEntry[]
  role: AgreementRole
}

const cleanups: Array<() => Promise<void>> = []
afterEach(async () => { for (const cleanup of cleanups.splice(0).reverse()) await cleanup() })

async function freePort (): Promise<number> {
  const server = new Server()
  const port = await bind(server, '127.0.0.1:0')
  server.forceShutdown()
  return port
}

async function bind (server: Server, address: string): Promise<number> {
  return await new Promise((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => { if (error === null) resolve(port); else reject(error) })
  })
}

async function startHost (folder: string, address: string, bootstrap: readonly string[], wantedVoters?: number): Promise<Host> {
  const server = new Server()
  const committed: CommittedEntry[] = []
  const created = await Replica.create({
    folder,
    address,
    bootstrap,
    wantedVoters,
    host: address,
    server,
    onCommit: (entries) => { committed.push(...entries) },
    onRestore: () => {},
    takeSnapshot: () => new Uint8Array(0),
    onRole: (role) => { host.role = role },
    log: () => {}
  })
  const host: Host = { replica: created._unsafeUnwrap(), server, address, committed, role: AgreementRole.Learner }
  await bind(server, address)
  host.replica.start()
  return host
}

async function stopHost (host: Host): Promise<void> {
  await host.replica.stop()
  host.server.forceShutdown()
}

async function until<T> (find: () => T | undefined): Promise<T> {
  for (;;) {
    const found = find()
    if (found !== undefined) return found
    await new Promise((resolve) => setTimeout(resolve, 10))
  }
}

function texts (host: Host): string[] {
  return host.committed.filter((entry) => entry.data.length > 0).map((entry) => Buffer.from(entry.data).toString())
}

async function startCluster (count: number): Promise<{ hosts: Host[], folder: string, addresses: string[] }> {
  const folder = await mkdtemp(join(tmpdir(), 'bramleyflow-'))
  cleanups.push(async () => { await rm(folder, { recursive: true }) })
  const addresses: string[] = []
  for (let host = 0; host < count; host++) addresses.push(`127.0.0.1:${await freePort()}`)
  const hosts = await Promise.all(addresses.map(async (address, position) => await startHost(join(folder, String(position)), address, addresses)))
  return { hosts, folder, addresses }
}

const leaderOf = (hosts: readonly Host[]): Host | undefined => hosts.find((host) => host.role === AgreementRole.Leader)

test('a single host founds a cluster, commits, and recovers its log and identity after a restart', async () => {
  const { hosts, folder, addresses } = await startCluster(1)
  const first = await until(() => leaderOf(hosts))
  first.replica.propose(Buffer.from('one'))
  await until(() => texts(first).length === 1 ? true : undefined)
  expect((await first.replica.confirmLeadership()).isOk()).toBe(true)
  await stopHost(first)
  const restarted = await startHost(join(folder, '0'), addresses[0] ?? '', addresses)
  cleanups.push(async () => { await stopHost(restarted) })
  await until(() => texts(restarted).length === 1 ? true : undefined)
  expect(texts(restarted)).toEqual(['one'])
  expect(restarted.replica.status().identity).toBe(first.replica.status().identity)
})

// A host whose data folder was emptied has forgotten its votes, so it must come back as a new member.
test('three hosts replicate, transfer leadership on stop, and replace a host whose data folder was emptied', async () => {
  const { hosts, folder, addresses } = await startCluster(3)
  const leader = await until(() => leaderOf(hosts))
  leader.replica.propose(Buffer.from('before'))
  await until(() => hosts.every((host) => texts(host).length === 1) ? true : undefined)
  const lost = leader.replica.status().identity
  await stopHost(leader)
  const others = hosts.filter((host) => host !== leader)
  const successor = await until(() => leaderOf(others))
  await rm(join(folder, String(hosts.indexOf(leader))), { recursive: true })
  const replacement = await startHost(join(folder, String(hosts.indexOf(leader))), leader.address, addresses)
  cleanups.push(async () => { for (const host of [...others, replacement]) await stopHost(host) })
  const members = await until(() => {
    const found = successor.replica.status().members
    return found.length === 3 && found.every((member) => member.voter && member.identity !== lost) ? found : undefined
  })
  expect(members.map((member) => member.address).sort()).toEqual([...addresses].sort())
  const newLeader = await until(() => leaderOf([...others, replacement]))
  newLeader.replica.propose(Buffer.from('after'))
  await until(() => texts(replacement).length === 2 ? true : undefined)
  expect(texts(replacement)).toEqual(['before', 'after'])
})

// A seed without a disk cannot vote, so a cluster founded with it would count a voter that never answers.
test('a seed without a disk is left out, and hosts outside the seed list join until the target number of voters is reached', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'bramleyflow-'))
  const addresses = await Promise.all([0, 1, 2, 3, 4, 5, 6].map(async () => `127.0.0.1:${await freePort()}`))
  const [diskless = '', ...stores] = addresses
  const seeds = [diskless, ...stores.slice(0, 2)]
  const hosts = await Promise.all(stores.map(async (address, position) => await startHost(join(folder, String(position)), address, seeds, 5)))
  const peer = (await DisklessPeer.listen(diskless))._unsafeUnwrap()
  cleanups.push(async () => {
    peer.close()
    for (const host of hosts) await stopHost(host)
    await rm(folder, { recursive: true })
  })
  const leader = await until(() => leaderOf(hosts))
  const members = await until(() => {
    const found = leader.replica.status().members
    return found.length === 6 && found.filter(({ voter }) => voter).length === 5 ? found : undefined
  })
  expect(members.map(({ address }) => address).sort()).toEqual([...stores].sort())
})
