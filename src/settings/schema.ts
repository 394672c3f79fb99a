import { Type, type Static } from '@sinclair/typebox'

/** Roles of a bramleyflow process. One process may have several. */
export enum Role {
  Entry = 'entry',
  Control = 'control',
  Agent = 'agent'
}

/** The lowest level of log lines that are written. */
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
  pattern: '^([0-9.]+|\\[[0-9a-fA-F:.]+\\]):[0-9]{1,5}$', description: 'an IP address and a port, for example 10.0.0.1:7000'
})
const httpUrl = Type.String({
  pattern: '^http://([0-9.]+|\\[[0-9a-fA-F:.]+\\]):[0-9]{1,5}$', description: 'an HTTP URL with an IP address, for example http://10.0.0.1:8000'
})
const stopDeadlineSeconds = Type.Number({
  minimum: 0, maximum: 3_600, default: 30, description: 'time limit of a graceful stop'
})

/** Settings of the control role. */
export const controlSettingsSchema = Type.Object({
  address,
  folder: Type.String({ minLength: 1, description: 'the data folder; no files are written outside it' }),
  voters: Type.Array(address, { minItems: 1, maxItems: 7, description: 'the initial voters; the list must be the same on each of them' }),
  metrics: Type.Optional(address)
}, strict)
/** See {@link controlSettingsSchema}. */
export type ControlSettings = Static<typeof controlSettingsSchema>

/** Settings of the entry role. */
export const entrySettingsSchema = Type.Object({
  address,
  stopDeadlineSeconds,
  relay: Type.Optional(Type.String({ ...address, description: 'IP address and port at which this entry forwards connections of agents that do not reach the control hosts themselves; not with TLS' })),
  openRequestsPerAccount: Type.Integer({
    minimum: 1, maximum: 100_000, default: 1_000, description: 'maximum number of open requests of one account at this entry; further ones are refused'
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
  platform: httpUrl,
  target: httpUrl,
  connections: Type.Integer({ minimum: 4, maximum: 64, default: 64, description: 'maximum number of connections to target and platform together; three of them are reserved for the platform and for health checks of the target' }),
  stopDeadlineSeconds
}, strict)
/** See {@link agentSettingsSchema}. */
export type AgentSettings = Static<typeof agentSettingsSchema>

/** Certificate files for TLS, which is mutual between the system's own processes. */
export const tlsSettingsSchema = Type.Object({ certificate: path, key: path, authority: path }, strict)
/** See {@link tlsSettingsSchema}. */
export type TlsSettings = Static<typeof tlsSettingsSchema>

/** Settings of a process that is run by the users' platform. The sections of its roles are derived from them. */
export const deploymentSettingsSchema = Type.Object({
  ip: Type.String({ pattern: '^[0-9.]+$', description: 'IP address of this host' }),
  innerPorts: Type.Tuple([Type.Integer({ minimum: 1, maximum: 65_535 }), Type.Integer({ minimum: 1, maximum: 65_535 })], {
    description: 'first and last port for internal connections, the same on all hosts'
  }),
  seeds: Type.Array(address, { description: 'addresses of some control hosts, with any of their ports' }),
  founding: Type.Boolean({ description: 'true when the whole system starts for the first time' }),
  folder: Type.Optional(Type.String({ minLength: 1, description: 'the data folder; absent on a host without a disk' })),
  folderMegabytes: Type.Integer({ minimum: 0, default: 0, description: 'size of the disk; 0 if unknown' }),
  memoryMegabytes: Type.Optional(Type.Integer({ minimum: 16, maximum: 4_194_304, description: 'memory of this host; the limits on clients are derived from it' })),
  descriptors: Type.Optional(Type.Integer({ minimum: 64, maximum: 10_000_000, description: 'files and connections that this process may have open; the limits on clients are derived from it' })),
  hostsLostAtOnce: Type.Integer({ minimum: 0, maximum: 3, default: 1, description: 'number of control hosts that may fail at the same time' }),
  workerLeaseMilliseconds: Type.Integer({ minimum: 500, maximum: 600_000, default: 6_000, description: 'maximum lease that a worker grants to its runs' }),
  workerStopMilliseconds: Type.Integer({ minimum: 0, maximum: 60_000, default: 1_000, description: 'longest time that a worker takes to end a run' }),
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
  controlHosts: Type.Array(address, { default: [], description: 'control hosts that entries and agents connect to; by default the initial voters' }),
  control: Type.Optional(controlSettingsSchema),
  entry: Type.Optional(entrySettingsSchema),
  agent: Type.Optional(agentSettingsSchema),
  deployment: Type.Optional(deploymentSettingsSchema),
  tls: Type.Optional(tlsSettingsSchema)
}, { ...strict, $id: 'bramleyflow-settings', title: 'The settings of a bramleyflow process' })
/** See {@link settingsSchema}. */
export type Settings = Static<typeof settingsSchema>
