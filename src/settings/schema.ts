import { Type, type Static } from '@sinclair/typebox'

/** What a process of bramleyflow does. One process may have several roles. */
export enum Role {
  Entry = 'entry',
  Control = 'control',
  Agent = 'agent'
}

/** The least severe log lines that are written. */
export enum LogLevel {
  Trace = 'trace',
  Debug = 'debug',
  Information = 'info',
  Warning = 'warn',
  Error = 'error',
  Silent = 'silent'
}

const strict = { additionalProperties: false }
const name = Type.String({ minLength: 1, maxLength: 64, pattern: '^[A-Za-z0-9][A-Za-z0-9._-]*$' })
const path = Type.String({ minLength: 1 })
const address = Type.String({
  pattern: '^([0-9.]+|\\[[0-9a-fA-F:.]+\\]):[0-9]{1,5}$', description: 'an IP number and a port, such as 10.0.0.1:7000'
})
const base = Type.String({
  pattern: '^http://([0-9.]+|\\[[0-9a-fA-F:.]+\\]):[0-9]{1,5}$', description: 'an HTTP address by IP number, such as http://10.0.0.1:8000'
})
const stopDeadlineSeconds = Type.Number({
  minimum: 0, maximum: 3_600, default: 30, description: 'longest time of a graceful stop'
})

/** Settings of the control role. */
export const controlSettingsSchema = Type.Object({
  address,
  folder: Type.String({ minLength: 1, description: 'the one data folder; nothing is written outside it' }),
  voters: Type.Array(address, { minItems: 1, maxItems: 7, description: 'the first voters, the same list on each of them' }),
  metrics: Type.Optional(address)
}, strict)
/** See {@link controlSettingsSchema}. */
export type ControlSettings = Static<typeof controlSettingsSchema>

/** Settings of the entry role. */
export const entrySettingsSchema = Type.Object({
  address,
  stopDeadlineSeconds,
  openRequestsPerAccount: Type.Integer({
    minimum: 1, maximum: 100_000, default: 1_000, description: 'requests of one account held at this entry; more are refused'
  }),
  bootstrapTokenDigest: Type.Optional(Type.String({
    pattern: '^[0-9a-f]{64}$', description: 'SHA-256 of the token that may write the first document, in hexadecimal'
  }))
}, strict)
/** See {@link entrySettingsSchema}. */
export type EntrySettings = Static<typeof entrySettingsSchema>

/** Settings of the agent role. */
export const agentSettingsSchema = Type.Object({
  worker: name,
  rack: name,
  accelerators: Type.Integer({ minimum: 0, maximum: 8 }),
  slots: Type.Integer({ minimum: 1, maximum: 8, default: 8 }),
  processors: Type.Integer({ minimum: 1, maximum: 1_024 }),
  memoryMegabytes: Type.Integer({ minimum: 1, maximum: 4_194_304 }),
  platform: base,
  target: base,
  connections: Type.Integer({ minimum: 4, maximum: 64, default: 64, description: 'most connections to target and platform in all, three of them for the platform and for asking the target whether it answers' }),
  stopDeadlineSeconds
}, strict)
/** See {@link agentSettingsSchema}. */
export type AgentSettings = Static<typeof agentSettingsSchema>

/** Certificate files for TLS; mutual between the system's own processes. */
export const tlsSettingsSchema = Type.Object({ certificate: path, key: path, authority: path }, strict)
/** See {@link tlsSettingsSchema}. */
export type TlsSettings = Static<typeof tlsSettingsSchema>

/** Settings of a process that the users' platform runs: it is told less, and finds out more, than the sections above say. */
export const deploymentSettingsSchema = Type.Object({
  ip: Type.String({ pattern: '^[0-9.]+$', description: 'own IP number' }),
  innerPorts: Type.Tuple([Type.Integer({ minimum: 1, maximum: 65_535 }), Type.Integer({ minimum: 1, maximum: 65_535 })], {
    description: 'first and last port for the system\'s own use, the same on all hosts'
  }),
  seeds: Type.Array(address, { description: 'some control hosts, at any of their ports' }),
  founding: Type.Boolean({ description: 'the whole system starts for the first time' }),
  folder: Type.Optional(Type.String({ minLength: 1, description: 'the one data folder; absent without a disk' })),
  folderMegabytes: Type.Integer({ minimum: 0, default: 0, description: 'size of the disk; 0 where it is not known' }),
  hostsLostAtOnce: Type.Integer({ minimum: 0, maximum: 3, default: 1, description: 'control hosts that may be lost at the same time' }),
  workerLeaseMilliseconds: Type.Integer({ minimum: 500, maximum: 600_000, default: 6_000, description: 'longest lease that a worker grants to what it runs' }),
  stopDeadlineSeconds,
  clients: Type.Optional(address),
  readiness: Type.Optional(address),
  operators: Type.Optional(address),
  workers: Type.Optional(address)
}, strict)
/** See {@link deploymentSettingsSchema}. */
export type DeploymentSettings = Static<typeof deploymentSettingsSchema>

/** The settings of one process. */
export const settingsSchema = Type.Object({
  host: name,
  roles: Type.Array(Type.Enum(Role), { minItems: 1, uniqueItems: true }),
  region: name,
  dataCentre: name,
  logLevel: Type.Enum(LogLevel, { default: LogLevel.Information }),
  controlHosts: Type.Array(address, { default: [], description: 'control hosts that entries and agents ask; by default the first voters' }),
  control: Type.Optional(controlSettingsSchema),
  entry: Type.Optional(entrySettingsSchema),
  agent: Type.Optional(agentSettingsSchema),
  deployment: Type.Optional(deploymentSettingsSchema),
  tls: Type.Optional(tlsSettingsSchema)
}, { ...strict, $id: 'bramleyflow-settings', title: 'The settings of a bramleyflow process' })
/** See {@link settingsSchema}. */
export type Settings = Static<typeof settingsSchema>
