/** Entries that forward connections of agents to the leader, and agents that use them. */
import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net'
import { once } from 'node:events'
import { afterEach, expect, test } from 'vitest'
import { KnownHosts } from '../src/client'
import { ControlStream } from '../src/agent/control-stream'
import { Relay, RelayRefusal } from '../src/entry/relay'
import { freePort } from './platform-fixture'
import { until } from './until'

const silent = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const cleanups: Array<() => void> = []
afterEach(() => { for (const cleanup of cleanups.splice(0)) cleanup() })

/** A leader that sends everything back. */
async function echoServer (): Promise<{ readonly address: string, readonly server: Server }> {
  const sockets = new Set<Socket>()
  const server = createServer((socket) => { sockets.add(socket.on('error', () => {}).pipe(socket)) })
  await once(server.listen(0, '127.0.0.1'), 'listening')
  cleanups.push(() => { for (const socket of sockets) socket.destroy(); server.close() })
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, server }
}

async function relayTo (lastKnown: { leader?: string, leaderSilentMilliseconds?: number }, maxConnections = 8): Promise<{ readonly relay: Relay, readonly address: string, readonly refusals: RelayRefusal[] }> {
  const address = `127.0.0.1:${await freePort()}`
  const refusals: RelayRefusal[] = []
  const relay = await Relay.listen({ address, maxConnections, leader: { lastKnown }, logger: silent, onRefusal: (reason) => { refusals.push(reason) } })
  cleanups.push(() => { relay.close() })
  return { relay, address, refusals }
}

function dial (address: string): Socket {
  const [ip, port] = address.split(':') as [string, string]
  const socket = connect(Number(port), ip).on('error', () => {})
  cleanups.push(() => { socket.destroy() })
  return socket
}

test('bytes pass in both directions, and each end that closes closes the other', async () => {
  const leader = await echoServer()
  const { relay, address } = await relayTo({ leader: leader.address, leaderSilentMilliseconds: 0 })
  const first = dial(address)
  first.write('report')
  expect(String((await once(first, 'data'))[0])).toBe('report')
  expect(relay.connections).toBe(1)
  first.destroy()
  await until(() => relay.connections === 0)
  const second = dial(address)
  second.write('report')
  await once(second, 'data')
  relay.close()
  await once(second, 'close')
})

test.each([
  ['no leader was ever found', {}],
  ['the leader has been silent for longer than two confirmations', { leader: '127.0.0.1:1', leaderSilentMilliseconds: 2_501 }]
])('a connection is closed at once where %s', async (_case, lastKnown) => {
  const { address, refusals, relay } = await relayTo(lastKnown)
  await once(dial(address), 'close')
  expect(refusals).toEqual([RelayRefusal.NoLeader])
  expect(relay.connections).toBe(0)
})

test('connections over the limit are closed, until one of the others ends', async () => {
  const leader = await echoServer()
  const { relay, address, refusals } = await relayTo({ leader: leader.address, leaderSilentMilliseconds: 0 }, 1)
  const first = dial(address)
  await until(() => relay.connections === 1)
  await once(dial(address), 'close')
  expect(refusals).toEqual([RelayRefusal.Connections])
  first.destroy()
  await until(() => relay.connections === 0)
  const third = dial(address)
  third.write('report')
  expect(String((await once(third, 'data'))[0])).toBe('report')
})

test('a connection is closed where the leader does not accept it', async () => {
  const { address } = await relayTo({ leader: `127.0.0.1:${await freePort()}`, leaderSilentMilliseconds: 0 })
  await once(dial(address), 'close')
})

test('relays beside a control host are tried only where there are no others', () => {
  const hosts = KnownHosts.create(['10.0.0.1:7000'])
  expect(hosts.nextRelay()).toBeUndefined()
  hosts.updateRelays(['10.0.0.1:7002'])
  expect(hosts.nextRelay()).toBe('10.0.0.1:7002')
  hosts.updateRelays(['10.0.0.1:7002', '10.0.0.2:7002', '10.0.0.3:7002'])
  hosts.updateRelays([])
  expect([hosts.nextRelay(), hosts.nextRelay()].sort()).toEqual(['10.0.0.2:7002', '10.0.0.3:7002'])
})

/** Records the hosts that a stream dials, each with an answer or none. */
async function dialled (answer: { readonly code: string, readonly leader: string } | undefined, count: number): Promise<string[]> {
  const hosts = KnownHosts.create(['127.0.0.1:1'])
  hosts.updateRelays(['127.0.0.2:2'])
  const seen: string[] = []
  const stream = ControlStream.create<object, object>(hosts, {
    open: (client) => {
      const call = client.supervise()
      seen.push(client.getChannel().getTarget().replace('dns:', ''))
      call.cancel = () => {}
      setImmediate(() => { if (answer === undefined) call.emit('error', new Error('cut')); else call.emit('data', {}) })
      return call as never
    },
    refusalOf: () => answer as never
  }, { opened: () => {}, received: () => {}, closed: () => {} })
  cleanups.push(() => { void stream.stop() })
  stream.start()
  await until(() => seen.length >= count)
  return seen.slice(0, count)
}

test('an agent dials a relay after each control host that did not answer', async () => {
  expect(await dialled(undefined, 4)).toEqual(['127.0.0.1:1', '127.0.0.2:2', '127.0.0.1:1', '127.0.0.2:2'])
})

test('an agent dials no relay after a control host that answered that it does not lead', async () => {
  expect(await dialled({ code: 'not-leader', leader: '' }, 3)).toEqual(['127.0.0.1:1', '127.0.0.1:1', '127.0.0.1:1'])
})
