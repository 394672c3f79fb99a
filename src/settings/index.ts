export {
  LogLevel, Role, settingsSchema,
  type AgentSettings, type ControlSettings, type EntrySettings, type Settings, type TlsSettings
} from './schema'
export { checkSettings, loadSettings, parseAddress, problemLines, type Address } from './load'
export { checkAgainst, findProblems, showValue } from '../core/problems'
export { readTls, type TlsFiles } from './tls'
