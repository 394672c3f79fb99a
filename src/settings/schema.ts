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
  tls: Type.Optional(tlsSettingsSchema)
}, { ...strict, $id: 'bramleyflow-settings', title: 'The settings of a bramleyflow process' })
/** See {@link settingsSchema}. */
export type Settings = Static<typeof settingsSchema>
