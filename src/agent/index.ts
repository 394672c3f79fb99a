export { Agent, DEFAULT_CONNECTIONS, type AgentOptions, type UnfinishedAttempt, type StopReport } from './agent'
export { Outcome, ReportReason } from './report'
export { Supervisor, type SupervisorOptions } from './supervisor'
export * from './worker-api'
