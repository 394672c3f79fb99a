import { Type, type Static } from '@sinclair/typebox'

/** A section of the operators' document; teams are given write access by section. */
export enum Section {
  ClientAccounts = 'clientAccounts',
  Guarantees = 'guarantees',
  Jobs = 'jobs',
  Limits = 'limits',
  Placement = 'placement',
  Maintenance = 'maintenance',
  Teams = 'teams'
}

/** All sections, in display order. */
export const sections: readonly Section[] = Object.values(Section)

/** Topology level within which all members of a job must be placed. */
export enum Level {
  Worker = 'worker',
  Rack = 'rack',
  DataCentre = 'data-centre'
}

/** Priority of a job. */
export enum Urgency {
  Urgent = 'urgent',
  Normal = 'normal',
  Background = 'background'
}

/** What happens to the running jobs of an account that is removed from the document. */
export enum RemovalRule {
  Finish = 'finish',
  Cancel = 'cancel'
}

const strict = { additionalProperties: false }
const name = Type.String({ minLength: 1, maxLength: 64, pattern: '^[A-Za-z0-9][A-Za-z0-9._-]*$' })
const tokenDigest = Type.String({ pattern: '^[0-9a-f]{64}$', description: 'SHA-256 of a bearer token, in hexadecimal' })

/** Maximum number of accelerators on one worker. They form a row, and a job gets adjacent ones. */
export const MAX_ACCELERATORS_PER_WORKER = 8
/** Maximum number of workers of one job. */
export const MAX_GANG_WORKERS = 128

/** The resources of a job: a number of workers, the adjacent accelerators and other resources on each, and the level that must contain them. */
export const shapeSchema = Type.Object({
  workers: Type.Integer({ minimum: 1, maximum: MAX_GANG_WORKERS, default: 1 }),
  accelerators: Type.Integer({ minimum: 0, maximum: MAX_ACCELERATORS_PER_WORKER, description: 'adjacent accelerators on each worker' }),
  slots: Type.Integer({ minimum: 0, maximum: 8, default: 1, description: 'slots on each worker' }),
  processors: Type.Integer({ minimum: 0, maximum: 1024, default: 1, description: 'processors on each worker' }),
  memoryMegabytes: Type.Integer({ minimum: 0, maximum: 4_194_304, default: 256, description: 'memory on each worker, in megabytes' }),
  within: Type.Enum(Level, { default: Level.DataCentre })
}, strict)
/** See {@link shapeSchema}. */
export type Shape = Static<typeof shapeSchema>

/** A job's payload. */
export const payloadSchema = Type.Object({
  contentType: Type.String({ minLength: 1, maxLength: 128, default: 'application/json' }),
  base64: Type.String({ description: 'the body in base64' })
}, strict)

const jobFields = {
  account: name,
  kind: Type.String({ minLength: 1, maxLength: 64, default: 'job', description: 'jobs of one kind share learned run times and sizes' }),
  shape: shapeSchema,
  idempotent: Type.Boolean({ default: false }),
  checkpointable: Type.Boolean({ default: false, description: 'can be checkpointed, or stopped and run again' }),
  urgency: Type.Enum(Urgency, { default: Urgency.Normal }),
  deadline: Type.Integer({ minimum: 0, default: 0, description: 'milliseconds since the epoch, 0 for none' }),
  declaredSeconds: Type.Integer({ minimum: 0, maximum: 31_536_000, default: 60 }),
  payload: payloadSchema
}

/** A job as submitted by a caller or declared in the document. */
export const jobSpecificationSchema = Type.Object(jobFields, strict)
/** See {@link jobSpecificationSchema}. */
export type JobSpecification = Static<typeof jobSpecificationSchema>

/** A job declared in the document. */
export const declaredJobSchema = Type.Object({ identifier: name, ...jobFields }, strict)
/** See {@link declaredJobSchema}. */
export type DeclaredJob = Static<typeof declaredJobSchema>

/** A client account: its share, limits and tokens. */
export const clientAccountSchema = Type.Object({
  name,
  share: Type.Number({ exclusiveMinimum: 0, maximum: 1_000_000, description: 'weight in the fair share' }),
  queuedJobs: Type.Integer({ minimum: 1, maximum: 100_000, default: 1_000, description: 'most jobs waiting at once' }),
  runningAccelerators: Type.Integer({ minimum: 0, maximum: 1_000_000, default: 1_000_000, description: 'most accelerators in use at once' }),
  tokens: Type.Array(tokenDigest, { default: [] }),
  whenRemoved: Type.Enum(RemovalRule, { default: RemovalRule.Finish })
}, strict)
/** See {@link clientAccountSchema}. */
export type ClientAccount = Static<typeof clientAccountSchema>

