/** Evacuations on three real control hosts: what was acknowledged survives the loss of the leader and a loss of power everywhere. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { Channels, EvacuationClient, KnownHosts, LeaderClient } from '../src/client'
import { ControlHost } from '../src/control'
import { freePort } from './platform-fixture'
import { until } from './until'

const silentLogger = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
let folder: string
let addresses: string[]
let hosts: Map<string, ControlHost>
let leading: string
let channels: Channels
let client: EvacuationClient

async function startHost (address: string): Promise<void> {
  const log = (event: string): void => { if (event === 'leading') leading = address }
  const host = (await ControlHost.create({ host: address, address, folder: join(folder, address.replace(':', '-')), voters: addresses, log }))._unsafeUnwrap()
  host.start()
  hosts.set(address, host)
}

async function stopHost (address: string): Promise<void> {
  const host = hosts.get(address)
  hosts.delete(address)
  await host?.stop()
}

/** Sends an order as the operator does, until it is acknowledged. */
async function order (dataCentre: string, evacuate: boolean): Promise<void> {
  await until(async () => (await client.change({ dataCentre, evacuate })).isOk())
}

async function evacuated (): Promise<string[]> {
  let names: string[] | undefined
  await until(async () => {
    names = (await client.list()).map((evacuations) => evacuations.map(({ dataCentre }) => dataCentre)).unwrapOr(undefined as never)
    return names !== undefined
  })
  return names ?? []
}

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'bramleyflow-evacuations-'))
  addresses = await Promise.all([1, 2, 3].map(async () => `127.0.0.1:${await freePort()}`))
  hosts = new Map()
  await Promise.all(addresses.map(startHost))
  channels = Channels.create()
  client = EvacuationClient.create(LeaderClient.create(KnownHosts.create(addresses), channels, silentLogger))
})

afterEach(async () => {
  channels.close()
  await Promise.all([...hosts.keys()].map(stopHost))
  await rm(folder, { recursive: true })
})

test('an acknowledged order is in force at the next leader, and after all hosts were stopped', async () => {
  await order('north', true)
  await order('south', true)
  await order('south', false)
  const first = leading
  await stopHost(first)
  expect(await evacuated()).toEqual(['north'])
  expect(leading).not.toBe(first)
  await Promise.all([...hosts.keys()].map(stopHost))
  await Promise.all(addresses.map(startHost))
  expect(await evacuated()).toEqual(['north'])
  await order('north', true)
  await order('north', false)
  expect(await evacuated()).toEqual([])
})

test('while leaders are stopped in the middle of orders, each order that is acknowledged is in force', async () => {
  await order('north', false)
  for (const evacuate of [true, false, true]) {
    const acknowledged = order('north', evacuate)
    const stopped = leading
    await new Promise((resolve) => { setTimeout(resolve, 2) })
    await Promise.all([stopHost(stopped), acknowledged])
    expect(await evacuated()).toEqual(evacuate ? ['north'] : [])
    await startHost(stopped)
  }
})
