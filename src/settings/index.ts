export {
  LogLevel, Role, settingsSchema,
  type AgentSettings, type ControlSettings, type DeploymentSettings, type EntrySettings, type Settings, type TlsSettings
} from './schema'
export { controlAddressOf, controlHostsOf, maxRecordBytesOf } from './deployment'
export { parseAddress, type Address } from './address'
export { checkSettings, loadSettings } from './load'
export { problemLines } from './problem-lines'
export { checkAgainst, findProblems, formatValue } from '../core/problems'
export { readTls, type TlsFiles } from './tls'