/** A guarantee: shapes of adjacent accelerators that an account can reclaim at any time. */
export const guaranteeSchema = Type.Object({
  account: name,
  shape: shapeSchema,
  count: Type.Integer({ minimum: 1, maximum: 10_000, default: 1, description: 'how many such shapes at once' }),
  graceSeconds: Type.Number({ minimum: 0, maximum: 3_600, default: 3, description: 'longest time until a borrowed shape is given back' })
}, strict)
/** See {@link guaranteeSchema}. */
export type Guarantee = Static<typeof guaranteeSchema>

/** Limits on queues, retries, payload and answer sizes, and retention. */
export const limitsSchema = Type.Object({
  queuedJobs: Type.Integer({ minimum: 1, maximum: 100_000, default: 10_000 }),
  attemptsPerJob: Type.Integer({ minimum: 1, maximum: 100, default: 4 }),
  retriesPerMinute: Type.Integer({ minimum: 0, maximum: 1_000_000, default: 600 }),
  retriesPerMinutePerAccount: Type.Integer({ minimum: 0, maximum: 1_000_000, default: 120 }),
  payloadBytes: Type.Integer({ minimum: 0, maximum: 1_048_576, default: 262_144 }),
  answerBytes: Type.Integer({ minimum: 0, maximum: 1_048_576, default: 262_144 }),
  endedJobsKept: Type.Integer({ minimum: 0, maximum: 1_000_000, default: 20_000 }),
  answerSeconds: Type.Integer({ minimum: 1, maximum: 604_800, default: 3_600, description: 'how long an answer can be fetched' })
}, strict)
/** See {@link limitsSchema}. */
export type Limits = Static<typeof limitsSchema>

/** How placement weighs completion time against fragmentation. */
export const placementSchema = Type.Object({
  completionTimeWeight: Type.Number({ minimum: 0, maximum: 1, default: 0.5 }),
  fragmentationWeight: Type.Number({ minimum: 0, maximum: 1, default: 0.5 })
}, strict)
/** See {@link placementSchema}. */
export type Placement = Static<typeof placementSchema>

/** Drained workers, racks and data centres: they get no new work. */
export const maintenanceSchema = Type.Object({
  dataCentres: Type.Array(name, { default: [] }),
  racks: Type.Array(name, { default: [] }),
  workers: Type.Array(name, { default: [] })
}, strict)
/** See {@link maintenanceSchema}. */
export type Maintenance = Static<typeof maintenanceSchema>

/** A team of operators and the sections it may write. */
export const teamSchema = Type.Object({
  name,
  sections: Type.Array(Type.Enum(Section)),
  tokens: Type.Array(tokenDigest, { default: [] })
}, strict)
/** See {@link teamSchema}. */
export type Team = Static<typeof teamSchema>

/** The operators' document. */
export const documentSchema = Type.Object({
  clientAccounts: Type.Array(clientAccountSchema),
  guarantees: Type.Array(guaranteeSchema),
  jobs: Type.Array(declaredJobSchema),
  limits: limitsSchema,
  placement: placementSchema,
  maintenance: maintenanceSchema,
  teams: Type.Array(teamSchema)
}, { ...strict, $id: 'bramleyflow-document', title: 'The operators\' document of bramleyflow' })
/** See {@link documentSchema}. */
export type Document = Static<typeof documentSchema>

/** The document in force before the first one is accepted: no accounts, no teams. */
export const emptyDocument: Document = {
  clientAccounts: [],
  guarantees: [],
  jobs: [],
  limits: {
    queuedJobs: 10_000,
    attemptsPerJob: 4,
    retriesPerMinute: 600,
    retriesPerMinutePerAccount: 120,
    payloadBytes: 262_144,
    answerBytes: 262_144,
    endedJobsKept: 20_000,
    answerSeconds: 3_600
  },
  placement: { completionTimeWeight: 0.5, fragmentationWeight: 0.5 },
  maintenance: { dataCentres: [], racks: [], workers: [] },
  teams: []
}
