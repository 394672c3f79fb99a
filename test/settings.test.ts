import { expect, test } from 'vitest'
import { checkSettings, loadSettings, parseAddress, problemLines } from '../src/settings/index'

const laptop = {
  host: 'laptop',
  roles: ['entry', 'control'],
  region: 'home',
  dataCentre: 'desk',
  control: { address: '127.0.0.1:7100', folder: '.data', voters: ['127.0.0.1:7100'] },
  entry: { address: '127.0.0.1:7000' }
}

const problemsOf = (json: unknown): string[] => problemLines(checkSettings(json)._unsafeUnwrapErr())

test('defaults are added, and control hosts default to the initial voters', () => {
  expect(checkSettings(laptop)._unsafeUnwrap()).toMatchInlineSnapshot(`
    {
      "control": {
        "address": "127.0.0.1:7100",
        "folder": ".data",
        "voters": [
          "127.0.0.1:7100",
        ],
      },
      "controlHosts": [
        "127.0.0.1:7100",
      ],
      "dataCentre": "desk",
      "entry": {
        "address": "127.0.0.1:7000",
        "openRequestsPerAccount": 1000,
        "stopDeadlineSeconds": 30,
      },
      "host": "laptop",
      "logLevel": "info",
      "region": "home",
      "roles": [
        "entry",
        "control",
      ],
    }
  `)
})

test('all problems are reported together, each with path, value and expected value', () => {
  expect(problemsOf({ ...laptop, host: '', colour: 'green', roles: ['chief'], control: { ...laptop.control, voters: 7 } })).toMatchInlineSnapshot(`
    [
      "/colour: found "green", expected no such field; the fields are host, roles, region, dataCentre, logLevel, controlHosts, control, entry, agent, deployment, tls",
      "/host: found "", expected a string of at least 1 characters of at most 64 characters matching ^[A-Za-z0-9][A-Za-z0-9._-]*$",
      "/roles/0: found "chief", expected one of "entry", "control", "agent"",
      "/control/voters: found 7, expected an array of at least 1 items of at most 7 items",
    ]
  `)
})

test('inconsistencies between sections are reported', () => {
  expect(problemsOf({
    ...laptop,
    roles: ['entry', 'control', 'agent'],
    controlHosts: ['999.0.0.1:70000'],
    control: { ...laptop.control, voters: ['127.0.0.1:7100', '127.0.0.1:7100'] }
  })).toMatchInlineSnapshot(`
    [
      "/controlHosts/0: found "999.0.0.1:70000", expected an IP address and a port up to 65535",
      "/agent: found nothing, expected a section agent, because it is one of the roles",
      "/control/voters: found ["127.0.0.1:7100","127.0.0.1:7100"], expected each voter once",
    ]
  `)
  expect(problemsOf({ host: 'a', roles: ['entry'], region: 'b', dataCentre: 'c', entry: { address: '127.0.0.1:1' } })).toMatchInlineSnapshot(`
    [
      "/controlHosts: found [], expected at least one address of a control host",
    ]
  `)
})

test('a missing file and invalid JSON are reported as problems', async () => {
  const missing = await loadSettings('test/no-such-file.json')
  expect(problemLines(missing._unsafeUnwrapErr())).toMatchInlineSnapshot(`
    [
      "/: found "test/no-such-file.json", expected a readable file: ENOENT: no such file or directory, open 'test/no-such-file.json'",
    ]
  `)
  const broken = await loadSettings('test/settings.test.ts')
  expect(broken._unsafeUnwrapErr()[0]?.value).toBe('the file')
})

test('addresses are split at the last colon, also with IPv6', () => {
  expect(parseAddress('[::1]:7000')).toEqual({ ip: '::1', port: 7000 })
})
